"""Test client (§9.4): sends jobs to nodes and checks each answer for the right job, order and completeness."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from pearhead.testbed.deployment import Deployment, generate_job, tenant_key
from pearhead.testbed.workermodel import expected_line_count, expected_text

CUT_OUTCOME = "not reached or cut"


def find_stream_faults(job: dict[str, Any], lines: list[dict[str, Any]]) -> list[str]:
    """Faults of an answer that ended without an error: lines of another job, wrong lines, or no closing line.

    `lines` are the decoded NDJSON lines of the answer to `job`.
    """
    faults = [
        f"a line of {line.get('job')} came to {job['jobId']}" for line in lines if line.get("job") != job["jobId"]
    ]
    texts = [line["text"] for line in lines if "text" in line]
    expected_texts = [expected_text(job["body"], n) for n in range(expected_line_count(job["body"]))]
    if texts != expected_texts:
        faults.append(f"{job['jobId']}: lines are wrong, missing or out of order: {texts}")
    if not lines or not lines[-1].get("end") or lines[-1].get("lines") != len(expected_texts):
        faults.append(f"{job['jobId']}: the answer ended without its closing line")
    return faults


@dataclass
class CallerAnswer:
    """The result of one job, as its caller saw it.

    `outcome` is "done", "unreached" when the connection was refused, the error kind of an answer, or `CUT_OUTCOME`.
    `is_refused` is set when the job certainly did not run.
    """

    job: dict[str, Any]
    tenant: str
    node: str
    outcome: str
    is_refused: bool = False
    lines: list[dict[str, Any]] = field(default_factory=list)


@dataclass
class CallerReport:
    """The results of all jobs of a caller.

    `outcomes` counts jobs by outcome. `refused`, `cut_jobs` and `finished` are sets of job ids; a job whose error
    answer says that it may have run is in none of them.
    """

    answers: list[CallerAnswer] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    cut_jobs: set[str] = field(default_factory=set)
    finished: set[str] = field(default_factory=set)
    prefix_tokens: int = 0
    reused_tokens: int = 0


class Caller:
    """Sends jobs drawn from `rng`, each to a random node, and collects a report."""

    def __init__(self, deployment: Deployment, node_addresses: list[str], rng: random.Random) -> None:
        self.deployment = deployment
        self.node_addresses = node_addresses
        self.rng = rng
        self.report = CallerReport()
        AsyncHTTPClient.configure(None, max_clients=1_000)

    async def run(self, job_count: int, concurrency: int, first_number: int = 0) -> CallerReport:
        """Sends `job_count` jobs, at most `concurrency` at the same time, and returns the report once all have ended.

        Job ids are numbered from `first_number`.
        """
        numbers = iter(range(first_number, first_number + job_count))

        async def send_jobs() -> None:
            for number in numbers:
                await self._call(number)

        await asyncio.gather(*(send_jobs() for _ in range(concurrency)))
        return self.report

    async def _call(self, number: int) -> None:
        tenant_name, job = generate_job(self.deployment, self.rng, number)
        chunks: list[bytes] = []
        node_address = self.rng.choice(self.node_addresses)
        answer = CallerAnswer(job, tenant_name, node_address, CUT_OUTCOME)
        self.report.answers.append(answer)
        request = HTTPRequest(
            f"http://{node_address}/v1/jobs",
            method="POST",
            body=json.dumps(job),
            headers={"Authorization": f"Bearer {tenant_key(self.deployment, tenant_name)}"},
            request_timeout=20,
            follow_redirects=False,
            streaming_callback=chunks.append,
        )
        try:
            await AsyncHTTPClient().fetch(request)
        except HTTPClientError as error:
            body_bytes = b"".join(chunks)
            self._record_failed_job(answer, error.code, body_bytes)
            return
        except ConnectionRefusedError:
            self.report.outcomes["unreached"] += 1
            self.report.refused.add(job["jobId"])
            answer.outcome, answer.is_refused = "unreached", True
            return
        except (OSError, ValueError):
            self._record_cut_stream(job)
            return
        lines = [json.loads(line) for line in b"".join(chunks).splitlines()]
        self.report.faults.extend(find_stream_faults(job, lines))
        answer.outcome, answer.lines = "done", lines
        self.report.outcomes["done"] += 1
        self.report.finished.add(job["jobId"])
        usage = lines[-1].get("usage", {}) if lines else {}
        self.report.prefix_tokens += usage.get("prompt_tokens", 0)
        self.report.reused_tokens += usage.get("prompt_tokens_details", {}).get("cached_tokens", 0)

    def _record_cut_stream(self, job: dict[str, Any]) -> None:
        self.report.outcomes[CUT_OUTCOME] += 1
        self.report.cut_jobs.add(job["jobId"])

    def _record_failed_job(self, answer: CallerAnswer, status: int, body_bytes: bytes) -> None:
        job = answer.job
        try:
            answer_body = json.loads(body_bytes)
        except ValueError:
            answer_body = {}
        # 599 is Tornado's own status, for a timeout or a connection that was closed early.
        if status == 599 or "error" not in answer_body:
            self._record_cut_stream(job)
            return
        self.report.outcomes[answer_body["error"]] += 1
        answer.outcome, answer.is_refused = answer_body["error"], answer_body["ran"] == "not_run"
        if answer_body["ran"] == "not_run":
            self.report.refused.add(job["jobId"])
