"""The emulated worker, store, cloud API and operator on real sockets, with clients that read them byte for byte."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import tempfile
import unittest
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import SECOND, BootClock
from pearhead.testbed.deployment import ACADEMY
from pearhead.testbed.emulator.client import AttemptOutcome, CallReport, RequestGenerator, SiteClient, SiteRequest
from pearhead.testbed.emulator.cloud import CloudModel, build_cloud
from pearhead.testbed.emulator.engine import EngineModel, EngineSettings
from pearhead.testbed.emulator.engine_driver import EngineDriver, HttpPartTransfer
from pearhead.testbed.emulator.engine_server import EngineContext, build_engine_server
from pearhead.testbed.emulator.launcher import SiteLauncher
from pearhead.testbed.emulator.ledger import SiteLedger
from pearhead.testbed.emulator.named_versions import fetch_from_cloud, read_control_addresses
from pearhead.testbed.emulator.node_selector import NodeSelector
from pearhead.testbed.emulator.operator import SiteOperator
from pearhead.testbed.emulator.plan import Machine, PlanMaker, SiteSize
from pearhead.testbed.emulator.raw_http import RawConnection, RawResponse, RawResponseHead, WireError, send_request
from pearhead.testbed.emulator.store import StoreContext, StoreModel, build_store

POLL_SECONDS = 0.005
SLOW_STEP_MICROS = 50_000
FAST_SETTINGS = EngineSettings(
    step_micros=200, prefill_tokens_per_milli=10_000.0, load_micros=1_000, dead_source_micros=1_000
)


class FixedAddressNodeSelector(NodeSelector):
    """Resolves every front node to one worker, so that clients reach it directly."""

    node_address = ""

    def address(self, node: Machine) -> str:
        return self.node_address


class WorkerFixture:
    """One worker, one store and one client in this process."""

    def __init__(self, connection_limit: int = 100) -> None:
        self.clock = BootClock()
        self.ledger = SiteLedger()
        self.plan = PlanMaker(ACADEMY, SiteSize(1, 1, 1), 1, 9).make()
        self.model = EngineModel(
            FAST_SETTINGS, "w1", "i-1", self.plan.service, self.plan.model, 1, random.Random(1), self.ledger
        )
        self.model.name_version(2)
        driver = EngineDriver(self.model, self.clock, HttpPartTransfer(), "north")
        self.engine_context = EngineContext(driver, self.clock, random.Random(2), self.ledger, 1, connection_limit)
        self.servers: list[HTTPServer] = []
        self.engine_address = self.serve(build_engine_server(self.engine_context, "/health"))
        self.store = StoreModel(1_000_000, random.Random(1))
        self.store_address = self.serve(HTTPServer(build_store(StoreContext(self.store, self.clock, "north", 1))))
        node_selector = FixedAddressNodeSelector(self.plan.machines_of("router"))
        node_selector.node_address = self.engine_address
        self.client = SiteClient("c", node_selector, self.clock, random.Random(3), self.ledger)
        self.draw = RequestGenerator(self.plan, self.plan.config, random.Random(4))
        self.report = CallReport()

    def serve(self, server: HTTPServer) -> str:
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self.servers.append(server)
        return f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def make_unrepeatable_request(self, **more: Any) -> SiteRequest:
        """Draws a request with a streamed response that can't be repeated."""
        drawn = next(r for r in iter(self.draw.draw, None) if r.is_resumable)
        return replace(drawn, is_resumable=False, **more)

    async def call(self, request: SiteRequest) -> AttemptOutcome:
        return await self.client.call(request, self.report)

    async def wait_idle(self) -> None:
        """Waits until every attempt has reached the worker, and none is queued or runs there any more.

        A client that takes a stray response for its own has its outcome before its request has run.
        """
        while len(self.ledger.arrivals) < self.report.attempt_count or self.model.queue or self.model.running:
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

    def run_with_fault(
        self, faults: dict[str, float], second_settings: EngineSettings = FAST_SETTINGS
    ) -> tuple[AttemptOutcome, WorkerFixture]:
        """Sends one request with faults and one without; returns the outcome of the first, and the fixture.

        `second_settings`: the worker's settings for the second one. Waits until the worker has run both.
        """
        results: list[Any] = []

        async def scenario() -> None:
            fixture = WorkerFixture()
            fixture.engine_context.apply_faults(faults)
            results.extend([await fixture.call(fixture.make_unrepeatable_request()), fixture])
            fixture.engine_context.apply_faults(dict.fromkeys(faults, 0.0))
            fixture.model.settings = second_settings
            results.append(await fixture.call(fixture.make_unrepeatable_request()))
            await fixture.wait_idle()
            fixture.close()

        self.run_scenario(scenario())
        return results[0], results[1]


