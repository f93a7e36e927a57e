"""Replay of a recorded run: nearly the same outcomes on the same description, other outcomes on another one."""

from __future__ import annotations

import tempfile
import unittest

from pearhead.testbed.deployment import KLIPPVIK, build_description
from pearhead.testbed.simulator.recording import preview_description, read_recording, replay
from pearhead.testbed.simulator.scenarios import run_scenario


class RecordingTest(unittest.TestCase):
    def test_a_run_plays_again_alike_and_otherwise_on_another_description(self) -> None:
        with tempfile.NamedTemporaryFile(suffix=".jsonl") as record_file:
            run_scenario("node-killed", "klippvik", 3, node_count=3, record_path=record_file.name)
            recording = read_recording(record_file.name)
        recorded = recording.outcomes()
        self.assertGreater(len(recorded), 300)
        self.assertTrue(any(e["kind"] == "kill" for e in recording.events))
        replayed = replay(recording, None, with_faults=True).outcomes
        changed = [j for j in recorded if recorded[j] != replayed[j]]
        self.assertLess(len(changed), 0.03 * len(recorded), "the same faults at the same times")
        description = build_description(KLIPPVIK)
        description["entries"] = [e for e in description["entries"] if e["name"] != "notice"]
        lines = preview_description(recording, description)
        notice_lines = [line for line in lines if " notice " in line]
        self.assertTrue(notice_lines)
        self.assertTrue(all("done=" in line and "unknown_kind=" in line for line in notice_lines), notice_lines)
