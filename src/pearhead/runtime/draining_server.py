"""DrainingServer (§3.4): an HTTP server that ends without cutting a request that it has read."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.http1connection import HTTP1Connection, HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from pearhead.runtime.clock import MILLI, Clock, sleep_for

POLL_MICROS = 10 * MILLI


class _CountedRequest(HTTPMessageDelegate):
    """Tells the server when a request's head has come, and when its answer is written or can't be any more."""

    def __init__(self, server: DrainingServer, connection: HTTP1Connection, inner: HTTPMessageDelegate) -> None:
        self.server = server
        self.connection = connection
        self.inner = inner

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self.server.begin_request(self.connection)
        return self.inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self.inner.data_received(chunk)

    def finish(self) -> None:
        self.inner.finish()

    def on_connection_close(self) -> None:
        self.server.open_requests.discard(self.connection)
        self.inner.on_connection_close()


class DrainingServer(HTTPServer):
    """Counts the requests whose head was read and whose answer is not written out yet."""

    open_requests: set[HTTP1Connection]
    is_draining: bool

    def initialize(self, *args: Any, **settings: Any) -> None:
        """Called by Tornado in place of a constructor."""
        self.open_requests = set()
        self.is_draining = False
        super().initialize(*args, **settings)

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        """Called for each request before it is read."""
        inner = super().start_request(server_conn, request_conn)
        assert isinstance(request_conn, HTTP1Connection)
        return _CountedRequest(self, request_conn, inner)

    def begin_request(self, connection: HTTP1Connection) -> None:
        """A head was read; while the server drains, the answer ends its connection."""
        self.open_requests.add(connection)
        # The library resolves this once the answer is written out or the connection has ended.
        connection._finish_future.add_done_callback(lambda future: self.open_requests.discard(connection))
        if self.is_draining:
            connection._disconnect_on_finish = True

    def begin_drain(self) -> None:
        """Closes the listening sockets and idle connections; each answer from now on ends its connection."""
        self.is_draining = True
        self.stop()
        for request in self.open_requests:
            request._disconnect_on_finish = True
        busy_streams = {request.stream for request in self.open_requests}
        for connection in list(self._connections):
            assert isinstance(connection, HTTP1ServerConnection)
            if connection.stream not in busy_streams and _is_idle(connection.stream):
                connection.stream.close()

    async def finish_drain(self, clock: Clock, limit_micros: int) -> None:
        """Returns when all that was read is answered, or at the limit."""
        end_micros = clock.now() + limit_micros
        while self.open_requests and clock.now() < end_micros:
            await sleep_for(clock, POLL_MICROS)

    async def drain_with_process(
        self, clock: Clock, limit_micros: int, drain_process: Callable[[], Awaitable[None]]
    ) -> None:
        """Drains the process and the server; what was read before is answered, as work may be under way elsewhere.

        `limit_micros`: for both together.
        """
        end_micros = clock.now() + limit_micros
        self.begin_drain()
        await drain_process()
        await self.finish_drain(clock, end_micros - clock.now())


def _is_idle(stream: IOStream) -> bool:
    """Whether nothing of the next request has arrived."""
    if not stream.reading() or stream._read_buffer_size:
        return False
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
