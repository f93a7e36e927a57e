"""Rollouts over a simulated fleet: a third at a time, with lost replies, and holds during freezes and partitions."""

from __future__ import annotations

import dataclasses
import random
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from pearhead.router.rendezvous import rendezvous_rank
from pearhead.router.worker_control import LoadOrder, OrderOutcome
from pearhead.router.worker_version_table import LOADING_NOTE_TTL_MICROS, WorkerVersionTable
from pearhead.rpc.wire_pb2 import ModelNote
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time
from tests.workerfleet import LINE, FakeWorker, FleetNode, WorkerFleet, find_order_violations


def run_fleet(
    node_count: int, worker_count: int, scenario: Callable[[WorkerFleet], Coroutine[Any, Any, Any]], seed: int = 1
) -> Any:
    async def run_scenario(world: World) -> Any:
        fleet = WorkerFleet(world, node_count, worker_count)
        fleet.core.set_workers(fleet.platform)
        fleet.start("roster_synchronizer", "rollout")
        await pause(world, 4 * SECOND)
        result = await scenario(fleet)
        assert not fleet.faults(), fleet.faults()
        assert not find_order_violations(fleet.platform.orders), find_order_violations(fleet.platform.orders)
        return result

    return run_in_virtual_time(seed, run_scenario)


def versions(fleet: WorkerFleet) -> list[int]:
    for worker in fleet.platform.workers.values():
        fleet.platform.finish_due_load(worker)
    return [worker.version for worker in fleet.platform.workers.values()]


def orderer_of(fleet: WorkerFleet) -> FleetNode:
    identities = [node.identity for node in fleet.nodes]
    return next(n for n in fleet.nodes if rendezvous_rank(n.identity, identities, f"roll-out/{LINE}") == 0)


class FakeClock:
    def __init__(self) -> None:
        self.micros = 100 * SECOND

    def now(self) -> int:
        return self.micros

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Any:
        raise AssertionError("no timer is expected")


class VersionBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.version_table = WorkerVersionTable(self.clock)

    def apply_note(self, version: int, loading: bool) -> bool:
        return self.version_table.apply_note(ModelNote(worker="w", line=LINE, version=version, loading=loading))

    def test_versions_only_rise(self) -> None:
        self.assertIsNone(self.version_table.version_of("w", LINE))
        self.assertTrue(self.version_table.record("w", LINE, 3))
        self.assertFalse(self.version_table.record("w", LINE, 2))
        self.apply_note(2, loading=False)
        self.assertEqual(self.version_table.version_of("w", LINE), 3)

    def test_loading_ends_by_word_or_by_time(self) -> None:
        self.version_table.record("w", LINE, 1)
        self.apply_note(2, loading=True)
        self.assertTrue(self.version_table.is_loading("w"))
        self.apply_note(2, loading=False)
        self.assertEqual((self.version_table.is_loading("w"), self.version_table.version_of("w", LINE)), (False, 2))
        self.apply_note(2, loading=True)
        self.assertFalse(self.version_table.is_loading("w"), "a late duplicate of the first note")
        self.apply_note(3, loading=True)
        self.apply_note(0, loading=False)
        self.assertEqual(
            (self.version_table.is_loading("w"), self.version_table.version_of("w", LINE)),
            (False, 2),
            "the load failed",
        )
        self.apply_note(3, loading=True)
        self.clock.micros += LOADING_NOTE_TTL_MICROS
        self.assertFalse(self.version_table.is_loading("w"))
        self.apply_note(3, loading=True)
        self.version_table.record("w", LINE, 3)
        self.assertFalse(self.version_table.is_loading("w"), "an answer carried the new version")


