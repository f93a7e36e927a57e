"""The emulated worker, store and list on real sockets, with callers that read theirs byte for byte."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
import unittest
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from pearhead.runtime.clock import SECOND, BootClock
from pearhead.testbed.deployment import ACADEMY
from pearhead.testbed.emulator.client import CallReport, Outcome, RequestDraw, SiteClient, SiteRequest
from pearhead.testbed.emulator.cloud import CloudModel, build_cloud
from pearhead.testbed.emulator.engine import EngineModel, EngineSettings
from pearhead.testbed.emulator.enginedriver import EngineDriver, HttpPartLink
from pearhead.testbed.emulator.enginefront import EngineSite, build_engine_server
from pearhead.testbed.emulator.entry import Entry
from pearhead.testbed.emulator.launcher import SiteLauncher
from pearhead.testbed.emulator.ledger import SiteLedger
from pearhead.testbed.emulator.operator import SiteOperator
from pearhead.testbed.emulator.plan import Machine, PlanMaker, SiteSize
from pearhead.testbed.emulator.store import StoreModel, StoreSite, build_store
from pearhead.testbed.emulator.wire import Answer, Head, RawConnection, WireError, ask

POLL_SECONDS = 0.005
SLOW_STEP_MICROS = 50_000
FAST_SETTINGS = EngineSettings(
    step_micros=200, prefill_tokens_per_milli=10_000.0, load_micros=1_000, dead_source_micros=1_000
)


class FixedAddressEntry(Entry):
    """All nodes are one worker: callers reach it without a front node."""

    where = ""

    def address(self, node: Machine) -> str:
        return self.where


class World:
    """One worker, one store and one list in this process, and a caller."""

    def __init__(self, connection_limit: int = 100) -> None:
        self.clock = BootClock()
        self.ledger = SiteLedger()
        self.plan = PlanMaker(ACADEMY, SiteSize(1, 1, 1), 1, 9).make()
        self.model = EngineModel(
            FAST_SETTINGS, "w1", "i-1", self.plan.service, self.plan.model, 1, random.Random(1), self.ledger
        )
        self.model.name_version(2)
        driver = EngineDriver(self.model, self.clock, HttpPartLink(), "north")
        self.engine_context = EngineSite(driver, self.clock, random.Random(2), self.ledger, 1, connection_limit)
        self.servers: list[HTTPServer] = []
        self.engine_address = self.serve(build_engine_server(self.engine_context, "/health"))
        self.store = StoreModel(1_000_000, random.Random(1))
        self.store_address = self.serve(HTTPServer(build_store(StoreSite(self.store, self.clock, "north", 1))))
        entry = FixedAddressEntry(self.plan.of("router"))
        entry.where = self.engine_address
        self.client = SiteClient("c", entry, self.clock, random.Random(3), self.ledger)
        self.draw = RequestDraw(self.plan, self.plan.config, random.Random(4))
        self.report = CallReport()

    def serve(self, server: HTTPServer) -> str:
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.servers.append(server)
        return f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def short(self, **more: Any) -> SiteRequest:
        """A request of some pieces that can't be repeated."""
        drawn = next(r for r in iter(self.draw.draw, None) if r.is_resumable)
        return replace(drawn, is_resumable=False, **more)

    async def call(self, request: SiteRequest) -> Outcome:
        return await self.client.call(request, self.report)

    async def wait_idle(self) -> None:
        """Waits until every try has reached the worker, and none waits or runs there any more.

        A caller that takes a stray answer for its own has its outcome before its request has run.
        """
        while len(self.ledger.arrivals) < self.report.tries or self.model.queue or self.model.running:
            await asyncio.sleep(POLL_SECONDS)

    def close(self) -> None:
        self.client.close()
        for server in self.servers:
            server.stop()


