"""Runs all interleavings of a few tasks over the real code, for each of several scenarios.

Guards against races that depend on the order in which tasks run at their awaits. Each scenario must also detect a
mutation that reintroduces such a race.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import unittest
from collections.abc import Callable
from typing import Any

from google.protobuf.message import Message
from result import Err, Ok, Result

from pearhead.config.startup import StartupConfig
from pearhead.config.view import View, hash_sections
from pearhead.consensus.wal import Wal
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.fleet_state import FleetState
from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_sequencer import RevisionSequencer
from pearhead.router.job import JobRequest
from pearhead.router.node_process import NodeProcess
from pearhead.router.view_replica import ViewReplica
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import (
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
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.testbed.deployment import ACADEMY, tenant_key
from pearhead.testbed.simulator.interleaving_explorer import (
    ExplorationResult,
    InterleavingExplorer,
    TaskScenario,
    TimerDrivenClock,
)
from tests.test_job_api import FailingWorkerLink, ScriptedTransport, make_view

STARTUP = StartupConfig(address="a:1", httpAddress="a:2", area="a", seeds=["s:1"], holdMicros=3 * SECOND)


class YieldingDisk:
    """A disk in memory whose calls, except `truncate`, yield to other tasks once before they take effect."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, file_name: str) -> bytes:
        return self.files[file_name]

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        await asyncio.sleep(0)
        self.files[file_name] = self.files.get(file_name, b"") + content_bytes

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        await asyncio.sleep(0)
        self.files[file_name] = content_bytes

    async def remove(self, file_name: str) -> None:
        await asyncio.sleep(0)
        self.files.pop(file_name, None)

    async def truncate(self, file_name: str, kept_size: int) -> None:
        self.files[file_name] = self.files[file_name][:kept_size]


class YieldingWriter:
    """Records the lines of a job's output, and yields to other tasks once before each."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    async def write(self, line: dict[str, Any]) -> None:
        await asyncio.sleep(0)
        self.lines.append(line)


def make_node(transport: ScriptedTransport) -> NodeProcess:
    node = NodeProcess(STARTUP, TimerDrivenClock(), FakeRuntime(), transport, FailingWorkerLink(), random.Random(1))
    node.view_replica.view = make_view()
    node.view_replica.is_current = lambda: True  # type: ignore[method-assign]
    return node


NOTICE = JobRequest(ACADEMY.line, "notice", "b")
KEY = tenant_key(ACADEMY, "trial")


async def digest_swap_against_reads() -> None:
    """Two late replies of cores race: a reader sees only whole views, whose index never decreases."""
    views: dict[int, ViewDelta] = {}
    for index in (5, 7):
        sections = dict(View().sections)
        sections["workers"] = (index, b"{}" + b" " * index)
        delta = ViewDelta(index=index, hash=hash_sections(sections))
        delta.section.append(Section(name="workers", index=index, body=sections["workers"][1]))
        views[index] = delta
    clock, runtime = TimerDrivenClock(), FakeRuntime()
    rpc_endpoint = RpcEndpoint("me", "a:1", runtime, clock)
    directory = Directory(Record(identity="me"), ["s:1"], rpc_endpoint, clock, random.Random(1))
    view_replica = ViewReplica(rpc_endpoint, directory, clock, random.Random(1), BackgroundTaskGroup("t"), SECOND)

    async def ask(target_address: str, body_name: str, body: Message, timeout_micros: int) -> Result[Any, str]:
        await asyncio.sleep(0)
        return Ok(TermResult(member=True, delta=views[int(target_address)]))

    rpc_endpoint.call = ask  # type: ignore[method-assign]
    seen: list[int] = []

    async def read() -> None:
        for _ in range(3):
            view = view_replica.view
            seen.append(view.index)
            await asyncio.sleep(0)
            assert hash_sections(view.sections) == view.hash, "a view with sections of two versions"

    await asyncio.gather(view_replica._fetch_delta("5"), view_replica._fetch_delta("7"), read())
    assert seen == sorted(seen), f"the view's index decreased: {seen}"
    assert view_replica.view.index == 7, f"ended at {view_replica.view.index}"


async def cancel_against_carry() -> None:
    """A caller disconnects at any moment: every queue slot and count is released."""
    transport = ScriptedTransport()
    transport.line_count = 1
    node = make_node(transport)
    job_task = asyncio.ensure_future(node.run_job(KEY, NOTICE, YieldingWriter()))

    async def cancel() -> None:
        await asyncio.sleep(0)
        job_task.cancel()

    await asyncio.gather(cancel(), return_exceptions=True)
    with contextlib.suppress(asyncio.CancelledError):
        await job_task
    queue = node.admission.queues.get("notice")
    assert node.open_jobs == 0 and not node.scheduler.running_counts, "a count was not released"
    assert queue is None or (queue.running_count, queue.waiting_count) == (0, 0), "a queue slot was not released"
    assert not transport.started_count or transport.closed.is_set(), "the upstream request goes on"


class SharedLog:
    """The log that two successive leaders commit to, in one order as the core's log has it."""

    def __init__(self) -> None:
        self.fleet = FleetState()
        self.index = 0
        self.leader = "old"


