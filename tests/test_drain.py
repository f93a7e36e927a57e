"""Drain of a router after SIGTERM, on real loopback sockets with a manually advanced clock.

Guards against accepted requests that are cut, and against requests sent to workers too late in the drain.
"""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import AsyncIterator, Callable
from typing import Any

from result import Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from pearhead.config.description import Description, Route, Split
from pearhead.config.view import View
from pearhead.router.client_http_server import ClientConnectionManager, ClientHttpServer, ClientLimits
from pearhead.router.drain import DrainCoordinator, DrainPhase, DrainSchedule, DrainState
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.lingering_close import LingeringSockets
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.runtime.clock import MILLI, SECOND, sleep_for
from tests.test_client_limits import OK_HEAD, TIMEOUT_SECONDS, ManualClock, PassthroughRequestParser, RawClient, post
from tests.test_request_proxy import FakeProtocolAdapter, FakeSelector, FakeViewProvider

GRACE_MICROS = 8 * SECOND
STEP_MICROS = 20 * MILLI
ROUNDS_EACH_STEP = 8
# "large" is more than the kernel buffers at once; "medium" is buffered completely.
LARGE_SIZES = {"large": 3 * 1024 * 1024, "medium": 100 * 1024}
CLOSE_LINE = b"\r\nConnection: close\r\n"
REFUSED_HEAD = b"HTTP/1.1 503"
EVENT = b"id: 1\ndata: x\n\n"


def get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


class WorkerCall:
    """A fake call that answers `/KIND/MILLIS` with a head after MILLIS milliseconds.

    Kinds: `turn` is rejected with 503, `stream` sends its head at once and completes after that time, `large` and
    `medium` have large bodies.
    """

    def __init__(self, worker: FakeWorker) -> None:
        self.worker = worker
        self.headers: HTTPHeaders | None = None
        self.kind = ""
        self.work_micros = 0
        self.is_over = False

    def send(self, method: str, target: str, headers: HTTPHeaders, body: bytes) -> None:
        self.worker.sent.append(target)
        _, self.kind, millis = target.split("/")
        self.work_micros = int(millis) * MILLI

    async def head(self, limit_micros: int) -> Any:
        if self.kind != "stream":
            await sleep_for(self.worker.clock, self.work_micros)
        status = 503 if self.kind == "turn" else 200
        return status, "", HTTPHeaders()

    async def chunks(self, limit: Callable[[], int]) -> AsyncIterator[bytes]:
        yield b"x" * LARGE_SIZES.get(self.kind, 0) or EVENT
        if self.kind == "stream":
            await sleep_for(self.worker.clock, self.work_micros)
        self.is_over = True

    def is_whole(self) -> bool:
        return self.is_over

    async def close(self) -> None:
        return None