class SocketsCase(unittest.TestCase):
    def run_scenario(self, scenario: Coroutine[Any, Any, None]) -> None:
        async def run() -> None:
            async with asyncio.timeout(20):
                await scenario

        asyncio.run(run())

    def outcome_of(
        self, faults: dict[str, float], second_settings: EngineSettings = FAST_SETTINGS
    ) -> tuple[Outcome, World]:
        """What a caller makes of an answer with a fault, and what it makes of the next one.

        `next_settings`: the worker's pace for the next one. The caller stays until the worker has run both.
        """
        held: list[Any] = []

        async def scenario() -> None:
            world = World()
            world.engine_context.apply_faults(faults)
            held.extend([await world.call(world.short()), world])
            world.engine_context.apply_faults(dict.fromkeys(faults, 0.0))
            world.model.settings = second_settings
            held.append(await world.call(world.short()))
            await world.wait_idle()
            world.close()

        self.run_scenario(scenario())
        return held[0], held[1]


class WorkerOnSocketsTest(SocketsCase):
    def test_sound_streams_on_a_kept_connection(self) -> None:
        async def scenario() -> None:
            world = World()
            for _ in range(30):
                self.assertTrue((await world.call(world.draw.draw())).is_whole)
            self.assertEqual((world.report.faults, dict(world.report.outcomes)), ([], {"done": 30}))
            self.assertEqual(len(world.ledger.runs), 30)
            self.assertGreater(min(world.report.first_micros), 0)
            world.close()

        self.run_scenario(scenario())

    def test_what_callers_make_of_a_worker_in_trouble(self) -> None:
        for fault, rule in (("cut", ""), ("lost", ""), ("split", ""), ("garble", "MIXED"), ("extra", "MIXED")):
            outcome, world = self.outcome_of({fault: 1.0})
            with self.subTest(fault):
                found = {f.partition(":")[0] for f in world.report.faults}
                self.assertEqual(found, {rule} - {""})
                self.assertEqual(outcome.is_whole, fault == "extra")
                self.assertEqual(len(world.ledger.runs), 2, "an answer that fails has run, and is not sent again")
        outcome, world = self.outcome_of({"fails": 1.0})
        self.assertEqual((outcome.status, world.report.faults), (500, []))

    def test_a_stray_answer_hides_that_the_next_request_runs_later(self) -> None:
        """Its caller has its outcome at once; the slow worker runs it well after that."""
        for fault in ("extra", "late"):
            with self.subTest(fault):
                _, world = self.outcome_of({fault: 1.0}, replace(FAST_SETTINGS, step_micros=SLOW_STEP_MICROS))
                self.assertEqual(len(world.ledger.runs), 2, "run once each, whenever the caller had its outcome")
                self.assertEqual(world.report.tries, 2)

    def test_a_late_answer_lies_where_the_next_is_due(self) -> None:
        _, world = self.outcome_of({"late": 1.0})
        self.assertLessEqual({f.partition(":")[0] for f in world.report.faults}, {"MIXED"})

    async def begin_slow_run(self, world: World) -> tuple[RawConnection, Head]:
        """A request that the worker is at work on, and the head of its answer."""
        world.model.settings = replace(FAST_SETTINGS, step_micros=200_000)
        request = world.draw.draw()
        headers = {"Host": "h", "X-Request-Id": "left", "X-Deadline": "9000", **request.headers}
        connection = RawConnection(world.engine_address)
        await connection.open()
        await connection.send(request.method, request.path, headers, request.body)
        head = await connection.read_head()
        self.assertEqual((head.status, len(world.model.running)), (200, 1))
        return connection, head

    def test_only_what_the_worker_itself_breaks_off_is_recorded_as_broken_off(self) -> None:
        """A node that closes in the middle of an answer is no excuse for itself."""

        async def scenario() -> None:
            world = World()
            connection, _ = await self.begin_slow_run(world)
            connection.close()
            while world.model.running:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            self.assertEqual((world.ledger.broken_off, world.ledger.finished), ([], []))
            world.model.settings = FAST_SETTINGS
            self.assertTrue((await world.call(world.short())).is_whole)
            self.assertEqual(len(world.ledger.finished), 1)
            world.engine_context.apply_faults({"cut": 1.0})
            await world.call(world.short())
            self.assertEqual(len(world.ledger.broken_off), 1)
            world.close()

        self.run_scenario(scenario())

    def test_a_worker_that_ends_at_work_does_not_end_its_answer_as_whole(self) -> None:
        """Tornado finishes the answer of a handler that is cancelled, as all are when the process ends."""

        async def scenario() -> None:
            world = World()
            connection, head = await self.begin_slow_run(world)
            for task in asyncio.all_tasks():
                if "_execute" in repr(task.get_coro()):
                    task.cancel()
            with self.assertRaises(WireError):
                async for _ in connection.read_body(head):
                    pass
            connection.close()
            self.assertEqual(len(world.ledger.broken_off), 1)
            world.close()

        self.run_scenario(scenario())

    def test_turned_away_not_run(self) -> None:
        async def scenario() -> None:
            world = World()
            headers = {
                "X-Request-Id": "r",
                "X-Model": world.plan.model,
                "X-Token-Count": "16,7",
                "X-Prompt-Prefix": "p:16",
            }
            for changed, status in (
                ({"X-Expect-Instance": "i-2"}, 421),
                ({"X-Expect-Version": "2"}, 421),
                ({"X-Request-Id": ""}, 400),
                ({"X-Token-Count": "99999999,1"}, 503),
            ):
                answer = await ask(world.engine_address, "POST", "/x/y", b"", {**headers, **changed})
                assert answer is not None
                self.assertEqual((answer.head.status, answer.head.text("x-not-run")), (status, "1"))
            self.assertEqual([a.turned_away for a in world.ledger.arrivals], [421, 421, 400, 503])
            self.assertEqual(world.ledger.runs, [])
            world.close()

        self.run_scenario(scenario())

    def test_orders_reports_events_lists_and_health(self) -> None:
        async def scenario() -> None:
            world = World()
            await world.call(world.short())
            address = world.engine_address

            async def get(path: str, **headers: str) -> Answer:
                answer = await ask(address, "GET", path, headers={k.replace("_", "-"): v for k, v in headers.items()})
                assert answer is not None
                return answer

            held = (await get("/v1/kv-list")).fields()
            self.assertEqual(len(held["Held"]), 2)
            page = (await get("/v1/kv-events?Since=0", Wait_Ms="800")).fields()
            self.assertEqual(page["Incarnation"], held["Incarnation"])
            self.assertEqual([e[1] for e in page["Events"]], ["+", "+"][: len(page["Events"])])
            first = asyncio.ensure_future(get("/v1/kv-events?Since=9", Wait_Ms="1000"))
            world.engine_context.active_readers += 1
            self.assertEqual((await get("/v1/kv-events?Since=2")).head.status, 429)
            world.engine_context.active_readers -= 1
            first.cancel()
            self.assertEqual((await get("/v1/report")).fields()["Models"][0]["Revision"], 1)
            order = {
                "Operation": "Revision",
                "Model": world.plan.model,
                "Revision": 2,
                "Mode": "wait",
                "Holder": "h",
                "Fence": 3,
            }
            answer = await ask(address, "POST", "/v1/order", order)
            assert answer is not None
            self.assertEqual(answer.head.status, 202)
            health = await get("/health")
            self.assertEqual((health.head.status, health.head.text("x-instance")), (200, "i-1"))
            world.engine_context.is_draining = True
            self.assertEqual((await get("/health")).head.status, 503)
            world.engine_context.apply_faults({"false_health": True})
            self.assertEqual((await get("/health")).head.status, 200)
            world.close()

        self.run_scenario(scenario())

    def test_parts_go_to_the_store_and_come_back_from_it(self) -> None:
        async def scenario() -> None:
            world = World()
            target = {"X-Cache-Target": world.store_address}
            request = world.short()
            await world.call(replace(request, headers={**request.headers, **target}))
            while not world.store.cache.parts:
                await asyncio.sleep(0)
            world.model.cache.clear(world.clock.now())
            read = world.model.tokens_read
            source = {"X-Cache-Source": world.store_address}
            await world.call(replace(request, headers={**request.headers, **source}))
            self.assertEqual(world.model.tokens_read, read, "all of it came from the store")
            world.close()

        self.run_scenario(scenario())

    def test_connections_beyond_the_limit_are_reset(self) -> None:
        async def scenario() -> None:
            world = World(connection_limit=1)
            held = RawConnection(world.engine_address)
            await held.open()
            await asyncio.sleep(0)
            self.assertIsNone(await ask(world.engine_address, "GET", "/health"))
            held.close()
            world.close()

        self.run_scenario(scenario())


