"""A core that missed hundreds of changes catches up within a time bound while changes go on, in virtual time.

Guards against a core that never catches up after a restart, a lost disk, a slow link or disk, or a loss of power while
it installs a snapshot, and against a leader that lacks acknowledged changes.
"""

from __future__ import annotations

import dataclasses
import json
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from result import Ok, Result

from pearhead.rpc.wire_pb2 import Command
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.world import Machine, World, pause
from tests.test_core_membership import all_agree, clear_founders, run_cores, seconds_until
from tests.test_description_change import route, whole_description

CHANGE_COUNT = 300
ONGOING_CHANGE_COUNT = 20
CHANGE_EVERY_MICROS = 60 * MILLI
ROUTE_COUNT = 1_400
LARGE_BYTES = 3_000_000
LARGE_AT, ROUTES_AT = (50, 170, 260), (90, 210)
CALL_MICROS = 6 * SECOND
DOWN_MICROS = 20 * SECOND
LINK_BYTES_A_SECOND = 625_000
DISK_SLOWNESS = 30
SLOW_DISK_CHANGES = 200
LEADER_LOST_AT = 40
# The time bound: this long to start and reach the leader, plus twice the time to send the missing bytes over the link.
STARTUP_SECONDS = 1.0
LEADER_SECONDS = 2.0
# Before which sync of a snapshot installation power is lost (the snapshot, the segment, the removal of older files),
# and whether the disk is wiped first.
INSTALL_STOPS = ((0, False), (1, False), (2, False), (3, False), (0, True), (1, True), (2, True))


def build_change(number: int) -> Command:
    """Builds a change: most are small, some have 1,400 routes, some several megabytes."""
    document = whole_description(source=f"change {number}")
    if number in LARGE_AT:
        document["source"] = str(number).ljust(LARGE_BYTES, "x")
    if number in ROUTES_AT:
        document["routes"] = [route(f"r{n}", f"/{number}/{n}/") for n in range(ROUTE_COUNT)]
    command = Command()
    command.change.base_number, command.change.number = number - 1, number
    command.change.document = json.dumps(document).encode()
    return command


class SlowLink:
    """Puts one machine behind a link of limited bandwidth; frames queue separately in each direction."""

    def __init__(self, world: World, name: str, bytes_a_second: int) -> None:
        self.world = world
        self.name = name
        self.bytes_a_second = bytes_a_second
        self.free_micros = {"in": 0, "out": 0}
        self.sent_bytes = 0
        self.transmit = world.transmit
        world.transmit = self.delay  # type: ignore[method-assign]

    def delay(self, source: Machine, target_address: str, frame_bytes: bytes, is_stream: bool) -> None:
        is_inbound, is_outbound = target_address == f"{self.name}:1", source.name == self.name
        if not is_inbound and not is_outbound:
            self.transmit(source, target_address, frame_bytes, is_stream)
            return
        direction = "in" if is_inbound else "out"
        start_micros = max(self.world.now(), self.free_micros[direction])
        self.free_micros[direction] = start_micros + len(frame_bytes) * SECOND // self.bytes_a_second
        self.sent_bytes += len(frame_bytes)
        delay_seconds = (self.free_micros[direction] - self.world.now()) / SECOND
        self.world.loop.call_later(delay_seconds, self.transmit, source, target_address, frame_bytes, is_stream)


