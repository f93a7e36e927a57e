"""RequestProxy and UpstreamPool against scripted workers on sockets: each caller gets the response to its own request.

Guards against a stray response on a kept connection that reaches another caller, and against a request that runs
twice or is reported as not run although it may have. The workers count as run each request that they read completely
and do not reject.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from pearhead.config.description import Description, Route, Service, Split, Tenant
from pearhead.config.view import View
from pearhead.router.errors import ErrorKind, Refusal
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.opaque_request import ForwardingMetadata, OpaqueRequest, ResponseVerdict
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.upstream_pool import CallLimits, UpstreamPool, is_idle_and_open
from pearhead.router.worker_control import Backend, LoadOrder, OrderOutcome
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_selector import WorkerChoice
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from platform_protocol_adapter import PlatformProtocolAdapter  # noqa: E402
from platform_worker_client import PlatformWorkerClient  # noqa: E402

TIMEOUT_SECONDS = 5
LARGE_BODY = b"x" * (8 * 1024 * 1024)
REPEATABLE: dict[str, Any] = {"repeatable": True}


@dataclass(frozen=True)
class Step:
    """What a worker does with one request.

    `read_share` is the share of the body that it reads before it ends the connection; `stray` are bytes sent before
    its response, or instead of it if `is_silent`; `after` are bytes sent after it.
    """

    status: int = 200
    is_not_run: bool = False
    is_reset: bool = False
    is_silent: bool = False
    read_share: float = 1.0
    stray: bytes = b""
    after: bytes = b""
    headers: str = ""


def answer(request_id: str, status: int = 200, headers: str = "", body: bytes = b"") -> bytes:
    body = body or f"for {request_id}".encode()
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\nX-Answer-Seal: s\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Worker:
    """Handles each request by the next step of its script, then with complete responses once that is used up.

    With `drops_idle`, a connection is reset when a further request arrives on it after a response.
    """

    script: list[Step] = field(default_factory=list)
    drops_idle: bool = False
    address: str = ""
    seen: list[str] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    connections: int = 0
    open_now: int = 0
    resets: int = 0
    open_most: int = 0
    server: asyncio.Server | None = None
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    hold: asyncio.Event | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve_connection, "127.0.0.1", 0, limit=2**16)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open_now += 1
        self.open_most = max(self.open_most, self.open_now)
        self.writers.append(writer)
        try:
            while await self.serve_request(reader, writer):
                if self.drops_idle:
                    await reader.readexactly(1)
                    return reset(writer)
        except (asyncio.IncompleteReadError, BrokenPipeError, asyncio.CancelledError):
            pass
        except ConnectionResetError:
            self.resets += 1
        finally:
            self.open_now -= 1
            writer.close()

    async def serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in head.split("\r\n")[1:-2])}
        request_id = fields.get("x-request-id", "")
        self.seen.append(request_id)
        step = self.script.pop(0) if self.script else Step()
        length = int(fields.get("content-length", "0"))
        await reader.readexactly(int(length * step.read_share))
        if step.read_share == 1.0 and not step.is_not_run:
            self.runs.append(request_id)
        if step.is_reset:
            reset(writer)
            return False
        if step.is_silent:
            writer.write(step.stray)
            await reader.read()
            return False
        if self.hold is not None:
            await self.hold.wait()
        headers = step.headers + ("X-Not-Run: 1\r\n" if step.is_not_run else "")
        writer.write(step.stray + answer(request_id, step.status, headers) + step.after)
        await writer.drain()
        return True


class RecordingWriter:
    def __init__(self) -> None:
        self.status, self.body, self.end = 0, b"", ""

    def begin(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        assert not self.status, "a second response head"
        self.status = status

    def write(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.end = "whole"

    def abort(self) -> None:
        self.end = "cut"

    def is_disconnected(self) -> bool:
        return False


class FirstUntriedSelector:
    """Chooses the first worker that was not tried yet."""

    def __init__(self, workers: list[Worker], capacity: int) -> None:
        self.workers = workers
        self.capacity = capacity

    def choose(self, view: View, route: Route, request: Any, tenant: Any, excluded: frozenset[str]) -> Result[Any, Any]:
        for number, worker in enumerate(self.workers):
            if f"w{number}" not in excluded:
                backend = Backend(f"w{number}", worker.address, "z", "s", self.capacity)
                return Ok(WorkerChoice(backend, "s", "", None, "", 0, 0, "", "", 1_000, 0))
        return Err(Refusal(ErrorKind.NO_WORKER))

    def knows_workers(self) -> bool:
        return True

    def is_still_valid(self, view: View, tenant: Tenant | None, request: OpaqueRequest, choice: WorkerChoice) -> bool:
        return True

    def expect_cached(self, *arguments: object) -> None:
        return None


class FixedViewProvider:
    def __init__(self, connection_limit: int, **fields: Any) -> None:
        route_fields = {"deadline_micros": 5 * SECOND, "tries": 2, "public": True, **fields}
        route = Route("r", "h", "/a/", [Split("s", 1)], **route_fields)
        self.current_view = View()
        service = Service("s", "application", connection_limit=connection_limit)
        self.current_view.__dict__["description"] = Description(routes=[route], services=[service])

    def view(self) -> View:
        return self.current_view


class NodeFixture:
    """One node and its workers. Its clock advances only when a test sets it."""

    def __init__(self, *workers: Worker, connection_limit: int = 0, nodes: int = 1, capacity: int = 4) -> None:
        self.workers = list(workers)
        self.runtime = FakeRuntime()
        self.pool = UpstreamPool(self.runtime)
        self.loads = WorkerLoadTracker(self.runtime)
        self.connection_limit = connection_limit
        self.nodes = nodes
        self.capacity = capacity
        self.budget = FleetRetryBudget(self.runtime, 0.2, 50, 10 * SECOND)

    async def __aenter__(self) -> NodeFixture:
        for worker in self.workers:
            await worker.start()
        return self

    async def __aexit__(self, *fault: object) -> None:
        for worker in self.workers:
            self.pool.remove_address(worker.address)
            assert worker.server is not None
            worker.server.close()
            for writer in worker.writers:
                writer.transport.abort()

    async def ask(self, request_id: str, body: bytes = b"b", method: str = "POST", **fields: Any) -> RecordingWriter:
        proxy = RequestProxy(
            self.runtime,
            FixedViewProvider(self.connection_limit, **fields),
            FirstUntriedSelector(self.workers, self.capacity),  # type: ignore[arg-type]
            self.loads,
            self.pool,
            self.budget,
            PlatformProtocolAdapter(),
            lambda: self.nodes,
            lambda worker, head: None,
        )
        headers = HTTPHeaders({"X-Request-Id": request_id, "Host": "h"})
        response = RecordingWriter()
        request = OpaqueRequest(request_id, method, "/a/x", "h", "/a/x", headers, body, self.runtime.now())
        await asyncio.wait_for(proxy.serve(request, response), TIMEOUT_SECONDS)
        return response

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0)

    def runs(self) -> list[str]:
        return [request_id for worker in self.workers for request_id in worker.runs]

    def seen(self) -> list[str]:
        return [request_id for worker in self.workers for request_id in worker.seen]


def response_summary(response: RecordingWriter) -> tuple[int, str, bytes]:
    return response.status, response.end, response.body if response.status == 200 else b""


class RightAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_too_many_in_the_place_of_the_next_reaches_nobody(self) -> None:
        late = answer("one")
        async with NodeFixture(Worker([Step(), Step(stray=late)])) as fixture:
            first, second, third = [await fixture.ask(name) for name in ("one", "two", "three")]
            self.assertEqual(response_summary(first), (200, "whole", b"for one"))
            self.assertEqual(second.status, 502, "its response can't be told apart from stray bytes")
            self.assertEqual(response_summary(third), (200, "whole", b"for three"))
            self.assertEqual(fixture.runs(), ["one", "two", "three"])
            self.assertEqual(fixture.workers[0].connections, 2)

    async def test_a_connection_whose_own_answer_is_still_due_is_not_kept(self) -> None:
        async with NodeFixture(Worker([Step(), Step(is_silent=True, stray=answer("one"))])) as fixture:
            await fixture.ask("one")
            self.assertEqual((await fixture.ask("two")).status, 502)
            self.assertEqual(
                (fixture.pool.idle.get(fixture.workers[0].address) or [], fixture.runs()), ([], ["one", "two"])
            )
            self.assertEqual(response_summary(await fixture.ask("three")), (200, "whole", b"for three"))

    async def test_an_answer_too_many_with_what_may_be_repeated_is_asked_elsewhere(self) -> None:
        late = answer("one")
        async with NodeFixture(Worker([Step(), Step(stray=late)]), Worker()) as fixture:
            await fixture.ask("one", **REPEATABLE)
            self.assertEqual(response_summary(await fixture.ask("two", **REPEATABLE)), (200, "whole", b"for two"))
            self.assertEqual(fixture.seen(), ["one", "two", "two"])

    async def test_a_late_word_that_another_did_not_run_is_no_promise_for_this_one(self) -> None:
        late = answer("one", 503, "X-Not-Run: 1\r\n")
        async with NodeFixture(Worker([Step(), Step(stray=late)]), Worker()) as fixture:
            await fixture.ask("one")
            self.assertEqual((await fixture.ask("two")).status, 502)
            self.assertEqual(fixture.runs(), ["one", "two"])

    async def test_a_word_about_another_request_says_nothing_of_this_one(self) -> None:
        """Statuses that promise that the request did not run, and a success, count only with the id of this request."""
        request = (
            PlatformProtocolAdapter()
            .parse_request("POST", "/a/x", HTTPHeaders({"X-Request-Id": "two"}), b"", 0)
            .unwrap()
        )
        metadata = ForwardingMetadata(800 * MILLI, "w1")
        for status, more in ((421, {}), (503, {"X-Not-Run": "full"}), (200, {"X-Answer-Seal": "s"})):
            headers = HTTPHeaders({"X-Request-Id": "one", **more})
            head = PlatformProtocolAdapter().read_response_head(request, metadata, status, "", headers)
            self.assertIs(head.verdict, ResponseVerdict.UNRECOGNIZED, status)
        own = HTTPHeaders({"X-Request-Id": "two", "X-Instance": "w2"})
        self.assertIs(
            PlatformProtocolAdapter().read_response_head(request, metadata, 421, "", own).verdict,
            ResponseVerdict.OTHER_WORKER,
        )

    async def test_what_follows_a_whole_answer_ends_its_connection_whenever_it_comes(self) -> None:
        for after in (b"stray", answer("one"), answer("two")):
            async with NodeFixture(Worker([Step(after=after)])) as fixture:
                self.assertEqual(response_summary(await fixture.ask("one")), (200, "whole", b"for one"))
                self.assertEqual(response_summary(await fixture.ask("two")), (200, "whole", b"for two"))
                self.assertEqual(fixture.workers[0].connections, 2)
            async with NodeFixture(Worker()) as fixture:
                await fixture.ask("one")
                kept = fixture.pool.idle[fixture.workers[0].address][0].stream
                fixture.workers[0].writers[0].write(after)
                await fixture.until(lambda kept=kept: not is_idle_and_open(kept))  # type: ignore[misc]
                self.assertEqual(response_summary(await fixture.ask("two")), (200, "whole", b"for two"))
                self.assertEqual(fixture.workers[0].connections, 2)

    async def test_callers_at_once_each_get_their_own(self) -> None:
        async with NodeFixture(Worker()) as fixture:
            names = [f"id{number}" for number in range(24)]
            for _ in range(3):
                responses = await asyncio.gather(*(fixture.ask(name) for name in names))
                self.assertEqual([response.body for response in responses], [f"for {name}".encode() for name in names])
            self.assertEqual(sorted(fixture.runs()), sorted(names * 3))

    async def test_a_worker_that_takes_its_time_to_say_no_is_asked_on_the_same_connection(self) -> None:
        async with NodeFixture(Worker([Step(status=503, is_not_run=True)] * 3), Worker()) as fixture:
            for name in ("one", "two", "three"):
                self.assertEqual(response_summary(await fixture.ask(name)), (200, "whole", f"for {name}".encode()))
            self.assertEqual(fixture.runs(), ["one", "two", "three"])
            self.assertEqual([worker.connections for worker in fixture.workers], [1, 1])


class OnceTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_may_not_be_repeated_is_never_sent_twice(self) -> None:
        """The connection, new or kept, fails after none, some or all of the bytes were read, or stays silent."""
        for step, body in (
            (Step(is_reset=True, read_share=0.0), LARGE_BODY),
            (Step(is_reset=True, read_share=0.01), LARGE_BODY),
            (Step(is_reset=True, read_share=0.9), LARGE_BODY),
            (Step(is_reset=True), LARGE_BODY),
            (Step(is_reset=True, read_share=0.0), b"small"),
            (Step(is_reset=True), b"small"),
            (Step(is_silent=True), b"small"),
        ):
            for before in ([], ["zero"]):
                async with NodeFixture(Worker([Step()] * len(before) + [step]), Worker()) as fixture:
                    for name in before:
                        await fixture.ask(name)
                    response = await fixture.ask("one", body, deadline_micros=300 * MILLI)
                    self.assertEqual((response.status, response.end), (502, "whole"), step)
                    self.assertEqual(fixture.seen(), [*before, "one"], step)
                    self.assertEqual(fixture.budget.retry_count, 0)

    async def test_a_port_that_is_dead_took_no_byte_so_another_worker_gets_it(self) -> None:
        async with NodeFixture(Worker(), Worker()) as fixture:
            assert fixture.workers[0].server is not None
            fixture.workers[0].server.close()
            self.assertEqual(response_summary(await fixture.ask("one")), (200, "whole", b"for one"))
            self.assertEqual(fixture.runs(), ["one"])

    async def test_what_may_be_repeated_is_tried_again_within_its_tries_and_the_budget(self) -> None:
        async with NodeFixture(*(Worker([Step(is_reset=True)] * 9) for _ in range(3))) as fixture:
            response = await fixture.ask("one", **REPEATABLE)
            self.assertEqual((response.status, fixture.seen()), (502, ["one", "one"]))
            fixture.budget.credits["s"] = (0.0, fixture.runtime.now())
            response = await fixture.ask("two", **REPEATABLE)
            self.assertEqual((response.status, fixture.seen().count("two")), (502, 1))

    async def test_what_was_turned_away_goes_on_and_runs_once(self) -> None:
        for status in (503, 429):
            async with NodeFixture(Worker([Step(status=status, is_not_run=True)]), Worker()) as fixture:
                self.assertEqual(response_summary(await fixture.ask("one")), (200, "whole", b"for one"))
                self.assertEqual((fixture.runs(), fixture.seen()), (["one"], ["one", "one"]))

    async def test_a_status_of_a_worker_that_ran_it_is_no_promise(self) -> None:
        for status in (408, 429, 503):
            for fields in ({}, {**REPEATABLE, "tries": 1}):
                async with NodeFixture(Worker([Step(status=status)]), Worker()) as fixture:
                    response = await fixture.ask("one", **fields)
                    self.assertEqual((response.status, fixture.runs()), (502, ["one"]), status)
        for status in (400, 404, 500, 504):
            async with NodeFixture(Worker([Step(status=status)]), Worker()) as fixture:
                self.assertEqual(((await fixture.ask("one")).status, fixture.runs()), (status, ["one"]))


class ForgottenTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_may_not_be_repeated_is_not_spent_on_a_connection_that_rested_long(self) -> None:
        async with NodeFixture(Worker(drops_idle=True)) as fixture:
            await fixture.ask("one")
            fixture.runtime.now_micros += 3 * SECOND
            self.assertEqual(response_summary(await fixture.ask("two")), (200, "whole", b"for two"))
            self.assertEqual((fixture.workers[0].connections, fixture.pool.reused_count), (2, 0))

    async def test_one_that_rested_little_or_that_may_be_lost_is_used(self) -> None:
        for rested_micros, fields in ((1_900 * MILLI, {}), (3 * SECOND, REPEATABLE)):
            async with NodeFixture(Worker()) as fixture:
                await fixture.ask("one")
                fixture.runtime.now_micros += rested_micros
                self.assertEqual((await fixture.ask("two", **fields)).status, 200)
                self.assertEqual((fixture.workers[0].connections, fixture.pool.reused_count), (1, 1))

    async def test_a_worker_that_forgot_one_costs_one_and_no_more_for_a_while(self) -> None:
        async with NodeFixture(Worker(drops_idle=True)) as fixture:
            await fixture.ask("one")
            fixture.runtime.now_micros += SECOND
            self.assertEqual((await fixture.ask("two")).status, 502, "it may have run")
            for name in ("three", "four", "five"):
                self.assertEqual(response_summary(await fixture.ask(name)), (200, "whole", f"for {name}".encode()))
                fixture.runtime.now_micros += SECOND
            self.assertEqual(fixture.runs(), ["one", "three", "four", "five"])

    async def test_a_worker_that_broke_off_in_full_use_is_not_taken_for_forgetful(self) -> None:
        async with NodeFixture(Worker([Step(), Step(is_reset=True)])) as fixture:
            await fixture.ask("one")
            fixture.runtime.now_micros += 10 * MILLI
            self.assertEqual((await fixture.ask("two")).status, 502)
            self.assertEqual(fixture.pool.early_close_bounds, {})


class ShareTest(unittest.IsolatedAsyncioTestCase):
    async def burst(self, fixture: NodeFixture, count: int) -> list[RecordingWriter]:
        """Sends requests at once; the workers respond only once all requests that may be sent have arrived."""
        held = [worker for worker in fixture.workers if worker.hold is not None]
        pending_requests = asyncio.gather(*(fixture.ask(f"id{number}") for number in range(count)))
        await fixture.until(lambda: len(fixture.seen()) >= count or pending_requests.done())
        for worker in held:
            assert worker.hold is not None
            worker.hold.set()
        return await pending_requests

    async def test_what_is_kept_stays_within_this_nodes_share(self) -> None:
        async with NodeFixture(Worker(hold=asyncio.Event()), connection_limit=50, nodes=10, capacity=20) as fixture:
            responses = await self.burst(fixture, 12)
            self.assertEqual(
                [response.status for response in responses], [200] * 12, "no request is delayed or refused"
            )
            address = fixture.workers[0].address
            self.assertEqual((len(fixture.pool.idle[address]), fixture.pool.open_count(address)), (4, 4))
            await fixture.until(lambda: fixture.workers[0].open_now == 4)

    async def test_idle_ones_make_way_for_a_new_one(self) -> None:
        async with NodeFixture(Worker(hold=asyncio.Event()), connection_limit=50, nodes=10) as fixture:
            await self.burst(fixture, 4)
            address = fixture.workers[0].address
            self.assertEqual(fixture.pool.open_count(address), 4)
            fixture.runtime.now_micros += 3 * SECOND
            hold = fixture.workers[0].hold
            assert hold is not None
            hold.clear()
            pending_requests = asyncio.create_task(fixture.ask("late"))
            await fixture.until(lambda: "late" in fixture.seen())
            self.assertEqual((fixture.pool.open_count(address), len(fixture.pool.idle[address])), (4, 3))
            hold.set()
            self.assertEqual((await pending_requests).status, 200)
            self.assertEqual((fixture.pool.open_count(address), len(fixture.pool.idle[address])), (4, 4))

    async def test_beyond_twice_its_places_a_request_goes_elsewhere_and_the_worker_does_not_rest(self) -> None:
        workers = [Worker(hold=asyncio.Event()), Worker(hold=asyncio.Event())]
        async with NodeFixture(*workers, connection_limit=50, nodes=10, capacity=4) as fixture:
            faults: list[str] = []
            fixture.loads.record_failure = faults.append  # type: ignore[method-assign, assignment]
            responses = await self.burst(fixture, 12)
            self.assertEqual([response.status for response in responses], [200] * 12)
            self.assertEqual([len(worker.seen) for worker in workers], [8, 4])
            self.assertEqual(faults, [])

    async def test_without_a_limit_none_is_held_to_a_share(self) -> None:
        async with NodeFixture(Worker(hold=asyncio.Event())) as fixture:
            await self.burst(fixture, 12)
            self.assertEqual(len(fixture.pool.idle[fixture.workers[0].address]), 12)

    async def test_a_connection_on_which_nothing_was_sent_is_still_good(self) -> None:
        async with NodeFixture(Worker()) as fixture:
            await fixture.ask("one")
            unused = (await fixture.pool.call(fixture.workers[0].address, CallLimits(SECOND))).unwrap()
            await unused.close()
            self.assertEqual((await fixture.ask("two")).status, 200)
            self.assertEqual(fixture.workers[0].connections, 1)


class OrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_order_whose_answer_is_lost_may_have_been_taken_and_is_sent_once(self) -> None:
        for step in (
            Step(is_reset=True, read_share=0.0),
            Step(is_reset=True, read_share=0.5),
            Step(is_reset=True),
            Step(is_silent=True),
            Step(status=503, is_not_run=True),
        ):
            async with NodeFixture(Worker([step])) as fixture:
                control = PlatformWorkerClient(fixture.workers[0].address)
                self.addCleanup(control.close)
                order = LoadOrder("w0", "line", 2, "n", 7)
                order_result = await control.send_load_order(
                    fixture.workers[0].address, order, lambda: True, 200 * MILLI
                )
                self.assertIsInstance(order_result, Err, step)
                self.assertEqual(len(fixture.seen()), 1, step)

    async def test_an_order_that_is_given_up_is_not_sent_on_by_the_kernel(self) -> None:
        """A reset drops undelivered data; after an orderly close it would be delivered once a broken link recovers."""
        async with NodeFixture(Worker([Step(is_silent=True)])) as fixture:
            control = PlatformWorkerClient(fixture.workers[0].address)
            self.addCleanup(control.close)
            order = LoadOrder("w0", "line", 2, "n", 7)
            order_result = await control.send_load_order(fixture.workers[0].address, order, lambda: True, 100 * MILLI)
            self.assertIsInstance(order_result, Err)
            await fixture.until(lambda: fixture.workers[0].open_now == 0)
            self.assertEqual(fixture.workers[0].resets, 1)

    async def test_an_order_never_uses_a_connection_that_may_hold_another_answer(self) -> None:
        async with NodeFixture(Worker([Step(status=202, after=answer("", 421))] * 2)) as fixture:
            control = PlatformWorkerClient(fixture.workers[0].address)
            self.addCleanup(control.close)
            order = LoadOrder("w0", "line", 2, "n", 7)
            for _ in range(2):
                order_result = await control.send_load_order(fixture.workers[0].address, order, lambda: True, SECOND)
                self.assertEqual(order_result, Ok(OrderOutcome.TAKEN))
            self.assertEqual(fixture.workers[0].connections, 2)

    async def test_an_answer_too_many_of_the_list_is_not_taken_for_the_next(self) -> None:
        """Otherwise each later call would return the list of the call before it."""
        whole = answer("", body=b'{"Servers": [], "NextPage": null}')

        async def serve(times: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            try:
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(whole * times)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                writer.close()

        for times in (1, 2):
            writers: list[asyncio.StreamWriter] = []
            server = await asyncio.start_server(partial(serve, times), "127.0.0.1", 0)
            control = PlatformWorkerClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
            self.assertEqual(await control.list_workers(SECOND), Ok([]))
            for kept in control.idle_connections.values():
                writers[0].write(whole)
                async with asyncio.timeout(TIMEOUT_SECONDS):
                    while is_idle_and_open(kept):
                        await asyncio.sleep(0)
            self.assertEqual((await control.list_workers(SECOND), len(writers)), (Ok([]), 2))
            control.close()
            server.close()


if __name__ == "__main__":
    unittest.main()
