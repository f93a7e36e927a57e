"""SocketNet over loopback sockets.

Guards against the late delivery of stale frames, a restarted peer that is not reached at once, a queue that grows while
its peer does not read, and a connection that stays open although its peer's machine is gone.
"""

from __future__ import annotations

import asyncio
import socket
import unittest
from collections.abc import Callable

from pearhead.runtime.clock import MILLI, SECOND, BootClock, sleep_for
from pearhead.runtime.socketnet import (
    FRAME_EXPIRY_MICROS,
    MAXIMUM_QUEUE_BYTES,
    SOCKET_OPTIONS,
    SocketNet,
    split_address,
)


class OutLinkTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = BootClock()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"

    async def open_net(self, address: str = "127.0.0.1:0") -> tuple[SocketNet, list[bytes]]:
        received: list[bytes] = []
        net = SocketNet(address)
        net.listen(received.append)
        if not address.endswith(":0"):
            await net.open()
        self.addCleanup(net.close)
        return net, received

    async def wait_until(self, condition: Callable[[], bool], limit_micros: int = 4 * SECOND) -> bool:
        end_micros = self.clock.now() + limit_micros
        while not condition() and self.clock.now() < end_micros:
            await sleep_for(self.clock, 10 * MILLI)
        return condition()

    async def test_what_waited_for_a_second_is_dropped_and_the_rest_goes_in_order(self) -> None:
        sender, _ = await self.open_net()
        sender.send(self.address, b"stale")
        await sleep_for(self.clock, FRAME_EXPIRY_MICROS + 100 * MILLI)
        for number in range(5):
            sender.send(self.address, b"%d" % number)
        _, received = await self.open_net(self.address)
        self.assertTrue(await self.wait_until(lambda: len(received) == 5))
        self.assertEqual(received, [b"0", b"1", b"2", b"3", b"4"])

    async def test_a_process_started_again_hears_the_next_frame_at_once(self) -> None:
        sender, _ = await self.open_net()
        first_peer, _ = await self.open_net(self.address)
        sender.send(self.address, b"a")
        await sleep_for(self.clock, 100 * MILLI)
        first_peer.close()
        await sleep_for(self.clock, 100 * MILLI)
        _, received = await self.open_net(self.address)
        sender.send(self.address, b"b")
        self.assertTrue(await self.wait_until(lambda: received == [b"b"], 500 * MILLI), received)

    async def test_a_peer_that_does_not_read_is_given_up_and_nothing_piles_up(self) -> None:
        connections: list[asyncio.StreamWriter] = []

        async def hold(stream_reader: asyncio.StreamReader, stream_writer: asyncio.StreamWriter) -> None:
            stream_writer.transport.pause_reading()  # type: ignore[attr-defined]
            connections.append(stream_writer)

        host_name, port_number = split_address(self.address)
        server = await asyncio.start_server(hold, host_name, port_number)
        self.addCleanup(server.close)
        sender, _ = await self.open_net()

        def is_given_up() -> bool:
            sender.send(self.address, bytes(1024 * 1024))
            return len(connections) > 1

        self.assertTrue(await self.wait_until(is_given_up))
        self.assertLessEqual(sender.outgoing_connections[self.address].queued_byte_count, MAXIMUM_QUEUE_BYTES)
        for connection in connections:
            connection.transport.abort()

    async def test_links_end_by_themselves_when_the_peer_is_in_the_dark(self) -> None:
        sender, _ = await self.open_net()
        _, received = await self.open_net(self.address)
        sender.send(self.address, b"a")
        self.assertTrue(await self.wait_until(lambda: bool(received)))
        stream_writer = sender.outgoing_connections[self.address].stream_writer
        assert stream_writer is not None
        raw_socket = stream_writer.get_extra_info("socket")
        for level, name, value in SOCKET_OPTIONS:
            self.assertEqual(raw_socket.getsockopt(level, name), value)
