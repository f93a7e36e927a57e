"""Ledger (§9.6): what happened in a run, and the checks that find breaches of the system's guarantees in it."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from pearhead.config.description import Description
from pearhead.control_plane.fleet_state import HISTORY_LIMIT
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.caller import find_stream_faults
from pearhead.testbed.deployment import Deployment
from pearhead.testbed.simulator.fault_log import FaultLog
from pearhead.testbed.simulator.history import History
from pearhead.testbed.workermodel import RunRecord

CONFIG_PROPAGATION_LIMIT_MICROS = 2_300 * MILLI
DRAIN_START_LIMIT_MICROS = 3 * SECOND
RECOVERY_LIMIT_MICROS = 12 * SECOND
RETRY_SHARE = 0.1
ANSWER_DELAY_LIMIT_MICROS = 200 * MILLI
PLANNED_REFUSAL_SHARE = 0.005


@dataclass
class JobTrace:
    """A job as its caller saw it: where and when it was sent, the lines of its result, and how it ended.

    `outcome` is "open" until it ends, then "done", "unreached", "no answer" or the kind of the refusal. `is_refused`
    says that the caller knows that the job did not run. `retry_after_seconds` is the advised time until a retry, or 0.
    """

    job: dict[str, Any]
    tenant: str
    node: str
    sent_micros: int
    lines: list[dict[str, Any]] = field(default_factory=list)
    outcome: str = "open"
    is_refused: bool = False
    end_micros: int = 0
    retry_after_seconds: int = 0


@dataclass
class SentJob:
    """When the first byte of a job left its node, and which description the node's view held at that moment."""

    node: str
    node_boot_count: int
    at_micros: int
    job_id: str
    worker: str
    description_revision: int
    marks: frozenset[str]


@dataclass
class WorkerCommand:
    """A command of a lease holder, sent and received at these times."""

    node: str
    worker: str
    fence: int
    sent_micros: int
    at_micros: int


