"""Directory: how records age, are refreshed and are replaced."""

from __future__ import annotations

import random
import unittest

from pearhead.discovery.directory import Directory
from pearhead.rpc.courier import Courier
from pearhead.rpc.wire_pb2 import HelloResult, Record
from pearhead.runtime.bench import Bench
from pearhead.runtime.clock import SECOND


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self_record = Record(identity="me", address="a:1", role="router")
        courier = Courier("me", "a:1", self.bench, self.bench)
        self.directory = Directory(self_record, ["seed:1"], courier, self.bench, random.Random(1))

    def hear(self, identity: str, address: str, age_micros: int, role: str = "control_plane") -> None:
        record = Record(identity=identity, address=address, role=role, age_micros=age_micros)
        self.directory._take_hello_result("x", "x:1", HelloResult(known=[record]))

    def test_records_age_over_relays_and_a_new_life_goes_first(self) -> None:
        self.hear("old", "b:1", 4 * SECOND)
        self.assertEqual([r.identity for r in self.directory.members()], ["old"])
        self.assertEqual(self.directory._aged_records()[0].age_micros, 4 * SECOND)
        self.hear("new", "b:1", 0)
        self.assertEqual([r.identity for r in self.directory.members()], ["new"])
        self.hear("new", "b:1", 3 * SECOND)
        self.bench.now_micros += 3 * SECOND
        self.assertEqual([r.identity for r in self.directory.members()], ["new"], "a late word ages nobody")
        self.bench.now_micros += 3 * SECOND
        self.assertEqual(self.directory.members(), [])

    def test_same_knowledge_refreshes_by_the_oldest_age_only(self) -> None:
        self.hear("b", "b:1", 0)
        self.bench.now_micros += 4 * SECOND
        result = HelloResult(is_same=True, oldest_age_micros=2 * SECOND)
        self.directory._take_hello_result("x", "x:1", result)
        self.bench.now_micros += 2 * SECOND
        self.assertEqual([r.identity for r in self.directory.members()], ["b"])
        self.bench.now_micros += 2 * SECOND
        self.assertEqual(self.directory.members(), [])

    def test_seeds_are_asked_only_while_no_core_is_known(self) -> None:
        self.assertEqual(self.directory._choose_targets(), ["seed:1"])
        self.hear("core", "c:1", 0)
        self.assertEqual(self.directory._choose_targets(), ["c:1"])
