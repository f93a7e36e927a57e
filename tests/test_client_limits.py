"""ClientConnectionManager: limits and timeouts for clients, on real loopback sockets with a manually advanced clock."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import unittest
from collections.abc import Callable
from typing import Any

from result import Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from pearhead.config.description import Limits
from pearhead.config.startup import StartupConfig
from pearhead.config.view import View
from pearhead.router.client_http_server import (
    OVERSIZED_HEAD_MARGIN_BYTES,
    ClientConnectionManager,
    ClientHttpServer,
    ClientLimits,
)
from pearhead.router.errors import ERROR_TABLE, Refusal
from pearhead.router.gateway import GatewayProcess, GatewaySettings
from pearhead.router.opaque_request import OpaqueRequest, ResponseWriter
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

LIMITS = ClientLimits(header_bytes=500, body_bytes=1_000, header_micros=3 * SECOND, idle_micros=15 * SECOND)
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
OK_HEAD = b"HTTP/1.1 200"
# Real-time timeout; only a failing test waits this long.
TIMEOUT_SECONDS = 5.0


class ManualTimer:
    def __init__(self, due_micros: int, callback: Callable[[], None]) -> None:
        self.due_micros = due_micros
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class ManualClock:
    """A clock that the test advances; due timers run in order of time."""

    def __init__(self) -> None:
        self.now_micros = 100 * SECOND
        self.timers: list[ManualTimer] = []

    def now(self) -> int:
        return self.now_micros

    def after(self, delay_micros: int, callback: Callable[[], None]) -> ManualTimer:
        self.timers.append(ManualTimer(self.now_micros + delay_micros, callback))
        return self.timers[-1]

    def advance(self, micros: int) -> None:
        end_micros = self.now_micros + micros
        while due := [t for t in self.timers if not t.is_cancelled and t.due_micros <= end_micros]:
            timer = min(due, key=lambda t: t.due_micros)
            self.timers.remove(timer)
            self.now_micros = max(self.now_micros, timer.due_micros)
            timer.callback()
        self.now_micros = end_micros


class PassthroughRequestParser:
    """A RequestParser that accepts any request."""

    def parse_request(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, arrived_micros: int
    ) -> Result[OpaqueRequest, Refusal]:
        return Ok(OpaqueRequest("", method, target, "h", target, headers, body, arrived_micros, "", 0, "", ()))

    def format_refusal(self, request: OpaqueRequest | None, refusal: Refusal) -> tuple[int, HTTPHeaders, bytes]:
        return ERROR_TABLE[refusal.kind].status, HTTPHeaders(), refusal.detail.encode()


class RawClient:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def socket_of(self) -> Any:
        return self.writer.get_extra_info("socket")

    async def answer(self) -> tuple[bytes, bytes]:
        """Returns the status line and body of the next response; both empty if the connection ended first."""
        try:
            head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS)
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            return head.partition(b"\r\n")[0], await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return b"", b""

    async def ask(self, request: bytes = GET) -> bytes:
        self.writer.write(request)
        return (await self.answer())[0]

    async def has_ended(self) -> bool:
        try:
            return await asyncio.wait_for(self.reader.read(1), TIMEOUT_SECONDS) == b""
        except ConnectionError:
            return True


def post(body: bytes, length: int | None = None) -> bytes:
    declared_length = len(body) if length is None else length
    return b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % declared_length + body


def head_of(size: int) -> bytes:
    start = b"GET /x HTTP/1.1\r\nHost: h\r\nPad: "
    return start + b"p" * (size - len(start) - 4) + b"\r\n\r\n"


class ClientLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.limits = LIMITS
        self.received_requests: list[OpaqueRequest] = []
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.manager = ClientConnectionManager(self.clock, PassthroughRequestParser(), self.serve, lambda: self.limits)
        self.server = ClientHttpServer(self.manager)
        bound_sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.port_number = bound_sockets[0].getsockname()[1]
        self.server.add_sockets(bound_sockets)
        self.callers: list[RawClient] = []

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.writer.close()
        self.server.stop()
        await self.server.close_all_connections()

    async def serve(self, request: OpaqueRequest, writer: ResponseWriter) -> None:
        self.received_requests.append(request)
        await self.may_respond.wait()
        writer.begin(200, "OK", HTTPHeaders({"Content-Length": "2"}))
        writer.write(b"ok")
        writer.finish()

    async def connect(self) -> RawClient:
        self.callers.append(RawClient(*await asyncio.open_connection("127.0.0.1", self.port_number)))
        return self.callers[-1]

    async def until(self, condition: Callable[[], bool]) -> None:
        """Runs the event loop until the condition holds; fails if that takes too many iterations."""
        for _ in range(100_000):
            if condition():
                return
            await asyncio.sleep(0)
        self.fail("the condition never held")

    async def test_a_head_up_to_the_limit_is_served_and_a_larger_one_is_told_so(self) -> None:
        caller = await self.connect()
        self.assertIn(OK_HEAD, await caller.ask(head_of(500)))
        self.assertIn(OK_HEAD, await caller.ask(head_of(500)), "a second one on the same connection")
        self.assertIn(b" 431 ", await caller.ask(head_of(501)))
        self.assertTrue(await caller.has_ended())
        self.assertEqual(len(self.received_requests), 2, "the rejected one did not run")

    async def test_a_head_without_end_is_told_so_and_not_read_for_ever(self) -> None:
        caller = await self.connect()
        caller.writer.write(head_of(500 + 2 * OVERSIZED_HEAD_MARGIN_BYTES)[:-4])
        self.assertIn(
            (await caller.answer())[0][:12], (b"HTTP/1.1 431", b""), "the answer is lost if more was sent than read"
        )
        self.assertTrue(await caller.has_ended())

    async def test_a_body_up_to_the_limit_is_served_and_a_larger_one_is_told_before_it_comes(self) -> None:
        caller = await self.connect()
        self.assertIn(OK_HEAD, await caller.ask(post(b"b" * 1_000)))
        self.assertIn(b" 413 ", await caller.ask(post(b"", length=1_001)))
        caller.writer.write(b"b" * 1_001)
        self.assertTrue(await caller.has_ended())
        self.assertEqual([len(r.body) for r in self.received_requests], [1_000])

    async def test_a_body_in_chunks_is_counted(self) -> None:
        start = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"1f4\r\n" + b"b" * 500 + b"\r\n"
        caller = await self.connect()
        self.assertIn(OK_HEAD, await caller.ask(start + 2 * chunk + b"0\r\n\r\n"))
        self.assertIn(b" 413 ", await caller.ask(start + 2 * chunk + b"1\r\nb\r\n" + b"0\r\n\r\n"))
        self.assertTrue(await caller.has_ended())
        self.assertEqual([len(r.body) for r in self.received_requests], [1_000])

    async def test_a_refused_head_request_has_no_body(self) -> None:
        caller = await self.connect()
        caller.writer.write(b"HEAD" + head_of(501)[3:])
        with self.assertNoLogs("tornado.application"):
            answer = await asyncio.wait_for(caller.reader.read(), TIMEOUT_SECONDS)
        self.assertIn(b" 431 ", answer)
        self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)

    async def test_limits_that_change_bind_connections_that_stand_and_drop_none(self) -> None:
        first, second = await self.connect(), await self.connect()
        for caller in (first, second):
            self.assertIn(OK_HEAD, await caller.ask())
        self.limits = ClientLimits(header_bytes=2_000, body_bytes=5_000)
        self.assertIn(OK_HEAD, await first.ask(head_of(2_000)), "a connection that was idle during the change")
        self.assertIn(OK_HEAD, await first.ask(post(b"b" * 5_000)))
        self.limits = LIMITS
        self.assertIn(OK_HEAD, await first.ask())
        self.assertIn(OK_HEAD, await second.ask())
        self.assertIn(b" 431 ", await first.ask(head_of(501)))
        self.assertIn(b" 413 ", await second.ask(post(b"", length=1_001)))

    async def test_an_idle_connection_ends_after_its_time_and_not_before(self) -> None:
        caller = await self.connect()
        self.assertIn(OK_HEAD, await caller.ask())
        for _ in range(3):
            await self.until(lambda: len(self.manager.idle_since) == 1)
            self.clock.advance(12 * SECOND)
            self.assertIn(OK_HEAD, await caller.ask(), "used again after four fifths of the idle timeout")
        await self.until(lambda: len(self.manager.idle_since) == 1)
        self.clock.advance(15 * SECOND - 1)
        self.assertIn(OK_HEAD, await caller.ask())
        await self.until(lambda: len(self.manager.idle_since) == 1)
        self.clock.advance(15 * SECOND)
        self.assertTrue(await caller.has_ended())

    async def test_each_connection_has_its_own_idle_time_which_may_change(self) -> None:
        early, late = await self.connect(), await self.connect()
        self.assertIn(OK_HEAD, await early.ask())
        await self.until(lambda: len(self.manager.idle_since) == 2)
        self.clock.advance(4 * SECOND)
        self.assertIn(OK_HEAD, await late.ask())
        await self.until(lambda: len(self.manager.idle_since) == 2)
        self.limits = ClientLimits(idle_micros=5 * SECOND)
        self.clock.advance(2 * SECOND)
        self.assertTrue(await early.has_ended())
        self.assertIn(OK_HEAD, await late.ask())
        self.limits = ClientLimits(idle_micros=50 * SECOND)
        await self.until(lambda: len(self.manager.idle_since) == 1)
        self.clock.advance(40 * SECOND)
        self.assertIn(OK_HEAD, await late.ask(), "a longer timeout applies to an open connection")

    async def test_a_head_that_takes_too_long_ends_its_connection_and_one_in_time_is_served(self) -> None:
        slow, steady = await self.connect(), await self.connect()
        for caller in (slow, steady):
            caller.writer.write(GET[:10])
        await self.until(lambda: len(self.manager.pending_heads) == 2)
        self.clock.advance(3 * SECOND - 1)
        self.assertIn(OK_HEAD, await steady.ask(GET[10:]))
        self.clock.advance(1)
        self.assertIn(b" 408 ", (await slow.answer())[0])
        self.assertTrue(await slow.has_ended())
        self.assertEqual(len(self.received_requests), 1)

    async def test_pieces_of_a_head_win_no_time(self) -> None:
        caller = await self.connect()
        for position in range(3):
            caller.writer.write(GET[position : position + 1])
            await self.until(lambda: [s._read_buffer_size for s in self.manager.pending_heads] == [position + 1])  # noqa: B023
            self.clock.advance(SECOND)
        self.assertIn(b" 408 ", (await caller.answer())[0])

    async def test_a_long_answer_and_a_slow_body_are_bound_by_neither_time(self) -> None:
        self.may_respond.clear()
        waiting, sending = await self.connect(), await self.connect()
        waiting.writer.write(GET)
        sending.writer.write(post(b"b", length=2))
        await self.until(
            lambda: len(self.received_requests) == 1 and not self.manager.pending_heads and not self.manager.idle_since
        )
        self.clock.advance(60 * SECOND)
        self.may_respond.set()
        sending.writer.write(b"b")
        for caller in (waiting, sending):
            self.assertIn(OK_HEAD, (await caller.answer())[0])

    async def test_a_request_that_lies_unread_in_the_kernel_keeps_its_connection(self) -> None:
        """As after a freeze of the process: the timeout has passed, and bytes that arrived meanwhile are unread."""
        caller, half = await self.connect(), await self.connect()
        self.assertIn(OK_HEAD, await caller.ask())
        half.writer.write(GET[:10])
        await self.until(lambda: len(self.manager.idle_since) == 1 and len(self.manager.pending_heads) == 1)
        caller.socket_of()._sock.send(GET)
        half.socket_of()._sock.send(GET[10:])
        self.clock.advance(20 * SECOND)
        self.assertIn(OK_HEAD, (await caller.answer())[0])
        self.assertIn(OK_HEAD, (await half.answer())[0])

    async def test_a_request_that_was_read_whole_but_not_taken_yet_keeps_its_connection(self) -> None:
        caller = await self.connect()
        self.assertIn(OK_HEAD, await caller.ask())
        await self.until(lambda: len(self.manager.idle_since) == 1)
        stream = next(iter(self.manager.idle_since))
        caller.socket_of()._sock.send(GET)
        stream._handle_read()
        self.assertEqual(len(self.received_requests), 1, "the request is read but not handled yet")
        self.clock.advance(60 * SECOND)
        self.assertIn(OK_HEAD, (await caller.answer())[0])

    async def test_nothing_is_held_of_connections_that_are_gone(self) -> None:
        for request in (b"", GET[:5], GET):
            caller = await self.connect()
            caller.writer.write(request)
            await self.until(lambda: bool(self.manager.idle_since or self.manager.pending_heads))
            caller.writer.close()
        await self.until(lambda: not self.manager.idle_since and not self.manager.pending_heads)
        self.clock.advance(2 * SECOND)
        self.assertEqual([t for t in self.clock.timers if not t.is_cancelled], [], "no timer runs without clients")


class LimitsInForceTest(unittest.IsolatedAsyncioTestCase):
    def view(self, index: int, limits: dict[str, Any]) -> View:
        body = json.dumps({"revision": index, "description": {"limits": limits}}).encode()
        return View(index, {**View().sections, "description": (index, body)})

    async def test_a_gateway_tells_those_of_the_description_last_known(self) -> None:
        startup = StartupConfig(address="a:1", httpAddress="a:2", area="a", seeds=["s:1"])
        unused: Any = None
        gateway = GatewayProcess(
            startup, GatewaySettings(), FakeRuntime(), FakeRuntime(), unused, unused, random.Random(1)
        )
        self.assertEqual(gateway.client_limits(), ClientLimits())
        gateway.view_replica.view = self.view(1, {"header_bytes": 16_384, "idle_micros": 15_000 * MILLI})
        self.assertEqual(gateway.client_limits(), ClientLimits(header_bytes=16_384, idle_micros=15 * SECOND))
        cached_limits = gateway.client_limits()
        gateway.view_replica.view = View(2, gateway.view_replica.view.sections)
        self.assertIs(gateway.client_limits(), cached_limits, "not parsed again when only other sections changed")
        gateway.view_replica.view = self.view(3, {})
        self.assertEqual(gateway.client_limits(), ClientLimits(), "limits removed from the description")

    def test_a_limit_that_is_not_told_keeps_its_default(self) -> None:
        self.assertEqual(ClientLimits.from_limits(Limits()), ClientLimits())
        self.assertEqual(ClientLimits.from_limits(Limits(header_micros=-1)), ClientLimits())
        limits = Limits(header_bytes=1, body_bytes=2, header_micros=3, idle_micros=4)
        self.assertEqual(ClientLimits.from_limits(limits), ClientLimits(1, 2, 3, 4))
