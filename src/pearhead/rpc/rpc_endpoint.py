"""RpcEndpoint (§3.1): one-way messages and requests with replies between processes, all in one envelope type."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import DecodeError, Message
from result import Err, Ok, Result

from pearhead.rpc.wire_pb2 import Envelope
from pearhead.runtime.clock import Clock
from pearhead.runtime.net import MAXIMUM_DATAGRAM_BYTES, Net

# The name of the envelope's field for each message type.
BODY_NAMES = {f.message_type.name: f.name for f in Envelope.DESCRIPTOR.fields if f.message_type is not None}
INCARNATION_BITS = 64
REQUEST_SUFFIX = "_ask"
# Leaves 100 bytes of a datagram for the envelope around the body.
MAXIMUM_DATAGRAM_BODY_BYTES = MAXIMUM_DATAGRAM_BYTES - 100

OneWayMessageHandler = Callable[[str, str, Any], None]
RpcRequestHandler = Callable[[str, str, Any], Awaitable[Message | None]]


def reply_name(request_name: str) -> str:
    """Returns the envelope's field in which the reply to a request arrives.

    A message that is not named as a request is answered by a message of the same kind.
    """
    if not request_name.endswith(REQUEST_SUFFIX):
        return request_name
    return f"{request_name.removesuffix(REQUEST_SUFFIX)}_result"


@dataclass
class _PendingRequest:
    """A request that waits for a reply from `target_address` in the envelope's field `reply_name`."""

    target_address: str
    reply_name: str
    reply_future: asyncio.Future[Any]


