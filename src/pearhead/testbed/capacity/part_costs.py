"""PartCosts (§9.9): what single types cost as their tables grow: directory, index, purge, view.

Each figure comes from a process of its own, so that memory counts only what was laid there. Processor time is the
process's own, so other load on the machine does not count.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import random
import socket
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from pearhead.config.view import LoadRecord, View
from pearhead.control_plane.fleet_state import FleetState
from pearhead.discovery.directory import Directory
from pearhead.invalidation.channel import CHANNEL_COUNT
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.invalidation.revision_sequencer import RevisionSequencer
from pearhead.router.copy_index import KEYS_PER_WORKER, CopyIndex
from pearhead.router.worker_lease import KEYS_PER_NOTE
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import (
    ApplyDescription,
    Command,
    ConfirmLoad,
    CopyNote,
    Envelope,
    PurgeNote,
    Record,
    SetWorkers,
    TakeHold,
    ViewDelta,
    Worker,
)
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.runtime.socketnet import SocketNet
from pearhead.testbed.capacity.live_fleet import build_description
from pearhead.testbed.capacity.process_stat import read_process_stat

Row = dict[str, float]
REPEATS = 20
BATCHES = 5
VOLUME_PARTS = 20
VOLUME_SECONDS = 60


def _resident() -> int:
    return read_process_stat(os.getpid()).resident_bytes


def _micros(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Processor time of one call, in microseconds: the least of five batches, as a busy machine only adds."""
    batches = []
    for _ in range(BATCHES):
        start = time.process_time()
        for _ in range(repeats):
            work()
        batches.append((time.process_time() - start) * SECOND / repeats)
    return min(batches)


