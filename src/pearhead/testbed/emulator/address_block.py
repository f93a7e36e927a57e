"""Loopback address block 127.X.0.0/16 of one emulated site (§9.13), which no other site on the machine shares.

Two things reserve a block for its site: a listening socket, the claim, which the site's launcher holds from the moment
it picks the block, and the listening sockets of the site's processes, which may outlive the launcher.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator, Sequence
from pathlib import Path

BLOCK_COUNT = 249
CLAIM_PORT = 8161
"""Only the emulated cloud API serves this port, and not at the address of the claim."""
TCP_SOCKET_TABLE = Path("/proc/net/tcp")
UDP_SOCKET_TABLE = Path("/proc/net/udp")
LISTEN_STATE = "0A"


class BlockTakenError(Exception):
    """Another site has claimed the block, or sockets are open in it."""


class AddressBlock:
    """A claim on one block. `number` is the X of 127.X.0.0. Raises BlockTakenError if the block is taken."""

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
        """Gives up the claim."""
        self.claim_socket.close()

    def _check_free(self, ports: Sequence[int]) -> None:
        """Raises OSError if a port is served on all addresses, BlockTakenError if a socket is open in the block."""
        for port in ports:
            if port != CLAIM_PORT:
                probe_port(self.claim_address[0], port)
        for address in bound_addresses():
            if address != self.claim_address and address[0].startswith(f"127.{self.number}."):
                raise BlockTakenError(f"block {self.number}: {address[0]}:{address[1]} is in use")


def claim_free_block(ports: Sequence[int], first: int) -> AddressBlock:
    """Claims the next free block after number `first`. Raises OSError if there is none.

    Launchers that start at the same time pass different numbers, so that they look at different blocks first.
    """
    for offset in range(BLOCK_COUNT):
        try:
            return AddressBlock(1 + (first + offset) % BLOCK_COUNT, ports)
        except BlockTakenError:
            continue
    raise OSError("no free addresses on loopback")


def probe_port(ip: str, port: int) -> None:
    """Raises OSError if no server could listen there."""
    with socket.socket() as probe_socket:
        probe_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe_socket.bind((ip, port))


def bound_addresses() -> Iterator[tuple[str, int]]:
    """Addresses where sockets of this machine listen for connections or are bound for datagrams."""
    yield from read_socket_table(TCP_SOCKET_TABLE.read_text(), LISTEN_STATE)
    yield from read_socket_table(UDP_SOCKET_TABLE.read_text())


def read_socket_table(table_text: str, state: str = "") -> Iterator[tuple[str, int]]:
    """Yields the local addresses in a kernel table (proc(5), /proc/net/tcp) of sockets, all or in one state."""
    for line in table_text.splitlines()[1:]:
        _, local_text, _, state_text, *_ = line.split()
        if state in ("", state_text):
            ip_text, _, port_text = local_text.partition(":")
            yield socket.inet_ntoa(struct.pack("=I", int(ip_text, 16))), int(port_text, 16)
