"""FakeRuntime (§2.1): a clock and network for unit tests; the test sets the time, and datagrams are recorded."""

from __future__ import annotations

from pearhead.rpc.wire_pb2 import Envelope, PurgeNote
from pearhead.runtime.clock import SECOND


class FakeRuntime:
    """A clock that the test sets through `now_micros`, and a network that delivers nothing.

    Purge notes that were sent as datagrams are kept in `notes`.
    """

    def __init__(self) -> None:
        self.now_micros = 100 * SECOND
        self.notes: list[PurgeNote] = []

    def now(self) -> int:
        """Returns the time that was set last, in microseconds."""
        return self.now_micros

    def after(self, delay_micros: int, callback: object) -> FakeRuntime:
        """Returns a timer that never fires."""
        return self

    def cancel(self) -> None:
        """Does nothing, as no timer fires."""
        return None

    def send(self, target_address: str, frame_bytes: bytes) -> None:
        """Drops the frame."""
        return None

    def send_datagram(self, target_address: str, datagram_bytes: bytes) -> None:
        """Appends the purge note of a datagram to `notes`; any other message appends an empty one."""
        self.notes.append(Envelope.FromString(datagram_bytes).purge_note)

    def listen(self, frame_receiver: object) -> None:
        """Does nothing, as nothing is delivered."""
        return None