@dataclass
class Ledger:
    """Record of a run, filled by the fleet as it goes, and the checks on it.

    Times are in microseconds of the world's clock.
    """

    deployment: Deployment
    jobs: dict[str, JobTrace] = field(default_factory=dict)
    runs: list[tuple[str, RunRecord]] = field(default_factory=list)
    sent_jobs: dict[str, SentJob] = field(default_factory=dict)
    fault_log: FaultLog = field(default_factory=FaultLog)
    core_names: set[str] = field(default_factory=set)
    node_names: set[str] = field(default_factory=set)
    worker_names: set[str] = field(default_factory=set)
    descriptions: dict[int, Description] = field(default_factory=dict)
    # (worker, fence): (holder, granted at)
    grants: dict[tuple[str, int], tuple[str, int]] = field(default_factory=dict)
    # (revision, acknowledged at)
    acknowledged_applies: list[tuple[int, int]] = field(default_factory=list)
    rejected_mark_sets: list[frozenset[str]] = field(default_factory=list)
    # (requested at, acknowledged at, revision)
    apply_spans: list[tuple[int, int, int]] = field(default_factory=list)
    # (requested at, answered at, revision)
    reads: list[tuple[int, int, int]] = field(default_factory=list)
    # (tenant, acknowledged at)
    tenant_withdrawals: list[tuple[str, int]] = field(default_factory=list)
    # (cache key of the part, first reported at, time until old copies must be out of use)
    part_changes: list[tuple[str, int, int]] = field(default_factory=list)
    # (revision, acknowledged at, name of the weights)
    weights_changes: list[tuple[int, int, str]] = field(default_factory=list)
    # (worker, marked as leaving at, cleared at)
    leaving_intervals: list[tuple[str, int, int]] = field(default_factory=list)
    # (volume as owner/line, part, transaction, revision)
    bumps: list[tuple[str, int, str, int]] = field(default_factory=list)
    commands: list[WorkerCommand] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    retry_count: int = 0
    budgeted_job_count: int = 0
    end_micros: int = 0
    planned_operation_count: int = 0
    has_load: bool = False
    last_revisions: set[int] = field(default_factory=set)
    last_weights: int = 0
    last_parts: dict[str, dict[int, int]] = field(default_factory=dict)
    history: History = field(default_factory=History)

    def outcomes(self) -> Counter[str]:
        """Number of jobs by outcome."""
        return Counter(trace.outcome for trace in self.jobs.values())

    def find_breaches(self) -> list[str]:
        """Runs all checks; returns breaches as `check: what was found`, those recorded during the run first."""
        found = list(self.breaches)
        for check in (
            self._check_streams,
            self._check_runs,
            self._check_owners,
            self._check_force,
            self._check_weights,
            self._check_leaving,
            self._check_bumps,
            self._check_commands,
            self._check_recovery,
            self._check_retries,
            self._check_lasting,
            self._check_planned,
            self._check_histories,
            self._check_held_back,
            self._check_changes,
            self._check_orders,
        ):
            found.extend(f"{check.__name__[7:]}: {fault}" for fault in check())
        return found

    def _check_streams(self) -> list[str]:
        """The lines of each served job are complete, in order and its own."""
        return [
            fault
            for trace in self.jobs.values()
            if trace.outcome == "done"
            for fault in find_stream_faults(trace.job, trace.lines)
        ]

    def _check_runs(self) -> list[str]:
        """A job runs at most once unless it is a notice, never after a refusal, and always if it was served."""
        counts = Counter(record.upstream_id.split(".")[0] for _, record in self.runs)
        faults = []
        for job_id, trace in self.jobs.items():
            if counts[job_id] > 1 and trace.job["kind"] != "notice":
                faults.append(f"{job_id} ran {counts[job_id]} times")
            if counts[job_id] and trace.is_refused:
                faults.append(f"{job_id} was refused ({trace.outcome}) and ran")
            if trace.outcome == "done" and not counts[job_id]:
                faults.append(f"{job_id} is done and never ran")
        return faults

    def _check_owners(self) -> list[str]:
        """A job runs on no foreign prefix, and shares prefixes only with tenants of its own group."""
        faults = []
        for worker, record in self.runs:
            faults += [f"{record.upstream_id} on {worker}: {prefix_fault}" for prefix_fault in record.foreign]
            own_group = self.deployment.groups.get(record.tenant, record.tenant)
            for tenant in record.shared_with:
                if self.deployment.groups.get(tenant, tenant) != own_group or not self.deployment.groups.get(tenant):
                    faults.append(f"{record.upstream_id}: {record.tenant} ran on a prefix of {tenant}")
        return faults

    def begin_micros(self, worker: str, record: RunRecord) -> int:
        """When a run began, for comparison with what was acknowledged before.

        A job that waited at a frozen worker counts from when its node sent it, as the node could not take it back.
        """
        send = self.sent_jobs.get(record.upstream_id)
        if send is not None and self.fault_log.was_frozen_between(worker, send.at_micros, record.at_micros):
            return send.at_micros
        return record.at_micros

    def _start_times(self) -> dict[str, int]:
        """By upstream id: when a job began to run, or was sent if it never ran."""
        start_times = {upstream_id: send.at_micros for upstream_id, send in self.sent_jobs.items()}
        for worker, record in self.runs:
            start_times[record.upstream_id] = self.begin_micros(worker, record)
        return start_times

    def _check_force(self) -> list[str]:
        """A description takes effect on all nodes soon after its acknowledgement, and none goes back to an older one.

        The limit is 2 s; the check allows CONFIG_PROPAGATION_LIMIT_MICROS. A rejected description never takes effect,
        and no job runs with a withdrawn key or without an entry. All of this is judged by the description that the node
        held when the first byte of the job left.
        """
        faults = []
        latest: dict[tuple[str, int], int] = {}
        start_times = self._start_times()
        for upstream_id, send in self.sent_jobs.items():
            begin_micros = start_times[upstream_id]
            key = (send.node, send.node_boot_count)
            if send.description_revision < latest.get(key, 0):
                faults.append(f"{send.node} went back to description {send.description_revision}")
            latest[key] = max(latest.get(key, 0), send.description_revision)
            for revision, ack_micros in self.acknowledged_applies:
                if begin_micros > ack_micros + CONFIG_PROPAGATION_LIMIT_MICROS and send.description_revision < revision:
                    faults.append(f"{upstream_id} on {send.node} began under an older description than {revision}")
            for marks in self.rejected_mark_sets:
                if marks <= send.marks:
                    faults.append(f"{send.node} served under a rejected description {sorted(marks)}")
            trace = self.jobs.get(send.job_id)
            description = self.descriptions.get(send.description_revision)
            if trace is not None and description is not None:
                fault = self._find_routing_fault(description, trace, send.worker)
                if fault:
                    faults.append(f"{upstream_id} on {send.node} under {send.description_revision}: {fault}")
        if (
            self.acknowledged_applies
            and self.has_load
            and self._has_success_after(max(a for _, a in self.acknowledged_applies) + CONFIG_PROPAGATION_LIMIT_MICROS)
        ):
            newest = max(r for r, _ in self.acknowledged_applies)
            if not any(s.description_revision >= newest for s in self.sent_jobs.values()):
                faults.append(f"nothing was ever served under revision {newest}")
        return faults

    def _find_routing_fault(self, description: Description, trace: JobTrace, worker: str) -> str:
        """Why a job may not run on this worker under this description; empty if it may."""
        if not any(t.name == trace.tenant for t in description.tenants):
            return f"the key of {trace.tenant} is withdrawn"
        service = "desk" if worker == "desk" else "models"
        kind = trace.job["kind"]
        matching_entries = [e for e in description.entries if kind in e.kinds and {trace.tenant, "*"} & set(e.tenants)]
        if not any(e.service == service for e in matching_entries):
            return f"no entry sends {kind} of {trace.tenant} to {service}"
        return ""

    def _check_weights(self) -> list[str]:
        """After a weights change no job begins on older weights beyond the limit.

        If all was healthy, some job begins on the new ones within the limit.
        """
        faults = []
        revisions_by_name = {name: revision for revision, _, name in self.weights_changes}
        first_start_micros: dict[int, int] = {}
        for worker, record in self.runs:
            if "@" not in record.loaded_model:
                continue
            loaded_revision = revisions_by_name.get(record.loaded_model.split("@")[1], 0)
            begin_micros = self.begin_micros(worker, record)
            first_start_micros[loaded_revision] = min(
                first_start_micros.get(loaded_revision, begin_micros), begin_micros
            )
            for revision, ack_micros, name in self.weights_changes:
                limit_micros = ack_micros + self.deployment.weights_limit_micros
                if begin_micros > limit_micros and loaded_revision < revision:
                    faults.append(f"{record.upstream_id} began on {record.loaded_model} long after {name}")
        for revision, ack_micros, name in self.weights_changes:
            limit_micros = ack_micros + self.deployment.weights_limit_micros
            is_served = any(r >= revision and at <= limit_micros for r, at in first_start_micros.items())
            if self.has_load and not is_served and self._was_healthy(ack_micros, limit_micros):
                faults.append(f"no job began on {name} within the limit")
        return faults

    def _was_healthy(self, start_micros: int, end_micros: int) -> bool:
        """Whether a node could serve, and no fault began or ended in this time."""
        return (
            self.fault_log.is_quiet(end_micros, end_micros - start_micros)
            and end_micros < self.end_micros
            and bool(self.healthy_nodes(start_micros))
        )

    def _has_success_after(self, from_micros: int) -> bool:
        """Whether any job that was sent after this time was served."""
        return any(t.outcome == "done" and t.sent_micros > from_micros for t in self.jobs.values())

    def healthy_nodes(self, at_micros: int) -> set[str]:
        """Names of the nodes at which callers had to be served at this time."""
        return self.fault_log.healthy_nodes(at_micros, self.node_names, self.core_names, self.worker_names)

    def _check_leaving(self) -> list[str]:
        """No job begins on a worker that is leaving, from DRAIN_START_LIMIT_MICROS after the mark on."""
        faults = []
        for worker, ack_micros, end_micros in self.leaving_intervals:
            for run_worker, record in self.runs:
                if run_worker != worker:
                    continue
                if ack_micros + DRAIN_START_LIMIT_MICROS < self.begin_micros(worker, record) < end_micros:
                    faults.append(f"{record.upstream_id} began on leaving {worker}")
        return faults

    def _check_bumps(self) -> list[str]:
        """A part's revisions strictly increase over all leaders, and repeats of a transaction get the same one."""
        faults = []
        latest: dict[tuple[str, int], int] = {}
        by_transaction: dict[str, int] = {}
        for volume, part, transaction, revision in self.bumps:
            if by_transaction.setdefault(transaction, revision) != revision:
                faults.append(f"a repeat of {transaction[:8]} gave {revision}")
                continue
            if transaction in by_transaction and latest.get((volume, part), 0) >= revision:
                if by_transaction[transaction] == revision and self._is_only_transaction(
                    volume, part, transaction, revision
                ):
                    continue
                faults.append(f"{volume} part {part} got {revision} after {latest[volume, part]}")
            latest[volume, part] = max(latest.get((volume, part), 0), revision)
        return faults

    def _is_only_transaction(self, volume: str, part: int, transaction: str, revision: int) -> bool:
        """Whether this revision of the part was given to this transaction alone."""
        return {t for v, p, t, r in self.bumps if (v, p, r) == (volume, part, revision)} == {transaction}

    def _check_commands(self) -> list[str]:
        """A worker's fences only grow, each has one holder, and no command begins after a newer fence was granted."""
        faults = []
        highest: dict[str, int] = {}
        holders: dict[tuple[str, int], str] = {}
        for command in self.commands:
            node, worker, fence = command.node, command.worker, command.fence
            if fence < highest.get(worker, 0):
                faults.append(f"{worker} got a command with the older fence {fence}")
            highest[worker] = max(highest.get(worker, 0), fence)
            if holders.setdefault((worker, fence), node) != node:
                faults.append(f"{worker}: fence {fence} used by two holders")
            was_frozen_in_between = self.fault_log.was_frozen_between(worker, command.sent_micros, command.at_micros)
            begin_micros = command.sent_micros if was_frozen_in_between else command.at_micros
            for (other_worker, other_fence), (_, grant_micros) in self.grants.items():
                if other_worker == worker and other_fence > fence and grant_micros < begin_micros:
                    faults.append(f"{worker}: a command of {node} by {fence} began after {other_fence} was granted")
        return faults

    def _check_recovery(self) -> list[str]:
        """From 12 s after the last fault began or ended on, healthy nodes serve all jobs, even while faults last.

        Healthy is what the platform could know to be so. No job sent there is refused or lost, except for refusals that
        follow from a description of the run.
        """
        if not self.has_load:
            return []
        required_jobs = [t for t in self.jobs.values() if self._must_succeed(t)]
        if not required_jobs:
            return ["no job was sent at a time and place where it had to be served"]
        return [
            f"{t.job['jobId']} at {t.node} was {t.outcome} at {t.sent_micros / SECOND:.1f}"
            for t in required_jobs
            if t.outcome != "done" and not self._is_withdrawn(t)
        ]

    def _must_succeed(self, trace: JobTrace) -> bool:
        """Whether no fault began or ended from 12 s before the job until its end, and its target was healthy."""
        quiet_period_micros = RECOVERY_LIMIT_MICROS + trace.end_micros - trace.sent_micros
        is_quiet = trace.outcome != "open" and self.fault_log.is_quiet(trace.end_micros, quiet_period_micros)
        return is_quiet and self._has_healthy_target(trace)

    def _has_healthy_target(self, trace: JobTrace) -> bool:
        """Whether a healthy node got the job, or none did although a healthy one should have accepted connections."""
        if self.fault_log.is_overloaded(trace.sent_micros):
            return False
        if trace.job["kind"] == "notice" and not self.fault_log.is_healthy("desk", trace.sent_micros):
            return False  # The desk is the only application worker.
        healthy_nodes = self.healthy_nodes(trace.sent_micros)
        return trace.node in healthy_nodes or (not trace.node and bool(healthy_nodes))

    def _check_lasting(self) -> list[str]:
        """What was acknowledged is there at the end, whatever was lost meanwhile."""
        # Cores list only their last HISTORY_LIMIT revisions; the `orders` check covers older changes.
        is_history_full = len(self.last_revisions) >= HISTORY_LIMIT
        oldest_checked_revision = min(self.last_revisions) if is_history_full else 0
        faults = [
            f"revision {r} was acknowledged and is lost"
            for r, _ in self.acknowledged_applies
            if r not in self.last_revisions and r >= oldest_checked_revision
        ]
        faults += [
            f"weights {n} were acknowledged and are lost" for r, _, n in self.weights_changes if r > self.last_weights
        ]
        for volume, part, _, revision in self.bumps:
            if self.last_parts.get(volume, {}).get(part, 1) < revision:
                faults.append(f"{volume} part {part} lost revision {revision}")
        return faults

    def _check_planned(self) -> list[str]:
        """Planned work drops no accepted job, and refuses at most PLANNED_REFUSAL_SHARE of all, which did not run."""
        if not self.planned_operation_count:
            return []
        faults = [
            f"{t.job['jobId']} at {t.node} was dropped: {t.outcome}"
            for t in self.jobs.values()
            if t.outcome != "done" and not t.is_refused
        ]
        refused_count = sum(t.is_refused for t in self.jobs.values())
        if refused_count > PLANNED_REFUSAL_SHARE * len(self.jobs):
            faults.append(f"{refused_count} of {len(self.jobs)} jobs were refused")
        return faults

    def _check_histories(self) -> list[str]:
        """Applies and operators' reads are linearizable: the revision is a register that only grows.

        A read returns no less than what was acknowledged or read before it began, and nothing that was requested only
        after it ended.
        """
        faults = []
        first_request_micros = {revision: start_micros for start_micros, _, revision in self.apply_spans}
        for start_micros, end_micros, revision in self.reads:
            acknowledged = max((r for _, end, r in self.apply_spans if end < start_micros), default=0)
            read_before = max((r for _, end, r in self.reads if end < start_micros), default=0)
            if revision < max(acknowledged, read_before):
                faults.append(f"a read at {start_micros} saw {revision} after {max(acknowledged, read_before)}")
            if revision in first_request_micros and first_request_micros[revision] > end_micros:
                faults.append(f"a read that ended at {end_micros} saw {revision} before it was requested")
        return faults

    def _check_changes(self) -> list[str]:
        """No job runs on old copies of a part, from a limit after the report of its change on."""
        return [
            f"{record.upstream_id} on {worker} ran on {key[:8]} "
            f"{(record.at_micros - reported_micros) / SECOND:.1f} s after it was reported as changed"
            for key, reported_micros, limit_micros in self.part_changes
            for worker, record in self.runs
            if key in record.reused_keys and record.at_micros > reported_micros + limit_micros
        ]

    def _check_orders(self) -> list[str]:
        """Operators' numbered changes: one content per number, no change lost, no repeat refused."""
        return self.history.find_faults()

    def _check_held_back(self) -> list[str]:
        """A queued job that may not run any more is refused at once, and not only at its turn."""
        faults = []
        for trace in self.jobs.values():
            for tenant, ack_micros in self.tenant_withdrawals:
                answer_due_micros = ack_micros + CONFIG_PROPAGATION_LIMIT_MICROS + ANSWER_DELAY_LIMIT_MICROS
                is_late = trace.sent_micros < ack_micros and trace.is_refused and trace.end_micros > answer_due_micros
                if (
                    trace.tenant == tenant
                    and is_late
                    and not self.fault_log.was_frozen_between(trace.node, trace.sent_micros, trace.end_micros)
                ):
                    faults.append(
                        f"{trace.job['jobId']} at {trace.node} got {trace.outcome} "
                        f"{(trace.end_micros - ack_micros) / SECOND:.1f} s after its key was withdrawn"
                    )
        return faults

    def _check_retries(self) -> list[str]:
        """Retries are at most RETRY_SHARE of the jobs that the retry budget counts."""
        if self.retry_count > RETRY_SHARE * self.budgeted_job_count:
            return [f"{self.retry_count} retries for {self.budgeted_job_count} jobs"]
        return []

    def _is_withdrawn(self, trace: JobTrace) -> bool:
        """Whether the refusal was right: some description of the run did not entitle the tenant to the job."""
        return trace.outcome in ("bad_key", "not_entitled") and any(
            self._find_routing_fault(d, trace, "desk") and self._find_routing_fault(d, trace, "models")
            for d in self.descriptions.values()
        )

    def recovery_micros(self) -> int | None:
        """Longest recovery of the run: from a fault's begin or end to the last failed job before the next such event.

        None if no fault began or ended.
        """
        event_times = sorted(set(self.fault_log.event_micros))
        worst_micros: int | None = None
        for start_micros, next_micros in zip(event_times, [*event_times[1:], self.end_micros], strict=False):
            failure_times = [
                t.sent_micros
                for t in self.jobs.values()
                if start_micros <= t.sent_micros
                and t.end_micros < next_micros
                and t.outcome not in ("done", "open")
                and self._has_healthy_target(t)
                and not self._is_withdrawn(t)
            ]
            worst_micros = max(worst_micros or 0, max(failure_times) - start_micros if failure_times else 0)
        return worst_micros
