"""CostEstimator (§8.5): what prefill and fetches cost, learned from the jobs of each worker and link."""

from __future__ import annotations

import statistics

EWMA_WEIGHT = 0.3
INITIAL_PREFILL_RATE = 100.0
INITIAL_FETCH_RATE = 20.0
# A figure outside is a defect of a clock or of a worker, and teaches nothing.
MIN_RATE_MICROS, MAX_RATE_MICROS = 1.0, 5_000.0
MIN_SAMPLE_TOKENS = 100


class CostEstimator:
    """Microseconds a token. What is not known yet is taken from the other workers of the line, else from
    the beginning; each figure moves by a share of the way, and within bounds."""

    def __init__(self) -> None:
        self.prefill_rates: dict[tuple[str, str], float] = {}
        self.fetch_rates: dict[tuple[str, str], float] = {}
        self.smoothed_micros: dict[tuple[str, str], float] = {}

    def prefill_rate(self, line: str, worker: str) -> float:
        known = self.prefill_rates.get((line, worker))
        if known is not None:
            return known
        others = [rate for (other_line, _), rate in self.prefill_rates.items() if other_line == line]
        return statistics.median(others) if others else INITIAL_PREFILL_RATE

    def fetch_rate(self, source: str, target: str) -> float:
        return self.fetch_rates.get((source, target), INITIAL_FETCH_RATE)

    def stream_micros(self, entry: str, worker: str) -> float:
        """How long results of an entry stream, from their first line to the closing one."""
        known = self.smoothed_micros.get((entry, worker))
        if known is not None:
            return known
        others = [micros for (other_entry, _), micros in self.smoothed_micros.items() if other_entry == entry]
        return statistics.median(others) if others else 0.0

    def record_stream(self, entry: str, worker: str, micros: int) -> None:
        held_micros = self.stream_micros(entry, worker) or float(micros)
        self.smoothed_micros[entry, worker] = held_micros + EWMA_WEIGHT * (micros - held_micros)

    def record_prefill(self, line: str, worker: str, tokens: int, micros: float) -> None:
        self._update_rate(self.prefill_rates, (line, worker), self.prefill_rate(line, worker), tokens, micros)

    def record_fetch(self, source: str, target: str, tokens: int, micros: float) -> None:
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
