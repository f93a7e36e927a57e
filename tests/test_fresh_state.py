"""Age limits of the state that a gateway decides by, at the moment of use (docs/incidents/issue-20-sweep.md).

Guards against a node that, cut off from the cores or from other nodes, keeps serving by an old view, revoked keys, old
weights or a node count that has become too low.
"""

from __future__ import annotations

import dataclasses
import json
import random
import unittest
from typing import Any

from result import Err
from tornado.httputil import HTTPHeaders

from pearhead.config.description import Description, Route, Split, Tenant
from pearhead.config.startup import StartupConfig
from pearhead.config.tenant_key import hash_key
from pearhead.config.view import View
from pearhead.router.errors import ErrorKind
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.gateway import GatewayProcess, GatewaySettings
from pearhead.router.opaque_request import OpaqueRequest
from pearhead.router.weights_grace_period import WeightsGracePeriod
from pearhead.rpc.wire_pb2 import Record
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

NODE_COUNT = 9
WINDOW_MICROS = 10 * SECOND
SLACK = 58
SERVE_ON_MICROS = 60 * SECOND
OLD_MICROS = 6 * SECOND


def make_gateway(runtime: FakeRuntime, key_trust_micros: int = 0) -> GatewayProcess:
    startup = StartupConfig(address="a:1", httpAddress="a:2", area="a", seeds=["s:1"], oldWeightsMicros=OLD_MICROS)
    unused: Any = None
    settings = GatewaySettings(max_view_age_micros=SERVE_ON_MICROS, key_trust_micros=key_trust_micros)
    return GatewayProcess(startup, settings, runtime, runtime, unused, unused, random.Random(1))


def make_view(number: int, **weights: int) -> View:
    body = json.dumps({"revision": number, "number": number, "description": {}}).encode()
    view = View(number, {**View().sections, "description": (number, body)})
    weights_records = {line: WeightsRecord(str(version), version) for line, version in weights.items()}
    view.__dict__.update(weights=weights_records, description_number=number)
    return view


class WeightsRecord:
    def __init__(self, weights: str, revision: int) -> None:
        self.weights = weights
        self.revision = revision


class ViewAgeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_view_is_served_by_for_a_bounded_time_after_it_was_confirmed(self) -> None:
        runtime = FakeRuntime()
        gateway = make_gateway(runtime)
        self.assertIsNone(gateway.view(), "no view was confirmed yet")
        gateway.view_replica.view, gateway.view_replica.confirmed_micros = make_view(0), runtime.now()
        gateway.view_replica.has_view = True
        self.assertIsNone(gateway.view(), "a confirmed view without a configuration")
        gateway.view_replica.view = make_view(3)
        self.assertIsNotNone(gateway.view())
        runtime.now_micros += SERVE_ON_MICROS
        self.assertIsNotNone(gateway.view())
        runtime.now_micros += 1
        self.assertIsNone(gateway.view())
        self.assertFalse(gateway.is_ready())