def _directory(records: int) -> Directory:
    bench = FakeRuntime()
    directory = Directory(
        Record(identity="me", address="10.0.0.1:7000", role="router", area="zone-01", httpAddress="10.0.0.1:8000"),
        [],
        RpcEndpoint("me", "10.0.0.1:7000", bench, bench),
        bench,
        random.Random(1),
    )
    chance = random.Random(2)
    for number in range(records):
        identity = chance.randbytes(12).hex()
        address = f"10.0.{number // 250}.{number % 250}"
        directory.records[identity] = (
            Record(
                identity=identity,
                address=f"{address}:7000",
                httpAddress=f"{address}:8000",
                role="control_plane" if number < 3 else "router",
                area="zone-01",
                channels=bytes(CHANNEL_COUNT // 8),
            ),
            bench.now_micros,
        )
    return directory


async def _measure_cast(targets: int) -> float:
    """Processor time of one note of 25 keys to so many targets over a real socket, in microseconds."""
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(("127.0.0.1", 0))
    sink_address = f"127.0.0.1:{sink.getsockname()[1]}"
    net = SocketNet("127.0.0.1:0")
    await net.open()
    rpc_endpoint = RpcEndpoint("0" * 24, "10.0.0.1:7000", net, FakeRuntime())
    note = PurgeNote(copy_note=CopyNote(worker="worker-1234", life="0" * 16, kept=["0" * 32] * KEYS_PER_NOTE))
    spent = _micros(lambda: rpc_endpoint.multicast([sink_address] * targets, "purge_note", note))
    net.close()
    sink.close()
    return spent


def measure_directory(records: int) -> Row:
    """What one look into a directory of so many records costs, and one whole answer to a hello."""
    before = _resident()
    directory = _directory(records)
    held = _resident() - before
    identities = [r.identity for r in directory.members("router")]
    whole = sum(r.ByteSize() + 2 for r in directory._records_with_age())
    return {
        "members, µs": _micros(directory.members),
        "hash of what is known, µs": _micros(directory._known_hash),
        "listeners of a channel, µs": _micros(lambda: directory.listeners(7)),
        "who is first for a worker, µs": _micros(
            lambda: max(
                [r.identity for r in directory.members("router")],
                key=lambda i: hashlib.blake2b(f"{i}/worker-1".encode(), digest_size=8).digest(),
            )
        ),
        "a cast to all, µs": asyncio.run(_measure_cast(records)),
        "nodes": float(len(identities)),
        "bytes of a whole answer": float(whole),
        "memory of the records, KB": held / 1e3,
    }


def measure_blocks(blocks: int) -> Row:
    """A node's index of so many kept blocks, told in reports of 25 keys (§6.5); the median worker's time."""
    chance = random.Random(1)
    index = CopyIndex()
    before, chunks, taken = _resident(), [], 0
    worker_count = -(-blocks // KEYS_PER_WORKER)
    for number in range(worker_count):
        name, load = f"worker-{number}", LoadRecord("line", "life", 1, 1, 0, "w1")
        wanted, sequence, spent = min(KEYS_PER_WORKER, blocks - taken), 0, 0.0
        while sequence < wanted:
            keys = [chance.randbytes(16).hex() for _ in range(min(KEYS_PER_NOTE, wanted - sequence))]
            start = time.process_time()
            index.apply_cache_report(name, "life", sequence, sequence + len(keys), keys, [], False)
            index.record_verified_keys(load, "life", sequence, keys)
            spent += time.process_time() - start
            sequence += len(keys)
        taken += wanted
        chunks.append(spent * SECOND / wanted)
    held = _resident() - before
    note = CopyNote(
        worker="worker-1234",
        life="0" * 16,
        sequence=10**6,
        from_sequence=10**6 - KEYS_PER_NOTE,
        kept=[chance.randbytes(16).hex() for _ in range(KEYS_PER_NOTE)],
    )
    envelope = Envelope(identity="0" * 24, address="10.0.0.1:7000", purge_note=PurgeNote(copy_note=note))
    frame = envelope.SerializeToString()
    return {
        "memory, MB": held / 1e6,
        "bytes a block": held / blocks,
        "taking an event in, µs": statistics.median(chunks),
        "reading an event off the wire, µs": _micros(
            lambda: list(Envelope.FromString(frame).purge_note.copy_note.kept), 200
        )
        / KEYS_PER_NOTE,
        "bytes of an event on the wire": len(frame) / KEYS_PER_NOTE,
    }


class _EchoNet(FakeRuntime):
    """Counts datagrams and bytes, and keeps them for whoever plays the network."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0
        self.size = 0
        self.requests: list[PurgeNote] = []

    def send_datagram(self, target_address: str, datagram_bytes: bytes) -> None:
        self.count += 1
        self.size += len(datagram_bytes)
        note = Envelope.FromString(datagram_bytes).purge_note
        if note.HasField("table_request"):
            self.requests.append(note)
        else:
            self.notes.append(note)


class _Tables:
    """The serializer's keeper: every volume has so many bumped parts."""

    def is_leader(self) -> bool:
        return True

    async def confirm(self) -> bool:
        return True

    async def bump(self, note: PurgeNote) -> tuple[int, int] | None:
        return None

    def pairs_of(self, owner: str, line: str) -> list[tuple[int, int]]:
        return [(part, 2) for part in range(1, VOLUME_PARTS + 1)]

    def position(self) -> tuple[int, int]:
        return 1, 1


def measure_volumes(volumes: int) -> Row:
    """One node listens to so many volumes for a minute; one core is the serializer of them all (§6.4)."""
    return asyncio.run(_measure_volumes(volumes))


async def _measure_volumes(volumes: int) -> Row:
    node_net, core_net, chance = _EchoNet(), _EchoNet(), random.Random(1)
    rpc_endpoint = RpcEndpoint("me", "10.0.0.1:7000", node_net, node_net)
    directory = _directory(3)
    listener = RevisionListener(rpc_endpoint, directory, node_net, chance, BackgroundTaskGroup("testbed"), 30 * SECOND)
    core_courier = RpcEndpoint("core", "10.0.0.2:7000", core_net, core_net)
    serializer = RevisionSequencer(
        _Tables(), core_courier, _directory(0), core_net, BackgroundTaskGroup("testbed"), 30 * SECOND
    )
    before = _resident()
    names = [f"tenant:tenant-{n}" for n in range(volumes)]
    for name in names:
        for part in range(1, VOLUME_PARTS + 1):
            listener.revision_of(name, "line", part)
    node_spent = core_spent = 0.0
    tables = 0
    for _ in range(VOLUME_SECONDS * 10):
        node_net.now_micros += 100 * MILLI
        core_net.now_micros = node_net.now_micros
        start = time.process_time()
        listener._refresh()
        node_spent += time.process_time() - start
        asked = {(n.owner, n.line): n for n in node_net.requests}
        node_net.requests.clear()
        for note in asked.values():
            start = time.process_time()
            await serializer._send_table("10.0.0.1:7000", note)
            core_spent += time.process_time() - start
            tables += 1
        for name in names:
            # Used all the time: a volume that idles for two minutes is let go.
            listener.volumes[name, "line"].used_micros = node_net.now_micros
        for note in core_net.notes:
            start = time.process_time()
            listener._take_note("core", "10.0.0.2:7000", note)
            node_spent += time.process_time() - start
        core_net.notes.clear()
    return {
        "memory, MB": (_resident() - before) / 1e6,
        "node, cores": node_spent / VOLUME_SECONDS,
        "serializer, cores": core_spent / VOLUME_SECONDS,
        "requests, datagrams/s": node_net.count / VOLUME_SECONDS,
        "requests, B/s": node_net.size / VOLUME_SECONDS,
        "tables/s": tables / VOLUME_SECONDS,
    }


def measure_state(workers: int) -> Row:
    """The cores' state for so many workers, all held and loaded, and what one confirmed load sends a node."""
    fleet, index = FleetState(), 0
    before = _resident()

    def run(command: Command) -> None:
        nonlocal index
        index += 1
        fleet.apply(index, command.SerializeToString())

    run(Command(apply=ApplyDescription(description=json.dumps(build_description(8, "a")).encode())))
    run(
        Command(
            workers=SetWorkers(
                worker=[
                    Worker(
                        name=f"worker-{n}", address=f"10.1.{n // 250}.{n % 250}:8000", area="zone-01", service="models"
                    )
                    for n in range(workers)
                ]
            )
        )
    )
    fences = {}
    for number in range(workers):
        run(Command(hold=TakeHold(worker=f"worker-{number}", holder="0" * 24)))
        fences[number] = index

    def confirm(number: int) -> None:
        run(
            Command(
                confirm=ConfirmLoad(
                    worker=f"worker-{number}",
                    life="0" * 16,
                    fence=fences[number],
                    weights_revision=1,
                    sequence=index,
                    line="line",
                    weights="w1",
                )
            )
        )

    # Each confirmed load writes the list of all anew: to lay them one by one grows with the square.
    for number in range(workers):
        fleet.loads[f"worker-{number}"] = {
            "line": "line",
            "life": "0" * 16,
            "fence": fences[number],
            "weightsRevision": 1,
            "sequence": 1,
            "weights": "w1",
        }
    confirm(0)
    held = _resident() - before
    first = View().with_delta(_delta(fleet, 0, ""))
    assert first is not None
    confirm_micros = _micros(lambda: confirm(1), 3)
    delta = _delta(fleet, first.index, first.hash)

    def take() -> None:
        view = first.with_delta(delta)
        assert view is not None and len(view.loads) == workers and len(view.workers) == workers

    digest_micros = _micros(fleet.take_digest, 3)
    return {
        "core's state, MB": held / 1e6,
        "digest, KB": len(fleet.take_digest()) / 1e3,
        "making a digest, ms": digest_micros / MILLI,
        "a confirmed load at a core, ms": confirm_micros / MILLI,
        "bytes to a node a confirmed load": float(delta.ByteSize()),
        "taking a confirmed load in at a node, ms": _micros(take, 3) / MILLI,
        "renewing a hold at a core, µs": _micros(
            lambda: run(Command(hold=TakeHold(worker="worker-0", holder="0" * 24, renew_fence=fences[0]))), 200
        ),
    }


def _delta(fleet: FleetState, index: int, held_hash: str) -> ViewDelta:
    delta = fleet.delta_since(index, held_hash)
    assert delta is not None
    return delta


def run_in_own_process(measure: Callable[[int], Row], size: int) -> Row:
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        return pool.submit(measure, size).result()
