"""Uplink: a machine's own link out, of bounded rate, with a queue that drops datagrams once it is full."""

from __future__ import annotations

from pearhead.runtime.clock import SECOND

# Headers of IP and UDP or TCP, and what the link itself adds.
PACKET_OVERHEAD_BYTES = 46


class Uplink:
    """Tells when what is sent now has left the machine.

    `bytes_per_second`: the link's rate. `queue_bytes`: what may wait; a datagram beyond that is dropped, while a stream
    is held up and sent later.
    """

    def __init__(self, bytes_per_second: int, queue_bytes: int) -> None:
        self.bytes_per_second = bytes_per_second
        self.queue_bytes = queue_bytes
        self.idle_at_micros = 0
        self.dropped_count = 0

    def departure(self, now_micros: int, byte_count: int, is_stream: bool) -> int | None:
        """The time at which the last byte has left; None if the queue is full and it is dropped."""
        packet_bytes = byte_count + PACKET_OVERHEAD_BYTES
        starts_micros = max(now_micros, self.idle_at_micros)
        waiting_bytes = (starts_micros - now_micros) * self.bytes_per_second // SECOND
        if not is_stream and waiting_bytes + packet_bytes > self.queue_bytes:
            self.dropped_count += 1
            return None
        self.idle_at_micros = starts_micros + packet_bytes * SECOND // self.bytes_per_second
        return self.idle_at_micros
