"""RevisionListener (§6.4): tracks, on a node, the current revisions of prompt parts and whether they are known."""

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
MAX_REQUEST_ATTEMPTS = 20
TABLE_REQUEST_INTERVAL_MICROS = 400 * MILLI
TABLE_RELAY_DELAY_MICROS = 120 * MILLI
VOLUME_IDLE_MICROS = 120 * SECOND
CHANGE_TIMEOUT_MICROS = 10 * SECOND

Volume = tuple[str, str]


@dataclass
class VolumeState:
    """What a listener knows of one volume.

    `epoch`, `index` and `serial` identify the table in use, and `expiry_micros` is when it expires. `table_revisions`
    holds the table's revision of each part; a part that is missing there has revision 1. `newer_revisions` holds the
    revision and log index of changes that came after the table, and `changing` the transaction and start time of
    changes whose result is not known yet. The `pages` fields collect the pages of an incoming table until all have
    arrived. `last_request_micros` is when a table was last requested, plus a random delay, and `relay_due_micros` is
    when this node sends its own table to other listeners, 0 if it is not going to.
    """

    last_used_micros: int
    epoch: int = 0
    index: int = 0
    serial: int = 0
    expiry_micros: int = -1
    last_request_micros: int = -SECOND
    relay_due_micros: int = 0
    table_revisions: dict[int, int] = field(default_factory=dict)
    newer_revisions: dict[int, tuple[int, int]] = field(default_factory=dict)
    changing: dict[int, tuple[bytes, int]] = field(default_factory=dict)
    pages: dict[int, list[tuple[int, int]]] = field(default_factory=dict)
    pages_version: tuple[int, int, int] = (0, 0, 0)
    pages_expiry_micros: int = 0

    def has_newer_revisions(self) -> bool:
        """Whether a bump is known or in progress that the table lacks.

        A node with only the table would use the old part (§6.4).
        """
        return bool(self.newer_revisions or self.changing)


