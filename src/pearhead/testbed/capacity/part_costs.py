"""Costs of single components as their tables grow (§9.9): directory, index, purge, view.

Each figure comes from a process of its own, so that its memory counts only what the measurement holds. Processor time
is that of the process, so other load on the machine does not count.
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
BATCH_COUNT = 5
VOLUME_PARTS = 20
VOLUME_SECONDS = 60


def _resident_bytes() -> int:
    return read_process_stat(os.getpid()).resident_bytes


def _cpu_micros(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Processor time of one call in microseconds: the least of five batches, as other load can only add to it."""
    batches = []
    for _ in range(BATCH_COUNT):
        start = time.process_time()
        for _ in range(repeats):
            work()
        batches.append((time.process_time() - start) * SECOND / repeats)
    return min(batches)


def _build_directory(records: int) -> Directory:
    fake_runtime = FakeRuntime()
    directory = Directory(
        Record(identity="me", address="10.0.0.1:7000", role="router", area="zone-01", httpAddress="10.0.0.1:8000"),
        [],
        RpcEndpoint("me", "10.0.0.1:7000", fake_runtime, fake_runtime),
        fake_runtime,
        random.Random(1),
    )
    rng = random.Random(2)
    for number in range(records):
        identity = rng.randbytes(12).hex()
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
            fake_runtime.now_micros,
        )
    return directory


async def _measure_multicast(targets: int) -> float:
    """Processor time of sending one note of 25 keys to so many targets over a real socket, in microseconds."""
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(("127.0.0.1", 0))
    sink_address = f"127.0.0.1:{sink.getsockname()[1]}"
    net = SocketNet("127.0.0.1:0")
    await net.open()
    rpc_endpoint = RpcEndpoint("0" * 24, "10.0.0.1:7000", net, FakeRuntime())
    note = PurgeNote(copy_note=CopyNote(worker="worker-1234", life="0" * 16, kept=["0" * 32] * KEYS_PER_NOTE))
    cpu_micros = _cpu_micros(lambda: rpc_endpoint.multicast([sink_address] * targets, "purge_note", note))
    net.close()
    sink.close()
    return cpu_micros


def measure_directory(records: int) -> Row:
    """Costs of single operations on a directory of so many records, and the size of a full answer to a hello."""
    before = _resident_bytes()
    directory = _build_directory(records)
    held_bytes = _resident_bytes() - before
    identities = [r.identity for r in directory.members("router")]
    whole_answer_bytes = sum(r.ByteSize() + 2 for r in directory._records_with_age())
    return {
        "members, µs": _cpu_micros(directory.members),
        "hash of what is known, µs": _cpu_micros(directory._known_hash),
        "listeners of a channel, µs": _cpu_micros(lambda: directory.listeners(7)),
        "who is first for a worker, µs": _cpu_micros(
            lambda: max(
                [r.identity for r in directory.members("router")],
                key=lambda i: hashlib.blake2b(f"{i}/worker-1".encode(), digest_size=8).digest(),
            )
        ),
        "a cast to all, µs": asyncio.run(_measure_multicast(records)),
        "nodes": float(len(identities)),
        "bytes of a whole answer": float(whole_answer_bytes),
        "memory of the records, KB": held_bytes / 1e3,
    }


