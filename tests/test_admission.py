"""AdmissionController: fairness between tenants, and the retry delays of rejected clients."""

from __future__ import annotations

import asyncio
import unittest

from result import Err

from pearhead.config.description import CapabilityEntry, Tenant
from pearhead.config.view import View
from pearhead.router.admission import MAX_RETRY_AFTER_MICROS, AdmissionController, AdmissionResult, _EntryQueue
from pearhead.router.errors import ErrorKind
from pearhead.router.job import Job, JobRequest
from pearhead.runtime.clock import SECOND, BootClock


class AdmissionTest(unittest.TestCase):
    def test_a_large_tenants_burst_does_not_starve_a_small_one(self) -> None:
        entry = CapabilityEntry("e", "l", ["*"], ["k"], "s", concurrency=1, queueLimit=8)
        order: list[str] = []

        def make_job(tenant_name: str) -> Job:
            request = JobRequest("l", "k", "b")
            return Job(request, "j", 0, View(), 2**62, Tenant(tenant_name, []), entry)

        async def run_all() -> list[AdmissionResult]:
            admission = AdmissionController(BootClock())

            async def run(tenant_name: str) -> AdmissionResult:
                admitted = await admission.admit(make_job(tenant_name))
                if not isinstance(admitted, Err):
                    order.append(tenant_name)
                    await asyncio.sleep(0)
                    admission.release_slot(entry, tenant_name)
                return admitted

            return await asyncio.gather(*[run("large") for _ in range(8)], run("small"))

        results = asyncio.run(run_all())
        refused = [r.err_value.kind for r in results if isinstance(r, Err)]
        self.assertEqual(refused, [ErrorKind.TENANT_BUSY] * 3)
        self.assertLess(order.index("small"), 3)

    def test_each_refused_caller_is_told_a_turn_of_its_own_within_the_limit(self) -> None:
        queue = _EntryQueue()
        queue.mean_micros = float(SECOND)
        retry_delays = [queue.next_retry_micros(3 * SECOND, 2, 0) for _ in range(40)]
        self.assertEqual(retry_delays[:3], [3_500_000, 4_000_000, 4_500_000])
        self.assertEqual(retry_delays[-1], MAX_RETRY_AFTER_MICROS)
        self.assertEqual(queue.next_retry_micros(0, 2, 60 * SECOND), SECOND // 2, "earlier retry slots have passed")
