"""RpcEndpoint.broadcast and PacedBroadcaster: the choice between datagrams and frames, and the size of batches."""

from __future__ import annotations

import random
import unittest

from pearhead.router.paced_broadcaster import BATCH_BYTES, BATCH_PAUSE_MICROS, PacedBroadcaster
from pearhead.rpc.rpc_endpoint import MAXIMUM_DATAGRAM_BODY_BYTES, RpcEndpoint
from pearhead.rpc.wire_pb2 import ListedWorker, RosterNote
from pearhead.testbed.simulator.world import World, run_in_virtual_time

ADDRESSES = ["a:1", "b:1", "c:1"]


class RecordingNetwork:
    """A network that records the target addresses and delivers nothing."""

    def __init__(self) -> None:
        self.frames: list[str] = []
        self.datagrams: list[str] = []

    def listen(self, receiver: object) -> None:
        pass

    def send(self, target_address: str, frame_bytes: bytes) -> None:
        self.frames.append(target_address)

    def send_datagram(self, target_address: str, datagram_bytes: bytes) -> None:
        self.datagrams.append(target_address)


def note_of(byte_count: int) -> RosterNote:
    note = RosterNote(worker=[ListedWorker(name="n" * byte_count)])
    return RosterNote(worker=[ListedWorker(name="n" * (2 * byte_count - note.ByteSize()))])


class BroadcastTest(unittest.TestCase):
    def test_what_fits_a_datagram_is_cast_and_the_rest_is_told(self) -> None:
        for byte_count, is_datagram in ((MAXIMUM_DATAGRAM_BODY_BYTES, True), (MAXIMUM_DATAGRAM_BODY_BYTES + 1, False)):
            net = RecordingNetwork()
            rpc_endpoint = RpcEndpoint("me", "me:1", net, World)  # type: ignore[arg-type]
            note = note_of(byte_count)
            self.assertEqual(note.ByteSize(), byte_count)
            rpc_endpoint.broadcast(ADDRESSES, "roster_note", note)
            self.assertEqual((net.datagrams, net.frames), (ADDRESSES, []) if is_datagram else ([], ADDRESSES))
            self.assertEqual(rpc_endpoint.sent_counts, {"roster_note": len(ADDRESSES)})
            rpc_endpoint.broadcast([], "roster_note", note)
            self.assertEqual(
                rpc_endpoint.sent_counts, {"roster_note": len(ADDRESSES)}, "an empty broadcast counts as nothing"
            )


class PacedCastTest(unittest.TestCase):
    def test_batches_are_bounded_and_reach_each_address_once(self) -> None:
        async def scenario(world: World) -> None:
            machine = world.machine("m")
            machine.boot()
            addresses = [f"n{number}:1" for number in range(20)]
            batches: list[tuple[int, list[str]]] = []
            began_micros = machine.now()
            await PacedBroadcaster(machine, random.Random(1)).send(
                addresses, BATCH_BYTES // 8, lambda batch: batches.append((machine.now() - began_micros, batch))
            )
            self.assertEqual([len(batch) for _, batch in batches], [8, 8, 4])
            self.assertEqual([at for at, _ in batches], [n * BATCH_PAUSE_MICROS for n in range(3)])
            self.assertEqual(sorted(a for _, batch in batches for a in batch), sorted(addresses))

        run_in_virtual_time(1, scenario)
