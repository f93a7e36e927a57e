"""PrefillRates (§8.8): how long workers take to read prompts, by a reckoning and what was seen of late."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from pearhead.runtime.clock import MILLI, SECOND, Clock

# Reading: a token with its share of the batch's step, and each pair of a token read with one before it. These are
# starting values for engines of which nothing was seen yet.
MICROS_PER_TOKEN = 19.7
MICROS_PER_TOKEN_PAIR = 0.000_324
# From the end of the read to the first event.
FIRST_EVENT_MICROS = 12 * MILLI
# Shorter reads are lost in the time of the steps around them.
MIN_PREFILL_TOKENS = 1_000
HALF_WINDOW_MICROS = 5 * SECOND
MIN_PREFILL_SAMPLES = 4
MIN_RATE_FACTOR, MAX_RATE_FACTOR = 0.05, 4.0
# While a fleet is overloaded no read is without a wait: the factor rises slowly, and falls at once.
MAX_FACTOR_RISE = 1.1


def prefill_read_micros(tokens: int, kept_tokens: int) -> float:
    """How long a worker reads so many tokens behind those that it keeps, by the starting values."""
    return tokens * (MICROS_PER_TOKEN + MICROS_PER_TOKEN_PAIR * (kept_tokens + tokens / 2))


@dataclass
class _HalfWindow:
    """The quickest of `count` reads, as a factor of the reckoning."""

    least: float = math.inf
    count: int = 0


@dataclass
class _ServiceRate:
    began_micros: int
    factor: float = 1.0
    former: _HalfWindow = field(default_factory=_HalfWindow)
    current: _HalfWindow = field(default_factory=_HalfWindow)


class PrefillRates:
    """Factors of `prefill_read_micros`, by service.

    The quickest of some reads waited for no other, so it shows how fast the engine is; a mean would show how busy.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.seen: dict[str, _ServiceRate] = {}

    def factor(self, service: str) -> float:
        """1 until enough was seen."""
        seen = self.seen.get(service)
        return 1.0 if seen is None else seen.factor

    def record_read(self, service: str, tokens: int, kept_tokens: int, seen_micros: int) -> None:
        """A worker read so many tokens behind those that it kept; its first event came after `seen_micros`."""
        if tokens < MIN_PREFILL_TOKENS:
            return
        now_micros = self.clock.now()
        seen = self.seen.setdefault(service, _ServiceRate(now_micros))
        if now_micros - seen.began_micros > HALF_WINDOW_MICROS:
            seen.former, seen.current, seen.began_micros = seen.current, _HalfWindow(), now_micros
        ratio = max(seen_micros - FIRST_EVENT_MICROS, 0) / prefill_read_micros(tokens, kept_tokens)
        seen.current.least = min(seen.current.least, ratio)
        seen.current.count += 1
        if seen.former.count + seen.current.count >= MIN_PREFILL_SAMPLES:
            least = min(seen.former.least, seen.current.least)
            seen.factor = min(max(least, MIN_RATE_FACTOR), MAX_RATE_FACTOR, seen.factor * MAX_FACTOR_RISE)
