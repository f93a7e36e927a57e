"""RequestProxy against scripted calls: the response of the caller and the number of workers that get the request.

Guards against a request that may have run being sent again or reported as not run, and against a truncated response
that looks complete to the caller.
"""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from pearhead.config.description import Description, Route, Split, Tenant
from pearhead.config.tenant_key import hash_key
from pearhead.config.view import View
from pearhead.router.errors import ERROR_TABLE, ErrorKind, Refusal
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.opaque_request import ForwardingMetadata, OpaqueRequest, PromptPart, ResponseHead, ResponseVerdict
from pearhead.router.prefill_tracker import PrefillTracker
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.worker_control import Backend
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_selector import WorkerChoice
from pearhead.rpc.wire_pb2 import ReadNote
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

EVENTS = [b"id: %d\ndata: x\n\n" % n for n in range(1, 4)]
HEAD = (200, "OK", HTTPHeaders({"Seal": "s", "Connection": "keep-alive"}))
STREAM: dict[str, Any] = {"stream": True}
RESUMABLE: dict[str, Any] = {"stream": True, "resumable": True}


class FakeCall:
    """One worker's response: a head or None, chunks, and whether it is complete. `late`: silent until the deadline."""

    def __init__(self, head: Any, chunks: tuple[bytes, ...] = (), whole: bool = True, late: bool = False) -> None:
        self.found, self.given, self.whole, self.late = head, chunks, whole, late
        self.headers: HTTPHeaders | None = None
        self.sent: list[HTTPHeaders] = []
        self.is_closed = False

    def send(self, method: str, target: str, headers: HTTPHeaders, body: bytes) -> None:
        self.sent.append(headers)

    async def head(self, limit_micros: int) -> Any:
        if self.late:
            raise TimeoutError
        return self.found

    async def chunks(self, limit: Callable[[], int]) -> AsyncIterator[bytes]:
        for chunk in self.given:
            yield chunk

    def is_whole(self) -> bool:
        return self.whole

    async def close(self) -> None:
        self.is_closed = True


class FakePool:
    def __init__(self, calls: list[FakeCall | None]) -> None:
        self.calls = list(calls)
        self.used: list[FakeCall] = []

    async def call(self, address: str, limit_micros: int) -> Result[Any, str]:
        found = self.calls.pop(0)
        if found is None:
            return Err("no connection")
        self.used.append(found)
        return Ok(found)


class FakeSelector:
    def __init__(self, missing_tokens: int = 10) -> None:
        self.missing_tokens = missing_tokens
        self.is_choice_valid = True
        self.chosen: list[str] = []
        self.expected_workers: list[str] = []

    def choose(
        self, view: View, route: Route, request: OpaqueRequest, tenant: Tenant | None, excluded: frozenset[str]
    ) -> Result[WorkerChoice, Refusal]:
        free = [n for n in ("w1", "w2", "w3") if n not in excluded]
        if not free:
            return Err(Refusal(ErrorKind.NO_WORKER))
        self.chosen.append(free[0])
        backend = Backend(free[0], "127.0.0.1:1", "z", "s", 4, False, {"l": 2}, 0)
        return Ok(
            WorkerChoice(
                backend,
                "s",
                "l",
                2,
                "salt",
                0,
                self.missing_tokens,
                "",
                "",
                1_000,
                request.prompt_tokens() + request.output_tokens,
            )
        )

    def knows_workers(self) -> bool:
        return True

    def is_still_valid(self, view: View, tenant: Tenant | None, request: OpaqueRequest, choice: WorkerChoice) -> bool:
        return self.is_choice_valid

    def expect_cached(self, worker: str, salt: str, parts: Iterable[str]) -> None:
        self.expected_workers.append(worker)


class DelayedSelector(FakeSelector):
    """Knows no worker before `known_micros`."""

    def __init__(self, runtime: FakeRuntime, known_micros: int) -> None:
        super().__init__()
        self.runtime = runtime
        self.known_micros = known_micros

    def choose(
        self, view: View, route: Route, request: OpaqueRequest, tenant: Tenant | None, excluded: frozenset[str]
    ) -> Result[WorkerChoice, Refusal]:
        if self.runtime.now() < self.known_micros:
            return Err(Refusal(ErrorKind.NO_WORKER))
        return super().choose(view, route, request, tenant, excluded)

    def knows_workers(self) -> bool:
        return self.runtime.now() >= self.known_micros


