"""Upstream connections (§8.9): a pool of connections to workers, each carrying one request at a time."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from pearhead.runtime.bounded_numbers import parse_saturated
from pearhead.runtime.clock import MILLI, SECOND, Clock
from pearhead.runtime.socketnet import split_address

CONNECT_MICROS = 300 * MILLI
IDLE_MICROS = 4 * SECOND
KEEP_ALIVE_MARGIN_MICROS = 1_200 * MILLI
TCP_USER_TIMEOUT_MILLIS = 3_000
MAX_KEEP_ALIVE_SECONDS = 3_600
MAX_UPSTREAM_BODY_BYTES = 64 * 1024 * 1024
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout\s*=\s*([0-9]+)")
# A kept connection that broke after a shorter idle time was not closed by an idle timeout of the worker.
MIN_EARLY_CLOSE_IDLE_MICROS = 50 * MILLI
EARLY_CLOSE_TTL_MICROS = 10 * SECOND
UNLIMITED_IDLE_MICROS = 3_600 * SECOND
POOL_EXHAUSTED = "no connection: as many as this node may have there are in use"


@dataclass(frozen=True)
class CallLimits:
    """What a request requires of its connection.

    `limit_micros` bounds the time to connect. `share` is this node's number of connections to the worker, idle and in
    use, beyond which none is kept; `max_in_use` the number in use beyond which none is opened; 0 means no limit.
    `max_idle_micros` is the longest idle time of a kept connection that may carry the request.
    """

    limit_micros: int
    share: int = 0
    max_in_use: int = 0
    max_idle_micros: int = UNLIMITED_IDLE_MICROS


@dataclass(frozen=True)
class _IdleConnection:
    stream: IOStream
    since_micros: int
    until_micros: int


class _ResponseDelegate(HTTPMessageDelegate):
    """Collects one response. The end of the connection `stream` is also the end of a response without a length."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        loop = asyncio.get_running_loop()
        self.head: asyncio.Future[tuple[int, str, HTTPHeaders] | None] = loop.create_future()
        self.chunks: deque[bytes] = deque()
        self.wake = asyncio.Event()
        self.is_whole = False
        self.has_ended = False
        self.is_framed = False

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        if 100 <= start_line.code < 200:
            return
        self.is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers or start_line.code in (204, 304)
        if not self.head.done():
            self.head.set_result((start_line.code, start_line.reason, headers))

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)
        self.wake.set()

    def finish(self) -> None:
        # A response without a length ends with its connection; if that was reset or timed out, it is not complete.
        self.is_whole = self.is_framed or self.stream.error is None
        self.wake.set()

    def on_connection_close(self) -> None:
        self.end()

    def end(self) -> None:
        self.has_ended = True
        if not self.head.done():
            self.head.set_result(None)
        self.wake.set()


