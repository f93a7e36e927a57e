"""The order of a stream from scripted workers through a node to a caller, all on real sockets.

Guards against a streamed response that repeats, loses or mixes up events when a second worker continues it after a
failure, and against a truncated one that looks complete. A second run may only follow the last forwarded event.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import unittest
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from result import Result
from tornado.netutil import bind_sockets

from pearhead.config.description import Description, Limits, Route, Split, Tenant
from pearhead.config.tenant_key import hash_key
from pearhead.config.view import View
from pearhead.router.client_http_server import ClientConnectionManager, ClientHttpServer, ClientLimits
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.upstream_pool import UpstreamPool
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.runtime.clock import MILLI, SECOND, BootClock, Clock
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.testbed.emulator.raw_http import RawConnection, WireError
from tests.test_right_answer_once import FirstUntriedSelector, reset

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from platform_protocol_adapter import PlatformProtocolAdapter  # noqa: E402

TIMEOUT_SECONDS = 5.0
ROUTE = Route("r", "h", "/a/", [Split("s", 1)], 5 * SECOND, tries=2, public=True, stream=True)
RESUMABLE = replace(ROUTE, resumable=True)
CHUNKED = "Transfer-Encoding: chunked\r\n"
LAST_CHUNK = b"0\r\n\r\n"
PIECES = 5


def event(number: int, run: str = "a", newline: bytes = b"\n") -> bytes:
    return newline.join([b"id: %d" % number, b"data: %s/%d" % (run.encode(), number), b"", b""])


def events(first: int, last: int, run: str = "a") -> bytes:
    return b"".join(event(number, run) for number in range(first, last + 1))


def chunk(body: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(body), body) if body else b""


def whole(body: bytes) -> bytes:
    return chunk(body) + LAST_CHUNK


@dataclass(frozen=True)
class Run:
    """One response of a worker.

    `body` holds the bytes after its head, or a function that returns them for the number of the last event that the
    caller has. `is_reset` and `is_ended` say whether the worker then resets or ends its connection or keeps it open.
    """

    body: bytes | Callable[[int], bytes]
    framing: str = CHUNKED
    status: int = 200
    headers: str = ""
    is_reset: bool = False
    is_ended: bool = False

    def head(self, request_id: str) -> bytes:
        lines = f"HTTP/1.1 {self.status} X\r\nX-Request-Id: {request_id}\r\nX-Answer-Seal: seal\r\n"
        return f"{lines}{self.headers}{self.framing}\r\n".encode()

    def body_after(self, last_event_id: str) -> bytes:
        return self.body if isinstance(self.body, bytes) else self.body(int(last_event_id or 0))


def continuing(run: str, last: int = PIECES) -> Run:
    """A complete response that starts after the last event that the caller has."""
    return Run(lambda last_event: whole(events(last_event + 1, last, run)))


@dataclass
class ScriptedWorker:
    """Answers each request with the next run of its script, and never answers once the script is used up.

    `last_event_ids` holds the `Last-Event-Id` header of each request.
    """

    script: list[Run]
    address: str = ""
    last_event_ids: list[str | None] = field(default_factory=list)
    on_request: Callable[[], None] = lambda: None
    echoed_id: str = ""
    server: asyncio.Server | None = None
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    connections: int = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve_connection, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.connections += 1
        try:
            while await self.answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in head.split("\r\n")[1:-2])}
        await reader.readexactly(int(headers.get("content-length", "0")))
        self.last_event_ids.append(headers.get("last-event-id"))
        if not self.script:
            await reader.read()
            return False
        run = self.script.pop(0)
        body = run.body_after(headers.get("last-event-id", ""))
        writer.write(run.head(self.echoed_id or headers["x-request-id"]) + body)
        await writer.drain()
        self.on_request()
        if run.is_reset:
            # The written data must be read before the reset, which drops what is still buffered in the kernel.
            await asyncio.sleep(0.05)
            reset(writer)
        return not (run.is_reset or run.is_ended)


@dataclass(frozen=True)
class Received:
    """What a caller received: `end` is `whole` if the framing was complete, else `cut`."""

    status: int
    body: bytes
    end: str
    headers: dict[str, str] = field(default_factory=dict)


class ChangingViewProvider:
    """Provides the view in force, which a test may replace at any time."""

    def __init__(self, route: Route) -> None:
        self.put(route)

    def put(self, *routes: Route, tenants: Iterable[Tenant] = ()) -> None:
        self.current_view = View()
        description = Description(routes=list(routes), tenants=list(tenants), limits=Limits())
        self.current_view.__dict__["description"] = description

    def view(self) -> View | None:
        return self.current_view


class StreamFixture:
    """A node between a caller and scripted workers. Unless a clock is given, its time stands still."""

    def __init__(self, *scripts: list[Run], route: Route = RESUMABLE, clock: Clock | None = None) -> None:
        self.workers = [ScriptedWorker(list(script)) for script in scripts]
        self.current = ChangingViewProvider(route)
        self.selector: Any = FirstUntriedSelector(self.workers, 4)  # type: ignore[arg-type]
        self.runtime = clock or FakeRuntime()
        self.violations: list[str] = []

    async def __aenter__(self) -> StreamFixture:
        for worker in self.workers:
            await worker.start()
        runtime, adapter = self.runtime, PlatformProtocolAdapter()
        self.pool = UpstreamPool(runtime)
        budget = FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND)
        self.proxy = RequestProxy(
            runtime,
            self.current,
            self.selector,
            WorkerLoadTracker(runtime),
            self.pool,
            budget,
            adapter,
            lambda: 1,
            lambda worker, head: None,
            on_violation=self.violations.append,
        )
        self.connection_manager = ClientConnectionManager(runtime, adapter, self.proxy.serve, ClientLimits)
        self.server = ClientHttpServer(self.connection_manager)
        bound_sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.address = f"127.0.0.1:{bound_sockets[0].getsockname()[1]}"
        self.server.add_sockets(bound_sockets)
        return self

    async def __aexit__(self, *fault: object) -> None:
        self.server.stop()
        await self.server.close_all_connections()
        for worker in self.workers:
            self.pool.remove_address(worker.address)
            assert worker.server is not None
            worker.server.close()
            for writer in worker.writers:
                writer.transport.abort()

    async def ask(self, request_id: str = "one", last_event_id: str = "") -> Received:
        connection = RawConnection(self.address)
        await connection.open()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await self._exchange(connection, request_id, last_event_id)
        finally:
            connection.close()

    async def _exchange(self, connection: RawConnection, request_id: str, last_event_id: str) -> Received:
        headers = {"Host": "h", "X-Request-Id": request_id}
        if last_event_id:
            headers["Last-Event-Id"] = last_event_id
        await connection.send("POST", "/a/x", headers, b"b")
        try:
            head = await connection.read_head()
        except WireError:
            return Received(0, b"", "cut")
        body = b""
        try:
            async for part in connection.read_body(head):
                body += part
        except WireError:
            return Received(head.status, body, "cut", head.headers)
        return Received(head.status, body, "whole", head.headers)


class CutInsideAnEventTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_part_of_the_first_event_is_not_joined_to_the_next_run(self) -> None:
        """Nothing was forwarded yet, so the second run is the whole response."""
        first = event(1, "a")
        for cut in range(len(first)):
            for is_reset in (False, True):
                broken = Run(chunk(first[:cut]), is_reset=is_reset, is_ended=not is_reset)
                async with StreamFixture([broken], [continuing("b")]) as fixture:
                    received = await fixture.ask()
                self.assertEqual((received.end, received.body), ("whole", events(1, PIECES, "b")), first[:cut])

    async def test_a_part_of_a_later_event_is_not_joined_to_the_next_run(self) -> None:
        for cut in range(len(event(3))):
            broken = Run(chunk(events(1, 2) + event(3)[:cut]), is_reset=True)
            async with StreamFixture([broken], [continuing("b")]) as fixture:
                received = await fixture.ask()
                last_event_ids = fixture.workers[1].last_event_ids
            self.assertEqual((received.end, received.body), ("whole", events(1, 2) + events(3, PIECES, "b")))
            self.assertEqual(last_event_ids, ["2"])


class ResumingCallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_run_that_begins_anew_repeats_nothing_that_a_resuming_caller_has(self) -> None:
        async with StreamFixture([Run(whole(events(1, PIECES)))]) as fixture:
            received = await fixture.ask(last_event_id="2")
        self.assertEqual((received.end, received.body), ("whole", events(3, PIECES)))


class ChangingRouteTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stream_is_not_joined_to_an_answer_of_another_kind_of_route(self) -> None:
        """The route in force after the truncation decides: it must still be a resumable stream."""
        for new_route in (
            replace(ROUTE, resumable=False),
            replace(ROUTE, stream=False, repeatable=True),
            replace(ROUTE, repeatable=True),
        ):
            broken = Run(chunk(events(1, 2)), is_reset=True)
            async with StreamFixture([broken], [continuing("b")]) as fixture:
                fixture.workers[0].on_request = lambda: fixture.current.put(new_route)  # noqa: B023
                received = await fixture.ask()
                last_event_ids = fixture.workers[1].last_event_ids
            self.assertEqual((received.end, received.body, last_event_ids), ("cut", events(1, 2), []), new_route)

    async def test_a_stream_whose_route_or_key_is_gone_is_cut(self) -> None:
        tenant = Tenant("t", [hash_key("k")])
        for routes, tenants in (((), ()), ((replace(RESUMABLE, public=False),), (tenant,))):
            broken = Run(chunk(events(1, 2)), is_reset=True)
            async with StreamFixture([broken], [continuing("b")]) as fixture:
                fixture.workers[0].on_request = lambda: fixture.current.put(*routes, tenants=tenants)  # noqa: B023
                received = await fixture.ask()
                last_event_ids = fixture.workers[1].last_event_ids
            self.assertEqual((received.end, received.body, last_event_ids), ("cut", events(1, 2), []))

    async def test_a_stream_goes_on_at_another_service_or_with_other_times(self) -> None:
        for new_route in (
            replace(RESUMABLE, splits=[Split("other", 1)]),
            replace(RESUMABLE, deadline_micros=3 * SECOND),
            replace(RESUMABLE, name="other"),
        ):
            broken = Run(chunk(events(1, 2)), is_reset=True)
            async with StreamFixture([broken], [continuing("b")]) as fixture:
                fixture.workers[0].on_request = lambda: fixture.current.put(new_route)  # noqa: B023
                received = await fixture.ask()
            self.assertEqual((received.end, received.body), ("whole", events(1, 2) + events(3, PIECES, "b")))


class ViolationTest(unittest.IsolatedAsyncioTestCase):
    """A run that breaks the sequence ends there; its earlier events stay forwarded, and another run continues them."""

    async def answer(self, *scripts: list[Run], route: Route = RESUMABLE) -> tuple[str, bytes, list[str]]:
        async with StreamFixture(*scripts, route=route) as fixture:
            received = await fixture.ask()
            return received.end, received.body, fixture.violations

    async def test_an_event_that_comes_twice_ends_its_run(self) -> None:
        repeating_run = Run(whole(events(1, 2) + events(2, PIECES)))
        found = await self.answer([repeating_run], route=ROUTE)
        self.assertEqual(found, ("cut", events(1, 2), ["stream_id_not_rising"]))
        found = await self.answer([repeating_run], [continuing("b")])
        self.assertEqual(found, ("whole", events(1, 2) + events(3, PIECES, "b"), ["stream_id_not_rising"]))

    async def test_a_run_that_begins_later_than_it_was_asked_to_is_not_joined(self) -> None:
        broken = Run(chunk(events(1, 3)), is_reset=True)
        for first in range(5, 8):
            found = await self.answer([broken], [Run(whole(events(first, 9, "b")))])
            self.assertEqual(found, ("cut", events(1, 3), ["stream_gap"]), first)

    async def test_a_run_that_begins_earlier_is_joined_after_what_was_given(self) -> None:
        broken = Run(chunk(events(1, 3)), is_reset=True)
        for first in range(1, 5):
            found = await self.answer([broken], [Run(whole(events(first, PIECES, "b")))])
            self.assertEqual(found, ("whole", events(1, 3) + events(4, PIECES, "b"), []), first)

    async def test_a_run_with_other_events_is_not_joined(self) -> None:
        """The second run splits the output into other events, so none of them ends at the last forwarded one."""
        broken = Run(chunk(event(3) + event(5)), is_reset=True)
        other = Run(whole(event(2, "b") + event(4, "b") + event(6, "b")))
        found = await self.answer([broken], [other])
        self.assertEqual(found, ("cut", event(3) + event(5), ["stream_position_missed"]))

    async def test_a_run_that_ends_before_the_position_does_not_end_the_answer(self) -> None:
        broken = Run(chunk(events(1, 3)), is_reset=True)
        found = await self.answer([broken], [Run(whole(events(1, 2, "b")))])
        self.assertEqual(found, ("cut", events(1, 3), ["stream_position_missed"]))

    async def test_after_a_part_of_an_event_at_least_one_more_must_come(self) -> None:
        broken = Run(chunk(events(1, 3) + b"id: 4\nda"), is_reset=True)
        found = await self.answer([broken], [Run(whole(b""))])
        self.assertEqual(found, ("cut", events(1, 3), ["stream_ended_early"]))

    async def test_all_events_without_the_end_is_completed_by_a_run_that_has_none_left(self) -> None:
        broken = Run(chunk(events(1, PIECES)), is_reset=True)
        found = await self.answer([broken], [continuing("b")])
        self.assertEqual(found, ("whole", events(1, PIECES), []))

    async def test_events_without_a_position_are_passed_on_and_never_joined(self) -> None:
        for event_without_position in (
            b"data: x\n\n",
            b"id: a\ndata: x\n\n",
            b"id: \xb2\ndata: x\n\n",
            b"id:\ndata: x\n\n",
        ):
            found = await self.answer([Run(whole(event_without_position * 2))], route=ROUTE)
            self.assertEqual(found, ("whole", event_without_position * 2, []))
            found = await self.answer(
                [Run(chunk(event_without_position), is_reset=True)], [Run(whole(event_without_position))]
            )
            self.assertEqual(found, ("cut", event_without_position, []))
            found = await self.answer([Run(chunk(event(1)), is_reset=True)], [Run(whole(event_without_position))])
            self.assertEqual(found, ("cut", event(1), ["stream_position_unknown"]))

    async def test_comments_have_no_place_in_the_order(self) -> None:
        comment = b": still here\n\n"
        broken = Run(chunk(comment), is_reset=True)
        found = await self.answer([broken], [Run(whole(comment + events(1, PIECES, "b")))])
        self.assertEqual(found, ("whole", comment * 2 + events(1, PIECES, "b"), []))
        broken = Run(chunk(event(1) + comment), is_reset=True)
        found = await self.answer([broken], [Run(whole(comment + events(2, PIECES, "b")))])
        self.assertEqual(found, ("whole", event(1) + comment + events(2, PIECES, "b"), []))

    async def test_a_violation_before_anything_was_given_is_no_promise(self) -> None:
        async with StreamFixture([Run(whole(event(1)))], route=ROUTE) as fixture:
            received = await fixture.ask(last_event_id="3")
        self.assertEqual((received.status, fixture.violations), (502, ["stream_position_missed"]))


class FramingTest(unittest.IsolatedAsyncioTestCase):
    """No response looks complete unless the framing of a worker's run was complete."""

    BROKEN = (
        Run(chunk(events(1, PIECES)), is_ended=True),
        Run(chunk(events(1, PIECES)), is_reset=True),
        Run(chunk(events(1, PIECES)) + b"0\r\n", is_ended=True),
        Run(chunk(events(1, PIECES)) + b"0\r\nX", is_ended=True),
        Run(chunk(events(1, PIECES)) + b"zz\r\n", is_ended=True),
        Run(chunk(events(1, PIECES))[:-2] + b"XX", is_ended=True),
        Run(events(1, PIECES) + b"id: 6\ndata: b", framing="", is_ended=True),
        Run(events(1, PIECES), framing="", is_reset=True),
        Run(events(1, PIECES), framing="Connection: close\r\n", is_reset=True),
        Run(events(1, PIECES), framing="Content-Length: 1000\r\n", is_ended=True),
        Run(events(1, PIECES), framing="Content-Length: 1000\r\n", is_reset=True),
        Run(events(1, PIECES), framing="Content-Length: -1\r\n", is_ended=True),
        Run(events(1, PIECES), framing=f"Content-Length: 5\r\n{CHUNKED}", is_ended=True),
        Run(events(1, PIECES), framing="Transfer-Encoding: gzip\r\n", is_ended=True),
        Run(whole(events(1, PIECES) + b"id: 6\ndata: b")),
        Run(whole(events(1, PIECES) + b"id: 6\ndata: b\n")),
        Run(events(1, PIECES), framing="Content-Length: 40\r\n", is_ended=True),
    )

    async def test_what_is_not_whole_does_not_look_so(self) -> None:
        for run in self.BROKEN:
            async with StreamFixture([run], route=ROUTE) as fixture:
                received = await fixture.ask()
            self.assertTrue(received.end == "cut" or received.status == 502, run)
            if received.status == 200:
                self.assertTrue(events(1, PIECES).startswith(received.body), run)

    async def test_what_is_not_whole_is_completed_by_another_run_where_that_may_be(self) -> None:
        for run in self.BROKEN:
            async with StreamFixture([run], [continuing("b", PIECES + 1)]) as fixture:
                received = await fixture.ask()
            numbers = [line for line in received.body.splitlines() if line.startswith(b"id: ")]
            self.assertEqual(numbers, [b"id: %d" % number for number in range(1, PIECES + 2)], run)
            self.assertEqual(received.end, "whole")

    async def test_each_complete_framing_is_whole(self) -> None:
        body = events(1, PIECES)
        for run in (
            Run(whole(body)),
            Run(whole(body), is_ended=True),
            Run(whole(body), headers="Connection: close\r\n", is_ended=True),
            Run(body, framing=f"Content-Length: {len(body)}\r\n"),
            Run(body, framing="", is_ended=True),
            Run(body, framing="Connection: close\r\n", is_ended=True),
            Run(b"".join(chunk(body[at : at + 1]) for at in range(len(body))) + LAST_CHUNK),
        ):
            async with StreamFixture([run], route=ROUTE) as fixture:
                received = await fixture.ask()
            self.assertEqual((received.end, received.body), ("whole", body), run)
            self.assertNotIn("content-length", received.headers)

    async def test_what_follows_a_stream_reaches_no_other_request(self) -> None:
        stray = Run(whole(event(1, "x"))).head("two") + whole(event(1, "x"))
        for body in (whole(events(1, 2)) + stray, whole(events(1, 2)) + event(3)):
            async with StreamFixture([Run(body), Run(whole(events(1, 3)))], route=ROUTE) as fixture:
                first = await fixture.ask("one")
                second = await fixture.ask("two")
                connections = fixture.workers[0].connections
            self.assertEqual((first.end, first.body), ("whole", events(1, 2)))
            self.assertEqual((second.end, second.body, connections), ("whole", events(1, 3), 2))

    async def test_a_connection_is_kept_after_a_whole_stream_and_not_after_a_cut_one(self) -> None:
        answer = Run(whole(events(1, 3)))
        async with StreamFixture([answer, answer], route=ROUTE) as fixture:
            self.assertEqual([(await fixture.ask(name)).end for name in ("one", "two")], ["whole"] * 2)
            self.assertEqual(fixture.workers[0].connections, 1)
        repeating_run = Run(whole(event(1) + event(1)) + chunk(event(2)))
        async with StreamFixture([repeating_run, answer], route=ROUTE) as fixture:
            self.assertEqual([(await fixture.ask(name)).end for name in ("one", "two")], ["cut", "whole"])
            self.assertEqual(fixture.workers[0].connections, 2)


class JoinedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_joined_answer_keeps_the_head_and_stamp_of_its_first_worker(self) -> None:
        broken = Run(chunk(events(1, 2)), headers="X-Weight-Versions: 3\r\n", is_reset=True)
        second = replace(continuing("b"), headers="X-Weight-Versions: 4\r\nX-Other: 1\r\n")
        async with StreamFixture([broken], [second]) as fixture:
            received = await fixture.ask()
        self.assertEqual((received.end, received.headers["x-weight-versions"]), ("whole", "3"))
        self.assertEqual((received.headers["x-answer-seal"], "x-other" in received.headers), ("seal", False))

    async def test_an_answer_goes_on_by_the_last_event_of_a_resuming_caller(self) -> None:
        broken = Run(lambda last: chunk(events(last + 1, 4)), is_reset=True)
        async with StreamFixture([broken], [continuing("b", 6)]) as fixture:
            received = await fixture.ask(last_event_id="2")
            last_event_ids = [worker.last_event_ids for worker in fixture.workers]
        self.assertEqual((received.end, received.body), ("whole", events(3, 4) + events(5, 6, "b")))
        self.assertEqual(last_event_ids, [["2"], ["4"]])

    async def test_a_run_without_an_event_hands_the_callers_own_position_on(self) -> None:
        async with StreamFixture([Run(b"", is_reset=True)], [continuing("b")]) as fixture:
            received = await fixture.ask(last_event_id="2")
            last_event_ids = [worker.last_event_ids for worker in fixture.workers]
        self.assertEqual((received.end, received.body), ("whole", events(3, PIECES, "b")))
        self.assertEqual(last_event_ids, [["2"], ["2"]])

    async def test_the_position_of_a_caller_goes_on_where_nothing_may_be_resumed(self) -> None:
        """The route is no longer resumable; the request runs once, from the position that the caller requested."""
        async with StreamFixture([continuing("a")], [continuing("b")], route=ROUTE) as fixture:
            received = await fixture.ask(last_event_id="2")
            last_event_ids = [worker.last_event_ids for worker in fixture.workers]
        self.assertEqual((received.end, received.body, last_event_ids), ("whole", events(3, PIECES), [["2"], []]))

    async def test_an_answer_is_joined_as_often_as_its_route_has_tries(self) -> None:
        broken = Run(lambda last: chunk(event(last + 1)), is_reset=True)
        for tries, end, last in ((1, "cut", 1), (2, "cut", 2), (3, "whole", PIECES)):
            route = replace(RESUMABLE, tries=tries)
            async with StreamFixture([broken], [broken], [continuing("a")], route=route) as fixture:
                received = await fixture.ask()
            self.assertEqual((received.end, received.body), (end, events(1, last)), tries)

    async def test_a_worker_that_turns_the_second_run_away_leaves_it_to_the_next(self) -> None:
        broken = Run(chunk(events(1, 2)), is_reset=True)
        rejecting_run = Run(b"", framing="Content-Length: 0\r\n", status=503, headers="X-Not-Run: 1\r\n")
        error_run = Run(b"oops", framing="Content-Length: 4\r\n", status=500)
        for second_run in (rejecting_run, error_run):
            route = replace(RESUMABLE, tries=3)
            async with StreamFixture([broken], [second_run], [continuing("b")], route=route) as fixture:
                received = await fixture.ask()
            self.assertEqual((received.end, received.body), ("whole", events(1, 2) + events(3, PIECES, "b")))

    async def test_a_late_answer_to_another_request_is_not_joined(self) -> None:
        broken = Run(chunk(events(1, 2)), is_reset=True)
        foreign_run = replace(Run(whole(events(3, 9, "x"))), is_ended=True)
        async with StreamFixture([broken], [foreign_run], route=RESUMABLE) as fixture:
            fixture.workers[1].echoed_id = "another"
            received = await fixture.ask()
        self.assertEqual((received.end, received.body), ("cut", events(1, 2)))

    async def test_both_kinds_of_line_ends_and_ids_on_any_line(self) -> None:
        unusual_events = [
            b"x-weight-versions: 4\nid: 1\ndata: a\n\n",
            b"x-weight-versions: 5\r\nid:2\r\ndata: id: 9\r\ndata:id: 9\r\n\r\n",
            b"data: a\nid: 3\n\n",
            b"id: 1\nid: 4\ndata: a\n\n",
        ]
        async with StreamFixture([Run(chunk(b"".join(unusual_events)), is_reset=True)], [continuing("b")]) as fixture:
            received = await fixture.ask()
            last_event_ids = fixture.workers[1].last_event_ids
        self.assertEqual(
            (received.end, received.body, last_event_ids), ("whole", b"".join(unusual_events) + event(5, "b"), ["4"])
        )


