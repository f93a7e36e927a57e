"""The leader's side of a snapshot transfer: sends the snapshot to a follower in chunks.

In messages, a snapshot is called a digest.
"""

from __future__ import annotations

import zlib

from pearhead.consensus.follower import Follower
from pearhead.consensus.snapshot_store import SnapshotStore
from pearhead.consensus.state import RaftState, Send
from pearhead.rpc.wire_pb2 import DigestAsk, DigestFile, DigestResult
from pearhead.runtime.clock import Clock

CHUNK_BYTES = 256 * 1024


class SnapshotSender:
    """Sends snapshots to followers that lack entries already compacted from the leader's log."""

    def __init__(self, state: RaftState, store: SnapshotStore, clock: Clock, send: Send) -> None:
        self.state = state
        self.store = store
        self.clock = clock
        self.send = send

    def send_chunk(self, follower: Follower, address: str) -> None:
        """Sends the next chunk; with the first one, the snapshot is built that all later chunks are taken from."""
        snapshot = follower.snapshot if follower.snapshot is not None else self._begin_transfer(follower)
        offset = follower.snapshot_offset or 0
        self.state.round_number += 1
        chunk = snapshot.state[offset : offset + CHUNK_BYTES]
        follower.in_flight = True
        follower.record_send(self.clock.now(), len(chunk), -offset, self.state.round_number)
        ask = DigestAsk(
            epoch=self.state.term,
            index=snapshot.index,
            last_epoch=snapshot.epoch,
            members=snapshot.members,
            offset=offset,
            total=len(snapshot.state),
            chunk=chunk,
            checksum=follower.snapshot_checksum,
            round=self.state.round_number,
        )
        self.send(address, "digest_ask", ask)

    def _begin_transfer(self, follower: Follower) -> DigestFile:
        snapshot = self.store.build()
        follower.snapshot = snapshot
        follower.snapshot_checksum = zlib.crc32(snapshot.state)
        follower.snapshot_offset = 0
        return snapshot

    def handle_chunk_result(self, follower: Follower, result: DigestResult) -> bool:
        """Updates the offset of the next chunk, and returns whether to send that chunk now.

        Returns False if the follower only requests the chunk that is in flight already.
        """
        is_repeat = result.next_offset == follower.snapshot_offset
        if is_repeat and follower.in_flight and follower.snapshot_offset:
            return False
        follower.record_response()
        snapshot = follower.snapshot
        if snapshot is None or result.index != snapshot.index:
            return True
        if result.next_offset >= len(snapshot.state):
            follower.record_snapshot_installed(result.index)
        else:
            follower.snapshot_offset = result.next_offset
        return True