class RollOutTest(unittest.TestCase):
    def test_a_third_at_a_time_and_all_within_five_seconds(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.core.name_weights(2)
            await pause(fleet.world, 3_500 * MILLI)
            self.assertEqual(set(versions(fleet)), {2})
            self.assertLessEqual(fleet.platform.max_loading_count, 4)
            self.assertEqual(len(fleet.platform.orders), 12, "one order each")
            self.assertLessEqual(len(fleet.platform.report_calls), 24)
            self.assertEqual(len({order.holder for order in fleet.platform.orders}), 1)
            for node in fleet.nodes:
                self.assertEqual([node.version_table.version_of(f"w{n}", LINE) for n in range(12)], [2] * 12)
                self.assertFalse(any(node.version_table.is_loading(f"w{n}") for n in range(12)))
            command_count = len(fleet.core.commands)
            await pause(fleet.world, 10 * SECOND)
            self.assertEqual(len(fleet.core.commands), command_count, "no hold is renewed between rollouts")

        run_fleet(6, 12, scenario)

    def test_nodes_leave_a_worker_alone_before_it_is_ordered(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            unaware: list[tuple[str, str]] = []

            ordered: list[str] = []
            original = fleet.platform.order

            def order(worker: FakeWorker, load_order: LoadOrder) -> OrderOutcome:
                ordered.append(load_order.worker)
                unaware.extend(
                    (n.name, load_order.worker)
                    for n in fleet.nodes
                    if not n.version_table.is_loading(load_order.worker)
                )
                return original(worker, load_order)

            fleet.platform.order = order  # type: ignore[method-assign,assignment]
            fleet.core.name_weights(2)
            await pause(fleet.world, 4 * SECOND)
            self.assertEqual(len(ordered), 6)
            self.assertEqual(unaware, [])

        run_fleet(6, 6, scenario)

    def test_long_runs_hold_a_third_up_and_the_rest_goes_at_once_when_it_is_late(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            for worker in fleet.platform.workers.values():
                worker.run_micros = 2 * SECOND
            fleet.core.name_weights(2)
            await pause(fleet.world, 4_500 * MILLI)
            self.assertLessEqual(fleet.platform.max_loading_count, 2)
            await pause(fleet.world, 3_500 * MILLI)
            self.assertEqual(set(versions(fleet)), {2})

        run_fleet(4, 8, scenario)

    def test_leaving_workers_are_left_alone(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            listed = fleet.platform.listed
            listed["w1"] = dataclasses.replace(listed["w1"], is_leaving=True)
            await pause(fleet.world, 3 * SECOND)
            fleet.core.name_weights(2)
            await pause(fleet.world, 4 * SECOND)
            self.assertEqual(versions(fleet), [2, 1, 2])

        run_fleet(4, 3, scenario)

    def test_lost_replies_are_asked_after_and_ordered_again(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.platform.workers["w0"].lost_reply_count = 1
            fleet.platform.workers["w1"].lost_reply_count = 2
            fleet.core.name_weights(2)
            await pause(fleet.world, 5 * SECOND)
            self.assertEqual(versions(fleet), [2, 2, 2])
            self.assertEqual({w.order_count for w in fleet.platform.workers.values()}, {1}, "none loads twice")

        run_fleet(4, 3, scenario)

    def test_a_worker_that_does_not_answer_is_ordered_when_it_is_back(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.platform.workers["w0"].is_up = False
            fleet.core.name_weights(2)
            await pause(fleet.world, 4 * SECOND)
            self.assertEqual(versions(fleet), [1, 2, 2])
            fleet.platform.workers["w0"].is_up = True
            await pause(fleet.world, 4 * SECOND)
            self.assertEqual(versions(fleet), [2, 2, 2])

        run_fleet(4, 3, scenario)

    def test_a_later_naming_overtakes(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.core.name_weights(2)
            await pause(fleet.world, 500 * MILLI)
            fleet.core.name_weights(3)
            await pause(fleet.world, 5 * SECOND)
            self.assertEqual(set(versions(fleet)), {3})
            late = [o for o in fleet.platform.orders if o.version == 2 and o.at_micros > fleet.world.now() - 5 * SECOND]
            self.assertEqual(late, [], "no order names older weights")

        run_fleet(4, 6, scenario)

    def test_an_order_frozen_before_its_first_byte_is_not_sent_after_the_term(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            orderer = orderer_of(fleet)
            frozen: list[int] = []

            def freeze() -> None:
                if not frozen:
                    frozen.append(fleet.world.now())
                    orderer.machine.freeze()

            orderer.control.before_order = freeze
            fleet.core.name_weights(2)
            await pause(fleet.world, 12 * SECOND)
            self.assertEqual(set(versions(fleet)), {2}, "another node continued the rollout")
            before = len(fleet.platform.orders)
            self.assertEqual({o.holder for o in fleet.platform.orders} & {orderer.identity}, set())
            orderer.machine.wake()
            await pause(fleet.world, 3 * SECOND)
            self.assertEqual(len(fleet.platform.orders), before, "the node sends no order after waking")

        run_fleet(5, 6, scenario)

    def test_the_oldest_weights_are_replaced_first(self) -> None:
        """Two versions in a row: a worker that loaded the first is not loaded again before one that has neither."""

        async def scenario(fleet: WorkerFleet) -> None:
            fleet.core.name_weights(2)
            await pause(fleet.world, 900 * MILLI)
            fleet.core.name_weights(3)
            await pause(fleet.world, 9 * SECOND)
            self.assertEqual(set(versions(fleet)), {3})
            loaded_before = {o.worker for o in fleet.platform.orders if o.version == 2}
            self.assertIn(len(loaded_before), range(1, 9), "only some workers loaded the first version")
            again = [o.worker in loaded_before for o in fleet.platform.orders if o.version == 3]
            self.assertEqual(again, sorted(again), "workers that were not loaded before come first")

        for seed in range(1, 4):
            run_fleet(5, 9, scenario, seed)

    def test_the_next_takes_over_what_another_left(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            orderer = orderer_of(fleet)
            fleet.core.name_weights(2)
            await pause(fleet.world, 300 * MILLI)
            self.assertTrue(fleet.platform.orders)
            orderer.machine.crash(loses_power=True)
            await pause(fleet.world, 9 * SECOND)
            self.assertEqual(set(versions(fleet)), {2})
            self.assertGreater(len({o.holder for o in fleet.platform.orders}), 1)

        for seed in range(1, 5):
            run_fleet(5, 9, scenario, seed)

    def test_two_that_order_at_once_never_take_turns(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            for node in fleet.nodes[:2]:
                node.rollout._is_turn = lambda line, state: True  # type: ignore[method-assign]
            fleet.core.name_weights(2)
            await pause(fleet.world, 9 * SECOND)
            self.assertEqual(set(versions(fleet)), {2})
            fleet.core.name_weights(3)
            await pause(fleet.world, 9 * SECOND)
            self.assertEqual(set(versions(fleet)), {3})

        for seed in range(1, 5):
            run_fleet(4, 6, scenario, seed)

    def test_the_last_order_of_a_hold_lies_far_from_the_first_of_the_next(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            first = orderer_of(fleet)
            second = next(n for n in fleet.nodes if n is not first)
            worker = fleet.platform.workers["w0"]
            worker.is_always_busy = True
            fleet.core.name_weights(2)
            await pause(fleet.world, 200 * MILLI)
            # It still receives views, and repeats its order as long as its hold allows.
            first.core_client.loses_commands = True
            second.rollout._is_turn = lambda line, state: True  # type: ignore[method-assign]
            await pause(fleet.world, 7 * SECOND)
            by_first = [o for o in fleet.platform.orders if o.holder == first.identity]
            self.assertGreater(len(by_first), 1)
            took_over.append(any(o.holder == second.identity for o in fleet.platform.orders))
            worker.is_always_busy = False
            await pause(fleet.world, 8 * SECOND)
            self.assertEqual(versions(fleet), [2])

        # The rules hold for every seed; for some the first keeps its hold for longer than the scenario lasts.
        took_over: list[bool] = []
        for seed in range(1, 11):
            run_fleet(3, 1, scenario, seed)
        self.assertGreaterEqual(sum(took_over), 3, "number of seeds with which the second node sends an order")

    def test_freezes_cuts_and_new_leaders_never_break_the_rules_on_orders(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            rng = random.Random(fleet.world.seed)
            version = 1
            for _ in range(30):
                action = rng.choice(("freeze", "wake", "cut", "join", "lead", "name", "name"))
                node = rng.choice(fleet.nodes)
                if action == "freeze" and sum(n.machine.is_frozen for n in fleet.nodes) < 3:
                    node.machine.freeze()
                elif action == "wake":
                    node.machine.wake()
                elif action in ("cut", "join"):
                    node.core_client.is_cut_off = action == "cut"
                elif action == "lead":
                    # A new leader knows the fences from its log, but not when they were granted (§7.2).
                    fleet.core.leader_since_micros = fleet.world.now()
                    fleet.core.lease_last_seen = {
                        w: (h["fence"], fleet.world.now()) for w, h in fleet.core.fleet.leases.items()
                    }
                elif action == "name":
                    version += 1
                    fleet.core.name_weights(version)
                await pause(fleet.world, rng.randrange(20, 2_500) * MILLI)
            for node in fleet.nodes:
                node.machine.wake()
                node.core_client.is_cut_off = False
            await pause(fleet.world, 15 * SECOND)
            self.assertEqual(set(versions(fleet)), {version})

        for seed in range(1, 9):
            with self.subTest(seed=seed):
                run_fleet(5, 6, scenario, seed)

    def test_an_application_on_the_list_is_no_concern(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.platform.add("desk0", service="desk")
            await pause(fleet.world, 2 * SECOND)
            fleet.core.name_weights(2)
            await pause(fleet.world, 3 * SECOND)
            self.assertEqual(versions(fleet), [2, 2, 1])

        run_fleet(3, 2, scenario)
