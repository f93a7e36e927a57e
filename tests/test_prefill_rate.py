"""PrefillRates: scale factors derived from the shortest recent prefills of a service."""

from __future__ import annotations

import unittest

from pearhead.router.prefill_rate import (
    FIRST_EVENT_MICROS,
    HALF_WINDOW_MICROS,
    MIN_PREFILL_SAMPLES,
    PrefillRates,
    estimate_prefill_micros,
)
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

TOKENS = 10_000


class ReadRatesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        self.rates = PrefillRates(self.runtime)

    def record_prefills(self, factor: float, waited_micros: int = 0, count: int = 1, tokens: int = TOKENS) -> None:
        for _ in range(count):
            seen_micros = FIRST_EVENT_MICROS + round(factor * estimate_prefill_micros(tokens, 0)) + waited_micros
            self.rates.record_prefill("s", tokens, 0, seen_micros)

    def test_the_starting_values_count_until_enough_was_seen(self) -> None:
        self.record_prefills(0.4, count=MIN_PREFILL_SAMPLES - 1)
        self.assertEqual(self.rates.factor("s"), 1.0)
        self.record_prefills(0.4)
        self.assertAlmostEqual(self.rates.factor("s"), 0.4, places=3)
        self.assertEqual(self.rates.factor("another"), 1.0)

    def test_waits_behind_others_do_not_count_as_reading(self) -> None:
        for waited_millis in (900, 300, 0, 500, 1_200):
            self.record_prefills(0.5, waited_millis * MILLI)
        self.assertAlmostEqual(self.rates.factor("s"), 0.5, places=3)

    def test_short_reads_teach_nothing(self) -> None:
        self.record_prefills(0.1, count=50, tokens=900)
        self.assertEqual(self.rates.factor("s"), 1.0)

    def test_it_rises_slowly_while_all_reads_wait_and_falls_at_once(self) -> None:
        self.record_prefills(0.4, count=MIN_PREFILL_SAMPLES)
        for _ in range(2):
            self.runtime.now_micros += HALF_WINDOW_MICROS + 1
            self.record_prefills(0.4, SECOND, count=2)
        self.assertLess(self.rates.factor("s"), 0.4 * 1.1**4 + 0.001)
        self.assertGreater(self.rates.factor("s"), 0.4)
        self.record_prefills(0.4)
        self.assertAlmostEqual(self.rates.factor("s"), 0.4, places=3)

    def test_no_figure_leads_out_of_its_bounds(self) -> None:
        self.rates.record_prefill("s", TOKENS, 0, 0)
        self.record_prefills(0.0, count=MIN_PREFILL_SAMPLES)
        self.assertEqual(self.rates.factor("s"), 0.05)
        for _ in range(200):
            self.runtime.now_micros += HALF_WINDOW_MICROS + 1
            self.record_prefills(90.0, count=MIN_PREFILL_SAMPLES)
        self.assertEqual(self.rates.factor("s"), 4.0)


if __name__ == "__main__":
    unittest.main()
