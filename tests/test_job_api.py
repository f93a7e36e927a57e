"""The job API over real HTTP connections, with a fixed view and a scripted transport to workers.

Guards against responses that mislead a client: an aborted stream that ends like a complete one, lines of another job,
"not run" for a job that may have run, a revoked key that still works on an open connection, and lines that are buffered
without bound for a slow client.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import unittest
from collections.abc import AsyncGenerator
from typing import Any

from result import Err, Ok, Result
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from pearhead.config.startup import StartupConfig
from pearhead.config.view import ENTRY_SECTIONS, View
from pearhead.router.job_api import HandlerLineWriter, build_job_api
from pearhead.router.job_transport import CUT, JobTransportError, SendPrecondition, UpstreamJob
from pearhead.router.node_process import NodeProcess
from pearhead.runtime.clock import BootClock
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.testbed.deployment import ACADEMY, build_description, tenant_key

CHUNK = "x" * 100_000


class ScriptedTransport:
    """Yields the configured lines and records how many were sent and whether the stream was closed."""

    def __init__(self) -> None:
        self.line_count = 2
        self.text = "t"
        self.cut_after: int | None = None
        self.wrong_after: int | None = None
        self.trailing: list[dict[str, Any]] = []
        self.may_begin: SendPrecondition = lambda: True
        self.yielded_count = 0
        self.started_count = 0
        self.closed = asyncio.Event()

    async def send_job(
        self, worker_address: str, upstream_job: UpstreamJob, may_begin: SendPrecondition
    ) -> AsyncGenerator[dict[str, Any], None]:
        self.started_count += 1
        self.may_begin = may_begin
        identity = f"cmpl-{upstream_job.upstream_id}"
        try:
            for number in range(self.line_count):
                if number == self.wrong_after:
                    yield {"id": "cmpl-another", "choices": [{"text": "another's"}]}
                if number == self.cut_after:
                    raise JobTransportError(CUT, "scripted")
                await asyncio.sleep(0)
                self.yielded_count += 1
                yield {"id": identity, "choices": [{"text": self.text}]}
            yield {"id": identity, "choices": [], "usage": {}}
            for event in self.trailing:
                yield event
        finally:
            self.closed.set()


class FailingWorkerLink:
    """Worker link that fails all commands."""

    async def claim(self, address: str, fence: int, may_begin: SendPrecondition) -> Result[dict[str, Any], str]:
        return Err("none")

    async def load(
        self, address: str, fence: int, line: str, weights: str, limit_micros: int, may_begin: SendPrecondition
    ) -> Result[dict[str, Any], str]:
        return Err("none")

    async def events(self, address: str, life: str, after: int) -> Result[dict[str, Any], str]:
        return Ok({})


def make_view(tenants: list[dict[str, Any]] | None = None) -> View:
    description = build_description(ACADEMY)
    if tenants is not None:
        description["tenants"] = tenants
    entries = description.pop("entries")
    bodies = {
        "description": {"revision": 5, "description": description},
        ENTRY_SECTIONS[0]: entries,
        "workers": {"desk": {"address": "x:1", "area": "a", "service": "desk", "leaving": False}},
    }
    sections = dict(View().sections)
    for name, body in bodies.items():
        sections[name] = (5, json.dumps(body).encode())
    return View(5, sections)


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.transport = ScriptedTransport()
        startup = StartupConfig(address="a:1", httpAddress="a:2", area="a", seeds=["s:1"], bodyLimitBytes=10_000)
        self.node = NodeProcess(
            startup, BootClock(), FakeRuntime(), self.transport, FailingWorkerLink(), random.Random(1)
        )
        self.node.view_replica.view = make_view()
        self.node.view_replica.is_current = lambda: True  # type: ignore[method-assign]
        bound_sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.port_number = bound_sockets[0].getsockname()[1]
        self.server = HTTPServer(build_job_api(self.node, startup))
        self.server.add_sockets(bound_sockets)
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port_number, limit=2**16)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        self.server.stop()
        await self.server.close_all_connections()

    def send_request(self, body: bytes, key: str = "", path: str = "/v1/jobs", size: int | None = None) -> None:
        key = key or tenant_key(ACADEMY, "trial")
        self.writer.write(
            f"POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Length: {len(body) if size is None else size}\r\n\r\n".encode()
            + body
        )

    def build_body(self, **more: Any) -> bytes:
        return json.dumps({"model": ACADEMY.line, "kind": "notice", "body": "b", "jobId": "j", **more}).encode()

    async def read_response(self) -> tuple[int, bytes, bool]:
        """Reads one response: status, body and whether the body ended as complete."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        status = int(head.split()[1])
        headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in head.split("\r\n")[1:])}
        if "content-length" in headers:
            return status, await self.reader.readexactly(int(headers["content-length"])), True
        body = b""
        while True:
            size_line = await self.reader.readline()
            if not size_line.endswith(b"\r\n"):
                return status, body, False
            chunk = await self.reader.readexactly(int(size_line, 16) + 2)
            if len(chunk) == 2:
                return status, body, True
            body += chunk[:-2]

    async def read_refusal(self) -> tuple[int, str, str]:
        status, body, _ = await self.read_response()
        data = json.loads(body)
        return status, data["error"], data["ran"]

    async def test_a_whole_stream_and_a_cut_one_end_apart(self) -> None:
        self.send_request(self.build_body())
        status, body, is_complete = await self.read_response()
        lines = [json.loads(x) for x in body.splitlines()]
        self.assertEqual((status, is_complete, [x["job"] for x in lines]), (200, True, ["j"] * 3))
        self.assertEqual((lines[-1]["end"], lines[-1]["lines"]), (True, 2))
        self.transport.cut_after = 1
        self.send_request(self.build_body())
        status, body, is_complete = await self.read_response()
        self.assertEqual((status, is_complete, len(body.splitlines())), (200, False, 1))

    async def test_a_fault_of_ours_after_the_first_line_is_a_cut_too(self) -> None:
        real_write = HandlerLineWriter.write

        async def write(self: HandlerLineWriter, line: dict[str, Any]) -> None:
            await real_write(self, line)
            raise ValueError("a defect")

        HandlerLineWriter.write = write  # type: ignore[method-assign]
        self.addCleanup(setattr, HandlerLineWriter, "write", real_write)
        self.send_request(self.build_body())
        self.assertEqual((await self.read_response())[2], False)

    async def test_bad_input_has_its_own_answer(self) -> None:
        cases = [
            (self.build_body(), "wrong", (401, "bad_key", "not_run")),
            (b"{", "", (400, "malformed", "not_run")),
            (self.build_body(more=1), "", (400, "unknown_field", "not_run")),
            (self.build_body(model="m"), "", (404, "unknown_model", "not_run")),
            (self.build_body(kind="k"), "", (404, "unknown_kind", "not_run")),
            (self.build_body(deadlineMicros=-1), "", (408, "deadline_passed", "not_run")),
            (self.build_body(kind=ACADEMY.short_kind), "", (503, "no_worker", "not_run")),
        ]
        for body, key, expected in cases:
            self.send_request(body, key)
            self.assertEqual(await self.read_refusal(), expected)
        self.assertEqual(self.transport.started_count, 0)
        self.send_request(b"", size=20_000)
        self.assertEqual(await self.read_refusal(), (413, "too_large", "not_run"))

    async def test_a_failure_before_the_first_line_is_no_refusal(self) -> None:
        description = build_description(ACADEMY)
        description["entries"][2]["repeatable"] = False
        sections = dict(make_view().sections)
        sections[ENTRY_SECTIONS[0]] = (5, json.dumps(description["entries"]).encode())
        self.node.view_replica.view = View(5, sections)
        self.transport.cut_after = 0
        self.send_request(self.build_body())
        self.assertEqual(await self.read_refusal(), (502, "outcome_unknown", "unknown"))
        self.assertEqual(self.transport.started_count, 1)

    async def test_a_repeatable_job_that_fails_again_is_no_refusal_either(self) -> None:
        self.node.retry_budget.tokens["desk"] = 5.0
        self.transport.cut_after = 0
        self.send_request(self.build_body())
        self.assertEqual(await self.read_refusal(), (502, "outcome_unknown", "unknown"))

    async def test_a_key_withdrawn_under_an_open_connection_stops_the_next_job(self) -> None:
        self.send_request(self.build_body())
        self.assertEqual((await self.read_response())[0], 200)
        tenants = [t for t in build_description(ACADEMY)["tenants"] if t["name"] != "trial"]
        self.node.view_replica.view = make_view(tenants)
        self.send_request(self.build_body())
        self.assertEqual(await self.read_refusal(), (401, "bad_key", "not_run"))

    async def test_a_line_of_another_job_cuts_the_stream_and_never_reaches_the_caller(self) -> None:
        for wrong_after, expected in ((0, (502, True, 1)), (1, (200, False, 1))):
            self.transport.wrong_after = wrong_after
            self.node.scheduler.unhealthy_until.clear()
            self.send_request(self.build_body())
            status, body, is_complete = await self.read_response()
            self.assertEqual((status, is_complete, len(body.splitlines())), expected)
            self.assertNotIn(b"another's", body)
            if not is_complete:
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port_number, limit=2**16)

    async def test_nothing_after_the_closing_line_reaches_the_caller_or_the_next_job(self) -> None:
        self.transport.trailing = [{"id": "cmpl-another", "choices": [{"text": "late"}]}]
        for job_id in ("first", "second"):
            self.send_request(self.build_body(jobId=job_id))
            status, body, is_complete = await self.read_response()
            lines = [json.loads(x) for x in body.splitlines()]
            self.assertEqual((status, is_complete, [x["job"] for x in lines]), (200, True, [job_id] * 3))
            self.assertNotIn(b"late", body)

    async def test_requests_sent_one_behind_the_other_are_answered_in_turn_and_apart(self) -> None:
        """Three pipelined requests, the second one refused: their responses come in order and don't mix."""
        self.send_request(self.build_body(jobId="a"))
        self.send_request(self.build_body(jobId="b"), "wrong")
        self.send_request(self.build_body(jobId="c"))
        seen = []
        for _ in range(3):
            status, body, is_complete = await self.read_response()
            seen.append((status, is_complete, {json.loads(x).get("job") for x in body.splitlines()}))
        self.assertEqual(seen, [(200, True, {"a"}), (401, True, {None}), (200, True, {"c"})])
        self.assertEqual(self.transport.started_count, 2)

    async def test_the_last_check_sees_whatever_went_since_nomination(self) -> None:
        """The check fails once the key, entry, worker or current view is lost while the job runs, and not otherwise."""
        self.transport.line_count = 10**9
        self.send_request(self.build_body())
        await self.reader.readuntil(b"\r\n\r\n")
        may_begin = self.transport.may_begin
        view = self.node.view_replica.view
        self.assertTrue(may_begin())
        description = build_description(ACADEMY)
        tenants_without_key = [t for t in description["tenants"] if t["name"] != "trial"]
        moved_sections = dict(view.sections)
        moved_sections[ENTRY_SECTIONS[0]] = (
            6,
            json.dumps([{**description["entries"][2], "service": "models"}]).encode(),
        )
        leaving_sections = dict(view.sections)
        leaving_sections["workers"] = (6, leaving_sections["workers"][1].replace(b"false", b"true"))
        unrelated_change = View(7, {**view.sections, "weights": (7, b"{}")})
        for changed in (make_view(tenants_without_key), View(6, moved_sections), View(6, leaving_sections)):
            self.node.view_replica.view = changed
            self.assertFalse(may_begin())
        self.node.view_replica.view = unrelated_change
        self.assertTrue(may_begin(), "an unrelated change must not stop the job")
        self.node.view_replica.is_current = lambda: False  # type: ignore[method-assign]
        self.assertFalse(may_begin())

    async def test_jobs_that_wait_are_told_at_once_when_the_term_is_lost_and_run_when_the_node_drains(self) -> None:
        description = build_description(ACADEMY)
        description["entries"][2].update(concurrency=1)
        sections = dict(self.node.view_replica.view.sections)
        sections[ENTRY_SECTIONS[0]] = (5, json.dumps(description["entries"]).encode())
        self.node.view_replica.view = View(5, sections)
        self.transport.line_count = 10**9
        self.send_request(self.build_body(jobId="first"))
        await self.reader.readuntil(b"\r\n\r\n")
        writer = self.writer

        async def queue(job_id: str) -> None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port_number, limit=2**16)
            self.send_request(self.build_body(jobId=job_id))
            while not self.node.admission.waiting_count():
                await asyncio.sleep(0)

        await queue("second")
        self.node.view_replica.is_current = lambda: False  # type: ignore[method-assign]
        review_task = asyncio.ensure_future(self.node._review_queues())
        self.assertEqual(await asyncio.wait_for(self.read_refusal(), 10), (503, "not_current", "not_run"))
        review_task.cancel()
        self.writer.close()
        self.node.view_replica.is_current = lambda: True  # type: ignore[method-assign]
        await queue("third")
        self.node.is_draining = True
        self.transport.line_count = 2
        writer.close()
        status, body, is_complete = await asyncio.wait_for(self.read_response(), 10)
        self.assertEqual(
            (status, is_complete, len(body.splitlines())), (200, True, 3), "a job queued before the drain must run"
        )

    async def test_a_caller_that_goes_away_ends_the_upstream(self) -> None:
        self.transport.line_count = 10**9
        self.send_request(self.build_body())
        await self.reader.readuntil(b"\r\n\r\n")
        self.writer.close()
        await asyncio.wait_for(self.transport.closed.wait(), 10)
        while self.node.open_jobs:
            await asyncio.sleep(0)
        self.assertEqual(self.node.scheduler.running_counts, {})

    async def test_a_slow_caller_slows_the_upstream_down(self) -> None:
        self.transport.line_count, self.transport.text = 2_000, CHUNK
        self.send_request(self.build_body())
        await self.reader.readuntil(b"\r\n\r\n")
        turns_without_progress, last_count = 0, -1
        while turns_without_progress < 2_000:
            await asyncio.sleep(0)
            is_stalled = self.transport.yielded_count == last_count
            turns_without_progress = turns_without_progress + 1 if is_stalled else 0
            last_count = self.transport.yielded_count
        self.assertLess(last_count * len(CHUNK), 40_000_000, "200 MB must not be buffered")
        self.assertLess(last_count, self.transport.line_count)

    async def test_a_caller_too_slow_for_its_deadline_is_cut_and_the_upstream_ended(self) -> None:
        self.transport.line_count, self.transport.text = 2_000, CHUNK
        self.send_request(self.build_body(deadlineMicros=300_000))
        await self.reader.readuntil(b"\r\n\r\n")
        await asyncio.wait_for(self.transport.closed.wait(), 10)
        received = b""
        with contextlib.suppress(ConnectionError):
            while chunk := await self.reader.read(2**20):
                received = received[-20:] + chunk
        self.assertFalse(received.endswith(b"0\r\n\r\n"), "an aborted stream must not be closed as complete")
        self.assertEqual(self.node.open_jobs, 0)

    async def test_a_draining_node_refuses_new_jobs_and_ends_accepted_ones(self) -> None:
        self.node.is_draining = True
        self.send_request(self.build_body())
        self.assertEqual(await self.read_refusal(), (503, "draining", "not_run"))
