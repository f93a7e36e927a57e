"""Admission (§8.3): places by entry, bounded queues, and turns between tenants."""

from __future__ import annotations

import asyncio
import unittest
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from pearhead.awl.clock import SECOND, Clock
from pearhead.awl.description import CapabilityEntry
from pearhead.lathe.errors import ErrorKind, Refusal
from pearhead.lathe.job import Job

SMOOTHING = 0.1
COME_BACK_LIMIT_MICROS = 12 * SECOND
# Ok(True): it may begin. Ok(False): its entry moved, and it queues anew. Err: it can't run any more.
Turn = Result[bool, Refusal]


@dataclass(eq=False)
class _Waiter:
    job: Job
    turnFuture: asyncio.Future[Turn]

    def settle(self, turn: Turn) -> None:
        if not self.turnFuture.done():
            self.turnFuture.set_result(turn)

    def was_admitted(self) -> bool:
        future = self.turnFuture
        return future.done() and not future.cancelled() and future.result() == Ok(True)


class _EntryQueue:
    def __init__(self) -> None:
        self.runningCount = 0
        self.runningByTenant: dict[str, int] = {}
        self.waitersByTenant: OrderedDict[str, deque[_Waiter]] = OrderedDict()
        self.waitingCount = 0
        self.meanMicros = 0.0
        self.toldAt = 0

    def tell(self, waitMicros: int, concurrency: int, nowMicros: int) -> int:
        """When to come back: a turn of its own behind those who were told before (§8.2)."""
        self.toldAt = max(self.toldAt, nowMicros + waitMicros) + int(self.meanMicros / concurrency)
        self.toldAt = min(self.toldAt, nowMicros + COME_BACK_LIMIT_MICROS)
        return self.toldAt - nowMicros

    def expected_wait(self, entry: CapabilityEntry, tenantName: str) -> float:
        """Turns go round the waiting tenants, so a tenant waits for its own queue times theirs."""
        ownCount = len(self.waitersByTenant.get(tenantName, ()))
        aheadCount = min(self.waitingCount, ownCount * max(1, len(self.waitersByTenant)))
        return self.meanMicros * (aheadCount + 1) / entry.concurrency


