"""How old a roster may become: behind narrow links, with lost notes, and when the polling nodes are gone."""

from __future__ import annotations

import dataclasses
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from pearhead.router.worker_control import Backend
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.uplink import PACKET_OVERHEAD_BYTES, Uplink
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time
from tests.workerfleet import LINE, SERVICE, WorkerFleet, asker_of, busiest_second

# The size of the users' sites: 63 nodes behind links of 5 Mbit/s. They did not state the links' queue size; it is
# estimated from a trial.
NODE_COUNT = 63
WORKER_COUNT = 31
LINK_BYTES_PER_SECOND = 625_000
LINK_QUEUE_BYTES = 32 * 1024
# A leaving worker serves for at least 3 s more, of which half a second is left for a request to reach it.
KNOWN_WITHIN_MICROS = 2_500 * MILLI
# Time of one batch on the sender's link, plus the network latency.
ON_THE_LINK_MICROS = 30 * MILLI


def run_fleet(node_count: int, scenario: Callable[[WorkerFleet], Coroutine[Any, Any, Any]], seed: int = 1) -> Any:
    """Runs a scenario on a fleet whose nodes have narrow links, ten seconds after its start."""

    async def run_scenario(world: World) -> Any:
        fleet = WorkerFleet(world, node_count)
        for node in fleet.nodes:
            world.uplinks[node.name] = Uplink(LINK_BYTES_PER_SECOND, LINK_QUEUE_BYTES)
        for number in range(WORKER_COUNT):
            add_worker(fleet, f"i-{number:010x}")
        fleet.start("roster_synchronizer")
        await pause(world, 10 * SECOND)
        result = await scenario(fleet)
        assert not fleet.faults(), fleet.faults()
        return result

    return run_in_virtual_time(seed, run_scenario)


def add_worker(fleet: WorkerFleet, name: str) -> None:
    fleet.platform.add(name)
    fleet.platform.listed[name] = Backend(
        name, f"10.2.64.{len(fleet.platform.listed)}:8701", "edappally", SERVICE, 12, versions={LINE: 1}
    )


def start_leaving(fleet: WorkerFleet, count: int) -> set[str]:
    """Marks `count` workers as leaving in the list, and returns their names."""
    listed = fleet.platform.listed
    names = [name for name, backend in listed.items() if not backend.is_leaving][:count]
    for name in names:
        listed[name] = dataclasses.replace(listed[name], is_leaving=True)
    return set(names)


def unaware(fleet: WorkerFleet, leaving: set[str]) -> list[str]:
    """The running nodes that would still send requests to one of the leaving workers."""
    running = [node for node in fleet.nodes if node.machine.is_alive and not node.machine.is_frozen]
    return [node.name for node in running if leaving & node.available_names()]


