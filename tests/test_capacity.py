"""The capacity measurements (§9.12): fits, hollow nodes and workers, and small live runs with real processes.

The live runs guard against a run that fails to come up, measures nothing, or exceeds its limits on the machine.
"""

from __future__ import annotations

import random
import tempfile
import unittest
from pathlib import Path
from typing import Any

from pearhead.rpc.wire_pb2 import Hello, Record
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.testbed.capacity.axes import Axis
from pearhead.testbed.capacity.fit import Fitter, LinearFit, rounding_tolerance
from pearhead.testbed.capacity.hollow_nodes import SharedDirectory
from pearhead.testbed.capacity.hollow_workers import HollowWorker, HollowWorkersConfig
from pearhead.testbed.capacity.job_load import JOB_COUNT, measure_jobs
from pearhead.testbed.capacity.live_fleet import FleetSize
from pearhead.testbed.capacity.live_run import LiveRun, measure_applies, measure_killed_leader
from pearhead.testbed.capacity.part_costs import (
    measure_blocks,
    measure_directory,
    measure_state,
    measure_volumes,
)
from pearhead.testbed.capacity.process_set import PROCESS_LIMIT, OverLimitError, ProcessSet
from pearhead.testbed.capacity.scale_run import ScaleRun


class FitterTest(unittest.TestCase):
    def test_what_rounding_leaves_of_a_zero_is_zero(self) -> None:
        """A coefficient that is zero must not show rounding error.

        Such figures of docs/capacity.json differed between processors, so the page differed with the machine.
        """
        sizes = [1, 100, 300, 1_000, 2_000]
        through_zero = Fitter().fit(sizes, [0.15 * x for x in sizes])
        self.assertEqual((through_zero.intercept, through_zero.quadratic, through_zero.max_residual), (0.0, 0.0, 0.0))
        self.assertAlmostEqual(through_zero.slope, 0.15)
        blocks = [10_000, 100_000, 1_000_000, 3_000_000, 10_000_000]
        constant = Fitter().fit(blocks, [37.48] * len(blocks))
        self.assertEqual((constant.slope, constant.max_residual), (0.0, 0.0))
        self.assertEqual(Fitter().fit(sizes, [0.0] * len(sizes)), LinearFit(0.0, 0.0, 0.0, 0.0))

    def test_a_small_figure_that_is_more_than_rounding_is_kept(self) -> None:
        sizes = [1, 100, 300, 1_000, 2_000]
        values = [1e-9 + 0.15 * x for x in sizes]
        self.assertAlmostEqual(Fitter().fit(sizes, values).intercept, 1e-9, delta=1e-12)
        tolerance = rounding_tolerance(values)
        self.assertLess(tolerance, 1e-13 * max(values))
        blocks = [10_000, 100_000, 1_000_000, 3_000_000, 10_000_000]
        tilted = Fitter().fit(blocks, [37.48 + 1e-18 * x for x in blocks])
        self.assertAlmostEqual(tilted.slope, 1e-18, delta=1e-20)
        bent = Fitter().fit(sizes, [1.0, 1.0, 1.0, 1.0, 1.0 + 1e-12])
        self.assertGreater(bent.max_residual, 1e-13)

    def test_lines_and_parabolas_come_out_and_the_largest_is_predicted(self) -> None:
        sizes = [1.0, 2.0, 5.0, 9.0]
        line = Fitter().fit(sizes, [3 + 2 * x for x in sizes])
        self.assertAlmostEqual(line.predict(100), 203)
        self.assertAlmostEqual(line.max_residual, 0)
        parabola = Fitter(has_quadratic_term=True).fit(sizes, [1 + x * x for x in sizes])
        self.assertAlmostEqual(parabola.predict(10), 101)
        check = Fitter().check([9, 1, 2, 5], [99, 5, 7, 13])
        self.assertAlmostEqual(check.predicted, 21)
        self.assertAlmostEqual(check.relative_error(), 78 / 99)
        with self.assertRaises(ValueError):
            Fitter(has_quadratic_term=True).fit([1, 2], [1, 2])


class ScaleRunTest(unittest.TestCase):
    def test_a_run_goes_on_from_what_was_kept_and_tells_a_miss(self) -> None:
        measured_sizes: list[int] = []

        def measure(size: int) -> dict[str, float]:
            measured_sizes.append(size)
            return {"cost": float(size if size < 30 else 10 * size), "other": 1.0}

        axis = Axis((10, 20, 25, 30), "things", 100, measure, {"cost": False})
        results_path = Path(tempfile.mkdtemp()) / "kept.json"
        reported: list[str] = []
        self.assertTrue(ScaleRun("axis", axis, reported.append, results_path).run([10, 20, 25]))
        plot = results_path.with_suffix(".svg")
        self.assertFalse(ScaleRun("axis", axis, reported.append, results_path).run([10, 20, 25, 30], plot), "30 misses")
        self.assertEqual(measured_sizes, [10, 20, 25, 30], "each size once")
        self.assertIn("<svg", plot.read_text())
        self.assertIn("| cost | ", "\n".join(reported))