class RpcEndpoint:
    """Sends messages and requests to other processes and dispatches those that arrive to the registered handlers.

    A reply is accepted only if it names a pending request of this incarnation of the process, is of the type that the
    request asks for and comes from the address that the request went to.
    """

    def __init__(self, identity: str, own_address: str, net: Net, clock: Clock) -> None:
        self.identity = identity
        self.own_address = own_address
        self.net = net
        self.clock = clock
        # Request numbers restart with the process, so the incarnation keeps a late reply to a former incarnation's
        # request from being taken for a reply to this one's.
        self.incarnation = secrets.randbits(INCARNATION_BITS) or 1
        self.next_request_number = 1
        self.pending_requests: dict[int, _PendingRequest] = {}
        self.one_way_handlers: dict[str, OneWayMessageHandler] = {}
        self.rpc_request_handlers: dict[str, RpcRequestHandler] = {}
        self.result_tasks: dict[asyncio.Task[None], None] = {}
        self.sent_counts: dict[str, int] = {}
        self.sent_bytes: dict[str, int] = {}
        net.listen(self._receive)

    def on_message(self, body_name: str, handler: OneWayMessageHandler) -> None:
        """Registers the handler of one-way messages of a kind, in place of any earlier one.

        The handler is called with the sender's identity, its address and the message.
        """
        self.one_way_handlers[body_name] = handler

    def on_request(self, body_name: str, handler: RpcRequestHandler) -> None:
        """Registers the handler of requests of a kind; what it returns is sent as the reply, None sends nothing."""
        self.rpc_request_handlers[body_name] = handler

    def send_message(self, target_address: str, body_name: str, body: Message) -> None:
        """Sends a one-way message over the connection to the target, without a guarantee of delivery."""
        self.net.send(target_address, self._encode_envelope(body_name, body))

    def multicast(self, target_addresses: list[str], body_name: str, body: Message) -> None:
        """Sends a one-way message as one datagram to each target."""
        datagram_bytes = self._encode_envelope(body_name, body)
        for target_address in target_addresses:
            self.net.send_datagram(target_address, datagram_bytes)
        extra_count = len(target_addresses) - 1
        self._count_sent(body_name, extra_count, extra_count * len(datagram_bytes))

    def broadcast(self, target_addresses: list[str], body_name: str, body: Message) -> None:
        """Sends a one-way message to each target: by datagram if it fits one, else over the connections."""
        if body.ByteSize() <= MAXIMUM_DATAGRAM_BODY_BYTES:
            if target_addresses:
                self.multicast(target_addresses, body_name, body)
            return
        for target_address in target_addresses:
            self.send_message(target_address, body_name, body)

    async def call(self, target_address: str, body_name: str, body: Message, timeout_micros: int) -> Result[Any, str]:
        """Sends a request and waits at most `timeout_micros` microseconds for its reply; Err if none arrives."""
        request_number = self.next_request_number
        self.next_request_number += 1
        reply_future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.pending_requests[request_number] = _PendingRequest(target_address, reply_name(body_name), reply_future)

        def expire() -> None:
            if not reply_future.done():
                reply_future.set_result(None)

        timeout_timer = self.clock.after(timeout_micros, expire)
        try:
            self.net.send(target_address, self._encode_envelope(body_name, body, ask=request_number))
            result_body = await reply_future
        finally:
            timeout_timer.cancel()
            del self.pending_requests[request_number]
        return Err(f"no answer from {target_address}") if result_body is None else Ok(result_body)

    def stop(self) -> None:
        """Cancels the requests that are still being handled."""
        for result_task in list(self.result_tasks):
            result_task.cancel()

    def _encode_envelope(
        self, body_name: str, body: Message, ask: int = 0, reply_to: int = 0, reply_life: int = 0
    ) -> bytes:
        envelope = Envelope(
            identity=self.identity,
            address=self.own_address,
            ask=ask,
            reply_to=reply_to,
            life=self.incarnation if ask else 0,
            reply_life=reply_life,
        )
        getattr(envelope, body_name).CopyFrom(body)
        getattr(envelope, body_name).SetInParent()
        envelope_bytes = envelope.SerializeToString()
        self._count_sent(body_name, 1, len(envelope_bytes))
        return envelope_bytes

    def _count_sent(self, body_name: str, sent_count: int, byte_count: int) -> None:
        self.sent_counts[body_name] = self.sent_counts.get(body_name, 0) + sent_count
        self.sent_bytes[body_name] = self.sent_bytes.get(body_name, 0) + byte_count

    def _receive(self, frame_bytes: bytes) -> None:
        envelope = Envelope()
        try:
            envelope.ParseFromString(frame_bytes)
        except DecodeError:
            return
        body_name = envelope.WhichOneof("body")
        if body_name is None:
            return
        body = getattr(envelope, body_name)
        if envelope.reply_to:
            self._handle_reply(envelope, body_name, body)
        elif envelope.ask:
            rpc_request_handler = self.rpc_request_handlers.get(body_name)
            if rpc_request_handler is not None:
                result_task = asyncio.get_running_loop().create_task(
                    self._send_result(rpc_request_handler, envelope, body)
                )
                self.result_tasks[result_task] = None
                result_task.add_done_callback(lambda task: self.result_tasks.pop(task, None))
        else:
            one_way_handler = self.one_way_handlers.get(body_name)
            if one_way_handler is not None:
                one_way_handler(envelope.identity, envelope.address, body)

    def _handle_reply(self, envelope: Envelope, body_name: str, body: Message) -> None:
        pending_request = self.pending_requests.get(envelope.reply_to)
        if pending_request is None or pending_request.reply_future.done():
            return
        is_expected = envelope.reply_life == self.incarnation and envelope.address == pending_request.target_address
        if is_expected and body_name == pending_request.reply_name:
            pending_request.reply_future.set_result(body)

    async def _send_result(self, rpc_request_handler: RpcRequestHandler, envelope: Envelope, body: Message) -> None:
        result_body = await rpc_request_handler(envelope.identity, envelope.address, body)
        if result_body is None:
            return
        body_name = BODY_NAMES[result_body.DESCRIPTOR.name]
        self.net.send(
            envelope.address,
            self._encode_envelope(body_name, result_body, reply_to=envelope.ask, reply_life=envelope.life),
        )