class Admission:
    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.queues: dict[str, _EntryQueue] = {}

    async def admit(self, job: Job) -> Turn:
        assert job.entry is not None and job.tenant is not None
        entry, tenantName = job.entry, job.tenant.name
        queue = self.queues.setdefault(entry.name, _EntryQueue())
        if queue.runningCount < entry.concurrency and not queue.waitingCount:
            self._begin(queue, tenantName)
            return Ok(True)
        waitMicros = int(queue.expected_wait(entry, tenantName))
        ownCount = len(queue.waitersByTenant.get(tenantName, ()))
        # A tenant may fill no more than its share of the queue, so that others find room.
        shareLimit = max(1, entry.queueLimit // max(2, len(queue.waitersByTenant)))
        if queue.waitingCount >= entry.queueLimit:
            backMicros = queue.tell(waitMicros, entry.concurrency, self.clock.now())
            return Err(Refusal(ErrorKind.OVERLOADED, "the queue is full", backMicros))
        if ownCount >= shareLimit:
            backMicros = queue.tell(waitMicros, entry.concurrency, self.clock.now())
            return Err(Refusal(ErrorKind.TENANT_BUSY, "the tenant's share of the queue is full", backMicros))
        if waitMicros > job.left_micros(self.clock.now()):
            # Told at once: waiting to the deadline would only hide it (§8.3).
            backMicros = queue.tell(waitMicros, entry.concurrency, self.clock.now())
            return Err(Refusal(ErrorKind.OVERLOADED, "its turn would come after its deadline", backMicros))
        waiter = _Waiter(job, asyncio.get_running_loop().create_future())
        queue.waitersByTenant.setdefault(tenantName, deque()).append(waiter)
        queue.waitingCount += 1

        def give_up() -> None:
            ownWait = int(queue.expected_wait(entry, tenantName))
            waiter.settle(Err(Refusal(ErrorKind.DEADLINE_PASSED, "waited for its turn to the deadline", ownWait)))

        deadlineTimer = self.clock.after(job.left_micros(self.clock.now()), give_up)
        isOver = False
        try:
            turn = await waiter.turnFuture
            isOver = True
            return turn
        finally:
            deadlineTimer.cancel()
            # Out of the queue before the refusal goes out, so that it never runs (§8.3).
            self._forget(queue, tenantName, waiter)
            if not isOver and waiter.was_admitted():
                self.leave_place(entry, tenantName)

    def waiting_count(self) -> int:
        return sum(queue.waitingCount for queue in self.queues.values())

    def review(self, judge: Callable[[Job], Turn]) -> None:
        """What waits and can't run any more gets its final answer now, not at its turn (§8.3)."""
        for queue in self.queues.values():
            for waiters in list(queue.waitersByTenant.values()):
                for waiter in list(waiters):
                    turn = judge(waiter.job)
                    if turn != Ok(True):
                        waiter.settle(turn)

    def leave_place(self, entry: CapabilityEntry, tenantName: str, heldMicros: int = 0) -> None:
        queue = self.queues[entry.name]
        if heldMicros:
            queue.meanMicros += SMOOTHING * (heldMicros - queue.meanMicros)
        queue.runningCount -= 1
        queue.runningByTenant[tenantName] -= 1
        if not queue.runningByTenant[tenantName]:
            del queue.runningByTenant[tenantName]
        while queue.waitingCount and queue.runningCount < entry.concurrency:
            if not self._wake_next(queue):
                break

    def _wake_next(self, queue: _EntryQueue) -> bool:
        """The waiting tenant with the fewest running jobs is next; among equals, turns go round."""
        waiting = [t for t, waiters in queue.waitersByTenant.items() if waiters]
        if not waiting:
            return False
        nextTenant = min(waiting, key=lambda t: queue.runningByTenant.get(t, 0))
        queue.waitersByTenant.move_to_end(nextTenant)
        waiter = queue.waitersByTenant[nextTenant].popleft()
        queue.waitingCount -= 1
        if not queue.waitersByTenant[nextTenant]:
            del queue.waitersByTenant[nextTenant]
        if not waiter.turnFuture.done():
            self._begin(queue, nextTenant)
            waiter.settle(Ok(True))
        return True

    def _begin(self, queue: _EntryQueue, tenantName: str) -> None:
        queue.runningCount += 1
        queue.runningByTenant[tenantName] = queue.runningByTenant.get(tenantName, 0) + 1

    def _forget(self, queue: _EntryQueue, tenantName: str, waiter: _Waiter) -> None:
        tenantWaiters = queue.waitersByTenant.get(tenantName, deque())
        if waiter in tenantWaiters:
            tenantWaiters.remove(waiter)
            queue.waitingCount -= 1
            if not tenantWaiters:
                del queue.waitersByTenant[tenantName]


class AdmissionTest(unittest.TestCase):
    def test_a_large_tenants_burst_does_not_starve_a_small_one(self) -> None:
        from pearhead.awl.clock import BootClock
        from pearhead.awl.description import Tenant
        from pearhead.awl.view import View
        from pearhead.lathe.job import WrittenJob

        entry = CapabilityEntry("e", "l", ["*"], ["k"], "s", concurrency=1, queueLimit=8)
        order: list[str] = []

        def make_job(tenantName: str) -> Job:
            request = WrittenJob("l", "k", "b")
            return Job(request, "j", 0, View(), 2**62, Tenant(tenantName, []), entry)

        async def run_all() -> list[Turn]:
            admission = Admission(BootClock())

            async def run(tenantName: str) -> Turn:
                admitted = await admission.admit(make_job(tenantName))
                if not isinstance(admitted, Err):
                    order.append(tenantName)
                    await asyncio.sleep(0)
                    admission.leave_place(entry, tenantName)
                return admitted

            return await asyncio.gather(*[run("large") for _ in range(8)], run("small"))

        results = asyncio.run(run_all())
        refused = [r.err_value.kind for r in results if isinstance(r, Err)]
        self.assertEqual(refused, [ErrorKind.TENANT_BUSY] * 3)
        self.assertLess(order.index("small"), 3)

    def test_each_refused_caller_is_told_a_turn_of_its_own_within_the_limit(self) -> None:
        queue = _EntryQueue()
        queue.meanMicros = float(SECOND)
        told = [queue.tell(3 * SECOND, 2, 0) for _ in range(40)]
        self.assertEqual(told[:3], [3_500_000, 4_000_000, 4_500_000])
        self.assertEqual(told[-1], COME_BACK_LIMIT_MICROS)
        self.assertEqual(queue.tell(0, 2, 60 * SECOND), SECOND // 2, "those turns are over")
