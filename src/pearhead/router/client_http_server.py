"""ClientConnectionManager (§8.7): the HTTP server for clients; it buffers whole requests and streams responses.

It enforces the limits in force on what a client may send and how long it may take. A connection is closed for an
idle or head timeout only if it has no unread bytes, so never one on which a whole request has arrived.
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
# How far an oversized head is read past its limit, so that it can be answered.
OVERSIZED_HEAD_MARGIN_BYTES = 65_536
BODY_TIMEOUT_SECONDS = 30.0
# How long the rest of a rejected request is read and discarded: a client that is still sending may miss the response.
REJECTED_BODY_READ_SECONDS = 2.0
# Disables Tornado's own body limit; this module checks the limits in force.
NO_BODY_LIMIT = 2**62
MAX_CONTENT_LENGTH_DIGITS = 18
# Bounds how many backlogged connections are accepted at shutdown, however fast clients open new ones.
MAX_FINAL_ACCEPTS = 4_096
MIN_TIMEOUT_CHECK_MICROS = 20 * MILLI
# SO_LINGER with a timeout of zero: closing sends a reset and discards unsent data.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The longest delay until a shortened timeout takes effect.
MAX_TIMEOUT_CHECK_MICROS = SECOND


@dataclass(frozen=True)
class ClientLimits:
    """What a client may send and how long it may take. The defaults hold while no limits are in force."""

    header_bytes: int = 65_536
    body_bytes: int = 16 * 1024 * 1024
    header_micros: int = 30 * SECOND
    idle_micros: int = 30 * SECOND

    @classmethod
    def from_limits(cls, limits: Limits) -> ClientLimits:
        """Returns the limits of a description; a limit that is not positive there keeps its default."""
        values = {name: getattr(limits, name) for name in cls.__dataclass_fields__}
        return cls(**{name: value for name, value in values.items() if value > 0})


class RequestParser(Protocol):
    """Parses requests and formats errors, in the header and error formats of the platform the node runs on."""

    def parse_request(
        self, method: str, target: str, headers: HTTPHeaders, body: bytes, arrived_micros: int
    ) -> Result[OpaqueRequest, Refusal]:
        """Parses a request; `arrived_micros` is when its head was complete."""

    def format_refusal(self, request: OpaqueRequest | None, refusal: Refusal) -> tuple[int, HTTPHeaders, bytes]:
        """Returns the status, headers and body of an error response; `request` is None if it was not parsed."""


class ConnectionResponseWriter:
    """Writes a response to the client as it arrives. During a drain each response closes its connection."""

    def __init__(self, connection: HTTPConnection, closes_after_response: Callable[[], bool]) -> None:
        assert isinstance(connection, HTTP1Connection)
        self.connection = connection
        self.closes_after_response = closes_after_response
        self.is_connection_closed = False
        self.has_ended = False
        self.is_delimited_by_close = False
        self.on_disconnect: Callable[[], object] = lambda: None
        connection.set_close_callback(self._on_connection_closed)

    def begin(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        """Writes the status line and headers; an empty `reason` is replaced by the standard phrase."""
        if self.closes_after_response():
            headers["Connection"] = "close"
            self.connection._disconnect_on_finish = True
        start_line = ResponseStartLine("HTTP/1.1", status, reason or _reason_phrase(status))
        self._ignore_write_result(self.connection.write_headers(start_line, headers))
        self.is_delimited_by_close = not (self.connection._chunking_output or "Content-Length" in headers)
        if not self.is_connection_closed:
            self.connection.stream.set_nodelay(True)

    def write(self, chunk: bytes) -> None:
        """Writes a part of the body; dropped if the client is gone."""
        if not self.is_connection_closed:
            self._ignore_write_result(self.connection.write(chunk))

    def finish(self) -> None:
        """Completes the response."""
        self.has_ended = True
        if not self.is_connection_closed:
            self.connection.finish()

    def abort(self) -> None:
        """Cuts the response by closing the connection.

        Without chunked encoding or a length, an orderly close would mark the response as complete, so the connection is
        reset instead.
        """
        self.has_ended = True
        if self.is_delimited_by_close and not self.is_disconnected():
            self.connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.connection.close()

    def is_disconnected(self) -> bool:
        """Returns whether the connection to the client is closed."""
        return self.is_connection_closed or self.connection.stream is None or self.connection.stream.closed()

    def _on_connection_closed(self) -> None:
        self.is_connection_closed = True
        self.on_disconnect()

    @staticmethod
    def _ignore_write_result(written: asyncio.Future[None]) -> None:
        written.add_done_callback(lambda future: future.cancelled() or future.exception())


class _RequestDelegate(HTTPMessageDelegate):
    def __init__(self, manager: ClientConnectionManager, connection: HTTPConnection) -> None:
        self.manager = manager
        self.connection = connection
        self.start_line: Any = None
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.body_size = 0
        self.arrived_micros = 0
        self.rejection_writer: ConnectionResponseWriter | None = None

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        assert isinstance(start_line, RequestStartLine)
        self.start_line, self.headers = start_line, headers
        self.arrived_micros = self.manager.clock.now()
        stream = self.manager.complete_head(self.connection)
        self.manager.incoming_requests[self] = None
        if not self.manager.drain.may_accept():
            self.refuse_draining()
        elif stream.is_head_too_large:
            self._reject_too_large(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
        elif _declared_content_length(headers) > self.manager.limits().body_bytes:
            self._reject_too_large(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def data_received(self, chunk: bytes) -> None:
        if self.rejection_writer is not None:
            return
        self.chunks.append(chunk)
        self.body_size += len(chunk)
        if self.body_size > self.manager.limits().body_bytes:
            self._reject_too_large(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def refuse_draining(self) -> None:
        """Rejects the request because this node is draining; it is not sent to a worker."""
        if self.rejection_writer is not None:
            return
        parsed = self.manager.request_parser.parse_request(
            self.start_line.method, self.start_line.path, self.headers, b"", self.arrived_micros
        )
        request = None if isinstance(parsed, Err) else parsed.ok_value
        self._respond_early(Refusal(ErrorKind.DRAINING, DRAINING_DETAIL), request=request)

    def _reject_too_large(self, status: HTTPStatus, detail: str) -> None:
        self._respond_early(Refusal(ErrorKind.TOO_LARGE, detail), status)

    def _respond_early(self, refusal: Refusal, status: int = 0, request: OpaqueRequest | None = None) -> None:
        """Starts a rejection before the request is complete.

        What the client still sends is read and discarded for a while; then the connection is closed.
        """
        assert isinstance(self.connection, HTTP1Connection)
        self.chunks = []
        self.headers.pop("Expect", None)
        self.connection.set_body_timeout(REJECTED_BODY_READ_SECONDS)
        self.rejection_writer = ConnectionResponseWriter(self.connection, lambda: True)
        self.manager.write_refusal(self.rejection_writer, self.start_line.method, refusal, status, request)

    def finish(self) -> None:
        self.manager.incoming_requests.pop(self, None)
        if self.rejection_writer is not None:
            return self.rejection_writer.finish()
        body, self.chunks = b"".join(self.chunks), []
        self.manager.handle_request(self.connection, self.start_line, self.headers, body, self.arrived_micros)

    def on_connection_close(self) -> None:
        self.manager.incoming_requests.pop(self, None)
        self.chunks = []


class ClientStream(IOStream):
    """A client's connection; it reports to its manager how much of a head was read."""

    def __init__(self, connection: socket.socket, manager: ClientConnectionManager, **settings: Any) -> None:
        super().__init__(connection, **settings)
        self.manager = manager
        self.is_head_too_large = False

    def _check_max_bytes(self, delimiter: bytes | Pattern[bytes], size: int) -> None:
        """Reports the size of a partly read head: Tornado calls this each time more of it has arrived."""
        if self._read_regex is None:
            return super()._check_max_bytes(delimiter, size)
        self.manager.track_head(self, size)

    def close_fd(self) -> None:
        """Closes the socket, during a drain only once the last response is delivered."""
        if self.socket is not None and self.manager.linger(self.socket):
            # The manager owns the socket now.
            self.socket = None  # type: ignore[assignment]
        else:
            super().close_fd()

    def has_next_request(self) -> bool:
        """Returns, between two requests, whether the next has begun to arrive."""
        return bool(self._read_buffer_size) or self.has_unread_bytes()  # Tornado has no public API for this.

    def has_unread_bytes(self) -> bool:
        """Returns whether the kernel holds bytes that this process has not read yet."""
        if self.socket is None:
            return False
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False


