"""CostEstimator: rates are learned from samples within bounds; unknown ones come from the line or a default."""

from __future__ import annotations

import unittest

from pearhead.router.cost_estimator import INITIAL_PREFILL_RATE, CostEstimator


class CostBookTest(unittest.TestCase):
    def test_rates_are_learned_within_bounds_and_unknown_ones_follow_the_line(self) -> None:
        costs = CostEstimator()
        self.assertEqual(costs.prefill_rate("l", "w1"), INITIAL_PREFILL_RATE)
        for _ in range(30):
            costs.record_prefill("l", "w1", 1_000, 400_000)
        self.assertAlmostEqual(costs.prefill_rate("l", "w1"), 400.0, delta=1.0)
        self.assertEqual(costs.prefill_rate("l", "w2"), costs.prefill_rate("l", "w1"))
        self.assertEqual(costs.prefill_rate("other", "w1"), INITIAL_PREFILL_RATE)
        for tokens, micros in ((0, 5.0), (99, 1e6), (1_000, 0.0), (1_000, 1e12), (1_000, -5.0)):
            costs.record_prefill("l", "w1", tokens, micros)
        self.assertAlmostEqual(costs.prefill_rate("l", "w1"), 400.0, delta=1.0)
        costs.record_fetch("w1", "w2", 1_000, 120_000)
        self.assertEqual(costs.fetch_rate("w1", "w2"), 50.0)
        self.assertEqual(costs.stream_micros("e", "w1"), 0.0)
        costs.record_stream("e", "w1", 1_000_000)
        costs.record_stream("e", "w1", 2_000_000)
        self.assertEqual((costs.stream_micros("e", "w2"), costs.stream_micros("f", "w1")), (1_300_000.0, 0.0))
