"""All interleavings of a few tasks over the real code; each story also finds a seeded mutation."""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest
from collections.abc import Callable
from typing import Any

from google.protobuf.message import Message
from result import Err, Ok, Result

from pearhead.anvil.core import CoreProcess
from pearhead.anvil.fleet import Fleet
from pearhead.awl.bench import Bench
from pearhead.awl.clock import MILLI, SECOND
from pearhead.awl.courier import Courier
from pearhead.awl.crew import Crew
from pearhead.awl.directory import Directory
from pearhead.awl.startup import Startup
from pearhead.awl.view import View, hash_sections
from pearhead.awl.wire_pb2 import (
    BumpPart,
    Command,
    DigestFile,
    Entry,
    LogRecord,
    PurgeNote,
    Record,
    RevisionRequest,
    Section,
    SetWorkers,
    TermResult,
    ViewDelta,
    Worker,
)
from pearhead.jig.deployment import ACADEMY, tenant_key
from pearhead.jig.sim.explore import Exploration, Explorer, StepClock, Story
from pearhead.lathe.job import WrittenJob
from pearhead.lathe.node import NodeProcess
from pearhead.lathe.term import TermKeeper
from pearhead.rasp.serializer import Serializer
from pearhead.vise.wal import Wal
from tests.test_front import NoLink, ScriptedCarrier, make_view

STARTUP = Startup(address="a:1", httpAddress="a:2", area="a", seeds=["s:1"], holdMicros=3 * SECOND)


class YieldingDisk:
    """A disk whose every write gives way once before and once after it takes effect."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, fileName: str) -> bytes:
        return self.files[fileName]

    async def append(self, fileName: str, contentBytes: bytes) -> None:
        await asyncio.sleep(0)
        self.files[fileName] = self.files.get(fileName, b"") + contentBytes

    async def replace(self, fileName: str, contentBytes: bytes) -> None:
        await asyncio.sleep(0)
        self.files[fileName] = contentBytes

    async def remove(self, fileName: str) -> None:
        await asyncio.sleep(0)
        self.files.pop(fileName, None)

    async def truncate(self, fileName: str, keptSize: int) -> None:
        self.files[fileName] = self.files[fileName][:keptSize]


class QuietPen:
    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    async def write(self, line: dict[str, Any]) -> None:
        await asyncio.sleep(0)
        self.lines.append(line)


def make_node(carrier: ScriptedCarrier) -> NodeProcess:
    node = NodeProcess(STARTUP, StepClock(), Bench(), carrier, NoLink(), random.Random(1))
    node.keeper.view = make_view()
    node.keeper.is_current = lambda: True  # type: ignore[method-assign]
    return node


NOTICE = WrittenJob(ACADEMY.line, "notice", "b")
KEY = tenant_key(ACADEMY, "trial")


async def digest_swap_against_reads() -> None:
    """Two late answers of cores race; a reader holds what it read and sees the view only go up."""
    views: dict[int, ViewDelta] = {}
    for index in (5, 7):
        sections = dict(View().sections)
        sections["workers"] = (index, b"{}" + b" " * index)
        delta = ViewDelta(index=index, hash=hash_sections(sections))
        delta.section.append(Section(name="workers", index=index, body=sections["workers"][1]))
        views[index] = delta
    clock, bench = StepClock(), Bench()
    courier = Courier("me", "a:1", bench, clock)
    directory = Directory(Record(identity="me"), ["s:1"], courier, clock, random.Random(1))
    keeper = TermKeeper(courier, directory, clock, random.Random(1), Crew("t"), SECOND)

    async def ask(targetAddress: str, bodyName: str, body: Message, limitMicros: int) -> Result[Any, str]:
        await asyncio.sleep(0)
        return Ok(TermResult(member=True, delta=views[int(targetAddress)]))

    courier.ask = ask  # type: ignore[method-assign]
    seen: list[int] = []

    async def read() -> None:
        for _ in range(3):
            held = keeper.view
            seen.append(held.index)
            await asyncio.sleep(0)
            assert hash_sections(held.sections) == held.hash, "a torn view"

    await asyncio.gather(keeper._fetch_delta("5"), keeper._fetch_delta("7"), read())
    assert seen == sorted(seen), f"the view went down: {seen}"
    assert keeper.view.index == 7, f"ended at {keeper.view.index}"


async def cancel_against_carry() -> None:
    """A caller goes away at any moment: every place and count is given back."""
    carrier = ScriptedCarrier()
    carrier.lineCount = 1
    node = make_node(carrier)
    jobTask = asyncio.ensure_future(node.run_job(KEY, NOTICE, QuietPen()))

    async def cancel() -> None:
        await asyncio.sleep(0)
        jobTask.cancel()

    await asyncio.gather(cancel(), return_exceptions=True)
    with contextlib.suppress(asyncio.CancelledError):
        await jobTask
    queue = node.admission.queues.get("notice")
    assert node.openJobs == 0 and not node.nominator.runningCounts, "a count was kept"
    assert queue is None or (queue.runningCount, queue.waitingCount) == (0, 0), "a place was kept"
    assert not carrier.startedCount or carrier.closed.is_set(), "the upstream goes on"


class SharedLog:
    """What two leaders in turn commit to: one order, as the core's log gives it."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.index = 0
        self.leader = "old"


