"""DrainingServer: real sockets on loopback, a clock that the test sets by hand."""

from __future__ import annotations

import asyncio
import socket
import unittest

from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.draining_server import DrainingServer
from tests.test_client_limits import GET, OK_HEAD, PATIENCE_SECONDS, Caller, HandClock, post

CLOSE_LINE = b"\r\nConnection: close\r\n"
ROUNDS = 20


class SlowHandler(RequestHandler):
    def initialize(self, go_on: asyncio.Event) -> None:
        self.go_on = go_on

    async def get(self) -> None:
        await self.go_on.wait()
        self.finish("ok")

    async def post(self) -> None:
        await self.get()


class DrainingServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = HandClock()
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.server = DrainingServer(
            Application([("/x", SlowHandler, {"go_on": self.go_on})], log_function=lambda handler: None)
        )
        bound_sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.port_number = bound_sockets[0].getsockname()[1]
        self.server.add_sockets(bound_sockets)
        self.callers: list[Caller] = []

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.writer.close()
        self.server.stop()
        await self.server.close_all_connections()

    async def connect(self) -> Caller:
        self.callers.append(Caller(*await asyncio.open_connection("127.0.0.1", self.port_number)))
        return self.callers[-1]

    async def settle(self, micros: int = 100 * MILLI) -> None:
        for _ in range(ROUNDS):
            self.clock.advance(micros // ROUNDS)
            await asyncio.sleep(0)

    async def all_of(self, caller: Caller) -> bytes:
        return await asyncio.wait_for(caller.reader.read(), PATIENCE_SECONDS)

    async def test_what_was_read_is_answered_and_idle_connections_are_closed(self) -> None:
        busy, idle, half, body = [await self.connect() for _ in range(4)]
        self.assertIn(OK_HEAD, await idle.ask())
        self.go_on.clear()
        busy.writer.write(GET)
        half.writer.write(GET[:9])
        body.writer.write(post(b"b", length=2))
        await self.settle()
        self.server.begin_drain()
        self.assertTrue(await idle.has_ended())
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", self.port_number)
        half.writer.write(GET[9:])
        body.writer.write(b"b")
        await self.settle()
        task = asyncio.create_task(self.server.finish_drain(self.clock, SECOND))
        await self.settle()
        self.assertFalse(task.done())
        self.go_on.set()
        await self.settle()
        self.assertTrue(task.done(), "nothing is open")
        for caller in (busy, half, body):
            answer = await self.all_of(caller)
            self.assertIn(OK_HEAD, answer)
            self.assertIn(CLOSE_LINE, answer)

    async def test_it_waits_no_longer_than_its_limit(self) -> None:
        self.go_on.clear()
        (await self.connect()).writer.write(GET)
        await self.settle()
        self.server.begin_drain()
        task = asyncio.create_task(self.server.finish_drain(self.clock, SECOND))
        await self.settle(900 * MILLI)
        self.assertFalse(task.done())
        await self.settle(200 * MILLI)
        self.assertTrue(task.done())
        self.go_on.set()

    async def test_a_caller_that_leaves_is_not_waited_for(self) -> None:
        self.go_on.clear()
        gone, half = await self.connect(), await self.connect()
        gone.writer.write(GET)
        half.writer.write(post(b"b", length=2))
        await self.settle()
        self.assertEqual(len(self.server.open_requests), 2)
        gone.writer.close()
        half.writer.close()
        await self.settle()
        self.assertEqual(len(self.server.open_requests), 0)
        self.go_on.set()


if __name__ == "__main__":
    unittest.main()
