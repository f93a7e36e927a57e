"""NodeProcess (§8): a diskless front node. `run_job` is the way of a job, from top to bottom."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
from collections import deque
from contextlib import aclosing
from typing import Any

import picologging
from result import Err, Ok, Result

from pearhead.awl.clock import MILLI, SECOND, Clock, rest
from pearhead.awl.courier import Courier
from pearhead.awl.crew import Crew
from pearhead.awl.directory import Directory
from pearhead.awl.net import Net
from pearhead.awl.startup import Startup
from pearhead.awl.wire_pb2 import Record
from pearhead.lathe.admit import Admission, Turn
from pearhead.lathe.budget import RetryBudget
from pearhead.lathe.carry import CUT, WITHDRAWN, Carrier, CarryFault, Pen, PenGone, UpstreamJob
from pearhead.lathe.errors import ErrorKind, Refusal
from pearhead.lathe.holder import HolderController, WorkerLink
from pearhead.lathe.index import CopyIndex
from pearhead.lathe.job import Job, Placement, WrittenJob
from pearhead.lathe.nominate import Nominator
from pearhead.lathe.term import TermKeeper
from pearhead.rasp.listener import Listener

LOGGER = picologging.getLogger("pearhead")
TRY_LIMIT = 3
PLACEMENTS_KEPT = 200
OPEN_MICROS = 10 * SECOND
REVIEW_MICROS = 50 * MILLI


class NodeProcess:
    def __init__(
        self, startup: Startup, clock: Clock, net: Net, carrier: Carrier, link: WorkerLink,
        chance: random.Random,
    ) -> None:
        self.startup = startup
        self.clock = clock
        self.carrier = carrier
        self.chance = chance
        self.crew = Crew("lathe")
        self.identity = chance.randbytes(12).hex()
        self.courier = Courier(self.identity, startup.address, net, clock)
        selfRecord = Record(
            identity=self.identity, address=startup.address, role="lathe", area=startup.area,
            httpAddress=startup.httpAddress,
        )
        self.directory = Directory(selfRecord, startup.seeds, self.courier, clock, chance)
        self.keeper = TermKeeper(
            self.courier, self.directory, clock, chance, self.crew, startup.termMicros
        )
        self.listener = Listener(
            self.courier, self.directory, clock, chance, self.crew, startup.tableLifetimeMicros
        )
        self.index = CopyIndex()
        self.nominator = Nominator(
            self.keeper, self.listener, self.index, clock, startup.oldWeightsMicros
        )
        self.admission = Admission(clock)
        self.budget = RetryBudget()
        self.holder = HolderController(
            self.identity, self.keeper, self.listener, self.index, link, self.courier, self.directory,
            clock, chance, self.crew, startup.holdMicros,
        )
        self.holder.loadWatcher = self.nominator.take_load
        self.holder.startWatcher = self.nominator.take_start
        self.holder.mayServe = self.nominator.weights_allowed
        self.holder.soundnessWatcher = self.nominator.take_unsound
        self.isDraining = False
        self.isOpen = False
        self.openJobs = 0
        self.placements: deque[dict[str, Any]] = deque(maxlen=PLACEMENTS_KEPT)
        self.outcomeCounts: dict[str, int] = {}
        self.reusedTokens = 0
        self.prefixTokens = 0

    def start(self) -> None:
        for work in (
            self.directory.run(), self.keeper.run(), self.listener.run(), self.holder.run(), self._review_queues()
        ):
            self.crew.start(work)
        LOGGER.info("lathe: Listens. node=%s address=%s", self.identity[:8], self.startup.address)

    async def wait_open(self) -> None:
        """A node takes connections once it can place jobs, or after a while to say why it can't (§8.1)."""
        endMicros = self.clock.now() + OPEN_MICROS
        while self.clock.now() < endMicros and not self._can_place():
            await rest(self.clock, 50 * MILLI)
        self.isOpen = True

    def _can_place(self) -> bool:
        view = self.keeper.view
        return self.keeper.is_current() and all(
            any(self.nominator.weights_allowed(view, e.line, w) for w in view.workers)
            for e in view.description.entries if self.nominator.is_model(view, e.service)
        )

    def stop(self) -> None:
        self.crew.stop()
        self.courier.stop()

    async def drain(self) -> None:
        """Takes no new job and waits for the accepted ones."""
        self.isDraining = self.holder.isDraining = True
        endMicros = self.clock.now() + self.startup.drainMicros
        while self.openJobs and self.clock.now() < endMicros:
            await rest(self.clock, 20 * MILLI)

    # ---- the way of a job ------------------------------------------------------------------------

    async def run_job(self, keyText: str, request: WrittenJob, pen: Pen) -> Result[None, Refusal]:
        """Ok: a whole result was written. Err before a line was written: an answer with a status;
        after: the caller's stream must be aborted."""
        job = Job(request, request.jobId or self.chance.randbytes(12).hex(), self.clock.now(),
                  self.keeper.view)
        self.openJobs += 1
        try:
            outcome = await self._run_stages(keyText, job, pen)
        finally:
            self.openJobs -= 1
        word = outcome.err_value.kind.value if isinstance(outcome, Err) else "done"
        self.outcomeCounts[word] = self.outcomeCounts.get(word, 0) + 1
        return outcome

    async def _run_stages(self, keyText: str, job: Job, pen: Pen) -> Result[None, Refusal]:
        if self.isDraining:
            return Err(Refusal(ErrorKind.DRAINING, "this node takes no new jobs"))
        job.keyHash = hashlib.sha256(keyText.encode()).hexdigest()
        looked = self._look(job)
        while not isinstance(looked, Err):
            # From here on a drain waits for it; it waits for its turn, and is then looked at again (§8.3).
            assert job.entry is not None and job.tenant is not None
            placeEntry, placeTenant = job.entry, job.tenant
            admitted = await self.admission.admit(job)
            if isinstance(admitted, Err):
                return admitted
            if admitted.ok_value:
                admittedMicros = self.clock.now()
                try:
                    looked = self._look(job)
                    if isinstance(looked, Err) or job.entry.name == placeEntry.name:
                        return looked if isinstance(looked, Err) else await self._nominate_and_carry(job, pen)
                finally:
                    heldMicros = self.clock.now() - admittedMicros
                    self.admission.leave_place(placeEntry, placeTenant.name, heldMicros)
            # Its entry moved while it waited: it queues where it belongs now.
            looked = self._look(job)
        return looked

    def _look(self, job: Job) -> Result[None, Refusal]:
        """Term, key and entry, by what is in force now; asked anew after each wait (§5.3, §8.1)."""
        current = self._check_current(job)
        if isinstance(current, Err):
            return current
        authenticated = self._authenticate(job)
        if isinstance(authenticated, Err):
            return authenticated
        return self._match(job)

    def _check_current(self, job: Job) -> Result[None, Refusal]:
        if not self.keeper.is_current():
            return Err(Refusal(
                ErrorKind.NOT_CURRENT, "this node can't tell that its view is current", self.keeper.come_back_micros()
            ))
        job.view = self.keeper.view
        return Ok(None)

    def _authenticate(self, job: Job) -> Result[None, Refusal]:
        tenant = job.view.tenantByHash.get(job.keyHash)
        if tenant is None:
            return Err(Refusal(ErrorKind.BAD_KEY, "no tenant has this key"))
        job.tenant = tenant
        return Ok(None)

    def _match(self, job: Job) -> Result[None, Refusal]:
        assert job.tenant is not None
        request = job.request
        if request.model not in job.view.lineNames:
            return Err(Refusal(ErrorKind.UNKNOWN_MODEL, f"no model {request.model!r}"))
        if len(request.prefix) > job.view.description.limits.prefixParts:
            return Err(Refusal(ErrorKind.TOO_LARGE, "too many prefix parts"))
        matched = job.view.match(request.model, job.tenant.name, request.kind)
        if matched is None:
            isKnown = any(k == request.kind for _, _, k in job.view.entryByMatch)
            kind = ErrorKind.NOT_ENTITLED if isKnown else ErrorKind.UNKNOWN_KIND
            return Err(Refusal(kind, f"no entry for {request.model} {request.kind}"))
        job.entry = matched
        if not job.deadlineMicros:
            # What was promised first stays: a later description does not shorten it.
            wantedMicros = request.deadlineMicros or matched.deadlineMicros
            job.deadlineMicros = job.arrivedMicros + min(wantedMicros, matched.deadlineMicros)
        return Ok(None)

    async def _review_queues(self) -> None:
        """Jobs that wait and can't run any more are told so when the view or the term says it (§8.3)."""
        reviewedView = self.keeper.view
        while True:
            await rest(self.clock, REVIEW_MICROS)
            isSame = self.keeper.view is reviewedView and self.keeper.is_current()
            if self.admission.waiting_count() and not isSame:
                self.admission.review(self._judge_waiting)
            reviewedView = self.keeper.view

    def _judge_waiting(self, job: Job) -> Turn:
        assert job.entry is not None
        queuedName = job.entry.name
        looked = self._look(job)
        return looked if isinstance(looked, Err) else Ok(job.entry.name == queuedName)

    def _may_begin(self, job: Job, placement: Placement) -> bool:
        """The last check, in one step with the first byte: nothing of it may have gone meanwhile (§8.4)."""
        view = self.keeper.view
        return (
            self.keeper.is_current() and job.left_micros(self.clock.now()) > 0
            and (view is job.view or (
                view.tenantByHash.get(job.keyHash) == job.tenant and job.tenant is not None
                and view.match(job.request.model, job.tenant.name, job.request.kind) == job.entry
            ))
            and self.nominator.stands(job, placement)
        )

    async def _nominate_and_carry(self, job: Job, pen: Pen) -> Result[None, Refusal]:
        carried = await self._try_on(job, pen)
        if isinstance(carried, Err) and job.mayHaveRun:
            # Whatever stopped a later try: the first may have run, so this is no refusal (§8.2).
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, carried.err_value.detail))
        return carried

    async def _try_on(self, job: Job, pen: Pen) -> Result[None, Refusal]:
        assert job.entry is not None
        self.budget.pay_in(job.entry.service, job.view.description.limits.retryShare)
        lastRefusal = Refusal(ErrorKind.NO_WORKER, "no worker took the job")
        isRetry = False
        for tryNumber in range(TRY_LIMIT):
            if tryNumber:
                looked = self._look(job)
                if isinstance(looked, Err):
                    return looked
            if job.left_micros(self.clock.now()) <= 0:
                return Err(Refusal(ErrorKind.DEADLINE_PASSED, "the deadline passed before it ran"))
            if isRetry and not self.budget.take_out(job.entry.service):
                return Err(lastRefusal)
            nominated = self.nominator.nominate(job)
            if isinstance(nominated, Err):
                return Err(lastRefusal if isRetry else nominated.err_value)
            placement = nominated.ok_value
            carried = await self._carry(job, placement, pen, tryNumber)
            if not isinstance(carried, Err):
                return carried
            lastRefusal = carried.err_value
            if lastRefusal.kind is not ErrorKind.NO_WORKER:
                return carried
            # A placement that was withdrawn before a byte left took nothing from its service.
            isRetry = isRetry or not placement.wasWithdrawn
            if not placement.wasWithdrawn:
                job.triedWorkers.add(placement.worker.name)
        return Err(lastRefusal)

    async def _carry(self, job: Job, placement: Placement, pen: Pen, tryNumber: int) -> Result[None, Refusal]:
        """NO_WORKER says it did not run and may be tried elsewhere; OUTCOME_UNKNOWN ends the job."""
        assert job.entry is not None and job.tenant is not None
        worker = placement.worker
        upstreamJob = UpstreamJob(
            upstreamId=f"{job.jobId}.{self.chance.randbytes(6).hex()}",
            model=f"{job.entry.line}@{placement.weightsName}" if placement.weightsName else job.entry.line,
            body=job.request.body, salt=placement.salt, tenant=job.tenant.name,
            limitMicros=job.left_micros(self.clock.now()),
            prefix=[
                {"tokens": p.tokens, "key": placement.keys[i] if i < len(placement.keys) else ""}
                for i, p in enumerate(job.request.prefix)
            ],
        )
        if placement.fetchFrom is not None:
            upstreamJob.fetch = {
                "remote": placement.fetchFrom.address, "parts": placement.fetchParts,
                "limit_micros": placement.fetchLimitMicros,
            }
        self.placements.append({
            "job": job.jobId, "tenant": job.tenant.name, "kind": job.request.kind, "worker": worker.name,
            "weights": placement.weightsName, "why": placement.why, "try": tryNumber + 1,
        })
        lineCount = 0
        isPrefilling, firstMicros = True, 0
        self.nominator.begin(worker.name, placement.missedTokens)
        self.holder.tell_start(worker.name, placement.missedTokens)
        try:
            async with aclosing(self.carrier.carry(
                worker.address, upstreamJob, lambda: self._may_begin(job, placement)
            )) as events:
                async for event in events:
                    if isPrefilling:
                        isPrefilling, firstMicros = False, self.clock.now()
                        self.nominator.end_prefill(worker.name, placement.missedTokens)
                    if event.get("id") != f"cmpl-{upstreamJob.upstreamId}":
                        raise CarryFault(CUT, "a line of another job")
                    if "usage" in event:
                        streamMicros = self.clock.now() - firstMicros
                        if streamMicros < job.entry.deadlineMicros:
                            # Longer ones were held up elsewhere: this process slept, or the caller did.
                            self.nominator.costs.take_stream(job.entry.name, worker.name, streamMicros)
                        self._take_usage(job, placement, event)
                        self.nominator.take_success(worker.name)
                        await self._write(job, pen, {"end": True, "lines": lineCount, "usage": event["usage"]})
                        return Ok(None)
                    await self._write(job, pen, {"line": lineCount, "text": self._read_text(event)})
                    lineCount += 1
            raise CarryFault(CUT, "the stream ended without its closing line")
        except CarryFault as fault:
            LOGGER.info("lathe: A job failed at a worker. job=%r worker=%s fault=%r",
                        job.jobId, worker.name, str(fault))
            if fault.stage == WITHDRAWN:
                placement.wasWithdrawn = True
                return Err(Refusal(ErrorKind.NO_WORKER, fault.detail))
            if fault.stage != CUT:
                self.nominator.take_fault(worker.name)
                return Err(Refusal(ErrorKind.NO_WORKER, fault.detail))
            job.mayHaveRun = True
            if not lineCount or job.left_micros(self.clock.now()) > 0:
                # One that gave lines up to the deadline is slow, and no less sound (§7.5).
                self.nominator.take_fault(worker.name)
            if job.entry.repeatable and lineCount == 0 and job.left_micros(self.clock.now()) > 0:
                if tryNumber + 1 < TRY_LIMIT and self._has_credit(job):
                    return Err(Refusal(ErrorKind.NO_WORKER, fault.detail))
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, fault.detail))
        except PenGone:
            return Err(Refusal(ErrorKind.OUTCOME_UNKNOWN, "the caller went away"))
        finally:
            if isPrefilling:
                self.nominator.end_prefill(worker.name, placement.missedTokens)
            self.nominator.end(worker.name)

    async def _write(self, job: Job, pen: Pen, line: dict[str, Any]) -> None:
        """A caller too slow for its own deadline is taken for gone."""
        try:
            async with asyncio.timeout(max(0, job.left_micros(self.clock.now())) / SECOND):
                await pen.write({"job": job.jobId, **line})
        except TimeoutError as fault:
            raise PenGone from fault

    def _read_text(self, event: dict[str, Any]) -> str:
        try:
            return str(event["choices"][0]["text"])
        except (KeyError, IndexError, TypeError) as fault:
            raise CarryFault(CUT, f"an unreadable line: {fault!r}") from fault

    def _has_credit(self, job: Job) -> bool:
        assert job.entry is not None
        return self.budget.tokens.get(job.entry.service, 0.0) >= 1.0

    def _take_usage(self, job: Job, placement: Placement, event: dict[str, Any]) -> None:
        """A worker's own figures are hints: what is missing or odd teaches nothing."""
        assert job.entry is not None
        usage, timings = event["usage"], event.get("timings") or {}
        with contextlib.suppress(TypeError, ValueError, AttributeError):
            self.nominator.costs.take_prefill(
                job.entry.line, placement.worker.name, int(timings.get("prompt_n", 0)),
                float(timings.get("prompt_ms", 0.0)) * MILLI,
            )
        self.prefixTokens += sum(p.tokens for p in job.request.prefix)
        self.reusedTokens += int(usage.get("prompt_tokens_details", {}).get("cached_tokens", 0))
        if placement.fetchFrom is not None and usage.get("fetch_micros"):
            self.nominator.costs.take_fetch(
                placement.fetchFrom.name, placement.worker.name, int(usage["fetch_tokens"]),
                int(usage["fetch_micros"]),
            )

    def inspect(self) -> dict[str, Any]:
        nowMicros = self.clock.now()
        view = self.keeper.view
        return {
            **self.soundness(), "kind": "node", "knownMicros": nowMicros - self.keeper.currentAt,
            "placements": list(self.placements),
            "unsound": sorted(w for w, end in self.nominator.unsoundUntil.items() if end > nowMicros),
            "volumes": [
                {"owner": owner, "line": line, "epoch": state.epoch, "index": state.index,
                 "leftMillis": max(0, state.expiryMicros - nowMicros) // 1_000, "changing": len(state.changing),
                 "bumped": len(state.tableRevisions) + len(state.heard)}
                for (owner, line), state in sorted(self.listener.volumes.items())
            ],
            "copies": [
                {"worker": worker, "life": held.life, "sequence": held.sequence, "keys": len(held.keys),
                 "tied": worker in view.loads and view.loads[worker].life == held.life}
                for worker, held in sorted(self.index.copies.items())
            ],
            "directory": self.directory.rows(),
        }

    def soundness(self) -> dict[str, Any]:
        view = self.keeper.view
        return {
            "identity": self.identity, "address": self.startup.address, "area": self.startup.area,
            "current": self.keeper.is_current(), "viewIndex": view.index,
            "descriptionRevision": view.descriptionRevision, "openJobs": self.openJobs,
            "draining": self.isDraining, "outcomes": self.outcomeCounts,
            "jobs": self.budget.jobCount, "retries": self.budget.retryCount,
            "prefixTokens": self.prefixTokens, "reusedTokens": self.reusedTokens,
            "holds": {n: h.fence for n, h in self.holder.holds.items()},
            "weights": {n: w.revision for n, w in view.weights.items()},
            "loads": {n: f.weightsRevision for n, f in view.loads.items()},
            "sent": self.courier.sentCounts, "sentBytes": self.courier.sentBytes,
        }