class WorkerOnSocketsTest(SocketsCase):
    def test_sound_streams_on_a_kept_connection(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture()
            for _ in range(30):
                self.assertTrue((await fixture.call(fixture.draw.draw())).is_complete)
            self.assertEqual((fixture.report.faults, dict(fixture.report.outcomes)), ([], {"done": 30}))
            self.assertEqual(len(fixture.ledger.runs), 30)
            self.assertGreater(min(fixture.report.first_piece_micros), 0)
            fixture.close()

        self.run_scenario(scenario())

    def test_what_callers_make_of_a_worker_in_trouble(self) -> None:
        for fault, rule in (("cut", ""), ("lost", ""), ("split", ""), ("garble", "MIXED"), ("extra", "MIXED")):
            outcome, fixture = self.run_with_fault({fault: 1.0})
            with self.subTest(fault):
                found = {f.partition(":")[0] for f in fixture.report.faults}
                self.assertEqual(found, {rule} - {""})
                self.assertEqual(outcome.is_complete, fault == "extra")
                self.assertEqual(
                    len(fixture.ledger.runs), 2, "a request whose response fails has run, and is not sent again"
                )
        outcome, fixture = self.run_with_fault({"fails": 1.0})
        self.assertEqual((outcome.status, fixture.report.faults), (500, []))

    def test_a_stray_answer_hides_that_the_next_request_runs_later(self) -> None:
        """The client takes the stray response for its own at once; the slow worker runs the request well after that."""
        for fault in ("extra", "late"):
            with self.subTest(fault):
                _, fixture = self.run_with_fault({fault: 1.0}, replace(FAST_SETTINGS, step_micros=SLOW_STEP_MICROS))
                self.assertEqual(len(fixture.ledger.runs), 2, "each runs once, whenever the client had its outcome")
                self.assertEqual(fixture.report.attempt_count, 2)

    def test_a_late_answer_lies_where_the_next_is_due(self) -> None:
        _, fixture = self.run_with_fault({"late": 1.0})
        self.assertLessEqual({f.partition(":")[0] for f in fixture.report.faults}, {"MIXED"})

    async def begin_slow_run(self, fixture: WorkerFixture) -> tuple[RawConnection, RawResponseHead]:
        """Sends a request that runs for long; returns its connection and the head of its response."""
        fixture.model.settings = replace(FAST_SETTINGS, step_micros=200_000)
        request = fixture.draw.draw()
        headers = {"Host": "h", "X-Request-Id": "left", "X-Deadline": "9000", **request.headers}
        connection = RawConnection(fixture.engine_address)
        await connection.open()
        await connection.send(request.method, request.path, headers, request.body)
        head = await connection.read_head()
        self.assertEqual((head.status, len(fixture.model.running)), (200, 1))
        return connection, head

    def test_only_what_the_worker_itself_breaks_off_is_recorded_as_broken_off(self) -> None:
        """A response that the front node itself closes must not count as broken off by the worker.

        Checkers excuse a node whose worker broke off; they would then excuse a node for its own fault.
        """

        async def scenario() -> None:
            fixture = WorkerFixture()
            connection, _ = await self.begin_slow_run(fixture)
            connection.close()
            while fixture.model.running:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            self.assertEqual((fixture.ledger.broken_off, fixture.ledger.finished), ([], []))
            fixture.model.settings = FAST_SETTINGS
            self.assertTrue((await fixture.call(fixture.make_unrepeatable_request())).is_complete)
            self.assertEqual(len(fixture.ledger.finished), 1)
            fixture.engine_context.apply_faults({"cut": 1.0})
            await fixture.call(fixture.make_unrepeatable_request())
            self.assertEqual(len(fixture.ledger.broken_off), 1)
            fixture.close()

        self.run_scenario(scenario())

    def test_a_worker_that_ends_at_work_does_not_end_its_answer_as_whole(self) -> None:
        """A worker that stops during a response must reset it.

        Handlers are cancelled when the process ends, and Tornado finishes the response of a cancelled handler.
        """

        async def scenario() -> None:
            fixture = WorkerFixture()
            connection, head = await self.begin_slow_run(fixture)
            for task in asyncio.all_tasks():
                if "_execute" in repr(task.get_coro()):
                    task.cancel()
            with self.assertRaises(WireError):
                async for _ in connection.read_body(head):
                    pass
            connection.close()
            self.assertEqual(len(fixture.ledger.broken_off), 1)
            fixture.close()

        self.run_scenario(scenario())

    def test_turned_away_not_run(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture()
            headers = {
                "X-Request-Id": "r",
                "X-Model": fixture.plan.model,
                "X-Token-Count": "16,7",
                "X-Prompt-Prefix": "p:16",
            }
            for changed, status in (
                ({"X-Expect-Instance": "i-2"}, 421),
                ({"X-Expect-Version": "2"}, 421),
                ({"X-Request-Id": ""}, 400),
                ({"X-Token-Count": "99999999,1"}, 503),
            ):
                answer = await send_request(fixture.engine_address, "POST", "/x/y", b"", {**headers, **changed})
                assert answer is not None
                self.assertEqual((answer.head.status, answer.head.text("x-not-run")), (status, "1"))
            self.assertEqual([a.turned_away for a in fixture.ledger.arrivals], [421, 421, 400, 503])
            self.assertEqual(fixture.ledger.runs, [])
            fixture.close()

        self.run_scenario(scenario())

    def test_orders_reports_events_lists_and_health(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture()
            await fixture.call(fixture.make_unrepeatable_request())
            address = fixture.engine_address

            async def get(path: str, **headers: str) -> RawResponse:
                answer = await send_request(
                    address, "GET", path, headers={k.replace("_", "-"): v for k, v in headers.items()}
                )
                assert answer is not None
                return answer

            part_list = (await get("/v1/kv-list")).fields()
            self.assertEqual(len(part_list["Held"]), 2)
            page = (await get("/v1/kv-events?Since=0", Wait_Ms="800")).fields()
            self.assertEqual(page["Incarnation"], part_list["Incarnation"])
            self.assertEqual([e[1] for e in page["Events"]], ["+", "+"][: len(page["Events"])])
            first = asyncio.ensure_future(get("/v1/kv-events?Since=9", Wait_Ms="1000"))
            fixture.engine_context.active_readers += 1
            self.assertEqual((await get("/v1/kv-events?Since=2")).head.status, 429)
            fixture.engine_context.active_readers -= 1
            first.cancel()
            self.assertEqual((await get("/v1/report")).fields()["Models"][0]["Revision"], 1)
            order = {
                "Operation": "Revision",
                "Model": fixture.plan.model,
                "Revision": 2,
                "Mode": "wait",
                "Holder": "h",
                "Fence": 3,
            }
            answer = await send_request(address, "POST", "/v1/order", order)
            assert answer is not None
            self.assertEqual(answer.head.status, 202)
            health = await get("/health")
            self.assertEqual((health.head.status, health.head.text("x-instance")), (200, "i-1"))
            fixture.engine_context.is_draining = True
            self.assertEqual((await get("/health")).head.status, 503)
            fixture.engine_context.apply_faults({"false_health": True})
            self.assertEqual((await get("/health")).head.status, 200)
            fixture.close()

        self.run_scenario(scenario())

    def test_parts_go_to_the_store_and_come_back_from_it(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture()
            target = {"X-Cache-Target": fixture.store_address}
            request = fixture.make_unrepeatable_request()
            await fixture.call(replace(request, headers={**request.headers, **target}))
            while not fixture.store.cache.parts:
                await asyncio.sleep(0)
            fixture.model.cache.clear(fixture.clock.now())
            read = fixture.model.tokens_read
            source = {"X-Cache-Source": fixture.store_address}
            await fixture.call(replace(request, headers={**request.headers, **source}))
            self.assertEqual(fixture.model.tokens_read, read, "all parts came from the store")
            fixture.close()

        self.run_scenario(scenario())

    def test_connections_beyond_the_limit_are_reset(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture(connection_limit=1)
            first = RawConnection(fixture.engine_address)
            await first.open()
            await asyncio.sleep(0)
            self.assertIsNone(await send_request(fixture.engine_address, "GET", "/health"))
            first.close()
            fixture.close()

        self.run_scenario(scenario())


class OperatorOnSocketsTest(SocketsCase):
    def test_an_operator_follows_goes_on_and_stops(self) -> None:
        request_lines: list[str] = []
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
            node_address = ""

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                head = await reader.readuntil(b"\r\n\r\n")
                request_lines.append(head.decode().splitlines()[0])
                line = answers.pop(0) if answers else b"503 Busy\r\n"
                writer.write(b"HTTP/1.1 " + (line % node_address.encode() if b"%s" in line else line))
                writer.write(b"Content-Length: 2\r\n\r\n{}")
                await writer.drain()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            node_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            ledger = SiteLedger()
            operator = SiteOperator(lambda: [node_address], BootClock(), ledger)
            self.assertEqual(await operator.put({"Revision": 3}, 0), 200)
            self.assertEqual(await operator.put({"Revision": 3}, 0), 412)
            self.assertEqual(await operator.put({"Revision": 3}, 0), 404)
            self.assertEqual(await operator.put({"Revision": 3}, 0, SECOND // 10), 0)
            self.assertEqual([c.status for c in ledger.configs], [200, 412, 404, 0])
            server.close()

        self.run_scenario(scenario())
        self.assertEqual(
            request_lines[:3], ["PUT /v1/config HTTP/1.1", "PUT /v1/config HTTP/1.1", "PUT /v1/other HTTP/1.1"]
        )


class ManualClock(BootClock):
    """Clock that shows a time set by the test."""

    now_micros = 10 * SECOND

    def now(self) -> int:
        return self.now_micros


class FakeControlNodes:
    """Control nodes with scripted statuses (200 after the last); requests are recorded in order.

    Status 0 means no response. `redirects_to`: index of the node that a 307 points to.
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
        """Sends one change to these nodes; returns its status and the ledger."""
        ledger = SiteLedger()
        statuses = []

        async def scenario() -> None:
            await controls.open()
            operator = SiteOperator(
                controls.addresses, BootClock(), ledger, random.Random(5), lost_answers, answer_timeout_seconds=0.05
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
        self.assertEqual(len({(line, body) for _, line, body in controls.seen}), 1, "the same request each time")
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
        self.assertEqual(controls.seen[3][1].split()[1], "/v1/config", "the fourth attempt starts at the original path")

    def test_it_picks_from_a_list_that_lags(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            launcher = SiteLauncher(folder)
            self.addCleanup(launcher.release_block)
            launcher.make_site(ACADEMY, SiteSize(3, 1, 1), 1)
            clock = launcher.clock = ManualClock()
            first = launcher.listed_control_addresses()
            launcher.plan["listed"].append([clock.now(), first[1:]])
            self.assertEqual(launcher.listed_control_addresses(), first)
            clock.now_micros += 3 * SECOND
            self.assertEqual(launcher.listed_control_addresses(), first[1:])


class ControlPlaneVersionsHandler(RequestHandler):
    """Tells the named versions as the control plane does."""

    def initialize(self, versions: dict[str, int]) -> None:
        self.versions = versions

    def get(self) -> None:
        self.finish({"Versions": [{"Model": m, "Revision": v} for m, v in self.versions.items()]})


class NamedVersionsTest(SocketsCase):
    """A worker takes an order for a version that an operator named by any way, and for no other.

    Guards against an emulated worker that refuses each order for a version named at the control plane alone.
    """

    async def order(self, fixture: WorkerFixture, version: int) -> int:
        order = {
            "Operation": "Revision",
            "Model": fixture.plan.model,
            "Revision": version,
            "Mode": "wait",
            "Holder": "h",
            "Fence": 3,
        }
        answer = await send_request(fixture.engine_address, "POST", "/v1/order", order)
        assert answer is not None
        return answer.head.status

    def connect(self, fixture: WorkerFixture, versions: dict[str, int], extra_addresses: list[str]) -> str:
        """Connects the worker to a cloud that asks a control plane with these versions; returns the cloud's address."""
        handler = ("/v1/version-put", ControlPlaneVersionsHandler, {"versions": versions})
        control = fixture.serve(HTTPServer(Application([handler], log_function=lambda handler: None)))
        cloud = build_cloud(CloudModel(0, 5), fixture.clock, lambda: [*extra_addresses, control])
        address = fixture.serve(HTTPServer(cloud))
        fixture.engine_context.fetch_named_versions = lambda: fetch_from_cloud(address, fixture.plan.model)
        return address

    def test_a_version_named_at_the_control_plane_alone_is_taken(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture()
            versions = {fixture.plan.model: 1, "other": 9}
            cloud = self.connect(fixture, versions, [])
            self.assertEqual(await self.order(fixture, 5), 400)
            versions[fixture.plan.model] = 5
            self.assertEqual(await self.order(fixture, 5), 202)
            self.assertEqual(await fetch_from_cloud(cloud, fixture.plan.model), [1, 5], "a new worker learns it too")
            fixture.close()

        self.run_scenario(scenario())

    def test_a_version_that_nobody_named_is_refused(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture()
            with socket.socket() as silent:
                silent.bind(("127.0.0.1", 0))
                silent.listen()
                address = f"127.0.0.1:{silent.getsockname()[1]}"
                versions = {fixture.plan.model: 5, "other": 9}
                self.connect(fixture, versions, [address])
                for version in (4, 6, 9):
                    self.assertEqual(await self.order(fixture, version), 400, version)
                self.assertEqual(await self.order(fixture, 5), 202, "a core that does not answer holds up no other")
            fixture.close()

        self.run_scenario(scenario())

    def test_a_version_is_refused_while_no_control_plane_answers(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture()
            cloud = fixture.serve(HTTPServer(build_cloud(CloudModel(0, 5), fixture.clock, lambda: ["127.0.0.1:9"])))
            fixture.engine_context.fetch_named_versions = lambda: fetch_from_cloud(cloud, fixture.plan.model)
            self.assertEqual(await self.order(fixture, 5), 400)
            fixture.engine_context.fetch_named_versions = lambda: fetch_from_cloud("127.0.0.1:9", fixture.plan.model)
            self.assertEqual(await self.order(fixture, 5), 400)
            fixture.close()

        self.run_scenario(scenario())

    def test_the_addresses_are_those_of_the_newest_plan(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fleet.json"
            self.assertEqual(read_control_addresses(path), [])
            path.write_text('{"listed": [[0, ["a:1"]], [5, ["b:1"]]]}')
            self.assertEqual(read_control_addresses(path), ["b:1"])
            path.write_text('{"listed": [[0, ["a:')
            self.assertEqual(read_control_addresses(path), [])


class CloudOnSocketsTest(SocketsCase):
    def test_beats_and_names(self) -> None:
        async def scenario() -> None:
            fixture = WorkerFixture()
            address = fixture.serve(HTTPServer(build_cloud(CloudModel(0, 5), fixture.clock)))
            await send_request(address, "POST", "/site/name", {"Model": "m", "Revision": 4})
            beat = {"Id": "i", "Service": "s", "Address": "a:1", "Zone": "z", "Loading": True}
            answer = await send_request(address, "POST", "/site/beat", beat)
            assert answer is not None
            self.assertEqual(answer.fields(), {"Named": {"m": [1, 4]}, "Loading": 1})
            answer = await send_request(address, "GET", "/workers?Zone=z")
            assert answer is not None
            self.assertEqual(json.loads(answer.body)["Servers"][0]["Id"], "i")
            fixture.close()

        self.run_scenario(scenario())