class LogKeeper:
    def __init__(self, name: str, log: SharedLog) -> None:
        self.name = name
        self.log = log

    def is_leader(self) -> bool:
        return self.log.leader == self.name

    async def confirm(self) -> bool:
        return self.is_leader()

    async def bump(self, note: PurgeNote) -> tuple[int, int] | None:
        command = Command(transaction=note.revisionRequest.transaction)
        command.bump.CopyFrom(BumpPart(owner=note.owner, line=note.line, part=note.part))
        await asyncio.sleep(0)
        self.log.index += 1
        outcome = self.log.fleet.apply(self.log.index, command.SerializeToString())
        # A leader that lost its place can't tell whether it was committed.
        return (outcome["revision"], outcome["index"]) if self.is_leader() else None

    def pairs_of(self, owner: str, line: str) -> list[tuple[int, int]]:
        return []

    def position(self) -> tuple[int, int]:
        return 1, self.log.index


async def bump_against_retransmission_and_leader_change() -> None:
    log, clock = SharedLog(), StepClock()
    benches = {name: Bench() for name in ("old", "new")}
    crew = Crew("t")
    serializers = {}
    for name, bench in benches.items():
        courier = Courier(name, f"{name}:1", bench, clock)
        directory = Directory(Record(identity=name), ["s:1"], courier, clock, random.Random(1))
        serializers[name] = Serializer(LogKeeper(name, log), courier, directory, clock, crew, SECOND)
        serializers[name].channels.joinedBits.setall(1)
    request = PurgeNote(owner="o", line="l", part=7)
    request.revisionRequest.CopyFrom(RevisionRequest(transaction=b"one"))

    async def send() -> None:
        for name in ("old", "new", "old"):
            serializers[name]._take_note("n", "n:1", request)
            await asyncio.sleep(0)

    async def change() -> None:
        log.leader = "new"

    await asyncio.gather(send(), change())
    await asyncio.gather(*crew.ownTasks)
    repairs = [n.revisionRepair.revision for b in benches.values() for n in b.notes if n.HasField("revisionRepair")]
    assert set(repairs) <= {2}, f"one transaction gave {repairs}"
    assert log.fleet.parts["o/l"][7] == 2, f"bumped to {log.fleet.parts['o/l'][7]}"


class LogRaft:
    """Commits in order after giving way, as a raft of one would."""

    def __init__(self, fleet: Fleet, core: CoreProcess) -> None:
        self.core = core
        self.payloads: list[bytes] = []
        self.outcomes: list[Any] = []

    def is_leader(self) -> bool:
        return True

    async def propose(self, payload: bytes) -> Result[tuple[int, Any], str]:
        self.payloads.append(payload)
        index = len(self.payloads)
        await asyncio.sleep(0)
        while len(self.outcomes) < index:
            nextIndex = len(self.outcomes) + 1
            self.outcomes.append(self.core.apply(nextIndex, self.payloads[nextIndex - 1]))
        return Ok((index, self.outcomes[index - 1]))


def make_core(clock: StepClock) -> CoreProcess:
    core = CoreProcess(STARTUP, clock, Bench(), YieldingDisk(), random.Random(1), lambda reason: None)
    core.raft = LogRaft(core.fleet, core)  # type: ignore[assignment]
    workers = Command(workers=SetWorkers(worker=[Worker(name="w", address="w:1", service="s")]))
    core.apply(0, workers.SerializeToString())
    return core


async def holder_takeover() -> None:
    """One holder renews late, another asks from the moment that the term may be over."""
    clock = StepClock()
    core = make_core(clock)
    ends: dict[str, int] = {}

    async def hold(holder: str, renewFence: int) -> int:
        askedMicros = clock.now()
        command = Command()
        command.hold.worker, command.hold.holder, command.hold.renewFence = "w", holder, renewFence
        result = await core._execute_here(command)
        if result.status != "done":
            return 0
        ends[holder] = askedMicros + STARTUP.holdMicros - 300 * MILLI
        heldNow = [h for h, end in ends.items() if end > clock.now()]
        assert len(heldNow) <= 1, f"held at once by {heldNow}"
        return result.index

    fence = await hold("first", 0)

    async def pass_time() -> None:
        for _ in range(3):
            clock.nowMicros += STARTUP.holdMicros // 2 + MILLI
            await asyncio.sleep(0)

    async def renew() -> None:
        await asyncio.sleep(0)
        await hold("first", fence)

    async def take_over() -> None:
        await hold("second", 0)
        await hold("second", 0)

    await asyncio.gather(pass_time(), renew(), take_over())


