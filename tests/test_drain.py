"""A front node's end after SIGTERM: real sockets on loopback, a clock that the test sets by hand."""

from __future__ import annotations

import asyncio
import socket
import unittest

from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from pearhead.router.drain import DrainSchedule, FrontDrain
from pearhead.router.edge import ClientLimits, ClientServer, RequestEdge
from pearhead.router.opaque import AnswerPen, OpaqueRequest
from pearhead.runtime.clock import MILLI, SECOND, rest
from tests.test_client_limits import GET, OK_HEAD, Caller, HandClock, PlainReader

GRACE_MICROS = 8 * SECOND
STEP_MICROS = 20 * MILLI
ROUNDS_EACH_STEP = 8


def get(path: str) -> bytes:
    return GET.replace(b"/x", path.encode())


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """`/N` works for N milliseconds at a worker."""

    async def asyncSetUp(self) -> None:
        self.clock = HandClock()
        self.taken: list[str] = []
        self.open_requests = 0
        self.edge = RequestEdge(self.clock, PlainReader(), self.serve, ClientLimits)
        self.server = ClientServer(self.edge)
        bound_sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.port_number = bound_sockets[0].getsockname()[1]
        self.server.add_sockets(bound_sockets)
        self.callers: list[Caller] = []
        schedule = DrainSchedule.of_grace(GRACE_MICROS)
        self.drain = FrontDrain(self.clock, schedule, self.edge, self.server, lambda: self.open_requests)

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.writer.close()
        self.server.stop()
        await self.server.close_all_connections()

    async def serve(self, request: OpaqueRequest, pen: AnswerPen) -> None:
        self.taken.append(request.path)
        self.open_requests += 1
        try:
            await rest(self.clock, int(request.path[1:]) * MILLI)
            pen.begin(200, "OK", HTTPHeaders({"Content-Length": "2"}))
            pen.write(b"ok")
            pen.finish()
        finally:
            self.open_requests -= 1

    async def connect(self) -> Caller:
        self.callers.append(Caller(*await asyncio.open_connection("127.0.0.1", self.port_number)))
        return self.callers[-1]

    async def pass_time(self, micros: int) -> None:
        for _ in range(micros // STEP_MICROS):
            self.clock.advance(STEP_MICROS)
            for _ in range(ROUNDS_EACH_STEP):
                await asyncio.sleep(0)

    async def drain_and_end(self) -> None:
        """The drain, and at once what the end of a process does to its connections."""
        await self.drain.run()
        for running in list(self.edge.tasks):
            running.cancel()
        await self.server.close_all_connections()

    async def test_a_request_on_a_kept_connection_late_in_a_drain_is_answered_or_left_unread(self) -> None:
        """As on the recorded day: a slow request keeps the process, another comes 5.5 s after SIGTERM."""
        slow, kept = await self.connect(), await self.connect()
        self.assertIn(OK_HEAD, await self.ask_now(kept, get("/0")))
        slow.writer.write(get("/6500"))
        await self.pass_time(100 * MILLI)
        task = asyncio.create_task(self.drain_and_end())
        await self.pass_time(5_500 * MILLI)
        kept.writer.write(get("/1000"))
        await self.pass_time(2 * SECOND)
        await task
        answer = (await kept.answer())[0]
        self.assertTrue(answer or "/1000" not in self.taken, "it was passed on and cut")

    async def ask_now(self, caller: Caller, request: bytes) -> bytes:
        """For what is answered without waiting."""
        answer = asyncio.create_task(caller.ask(request))
        await self.pass_time(100 * MILLI)
        return await answer


if __name__ == "__main__":
    unittest.main()
