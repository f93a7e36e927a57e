"""WorkerLoadTracker and FleetRetryBudget: what nodes know of one another's use, and what they may spend alone."""

from __future__ import annotations

import unittest

from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.rpc.wire_pb2 import UseNote, WorkerUse
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime


class LoadBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = FakeRuntime()
        self.loads = WorkerLoadTracker(self.bench)

    def tell(self, teller: str, serial: int, running: int) -> None:
        self.loads.apply_report(
            teller, UseNote(serial=serial, use=[WorkerUse(worker="w", running=running, waiting_tokens=7)])
        )

    def test_own_and_told_use_add_up_and_silence_ends_what_was_told(self) -> None:
        self.loads.begin("w", 100, 150)
        self.tell("n1", 2, 3)
        self.tell("n1", 1, 9)
        self.tell("n2", 1, 1)
        use = self.loads.current_load("w")
        self.assertEqual((use.running, use.waiting_tokens, use.held_tokens), (5, 114, 150))
        self.loads.record_first_event("w", 100)
        self.assertEqual(self.loads.current_load("w").waiting_tokens, 14)
        self.bench.now_micros += 2 * SECOND
        self.assertEqual(self.loads.current_load("w").running, 1, "tellers fell silent")
        self.loads.end("w", 0, 150)
        use = self.loads.current_load("w")
        self.assertEqual((use.running, use.held_tokens, self.loads.own_running()), (0, 0, 0))

    def test_a_worker_that_fails_rests_longer_each_time_and_a_success_ends_it(self) -> None:
        rests = []
        for _ in range(4):
            self.loads.record_failure("w")
            rests.append(self.loads.backoff_until["w"] - self.bench.now())
        self.assertEqual(rests, [SECOND, 2 * SECOND, 4 * SECOND, 4 * SECOND])
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
            bench = FakeRuntime()
            budgets = [FleetRetryBudget(bench, 0.2, 58, 10 * SECOND) for _ in range(nodes)]
            spent: list[int] = []
            for _ in range(400):
                bench.now_micros += 100 * MILLI
                for budget in budgets:
                    if requests >= 10 or bench.now_micros % (1_000 * MILLI) == 0:
                        budget.deposit("s", nodes)
                taken = 0
                for budget in budgets:
                    while budget.try_withdraw("s", nodes):
                        taken += 1
                spent.append(taken)
            a_window = 100 * nodes if requests >= 10 else 10 * nodes
            worst = max(sum(spent[start : start + 100]) for start in range(len(spent) - 100))
            self.assertLessEqual(worst, 0.2 * a_window + max(58, nodes), (nodes, worst))
            self.assertGreater(worst, 0.1 * a_window, "a budget that is never spent helps nobody")
