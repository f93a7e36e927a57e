"""RevisionSequencer (§6.3): assigns revisions to the parts of volumes on the leading core, and sends their tables."""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol

from pearhead.discovery.directory import Directory
from pearhead.invalidation.channel import JoinedChannels, object_channel, volume_channel
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Pair, PurgeNote, RevisionRepair, Table
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import Clock

LOGGER = logging.getLogger("pearhead")
PAIRS_PER_PAGE = 90


class RevisionStore(Protocol):
    """What the sequencer needs of the core that it runs on."""

    def is_leader(self) -> bool:
        """Whether this core believes that it leads."""

    async def confirm_leadership(self) -> bool:
        """Whether a majority, asked after this call, still follows this core as the leader."""

    async def bump(self, note: PurgeNote) -> tuple[int, int] | None:
        """Raises the part's revision by one; returns the revision and its log index once committed.

        Returns None if it is not known to be committed.
        """

    def raised_part_revisions(self, owner: str, line: str) -> list[tuple[int, int]]:
        """Returns the part number and revision of each part of a volume whose revision is above 1."""

    def position(self) -> tuple[int, int]:
        """Returns the Raft term, which messages call the epoch, and the applied log index."""


def paginate_pairs(pairs: list[tuple[int, int]]) -> list[list[tuple[int, int]]]:
    """Splits a table into pages of at most `PAIRS_PER_PAGE` pairs; an empty table has one empty page."""
    return [pairs[i : i + PAIRS_PER_PAGE] for i in range(0, len(pairs), PAIRS_PER_PAGE)] or [[]]


class RevisionSequencer:
    """Answers revision requests and table requests while the core that it runs on leads.

    A request that repeats the transaction of one in progress is ignored, as is a request for a table that is just
    being sent.
    """

    def __init__(
        self,
        store: RevisionStore,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        task_group: BackgroundTaskGroup,
        lifetime_micros: int,
    ) -> None:
        self.store = store
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.task_group = task_group
        self.lifetime_micros = lifetime_micros
        self.channels = JoinedChannels()
        self.tables_in_progress: set[tuple[str, str]] = set()
        self.transactions_in_progress: set[bytes] = set()
        self.table_serial = 0
        self.handlers: dict[str, Callable[[str, PurgeNote], Coroutine[Any, Any, None]]] = {
            "revision_request": self._assign_revision,
            "table_request": self._send_table,
        }
        rpc_endpoint.on_message("purge_note", self._handle_purge_note)

    def join_volumes(self, volumes: Iterable[tuple[str, str]]) -> None:
        """Joins the channels of the given volumes only; object channels are joined when a wakeup names the part."""
        for owner, line in volumes:
            self._join_channel(volume_channel(owner, line))

    def _join_channel(self, channel_number: int) -> None:
        if self.channels.join(channel_number):
            self.directory.self_record.channels = self.channels.to_bytes()

    def _handle_purge_note(self, identity: str, address: str, note: PurgeNote) -> None:
        body_name = note.WhichOneof("body")
        if body_name == "wakeup":
            self._join_channel(object_channel(note.owner, note.line, note.part))
        handler = self.handlers.get(body_name or "")
        if handler is not None and self.store.is_leader():
            self.task_group.start(handler(address, note))

    async def _assign_revision(self, address: str, note: PurgeNote) -> None:
        channel_number = object_channel(note.owner, note.line, note.part)
        if not self.channels.joined_bits[channel_number]:
            return  # The channel is not joined yet: the sender's next wakeup makes the sequencer join it.
        transaction = note.revision_request.transaction
        if transaction in self.transactions_in_progress:
            return
        self.transactions_in_progress.add(transaction)
        try:
            revision_and_index = await self.store.bump(note)
        finally:
            self.transactions_in_progress.discard(transaction)
        if revision_and_index is None:
            return
        epoch, _ = self.store.position()
        repair = PurgeNote(owner=note.owner, line=note.line, part=note.part)
        repair.revision_repair.CopyFrom(
            RevisionRepair(
                transaction=transaction, revision=revision_and_index[0], index=revision_and_index[1], epoch=epoch
            )
        )
        self._send_to_channel(channel_number, address, repair)

    async def _send_table(self, address: str, note: PurgeNote) -> None:
        volume = (note.owner, note.line)
        if volume in self.tables_in_progress:
            return
        self.tables_in_progress.add(volume)
        try:
            request_micros = self.clock.now()
            # A former leader that resumes after a pause fails here, so it can't extend an old table (§6.4).
            if not await self.store.confirm_leadership():
                return
            epoch, index = self.store.position()
            pages = paginate_pairs(self.store.raised_part_revisions(note.owner, note.line))
            remaining_micros = self.lifetime_micros - (self.clock.now() - request_micros)
            if remaining_micros <= 0:
                return
            self.table_serial += 1
            for page_number, pairs in enumerate(pages):
                table_note = PurgeNote(owner=note.owner, line=note.line)
                table_note.table.CopyFrom(
                    Table(
                        epoch=epoch,
                        index=index,
                        page=page_number,
                        pages=len(pages),
                        serial=self.table_serial,
                        pair=[Pair(part=p, revision=r) for p, r in pairs],
                        lifetime_micros=remaining_micros,
                    )
                )
                self._send_to_channel(volume_channel(note.owner, note.line), address, table_note)
        finally:
            self.tables_in_progress.discard(volume)

    def _send_to_channel(self, channel_number: int, requester_address: str, note: PurgeNote) -> None:
        target_addresses = self.directory.listeners(channel_number)
        if requester_address not in target_addresses:
            target_addresses.append(requester_address)
        self.rpc_endpoint.multicast(target_addresses, "purge_note", note)
