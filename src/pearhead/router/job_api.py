"""Job API (§8.1): the HTTP interface to clients. A result is a stream of NDJSON lines with one closing line."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from prometheus_client import CollectorRegistry
from result import Err
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from pearhead.config.startup import StartupConfig, has_operator_key
from pearhead.router.errors import ERROR_TABLE, NOT_RUN, ErrorKind, Refusal
from pearhead.router.job import parse_job
from pearhead.router.job_transport import ClientDisconnectedError
from pearhead.router.node_process import NodeProcess
from pearhead.runtime.metrics import metrics_routes
from pearhead.runtime.text import from_header_value


@stream_request_body
class JobHandler(RequestHandler):
    """`POST /v1/jobs`: reads a job, runs it and streams its result lines."""

    def initialize(self, node: NodeProcess, startup: StartupConfig) -> None:
        """Called by Tornado for each request with the route's arguments."""
        self.node = node
        self.startup = startup
        self.line_count = 0
        self.job_task: asyncio.Task[Any] | None = None
        self.body_chunks: list[bytes] = []
        self.body_size = 0

    def prepare(self) -> None:
        """Refuses a body whose Content-Length is over the limit before reading it."""
        size_text = self.request.headers.get("Content-Length", "0")
        if size_text.isdigit() and int(size_text) > self.startup.bodyLimitBytes:
            self._refuse(Refusal(ErrorKind.TOO_LARGE, f"over {self.startup.bodyLimitBytes} bytes"))

    def data_received(self, chunk: bytes) -> None:
        """Buffers a chunk of the body; chunks beyond the limit are counted and dropped."""
        self.body_size += len(chunk)
        if self.body_size <= self.startup.bodyLimitBytes:
            self.body_chunks.append(chunk)

    async def post(self) -> None:
        """Runs the job. An error after the first line aborts the connection instead of sending a status."""
        self.job_task = asyncio.current_task()
        if self.body_size > self.startup.bodyLimitBytes:
            self._refuse(Refusal(ErrorKind.TOO_LARGE, f"over {self.startup.bodyLimitBytes} bytes"))
            return
        request = parse_job(b"".join(self.body_chunks))
        if isinstance(request, Err):
            self._refuse(request.err_value)
            return
        scheme, _, key_text = self.request.headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer":
            key_text = ""
        outcome = await self.node.run_job(from_header_value(key_text), request.ok_value, HandlerLineWriter(self))
        if isinstance(outcome, Err):
            if self._headers_written:
                self._abort()
            else:
                self._refuse(outcome.err_value)

    async def write_line(self, line: dict[str, Any]) -> None:
        """Writes one NDJSON line and waits until it is flushed.

        Raises ClientDisconnectedError if the client closed the connection.
        """
        if not self.line_count:
            self.set_header("Content-Type", "application/x-ndjson")
        self.line_count += 1
        self.write(json.dumps(line) + "\n")
        try:
            # Backpressure: waits for a slow client, so that lines are not buffered without bound.
            await self.flush()
        except StreamClosedError as error:
            raise ClientDisconnectedError from error

    def on_connection_close(self) -> None:
        """Cancels the job when the client disconnects."""
        if self.job_task is not None:
            self.job_task.cancel()

    def _refuse(self, refusal: Refusal) -> None:
        error_entry = ERROR_TABLE[refusal.kind]
        self.set_status(error_entry.status)
        if refusal.retry_after_seconds():
            self.set_header("Retry-After", str(refusal.retry_after_seconds()))
        self.finish({"error": refusal.kind.value, "ran": error_entry.ran, "detail": refusal.detail})

    def _abort(self) -> None:
        """Closes the connection without the final chunk, so that the client sees an incomplete response (§8.1)."""
        self._auto_finish = False
        connection: Any = self.request.connection
        connection.stream.close()

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """Aborts a response that has begun: Tornado's default would end the chunked body as if it were complete."""
        if self._headers_written:
            self._abort()
        else:
            super().send_error(status_code, **kwargs)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Writes the error body for an error raised by Tornado or by a defect in this process."""
        if status_code < 500:
            self.set_status(status_code)
            self.finish({"error": ErrorKind.MALFORMED.value, "ran": NOT_RUN, "detail": self._reason})
        else:
            # An internal error: it is not known whether the job ran.
            self._refuse(Refusal(ErrorKind.OUTCOME_UNKNOWN, self._reason))


class HandlerLineWriter:
    """`LineWriter` that writes to the HTTP response of a `JobHandler`."""

    def __init__(self, handler: JobHandler) -> None:
        self.handler = handler

    async def write(self, line: dict[str, Any]) -> None:
        """Writes one line; raises ClientDisconnectedError if the client is gone."""
        await self.handler.write_line(line)


class StatusHandler(RequestHandler):
    """`GET /soundness`: the node's state and counters as JSON."""

    def initialize(self, node: NodeProcess) -> None:
        """Called by Tornado for each request with the route's arguments."""
        self.node = node

    def get(self) -> None:
        """Answers with `NodeProcess.status`."""
        self.finish(self.node.status())


class InspectHandler(RequestHandler):
    """`GET /inspect`, used by `pearheadctl query`; requires the operator key where one is configured."""

    def initialize(self, node: NodeProcess, startup: StartupConfig) -> None:
        """Called by Tornado for each request with the route's arguments."""
        self.node = node
        self.startup = startup

    def get(self) -> None:
        """Answers with `NodeProcess.inspect`, or with 401 if the operator key is missing or wrong."""
        if not has_operator_key(self.startup, self.request.headers.get("Authorization", "")):
            self.set_status(401)
            self.finish({})
            return
        self.finish(self.node.inspect())


class NoSuchPathHandler(RequestHandler):
    """Answers any other path with 404."""

    def prepare(self) -> None:
        """Ends the request before any method handler runs."""
        self.set_status(404)
        self.finish({"error": ErrorKind.MALFORMED.value, "ran": NOT_RUN, "detail": "no such path"})


def build_job_api(node: NodeProcess, startup: StartupConfig, registry: CollectorRegistry | None = None) -> Application:
    """Builds the Tornado application; serves `/metrics` only if a registry is given."""
    return Application(
        [
            ("/v1/jobs", JobHandler, {"node": node, "startup": startup}),
            ("/inspect", InspectHandler, {"node": node, "startup": startup}),
            ("/soundness", StatusHandler, {"node": node}),
            *(metrics_routes(registry) if registry is not None else []),
        ],
        default_handler_class=NoSuchPathHandler,
        log_function=lambda handler: None,
    )