class OperatorOnSocketsTest(SocketsCase):
    def test_an_operator_follows_goes_on_and_stops(self) -> None:
        heads: list[str] = []
        answers = [
            b"503 Busy\r\n",
            b"307 Elsewhere\r\nLocation: http://%s/v1/other\r\n",
            b"200 OK\r\n",
            b"412 No\r\n",
            b"404 No\r\n",
            b"404 No\r\n",
            b"404 No\r\n",
        ]

        async def scenario() -> None:
            where = ""

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                head = await reader.readuntil(b"\r\n\r\n")
                heads.append(head.decode().splitlines()[0])
                line = answers.pop(0) if answers else b"503 Busy\r\n"
                writer.write(b"HTTP/1.1 " + (line % where.encode() if b"%s" in line else line))
                writer.write(b"Content-Length: 2\r\n\r\n{}")
                await writer.drain()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            where = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            ledger = SiteLedger()
            operator = SiteOperator(lambda: [where], BootClock(), ledger)
            self.assertEqual(await operator.put({"Revision": 3}, 0), 200)
            self.assertEqual(await operator.put({"Revision": 3}, 0), 412)
            self.assertEqual(await operator.put({"Revision": 3}, 0), 404)
            self.assertEqual(await operator.put({"Revision": 3}, 0, SECOND // 10), 0)
            self.assertEqual([c.status for c in ledger.configs], [200, 412, 404, 0])
            server.close()

        self.run_scenario(scenario())
        self.assertEqual(heads[:3], ["PUT /v1/config HTTP/1.1", "PUT /v1/config HTTP/1.1", "PUT /v1/other HTTP/1.1"])


class SetClock(BootClock):
    """Stands at a moment that the test sets."""

    now_micros = 10 * SECOND

    def now(self) -> int:
        return self.now_micros


class FakeControlNodes:
    """Nodes that serve orders, each with scripted answers (200 after the last); what came is kept in order.

    An answer of 0 is silence. `redirects_to`: where a 307 points.
    """

    def __init__(self, *scripts: list[int]) -> None:
        self.scripts = scripts
        self.seen: list[tuple[int, str, bytes]] = []
        self.servers: list[asyncio.Server] = []
        self.redirects_to = 0

    async def open(self) -> None:
        for number in range(len(self.scripts)):

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int = number) -> None:
                await self.serve(number, reader, writer)

            self.servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))

    def addresses(self) -> list[str]:
        return [f"127.0.0.1:{s.sockets[0].getsockname()[1]}" for s in self.servers]

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = next(int(line.split(": ")[1]) for line in head.splitlines() if line.startswith("Content-Length"))
        self.seen.append((number, head.splitlines()[0], await reader.readexactly(length)))
        status = self.scripts[number].pop(0) if self.scripts[number] else 200
        if not status:
            await reader.read()
            writer.close()
            return
        target = self.addresses()[self.redirects_to]
        writer.write(f"HTTP/1.1 {status} Told\r\nLocation: http://{target}/v1/other\r\n".encode())
        writer.write(b"Content-Length: 2\r\n\r\n{}")
        await writer.drain()
        writer.close()

    def close(self) -> None:
        for server in self.servers:
            server.close()