class SharedLogStore:
    """One leader's `RevisionStore` on the shared log."""

    def __init__(self, name: str, log: SharedLog) -> None:
        self.name = name
        self.log = log

    def is_leader(self) -> bool:
        return self.log.leader == self.name

    async def confirm_leadership(self) -> bool:
        return self.is_leader()

    async def bump(self, note: PurgeNote) -> tuple[int, int] | None:
        command = Command(transaction=note.revision_request.transaction)
        command.bump.CopyFrom(BumpPart(owner=note.owner, line=note.line, part=note.part))
        await asyncio.sleep(0)
        self.log.index += 1
        outcome = self.log.fleet.apply(self.log.index, command.SerializeToString())
        # A leader that lost leadership can't tell whether the command was committed.
        return (outcome["revision"], outcome["index"]) if self.is_leader() else None

    def raised_part_revisions(self, owner: str, line: str) -> list[tuple[int, int]]:
        return []

    def position(self) -> tuple[int, int]:
        return 1, self.log.index


async def bump_against_retransmission_and_leader_change() -> None:
    """A revision request is sent again and the leader changes: the part is bumped only once."""
    log, clock = SharedLog(), TimerDrivenClock()
    runtimes = {name: FakeRuntime() for name in ("old", "new")}
    task_group = BackgroundTaskGroup("t")
    sequencers = {}
    for name, runtime in runtimes.items():
        rpc_endpoint = RpcEndpoint(name, f"{name}:1", runtime, clock)
        directory = Directory(Record(identity=name), ["s:1"], rpc_endpoint, clock, random.Random(1))
        sequencers[name] = RevisionSequencer(
            SharedLogStore(name, log), rpc_endpoint, directory, clock, task_group, SECOND
        )
        sequencers[name].channels.joined_bits.setall(1)
    request = PurgeNote(owner="o", line="l", part=7)
    request.revision_request.CopyFrom(RevisionRequest(transaction=b"one"))

    async def send() -> None:
        for name in ("old", "new", "old"):
            sequencers[name]._handle_purge_note("n", "n:1", request)
            await asyncio.sleep(0)

    async def change() -> None:
        log.leader = "new"

    await asyncio.gather(send(), change())
    await asyncio.gather(*task_group.owned_tasks)
    repairs = [n.revision_repair.revision for b in runtimes.values() for n in b.notes if n.HasField("revision_repair")]
    assert set(repairs) <= {2}, f"one transaction gave {repairs}"
    assert log.fleet.parts["o/l"][7] == 2, f"bumped to {log.fleet.parts['o/l'][7]}"


class LogRaft:
    """Commits in order after yielding once, as a Raft group of one member would."""

    def __init__(self, fleet: FleetState, core: CoreProcess) -> None:
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
            next_index = len(self.outcomes) + 1
            self.outcomes.append(self.core.apply(next_index, self.payloads[next_index - 1]))
        return Ok((index, self.outcomes[index - 1]))


def make_core(clock: TimerDrivenClock) -> CoreProcess:
    core = CoreProcess(STARTUP, clock, FakeRuntime(), YieldingDisk(), random.Random(1), lambda reason: None)
    core.raft = LogRaft(core.fleet, core)  # type: ignore[assignment]
    workers = Command(workers=SetWorkers(worker=[Worker(name="w", address="w:1", service="s")]))
    core.apply(0, workers.SerializeToString())
    return core


async def holder_takeover() -> None:
    """One holder renews its hold late while another requests it from the time that its term may be over."""
    clock = TimerDrivenClock()
    core = make_core(clock)
    ends: dict[str, int] = {}

    async def hold(holder: str, renew_fence: int) -> int:
        asked_micros = clock.now()
        command = Command()
        command.hold.worker, command.hold.holder, command.hold.renew_fence = "w", holder, renew_fence
        result = await core._execute_as_leader(command, core.clock.now())
        if result.status != "done":
            return 0
        ends[holder] = asked_micros + STARTUP.holdMicros - 300 * MILLI
        holders = [h for h, end in ends.items() if end > clock.now()]
        assert len(holders) <= 1, f"held at once by {holders}"
        return result.index

    fence = await hold("first", 0)

    async def pass_time() -> None:
        for _ in range(3):
            clock.now_micros += STARTUP.holdMicros // 2 + MILLI
            await asyncio.sleep(0)

    async def renew() -> None:
        await asyncio.sleep(0)
        await hold("first", fence)

    async def take_over() -> None:
        await hold("second", 0)
        await hold("second", 0)

    await asyncio.gather(pass_time(), renew(), take_over())


