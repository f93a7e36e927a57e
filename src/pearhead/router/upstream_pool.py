"""UpstreamPool (§8.9): kept connections to workers, and one request and its answer on each at a time."""

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

from pearhead.runtime.clock import MILLI, SECOND, Clock
from pearhead.runtime.socketnet import split_address

CONNECT_MICROS = 300 * MILLI
IDLE_MICROS = 4 * SECOND
KEEP_ALIVE_MARGIN_MICROS = 1_200 * MILLI
TCP_USER_TIMEOUT_MILLIS = 3_000
MAX_UPSTREAM_BODY_BYTES = 64 * 1024 * 1024
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout\s*=\s*(\d+)")
# A connection that broke after less rest was not forgotten for its rest.
MIN_EARLY_CLOSE_IDLE_MICROS = 50 * MILLI
EARLY_CLOSE_TTL_MICROS = 10 * SECOND
UNLIMITED_IDLE_MICROS = 3_600 * SECOND
POOL_EXHAUSTED = "no connection: as many as this node may have there are in use"


@dataclass(frozen=True)
class CallLimits:
    """What a request asks of its connection. `share`: connections of this node to the worker, kept and in use, beyond
    which none is kept; `max_in_use`: the most in use, none is opened beyond; zero: not told. `max_idle_micros`: the
    longest rest of a kept connection that may take it.
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
    """Gathers one answer. `stream`: its connection, whose end is that of an answer without a length."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        loop = asyncio.get_running_loop()
        self.head: asyncio.Future[tuple[int, str, HTTPHeaders] | None] = loop.create_future()
        self.chunks: deque[bytes] = deque()
        self.wake = asyncio.Event()
        self.is_whole = False
        self.is_over = False
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
        # Without a length an answer ends with its connection; one that was reset or timed out is not whole.
        self.is_whole = self.is_framed or self.stream.error is None
        self.wake.set()

    def on_connection_close(self) -> None:
        self.end()

    def end(self) -> None:
        self.is_over = True
        if not self.head.done():
            self.head.set_result(None)
        self.wake.set()


class UpstreamCall:
    """One request on one connection. Its owner calls `close` in any case; a clean one keeps the connection."""

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
        """Writes the whole request in one step."""
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
        """Status, reason and headers; None if the connection ended or was no HTTP. `TimeoutError` at the limit."""
        found = await asyncio.wait_for(asyncio.shield(self.delegate.head), max(limit_micros, 0) / SECOND)
        self.headers = found[2] if found else None
        if found is None and self.kept is not None:
            self.pool.record_early_close(self.address, self.idle_micros)
        return found

    async def chunks(self, limit: Callable[[], int]) -> AsyncIterator[bytes]:
        """The body as it comes. `TimeoutError` once `limit`, in microseconds from now, is over."""
        delegate = self.delegate
        while True:
            while delegate.chunks:
                yield delegate.chunks.popleft()
            if delegate.is_over or delegate.is_whole:
                return
            delegate.wake.clear()
            await asyncio.wait_for(delegate.wake.wait(), max(limit(), 0) / SECOND)

    def is_whole(self) -> bool:
        return self.delegate.is_whole and not self.delegate.chunks

    async def close(self) -> None:
        """Keeps the connection if its answer was whole and nothing follows it, or if nothing was sent on it."""
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
        """What was not asked for of a whole answer is dropped: only its end matters here."""
        if self.reader is None:
            return False
        if not self.delegate.is_whole or self.headers is None or _has_connection_close(self.headers):
            self.reader.cancel()
            return False
        await asyncio.wait([self.reader], timeout=0.05)
        return self.reader.done()


