"""Connection handling required by the platform's newest pages, on real sockets (docs/failures.md).

Guards against clients and workers that are held too long or cut too early, and against mixed-up responses.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from pearhead.config.description import Description, Route, Split, Tenant
from pearhead.config.tenant_key import hash_key
from pearhead.config.view import View
from pearhead.router.client_http_server import ClientConnectionManager, ClientHttpServer, ClientLimits
from pearhead.router.errors import Refusal
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.opaque_request import OpaqueRequest, ResponseWriter
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.upstream_pool import CallLimits, UpstreamPool
from pearhead.router.worker_control import Backend
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_selector import WorkerChoice
from pearhead.runtime.clock import MILLI, SECOND, BootClock
from pearhead.runtime.fake_runtime import FakeRuntime
from tests.test_client_limits import PassthroughRequestParser
from tests.test_request_proxy import (
    HEAD,
    FakeCall,
    FakePool,
    FakeProtocolAdapter,
    FakeResponseWriter,
    FakeSelector,
    FakeViewProvider,
    make_view,
)

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
LINGER_RESET = struct.pack("ii", 1, 0)
# More than the kernel's buffers at both ends can hold.
LONG_BODY = bytes(range(256)) * (48 * 1024)
DEADLINE_MICROS = 400 * MILLI
# The delay that the pages allow after a deadline, and after a client has disconnected.
ALLOWED_SECONDS = 0.5
TIMEOUT_SECONDS = 5.0

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS)


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Worker:
    """A worker that runs `serve` on each connection; `ended`: when its first connection ended (monotonic seconds)."""

    def __init__(self, serve: Serve) -> None:
        self.serve_connection = serve
        self.heads: list[bytes] = []
        self.ended: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    async def open(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            self.heads.append(await read_head(reader))
            await self.serve_connection(reader, writer)
            await reader.read()
        if not self.ended.done():
            self.ended.set_result(time.monotonic())
        writer.close()


async def stay_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    return None


async def begin_and_stop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD + encode_chunk(b"id: 1\ndata: x\n\n"))


async def go_on_for_ever(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(STREAM_HEAD)
    number = 0
    while not writer.is_closing() and not reader.at_eof():
        number += 1
        writer.write(encode_chunk(b"id: %d\ndata: x\n\n" % number))
        await asyncio.sleep(0.03)


class AddressSelector(FakeSelector):
    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address

    def choose(
        self, view: View, route: Route, request: OpaqueRequest, tenant: Tenant | None, excluded: frozenset[str]
    ) -> Result[WorkerChoice, Refusal]:
        backend = Backend("w1", self.address, "z", "s", 4, False, {}, 0)
        return Ok(WorkerChoice(backend, "s", "", None, "", 0, 0, "", "", 1_000, 0))


def make_proxy(address: str, stream: bool, deadline_micros: int) -> RequestProxy:
    route = Route("r", "h", "/", [Split("s", 1)], deadline_micros, stream=stream, public=True)
    view = View()
    view.__dict__["description"] = Description(routes=[route])
    clock = BootClock()
    selector: Any = AddressSelector(address)
    return RequestProxy(
        clock,
        FakeViewProvider(view),
        selector,
        WorkerLoadTracker(clock),
        UpstreamPool(clock),
        FleetRetryBudget(clock, 0.2, 50, 10 * SECOND),
        FakeProtocolAdapter(),
        lambda: 1,
        lambda worker, head: None,
    )


def fill_backlog() -> tuple[str, list[socket.socket]]:
    """Returns an address where connections are neither accepted nor refused, with the sockets that fill its backlog."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    return f"127.0.0.1:{listener.getsockname()[1]}", [listener, *fillers]


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    """CONFIG: a request unanswered at its route's deadline gets its final response within half a second."""

    async def serve_request(self, address: str, stream: bool) -> tuple[FakeResponseWriter, float]:
        proxy = make_proxy(address, stream, DEADLINE_MICROS)
        began, response_writer = time.monotonic(), FakeResponseWriter()
        request = OpaqueRequest("id", "GET", "/x", "h", "/x", HTTPHeaders(), b"", proxy.clock.now())
        await asyncio.wait_for(proxy.serve(request, response_writer), TIMEOUT_SECONDS)
        return response_writer, time.monotonic() - began

    async def test_a_final_answer_comes_at_the_deadline_whatever_the_worker_does(self) -> None:
        for behavior, stream, status, end in (
            (stay_silent, False, 502, "whole"),
            (stay_silent, True, 502, "whole"),
            (begin_and_stop, True, 200, "cut"),
            (go_on_for_ever, True, 200, "cut"),
            (go_on_for_ever, False, 502, "whole"),
        ):
            worker = Worker(behavior)
            response_writer, took_seconds = await self.serve_request(await worker.open(), stream)
            label = f"{behavior.__name__} stream={stream}"
            self.assertEqual((response_writer.status, response_writer.end), (status, end), label)
            self.assertGreaterEqual(took_seconds, DEADLINE_MICROS / SECOND - 0.02, label)
            self.assertLess(took_seconds, DEADLINE_MICROS / SECOND + ALLOWED_SECONDS, label)
            await asyncio.wait_for(worker.ended, ALLOWED_SECONDS)
            worker.server.close()

    async def test_a_worker_that_takes_no_connection_holds_nobody_past_the_deadline(self) -> None:
        address, held = fill_backlog()
        response_writer, took_seconds = await self.serve_request(address, False)
        self.assertIn(response_writer.status, (408, 503), "both statuses promise that it was sent to no worker")
        self.assertEqual(response_writer.end, "whole")
        self.assertLess(took_seconds, DEADLINE_MICROS / SECOND + ALLOWED_SECONDS)
        for opened in held:
            opened.close()