class ClientHttpServer(HTTPServer):
    """Accepts client connections for a ClientConnectionManager, which handles timeouts in place of Tornado."""

    manager: ClientConnectionManager

    def initialize(self, manager: ClientConnectionManager) -> None:  # type: ignore[override]
        """Called by Tornado in place of `__init__`."""
        super().initialize(manager, max_body_size=NO_BODY_LIMIT, body_timeout=BODY_TIMEOUT_SECONDS)
        self.conn_params.header_timeout = None
        self.manager = manager

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        stream = ClientStream(connection, self.manager, max_buffer_size=self.max_buffer_size)
        self.manager.streams.add(stream)
        self.handle_stream(stream, address)

    def stop_accepting(self) -> None:
        """Accepts the connections in the backlog, then closes the listening sockets and all idle connections."""
        for listener in list(self._sockets.values()):
            self._accept_backlog(listener)
        self.stop()
        self.manager.close_idle()

    def _accept_backlog(self, listener: socket.socket) -> None:
        """Accepts established connections: the kernel resets those still in the backlog when the listener closes."""
        for _ in range(MAX_FINAL_ACCEPTS):
            try:
                connection, address = listener.accept()
            except OSError:
                return
            connection.setblocking(False)
            self._handle_connection(connection, address)

    def refuse_incoming(self) -> None:
        """Rejects requests that have not been read completely; see ClientConnectionManager."""
        self.manager.refuse_incoming()

    def open_count(self) -> int:
        """Returns how many connections are open or have an undelivered response."""
        return self.manager.open_count()

    def unanswered_count(self) -> int:
        """Returns how many requests are being read or handled."""
        return sum(not task.done() for task in self.manager.tasks) + len(self.manager.incoming_requests)

    def on_close(self, server_conn: object) -> None:
        """Called by Tornado when a connection is closed."""
        assert isinstance(server_conn, HTTP1ServerConnection) and isinstance(server_conn.stream, ClientStream)
        self.manager.stop_timeouts(server_conn.stream)
        self.manager.streams.discard(server_conn.stream)
        super().on_close(server_conn)


