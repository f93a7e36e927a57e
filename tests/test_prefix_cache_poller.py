"""Cache events over a simulated fleet: one node polls each worker and broadcasts the events to all nodes."""

from __future__ import annotations

import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from pearhead.router.prefix_cache_index import PrefixCacheIndex
from pearhead.router.prefix_cache_poller import combine_notes, pack_parts, unpack_note
from pearhead.router.worker_control import PrefixCacheEvent
from pearhead.rpc.wire_pb2 import KeptNote, KeptPart
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time
from tests.workerfleet import LINE, WorkerFleet, busiest_second, sent_bytes


def make_event(part: str, tokens: int, salt: str = "a-salt-of-some-length-as-they-are") -> PrefixCacheEvent:
    return PrefixCacheEvent(tokens > 0, salt, part, tokens, LINE)


def run_fleet(
    node_count: int, worker_count: int, scenario: Callable[[WorkerFleet], Coroutine[Any, Any, Any]], seed: int = 1
) -> Any:
    async def run_scenario(world: World) -> Any:
        fleet = WorkerFleet(world, node_count, worker_count)
        fleet.start("roster_synchronizer", "poller")
        await pause(world, 6 * SECOND)
        result = await scenario(fleet)
        assert not fleet.faults(), fleet.faults()
        return result

    return run_in_virtual_time(seed, run_scenario)


class PackTest(unittest.TestCase):
    def test_salts_and_lines_are_said_once(self) -> None:
        parts = [KeptPart(salt=s, part=p, tokens=5, line=LINE) for s, p in (("s", "1"), ("s", "2"), ("t", "3"))]
        packed = pack_parts(parts)
        self.assertEqual([p.salt for p in packed], ["s", "", "t"])
        self.assertEqual(list(unpack_note(KeptNote(part=packed)).part), parts)

    def test_a_note_says_the_one_before_again_if_it_follows_it(self) -> None:
        def note(first: int, last: int, whole: bool, **tokens: int) -> KeptNote:
            parts = [KeptPart(salt="s", part=p, tokens=t, line=LINE) for p, t in tokens.items()]
            return KeptNote(worker="w", life="1", from_sequence=first, sequence=last, whole=whole, part=parts)

        combined = combine_notes(note(2, 4, True, a=5, b=5), note(4, 6, False, a=0, c=5))
        self.assertEqual(combined, note(2, 6, True, a=0, b=5, c=5))
        self.assertIsNone(combine_notes(note(2, 4, False), note(5, 6, False)))
        self.assertIsNone(combine_notes(note(2, 4, False), note(4, 6, True)))
        self.assertIsNone(combine_notes(None, note(4, 6, False)))


