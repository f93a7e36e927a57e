"""SimFaultSchedule: a seed always gives the same faults, core faults never overlap, and others do."""

from __future__ import annotations

import unittest

from pearhead.testbed.simulator.fault_schedule import CORE_FAULT_KINDS, SimFaultSchedule


class StrikePlanTest(unittest.TestCase):
    def test_core_strikes_never_overlap_and_others_do(self) -> None:
        overlap_count = 0
        for seed in range(200):
            schedule = SimFaultSchedule().generate(seed)
            self.assertEqual(schedule, SimFaultSchedule().generate(seed))
            self.assertTrue(schedule[-1].is_permanent)
            core_faults = [f for f in schedule if f.kind in CORE_FAULT_KINDS]
            for first, second in zip(core_faults, core_faults[1:], strict=False):
                self.assertGreater(second.at_micros, first.at_micros + first.fault_duration_micros)
            overlap_count += sum(
                a.at_micros < b.at_micros < a.at_micros + a.fault_duration_micros for a in schedule for b in schedule
            )
        self.assertGreater(overlap_count, 1_000)