class RosterFreshnessTest(unittest.TestCase):
    def test_a_large_fleet_behind_narrow_links_hears_in_time_who_leaves(self) -> None:
        """Incident of issue 20: bursts of notes overflowed the sender's link, which always dropped the same copies."""

        async def scenario(fleet: WorkerFleet) -> None:
            for count in (5, 3, 7):
                leaving = start_leaving(fleet, count)
                for name in leaving:
                    # New weights at the same time: changed entries are sent with all fields.
                    fleet.platform.workers[name].version += 1
                await pause(fleet.world, KNOWN_WITHIN_MICROS)
                self.assertEqual(unaware(fleet, leaving), [])
            # New workers are sent with all fields, so these notes are the largest.
            for number in range(5):
                add_worker(fleet, f"n-{number:010x}")
            leaving = start_leaving(fleet, 3)
            await pause(fleet.world, KNOWN_WITHIN_MICROS)
            self.assertEqual(unaware(fleet, leaving), [])
            dropped = {name: uplink.dropped_count for name, uplink in fleet.world.uplinks.items()}
            self.assertEqual({name for name, count in dropped.items() if count}, set(), "no link dropped datagrams")

        for seed in (1, 2):
            run_fleet(NODE_COUNT, scenario, seed)

    def test_a_node_that_the_asker_does_not_reach_asks_its_peers(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            unreached = next(node for node in fleet.nodes if node is not asker_of(fleet))
            fleet.world.cut([asker_of(fleet).name], [unreached.name])
            calls_before = len(fleet.platform.list_calls)
            for _ in range(4):
                leaving = start_leaving(fleet, 2)
                await pause(fleet.world, KNOWN_WITHIN_MICROS)
                self.assertEqual(unaware(fleet, leaving), [])
            self.assertLessEqual(len(fleet.platform.list_calls) - calls_before, 12, "no second node has to poll")

        run_fleet(9, scenario)

    def test_a_node_that_hears_nobody_asks_the_list_itself(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            unreached = next(node for node in reversed(fleet.nodes) if node is not asker_of(fleet))
            fleet.world.cut([node.name for node in fleet.nodes], [unreached.name])
            for _ in range(4):
                leaving = start_leaving(fleet, 2)
                await pause(fleet.world, KNOWN_WITHIN_MICROS)
                self.assertEqual(unaware(fleet, leaving), [])

        run_fleet(9, scenario)

    def test_no_node_takes_its_list_for_younger_than_it_is(self) -> None:
        """Each batch must carry the list's age at its own sending, which includes the wait for earlier batches."""

        async def scenario(fleet: WorkerFleet) -> None:
            for _ in range(120):
                await pause(fleet.world, 100 * MILLI)
                # The clocks of the machines have different origins, so ages are compared instead of times.
                true_age_micros = fleet.world.now() - fleet.platform.list_calls[-1][0]
                youngest_micros = min(node.roster_synchronizer.age_micros() or 0 for node in fleet.nodes)
                self.assertGreaterEqual(youngest_micros, true_age_micros - ON_THE_LINK_MICROS)

        run_fleet(NODE_COUNT, scenario)

    def test_no_list_grows_old_in_a_quiet_fleet(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            ages = []
            for _ in range(60):
                await pause(fleet.world, 100 * MILLI)
                ages += [fleet.world.now() - node.roster_synchronizer.roster.requested_micros for node in fleet.nodes]
            self.assertLess(max(ages), 2 * SECOND)

        run_fleet(NODE_COUNT, scenario)

    def test_an_asker_that_goes_is_missed_in_time(self) -> None:
        """Also when the nodes ranked next fail together with the polling node."""
        for gone_count in (1, 3, 5):
            for seed in range(1, 5):

                async def scenario(fleet: WorkerFleet, gone_count: int = gone_count) -> None:
                    ranked = sorted(fleet.nodes, key=lambda node: node.roster_synchronizer._rank())
                    gone = {asker_of(fleet).name: asker_of(fleet), **{node.name: node for node in ranked}}
                    for node in list(gone.values())[:gone_count]:
                        node.machine.freeze()
                    leaving = start_leaving(fleet, 2)
                    await pause(fleet.world, KNOWN_WITHIN_MICROS)
                    self.assertEqual(unaware(fleet, leaving), [])
                    self.assertLessEqual(busiest_second([at for at, _ in fleet.platform.list_calls]), 12)

                run_fleet(9, scenario, seed)

    def test_notes_that_are_lost_are_made_up_for(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            for _ in range(5):
                leaving = start_leaving(fleet, 2)
                await pause(fleet.world, KNOWN_WITHIN_MICROS)
                self.assertEqual(unaware(fleet, leaving), [])

        for loss in (0.3, 0.9):

            async def scenario_with_loss(fleet: WorkerFleet, loss: float = loss) -> None:
                fleet.world.datagram_loss = loss
                await scenario(fleet)

            run_fleet(9, scenario_with_loss)


class UplinkTest(unittest.TestCase):
    def test_a_burst_beyond_the_queue_loses_its_tail_and_streams_wait(self) -> None:
        uplink = Uplink(1_000_000, 10 * 1_000)
        size = 1_000 - PACKET_OVERHEAD_BYTES
        departures = [uplink.enqueue(0, size, is_stream=False) for _ in range(12)]
        self.assertEqual(departures, [n * 1_000 for n in range(1, 11)] + [None, None])
        self.assertEqual(uplink.dropped_count, 2)
        self.assertEqual(uplink.enqueue(0, size, is_stream=True), 11_000)
        self.assertEqual(uplink.enqueue(20_000, size, is_stream=False), 21_000, "the queue is empty again")
