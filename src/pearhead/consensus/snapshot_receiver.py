"""The follower's side of a snapshot transfer: assembles the chunks that the leader sends and installs the snapshot.

In messages, a snapshot is called a digest.
"""

from __future__ import annotations

import logging
import zlib
from dataclasses import dataclass, field

from pearhead.consensus.roles import RoleChanges
from pearhead.consensus.snapshot_store import SnapshotStore
from pearhead.consensus.state import RaftState, Send
from pearhead.rpc.wire_pb2 import DigestAsk, DigestFile, DigestResult

LOGGER = logging.getLogger("pearhead")


@dataclass(frozen=True)
class SnapshotSource:
    """Identifies a snapshot in transfer.

    `leader` and `term` are those of the leader that sends it, `index` and `last_term` those of its last entry;
    `checksum` covers all its bytes.
    """

    leader: str
    term: int
    index: int
    last_term: int
    total_bytes: int
    checksum: int


@dataclass
class IncomingSnapshot:
    """Assembles the chunks of one snapshot; a chunk of another snapshot discards what was received before."""

    source: SnapshotSource | None = None
    state: bytearray = field(default_factory=bytearray)

    def add_chunk(self, leader: str, ask: DigestAsk) -> int:
        """Adds a chunk if it is the next one; returns the offset of the next chunk that is needed."""
        source = SnapshotSource(leader, ask.epoch, ask.index, ask.last_epoch, ask.total, ask.checksum)
        if source != self.source:
            self.source, self.state = source, bytearray()
        if ask.offset == len(self.state):
            self.state += ask.chunk
        return len(self.state)

    def has_valid_checksum(self) -> bool:
        """Whether the received bytes match the checksum of the whole snapshot."""
        return self.source is not None and zlib.crc32(self.state) == self.source.checksum

    def drop(self) -> None:
        """Discards all received chunks."""
        self.source, self.state = None, bytearray()


class SnapshotReceiver:
    """Receives snapshots from the leader and has them installed."""

    def __init__(self, state: RaftState, store: SnapshotStore, roles: RoleChanges, send: Send) -> None:
        self.state = state
        self.store = store
        self.roles = roles
        self.send = send
        self.incoming = IncomingSnapshot()

    def take_digest_ask(self, identity: str, address: str, ask: DigestAsk) -> None:
        """Handles one chunk; the last one is answered only after the whole snapshot is installed.

        A snapshot that fails its checksum is requested again from the start. While the store is writing a snapshot, the
        last chunk is not answered, and the leader sends it again.
        """
        result = DigestResult(epoch=self.state.term, index=ask.index, round=ask.round)
        if ask.epoch < self.state.term:
            self._answer(address, result)
            return
        self.roles.follow(ask.epoch, identity)
        result.epoch = self.state.term
        result.next_offset = self.incoming.add_chunk(identity, ask)
        if result.next_offset < ask.total or ask.index <= self.state.commit_index:
            self._answer(address, result)
        elif not self.incoming.has_valid_checksum():
            LOGGER.error("consensus: A received snapshot failed its checksum. index=%d", ask.index)
            self.incoming.drop()
            result.next_offset = 0
            self._answer(address, result)
        elif not self.store.is_busy:
            self.store.start_install(self._assemble_snapshot(ask), lambda: self._answer(address, result))

    def _answer(self, address: str, result: DigestResult) -> None:
        self.send(address, "digest_result", result)

    def _assemble_snapshot(self, ask: DigestAsk) -> DigestFile:
        snapshot = DigestFile(index=ask.index, epoch=ask.last_epoch, state=bytes(self.incoming.state))
        snapshot.members.CopyFrom(ask.members)
        return snapshot
