"""Prefill times (§8.8): an estimate of how long workers take to prefill prompts, scaled by recent observations."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from pearhead.runtime.clock import MILLI, SECOND, Clock

# Prefill costs a linear share (a token's share of the batch's step) and a quadratic one (each pair of a token and one
# before it). These are initial values for engines without observations.
MICROS_PER_TOKEN = 19.7
MICROS_PER_TOKEN_PAIR = 0.000_324
# From the end of the prefill to the first event.
FIRST_EVENT_MICROS = 12 * MILLI
# The time of shorter prefills can't be told from that of the batch steps around them.
MIN_PREFILL_TOKENS = 1_000
HALF_WINDOW_MICROS = 5 * SECOND
MIN_PREFILL_SAMPLES = 4
MIN_RATE_FACTOR, MAX_RATE_FACTOR = 0.05, 4.0
# While a fleet is overloaded every prefill waits, so samples are too long: the factor rises slowly and falls at once.
MAX_FACTOR_RISE = 1.1


def estimate_prefill_micros(tokens: int, cached_tokens: int) -> float:
    """Estimated time to prefill so many tokens after a cached prefix of `cached_tokens`, by the initial values."""
    return tokens * (MICROS_PER_TOKEN + MICROS_PER_TOKEN_PAIR * (cached_tokens + tokens / 2))


@dataclass
class _HalfWindow:
    """The least ratio of measured to estimated time among `count` prefills."""

    least_ratio: float = math.inf
    count: int = 0


@dataclass
class _ServiceRate:
    """A service's factor, and its samples in two half windows, of which the current one began at `began_micros`."""

    began_micros: int
    factor: float = 1.0
    previous: _HalfWindow = field(default_factory=_HalfWindow)
    current: _HalfWindow = field(default_factory=_HalfWindow)


class PrefillRates:
    """Factors by which `estimate_prefill_micros` is scaled, by service.

    Of several prefills, the one that was shortest for its estimate did not wait for another one, so it shows how fast
    the engine is; a mean would show how busy it is.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.service_rates: dict[str, _ServiceRate] = {}

    def factor(self, service: str) -> float:
        """The scale factor of a service's estimates; 1 until there are enough samples."""
        service_rate = self.service_rates.get(service)
        return 1.0 if service_rate is None else service_rate.factor

    def record_prefill(self, service: str, tokens: int, cached_tokens: int, seen_micros: int) -> None:
        """Records a prefill of so many tokens after a cached prefix of `cached_tokens`.

        `seen_micros` is the time from sending the request to its first event. Short prefills are ignored.
        """
        if tokens < MIN_PREFILL_TOKENS:
            return
        now_micros = self.clock.now()
        service_rate = self.service_rates.setdefault(service, _ServiceRate(now_micros))
        if now_micros - service_rate.began_micros > HALF_WINDOW_MICROS:
            service_rate.previous, service_rate.current, service_rate.began_micros = (
                service_rate.current,
                _HalfWindow(),
                now_micros,
            )
        ratio = max(seen_micros - FIRST_EVENT_MICROS, 0) / estimate_prefill_micros(tokens, cached_tokens)
        service_rate.current.least_ratio = min(service_rate.current.least_ratio, ratio)
        service_rate.current.count += 1
        if service_rate.previous.count + service_rate.current.count >= MIN_PREFILL_SAMPLES:
            least_ratio = min(service_rate.previous.least_ratio, service_rate.current.least_ratio)
            service_rate.factor = min(
                max(least_ratio, MIN_RATE_FACTOR), MAX_RATE_FACTOR, service_rate.factor * MAX_FACTOR_RISE
            )
