"""ClientConnectionManager (§8.7): the HTTP edge to callers of opaque requests: whole requests in, answers as they come.

It follows the limits in force for what a caller may send and how long it may take. A connection is only ever ended for
its time where nothing of it is left to be read, so never one whose request was read whole.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from itertools import takewhile
from re import Pattern
from typing import Any, Protocol

from result import Err, Result
from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from pearhead.config.description import Limits
from pearhead.router.drain import DRAINING_DETAIL, DrainSchedule, DrainState
from pearhead.router.errors import ErrorKind, Refusal
from pearhead.router.lingering_close import LingeringSockets
from pearhead.router.opaque_request import OpaqueRequest, ResponseWriter
from pearhead.runtime.clock import MILLI, SECOND, Clock, Timer

LOGGER = logging.getLogger("pearhead")
OpaqueRequestHandler = Callable[[OpaqueRequest, ResponseWriter], Awaitable[None]]
# A head that is too large is read on this far, so that it can be answered.
OVERSIZED_HEAD_MARGIN_BYTES = 65_536
BODY_TIMEOUT_SECONDS = 30.0
# So long is the rest of a request that was refused read away, as a caller that still sends may miss the answer.
REJECTED_BODY_READ_SECONDS = 2.0
# Tornado's own bound; the limits in force are checked here.
NO_BODY_LIMIT = 2**62
MAX_CONTENT_LENGTH_DIGITS = 18
# At the end no more connections are accepted than this, however fast callers make them.
MAX_FINAL_ACCEPTS = 4_096
MIN_TIMEOUT_CHECK_MICROS = 20 * MILLI
# SO_LINGER switched on with no time to linger: closing sends a reset and drops what was not sent.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Limits that became shorter are followed this late at most.
MAX_TIMEOUT_CHECK_MICROS = SECOND


@dataclass(frozen=True)
class ClientLimits:
    """What a caller may send and how long it may take; these are the values while none are in force."""

    header_bytes: int = 65_536
    body_bytes: int = 16 * 1024 * 1024
    header_micros: int = 30 * SECOND
    idle_micros: int = 30 * SECOND

    @classmethod
    def of(cls, limits: Limits) -> ClientLimits:
        """From a description's; one that is not told keeps its default."""
        told = {name: getattr(limits, name) for name in cls.__dataclass_fields__}
        return cls(**{name: value for name, value in told.items() if value > 0})


class RequestParser(Protocol):
    """Reads what came as a request, in the words of the place where the node runs."""

    def read(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, arrived_micros: int
    ) -> Result[OpaqueRequest, Refusal]: ...

    def refusal(self, request: OpaqueRequest | None, refusal: Refusal) -> tuple[int, HTTPHeaders, bytes]: ...