async def drain_against_accept() -> None:
    """Once the drain has returned, no job runs, and each job was either completed or refused."""
    transport = ScriptedTransport()
    transport.line_count = 1
    node = make_node(transport)
    writer = YieldingWriter()
    job_task = asyncio.ensure_future(node.run_job(KEY, NOTICE, writer))
    await asyncio.sleep(0)

    async def drain() -> None:
        await node.drain()
        assert not transport.started_count or transport.closed.is_set(), "the drain ended while a job ran"

    await asyncio.gather(drain())
    outcome = await job_task
    if isinstance(outcome, Err):
        assert not transport.started_count, "the job was refused although it ran"
    else:
        assert writer.lines[-1].get("end"), "the job's output lacks its closing line"


async def append_against_digest_cut() -> None:
    """Entries are written while a snapshot truncates the log: after a restart none of them is missing."""
    disk = YieldingDisk()
    wal = Wal(disk)
    await wal.append([LogRecord(entry=Entry(index=1, epoch=1))])

    async def write() -> None:
        for index in (2, 3):
            await wal.append([LogRecord(entry=Entry(index=index, epoch=1))])

    async def cut() -> None:
        await wal.save_snapshot(DigestFile(index=1, epoch=1))

    await asyncio.gather(write(), cut())
    recovered = await Wal(disk).recover()
    found = [e.index for e in recovered.entries]
    assert found == [2, 3], f"the log holds {found}"


class InterleavingsTest(unittest.TestCase):
    def check(self, scenario: TaskScenario, mutate: Callable[[], Callable[[], None]], least_count: int) -> None:
        exploration = self.explore(scenario)
        self.assertEqual(exploration.faults, [])
        self.assertTrue(exploration.is_complete, "not all schedules were run")
        self.assertGreaterEqual(exploration.schedule_count, least_count)
        restore = mutate()
        try:
            mutated = self.explore(scenario)
        finally:
            restore()
        self.assertTrue(mutated.faults, f"{scenario.__name__}: the mutation was not found")
        print(
            f"{scenario.__name__}: {exploration.schedule_count} schedules; "
            f"mutation found in {len(mutated.faults)} of {mutated.schedule_count}"
        )

    def explore(self, scenario: TaskScenario) -> ExplorationResult:
        return InterleavingExplorer().explore(scenario)

    def replace_attribute(self, owner: Any, name: str, value: Any) -> Callable[[], Callable[[], None]]:
        def mutate() -> Callable[[], None]:
            original = getattr(owner, name)
            setattr(owner, name, value)
            return lambda: setattr(owner, name, original)

        return mutate

    def test_digest_swap_against_reads(self) -> None:
        def apply_unchecked(self: ViewReplica, result: TermResult) -> None:
            self.view = View(result.delta.index, {s.name: (s.index, s.body) for s in result.delta.section})

        self.check(
            digest_swap_against_reads, self.replace_attribute(ViewReplica, "_apply_view_delta", apply_unchecked), 10
        )

    def test_cancel_against_carry(self) -> None:
        async def admit(self: Any, job: Any) -> Any:
            queue = self.queues.setdefault(job.entry.name, type(self)._queue_type())
            self._begin(queue, job.tenant.name)
            await asyncio.sleep(0)
            return Ok(True)

        from pearhead.router import admission as admission_module

        admission_module.AdmissionController._queue_type = admission_module._EntryQueue  # type: ignore[attr-defined]
        self.check(
            cancel_against_carry, self.replace_attribute(admission_module.AdmissionController, "admit", admit), 3
        )

    def test_bump_against_retransmission_and_leader_change(self) -> None:
        real_apply = FleetState.apply

        def apply(self: FleetState, index: int, command_bytes: bytes) -> Any:
            self.transactions.clear()
            return real_apply(self, index, command_bytes)

        self.check(
            bump_against_retransmission_and_leader_change, self.replace_attribute(FleetState, "apply", apply), 20
        )

    def test_holder_takeover(self) -> None:
        real_check = CoreProcess._check_lease_expiry

        def check_and_forget(self: CoreProcess, command: Command) -> None:
            seen = dict(self.lease_last_seen)
            real_check(self, command)
            self.lease_last_seen = seen

        self.check(holder_takeover, self.replace_attribute(CoreProcess, "_check_lease_expiry", check_and_forget), 20)

    def test_drain_against_accept(self) -> None:
        async def drain(self: NodeProcess) -> None:
            self.is_draining = True

        self.check(drain_against_accept, self.replace_attribute(NodeProcess, "drain", drain), 3)

    def test_append_against_digest_cut(self) -> None:
        class NoLock:
            async def __aenter__(self) -> None:
                return None

            async def __aexit__(self, *_: object) -> None:
                return None

        real_init = Wal.__init__

        def init(self: Wal, disk: Any) -> None:
            real_init(self, disk)
            self.write_lock = NoLock()  # type: ignore[assignment]

        self.check(append_against_digest_cut, self.replace_attribute(Wal, "__init__", init), 7)
