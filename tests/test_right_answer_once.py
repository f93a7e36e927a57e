"""The right answer to the right caller, once: a node's gate and its connections against scripted workers at sockets.

What ran is counted by the workers: whatever they read whole they count as run unless they say that it did not.
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

from pearhead.config.description import Description, Route, Service, Split
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
from platform_worker_client import PlatformWorkerClient  # noqa: E402
from request_dialect import PlatformDialect  # noqa: E402

PATIENCE_SECONDS = 5
LARGE_BODY = b"x" * (8 * 1024 * 1024)
REPEATABLE: dict[str, Any] = {"repeatable": True}


@dataclass(frozen=True)
class Step:
    """What a worker does with one request. `read_share`: how much of its body it reads before it ends the
    connection; `stray`: bytes before its answer, or before its silence; `after`: bytes behind it."""

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
    """Takes a step of its script for each request, and whole answers when it is over. `forgets`: what comes on a
    connection after an answer is reset unread."""

    script: list[Step] = field(default_factory=list)
    forgets: bool = False
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
        self.server = await asyncio.start_server(self.take, "127.0.0.1", 0, limit=2**16)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open_now += 1
        self.open_most = max(self.open_most, self.open_now)
        self.writers.append(writer)
        try:
            while await self.take_one(reader, writer):
                if self.forgets:
                    await reader.readexactly(1)
                    return reset(writer)
        except (asyncio.IncompleteReadError, BrokenPipeError, asyncio.CancelledError):
            pass
        except ConnectionResetError:
            self.resets += 1
        finally:
            self.open_now -= 1
            writer.close()

    async def take_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
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


class Pen:
    def __init__(self) -> None:
        self.status, self.body, self.end = 0, b"", ""

    def begin(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        assert not self.status, "two heads"
        self.status = status

    def write(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.end = "whole"

    def abort(self) -> None:
        self.end = "cut"

    def is_gone(self) -> bool:
        return False


class InTurn:
    """Places each try at the first worker that it did not see."""

    def __init__(self, workers: list[Worker], capacity: int) -> None:
        self.workers = workers
        self.capacity = capacity

    def choose(self, view: View, route: Route, request: Any, tenant: Any, excluded: frozenset[str]) -> Result[Any, Any]:
        for number, worker in enumerate(self.workers):
            if f"w{number}" not in excluded:
                backend = Backend(f"w{number}", worker.address, "z", "s", self.capacity)
                return Ok(WorkerChoice(backend, "s", "", None, "", 0, 0, "", "", 1_000))
        return Err(Refusal(ErrorKind.NO_WORKER))

    def knows_workers(self) -> bool:
        return True

    def is_still_valid(self, view: View, choice: WorkerChoice) -> bool:
        return True

    def expect_cached(self, *told: object) -> None:
        return None


class FixedView:
    def __init__(self, connection_limit: int, **fields: Any) -> None:
        told = {"deadline_micros": 5 * SECOND, "tries": 2, "public": True, **fields}
        route = Route("r", "h", "/a/", [Split("s", 1)], **told)
        self.held = View()
        service = Service("s", "application", connection_limit=connection_limit)
        self.held.__dict__["description"] = Description(routes=[route], services=[service])

    def view(self) -> View:
        return self.held


class Site:
    """One node and its workers. Its clock stands still between requests."""

    def __init__(self, *workers: Worker, connection_limit: int = 0, nodes: int = 1, capacity: int = 4) -> None:
        self.workers = list(workers)
        self.bench = FakeRuntime()
        self.pool = UpstreamPool(self.bench)
        self.loads = WorkerLoadTracker(self.bench)
        self.connection_limit = connection_limit
        self.nodes = nodes
        self.capacity = capacity
        self.budget = FleetRetryBudget(self.bench, 0.2, 50, 10 * SECOND)

    async def __aenter__(self) -> Site:
        for worker in self.workers:
            await worker.start()
        return self

    async def __aexit__(self, *fault: object) -> None:
        for worker in self.workers:
            self.pool.forget(worker.address)
            assert worker.server is not None
            worker.server.close()
            for writer in worker.writers:
                writer.transport.abort()

    async def ask(self, request_id: str, body: bytes = b"b", method: str = "POST", **fields: Any) -> Pen:
        gate = RequestProxy(
            self.bench,
            FixedView(self.connection_limit, **fields),
            InTurn(self.workers, self.capacity),  # type: ignore[arg-type]
            self.loads,
            self.pool,
            self.budget,
            PlatformDialect(),
            lambda: self.nodes,
            lambda worker, head: None,
        )
        headers = HTTPHeaders({"X-Request-Id": request_id, "Host": "h"})
        pen = Pen()
        request = OpaqueRequest(request_id, method, "/a/x", "h", "/a/x", headers, body, self.bench.now())
        await asyncio.wait_for(gate.serve(request, pen), PATIENCE_SECONDS)
        return pen

    async def until(self, is_so: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not is_so():
                await asyncio.sleep(0)

    def runs(self) -> list[str]:
        return [request_id for worker in self.workers for request_id in worker.runs]

    def seen(self) -> list[str]:
        return [request_id for worker in self.workers for request_id in worker.seen]


def told(pen: Pen) -> tuple[int, str, bytes]:
    return pen.status, pen.end, pen.body if pen.status == 200 else b""


class RightAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_too_many_in_the_place_of_the_next_reaches_nobody(self) -> None:
        late = answer("one")
        async with Site(Worker([Step(), Step(stray=late)])) as site:
            first, second, third = [await site.ask(name) for name in ("one", "two", "three")]
            self.assertEqual(told(first), (200, "whole", b"for one"))
            self.assertEqual(second.status, 502, "its own answer can't be told from what else comes there")
            self.assertEqual(told(third), (200, "whole", b"for three"))
            self.assertEqual(site.runs(), ["one", "two", "three"])
            self.assertEqual(site.workers[0].connections, 2)

    async def test_a_connection_whose_own_answer_is_still_due_is_not_kept(self) -> None:
        async with Site(Worker([Step(), Step(is_silent=True, stray=answer("one"))])) as site:
            await site.ask("one")
            self.assertEqual((await site.ask("two")).status, 502)
            self.assertEqual((site.pool.idle.get(site.workers[0].address) or [], site.runs()), ([], ["one", "two"]))
            self.assertEqual(told(await site.ask("three")), (200, "whole", b"for three"))

    async def test_an_answer_too_many_with_what_may_be_repeated_is_asked_elsewhere(self) -> None:
        late = answer("one")
        async with Site(Worker([Step(), Step(stray=late)]), Worker()) as site:
            await site.ask("one", **REPEATABLE)
            self.assertEqual(told(await site.ask("two", **REPEATABLE)), (200, "whole", b"for two"))
            self.assertEqual(site.seen(), ["one", "two", "two"])

    async def test_a_late_word_that_another_did_not_run_is_no_promise_for_this_one(self) -> None:
        late = answer("one", 503, "X-Not-Run: 1\r\n")
        async with Site(Worker([Step(), Step(stray=late)]), Worker()) as site:
            await site.ask("one")
            self.assertEqual((await site.ask("two")).status, 502)
            self.assertEqual(site.runs(), ["one", "two"])

    async def test_a_word_about_another_request_says_nothing_of_this_one(self) -> None:
        """Each status that promises, and a success: with another's id it is nobody's answer here."""
        request = PlatformDialect().read("POST", "/a/x", HTTPHeaders({"X-Request-Id": "two"}), b"", 0).unwrap()
        metadata = ForwardingMetadata(800 * MILLI, "w1")
        for status, more in ((421, {}), (503, {"X-Not-Run": "full"}), (200, {"X-Answer-Seal": "s"})):
            headers = HTTPHeaders({"X-Request-Id": "one", **more})
            head = PlatformDialect().read_head(request, metadata, status, "", headers)
            self.assertIs(head.verdict, ResponseVerdict.UNRECOGNIZED, status)
        own = HTTPHeaders({"X-Request-Id": "two", "X-Instance": "w2"})
        self.assertIs(
            PlatformDialect().read_head(request, metadata, 421, "", own).verdict, ResponseVerdict.OTHER_WORKER
        )

    async def test_what_follows_a_whole_answer_ends_its_connection_whenever_it_comes(self) -> None:
        for after in (b"stray", answer("one"), answer("two")):
            async with Site(Worker([Step(after=after)])) as site:
                self.assertEqual(told(await site.ask("one")), (200, "whole", b"for one"))
                self.assertEqual(told(await site.ask("two")), (200, "whole", b"for two"))
                self.assertEqual(site.workers[0].connections, 2)
            async with Site(Worker()) as site:
                await site.ask("one")
                kept = site.pool.idle[site.workers[0].address][0].stream
                site.workers[0].writers[0].write(after)
                await site.until(lambda kept=kept: not is_idle_and_open(kept))  # type: ignore[misc]
                self.assertEqual(told(await site.ask("two")), (200, "whole", b"for two"))
                self.assertEqual(site.workers[0].connections, 2)

    async def test_callers_at_once_each_get_their_own(self) -> None:
        async with Site(Worker()) as site:
            names = [f"id{number}" for number in range(24)]
            for _ in range(3):
                pens = await asyncio.gather(*(site.ask(name) for name in names))
                self.assertEqual([pen.body for pen in pens], [f"for {name}".encode() for name in names])
            self.assertEqual(sorted(site.runs()), sorted(names * 3))

    async def test_a_worker_that_takes_its_time_to_say_no_is_asked_on_the_same_connection(self) -> None:
        async with Site(Worker([Step(status=503, is_not_run=True)] * 3), Worker()) as site:
            for name in ("one", "two", "three"):
                self.assertEqual(told(await site.ask(name)), (200, "whole", f"for {name}".encode()))
            self.assertEqual(site.runs(), ["one", "two", "three"])
            self.assertEqual([worker.connections for worker in site.workers], [1, 1])


class OnceTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_may_not_be_repeated_is_never_sent_twice(self) -> None:
        """A connection, new or kept, that dies after none, some or all of the bytes, or is silent."""
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
                async with Site(Worker([Step()] * len(before) + [step]), Worker()) as site:
                    for name in before:
                        await site.ask(name)
                    pen = await site.ask("one", body, deadline_micros=300 * MILLI)
                    self.assertEqual((pen.status, pen.end), (502, "whole"), step)
                    self.assertEqual(site.seen(), [*before, "one"], step)
                    self.assertEqual(site.budget.spent, 0)

    async def test_a_port_that_is_dead_took_no_byte_so_another_worker_gets_it(self) -> None:
        async with Site(Worker(), Worker()) as site:
            assert site.workers[0].server is not None
            site.workers[0].server.close()
            self.assertEqual(told(await site.ask("one")), (200, "whole", b"for one"))
            self.assertEqual(site.runs(), ["one"])

    async def test_what_may_be_repeated_is_tried_again_within_its_tries_and_the_budget(self) -> None:
        async with Site(*(Worker([Step(is_reset=True)] * 9) for _ in range(3))) as site:
            pen = await site.ask("one", **REPEATABLE)
            self.assertEqual((pen.status, site.seen()), (502, ["one", "one"]))
            site.budget.credits["s"] = (0.0, site.bench.now())
            pen = await site.ask("two", **REPEATABLE)
            self.assertEqual((pen.status, site.seen().count("two")), (502, 1))

    async def test_what_was_turned_away_goes_on_and_runs_once(self) -> None:
        for status in (503, 429):
            async with Site(Worker([Step(status=status, is_not_run=True)]), Worker()) as site:
                self.assertEqual(told(await site.ask("one")), (200, "whole", b"for one"))
                self.assertEqual((site.runs(), site.seen()), (["one"], ["one", "one"]))

    async def test_a_status_of_a_worker_that_ran_it_is_no_promise(self) -> None:
        for status in (408, 429, 503):
            for fields in ({}, {**REPEATABLE, "tries": 1}):
                async with Site(Worker([Step(status=status)]), Worker()) as site:
                    pen = await site.ask("one", **fields)
                    self.assertEqual((pen.status, site.runs()), (502, ["one"]), status)
        for status in (400, 404, 500, 504):
            async with Site(Worker([Step(status=status)]), Worker()) as site:
                self.assertEqual(((await site.ask("one")).status, site.runs()), (status, ["one"]))


class ForgottenTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_may_not_be_repeated_is_not_spent_on_a_connection_that_rested_long(self) -> None:
        async with Site(Worker(forgets=True)) as site:
            await site.ask("one")
            site.bench.now_micros += 3 * SECOND
            self.assertEqual(told(await site.ask("two")), (200, "whole", b"for two"))
            self.assertEqual((site.workers[0].connections, site.pool.reused), (2, 0))

    async def test_one_that_rested_little_or_that_may_be_lost_is_used(self) -> None:
        for rested_micros, fields in ((1_900 * MILLI, {}), (3 * SECOND, REPEATABLE)):
            async with Site(Worker()) as site:
                await site.ask("one")
                site.bench.now_micros += rested_micros
                self.assertEqual((await site.ask("two", **fields)).status, 200)
                self.assertEqual((site.workers[0].connections, site.pool.reused), (1, 1))

    async def test_a_worker_that_forgot_one_costs_one_and_no_more_for_a_while(self) -> None:
        async with Site(Worker(forgets=True)) as site:
            await site.ask("one")
            site.bench.now_micros += SECOND
            self.assertEqual((await site.ask("two")).status, 502, "in doubt it ran")
            for name in ("three", "four", "five"):
                self.assertEqual(told(await site.ask(name)), (200, "whole", f"for {name}".encode()))
                site.bench.now_micros += SECOND
            self.assertEqual(site.runs(), ["one", "three", "four", "five"])

    async def test_a_worker_that_broke_off_in_full_use_is_not_taken_for_forgetful(self) -> None:
        async with Site(Worker([Step(), Step(is_reset=True)])) as site:
            await site.ask("one")
            site.bench.now_micros += 10 * MILLI
            self.assertEqual((await site.ask("two")).status, 502)
            self.assertEqual(site.pool.early_close_bounds, {})


class ShareTest(unittest.IsolatedAsyncioTestCase):
    async def burst(self, site: Site, count: int) -> list[Pen]:
        """Requests at once, none of which ends before all that may have come are there."""
        held = [worker for worker in site.workers if worker.hold is not None]
        asked = asyncio.gather(*(site.ask(f"id{number}") for number in range(count)))
        await site.until(lambda: len(site.seen()) >= count or asked.done())
        for worker in held:
            assert worker.hold is not None
            worker.hold.set()
        return await asked

    async def test_what_is_kept_stays_within_this_nodes_share(self) -> None:
        async with Site(Worker(hold=asyncio.Event()), connection_limit=50, nodes=10, capacity=20) as site:
            pens = await self.burst(site, 12)
            self.assertEqual([pen.status for pen in pens], [200] * 12, "none is held up or refused")
            address = site.workers[0].address
            self.assertEqual((len(site.pool.idle[address]), site.pool.open_count(address)), (4, 4))
            await site.until(lambda: site.workers[0].open_now == 4)

    async def test_idle_ones_make_way_for_a_new_one(self) -> None:
        async with Site(Worker(hold=asyncio.Event()), connection_limit=50, nodes=10) as site:
            await self.burst(site, 4)
            address = site.workers[0].address
            self.assertEqual(site.pool.open_count(address), 4)
            site.bench.now_micros += 3 * SECOND
            hold = site.workers[0].hold
            assert hold is not None
            hold.clear()
            asked = asyncio.create_task(site.ask("late"))
            await site.until(lambda: "late" in site.seen())
            self.assertEqual((site.pool.open_count(address), len(site.pool.idle[address])), (4, 3))
            hold.set()
            self.assertEqual((await asked).status, 200)
            self.assertEqual((site.pool.open_count(address), len(site.pool.idle[address])), (4, 4))

    async def test_beyond_twice_its_places_a_request_goes_elsewhere_and_the_worker_does_not_rest(self) -> None:
        workers = [Worker(hold=asyncio.Event()), Worker(hold=asyncio.Event())]
        async with Site(*workers, connection_limit=50, nodes=10, capacity=4) as site:
            faults: list[str] = []
            site.loads.record_failure = faults.append  # type: ignore[method-assign, assignment]
            pens = await self.burst(site, 12)
            self.assertEqual([pen.status for pen in pens], [200] * 12)
            self.assertEqual([len(worker.seen) for worker in workers], [8, 4])
            self.assertEqual(faults, [])

    async def test_without_a_limit_none_is_held_to_a_share(self) -> None:
        async with Site(Worker(hold=asyncio.Event())) as site:
            await self.burst(site, 12)
            self.assertEqual(len(site.pool.idle[site.workers[0].address]), 12)

    async def test_a_connection_on_which_nothing_was_sent_is_still_good(self) -> None:
        async with Site(Worker()) as site:
            await site.ask("one")
            unused = (await site.pool.call(site.workers[0].address, CallLimits(SECOND))).unwrap()
            await unused.close()
            self.assertEqual((await site.ask("two")).status, 200)
            self.assertEqual(site.workers[0].connections, 1)


class OrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_order_whose_answer_is_lost_may_have_been_taken_and_is_sent_once(self) -> None:
        for step in (
            Step(is_reset=True, read_share=0.0),
            Step(is_reset=True, read_share=0.5),
            Step(is_reset=True),
            Step(is_silent=True),
            Step(status=503, is_not_run=True),
        ):
            async with Site(Worker([step])) as site:
                control = PlatformWorkerClient(site.workers[0].address)
                self.addCleanup(control.close)
                order = LoadOrder("w0", "line", 2, "n", 7)
                given = await control.order_load(site.workers[0].address, order, lambda: True, 200 * MILLI)
                self.assertIsInstance(given, Err, step)
                self.assertEqual(len(site.seen()), 1, step)

    async def test_an_order_that_is_given_up_is_not_sent_on_by_the_kernel(self) -> None:
        """What a reset ends is never delivered later; an end in order would be, once a cut link heals."""
        async with Site(Worker([Step(is_silent=True)])) as site:
            control = PlatformWorkerClient(site.workers[0].address)
            self.addCleanup(control.close)
            order = LoadOrder("w0", "line", 2, "n", 7)
            given = await control.order_load(site.workers[0].address, order, lambda: True, 100 * MILLI)
            self.assertIsInstance(given, Err)
            await site.until(lambda: site.workers[0].open_now == 0)
            self.assertEqual(site.workers[0].resets, 1)

    async def test_an_order_never_uses_a_connection_that_may_hold_another_answer(self) -> None:
        async with Site(Worker([Step(status=202, after=answer("", 421))] * 2)) as site:
            control = PlatformWorkerClient(site.workers[0].address)
            self.addCleanup(control.close)
            order = LoadOrder("w0", "line", 2, "n", 7)
            for _ in range(2):
                given = await control.order_load(site.workers[0].address, order, lambda: True, SECOND)
                self.assertEqual(given, Ok(OrderOutcome.TAKEN))
            self.assertEqual(site.workers[0].connections, 2)

    async def test_an_answer_too_many_of_the_list_is_not_taken_for_the_next(self) -> None:
        """Otherwise each later list would be one call old."""
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
                async with asyncio.timeout(PATIENCE_SECONDS):
                    while is_idle_and_open(kept):
                        await asyncio.sleep(0)
            self.assertEqual((await control.list_workers(SECOND), len(writers)), (Ok([]), 2))
            control.close()
            server.close()


if __name__ == "__main__":
    unittest.main()