class ConnectionResponseWriter:
    """The caller's end, written as it comes. After a drain began, each answer ends its connection."""

    def __init__(self, connection: HTTPConnection, closes_after_response: Callable[[], bool]) -> None:
        assert isinstance(connection, HTTP1Connection)
        self.connection = connection
        self.closes_after_response = closes_after_response
        self.gone = False
        self.is_over = False
        self.is_delimited_by_close = False
        self.on_disconnect: Callable[[], object] = lambda: None
        connection.set_close_callback(self._close)

    def begin(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        if self.closes_after_response():
            headers["Connection"] = "close"
            self.connection._disconnect_on_finish = True
        start = ResponseStartLine("HTTP/1.1", status, reason or _reason_phrase(status))
        self._ignore_write_result(self.connection.write_headers(start, headers))
        self.is_delimited_by_close = not (self.connection._chunking_output or "Content-Length" in headers)
        if not self.gone:
            self.connection.stream.set_nodelay(True)

    def write(self, chunk: bytes) -> None:
        if not self.gone:
            self._ignore_write_result(self.connection.write(chunk))

    def finish(self) -> None:
        self.is_over = True
        if not self.gone:
            self.connection.finish()

    def abort(self) -> None:
        """Without chunks or a length, a plain close would say that the answer is complete: it is reset instead."""
        self.is_over = True
        if self.is_delimited_by_close and not self.is_gone():
            self.connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.connection.close()

    def is_gone(self) -> bool:
        return self.gone or self.connection.stream is None or self.connection.stream.closed()

    def _close(self) -> None:
        self.gone = True
        self.on_disconnect()

    @staticmethod
    def _ignore_write_result(written: asyncio.Future[None]) -> None:
        written.add_done_callback(lambda future: future.cancelled() or future.exception())


class _RequestDelegate(HTTPMessageDelegate):
    def __init__(self, manager: ClientConnectionManager, connection: HTTPConnection) -> None:
        self.manager = manager
        self.connection = connection
        self.start: Any = None
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.body_size = 0
        self.arrived_micros = 0
        self.refused: ConnectionResponseWriter | None = None

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, RequestStartLine)
        self.start, self.headers = start_line, headers
        self.arrived_micros = self.manager.clock.now()
        stream = self.manager.complete_head(self.connection)
        self.manager.reading[self] = None
        if not self.manager.drain.may_accept():
            self.refuse_draining()
        elif stream.is_head_too_large:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        elif _declared_content_length(headers) > self.manager.limits().body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def data_received(self, chunk: bytes) -> None:
        if self.refused is not None:
            return
        self.chunks.append(chunk)
        self.body_size += len(chunk)
        if self.body_size > self.manager.limits().body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def refuse_draining(self) -> None:
        """Answers that this node leaves; the request goes to no worker."""
        if self.refused is not None:
            return
        told = self.manager.reader.read(self.start.method, self.start.path, self.headers, b"", self.arrived_micros)
        request = None if isinstance(told, Err) else told.ok_value
        self._respond_early(Refusal(ErrorKind.DRAINING, DRAINING_DETAIL), request=request)

    def _refuse(self, status: HTTPStatus, detail: str) -> None:
        self._respond_early(Refusal(ErrorKind.TOO_LARGE, detail), status)

    def _respond_early(self, refusal: Refusal, status: int = 0, request: OpaqueRequest | None = None) -> None:
        """Answers at once and ends the connection; what still comes is read and dropped for a while first."""
        assert isinstance(self.connection, HTTP1Connection)
        self.chunks = []
        self.headers.pop("Expect", None)
        self.connection.set_body_timeout(REJECTED_BODY_READ_SECONDS)
        self.refused = ConnectionResponseWriter(self.connection, lambda: True)
        self.manager.refuse(self.refused, self.start.method, refusal, status, request)

    def finish(self) -> None:
        self.manager.reading.pop(self, None)
        if self.refused is not None:
            return self.refused.finish()
        body, self.chunks = b"".join(self.chunks), []
        self.manager.handle_request(self.connection, self.start, self.headers, body, self.arrived_micros)

    def on_connection_close(self) -> None:
        self.manager.reading.pop(self, None)
        self.chunks = []


class ClientStream(IOStream):
    """A caller's connection that tells the edge of each head as it comes in."""

    def __init__(self, connection: socket.socket, manager: ClientConnectionManager, **settings: Any) -> None:
        super().__init__(connection, **settings)
        self.manager = manager
        self.is_head_too_large = False

    def _check_max_bytes(self, delimiter: bytes | Pattern[bytes], size: int) -> None:
        """Called with what was read of a head, each time that more came."""
        if self._read_regex is None:
            return super()._check_max_bytes(delimiter, size)
        self.manager.track_head(self, size)

    def close_fd(self) -> None:
        """While the node drains, a connection ends once its last answer is delivered."""
        if self.socket is not None and self.manager.linger(self.socket):
            # The socket has a new owner.
            self.socket = None  # type: ignore[assignment]
        else:
            super().close_fd()

    def has_next_request(self) -> bool:
        """Between two requests: whether the next has begun to arrive."""
        return bool(self._read_buffer_size) or self.has_unread_bytes()  # The library has no other word for it.

    def has_unread_bytes(self) -> bool:
        """Whether bytes wait that this process has not read yet."""
        if self.socket is None:
            return False
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False


