"""Metrics and the log lines that go with them (§3.4).

Guards against metrics that are missing, can't be parsed or don't follow what they count, against a metrics port that
keeps a process from starting, and against log lines that repeat without a change.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import socket
import sys
import tomllib
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from prometheus_client import CollectorRegistry, generate_latest  # noqa: E402
from prometheus_client.parser import text_string_to_metric_families  # noqa: E402
from settings import METRICS_PORT, parse_settings  # noqa: E402
from tornado.httpclient import AsyncHTTPClient  # noqa: E402
from tornado.httpserver import HTTPServer  # noqa: E402

from pearhead.config.startup import StartupConfig  # noqa: E402
from pearhead.consensus.state import Role  # noqa: E402
from pearhead.control_plane.core_process import CoreProcess  # noqa: E402
from pearhead.control_plane.metrics import CoreCollector  # noqa: E402
from pearhead.router.client_http_server import ClientConnectionManager  # noqa: E402
from pearhead.router.drain import DrainCoordinator, DrainSchedule, DrainState
from pearhead.router.gateway import GatewayProcess, GatewaySettings  # noqa: E402
from pearhead.router.job_api import build_job_api  # noqa: E402
from pearhead.router.metrics import RosterCollector, build_gateway_registry, build_node_registry  # noqa: E402
from pearhead.router.node_process import NodeProcess  # noqa: E402
from pearhead.router.relay import RELAY_PERIOD_MICROS  # noqa: E402
from pearhead.router.roster_age_monitor import OLD_MICROS, RosterAgeMonitor  # noqa: E402
from pearhead.router.worker_control import Backend  # noqa: E402
from pearhead.rpc.rpc_endpoint import RpcEndpoint  # noqa: E402
from pearhead.rpc.wire_pb2 import Member, Members, UseNote  # noqa: E402
from pearhead.runtime.clock import MILLI, SECOND, BootClock, sleep_for  # noqa: E402
from pearhead.runtime.collectors import LinkCollector  # noqa: E402
from pearhead.runtime.fake_runtime import FakeRuntime  # noqa: E402
from pearhead.runtime.invariants import Invariant, InvariantCounters, InvariantViolationError  # noqa: E402
from pearhead.runtime.loop_lag import LoopLag  # noqa: E402
from pearhead.runtime.metrics import METRICS_PATH, build_registry, serve_metrics  # noqa: E402
from pearhead.runtime.socketnet import (
    FRAME_EXPIRY_MICROS,
    MAXIMUM_QUEUED_FRAMES,
    OutgoingConnection,
    SocketNet,
    split_address,
)  # noqa: E402
from pearhead.testbed.simulator.world import World, pause, run_in_virtual_time  # noqa: E402
from tests.test_relay import RelayFleet  # noqa: E402
from tests.workerfleet import WorkerFleet  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
LOGGER = logging.getLogger("pearhead")
SETTINGS = {
    "Ip": "10.1.0.36",
    "Zone": "z",
    "Serves": ["front"],
    "SeedNodes": ["10.1.0.39:8169"],
    "BindAddresses": {"Front": "10.1.0.36:8167"},
}
GATEWAY_NAMES = {
    "roster_asker",
    "roster_list_requests",
    "workers",
    "draining",
    "open_requests",
    "requests_taken",
    "requests_taken_draining",
    "requests_ended",
    "client_connections",
    "worker_connections",
    "zone_relay",
    "view_number",
    "messages_sent",
    "message_bytes_sent",
    "link_queued_bytes",
    "link_frames_dropped",
    "datagram_errors",
    "event_loop_lag_seconds",
    "unconfirmed_salts",
    "record_failures",
    "background_loop_failures",
    "invariant_violations",
}


def parse(text: str) -> dict[str, float]:
    """Samples by name and label values, without the common prefix; raises ValueError on malformed text."""
    samples: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = "".join(f"{{{value}}}" for value in sample.labels.values())
            samples[sample.name.removeprefix("pearhead_") + labels] = sample.value
    return samples


def read(registry: CollectorRegistry) -> dict[str, float]:
    return parse(generate_latest(registry).decode())


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def messages(caught: Any, text: str) -> list[str]:
    return [record.getMessage() for record in caught.records if text in record.getMessage()]


def build_gateway(clock: Any, net: Any) -> GatewayProcess:
    startup = StartupConfig(address="127.0.0.1:1", httpAddress="a:2", area="a", seeds=["s:1"], drainMicros=100 * MILLI)
    unused: Any = None
    return GatewayProcess(startup, GatewaySettings(), clock, net, unused, unused, random.Random(1))


def build_edge(clock: Any) -> ClientConnectionManager:
    unused: Any = None
    return ClientConnectionManager(clock, unused, unused, unused)


class GatewayFiguresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        self.net = SocketNet("127.0.0.1:1", self.runtime)
        self.gateway = build_gateway(self.runtime, self.net)
        self.edge = build_edge(self.runtime)
        self.registry = build_gateway_registry(self.gateway, self.edge, self.net)

    def test_every_figure_is_told_from_the_start_and_parses(self) -> None:
        families = text_string_to_metric_families(generate_latest(self.registry).decode())
        names = {family.name.removeprefix("pearhead_") for family in families}
        self.assertLessEqual(GATEWAY_NAMES, names)
        self.assertNotIn("roster_age_seconds", read(self.registry), "the list was never requested")
        self.assertNotIn("view_age_seconds", read(self.registry))

    def test_figures_follow_what_they_count(self) -> None:
        gateway = self.gateway
        workers = [Backend("w1", "w1:80", "z", "s", 4), Backend("w2", "w2:80", "z", "s", 4, is_leaving=True)]
        gateway.roster_synchronizer._merge(workers, self.runtime.now() - 1_500 * MILLI)
        gateway.roster_synchronizer.is_asker = True
        gateway.relay.is_relaying = True
        gateway.view_replica.confirmed_micros = self.runtime.now() - 250 * MILLI
        gateway.request_proxy.accepted_count = 7
        gateway.request_proxy.in_flight_requests = {mock.Mock(), mock.Mock()}
        gateway.request_proxy.outcomes.update(done=4, cut=1)
        self.edge.streams = {mock.Mock() for _ in range(9)}
        gateway.rpc_endpoint.multicast(["127.0.0.1:9", "127.0.0.1:8"], "use_note", UseNote())
        gateway.loop_lag.record_lateness(30 * MILLI)
        samples = read(self.registry)
        expected = {
            "roster_age_seconds": 1.5,
            "roster_asker": 1,
            "workers{serving}": 1,
            "workers{leaving}": 1,
            "zone_relay": 1,
            "view_age_seconds": 0.25,
            "open_requests": 2,
            "requests_taken_total": 7,
            "requests_taken_draining_total": 0,
            "requests_ended_total{done}": 4,
            "requests_ended_total{cut}": 1,
            "client_connections": 9,
            "messages_sent_total{use_note}": 2,
            "message_bytes_sent_total{use_note}": gateway.rpc_endpoint.sent_bytes["use_note"],
            "event_loop_lag_seconds": 0.03,
            "invariant_violations_total{leaving_is_final}": 0,
        }
        self.assertEqual({name: samples.get(name) for name in expected}, expected)

    def test_violations_are_told_by_invariant(self) -> None:
        with self.assertLogs(LOGGER, "ERROR"):
            self.gateway.invariants.check(Invariant.LEAVING_IS_FINAL, False, "w1")
        self.assertEqual(read(self.registry)["invariant_violations_total{leaving_is_final}"], 1)


class CoreFiguresTest(unittest.TestCase):
    def test_role_term_log_and_members_are_told(self) -> None:
        members = Members(member=[Member(identity="a", voter=True), Member(identity="b")])
        raft = SimpleNamespace(
            role=Role.CANDIDATE,
            term=3,
            commit_index=10,
            applied_index=9,
            elections=SimpleNamespace(election_count=2),
            writer=SimpleNamespace(flush_started_micros=99 * SECOND),
            disk_full=False,
            last_index=lambda: 11,
            members=lambda: members,
            voters=lambda: {"a": "a:1"},
        )
        runtime = FakeRuntime()
        rpc_endpoint = RpcEndpoint("a", "a:1", runtime, runtime)
        core = cast(CoreProcess, SimpleNamespace(raft=raft, clock=runtime, rpc_endpoint=rpc_endpoint))
        samples = read(build_registry([CoreCollector(core)]))
        self.assertEqual(
            {role: samples[f"raft_role{{{role}}}"] for role in Role}, {role: role == "candidate" for role in Role}
        )
        expected = {"raft_term": 3, "raft_commit_index": 10, "raft_applied_index": 9, "raft_last_index": 11}
        expected |= {"raft_members": 2, "raft_voters": 1, "raft_elections_total": 2, "raft_flush_seconds": 1}
        self.assertEqual({name: samples[name] for name in expected}, expected)
        raft.writer.flush_started_micros = None
        self.assertEqual(read(build_registry([CoreCollector(core)]))["raft_flush_seconds"], 0)


class LinkFiguresTest(unittest.TestCase):
    def test_what_waits_and_what_is_given_up_is_counted(self) -> None:
        runtime = FakeRuntime()
        net = SocketNet("127.0.0.1:1", runtime)
        link = net.outgoing_connections["a:1"] = OutgoingConnection("a:1", runtime, net.losses)
        for _ in range(MAXIMUM_QUEUED_FRAMES + 3):
            link.push(b"12345")
        registry = build_registry([LinkCollector(net)])
        samples = read(registry)
        self.assertEqual(samples["link_queued_frames"], MAXIMUM_QUEUED_FRAMES)
        self.assertEqual(samples["link_queued_bytes"], 5 * MAXIMUM_QUEUED_FRAMES)
        self.assertEqual(samples["link_frames_dropped_total{queue_full}"], 3)
        runtime.now_micros += FRAME_EXPIRY_MICROS + 1
        link._drop_stale_frames()
        self.assertEqual(read(registry)["link_frames_dropped_total{stale}"], MAXIMUM_QUEUED_FRAMES)
        self.assertEqual(read(registry)["link_queued_bytes"], 0)


class ServeTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_text_is_served_and_parses(self) -> None:
        clock = BootClock()
        net = SocketNet(free_address(), clock)
        await net.open()
        self.addCleanup(net.close)
        gateway = build_gateway(clock, net)
        address = free_address()
        server = serve_metrics(address, build_gateway_registry(gateway, build_edge(clock), net))
        assert server is not None
        self.addCleanup(server.stop)
        response = await AsyncHTTPClient().fetch(f"http://{address}{METRICS_PATH}")
        self.assertEqual(response.code, 200)
        self.assertTrue(response.headers["Content-Type"].startswith("text/plain"))
        self.assertEqual(parse(response.body.decode())["datagram_queued_bytes"], 0)
        other = await AsyncHTTPClient().fetch(f"http://{address}/other", raise_error=False)
        self.assertEqual(other.code, 404)

    async def test_a_port_that_can_not_be_bound_is_a_warning_only(self) -> None:
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            holder.listen()
            taken_address = f"127.0.0.1:{holder.getsockname()[1]}"
            for address in (taken_address, "192.0.2.1:7655", ""):
                with self.assertLogs(LOGGER, "WARNING") as caught:
                    self.assertIsNone(serve_metrics(address, CollectorRegistry()), address)
                self.assertEqual(len(caught.records), 1)

    async def test_the_products_own_front_serves_them_beside_its_jobs(self) -> None:
        clock, net = BootClock(), SocketNet(free_address())
        startup = StartupConfig(address=net.own_address, httpAddress="a:2", area="a", seeds=["s:1"])
        unused: Any = None
        node = NodeProcess(startup, clock, net, unused, unused, random.Random(1))
        server = HTTPServer(build_job_api(node, startup, build_node_registry(node, net)))
        self.addCleanup(server.stop)
        address = free_address()
        host_name, port_number = split_address(address)
        server.listen(port_number, host_name)
        node.outcome_counts["done"] = 3
        response = await AsyncHTTPClient().fetch(f"http://{address}{METRICS_PATH}")
        self.assertEqual(parse(response.body.decode())["requests_ended_total{done}"], 3)

    def test_the_deploy_file_names_the_port_and_path_that_are_served(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        metrics_by_role = {name: role["metrics"] for name, role in deploy["roles"].items()}
        self.assertEqual(metrics_by_role, dict.fromkeys(("router", "control_plane"), f"{METRICS_PORT}{METRICS_PATH}"))

    def test_a_port_that_serves_something_else_is_not_taken(self) -> None:
        served: dict[str, str] = {"Front": "10.1.0.36:8167", "Readiness": "10.1.0.36:8162"}
        for ports, addresses, address in (
            ([7640, 7655], served, "10.1.0.36:7655"),
            ([7040, 7055], served, "10.1.0.36:7655"),
            ([7655, 7670], served, ""),
            ([7640, 7655], {**served, "Front": "10.1.0.36:7655"}, ""),
        ):
            settings = parse_settings({**SETTINGS, "PortRange": ports, "BindAddresses": addresses})
            self.assertEqual(settings.metrics_address(), address, (ports, addresses))


class LoopLagTest(unittest.TestCase):
    def test_the_greatest_lateness_is_kept_for_one_to_two_windows(self) -> None:
        runtime = FakeRuntime()
        lag = LoopLag(runtime, 10 * SECOND)
        lag.record_lateness(40 * MILLI)
        lag.record_lateness(5 * MILLI)
        self.assertEqual([lag.maximum_micros(), lag.maximum_micros()], [40 * MILLI] * 2, "reading must not change it")
        runtime.now_micros += 12 * SECOND
        lag.record_lateness(3 * MILLI)
        self.assertEqual(lag.maximum_micros(), 40 * MILLI)
        runtime.now_micros += 12 * SECOND
        self.assertEqual(lag.maximum_micros(), 3 * MILLI)
        runtime.now_micros += 25 * SECOND
        self.assertEqual(lag.maximum_micros(), 0)

    def test_a_blocked_loop_is_measured(self) -> None:
        async def scenario() -> int:
            clock = BootClock()
            lag = LoopLag(clock)
            waiting = asyncio.create_task(lag.sleep_for(10 * MILLI))
            await sleep_for(clock, 0)
            end_micros = clock.now() + 60 * MILLI
            while clock.now() < end_micros:
                pass
            await waiting
            return lag.maximum_micros()

        self.assertGreaterEqual(asyncio.run(scenario()), 45 * MILLI)


class InvariantCountersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()

    def test_violations_are_counted_and_each_kind_logged_once_a_second(self) -> None:
        counters = InvariantCounters(self.runtime)
        with self.assertLogs(LOGGER, "ERROR") as caught:
            counters.check(Invariant.LEAVING_IS_FINAL, True, "fine")
            for _ in range(3):
                counters.check(Invariant.LEAVING_IS_FINAL, False, "w1")
            counters.check(Invariant.ROSTER_TIME_ADVANCES, False, (2, 1))
            self.runtime.now_micros += SECOND
            counters.check(Invariant.LEAVING_IS_FINAL, False, "w2")
        self.assertEqual(counters.violations[Invariant.LEAVING_IS_FINAL], 4)
        logged = [record.getMessage().partition("invariant=")[2] for record in caught.records]
        self.assertEqual(
            logged,
            ["leaving_is_final detail='w1'", "roster_time_advances detail=(2, 1)", "leaving_is_final detail='w2'"],
        )

    def test_strict_counters_raise(self) -> None:
        counters = InvariantCounters(self.runtime, strict=True)
        counters.check(Invariant.LEAVING_IS_FINAL, True)
        with self.assertLogs(LOGGER, "ERROR"), self.assertRaises(InvariantViolationError) as raised:
            counters.check(Invariant.LEAVING_IS_FINAL, False, "w1")
        self.assertEqual(raised.exception.invariant, Invariant.LEAVING_IS_FINAL)

    def test_a_roster_that_forgets_who_leaves_is_a_violation(self) -> None:
        gateway = build_gateway(self.runtime, self.runtime)
        rosters = gateway.roster_synchronizer
        rosters._merge([Backend("w1", "w1:80", "z", "s", 4, is_leaving=True)], self.runtime.now())
        rosters.merge.leaving_names.clear()
        with self.assertLogs(LOGGER, "ERROR"):
            rosters._merge([Backend("w1", "w1:80", "z", "s", 4)], self.runtime.now() + 1)
        self.assertEqual(gateway.invariants.violations[Invariant.LEAVING_IS_FINAL], 1)


class RosterLogsTest(unittest.TestCase):
    def test_age_is_logged_on_crossing_the_bound_only(self) -> None:
        monitor = RosterAgeMonitor()
        with self.assertLogs(LOGGER, "INFO") as caught:
            for age_micros in (0, OLD_MICROS, OLD_MICROS + 5 * MILLI, 3 * SECOND, 4 * SECOND, SECOND, 500 * MILLI):
                monitor.observe(age_micros)
        self.assertEqual(
            [(record.levelname, record.getMessage()) for record in caught.records],
            [
                ("WARNING", "router: The roster is stale. age_ms=2005"),
                ("INFO", "router: The roster is fresh again. longest_ms=4000"),
            ],
        )

    def test_a_calm_fleet_logs_one_asker_and_nothing_more(self) -> None:
        async def scenario(world: World) -> None:
            fleet = WorkerFleet(world, 8, 5)
            fleet.start("roster_synchronizer")
            await pause(world, 10 * SECOND)
            with self.assertNoLogs(LOGGER, "INFO"):
                await pause(world, 20 * SECOND)
            askers = [node for node in fleet.nodes if node.roster_synchronizer.is_asker]
            self.assertEqual(len(askers), 1)
            samples = read(build_registry([RosterCollector(askers[0].roster_synchronizer)]))
            self.assertLessEqual(samples["roster_age_seconds"], 1.2)
            self.assertGreater(samples["roster_list_requests_total"], 20)
            self.assertEqual(fleet.faults(), [])

        run_in_virtual_time(1, scenario)

    def test_who_leaves_is_logged_once_a_node_with_its_source(self) -> None:
        async def scenario(world: World) -> None:
            fleet = WorkerFleet(world, 8, 5)
            fleet.start("roster_synchronizer")
            await pause(world, 10 * SECOND)
            listed = fleet.platform.listed
            listed["w1"] = dataclasses.replace(listed["w1"], is_leaving=True)
            with self.assertLogs(LOGGER, "INFO") as caught:
                await pause(world, 10 * SECOND)
            lines = messages(caught, "A worker is marked as leaving.")
            self.assertEqual(len(lines), 8, lines)
            asker = next(node for node in fleet.nodes if node.roster_synchronizer.is_asker)
            sources = [line.partition("source=")[2].partition(" ")[0] for line in lines]
            self.assertEqual(sorted(set(sources)), sorted({"list", asker.rpc_endpoint.own_address}))
            self.assertEqual(sources.count("list"), 1)
            self.assertEqual({line.partition("worker=")[2].partition(" ")[0] for line in lines}, {"w1"})
            ages = [int(line.partition("age_ms=")[2]) for line in lines]
            self.assertLess(max(ages), 100)

        run_in_virtual_time(1, scenario)

    def test_a_list_in_trouble_is_logged_with_its_begin_and_its_end(self) -> None:
        async def scenario(world: World) -> None:
            fleet = WorkerFleet(world, 6, 3)
            fleet.start("roster_synchronizer")
            await pause(world, 10 * SECOND)
            fleet.platform.is_list_up = False
            with self.assertLogs(LOGGER, "INFO") as caught:
                await pause(world, 8 * SECOND)
                fleet.platform.is_list_up = True
                await pause(world, 6 * SECOND)
            self.assertEqual(len(messages(caught, "The roster is stale.")), 6)
            fresh = messages(caught, "The roster is fresh again.")
            self.assertEqual(len(fresh), 6)
            self.assertGreater(min(int(line.partition("longest_ms=")[2]) for line in fresh), 7_500)
            self.assertEqual(len(messages(caught, "reason=list_failed")), 1)
            begun = messages(caught, "Starts polling the worker list on behalf of all nodes.")
            ended = messages(caught, "Stops polling the worker list on behalf of all nodes.")
            self.assertEqual(len(begun), len(ended), "one polling node before and one after")

        run_in_virtual_time(1, scenario)


class RelayLogsTest(unittest.TestCase):
    def test_a_zone_logs_its_relay_on_change_only(self) -> None:
        fleet = RelayFleet(30)
        with self.assertLogs(LOGGER, "INFO") as caught:
            fleet.run_periods(30)
        self.assertEqual(len(messages(caught, "Relays for its zone. zone=")), 3)
        self.assertEqual(len(caught.records), 3)
        self.assertEqual(sum(relay.is_relaying for relay in fleet.relays.values()), 3)
        fleet.dead.add(fleet.relays["n0"].chosen_relays["a"][0] if not fleet.relays["n0"].is_relaying else "n0")
        with self.assertLogs(LOGGER, "INFO") as caught:
            fleet.run_periods(30)
        self.assertEqual(len(messages(caught, "Relays for its zone. zone=a")), 1)
        self.assertEqual(len(caught.records), 1)

    def test_a_fleet_that_shrinks_relays_no_more(self) -> None:
        async def scenario(world: World) -> None:
            machine = world.machine("n1")
            machine.boot()
            fleet = RelayFleet(30)
            relay = next(iter(fleet.relays.values()))
            relay.clock = machine
            relay.is_relaying = True
            relay.direct_limit = 1_000
            with self.assertLogs(LOGGER, "INFO") as caught:
                machine.task_group.start(relay.run())
                await pause(world, 5 * RELAY_PERIOD_MICROS)
            self.assertEqual([r.getMessage() for r in caught.records], ["router: Relays for its zone no more. zone=a"])

        run_in_virtual_time(1, scenario)


class _CountedRequests:
    """Request counters with three open requests when the drain begins and one at its end."""

    def __init__(self) -> None:
        self.accepted_count = 10
        self.is_ended = False

    def open_count(self) -> int:
        if self.is_ended:
            return 0
        return 3 if self.accepted_count == 10 else 1

    def end_open(self) -> None:
        self.is_ended = True


class _IdleConnections:
    def stop_accepting(self) -> None:
        pass

    def refuse_incoming(self) -> None:
        pass

    def open_count(self) -> int:
        return 0

    def unanswered_count(self) -> int:
        return 0


class DrainLogsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_drain_ends_with_its_counts(self) -> None:
        clock, requests = BootClock(), _CountedRequests()
        schedule = DrainSchedule(handover_micros=20 * MILLI, end_micros=40 * MILLI, flush_micros=20 * MILLI)
        drain = DrainCoordinator(DrainState(clock, schedule), _IdleConnections(), requests)
        with self.assertLogs(LOGGER, "INFO") as caught:
            draining = asyncio.create_task(drain.run())
            await sleep_for(clock, 10 * MILLI)
            requests.accepted_count = 14
            await draining
        self.assertEqual(
            [record.getMessage() for record in caught.records],
            ["router: The drain is over. open_before=3 taken=4 cut=1"],
        )
