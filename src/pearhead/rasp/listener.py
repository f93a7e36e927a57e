"""Listener (§6.4): a node's side of purge, which tells whether a part's revision is known now."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import picologging

from pearhead.awl.bench import Bench
from pearhead.awl.clock import MILLI, SECOND, Clock, rest
from pearhead.awl.courier import Courier
from pearhead.awl.crew import Crew
from pearhead.awl.directory import Directory
from pearhead.awl.wire_pb2 import (
    Pair,
    PurgeNote,
    Record,
    RevisionRepair,
    RevisionRequest,
    Table,
    TableRequest,
    Wakeup,
)
from pearhead.rasp.channel import JoinedChannels, object_channel, volume_channel
from pearhead.rasp.serializer import page_pairs

LOGGER = picologging.getLogger("pearhead")
RESEND_MICROS = 250 * MILLI
RESEND_COUNT = 20
TABLE_ASK_MICROS = 400 * MILLI
RELAY_MICROS = 120 * MILLI
IDLE_MICROS = 120 * SECOND
CHANGING_MICROS = 10 * SECOND

Volume = tuple[str, str]


@dataclass
class VolumeState:
    usedMicros: int
    epoch: int = 0
    index: int = 0
    serial: int = 0
    expiryMicros: int = -1
    askedMicros: int = -SECOND
    relayDue: int = 0
    tableRevisions: dict[int, int] = field(default_factory=dict)
    heard: dict[int, tuple[int, int]] = field(default_factory=dict)
    changing: dict[int, tuple[bytes, int]] = field(default_factory=dict)
    pages: dict[int, list[tuple[int, int]]] = field(default_factory=dict)
    pagesMark: tuple[int, int, int] = (0, 0, 0)
    pagesExpiry: int = 0

    def is_overtaken(self) -> bool:
        """A bump was heard of that the table does not hold: who had only the table would use the old part (§6.4)."""
        return bool(self.heard or self.changing)


class Listener:
    def __init__(
        self, courier: Courier, directory: Directory, clock: Clock, chance: random.Random, crew: Crew,
        lifetimeMicros: int,
    ) -> None:
        self.courier = courier
        self.directory = directory
        self.clock = clock
        self.chance = chance
        self.crew = crew
        self.lifetimeMicros = lifetimeMicros
        self.channels = JoinedChannels()
        self.volumes: dict[Volume, VolumeState] = {}
        self.repairs: dict[bytes, RevisionRepair] = {}
        self.openTransactions: set[bytes] = set()
        self.conflictCount = 0
        self.copyWatcher: Callable[[PurgeNote], None] = lambda note: None
        courier.on_tell("purgeNote", self._take_note)

    # ---- asked by the router and the fetch planner ---------------------------------------------

    def revision_of(self, owner: str, line: str, part: int) -> int | None:
        """The part's revision if it is known to be current now; None means prefill (§6.4)."""
        state = self._use(owner, line)
        self._join(object_channel(owner, line, part))
        if state.expiryMicros <= self.clock.now() or part in state.changing:
            return None
        if part in state.heard:
            return state.heard[part][0]
        return state.tableRevisions.get(part, 1)

    def last_revision_of(self, owner: str, line: str, part: int) -> int:
        """The last that was known, current or not; good only where a worker checks what it runs on (§6.7)."""
        state = self._use(owner, line)
        return state.heard[part][0] if part in state.heard else state.tableRevisions.get(part, 1)

    def is_changing(self, owner: str, line: str, part: int) -> bool:
        return part in self._use(owner, line).changing

    async def bump(self, owner: str, line: str, part: int) -> int | None:
        """Asks the serializer for the next revision; goes on with plus one until the answer is here."""
        state = self._use(owner, line)
        self._join(object_channel(owner, line, part))
        transaction = self.chance.randbytes(16)
        heldRevision = state.heard.get(part, (state.tableRevisions.get(part, 1), 0))[0]
        expectedRevision = heldRevision + 1
        request = PurgeNote(owner=owner, line=line, part=part)
        request.revisionRequest.CopyFrom(RevisionRequest(transaction=transaction))
        wakeup = PurgeNote(owner=owner, line=line, part=part)
        wakeup.wakeup.CopyFrom(Wakeup())
        self._mark_changing(state, part, transaction)
        self.openTransactions.add(transaction)
        try:
            for tryNumber in range(RESEND_COUNT):
                # Woken first: the request that follows a silence finds the serializer listening.
                if tryNumber:
                    self._cast(volume_channel(owner, line), wakeup)
                self._cast(object_channel(owner, line, part), request, withCores=tryNumber > 0)
                await rest(self.clock, RESEND_MICROS)
                repair = self.repairs.pop(transaction, None)
                if repair is not None:
                    if repair.revision != expectedRevision:
                        self.conflictCount += 1
                        LOGGER.info("rasp: A part was changed by another as well. owner=%s line=%s part=%d",
                                    owner, line, part)
                    return repair.revision
        finally:
            self.openTransactions.discard(transaction)
        return None

    # ---- keeping tables fresh -------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            await rest(self.clock, 100 * MILLI)
            self._refresh()

    def _refresh(self) -> None:
        nowMicros = self.clock.now()
        for (owner, line), state in list(self.volumes.items()):
            if nowMicros - state.usedMicros > IDLE_MICROS:
                del self.volumes[owner, line]
                continue
            for part, (_, sinceMicros) in list(state.changing.items()):
                # Its answer never came: only a table made since then can tell (§6.4).
                if nowMicros - sinceMicros > CHANGING_MICROS:
                    del state.changing[part]
                    state.expiryMicros = min(state.expiryMicros, nowMicros)
            if state.relayDue and nowMicros >= state.relayDue:
                state.relayDue = 0
                self._relay_table(owner, line, state)
            isSoon = state.expiryMicros - nowMicros < self.lifetimeMicros // 3
            if isSoon and nowMicros - state.askedMicros >= TABLE_ASK_MICROS:
                # Spread, so that one request and its table serve all who listen (SRM).
                state.askedMicros = nowMicros + self.chance.randrange(100) * MILLI
                request = PurgeNote(owner=owner, line=line)
                request.tableRequest.SetInParent()
                self._cast(volume_channel(owner, line), request, withCores=True)

    def _use(self, owner: str, line: str) -> VolumeState:
        state = self.volumes.get((owner, line))
        if state is None:
            state = self.volumes[owner, line] = VolumeState(self.clock.now())
            self._join(volume_channel(owner, line))
        state.usedMicros = self.clock.now()
        return state

    def _join(self, channelNumber: int) -> None:
        if self.channels.join(channelNumber):
            self.directory.selfRecord.channels = self.channels.to_bytes()

    def _mark_changing(self, state: VolumeState, part: int, transaction: bytes) -> None:
        state.changing[part] = (transaction, self.clock.now())

    def _cast(self, channelNumber: int, note: PurgeNote, withCores: bool = False) -> None:
        targetAddresses = self.directory.listeners(channelNumber)
        if withCores:
            for record in self.directory.members("anvil"):
                if record.address not in targetAddresses:
                    targetAddresses.append(record.address)
        self.courier.cast(targetAddresses, "purgeNote", note)

    # ---- messages ---------------------------------------------------------------------------------

    def _take_note(self, identity: str, address: str, note: PurgeNote) -> None:
        if note.HasField("copyNote") or note.HasField("changedNote"):
            self.copyWatcher(note)
            return
        state = self.volumes.get((note.owner, note.line))
        if state is None:
            return  # A collision of channels, or nothing of ours: spurious (§6.2).
        bodyName = note.WhichOneof("body")
        if bodyName == "revisionRequest":
            self._mark_changing(state, note.part, note.revisionRequest.transaction)
        elif bodyName == "revisionRepair":
            self._take_repair(state, note.part, note.revisionRepair)
        elif bodyName == "tableRequest":
            if state.expiryMicros - self.clock.now() > self.lifetimeMicros // 2 and not state.relayDue:
                state.relayDue = self.clock.now() + RELAY_MICROS + self.chance.randrange(RELAY_MICROS)
        elif bodyName == "table":
            self._take_table(state, note.table)

    def _take_repair(self, state: VolumeState, part: int, repair: RevisionRepair) -> None:
        if repair.transaction in self.openTransactions:
            self.repairs[repair.transaction] = repair
        if repair.epoch < state.epoch:
            return
        heldRevision, heldIndex = state.heard.get(part, (0, 0))
        if repair.index > max(heldIndex, state.index):
            state.heard[part] = (repair.revision, repair.index)
        changingTransaction, _ = state.changing.get(part, (b"", 0))
        if changingTransaction == repair.transaction:
            del state.changing[part]

    def _take_table(self, state: VolumeState, table: Table) -> None:
        if table.epoch < state.epoch or (table.epoch, table.index) < (state.epoch, state.index):
            return
        mark = (table.epoch, table.index, table.serial)
        if mark != state.pagesMark:
            state.pages, state.pagesMark = {}, mark
            state.pagesExpiry = self.clock.now() + table.lifetimeMicros
        state.pages[table.page] = [(pair.part, pair.revision) for pair in table.pair]
        state.pagesExpiry = min(state.pagesExpiry, self.clock.now() + table.lifetimeMicros)
        if len(state.pages) < table.pages:
            return
        state.relayDue = 0
        state.epoch, state.index, state.serial = mark
        state.tableRevisions = {p: r for pairs in state.pages.values() for p, r in pairs}
        state.heard = {p: h for p, h in state.heard.items() if h[1] > table.index}
        state.expiryMicros = max(state.expiryMicros, state.pagesExpiry)
        state.pagesMark = (0, 0, 0)

    def _relay_table(self, owner: str, line: str, state: VolumeState) -> None:
        """Any holder may repair the table; it takes its holding time off the lifetime (§6.4)."""
        leftMicros = state.expiryMicros - self.clock.now()
        if leftMicros <= 0 or state.is_overtaken():
            return
        pages = page_pairs(sorted(state.tableRevisions.items()))
        for pageNumber, pairs in enumerate(pages):
            note = PurgeNote(owner=owner, line=line)
            note.table.CopyFrom(Table(
                epoch=state.epoch, index=state.index, page=pageNumber, pages=len(pages),
                pair=[Pair(part=p, revision=r) for p, r in pairs], lifetimeMicros=leftMicros,
                serial=state.serial,
            ))
            self._cast(volume_channel(owner, line), note)


class ListenerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        courier = Courier("me", "a:1", self.bench, self.bench)
        self.directory = Directory(Record(identity="me"), ["s:1"], courier, self.bench, random.Random(1))
        self.listener = Listener(
            courier, self.directory, self.bench, random.Random(1), Crew("test"), 30 * SECOND
        )
        self.directory.records["core"] = (
            Record(identity="core", address="c:1", role="anvil", channels=b"\xff" * 32), 2**60
        )

    def revision(self, part: int) -> int | None:
        return self.listener.revision_of("o", "l", part)

    def hear(self, **body: Any) -> None:
        part = body.pop("part", 0)
        self.listener._take_note("core", "c:1", PurgeNote(owner="o", line="l", part=part, **body))

    def table(self, epoch: int, index: int, lifetimeMicros: int = 30 * SECOND, **pairs: int) -> None:
        self.hear(table=Table(
            epoch=epoch, index=index, pages=1, lifetimeMicros=lifetimeMicros, serial=index,
            pair=[Pair(part=int(p[1:]), revision=r) for p, r in pairs.items()],
        ))

    def test_unknown_before_a_table_and_after_its_lifetime(self) -> None:
        self.assertIsNone(self.revision(7))
        self.table(1, 10, p7=3)
        self.assertEqual((self.revision(7), self.revision(8)), (3, 1), "one is the default")
        self.bench.nowMicros += 30 * SECOND
        self.assertIsNone(self.revision(7))

    def test_a_request_marks_changing_and_its_repair_settles(self) -> None:
        self.revision(7)
        self.table(1, 10)
        self.hear(part=7, revisionRequest=RevisionRequest(transaction=b"t"))
        self.assertIsNone(self.revision(7))
        self.hear(part=7, revisionRepair=RevisionRepair(transaction=b"u", revision=2, index=11, epoch=1))
        self.assertIsNone(self.revision(7), "the repair of another transaction settles nothing")
        self.hear(part=7, revisionRepair=RevisionRepair(transaction=b"t", revision=3, index=12, epoch=1))
        self.assertEqual(self.revision(7), 3)
        self.hear(part=7, revisionRepair=RevisionRepair(transaction=b"u", revision=2, index=11, epoch=1))
        self.assertEqual(self.revision(7), 3, "doubled and overtaken ones do nothing")
        self.table(1, 11, p7=2)
        self.assertEqual(self.revision(7), 3, "a table made before the bump doesn't undo it")

    def test_a_lost_repair_makes_the_volume_unknown_until_a_new_table(self) -> None:
        self.revision(7)
        self.table(1, 10)
        self.hear(part=7, revisionRequest=RevisionRequest(transaction=b"t"))
        self.bench.nowMicros += CHANGING_MICROS + 1
        self.listener._refresh()
        self.assertIsNone(self.revision(8))
        self.table(1, 12, p7=2)
        self.assertEqual(self.revision(7), 2)

    def test_lower_epochs_are_rejected(self) -> None:
        self.revision(7)
        self.table(2, 20, p7=5)
        self.table(1, 30, p7=4)
        self.hear(part=7, revisionRepair=RevisionRepair(transaction=b"t", revision=4, index=31, epoch=1))
        self.assertEqual(self.revision(7), 5)

    def test_a_relay_takes_its_holding_time_off(self) -> None:
        self.revision(7)
        self.table(1, 10, p7=5)
        self.bench.nowMicros += 4 * SECOND
        self.hear(tableRequest=TableRequest())
        self.bench.nowMicros += SECOND
        self.bench.notes.clear()
        self.listener._refresh()
        (note,) = [n for n in self.bench.notes if n.HasField("table")]
        self.assertEqual((note.table.lifetimeMicros, note.table.epoch), (25 * SECOND, 1))
        self.hear(tableRequest=TableRequest())
        self.table(1, 11, p7=6)
        self.bench.nowMicros += SECOND
        self.bench.notes.clear()
        self.listener._refresh()
        self.assertFalse([n for n in self.bench.notes if n.HasField("table")], "another came first")

    def test_pages_count_only_together(self) -> None:
        self.revision(7)
        for page, part in ((1, 8), (0, 7)):
            self.assertIsNone(self.revision(7))
            self.hear(table=Table(
                epoch=1, index=10, page=page, pages=2, lifetimeMicros=SECOND, serial=1,
                pair=[Pair(part=part, revision=4)],
            ))
        self.assertEqual((self.revision(7), self.revision(8)), (4, 4))

    def test_spurious_volumes_are_dropped(self) -> None:
        self.table(1, 10, p7=3)
        self.assertEqual(self.listener.volumes, {})
