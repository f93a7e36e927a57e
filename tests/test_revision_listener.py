"""RevisionListener: which revision of a part is known, and when it is unknown.

Guards against an outdated revision that is used as current after lost, duplicated or reordered messages.
"""

from __future__ import annotations

import random
import unittest
from typing import Any

from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_listener import CHANGE_TIMEOUT_MICROS, RevisionListener
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import (
    Pair,
    PurgeNote,
    Record,
    RevisionRepair,
    RevisionRequest,
    Table,
    TableRequest,
)
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime


class ListenerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        rpc_endpoint = RpcEndpoint("me", "a:1", self.runtime, self.runtime)
        self.directory = Directory(Record(identity="me"), ["s:1"], rpc_endpoint, self.runtime, random.Random(1))
        self.listener = RevisionListener(
            rpc_endpoint, self.directory, self.runtime, random.Random(1), BackgroundTaskGroup("test"), 30 * SECOND
        )
        self.directory.records["core"] = (
            Record(identity="core", address="c:1", role="control_plane", channels=b"\xff" * 32),
            2**60,
        )

    def revision(self, part: int) -> int | None:
        return self.listener.revision_of("o", "l", part)

    def receive(self, **body: Any) -> None:
        part = body.pop("part", 0)
        self.listener._handle_purge_note("core", "c:1", PurgeNote(owner="o", line="l", part=part, **body))

    def receive_table(self, epoch: int, index: int, lifetime_micros: int = 30 * SECOND, **pairs: int) -> None:
        self.receive(
            table=Table(
                epoch=epoch,
                index=index,
                pages=1,
                lifetime_micros=lifetime_micros,
                serial=index,
                pair=[Pair(part=int(p[1:]), revision=r) for p, r in pairs.items()],
            )
        )

    def test_unknown_before_a_table_and_after_its_lifetime(self) -> None:
        self.assertIsNone(self.revision(7))
        self.receive_table(1, 10, p7=3)
        self.assertEqual((self.revision(7), self.revision(8)), (3, 1), "a part that the table lacks has revision 1")
        self.runtime.now_micros += 30 * SECOND
        self.assertIsNone(self.revision(7))

    def test_a_request_marks_changing_and_its_repair_settles(self) -> None:
        self.revision(7)
        self.receive_table(1, 10)
        self.receive(part=7, revision_request=RevisionRequest(transaction=b"t"))
        self.assertIsNone(self.revision(7))
        self.receive(part=7, revision_repair=RevisionRepair(transaction=b"u", revision=2, index=11, epoch=1))
        self.assertIsNone(self.revision(7), "the repair of another transaction does not end the change")
        self.receive(part=7, revision_repair=RevisionRepair(transaction=b"t", revision=3, index=12, epoch=1))
        self.assertEqual(self.revision(7), 3)
        self.receive(part=7, revision_repair=RevisionRepair(transaction=b"u", revision=2, index=11, epoch=1))
        self.assertEqual(self.revision(7), 3, "duplicated and reordered repairs have no effect")
        self.receive_table(1, 11, p7=2)
        self.assertEqual(self.revision(7), 3, "a table made before the bump does not undo it")

    def test_a_lost_repair_makes_the_volume_unknown_until_a_new_table(self) -> None:
        self.revision(7)
        self.receive_table(1, 10)
        self.receive(part=7, revision_request=RevisionRequest(transaction=b"t"))
        self.runtime.now_micros += CHANGE_TIMEOUT_MICROS + 1
        self.listener._refresh()
        self.assertIsNone(self.revision(8))
        self.receive_table(1, 12, p7=2)
        self.assertEqual(self.revision(7), 2)

    def test_lower_epochs_are_rejected(self) -> None:
        self.revision(7)
        self.receive_table(2, 20, p7=5)
        self.receive_table(1, 30, p7=4)
        self.receive(part=7, revision_repair=RevisionRepair(transaction=b"t", revision=4, index=31, epoch=1))
        self.assertEqual(self.revision(7), 5)

    def test_a_relay_takes_its_holding_time_off(self) -> None:
        self.revision(7)
        self.receive_table(1, 10, p7=5)
        self.runtime.now_micros += 4 * SECOND
        self.receive(table_request=TableRequest())
        self.runtime.now_micros += SECOND
        self.runtime.notes.clear()
        self.listener._refresh()
        (note,) = [n for n in self.runtime.notes if n.HasField("table")]
        self.assertEqual((note.table.lifetime_micros, note.table.epoch), (25 * SECOND, 1))
        self.receive(table_request=TableRequest())
        self.receive_table(1, 11, p7=6)
        self.runtime.now_micros += SECOND
        self.runtime.notes.clear()
        self.listener._refresh()
        self.assertFalse(
            [n for n in self.runtime.notes if n.HasField("table")], "a newer table arrived first, so none is relayed"
        )

    def test_pages_count_only_together(self) -> None:
        self.revision(7)
        for page, part in ((1, 8), (0, 7)):
            self.assertIsNone(self.revision(7))
            self.receive(
                table=Table(
                    epoch=1,
                    index=10,
                    page=page,
                    pages=2,
                    lifetime_micros=SECOND,
                    serial=1,
                    pair=[Pair(part=part, revision=4)],
                )
            )
        self.assertEqual((self.revision(7), self.revision(8)), (4, 4))

    def test_spurious_volumes_are_dropped(self) -> None:
        self.receive_table(1, 10, p7=3)
        self.assertEqual(self.listener.volumes, {})
