"""RevisionListener (§6.4): a node's side of purge, which tells whether a part's revision is known now."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pearhead.discovery.directory import Directory
from pearhead.invalidation.channel import JoinedChannels, object_channel, volume_channel
from pearhead.invalidation.revision_sequencer import paginate_pairs
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import (
    Pair,
    PurgeNote,
    RevisionRepair,
    RevisionRequest,
    Table,
    Wakeup,
)
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
REQUEST_RESEND_MICROS = 250 * MILLI
RESEND_COUNT = 20
TABLE_REQUEST_INTERVAL_MICROS = 400 * MILLI
TABLE_RELAY_DELAY_MICROS = 120 * MILLI
VOLUME_IDLE_MICROS = 120 * SECOND
CHANGE_TIMEOUT_MICROS = 10 * SECOND

Volume = tuple[str, str]


@dataclass
class VolumeState:
    used_micros: int
    epoch: int = 0
    index: int = 0
    serial: int = 0
    expiry_micros: int = -1
    asked_micros: int = -SECOND
    relay_due_micros: int = 0
    table_revisions: dict[int, int] = field(default_factory=dict)
    newer_revisions: dict[int, tuple[int, int]] = field(default_factory=dict)
    changing: dict[int, tuple[bytes, int]] = field(default_factory=dict)
    pages: dict[int, list[tuple[int, int]]] = field(default_factory=dict)
    pages_version: tuple[int, int, int] = (0, 0, 0)
    pages_expiry_micros: int = 0

    def has_newer_revisions(self) -> bool:
        """A bump was heard of that the table does not hold: who had only the table would use the old part (§6.4)."""
        return bool(self.newer_revisions or self.changing)


class RevisionListener:
    def __init__(
        self,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        chance: random.Random,
        task_group: BackgroundTaskGroup,
        lifetime_micros: int,
    ) -> None:
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.chance = chance
        self.task_group = task_group
        self.lifetime_micros = lifetime_micros
        self.channels = JoinedChannels()
        self.volumes: dict[Volume, VolumeState] = {}
        self.repairs: dict[bytes, RevisionRepair] = {}
        self.open_transactions: set[bytes] = set()
        self.conflict_count = 0
        self.copy_note_handler: Callable[[PurgeNote], None] = lambda note: None
        rpc_endpoint.on_message("purge_note", self._take_note)

    # ---- asked by the router and the fetch planner ---------------------------------------------

    def revision_of(self, owner: str, line: str, part: int) -> int | None:
        """The part's revision if it is known to be current now; None means prefill (§6.4)."""
        state = self._touch_volume(owner, line)
        self._join(object_channel(owner, line, part))
        if state.expiry_micros <= self.clock.now() or part in state.changing:
            return None
        if part in state.newer_revisions:
            return state.newer_revisions[part][0]
        return state.table_revisions.get(part, 1)

    def last_revision_of(self, owner: str, line: str, part: int) -> int:
        """The last that was known, current or not; good only where a worker checks what it runs on (§6.7)."""
        state = self._touch_volume(owner, line)
        return state.newer_revisions[part][0] if part in state.newer_revisions else state.table_revisions.get(part, 1)

    def is_changing(self, owner: str, line: str, part: int) -> bool:
        return part in self._touch_volume(owner, line).changing

    async def bump(self, owner: str, line: str, part: int) -> int | None:
        """Asks the serializer for the next revision; goes on with plus one until the answer is here."""
        state = self._touch_volume(owner, line)
        self._join(object_channel(owner, line, part))
        transaction = self.chance.randbytes(16)
        held_revision = state.newer_revisions.get(part, (state.table_revisions.get(part, 1), 0))[0]
        expected_revision = held_revision + 1
        request = PurgeNote(owner=owner, line=line, part=part)
        request.revision_request.CopyFrom(RevisionRequest(transaction=transaction))
        wakeup = PurgeNote(owner=owner, line=line, part=part)
        wakeup.wakeup.CopyFrom(Wakeup())
        self._mark_changing(state, part, transaction)
        self.open_transactions.add(transaction)
        try:
            for try_number in range(RESEND_COUNT):
                # Woken first: the request that follows a silence finds the serializer listening.
                if try_number:
                    self._send_to_channel(volume_channel(owner, line), wakeup)
                self._send_to_channel(object_channel(owner, line, part), request, include_cores=try_number > 0)
                await sleep_for(self.clock, REQUEST_RESEND_MICROS)
                repair = self.repairs.pop(transaction, None)
                if repair is not None:
                    if repair.revision != expected_revision:
                        self.conflict_count += 1
                        LOGGER.info(
                            "invalidation: A part was changed by another as well. owner=%s line=%s part=%d",
                            owner,
                            line,
                            part,
                        )
                    return repair.revision
        finally:
            self.open_transactions.discard(transaction)
        return None

    # ---- keeping tables fresh -------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            await sleep_for(self.clock, 100 * MILLI)
            self._refresh()

    def _refresh(self) -> None:
        now_micros = self.clock.now()
        for (owner, line), state in list(self.volumes.items()):
            if now_micros - state.used_micros > VOLUME_IDLE_MICROS:
                del self.volumes[owner, line]
                continue
            for part, (_, since_micros) in list(state.changing.items()):
                # Its answer never came: only a table made since then can tell (§6.4).
                if now_micros - since_micros > CHANGE_TIMEOUT_MICROS:
                    del state.changing[part]
                    state.expiry_micros = min(state.expiry_micros, now_micros)
            if state.relay_due_micros and now_micros >= state.relay_due_micros:
                state.relay_due_micros = 0
                self._relay_table(owner, line, state)
            is_soon = state.expiry_micros - now_micros < self.lifetime_micros // 3
            if is_soon and now_micros - state.asked_micros >= TABLE_REQUEST_INTERVAL_MICROS:
                # Spread, so that one request and its table serve all who listen (SRM).
                state.asked_micros = now_micros + self.chance.randrange(100) * MILLI
                request = PurgeNote(owner=owner, line=line)
                request.table_request.SetInParent()
                self._send_to_channel(volume_channel(owner, line), request, include_cores=True)

    def _touch_volume(self, owner: str, line: str) -> VolumeState:
        state = self.volumes.get((owner, line))
        if state is None:
            state = self.volumes[owner, line] = VolumeState(self.clock.now())
            self._join(volume_channel(owner, line))
        state.used_micros = self.clock.now()
        return state

    def _join(self, channel_number: int) -> None:
        if self.channels.join(channel_number):
            self.directory.self_record.channels = self.channels.to_bytes()

    def _mark_changing(self, state: VolumeState, part: int, transaction: bytes) -> None:
        state.changing[part] = (transaction, self.clock.now())

    def _send_to_channel(self, channel_number: int, note: PurgeNote, include_cores: bool = False) -> None:
        target_addresses = self.directory.listeners(channel_number)
        if include_cores:
            for record in self.directory.members("control_plane"):
                if record.address not in target_addresses:
                    target_addresses.append(record.address)
        self.rpc_endpoint.multicast(target_addresses, "purge_note", note)

    # ---- messages ---------------------------------------------------------------------------------

    def _take_note(self, identity: str, address: str, note: PurgeNote) -> None:
        if note.HasField("copy_note") or note.HasField("changed_note"):
            self.copy_note_handler(note)
            return
        state = self.volumes.get((note.owner, note.line))
        if state is None:
            return  # A collision of channels, or nothing of ours: spurious (§6.2).
        body_name = note.WhichOneof("body")
        if body_name == "revision_request":
            self._mark_changing(state, note.part, note.revision_request.transaction)
        elif body_name == "revision_repair":
            self._apply_repair(state, note.part, note.revision_repair)
        elif body_name == "table_request":
            if state.expiry_micros - self.clock.now() > self.lifetime_micros // 2 and not state.relay_due_micros:
                state.relay_due_micros = (
                    self.clock.now() + TABLE_RELAY_DELAY_MICROS + self.chance.randrange(TABLE_RELAY_DELAY_MICROS)
                )
        elif body_name == "table":
            self._apply_table_page(state, note.table)

    def _apply_repair(self, state: VolumeState, part: int, repair: RevisionRepair) -> None:
        if repair.transaction in self.open_transactions:
            self.repairs[repair.transaction] = repair
        if repair.epoch < state.epoch:
            return
        held_revision, held_index = state.newer_revisions.get(part, (0, 0))
        if repair.index > max(held_index, state.index):
            state.newer_revisions[part] = (repair.revision, repair.index)
        changing_transaction, _ = state.changing.get(part, (b"", 0))
        if changing_transaction == repair.transaction:
            del state.changing[part]

    def _apply_table_page(self, state: VolumeState, table: Table) -> None:
        if table.epoch < state.epoch or (table.epoch, table.index) < (state.epoch, state.index):
            return
        mark = (table.epoch, table.index, table.serial)
        if mark != state.pages_version:
            state.pages, state.pages_version = {}, mark
            state.pages_expiry_micros = self.clock.now() + table.lifetime_micros
        state.pages[table.page] = [(pair.part, pair.revision) for pair in table.pair]
        state.pages_expiry_micros = min(state.pages_expiry_micros, self.clock.now() + table.lifetime_micros)
        if len(state.pages) < table.pages:
            return
        state.relay_due_micros = 0
        state.epoch, state.index, state.serial = mark
        state.table_revisions = {p: r for pairs in state.pages.values() for p, r in pairs}
        state.newer_revisions = {p: h for p, h in state.newer_revisions.items() if h[1] > table.index}
        state.expiry_micros = max(state.expiry_micros, state.pages_expiry_micros)
        state.pages_version = (0, 0, 0)

    def _relay_table(self, owner: str, line: str, state: VolumeState) -> None:
        """Any holder may repair the table; it takes its holding time off the lifetime (§6.4)."""
        left_micros = state.expiry_micros - self.clock.now()
        if left_micros <= 0 or state.has_newer_revisions():
            return
        pages = paginate_pairs(sorted(state.table_revisions.items()))
        for page_number, pairs in enumerate(pages):
            note = PurgeNote(owner=owner, line=line)
            note.table.CopyFrom(
                Table(
                    epoch=state.epoch,
                    index=state.index,
                    page=page_number,
                    pages=len(pages),
                    pair=[Pair(part=p, revision=r) for p, r in pairs],
                    lifetime_micros=left_micros,
                    serial=state.serial,
                )
            )
            self._send_to_channel(volume_channel(owner, line), note)
