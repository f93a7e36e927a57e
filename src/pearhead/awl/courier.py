"""Courier (§3.1): one envelope for all that processes say, told or asked with an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from google.protobuf.message import DecodeError, Message
from result import Err, Ok, Result

from pearhead.awl.clock import Clock
from pearhead.awl.net import Net
from pearhead.awl.wire_pb2 import Envelope

# The envelope's field by the message that it holds.
BODY_NAMES = {f.message_type.name: f.name for f in Envelope.DESCRIPTOR.fields if f.message_type is not None}

TellHandler = Callable[[str, str, Any], None]
AskHandler = Callable[[str, str, Any], Awaitable[Message | None]]


class Courier:
    def __init__(self, identity: str, ownAddress: str, net: Net, clock: Clock) -> None:
        self.identity = identity
        self.ownAddress = ownAddress
        self.net = net
        self.clock = clock
        self.nextAsk = 1
        self.openAsks: dict[int, asyncio.Future[Any]] = {}
        self.tellHandlers: dict[str, TellHandler] = {}
        self.askHandlers: dict[str, AskHandler] = {}
        self.resultTasks: dict[asyncio.Task[None], None] = {}
        self.sentCounts: dict[str, int] = {}
        self.sentBytes: dict[str, int] = {}
        net.listen(self._receive)

    def on_tell(self, bodyName: str, handler: TellHandler) -> None:
        self.tellHandlers[bodyName] = handler

    def on_ask(self, bodyName: str, handler: AskHandler) -> None:
        self.askHandlers[bodyName] = handler

    def tell(self, targetAddress: str, bodyName: str, body: Message) -> None:
        self.net.send(targetAddress, self._seal(bodyName, body, 0, 0))

    def cast(self, targetAddresses: list[str], bodyName: str, body: Message) -> None:
        datagramBytes = self._seal(bodyName, body, 0, 0)
        for targetAddress in targetAddresses:
            self.net.cast(targetAddress, datagramBytes)
        extraCount = len(targetAddresses) - 1
        self._count(bodyName, extraCount, extraCount * len(datagramBytes))

    async def ask(
        self, targetAddress: str, bodyName: str, body: Message, limitMicros: int
    ) -> Result[Any, str]:
        askNumber = self.nextAsk
        self.nextAsk += 1
        resultFuture: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.openAsks[askNumber] = resultFuture

        def expire() -> None:
            if not resultFuture.done():
                resultFuture.set_result(None)

        limitTimer = self.clock.after(limitMicros, expire)
        try:
            self.net.send(targetAddress, self._seal(bodyName, body, askNumber, 0))
            resultBody = await resultFuture
        finally:
            limitTimer.cancel()
            del self.openAsks[askNumber]
        return Err(f"no answer from {targetAddress}") if resultBody is None else Ok(resultBody)

    def stop(self) -> None:
        for resultTask in list(self.resultTasks):
            resultTask.cancel()

    def _seal(self, bodyName: str, body: Message, askNumber: int, replyTo: int) -> bytes:
        envelope = Envelope(
            identity=self.identity, address=self.ownAddress, ask=askNumber, replyTo=replyTo
        )
        getattr(envelope, bodyName).CopyFrom(body)
        getattr(envelope, bodyName).SetInParent()
        envelopeBytes = envelope.SerializeToString()
        self._count(bodyName, 1, len(envelopeBytes))
        return envelopeBytes

    def _count(self, bodyName: str, sentCount: int, byteCount: int) -> None:
        self.sentCounts[bodyName] = self.sentCounts.get(bodyName, 0) + sentCount
        self.sentBytes[bodyName] = self.sentBytes.get(bodyName, 0) + byteCount

    def _receive(self, frameBytes: bytes) -> None:
        envelope = Envelope()
        try:
            envelope.ParseFromString(frameBytes)
        except DecodeError:
            return
        bodyName = envelope.WhichOneof("body")
        if bodyName is None:
            return
        body = getattr(envelope, bodyName)
        if envelope.replyTo:
            resultFuture = self.openAsks.get(envelope.replyTo)
            if resultFuture is not None and not resultFuture.done():
                resultFuture.set_result(body)
        elif envelope.ask:
            askHandler = self.askHandlers.get(bodyName)
            if askHandler is not None:
                resultTask = asyncio.get_running_loop().create_task(
                    self._send_result(askHandler, envelope, body)
                )
                self.resultTasks[resultTask] = None
                resultTask.add_done_callback(lambda task: self.resultTasks.pop(task, None))
        else:
            tellHandler = self.tellHandlers.get(bodyName)
            if tellHandler is not None:
                tellHandler(envelope.identity, envelope.address, body)

    async def _send_result(self, askHandler: AskHandler, envelope: Envelope, body: Message) -> None:
        resultBody = await askHandler(envelope.identity, envelope.address, body)
        if resultBody is None:
            return
        bodyName = BODY_NAMES[resultBody.DESCRIPTOR.name]
        self.net.send(envelope.address, self._seal(bodyName, resultBody, 0, envelope.ask))