class CatchUpCluster:
    """Three cores and an operator that keeps making changes; records leaders that lack acknowledged changes."""

    def __init__(self, test: unittest.TestCase, fleet: SimFleet) -> None:
        self.test = test
        self.fleet = fleet
        self.number = 0
        self.acknowledged_index = 0
        self.told_bytes = 0
        self.leaders_behind: list[str] = []

    async def begin(self) -> str:
        """Starts the cores; returns the one that will fall behind, which is not the leader."""
        names = [n for n in self.fleet.startups if n.startswith("core-")]
        for name in names:
            self.fleet.start(name)
        await seconds_until(self.fleet, lambda: all_agree(self.fleet, names))
        clear_founders(self.fleet)
        self.fleet.world.loop.create_task(self._watch_leaders())
        await self.change(1)
        return next(n for n in names if n != self.fleet.leader())

    async def change(self, count: int, every_micros: int = 0) -> None:
        for _ in range(count):
            self.number += 1
            command = build_change(self.number)
            self.told_bytes += len(command.change.document)
            await self._call_until_done(command)
            await pause(self.fleet.world, every_micros)

    async def _call_until_done(self, command: Command) -> None:
        end_micros = self.fleet.world.now() + CALL_MICROS
        while self.fleet.world.now() < end_micros:
            leader = self.fleet.leader()
            if leader:
                answer = await self._call(leader, Command.FromString(command.SerializeToString()))
                if isinstance(answer, Ok) and answer.ok_value.status == "done":
                    self.acknowledged_index = max(self.acknowledged_index, answer.ok_value.index)
                    return
                if isinstance(answer, Ok):
                    self.test.assertNotIn(answer.ok_value.status, ("conflict", "refused"), answer.ok_value.body[:200])
            await pause(self.fleet.world, 20 * MILLI)
        raise AssertionError(f"change {self.number} was not acknowledged")

    async def _call(self, name: str, command: Command) -> Result[Any, str]:
        machine, core = self.fleet.world.machine(name), self.fleet.cores[name]
        return await self.fleet.world.run_on_machine(machine, "outside", lambda: core.execute(command), CALL_MICROS)

    async def _watch_leaders(self) -> None:
        while True:
            leader = self.fleet.leader()
            if leader:
                last_index = self.fleet.cores[leader].raft.last_index()
                if last_index < self.acknowledged_index:
                    self.leaders_behind.append(f"{leader} leads with {last_index} of {self.acknowledged_index}")
            await pause(self.fleet.world, 5 * MILLI)

    def lag(self, name: str) -> int:
        core = self.fleet.cores[name]
        if not hasattr(core, "raft"):
            return self.acknowledged_index
        return self.acknowledged_index - core.raft.applied_index

    async def seconds_to_catch_up(self, name: str, limit_seconds: float) -> float:
        """Measures, while changes go on, the time until the core is at most one change behind."""
        ongoing_changes = self.fleet.world.loop.create_task(self.change(ONGOING_CHANGE_COUNT, CHANGE_EVERY_MICROS))
        took_seconds = await seconds_until(self.fleet, lambda: self.lag(name) <= 1, limit_seconds)
        await ongoing_changes
        return took_seconds

    async def check_needed_for_majority(self, name: str) -> None:
        """Stops another core, so that this one is needed for the majority, and checks that no change is lost."""
        self.test.assertLess(await seconds_until(self.fleet, lambda: self.lag(name) == 0), 1.0)
        other = next(n for n in self.fleet.cores if n not in (name, self.fleet.leader()))
        self.fleet.kill(other, loses_power=True)
        await self.change(1)
        majority = (name, self.fleet.leader())
        await seconds_until(self.fleet, lambda: all(self.lag(n) == 0 for n in majority), 2.0)
        for core_name in majority:
            fleet = self.fleet.cores[core_name].fleet
            self.test.assertEqual(fleet.description_number, self.number, core_name)
            self.test.assertEqual(len(fleet.retained_changes), self.number, core_name)

    def bound_seconds(self, bytes_a_second: float) -> float:
        """The time bound; the log, or the snapshot and the log after it, is never larger than all the changes sent."""
        return STARTUP_SECONDS + 2 * self.told_bytes / bytes_a_second


Scenario = Callable[[CatchUpCluster, str], Awaitable[None]]


