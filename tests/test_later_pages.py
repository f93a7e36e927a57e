"""Cases from the platform's later pages that no other test covers (docs/failures.md, the last section)."""

from __future__ import annotations

import asyncio
import sys
import unittest
from pathlib import Path
from typing import Any

from result import Err
from tornado.httputil import HTTPHeaders

from pearhead.config.description import Description, Route, Split, Tenant
from pearhead.config.tenant_key import hash_key
from pearhead.config.view import View
from pearhead.router.errors import ERROR_TABLE, ErrorKind, Refusal
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.opaque_request import ForwardingMetadata, OpaqueRequest, ResponseVerdict
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from tests.test_request_proxy import (
    HEAD,
    FakeCall,
    FakePool,
    FakeProtocolAdapter,
    FakeResponseWriter,
    FakeSelector,
    FakeViewProvider,
)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from platform_protocol_adapter import PlatformProtocolAdapter  # noqa: E402
from platform_worker_client import PlatformWorkerClient  # noqa: E402

SEAL = "X-Answer-Seal"
SENT = {"X-Request-Id": "r1", "Authorization": "Token k", "X-Deadline": "800"}
METADATA = ForwardingMetadata(800 * MILLI, "i-1", tenant="t")


def read(headers: dict[str, str]) -> OpaqueRequest:
    return PlatformProtocolAdapter().parse_request("POST", "/a/x", HTTPHeaders(headers), b"", 0).unwrap()


class DialectTest(unittest.TestCase):
    def verdict(self, status: int, headers: dict[str, str]) -> ResponseVerdict:
        return (
            PlatformProtocolAdapter().read_response_head(read(SENT), METADATA, status, "", HTTPHeaders(headers)).verdict
        )

    def test_no_answer_of_our_own_bears_a_seal(self) -> None:
        """MIXED: a failure with a worker's seal has the status that this worker gave; our own have no seal."""
        for kind in ErrorKind:
            for request in (None, read({**SENT, SEAL: "3e1b.07.5a2.600.0.c9f2a4d1"})):
                status, headers, body = PlatformProtocolAdapter().format_refusal(request, Refusal(kind))
                self.assertEqual(status, ERROR_TABLE[kind].status)
                self.assertNotIn(SEAL, headers, kind)
                self.assertGreaterEqual(status, 400, kind)

    def test_who_is_asked_to_come_back_is_told_when_and_by_which_request(self) -> None:
        for kind in ErrorKind:
            status, headers, _ = PlatformProtocolAdapter().format_refusal(read(SENT), Refusal(kind, "", 250 * MILLI))
            self.assertEqual(headers["X-Request-Id"], "r1")
            self.assertEqual(headers.get("Retry-After"), "0.250" if status in (408, 429, 503) else None, kind)

    def test_only_a_whole_answer_of_the_right_worker_is_a_success(self) -> None:
        good = {"X-Request-Id": "r1", SEAL: "s"}
        self.assertIs(self.verdict(200, good), ResponseVerdict.SUCCESS)
        self.assertIs(self.verdict(200, {"X-Request-Id": "r1"}), ResponseVerdict.UNRECOGNIZED, "no seal")
        self.assertIs(
            self.verdict(200, {**good, "X-Request-Id": "r2"}), ResponseVerdict.UNRECOGNIZED, "of another request"
        )
        self.assertIs(self.verdict(200, {SEAL: "s"}), ResponseVerdict.UNRECOGNIZED, "of no request")
        self.assertIs(self.verdict(200, {**good, "Content-Encoding": "gzip"}), ResponseVerdict.UNRECOGNIZED)
        self.assertIs(
            self.verdict(500, {**good, "X-Request-Id": "r2"}),
            ResponseVerdict.UNRECOGNIZED,
            "a failure of another request",
        )
        self.assertIs(self.verdict(500, good), ResponseVerdict.FAILURE)
        self.assertIs(self.verdict(503, {**good, "X-Not-Run": "full"}), ResponseVerdict.NOT_RUN)
        self.assertIs(self.verdict(421, {"X-Instance": "i-2"}), ResponseVerdict.OTHER_WORKER)
        self.assertIs(self.verdict(421, {"X-Instance": "i-1"}), ResponseVerdict.OTHER_VERSION)

    def test_a_worker_gets_neither_key_nor_what_the_caller_says_of_its_tenant(self) -> None:
        request = read({**SENT, "X-Tenant": "other", "X-Urgency": "0", "X-Expect-Version": "9", "Own": "kept"})
        outgoing = PlatformProtocolAdapter().outgoing_headers(request, METADATA)
        self.assertEqual((outgoing["X-Tenant"], outgoing["X-Expect-Instance"], outgoing["Own"]), ("t", "i-1", "kept"))
        self.assertEqual({"Authorization", "X-Urgency", "X-Expect-Version"} & set(outgoing), set())
        without_tenant = PlatformProtocolAdapter().outgoing_headers(request, ForwardingMetadata(800 * MILLI, "i-1"))
        self.assertNotIn("X-Tenant", without_tenant)


