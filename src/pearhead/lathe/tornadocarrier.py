"""TornadoCarrier and TornadoWorkerLink (§8.4): the real edges towards workers and stores."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator
from typing import Any

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from pearhead.awl.clock import SECOND
from pearhead.awl.socketnet import split_address
from pearhead.lathe.carry import CUT, NOT_SENT, REFUSED, WITHDRAWN, CarryFault, MayBegin, UpstreamJob

CONNECT_SECONDS = 1.0
LINE_LIMIT = 1024 * 1024
QUEUED_CHUNKS = 8


class _StreamDelegate(HTTPMessageDelegate):
    """Hands chunks over one bounded queue: a slow caller slows the back end down."""

    def __init__(self) -> None:
        self.status = 0
        self.isWhole = False
        self.chunkQueue: asyncio.Queue[bytes | None] = asyncio.Queue(QUEUED_CHUNKS)

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code

    async def data_received(self, chunk: bytes) -> None:
        await self.chunkQueue.put(chunk)

    def finish(self) -> None:
        self.isWhole = True


class TornadoCarrier:
    def __init__(self) -> None:
        self.tcpClient = TCPClient()

    async def carry(
        self, workerAddress: str, upstreamJob: UpstreamJob, mayBegin: MayBegin
    ) -> AsyncGenerator[dict[str, Any], None]:
        limitSeconds = upstreamJob.limitMicros / SECOND
        eventLoop = asyncio.get_running_loop()
        endSeconds = eventLoop.time() + limitSeconds
        hostName, portNumber = split_address(workerAddress)
        try:
            # One connection a job: no other job's bytes can be on it (§8.4).
            upstreamStream: IOStream = await asyncio.wait_for(
                self.tcpClient.connect(hostName, portNumber), min(CONNECT_SECONDS, limitSeconds)
            )
        except (OSError, StreamClosedError, TimeoutError) as fault:
            raise CarryFault(NOT_SENT, f"could not connect: {fault!r}") from fault
        delegate = _StreamDelegate()
        connection = HTTP1Connection(
            upstreamStream, True, HTTP1ConnectionParameters(no_keep_alive=True, decompress=False)
        )
        readTask: asyncio.Task[bool] | None = None
        try:
            bodyBytes = json.dumps(upstreamJob.to_request()).encode()
            headers = HTTPHeaders({
                "Host": workerAddress, "Content-Type": "application/json", "Connection": "close",
                "Content-Length": str(len(bodyBytes)), "X-Request-Id": upstreamJob.upstreamId,
            })
            startLine = RequestStartLine("POST", "/v1/completions", "HTTP/1.1")
            if not mayBegin():
                raise CarryFault(WITHDRAWN, "it may not begin any more")
            # No await stands between the check and the first byte.
            connection.write_headers(startLine, headers, bodyBytes)
            connection.finish()
            readTask = asyncio.ensure_future(self._read(connection, delegate))
            async for event in self._events(delegate, endSeconds):
                yield event
            if not delegate.isWhole:
                raise CarryFault(CUT, "the connection was cut")
        finally:
            upstreamStream.close()
            if readTask is not None:
                readTask.cancel()

    async def _read(self, connection: HTTP1Connection, delegate: _StreamDelegate) -> bool:
        try:
            return await connection.read_response(delegate)
        except Exception:  # noqa: BLE001 - any fault of the library here is a cut stream
            return False
        finally:
            await delegate.chunkQueue.put(None)

    async def _events(
        self, delegate: _StreamDelegate, endSeconds: float
    ) -> AsyncGenerator[dict[str, Any], None]:
        pending = b""
        while True:
            # Only this wait is limited here: a limit round a yield would cancel whoever takes the event.
            leftSeconds = endSeconds - asyncio.get_running_loop().time()
            try:
                chunk = await asyncio.wait_for(delegate.chunkQueue.get(), max(0.0, leftSeconds))
            except TimeoutError as fault:
                raise CarryFault(CUT, "the deadline passed while it ran") from fault
            if chunk is not None:
                pending += chunk
            if delegate.status and delegate.status != 200:
                if chunk is not None and len(pending) < LINE_LIMIT:
                    continue
                self._refuse(delegate, pending)
            while b"\n" in pending:
                lineBytes, pending = pending.split(b"\n", 1)
                lineBytes = lineBytes.strip()
                if lineBytes == b"data: [DONE]" or not lineBytes.startswith(b"data: "):
                    continue
                try:
                    event = json.loads(lineBytes[6:])
                except ValueError as fault:
                    raise CarryFault(CUT, "an unreadable line") from fault
                if not isinstance(event, dict):
                    raise CarryFault(CUT, "an unreadable line")
                yield event
            if len(pending) > LINE_LIMIT:
                raise CarryFault(CUT, "a line over the limit")
            if chunk is None:
                return

    def _refuse(self, delegate: _StreamDelegate, bodyBytes: bytes) -> None:
        """Only the documented refusals say that it did not run: 404 model, 429 full, 503 loading."""
        if not delegate.isWhole or delegate.status not in (404, 429, 503):
            raise CarryFault(CUT, f"status {delegate.status}")
        raise CarryFault(REFUSED, f"status {delegate.status}: {bodyBytes[:200]!r}")


class _ReplyDelegate(HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.isWhole = False

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.isWhole = True


class TornadoWorkerLink:
    def __init__(self) -> None:
        self.tcpClient = TCPClient()

    async def claim(self, address: str, fence: int, mayBegin: MayBegin) -> Result[dict[str, Any], str]:
        return await self._command(address, "/v1/claim", {"fence": fence}, ("life", "fence"), SECOND, mayBegin)

    async def load(
        self, address: str, fence: int, line: str, weights: str, limitMicros: int, mayBegin: MayBegin
    ) -> Result[dict[str, Any], str]:
        body = {"fence": fence, "model": f"{line}@{weights}"}
        return await self._command(address, "/v1/load", body, ("life", "sequence"), limitMicros, mayBegin)

    async def _command(
        self, address: str, path: str, body: dict[str, Any], wantedNames: tuple[str, ...], limitMicros: int,
        mayBegin: MayBegin,
    ) -> Result[dict[str, Any], str]:
        """As a job's way: connect, ask whether the term still holds, send in the same step (§7.2)."""
        try:
            async with asyncio.timeout(limitMicros / SECOND):
                stream = await asyncio.wait_for(
                    self.tcpClient.connect(*split_address(address)), CONNECT_SECONDS
                )
                try:
                    return await self._send_command(stream, address, path, body, wantedNames, mayBegin)
                finally:
                    stream.close()
        except (OSError, StreamClosedError, TimeoutError, ValueError) as fault:
            return Err(repr(fault))

    async def _send_command(
        self, stream: IOStream, address: str, path: str, body: dict[str, Any], wantedNames: tuple[str, ...],
        mayBegin: MayBegin,
    ) -> Result[dict[str, Any], str]:
        connection = HTTP1Connection(stream, True, HTTP1ConnectionParameters(no_keep_alive=True))
        bodyBytes = json.dumps(body).encode()
        headers = HTTPHeaders({
            "Host": address, "Content-Type": "application/json", "Connection": "close",
            "Content-Length": str(len(bodyBytes)),
        })
        if not mayBegin():
            return Err("not within its term any more")
        connection.write_headers(RequestStartLine("POST", path, "HTTP/1.1"), headers, bodyBytes)
        connection.finish()
        delegate = _ReplyDelegate()
        await connection.read_response(delegate)
        if not delegate.isWhole or delegate.status != 200:
            return Err(f"status {delegate.status}: {delegate.body[:200]!r}")
        return self._read(delegate.body, wantedNames)

    async def events(self, address: str, life: str, after: int) -> Result[dict[str, Any], str]:
        request = HTTPRequest(
            f"http://{address}/v1/kv_events?life={life}&after={after}", follow_redirects=False,
            request_timeout=1.0, connect_timeout=CONNECT_SECONDS,
        )
        return await self._fetch(request, ("life", "sequence", "whole", "kept", "dropped", "changed"))

    async def _fetch(self, request: HTTPRequest, wantedNames: tuple[str, ...]) -> Result[dict[str, Any], str]:
        try:
            response = await AsyncHTTPClient().fetch(request)
            return self._read(response.body, wantedNames)
        except (HTTPClientError, OSError, ValueError) as fault:
            return Err(repr(fault))

    def _read(self, bodyBytes: bytes, wantedNames: tuple[str, ...]) -> Result[dict[str, Any], str]:
        data = json.loads(bodyBytes)
        if not isinstance(data, dict) or any(name not in data for name in wantedNames):
            return Err("an unreadable answer")
        return Ok(data)
