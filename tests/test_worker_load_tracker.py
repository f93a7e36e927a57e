"""WorkerLoadTracker: load reports between nodes. FleetRetryBudget: what each node may spend without the others."""

from __future__ import annotations

import unittest

from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.rpc.wire_pb2 import UseNote, WorkerUse
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime


class LoadBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        self.loads = WorkerLoadTracker(self.runtime)

    def report(self, reporter: str, serial: int, running: int) -> None:
        self.loads.apply_report(
            reporter, UseNote(serial=serial, use=[WorkerUse(worker="w", running=running, waiting_tokens=7)])
        )

    def test_own_and_told_use_add_up_and_silence_ends_what_was_told(self) -> None:
        self.loads.begin("w", 100, 150)
        self.report("n1", 2, 3)
        self.report("n1", 1, 9)
        self.report("n2", 1, 1)
        load = self.loads.current_load("w")
        self.assertEqual((load.running, load.waiting_tokens, load.held_tokens), (5, 114, 150))
        self.loads.record_first_event("w", 100)
        self.assertEqual(self.loads.current_load("w").waiting_tokens, 14)
        self.runtime.now_micros += 2 * SECOND
        self.assertEqual(self.loads.current_load("w").running, 1, "the other nodes' reports expired")
        self.loads.end("w", 0, 150)
        load = self.loads.current_load("w")
        self.assertEqual((load.running, load.held_tokens, self.loads.own_running()), (0, 0, 0))

    def test_a_worker_that_fails_rests_longer_each_time_and_a_success_ends_it(self) -> None:
        backoffs = []
        for _ in range(4):
            self.loads.record_failure("w")
            backoffs.append(self.loads.backoff_until["w"] - self.runtime.now())
        self.assertEqual(backoffs, [SECOND, 2 * SECOND, 4 * SECOND, 4 * SECOND])
        self.assertTrue(self.loads.is_backed_off("w"))
        self.loads.record_success("w")
        self.assertFalse(self.loads.is_backed_off("w"))

    def test_paces_stay_within_bounds(self) -> None:
        for _ in range(200):
            self.loads.learn_slowdown("w", 2_000, 10 * MILLI, 10 * SECOND)
        self.assertLessEqual(self.loads.slowdown_of("w"), 6.0)


class FleetBudgetTest(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_fleets_budget_in_any_window(self) -> None:
        for nodes, requests in ((1, 50), (9, 15), (63, 1)):
            runtime = FakeRuntime()
            budgets = [FleetRetryBudget(runtime, 0.2, 58, 10 * SECOND) for _ in range(nodes)]
            withdrawals: list[int] = []
            for _ in range(400):
                runtime.now_micros += 100 * MILLI
                for budget in budgets:
                    if requests >= 10 or runtime.now_micros % (1_000 * MILLI) == 0:
                        budget.deposit("s", nodes)
                withdrawn = 0
                for budget in budgets:
                    while budget.try_withdraw("s", nodes):
                        withdrawn += 1
                withdrawals.append(withdrawn)
            requests_per_window = 100 * nodes if requests >= 10 else 10 * nodes
            most_in_a_window = max(sum(withdrawals[start : start + 100]) for start in range(len(withdrawals) - 100))
            self.assertLessEqual(
                most_in_a_window, 0.2 * requests_per_window + max(58, nodes), (nodes, most_in_a_window)
            )
            self.assertGreater(most_in_a_window, 0.1 * requests_per_window, "the budget can hardly be spent")