class FakeProtocolAdapter:
    def outgoing_headers(self, request: OpaqueRequest, metadata: ForwardingMetadata) -> HTTPHeaders:
        return HTTPHeaders({"Tenant": metadata.tenant, "Last": metadata.last_event_id})

    def read_response_head(
        self, request: OpaqueRequest, metadata: ForwardingMetadata, status: int, reason: str, headers: HTTPHeaders
    ) -> ResponseHead:
        verdict = {
            200: ResponseVerdict.SUCCESS,
            503: ResponseVerdict.NOT_RUN,
            421: ResponseVerdict.OTHER_WORKER,
            299: ResponseVerdict.UNRECOGNIZED,
        }
        return ResponseHead(status, reason, headers, verdict.get(status, ResponseVerdict.FAILURE), {})

    def event_version(self, event: bytes) -> int | None:
        return None

    def format_refusal(self, request: OpaqueRequest | None, refusal: Refusal) -> tuple[int, HTTPHeaders, bytes]:
        return ERROR_TABLE[refusal.kind].status, HTTPHeaders(), b"{}"


class RecordingAdapter(FakeProtocolAdapter):
    def __init__(self) -> None:
        self.refusals: list[Refusal] = []

    def format_refusal(self, request: OpaqueRequest | None, refusal: Refusal) -> tuple[int, HTTPHeaders, bytes]:
        self.refusals.append(refusal)
        return super().format_refusal(request, refusal)