class KeptGathererTest(unittest.TestCase):
    def test_one_node_asks_for_each_and_all_are_told(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            began = fleet.world.now()
            worker = fleet.platform.workers["w1"]
            for number in range(20):
                worker.events.append(make_event(f"{number:08x}", 100 + number))
                await pause(fleet.world, 50 * MILLI)
            worker.events.append(make_event("00000003", 0))
            await pause(fleet.world, 300 * MILLI)
            expected = {("a-salt-of-some-length-as-they-are", f"{n:08x}"): 100 + n for n in range(20) if n != 3}
            for node in fleet.nodes:
                self.assertEqual(node.sink.kept("w1"), expected, node.name)
            calls = [c for c in fleet.platform.event_calls if c[0] >= began]
            for polled_address in ("w0:80", "w1:80"):
                self.assertEqual(len({node for _, node, address, _ in calls if address == polled_address}), 1)
            self.assertLessEqual(busiest_second([at for at, _, address, _ in calls if address == "w1:80"]), 11)
            idle = [at for at, _, address, _ in calls if address == "w0:80"]
            self.assertLessEqual(busiest_second(idle), 2, "a worker without events holds the call")
            for address in ("w0:80", "w1:80", "w2:80", "store:1"):
                self.assertTrue([c for c in fleet.platform.event_calls if c[2] == address], address)

        run_fleet(8, 3, scenario)

    def test_events_of_a_pause_are_one_note(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            node = fleet.nodes[0]
            before = len(node.sink.notes)
            for number in range(100):
                fleet.platform.workers["w0"].events.append(make_event(f"{number:08x}", 9))
                await pause(fleet.world, 10 * MILLI)
            await pause(fleet.world, 300 * MILLI)
            notes = node.sink.notes[before:]
            self.assertLessEqual(len(notes), 13)
            self.assertEqual(len(node.sink.kept("w0")), 100)
            for earlier, later in zip(notes, notes[1:], strict=False):
                self.assertLessEqual(later.from_sequence, earlier.sequence, "no sequence numbers are left out")
                self.assertGreater(later.sequence, earlier.sequence)

        run_fleet(5, 1, scenario)

    def test_another_life_begins_anew_and_a_gap_does_not(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            worker = fleet.platform.workers["w0"]
            worker.events += [make_event("1", 5), make_event("2", 5)]
            await pause(fleet.world, 400 * MILLI)
            # The worker retains only the newest event, so events 3 and 4 are never seen.
            worker.first_sequence, worker.events = 5, [make_event("5", 7)]
            await pause(fleet.world, 1_200 * MILLI)
            for node in fleet.nodes:
                self.assertEqual({p for _, p in node.sink.kept("w0")}, {"1", "2", "5"}, node.name)
            worker.life, worker.first_sequence, worker.events = "2", 1, [make_event("9", 3)]
            await pause(fleet.world, 2 * SECOND)
            for node in fleet.nodes:
                self.assertEqual({p for _, p in node.sink.kept("w0")}, {"9"}, node.name)
                self.assertEqual(node.sink.notes[-1].life, "2")

        run_fleet(5, 1, scenario)

    def test_the_next_gatherer_goes_on_from_the_last_sequence(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            worker = fleet.platform.workers["w0"]
            worker.events += [make_event("1", 5), make_event("2", 5)]
            await pause(fleet.world, SECOND)
            poller = fleet.node_of([c for c in fleet.platform.event_calls if c[2] == "w0:80"][-1][1])
            poller.machine.freeze()
            worker.events.append(make_event("3", 5))
            began = fleet.world.now()
            await pause(fleet.world, 8 * SECOND)
            others = [n for n in fleet.nodes if n is not poller]
            for node in others:
                self.assertEqual({p for _, p in node.sink.kept("w0")}, {"1", "2", "3"}, node.name)
                first_sequences = {n.from_sequence for n in node.sink.notes if n.whole and n.worker == "w0"}
                self.assertEqual(first_sequences, {0}, "no poller started over")
            sinces = [c[3] for c in fleet.platform.event_calls if c[2] == "w0:80" and c[0] >= began]
            self.assertEqual(min(sinces), 2)
            poller.machine.wake()
            worker.events.append(make_event("4", 5))
            await pause(fleet.world, 3 * SECOND)
            for node in fleet.nodes:
                self.assertEqual({p for _, p in node.sink.kept("w0")}, {"1", "2", "3", "4"}, node.name)

        run_fleet(5, 1, scenario)

    def test_a_silent_worker_is_asked_more_seldom_and_one_that_is_gone_not_at_all(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            fleet.platform.workers["w0"].is_up = False
            await pause(fleet.world, 5 * SECOND)
            began = fleet.world.now()
            await pause(fleet.world, 5 * SECOND)
            calls = [c for c in fleet.platform.event_calls if c[2] == "w0:80" and c[0] >= began]
            self.assertLessEqual(len(calls), 3)
            del fleet.platform.listed["w0"]
            await pause(fleet.world, 5 * SECOND)
            began = fleet.world.now()
            await pause(fleet.world, 5 * SECOND)
            self.assertEqual([c for c in fleet.platform.event_calls if c[2] == "w0:80" and c[0] >= began], [])

        run_fleet(4, 2, scenario)

    def test_one_lost_datagram_and_calls_without_news_cost_nothing(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            node = fleet.nodes[0]
            index = PrefixCacheIndex()
            node.sink.apply_note = index.apply_note  # type: ignore[method-assign]
            worker = fleet.platform.workers["w0"]
            for number in range(12):
                # Every other note is lost; events without a salt are not announced.
                fleet.world.datagram_loss = float(number % 2)
                worker.events += [make_event(f"{number:08x}", 9), make_event("0", 9, salt="")]
                await pause(fleet.world, 300 * MILLI)
                fleet.world.datagram_loss = 0.0
            await pause(fleet.world, 300 * MILLI)
            worker.events.append(make_event("last", 9))
            await pause(fleet.world, 300 * MILLI)
            self.assertEqual(len(index.parts["w0"]), 13)

        for seed in (1, 2, 3):
            run_fleet(5, 1, scenario, seed)

    def test_notes_are_small(self) -> None:
        async def scenario(fleet: WorkerFleet) -> None:
            before = sent_bytes(fleet.nodes, "kept_note")
            for number in range(50):
                fleet.platform.workers["w0"].events.append(make_event(f"{number:08x}", 700))
            await pause(fleet.world, SECOND)
            self.assertLess((sent_bytes(fleet.nodes, "kept_note") - before) / 4 / 50, 25, "bytes per part and node")

        run_fleet(5, 1, scenario)