class ClientHttpServer(HTTPServer):
    """Takes callers' connections for an edge, which bounds their times instead of Tornado."""

    manager: ClientConnectionManager

    def initialize(self, manager: ClientConnectionManager) -> None:  # type: ignore[override]
        super().initialize(manager, max_body_size=NO_BODY_LIMIT, body_timeout=BODY_TIMEOUT_SECONDS)
        self.conn_params.header_timeout = None
        self.manager = manager

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        stream = ClientStream(connection, self.manager, max_buffer_size=self.max_buffer_size)
        self.manager.streams.add(stream)
        self.handle_stream(stream, address)

    def stop_accepting(self) -> None:
        """Takes the connections that are made already, closes the listening sockets and all idle connections."""
        for listener in list(self._sockets.values()):
            self._accept_backlog(listener)
        self.stop()
        self.manager.close_idle()

    def _accept_backlog(self, listener: socket.socket) -> None:
        """The kernel would reset those that nobody accepted."""
        for _ in range(MAX_FINAL_ACCEPTS):
            try:
                connection, address = listener.accept()
            except OSError:
                return
            connection.setblocking(False)
            self._handle_connection(connection, address)

    def refuse_incoming(self) -> None:
        self.manager.refuse_incoming()

    def open_count(self) -> int:
        return self.manager.open_count()

    def unanswered_count(self) -> int:
        return sum(not task.done() for task in self.manager.tasks) + len(self.manager.reading)

    def on_close(self, server_conn: object) -> None:
        assert isinstance(server_conn, HTTP1ServerConnection) and isinstance(server_conn.stream, ClientStream)
        self.manager.forget(server_conn.stream)
        self.manager.streams.discard(server_conn.stream)
        super().on_close(server_conn)


