"""Net (§2.1): frames over a kept connection, and datagrams. Neither promises delivery."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAXIMUM_DATAGRAM_BYTES = 1_200
MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024

Receiver = Callable[[bytes], None]


class Net(Protocol):
    """The network of one process, which frames and datagrams leave and reach."""

    def send(self, target_address: str, frame_bytes: bytes) -> None:
        """Sends a frame in order on one connection; a broken connection loses what it held."""

    def send_datagram(self, target_address: str, datagram_bytes: bytes) -> None:
        """Sends one datagram, which may be lost, doubled or overtaken."""

    def listen(self, frame_receiver: Receiver) -> None:
        """Names the one receiver of frames and datagrams."""