class FakeWorker:
    """A connection pool with a single worker; `connect_micros`: how long connecting takes."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.sent: list[str] = []
        self.connect_micros = 0

    async def call(self, address: str, terms: Any) -> Result[Any, str]:
        if self.connect_micros:
            await sleep_for(self.clock, self.connect_micros)
        return Ok(WorkerCall(self))


def make_view() -> View:
    limits: dict[str, Any] = {"deadline_micros": 60 * SECOND, "tries": 3, "public": True}
    routes = [
        Route("whole", "h", "/", [Split("s", 1)], **limits),
        Route("stream", "h", "/stream/", [Split("s", 1)], stream=True, **limits),
    ]
    view = View()
    view.__dict__["description"] = Description(routes=routes)
    return view


class DrainCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.violations: list[str] = []
        self.state = DrainState(self.clock, DrainSchedule.for_grace_period(GRACE_MICROS), self.violations.append)
        self.worker = FakeWorker(self.clock)
        selector: Any = FakeSelector()
        pool: Any = self.worker
        self.proxy = RequestProxy(
            self.clock,
            FakeViewProvider(make_view()),
            selector,
            WorkerLoadTracker(self.clock),
            pool,
            FleetRetryBudget(self.clock, 0.2, 50, 10 * SECOND),
            FakeProtocolAdapter(),
            lambda: 1,
            lambda worker, head: None,
            drain=self.state,
        )
        self.manager = ClientConnectionManager(
            self.clock, PassthroughRequestParser(), self.proxy.serve, ClientLimits, self.state
        )
        self.server = ClientHttpServer(self.manager)
        bound_sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        self.port_number = bound_sockets[0].getsockname()[1]
        self.server.add_sockets(bound_sockets)
        self.callers: list[RawClient] = []
        self.drain = DrainCoordinator(self.state, self.server, self.proxy)

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.writer.close()
        self.server.stop()
        await self.server.close_all_connections()
        self.assertEqual(self.violations, [])

    async def connect(self) -> RawClient:
        self.callers.append(RawClient(*await asyncio.open_connection("127.0.0.1", self.port_number)))
        return self.callers[-1]

    async def advance(self, micros: int) -> None:
        for _ in range(micros // STEP_MICROS):
            self.clock.advance(STEP_MICROS)
            for _ in range(ROUNDS_EACH_STEP):
                await asyncio.sleep(0)

    async def drain_and_end(self) -> None:
        """Drains, then cancels and closes everything as the end of the process would."""
        await self.drain.run()
        for task in list(self.manager.tasks):
            task.cancel()
        await self.server.close_all_connections()

    def stop_process(self) -> asyncio.Task[None]:
        return asyncio.create_task(self.drain_and_end())

    async def connect_idle(self) -> RawClient:
        """Returns a client with an idle connection that has served a request."""
        caller = await self.connect()
        answer = asyncio.create_task(caller.ask(get("/whole/0")))
        await self.advance(100 * MILLI)
        self.assertIn(OK_HEAD, await answer)
        return caller

    async def read_to_end(self, caller: RawClient) -> bytes:
        """Reads a connection until it ends; empty after a reset."""
        try:
            return await asyncio.wait_for(caller.reader.read(), TIMEOUT_SECONDS)
        except ConnectionError:
            return b""


class DrainTest(DrainCase):
    async def test_a_request_on_a_kept_connection_late_in_a_drain_is_answered_or_left_unread(self) -> None:
        """As in a recorded incident: a slow request keeps the process alive, another arrives 5.5 s after SIGTERM."""
        slow, kept = await self.connect(), await self.connect_idle()
        slow.writer.write(get("/whole/6500"))
        await self.advance(100 * MILLI)
        task = self.stop_process()
        await self.advance(5_500 * MILLI)
        kept.writer.write(get("/whole/1000"))
        await self.advance(2 * SECOND)
        await task
        answer = await self.read_to_end(kept)
        self.assertTrue(answer or "/whole/1000" not in self.worker.sent, "it was sent to the worker and then cut")
        self.assertIn(OK_HEAD, await self.read_to_end(slow))

    async def test_in_the_handover_phase_requests_are_served_and_connections_end_with_their_answer(self) -> None:
        kept = await self.connect_idle()
        task = self.stop_process()
        await self.advance(2_600 * MILLI)
        fresh = await self.connect()
        for caller in (kept, fresh):
            caller.writer.write(get("/whole/3000"))
        await self.advance(2_900 * MILLI)
        self.assertFalse(task.done(), "accepted requests run to completion")
        await self.advance(200 * MILLI)
        self.assertTrue(task.done(), "nothing is open")
        for caller in (kept, fresh):
            answer = await self.read_to_end(caller)
            self.assertIn(OK_HEAD, answer)
            self.assertIn(CLOSE_LINE, answer)

    async def test_after_the_handover_idle_connections_and_the_listening_socket_are_closed(self) -> None:
        slow, kept, silent = await self.connect(), await self.connect_idle(), await self.connect()
        slow.writer.write(get("/whole/5000"))
        await self.advance(100 * MILLI)
        task = self.stop_process()
        await self.advance(2_680 * MILLI)
        await self.connect()
        await self.advance(60 * MILLI)
        for caller in (kept, silent):
            self.assertTrue(await caller.has_ended())
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", self.port_number)
        self.assertFalse(task.done())
        await self.advance(3 * SECOND)
        await task

    async def test_an_idle_process_stays_until_callers_have_left_and_then_ends_at_once(self) -> None:
        task = self.stop_process()
        await self.advance(2_680 * MILLI)
        self.assertFalse(task.done())
        await self.advance(60 * MILLI)
        self.assertTrue(task.done())

    async def test_what_had_begun_to_arrive_is_refused_and_not_sent(self) -> None:
        half, body, expects = await self.connect_idle(), await self.connect(), await self.connect()
        half.writer.write(get("/whole/1")[:9])
        body.writer.write(post(b"b", length=2))
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        expects.writer.write(head[:-2])
        await self.advance(100 * MILLI)
        sent_before = list(self.worker.sent)
        task = self.stop_process()
        await self.advance(3_200 * MILLI)
        self.assertFalse(task.done(), "the drain waits for requests that have begun to arrive")
        half.writer.write(get("/whole/1")[9:])
        body.writer.write(b"b")
        expects.writer.write(head[-2:])
        await self.advance(100 * MILLI)
        expects.writer.write(b"bb")
        for caller in (half, body, expects):
            answer = asyncio.create_task(self.read_to_end(caller))
            await self.advance(100 * MILLI)
            response = await answer
            self.assertTrue(response.startswith(REFUSED_HEAD), response)
            self.assertIn(CLOSE_LINE, response)
        self.assertEqual(self.worker.sent, sent_before)
        self.assertTrue(task.done(), "nothing is open")

    async def test_what_never_arrives_whole_is_refused_at_the_last_end(self) -> None:
        half, body = await self.connect(), await self.connect()
        half.writer.write(get("/whole/1")[:9])
        body.writer.write(post(b"b", length=2))
        task = self.stop_process()
        await self.advance(6_980 * MILLI)
        self.assertFalse(task.done())
        await self.advance(100 * MILLI)
        self.assertTrue(task.done())
        for caller in (half, body):
            self.assertTrue((await self.read_to_end(caller)).startswith(REFUSED_HEAD))

    async def test_a_connection_made_but_not_accepted_is_taken_before_the_listening_socket_closes(self) -> None:
        self.state.begin()
        self.clock.now_micros += 3 * SECOND
        with socket.create_connection(("127.0.0.1", self.port_number)) as early:
            early.sendall(get("/whole/1"))
            self.server.stop_accepting()
            early.setblocking(False)
            received = asyncio.create_task(asyncio.get_running_loop().sock_recv(early, 4_096))
            answer = await asyncio.wait_for(received, TIMEOUT_SECONDS)
        self.assertTrue(answer.startswith(REFUSED_HEAD), answer)
        self.assertEqual(self.worker.sent, [])

    async def test_at_the_last_end_all_get_a_final_answer_and_a_begun_one_is_cut(self) -> None:
        sent, waiting, begun = await self.connect(), await self.connect(), await self.connect()
        sent.writer.write(get("/whole/60000"))
        begun.writer.write(get("/stream/60000"))
        await self.advance(100 * MILLI)
        self.worker.connect_micros = 60 * SECOND
        waiting.writer.write(get("/whole/1"))
        task = self.stop_process()
        await self.advance(6_980 * MILLI)
        self.assertFalse(task.done(), "open requests are still served in the last sixth of the grace period")
        await self.advance(100 * MILLI)
        self.assertTrue(task.done())
        self.assertIn(b"HTTP/1.1 502", await self.read_to_end(sent))
        self.assertIn(REFUSED_HEAD, await self.read_to_end(waiting))
        stream = await self.read_to_end(begun)
        self.assertIn(EVENT, stream)
        self.assertFalse(stream.endswith(b"0\r\n\r\n"), "a cut response must not look complete")
        self.assertNotIn("/whole/1", self.worker.sent)

    async def test_after_the_handover_nothing_is_sent_anew(self) -> None:
        turned, late = await self.connect(), await self.connect()
        task = self.stop_process()
        await self.advance(2_500 * MILLI)
        turned.writer.write(get("/turn/400"))
        await self.advance(100 * MILLI)
        self.worker.connect_micros = 300 * MILLI
        late.writer.write(get("/whole/1"))
        await self.advance(500 * MILLI)
        for caller in (turned, late):
            self.assertIn(REFUSED_HEAD, await self.read_to_end(caller))
        self.assertEqual(self.worker.sent, ["/turn/400"])
        await task

    async def test_the_process_stays_until_a_slow_caller_has_its_answer(self) -> None:
        for kind in LARGE_SIZES:
            with self.subTest(kind):
                await self.check_slow_caller(kind)
                await self.asyncSetUp()

    async def check_slow_caller(self, kind: str) -> None:
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        slow.connect(("127.0.0.1", self.port_number))
        slow.sendall(get(f"/{kind}/1"))
        slow.setblocking(False)
        task = self.stop_process()
        await self.advance(5 * SECOND)
        self.assertFalse(task.done())
        self.assertEqual(self.proxy.open_count(), 0, "the response is written but not delivered")
        received = bytearray()
        while chunk := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(slow, 65_536), TIMEOUT_SECONDS):
            received += chunk
        slow.close()
        self.assertTrue(received.endswith(b"x"))
        self.assertEqual(received.count(b"x"), LARGE_SIZES[kind])
        await self.advance(100 * MILLI)
        self.assertTrue(task.done())

    async def test_of_pipelined_requests_the_first_is_answered_and_the_others_are_not_sent(self) -> None:
        caller = await self.connect()
        task = self.stop_process()
        caller.writer.write(get("/whole/100") + get("/whole/200"))
        await self.advance(3 * SECOND)
        answers = await self.read_to_end(caller)
        self.assertEqual((answers.count(OK_HEAD), answers.count(CLOSE_LINE)), (1, 1))
        self.assertEqual(self.worker.sent, ["/whole/100"])
        await task

    async def test_an_answer_that_ends_after_the_handover_keeps_no_connection(self) -> None:
        """The heads were sent before SIGTERM, without "Connection: close"; one client has sent its next request too."""
        caller, eager = await self.connect(), await self.connect()
        caller.writer.write(get("/stream/4000"))
        eager.writer.write(get("/stream/4000") + get("/whole/1"))
        await self.advance(100 * MILLI)
        task = self.stop_process()
        await self.advance(4 * SECOND)
        answer = await self.read_to_end(caller)
        self.assertNotIn(CLOSE_LINE, answer)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
        first, separator, second = (await self.read_to_end(eager)).partition(REFUSED_HEAD)
        self.assertTrue(first.endswith(b"0\r\n\r\n"), first)
        self.assertTrue(separator and CLOSE_LINE in second, "a completely read request is answered")
        self.assertNotIn("/whole/1", self.worker.sent)
        self.assertTrue(task.done())

    async def test_a_second_order_to_stop_ends_all_at_once_with_an_answer(self) -> None:
        sent, body = await self.connect(), await self.connect()
        sent.writer.write(get("/whole/60000"))
        body.writer.write(post(b"b", length=2))
        first = self.stop_process()
        await self.advance(500 * MILLI)
        second = asyncio.create_task(self.drain.end())
        await self.advance(100 * MILLI)
        self.assertTrue(second.done())
        self.assertIn(b"HTTP/1.1 502", await self.read_to_end(sent))
        self.assertIn(REFUSED_HEAD, await self.read_to_end(body))
        await self.advance(3 * SECOND)
        await first


class LingeringSocketsTest(unittest.TestCase):
    def test_a_connection_is_closed_when_its_last_bytes_are_delivered(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as peer:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            peer.connect(listener.getsockname())
            connection, _ = listener.accept()
            connection.setblocking(False)
            sent = 0
            try:
                while True:
                    sent += connection.send(b"x" * 65_536)
            except BlockingIOError:
                pass
            lingering = LingeringSockets()
            self.assertTrue(lingering.take_over(connection))
            # Data that the peer sends meanwhile must not reset the connection.
            peer.sendall(get("/late/1"))
            self.assertEqual(lingering.count(), 1)
            received = 0
            while chunk := peer.recv(65_536):
                received += len(chunk)
            self.assertEqual(received, sent)
            self.assertEqual(lingering.count(), 0)
            self.assertEqual(connection.fileno(), -1)

    def test_what_is_delivered_already_is_not_taken_over(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            with socket.create_connection(listener.getsockname()):
                connection, _ = listener.accept()
                with connection:
                    self.assertFalse(LingeringSockets().take_over(connection))


class DrainStateTest(unittest.TestCase):
    def test_the_schedule_follows_the_time_until_the_kill(self) -> None:
        usual = DrainSchedule.for_grace_period(8 * SECOND)
        self.assertEqual((usual.handover_micros, usual.end_micros), (2_700 * MILLI, 7 * SECOND))
        short = DrainSchedule.for_grace_period(4 * SECOND)
        self.assertEqual((short.handover_micros, short.end_micros), (1_500 * MILLI, 3_500 * MILLI))
        for grace_micros in (SECOND, 4 * SECOND, 8 * SECOND, 30 * SECOND):
            schedule = DrainSchedule.for_grace_period(grace_micros)
            self.assertLess(schedule.handover_micros, 3 * SECOND)
            self.assertGreater(schedule.end_micros, grace_micros * 5 // 6, "the forced end lies in the last sixth")
            left_micros = grace_micros - schedule.end_micros - schedule.flush_micros
            self.assertGreaterEqual(left_micros, min(750 * MILLI, grace_micros * 3 // 32), "time left for the teardown")

    def test_phases_go_by_time_alone(self) -> None:
        clock = ManualClock()
        state = DrainState(clock, DrainSchedule.for_grace_period(GRACE_MICROS))
        self.assertIs(state.phase(), DrainPhase.SERVING)
        state.begin()
        found = []
        for passed_micros in (0, 2_699 * MILLI, 2_700 * MILLI, 6_999 * MILLI, 7_000 * MILLI):
            clock.now_micros = 100 * SECOND + passed_micros
            state.begin()
            found.append(state.phase())
        handover, finishing = [DrainPhase.HANDOVER] * 2, [DrainPhase.FINISHING] * 2
        self.assertEqual(found, [*handover, *finishing, DrainPhase.ENDED])

    def test_the_invariant_is_told_when_it_is_broken_and_only_then(self) -> None:
        clock = ManualClock()
        violations: list[str] = []
        state = DrainState(clock, DrainSchedule.for_grace_period(GRACE_MICROS), violations.append)
        state.check_send("a")
        state.begin()
        clock.advance(2_699 * MILLI)
        state.check_send("b")
        state.check_end(0)
        self.assertEqual(violations, [])
        clock.advance(MILLI)
        state.check_send("c")
        state.check_end(2)
        self.assertEqual(
            violations, ["request c is sent to a worker while finishing", "2 requests are open at the end"]
        )


if __name__ == "__main__":
    unittest.main()