def measure_blocks(blocks: int) -> Row:
    """Costs of a node's index of so many cached blocks, from reports of 25 keys (§6.5).

    The time of an event is that of the median worker.
    """
    rng = random.Random(1)
    index = CopyIndex()
    before, micros_per_block, block_count = _resident_bytes(), [], 0
    worker_count = -(-blocks // KEYS_PER_WORKER)
    for number in range(worker_count):
        name, load = f"worker-{number}", LoadRecord("line", "life", 1, 1, 0, "w1")
        worker_blocks, sequence, spent_seconds = min(KEYS_PER_WORKER, blocks - block_count), 0, 0.0
        while sequence < worker_blocks:
            keys = [rng.randbytes(16).hex() for _ in range(min(KEYS_PER_NOTE, worker_blocks - sequence))]
            start = time.process_time()
            index.apply_cache_report(name, "life", sequence, sequence + len(keys), keys, [], False)
            index.record_verified_keys(load, "life", sequence, keys)
            spent_seconds += time.process_time() - start
            sequence += len(keys)
        block_count += worker_blocks
        micros_per_block.append(spent_seconds * SECOND / worker_blocks)
    held_bytes = _resident_bytes() - before
    note = CopyNote(
        worker="worker-1234",
        life="0" * 16,
        sequence=10**6,
        from_sequence=10**6 - KEYS_PER_NOTE,
        kept=[rng.randbytes(16).hex() for _ in range(KEYS_PER_NOTE)],
    )
    envelope = Envelope(identity="0" * 24, address="10.0.0.1:7000", purge_note=PurgeNote(copy_note=note))
    frame = envelope.SerializeToString()
    return {
        "memory, MB": held_bytes / 1e6,
        "bytes a block": held_bytes / blocks,
        "taking an event in, µs": statistics.median(micros_per_block),
        "reading an event off the wire, µs": _cpu_micros(
            lambda: list(Envelope.FromString(frame).purge_note.copy_note.kept), 200
        )
        / KEYS_PER_NOTE,
        "bytes of an event on the wire": len(frame) / KEYS_PER_NOTE,
    }


class _RecordingNet(FakeRuntime):
    """Counts sent datagrams and bytes, and keeps requests and notes for the measurement to deliver."""

    def __init__(self) -> None:
        super().__init__()
        self.datagram_count = 0
        self.datagram_bytes_sent = 0
        self.requests: list[PurgeNote] = []

    def send_datagram(self, target_address: str, datagram_bytes: bytes) -> None:
        self.datagram_count += 1
        self.datagram_bytes_sent += len(datagram_bytes)
        note = Envelope.FromString(datagram_bytes).purge_note
        if note.HasField("table_request"):
            self.requests.append(note)
        else:
            self.notes.append(note)


class _FixedRevisionStore:
    """The sequencer's revision store: every volume has `VOLUME_PARTS` bumped parts."""

    def is_leader(self) -> bool:
        return True

    async def confirm_leadership(self) -> bool:
        return True

    async def bump(self, note: PurgeNote) -> tuple[int, int] | None:
        return None

    def raised_part_revisions(self, owner: str, line: str) -> list[tuple[int, int]]:
        return [(part, 2) for part in range(1, VOLUME_PARTS + 1)]

    def position(self) -> tuple[int, int]:
        return 1, 1


def measure_volumes(volumes: int) -> Row:
    """Costs of a node that listens to so many volumes for a minute, and of one core that sequences them all (§6.4)."""
    return asyncio.run(_measure_volumes(volumes))


async def _measure_volumes(volumes: int) -> Row:
    node_net, core_net, rng = _RecordingNet(), _RecordingNet(), random.Random(1)
    rpc_endpoint = RpcEndpoint("me", "10.0.0.1:7000", node_net, node_net)
    directory = _build_directory(3)
    listener = RevisionListener(rpc_endpoint, directory, node_net, rng, BackgroundTaskGroup("testbed"), 30 * SECOND)
    core_endpoint = RpcEndpoint("core", "10.0.0.2:7000", core_net, core_net)
    sequencer = RevisionSequencer(
        _FixedRevisionStore(), core_endpoint, _build_directory(0), core_net, BackgroundTaskGroup("testbed"), 30 * SECOND
    )
    before = _resident_bytes()
    names = [f"tenant:tenant-{n}" for n in range(volumes)]
    for name in names:
        for part in range(1, VOLUME_PARTS + 1):
            listener.revision_of(name, "line", part)
    node_seconds = core_seconds = 0.0
    table_count = 0
    for _ in range(VOLUME_SECONDS * 10):
        node_net.now_micros += 100 * MILLI
        core_net.now_micros = node_net.now_micros
        start = time.process_time()
        listener._refresh()
        node_seconds += time.process_time() - start
        notes_by_volume = {(n.owner, n.line): n for n in node_net.requests}
        node_net.requests.clear()
        for note in notes_by_volume.values():
            start = time.process_time()
            await sequencer._send_table("10.0.0.1:7000", note)
            core_seconds += time.process_time() - start
            table_count += 1
        for name in names:
            # Marks the volumes as used: the listener drops a volume that is idle for two minutes.
            listener.volumes[name, "line"].last_used_micros = node_net.now_micros
        for note in core_net.notes:
            start = time.process_time()
            listener._handle_purge_note("core", "10.0.0.2:7000", note)
            node_seconds += time.process_time() - start
        core_net.notes.clear()
    return {
        "memory, MB": (_resident_bytes() - before) / 1e6,
        "node, cores": node_seconds / VOLUME_SECONDS,
        "serializer, cores": core_seconds / VOLUME_SECONDS,
        "requests, datagrams/s": node_net.datagram_count / VOLUME_SECONDS,
        "requests, B/s": node_net.datagram_bytes_sent / VOLUME_SECONDS,
        "tables/s": table_count / VOLUME_SECONDS,
    }


def measure_state(workers: int) -> Row:
    """Costs of the cores' state with so many workers, all held and loaded, and of one confirmed load."""
    fleet, index = FleetState(), 0
    before = _resident_bytes()

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

    # Set directly: each confirmed load rewrites the whole list, so confirming them one by one is quadratic.
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
    held_bytes = _resident_bytes() - before
    first = View().with_delta(_delta(fleet, 0, ""))
    assert first is not None
    confirm_micros = _cpu_micros(lambda: confirm(1), 3)
    delta = _delta(fleet, first.index, first.hash)

    def apply_delta() -> None:
        view = first.with_delta(delta)
        assert view is not None and len(view.loads) == workers and len(view.workers) == workers

    digest_micros = _cpu_micros(fleet.build_snapshot, 3)
    return {
        "core's state, MB": held_bytes / 1e6,
        "digest, KB": len(fleet.build_snapshot()) / 1e3,
        "making a digest, ms": digest_micros / MILLI,
        "a confirmed load at a core, ms": confirm_micros / MILLI,
        "bytes to a node a confirmed load": float(delta.ByteSize()),
        "taking a confirmed load in at a node, ms": _cpu_micros(apply_delta, 3) / MILLI,
        "renewing a hold at a core, µs": _cpu_micros(
            lambda: run(Command(hold=TakeHold(worker="worker-0", holder="0" * 24, renew_fence=fences[0]))), 200
        ),
    }


def _delta(fleet: FleetState, index: int, held_hash: str) -> ViewDelta:
    delta = fleet.delta_since(index, held_hash)
    assert delta is not None
    return delta


def run_in_own_process(measure: Callable[[int], Row], size: int) -> Row:
    """Runs a measurement in a new process, so that the memory it holds is measured alone."""
    with ProcessPoolExecutor(1, get_context("spawn")) as pool:
        return pool.submit(measure, size).result()
