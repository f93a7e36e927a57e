"""The order of a stream, from scripted workers through a node to a caller, all of them at real sockets.

An answer gives each event once and in order, joins a second run only after the last event that was given out, and
looks whole only if the framing of the run that ended it was complete.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from tornado.netutil import bind_sockets

from pearhead.config.description import Description, Limits, Route, Split
from pearhead.config.view import View
from pearhead.router.edge import ClientLimits, ClientServer, RequestEdge
from pearhead.router.fleet_budget import FleetBudget
from pearhead.router.gate import Gate
from pearhead.router.load_book import LoadBook
from pearhead.router.upstream import UpstreamPool
from pearhead.runtime.bench import Bench
from pearhead.runtime.clock import SECOND
from pearhead.testbed.emulator.wire import RawConnection, WireError
from tests.test_right_answer_once import InTurn, reset

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from front import PlatformDialect  # noqa: E402

PATIENCE_SECONDS = 5.0
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
    """One answer of a worker: its framing, the bytes after its head, or a function that makes them of the last event
    that the caller has, and whether it then resets its connection, ends it, or keeps it open."""

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
    """A whole answer that begins after the last event that the caller has."""
    return Run(lambda last_event: whole(events(last_event + 1, last, run)))


@dataclass
class ScriptedWorker:
    """Answers each request by the next run of its script. `asked`: the header `Last-Event-Id` of each."""

    script: list[Run]
    address: str = ""
    asked: list[str | None] = field(default_factory=list)
    on_request: Callable[[], None] = lambda: None
    server: asyncio.Server | None = None
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    connections: int = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.take, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.connections += 1
        try:
            while self.script and await self.answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in head.split("\r\n")[1:-2])}
        await reader.readexactly(int(headers.get("content-length", "0")))
        self.asked.append(headers.get("last-event-id"))
        run = self.script.pop(0)
        body = run.body_after(headers.get("last-event-id", ""))
        writer.write(run.head(headers["x-request-id"]) + body)
        await writer.drain()
        self.on_request()
        if run.is_reset:
            # What was written must be read before the reset, as that drops what still lies in the kernel.
            await asyncio.sleep(0.05)
            reset(writer)
        return not (run.is_reset or run.is_ended)


@dataclass(frozen=True)
class Received:
    """What a caller got: `end` is `whole` where the framing was complete, else `cut`."""

    status: int
    body: bytes
    end: str
    headers: dict[str, str] = field(default_factory=dict)


class ChangingView:
    """What is in force; a test may put another route in its place at any time."""

    def __init__(self, route: Route) -> None:
        self.put(route)

    def put(self, *routes: Route) -> None:
        self.held = View()
        self.held.__dict__["description"] = Description(routes=list(routes), limits=Limits())

    def view(self) -> View | None:
        return self.held


class StreamSite:
    """A node between a caller and workers; its clock stands still."""

    def __init__(self, *scripts: list[Run], route: Route = RESUMABLE) -> None:
        self.workers = [ScriptedWorker(list(script)) for script in scripts]
        self.current = ChangingView(route)
        self.placer: Any = InTurn(self.workers, 4)  # type: ignore[arg-type]
        self.bench = Bench()

    async def __aenter__(self) -> StreamSite:
        for worker in self.workers:
            await worker.start()
        bench, dialect = self.bench, PlatformDialect()
        self.pool = UpstreamPool(bench)
        budget = FleetBudget(bench, 0.2, 50, 10 * SECOND)
        self.gate = Gate(
            bench,
            self.current,
            self.placer,
            LoadBook(bench),
            self.pool,
            budget,
            dialect,
            lambda: 1,
            lambda worker, head: None,
        )
        self.edge = RequestEdge(bench, dialect, self.gate.serve, ClientLimits)
        self.server = ClientServer(self.edge)
        bound_sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.address = f"127.0.0.1:{bound_sockets[0].getsockname()[1]}"
        self.server.add_sockets(bound_sockets)
        return self

    async def __aexit__(self, *fault: object) -> None:
        self.server.stop()
        await self.server.close_all_connections()
        for worker in self.workers:
            self.pool.forget(worker.address)
            assert worker.server is not None
            worker.server.close()
            for writer in worker.writers:
                writer.transport.abort()

    async def ask(self, request_id: str = "one", last_event_id: str = "") -> Received:
        connection = RawConnection(self.address)
        await connection.open()
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
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
        """Nothing was given out yet, so the second run is the whole answer."""
        first = event(1, "a")
        for cut in range(len(first)):
            for is_reset in (False, True):
                broken = Run(chunk(first[:cut]), is_reset=is_reset, is_ended=not is_reset)
                async with StreamSite([broken], [continuing("b")]) as site:
                    received = await site.ask()
                self.assertEqual((received.end, received.body), ("whole", events(1, PIECES, "b")), first[:cut])

    async def test_a_part_of_a_later_event_is_not_joined_to_the_next_run(self) -> None:
        for cut in range(len(event(3))):
            broken = Run(chunk(events(1, 2) + event(3)[:cut]), is_reset=True)
            async with StreamSite([broken], [continuing("b")]) as site:
                received = await site.ask()
                asked = site.workers[1].asked
            self.assertEqual((received.end, received.body), ("whole", events(1, 2) + events(3, PIECES, "b")))
            self.assertEqual(asked, ["2"])


class ResumingCallerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_run_that_begins_anew_repeats_nothing_that_a_resuming_caller_has(self) -> None:
        async with StreamSite([Run(whole(events(1, PIECES)))]) as site:
            received = await site.ask(last_event_id="2")
        self.assertEqual((received.end, received.body), ("whole", events(3, PIECES)))


class ChangingRouteTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stream_is_not_joined_to_an_answer_of_another_kind_of_route(self) -> None:
        """The route that is in force after the cut decides: it must still be a stream that may be resumed."""
        for later in (
            replace(ROUTE, resumable=False),
            replace(ROUTE, stream=False, repeatable=True),
            replace(ROUTE, repeatable=True),
        ):
            broken = Run(chunk(events(1, 2)), is_reset=True)
            async with StreamSite([broken], [continuing("b")]) as site:
                site.workers[0].on_request = lambda: site.current.put(later)  # noqa: B023
                received = await site.ask()
                asked = site.workers[1].asked
            self.assertEqual((received.end, received.body, asked), ("cut", events(1, 2), []), later)
