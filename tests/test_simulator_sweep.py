"""Sweep: it resumes from its journal, also after a line was cut off in writing, and minimizes failing runs."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from pearhead.testbed.simulator.fault_schedule import SimFaultSchedule
from pearhead.testbed.simulator.runner import RunResult, RunSpec
from pearhead.testbed.simulator.sweep import OVERLAPPING_FAULTS_SCENARIO, Sweep


class SweepTest(unittest.TestCase):
    def test_a_sweep_goes_on_where_it_stopped_and_shortens_what_failed(self) -> None:
        executed_specs: list[RunSpec] = []

        def run_many(specs: list[RunSpec]) -> list[RunResult]:
            executed_specs.extend(specs)
            # In seed 2, faults 3 and 5 together make the run fail.
            return [RunResult(s, ["force: x"] if s.seed == 2 and not s.excluded_faults & {3, 5} else []) for s in specs]

        reported_lines: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            journal_path = Path(folder) / "journal"
            specs = [RunSpec(OVERLAPPING_FAULTS_SCENARIO, "academy", seed) for seed in (1, 2)]
            self.assertEqual(Sweep(journal_path, run_many, reported_lines.append).run(specs[:1]), 0)
            with journal_path.open("a") as journal:
                journal.write('{"command": "testbed si')
            journal_path.write_text(journal_path.read_text() + "\n")
            executed_specs.clear()
            self.assertEqual(Sweep(journal_path, run_many, reported_lines.append).run(specs), 1)
            self.assertEqual(executed_specs[0], specs[1], "the first run is in the journal")
            scheduled_numbers = {f.number for f in SimFaultSchedule().generate(2)}
            self.assertEqual(scheduled_numbers - executed_specs[-1].excluded_faults - {3, 5}, set())
            self.assertEqual(
                Sweep(journal_path, run_many, reported_lines.append).run(specs), 1, "a failure is not forgotten"
            )
            self.assertIn("| overlapping-faults | academy | 2 | 1 | 0.0 | 0.0 | 0.0% |", reported_lines)
