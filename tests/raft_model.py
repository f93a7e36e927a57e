"""A model test of RaftMember and Wal: random walks over a simulated network, clocks and disks.

The invariants of Raft are checked after each step. A walk is a string of bytes. Its first two bytes give the number of
members with the walk's profile, and the seed of the timers; then come two bytes for each step, its kind and a choice
such as the member it applies to. The same bytes give the same run. For a long run, which prints the first violation
with its shrunk trace: `python -m tests.raft_model --walks N --seed S`.
"""

from __future__ import annotations

import argparse
import asyncio
import errno
import heapq
import itertools
import json
import logging
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator, Set
from dataclasses import dataclass, field
from typing import Any, TypeVar

from google.protobuf.message import Message
from result import Ok

from pearhead.consensus.log import KIND_MEMBERS
from pearhead.consensus.proposals import Proposal
from pearhead.consensus.raft import TICK_MICROS, RaftMember
from pearhead.consensus.snapshot_store import SnapshotLimits
from pearhead.consensus.wal import Wal, WalCorruptError, read_record
from pearhead.rpc.wire_pb2 import AppendResult, DigestResult, Entry, LogRecord, Mark, Member, Members, VoteResult
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.simulator.virtual_loop import VirtualLoop

AnyT = TypeVar("AnyT")
STEP_COUNT = 220
HEADER_BYTES = 2
WALK_BYTES = HEADER_BYTES + 2 * STEP_COUNT
SPARE_COUNT = 2
MAXIMUM_VOTERS = 5
LEADER_MICROS = 2 * SECOND
COMMAND_MICROS = SECOND
ROUND_MICROS = MILLI
QUEUE_LIMIT = 300
DIGEST_EVERY = 8
KEPT_ENTRIES = 2

# The kinds of steps, and how many of 255 byte values select each. The value 0 does nothing, so that walks can be shrunk
# towards zero bytes.
STEP_WEIGHTS = {
    "run": 40,
    "deliver_one": 32,
    "deliver_all": 20,
    "drop": 12,
    "duplicate": 10,
    "advance": 20,
    "sync_one": 20,
    "sync_all": 15,
    "kill": 4,
    "lose_power": 6,
    "restart": 16,
    "fill_disk": 2,
    "cut": 6,
    "heal": 6,
    "propose": 20,
    "change": 14,
    "wipe": 3,
    "hand_over": 4,
    "confirm": 5,
}
# Three profiles, which override these weights: all kinds of steps, mostly membership changes, mostly losses of power.
WALK_PROFILES: list[dict[str, int]] = [
    {},
    {"change": 44, "wipe": 8, "run": 50, "kill": 8, "confirm": 1, "duplicate": 4, "deliver_one": 16, "drop": 2}
    | {"sync_one": 6, "advance": 10, "fill_disk": 1, "propose": 32},
    {"propose": 44, "lose_power": 16, "restart": 34, "sync_one": 30, "change": 6, "advance": 10, "drop": 4}
    | {"duplicate": 4, "confirm": 1, "fill_disk": 1, "hand_over": 2, "run": 34, "wipe": 1, "deliver_one": 12}
    | {"heal": 14, "sync_all": 11, "kill": 5},
]


def list_step_names(profile: dict[str, int]) -> list[str]:
    weights = STEP_WEIGHTS | profile
    names = ["nothing", *(name for name, weight in weights.items() for _ in range(weight))]
    assert len(names) == 256, len(names)
    return names


STEP_NAMES = [list_step_names(profile) for profile in WALK_PROFILES]


class ModelViolationError(AssertionError):
    """A violated invariant; `checker` is its name."""

    def __init__(self, checker: str, text: str) -> None:
        super().__init__(f"{checker}: {text}")
        self.checker = checker


# ---- memberships -------------------------------------------------------------------------------------


def voter_sets(members: Members) -> list[frozenset[str]]:
    """The sets of voters of which each needs a majority: one, or two during a joint change."""
    sets = [frozenset(m.identity for m in members.member if m.voter)]
    if members.joint:
        sets.append(frozenset(m.identity for m in members.member if m.outgoing))
    return sets


