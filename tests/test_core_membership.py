"""Bootstrap, joining and replacement of cores whose founders are configured for the first start only (§4.9).

The simulated fleets run on virtual time.
"""

from __future__ import annotations

import dataclasses
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from pearhead.control_plane.core_process import FOUNDERS_FILE
from pearhead.rpc.wire_pb2 import Command
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.deployment import KLIPPVIK
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time

Scenario = Callable[[SimFleet], Awaitable[None]]


def clear_founders(fleet: SimFleet) -> None:
    """Removes the founders from the startup files: from here on no core is told of them any more."""
    for name in list(fleet.startups):
        fleet.startups[name] = dataclasses.replace(fleet.startups[name], founders=[])


def build_fleet(world: World, core_count: int) -> SimFleet:
    """A fleet whose seeds and founders are the first three cores, however many there are."""
    fleet = SimFleet(world, dataclasses.replace(KLIPPVIK, core_count=core_count), 1)
    seeds = [f"core-{n + 1}:1" for n in range(3)]
    for name in [n for n in fleet.startups if n.startswith("core-")]:
        fleet.startups[name] = dataclasses.replace(fleet.startups[name], seeds=seeds, founders=seeds)
    return fleet


def voters_of(fleet: SimFleet) -> list[str]:
    """Addresses of the voters by the leader's log; none if no core leads."""
    leader = fleet.leader()
    return sorted(fleet.cores[leader].raft.voters().values()) if leader else []


def all_agree(fleet: SimFleet, names: list[str]) -> bool:
    """Whether a core leads and each of these cores knows that exactly these vote."""
    cores = [fleet.cores[n] for n in names]
    identities = {c.identity for c in cores}
    return bool(fleet.leader()) and all(hasattr(c, "raft") and set(c.raft.voters()) == identities for c in cores)


async def seconds_until(fleet: SimFleet, is_reached: Callable[[], bool], limit_seconds: float = 20.0) -> float:
    """Waits until a condition holds, and returns how long it took; at `limit_seconds` it gives up."""
    start_micros = fleet.world.now()
    while not is_reached() and fleet.world.now() - start_micros < limit_seconds * SECOND:
        await pause(fleet.world, 20 * MILLI)
    return (fleet.world.now() - start_micros) / SECOND


def run_cores(core_count: int, seed: int, scenario: Scenario) -> None:
    """Runs a scenario with a simulated fleet of this many cores."""

    async def run_scenario(world: World) -> None:
        await scenario(build_fleet(world, core_count))

    run_in_virtual_time(seed, run_scenario)


