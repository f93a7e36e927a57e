"""Serializer (§6.3): the core's leader numbers the parts of every volume and sends their tables."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

import picologging

from pearhead.awl.clock import Clock
from pearhead.awl.courier import Courier
from pearhead.awl.crew import Crew
from pearhead.awl.directory import Directory
from pearhead.awl.wire_pb2 import Pair, PurgeNote, RevisionRepair, Table
from pearhead.rasp.channel import JoinedChannels, object_channel, volume_channel

LOGGER = picologging.getLogger("pearhead")
PAIRS_A_PAGE = 90


class RevisionKeeper(Protocol):
    """What the serializer asks of the core."""

    def is_leader(self) -> bool: ...

    async def confirm(self) -> bool: ...

    async def bump(self, note: PurgeNote) -> tuple[int, int] | None:
        """The revision and log index once committed, or None."""

    def pairs_of(self, owner: str, line: str) -> list[tuple[int, int]]: ...

    def position(self) -> tuple[int, int]:
        """Epoch and applied index."""


def page_pairs(pairs: list[tuple[int, int]]) -> list[list[tuple[int, int]]]:
    return [pairs[i : i + PAIRS_A_PAGE] for i in range(0, len(pairs), PAIRS_A_PAGE)] or [[]]


class Serializer:
    def __init__(
        self, keeper: RevisionKeeper, courier: Courier, directory: Directory, clock: Clock, crew: Crew,
        lifetimeMicros: int,
    ) -> None:
        self.keeper = keeper
        self.courier = courier
        self.directory = directory
        self.clock = clock
        self.crew = crew
        self.lifetimeMicros = lifetimeMicros
        self.channels = JoinedChannels()
        self.busyTables: set[tuple[str, str]] = set()
        self.busyTransactions: set[bytes] = set()
        self.tableSerial = 0
        self.handlers: dict[str, Callable[[str, PurgeNote], Coroutine[Any, Any, None]]] = {
            "revisionRequest": self._number_part,
            "tableRequest": self._send_table,
        }
        courier.on_tell("purgeNote", self._take_note)

    def join_volumes(self, volumes: Iterable[tuple[str, str]]) -> None:
        """Passive at first: volume channels only; object channels are joined when woken."""
        for owner, line in volumes:
            self._join(volume_channel(owner, line))

    def _join(self, channelNumber: int) -> None:
        if self.channels.join(channelNumber):
            self.directory.selfRecord.channels = self.channels.to_bytes()

    def _take_note(self, identity: str, address: str, note: PurgeNote) -> None:
        bodyName = note.WhichOneof("body")
        if bodyName == "wakeup":
            self._join(object_channel(note.owner, note.line, note.part))
        handler = self.handlers.get(bodyName or "")
        if handler is not None and self.keeper.is_leader():
            self.crew.start(handler(address, note))

    async def _number_part(self, address: str, note: PurgeNote) -> None:
        channelNumber = object_channel(note.owner, note.line, note.part)
        if not self.channels.joinedBits[channelNumber]:
            return  # Not on this channel yet: the sender's wakeup brings us in.
        transaction = note.revisionRequest.transaction
        if transaction in self.busyTransactions:
            return
        self.busyTransactions.add(transaction)
        try:
            numbered = await self.keeper.bump(note)
        finally:
            self.busyTransactions.discard(transaction)
        if numbered is None:
            return
        epoch, _ = self.keeper.position()
        repair = PurgeNote(owner=note.owner, line=note.line, part=note.part)
        repair.revisionRepair.CopyFrom(RevisionRepair(
            transaction=transaction, revision=numbered[0], index=numbered[1], epoch=epoch
        ))
        self._cast(channelNumber, address, repair)

    async def _send_table(self, address: str, note: PurgeNote) -> None:
        volume = (note.owner, note.line)
        if volume in self.busyTables:
            return
        self.busyTables.add(volume)
        try:
            askedMicros = self.clock.now()
            # A woken leader of an older epoch fails here, so it can't refresh a table (§6.4).
            if not await self.keeper.confirm():
                return
            epoch, index = self.keeper.position()
            pages = page_pairs(self.keeper.pairs_of(note.owner, note.line))
            leftMicros = self.lifetimeMicros - (self.clock.now() - askedMicros)
            if leftMicros <= 0:
                return
            self.tableSerial += 1
            for pageNumber, pairs in enumerate(pages):
                tableNote = PurgeNote(owner=note.owner, line=note.line)
                tableNote.table.CopyFrom(Table(
                    epoch=epoch, index=index, page=pageNumber, pages=len(pages), serial=self.tableSerial,
                    pair=[Pair(part=p, revision=r) for p, r in pairs], lifetimeMicros=leftMicros,
                ))
                self._cast(volume_channel(note.owner, note.line), address, tableNote)
        finally:
            self.busyTables.discard(volume)

    def _cast(self, channelNumber: int, askerAddress: str, note: PurgeNote) -> None:
        targetAddresses = self.directory.listeners(channelNumber)
        if askerAddress not in targetAddresses:
            targetAddresses.append(askerAddress)
        self.courier.cast(targetAddresses, "purgeNote", note)
