"""WeightsGracePeriod: how long old weights may still be used, also at a node that has just started."""

from __future__ import annotations

import json
import random
import unittest

from pearhead.config.view import View, hash_sections
from pearhead.discovery.directory import Directory
from pearhead.router.view_replica import ViewReplica
from pearhead.router.weights_grace_period import WeightsGracePeriod
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Record, Section, TermResult, ViewDelta
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

LINE = "model"
OLD_MICROS = 6 * SECOND


def make_term_result(index: int, version: int) -> TermResult:
    """A whole view in which this version is the current one."""
    body = json.dumps({LINE: {"weights": str(version), "revision": index}}).encode()
    sections = {**View().sections, "weights": (index, body)}
    delta = ViewDelta(index=index, hash=hash_sections(sections))
    delta.section.append(Section(name="weights", index=index, body=body))
    return TermResult(member=True, delta=delta)


class WeightsClockTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        rpc_endpoint = RpcEndpoint("me", "a:1", self.runtime, self.runtime)
        directory = Directory(Record(identity="me"), ["s:1"], rpc_endpoint, self.runtime, random.Random(1))
        self.view_replica = ViewReplica(
            rpc_endpoint, directory, self.runtime, random.Random(1), BackgroundTaskGroup("test"), SECOND
        )
        self.grace_period = WeightsGracePeriod(self.runtime, self.view_replica, OLD_MICROS)

    def apply_view(self, index: int, version: int) -> None:
        """Applies a view as if a core had sent it; the node then knows that its view is current."""
        self.view_replica._apply_view_delta(make_term_result(index, version))
        self.view_replica.confirmed_micros = self.runtime.now()

    def may_use(self, version: int) -> bool:
        return self.grace_period.may_use(self.view_replica.view, LINE, version)

    def test_old_weights_serve_for_a_while_after_newer_ones_were_named(self) -> None:
        self.apply_view(1, 1)
        self.assertTrue(self.may_use(1))
        self.apply_view(2, 2)
        self.assertTrue(self.may_use(1))
        self.runtime.now_micros += OLD_MICROS
        self.assertFalse(self.may_use(1))
        self.assertTrue(self.may_use(2))

    def test_a_node_that_starts_grants_weights_before_the_present_ones_nothing(self) -> None:
        self.apply_view(2, 2)
        self.assertFalse(self.may_use(1))

    def test_so_it_stays_if_others_are_named_before_its_first_request(self) -> None:
        """Nothing calls `may_use` before the first request; versions named until then count all the same."""
        self.apply_view(2, 2)
        self.apply_view(3, 3)
        self.assertFalse(self.may_use(1), "2 was named before this node started")
        self.assertTrue(self.may_use(2))

    def test_each_naming_counts_from_its_own_time_if_no_request_comes_between(self) -> None:
        self.apply_view(1, 1)
        self.apply_view(2, 2)
        self.runtime.now_micros += OLD_MICROS
        self.view_replica.confirmed_micros = self.runtime.now()
        self.apply_view(3, 3)
        self.assertFalse(self.may_use(1))
        self.assertTrue(self.may_use(2))
