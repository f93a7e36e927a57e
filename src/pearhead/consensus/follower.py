"""A leader's view of one other member (§4.1)."""

from __future__ import annotations

from pearhead.rpc.wire_pb2 import DigestFile
from pearhead.runtime.clock import MILLI, SECOND

# A link is assumed to carry this much a second at first, and an answer to take this long at least.
ASSUMED_BYTES_PER_SECOND = 4 * 1024 * 1024
MINIMUM_RESPONSE_WAIT_MICROS = 100 * MILLI
MAXIMUM_BACKOFF_FACTOR = 32


class Follower:
    """What a leader knows of one member: how much of the log it holds, and what is on its way to it."""

    def __init__(self, next_index: int, heard_micros: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.heard_micros = heard_micros
        self.has_answered = False
        self.acknowledged_round = 0
        self.sent_micros = -SECOND
        self.in_flight = False
        # Until when the answer to what is in flight is awaited, and the last index of it.
        self.response_deadline_micros = 0
        self.batch_last_index = 0
        self.batch_round = 0
        self.backoff_factor = 1
        # The snapshot that is being sent, and the offset of the piece that goes next.
        self.snapshot: DigestFile | None = None
        self.snapshot_offset: int | None = None
        self.snapshot_checksum = 0

    def record_send(self, now_micros: int, size: int, last_index: int, round_number: int) -> None:
        """Something that wants an answer goes out. A slow link is given twice the time at each repeat."""
        is_repeat = (
            last_index == self.batch_last_index
            and now_micros >= self.response_deadline_micros
            and self.response_deadline_micros > 0
        )
        self.backoff_factor = min(self.backoff_factor * 2, MAXIMUM_BACKOFF_FACTOR) if is_repeat else self.backoff_factor
        wait_micros = MINIMUM_RESPONSE_WAIT_MICROS + size * SECOND // ASSUMED_BYTES_PER_SECOND
        self.response_deadline_micros = now_micros + self.backoff_factor * wait_micros
        self.batch_last_index, self.batch_round = last_index, round_number

    def record_contact(self, now_micros: int, round_number: int) -> None:
        """Any answer in the leader's term came, to a message of this round."""
        self.heard_micros = now_micros
        self.has_answered = True
        self.acknowledged_round = max(self.acknowledged_round, round_number)

    def record_response(self) -> None:
        """The answer to what was in flight came: what is sent next may be a little less patient."""
        self.in_flight = False
        self.response_deadline_micros = 0
        self.backoff_factor = max(self.backoff_factor // 2, 1)

    def record_loss(self) -> None:
        """A later heartbeat was answered, and links keep their order: what was in flight is lost, and goes again."""
        self.in_flight = False
        self.response_deadline_micros = 0
        self.backoff_factor = 1

    def record_snapshot_installed(self, snapshot_index: int) -> None:
        """The member holds the whole snapshot up to this index."""
        self.match_index = max(self.match_index, snapshot_index)
        self.next_index = self.match_index + 1
        self.snapshot = self.snapshot_offset = None
