"""Ledger (§9.6): what a run did, and the checkers of what must never happen."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from pearhead.awl.clock import MILLI, SECOND
from pearhead.jig.caller import find_stream_faults
from pearhead.jig.deployment import Deployment
from pearhead.jig.workermodel import RunRecord

FORCE_MICROS = 2_300 * MILLI
LEAVING_MICROS = 3 * SECOND
RECOVERY_MICROS = 12 * SECOND
RETRY_SHARE = 0.1
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
    acceptedMicros: int = -1


@dataclass
class Accept:
    """A node took a job with this view."""

    node: str
    nodeLife: int
    atMicros: int
    jobId: str
    descriptionRevision: int
    tenants: frozenset[str]


@dataclass
class Ledger:
    deployment: Deployment
    jobs: dict[str, JobTrace] = field(default_factory=dict)
    runs: list[tuple[str, RunRecord]] = field(default_factory=list)
    accepts: list[Accept] = field(default_factory=list)
    applies: list[tuple[int, int]] = field(default_factory=list)
    losers: list[frozenset[str]] = field(default_factory=list)
    applySpans: list[tuple[int, int, int]] = field(default_factory=list)
    reads: list[tuple[int, int, int]] = field(default_factory=list)
    withdrawals: list[tuple[str, int]] = field(default_factory=list)
    namings: list[tuple[int, int, str]] = field(default_factory=list)
    leavings: list[tuple[str, int, int]] = field(default_factory=list)
    bumps: list[tuple[str, int, str, int]] = field(default_factory=list)
    commands: list[tuple[str, str, int, int]] = field(default_factory=list)
    heals: list[int] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    retryCount: int = 0
    carriedCount: int = 0
    endMicros: int = 0
    plannedCount: int = 0
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
            self._check_planned, self._check_histories,
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

    def _check_force(self) -> list[str]:
        """In force 2 s after the acknowledgement, never back, never a losing one, no withdrawn key."""
        faults = []
        latest: dict[tuple[str, int], int] = {}
        for accept in self.accepts:
            key = (accept.node, accept.nodeLife)
            if accept.descriptionRevision < latest.get(key, 0):
                faults.append(f"{accept.node} went back to {accept.descriptionRevision}")
            latest[key] = max(latest.get(key, 0), accept.descriptionRevision)
            for revision, ackMicros in self.applies:
                if accept.atMicros > ackMicros + FORCE_MICROS and accept.descriptionRevision < revision:
                    faults.append(f"{accept.jobId} on {accept.node} before revision {revision}")
            for marks in self.losers:
                if marks <= accept.tenants:
                    faults.append(f"{accept.node} served a losing configuration {sorted(marks)}")
            trace = self.jobs.get(accept.jobId)
            for tenant, ackMicros in self.withdrawals:
                if trace and trace.tenant == tenant and accept.atMicros > ackMicros + FORCE_MICROS:
                    faults.append(f"{accept.jobId} with the withdrawn key of {tenant}")
        return faults

    def _check_weights(self) -> list[str]:
        faults = []
        order = {name: revision for revision, _, name in self.namings}
        for _, record in self.runs:
            if "@" not in record.loadedModel:
                continue
            loadedRevision = order.get(record.loadedModel.split("@")[1], 0)
            trace = self.jobs.get(record.upstreamId.split(".")[0])
            if trace is None or trace.acceptedMicros < 0:
                continue
            for revision, ackMicros, name in self.namings:
                limitMicros = ackMicros + self.deployment.weightsLimitMicros
                if trace.acceptedMicros > limitMicros and loadedRevision < revision:
                    faults.append(f"{record.upstreamId} on {record.loadedModel} long after {name}")
        return faults

    def _check_leaving(self) -> list[str]:
        faults = []
        for worker, ackMicros, endMicros in self.leavings:
            for ranWorker, record in self.runs:
                trace = self.jobs.get(record.upstreamId.split(".")[0])
                if ranWorker != worker or trace is None:
                    continue
                if ackMicros + LEAVING_MICROS < trace.acceptedMicros < endMicros:
                    faults.append(f"{record.upstreamId} on leaving {worker}")
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
        for node, worker, fence, _ in self.commands:
            if fence < highest.get(worker, 0):
                faults.append(f"{worker} took the older fence {fence}")
            highest[worker] = max(highest.get(worker, 0), fence)
            if holders.setdefault((worker, fence), node) != node:
                faults.append(f"{worker}: fence {fence} used by two holders")
        return faults

    def _check_recovery(self) -> list[str]:
        """From 12 s after the last fault on, no job is refused for want of a service."""
        if not self.heals:
            return []
        fromMicros = max(self.heals) + RECOVERY_MICROS
        late = [t for t in self.jobs.values() if t.sentMicros > fromMicros]
        if not late:
            return ["no job was sent after the time for recovery"]
        return [
            f"{t.job['jobId']} at {t.node} was {t.outcome} {(t.sentMicros - max(self.heals)) / SECOND:.1f} s after"
            for t in late if t.outcome not in ("done", "open") and not self._is_withdrawn(t)
        ]

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

    def _check_retries(self) -> list[str]:
        if self.retryCount > RETRY_SHARE * self.carriedCount:
            return [f"{self.retryCount} retries for {self.carriedCount} jobs"]
        return []

    def _is_withdrawn(self, trace: JobTrace) -> bool:
        return trace.outcome == "bad_key" and any(t == trace.tenant for t, _ in self.withdrawals)

    def recovery_micros(self) -> int | None:
        """From the last fault to the first second in which no job failed."""
        if not self.heals:
            return None
        start = max(self.heals)
        bad = [t.sentMicros for t in self.jobs.values()
               if t.sentMicros >= start and t.outcome not in ("done", "open") and not self._is_withdrawn(t)]
        return max(bad) - start if bad else 0


