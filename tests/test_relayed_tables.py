"""Who passes a table of revisions on, and who knows that it is overtaken (§6.4)."""

from __future__ import annotations

import random
import unittest
from typing import Any

from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Pair, PurgeNote, Record, RevisionRepair, RevisionRequest, Table, TableRequest
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

OWNER, LINE, PART = "tenant:t", "l", 7
LIFETIME_MICROS = 30 * SECOND
CORE = "core:1"


class TableHolder:
    """One node's listener, with a clock set by hand; what it casts is handed on by the test."""

    def __init__(self, name: str) -> None:
        self.bench = FakeRuntime()
        rpc_endpoint = RpcEndpoint(name, f"{name}:1", self.bench, self.bench)
        directory = Directory(Record(identity=name), [CORE], rpc_endpoint, self.bench, random.Random(1))
        directory.records["core"] = (
            Record(identity="core", address=CORE, role="control_plane", channels=b"\xff" * 32),
            2**60,
        )
        self.listener = RevisionListener(
            rpc_endpoint, directory, self.bench, random.Random(1), BackgroundTaskGroup(name), LIFETIME_MICROS
        )
        self.revision()

    def revision(self) -> int | None:
        return self.listener.revision_of(OWNER, LINE, PART)

    def hear(self, note: PurgeNote) -> None:
        self.listener._take_note("another", "another:1", note)

    def hear_body(self, **body: Any) -> None:
        self.hear(PurgeNote(owner=OWNER, line=LINE, part=PART, **body))

    def hear_table(self, index: int, *pairs: Pair) -> None:
        self.hear_body(
            table=Table(
                epoch=1,
                index=index,
                pages=1,
                lifetime_micros=LIFETIME_MICROS,
                serial=index,
                pair=pairs,
            )
        )

    def hear_repair(self, transaction: bytes, revision: int, index: int) -> None:
        self.hear_body(
            revision_repair=RevisionRepair(
                transaction=transaction,
                revision=revision,
                index=index,
                epoch=1,
            )
        )

    def relayed_after_a_request(self) -> list[PurgeNote]:
        self.hear_body(table_request=TableRequest())
        self.bench.now_micros += SECOND
        self.bench.notes.clear()
        self.listener._refresh()
        return [n for n in self.bench.notes if n.HasField("table")]


class RelayedTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.holder, self.newcomer = TableHolder("holder"), TableHolder("newcomer")
        self.holder.hear_table(10)

    def hand_on(self) -> None:
        for note in self.holder.relayed_after_a_request():
            self.newcomer.hear(note)

    def test_a_table_without_a_bump_that_its_holder_heard_of_is_not_passed_on(self) -> None:
        self.holder.hear_body(revision_request=RevisionRequest(transaction=b"t"))
        self.holder.hear_repair(b"t", 2, 12)
        self.assertEqual(self.holder.revision(), 2)
        self.hand_on()
        self.assertIsNone(self.newcomer.revision(), "it would go on with the first revision")
        self.holder.hear_table(12, Pair(part=PART, revision=2))
        self.hand_on()
        self.assertEqual(self.newcomer.revision(), 2, "the next table holds it, and is passed on again")

    def test_nor_while_a_part_changes(self) -> None:
        self.holder.hear_body(revision_request=RevisionRequest(transaction=b"t"))
        self.hand_on()
        self.assertIsNone(self.newcomer.revision())

    def test_a_bump_that_the_table_holds_already_keeps_nobody_from_passing_it_on(self) -> None:
        self.holder.hear_body(revision_request=RevisionRequest(transaction=b"t"))
        self.holder.hear_table(12, Pair(part=PART, revision=2))
        self.holder.hear_repair(b"t", 2, 12)
        self.hand_on()
        self.assertEqual(self.newcomer.revision(), 2)