class MembersTest(unittest.TestCase):
    async def bootstrap(self, fleet: SimFleet) -> list[str]:
        """Starts the cores within a second, in any order, and waits until all vote; returns their names."""
        names = [n for n in fleet.startups if n.startswith("core-")]
        start_order = list(names)
        fleet.world.rng.shuffle(start_order)
        for name in start_order:
            fleet.start(name)
            await pause(fleet.world, fleet.world.rng.randrange(1_000 * MILLI // len(names)))
        took_seconds = await seconds_until(fleet, lambda: all_agree(fleet, names))
        self.assertLess(took_seconds, 2.5, f"{voters_of(fleet)} vote")
        clear_founders(fleet)
        return names

    async def apply(self, fleet: SimFleet, mark: str, limit_seconds: float) -> None:
        """Applies a description with this mark, and checks that it is acknowledged in time."""
        start_micros = fleet.world.now()
        self.assertEqual(await fleet.apply(fleet.marked_description(mark)), "done")
        self.assertLess((fleet.world.now() - start_micros) / SECOND, limit_seconds)

    def test_all_cores_vote_soon_though_only_three_found(self) -> None:
        for core_count in (3, 5):
            for seed in range(4):

                async def scenario(fleet: SimFleet) -> None:
                    names = await self.bootstrap(fleet)
                    await self.apply(fleet, "a", 2.0)
                    lost_count = len(names) // 2
                    for name in names:
                        fleet.kill(name, loses_power=True)
                    for name in names[lost_count:]:
                        fleet.start(name)
                    await seconds_until(fleet, lambda: bool(fleet.leader()))
                    await self.apply(fleet, "b", 2.0)
                    for name in names[:lost_count]:
                        fleet.start(name)
                    self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, names)), 2.0)

                with self.subTest(cores=core_count, seed=seed):
                    run_cores(core_count, seed, scenario)

    def test_nothing_is_acknowledged_before_all_that_are_known_vote(self) -> None:
        for seed in range(4):

            async def scenario(fleet: SimFleet) -> None:
                names = [n for n in fleet.startups if n.startswith("core-")]
                for name in names:
                    fleet.start(name)
                apply_task = fleet.world.loop.create_task(fleet.apply(fleet.marked_description("a")))
                await seconds_until(fleet, apply_task.done)
                self.assertEqual(len(voters_of(fleet)), 5)

            with self.subTest(seed=seed):
                run_cores(5, seed, scenario)

    def test_an_empty_disk_without_founders_never_founds(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            clear_founders(fleet)
            for name in [n for n in fleet.startups if n.startswith("core-")]:
                fleet.start(name)
            await pause(fleet.world, 10 * SECOND)
            self.assertEqual(voters_of(fleet), [])

        run_cores(3, 1, scenario)

    def test_founders_killed_before_they_founded_found_in_their_next_life(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            names = [n for n in fleet.startups if n.startswith("core-")]
            fleet.start(names[0])
            await pause(fleet.world, 100 * MILLI)
            fleet.kill(names[0])
            for name in names[1:]:
                fleet.start(name)
            fleet.startups[names[0]] = dataclasses.replace(fleet.startups[names[0]], founders=[])
            fleet.start(names[0])
            self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, names)), 3.0)

        run_cores(3, 1, scenario)

    def test_founders_that_lost_power_before_they_had_an_identity_still_know_the_founders(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            names = [n for n in fleet.startups if n.startswith("core-")]
            founders = json.dumps(fleet.startups[names[0]].founders).encode()
            fleet.world.machine(names[0]).disk.files[FOUNDERS_FILE] = founders
            fleet.startups[names[0]] = dataclasses.replace(fleet.startups[names[0]], founders=[])
            for name in names:
                fleet.start(name)
            self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, names)), 3.0)

        run_cores(3, 1, scenario)

    def test_a_machine_that_lost_its_disk_votes_again_soon_at_its_address(self) -> None:
        for core_count in (3, 5):
            for seed in range(4):

                async def scenario(fleet: SimFleet) -> None:
                    names = await self.bootstrap(fleet)
                    for number in range(6):
                        await self.apply(fleet, str(number), 2.0)
                        name = (fleet.leader() or names[0]) if number % 2 else names[number % len(names)]
                        fleet.kill(name, loses_power=True)
                        fleet.world.machine(name).disk.empty()
                        await pause(fleet.world, fleet.world.rng.randrange(200 * MILLI, 4 * SECOND))
                        fleet.start(name)
                        took_seconds = await seconds_until(fleet, lambda: all_agree(fleet, names))
                        self.assertLess(took_seconds, 2.0, f"{name}: {voters_of(fleet)} vote")
                    self.assertEqual(len(fleet.cores[names[0]].fleet.history), 6)

                with self.subTest(cores=core_count, seed=seed):
                    run_cores(core_count, seed, scenario)

    def test_two_of_five_disks_lost_while_the_rest_lose_power(self) -> None:
        for seed in range(4):

            async def scenario(fleet: SimFleet) -> None:
                names = await self.bootstrap(fleet)
                await self.apply(fleet, "a", 2.0)
                for name in names:
                    fleet.kill(name, loses_power=True)
                for name in fleet.world.rng.sample(names, 2):
                    fleet.world.machine(name).disk.empty()
                for name in names:
                    fleet.start(name)
                self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, names)), 4.0)
                self.assertEqual(len(fleet.cores[names[0]].fleet.history), 1)

            with self.subTest(seed=seed):
                run_cores(5, seed, scenario)

    def test_disks_lost_at_the_end_of_a_day_while_every_machine_loses_power(self) -> None:
        """Power is lost right after an acknowledgement, and no identity of a core is known any more.

        The front nodes lose power as well, so no process is left that remembers the cores.
        """
        for core_count, lost_count in ((3, 1), (5, 2)):
            for seed in range(3):

                async def scenario(fleet: SimFleet, lost_count: int = lost_count) -> None:
                    names = await self.bootstrap(fleet)
                    nodes = [name for name in fleet.startups if name.startswith("node-")]
                    for name in nodes:
                        fleet.start(name)
                    await pause(fleet.world, 2 * SECOND)
                    await self.apply(fleet, "a", 2.0)
                    await self.apply(fleet, "b", 2.0)
                    for name in names + nodes:
                        fleet.kill(name, loses_power=True)
                    for name in fleet.world.rng.sample(names, lost_count):
                        fleet.world.machine(name).disk.empty()
                    start_order = fleet.world.rng.sample(names + nodes, len(names + nodes))
                    for name in start_order:
                        fleet.start(name)
                        await pause(fleet.world, SECOND // len(start_order))
                    self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, names)), 4.0)
                    self.assertEqual(len(fleet.cores[names[0]].fleet.history), 2)
                    await self.apply(fleet, "c", 4.0)
                    took_seconds = await seconds_until(
                        fleet, lambda: all(fleet.nodes[n].view_replica.is_current() for n in nodes)
                    )
                    self.assertLess(took_seconds, 4.0, "the nodes' views were not current in time")

                with self.subTest(cores=core_count, seed=seed):
                    run_cores(core_count, seed, scenario)

    def test_cores_move_to_new_addresses_one_by_one(self) -> None:
        """Each old core is lost for good, a little before or after its successor at a new address starts."""
        for seed in range(4):

            async def scenario(fleet: SimFleet) -> None:
                names = await self.bootstrap(fleet)
                for number in range(3):
                    new_name = f"core-{number + 6}"
                    fleet.startups[new_name] = dataclasses.replace(
                        fleet.startups[names[0]],
                        address=f"{new_name}:1",
                        httpAddress=f"{new_name}:2",
                        seeds=[f"{n}:1" for n in names[:3]],
                        founders=[],
                        lostAfterMicros=3 * SECOND,
                    )
                    old_name = names.pop(0)
                    for is_kill in fleet.world.rng.sample([True, False], 2):
                        if is_kill:
                            fleet.kill(old_name, loses_power=True)
                        else:
                            fleet.start(new_name)
                        await pause(fleet.world, fleet.world.rng.randrange(SECOND))
                    names.append(new_name)
                    fleet.remove_core(old_name)
                    took_seconds = await seconds_until(fleet, lambda: all_agree(fleet, names), 30.0)
                    self.assertLess(took_seconds, 20.0, f"{old_name} to {new_name}: {voters_of(fleet)} vote")
                    await self.apply(fleet, str(number), 2.0)

            with self.subTest(seed=seed):
                run_cores(3, seed, scenario)

    def test_a_core_that_was_let_go_while_cut_off_comes_back_as_a_learner(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            names = await self.bootstrap(fleet)
            cut_name = next(n for n in names if n != fleet.leader())
            cut_links = fleet.cut([cut_name], [n for n in names if n != cut_name])
            fleet.startups["core-9"] = dataclasses.replace(
                fleet.startups[cut_name], address="core-9:1", httpAddress="core-9:2", founders=[]
            )
            await pause(fleet.world, SECOND)
            fleet.start("core-9")
            voter_names = [n for n in names if n != cut_name] + ["core-9"]
            await seconds_until(fleet, lambda: all_agree(fleet, voter_names))
            fleet.restore_links(cut_links)
            await pause(fleet.world, 5 * SECOND)
            members = fleet.cores[fleet.leader()].raft.members()
            self.assertEqual({m.address: m.voter for m in members.member}[f"{cut_name}:1"], False)
            fleet.kill(next(n for n in voter_names if n != fleet.leader()), loses_power=True)
            self.assertLess(await seconds_until(fleet, lambda: f"{cut_name}:1" in voters_of(fleet)), 8.0)

        run_cores(3, 1, scenario)

    async def add_core(self, fleet: SimFleet, name: str, template_name: str, **changes: Any) -> None:
        """Starts a core with an empty disk in the zone of another core; its seeds are cores that run now."""
        seeds = [f"{n}:1" for n in fleet.live_cores()][:3]
        fleet.startups[name] = dataclasses.replace(
            fleet.startups[template_name],
            address=f"{name}:1",
            httpAddress=f"{name}:2",
            founders=[],
            seeds=seeds,
            **changes,
        )
        fleet.start(name)

    async def replace_as_planned(self, fleet: SimFleet, old_name: str, new_name: str) -> None:
        """Starts the new core first, then stops the old one for good, which drains within its grace period."""
        await self.add_core(fleet, new_name, old_name)
        await pause(fleet.world, fleet.world.rng.randrange(3 * SECOND))
        await fleet.cores[old_name].drain()
        fleet.kill(old_name)
        fleet.remove_core(old_name)

    def test_a_planned_replacement_and_two_losses_after_it_leave_a_leader(self) -> None:
        """One core is replaced as planned, 15 s later another is lost and replaced, then a third loses its disk.

        A case from issue 17 (B0).
        """
        for core_count in (3, 5):
            for seed in range(4):

                async def scenario(fleet: SimFleet, core_count: int = core_count) -> None:
                    names = await self.bootstrap(fleet)
                    await self.apply(fleet, "a", 2.0)
                    replaced_name = fleet.leader() if fleet.world.rng.random() < 0.5 else names[0]
                    await self.replace_as_planned(fleet, replaced_name, "core-6")
                    names.remove(replaced_name)
                    await pause(fleet.world, 15 * SECOND)
                    lost_name = fleet.world.rng.choice(names)
                    names.remove(lost_name)
                    fleet.kill(lost_name, loses_power=True)
                    fleet.remove_core(lost_name)
                    await pause(fleet.world, fleet.world.rng.randrange(3 * SECOND))
                    await self.add_core(fleet, "core-7", lost_name)
                    # Another machine may be lost once the successor has run for this long: that is guaranteed.
                    await pause(fleet.world, fleet.startups["core-7"].lostAfterMicros - SECOND)
                    self.assertEqual(len(voters_of(fleet)), core_count)
                    wiped_name = fleet.world.rng.choice([*names, "core-6"])
                    fleet.kill(wiped_name, loses_power=True)
                    fleet.world.machine(wiped_name).disk.empty()
                    self.assertLess(await seconds_until(fleet, lambda: bool(fleet.leader())), 2.0)
                    await self.apply(fleet, "b", 2.0)
                    fleet.start(wiped_name)
                    core_names = [*names, "core-6", "core-7"]
                    self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, core_names)), 4.0)
                    for name in core_names:
                        fleet.kill(name, loses_power=True)
                    for name in core_names:
                        fleet.start(name)
                    self.assertLess(await seconds_until(fleet, lambda: bool(fleet.leader())), 2.0)
                    await self.apply(fleet, "c", 2.0)

                with self.subTest(cores=core_count, seed=seed):
                    run_cores(core_count, seed, scenario)

    def test_votes_are_spread_over_the_zones_again(self) -> None:
        """A successor in another zone votes only until a core of the zone without a voter is back and caught up."""

        async def scenario(fleet: SimFleet) -> None:
            names = await self.bootstrap(fleet)
            killed_name = next(n for n in names if n != fleet.leader())
            remaining_name = next(n for n in names if n not in (killed_name, fleet.leader()))
            fleet.kill(killed_name)
            await self.add_core(fleet, "core-9", remaining_name)
            voter_names = [n for n in names if n != killed_name] + ["core-9"]
            self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, voter_names)), 4.0)
            fleet.start(killed_name)
            zones = {fleet.startups[n].area for n in names}
            self.assertEqual(len(zones), 3)

            def is_spread() -> bool:
                voters = [v.removesuffix(":1") for v in voters_of(fleet)]
                return {fleet.startups[v].area for v in voters} == zones

            self.assertLess(await seconds_until(fleet, is_spread), 4.0)

        run_cores(3, 1, scenario)


class LateTellTest(unittest.TestCase):
    def test_a_command_before_founding_is_told_as_not_run(self) -> None:
        async def scenario(fleet: SimFleet) -> None:
            clear_founders(fleet)
            fleet.start("core-1")
            await pause(fleet.world, SECOND)
            result = await fleet.cores["core-1"].execute(Command(transaction=b"a"))
            self.assertEqual(result.status, "unavailable")

        run_cores(3, 1, scenario)
