"""AdmissionController (§8.3): a concurrency limit and a bounded queue per entry, with fairness between tenants."""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from pearhead.config.description import CapabilityEntry
from pearhead.router.errors import ErrorKind, Refusal
from pearhead.router.job import Job
from pearhead.runtime.clock import SECOND, Clock

EWMA_WEIGHT = 0.1
MAX_RETRY_AFTER_MICROS = 12 * SECOND
# Ok(True): the job may begin. Ok(False): its entry changed, so it has to queue again. Err: it can't run any more.
AdmissionResult = Result[bool, Refusal]


@dataclass(eq=False)
class _Waiter:
    job: Job
    admission_future: asyncio.Future[AdmissionResult]

    def resolve(self, admission_result: AdmissionResult) -> None:
        if not self.admission_future.done():
            self.admission_future.set_result(admission_result)

    def was_admitted(self) -> bool:
        future = self.admission_future
        return future.done() and not future.cancelled() and future.result() == Ok(True)


class _EntryQueue:
    def __init__(self) -> None:
        self.running_count = 0
        self.running_by_tenant: dict[str, int] = {}
        self.waiters_by_tenant: OrderedDict[str, deque[_Waiter]] = OrderedDict()
        self.waiting_count = 0
        self.mean_micros = 0.0
        self.last_retry_micros = 0

    def next_retry_micros(self, wait_micros: int, concurrency: int, now_micros: int) -> int:
        """Returns the retry delay for a rejected client: a slot of its own, behind those given out before (§8.2)."""
        self.last_retry_micros = max(self.last_retry_micros, now_micros + wait_micros) + int(
            self.mean_micros / concurrency
        )
        self.last_retry_micros = min(self.last_retry_micros, now_micros + MAX_RETRY_AFTER_MICROS)
        return self.last_retry_micros - now_micros

    def expected_wait(self, entry: CapabilityEntry, tenant_name: str) -> float:
        """Estimates the wait of a tenant's next job, in microseconds.

        Slots go round the waiting tenants, so the jobs ahead are the tenant's own waiting ones times the number of
        waiting tenants, and at most all that wait.
        """
        own_count = len(self.waiters_by_tenant.get(tenant_name, ()))
        ahead_count = min(self.waiting_count, own_count * max(1, len(self.waiters_by_tenant)))
        return self.mean_micros * (ahead_count + 1) / entry.concurrency