class CatchingUpTest(unittest.TestCase):
    def run_scenario(self, scenario: Scenario, entries_per_snapshot: int = 100, seed: int = 1) -> None:
        async def run(fleet: SimFleet) -> None:
            for name, startup in list(fleet.startups.items()):
                fleet.startups[name] = dataclasses.replace(
                    startup, digestEvery=entries_per_snapshot, keptEntries=entries_per_snapshot // 4
                )
            cluster = CatchUpCluster(self, fleet)
            await scenario(cluster, await cluster.begin())
            self.assertEqual(cluster.leaders_behind, [])

        run_cores(3, seed, run)

    def test_down_for_20_s(self) -> None:
        self.run_scenario(lambda cluster, name: self.restart_and_catch_up(cluster, name, is_wiped=False))

    def test_down_for_20_s_and_wiped(self) -> None:
        self.run_scenario(lambda cluster, name: self.restart_and_catch_up(cluster, name, is_wiped=True))

    async def restart_and_catch_up(self, cluster: CatchUpCluster, name: str, is_wiped: bool) -> None:
        fleet = cluster.fleet
        fleet.kill(name, loses_power=True)
        start_micros = fleet.world.now()
        await cluster.change(CHANGE_COUNT)
        await pause(fleet.world, max(0, start_micros + DOWN_MICROS - fleet.world.now()))
        if is_wiped:
            fleet.world.machine(name).disk.empty()
        fleet.start(name)
        self.assertLess(await cluster.seconds_to_catch_up(name, 20.0), STARTUP_SECONDS)
        self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, list(fleet.cores))), 2.0)
        await cluster.check_needed_for_majority(name)

    def test_the_leader_is_lost_while_another_is_behind(self) -> None:
        """The core with the full log becomes leader, and changes commit as soon as the other one has caught up."""

        async def scenario(cluster: CatchUpCluster, name: str) -> None:
            fleet = cluster.fleet
            fleet.kill(name, loses_power=True)
            await cluster.change(LEADER_LOST_AT)
            lost = fleet.leader()
            fleet.start(name)
            await pause(fleet.world, 10 * MILLI)
            self.assertGreater(cluster.lag(name), LEADER_LOST_AT // 2)
            fleet.kill(lost, loses_power=True)
            start_micros = fleet.world.now()
            await cluster.change(1)
            self.assertLess((fleet.world.now() - start_micros) / SECOND, LEADER_SECONDS)
            self.assertNotEqual(fleet.leader(), name)
            fleet.start(lost)
            self.assertLess(await cluster.seconds_to_catch_up(lost, 20.0), STARTUP_SECONDS)
            await cluster.check_needed_for_majority(name)

        for seed in range(6):
            with self.subTest(seed=seed):
                self.run_scenario(scenario, seed=seed)

    def test_behind_a_narrow_link(self) -> None:
        async def scenario(cluster: CatchUpCluster, name: str) -> None:
            SlowLink(cluster.fleet.world, name, LINK_BYTES_A_SECOND)
            await cluster.change(CHANGE_COUNT)
            bound_seconds = cluster.bound_seconds(LINK_BYTES_A_SECOND)
            took_seconds = await cluster.seconds_to_catch_up(name, bound_seconds)
            self.assertLess(took_seconds, bound_seconds)

        self.run_scenario(scenario)

    def test_a_disk_thirty_times_slower(self) -> None:
        async def scenario(cluster: CatchUpCluster, name: str) -> None:
            cluster.fleet.world.machine(name).disk.slowness = DISK_SLOWNESS
            await cluster.change(SLOW_DISK_CHANGES)
            self.assertLess(await cluster.seconds_to_catch_up(name, 20.0), STARTUP_SECONDS)
            await cluster.check_needed_for_majority(name)

        self.run_scenario(scenario)

    def test_power_lost_at_each_step_of_a_takeover(self) -> None:
        async def scenario(cluster: CatchUpCluster, name: str) -> None:
            fleet = cluster.fleet
            fleet.kill(name, loses_power=True)
            await cluster.change(CHANGE_COUNT // 2)
            for sync_number, is_wiped in INSTALL_STOPS:
                if is_wiped:
                    fleet.world.machine(name).disk.empty()
                await self.lose_power_during_install(cluster, name, sync_number)
                await cluster.change(30)
            fleet.start(name)
            self.assertLess(await cluster.seconds_to_catch_up(name, 20.0), STARTUP_SECONDS)
            self.assertLess(await seconds_until(fleet, lambda: all_agree(fleet, list(fleet.cores))), 2.0)
            await cluster.check_needed_for_majority(name)

        self.run_scenario(scenario, entries_per_snapshot=20)

    async def lose_power_during_install(self, cluster: CatchUpCluster, name: str, sync_number: int) -> None:
        """Loses power before the sync with this number, counted from when the whole snapshot was received."""
        fleet = cluster.fleet
        disk = fleet.world.machine(name).disk
        sync = disk._sync
        remaining_syncs = [sync_number]

        async def counted_sync() -> None:
            core = fleet.cores[name]
            if hasattr(core, "raft") and core.raft.is_installing_snapshot:
                remaining_syncs[0] -= 1
                if remaining_syncs[0] < 0:
                    fleet.kill(name, loses_power=True)
            await sync()

        disk._sync = counted_sync  # type: ignore[method-assign]
        fleet.start(name)
        await seconds_until(fleet, lambda: remaining_syncs[0] < 0, 3.0)
        disk._sync = sync  # type: ignore[method-assign]
        self.assertLess(remaining_syncs[0], 0, f"no snapshot installation reached sync {sync_number}")