def is_quorum(identities: Set[str], sets: list[frozenset[str]]) -> bool:
    return all(len(identities & voters) > len(voters) // 2 for voters in sets)


def can_be_disjoint(first: list[frozenset[str]], second: list[frozenset[str]]) -> bool:
    """Whether a quorum of the first and a quorum of the second exist that have no voter in common."""
    all_voters = sorted(frozenset().union(*first, *second))
    for size in range(len(all_voters) + 1):
        for chosen in itertools.combinations(all_voters, size):
            others = set(all_voters) - set(chosen)
            if is_quorum(set(chosen), first) and is_quorum(others, second):
                return True
    return False


def is_same_log(entries: list[Entry], checked_entries: list[Entry]) -> bool:
    """Compares the ends only, which is enough because a log changes at its ends only."""
    if len(entries) != len(checked_entries):
        return False
    return not entries or (entries[0] is checked_entries[0] and entries[-1] is checked_entries[-1])


# ---- simulated clock, disk and state machine ---------------------------------------------------------


class ManualTimer:
    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class ManualClock:
    """One member's clock, which advances only by steps of the walk."""

    def __init__(self) -> None:
        self.now_micros = SECOND
        self.timers: list[tuple[int, int, ManualTimer]] = []
        self.timer_numbers = itertools.count()

    def now(self) -> int:
        return self.now_micros

    def after(self, delay_micros: int, callback: Callable[[], None]) -> ManualTimer:
        timer = ManualTimer(callback)
        heapq.heappush(self.timers, (self.now_micros + max(delay_micros, 0), next(self.timer_numbers), timer))
        return timer

    def next_micros(self) -> int | None:
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None


@dataclass
class PendingWrite:
    """A disk operation that is not synced yet; `tear` leaves what a loss of power may leave of it."""

    done: asyncio.Future[None]
    finish: Callable[[], None]
    tear: Callable[[int], None]


class ModelDisk:
    """A disk whose files hold only what was synced, with an index of their records, read by the product's reader."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.pending_writes: list[PendingWrite] = []
        self.is_instant = False
        self.is_full = False
        self.entry_epochs: dict[int, int] = {}
        self.digest_index = 0
        self.mark = Mark()

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, file_name: str) -> bytes:
        return self.files[file_name]

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        if self.is_full:
            self._add(file_name, content_bytes[: len(content_bytes) // 2])
            raise OSError(errno.ENOSPC, "no space left")

        def finish() -> None:
            self._add(file_name, content_bytes)
            self._index_log(content_bytes)

        def tear(tear_point: int) -> None:
            self._add(file_name, content_bytes[: len(content_bytes) * tear_point // 256])

        await self._sync(finish, tear)

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left")

        def finish() -> None:
            self.files[file_name] = content_bytes
            self._index_file(file_name)

        await self._sync(finish, lambda tear_point: finish() if tear_point % 2 else None)

    async def remove(self, file_name: str) -> None:
        def finish() -> None:
            self.files.pop(file_name, None)

        await self._sync(finish, lambda tear_point: finish() if tear_point % 2 else None)

    async def truncate(self, file_name: str, kept_size: int) -> None:
        def finish() -> None:
            self.files[file_name] = self.files[file_name][:kept_size]

        await self._sync(finish, lambda tear_point: finish() if tear_point % 2 else None)

    async def _sync(self, finish: Callable[[], None], tear: Callable[[int], None]) -> None:
        if self.is_instant:
            finish()
            return
        pending_write = PendingWrite(asyncio.get_running_loop().create_future(), finish, tear)
        self.pending_writes.append(pending_write)
        await pending_write.done

    def sync(self) -> None:
        for pending_write in self.pending_writes:
            pending_write.finish()
            pending_write.done.set_result(None)
        self.pending_writes = []

    def crash(self, tear_point: int | None) -> None:
        """A loss of power may tear a pending write anywhere; after a kill (None) the system still completes it."""
        for pending_write in self.pending_writes:
            if tear_point is None:
                pending_write.finish()
            else:
                pending_write.tear(tear_point)
        self.pending_writes = []

    def rebuild_index(self) -> None:
        """Rebuilds the index of entries, snapshot and mark from the files alone."""
        self.entry_epochs, self.digest_index, self.mark = {}, 0, Mark()
        for file_name in self.names():
            self._index_file(file_name)

    def holds(self, index: int, epoch: int) -> bool:
        return index <= self.digest_index or self.entry_epochs.get(index) == epoch

    def _add(self, file_name: str, content_bytes: bytes) -> None:
        self.files[file_name] = self.files.get(file_name, b"") + content_bytes

    def _index_file(self, file_name: str) -> None:
        if file_name.startswith("digest-"):
            self.digest_index = max(self.digest_index, int(file_name[7:]))
        else:
            self._index_log(self.files[file_name])

    def _index_log(self, log_bytes: bytes) -> None:
        offset = 0
        while (found := read_record(log_bytes, offset)) is not None:
            offset = found.end_offset
            if found.record.HasField("mark"):
                self.mark = found.record.mark
            elif found.record.HasField("entry"):
                self.entry_epochs[found.record.entry.index] = found.record.entry.epoch
            else:
                cut_from = found.record.cut_from
                self.entry_epochs = {i: e for i, e in self.entry_epochs.items() if i < cut_from}


class ModelMachine:
    """A state machine whose state is the history of commands, so that any difference shows."""

    def __init__(self, on_applied: Callable[[int, bytes], None]) -> None:
        self.on_applied = on_applied
        self.history: list[tuple[int, str]] = []

    def apply(self, index: int, command_bytes: bytes) -> str:
        self.history.append((index, command_bytes.decode()))
        self.on_applied(index, command_bytes)
        return command_bytes.decode()

    def build_snapshot(self) -> bytes:
        return json.dumps(self.history).encode()

    def load_snapshot(self, snapshot_bytes: bytes) -> None:
        self.history = [(index, text) for index, text in json.loads(snapshot_bytes)]
        for index, text in self.history:
            self.on_applied(index, text.encode())


@dataclass
class Host:
    """A simulated host at a fixed address: a disk, which belongs to one identity, and a member while it is up."""

    address: str
    identity: str
    clock: ManualClock = field(default_factory=ManualClock)
    disk: ModelDisk = field(default_factory=ModelDisk)
    member: RaftMember | None = None
    machine: ModelMachine | None = None
    # The entries of the member's log and the commit index that were checked already.
    checked_entries: list[Entry] = field(default_factory=list)
    checked_commit: int = 0
    led_epoch: int = 0


@dataclass
class Envelope:
    identity: str
    source: str
    target: str
    body_name: str
    body: Message

    def __str__(self) -> str:
        body_text = " ".join(str(self.body).split())
        return f"{self.source} to {self.target}: {self.body_name} {body_text[:160]}"


@dataclass
class CommittedEntry:
    epoch: int
    kind: int
    payload: bytes
    by_epoch: int


# ---- the model ----------------------------------------------------------------------------------------


class Model:
    def __init__(
        self, member_class: type[RaftMember], voter_count: int, seed: int, trace: list[str] | None = None
    ) -> None:
        self.member_class = member_class
        self.random_source = random.Random(seed)
        self.trace = trace
        self.queue: list[Envelope] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.identity_numbers = itertools.count(1)
        self.command_numbers = itertools.count(1)
        self.hosts = [Host(f"m{n}:1", f"m{n}") for n in range(1, voter_count + SPARE_COUNT + 1)]
        self.founders = self.hosts[:voter_count]
        # Lost disks by identity. They still count in durability checks: what they held was synced when acknowledged.
        self.lost_disks: dict[str, ModelDisk] = {}
        self.violation: ModelViolationError | None = None
        self.leaders: dict[int, str] = {}
        self.known_entries: dict[tuple[int, int], tuple[int, int, bytes]] = {}
        self.committed: dict[int, CommittedEntry] = {}
        self.applied: dict[int, bytes] = {}
        self.proposals: list[tuple[bytes, Proposal]] = []
        self.confirms: list[tuple[Host, RaftMember, int, asyncio.Task[bool]]] = []
        # Kept until the end of the walk, so that no waiting task is garbage-collected.
        self.tasks: list[asyncio.Task[Any]] = []
        self.counts: Counter[str] = Counter()
        self.loop: Any = asyncio.get_running_loop()

    # ---- running -----------------------------------------------------------------------------------

    def add_trace(self, text: str) -> None:
        if self.trace is not None:
            self.trace.append(text)

    def fail(self, checker: str, text: str) -> None:
        if self.violation is None:
            self.violation = ModelViolationError(checker, text)

    async def settle(self) -> None:
        """Runs tasks until each of them waits for the network, a clock or a disk."""
        while self.loop._ready:
            await asyncio.sleep(0)

    async def begin(self) -> None:
        """Starts all members; the founders hold the same first entry, as after a bootstrap and joins."""
        members = Members(member=[Member(identity=h.identity, address=h.address, voter=True) for h in self.founders])
        entry = Entry(index=1, epoch=1, kind=KIND_MEMBERS, payload=members.SerializeToString())
        for host in self.founders:
            host.disk.is_instant = True
            await Wal(host.disk).append([LogRecord(mark=Mark(epoch=1)), LogRecord(entry=entry)])
        self.committed[1] = CommittedEntry(1, KIND_MEMBERS, entry.payload, 1)
        for host in self.hosts:
            await self.start(host)

    async def start(self, host: Host) -> None:
        host.disk.rebuild_index()
        host.machine = ModelMachine(self._record_applied)
        member = self.member_class(
            host.identity,
            Wal(host.disk),
            host.machine,
            lambda address, body_name, body: self._send(host, member, address, body_name, body),
            host.clock,
            random.Random(self.random_source.getrandbits(64)),
            BackgroundTaskGroup(host.address),
            lambda reason: self.fail("disk", reason),
            SnapshotLimits(DIGEST_EVERY, KEPT_ENTRIES),
        )
        host.disk.is_instant = True
        try:
            await member.recover()
        except WalCorruptError as corrupt_error:
            self.fail("recovery", f"{host.address}: {corrupt_error}")
            return
        host.disk.is_instant = False
        host.member = member
        host.checked_entries, host.checked_commit, host.led_epoch = [], member.commit_index, 0
        member.timer.reset()
        member.task_group.start(member.writer.run())
        self._tick_later(host, member)
        await self.settle()

    def _tick_later(self, host: Host, member: RaftMember) -> None:
        """Replaces the member's own periodic task, so that the walk drives its ticks."""

        def tick() -> None:
            self._tick_later(host, member)
            try:
                member.tick()
            except Exception as fault:  # noqa: BLE001 - any exception would end the product's own task
                self.fail("task", f"{host.address} failed in a tick: {fault!r}")

        host.clock.after(TICK_MICROS, tick)

    def stop(self, host: Host, tear_point: int | None) -> None:
        assert host.member is not None
        host.member.task_group.stop()
        host.member = None
        host.clock.timers = []
        host.disk.crash(tear_point)

    def _send(self, host: Host, member: RaftMember, address: str, body_name: str, body: Message) -> None:
        if host.member is not member:
            return
        self._check_sent(host, member, address, body)
        self.queue.append(Envelope(host.identity, host.address, address, body_name, body))
        if len(self.queue) > QUEUE_LIMIT:
            del self.queue[0]

    async def deliver(self, envelope: Envelope) -> None:
        host = next((h for h in self.hosts if h.address == envelope.target), None)
        if host is None or host.member is None or (envelope.source, envelope.target) in self.cut_links:
            return
        handler = getattr(host.member, f"take_{envelope.body_name}")
        try:
            handler(envelope.identity, envelope.source, envelope.body)
        except Exception as fault:  # noqa: BLE001 - no message may cause any exception
            self.fail("assertion", f"{envelope}: {fault!r}")
        await self.settle()

    async def deliver_all(self) -> None:
        envelopes, self.queue = self.queue, []
        for envelope in envelopes:
            await self.deliver(envelope)

    async def sync_all(self) -> None:
        for host in self.hosts:
            if host.disk.pending_writes:
                host.disk.sync()
        await self.settle()

    async def advance(self, host: Host, micros: int) -> None:
        clock = host.clock
        end_micros = clock.now_micros + micros
        while (next_micros := clock.next_micros()) is not None and next_micros <= end_micros:
            clock.now_micros = max(clock.now_micros, next_micros)
            callback = heapq.heappop(clock.timers)[2].callback
            if callback is not None:
                callback()
            await self.settle()
        clock.now_micros = end_micros

    async def run(self, micros: int, is_done: Callable[[], bool] = lambda: False) -> int:
        """Runs all members without new faults until done, at most for this long; returns the microseconds that passed.

        Messages and disk writes take one round each.
        """
        passed_micros = 0
        while passed_micros < micros and not is_done():
            if self.violation is not None:
                break
            await self.deliver_all()
            await self.sync_all()
            self.check()
            step_micros = ROUND_MICROS
            if not self.queue and not any(h.disk.pending_writes for h in self.hosts):
                step_micros = max(ROUND_MICROS, min([micros - passed_micros, *self._timer_delays()]))
            for host in self.hosts:
                next_micros = host.clock.next_micros()
                if next_micros is not None and next_micros - host.clock.now_micros <= step_micros:
                    await self.advance(host, step_micros)
                else:
                    host.clock.now_micros += step_micros
            passed_micros += step_micros
        return passed_micros

    def _timer_delays(self) -> Iterator[int]:
        for host in self.hosts:
            next_micros = host.clock.next_micros()
            if next_micros is not None:
                yield next_micros - host.clock.now_micros

    # ---- steps of a walk ----------------------------------------------------------------------------

    async def step(self, name: str, choice: int) -> None:
        await getattr(self, f"_step_{name}")(choice)
        await self.settle()
        self.check()

    def _pick_host(self, choice: int) -> Host:
        return self.hosts[choice % len(self.hosts)]

    def _running_hosts(self) -> list[Host]:
        return [h for h in self.hosts if h.member is not None]

    def _leader(self, choice: int) -> RaftMember | None:
        leaders = [h.member for h in self._running_hosts() if h.member is not None and h.member.is_leader()]
        return leaders[choice % len(leaders)] if leaders else None

    async def _step_nothing(self, choice: int) -> None:
        return

    async def _step_run(self, choice: int) -> None:
        micros = (1 + choice % 8) * 50 * MILLI
        self.add_trace(f"all run for {micros // MILLI} ms")
        await self.run(micros)

    async def _step_deliver_one(self, choice: int) -> None:
        if self.queue:
            envelope = self.queue.pop(choice % len(self.queue))
            self.add_trace(f"delivers {envelope}")
            await self.deliver(envelope)

    async def _step_deliver_all(self, choice: int) -> None:
        if self.queue:
            self.add_trace(f"delivers all {len(self.queue)} messages")
            await self.deliver_all()

    async def _step_drop(self, choice: int) -> None:
        if self.queue:
            self.add_trace(f"drops {self.queue.pop(choice % len(self.queue))}")

    async def _step_duplicate(self, choice: int) -> None:
        if self.queue:
            envelope = self.queue[choice % len(self.queue)]
            self.add_trace(f"duplicates {envelope}")
            self.queue.append(envelope)

    async def _step_advance(self, choice: int) -> None:
        host = self._pick_host(choice)
        micros = (1 + choice // len(self.hosts)) * 25 * MILLI
        self.add_trace(f"{host.address}'s clock advances by {micros // MILLI} ms")
        await self.advance(host, micros)

    async def _step_sync_one(self, choice: int) -> None:
        hosts = [h for h in self.hosts if h.disk.pending_writes]
        if hosts:
            host = hosts[choice % len(hosts)]
            self.add_trace(f"{host.address} syncs")
            host.disk.sync()

    async def _step_sync_all(self, choice: int) -> None:
        self.add_trace("all sync")
        await self.sync_all()

    async def _step_kill(self, choice: int) -> None:
        host = self._pick_host(choice)
        if host.member is not None:
            self.add_trace(f"{host.address} is killed")
            self.stop(host, None)

    async def _step_lose_power(self, choice: int) -> None:
        host = self._pick_host(choice)
        if host.member is not None:
            self.add_trace(f"{host.address} loses power")
            self.stop(host, self.random_source.randrange(257))

    async def _step_restart(self, choice: int) -> None:
        hosts = [h for h in self.hosts if h.member is None]
        if hosts:
            host = hosts[choice % len(hosts)]
            self.add_trace(f"{host.address} starts")
            await self.start(host)

    async def _step_fill_disk(self, choice: int) -> None:
        host = self._pick_host(choice)
        host.disk.is_full = not host.disk.is_full
        self.add_trace(f"{host.address}'s disk is {'full' if host.disk.is_full else 'no longer full'}")

    async def _step_cut(self, choice: int) -> None:
        host = self._pick_host(choice)
        kind = choice // len(self.hosts) % 3
        self.add_trace(f"{host.address} {('is cut off', 'is not heard', 'hears nobody')[kind]}")
        for other in self.hosts:
            if kind in (0, 1):
                self.cut_links.add((host.address, other.address))
            if kind in (0, 2):
                self.cut_links.add((other.address, host.address))

    async def _step_heal(self, choice: int) -> None:
        self.add_trace("links heal")
        self.cut_links.clear()

    async def _step_propose(self, choice: int) -> None:
        leader = self._leader(choice)
        if leader is not None:
            payload = b"c%d" % next(self.command_numbers)
            self.add_trace(f"{leader.identity} proposes {payload.decode()}")
            self.proposals.append((payload, leader.propose(payload)))

    async def _step_confirm(self, choice: int) -> None:
        leader = self._leader(choice)
        if leader is not None:
            self.add_trace(f"{leader.identity} confirms a read")
            host = next(h for h in self.hosts if h.member is leader)
            confirm_task = self.loop.create_task(leader.confirm_leadership())
            self.tasks.append(confirm_task)
            self.confirms.append((host, leader, max(self.committed), confirm_task))

    async def _step_hand_over(self, choice: int) -> None:
        leader = self._leader(choice)
        if leader is not None:
            self.add_trace(f"{leader.identity} transfers leadership")
            leader.transfer_leadership()

    async def _step_wipe(self, choice: int) -> None:
        host = self._pick_host(choice)
        lost = {*self.lost_disks, host.identity}
        if host.identity in self._known_voters() and not self._has_quorum_everywhere(lost):
            return
        if host.member is not None:
            self.stop(host, 0)
        self.lost_disks[host.identity] = host.disk
        host.identity = f"{host.address[:-2]}.{next(self.identity_numbers)}"
        host.disk = ModelDisk()
        self.add_trace(f"{host.address} loses its disk and starts as {host.identity}")
        await self.start(host)

    async def _step_change(self, choice: int) -> None:
        leader = self._leader(0)
        if leader is None:
            return
        changed = self._build_change(leader.members(), choice)
        if changed is None or not all(is_quorum(s - set(self.lost_disks), [s]) for s in voter_sets(changed)):
            return
        voters = sorted(m.identity for m in changed.member if m.voter)
        self.add_trace(f"{leader.identity} changes members: voters {voters}")
        self.tasks.append(self.loop.create_task(leader.change_members(changed)))

    def _build_change(self, members: Members, choice: int) -> Members | None:
        """Builds a change of one voter, or of several for joint consensus; None if this kind is not possible now."""
        changed = Members(wanted=members.wanted)
        changed.member.extend(m for m in members.member)
        kind, pick = choice % 8, choice // 8
        new_hosts = [h for h in self.hosts if h.identity not in {m.identity for m in members.member}]
        learners = [m for m in changed.member if not m.voter]
        voters = [m for m in changed.member if m.voter]
        if kind <= 1 and new_hosts:
            new_host = new_hosts[pick % len(new_hosts)]
            # A new identity at a voter's address shows that this voter's disk is lost.
            kept = [m for m in changed.member if m.address != new_host.address]
            del changed.member[:]
            changed.member.extend(kept)
            changed.member.add(identity=new_host.identity, address=new_host.address)
        elif kind in (2, 3) and learners and len(voters) < MAXIMUM_VOTERS:
            learners[pick % len(learners)].voter = True
        elif kind == 4 and len(voters) > 2:
            changed.member.remove(voters[pick % len(voters)])
        elif kind == 5 and len(voters) > 2:
            voters[pick % len(voters)].voter = False
        elif kind in (6, 7) and learners and voters:
            # Several voters at once: one or two learners replace voters, or become voters besides them.
            for joining, leaving in list(zip(learners, voters[pick % len(voters) :], strict=False))[: 1 + pick % 2]:
                joining.voter, leaving.voter = True, kind == 7 and len(voters) < MAXIMUM_VOTERS - 1
        else:
            return None
        return changed

    def _known_voters(self) -> set[str]:
        return {identity for sets in self._memberships() for voters in sets for identity in voters}

    def _memberships(self, hosts: list[Host] | None = None) -> list[list[frozenset[str]]]:
        """The voter sets of the last committed membership and of each host's latest one, from its last known log."""
        committed = [c for _, c in sorted(self.committed.items()) if c.kind == KIND_MEMBERS][-1]
        found = [voter_sets(Members.FromString(committed.payload))]
        for host in self.hosts if hosts is None else hosts:
            latest = [e for e in host.checked_entries if e.kind == KIND_MEMBERS]
            if host.member is not None:
                found.append(voter_sets(host.member.members()))
            elif latest:
                found.append(voter_sets(Members.FromString(latest[-1].payload)))
        return [sets for sets in found if sets[0]]

    def _has_quorum_everywhere(self, lost: set[str], hosts: list[Host] | None = None) -> bool:
        return all(is_quorum(set().union(*sets) - lost, sets) for sets in self._memberships(hosts))

    # ---- invariants -----------------------------------------------------------------------------------

    def check(self) -> None:
        """Checks all invariants and raises the first violation."""
        for host in self.hosts:
            if host.member is not None and self.violation is None:
                self._check_member(host, host.member)
        self._check_results()
        if self.violation is not None:
            raise self.violation

    def _check_member(self, host: Host, member: RaftMember) -> None:
        if member.task_group.exceptions:
            self.fail("task", f"{host.address}: {member.task_group.exceptions[0]!r}")
        self._check_log(host, member)
        if member.is_leader() and member.term != host.led_epoch:
            host.led_epoch = member.term
            self._check_election(host, member)
        if member.commit_index > host.checked_commit:
            self._check_commits(host, member)

    def _check_log(self, host: Host, member: RaftMember) -> None:
        """Log matching: index and epoch identify one entry and the entry before it."""
        if is_same_log(member.log.entries, host.checked_entries):
            return
        position = len(member.log.entries)
        shift = member.log.base_index + 1 - (host.checked_entries[0].index if host.checked_entries else 0)
        while position:
            checked_position = position - 1 + shift
            entry = member.log.entries[position - 1]
            if 0 <= checked_position < len(host.checked_entries):
                if host.checked_entries[checked_position] is entry:
                    break
            position -= 1
        for entry in member.log.entries[position:]:
            self._check_entry(host, member, entry)
        host.checked_entries = list(member.log.entries)

    def _check_entry(self, host: Host, member: RaftMember, entry: Entry) -> None:
        content = (member.log.term_at(entry.index - 1), entry.kind, entry.payload)
        known_content = self.known_entries.get((entry.index, entry.epoch))
        if known_content is None:
            self.known_entries[(entry.index, entry.epoch)] = content
            if entry.kind == KIND_MEMBERS:
                self._check_change(host, member, entry)
        elif known_content != content:
            self.fail(
                "log matching", f"{host.address} at {entry.index}, epoch {entry.epoch}: {known_content}, {content}"
            )

    def _check_change(self, host: Host, member: RaftMember, entry: Entry) -> None:
        """A change follows a committed membership, and the quorums of both memberships always overlap."""
        if entry.index == 1:
            return
        earlier = member.log.membership_at(entry.index - 1)
        previous_index, previous = earlier.index, earlier.members
        if member.is_leader() and previous_index > member.commit_index:
            self.fail("quorums", f"{host.address} changes members at {entry.index} upon uncommitted {previous_index}")
        before, after = voter_sets(previous), voter_sets(Members.FromString(entry.payload))
        if can_be_disjoint(before, after):
            self.fail("quorums", f"{host.address} at {entry.index}: {before} and {after} may both decide")
        self.counts["changes"] += 1
        self.counts["joint changes"] += len(after) > 1

    def _check_election(self, host: Host, member: RaftMember) -> None:
        """Each epoch has one leader, elected by a quorum, which holds all entries committed in earlier epochs."""
        self.counts["leaders"] += 1
        known_leader = self.leaders.setdefault(member.term, member.identity)
        if known_leader != member.identity:
            self.fail("election", f"epoch {member.term} is led by {known_leader} and {member.identity}")
        # The leader's first entry may already be a membership change; it was elected under the membership before that.
        first_own_index = next((e.index for e in member.log.entries if e.epoch == member.term), member.last_index() + 1)
        sets = voter_sets(member.log.membership_at(first_own_index - 1).members)
        if not is_quorum(member.elections.granting_identities, sets):
            self.fail(
                "election",
                f"{member.identity} leads {member.term} by {sorted(member.elections.granting_identities)} of {sets}",
            )
        for index, committed in self.committed.items():
            if committed.by_epoch < member.term:
                self._check_complete(member, index, committed)

    def _check_complete(self, member: RaftMember, index: int, committed: CommittedEntry) -> None:
        if index > member.log.base_index and member.log.term_at(index) != committed.epoch:
            self.fail(
                "completeness",
                f"{member.identity} leads {member.term} without {index} of epoch {committed.epoch}, "
                f"committed in {committed.by_epoch}",
            )

    def _check_commits(self, host: Host, member: RaftMember) -> None:
        for index in range(host.checked_commit + 1, member.commit_index + 1):
            entry = member.entry_at(index)
            if entry is None:
                continue  # The entry came with a snapshot, whose history is compared instead.
            known = self.committed.get(index)
            if known is None:
                self._check_first_commit(member, entry)
                self.committed[index] = CommittedEntry(entry.epoch, entry.kind, entry.payload, member.term)
            elif (known.epoch, known.payload) != (entry.epoch, entry.payload):
                self.fail("state machine", f"{host.address} commits {entry.epoch} at {index}, others {known.epoch}")
        is_counted = member.is_leader() and host.checked_commit < member.commit_index
        if is_counted and member.log.term_at(member.commit_index) != member.term:
            self.fail("old epoch", f"{member.identity} leads {member.term}, commits up to {member.commit_index}")
        host.checked_commit = member.commit_index

    def _check_first_commit(self, member: RaftMember, entry: Entry) -> None:
        """At its first commit, an entry is synced on the disks of a quorum and in the log of every later leader."""
        self.counts["commits"] += 1
        disks = self.lost_disks | {h.identity: h.disk for h in self.hosts}
        holders = {identity for identity, disk in disks.items() if disk.holds(entry.index, entry.epoch)}
        sets = voter_sets(member.members())
        if member.is_leader() and not is_quorum(holders, sets):
            self.fail("durability", f"{member.identity} commits {entry.index}, synced by {sorted(holders)} of {sets}")
        committed = CommittedEntry(entry.epoch, entry.kind, entry.payload, member.term)
        for host in self._running_hosts():
            other = host.member
            if other is not None and other.is_leader() and other.term > member.term:
                self._check_complete(other, entry.index, committed)

    def _check_sent(self, host: Host, member: RaftMember, address: str, body: Message) -> None:
        """Votes, entries and snapshots are synced before they are acknowledged."""
        if isinstance(body, VoteResult) and body.granted and not body.trial:
            target = next((h.identity for h in self.hosts if h.address == address), "")
            mark = host.disk.mark
            if mark.epoch == body.epoch and mark.voted_for != target and mark.voted_for not in self.lost_disks:
                self.fail("durability", f"{host.address} votes for {target}, on disk for {mark.voted_for}")
            if mark.epoch < body.epoch:
                self.fail("durability", f"{host.address} votes in {body.epoch}, on disk in {mark.epoch}")
        if isinstance(body, AppendResult) and body.success and body.match_index <= member.last_index():
            epoch = member.log.term_at(body.match_index)
            if not host.disk.holds(body.match_index, epoch):
                self.fail("durability", f"{host.address} acknowledges {body.match_index} of epoch {epoch} unsynced")
        if isinstance(body, DigestResult) and member.log.base_index == body.index:
            if host.disk.digest_index < body.index:
                self.fail("durability", f"{host.address} acknowledges digest {body.index} unsynced")

    def _record_applied(self, index: int, payload: bytes) -> None:
        if self.applied.setdefault(index, payload) != payload:
            self.fail("state machine", f"at {index} both {self.applied[index]!r} and {payload!r} were applied")

    def _check_results(self) -> None:
        for payload, proposal in self.proposals:
            if proposal.done():
                self._check_outcome(payload, proposal)
        self.proposals = [p for p in self.proposals if not p[1].done()]
        for host, leader, index, confirm_task in self.confirms:
            if confirm_task.done() and host.member is leader and confirm_task.result():
                self.counts["confirms"] += 1
                if leader.commit_index < index:
                    self.fail("confirm", f"{leader.identity} reads at {leader.commit_index}, {index} was committed")
        self.confirms = [c for c in self.confirms if not c[3].done() and c[0].member is c[1]]

    def _check_outcome(self, payload: bytes, proposal: Proposal) -> None:
        outcome = proposal.result()
        if isinstance(outcome, Ok):
            index, answer = outcome.ok_value
            self.counts["commands"] += 1
            if self.applied.get(index) != payload or answer != payload.decode():
                self.fail("proposal", f"Ok at {index} for {payload!r}, applied {self.applied.get(index)!r}")

    # ---- progress ---------------------------------------------------------------------------------------

    async def check_progress(self) -> None:
        """Ends all faults: with just a majority of each membership in force, a leader must be elected within 2 s."""
        self.cut_links.clear()
        for host in self.hosts:
            host.disk.is_full = False
        for host in self.hosts:
            if host.member is None:
                await self.start(host)
        if not self._has_quorum_everywhere(set(self.lost_disks)):
            self.counts["no majority left"] += 1
            return
        await self._stop_unneeded_hosts()
        self.queue = []
        running_identities = [h.identity for h in self._running_hosts()]
        self.add_trace(f"no more faults: {running_identities} are up")
        self.counts["progress checks"] += 1
        took_micros = await self.run(LEADER_MICROS, lambda: self._settled_leader() is not None)
        self.check()
        leader = self._settled_leader()
        if leader is None:
            self.fail(
                "progress",
                f"no leader for {took_micros // MILLI} ms of {running_identities}: {self._describe_members()}",
            )
            self.check()
            return
        self.counts["leader ms"] += took_micros // MILLI
        self.counts["longest leader ms"] = max(self.counts["longest leader ms"], took_micros // MILLI)
        if not await self._can_commit(LEADER_MICROS - took_micros + COMMAND_MICROS):
            self.fail("progress", f"no command of {running_identities} is committed: {self._describe_members()}")
        self.check()

    async def _can_commit(self, remaining_micros: int) -> bool:
        """Whether a command commits in time; retried, because the leader may be a stale one that still steps down."""
        while remaining_micros > 0:
            remaining_micros -= await self.run(remaining_micros, lambda: self._settled_leader() is not None)
            leader = self._settled_leader()
            if leader is None:
                return False
            payload = b"c%d" % next(self.command_numbers)
            proposal = leader.propose(payload)
            self.proposals.append((payload, proposal))
            remaining_micros -= max(ROUND_MICROS, await self.run(remaining_micros, proposal.done))
            if proposal.done() and isinstance(proposal.result(), Ok):
                return True
        return False

    async def _stop_unneeded_hosts(self) -> None:
        """Stops hosts, in random order, as long as the others still have a majority of each membership."""
        for host in self.random_source.sample(self.hosts, len(self.hosts)):
            others = [h for h in self._running_hosts() if h is not host]
            down = {h.identity for h in self.hosts if h not in others} | set(self.lost_disks)
            if host.member is not None and self._has_quorum_everywhere(down, others):
                self.stop(host, None)

    def _settled_leader(self) -> RaftMember | None:
        for host in self._running_hosts():
            if host.member is not None and host.member.is_settled():
                if not host.member.transfer.is_in_progress() and not host.member.disk_full:
                    return host.member
        return None

    def _describe_members(self) -> str:
        return "; ".join(
            f"{m.identity} {m.role} epoch {m.term} last {m.log.term_at(m.last_index())}/{m.last_index()} "
            f"commit {m.commit_index} voters {sorted(m.voters())}"
            for m in (h.member for h in self._running_hosts())
            if m is not None
        )


# ---- walks ---------------------------------------------------------------------------------------------


async def _walk(member_class: type[RaftMember], walk_bytes: bytes, trace: list[str] | None) -> Counter[str]:
    model = Model(member_class, 3 + walk_bytes[0] % 3, walk_bytes[1], trace)
    step_names = STEP_NAMES[walk_bytes[0] // 3 % len(STEP_NAMES)]
    try:
        await model.begin()
        for offset in range(HEADER_BYTES, len(walk_bytes) - 1, 2):
            await model.step(step_names[walk_bytes[offset]], walk_bytes[offset + 1])
        await model.check_progress()
    finally:
        for host in model._running_hosts():
            model.stop(host, None)
    return model.counts


def run_scenario(scenario: Callable[[], Coroutine[Any, Any, AnyT]]) -> AnyT:
    """Runs one scenario on an event loop with virtual time, and cancels the tasks that it left."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scenario())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)


def run_walk(
    walk_bytes: bytes, member_class: type[RaftMember] = RaftMember, trace: list[str] | None = None
) -> Counter[str]:
    """Runs a walk and returns counts of what happened in it; raises ModelViolationError at a violation."""
    return run_scenario(lambda: _walk(member_class, walk_bytes, trace))


def make_walk(seed: int, profile: int | None = None) -> bytes:
    """A random walk, of a random profile or of the given one."""
    walk_bytes = random.Random(seed).randbytes(WALK_BYTES)
    if profile is None:
        return walk_bytes
    return bytes([walk_bytes[0] % 3 + 3 * profile]) + walk_bytes[1:]


def find_violation(walk_bytes: bytes, member_class: type[RaftMember] = RaftMember) -> ModelViolationError | None:
    try:
        run_walk(walk_bytes, member_class)
    except ModelViolationError as violation:
        return violation
    return None


def shrink_walk(walk_bytes: bytes, member_class: type[RaftMember], checker: str, try_limit: int = 400) -> bytes:
    """Removes steps as long as the same checker still finds a violation."""
    steps = [walk_bytes[o : o + 2] for o in range(HEADER_BYTES, len(walk_bytes) - 1, 2)]
    header, size, tries = walk_bytes[:HEADER_BYTES], max(1, len(steps) // 2), 0
    while tries < try_limit:
        position, is_shorter = 0, False
        while position < len(steps) and tries < try_limit:
            fewer = steps[:position] + steps[position + size :]
            tries += 1
            found = find_violation(header + b"".join(fewer), member_class)
            if found is not None and found.checker == checker:
                steps, is_shorter = fewer, True
            else:
                position += size
        if size == 1 and not is_shorter:
            break
        size = max(1, size // 2)
    return header + b"".join(steps)


def explain_walk(walk_bytes: bytes, member_class: type[RaftMember] = RaftMember) -> str:
    """The trace of a walk's steps, and the violation that it ends with."""
    trace: list[str] = []
    try:
        run_walk(walk_bytes, member_class, trace)
        trace.append("no violation")
    except ModelViolationError as violation:
        trace.append(str(violation))
    return "\n".join([f"walk {walk_bytes.hex()}", *trace])


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--walks", type=int, default=1_000)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=90.0, help="ends after this long, with fewer walks")
    parser.add_argument("--keep-going", action="store_true", help="counts violations instead of ending at the first")
    arguments = parser.parse_args()
    logging.getLogger("pearhead").handlers = [logging.NullHandler()]
    start_seconds = time.monotonic()
    counts: Counter[str] = Counter()
    found: dict[str, list[int]] = {}
    for seed in range(arguments.seed, arguments.seed + arguments.walks):
        if time.monotonic() - start_seconds > arguments.seconds:
            break
        walk_bytes = make_walk(seed)
        counts["walks"] += 1
        try:
            walk_counts = run_walk(walk_bytes)
        except ModelViolationError as violation:
            found.setdefault(violation.checker, []).append(seed)
            if not arguments.keep_going:
                print(f"seed {seed}: {violation}")
                print(explain_walk(shrink_walk(walk_bytes, RaftMember, violation.checker)))
                break
            continue
        longest = max(counts["longest leader ms"], walk_counts.pop("longest leader ms", 0))
        counts.update(walk_counts)
        counts["longest leader ms"] = longest
    print(f"{time.monotonic() - start_seconds:.1f} s, {STEP_COUNT} steps a walk: {dict(counts)}")
    for checker, seeds in found.items():
        print(f"{checker}: {len(seeds)} walks, seeds {seeds[:20]}")
    return 1 if found else 0


if __name__ == "__main__":
    raise SystemExit(main())