class FakeResponseWriter:
    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = b""
        self.end = ""

    def begin(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        assert not self.status, "a second response head"
        self.status, self.headers = status, headers

    def write(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.end = "whole"

    def abort(self) -> None:
        self.end = "cut"

    def is_disconnected(self) -> bool:
        return False


class FakeViewProvider:
    def __init__(self, view: View | None) -> None:
        self.current_view = view

    def view(self) -> View | None:
        return self.current_view


class AdvancingRuntime(FakeRuntime):
    """A clock that advances only by timers, which fire at once."""

    def after(self, delay_micros: int, callback: Any) -> FakeRuntime:
        self.now_micros += delay_micros
        callback()
        return self


class DelayedViewProvider(FakeViewProvider):
    def __init__(self, view: View, runtime: FakeRuntime, known_micros: int) -> None:
        super().__init__(view)
        self.runtime = runtime
        self.known_micros = known_micros

    def view(self) -> View | None:
        return self.current_view if self.runtime.now() >= self.known_micros else None


def make_view(**fields: Any) -> View:
    route = Route("r", "h", "/a/", [Split("s", 1)], 5 * SECOND, **{"tries": 2, **fields})
    view = View()
    view.__dict__["description"] = Description(tenants=[Tenant("t", [hash_key("k")])], routes=[route])
    return view


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def pass_through(
        self,
        calls: list[FakeCall | None],
        key: str = "k",
        path: str = "/a/x",
        parts: tuple[PromptPart, ...] = (),
        broadcast: Callable[[ReadNote], None] = lambda note: None,
        **fields: Any,
    ) -> FakeResponseWriter:
        runtime = FakeRuntime()
        self.pool, self.selector, self.writer = (
            FakePool(calls),
            getattr(self, "selector", FakeSelector()),
            FakeResponseWriter(),
        )
        self.loads = WorkerLoadTracker(runtime)
        self.proxy = RequestProxy(
            runtime,
            FakeViewProvider(make_view(**fields)),
            self.selector,  # type: ignore[arg-type]
            self.loads,
            self.pool,  # type: ignore[arg-type]
            FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND),
            FakeProtocolAdapter(),
            lambda: 1,
            lambda worker, head: None,
            PrefillTracker(runtime, self.selector.expect_cached, broadcast),
        )
        request = OpaqueRequest(
            "id", "POST", path, "h", path, HTTPHeaders(), b"", runtime.now(), hash_key(key), parts=parts
        )
        await self.proxy.serve(request, self.writer)
        self.assertEqual(self.loads.own_loads, {}, "the load was not released")
        self.assertTrue(all(call.is_closed for call in self.pool.used))
        return self.writer

    def response_summary(self) -> tuple[int, str, int]:
        return self.writer.status, self.writer.end, len(self.pool.used)

    async def test_a_whole_stream_goes_through_unchanged(self) -> None:
        chunks = (b"".join(EVENTS)[:7], b"".join(EVENTS)[7:])
        await self.pass_through([FakeCall(HEAD, chunks)], **STREAM)
        self.assertEqual((self.response_summary(), self.writer.body), ((200, "whole", 1), b"".join(EVENTS)))
        self.assertEqual((self.writer.headers.get("Seal"), self.writer.headers.get("Connection")), ("s", None))
        self.assertEqual(self.pool.used[0].sent[0]["Tenant"], "t")

    async def test_a_cut_stream_never_looks_whole_and_runs_once(self) -> None:
        await self.pass_through([FakeCall(HEAD, (EVENTS[0], EVENTS[1][:3]), whole=False)], **STREAM)
        self.assertEqual((self.response_summary(), self.writer.body), ((200, "cut", 1), EVENTS[0]))

    async def test_a_stream_that_ends_inside_an_event_is_cut(self) -> None:
        await self.pass_through([FakeCall(HEAD, (EVENTS[0], EVENTS[1][:3]))], **STREAM)
        self.assertEqual(self.response_summary(), (200, "cut", 1))

    async def test_a_resumable_stream_goes_on_elsewhere_in_the_same_answer(self) -> None:
        truncated_call = FakeCall(HEAD, (EVENTS[0], EVENTS[1][:3]), whole=False)
        await self.pass_through([truncated_call, FakeCall(HEAD, tuple(EVENTS[1:]))], **RESUMABLE)
        self.assertEqual((self.response_summary(), self.writer.body), ((200, "whole", 2), b"".join(EVENTS)))
        self.assertEqual(self.pool.used[1].sent[0]["Last"], "1")
        self.assertEqual(self.selector.chosen, ["w1", "w2"])

    async def test_a_resumed_stream_that_fails_too_is_cut(self) -> None:
        truncated_call = FakeCall(HEAD, (EVENTS[0],), whole=False)
        for second in (FakeCall((503, "", HTTPHeaders())), FakeCall((500, "", HTTPHeaders())), FakeCall(None)):
            self.selector = FakeSelector()
            await self.pass_through([truncated_call, second], **RESUMABLE)
            self.assertEqual((self.response_summary(), self.writer.body), ((200, "cut", 2), EVENTS[0]))

    async def test_what_may_have_run_is_never_refused_nor_sent_again(self) -> None:
        for failing_call in (
            FakeCall(None),
            FakeCall((299, "", HTTPHeaders())),
            FakeCall(HEAD, late=True),
            FakeCall(HEAD, (b"part",), whole=False),
        ):
            self.selector = FakeSelector()
            await self.pass_through([failing_call, FakeCall(HEAD)])
            self.assertEqual(self.response_summary(), (502, "whole", 1))

    async def test_what_may_be_repeated_is_sent_again_within_its_tries(self) -> None:
        await self.pass_through([FakeCall(None), FakeCall(HEAD, (b"ok",))], repeatable=True)
        self.assertEqual((self.response_summary(), self.writer.body), ((200, "whole", 2), b"ok"))
        self.selector = FakeSelector()
        await self.pass_through([FakeCall(None), FakeCall(None), FakeCall(HEAD)], repeatable=True)
        self.assertEqual(self.response_summary(), (502, "whole", 2))

    async def test_turned_away_by_all_is_a_promise_that_it_did_not_run(self) -> None:
        rejecting_calls = [FakeCall((503, "", HTTPHeaders())), FakeCall((421, "", HTTPHeaders()))]
        await self.pass_through(list(rejecting_calls))
        self.assertEqual(self.response_summary(), (503, "whole", 2))
        self.selector = FakeSelector()
        await self.pass_through([FakeCall((503, "", HTTPHeaders())), FakeCall(HEAD)], tries=1)
        self.assertEqual(self.response_summary(), (503, "whole", 1), "at most `tries` workers get the request")

    async def test_turned_away_after_it_may_have_run_is_no_promise(self) -> None:
        await self.pass_through([FakeCall(None), FakeCall((503, "", HTTPHeaders()))], repeatable=True)
        self.assertEqual(self.response_summary(), (502, "whole", 2))

    async def test_a_dead_port_costs_no_try(self) -> None:
        await self.pass_through([None, FakeCall(HEAD, (b"ok",))], tries=1)
        self.assertEqual(self.response_summary(), (200, "whole", 1))

    async def test_a_choice_that_stands_no_more_sends_nothing(self) -> None:
        self.selector = FakeSelector()
        self.selector.is_choice_valid = False
        await self.pass_through([FakeCall(HEAD) for _ in range(9)])
        self.assertEqual(self.writer.status, 503)
        self.assertEqual([call.sent for call in self.pool.used], [[]] * len(self.pool.used))

    async def test_keys_and_routes_decide_and_public_ones_need_no_key(self) -> None:
        await self.pass_through([], key="other")
        self.assertEqual(self.response_summary(), (401, "whole", 0))
        await self.pass_through([], path="/b/x")
        self.assertEqual(self.response_summary(), (404, "whole", 0))
        await self.pass_through([FakeCall(HEAD, (b"ok",))], key="other", public=True)
        self.assertEqual(self.response_summary(), (200, "whole", 1))

    async def test_a_node_that_knows_nothing_yet_does_not_call_all_back_at_once(self) -> None:
        runtime, adapter = FakeRuntime(), RecordingAdapter()
        proxy = RequestProxy(
            runtime,
            FakeViewProvider(None),
            FakeSelector(),  # type: ignore[arg-type]
            WorkerLoadTracker(runtime),
            FakePool([]),  # type: ignore[arg-type]
            FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND),
            adapter,
            lambda: 1,
            lambda worker, head: None,
        )
        for number in range(50):
            writer = FakeResponseWriter()
            await proxy.serve(
                OpaqueRequest(f"id{number}", "POST", "/", "h", "/", HTTPHeaders(), b"", runtime.now()), writer
            )
            self.assertEqual(writer.status, 503)
        retry_delays = [
            refusal.retry_after_micros for refusal in adapter.refusals if refusal.kind is ErrorKind.NOT_CURRENT
        ]
        self.assertEqual(len(retry_delays), 50)
        self.assertTrue(1_000_000 <= min(retry_delays) and max(retry_delays) < 1_600_000, retry_delays)
        self.assertGreater(max(retry_delays) - min(retry_delays), 400_000)

    async def test_a_caller_without_the_time_to_come_back_is_held_until_the_node_knows(self) -> None:
        for wait_micros, known_micros, expected_result in (
            (2 * SECOND, 800_000, (404, 800_000)),
            (2 * SECOND, 5 * SECOND, (503, SECOND)),
            (600_000, 800_000, (503, 300_000)),
            (3 * SECOND, 800_000, (503, 0)),
            (0, 800_000, (503, 0)),
        ):
            runtime = AdvancingRuntime()
            began_micros = runtime.now()
            view_provider = DelayedViewProvider(make_view(), runtime, began_micros + known_micros)
            proxy = RequestProxy(
                runtime,
                view_provider,
                FakeSelector(),  # type: ignore[arg-type]
                WorkerLoadTracker(runtime),
                FakePool([]),  # type: ignore[arg-type]
                FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND),
                FakeProtocolAdapter(),
                lambda: 1,
                lambda worker, head: None,
            )
            writer = FakeResponseWriter()
            await proxy.serve(
                OpaqueRequest(
                    "id",
                    "POST",
                    "/",
                    "h",
                    "/",
                    HTTPHeaders(),
                    b"",
                    runtime.now(),
                    wait_micros=wait_micros,
                ),
                writer,
            )
            self.assertEqual((writer.status, runtime.now() - began_micros), expected_result)

    async def test_a_caller_without_the_time_to_come_back_is_held_until_a_worker_is_known(self) -> None:
        for wait_micros, expected_result in (
            (2 * SECOND, (200, 500_000)),
            (800_000, (503, 400_000)),
            (3 * SECOND, (503, 0)),
        ):
            runtime = AdvancingRuntime()
            began_micros = runtime.now()
            selector = DelayedSelector(runtime, began_micros + 500_000)
            proxy = RequestProxy(
                runtime,
                FakeViewProvider(make_view(**STREAM)),
                selector,  # type: ignore[arg-type]
                WorkerLoadTracker(runtime),
                FakePool([FakeCall(HEAD, tuple(EVENTS))]),  # type: ignore[arg-type]
                FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND),
                FakeProtocolAdapter(),
                lambda: 1,
                lambda worker, head: None,
            )
            writer = FakeResponseWriter()
            await proxy.serve(
                OpaqueRequest(
                    "id",
                    "POST",
                    "/a/x",
                    "h",
                    "/a/x",
                    HTTPHeaders(),
                    b"",
                    runtime.now(),
                    hash_key("k"),
                    wait_micros=wait_micros,
                ),
                writer,
            )
            self.assertEqual((writer.status, runtime.now() - began_micros), expected_result)

    async def test_a_read_is_over_for_others_however_its_request_ends(self) -> None:
        parts = (PromptPart("p0", 9_000), PromptPart("own", 10))
        for calls, kept in (
            ([FakeCall(HEAD, (b"".join(EVENTS),))], True),
            ([FakeCall(HEAD, (), whole=False)], False),
            ([FakeCall((503, "", HTTPHeaders()))], False),
            ([FakeCall(None, late=True)], False),
        ):
            self.selector = FakeSelector(missing_tokens=9_010)
            notes: list[ReadNote] = []
            await self.pass_through(list(calls), parts=parts, broadcast=notes.append, tries=1, **STREAM)
            self.assertEqual(len(notes), 2)
            self.assertTrue(notes[-1].is_over)
            self.assertEqual((notes[-1].is_kept, self.proxy.prefill_tracker.prefills), (kept, {}))

    async def test_a_workers_own_failure_is_passed_on(self) -> None:
        server_error = FakeCall((500, "Oh", HTTPHeaders({"Seal": "s"})), (b"why",))
        await self.pass_through([server_error, FakeCall(HEAD)])
        self.assertEqual((self.response_summary(), self.writer.body), ((500, "whole", 1), b"why"))


if __name__ == "__main__":
    unittest.main()
