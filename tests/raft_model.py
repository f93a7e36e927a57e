"""A model test of RaftMember and Wal: scripted network, clocks and disks, and invariants after each step.

A walk is a string of bytes, two a step: what happens, and to whom. Its first two bytes are the number of members
with the kind of the walk, and the seed of their timers, so the same bytes give the same run. A long run, which prints
the first violation with its shrunk trace: `python -m tests.raft_model --walks N --seed S`.
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
MOST_VOTERS = 5
LEADER_MICROS = 2 * SECOND
COMMAND_MICROS = SECOND
ROUND_MICROS = MILLI
QUEUE_LIMIT = 300
DIGEST_EVERY = 8
KEPT_ENTRIES = 2

# What a step does, and how many of 255 byte values stand for it; zero stands for nothing, so that walks shrink.
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
# Walks of three kinds: of all things, mostly of changes of members, mostly of lost power.
FLAVOURS: list[dict[str, int]] = [
    {},
    {"change": 44, "wipe": 8, "run": 50, "kill": 8, "confirm": 1, "duplicate": 4, "deliver_one": 16, "drop": 2}
    | {"sync_one": 6, "advance": 10, "fill_disk": 1, "propose": 32},
    {"propose": 44, "lose_power": 16, "restart": 34, "sync_one": 30, "change": 6, "advance": 10, "drop": 4}
    | {"duplicate": 4, "confirm": 1, "fill_disk": 1, "hand_over": 2, "run": 34, "wipe": 1, "deliver_one": 12}
    | {"heal": 14, "sync_all": 11, "kill": 5},
]


def name_steps(flavour: dict[str, int]) -> list[str]:
    weights = STEP_WEIGHTS | flavour
    names = ["nothing", *(name for name, weight in weights.items() for _ in range(weight))]
    assert len(names) == 256, len(names)
    return names


STEP_NAMES = [name_steps(flavour) for flavour in FLAVOURS]


class ModelViolationError(AssertionError):
    """An invariant that does not hold; `checker` is its name."""

    def __init__(self, checker: str, text: str) -> None:
        super().__init__(f"{checker}: {text}")
        self.checker = checker


# ---- memberships -------------------------------------------------------------------------------------


def voter_sets(members: Members) -> list[frozenset[str]]:
    """The sets of which each must give a majority: one, or two while a joint change is under way."""
    sets = [frozenset(m.identity for m in members.member if m.voter)]
    if members.joint:
        sets.append(frozenset(m.identity for m in members.member if m.outgoing))
    return sets


def is_quorum(identities: Set[str], sets: list[frozenset[str]]) -> bool:
    return all(len(identities & voters) > len(voters) // 2 for voters in sets)


def can_be_disjoint(first: list[frozenset[str]], second: list[frozenset[str]]) -> bool:
    """Whether some quorum of the one and some quorum of the other have no voter in common."""
    everybody = sorted(frozenset().union(*first, *second))
    for size in range(len(everybody) + 1):
        for chosen in itertools.combinations(everybody, size):
            others = set(everybody) - set(chosen)
            if is_quorum(set(chosen), first) and is_quorum(others, second):
                return True
    return False


def is_same(entries: list[Entry], checked_entries: list[Entry]) -> bool:
    """A log changes at its ends only: what has the same ends is the same."""
    if len(entries) != len(checked_entries):
        return False
    return not entries or (entries[0] is checked_entries[0] and entries[-1] is checked_entries[-1])


# ---- what a member stands on -------------------------------------------------------------------------


class ScriptTimer:
    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class ScriptClock:
    """One member's clock: it goes on only as the walk says."""

    def __init__(self) -> None:
        self.now_micros = SECOND
        self.timers: list[tuple[int, int, ScriptTimer]] = []
        self.timer_numbers = itertools.count()

    def now(self) -> int:
        return self.now_micros

    def after(self, delay_micros: int, callback: Callable[[], None]) -> ScriptTimer:
        timer = ScriptTimer(callback)
        heapq.heappush(self.timers, (self.now_micros + max(delay_micros, 0), next(self.timer_numbers), timer))
        return timer

    def next_micros(self) -> int | None:
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None