class AdmissionController:
    """Admits jobs to their entries; at the concurrency limit they wait in a queue that the tenants share fairly."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.queues: dict[str, _EntryQueue] = {}

    async def admit(self, job: Job) -> AdmissionResult:
        """Waits until the job may begin or can't; after Ok(True) the caller has to call `release_slot` at its end.

        Refuses at once where the queue or the tenant's share of it is full, or the job would not start before its
        deadline, and later when the deadline passes in the queue. A cancelled call leaves the queue.
        """
        assert job.entry is not None and job.tenant is not None
        entry, tenant_name = job.entry, job.tenant.name
        queue = self.queues.setdefault(entry.name, _EntryQueue())
        if queue.running_count < entry.concurrency and not queue.waiting_count:
            self._occupy_slot(queue, tenant_name)
            return Ok(True)
        wait_micros = int(queue.expected_wait(entry, tenant_name))
        own_count = len(queue.waiters_by_tenant.get(tenant_name, ()))
        # Caps each tenant at its share of the queue, to leave room for others.
        share_limit = max(1, entry.queueLimit // max(2, len(queue.waiters_by_tenant)))
        if queue.waiting_count >= entry.queueLimit:
            retry_after_micros = queue.next_retry_micros(wait_micros, entry.concurrency, self.clock.now())
            return Err(Refusal(ErrorKind.OVERLOADED, "the queue is full", retry_after_micros))
        if own_count >= share_limit:
            retry_after_micros = queue.next_retry_micros(wait_micros, entry.concurrency, self.clock.now())
            return Err(Refusal(ErrorKind.TENANT_BUSY, "the tenant's share of the queue is full", retry_after_micros))
        if wait_micros > job.remaining_micros(self.clock.now()):
            # Refused at once: waiting until the deadline would only delay the same answer (§8.3).
            retry_after_micros = queue.next_retry_micros(wait_micros, entry.concurrency, self.clock.now())
            return Err(Refusal(ErrorKind.OVERLOADED, "its turn would come after its deadline", retry_after_micros))
        waiter = _Waiter(job, asyncio.get_running_loop().create_future())
        queue.waiters_by_tenant.setdefault(tenant_name, deque()).append(waiter)
        queue.waiting_count += 1

        def reject_at_deadline() -> None:
            tenant_wait_micros = int(queue.expected_wait(entry, tenant_name))
            waiter.resolve(
                Err(Refusal(ErrorKind.DEADLINE_PASSED, "waited for its turn to the deadline", tenant_wait_micros))
            )

        deadline_timer = self.clock.after(job.remaining_micros(self.clock.now()), reject_at_deadline)
        was_resolved = False
        try:
            admission_result = await waiter.admission_future
            was_resolved = True
            return admission_result
        finally:
            deadline_timer.cancel()
            # Leaves the queue before the refusal is sent, so that a refused job never runs (§8.3).
            self._remove_waiter(queue, tenant_name, waiter)
            if not was_resolved and waiter.was_admitted():
                # Cancelled in the same step as it was admitted.
                self.release_slot(entry, tenant_name)

    def waiting_count(self) -> int:
        """Returns how many jobs wait, over all entries."""
        return sum(queue.waiting_count for queue in self.queues.values())

    def recheck_waiting(self, recheck: Callable[[Job], AdmissionResult]) -> None:
        """Resolves waiting jobs for which `recheck` does not return Ok(True), now instead of at their turn (§8.3)."""
        for queue in self.queues.values():
            for waiters in list(queue.waiters_by_tenant.values()):
                for waiter in list(waiters):
                    admission_result = recheck(waiter.job)
                    if admission_result != Ok(True):
                        waiter.resolve(admission_result)

    def release_slot(self, entry: CapabilityEntry, tenant_name: str, held_micros: int = 0) -> None:
        """Frees the slot of an ended job and admits the next ones.

        `held_micros`: how long the slot was held, for the mean that wait estimates use; 0 leaves the mean as it is.
        """
        queue = self.queues[entry.name]
        if held_micros:
            queue.mean_micros += EWMA_WEIGHT * (held_micros - queue.mean_micros)
        queue.running_count -= 1
        queue.running_by_tenant[tenant_name] -= 1
        if not queue.running_by_tenant[tenant_name]:
            del queue.running_by_tenant[tenant_name]
        while queue.waiting_count and queue.running_count < entry.concurrency:
            if not self._wake_next(queue):
                break

    def _wake_next(self, queue: _EntryQueue) -> bool:
        """Admits a job of the waiting tenant with the fewest running jobs; equals take turns. False if none waits."""
        waiting = [t for t, waiters in queue.waiters_by_tenant.items() if waiters]
        if not waiting:
            return False
        next_tenant = min(waiting, key=lambda t: queue.running_by_tenant.get(t, 0))
        queue.waiters_by_tenant.move_to_end(next_tenant)
        waiter = queue.waiters_by_tenant[next_tenant].popleft()
        queue.waiting_count -= 1
        if not queue.waiters_by_tenant[next_tenant]:
            del queue.waiters_by_tenant[next_tenant]
        if not waiter.admission_future.done():
            self._occupy_slot(queue, next_tenant)
            waiter.resolve(Ok(True))
        return True

    def _occupy_slot(self, queue: _EntryQueue, tenant_name: str) -> None:
        queue.running_count += 1
        queue.running_by_tenant[tenant_name] = queue.running_by_tenant.get(tenant_name, 0) + 1

    def _remove_waiter(self, queue: _EntryQueue, tenant_name: str, waiter: _Waiter) -> None:
        tenant_waiters = queue.waiters_by_tenant.get(tenant_name, deque())
        if waiter in tenant_waiters:
            tenant_waiters.remove(waiter)
            queue.waiting_count -= 1
            if not tenant_waiters:
                del queue.waiters_by_tenant[tenant_name]