class ClientConnectionManager(HTTPServerConnectionDelegate):
    """Tracks client connections, enforces their limits and timeouts, and passes complete requests to `handler`.

    `limits`: returns the limits in force; called for each head, so it has to be cheap. `idle_since`, `pending_heads`:
    since when (in microseconds) a connection has been idle or its head arriving, longest first. `incoming_requests`:
    requests whose body is arriving. `streams`: all connections. Without a `drain` it never drains.
    """

    def __init__(
        self,
        clock: Clock,
        request_parser: RequestParser,
        handler: OpaqueRequestHandler,
        limits: Callable[[], ClientLimits],
        drain: DrainState | None = None,
    ) -> None:
        self.clock = clock
        self.request_parser = request_parser
        self.handler = handler
        self.limits = limits
        self.drain = drain or DrainState(clock, DrainSchedule.for_grace_period(SECOND))
        self.lingering = LingeringSockets()
        self.streams: set[ClientStream] = set()
        self.incoming_requests: dict[_RequestDelegate, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.idle_since: dict[ClientStream, int] = {}
        self.pending_heads: dict[ClientStream, int] = {}
        self.timeout_check_timer: Timer | None = None

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        """Called by Tornado before each request, to get its delegate; the connection is idle from then on."""
        assert isinstance(request_conn, HTTP1Connection) and isinstance(request_conn.stream, ClientStream)
        stream = request_conn.stream
        stream.is_head_too_large = False
        self.idle_since[stream] = self.clock.now()
        self._schedule_timeout_check()
        if not self.drain.may_accept() and not stream.has_next_request():
            # Tornado notices that it is closed on its next read.
            stream.close()
        return _RequestDelegate(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Does nothing: ClientHttpServer.on_close removes the connection."""
        return None

    def track_head(self, stream: ClientStream, size: int) -> None:
        """Records that `size` bytes of a head have been read so far.

        A head beyond its limit is marked for rejection; one beyond OVERSIZED_HEAD_MARGIN_BYTES as well is answered
        here and raises UnsatisfiableReadError, so that Tornado closes the connection.
        """
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
        """Records that a head was completely read, which ends its timeouts; returns its stream."""
        assert isinstance(connection, HTTP1Connection) and isinstance(connection.stream, ClientStream)
        self.stop_timeouts(connection.stream)
        return connection.stream

    def stop_timeouts(self, stream: ClientStream) -> None:
        """Stops the idle and head timeouts of a connection."""
        self.idle_since.pop(stream, None)
        self.pending_heads.pop(stream, None)

    def _schedule_timeout_check(self) -> None:
        if self.timeout_check_timer is not None or not (self.idle_since or self.pending_heads):
            return
        limits, now_micros = self.limits(), self.clock.now()
        left_micros = MAX_TIMEOUT_CHECK_MICROS
        for starts, limit_micros in ((self.pending_heads, limits.header_micros), (self.idle_since, limits.idle_micros)):
            for since_micros in list(starts.values())[:1]:
                left_micros = min(left_micros, since_micros + limit_micros - now_micros)
        self.timeout_check_timer = self.clock.after(max(left_micros, MIN_TIMEOUT_CHECK_MICROS), self._close_timed_out)

    def _close_timed_out(self) -> None:
        """Closes timed-out connections, except those with bytes that are not read or not processed yet."""
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
        """Closes idle connections without unread bytes; a request that has begun to arrive is still answered."""
        for stream in list(self.idle_since):
            if stream.reading() and not stream.has_unread_bytes():
                stream.close()

    def refuse_incoming(self) -> None:
        """Rejects requests that have not arrived completely, and closes their connections."""
        for delegate in list(self.incoming_requests):
            delegate.refuse_draining()
            delegate.finish()
        for stream in list(self.pending_heads):
            _write_bare_response(stream, HTTPStatus.SERVICE_UNAVAILABLE)
            stream.close()

    def open_count(self) -> int:
        """Returns how many connections are open, or closed with an undelivered last response."""
        return sum(not stream.closed() for stream in self.streams) + self.lingering.count()

    def linger(self, connection: socket.socket) -> bool:
        """Takes over a connection that is to be closed once its last response is delivered.

        Returns False outside a drain, or if nothing is undelivered or the shutdown fails; the stream then closes it
        itself.
        """
        return self.drain.is_draining() and self.lingering.take_over(connection)

    def write_refusal(
        self,
        writer: ConnectionResponseWriter,
        method: str,
        refusal: Refusal,
        status: int = 0,
        request: OpaqueRequest | None = None,
    ) -> None:
        """Writes an error response of this node, without completing it.

        `status`: overrides the parser's status if not 0.
        """
        default_status, headers, body = self.request_parser.format_refusal(request, refusal)
        headers["Content-Length"] = str(len(body))
        writer.begin(status or default_status, "", headers)
        if method != "HEAD":
            writer.write(body)

    def handle_request(
        self,
        connection: HTTPConnection,
        start: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        arrived_micros: int,
    ) -> None:
        """Parses a complete request and starts a task that handles it.

        Rejects the request if it is invalid, or if the handover phase of a drain is over.
        """
        writer = ConnectionResponseWriter(connection, self.drain.is_draining)
        parsed = self.request_parser.parse_request(start.method, start.path, headers, body, arrived_micros)
        if isinstance(parsed, Err):
            self.write_refusal(writer, start.method, parsed.err_value)
            return writer.finish()
        if not self.drain.may_accept():
            self.write_refusal(
                writer, start.method, Refusal(ErrorKind.DRAINING, DRAINING_DETAIL), request=parsed.ok_value
            )
            return writer.finish()
        task = asyncio.get_running_loop().create_task(self._run_handler(parsed.ok_value, writer))
        # When the client disconnects, the task is cancelled, which frees its worker.
        writer.on_disconnect = task.cancel
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_handler(self, request: OpaqueRequest, writer: ConnectionResponseWriter) -> None:
        try:
            await self.handler(request, writer)
        except StreamClosedError:
            pass
        except Exception:
            LOGGER.exception("edge: Unhandled exception in a request handler.")
        finally:
            if not writer.has_ended:
                writer.abort()


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _declared_content_length(headers: HTTPHeaders) -> int:
    """Returns the Content-Length, or 0 if it is missing or invalid; Tornado answers 400 to an invalid one."""
    text = headers.get("Content-Length", "")
    return int(text) if text.isdecimal() and len(text) <= MAX_CONTENT_LENGTH_DIGITS else 0


def _started_by(starts: dict[ClientStream, int], latest_micros: int) -> list[ClientStream]:
    """Returns the streams with a start no later than `latest_micros`; `starts` is ordered by time."""
    return list(takewhile(lambda stream: starts[stream] <= latest_micros, starts))


def _write_bare_response(stream: IOStream, status: HTTPStatus) -> None:
    """Writes a response without a body before a request was read; write errors are ignored."""
    head = f"HTTP/1.1 {status.value} {status.phrase}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    written = stream.write(head.encode())
    written.add_done_callback(lambda future: future.cancelled() or future.exception())
