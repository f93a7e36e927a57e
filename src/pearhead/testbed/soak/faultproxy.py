"""A TCP proxy on loopback that stands between two processes and disturbs what passes, without any privileges."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from dataclasses import dataclass, replace

from pearhead.runtime.clock import SECOND
from pearhead.runtime.socketnet import split_address

CHUNK_SIZE = 64 * 1024
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
TOO_MANY_REQUESTS = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@dataclass(frozen=True)
class LinkFault:
    """What a proxy does to its link.

    Attributes:
        is_cut: Bytes of both directions are held until the link heals.
        is_refusing: New connections are reset at once, those that exist when the fault begins too.
        delay_micros: Each chunk is passed on so much later.
        reset_share: The share of answer chunks instead of which both ends get a reset.
        lost_share: The share of answer chunks from which on the answer is swallowed while its connection stays open.
        canned_answer: Sent at once to each new connection instead of connecting it.
    """

    is_cut: bool = False
    is_refusing: bool = False
    delay_micros: int = 0
    reset_share: float = 0.0
    lost_share: float = 0.0
    canned_answer: bytes = b""


SOUND_LINK = LinkFault()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset instead of a regular close."""
    own_socket = writer.get_extra_info("socket")
    if own_socket is not None and not writer.is_closing():
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()


class ProxiedConnection:
    """One client's connection and its counterpart at the server."""

    def __init__(
        self,
        link: FaultProxy,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        server: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        self.link = link
        self.client_reader, self.client_writer = client
        self.server_reader, self.server_writer = server
        self.is_swallowing = False

    async def run(self) -> None:
        """Passes bytes in both directions until both have ended or one broke."""
        directions = [
            asyncio.ensure_future(self._pass_on(self.client_reader, self.server_writer, is_answer=False)),
            asyncio.ensure_future(self._pass_on(self.server_reader, self.client_writer, is_answer=True)),
        ]
        try:
            await asyncio.gather(*directions)
        except OSError:
            self.reset()
        finally:
            for direction in directions:
                direction.cancel()
            self.client_writer.close()
            self.server_writer.close()

    def reset(self) -> None:
        """Both ends see a reset."""
        reset_connection(self.client_writer)
        reset_connection(self.server_writer)

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool) -> None:
        while chunk := await reader.read(CHUNK_SIZE):
            await self.link.hold_up()
            if (fault := reader.exception()) is not None:
                # The sender has reset the connection meanwhile: its kernel would have dropped these bytes.
                raise ConnectionResetError from fault
            if is_answer:
                self._disturb_answer()
            if not (is_answer and self.is_swallowing):
                writer.write(chunk)
                await writer.drain()
        await self.link.hold_up()
        if not (is_answer and self.is_swallowing):
            self._end(writer, is_answer)

    def _end(self, writer: asyncio.StreamWriter, is_answer: bool) -> None:
        """A server that ends its side ends the connection; a client may still read."""
        if is_answer:
            writer.close()
            self.server_writer.close()
        elif writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()

    def _disturb_answer(self) -> None:
        fault, chance = self.link.fault, self.link.chance
        if chance.random() < fault.reset_share:
            raise ConnectionResetError
        if chance.random() < fault.lost_share:
            self.is_swallowing = True


class FaultProxy:
    """Listens at one address, connects to another, and passes bytes on as the present fault allows."""

    def __init__(self, address: str, target_address: str, chance: random.Random) -> None:
        self.address, self.target_address, self.chance = address, target_address, chance
        self.fault = SOUND_LINK
        self.connections: set[ProxiedConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        # Addresses of clients whose connections the proxy took, although nobody behind it did.
        self.refused: set[tuple[str, int]] = set()
        self.passes = asyncio.Event()
        self.passes.set()

    async def open(self) -> None:
        """Begins to listen. Raises OSError."""
        host_name, port_number = split_address(self.address)
        self.server = await asyncio.start_server(self._accept, host_name, port_number, backlog=512)

    async def close(self) -> None:
        """Ends all connections and no longer listens."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.reset()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def set_fault(self, fault: LinkFault) -> None:
        """From now on the link bears this fault; SOUND_LINK heals it."""
        self.fault = replace(fault)
        if fault.is_cut:
            self.passes.clear()
        else:
            self.passes.set()
        if fault.is_refusing:
            for connection in list(self.connections):
                connection.reset()

    async def hold_up(self) -> None:
        """Returns when a chunk that came now may go on."""
        if self.fault.delay_micros:
            await asyncio.sleep(self.fault.delay_micros / SECOND)
        await self.passes.wait()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            # Only `close` cancels; a cancelled handler would be reported by asyncio's server as a failure.
            reset_connection(writer)
        finally:
            self.tasks.discard(task)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client_address = writer.get_extra_info("peername")
        self.refused.discard(client_address)
        if self.fault.is_refusing:
            self.refused.add(client_address)
            reset_connection(writer)
            return
        if self.fault.canned_answer:
            await self._answer_canned(reader, writer)
            return
        await self.hold_up()
        try:
            server = await asyncio.open_connection(*split_address(self.target_address))
        except OSError:
            self.refused.add(client_address)
            reset_connection(writer)
            return
        connection = ProxiedConnection(self, (reader, writer), server)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    async def _answer_canned(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.fault.canned_answer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        writer.close()