@dataclass
class Waiting:
    """A write that is not synced yet."""

    done: asyncio.Future[None]
    finish: Callable[[], None]
    tear: Callable[[int], None]


class ModelDisk:
    """Files that hold only what was synced, and what their log says, read with the product's own reader."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.waiting: list[Waiting] = []
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
            self._note(content_bytes)

        def tear(chance: int) -> None:
            self._add(file_name, content_bytes[: len(content_bytes) * chance // 256])

        await self._sync(finish, tear)

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left")

        def finish() -> None:
            self.files[file_name] = content_bytes
            self._note_file(file_name)

        await self._sync(finish, lambda chance: finish() if chance % 2 else None)

    async def remove(self, file_name: str) -> None:
        def finish() -> None:
            self.files.pop(file_name, None)

        await self._sync(finish, lambda chance: finish() if chance % 2 else None)

    async def truncate(self, file_name: str, kept_size: int) -> None:
        def finish() -> None:
            self.files[file_name] = self.files[file_name][:kept_size]

        await self._sync(finish, lambda chance: finish() if chance % 2 else None)

    async def _sync(self, finish: Callable[[], None], tear: Callable[[int], None]) -> None:
        if self.is_instant:
            finish()
            return
        waiting = Waiting(asyncio.get_running_loop().create_future(), finish, tear)
        self.waiting.append(waiting)
        await waiting.done

    def sync(self) -> None:
        for waiting in self.waiting:
            waiting.finish()
            waiting.done.set_result(None)
        self.waiting = []

    def crash(self, chance: int | None) -> None:
        """Without power a write is torn anywhere; after a kill the system still writes it."""
        for waiting in self.waiting:
            if chance is None:
                waiting.finish()
            else:
                waiting.tear(chance)
        self.waiting = []

    def read_again(self) -> None:
        """What the log on disk says, from its files alone."""
        self.entry_epochs, self.digest_index, self.mark = {}, 0, Mark()
        for file_name in self.names():
            self._note_file(file_name)

    def holds(self, index: int, epoch: int) -> bool:
        return index <= self.digest_index or self.entry_epochs.get(index) == epoch

    def _add(self, file_name: str, content_bytes: bytes) -> None:
        self.files[file_name] = self.files.get(file_name, b"") + content_bytes

    def _note_file(self, file_name: str) -> None:
        if file_name.startswith("digest-"):
            self.digest_index = max(self.digest_index, int(file_name[7:]))
        else:
            self._note(self.files[file_name])

    def _note(self, log_bytes: bytes) -> None:
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
    """A state that is the history itself, so that any difference shows."""

    def __init__(self, note: Callable[[int, bytes], None]) -> None:
        self.note = note
        self.history: list[tuple[int, str]] = []

    def apply(self, index: int, command_bytes: bytes) -> str:
        self.history.append((index, command_bytes.decode()))
        self.note(index, command_bytes)
        return command_bytes.decode()

    def take_digest(self) -> bytes:
        return json.dumps(self.history).encode()

    def load_digest(self, digest_bytes: bytes) -> None:
        self.history = [(index, text) for index, text in json.loads(digest_bytes)]
        for index, text in self.history:
            self.note(index, text.encode())


@dataclass
class Place:
    """A machine at its address: a disk with one identity, and a member while it is up."""

    address: str
    identity: str
    clock: ScriptClock = field(default_factory=ScriptClock)
    disk: ModelDisk = field(default_factory=ModelDisk)
    member: RaftMember | None = None
    machine: ModelMachine | None = None
    # Of the member's log, what was checked already, and how far its commits were.
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
class Committed:
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
        self.chance = random.Random(seed)
        self.trace = trace
        self.queue: list[Envelope] = []
        self.cuts: set[tuple[str, str]] = set()
        self.life_numbers = itertools.count(1)
        self.command_numbers = itertools.count(1)
        self.places = [Place(f"m{n}:1", f"m{n}") for n in range(1, voter_count + SPARE_COUNT + 1)]
        self.founders = self.places[:voter_count]
        # By identity, the disks that are lost for good: what they held was synced when it was acknowledged.
        self.gone_disks: dict[str, ModelDisk] = {}
        self.violation: ModelViolationError | None = None
        self.leaders: dict[int, str] = {}
        self.links: dict[tuple[int, int], tuple[int, int, bytes]] = {}
        self.committed: dict[int, Committed] = {}
        self.applied: dict[int, bytes] = {}
        self.proposals: list[tuple[bytes, Proposal]] = []
        self.confirms: list[tuple[Place, RaftMember, int, asyncio.Task[bool]]] = []
        # Kept to the end of the walk, so that none is collected while it waits.
        self.tasks: list[asyncio.Task[Any]] = []
        self.counts: Counter[str] = Counter()
        self.loop: Any = asyncio.get_running_loop()

    # ---- running -----------------------------------------------------------------------------------

    def note(self, text: str) -> None:
        if self.trace is not None:
            self.trace.append(text)

    def fail(self, checker: str, text: str) -> None:
        if self.violation is None:
            self.violation = ModelViolationError(checker, text)

    async def settle(self) -> None:
        """Until no task can go on without the network, a clock or a disk."""
        while self.loop._ready:
            await asyncio.sleep(0)

    async def begin(self) -> None:
        """All founders hold the same first entry, as after a founding and its joins."""
        members = Members(member=[Member(identity=p.identity, address=p.address, voter=True) for p in self.founders])
        entry = Entry(index=1, epoch=1, kind=KIND_MEMBERS, payload=members.SerializeToString())
        for place in self.founders:
            place.disk.is_instant = True
            await Wal(place.disk).append([LogRecord(mark=Mark(epoch=1)), LogRecord(entry=entry)])
        self.committed[1] = Committed(1, KIND_MEMBERS, entry.payload, 1)
        for place in self.places:
            await self.start(place)

    async def start(self, place: Place) -> None:
        place.disk.read_again()
        place.machine = ModelMachine(self._note_applied)
        member = self.member_class(
            place.identity,
            Wal(place.disk),
            place.machine,
            lambda address, body_name, body: self._tell(place, member, address, body_name, body),
            place.clock,
            random.Random(self.chance.getrandbits(64)),
            BackgroundTaskGroup(place.address),
            lambda reason: self.fail("disk", reason),
            SnapshotLimits(DIGEST_EVERY, KEPT_ENTRIES),
        )
        place.disk.is_instant = True
        try:
            await member.recover()
        except WalCorruptError as corrupt_error:
            self.fail("recovery", f"{place.address}: {corrupt_error}")
            return
        place.disk.is_instant = False
        place.member = member
        place.checked_entries, place.checked_commit, place.led_epoch = [], member.commit_index, 0
        member.timer.reset()
        member.task_group.start(member.writer.run())
        self._tick_later(place, member)
        await self.settle()

    def _tick_later(self, place: Place, member: RaftMember) -> None:
        """As the member's own task of ticks does, without a task."""

        def tick() -> None:
            self._tick_later(place, member)
            try:
                member.tick()
            except Exception as fault:  # noqa: BLE001 - the product's task would end with it
                self.fail("task", f"{place.address} ticks: {fault!r}")

        place.clock.after(TICK_MICROS, tick)

    def stop(self, place: Place, chance: int | None) -> None:
        assert place.member is not None
        place.member.task_group.stop()
        place.member = None
        place.clock.timers = []
        place.disk.crash(chance)

    def _tell(self, place: Place, member: RaftMember, address: str, body_name: str, body: Message) -> None:
        if place.member is not member:
            return
        self._check_told(place, member, address, body)
        self.queue.append(Envelope(place.identity, place.address, address, body_name, body))
        if len(self.queue) > QUEUE_LIMIT:
            del self.queue[0]

    async def deliver(self, envelope: Envelope) -> None:
        place = next((p for p in self.places if p.address == envelope.target), None)
        if place is None or place.member is None or (envelope.source, envelope.target) in self.cuts:
            return
        handler = getattr(place.member, f"take_{envelope.body_name}")
        try:
            handler(envelope.identity, envelope.source, envelope.body)
        except Exception as fault:  # noqa: BLE001 - whatever it is, no message may bring it about
            self.fail("assertion", f"{envelope}: {fault!r}")
        await self.settle()

    async def deliver_all(self) -> None:
        envelopes, self.queue = self.queue, []
        for envelope in envelopes:
            await self.deliver(envelope)

    async def sync_all(self) -> None:
        for place in self.places:
            if place.disk.waiting:
                place.disk.sync()
        await self.settle()

    async def advance(self, place: Place, micros: int) -> None:
        clock = place.clock
        end_micros = clock.now_micros + micros
        while (next_micros := clock.next_micros()) is not None and next_micros <= end_micros:
            clock.now_micros = max(clock.now_micros, next_micros)
            callback = heapq.heappop(clock.timers)[2].callback
            if callback is not None:
                callback()
            await self.settle()
        clock.now_micros = end_micros

    async def run(self, micros: int, is_done: Callable[[], bool] = lambda: False) -> int:
        """Lets all go on without faults: links take a round, disks as well. Returns what it took."""
        passed_micros = 0
        while passed_micros < micros and not is_done():
            if self.violation is not None:
                break
            await self.deliver_all()
            await self.sync_all()
            self.check()
            step_micros = ROUND_MICROS
            if not self.queue and not any(p.disk.waiting for p in self.places):
                step_micros = max(ROUND_MICROS, min([micros - passed_micros, *self._pauses()]))
            for place in self.places:
                next_micros = place.clock.next_micros()
                if next_micros is not None and next_micros - place.clock.now_micros <= step_micros:
                    await self.advance(place, step_micros)
                else:
                    place.clock.now_micros += step_micros
            passed_micros += step_micros
        return passed_micros

    def _pauses(self) -> Iterator[int]:
        for place in self.places:
            next_micros = place.clock.next_micros()
            if next_micros is not None:
                yield next_micros - place.clock.now_micros

    # ---- steps of a walk ----------------------------------------------------------------------------

    async def step(self, name: str, chance: int) -> None:
        await getattr(self, f"_step_{name}")(chance)
        await self.settle()
        self.check()

    def _place(self, chance: int) -> Place:
        return self.places[chance % len(self.places)]

    def _up(self) -> list[Place]:
        return [p for p in self.places if p.member is not None]

    def _leader(self, chance: int) -> RaftMember | None:
        leaders = [p.member for p in self._up() if p.member is not None and p.member.is_leader()]
        return leaders[chance % len(leaders)] if leaders else None

    async def _step_nothing(self, chance: int) -> None:
        return

    async def _step_run(self, chance: int) -> None:
        micros = (1 + chance % 8) * 50 * MILLI
        self.note(f"all run for {micros // MILLI} ms")
        await self.run(micros)

    async def _step_deliver_one(self, chance: int) -> None:
        if self.queue:
            envelope = self.queue.pop(chance % len(self.queue))
            self.note(f"delivers {envelope}")
            await self.deliver(envelope)

    async def _step_deliver_all(self, chance: int) -> None:
        if self.queue:
            self.note(f"delivers all {len(self.queue)} messages")
            await self.deliver_all()

    async def _step_drop(self, chance: int) -> None:
        if self.queue:
            self.note(f"drops {self.queue.pop(chance % len(self.queue))}")

    async def _step_duplicate(self, chance: int) -> None:
        if self.queue:
            envelope = self.queue[chance % len(self.queue)]
            self.note(f"doubles {envelope}")
            self.queue.append(envelope)

    async def _step_advance(self, chance: int) -> None:
        place = self._place(chance)
        micros = (1 + chance // len(self.places)) * 25 * MILLI
        self.note(f"{place.address}'s clock goes on by {micros // MILLI} ms")
        await self.advance(place, micros)

    async def _step_sync_one(self, chance: int) -> None:
        places = [p for p in self.places if p.disk.waiting]
        if places:
            place = places[chance % len(places)]
            self.note(f"{place.address} syncs")
            place.disk.sync()

    async def _step_sync_all(self, chance: int) -> None:
        self.note("all sync")
        await self.sync_all()

    async def _step_kill(self, chance: int) -> None:
        place = self._place(chance)
        if place.member is not None:
            self.note(f"{place.address} is killed")
            self.stop(place, None)

    async def _step_lose_power(self, chance: int) -> None:
        place = self._place(chance)
        if place.member is not None:
            self.note(f"{place.address} loses power")
            self.stop(place, self.chance.randrange(257))

    async def _step_restart(self, chance: int) -> None:
        places = [p for p in self.places if p.member is None]
        if places:
            place = places[chance % len(places)]
            self.note(f"{place.address} starts")
            await self.start(place)

    async def _step_fill_disk(self, chance: int) -> None:
        place = self._place(chance)
        place.disk.is_full = not place.disk.is_full
        self.note(f"{place.address}'s disk is {'full' if place.disk.is_full else 'no longer full'}")

    async def _step_cut(self, chance: int) -> None:
        place = self._place(chance)
        kind = chance // len(self.places) % 3
        self.note(f"{place.address} {('is cut off', 'is not heard', 'hears nobody')[kind]}")
        for other in self.places:
            if kind in (0, 1):
                self.cuts.add((place.address, other.address))
            if kind in (0, 2):
                self.cuts.add((other.address, place.address))

    async def _step_heal(self, chance: int) -> None:
        self.note("links heal")
        self.cuts.clear()

    async def _step_propose(self, chance: int) -> None:
        leader = self._leader(chance)
        if leader is not None:
            payload = b"c%d" % next(self.command_numbers)
            self.note(f"{leader.identity} proposes {payload.decode()}")
            self.proposals.append((payload, leader.propose(payload)))

    async def _step_confirm(self, chance: int) -> None:
        leader = self._leader(chance)
        if leader is not None:
            self.note(f"{leader.identity} confirms")
            place = next(p for p in self.places if p.member is leader)
            confirm_task = self.loop.create_task(leader.confirm())
            self.tasks.append(confirm_task)
            self.confirms.append((place, leader, max(self.committed), confirm_task))

    async def _step_hand_over(self, chance: int) -> None:
        leader = self._leader(chance)
        if leader is not None:
            self.note(f"{leader.identity} hands over")
            leader.transfer_leadership()

    async def _step_wipe(self, chance: int) -> None:
        place = self._place(chance)
        gone = {*self.gone_disks, place.identity}
        if place.identity in self._known() and not self._all_can_lead(gone):
            return
        if place.member is not None:
            self.stop(place, 0)
        self.gone_disks[place.identity] = place.disk
        place.identity = f"{place.address[:-2]}.{next(self.life_numbers)}"
        place.disk = ModelDisk()
        self.note(f"{place.address} loses its disk and starts as {place.identity}")
        await self.start(place)

    async def _step_change(self, chance: int) -> None:
        leader = self._leader(0)
        if leader is None:
            return
        changed = self._changed(leader.members(), chance)
        if changed is None or not all(is_quorum(s - set(self.gone_disks), [s]) for s in voter_sets(changed)):
            return
        voters = sorted(m.identity for m in changed.member if m.voter)
        self.note(f"{leader.identity} changes members: voters {voters}")
        self.tasks.append(self.loop.create_task(leader.change_members(changed)))

    def _changed(self, members: Members, chance: int) -> Members | None:
        """Of one voter, or of several in a joint change; None where this one can't be made."""
        changed = Members(wanted=members.wanted)
        changed.member.extend(m for m in members.member)
        kind, pick = chance % 8, chance // 8
        strangers = [p for p in self.places if p.identity not in {m.identity for m in members.member}]
        learners = [m for m in changed.member if not m.voter]
        voters = [m for m in changed.member if m.voter]
        if kind <= 1 and strangers:
            stranger = strangers[pick % len(strangers)]
            # Who comes from a voter's address shows that this voter's disk is gone.
            kept = [m for m in changed.member if m.address != stranger.address]
            del changed.member[:]
            changed.member.extend(kept)
            changed.member.add(identity=stranger.identity, address=stranger.address)
        elif kind in (2, 3) and learners and len(voters) < MOST_VOTERS:
            learners[pick % len(learners)].voter = True
        elif kind == 4 and len(voters) > 2:
            changed.member.remove(voters[pick % len(voters)])
        elif kind == 5 and len(voters) > 2:
            voters[pick % len(voters)].voter = False
        elif kind in (6, 7) and learners and voters:
            # Several at once: one for another, two at most, or one more coming in besides.
            for come, go in list(zip(learners, voters[pick % len(voters) :], strict=False))[: 1 + pick % 2]:
                come.voter, go.voter = True, kind == 7 and len(voters) < MOST_VOTERS - 1
        else:
            return None
        return changed

    def _known(self) -> set[str]:
        return {identity for sets in self._memberships() for voters in sets for identity in voters}

    def _memberships(self, places: list[Place] | None = None) -> list[list[frozenset[str]]]:
        """The last committed, and what each of these members holds for the latest; down ones by their last log."""
        committed = [c for _, c in sorted(self.committed.items()) if c.kind == KIND_MEMBERS][-1]
        found = [voter_sets(Members.FromString(committed.payload))]
        for place in self.places if places is None else places:
            latest = [e for e in place.checked_entries if e.kind == KIND_MEMBERS]
            if place.member is not None:
                found.append(voter_sets(place.member.members()))
            elif latest:
                found.append(voter_sets(Members.FromString(latest[-1].payload)))
        return [sets for sets in found if sets[0]]

    def _all_can_lead(self, gone: set[str], places: list[Place] | None = None) -> bool:
        return all(is_quorum(set().union(*sets) - gone, sets) for sets in self._memberships(places))

    # ---- invariants -----------------------------------------------------------------------------------

    def check(self) -> None:
        """Raises the first violation."""
        for place in self.places:
            if place.member is not None and self.violation is None:
                self._check_member(place, place.member)
        self._check_answers()
        if self.violation is not None:
            raise self.violation

    def _check_member(self, place: Place, member: RaftMember) -> None:
        if member.task_group.faults:
            self.fail("task", f"{place.address}: {member.task_group.faults[0]!r}")
        self._check_log(place, member)
        if member.is_leader() and member.term != place.led_epoch:
            place.led_epoch = member.term
            self._check_election(place, member)
        if member.commit_index > place.checked_commit:
            self._check_commits(place, member)

    def _check_log(self, place: Place, member: RaftMember) -> None:
        """Log matching: an index and an epoch name one entry, and one entry before it."""
        if is_same(member.log.entries, place.checked_entries):
            return
        position = len(member.log.entries)
        shift = member.log.base_index + 1 - (place.checked_entries[0].index if place.checked_entries else 0)
        while position:
            checked_position = position - 1 + shift
            entry = member.log.entries[position - 1]
            if 0 <= checked_position < len(place.checked_entries):
                if place.checked_entries[checked_position] is entry:
                    break
            position -= 1
        for entry in member.log.entries[position:]:
            self._check_entry(place, member, entry)
        place.checked_entries = list(member.log.entries)

    def _check_entry(self, place: Place, member: RaftMember, entry: Entry) -> None:
        link = (member.log.term_at(entry.index - 1), entry.kind, entry.payload)
        known_link = self.links.get((entry.index, entry.epoch))
        if known_link is None:
            self.links[(entry.index, entry.epoch)] = link
            if entry.kind == KIND_MEMBERS:
                self._check_change(place, member, entry)
        elif known_link != link:
            self.fail("log matching", f"{place.address} at {entry.index}, epoch {entry.epoch}: {known_link}, {link}")

    def _check_change(self, place: Place, member: RaftMember, entry: Entry) -> None:
        """A change follows a committed membership, and no quorum of the one misses one of the other."""
        if entry.index == 1:
            return
        earlier = member.log.membership_at(entry.index - 1)
        previous_index, previous = earlier.index, earlier.members
        if member.is_leader() and previous_index > member.commit_index:
            self.fail("quorums", f"{place.address} changes members at {entry.index} upon uncommitted {previous_index}")
        before, after = voter_sets(previous), voter_sets(Members.FromString(entry.payload))
        if can_be_disjoint(before, after):
            self.fail("quorums", f"{place.address} at {entry.index}: {before} and {after} may both decide")
        self.counts["changes"] += 1
        self.counts["joint changes"] += len(after) > 1

    def _check_election(self, place: Place, member: RaftMember) -> None:
        """One leader an epoch, chosen by a quorum, with all that was committed in earlier epochs."""
        self.counts["leaders"] += 1
        known_leader = self.leaders.setdefault(member.term, member.identity)
        if known_leader != member.identity:
            self.fail("election", f"epoch {member.term} is led by {known_leader} and {member.identity}")
        # Its first entry may have been a change: it was chosen by what held before its own entries.
        own_first = next((e.index for e in member.log.entries if e.epoch == member.term), member.last_index() + 1)
        sets = voter_sets(member.log.membership_at(own_first - 1).members)
        if not is_quorum(member.elections.granted_by, sets):
            self.fail(
                "election", f"{member.identity} leads {member.term} by {sorted(member.elections.granted_by)} of {sets}"
            )
        for index, committed in self.committed.items():
            if committed.by_epoch < member.term:
                self._check_complete(member, index, committed)

    def _check_complete(self, member: RaftMember, index: int, committed: Committed) -> None:
        if index > member.log.base_index and member.log.term_at(index) != committed.epoch:
            self.fail(
                "completeness",
                f"{member.identity} leads {member.term} without {index} of epoch {committed.epoch}, "
                f"committed in {committed.by_epoch}",
            )

    def _check_commits(self, place: Place, member: RaftMember) -> None:
        for index in range(place.checked_commit + 1, member.commit_index + 1):
            entry = member.entry_at(index)
            if entry is None:
                continue  # It came with a digest, whose history is compared instead.
            known = self.committed.get(index)
            if known is None:
                self._check_first_commit(member, entry)
                self.committed[index] = Committed(entry.epoch, entry.kind, entry.payload, member.term)
            elif (known.epoch, known.payload) != (entry.epoch, entry.payload):
                self.fail("state machine", f"{place.address} commits {entry.epoch} at {index}, others {known.epoch}")
        is_counted = member.is_leader() and place.checked_commit < member.commit_index
        if is_counted and member.log.term_at(member.commit_index) != member.term:
            self.fail("old epoch", f"{member.identity} leads {member.term}, commits up to {member.commit_index}")
        place.checked_commit = member.commit_index

    def _check_first_commit(self, member: RaftMember, entry: Entry) -> None:
        """What is committed first is on the synced disks of a quorum, and in the log of who leads later."""
        self.counts["commits"] += 1
        disks = self.gone_disks | {p.identity: p.disk for p in self.places}
        holders = {identity for identity, disk in disks.items() if disk.holds(entry.index, entry.epoch)}
        sets = voter_sets(member.members())
        if member.is_leader() and not is_quorum(holders, sets):
            self.fail("durability", f"{member.identity} commits {entry.index}, synced by {sorted(holders)} of {sets}")
        committed = Committed(entry.epoch, entry.kind, entry.payload, member.term)
        for place in self._up():
            other = place.member
            if other is not None and other.is_leader() and other.term > member.term:
                self._check_complete(other, entry.index, committed)

    def _check_told(self, place: Place, member: RaftMember, address: str, body: Message) -> None:
        """What is acknowledged is synced first: a vote, and entries."""
        if isinstance(body, VoteResult) and body.granted and not body.trial:
            target = next((p.identity for p in self.places if p.address == address), "")
            mark = place.disk.mark
            if mark.epoch == body.epoch and mark.voted_for != target and mark.voted_for not in self.gone_disks:
                self.fail("durability", f"{place.address} votes for {target}, on disk for {mark.voted_for}")
            if mark.epoch < body.epoch:
                self.fail("durability", f"{place.address} votes in {body.epoch}, on disk in {mark.epoch}")
        if isinstance(body, AppendResult) and body.success and body.match_index <= member.last_index():
            epoch = member.log.term_at(body.match_index)
            if not place.disk.holds(body.match_index, epoch):
                self.fail("durability", f"{place.address} acknowledges {body.match_index} of epoch {epoch} unsynced")
        if isinstance(body, DigestResult) and member.log.base_index == body.index:
            if place.disk.digest_index < body.index:
                self.fail("durability", f"{place.address} acknowledges digest {body.index} unsynced")

    def _note_applied(self, index: int, payload: bytes) -> None:
        if self.applied.setdefault(index, payload) != payload:
            self.fail("state machine", f"at {index} both {self.applied[index]!r} and {payload!r} were applied")

    def _check_answers(self) -> None:
        for payload, proposal in self.proposals:
            if proposal.done():
                self._check_outcome(payload, proposal)
        self.proposals = [p for p in self.proposals if not p[1].done()]
        for place, leader, index, confirm_task in self.confirms:
            if confirm_task.done() and place.member is leader and confirm_task.result():
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
        """From here no more faults: a majority of each membership in force is up and leads within 2 s."""
        self.cuts.clear()
        for place in self.places:
            place.disk.is_full = False
        for place in self.places:
            if place.member is None:
                await self.start(place)
        if not self._all_can_lead(set(self.gone_disks)):
            self.counts["no majority left"] += 1
            return
        await self._leave_down()
        self.queue = []
        up_names = [p.identity for p in self._up()]
        self.note(f"no more faults: {up_names} are up")
        self.counts["progress checks"] += 1
        took_micros = await self.run(LEADER_MICROS, lambda: self._settled_leader() is not None)
        self.check()
        leader = self._settled_leader()
        if leader is None:
            self.fail("progress", f"no leader for {took_micros // MILLI} ms of {up_names}: {self._states()}")
            self.check()
            return
        self.counts["leader ms"] += took_micros // MILLI
        self.counts["longest leader ms"] = max(self.counts["longest leader ms"], took_micros // MILLI)
        if not await self._commits_one(LEADER_MICROS - took_micros + COMMAND_MICROS):
            self.fail("progress", f"no command of {up_names} is committed: {self._states()}")
        self.check()

    async def _commits_one(self, left_micros: int) -> bool:
        """A leader may be one of old that steps down yet, so a command that did not get through goes again."""
        while left_micros > 0:
            left_micros -= await self.run(left_micros, lambda: self._settled_leader() is not None)
            leader = self._settled_leader()
            if leader is None:
                return False
            payload = b"c%d" % next(self.command_numbers)
            proposal = leader.propose(payload)
            self.proposals.append((payload, proposal))
            left_micros -= max(ROUND_MICROS, await self.run(left_micros, proposal.done))
            if proposal.done() and isinstance(proposal.result(), Ok):
                return True
        return False

    async def _leave_down(self) -> None:
        """Takes down who is not needed, in an order by chance."""
        for place in self.chance.sample(self.places, len(self.places)):
            others = [p for p in self._up() if p is not place]
            down = {p.identity for p in self.places if p not in others} | set(self.gone_disks)
            if place.member is not None and self._all_can_lead(down, others):
                self.stop(place, None)

    def _settled_leader(self) -> RaftMember | None:
        for place in self._up():
            if place.member is not None and place.member.settled():
                if not place.member.transfer.is_in_progress() and not place.member.disk_full:
                    return place.member
        return None

    def _states(self) -> str:
        return "; ".join(
            f"{m.identity} {m.role} epoch {m.term} last {m.log.term_at(m.last_index())}/{m.last_index()} "
            f"commit {m.commit_index} voters {sorted(m.voters())}"
            for m in (p.member for p in self._up())
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
        for place in model._up():
            model.stop(place, None)
    return model.counts


def run_play(play: Callable[[], Coroutine[Any, Any, AnyT]]) -> AnyT:
    """Runs one play on a loop without real time, and ends what it left."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(play())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
        asyncio.set_event_loop(None)


def run_walk(
    walk_bytes: bytes, member_class: type[RaftMember] = RaftMember, trace: list[str] | None = None
) -> Counter[str]:
    """Raises ModelViolationError; what it returns tells how much the walk brought about."""
    return run_play(lambda: _walk(member_class, walk_bytes, trace))


def make_walk(seed: int, flavour: int | None = None) -> bytes:
    """A walk of any kind, or of this one."""
    walk_bytes = random.Random(seed).randbytes(WALK_BYTES)
    if flavour is None:
        return walk_bytes
    return bytes([walk_bytes[0] % 3 + 3 * flavour]) + walk_bytes[1:]


def find_violation(walk_bytes: bytes, member_class: type[RaftMember] = RaftMember) -> ModelViolationError | None:
    try:
        run_walk(walk_bytes, member_class)
    except ModelViolationError as violation:
        return violation
    return None


def shrink_walk(walk_bytes: bytes, member_class: type[RaftMember], checker: str, try_limit: int = 400) -> bytes:
    """Leaves out steps as long as the same checker still finds a violation."""
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


def explain(walk_bytes: bytes, member_class: type[RaftMember] = RaftMember) -> str:
    """The steps of a walk and the violation it ends with."""
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
                print(explain(shrink_walk(walk_bytes, RaftMember, violation.checker)))
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