async def drain_against_accept() -> None:
    """Once drain has returned nothing runs, and a job is either whole or refused."""
    carrier = ScriptedCarrier()
    carrier.lineCount = 1
    node = make_node(carrier)
    pen = QuietPen()
    jobTask = asyncio.ensure_future(node.run_job(KEY, NOTICE, pen))
    await asyncio.sleep(0)

    async def drain() -> None:
        await node.drain()
        assert not carrier.startedCount or carrier.closed.is_set(), "drained while a job ran"

    await asyncio.gather(drain())
    outcome = await jobTask
    if isinstance(outcome, Err):
        assert not carrier.startedCount, "refused, and it ran"
    else:
        assert pen.lines[-1].get("end"), "ended without its closing line"


async def append_against_digest_cut() -> None:
    """Entries are written while a digest cuts the log: after a restart none of them is missing."""
    disk = YieldingDisk()
    wal = Wal(disk)
    await wal.append([LogRecord(entry=Entry(index=1, epoch=1))])

    async def write() -> None:
        for index in (2, 3):
            await wal.append([LogRecord(entry=Entry(index=index, epoch=1))])

    async def cut() -> None:
        await wal.keep_digest(DigestFile(index=1, epoch=1))

    await asyncio.gather(write(), cut())
    recovered = await Wal(disk).recover()
    found = [e.index for e in recovered.entries]
    assert found == [2, 3], f"the log holds {found}"


class InterleavingsTest(unittest.TestCase):
    def check(self, story: Story, mutate: Callable[[], Callable[[], None]], leastCount: int) -> None:
        exploration = self.explore(story)
        self.assertEqual(exploration.faults, [])
        self.assertTrue(exploration.isWhole, "not every schedule was run")
        self.assertGreaterEqual(exploration.scheduleCount, leastCount)
        restore = mutate()
        try:
            broken = self.explore(story)
        finally:
            restore()
        self.assertTrue(broken.faults, f"{story.__name__}: the mutation was not found")
        print(f"{story.__name__}: {exploration.scheduleCount} schedules; "
              f"mutation found in {len(broken.faults)} of {broken.scheduleCount}")

    def explore(self, story: Story) -> Exploration:
        return Explorer().explore(story)

    def swap(self, owner: Any, name: str, value: Any) -> Callable[[], Callable[[], None]]:
        def mutate() -> Callable[[], None]:
            held = getattr(owner, name)
            setattr(owner, name, value)
            return lambda: setattr(owner, name, held)

        return mutate

    def test_digest_swap_against_reads(self) -> None:
        def take(self: TermKeeper, result: TermResult) -> None:
            self.view = View(result.delta.index, {s.name: (s.index, s.body) for s in result.delta.section})

        self.check(digest_swap_against_reads, self.swap(TermKeeper, "_take_delta", take), 10)

    def test_cancel_against_carry(self) -> None:
        async def admit(self: Any, job: Any) -> Any:
            queue = self.queues.setdefault(job.entry.name, type(self)._queue_type())
            self._begin(queue, job.tenant.name)
            await asyncio.sleep(0)
            return Ok(True)

        from pearhead.lathe import admit as admitModule

        admitModule.Admission._queue_type = admitModule._EntryQueue  # type: ignore[attr-defined]
        self.check(cancel_against_carry, self.swap(admitModule.Admission, "admit", admit), 3)

    def test_bump_against_retransmission_and_leader_change(self) -> None:
        realApply = Fleet.apply

        def apply(self: Fleet, index: int, commandBytes: bytes) -> Any:
            self.transactions.clear()
            return realApply(self, index, commandBytes)

        self.check(bump_against_retransmission_and_leader_change, self.swap(Fleet, "apply", apply), 20)

    def test_holder_takeover(self) -> None:
        realJudge = CoreProcess._judge_hold

        def judge(self: CoreProcess, command: Command) -> None:
            seen = dict(self.holdSeen)
            realJudge(self, command)
            self.holdSeen = seen

        self.check(holder_takeover, self.swap(CoreProcess, "_judge_hold", judge), 20)

    def test_drain_against_accept(self) -> None:
        async def drain(self: NodeProcess) -> None:
            self.isDraining = True

        self.check(drain_against_accept, self.swap(NodeProcess, "drain", drain), 3)

    def test_append_against_digest_cut(self) -> None:
        class NoLock:
            async def __aenter__(self) -> None:
                return None

            async def __aexit__(self, *_: object) -> None:
                return None

        realInit = Wal.__init__

        def init(self: Wal, disk: Any) -> None:
            realInit(self, disk)
            self.writeLock = NoLock()  # type: ignore[assignment]

        self.check(append_against_digest_cut, self.swap(Wal, "__init__", init), 7)
