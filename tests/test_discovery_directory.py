"""Directory: how records age, are refreshed and are replaced.

FleetDirectoryTest guards against live routers that disappear from directories because others are gone: a process
that knows the same records was told only the oldest age, and that of a dead process's record made all others look old.
"""

from __future__ import annotations

import random
import unittest

from pearhead.discovery.directory import Directory
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import HelloResult, Record
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.testbed.simulator.world import Machine, SimNetwork, World, pause, run_in_virtual_time

CORE_COUNT = 3
ROUTER_COUNT = 63


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        self_record = Record(identity="me", address="a:1", role="router")
        rpc_endpoint = RpcEndpoint("me", "a:1", self.runtime, self.runtime)
        self.directory = Directory(self_record, ["seed:1"], rpc_endpoint, self.runtime, random.Random(1))

    def receive(self, identity: str, address: str, age_micros: int, role: str = "control_plane") -> None:
        record = Record(identity=identity, address=address, role=role, age_micros=age_micros)
        self.directory._handle_hello_result("x", "x:1", HelloResult(known=[record]))

    def test_records_age_over_relays_and_a_new_life_goes_first(self) -> None:
        self.receive("old", "b:1", 4 * SECOND)
        self.assertEqual([r.identity for r in self.directory.members()], ["old"])
        self.assertEqual(self.directory._records_with_age()[0].age_micros, 4 * SECOND)
        self.receive("new", "b:1", 0)
        self.assertEqual([r.identity for r in self.directory.members()], ["new"])
        self.receive("new", "b:1", 3 * SECOND)
        self.runtime.now_micros += 3 * SECOND
        self.assertEqual(
            [r.identity for r in self.directory.members()], ["new"], "an older report does not make a record older"
        )
        self.runtime.now_micros += 3 * SECOND
        self.assertEqual(self.directory.members(), [])

    def test_same_knowledge_refreshes_by_the_oldest_age_only(self) -> None:
        self.receive("b", "b:1", 0)
        self.runtime.now_micros += 4 * SECOND
        result = HelloResult(is_same=True, oldest_age_micros=2 * SECOND)
        self.directory._handle_hello_result("x", "x:1", result)
        self.runtime.now_micros += 2 * SECOND
        self.assertEqual([r.identity for r in self.directory.members()], ["b"])
        self.runtime.now_micros += 2 * SECOND
        self.assertEqual(self.directory.members(), [])

    def test_seeds_are_asked_only_while_no_core_is_known(self) -> None:
        self.assertEqual(self.directory._choose_targets(), ["seed:1"])
        self.receive("core", "c:1", 0)
        self.assertEqual(self.directory._choose_targets(), ["c:1"])


class DirectoryFleet:
    """Simulated cores and routers that run nothing but a directory each."""

    def __init__(self, world: World) -> None:
        self.world = world
        cores = [f"core{number}" for number in range(CORE_COUNT)]
        self.seeds = [f"{name}:1" for name in cores]
        self.directories: dict[str, Directory] = {}
        for name in cores:
            self.start(name, "control_plane")
        for number in range(ROUTER_COUNT):
            self.start(f"n{number}", "router")

    def start(self, name: str, role: str) -> None:
        machine: Machine = self.world.machine(name)
        machine.boot()
        address = f"{name}:1"
        rpc_endpoint = RpcEndpoint(name, address, SimNetwork(machine, address), machine)
        record = Record(identity=name, address=address, role=role)
        directory = Directory(record, self.seeds, rpc_endpoint, machine, random.Random(f"{self.world.seed} {name}"))
        machine.task_group.start(directory.run())
        self.directories[name] = directory

    def fewest_known(self, gone: set[str]) -> int:
        """Returns the least number of running routers that any running router knows, itself included."""
        routers = {name: d for name, d in self.directories.items() if name.startswith("n") and name not in gone}
        return min(len({r.identity for r in d.members("router")} - gone) + 1 for d in routers.values())


class FleetDirectoryTest(unittest.TestCase):
    def test_nodes_that_are_gone_take_no_others_with_them(self) -> None:
        """Crashes one router, and then as many as a zone has."""
        for gone_count in (1, 24):
            for seed in (1, 2):

                async def run_scenario(world: World, gone_count: int = gone_count) -> None:
                    fleet = DirectoryFleet(world)
                    await pause(world, 12 * SECOND)
                    gone = {f"n{number}" for number in range(gone_count)}
                    for name in gone:
                        world.machines[name].crash(False)
                    for _ in range(100):
                        await pause(world, 100 * MILLI)
                        self.assertEqual(fleet.fewest_known(gone), ROUTER_COUNT - gone_count)
                    running = [d for name, d in fleet.directories.items() if name not in gone]
                    known = {r.identity for directory in running for r in directory.members()}
                    self.assertEqual(known & gone, set(), "the crashed routers are still known")

                run_in_virtual_time(seed, run_scenario)