class ClosingClientTest(unittest.IsolatedAsyncioTestCase):
    """GONE: half a second after a client has closed, no worker is working for it, and none is sent its request."""

    async def asyncSetUp(self) -> None:
        self.ends: list[float] = []
        bound = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.port = bound[0].getsockname()[1]
        self.manager = ClientConnectionManager(BootClock(), PassthroughRequestParser(), self.serve, ClientLimits)
        self.server = ClientHttpServer(self.manager)
        self.server.add_sockets(bound)

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()

    async def serve(self, request: OpaqueRequest, response_writer: ResponseWriter) -> None:
        try:
            await self.proxy.serve(request, response_writer)
        finally:
            self.ends.append(time.monotonic())

    async def close_after(self, seconds: float) -> float:
        """Sends a request as a client and closes; returns when it closed (monotonic seconds)."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(seconds)
        writer.close()
        return time.monotonic()

    async def test_a_worker_at_work_is_let_go(self) -> None:
        for behavior, stream in ((stay_silent, False), (begin_and_stop, True), (go_on_for_ever, True)):
            worker = Worker(behavior)
            self.proxy = make_proxy(await worker.open(), stream, 60 * SECOND)
            closed = await self.close_after(0.15)
            ended = await asyncio.wait_for(worker.ended, TIMEOUT_SECONDS)
            self.assertEqual(len(worker.heads), 1)
            self.assertLess(ended - closed, ALLOWED_SECONDS, behavior.__name__)
            self.assertEqual(self.proxy.load_tracker.own_loads, {}, "its load was not released")
            worker.server.close()

    async def test_a_connection_to_a_worker_that_is_on_its_way_is_given_up(self) -> None:
        address, held = fill_backlog()
        self.proxy = make_proxy(address, False, 60 * SECOND)
        closed = await self.close_after(0.1)
        await asyncio.sleep(ALLOWED_SECONDS)
        self.assertEqual(len(self.ends), 1)
        self.assertLess(self.ends[0] - closed, ALLOWED_SECONDS)
        self.assertEqual(self.proxy.pool.open_count(address), 0)
        for opened in held:
            opened.close()

    async def test_one_that_waits_at_a_node_that_knows_nothing_yet_reaches_no_worker(self) -> None:
        worker = Worker(stay_silent)
        self.proxy = make_proxy(await worker.open(), False, 60 * SECOND)
        known, self.proxy.view_provider = self.proxy.view_provider, FakeViewProvider(None)
        self.manager.request_parser = ImpatientRequestParser()
        await self.close_after(0.1)
        self.proxy.view_provider = known
        await asyncio.sleep(ALLOWED_SECONDS)
        self.assertEqual((worker.heads, len(self.ends)), ([], 1))
        worker.server.close()


class ImpatientRequestParser(PassthroughRequestParser):
    """Its clients wait less time than a node needs to learn what is in force."""

    def parse_request(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, arrived_micros: int
    ) -> Result[OpaqueRequest, Refusal]:
        return Ok(
            OpaqueRequest("id", method, target, "h", target, headers, body, arrived_micros, hash_key("k"), 2 * SECOND)
        )


class HastyWorker:
    """A worker that answers once it has read a head, reads the body later, and keeps its connections open."""

    def __init__(self, read_on_after: float) -> None:
        self.read_on_after = read_on_after
        self.heads: list[bytes] = []
        self.received: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.heads.append(await read_head(reader))
        position = len(self.received)
        self.received.append(b"")
        writer.write(WHOLE)
        await asyncio.sleep(self.read_on_after)
        with suppress(ConnectionError):
            while piece := await asyncio.wait_for(reader.read(1 << 20), TIMEOUT_SECONDS):
                self.received[position] += piece
                if self.received[position].endswith(b"\r\n\r\n"):
                    writer.write(WHOLE)
        writer.close()


class LongBodyTest(unittest.IsolatedAsyncioTestCase):
    """UNASKED: a worker that answers before reading a long body gets the whole body, or nothing more.

    Otherwise the next request on a reused connection would be read as the rest of that body.
    """

    async def ask(self, pool: UpstreamPool, address: str, method: str, body: bytes) -> None:
        call = (await pool.call(address, CallLimits(SECOND))).unwrap()
        headers = HTTPHeaders({"Host": "h"})
        if body:
            headers["Content-Length"] = str(len(body))
        call.send(method, "/x", headers, body)
        found = await call.head(4 * SECOND)
        self.assertEqual(found[0] if found else None, 200)
        self.assertEqual(b"".join([chunk async for chunk in call.chunks(lambda: SECOND)]), b"ok")
        await call.close()

    async def test_no_other_bytes_come_where_the_rest_of_a_body_is_due(self) -> None:
        for body in (LONG_BODY, LONG_BODY[:70_000]):
            for read_on_after in (0.0, 0.02, 0.2):
                worker = HastyWorker(read_on_after)
                server = await asyncio.start_server(worker.serve, "127.0.0.1", 0, limit=4096)
                address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
                pool = UpstreamPool(FakeRuntime())
                await self.ask(pool, address, "POST", body)
                await self.ask(pool, address, "GET", b"")
                pool.remove_address(address)
                await asyncio.sleep(read_on_after + 0.1)
                server.close()
                self.assertTrue(worker.heads[0].startswith(b"POST"))
                body_start, rest = worker.received[0][: len(body)], worker.received[0][len(body) :]
                self.assertEqual(body_start, body[: len(body_start)], "other bytes inside the body")
                self.assertTrue(not rest or rest.startswith(b"GET /x HTTP/1.1\r\n"), rest[:40])
                self.assertEqual(len(worker.received) + bool(rest), 2, "the next request arrived exactly once")


class UnframedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """MIXED: a response without a length ends with its connection, and is complete unless that was reset."""

    async def ask(self, pieces: list[bytes], is_reset: bool, pause: float = 0.0) -> tuple[list[bytes], bool]:
        """Returns the pieces as they arrived, joined if they arrived together, and whether the response is complete."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(UNFRAMED_HEAD)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(pause)
            if is_reset:
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        pool = UpstreamPool(FakeRuntime())
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        call = (await pool.call(address, CallLimits(SECOND))).unwrap()
        call.send("GET", "/x", HTTPHeaders({"Host": "h"}), b"")
        await call.head(4 * SECOND)
        found = [chunk async for chunk in call.chunks(lambda: 4 * SECOND)]
        is_whole = call.is_whole()
        await call.close()
        self.assertFalse(pool.idle, "its connection is not reused")
        server.close()
        return found, is_whole

    async def test_one_that_is_reset_is_not_whole(self) -> None:
        for pieces in ([b"some"], [b"some", b"more"], []):
            found, is_whole = await self.ask(pieces, is_reset=True, pause=0.05)
            self.assertFalse(is_whole, pieces)

    async def test_one_whose_connection_is_closed_in_order_is_whole(self) -> None:
        for pieces in ([b"some"], [b"some", b"more"], []):
            found, is_whole = await self.ask(pieces, is_reset=False)
            self.assertEqual((b"".join(found), is_whole), (b"".join(pieces), True))

    async def test_its_pieces_are_passed_on_as_they_come(self) -> None:
        found, _ = await self.ask([b"some", b"more", b"and more"], is_reset=False, pause=0.1)
        self.assertEqual(found, [b"some", b"more", b"and more"])