class UpstreamCall:
    """One request on one connection. Its owner must always call `close`, which keeps a reusable connection."""

    def __init__(
        self,
        pool: UpstreamPool,
        address: str,
        stream: IOStream,
        limits: CallLimits,
        kept: _IdleConnection | None = None,
    ) -> None:
        self.pool = pool
        self.address = address
        self.stream = stream
        self.limits = limits
        self.kept = kept
        self.idle_micros = pool.clock.now() - kept.since_micros if kept is not None else 0
        self.delegate = _ResponseDelegate(stream)
        self.reader: asyncio.Task[None] | None = None
        self.headers: HTTPHeaders | None = None

    def send(self, method: str, target: str, headers: HTTPHeaders, body: bytes) -> None:
        """Writes the whole request at once and starts to read the response."""
        parameters = HTTP1ConnectionParameters(max_header_size=65_536, max_body_size=MAX_UPSTREAM_BODY_BYTES)
        connection = HTTP1Connection(self.stream, True, parameters)
        connection.write_headers(RequestStartLine(method, target, "HTTP/1.1"), headers, body or None)
        connection.finish()
        self.stream.set_nodelay(True)
        self.reader = asyncio.get_running_loop().create_task(self._read(connection))

    async def _read(self, connection: HTTP1Connection) -> None:
        try:
            await connection.read_response(self.delegate)
        except (StreamClosedError, OSError, ValueError):
            pass
        finally:
            self.delegate.end()

    async def head(self, limit_micros: int) -> tuple[int, str, HTTPHeaders] | None:
        """Waits for the response head and returns status, reason and headers.

        Returns None if the connection ended first or the response was not HTTP. Raises `TimeoutError` after
        `limit_micros`.
        """
        found = await asyncio.wait_for(asyncio.shield(self.delegate.head), max(limit_micros, 0) / SECOND)
        self.headers = found[2] if found else None
        if found is None and self.kept is not None:
            self.pool.record_early_close(self.address, self.idle_micros)
        return found

    async def chunks(self, limit: Callable[[], int]) -> AsyncIterator[bytes]:
        """Yields the body as it arrives. Raises `TimeoutError` once the microseconds that `limit` returns are over."""
        delegate = self.delegate
        while True:
            while delegate.chunks:
                yield delegate.chunks.popleft()
            if delegate.has_ended or delegate.is_whole:
                return
            delegate.wake.clear()
            await asyncio.wait_for(delegate.wake.wait(), max(limit(), 0) / SECOND)

    def is_whole(self) -> bool:
        """Whether the response was received completely and its body has been consumed."""
        return self.delegate.is_whole and not self.delegate.chunks

    async def close(self) -> None:
        """Ends the call.

        The connection is kept if the response was complete and nothing follows it, or if the connection came from the
        pool and nothing was sent on it. Otherwise it is closed.
        """
        is_kept = False
        try:
            is_kept = await self._is_reusable()
        finally:
            if self.reader is None and self.kept is not None:
                self.pool.add_idle_connection(self.address, self.kept)
            elif is_kept and self.headers is not None:
                self.pool.return_to_pool(self.address, self.stream, self.headers, self.limits.share)
            else:
                self.stream.close()

    async def _is_reusable(self) -> bool:
        """Whether the response ended completely and the connection stays open; an unread body is dropped."""
        if self.reader is None:
            return False
        if not self.delegate.is_whole or self.headers is None or _has_connection_close(self.headers):
            self.reader.cancel()
            return False
        await asyncio.wait([self.reader], timeout=0.05)
        return self.reader.done()