class RecordingCall(FakeCall):
    """Records how long the caller waits for the response head."""

    waited_micros = 0

    async def head(self, limit_micros: int) -> Any:
        self.waited_micros = limit_micros
        return await super().head(limit_micros)


class RecordingAdapter(FakeProtocolAdapter):
    def __init__(self) -> None:
        self.seen: list[ForwardingMetadata] = []

    def outgoing_headers(self, request: OpaqueRequest, metadata: ForwardingMetadata) -> HTTPHeaders:
        self.seen.append(metadata)
        return super().outgoing_headers(request, metadata)


class GateTimesTest(unittest.IsolatedAsyncioTestCase):
    async def send(
        self, wait_micros: int, tenant_urgency: int = 5, route_urgency: int = 5
    ) -> tuple[int, ForwardingMetadata]:
        """Returns how long a worker's answer is waited for, and the metadata sent to the worker."""
        runtime, call, dialect = FakeRuntime(), RecordingCall(HEAD, (b"ok",)), RecordingAdapter()
        route = Route("r", "h", "/a/", [Split("s", 1)], 4 * SECOND, urgency=route_urgency)
        view = View()
        tenant = Tenant("t", [hash_key("k")], urgency=tenant_urgency)
        view.__dict__["description"] = Description(tenants=[tenant], routes=[route])
        selector: Any = FakeSelector()
        pool: Any = FakePool([call])
        budget = FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND)
        proxy = RequestProxy(
            runtime,
            FakeViewProvider(view),
            selector,
            WorkerLoadTracker(runtime),
            pool,
            budget,
            dialect,
            lambda: 1,
            lambda worker, head: None,
        )
        request = OpaqueRequest(
            "id", "POST", "/a/x", "h", "/a/x", HTTPHeaders(), b"", runtime.now(), hash_key("k"), wait_micros
        )
        await proxy.serve(request, FakeResponseWriter())
        return call.waited_micros, dialect.seen[0]

    async def test_no_request_is_held_past_its_routes_deadline_nor_its_callers(self) -> None:
        for wait_micros, held_micros in ((0, 4 * SECOND), (9 * SECOND, 4 * SECOND), (SECOND, SECOND)):
            waited_micros, metadata = await self.send(wait_micros)
            self.assertEqual((waited_micros, metadata.remaining_micros), (held_micros, held_micros))

    async def test_a_tenants_rank_goes_before_its_routes(self) -> None:
        ranks = [(t, r, (await self.send(0, t, r))[1].urgency or 0) for t in range(4) for r in (0, 1)]
        self.assertEqual([rank for _, _, rank in ranks], sorted({rank for _, _, rank in ranks}), "strictly rising")
        self.assertLessEqual(max(rank for _, _, rank in ranks), 9)


class ListInTroubleTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_list_that_turns_calls_away_says_nothing(self) -> None:
        """The body of an error response is not read as a worker list, so an empty-looking one removes no workers."""
        statuses = [429, 500, 503, 404]
        sent_statuses: list[int] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            sent_statuses.append(statuses[len(sent_statuses)])
            body = b'{"Servers": [], "NextPage": null}'
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % (sent_statuses[-1], len(body))
            )
            writer.write(body)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        control = PlatformWorkerClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        self.addCleanup(control.close)
        for status in statuses:
            self.assertEqual(await control.list_workers(2 * SECOND), Err(f"status {status}"))