class KeptConnectionTest(unittest.IsolatedAsyncioTestCase):
    """LOST: a forwarded request from a keep-alive connection is answered, whatever its worker does."""

    async def test_no_way_of_a_worker_to_fail_leaves_a_kept_connection_without_an_answer(self) -> None:
        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.close()

        def answer(data: bytes) -> Serve:
            async def write(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.write(data)
                writer.close()

            return write

        behaviors = (
            reset,
            answer(b""),
            answer(b"\x00\x01garbage\r\n\r\n"),
            answer(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
            answer(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
            answer(b"HTTP/1.1 204 No Content\r\n\r\n"),
            answer(b"HTTP/1.1 299 \xff\xfe\r\nX-Odd: \xe9\xff\r\nContent-Length: 0\r\n\r\n"),
            answer(b"HTTP/1.1 500 \xff\xfe\r\nX-Odd: \xe9\xff\r\nContent-Length: 2\r\n\r\nno"),
            answer(WHOLE + WHOLE),
        )
        bound = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        port = bound[0].getsockname()[1]
        proxies: list[RequestProxy] = []

        async def serve(request: OpaqueRequest, response_writer: ResponseWriter) -> None:
            await proxies[-1].serve(request, response_writer)

        server = ClientHttpServer(ClientConnectionManager(BootClock(), PassthroughRequestParser(), serve, ClientLimits))
        server.add_sockets(bound)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for stream in (False, True):
            for number, behavior in enumerate(behaviors):
                worker = Worker(behavior)
                proxies.append(make_proxy(await worker.open(), stream, 2 * SECOND))
                writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
                head = await read_head(reader)
                self.assertTrue(head.startswith(b"HTTP/1.1 "), (number, head))
                await self.read_body(reader, head)
                worker.server.close()
        writer.close()
        server.stop()
        await server.close_all_connections()

    async def read_body(self, reader: asyncio.StreamReader, head: bytes) -> None:
        lower = head.lower()
        if b"transfer-encoding: chunked" in lower:
            while size := int(await asyncio.wait_for(reader.readline(), TIMEOUT_SECONDS), 16):
                await reader.readexactly(size + 2)
            await reader.readline()
        elif b" 204 " not in head:
            await reader.readexactly(int(lower.partition(b"content-length: ")[2].partition(b"\r\n")[0]))


class PoolErrorTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_is_not_taken_is_an_error_and_nothing_stays_open(self) -> None:
        address, held = fill_backlog()
        pool = UpstreamPool(BootClock())
        result = await pool.call(address, CallLimits(100 * MILLI))
        self.assertIsInstance(result, Err)
        self.assertEqual(pool.open_count(address), 0)
        for opened in held:
            opened.close()


class ClosingWhileConnectingTest(unittest.IsolatedAsyncioTestCase):
    """GONE: a request whose client closed while the connection to its worker was being made is not forwarded."""

    async def test_nothing_is_sent_for_a_client_that_closed_while_its_worker_was_connected(self) -> None:
        runtime, response_writer = FakeRuntime(), ClosingResponseWriter()
        call = FakeCall(HEAD, (b"ok",))
        pool: Any = ClosingPool(response_writer, call)
        selector: Any = FakeSelector()
        proxy = RequestProxy(
            runtime,
            FakeViewProvider(make_view()),
            selector,
            WorkerLoadTracker(runtime),
            pool,
            FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND),
            FakeProtocolAdapter(),
            lambda: 1,
            lambda worker, head: None,
        )
        request = OpaqueRequest("id", "GET", "/a/x", "h", "/a/x", HTTPHeaders(), b"", runtime.now(), hash_key("k"))
        await proxy.serve(request, response_writer)
        self.assertEqual(len(call.sent), 0)
        self.assertTrue(call.is_closed)


class ClosingResponseWriter(FakeResponseWriter):
    is_closed = False

    def is_disconnected(self) -> bool:
        return self.is_closed


class ClosingPool(FakePool):
    """A pool whose connection is established just as the client closes, so that the cancellation has no effect."""

    def __init__(self, response_writer: ClosingResponseWriter, call: FakeCall) -> None:
        super().__init__([call])
        self.response_writer = response_writer

    async def call(self, address: str, limit_micros: int) -> Result[Any, str]:
        self.response_writer.is_closed = True
        found = await super().call(address, limit_micros)
        return Ok(found.unwrap())
