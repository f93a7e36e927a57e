"""TornadoJobTransport and TornadoWorkerClient (§8.4): HTTP clients for workers and stores, on Tornado."""

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

from pearhead.router.job_transport import (
    CUT,
    NOT_SENT,
    REFUSED,
    WITHDRAWN,
    JobTransportError,
    SendPrecondition,
    UpstreamJob,
)
from pearhead.runtime.clock import SECOND
from pearhead.runtime.socketnet import split_address

CONNECT_SECONDS = 1.0
LINE_LIMIT = 1024 * 1024
MAX_QUEUED_CHUNKS = 8


class _StreamDelegate(HTTPMessageDelegate):
    """Passes chunks through a bounded queue, so that a slow client slows the worker down."""

    def __init__(self) -> None:
        self.status = 0
        self.is_whole = False
        self.chunk_queue: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_QUEUED_CHUNKS)

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code

    async def data_received(self, chunk: bytes) -> None:
        await self.chunk_queue.put(chunk)

    def finish(self) -> None:
        self.is_whole = True


class TornadoJobTransport:
    """JobTransport over HTTP/1.1, with one connection per job."""

    def __init__(self) -> None:
        self.tcp_client = TCPClient()

    async def send_job(
        self, worker_address: str, upstream_job: UpstreamJob, may_begin: SendPrecondition
    ) -> AsyncGenerator[dict[str, Any], None]:
        """See JobTransport.send_job; the stream is cut at the job's deadline."""
        limit_seconds = upstream_job.limit_micros / SECOND
        event_loop = asyncio.get_running_loop()
        end_seconds = event_loop.time() + limit_seconds
        host_name, port_number = split_address(worker_address)
        try:
            # One connection per job, so that it never carries another job's bytes (§8.4).
            upstream_stream: IOStream = await asyncio.wait_for(
                self.tcp_client.connect(host_name, port_number), min(CONNECT_SECONDS, limit_seconds)
            )
        except (OSError, StreamClosedError, TimeoutError) as fault:
            raise JobTransportError(NOT_SENT, f"could not connect: {fault!r}") from fault
        delegate = _StreamDelegate()
        connection = HTTP1Connection(
            upstream_stream, True, HTTP1ConnectionParameters(no_keep_alive=True, decompress=False)
        )
        read_task: asyncio.Task[bool] | None = None
        try:
            body_bytes = json.dumps(upstream_job.to_request()).encode()
            headers = HTTPHeaders(
                {
                    "Host": worker_address,
                    "Content-Type": "application/json",
                    "Connection": "close",
                    "Content-Length": str(len(body_bytes)),
                    "X-Request-Id": upstream_job.upstream_id,
                }
            )
            start_line = RequestStartLine("POST", "/v1/completions", "HTTP/1.1")
            if not may_begin():
                raise JobTransportError(WITHDRAWN, "it may not begin any more")
            # There must be no await between the check and the first byte.
            connection.write_headers(start_line, headers, body_bytes)
            connection.finish()
            read_task = asyncio.ensure_future(self._read_response(connection, delegate))
            async for event in self._events(delegate, end_seconds):
                yield event
            if not delegate.is_whole:
                raise JobTransportError(CUT, "the connection was cut")
        finally:
            upstream_stream.close()
            if read_task is not None:
                read_task.cancel()

    async def _read_response(self, connection: HTTP1Connection, delegate: _StreamDelegate) -> bool:
        try:
            return await connection.read_response(delegate)
        except Exception:  # noqa: BLE001 - any exception of the library here means a cut stream
            return False
        finally:
            await delegate.chunk_queue.put(None)

    async def _events(self, delegate: _StreamDelegate, end_seconds: float) -> AsyncGenerator[dict[str, Any], None]:
        pending = b""
        while True:
            # The timeout covers only this wait: one around a yield would cancel the consumer of the event.
            left_seconds = end_seconds - asyncio.get_running_loop().time()
            try:
                chunk = await asyncio.wait_for(delegate.chunk_queue.get(), max(0.0, left_seconds))
            except TimeoutError as fault:
                raise JobTransportError(CUT, "the deadline passed while it ran") from fault
            if chunk is not None:
                pending += chunk
            if delegate.status and delegate.status != 200:
                if chunk is not None and len(pending) < LINE_LIMIT:
                    continue
                self._raise_for_status(delegate, pending)
            while b"\n" in pending:
                line_bytes, pending = pending.split(b"\n", 1)
                line_bytes = line_bytes.strip()
                if line_bytes == b"data: [DONE]" or not line_bytes.startswith(b"data: "):
                    continue
                try:
                    event = json.loads(line_bytes[6:])
                except ValueError as fault:
                    raise JobTransportError(CUT, "an unreadable line") from fault
                if not isinstance(event, dict):
                    raise JobTransportError(CUT, "an unreadable line")
                yield event
            if len(pending) > LINE_LIMIT:
                raise JobTransportError(CUT, "a line over the limit")
            if chunk is None:
                return

    def _raise_for_status(self, delegate: _StreamDelegate, body_bytes: bytes) -> None:
        """Raises REFUSED for the documented refusals, which say that the job did not run, otherwise CUT.

        Documented are 404 (unknown model), 429 (full) and 503 (loading).
        """
        if not delegate.is_whole or delegate.status not in (404, 429, 503):
            raise JobTransportError(CUT, f"status {delegate.status}")
        raise JobTransportError(REFUSED, f"status {delegate.status}: {body_bytes[:200]!r}")


