"""Models a machine's outgoing link: a bounded rate and a queue that drops datagrams when it is full."""

from __future__ import annotations

from pearhead.runtime.clock import SECOND

# IP and UDP or TCP headers plus link-layer framing.
PACKET_OVERHEAD_BYTES = 46


class Uplink:
    """Computes when a packet sent now has left the machine.

    Attributes:
        bytes_per_second: Rate of the link.
        queue_bytes: Capacity of the send queue. A datagram that does not fit is dropped, stream data never is.
        idle_at_micros: Virtual time at which everything queued so far has been sent.
        dropped_count: Datagrams dropped because the queue was full.
    """

    def __init__(self, bytes_per_second: int, queue_bytes: int) -> None:
        self.bytes_per_second = bytes_per_second
        self.queue_bytes = queue_bytes
        self.idle_at_micros = 0
        self.dropped_count = 0

    def enqueue(self, now_micros: int, byte_count: int, is_stream: bool) -> int | None:
        """Queues a packet; returns the time at which its last byte has left, or None if it was dropped."""
        packet_bytes = byte_count + PACKET_OVERHEAD_BYTES
        starts_micros = max(now_micros, self.idle_at_micros)
        waiting_bytes = (starts_micros - now_micros) * self.bytes_per_second // SECOND
        if not is_stream and waiting_bytes + packet_bytes > self.queue_bytes:
            self.dropped_count += 1
            return None
        self.idle_at_micros = starts_micros + packet_bytes * SECOND // self.bytes_per_second
        return self.idle_at_micros
