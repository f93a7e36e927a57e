"""The leader's view of one other member (§4.1)."""

from __future__ import annotations

from pearhead.rpc.wire_pb2 import DigestFile
from pearhead.runtime.clock import MILLI, SECOND

# The initial assumptions about a link, before any backoff: its throughput, and the minimum wait for a response.
ASSUMED_BYTES_PER_SECOND = 4 * 1024 * 1024
MINIMUM_RESPONSE_WAIT_MICROS = 100 * MILLI
MAXIMUM_BACKOFF_FACTOR = 32


class Follower:
    """The leader's record of one member: how much of the log it holds, and what is in flight to it.

    Times are in microseconds.
    """

    def __init__(self, next_index: int, last_contact_micros: int) -> None:
        self.next_index = next_index
        self.match_index = 0
        self.last_contact_micros = last_contact_micros
        self.has_answered = False
        self.acknowledged_round = 0
        self.sent_micros = -SECOND
        self.in_flight = False
        # Of the last message that needs a response: until when the response is awaited (0 if it is not awaited any
        # more), the last index in it (the negative offset of a snapshot chunk), and its round.
        self.response_deadline_micros = 0
        self.batch_last_index = 0
        self.batch_round = 0
        self.backoff_factor = 1
        # The snapshot that is being sent, the offset of the next chunk, and the checksum of the whole.
        self.snapshot: DigestFile | None = None
        self.snapshot_offset: int | None = None
        self.snapshot_checksum = 0

    def record_send(self, now_micros: int, size: int, last_index: int, round_number: int) -> None:
        """Records a message that needs a response, and sets the deadline for it.

        `size` is in bytes. A repeated message doubles the wait, up to MAXIMUM_BACKOFF_FACTOR, for slow links.
        """
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
        """Records any response in the leader's term, to a message of this round."""
        self.last_contact_micros = now_micros
        self.has_answered = True
        self.acknowledged_round = max(self.acknowledged_round, round_number)

    def record_response(self) -> None:
        """Records the response to the message in flight, and halves the backoff for the next one."""
        self.in_flight = False
        self.response_deadline_micros = 0
        self.backoff_factor = max(self.backoff_factor // 2, 1)

    def record_loss(self) -> None:
        """Clears the message in flight, so that it is sent again, and resets the backoff.

        A message is lost when a later heartbeat is answered before it, because links preserve order. One that the
        follower refused is treated in the same way: entries are sent again from an earlier index.
        """
        self.in_flight = False
        self.response_deadline_micros = 0
        self.backoff_factor = 1

    def record_snapshot_installed(self, snapshot_index: int) -> None:
        """Records that the member has installed the whole snapshot, whose last entry has this index."""
        self.match_index = max(self.match_index, snapshot_index)
        self.next_index = self.match_index + 1
        self.snapshot = self.snapshot_offset = None
