"""AddressBlock (§9.13): the block 127.X.0.0/16 of one emulated site, which no other site on the machine shares.

Two things keep a block for its site: a claim, which its launcher holds from the draw on, and the listening sockets of
the site's processes, which outlive a launcher that has ended.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator, Sequence
from pathlib import Path

BLOCK_COUNT = 249
CLAIM_PORT = 8161
"""Only the list of workers serves this port, and not at the claim's address."""
TCP_SOCKET_TABLE = Path("/proc/net/tcp")
UDP_SOCKET_TABLE = Path("/proc/net/udp")
LISTEN_STATE = "0A"


class BlockTakenError(Exception):
    """Another site holds the block, or sockets are open in it."""


class AddressBlock:
    """A claim of one block. `number`: the X of 127.X.0.0. Raises BlockTakenError where it is taken."""

    def __init__(self, number: int, ports: Sequence[int]) -> None:
        self.number = number
        self.claim_address = (f"127.{number}.1.1", CLAIM_PORT)
        self.claim_socket = socket.socket()
        try:
            self.claim_socket.bind(self.claim_address)
            self.claim_socket.listen()
            self._check_free(ports)
        except OSError as error:
            self.release()
            raise BlockTakenError(f"block {number}: {error}") from error
        except BlockTakenError:
            self.release()
            raise

    def release(self) -> None:
        """Ends the claim."""
        self.claim_socket.close()

    def _check_free(self, ports: Sequence[int]) -> None:
        """Raises OSError where a port is served on all addresses, BlockTakenError where a socket is in the block."""
        for port in ports:
            if port != CLAIM_PORT:
                probe_port(self.claim_address[0], port)
        for address in bound_addresses():
            if address != self.claim_address and address[0].startswith(f"127.{self.number}."):
                raise BlockTakenError(f"block {self.number}: {address[0]}:{address[1]} is in use")


def claim_free_block(ports: Sequence[int], first: int) -> AddressBlock:
    """Claims the next free block from `first` on. Raises OSError if there is none.

    Launchers that begin at once begin to look at numbers of their own.
    """
    for offset in range(BLOCK_COUNT):
        try:
            return AddressBlock(1 + (first + offset) % BLOCK_COUNT, ports)
        except BlockTakenError:
            continue
    raise OSError("no free addresses on loopback")


def probe_port(ip: str, port: int) -> None:
    """Raises OSError where no server could listen."""
    with socket.socket() as probe_socket:
        probe_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe_socket.bind((ip, port))


def bound_addresses() -> Iterator[tuple[str, int]]:
    """Where sockets of this machine listen for connections, or are bound for datagrams."""
    yield from read_socket_table(TCP_SOCKET_TABLE.read_text(), LISTEN_STATE)
    yield from read_socket_table(UDP_SOCKET_TABLE.read_text())


def read_socket_table(table_text: str, state: str = "") -> Iterator[tuple[str, int]]:
    """The local addresses in a table of the kernel (proc(5), /proc/net/tcp), of all sockets or of those in a state."""
    for line in table_text.splitlines()[1:]:
        _, local_text, _, state_text, *_ = line.split()
        if state in ("", state_text):
            ip_text, _, port_text = local_text.partition(":")
            yield socket.inet_ntoa(struct.pack("=I", int(ip_text, 16))), int(port_text, 16)
