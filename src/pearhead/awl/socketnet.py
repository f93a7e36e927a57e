"""SocketNet (§3.1): the real Net, one task a connection out, TCP frames and UDP datagrams."""

from __future__ import annotations

import asyncio
import struct

import picologging

from pearhead.awl.net import MAXIMUM_FRAME, Receiver

LOGGER = picologging.getLogger("pearhead")
QUEUE_LIMIT = 512
CONNECT_SECONDS = 1.0


def split_address(address: str) -> tuple[str, int]:
    hostName, _, portText = address.rpartition(":")
    return hostName.strip("[]"), int(portText)


class _CastProtocol(asyncio.DatagramProtocol):
    def __init__(self, owner: SocketNet) -> None:
        self.owner = owner

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        self.owner.take(data)


class SocketNet:
    def __init__(self, ownAddress: str) -> None:
        self.ownAddress = ownAddress
        self.frameReceiver: Receiver = lambda frameBytes: None
        self.outQueues: dict[str, asyncio.Queue[bytes]] = {}
        self.ownTasks: set[asyncio.Task[None]] = set()
        self.streamServer: asyncio.Server | None = None
        self.castTransport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        hostName, portNumber = split_address(self.ownAddress)
        self.streamServer = await asyncio.start_server(self._serve, hostName, portNumber)
        eventLoop = asyncio.get_running_loop()
        self.castTransport, _ = await eventLoop.create_datagram_endpoint(
            lambda: _CastProtocol(self), local_addr=(hostName, portNumber)
        )

    def close(self) -> None:
        if self.streamServer is not None:
            self.streamServer.close()
        if self.castTransport is not None:
            self.castTransport.close()
        for ownTask in list(self.ownTasks):
            ownTask.cancel()

    def listen(self, frameReceiver: Receiver) -> None:
        self.frameReceiver = frameReceiver

    def take(self, frameBytes: bytes) -> None:
        try:
            self.frameReceiver(frameBytes)
        except Exception:
            LOGGER.exception("net: A frame could not be handled.")

    def cast(self, targetAddress: str, datagramBytes: bytes) -> None:
        if self.castTransport is not None:
            self.castTransport.sendto(datagramBytes, split_address(targetAddress))

    def send(self, targetAddress: str, frameBytes: bytes) -> None:
        outQueue = self.outQueues.get(targetAddress)
        if outQueue is None:
            outQueue = self.outQueues[targetAddress] = asyncio.Queue(QUEUE_LIMIT)
            sendTask = asyncio.get_running_loop().create_task(self._drain(targetAddress, outQueue))
            self.ownTasks.add(sendTask)
            sendTask.add_done_callback(self.ownTasks.discard)
        if outQueue.full():
            outQueue.get_nowait()
        outQueue.put_nowait(frameBytes)

    async def _drain(self, targetAddress: str, outQueue: asyncio.Queue[bytes]) -> None:
        hostName, portNumber = split_address(targetAddress)
        streamWriter: asyncio.StreamWriter | None = None
        while True:
            frameBytes = await outQueue.get()
            try:
                if streamWriter is None or streamWriter.is_closing():
                    _, streamWriter = await asyncio.wait_for(
                        asyncio.open_connection(hostName, portNumber), CONNECT_SECONDS
                    )
                assert streamWriter is not None
                streamWriter.write(struct.pack(">I", len(frameBytes)) + frameBytes)
                await streamWriter.drain()
            except (OSError, TimeoutError):
                if streamWriter is not None:
                    streamWriter.close()
                streamWriter = None
                while not outQueue.empty():
                    outQueue.get_nowait()

    async def _serve(self, streamReader: asyncio.StreamReader, streamWriter: asyncio.StreamWriter) -> None:
        serveTask = asyncio.current_task()
        assert serveTask is not None
        self.ownTasks.add(serveTask)
        try:
            while True:
                (frameSize,) = struct.unpack(">I", await streamReader.readexactly(4))
                if frameSize > MAXIMUM_FRAME:
                    LOGGER.warning("net: A frame of %d bytes was over the limit.", frameSize)
                    return
                self.take(await streamReader.readexactly(frameSize))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.ownTasks.discard(serveTask)
            streamWriter.close()
