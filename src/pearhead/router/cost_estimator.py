"""Cost estimates (§8.5) for prefill, fetches and streaming, learned from the jobs of each worker and link."""

from __future__ import annotations

import statistics

EWMA_WEIGHT = 0.3
INITIAL_PREFILL_RATE = 100.0
INITIAL_FETCH_RATE = 20.0
# Microseconds per token. A sample outside these bounds comes from a faulty clock or worker and is ignored.
MIN_RATE_MICROS, MAX_RATE_MICROS = 1.0, 5_000.0
MIN_SAMPLE_TOKENS = 100


class CostEstimator:
    """Exponentially weighted moving averages; rates are in microseconds per token.

    For prefill and streaming, a worker without samples gets the median of the other workers, of the same line or entry;
    without those, and for an unknown link, the initial value counts.
    """

    def __init__(self) -> None:
        self.prefill_rates: dict[tuple[str, str], float] = {}
        self.fetch_rates: dict[tuple[str, str], float] = {}
        self.average_stream_micros: dict[tuple[str, str], float] = {}

    def prefill_rate(self, line: str, worker: str) -> float:
        """Microseconds per token that a worker takes to prefill a prompt on a line."""
        known = self.prefill_rates.get((line, worker))
        if known is not None:
            return known
        others = [rate for (other_line, _), rate in self.prefill_rates.items() if other_line == line]
        return statistics.median(others) if others else INITIAL_PREFILL_RATE

    def fetch_rate(self, source: str, target: str) -> float:
        """Microseconds per token that a fetch from one worker or store to another worker takes."""
        return self.fetch_rates.get((source, target), INITIAL_FETCH_RATE)

    def stream_micros(self, entry: str, worker: str) -> float:
        """How long the results of an entry stream at a worker, from the first line to the last; 0 if unknown."""
        known = self.average_stream_micros.get((entry, worker))
        if known is not None:
            return known
        others = [micros for (other_entry, _), micros in self.average_stream_micros.items() if other_entry == entry]
        return statistics.median(others) if others else 0.0

    def record_stream(self, entry: str, worker: str, micros: int) -> None:
        """Records how long one result took to stream."""
        previous_micros = self.stream_micros(entry, worker) or float(micros)
        self.average_stream_micros[entry, worker] = previous_micros + EWMA_WEIGHT * (micros - previous_micros)

    def record_prefill(self, line: str, worker: str, tokens: int, micros: float) -> None:
        """Records how long a worker took to prefill so many tokens; short prefills are ignored."""
        self._update_rate(self.prefill_rates, (line, worker), self.prefill_rate(line, worker), tokens, micros)

    def record_fetch(self, source: str, target: str, tokens: int, micros: float) -> None:
        """Records how long a fetch of so many tokens took; short fetches are ignored."""
        self._update_rate(self.fetch_rates, (source, target), self.fetch_rate(source, target), tokens, micros)

    def _update_rate(
        self,
        rates: dict[tuple[str, str], float],
        key: tuple[str, str],
        previous_rate: float,
        tokens: int,
        micros: float,
    ) -> None:
        if tokens >= MIN_SAMPLE_TOKENS and MIN_RATE_MICROS <= micros / tokens <= MAX_RATE_MICROS:
            rates[key] = previous_rate + EWMA_WEIGHT * (micros / tokens - previous_rate)
