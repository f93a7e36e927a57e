"""Ledger (§9.6): what a run did, and the checkers of what must never happen."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from pearhead.awl.clock import MILLI, SECOND
from pearhead.awl.description import Description
from pearhead.jig.caller import find_stream_faults
from pearhead.jig.deployment import Deployment
from pearhead.jig.sim.faultbook import FaultBook
from pearhead.jig.workermodel import RunRecord

FORCE_MICROS = 2_300 * MILLI
LEAVING_MICROS = 3 * SECOND
RECOVERY_MICROS = 12 * SECOND
RETRY_SHARE = 0.1
ANSWER_MICROS = 200 * MILLI
PLANNED_REFUSALS = 0.005


@dataclass
class JobTrace:
    job: dict[str, Any]
    tenant: str
    node: str
    sentMicros: int
    lines: list[dict[str, Any]] = field(default_factory=list)
    outcome: str = "open"
    isRefused: bool = False
    endMicros: int = 0
    comeBackSeconds: int = 0


@dataclass
class Send:
    """The first byte of a job left a node, which held this view."""

    node: str
    nodeLife: int
    atMicros: int
    jobId: str
    worker: str
    descriptionRevision: int
    marks: frozenset[str]


@dataclass
class WorkerCommand:
    node: str
    worker: str
    fence: int
    sentMicros: int
    atMicros: int


@dataclass
class Ledger:
    deployment: Deployment
    jobs: dict[str, JobTrace] = field(default_factory=dict)
    runs: list[tuple[str, RunRecord]] = field(default_factory=list)
    sends: dict[str, Send] = field(default_factory=dict)
    book: FaultBook = field(default_factory=FaultBook)
    coreNames: set[str] = field(default_factory=set)
    nodeNames: set[str] = field(default_factory=set)
    workerNames: set[str] = field(default_factory=set)
    descriptions: dict[int, Description] = field(default_factory=dict)
    grants: dict[tuple[str, int], tuple[str, int]] = field(default_factory=dict)
    applies: list[tuple[int, int]] = field(default_factory=list)
    losers: list[frozenset[str]] = field(default_factory=list)
    applySpans: list[tuple[int, int, int]] = field(default_factory=list)
    reads: list[tuple[int, int, int]] = field(default_factory=list)
    withdrawals: list[tuple[str, int]] = field(default_factory=list)
    changes: list[tuple[str, int, int]] = field(default_factory=list)
    namings: list[tuple[int, int, str]] = field(default_factory=list)
    leavings: list[tuple[str, int, int]] = field(default_factory=list)
    bumps: list[tuple[str, int, str, int]] = field(default_factory=list)
    commands: list[WorkerCommand] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    retryCount: int = 0
    carriedCount: int = 0
    endMicros: int = 0
    plannedCount: int = 0
    isLoaded: bool = False
    lastRevisions: set[int] = field(default_factory=set)
    lastWeights: int = 0
    lastParts: dict[str, dict[int, int]] = field(default_factory=dict)

    def outcomes(self) -> Counter[str]:
        return Counter(trace.outcome for trace in self.jobs.values())

    def find_breaches(self) -> list[str]:
        found = list(self.breaches)
        for check in (
            self._check_streams, self._check_runs, self._check_owners, self._check_force,
            self._check_weights, self._check_leaving, self._check_bumps, self._check_commands,
            self._check_recovery, self._check_retries, self._check_lasting,
            self._check_planned, self._check_histories, self._check_held_back,
            self._check_changes,
        ):
            found.extend(f"{check.__name__[7:]}: {fault}" for fault in check())
        return found

    def _check_streams(self) -> list[str]:
        return [
            fault for trace in self.jobs.values() if trace.outcome == "done"
            for fault in find_stream_faults(trace.job, trace.lines)
        ]

    def _check_runs(self) -> list[str]:
        counts = Counter(record.upstreamId.split(".")[0] for _, record in self.runs)
        faults = []
        for jobId, trace in self.jobs.items():
            if counts[jobId] > 1 and trace.job["kind"] != "notice":
                faults.append(f"{jobId} ran {counts[jobId]} times")
            if counts[jobId] and trace.isRefused:
                faults.append(f"{jobId} was refused ({trace.outcome}) and ran")
            if trace.outcome == "done" and not counts[jobId]:
                faults.append(f"{jobId} is done and never ran")
        return faults

    def _check_owners(self) -> list[str]:
        faults = []
        for worker, record in self.runs:
            faults += [f"{record.upstreamId} on {worker}: {x}" for x in record.foreign]
            ownGroup = self.deployment.groups.get(record.tenant, record.tenant)
            for tenant in record.sharedWith:
                if self.deployment.groups.get(tenant, tenant) != ownGroup or not self.deployment.groups.get(tenant):
                    faults.append(f"{record.upstreamId}: {record.tenant} ran on a prefix of {tenant}")
        return faults

    def begin_micros(self, worker: str, record: RunRecord) -> int:
        """When a run began; one that lay at a frozen worker counts from when its node let it go."""
        send = self.sends.get(record.upstreamId)
        if send is not None and self.book.froze_between(worker, send.atMicros, record.atMicros):
            return send.atMicros
        return record.atMicros

    def _begins(self) -> dict[str, int]:
        """By upstream id: when a job began at its back end, or was sent if it never did."""
        begins = {upstreamId: send.atMicros for upstreamId, send in self.sends.items()}
        for worker, record in self.runs:
            begins[record.upstreamId] = self.begin_micros(worker, record)
        return begins

    def _check_force(self) -> list[str]:
        """In force 2 s after the acknowledgement, never back, never a losing one, no withdrawn key or entry.

        Judged where a job begins: by what its node held when the first byte left.
        """
        faults = []
        latest: dict[tuple[str, int], int] = {}
        begins = self._begins()
        for upstreamId, send in self.sends.items():
            beginMicros = begins[upstreamId]
            key = (send.node, send.nodeLife)
            if send.descriptionRevision < latest.get(key, 0):
                faults.append(f"{send.node} went back to {send.descriptionRevision}")
            latest[key] = max(latest.get(key, 0), send.descriptionRevision)
            for revision, ackMicros in self.applies:
                if beginMicros > ackMicros + FORCE_MICROS and send.descriptionRevision < revision:
                    faults.append(f"{upstreamId} on {send.node} began before revision {revision}")
            for marks in self.losers:
                if marks <= send.marks:
                    faults.append(f"{send.node} served a losing configuration {sorted(marks)}")
            trace = self.jobs.get(send.jobId)
            description = self.descriptions.get(send.descriptionRevision)
            if trace is not None and description is not None:
                fault = self._find_match_fault(description, trace, send.worker)
                if fault:
                    faults.append(f"{upstreamId} on {send.node} under {send.descriptionRevision}: {fault}")
        if self.applies and self.isLoaded and self._is_served_after(max(a for _, a in self.applies) + FORCE_MICROS):
            newest = max(r for r, _ in self.applies)
            if not any(s.descriptionRevision >= newest for s in self.sends.values()):
                faults.append(f"nothing was ever served under revision {newest}")
        return faults

    def _find_match_fault(self, description: Description, trace: JobTrace, worker: str) -> str:
        if not any(t.name == trace.tenant for t in description.tenants):
            return f"the key of {trace.tenant} is withdrawn"
        service = "desk" if worker == "desk" else "models"
        kind = trace.job["kind"]
        found = [e for e in description.entries if kind in e.kinds and {trace.tenant, "*"} & set(e.tenants)]
        if not any(e.service == service for e in found):
            return f"no entry sends {kind} of {trace.tenant} to {service}"
        return ""

    def _check_weights(self) -> list[str]:
        faults = []
        order = {name: revision for revision, _, name in self.namings}
        firstBegins: dict[int, int] = {}
        for worker, record in self.runs:
            if "@" not in record.loadedModel:
                continue
            loadedRevision = order.get(record.loadedModel.split("@")[1], 0)
            beginMicros = self.begin_micros(worker, record)
            firstBegins[loadedRevision] = min(firstBegins.get(loadedRevision, beginMicros), beginMicros)
            for revision, ackMicros, name in self.namings:
                limitMicros = ackMicros + self.deployment.weightsLimitMicros
                if beginMicros > limitMicros and loadedRevision < revision:
                    faults.append(f"{record.upstreamId} began on {record.loadedModel} long after {name}")
        for revision, ackMicros, name in self.namings:
            limitMicros = ackMicros + self.deployment.weightsLimitMicros
            isServed = any(r >= revision and at <= limitMicros for r, at in firstBegins.items())
            if self.isLoaded and not isServed and self._was_sound(ackMicros, limitMicros):
                faults.append(f"no job began on {name} within the limit")
        return faults

    def _was_sound(self, startMicros: int, endMicros: int) -> bool:
        """Whether a node and a majority of cores stood all the time, and no fault came or went in it."""
        return (
            self.book.is_quiet(endMicros, endMicros - startMicros) and endMicros < self.endMicros
            and bool(self.sound_nodes(startMicros))
        )

    def _is_served_after(self, fromMicros: int) -> bool:
        return any(t.outcome == "done" and t.sentMicros > fromMicros for t in self.jobs.values())

    def sound_nodes(self, atMicros: int) -> set[str]:
        return self.book.sound_nodes(atMicros, self.nodeNames, self.coreNames, self.workerNames)

    def _check_leaving(self) -> list[str]:
        faults = []
        for worker, ackMicros, endMicros in self.leavings:
            for ranWorker, record in self.runs:
                if ranWorker != worker:
                    continue
                if ackMicros + LEAVING_MICROS < self.begin_micros(worker, record) < endMicros:
                    faults.append(f"{record.upstreamId} began on leaving {worker}")
        return faults

    def _check_bumps(self) -> list[str]:
        """Strictly increasing over all leaders, and one revision a transaction."""
        faults = []
        latest: dict[tuple[str, int], int] = {}
        byTransaction: dict[str, int] = {}
        for volume, part, transaction, revision in self.bumps:
            if byTransaction.setdefault(transaction, revision) != revision:
                faults.append(f"a repeat of {transaction[:8]} gave {revision}")
                continue
            if transaction in byTransaction and latest.get((volume, part), 0) >= revision:
                if byTransaction[transaction] == revision and self._seen(volume, part, transaction, revision):
                    continue
                faults.append(f"{volume} part {part} got {revision} after {latest[volume, part]}")
            latest[volume, part] = max(latest.get((volume, part), 0), revision)
        return faults

    def _seen(self, volume: str, part: int, transaction: str, revision: int) -> bool:
        """Whether this revision of the part was given to this transaction alone."""
        return {t for v, p, t, r in self.bumps if (v, p, r) == (volume, part, revision)} == {transaction}

    def _check_commands(self) -> list[str]:
        faults = []
        highest: dict[str, int] = {}
        holders: dict[tuple[str, int], str] = {}
        for command in self.commands:
            node, worker, fence = command.node, command.worker, command.fence
            if fence < highest.get(worker, 0):
                faults.append(f"{worker} was sent the older fence {fence}")
            highest[worker] = max(highest.get(worker, 0), fence)
            if holders.setdefault((worker, fence), node) != node:
                faults.append(f"{worker}: fence {fence} used by two holders")
            isHeldUp = self.book.froze_between(worker, command.sentMicros, command.atMicros)
            beginMicros = command.sentMicros if isHeldUp else command.atMicros
            for (otherWorker, otherFence), (_, grantMicros) in self.grants.items():
                if otherWorker == worker and otherFence > fence and grantMicros < beginMicros:
                    faults.append(f"{worker}: a command of {node} by {fence} began after {otherFence} was granted")
        return faults

    def _check_recovery(self) -> list[str]:
        """From 12 s after the last fault came or went on, while others may stand, whom the platform could
        know to be sound serves: no job sent there is refused or lost for want of a service."""
        if not self.isLoaded:
            return []
        judged = [t for t in self.jobs.values() if self._must_serve(t)]
        if not judged:
            return ["no job was sent at a time and place where it had to be served"]
        return [
            f"{t.job['jobId']} at {t.node} was {t.outcome} at {t.sentMicros / SECOND:.1f}"
            for t in judged if t.outcome != "done" and not self._is_withdrawn(t)
        ]

    def _must_serve(self, trace: JobTrace) -> bool:
        forMicros = RECOVERY_MICROS + trace.endMicros - trace.sentMicros
        isQuiet = trace.outcome != "open" and self.book.is_quiet(trace.endMicros, forMicros)
        return isQuiet and self._has_somewhere_to_go(trace)

    def _has_somewhere_to_go(self, trace: JobTrace) -> bool:
        """At a sound node, or at none, as none took connections while some should have."""
        if self.book.is_overloaded(trace.sentMicros):
            return False
        if trace.job["kind"] == "notice" and not self.book.stands("desk", trace.sentMicros):
            return False  # There is one application worker.
        soundNodes = self.sound_nodes(trace.sentMicros)
        return trace.node in soundNodes or (not trace.node and bool(soundNodes))

    def _check_lasting(self) -> list[str]:
        """What was acknowledged is there at the end, whatever was lost on the way."""
        faults = [f"revision {r} was acknowledged and is gone" for r, _ in self.applies if r not in self.lastRevisions]
        faults += [f"weights {n} were acknowledged and are gone" for r, _, n in self.namings if r > self.lastWeights]
        for volume, part, _, revision in self.bumps:
            if self.lastParts.get(volume, {}).get(part, 1) < revision:
                faults.append(f"{volume} part {part} lost revision {revision}")
        return faults

    def _check_planned(self) -> list[str]:
        """Planned work drops no accepted job, and makes refusals (which did not run) rare."""
        if not self.plannedCount:
            return []
        faults = [
            f"{t.job['jobId']} at {t.node} was dropped: {t.outcome}" for t in self.jobs.values()
            if t.outcome != "done" and not t.isRefused
        ]
        refusedCount = sum(t.isRefused for t in self.jobs.values())
        if refusedCount > PLANNED_REFUSALS * len(self.jobs):
            faults.append(f"{refusedCount} of {len(self.jobs)} jobs were refused")
        return faults

    def _check_histories(self) -> list[str]:
        """Applies and operators' reads are linearizable: the revision is a register that only rises.

        A read sees no less than what was acknowledged, or read, before it began, and nothing that was not
        at least asked for before it ended.
        """
        faults = []
        firstAsks = {revision: startMicros for startMicros, _, revision in self.applySpans}
        for startMicros, endMicros, revision in self.reads:
            acknowledged = max((r for _, end, r in self.applySpans if end < startMicros), default=0)
            readBefore = max((r for _, end, r in self.reads if end < startMicros), default=0)
            if revision < max(acknowledged, readBefore):
                faults.append(f"a read at {startMicros} saw {revision} after {max(acknowledged, readBefore)}")
            if revision in firstAsks and firstAsks[revision] > endMicros:
                faults.append(f"a read that ended at {endMicros} saw {revision} before it was asked for")
        return faults

    def _check_changes(self) -> list[str]:
        """A part that was reported as changed is not run on any more, from a while after the report on."""
        return [
            f"{record.upstreamId} on {worker} ran on {key[:8]} "
            f"{(record.atMicros - toldMicros) / SECOND:.1f} s after it was told to have changed"
            for key, toldMicros, limitMicros in self.changes for worker, record in self.runs
            if key in record.reusedKeys and record.atMicros > toldMicros + limitMicros
        ]

    def _check_held_back(self) -> list[str]:
        """A job that can't run any more has its final answer at once: no refusal waits in a queue."""
        faults = []
        for trace in self.jobs.values():
            for tenant, ackMicros in self.withdrawals:
                knownMicros = ackMicros + FORCE_MICROS + ANSWER_MICROS
                isLate = trace.sentMicros < ackMicros and trace.isRefused and trace.endMicros > knownMicros
                if trace.tenant == tenant and isLate and not self.book.froze_between(
                    trace.node, trace.sentMicros, trace.endMicros
                ):
                    faults.append(f"{trace.job['jobId']} at {trace.node} was told {trace.outcome} "
                                  f"{(trace.endMicros - ackMicros) / SECOND:.1f} s after its key was withdrawn")
        return faults

    def _check_retries(self) -> list[str]:
        if self.retryCount > RETRY_SHARE * self.carriedCount:
            return [f"{self.retryCount} retries for {self.carriedCount} jobs"]
        return []

    def _is_withdrawn(self, trace: JobTrace) -> bool:
        """Refused as some description says that was in force on the way."""
        return trace.outcome in ("bad_key", "not_entitled") and any(
            self._find_match_fault(d, trace, "desk") and self._find_match_fault(d, trace, "models")
            for d in self.descriptions.values()
        )

    def recovery_micros(self) -> int | None:
        """The worst, over faults that came or went, from there to the last failure before the next one."""
        times = sorted(set(self.book.eventMicros))
        worst: int | None = None
        for startMicros, nextMicros in zip(times, [*times[1:], self.endMicros], strict=False):
            bad = [
                t.sentMicros for t in self.jobs.values()
                if startMicros <= t.sentMicros and t.endMicros < nextMicros and t.outcome not in ("done", "open")
                and self._has_somewhere_to_go(t) and not self._is_withdrawn(t)
            ]
            worst = max(worst or 0, max(bad) - startMicros if bad else 0)
        return worst