class KeyAgeTest(unittest.IsolatedAsyncioTestCase):
    async def test_keys_end_in_their_own_time_at_a_node_that_hears_of_no_core(self) -> None:
        runtime = FakeRuntime()
        for bound_micros, trusted_micros in ((5 * SECOND, 5 * SECOND), (0, SERVE_ON_MICROS)):
            gateway = make_gateway(runtime, bound_micros)
            gateway.view_replica.view, gateway.view_replica.has_view = make_view(3), True
            gateway.view_replica.confirmed_micros = runtime.now()
            runtime.now_micros += trusted_micros
            self.assertTrue(gateway.trusts_keys())
            self.assertIsNotNone(gateway.view())
            runtime.now_micros += 1
            self.assertEqual(gateway.trusts_keys(), not bound_micros)

    async def test_a_gate_asks_for_each_request_with_a_key_and_again_as_it_is_sent(self) -> None:
        runtime = FakeRuntime()
        gateway = make_gateway(runtime, 5 * SECOND)
        tenant = Tenant("t", keyHashes=[hash_key("key")])
        routes = [Route("r", "h", "/a/", [Split("s", 1)], SECOND), Route("p", "h", "/p/", [Split("s", 1)], SECOND)]
        routes[1] = dataclasses.replace(routes[1], public=True)
        view = View()
        view.__dict__.update(description=Description(routes=routes, tenants=[tenant]), description_number=3)
        gateway.view_replica.view, gateway.view_replica.has_view, gateway.view_replica.confirmed_micros = (
            view,
            True,
            runtime.now(),
        )

        def resolve(path: str, key: str) -> ErrorKind | None:
            request = OpaqueRequest("1", "POST", path, "h", path, HTTPHeaders(), b"", runtime.now(), hash_key(key))
            resolution = gateway.request_proxy._resolve_route(request)
            return resolution.err_value.kind if isinstance(resolution, Err) else None

        self.assertEqual((resolve("/a/", "key"), resolve("/a/", "none")), (None, ErrorKind.BAD_KEY))
        runtime.now_micros += 5 * SECOND + 1
        self.assertEqual((resolve("/a/", "key"), resolve("/p/", "")), (ErrorKind.NOT_CURRENT, None))


class WeightsAgeTest(unittest.IsolatedAsyncioTestCase):
    async def test_old_weights_are_used_for_a_bounded_time_from_before_their_successors_naming(self) -> None:
        runtime = FakeRuntime()
        view_replica = make_gateway(runtime).view_replica
        grace_period = WeightsGracePeriod(runtime, view_replica, OLD_MICROS)
        self.assertTrue(grace_period.may_use(make_view(1, m=1), "m", 1))
        known_current_micros = runtime.now()
        runtime.now_micros += 2 * SECOND
        view_replica.not_acknowledged_before["m", 2] = known_current_micros
        newer_view = make_view(2, m=2)
        self.assertTrue(grace_period.may_use(newer_view, "m", 1))
        runtime.now_micros = known_current_micros + OLD_MICROS - 1
        self.assertTrue(grace_period.may_use(newer_view, "m", 1))
        runtime.now_micros += 1
        self.assertFalse(
            grace_period.may_use(newer_view, "m", 1),
            "counted from when the view was last confirmed without newer weights",
        )
        self.assertTrue(grace_period.may_use(newer_view, "m", 2))
        view_replica.not_acknowledged_before["m", 3] = runtime.now()
        self.assertFalse(
            grace_period.may_use(make_view(3, m=3), "m", 1), "a later revision must not extend the grace period"
        )


class NodeCountTest(unittest.IsolatedAsyncioTestCase):
    """Fleet-wide limits are divided by the number of nodes, which must not drop when a node is cut off."""

    async def asyncSetUp(self) -> None:
        self.runtime = FakeRuntime()
        self.gateway = make_gateway(self.runtime)
        for number in range(1, NODE_COUNT):
            record = Record(identity=f"n{number}", address=f"a:{10 + number}", role="router")
            self.gateway.directory.records[record.identity] = (record, self.runtime.now())

    async def test_a_node_knows_its_colleagues(self) -> None:
        self.assertEqual(self.gateway.node_count(), NODE_COUNT)

    async def test_a_node_that_is_cut_off_takes_no_larger_share_while_it_serves_on(self) -> None:
        budget = FleetRetryBudget(self.runtime, 0.2, SLACK, WINDOW_MICROS)
        self.gateway.node_count()
        # The records of unreachable nodes have expired by now, while this node keeps serving.
        self.runtime.now_micros += WINDOW_MICROS
        spent = 0
        for _ in range(100):
            self.runtime.now_micros += WINDOW_MICROS // 100
            while budget.try_withdraw("s", self.gateway.node_count()):
                spent += 1
        # Every other node may be cut off in the same way, and all of them send to the same workers.
        self.assertLessEqual(spent, max(SLACK / NODE_COUNT, 1))
