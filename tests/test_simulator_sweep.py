"""Sweep: it resumes from its journal and shortens failing runs."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from pearhead.testbed.simulator.fault_schedule import SimFaultSchedule
from pearhead.testbed.simulator.runner import RunResult, RunSpec
from pearhead.testbed.simulator.sweep import OVERLAPPING_FAULTS_SCENARIO, Sweep


class SweepTest(unittest.TestCase):
    def test_a_sweep_goes_on_where_it_stopped_and_shortens_what_failed(self) -> None:
        ran: list[RunSpec] = []

        def run_many(orders: list[RunSpec]) -> list[RunResult]:
            ran.extend(orders)
            # Strikes 3 and 5 together break a rule in seed 2.
            return [
                RunResult(o, ["force: x"] if o.seed == 2 and not o.excluded_faults & {3, 5} else []) for o in orders
            ]

        said: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            journal_path = Path(folder) / "journal"
            orders = [RunSpec(OVERLAPPING_FAULTS_SCENARIO, "academy", seed) for seed in (1, 2)]
            self.assertEqual(Sweep(journal_path, run_many, said.append).run(orders[:1]), 0)
            with journal_path.open("a") as journal:
                journal.write('{"command": "testbed si')
            journal_path.write_text(journal_path.read_text() + "\n")
            ran.clear()
            self.assertEqual(Sweep(journal_path, run_many, said.append).run(orders), 1)
            self.assertEqual(ran[0], orders[1], "the first one stood in the journal")
            drawn = {s.number for s in SimFaultSchedule().generate(2)}
            self.assertEqual(drawn - ran[-1].excluded_faults - {3, 5}, set())
            self.assertEqual(Sweep(journal_path, run_many, said.append).run(orders), 1, "a failure is not forgotten")
            self.assertIn("| overlapping-faults | academy | 2 | 1 | 0.0 | 0.0 | 0.0% |", said)