class _ResponseDelegate(HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.is_whole = False

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.is_whole = True


class TornadoWorkerClient:
    """Sends control commands to workers and reads their cache events. Err holds a description of the fault."""

    def __init__(self) -> None:
        self.tcp_client = TCPClient()

    async def claim(self, address: str, fence: int, may_begin: SendPrecondition) -> Result[dict[str, Any], str]:
        """Claims a worker under a fencing token; its answer holds `life` and `fence`."""
        return await self._command(address, "/v1/claim", {"fence": fence}, ("life", "fence"), SECOND, may_begin)

    async def load(
        self, address: str, fence: int, line: str, weights: str, limit_micros: int, may_begin: SendPrecondition
    ) -> Result[dict[str, Any], str]:
        """Tells a worker to load a version of a model's weights; its answer holds `life` and `sequence`."""
        body = {"fence": fence, "model": f"{line}@{weights}"}
        return await self._command(address, "/v1/load", body, ("life", "sequence"), limit_micros, may_begin)

    async def _command(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        required_fields: tuple[str, ...],
        limit_micros: int,
        may_begin: SendPrecondition,
    ) -> Result[dict[str, Any], str]:
        """Connects, then calls `may_begin` in the same step as the first byte is sent, as for a job (§7.2)."""
        try:
            async with asyncio.timeout(limit_micros / SECOND):
                stream = await asyncio.wait_for(self.tcp_client.connect(*split_address(address)), CONNECT_SECONDS)
                try:
                    return await self._send_command(stream, address, path, body, required_fields, may_begin)
                finally:
                    stream.close()
        except (OSError, StreamClosedError, TimeoutError, ValueError) as fault:
            return Err(repr(fault))

    async def _send_command(
        self,
        stream: IOStream,
        address: str,
        path: str,
        body: dict[str, Any],
        required_fields: tuple[str, ...],
        may_begin: SendPrecondition,
    ) -> Result[dict[str, Any], str]:
        connection = HTTP1Connection(stream, True, HTTP1ConnectionParameters(no_keep_alive=True))
        body_bytes = json.dumps(body).encode()
        headers = HTTPHeaders(
            {
                "Host": address,
                "Content-Type": "application/json",
                "Connection": "close",
                "Content-Length": str(len(body_bytes)),
            }
        )
        if not may_begin():
            return Err("not within its term any more")
        connection.write_headers(RequestStartLine("POST", path, "HTTP/1.1"), headers, body_bytes)
        connection.finish()
        delegate = _ResponseDelegate()
        await connection.read_response(delegate)
        if not delegate.is_whole or delegate.status != 200:
            return Err(f"status {delegate.status}: {delegate.body[:200]!r}")
        return self._parse_answer(delegate.body, required_fields)

    async def events(self, address: str, life: str, after: int) -> Result[dict[str, Any], str]:
        """Reads the cache events of a worker or store that came after sequence number `after` of its process `life`."""
        request = HTTPRequest(
            f"http://{address}/v1/kv_events?life={life}&after={after}",
            follow_redirects=False,
            request_timeout=1.0,
            connect_timeout=CONNECT_SECONDS,
        )
        return await self._fetch(request, ("life", "sequence", "whole", "kept", "dropped", "changed"))

    async def _fetch(self, request: HTTPRequest, required_fields: tuple[str, ...]) -> Result[dict[str, Any], str]:
        try:
            response = await AsyncHTTPClient().fetch(request)
            return self._parse_answer(response.body, required_fields)
        except (HTTPClientError, OSError, ValueError) as fault:
            return Err(repr(fault))

    def _parse_answer(self, body_bytes: bytes, required_fields: tuple[str, ...]) -> Result[dict[str, Any], str]:
        data = json.loads(body_bytes)
        if not isinstance(data, dict) or any(name not in data for name in required_fields):
            return Err("an unreadable answer")
        return Ok(data)
