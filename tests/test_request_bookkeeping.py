"""RequestBookkeeping: a fault in a node's own records does not end the request that they are about (§8.7).

Guards against LOST of review case 8: whatever raises after a request was sent, its client gets an answer.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from typing import Any

from tornado.httputil import HTTPHeaders

from pearhead.config.tenant_key import hash_key
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.opaque_request import OpaqueRequest, PromptPart, ResponseHead
from pearhead.router.prefill_tracker import PrefillTracker
from pearhead.router.request_bookkeeping import RequestBookkeeping
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.rpc.wire_pb2 import ReadNote
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from tests.test_request_proxy import (
    EVENTS,
    HEAD,
    STREAM,
    FakeCall,
    FakePool,
    FakeProtocolAdapter,
    FakeResponseWriter,
    FakeSelector,
    FakeViewProvider,
    make_view,
)


class BrokenRecordError(Exception):
    """Raised by the records of this module."""


class FailingSelector(FakeSelector):
    def expect_cached(self, worker: str, salt: str, parts: Iterable[str]) -> None:
        raise BrokenRecordError


class UnwritableAdapter(FakeProtocolAdapter):
    """Raises as the request is prepared for the worker, so before it is sent."""

    def outgoing_headers(self, request: OpaqueRequest, metadata: Any) -> HTTPHeaders:
        raise BrokenRecordError


class UnreadableAdapter(FakeProtocolAdapter):
    """Raises at the head of the worker's response, so after the request was sent."""

    def read_response_head(self, *given: Any) -> ResponseHead:
        raise BrokenRecordError


def fail_to_broadcast(note: ReadNote) -> None:
    raise BrokenRecordError


def fail_to_record_versions(worker: str, head: ResponseHead) -> None:
    raise BrokenRecordError


class BookkeepingTest(unittest.IsolatedAsyncioTestCase):
    async def serve(
        self,
        call: FakeCall,
        selector: FakeSelector | None = None,
        adapter: FakeProtocolAdapter | None = None,
        broadcast: Any = lambda note: None,
        record_versions: Any = lambda worker, head: None,
    ) -> FakeResponseWriter:
        runtime = FakeRuntime()
        selector = selector or FakeSelector(missing_tokens=9_010)
        self.call, self.loads, writer = call, WorkerLoadTracker(runtime), FakeResponseWriter()
        self.proxy = RequestProxy(
            runtime,
            FakeViewProvider(make_view(**STREAM, tries=1)),
            selector,  # type: ignore[arg-type]
            self.loads,
            FakePool([call]),  # type: ignore[arg-type]
            FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND),
            adapter or FakeProtocolAdapter(),
            lambda: 1,
            record_versions,
            PrefillTracker(runtime, selector.expect_cached, broadcast),
        )
        parts = (PromptPart("p0", 9_000), PromptPart("own", 10))
        request = OpaqueRequest(
            "id", "POST", "/a/x", "h", "/a/x", HTTPHeaders(), b"", runtime.now(), hash_key("k"), parts=parts
        )
        await self.proxy.serve(request, writer)
        self.assertEqual(self.loads.own_loads, {}, "the load was not released")
        self.assertTrue(call.is_closed)
        return writer

    async def test_a_request_that_was_sent_is_answered_whatever_record_fails(self) -> None:
        for name, fault in (
            ("prefill", {"broadcast": fail_to_broadcast}),
            ("weight_versions", {"record_versions": fail_to_record_versions}),
            ("first_event", {"selector": FailingSelector(missing_tokens=9_010)}),
        ):
            with self.subTest(record=name), self.assertLogs("pearhead", "ERROR"):
                writer = await self.serve(FakeCall(HEAD, (b"".join(EVENTS),)), **fault)
                self.assertEqual((writer.status, writer.end, writer.body), (200, "whole", b"".join(EVENTS)))
                self.assertIn(name, self.proxy.bookkeeping.failures)

    async def test_an_unexpected_exception_still_gives_the_client_an_answer(self) -> None:
        # A request that was not sent is promised not to have run; for one that was sent the outcome is unknown.
        for adapter, sent_count, status in ((UnwritableAdapter(), 0, 503), (UnreadableAdapter(), 1, 502)):
            with self.subTest(status=status), self.assertLogs("pearhead", "ERROR"):
                writer = await self.serve(FakeCall(HEAD), adapter=adapter)
                self.assertEqual((writer.status, writer.end, len(self.call.sent)), (status, "whole", sent_count))
                self.assertEqual(self.proxy.outcomes["internal_error"], 1)

    def test_each_failure_is_counted_and_logged_at_most_once_a_second(self) -> None:
        runtime = FakeRuntime()
        bookkeeping = RequestBookkeeping(runtime)
        with self.assertLogs("pearhead", "ERROR") as caught:
            for _ in range(5):
                with bookkeeping.update("a"):
                    raise BrokenRecordError
            runtime.now_micros += SECOND
            with bookkeeping.update("a"):
                raise BrokenRecordError
        self.assertEqual((bookkeeping.failures, len(caught.records)), ({"a": 6}, 2))


if __name__ == "__main__":
    unittest.main()
