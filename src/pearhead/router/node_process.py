"""NodeProcess (§8): a stateless router node for the job API. `run_job` handles a job from admission to its result."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections import deque
from contextlib import aclosing
from typing import Any

from result import Err, Ok, Result

from pearhead.config.startup import StartupConfig
from pearhead.config.tenant_key import hash_key
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
# What the figures of a worker raise that are no numbers, or too large for the kind of number that is wanted.
MALFORMED_FIGURE_ERRORS = (TypeError, ValueError, AttributeError, KeyError, OverflowError)
JOB_ATTEMPT_LIMIT = 3
PLACEMENT_HISTORY_SIZE = 200
PLACEABLE_WAIT_MICROS = 10 * SECOND
QUEUE_REVIEW_MICROS = 50 * MILLI


class NodeProcess:
    """Owns the controllers of a router node for the job API and runs each job through them.

    Nothing is kept on disk: after a restart the node reads its view, volumes and worker reports again.
    """

    def __init__(
        self,
        startup: StartupConfig,
        clock: Clock,
        net: Net,
        transport: JobTransport,
        link: WorkerLink,
        rng: random.Random,
    ) -> None:
        self.startup = startup
        self.clock = clock
        self.transport = transport
        self.rng = rng
        self.task_group = BackgroundTaskGroup("router")
        self.identity = rng.randbytes(12).hex()
        self.rpc_endpoint = RpcEndpoint(self.identity, startup.address, net, clock)
        self_record = Record(
            identity=self.identity,
            address=startup.address,
            role="router",
            area=startup.area,
            httpAddress=startup.httpAddress,
        )
        self.directory = Directory(self_record, startup.seeds, self.rpc_endpoint, clock, rng)
        self.view_replica = ViewReplica(
            self.rpc_endpoint, self.directory, clock, rng, self.task_group, startup.termMicros
        )
        self.revision_listener = RevisionListener(
            self.rpc_endpoint, self.directory, clock, rng, self.task_group, startup.tableLifetimeMicros
        )
        self.copy_index = CopyIndex()
        self.scheduler = JobScheduler(
            self.view_replica, self.revision_listener, self.copy_index, clock, startup.oldWeightsMicros
        )
        self.admission = AdmissionController(clock)
        self.retry_budget = RetryBudget()
        self.lease_controller = WorkerLeaseController(
            self.identity,
            self.view_replica,
            self.revision_listener,
            self.copy_index,
            link,
            self.rpc_endpoint,
            self.directory,
            clock,
            rng,
            self.task_group,
            startup.holdMicros,
        )
        self.lease_controller.load_callback = self.scheduler.record_load_report
        self.lease_controller.prefill_start_callback = self.scheduler.record_remote_start
        self.lease_controller.may_serve = self.scheduler.weights_allowed
        self.lease_controller.unhealthy_callback = self.scheduler.record_reported_unhealthy
        self.is_draining = False
        self.is_open = False
        self.open_jobs = 0
        self.placements: deque[dict[str, Any]] = deque(maxlen=PLACEMENT_HISTORY_SIZE)
        self.outcome_counts: dict[str, int] = {}
        self.reused_tokens = 0
        self.prefix_tokens = 0

    def start(self) -> None:
        """Starts the background tasks; jobs are refused until the view is current."""
        for name, run_loop in (
            ("directory", self.directory.run),
            ("view_replica", self.view_replica.run),
            ("revision_listener", self.revision_listener.run),
            ("lease_controller", self.lease_controller.run),
            ("queue_review", self._review_queues),
        ):
            self.task_group.supervise(name, self.clock, run_loop)
        LOGGER.info("router: Listens. node=%s address=%s", self.identity[:8], self.startup.address)

    async def wait_until_placeable(self) -> None:
        """Returns once jobs can be placed, or after 10 s at the latest (§8.1).

        After the timeout the node accepts connections anyway, so that clients are told why their jobs are refused.
        """
        end_micros = self.clock.now() + PLACEABLE_WAIT_MICROS
        while self.clock.now() < end_micros and not self._can_place():
            await sleep_for(self.clock, 50 * MILLI)
        self.is_open = True

    def _can_place(self) -> bool:
        view = self.view_replica.view
        return self.view_replica.is_current() and all(
            any(self.scheduler.weights_allowed(view, e.line, w) for w in view.workers)
            for e in view.description.entries
            if self.scheduler.is_model(view, e.service)
        )

    def stop(self) -> None:
        """Cancels the background tasks and stops the RPC endpoint, without waiting for open jobs."""
        self.task_group.stop()
        self.rpc_endpoint.stop()

    async def drain(self) -> None:
        """Refuses new jobs and waits for the accepted ones, for at most `drainMicros`."""
        self.is_draining = self.lease_controller.is_draining = True
        end_micros = self.clock.now() + self.startup.drainMicros
        while self.open_jobs and self.clock.now() < end_micros:
            await sleep_for(self.clock, 20 * MILLI)

    # ---- processing of a job ---------------------------------------------------------------------

    async def run_job(self, key_text: str, request: JobRequest, writer: LineWriter) -> Result[None, Refusal]:
        """Runs a job and writes its result lines to `writer`; Ok means that the complete result was written.

        On an Err the caller answers with the refusal's status if no line was written yet, and aborts the client's
        stream otherwise.
        """
        job = Job(request, request.jobId or self.rng.randbytes(12).hex(), self.clock.now(), self.view_replica.view)
        self.open_jobs += 1
        try:
            outcome = await self._run_stages(key_text, job, writer)
        finally:
            self.open_jobs -= 1
        outcome_name = outcome.err_value.kind.value if isinstance(outcome, Err) else "done"
        self.outcome_counts[outcome_name] = self.outcome_counts.get(outcome_name, 0) + 1
        return outcome

    async def _run_stages(self, key_text: str, job: Job, writer: LineWriter) -> Result[None, Refusal]:
        if self.is_draining:
            return Err(Refusal(ErrorKind.DRAINING, "this node takes no new jobs"))
        job.key_hash = hash_key(key_text)
        checked = self._check_against_view(job)
        while not isinstance(checked, Err):
            # The job now waits in its queue, and a drain waits for it. It is checked again once admitted (§8.3).
            assert job.entry is not None and job.tenant is not None
            admitted_entry, admitted_tenant = job.entry, job.tenant
            admitted = await self.admission.admit(job)
            if isinstance(admitted, Err):
                return admitted
            if admitted.ok_value:
                admitted_micros = self.clock.now()
                try:
                    checked = self._check_against_view(job)
                    if isinstance(checked, Err) or job.entry.name == admitted_entry.name:
                        return checked if isinstance(checked, Err) else await self._place_and_forward(job, writer)
                finally:
                    held_micros = self.clock.now() - admitted_micros
                    self.admission.release_slot(admitted_entry, admitted_tenant.name, held_micros)
            # The job matches another entry than when it was queued: queue it for that one.
            checked = self._check_against_view(job)
        return checked

    def _check_against_view(self, job: Job) -> Result[None, Refusal]:
        """Checks that the view is current and has the job's key and entry; repeated after each wait (§5.3, §8.1)."""
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
        matched = job.view.find_entry(request.model, job.tenant.name, request.kind)
        if matched is None:
            is_known = any(k == request.kind for _, _, k in job.view.entry_by_match)
            kind = ErrorKind.NOT_ENTITLED if is_known else ErrorKind.UNKNOWN_KIND
            return Err(Refusal(kind, f"no entry for {request.model} {request.kind}"))
        job.entry = matched
        if not job.deadlineMicros:
            # The deadline is set once: a later description does not shorten it.
            wanted_micros = request.deadlineMicros or matched.deadlineMicros
            job.deadlineMicros = job.arrived_micros + min(wanted_micros, matched.deadlineMicros)
        return Ok(None)

    async def _review_queues(self) -> None:
        """Rechecks queued jobs when the view changed or is no longer current; refuses those that can't run (§8.3)."""
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
        checked = self._check_against_view(job)
        return checked if isinstance(checked, Err) else Ok(job.entry.name == queued_name)

    def _may_send(self, job: Job, placement: Placement) -> bool:
        """Whether the job may still be sent as placed: the view, key, entry and placement must still be valid (§8.4).

        The transport calls this directly before it writes the first byte, without giving up control in between.
        """
        view = self.view_replica.view
        return (
            self.view_replica.is_current()
            and job.remaining_micros(self.clock.now()) > 0
            and (
                view is job.view
                or (
                    view.tenant_by_hash.get(job.key_hash) == job.tenant
                    and job.tenant is not None
                    and view.find_entry(job.request.model, job.tenant.name, job.request.kind) == job.entry
                )
            )
            and self.scheduler.is_still_valid(job, placement)
        )

    async def _place_and_forward(self, job: Job, writer: LineWriter) -> Result[None, Refusal]:
        forwarded = await self._attempt_workers(job, writer)
        if isinstance(forwarded, Err) and job.may_have_run:
            # An earlier attempt may have run, so "not run" would be wrong whatever ended the last attempt (§8.2).
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, forwarded.err_value.detail))
        return forwarded

    async def _attempt_workers(self, job: Job, writer: LineWriter) -> Result[None, Refusal]:
        assert job.entry is not None
        self.retry_budget.deposit(job.entry.service, job.view.description.limits.retryShare)
        last_refusal = Refusal(ErrorKind.NO_WORKER, "no worker took the job")
        is_retry = False
        for try_number in range(JOB_ATTEMPT_LIMIT):
            if try_number:
                checked = self._check_against_view(job)
                if isinstance(checked, Err):
                    return checked
            if job.remaining_micros(self.clock.now()) <= 0:
                return Err(Refusal(ErrorKind.DEADLINE_PASSED, "the deadline passed before it ran"))
            if is_retry and not self.retry_budget.try_withdraw(job.entry.service):
                return Err(last_refusal)
            scheduled = self.scheduler.schedule_job(job)
            if isinstance(scheduled, Err):
                return Err(last_refusal if is_retry else scheduled.err_value)
            placement = scheduled.ok_value
            forwarded = await self._forward_to_worker(job, placement, writer, try_number)
            if not isinstance(forwarded, Err):
                return forwarded
            last_refusal = forwarded.err_value
            if last_refusal.kind is not ErrorKind.NO_WORKER:
                return forwarded
            # A placement withdrawn before a byte was sent put no load on the service, so it does not count as a retry.
            is_retry = is_retry or not placement.was_withdrawn
            if not placement.was_withdrawn:
                job.tried_workers.add(placement.worker.name)
        return Err(last_refusal)

    async def _forward_to_worker(
        self, job: Job, placement: Placement, writer: LineWriter, try_number: int
    ) -> Result[None, Refusal]:
        """Sends the job to the placed worker and streams its lines to the client.

        An Err of kind NO_WORKER lets the caller try another worker: the job did not run, or it may be repeated. An
        Err of kind OUTCOME_UNKNOWN ends the job.
        """
        assert job.entry is not None and job.tenant is not None
        worker = placement.worker
        upstream_job = UpstreamJob(
            upstream_id=f"{job.job_id}.{self.rng.randbytes(6).hex()}",
            model=f"{job.entry.line}@{placement.weights_name}" if placement.weights_name else job.entry.line,
            body=job.request.body,
            salt=placement.salt,
            tenant=job.tenant.name,
            limit_micros=job.remaining_micros(self.clock.now()),
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
                "why": placement.reason,
                "try": try_number + 1,
            }
        )
        line_count = 0
        is_prefilling, first_micros = True, 0
        self.scheduler.begin(worker.name, placement.missing_tokens)
        self.lease_controller.announce_prefill(worker.name, placement.missing_tokens)
        try:
            async with aclosing(
                self.transport.send_job(worker.address, upstream_job, lambda: self._may_send(job, placement))
            ) as events:
                async for event in events:
                    if is_prefilling:
                        is_prefilling, first_micros = False, self.clock.now()
                        self.scheduler.end_prefill(worker.name, placement.missing_tokens)
                    if event.get("id") != f"cmpl-{upstream_job.upstream_id}":
                        raise JobTransportError(CUT, "a line of another job")
                    if "usage" in event:
                        stream_micros = self.clock.now() - first_micros
                        if stream_micros < job.entry.deadlineMicros:
                            # A longer stream was delayed by this process or by a slow client, not by the worker.
                            self.scheduler.costs.record_stream(job.entry.name, worker.name, stream_micros)
                        self._record_usage(job, placement, event)
                        self.scheduler.record_success(worker.name)
                        await self._write_line(job, writer, {"end": True, "lines": line_count, "usage": event["usage"]})
                        return Ok(None)
                    await self._write_line(job, writer, {"line": line_count, "text": self._read_text(event)})
                    line_count += 1
            raise JobTransportError(CUT, "the stream ended without its closing line")
        except JobTransportError as error:
            LOGGER.info(
                "router: A job failed at a worker. job=%r worker=%s fault=%r", job.job_id, worker.name, str(error)
            )
            if error.stage == WITHDRAWN:
                placement.was_withdrawn = True
                return Err(Refusal(ErrorKind.NO_WORKER, error.detail))
            if error.stage != CUT:
                self.scheduler.record_failure(worker.name)
                return Err(Refusal(ErrorKind.NO_WORKER, error.detail))
            job.may_have_run = True
            if not line_count or job.remaining_micros(self.clock.now()) > 0:
                # A worker that sent lines until the deadline is slow, not unhealthy (§7.5).
                self.scheduler.record_failure(worker.name)
            if job.entry.repeatable and line_count == 0 and job.remaining_micros(self.clock.now()) > 0:
                if try_number + 1 < JOB_ATTEMPT_LIMIT and self._has_retry_budget(job):
                    return Err(Refusal(ErrorKind.NO_WORKER, error.detail))
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, error.detail))
        except ClientDisconnectedError:
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, "the caller went away"))
        finally:
            if is_prefilling:
                self.scheduler.end_prefill(worker.name, placement.missing_tokens)
            self.scheduler.end(worker.name)

    async def _write_line(self, job: Job, writer: LineWriter, line: dict[str, Any]) -> None:
        """Writes a line to the client; one that has not read it by the job's deadline is treated as disconnected."""
        try:
            async with asyncio.timeout(max(0, job.remaining_micros(self.clock.now())) / SECOND):
                await writer.write({"job": job.job_id, **line})
        except TimeoutError as error:
            raise ClientDisconnectedError from error

    def _read_text(self, event: dict[str, Any]) -> str:
        try:
            return str(event["choices"][0]["text"])
        except (KeyError, IndexError, TypeError) as error:
            raise JobTransportError(CUT, f"an unreadable line: {error!r}") from error

    def _has_retry_budget(self, job: Job) -> bool:
        assert job.entry is not None
        return self.retry_budget.tokens.get(job.entry.service, 0.0) >= 1.0

    def _record_usage(self, job: Job, placement: Placement, event: dict[str, Any]) -> None:
        """Feeds a worker's usage figures to cost estimates and counters; malformed figures are ignored."""
        assert job.entry is not None
        usage, timings = event["usage"], event.get("timings") or {}
        self.prefix_tokens += sum(p.tokens for p in job.request.prefix)
        with contextlib.suppress(*MALFORMED_FIGURE_ERRORS):
            self.scheduler.costs.record_prefill(
                job.entry.line,
                placement.worker.name,
                int(timings.get("prompt_n", 0)),
                float(timings.get("prompt_ms", 0.0)) * MILLI,
            )
        with contextlib.suppress(*MALFORMED_FIGURE_ERRORS):
            self.reused_tokens += int(usage.get("prompt_tokens_details", {}).get("cached_tokens", 0))
        if placement.fetch_from is None:
            return
        with contextlib.suppress(*MALFORMED_FIGURE_ERRORS):
            if usage.get("fetch_micros"):
                self.scheduler.costs.record_fetch(
                    placement.fetch_from.name,
                    placement.worker.name,
                    int(usage["fetch_tokens"]),
                    int(usage["fetch_micros"]),
                )

    def inspect(self) -> dict[str, Any]:
        """The node's state for `/inspect`: `status`, recent placements, volumes, worker copies and directory."""
        now_micros = self.clock.now()
        view = self.view_replica.view
        return {
            **self.status(),
            "kind": "node",
            "knownMicros": now_micros - self.view_replica.confirmed_micros,
            "placements": list(self.placements),
            "unsound": sorted(w for w, end in self.scheduler.unhealthy_until.items() if end > now_micros),
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
                for (owner, line), state in sorted(self.revision_listener.volumes.items())
            ],
            "copies": [
                {
                    "worker": worker,
                    "life": worker_copies.life,
                    "sequence": worker_copies.sequence,
                    "keys": len(worker_copies.keys),
                    "tied": worker in view.loads and view.loads[worker].life == worker_copies.life,
                }
                for worker, worker_copies in sorted(self.copy_index.copies.items())
            ],
            "directory": self.directory.rows(),
        }

    def status(self) -> dict[str, Any]:
        """The node's identity, view revisions, counters and worker leases, for `/soundness`."""
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
            "jobs": self.retry_budget.job_count,
            "retries": self.retry_budget.retry_count,
            "prefixTokens": self.prefix_tokens,
            "reusedTokens": self.reused_tokens,
            "holds": {n: h.fence for n, h in self.lease_controller.leases.items()},
            "weights": {n: w.revision for n, w in view.weights.items()},
            "loads": {n: f.weights_revision for n, f in view.loads.items()},
            "sent": self.rpc_endpoint.sent_counts,
            "sentBytes": self.rpc_endpoint.sent_bytes,
        }
