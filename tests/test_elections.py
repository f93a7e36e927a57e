"""Elections under failures (§4.1): how soon cores have a leader, answer reads and acknowledge changes again.

Guards against elections that take too long or that are not needed, while machines, links and disks fail. Runs in
virtual time.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.world import pause
from tests.test_core_membership import all_agree, run_cores, seconds_until

Scenario = Callable[[SimFleet, str, list[str]], Awaitable[None]]


async def seconds_to_apply(fleet: SimFleet, mark: str) -> float:
    start_micros = fleet.world.now()
    await fleet.apply(fleet.marked_description(mark))
    return (fleet.world.now() - start_micros) / SECOND


async def any_core_reads(fleet: SimFleet, names: list[str]) -> bool:
    for name in names:
        fleet_read = fleet.world.loop.create_task(fleet.cores[name].read_fleet())
        await pause(fleet.world, 300 * MILLI)
        if fleet_read.done() and fleet_read.result() is not None:
            return True
        fleet_read.cancel()
    return False


class ElectionsTest(unittest.TestCase):
    def run_scenario(self, scenario: Scenario, core_counts: tuple[int, ...] = (3, 5), seeds: int = 6) -> None:
        """Runs a scenario on a settled cluster of each size and seed, with its leader and the other cores."""
        for core_count in core_counts:
            for seed in range(seeds):

                async def run_one(fleet: SimFleet) -> None:
                    names = [n for n in fleet.startups if n.startswith("core-")]
                    for name in names:
                        fleet.start(name)
                    await seconds_until(fleet, lambda: all_agree(fleet, names))
                    await fleet.apply(fleet.marked_description("first"))
                    await pause(fleet.world, SECOND)
                    leader = fleet.leader()
                    await scenario(fleet, leader, [n for n in names if n != leader])
                    await seconds_until(fleet, lambda: bool(fleet.leader()))
                    await pause(fleet.world, 2 * SECOND)
                    self.assertLess(await seconds_to_apply(fleet, "last"), SECOND)

                with self.subTest(cores=core_count, seed=seed):
                    run_cores(core_count, seed, run_one)

    async def assert_new_leader(self, fleet: SimFleet, leader: str, limit_seconds: float) -> None:
        took_seconds = await seconds_until(fleet, lambda: fleet.leader() not in ("", leader))
        self.assertLess(took_seconds, limit_seconds)

    def test_a_killed_leader(self) -> None:
        async def scenario(fleet: SimFleet, leader: str, others: list[str]) -> None:
            fleet.kill(leader, loses_power=True)
            await self.assert_new_leader(fleet, leader, 1.3)
            self.assertLess(await seconds_to_apply(fleet, "a"), 1.0)
            fleet.start(leader)

        self.run_scenario(scenario)

    def test_a_leader_that_freezes_and_wakes(self) -> None:
        async def scenario(fleet: SimFleet, leader: str, others: list[str]) -> None:
            fleet.freeze(leader)
            await self.assert_new_leader(fleet, leader, 1.3)
            await pause(fleet.world, 3 * SECOND)
            epoch = fleet.cores[fleet.leader()].raft.term
            fleet.wake(leader)
            await pause(fleet.world, SECOND)
            self.assertFalse(fleet.cores[leader].raft.is_leader())
            self.assertEqual(fleet.cores[fleet.leader()].raft.term, epoch, "the leader that woke caused an election")

        self.run_scenario(scenario)

    def test_a_leader_that_hears_nobody_or_is_heard_by_nobody(self) -> None:
        for leader_hears in (True, False):

            async def scenario(
                fleet: SimFleet, leader: str, others: list[str], leader_hears: bool = leader_hears
            ) -> None:
                pairs = (
                    fleet.cut([leader], others, both_ways=False)
                    if leader_hears
                    else [pair for name in others for pair in fleet.cut([name], [leader], both_ways=False)]
                )
                await self.assert_new_leader(fleet, leader, 2.6)
                fleet.restore_links(pairs)
                await pause(fleet.world, SECOND)

            with self.subTest(leader_hears=leader_hears):
                self.run_scenario(scenario)

    def test_a_leader_in_the_minority(self) -> None:
        async def scenario(fleet: SimFleet, leader: str, others: list[str]) -> None:
            minority = [leader, *others[: len(others) // 2 - 1]]
            majority = [n for n in others if n not in minority]
            pairs = fleet.cut(minority, majority)
            await self.assert_new_leader(fleet, leader, 1.3)
            await pause(fleet.world, 2 * SECOND)
            self.assertFalse(fleet.cores[leader].raft.is_leader())
            fleet.restore_links(pairs)

        self.run_scenario(scenario)

    def test_all_cores_killed_and_back_within_a_second(self) -> None:
        async def scenario(fleet: SimFleet, leader: str, others: list[str]) -> None:
            for name in [leader, *others]:
                fleet.kill(name, loses_power=True)
            for name in [leader, *others]:
                await pause(fleet.world, fleet.world.rng.randrange(SECOND // (len(others) + 1)))
                fleet.start(name)
            self.assertLess(await seconds_until(fleet, lambda: bool(fleet.leader())), 1.3)

        self.run_scenario(scenario)

    def test_disks_slow_by_a_factor_of_25_cost_no_leader(self) -> None:
        async def scenario(fleet: SimFleet, leader: str, others: list[str]) -> None:
            epoch = fleet.cores[leader].raft.term
            for name in [leader, *others]:
                fleet.world.machine(name).disk.slowness = 50
            for number in range(20):
                self.assertLess(await seconds_to_apply(fleet, str(number)), 2.0)
            self.assertEqual(fleet.cores[leader].raft.term, epoch)
            for name in [leader, *others]:
                fleet.world.machine(name).disk.slowness = 1

        self.run_scenario(scenario, seeds=3)

    def test_reads_are_answered_while_disks_stall(self) -> None:
        """As many disks stall as may fail at once (one of three, the leader's), or those of all followers."""
        for kind in ("leader", "followers"):

            async def scenario(fleet: SimFleet, leader: str, others: list[str], kind: str = kind) -> None:
                names = [leader] if kind == "leader" else others
                for name in names:
                    fleet.set_disk(name, "stalled", True)
                applied = fleet.world.loop.create_task(fleet.apply(fleet.marked_description("a")))
                await pause(fleet.world, SECOND)
                for _ in range(3):
                    self.assertTrue(await any_core_reads(fleet, [fleet.leader(), leader, *others]))
                for name in names:
                    fleet.set_disk(name, "stalled", False)
                await applied

            with self.subTest(kind=kind):
                self.run_scenario(scenario, core_counts=(3,))

    def test_a_full_disk_steps_down_and_comes_back(self) -> None:
        async def scenario(fleet: SimFleet, leader: str, others: list[str]) -> None:
            fleet.set_disk(leader, "full", True)
            self.assertLess(await seconds_to_apply(fleet, "a"), 2.0)
            await self.assert_new_leader(fleet, leader, 1.0)
            await pause(fleet.world, 4 * SECOND)
            self.assertTrue(fleet.world.machine(leader).is_alive)
            fleet.set_disk(leader, "full", False)

        self.run_scenario(scenario)

    def test_disks_that_were_full_while_digests_were_kept(self) -> None:
        """Guards against a deadlock: all disks are full at once, all cores are cut off and have nothing else to write.

        Without another write, no core would notice that its disk has room again.
        """

        async def scenario(fleet: SimFleet, leader: str, others: list[str]) -> None:
            pairs = fleet.cut([leader, *others], [leader, *others])
            for name in [leader, *others]:
                fleet.set_disk(name, "full", True)
                raft = fleet.cores[name].raft
                await raft.snapshots.write_snapshot(raft.snapshots.build())
            await pause(fleet.world, 4 * SECOND)
            for name in [leader, *others]:
                fleet.set_disk(name, "full", False)
            fleet.restore_links(pairs)
            self.assertLess(await seconds_until(fleet, lambda: bool(fleet.leader())), 2.0)

        self.run_scenario(scenario, core_counts=(3,), seeds=3)