class UpstreamPool:
    """Connections by worker address: `idle` holds the kept ones, `open_streams` those and the ones in use.

    A node keeps no connections beyond its share of those that a worker accepts from all nodes together, and closes
    idle ones before it opens new ones beyond that share. `early_close_bounds` maps an address to the idle time from
    which on kept connections to it are not used, and the time until which that bound holds.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.idle: dict[str, deque[_IdleConnection]] = {}
        self.open_streams: dict[str, set[IOStream]] = {}
        self.early_close_bounds: dict[str, tuple[int, int]] = {}
        self.opened_count = 0
        self.reused_count = 0

    async def call(self, address: str, limits: CallLimits) -> Result[UpstreamCall, str]:
        """Returns a call on a kept connection without unread data, or on a new one. On an error, nothing was sent."""
        kept = self._take_idle(address, limits)
        if kept is not None:
            self.reused_count += 1
            return Ok(UpstreamCall(self, address, kept.stream, limits, kept))
        if not self._can_open(address, limits):
            return Err(POOL_EXHAUSTED)
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLIS)
        stream = IOStream(raw)
        self.open_streams.setdefault(address, set()).add(stream)
        try:
            await asyncio.wait_for(
                stream.connect(split_address(address)), min(CONNECT_MICROS, max(limits.limit_micros, 0)) / SECOND
            )
        except (OSError, ValueError, OverflowError, StreamClosedError, TimeoutError) as fault:
            # ValueError and OverflowError: the address names no host, or its port is out of range.
            stream.close()
            return Err(f"no connection: {fault!r}")
        except BaseException:
            stream.close()
            raise
        self.opened_count += 1
        return Ok(UpstreamCall(self, address, stream, limits))

    def _take_idle(self, address: str, limits: CallLimits) -> _IdleConnection | None:
        """Takes the connection with the shortest idle time; one idle too long for this request is left to others."""
        idle_connections = self.idle.get(address)
        now_micros = self.clock.now()
        max_idle_micros = self._max_idle_micros(address)
        while idle_connections:
            kept = idle_connections[-1]
            idle_micros = now_micros - kept.since_micros
            is_usable = (
                now_micros < kept.until_micros and idle_micros < max_idle_micros and is_idle_and_open(kept.stream)
            )
            if is_usable and idle_micros > limits.max_idle_micros:
                return None
            idle_connections.pop()
            if is_usable:
                kept.stream.set_close_callback(None)
                return kept
            kept.stream.close()
        return None

    def _can_open(self, address: str, limits: CallLimits) -> bool:
        """Whether one more connection may be opened; closes idle ones to make room for it."""
        if not limits.share or self._shrink_to(address, limits.share - 1):
            return True
        return not limits.max_in_use or self.open_count(address) < max(limits.max_in_use, limits.share)

    def _shrink_to(self, address: str, max_open: int) -> bool:
        """Closes idle connections, longest idle first, until at most `max_open` are open; False if that fails."""
        idle_connections = self.idle.get(address)
        while self.open_count(address) > max_open:
            if not idle_connections:
                return False
            idle_connections.popleft().stream.close()
        return True

    def open_count(self, address: str) -> int:
        """Returns the number of connections that are idle, in use or being opened."""
        streams = self.open_streams.get(address, set())
        streams.difference_update([stream for stream in streams if stream.closed()])
        return len(streams)

    def return_to_pool(self, address: str, stream: IOStream, headers: HTTPHeaders, share: int = 0) -> None:
        """Keeps a connection until its `Keep-Alive` timeout less a margin; closes it if `share` is exceeded."""
        timeout_match = KEEP_ALIVE_TIMEOUT_PATTERN.search(headers.get("Keep-Alive", ""))
        keep_micros = IDLE_MICROS
        if timeout_match is not None:
            timeout_seconds = parse_saturated(timeout_match.group(1), MAX_KEEP_ALIVE_SECONDS)
            keep_micros = timeout_seconds * SECOND - KEEP_ALIVE_MARGIN_MICROS
        if share and not self._shrink_to(address, share):
            stream.close()
            return
        now_micros = self.clock.now()
        self.add_idle_connection(address, _IdleConnection(stream, now_micros, now_micros + keep_micros))

    def add_idle_connection(self, address: str, kept: _IdleConnection) -> None:
        """Keeps an idle connection for later calls; closes it if it has expired, is broken or has unread data."""
        if kept.until_micros <= self.clock.now() or not is_idle_and_open(kept.stream):
            kept.stream.close()
            return
        kept.stream.set_close_callback(kept.stream.close)
        self.idle.setdefault(address, deque()).append(kept)

    def record_early_close(self, address: str, idle_micros: int) -> None:
        """Notes that a kept connection ended without a response.

        The worker may have dropped it for its idle time, and may drop others that are idle as long. For a while, only
        connections with less than half that idle time are used.
        """
        if idle_micros < MIN_EARLY_CLOSE_IDLE_MICROS:
            return
        bound_micros = min(idle_micros // 2, self._max_idle_micros(address))
        self.early_close_bounds[address] = (bound_micros, self.clock.now() + EARLY_CLOSE_TTL_MICROS)

    def _max_idle_micros(self, address: str) -> int:
        """Returns the idle time from which on kept connections to this address are not used."""
        bound_micros, until_micros = self.early_close_bounds.get(address, (0, 0))
        return bound_micros if until_micros > self.clock.now() else UNLIMITED_IDLE_MICROS

    def remove_address(self, address: str) -> None:
        """Closes the idle connections to a worker that is gone, as another worker may get its address."""
        self.early_close_bounds.pop(address, None)
        for kept in self.idle.pop(address, ()):
            kept.stream.close()

    def sweep(self) -> None:
        """Closes expired and broken idle connections, and drops outdated records."""
        now_micros = self.clock.now()
        for address, idle_connections in list(self.idle.items()):
            remaining: deque[_IdleConnection] = deque()
            for kept in idle_connections:
                if kept.until_micros > now_micros and is_idle_and_open(kept.stream):
                    remaining.append(kept)
                else:
                    kept.stream.close()
            if remaining:
                self.idle[address] = remaining
            else:
                del self.idle[address]
        self.open_streams = {
            address: streams for address, streams in self.open_streams.items() if self.open_count(address)
        }
        self.early_close_bounds = {
            address: bound for address, bound in self.early_close_bounds.items() if bound[1] > now_micros
        }


def is_idle_and_open(stream: IOStream) -> bool:
    """Whether the connection is open without unread data: what follows a complete response is no response (§8.9)."""
    if stream.closed() or stream._read_buffer_size:  # Tornado has no public name for it.
        return False
    try:
        return stream.socket.recv(1, socket.MSG_PEEK) is None
    except BlockingIOError:
        return True
    except OSError:
        return False


def _has_connection_close(headers: HTTPHeaders) -> bool:
    return "close" in (token.strip().lower() for token in headers.get("Connection", "").split(","))
