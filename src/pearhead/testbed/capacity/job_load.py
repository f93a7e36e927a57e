"""Jobs on one real node with a fixed concurrency (§9.4): what a job, and a line of its stream, cost the node."""

from __future__ import annotations

import asyncio
import json
import statistics
import time
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from pearhead.runtime.clock import MILLI
from pearhead.testbed.capacity.live_fleet import TENANT_KEY, LiveFleet

Row = dict[str, float]
CONCURRENCY = 16
JOB_COUNT = 200


class JobLoad:
    """Sends jobs to the first real node, and counts those that succeed or fail."""

    def __init__(self, fleet: LiveFleet) -> None:
        self.fleet = fleet
        self.address = next(iter(fleet.node_http.values()))
        self.done = 0
        self.failed = 0
        self.first_line_micros: list[int] = []

    async def run(self, job_count: int) -> None:
        """Sends `job_count` jobs, `CONCURRENCY` at a time, and returns when all have ended."""
        AsyncHTTPClient.configure(None, max_clients=CONCURRENCY)
        numbers = iter(range(job_count))

        async def run_caller() -> None:
            for number in numbers:
                await self._send_job(number)

        await asyncio.gather(*(run_caller() for _ in range(CONCURRENCY)))

    async def _send_job(self, number: int) -> None:
        job: dict[str, Any] = {
            "model": "line",
            "kind": "long",
            "body": f"short {number}",
            "jobId": f"job-{number}",
            "prefix": [{"part": part, "tokens": 500} for part in range(1, 9)],
        }
        start, first_chunk_at = self.fleet.clock.now(), 0

        def note_first_chunk(chunk: bytes) -> None:
            nonlocal first_chunk_at
            first_chunk_at = first_chunk_at or self.fleet.clock.now()

        request = HTTPRequest(
            f"http://{self.address}/v1/jobs",
            method="POST",
            body=json.dumps(job),
            streaming_callback=note_first_chunk,
            headers={"Authorization": f"Bearer {TENANT_KEY}-0"},
            request_timeout=20,
            follow_redirects=False,
        )
        try:
            await AsyncHTTPClient().fetch(request)
        except (HTTPClientError, OSError):
            self.failed += 1
            return
        self.done += 1
        self.first_line_micros.append(first_chunk_at - start)


def measure_jobs(fleet: LiveFleet) -> Row:
    """Processor time of the node per job, and the time to the first line of a job, with sixteen jobs at a time.

    Only the count of done jobs starts anew after the warm-up; failures and times to the first line include it.
    """
    job_load = JobLoad(fleet)
    # Warm-up: with the first jobs the node learns about its workers and fills its tables.
    asyncio.run(job_load.run(JOB_COUNT // 2))
    job_load.done = 0
    before, start = fleet.processes.stat("node-1"), time.monotonic()
    asyncio.run(job_load.run(JOB_COUNT))
    seconds = time.monotonic() - start
    after = fleet.processes.stat("node-1")
    return {
        "jobs done": float(job_load.done),
        "jobs failed": float(job_load.failed),
        "jobs/s": job_load.done / seconds,
        "a job at a node, µs": (after.cpu_micros - before.cpu_micros) / max(1, job_load.done),
        "first line, median ms": statistics.median(job_load.first_line_micros) / MILLI if job_load.done else 0.0,
        "node after the jobs, MB": after.resident_bytes / 1e6,
    }