class OperatorsRulesTest(SocketsCase):
    def put(self, controls: FakeControlNodes, lost_answers: int = 0) -> tuple[int, SiteLedger]:
        """Status of one change that is sent to such nodes, and what was recorded of it."""
        ledger = SiteLedger()
        statuses = []

        async def scenario() -> None:
            await controls.open()
            operator = SiteOperator(
                controls.addresses, BootClock(), ledger, random.Random(5), lost_answers, silence_seconds=0.05
            )
            statuses.append(await operator.put({"Revision": 3}, 0))
            controls.close()

        self.run_scenario(scenario())
        return statuses[0], ledger

    def test_after_a_lost_answer_the_same_order_goes_to_other_nodes_first(self) -> None:
        controls = FakeControlNodes([], [], [])
        status, ledger = self.put(controls, lost_answers=3)
        self.assertEqual(status, 200)
        nodes = [number for number, _, _ in controls.seen]
        self.assertEqual((sorted(nodes[:3]), len(nodes)), ([0, 1, 2], 4))
        self.assertEqual(len({(line, body) for _, line, body in controls.seen}), 1, "the same, each time")
        self.assertEqual([t.is_lost for t in ledger.config_tries], [True, True, True, False])
        self.assertEqual({(t.status, t.change[:2]) for t in ledger.config_tries}, {(200, (3, 0))})
        self.assertEqual([c.status for c in ledger.configs], [200])

    def test_it_goes_on_after_these(self) -> None:
        for status in (500, 503, 408, 429, 0):
            with self.subTest(status):
                controls = FakeControlNodes([status], [status])
                final_status, ledger = self.put(controls)
                self.assertEqual((final_status, sorted(n for n, _, _ in controls.seen[:2])), (200, [0, 1]))
                self.assertEqual([t.status for t in ledger.config_tries], [status, status, 200])

    def test_it_ends_at_once_on_these(self) -> None:
        for status in (400, 409, 412, 413, 422):
            with self.subTest(status):
                controls = FakeControlNodes([status], [status])
                self.assertEqual(self.put(controls)[0], status)
                self.assertEqual(len(controls.seen), 1)

    def test_it_follows_twice_and_not_a_third_time(self) -> None:
        controls = FakeControlNodes([307, 307])
        self.assertEqual(self.put(controls)[0], 200)
        self.assertEqual([line.split()[1] for _, line, _ in controls.seen], ["/v1/config", "/v1/other", "/v1/other"])
        controls = FakeControlNodes([307, 307, 307])
        self.assertEqual(self.put(controls)[0], 200)
        self.assertEqual(controls.seen[3][1].split()[1], "/v1/config", "the fourth is sent anew")

    def test_it_picks_from_a_list_that_lags(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            launcher = SiteLauncher(folder)
            self.addCleanup(launcher.release_block)
            launcher.make_site(ACADEMY, SiteSize(3, 1, 1), 1)
            clock = launcher.clock = SetClock()
            first = launcher.listed_controls()
            launcher.plan["listed"].append([clock.now(), first[1:]])
            self.assertEqual(launcher.listed_controls(), first)
            clock.now_micros += 3 * SECOND
            self.assertEqual(launcher.listed_controls(), first[1:])


class CloudOnSocketsTest(SocketsCase):
    def test_beats_and_names(self) -> None:
        async def scenario() -> None:
            world = World()
            address = world.serve(HTTPServer(build_cloud(CloudModel(0, 5), world.clock)))
            await ask(address, "POST", "/site/name", {"Model": "m", "Revision": 4})
            beat = {"Id": "i", "Service": "s", "Address": "a:1", "Zone": "z", "Loading": True}
            answer = await ask(address, "POST", "/site/beat", beat)
            assert answer is not None
            self.assertEqual(answer.fields(), {"Named": {"m": [1, 4]}, "Loading": 1})
            answer = await ask(address, "GET", "/workers?Zone=z")
            assert answer is not None
            self.assertEqual(json.loads(answer.body)["Servers"][0]["Id"], "i")
            world.close()

        self.run_scenario(scenario())
