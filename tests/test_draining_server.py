"""DrainingServer on loopback sockets, with a clock that the test sets.

Guards against requests that are broken off although the server has read them, and against a drain that waits for
callers that are gone or for longer than its limit.
"""

from __future__ import annotations

import asyncio
import socket
import unittest

from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.draining_server import DrainingServer
from tests.test_client_limits import GET, OK_HEAD, TIMEOUT_SECONDS, ManualClock, RawClient, post

CLOSE_LINE = b"\r\nConnection: close\r\n"
ROUNDS = 20


class SlowHandler(RequestHandler):
    def initialize(self, release: asyncio.Event) -> None:
        self.release = release

    async def get(self) -> None:
        await self.release.wait()
        self.finish("ok")

    async def post(self) -> None:
        await self.get()


class DrainingServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.release = asyncio.Event()
        self.release.set()
        self.server = DrainingServer(
            Application([("/x", SlowHandler, {"release": self.release})], log_function=lambda handler: None)
        )
        bound_sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.port_number = bound_sockets[0].getsockname()[1]
        self.server.add_sockets(bound_sockets)
        self.callers: list[RawClient] = []

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.writer.close()
        self.server.stop()
        await self.server.close_all_connections()

    async def connect(self) -> RawClient:
        self.callers.append(RawClient(*await asyncio.open_connection("127.0.0.1", self.port_number)))
        return self.callers[-1]

    async def advance_and_run(self, micros: int = 100 * MILLI) -> None:
        for _ in range(ROUNDS):
            self.clock.advance(micros // ROUNDS)
            await asyncio.sleep(0)

    async def read_to_end(self, caller: RawClient) -> bytes:
        return await asyncio.wait_for(caller.reader.read(), TIMEOUT_SECONDS)

    async def test_what_was_read_is_answered_and_idle_connections_are_closed(self) -> None:
        busy, idle, half_head, half_body = [await self.connect() for _ in range(4)]
        self.assertIn(OK_HEAD, await idle.ask())
        self.release.clear()
        busy.writer.write(GET)
        half_head.writer.write(GET[:9])
        half_body.writer.write(post(b"b", length=2))
        await self.advance_and_run()
        self.server.begin_drain()
        self.assertTrue(await idle.has_ended())
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", self.port_number)
        half_head.writer.write(GET[9:])
        half_body.writer.write(b"b")
        await self.advance_and_run()
        drain_task = asyncio.create_task(self.server.finish_drain(self.clock, SECOND))
        await self.advance_and_run()
        self.assertFalse(drain_task.done())
        self.release.set()
        await self.advance_and_run()
        self.assertTrue(drain_task.done(), "the drain goes on although no request is open")
        for caller in (busy, half_head, half_body):
            answer = await self.read_to_end(caller)
            self.assertIn(OK_HEAD, answer)
            self.assertIn(CLOSE_LINE, answer)

    async def test_it_waits_no_longer_than_its_limit(self) -> None:
        self.release.clear()
        (await self.connect()).writer.write(GET)
        await self.advance_and_run()
        self.server.begin_drain()
        drain_task = asyncio.create_task(self.server.finish_drain(self.clock, SECOND))
        await self.advance_and_run(900 * MILLI)
        self.assertFalse(drain_task.done())
        await self.advance_and_run(200 * MILLI)
        self.assertTrue(drain_task.done())
        self.release.set()

    async def test_a_caller_that_leaves_is_not_waited_for(self) -> None:
        self.release.clear()
        gone, half_body = await self.connect(), await self.connect()
        gone.writer.write(GET)
        half_body.writer.write(post(b"b", length=2))
        await self.advance_and_run()
        self.assertEqual(len(self.server.open_requests), 2)
        gone.writer.close()
        half_body.writer.close()
        await self.advance_and_run()
        self.assertEqual(len(self.server.open_requests), 0)
        self.release.set()


if __name__ == "__main__":
    unittest.main()
