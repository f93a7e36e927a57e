"""SocketNet (§3.1): the real Net, with frames over TCP, one task per outgoing connection, and datagrams over UDP."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct
from collections import deque
from dataclasses import dataclass

from pearhead.runtime.clock import MILLI, SECOND, BootClock, Clock, sleep_for
from pearhead.runtime.net import MAXIMUM_FRAME_BYTES, Receiver

LOGGER = logging.getLogger("pearhead")
MAXIMUM_QUEUED_FRAMES = 512
MAXIMUM_QUEUE_BYTES = 32 * 1024 * 1024
BATCH_BYTES = 64 * 1024
FRAME_EXPIRY_MICROS = SECOND
CONNECT_TIMEOUT_MICROS = 600 * MILLI
RECONNECT_DELAY_MICROS = 100 * MILLI
WRITE_STALL_MICROS = SECOND
FRAME_HEADER = struct.Struct(">I")
# A machine that has lost power or its network sends nothing, not even a reset: without these a connection to it stays
# open for minutes (§3.5).
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1_000),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


def split_address(address: str) -> tuple[str, int]:
    """Splits HOST:PORT, without the brackets of an IPv6 host; raises ValueError if the port is not a number."""
    host_name, _, port_text = address.rpartition(":")
    return host_name.strip("[]"), int(port_text)


def set_options(stream_writer: asyncio.StreamWriter) -> None:
    """Sets `SOCKET_OPTIONS` on a connection; options that the system does not support are skipped."""
    raw_socket = stream_writer.get_extra_info("socket")
    for level, name, value in SOCKET_OPTIONS:
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(level, name, value)


@dataclass
class NetLossCounts:
    """What a network dropped, counted since the start of the process.

    `stale_frames` waited for too long, `overflow_frames` were over the queue's limits, `failed_writes` ended a
    connection, and `refused_datagrams` are errors that the system reported for datagrams.
    """

    stale_frames: int = 0
    overflow_frames: int = 0
    failed_writes: int = 0
    refused_datagrams: int = 0


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, net: SocketNet) -> None:
        self.net = net

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        self.net.deliver(data)

    def error_received(self, exc: Exception) -> None:
        self.net.losses.refused_datagrams += 1


class OutgoingConnection:
    """One outgoing connection: sends frames in order, and drops those that waited for longer than a second (§3.5)."""

    def __init__(self, target_address: str, clock: Clock, losses: NetLossCounts) -> None:
        self.host_name, self.port_number = split_address(target_address)
        self.clock = clock
        self.losses = losses
        self.queued_frames: deque[tuple[int, bytes]] = deque()
        self.queued_byte_count = 0
        self.wake = asyncio.Event()
        self.stream_reader: asyncio.StreamReader | None = None
        self.stream_writer: asyncio.StreamWriter | None = None

    def push(self, frame: bytes) -> None:
        """Queues a frame; while the queue is over one of its limits, its oldest frames are dropped."""
        self.queued_frames.append((self.clock.now(), frame))
        self.queued_byte_count += len(frame)
        while len(self.queued_frames) > MAXIMUM_QUEUED_FRAMES or (
            self.queued_byte_count > MAXIMUM_QUEUE_BYTES and len(self.queued_frames) > 1
        ):
            self._pop_oldest_frame()
            self.losses.overflow_frames += 1
        self.wake.set()

    async def run(self) -> None:
        """Connects and sends the queued frames, until it is cancelled."""
        try:
            while True:
                self._drop_stale_frames()
                if not self.queued_frames:
                    self.wake.clear()
                    await self.wake.wait()
                elif self._is_open() or await self._connect():
                    await self._write(self._pop_batch())
                else:
                    await sleep_for(self.clock, RECONNECT_DELAY_MICROS)
        finally:
            self._reset()

    def _pop_oldest_frame(self) -> bytes:
        _, frame = self.queued_frames.popleft()
        self.queued_byte_count -= len(frame)
        return frame

    def _drop_stale_frames(self) -> None:
        while self.queued_frames and self.clock.now() - self.queued_frames[0][0] > FRAME_EXPIRY_MICROS:
            self._pop_oldest_frame()
            self.losses.stale_frames += 1

    def _pop_batch(self) -> bytes:
        """Removes up to about `BATCH_BYTES` bytes of frames from the queue, to be sent by one system call."""
        chunks: list[bytes] = []
        size = 0
        while self.queued_frames and size < BATCH_BYTES:
            frame = self._pop_oldest_frame()
            chunks += (FRAME_HEADER.pack(len(frame)), frame)
            size += len(frame)
        return b"".join(chunks)

    def _is_open(self) -> bool:
        if self.stream_reader is None or self.stream_writer is None:
            return False
        return not self.stream_writer.is_closing() and not self.stream_reader.at_eof()

    async def _connect(self) -> bool:
        self._reset()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MICROS / SECOND):
                self.stream_reader, self.stream_writer = await asyncio.open_connection(self.host_name, self.port_number)
        except (OSError, TimeoutError):
            return False
        set_options(self.stream_writer)
        # The transport buffers as little as possible, so that frames wait in the queue, where stale ones are dropped.
        self.stream_writer.transport.set_write_buffer_limits(high=0)
        self._drop_stale_frames()
        return bool(self.queued_frames)

    async def _write(self, batch: bytes) -> None:
        assert self.stream_writer is not None
        transport = self.stream_writer.transport
        try:
            self.stream_writer.write(batch)
            while remaining_size := transport.get_write_buffer_size():
                try:
                    async with asyncio.timeout(WRITE_STALL_MICROS / SECOND):
                        await self.stream_writer.drain()
                except TimeoutError:
                    if transport.get_write_buffer_size() >= remaining_size:
                        raise
        except (OSError, TimeoutError):
            self.losses.failed_writes += 1
            self._reset()

    def _reset(self) -> None:
        """Resets the connection. This also discards what the kernel has buffered, which would arrive stale."""
        if self.stream_writer is not None and not self.stream_writer.is_closing():
            raw_socket = self.stream_writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.stream_writer.transport.abort()
        self.stream_reader = self.stream_writer = None


class SocketNet:
    """A `Net` that uses TCP connections for frames and UDP for datagrams, both on the same port."""

    def __init__(self, own_address: str, clock: Clock | None = None) -> None:
        self.own_address = own_address
        self.clock: Clock = clock or BootClock()
        self.frame_receiver: Receiver = lambda frame_bytes: None
        self.outgoing_connections: dict[str, OutgoingConnection] = {}
        self.losses = NetLossCounts()
        self.owned_tasks: set[asyncio.Task[None]] = set()
        self.stream_server: asyncio.Server | None = None
        self.datagram_transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Binds both sockets; raises OSError if the address is in use."""
        host_name, port_number = split_address(self.own_address)
        self.stream_server = await asyncio.start_server(self._serve, host_name, port_number)
        event_loop = asyncio.get_running_loop()
        self.datagram_transport, _ = await event_loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), local_addr=(host_name, port_number)
        )

    def close(self) -> None:
        """Closes the sockets and cancels the tasks of all connections."""
        if self.stream_server is not None:
            self.stream_server.close()
        if self.datagram_transport is not None:
            self.datagram_transport.close()
        for owned_task in list(self.owned_tasks):
            owned_task.cancel()

    def listen(self, frame_receiver: Receiver) -> None:
        """See `Net.listen`."""
        self.frame_receiver = frame_receiver

    def deliver(self, frame_bytes: bytes) -> None:
        """Passes a frame or datagram to the receiver; its exceptions are logged."""
        try:
            self.frame_receiver(frame_bytes)
        except Exception:
            LOGGER.exception("net: Handling a received message failed.")

    def send_datagram(self, target_address: str, datagram_bytes: bytes) -> None:
        """See `Net.send_datagram`."""
        if self.datagram_transport is not None:
            self.datagram_transport.sendto(datagram_bytes, split_address(target_address))

    def datagram_backlog_bytes(self) -> int:
        """Returns the bytes of datagrams that the system has not accepted yet."""
        if self.datagram_transport is None:
            return 0
        # The event loop's datagram transport has this method, although the type stubs do not list it.
        return int(self.datagram_transport.get_write_buffer_size())  # type: ignore[attr-defined]

    def send(self, target_address: str, frame_bytes: bytes) -> None:
        """See `Net.send`; the first frame to an address opens a connection to it."""
        outgoing_connection = self.outgoing_connections.get(target_address)
        if outgoing_connection is None:
            outgoing_connection = self.outgoing_connections[target_address] = OutgoingConnection(
                target_address, self.clock, self.losses
            )
            send_task = asyncio.get_running_loop().create_task(outgoing_connection.run())
            self.owned_tasks.add(send_task)
            send_task.add_done_callback(self.owned_tasks.discard)
        outgoing_connection.push(frame_bytes)

    async def _serve(self, stream_reader: asyncio.StreamReader, stream_writer: asyncio.StreamWriter) -> None:
        serve_task = asyncio.current_task()
        assert serve_task is not None
        self.owned_tasks.add(serve_task)
        set_options(stream_writer)
        try:
            while True:
                (frame_size,) = FRAME_HEADER.unpack(await stream_reader.readexactly(FRAME_HEADER.size))
                if frame_size > MAXIMUM_FRAME_BYTES:
                    LOGGER.warning("net: A frame was over the limit. bytes=%d", frame_size)
                    return
                self.deliver(await stream_reader.readexactly(frame_size))
        except (asyncio.IncompleteReadError, OSError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.owned_tasks.discard(serve_task)
            stream_writer.close()
