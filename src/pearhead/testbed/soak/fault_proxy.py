"""A TCP proxy that injects faults into the connections between two processes on loopback; needs no privileges."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from dataclasses import dataclass, replace

from pearhead.runtime.clock import SECOND
from pearhead.runtime.socketnet import split_address

CHUNK_SIZE = 64 * 1024
# A `struct linger` with l_onoff=1 and l_linger=0: closing the socket sends a RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TOO_MANY_REQUESTS = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@dataclass(frozen=True)
class LinkFault:
    """The faults that a proxy injects into its link; the default is none.

    Attributes:
        is_cut: Bytes of both directions, and new connections to the server, are held back until the fault ends.
        is_refusing: New connections are reset at once, and so are those that are open when the fault begins.
        delay_micros: Delay before each chunk is forwarded and each connection to the server is opened, in microseconds.
        reset_probability: For each chunk of a response, the probability that both connections are reset instead.
        loss_probability: For each chunk of a response, the probability that it and all that follows is discarded while
            the connection stays open.
        canned_response: If not empty, sent to each new client after its request head instead of connecting to the
            server.
    """

    is_cut: bool = False
    is_refusing: bool = False
    delay_micros: int = 0
    reset_probability: float = 0.0
    loss_probability: float = 0.0
    canned_response: bytes = b""


NO_LINK_FAULT = LinkFault()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a RST instead of a FIN."""
    tcp_socket = writer.get_extra_info("socket")
    if tcp_socket is not None and not writer.is_closing():
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


class ProxiedConnection:
    """A client's connection to the proxy and the matching connection from the proxy to the server."""

    def __init__(
        self,
        proxy: FaultProxy,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        server: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        self.proxy = proxy
        self.client_reader, self.client_writer = client
        self.server_reader, self.server_writer = server
        self.is_discarding = False

    async def run(self) -> None:
        """Forwards bytes in both directions until both have ended or one has failed."""
        directions = [
            asyncio.ensure_future(self._forward(self.client_reader, self.server_writer, is_response=False)),
            asyncio.ensure_future(self._forward(self.server_reader, self.client_writer, is_response=True)),
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
        """Resets the connections to the client and to the server."""
        reset_connection(self.client_writer)
        reset_connection(self.server_writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool) -> None:
        while chunk := await reader.read(CHUNK_SIZE):
            await self.proxy.wait_to_forward()
            if (fault := reader.exception()) is not None:
                # The sender reset the connection while the chunk was held back; without a proxy its kernel would have
                # dropped these bytes.
                raise ConnectionResetError from fault
            if is_response:
                self._apply_response_faults()
            if not (is_response and self.is_discarding):
                writer.write(chunk)
                await writer.drain()
        await self.proxy.wait_to_forward()
        if not (is_response and self.is_discarding):
            self._forward_eof(writer, is_response)

    def _forward_eof(self, writer: asyncio.StreamWriter, is_response: bool) -> None:
        """Closes both connections when the server has ended; forwards only the EOF when the client has."""
        if is_response:
            writer.close()
            self.server_writer.close()
        elif writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()

    def _apply_response_faults(self) -> None:
        fault, rng = self.proxy.fault, self.proxy.rng
        if rng.random() < fault.reset_probability:
            raise ConnectionResetError
        if rng.random() < fault.loss_probability:
            self.is_discarding = True


class FaultProxy:
    """Listens at one address and forwards to another, as far as the current fault allows.

    `rng` draws which chunks are reset or lost.
    """

    def __init__(self, address: str, target_address: str, rng: random.Random) -> None:
        self.address, self.target_address, self.rng = address, target_address, rng
        self.fault = NO_LINK_FAULT
        self.connections: set[ProxiedConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        # Addresses of clients whose connection the proxy accepted, then reset without one to the server.
        self.refused_clients: set[tuple[str, int]] = set()
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def open(self) -> None:
        """Starts to listen. Raises OSError if the address can't be bound."""
        host_name, port_number = split_address(self.address)
        self.server = await asyncio.start_server(self._on_connection, host_name, port_number, backlog=512)

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.reset()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def set_fault(self, fault: LinkFault) -> None:
        """Replaces the current fault; NO_LINK_FAULT ends it."""
        self.fault = replace(fault)
        if fault.is_cut:
            self.unblocked.clear()
        else:
            self.unblocked.set()
        if fault.is_refusing:
            for connection in list(self.connections):
                connection.reset()

    async def wait_to_forward(self) -> None:
        """Waits until a chunk or a connection that has just arrived may be forwarded."""
        if self.fault.delay_micros:
            await asyncio.sleep(self.fault.delay_micros / SECOND)
        await self.unblocked.wait()

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self._handle_client(reader, writer)
        except asyncio.CancelledError:
            # Only `close` cancels this task; asyncio's server would report a cancelled handler as a failure.
            reset_connection(writer)
        finally:
            self.tasks.discard(task)

    async def _handle_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client_address = writer.get_extra_info("peername")
        self.refused_clients.discard(client_address)
        if self.fault.is_refusing:
            self.refused_clients.add(client_address)
            reset_connection(writer)
            return
        if self.fault.canned_response:
            await self._send_canned_response(reader, writer)
            return
        await self.wait_to_forward()
        try:
            server = await asyncio.open_connection(*split_address(self.target_address))
        except OSError:
            self.refused_clients.add(client_address)
            reset_connection(writer)
            return
        connection = ProxiedConnection(self, (reader, writer), server)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    async def _send_canned_response(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.fault.canned_response)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        writer.close()