class RevisionListener:
    """Answers which revision of a part is current, from tables and change messages on the joined channels.

    The leader's tables are valid for `lifetime_micros` from when it received the request for them.
    `worker_note_handler` is called with the purge notes about workers (what they cache, their load and health) and
    those about changed keys.
    """

    def __init__(
        self,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
        task_group: BackgroundTaskGroup,
        lifetime_micros: int,
    ) -> None:
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.rng = rng
        self.task_group = task_group
        self.lifetime_micros = lifetime_micros
        self.channels = JoinedChannels()
        self.volumes: dict[Volume, VolumeState] = {}
        self.repairs: dict[bytes, RevisionRepair] = {}
        self.open_transactions: set[bytes] = set()
        self.concurrent_change_count = 0
        self.worker_note_handler: Callable[[PurgeNote], None] = lambda note: None
        rpc_endpoint.on_message("purge_note", self._handle_purge_note)

    # ---- queries and changes by the router ------------------------------------------------------

    def revision_of(self, owner: str, line: str, part: int) -> int | None:
        """Returns the part's revision if it is known to be current now, else None.

        With None the part must be prefilled, not taken from a cache (§6.4).
        """
        state = self._touch_volume(owner, line)
        self._join_channel(object_channel(owner, line, part))
        if state.expiry_micros <= self.clock.now() or part in state.changing:
            return None
        if part in state.newer_revisions:
            return state.newer_revisions[part][0]
        return state.table_revisions.get(part, 1)

    def last_revision_of(self, owner: str, line: str, part: int) -> int:
        """Returns the last known revision, which may be out of date.

        Safe only where the worker itself checks the revision that it runs on (§6.7).
        """
        state = self._touch_volume(owner, line)
        return state.newer_revisions[part][0] if part in state.newer_revisions else state.table_revisions.get(part, 1)

    def is_changing(self, owner: str, line: str, part: int) -> bool:
        """Whether a change of the part was requested, by any node, and its new revision is not known yet."""
        return part in self._touch_volume(owner, line).changing

    async def bump(self, owner: str, line: str, part: int) -> int | None:
        """Requests the part's next revision from the sequencer and returns it.

        The part counts as changing until the reply arrives. Returns None if none came after `MAX_REQUEST_ATTEMPTS`
        requests. A revision other than the last known one plus one is counted as a conflict: another node changed the
        part too.
        """
        state = self._touch_volume(owner, line)
        self._join_channel(object_channel(owner, line, part))
        transaction = self.rng.randbytes(16)
        known_revision = state.newer_revisions.get(part, (state.table_revisions.get(part, 1), 0))[0]
        expected_revision = known_revision + 1
        request = PurgeNote(owner=owner, line=line, part=part)
        request.revision_request.CopyFrom(RevisionRequest(transaction=transaction))
        wakeup = PurgeNote(owner=owner, line=line, part=part)
        wakeup.wakeup.CopyFrom(Wakeup())
        self._mark_changing(state, part, transaction)
        self.open_transactions.add(transaction)
        try:
            for attempt in range(MAX_REQUEST_ATTEMPTS):
                # After an unanswered request, wake the sequencer first, so that it has joined the channel when the
                # request is sent again.
                if attempt:
                    self._send_to_channel(volume_channel(owner, line), wakeup)
                self._send_to_channel(object_channel(owner, line, part), request, include_cores=attempt > 0)
                await sleep_for(self.clock, REQUEST_RESEND_MICROS)
                repair = self.repairs.pop(transaction, None)
                if repair is not None:
                    if repair.revision != expected_revision:
                        self.concurrent_change_count += 1
                        LOGGER.info(
                            "invalidation: Another node changed the part at the same time. owner=%s line=%s part=%d",
                            owner,
                            line,
                            part,
                        )
                    return repair.revision
        finally:
            self.open_transactions.discard(transaction)
        return None

    # ---- refreshing tables ----------------------------------------------------------------------

    async def run(self) -> None:
        """Requests and relays tables and forgets unused volumes, until it is cancelled."""
        while True:
            await sleep_for(self.clock, 100 * MILLI)
            self._refresh()

    def _refresh(self) -> None:
        now_micros = self.clock.now()
        for (owner, line), state in list(self.volumes.items()):
            if now_micros - state.last_used_micros > VOLUME_IDLE_MICROS:
                del self.volumes[owner, line]
                continue
            for part, (_, since_micros) in list(state.changing.items()):
                # No reply arrived, so only a table made since then can tell the revision (§6.4).
                if now_micros - since_micros > CHANGE_TIMEOUT_MICROS:
                    del state.changing[part]
                    state.expiry_micros = min(state.expiry_micros, now_micros)
            if state.relay_due_micros and now_micros >= state.relay_due_micros:
                state.relay_due_micros = 0
                self._relay_table(owner, line, state)
            is_expiring = state.expiry_micros - now_micros < self.lifetime_micros // 3
            if is_expiring and now_micros - state.last_request_micros >= TABLE_REQUEST_INTERVAL_MICROS:
                # Randomized, as in Scalable Reliable Multicast (SRM), so that the listeners' requests are spread and
                # one request and its table serve all of them.
                state.last_request_micros = now_micros + self.rng.randrange(100) * MILLI
                request = PurgeNote(owner=owner, line=line)
                request.table_request.SetInParent()
                self._send_to_channel(volume_channel(owner, line), request, include_cores=True)

    def _touch_volume(self, owner: str, line: str) -> VolumeState:
        state = self.volumes.get((owner, line))
        if state is None:
            state = self.volumes[owner, line] = VolumeState(self.clock.now())
            self._join_channel(volume_channel(owner, line))
        state.last_used_micros = self.clock.now()
        return state

    def _join_channel(self, channel_number: int) -> None:
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

    def _handle_purge_note(self, identity: str, address: str, note: PurgeNote) -> None:
        if note.HasField("copy_note") or note.HasField("changed_note"):
            self.worker_note_handler(note)
            return
        state = self.volumes.get((note.owner, note.line))
        if state is None:
            return  # Another volume on the same channel, or one that is not tracked here: spurious (§6.2).
        body_name = note.WhichOneof("body")
        if body_name == "revision_request":
            self._mark_changing(state, note.part, note.revision_request.transaction)
        elif body_name == "revision_repair":
            self._apply_repair(state, note.part, note.revision_repair)
        elif body_name == "table_request":
            if state.expiry_micros - self.clock.now() > self.lifetime_micros // 2 and not state.relay_due_micros:
                state.relay_due_micros = (
                    self.clock.now() + TABLE_RELAY_DELAY_MICROS + self.rng.randrange(TABLE_RELAY_DELAY_MICROS)
                )
        elif body_name == "table":
            self._apply_table_page(state, note.table)

    def _apply_repair(self, state: VolumeState, part: int, repair: RevisionRepair) -> None:
        if repair.transaction in self.open_transactions:
            self.repairs[repair.transaction] = repair
        if repair.epoch < state.epoch:
            return
        known_revision, known_index = state.newer_revisions.get(part, (0, 0))
        if repair.index > max(known_index, state.index):
            state.newer_revisions[part] = (repair.revision, repair.index)
        changing_transaction, _ = state.changing.get(part, (b"", 0))
        if changing_transaction == repair.transaction:
            del state.changing[part]

    def _apply_table_page(self, state: VolumeState, table: Table) -> None:
        if table.epoch < state.epoch or (table.epoch, table.index) < (state.epoch, state.index):
            return
        version = (table.epoch, table.index, table.serial)
        if version != state.pages_version:
            state.pages, state.pages_version = {}, version
            state.pages_expiry_micros = self.clock.now() + table.lifetime_micros
        state.pages[table.page] = [(pair.part, pair.revision) for pair in table.pair]
        state.pages_expiry_micros = min(state.pages_expiry_micros, self.clock.now() + table.lifetime_micros)
        if len(state.pages) < table.pages:
            return
        state.relay_due_micros = 0
        state.epoch, state.index, state.serial = version
        state.table_revisions = {p: r for pairs in state.pages.values() for p, r in pairs}
        state.newer_revisions = {p: known for p, known in state.newer_revisions.items() if known[1] > table.index}
        state.expiry_micros = max(state.expiry_micros, state.pages_expiry_micros)
        state.pages_version = (0, 0, 0)

    def _relay_table(self, owner: str, line: str, state: VolumeState) -> None:
        """Sends this node's table to the other listeners.

        Any node that has the table may answer a request for it; the lifetime that it sends is what is left of its
        own (§6.4). A table that lacks a known change is not sent.
        """
        remaining_micros = state.expiry_micros - self.clock.now()
        if remaining_micros <= 0 or state.has_newer_revisions():
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
                    lifetime_micros=remaining_micros,
                    serial=state.serial,
                )
            )
            self._send_to_channel(volume_channel(owner, line), note)