class PartCostsTest(unittest.TestCase):
    def test_counts_follow_from_the_sizes(self) -> None:
        self.assertEqual(measure_directory(12)["nodes"], 9)
        self.assertAlmostEqual(measure_blocks(1_000)["bytes of an event on the wire"], 37.48)
        volumes = measure_volumes(4)
        self.assertAlmostEqual(volumes["tables/s"], 4 * 0.05, places=6)
        self.assertAlmostEqual(volumes["requests, datagrams/s"], 4 * 0.15, places=6)
        small, large = measure_state(10), measure_state(40)
        self.assertGreater(large["bytes to a node a confirmed load"], 3 * small["bytes to a node a confirmed load"])


class HollowTest(unittest.TestCase):
    def test_hollow_nodes_answer_hellos_as_nodes_do(self) -> None:
        records = [Record(identity=f"n{i}", address=f"a:{i}", role="router") for i in range(3)]
        directory = SharedDirectory(records, ["seed:1"], FakeRuntime(), random.Random(1))
        directory.refresh()
        core = Record(identity="core", address="c:1", role="control_plane")
        self.assertIsNone(directory.make_result(Hello(self=core)))
        question = Hello(self=core, wants_known=True, known_hash="other")
        directory.refresh()
        whole = directory.make_result(question)
        assert whole is not None
        self.assertEqual({r.identity for r in whole.known}, {"n0", "n1", "n2", "core"})
        same = directory.make_result(Hello(self=core, wants_known=True, known_hash=directory.known_hash))
        assert same is not None
        self.assertTrue(same.is_same)
        self.assertEqual([r.identity for r in directory.members("control_plane")], ["core"])

    def test_hollow_workers_tell_each_kept_block_once(self) -> None:
        fake_runtime = FakeRuntime()
        worker = HollowWorker(fake_runtime, random.Random(1), HollowWorkersConfig(["a:1"], 20.0, 2, 1, 10))
        life, sequence = worker.load()["life"], worker.load()["sequence"]
        reported: list[str] = []
        for _ in range(4):
            fake_runtime.now_micros += 250_000
            report = worker.events(life, sequence)
            self.assertFalse(report["whole"])
            sequence = report["sequence"]
            reported += report["kept"]
        self.assertEqual((len(reported), len(set(reported))), (20, 20))
        self.assertTrue(worker.events("another", 0)["whole"])


class SmallScaleRunTest(unittest.TestCase):
    def test_a_small_fixed_run_measures_cores_and_nodes_and_leaves_nothing_behind(self) -> None:
        run = LiveRun(0.0, 0.0, sleep=lambda seconds: None)
        row = run.run(FleetSize(10, 1, limit_seconds=120), (measure_applies, measure_killed_leader))
        self.assertEqual(row["run, processes"], 5, "three cores, a node, one of hollow nodes")
        for name in ("core, MB", "node, MB", "apply in force, worst ms", "leader killed to a change in force, ms"):
            self.assertGreater(row[name], 0, name)

    def test_a_small_fixed_run_of_workers_and_jobs(self) -> None:
        run = LiveRun(0.0, 0.0, sleep=lambda seconds: None)
        size = FleetSize(0, 1, hollow_workers=2, events_a_second=20.0, lines_a_job=3, limit_seconds=120)
        row = run.run(size, (measure_jobs,))
        self.assertEqual((row["jobs done"], row["jobs failed"]), (JOB_COUNT, 0))

    def test_hollow_nodes_hold_no_workers(self) -> None:
        with self.assertRaises(ValueError):
            LiveRun().run(FleetSize(10, 1, hollow_workers=2))

    def test_a_run_stays_under_its_limit_of_processes(self) -> None:
        processes = ProcessSet(Path(tempfile.mkdtemp()))
        self.addCleanup(processes.stop)
        processes_by_name: Any = {str(number): None for number in range(PROCESS_LIMIT - 1)}
        processes.processes = processes_by_name
        with self.assertRaises(OverLimitError):
            processes.start("one too many", "pearhead.testbed.main")
        processes_by_name.clear()


if __name__ == "__main__":
    unittest.main()
