"""RevisionListener: which revision of a part is known, and when it is unknown."""

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
        self.bench = FakeRuntime()
        rpc_endpoint = RpcEndpoint("me", "a:1", self.bench, self.bench)
        self.directory = Directory(Record(identity="me"), ["s:1"], rpc_endpoint, self.bench, random.Random(1))
        self.listener = RevisionListener(
            rpc_endpoint, self.directory, self.bench, random.Random(1), BackgroundTaskGroup("test"), 30 * SECOND
        )
        self.directory.records["core"] = (
            Record(identity="core", address="c:1", role="control_plane", channels=b"\xff" * 32),
            2**60,
        )

    def revision(self, part: int) -> int | None:
        return self.listener.revision_of("o", "l", part)

    def hear(self, **body: Any) -> None:
        part = body.pop("part", 0)
        self.listener._take_note("core", "c:1", PurgeNote(owner="o", line="l", part=part, **body))

    def table(self, epoch: int, index: int, lifetime_micros: int = 30 * SECOND, **pairs: int) -> None:
        self.hear(
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
        self.table(1, 10, p7=3)
        self.assertEqual((self.revision(7), self.revision(8)), (3, 1), "one is the default")
        self.bench.now_micros += 30 * SECOND
        self.assertIsNone(self.revision(7))

    def test_a_request_marks_changing_and_its_repair_settles(self) -> None:
        self.revision(7)
        self.table(1, 10)
        self.hear(part=7, revision_request=RevisionRequest(transaction=b"t"))
        self.assertIsNone(self.revision(7))
        self.hear(part=7, revision_repair=RevisionRepair(transaction=b"u", revision=2, index=11, epoch=1))
        self.assertIsNone(self.revision(7), "the repair of another transaction settles nothing")
        self.hear(part=7, revision_repair=RevisionRepair(transaction=b"t", revision=3, index=12, epoch=1))
        self.assertEqual(self.revision(7), 3)
        self.hear(part=7, revision_repair=RevisionRepair(transaction=b"u", revision=2, index=11, epoch=1))
        self.assertEqual(self.revision(7), 3, "doubled and overtaken ones do nothing")
        self.table(1, 11, p7=2)
        self.assertEqual(self.revision(7), 3, "a table made before the bump doesn't undo it")

    def test_a_lost_repair_makes_the_volume_unknown_until_a_new_table(self) -> None:
        self.revision(7)
        self.table(1, 10)
        self.hear(part=7, revision_request=RevisionRequest(transaction=b"t"))
        self.bench.now_micros += CHANGE_TIMEOUT_MICROS + 1
        self.listener._refresh()
        self.assertIsNone(self.revision(8))
        self.table(1, 12, p7=2)
        self.assertEqual(self.revision(7), 2)

    def test_lower_epochs_are_rejected(self) -> None:
        self.revision(7)
        self.table(2, 20, p7=5)
        self.table(1, 30, p7=4)
        self.hear(part=7, revision_repair=RevisionRepair(transaction=b"t", revision=4, index=31, epoch=1))
        self.assertEqual(self.revision(7), 5)

    def test_a_relay_takes_its_holding_time_off(self) -> None:
        self.revision(7)
        self.table(1, 10, p7=5)
        self.bench.now_micros += 4 * SECOND
        self.hear(table_request=TableRequest())
        self.bench.now_micros += SECOND
        self.bench.notes.clear()
        self.listener._refresh()
        (note,) = [n for n in self.bench.notes if n.HasField("table")]
        self.assertEqual((note.table.lifetime_micros, note.table.epoch), (25 * SECOND, 1))
        self.hear(table_request=TableRequest())
        self.table(1, 11, p7=6)
        self.bench.now_micros += SECOND
        self.bench.notes.clear()
        self.listener._refresh()
        self.assertFalse([n for n in self.bench.notes if n.HasField("table")], "another came first")

    def test_pages_count_only_together(self) -> None:
        self.revision(7)
        for page, part in ((1, 8), (0, 7)):
            self.assertIsNone(self.revision(7))
            self.hear(
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
        self.table(1, 10, p7=3)
        self.assertEqual(self.listener.volumes, {})
