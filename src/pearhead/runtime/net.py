"""Net (§2.1): frames over a persistent connection, and datagrams. Neither guarantees delivery."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAXIMUM_DATAGRAM_BYTES = 1_200
MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024

Receiver = Callable[[bytes], None]


class Net(Protocol):
    """The network interface of one process, which sends and receives frames and datagrams."""

    def send(self, target_address: str, frame_bytes: bytes) -> None:
        """Sends a frame over the connection to the target, in order; frames are lost if the connection breaks."""

    def send_datagram(self, target_address: str, datagram_bytes: bytes) -> None:
        """Sends one datagram, which may be lost, duplicated or reordered."""

    def listen(self, frame_receiver: Receiver) -> None:
        """Sets the only receiver of frames and datagrams."""