class UpstreamPool:
    """Connections by address, `open` those kept and in use. A node keeps none beyond its share of what a worker takes
    from all callers together, and closes idle ones before it opens others beyond it.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.idle: dict[str, deque[_IdleConnection]] = {}
        self.open: dict[str, set[IOStream]] = {}
        self.early_close_bounds: dict[str, tuple[int, int]] = {}
        self.opened = 0
        self.reused = 0

    async def call(self, address: str, limits: CallLimits) -> Result[UpstreamCall, str]:
        """A kept connection that is surely quiet, or a new one. Nothing was sent when it is an error."""
        kept = self._take_idle(address, limits)
        if kept is not None:
            self.reused += 1
            return Ok(UpstreamCall(self, address, kept.stream, limits, kept))
        if not self._can_open(address, limits):
            return Err(POOL_EXHAUSTED)
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLIS)
        stream = IOStream(raw)
        self.open.setdefault(address, set()).add(stream)
        try:
            await asyncio.wait_for(
                stream.connect(split_address(address)), min(CONNECT_MICROS, max(limits.limit_micros, 0)) / SECOND
            )
        except (OSError, StreamClosedError, TimeoutError) as fault:
            stream.close()
            return Err(f"no connection: {fault!r}")
        except BaseException:
            stream.close()
            raise
        self.opened += 1
        return Ok(UpstreamCall(self, address, stream, limits))

    def _take_idle(self, address: str, limits: CallLimits) -> _IdleConnection | None:
        """The one that rested least; what rested too long for this request is left for others."""
        waiting = self.idle.get(address)
        now_micros = self.clock.now()
        max_idle_micros = self._max_idle_micros(address)
        while waiting:
            kept = waiting[-1]
            idle_micros = now_micros - kept.since_micros
            is_usable = (
                now_micros < kept.until_micros and idle_micros < max_idle_micros and is_idle_and_open(kept.stream)
            )
            if is_usable and idle_micros > limits.max_idle_micros:
                return None
            waiting.pop()
            if is_usable:
                kept.stream.set_close_callback(None)
                return kept
            kept.stream.close()
        return None

    def _can_open(self, address: str, limits: CallLimits) -> bool:
        """Whether one more may be opened; idle ones make way for it."""
        if not limits.share or self._shrink_to(address, limits.share - 1):
            return True
        return not limits.max_in_use or self.open_count(address) < max(limits.max_in_use, limits.share)

    def _shrink_to(self, address: str, max_open: int) -> bool:
        """Whether no more than that are open once idle ones have made way, those that rested longest first."""
        waiting = self.idle.get(address)
        while self.open_count(address) > max_open:
            if not waiting:
                return False
            waiting.popleft().stream.close()
        return True

    def open_count(self, address: str) -> int:
        """Kept, in use and on the way."""
        streams = self.open.get(address, set())
        streams.difference_update([stream for stream in streams if stream.closed()])
        return len(streams)

    def return_to_pool(self, address: str, stream: IOStream, headers: HTTPHeaders, share: int = 0) -> None:
        told = KEEP_ALIVE_TIMEOUT_PATTERN.search(headers.get("Keep-Alive", ""))
        kept_micros = int(told.group(1)) * SECOND - KEEP_ALIVE_MARGIN_MICROS if told else IDLE_MICROS
        if share and not self._shrink_to(address, share):
            stream.close()
            return
        now_micros = self.clock.now()
        self.add_idle_connection(address, _IdleConnection(stream, now_micros, now_micros + kept_micros))

    def add_idle_connection(self, address: str, kept: _IdleConnection) -> None:
        if kept.until_micros <= self.clock.now() or not is_idle_and_open(kept.stream):
            kept.stream.close()
            return
        kept.stream.set_close_callback(kept.stream.close)
        self.idle.setdefault(address, deque()).append(kept)

    def record_early_close(self, address: str, idle_micros: int) -> None:
        """A kept connection ended without an answer: the worker may have forgotten it, and those that rest as long."""
        if idle_micros < MIN_EARLY_CLOSE_IDLE_MICROS:
            return
        bound_micros = min(idle_micros // 2, self._max_idle_micros(address))
        self.early_close_bounds[address] = (bound_micros, self.clock.now() + EARLY_CLOSE_TTL_MICROS)

    def _max_idle_micros(self, address: str) -> int:
        """The rest from which on kept connections to it are not used."""
        bound_micros, until_micros = self.early_close_bounds.get(address, (0, 0))
        return bound_micros if until_micros > self.clock.now() else UNLIMITED_IDLE_MICROS

    def forget(self, address: str) -> None:
        """The worker is gone: another may get its address."""
        self.early_close_bounds.pop(address, None)
        for kept in self.idle.pop(address, ()):
            kept.stream.close()

    def sweep(self) -> None:
        now_micros = self.clock.now()
        for address, waiting in list(self.idle.items()):
            lasting: deque[_IdleConnection] = deque()
            for kept in waiting:
                if kept.until_micros > now_micros and is_idle_and_open(kept.stream):
                    lasting.append(kept)
                else:
                    kept.stream.close()
            if lasting:
                self.idle[address] = lasting
            else:
                del self.idle[address]
        self.open = {address: streams for address, streams in self.open.items() if self.open_count(address)}
        self.early_close_bounds = {
            address: told for address, told in self.early_close_bounds.items() if told[1] > now_micros
        }


def is_idle_and_open(stream: IOStream) -> bool:
    """Open, and nothing has come on it: what follows a whole answer belongs to no request (§8.9)."""
    if stream.closed() or stream._read_buffer_size:  # The library has no other word for it.
        return False
    try:
        return stream.socket.recv(1, socket.MSG_PEEK) is None
    except BlockingIOError:
        return True
    except OSError:
        return False


def _has_connection_close(headers: HTTPHeaders) -> bool:
    return "close" in (token.strip().lower() for token in headers.get("Connection", "").split(","))
