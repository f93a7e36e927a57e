"""Lingering close (RFC 9112 §9.6): closes a connection once the peer has received everything written to it.

If a socket is closed at once and more data arrives from the peer, the kernel resets the connection and drops what the
peer has not received. If the process ends at once, nothing ensures that undelivered data still arrives.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

DISCARD_CHUNK_BYTES = 65_536


def undelivered_bytes(connection: socket.socket) -> int:
    """Returns the bytes in the send queue that the peer has not acknowledged; 0 if the kernel can't tell."""
    try:
        # For a TCP socket this request is SIOCOUTQ (tcp(7)).
        answer = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return int(struct.unpack("i", answer)[0])


class LingeringSockets:
    """Connections whose last response was written but is not fully delivered yet."""

    def __init__(self) -> None:
        self.connections: set[socket.socket] = set()

    def take_over(self, connection: socket.socket) -> bool:
        """Takes over a connection that its owner has finished with, and shuts down its sending side.

        Returns False, and leaves the connection to its owner, if there is nothing to deliver or the shutdown failed.
        """
        if not undelivered_bytes(connection):
            return False
        try:
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        self.connections.add(connection)
        return True

    def sweep(self) -> None:
        """Closes the connections whose data is delivered; data that still arrives is read and dropped."""
        for connection in list(self.connections):
            _drop_incoming(connection)
            if not undelivered_bytes(connection):
                self.connections.discard(connection)
                connection.close()

    def count(self) -> int:
        """Sweeps, then returns the number of connections with undelivered data."""
        self.sweep()
        return len(self.connections)


def _drop_incoming(connection: socket.socket) -> None:
    try:
        while connection.recv(DISCARD_CHUNK_BYTES):
            pass
    except OSError:
        return