class ClientConnectionManager(HTTPServerConnectionDelegate):
    """`limits`: those in force now; asked for each head, so cheap. `idle_since` and `pending_heads` hold since when a
    connection has been idle, or its head coming in, the longest first; `reading`: requests whose body comes in;
    `streams`: all connections. Without a `drain` it never drains."""

    def __init__(
        self,
        clock: Clock,
        reader: RequestParser,
        handler: OpaqueRequestHandler,
        limits: Callable[[], ClientLimits],
        drain: DrainState | None = None,
    ) -> None:
        self.clock = clock
        self.reader = reader
        self.handler = handler
        self.limits = limits
        self.drain = drain or DrainState(clock, DrainSchedule.for_grace_period(SECOND))
        self.lingering = LingeringSockets()
        self.streams: set[ClientStream] = set()
        self.reading: dict[_RequestDelegate, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.idle_since: dict[ClientStream, int] = {}
        self.pending_heads: dict[ClientStream, int] = {}
        self.timeout_check_timer: Timer | None = None

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection) and isinstance(request_conn.stream, ClientStream)
        stream = request_conn.stream
        stream.is_head_too_large = False
        self.idle_since[stream] = self.clock.now()
        self._schedule_timeout_check()
        if not self.drain.may_accept() and not stream.has_next_request():
            # The library finds it closed when it goes on to read.
            stream.close()
        return _RequestDelegate(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        return None

    def track_head(self, stream: ClientStream, size: int) -> None:
        """So much of a head was read by now."""
        if stream not in self.pending_heads:
            self.idle_since.pop(stream, None)
            self.pending_heads[stream] = self.clock.now()
        limit_bytes = self.limits().header_bytes
        if size > limit_bytes:
            stream.is_head_too_large = True
        if size > limit_bytes + OVERSIZED_HEAD_MARGIN_BYTES:
            _write_bare_response(stream, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            raise UnsatisfiableReadError("the head is too large")

    def complete_head(self, connection: HTTPConnection) -> ClientStream:
        """A head was read whole: from now on its connection is neither idle nor late."""
        assert isinstance(connection, HTTP1Connection) and isinstance(connection.stream, ClientStream)
        self.forget(connection.stream)
        return connection.stream

    def forget(self, stream: ClientStream) -> None:
        self.idle_since.pop(stream, None)
        self.pending_heads.pop(stream, None)

    def _schedule_timeout_check(self) -> None:
        if self.timeout_check_timer is not None or not (self.idle_since or self.pending_heads):
            return
        limits, now_micros = self.limits(), self.clock.now()
        left_micros = MAX_TIMEOUT_CHECK_MICROS
        for book, limit_micros in ((self.pending_heads, limits.header_micros), (self.idle_since, limits.idle_micros)):
            for since_micros in list(book.values())[:1]:
                left_micros = min(left_micros, since_micros + limit_micros - now_micros)
        self.timeout_check_timer = self.clock.after(max(left_micros, MIN_TIMEOUT_CHECK_MICROS), self._close_timed_out)

    def _close_timed_out(self) -> None:
        """Ends connections whose time is over, but none that has sent what is not read yet or not taken yet."""
        self.timeout_check_timer = None
        limits, now_micros = self.limits(), self.clock.now()
        for stream in _started_by(self.pending_heads, now_micros - limits.header_micros):
            if stream.reading() and not stream.has_unread_bytes():
                _write_bare_response(stream, HTTPStatus.REQUEST_TIMEOUT)
                stream.close()
        for stream in _started_by(self.idle_since, now_micros - limits.idle_micros):
            if stream.reading() and not stream.has_unread_bytes():
                stream.close()
        self._schedule_timeout_check()

    def close_idle(self) -> None:
        """Ends the connections of which nothing is left to be read; what has begun to arrive is read and answered."""
        for stream in list(self.idle_since):
            if stream.reading() and not stream.has_unread_bytes():
                stream.close()

    def refuse_incoming(self) -> None:
        """Answers what has not arrived whole, and ends its connection."""
        for delegate in list(self.reading):
            delegate.refuse_draining()
            delegate.finish()
        for stream in list(self.pending_heads):
            _write_bare_response(stream, HTTPStatus.SERVICE_UNAVAILABLE)
            stream.close()

    def open_count(self) -> int:
        """Connections that are not closed, and closed ones whose last answer is not delivered yet."""
        return sum(not stream.closed() for stream in self.streams) + self.lingering.count()

    def linger(self, connection: socket.socket) -> bool:
        """Whether this edge takes over a connection that is to be closed."""
        return self.drain.is_draining() and self.lingering.take_over(connection)

    def refuse(
        self,
        writer: ConnectionResponseWriter,
        method: str,
        refusal: Refusal,
        status: int = 0,
        request: OpaqueRequest | None = None,
    ) -> None:
        """Writes an answer of this node itself; `status` is the reader's own unless it is told."""
        default_status, headers, answer = self.reader.refusal(request, refusal)
        headers["Content-Length"] = str(len(answer))
        writer.begin(status or default_status, "", headers)
        if method != "HEAD":
            writer.write(answer)

    def handle_request(
        self,
        connection: HTTPConnection,
        start: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        arrived_micros: int,
    ) -> None:
        writer = ConnectionResponseWriter(connection, self.drain.is_draining)
        request = self.reader.read(start.method, start.path, headers, body, arrived_micros)
        if isinstance(request, Err):
            self.refuse(writer, start.method, request.err_value)
            return writer.finish()
        if not self.drain.may_accept():
            self.refuse(writer, start.method, Refusal(ErrorKind.DRAINING, DRAINING_DETAIL), request=request.ok_value)
            return writer.finish()
        task = asyncio.get_running_loop().create_task(self._run(request.ok_value, writer))
        # Nobody reads the answer any more: its worker is let go of.
        writer.on_disconnect = task.cancel
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, request: OpaqueRequest, writer: ConnectionResponseWriter) -> None:
        try:
            await self.handler(request, writer)
        except StreamClosedError:
            pass
        except Exception:
            LOGGER.exception("edge: A request ended by a fault.")
        finally:
            if not writer.is_over:
                writer.abort()


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _declared_content_length(headers: HTTPHeaders) -> int:
    """What can't be read is left to Tornado, which answers 400."""
    text = headers.get("Content-Length", "")
    return int(text) if text.isdecimal() and len(text) <= MAX_CONTENT_LENGTH_DIGITS else 0


def _started_by(book: dict[ClientStream, int], begun_micros: int) -> list[ClientStream]:
    return list(takewhile(lambda stream: book[stream] <= begun_micros, book))


def _write_bare_response(stream: IOStream, status: HTTPStatus) -> None:
    """An answer where there is no request to answer yet; a caller that is gone misses it."""
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    written = stream.write(head.encode())
    written.add_done_callback(lambda future: future.cancelled() or future.exception())
