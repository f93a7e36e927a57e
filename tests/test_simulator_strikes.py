"""SimFaultSchedule: the faults that a seed draws."""

from __future__ import annotations

import unittest

from pearhead.testbed.simulator.fault_schedule import CORE_FAULT_KINDS, SimFaultSchedule


class StrikePlanTest(unittest.TestCase):
    def test_core_strikes_never_overlap_and_others_do(self) -> None:
        overlap_count = 0
        for seed in range(200):
            strikes = SimFaultSchedule().generate(seed)
            self.assertEqual(strikes, SimFaultSchedule().generate(seed))
            self.assertTrue(strikes[-1].is_permanent)
            cores = [s for s in strikes if s.kind in CORE_FAULT_KINDS]
            for first, second in zip(cores, cores[1:], strict=False):
                self.assertGreater(second.at_micros, first.at_micros + first.fault_duration_micros)
            overlap_count += sum(
                a.at_micros < b.at_micros < a.at_micros + a.fault_duration_micros for a in strikes for b in strikes
            )
        self.assertGreater(overlap_count, 1_000)
