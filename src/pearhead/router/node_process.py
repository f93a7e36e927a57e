"""NodeProcess (§8): a diskless front node. `run_job` is the way of a job, from top to bottom."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import logging
import random
from collections import deque
from contextlib import aclosing
from typing import Any

from result import Err, Ok, Result

from pearhead.config.startup import StartupConfig
from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.admission import AdmissionController, AdmissionResult
from pearhead.router.copy_index import CopyIndex
from pearhead.router.errors import ErrorKind, Refusal
from pearhead.router.job import Job, JobRequest, Placement
from pearhead.router.job_scheduler import JobScheduler
from pearhead.router.job_transport import (
    CUT,
    WITHDRAWN,
    ClientDisconnectedError,
    JobTransport,
    JobTransportError,
    LineWriter,
    UpstreamJob,
)
from pearhead.router.retry_budget import RetryBudget
from pearhead.router.view_replica import ViewReplica
from pearhead.router.worker_lease import WorkerLeaseController, WorkerLink
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Record
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.runtime.net import Net

LOGGER = logging.getLogger("pearhead")
JOB_ATTEMPT_LIMIT = 3
PLACEMENT_HISTORY_SIZE = 200
PLACEABLE_WAIT_MICROS = 10 * SECOND
QUEUE_REVIEW_MICROS = 50 * MILLI


class NodeProcess:
    def __init__(
        self,
        startup: StartupConfig,
        clock: Clock,
        net: Net,
        carrier: JobTransport,
        link: WorkerLink,
        chance: random.Random,
    ) -> None:
        self.startup = startup
        self.clock = clock
        self.carrier = carrier
        self.chance = chance
        self.task_group = BackgroundTaskGroup("router")
        self.identity = chance.randbytes(12).hex()
        self.rpc_endpoint = RpcEndpoint(self.identity, startup.address, net, clock)
        self_record = Record(
            identity=self.identity,
            address=startup.address,
            role="router",
            area=startup.area,
            httpAddress=startup.httpAddress,
        )
        self.directory = Directory(self_record, startup.seeds, self.rpc_endpoint, clock, chance)
        self.view_replica = ViewReplica(
            self.rpc_endpoint, self.directory, clock, chance, self.task_group, startup.termMicros
        )
        self.listener = RevisionListener(
            self.rpc_endpoint, self.directory, clock, chance, self.task_group, startup.tableLifetimeMicros
        )
        self.index = CopyIndex()
        self.nominator = JobScheduler(self.view_replica, self.listener, self.index, clock, startup.oldWeightsMicros)
        self.admission = AdmissionController(clock)
        self.budget = RetryBudget()
        self.lease_controller = WorkerLeaseController(
            self.identity,
            self.view_replica,
            self.listener,
            self.index,
            link,
            self.rpc_endpoint,
            self.directory,
            clock,
            chance,
            self.task_group,
            startup.holdMicros,
        )
        self.lease_controller.load_callback = self.nominator.record_load_report
        self.lease_controller.prefill_start_callback = self.nominator.record_remote_start
        self.lease_controller.may_serve = self.nominator.weights_allowed
        self.lease_controller.unsound_callback = self.nominator.record_reported_unhealthy
        self.is_draining = False
        self.is_open = False
        self.open_jobs = 0
        self.placements: deque[dict[str, Any]] = deque(maxlen=PLACEMENT_HISTORY_SIZE)
        self.outcome_counts: dict[str, int] = {}
        self.reused_tokens = 0
        self.prefix_tokens = 0

    def start(self) -> None:
        for work in (
            self.directory.run(),
            self.view_replica.run(),
            self.listener.run(),
            self.lease_controller.run(),
            self._review_queues(),
        ):
            self.task_group.start(work)
        LOGGER.info("router: Listens. node=%s address=%s", self.identity[:8], self.startup.address)

    async def wait_until_placeable(self) -> None:
        """A node takes connections once it can place jobs, or after a while to say why it can't (§8.1)."""
        end_micros = self.clock.now() + PLACEABLE_WAIT_MICROS
        while self.clock.now() < end_micros and not self._can_place():
            await sleep_for(self.clock, 50 * MILLI)
        self.is_open = True

    def _can_place(self) -> bool:
        view = self.view_replica.view
        return self.view_replica.is_current() and all(
            any(self.nominator.weights_allowed(view, e.line, w) for w in view.workers)
            for e in view.description.entries
            if self.nominator.is_model(view, e.service)
        )

    def stop(self) -> None:
        self.task_group.stop()
        self.rpc_endpoint.stop()

    async def drain(self) -> None:
        """Takes no new job and waits for the accepted ones."""
        self.is_draining = self.lease_controller.is_draining = True
        end_micros = self.clock.now() + self.startup.drainMicros
        while self.open_jobs and self.clock.now() < end_micros:
            await sleep_for(self.clock, 20 * MILLI)

    # ---- the way of a job ------------------------------------------------------------------------

    async def run_job(self, key_text: str, request: JobRequest, pen: LineWriter) -> Result[None, Refusal]:
        """Ok: a whole result was written. Err before a line was written: an answer with a status;
        after: the caller's stream must be aborted."""
        job = Job(request, request.jobId or self.chance.randbytes(12).hex(), self.clock.now(), self.view_replica.view)
        self.open_jobs += 1
        try:
            outcome = await self._run_stages(key_text, job, pen)
        finally:
            self.open_jobs -= 1
        word = outcome.err_value.kind.value if isinstance(outcome, Err) else "done"
        self.outcome_counts[word] = self.outcome_counts.get(word, 0) + 1
        return outcome

    async def _run_stages(self, key_text: str, job: Job, pen: LineWriter) -> Result[None, Refusal]:
        if self.is_draining:
            return Err(Refusal(ErrorKind.DRAINING, "this node takes no new jobs"))
        job.key_hash = hashlib.sha256(key_text.encode()).hexdigest()
        looked = self._check_in_force(job)
        while not isinstance(looked, Err):
            # From here on a drain waits for it; it waits for its turn, and is then looked at again (§8.3).
            assert job.entry is not None and job.tenant is not None
            admitted_entry, admitted_tenant = job.entry, job.tenant
            admitted = await self.admission.admit(job)
            if isinstance(admitted, Err):
                return admitted
            if admitted.ok_value:
                admitted_micros = self.clock.now()
                try:
                    looked = self._check_in_force(job)
                    if isinstance(looked, Err) or job.entry.name == admitted_entry.name:
                        return looked if isinstance(looked, Err) else await self._place_and_forward(job, pen)
                finally:
                    held_micros = self.clock.now() - admitted_micros
                    self.admission.release_slot(admitted_entry, admitted_tenant.name, held_micros)
            # Its entry moved while it waited: it queues where it belongs now.
            looked = self._check_in_force(job)
        return looked

    def _check_in_force(self, job: Job) -> Result[None, Refusal]:
        """Term, key and entry, by what is in force now; asked anew after each wait (§5.3, §8.1)."""
        current = self._check_current(job)
        if isinstance(current, Err):
            return current
        authenticated = self._authenticate(job)
        if isinstance(authenticated, Err):
            return authenticated
        return self._match(job)

    def _check_current(self, job: Job) -> Result[None, Refusal]:
        if not self.view_replica.is_current():
            return Err(
                Refusal(
                    ErrorKind.NOT_CURRENT,
                    "this node can't tell that its view is current",
                    self.view_replica.retry_after_micros(),
                )
            )
        job.view = self.view_replica.view
        return Ok(None)

    def _authenticate(self, job: Job) -> Result[None, Refusal]:
        tenant = job.view.tenant_by_hash.get(job.key_hash)
        if tenant is None:
            return Err(Refusal(ErrorKind.BAD_KEY, "no tenant has this key"))
        job.tenant = tenant
        return Ok(None)

    def _match(self, job: Job) -> Result[None, Refusal]:
        assert job.tenant is not None
        request = job.request
        if request.model not in job.view.line_names:
            return Err(Refusal(ErrorKind.UNKNOWN_MODEL, f"no model {request.model!r}"))
        if len(request.prefix) > job.view.description.limits.prefixParts:
            return Err(Refusal(ErrorKind.TOO_LARGE, "too many prefix parts"))
        matched = job.view.match(request.model, job.tenant.name, request.kind)
        if matched is None:
            is_known = any(k == request.kind for _, _, k in job.view.entry_by_match)
            kind = ErrorKind.NOT_ENTITLED if is_known else ErrorKind.UNKNOWN_KIND
            return Err(Refusal(kind, f"no entry for {request.model} {request.kind}"))
        job.entry = matched
        if not job.deadlineMicros:
            # What was promised first stays: a later description does not shorten it.
            wanted_micros = request.deadlineMicros or matched.deadlineMicros
            job.deadlineMicros = job.arrived_micros + min(wanted_micros, matched.deadlineMicros)
        return Ok(None)

    async def _review_queues(self) -> None:
        """Jobs that wait and can't run any more are told so when the view or the term says it (§8.3)."""
        reviewed_view = self.view_replica.view
        while True:
            await sleep_for(self.clock, QUEUE_REVIEW_MICROS)
            is_same = self.view_replica.view is reviewed_view and self.view_replica.is_current()
            if self.admission.waiting_count() and not is_same:
                self.admission.recheck_waiting(self._recheck_waiting)
            reviewed_view = self.view_replica.view

    def _recheck_waiting(self, job: Job) -> AdmissionResult:
        assert job.entry is not None
        queued_name = job.entry.name
        looked = self._check_in_force(job)
        return looked if isinstance(looked, Err) else Ok(job.entry.name == queued_name)

    def _may_begin(self, job: Job, placement: Placement) -> bool:
        """The last check, in one step with the first byte: nothing of it may have gone meanwhile (§8.4)."""
        view = self.view_replica.view
        return (
            self.view_replica.is_current()
            and job.left_micros(self.clock.now()) > 0
            and (
                view is job.view
                or (
                    view.tenant_by_hash.get(job.key_hash) == job.tenant
                    and job.tenant is not None
                    and view.match(job.request.model, job.tenant.name, job.request.kind) == job.entry
                )
            )
            and self.nominator.is_still_valid(job, placement)
        )

    async def _place_and_forward(self, job: Job, pen: LineWriter) -> Result[None, Refusal]:
        carried = await self._attempt_workers(job, pen)
        if isinstance(carried, Err) and job.may_have_run:
            # Whatever stopped a later try: the first may have run, so this is no refusal (§8.2).
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, carried.err_value.detail))
        return carried

    async def _attempt_workers(self, job: Job, pen: LineWriter) -> Result[None, Refusal]:
        assert job.entry is not None
        self.budget.deposit(job.entry.service, job.view.description.limits.retryShare)
        last_refusal = Refusal(ErrorKind.NO_WORKER, "no worker took the job")
        is_retry = False
        for try_number in range(JOB_ATTEMPT_LIMIT):
            if try_number:
                looked = self._check_in_force(job)
                if isinstance(looked, Err):
                    return looked
            if job.left_micros(self.clock.now()) <= 0:
                return Err(Refusal(ErrorKind.DEADLINE_PASSED, "the deadline passed before it ran"))
            if is_retry and not self.budget.try_withdraw(job.entry.service):
                return Err(last_refusal)
            nominated = self.nominator.schedule_job(job)
            if isinstance(nominated, Err):
                return Err(last_refusal if is_retry else nominated.err_value)
            placement = nominated.ok_value
            carried = await self._forward_to_worker(job, placement, pen, try_number)
            if not isinstance(carried, Err):
                return carried
            last_refusal = carried.err_value
            if last_refusal.kind is not ErrorKind.NO_WORKER:
                return carried
            # A placement that was withdrawn before a byte left took nothing from its service.
            is_retry = is_retry or not placement.was_withdrawn
            if not placement.was_withdrawn:
                job.tried_workers.add(placement.worker.name)
        return Err(last_refusal)

    async def _forward_to_worker(
        self, job: Job, placement: Placement, pen: LineWriter, try_number: int
    ) -> Result[None, Refusal]:
        """NO_WORKER says it did not run and may be tried elsewhere; OUTCOME_UNKNOWN ends the job."""
        assert job.entry is not None and job.tenant is not None
        worker = placement.worker
        upstream_job = UpstreamJob(
            upstream_id=f"{job.job_id}.{self.chance.randbytes(6).hex()}",
            model=f"{job.entry.line}@{placement.weights_name}" if placement.weights_name else job.entry.line,
            body=job.request.body,
            salt=placement.salt,
            tenant=job.tenant.name,
            limit_micros=job.left_micros(self.clock.now()),
            prefix=[
                {"tokens": p.tokens, "key": placement.keys[i] if i < len(placement.keys) else ""}
                for i, p in enumerate(job.request.prefix)
            ],
        )
        if placement.fetch_from is not None:
            upstream_job.fetch = {
                "remote": placement.fetch_from.address,
                "parts": placement.fetch_parts,
                "limit_micros": placement.fetch_limit_micros,
            }
        self.placements.append(
            {
                "job": job.job_id,
                "tenant": job.tenant.name,
                "kind": job.request.kind,
                "worker": worker.name,
                "weights": placement.weights_name,
                "why": placement.why,
                "try": try_number + 1,
            }
        )
        line_count = 0
        is_prefilling, first_micros = True, 0
        self.nominator.begin(worker.name, placement.missed_tokens)
        self.lease_controller.announce_prefill(worker.name, placement.missed_tokens)
        try:
            async with aclosing(
                self.carrier.send_job(worker.address, upstream_job, lambda: self._may_begin(job, placement))
            ) as events:
                async for event in events:
                    if is_prefilling:
                        is_prefilling, first_micros = False, self.clock.now()
                        self.nominator.end_prefill(worker.name, placement.missed_tokens)
                    if event.get("id") != f"cmpl-{upstream_job.upstream_id}":
                        raise JobTransportError(CUT, "a line of another job")
                    if "usage" in event:
                        stream_micros = self.clock.now() - first_micros
                        if stream_micros < job.entry.deadlineMicros:
                            # Longer ones were held up elsewhere: this process slept, or the caller did.
                            self.nominator.costs.record_stream(job.entry.name, worker.name, stream_micros)
                        self._record_usage(job, placement, event)
                        self.nominator.record_success(worker.name)
                        await self._write_line(job, pen, {"end": True, "lines": line_count, "usage": event["usage"]})
                        return Ok(None)
                    await self._write_line(job, pen, {"line": line_count, "text": self._read_text(event)})
                    line_count += 1
            raise JobTransportError(CUT, "the stream ended without its closing line")
        except JobTransportError as fault:
            LOGGER.info(
                "router: A job failed at a worker. job=%r worker=%s fault=%r", job.job_id, worker.name, str(fault)
            )
            if fault.stage == WITHDRAWN:
                placement.was_withdrawn = True
                return Err(Refusal(ErrorKind.NO_WORKER, fault.detail))
            if fault.stage != CUT:
                self.nominator.record_failure(worker.name)
                return Err(Refusal(ErrorKind.NO_WORKER, fault.detail))
            job.may_have_run = True
            if not line_count or job.left_micros(self.clock.now()) > 0:
                # One that gave lines up to the deadline is slow, and no less sound (§7.5).
                self.nominator.record_failure(worker.name)
            if job.entry.repeatable and line_count == 0 and job.left_micros(self.clock.now()) > 0:
                if try_number + 1 < JOB_ATTEMPT_LIMIT and self._has_retry_budget(job):
                    return Err(Refusal(ErrorKind.NO_WORKER, fault.detail))
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, fault.detail))
        except ClientDisconnectedError:
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, "the caller went away"))
        finally:
            if is_prefilling:
                self.nominator.end_prefill(worker.name, placement.missed_tokens)
            self.nominator.end(worker.name)

    async def _write_line(self, job: Job, pen: LineWriter, line: dict[str, Any]) -> None:
        """A caller too slow for its own deadline is taken for gone."""
        try:
            async with asyncio.timeout(max(0, job.left_micros(self.clock.now())) / SECOND):
                await pen.write({"job": job.job_id, **line})
        except TimeoutError as fault:
            raise ClientDisconnectedError from fault

    def _read_text(self, event: dict[str, Any]) -> str:
        try:
            return str(event["choices"][0]["text"])
        except (KeyError, IndexError, TypeError) as fault:
            raise JobTransportError(CUT, f"an unreadable line: {fault!r}") from fault

    def _has_retry_budget(self, job: Job) -> bool:
        assert job.entry is not None
        return self.budget.tokens.get(job.entry.service, 0.0) >= 1.0

    def _record_usage(self, job: Job, placement: Placement, event: dict[str, Any]) -> None:
        """A worker's own figures are hints: what is missing or odd teaches nothing."""
        assert job.entry is not None
        usage, timings = event["usage"], event.get("timings") or {}
        with contextlib.suppress(TypeError, ValueError, AttributeError):
            self.nominator.costs.record_prefill(
                job.entry.line,
                placement.worker.name,
                int(timings.get("prompt_n", 0)),
                float(timings.get("prompt_ms", 0.0)) * MILLI,
            )
        self.prefix_tokens += sum(p.tokens for p in job.request.prefix)
        self.reused_tokens += int(usage.get("prompt_tokens_details", {}).get("cached_tokens", 0))
        if placement.fetch_from is not None and usage.get("fetch_micros"):
            self.nominator.costs.record_fetch(
                placement.fetch_from.name,
                placement.worker.name,
                int(usage["fetch_tokens"]),
                int(usage["fetch_micros"]),
            )

    def inspect(self) -> dict[str, Any]:
        now_micros = self.clock.now()
        view = self.view_replica.view
        return {
            **self.soundness(),
            "kind": "node",
            "knownMicros": now_micros - self.view_replica.current_at,
            "placements": list(self.placements),
            "unsound": sorted(w for w, end in self.nominator.unhealthy_until.items() if end > now_micros),
            "volumes": [
                {
                    "owner": owner,
                    "line": line,
                    "epoch": state.epoch,
                    "index": state.index,
                    "leftMillis": max(0, state.expiry_micros - now_micros) // 1_000,
                    "changing": len(state.changing),
                    "bumped": len(state.table_revisions) + len(state.newer_revisions),
                }
                for (owner, line), state in sorted(self.listener.volumes.items())
            ],
            "copies": [
                {
                    "worker": worker,
                    "life": held.life,
                    "sequence": held.sequence,
                    "keys": len(held.keys),
                    "tied": worker in view.loads and view.loads[worker].life == held.life,
                }
                for worker, held in sorted(self.index.copies.items())
            ],
            "directory": self.directory.rows(),
        }

    def soundness(self) -> dict[str, Any]:
        view = self.view_replica.view
        return {
            "identity": self.identity,
            "address": self.startup.address,
            "area": self.startup.area,
            "current": self.view_replica.is_current(),
            "viewIndex": view.index,
            "descriptionRevision": view.description_revision,
            "openJobs": self.open_jobs,
            "draining": self.is_draining,
            "outcomes": self.outcome_counts,
            "jobs": self.budget.job_count,
            "retries": self.budget.retry_count,
            "prefixTokens": self.prefix_tokens,
            "reusedTokens": self.reused_tokens,
            "holds": {n: h.fence for n, h in self.lease_controller.leases.items()},
            "weights": {n: w.revision for n, w in view.weights.items()},
            "loads": {n: f.weights_revision for n, f in view.loads.items()},
            "sent": self.rpc_endpoint.sent_counts,
            "sentBytes": self.rpc_endpoint.sent_bytes,
        }
