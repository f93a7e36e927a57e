"""DrainingServer (§3.4): an HTTP server that shuts down without breaking off requests that it has read."""

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


class _TrackedRequest(HTTPMessageDelegate):
    """Reports to the server when a request's head has been read, and when its connection closes before it is answered.

    All calls are passed on to `delegate`.
    """

    def __init__(self, server: DrainingServer, connection: HTTP1Connection, delegate: HTTPMessageDelegate) -> None:
        self.server = server
        self.connection = connection
        self.delegate = delegate

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self.server.begin_request(self.connection)
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self.delegate.data_received(chunk)

    def finish(self) -> None:
        self.delegate.finish()

    def on_connection_close(self) -> None:
        self.server.open_requests.discard(self.connection)
        self.delegate.on_connection_close()


class DrainingServer(HTTPServer):
    """Tracks the requests whose head was read and whose response is not fully written yet, in `open_requests`."""

    open_requests: set[HTTP1Connection]
    is_draining: bool

    def initialize(self, *args: Any, **settings: Any) -> None:
        """Initializes the server; Tornado calls this in place of a constructor."""
        self.open_requests = set()
        self.is_draining = False
        super().initialize(*args, **settings)

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        """Returns the delegate that handles the next request; Tornado calls this before it reads the request."""
        delegate = super().start_request(server_conn, request_conn)
        assert isinstance(request_conn, HTTP1Connection)
        return _TrackedRequest(self, request_conn, delegate)

    def begin_request(self, connection: HTTP1Connection) -> None:
        """Records a request whose head was read; while the server drains, its response closes the connection."""
        self.open_requests.add(connection)
        # Tornado resolves this once the response is written or the connection has closed.
        connection._finish_future.add_done_callback(lambda future: self.open_requests.discard(connection))
        if self.is_draining:
            connection._disconnect_on_finish = True

    def begin_drain(self) -> None:
        """Closes the listening sockets and idle connections; each response from now on closes its connection."""
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
        """Waits until all requests that were read are answered, but at most `limit_micros` microseconds."""
        end_micros = clock.now() + limit_micros
        while self.open_requests and clock.now() < end_micros:
            await sleep_for(clock, POLL_MICROS)

    async def drain_with_process(
        self, clock: Clock, limit_micros: int, drain_process: Callable[[], Awaitable[None]]
    ) -> None:
        """Drains the server and the process, in at most `limit_micros` microseconds for both together.

        Requests that were read before are answered, as work on them may be in progress in other processes. The limit
        ends only the wait for open requests; `drain_process` has to keep to it by itself.
        """
        end_micros = clock.now() + limit_micros
        self.begin_drain()
        await drain_process()
        await self.finish_drain(clock, end_micros - clock.now())


def _is_idle(stream: IOStream) -> bool:
    """Whether nothing of a next request has arrived, neither in Tornado's buffer nor in the socket's."""
    if not stream.reading() or stream._read_buffer_size:
        return False
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