class VersionedSelector(FirstUntriedSelector):
    """Chooses the first worker that was not tried yet, with the version of its weights."""

    def __init__(self, workers: list[Any], versions: tuple[int, ...]) -> None:
        super().__init__(workers, 4)
        self.version_of = {f"w{number}": version for number, version in enumerate(versions)}

    def choose(self, view: View, route: Route, request: Any, tenant: Any, excluded: frozenset[str]) -> Result[Any, Any]:
        chosen = super().choose(view, route, request, tenant, excluded)
        return chosen.map(lambda choice: replace(choice, version=self.version_of[choice.backend.name]))


class VersionTest(unittest.IsolatedAsyncioTestCase):
    async def runs_at(self, *versions: int, first: Run) -> tuple[str, list[int]]:
        """Returns how a response ended and how many requests each worker got; the workers have the given versions."""
        async with StreamFixture([first], *[[continuing("b")] for _ in versions[1:]]) as fixture:
            fixture.proxy.selector = VersionedSelector(fixture.workers, versions)  # type: ignore[assignment]
            received = await fixture.ask()
            return received.end, [len(worker.last_event_ids) for worker in fixture.workers]

    async def test_a_begun_answer_does_not_go_back_to_older_weights(self) -> None:
        broken = Run(chunk(events(1, 2)), is_reset=True)
        self.assertEqual(await self.runs_at(3, 2, 3, first=broken), ("whole", [1, 0, 1]))
        self.assertEqual(await self.runs_at(3, 2, 4, first=broken), ("whole", [1, 0, 1]))
        self.assertEqual(await self.runs_at(3, 2, first=broken), ("cut", [1, 0]))

    async def test_what_a_worker_tells_of_its_weights_counts_before_what_it_was_asked_for(self) -> None:
        """The weights may change during a run; the first event of the new weights announces this in its first line."""
        newer_event = b"x-weight-versions: 4\n" + event(2)
        for changed in (
            Run(chunk(event(1) + newer_event), headers="X-Weight-Versions: 3\r\n", is_reset=True),
            Run(chunk(events(1, 2)), headers="X-Weight-Versions: 4\r\n", is_reset=True),
        ):
            self.assertEqual(await self.runs_at(3, 3, 4, first=changed), ("whole", [1, 0, 1]))
            self.assertEqual(await self.runs_at(3, 3, first=changed), ("cut", [1, 0]))

    async def test_a_run_that_tells_older_weights_than_it_was_asked_for_is_not_joined(self) -> None:
        broken = Run(chunk(events(1, 2)), headers="X-Weight-Versions: 4\r\n", is_reset=True)
        older = Run(whole(events(3, PIECES, "b")), headers="X-Weight-Versions: 3\r\n")
        async with StreamFixture([broken], [older]) as fixture:
            fixture.proxy.selector = VersionedSelector(fixture.workers, (4, 4))  # type: ignore[assignment]
            received = await fixture.ask()
        self.assertEqual(
            (received.end, received.body, fixture.violations), ("cut", events(1, 2), ["stream_version_went_back"])
        )

    async def test_an_event_whose_weights_go_back_within_a_run_ends_it(self) -> None:
        older_event = b"x-weight-versions: 3\n" + event(3)
        run = Run(whole(events(1, 2) + older_event + events(4, PIECES)), headers="X-Weight-Versions: 4\r\n")
        async with StreamFixture([run], route=ROUTE) as fixture:
            received = await fixture.ask()
        self.assertEqual(
            (received.end, received.body, fixture.violations), ("cut", events(1, 2), ["stream_version_went_back"])
        )

    async def test_an_answer_that_gave_nothing_out_may_begin_on_any_weights(self) -> None:
        self.assertEqual(await self.runs_at(3, 2, 3, first=Run(b"", is_reset=True)), ("whole", [1, 1, 0]))


class TimeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stream_that_falls_silent_is_cut_at_its_deadline(self) -> None:
        """The second worker gets no request, and the response does not look complete."""
        silent = Run(chunk(events(1, 2) + event(3)[:5]))
        route = replace(RESUMABLE, deadline_micros=200 * MILLI)
        async with StreamFixture([silent], [continuing("b")], route=route, clock=BootClock()) as fixture:
            received = await fixture.ask()
            last_event_ids = fixture.workers[1].last_event_ids
        self.assertEqual((received.end, received.body, last_event_ids), ("cut", events(1, 2), []))

    async def test_a_caller_that_reads_slowly_gets_all_in_order(self) -> None:
        body = b"".join(b"id: %d\ndata: %s\n\n" % (number, b"x" * 50_000) for number in range(1, 81))
        async with StreamFixture([Run(whole(body))], route=ROUTE) as fixture:
            connection = RawConnection(fixture.address)
            await connection.open()
            await connection.send("POST", "/a/x", {"Host": "h", "X-Request-Id": "one"}, b"b")
            head = await connection.read_head()
            received = b""
            async for part in connection.read_body(head):
                received += part
                await asyncio.sleep(0.002)
            connection.close()
        self.assertEqual(received, body)


class HttpOneZeroTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_cut_answer_without_framing_ends_by_a_reset(self) -> None:
        """Without chunked framing, an orderly close of the connection means that the response is complete."""
        for run, is_whole in ((Run(whole(events(1, 2))), True), (Run(chunk(events(1, 2)), is_reset=True), False)):
            async with StreamFixture([run], route=ROUTE) as fixture:
                host, port = fixture.address.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /a/x HTTP/1.0\r\nHost: h\r\nX-Request-Id: one\r\n\r\n")
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    if is_whole:
                        self.assertTrue((await reader.read()).endswith(events(1, 2)))
                    else:
                        with self.assertRaises(ConnectionResetError):
                            await reader.read()
                writer.close()
