"""Lingering close (RFC 9112 §9.6): a connection is closed once the peer has what was written to it.

A socket that is closed at once takes back what the peer has not received if more arrives from it, and a process that
ends leaves what is undelivered to chance.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

DISCARD_CHUNK_BYTES = 65_536


def undelivered_bytes(connection: socket.socket) -> int:
    """Bytes in the send queue that the peer has not acknowledged; 0 where the kernel can't tell."""
    try:
        # For a TCP socket this request is SIOCOUTQ (tcp(7)).
        answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return int(struct.unpack("i", answer)[0])


class LingeringSockets:
    """Connections whose last answer was written and is not delivered yet."""

    def __init__(self) -> None:
        self.connections: set[socket.socket] = set()

    def take_over(self, connection: socket.socket) -> bool:
        """Takes over a connection that its owner is done with; False if there is nothing to wait for."""
        if not undelivered_bytes(connection):
            return False
        try:
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        self.connections.add(connection)
        return True

    def sweep(self) -> None:
        """Closes what is delivered; what still arrives is read and dropped."""
        for connection in list(self.connections):
            _drop_incoming(connection)
            if not undelivered_bytes(connection):
                self.connections.discard(connection)
                connection.close()

    def count(self) -> int:
        """How many are not delivered yet."""
        self.sweep()
        return len(self.connections)


def _drop_incoming(connection: socket.socket) -> None:
    try:
        while connection.recv(DISCARD_CHUNK_BYTES):
            pass
    except OSError:
        return
