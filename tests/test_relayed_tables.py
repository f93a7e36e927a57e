"""Relaying of revision tables (§6.4): a node that knows of a later change does not relay its table.

Guards against a node that receives such a table, without the change, and goes on with the old revision of the part.
"""

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
    """One node's listener with a clock that the test sets; the test passes on the datagrams that it sends."""

    def __init__(self, name: str) -> None:
        self.runtime = FakeRuntime()
        rpc_endpoint = RpcEndpoint(name, f"{name}:1", self.runtime, self.runtime)
        directory = Directory(Record(identity=name), [CORE], rpc_endpoint, self.runtime, random.Random(1))
        directory.records["core"] = (
            Record(identity="core", address=CORE, role="control_plane", channels=b"\xff" * 32),
            2**60,
        )
        self.listener = RevisionListener(
            rpc_endpoint, directory, self.runtime, random.Random(1), BackgroundTaskGroup(name), LIFETIME_MICROS
        )
        self.revision()

    def revision(self) -> int | None:
        return self.listener.revision_of(OWNER, LINE, PART)

    def receive(self, note: PurgeNote) -> None:
        self.listener._handle_purge_note("another", "another:1", note)

    def receive_body(self, **body: Any) -> None:
        self.receive(PurgeNote(owner=OWNER, line=LINE, part=PART, **body))

    def receive_table(self, index: int, *pairs: Pair) -> None:
        self.receive_body(
            table=Table(
                epoch=1,
                index=index,
                pages=1,
                lifetime_micros=LIFETIME_MICROS,
                serial=index,
                pair=pairs,
            )
        )

    def receive_repair(self, transaction: bytes, revision: int, index: int) -> None:
        self.receive_body(
            revision_repair=RevisionRepair(
                transaction=transaction,
                revision=revision,
                index=index,
                epoch=1,
            )
        )

    def request_table(self) -> list[PurgeNote]:
        self.receive_body(table_request=TableRequest())
        self.runtime.now_micros += SECOND
        self.runtime.notes.clear()
        self.listener._refresh()
        return [n for n in self.runtime.notes if n.HasField("table")]


class RelayedTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.holder, self.newcomer = TableHolder("holder"), TableHolder("newcomer")
        self.holder.receive_table(10)

    def relay_table(self) -> None:
        for note in self.holder.request_table():
            self.newcomer.receive(note)

    def test_a_table_without_a_bump_that_its_holder_heard_of_is_not_passed_on(self) -> None:
        self.holder.receive_body(revision_request=RevisionRequest(transaction=b"t"))
        self.holder.receive_repair(b"t", 2, 12)
        self.assertEqual(self.holder.revision(), 2)
        self.relay_table()
        self.assertIsNone(self.newcomer.revision(), "the table would make it use the first revision")
        self.holder.receive_table(12, Pair(part=PART, revision=2))
        self.relay_table()
        self.assertEqual(self.newcomer.revision(), 2, "the next table has the change and is relayed")

    def test_nor_while_a_part_changes(self) -> None:
        self.holder.receive_body(revision_request=RevisionRequest(transaction=b"t"))
        self.relay_table()
        self.assertIsNone(self.newcomer.revision())

    def test_a_bump_that_the_table_holds_already_keeps_nobody_from_passing_it_on(self) -> None:
        self.holder.receive_body(revision_request=RevisionRequest(transaction=b"t"))
        self.holder.receive_table(12, Pair(part=PART, revision=2))
        self.holder.receive_repair(b"t", 2, 12)
        self.relay_table()
        self.assertEqual(self.newcomer.revision(), 2)
