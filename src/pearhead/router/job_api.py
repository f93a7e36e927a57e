"""FrontDoor (§8.1): the HTTP edge towards callers, NDJSON lines and one closing line."""

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


@stream_request_body
class JobHandler(RequestHandler):
    def initialize(self, node: NodeProcess, startup: StartupConfig) -> None:
        self.node = node
        self.startup = startup
        self.line_count = 0
        self.job_task: asyncio.Task[Any] | None = None
        self.body_chunks: list[bytes] = []
        self.body_size = 0

    def prepare(self) -> None:
        """Too large a body is refused by its head, before it is read."""
        size_text = self.request.headers.get("Content-Length", "0")
        if size_text.isdigit() and int(size_text) > self.startup.bodyLimitBytes:
            self._refuse(Refusal(ErrorKind.TOO_LARGE, f"over {self.startup.bodyLimitBytes} bytes"))

    def data_received(self, chunk: bytes) -> None:
        self.body_size += len(chunk)
        if self.body_size <= self.startup.bodyLimitBytes:
            self.body_chunks.append(chunk)

    async def post(self) -> None:
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
        outcome = await self.node.run_job(key_text, request.ok_value, HandlerLineWriter(self))
        if isinstance(outcome, Err):
            if self._headers_written:
                self._abort()
            else:
                self._refuse(outcome.err_value)

    async def write_line(self, line: dict[str, Any]) -> None:
        if not self.line_count:
            self.set_header("Content-Type", "application/x-ndjson")
        self.line_count += 1
        self.write(json.dumps(line) + "\n")
        try:
            # Waits while the caller is slow: nothing piles up here.
            await self.flush()
        except StreamClosedError as fault:
            raise ClientDisconnectedError from fault

    def on_connection_close(self) -> None:
        if self.job_task is not None:
            self.job_task.cancel()

    def _refuse(self, refusal: Refusal) -> None:
        given_result = ERROR_TABLE[refusal.kind]
        self.set_status(given_result.status)
        if refusal.retry_after_seconds():
            self.set_header("Retry-After", str(refusal.retry_after_seconds()))
        self.finish({"error": refusal.kind.value, "ran": given_result.ran, "detail": refusal.detail})

    def _abort(self) -> None:
        """A cut stream is never closed as a whole one: the last chunk is not sent (§8.1)."""
        self._auto_finish = False
        connection: Any = self.request.connection
        connection.stream.close()

    def send_error(self, status_code: int = 500, **kwargs: Any) -> None:
        """The library would close a begun stream as a whole one here."""
        if self._headers_written:
            self._abort()
        else:
            super().send_error(status_code, **kwargs)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        if status_code < 500:
            self.set_status(status_code)
            self.finish({"error": ErrorKind.MALFORMED.value, "ran": NOT_RUN, "detail": self._reason})
        else:
            # A fault of ours: whether the job ran is not known here.
            self._refuse(Refusal(ErrorKind.OUTCOME_UNKNOWN, self._reason))


class HandlerLineWriter:
    def __init__(self, handler: JobHandler) -> None:
        self.handler = handler

    async def write(self, line: dict[str, Any]) -> None:
        await self.handler.write_line(line)


class SoundnessHandler(RequestHandler):
    def initialize(self, node: NodeProcess) -> None:
        self.node = node

    def get(self) -> None:
        self.finish(self.node.soundness())


class InspectHandler(RequestHandler):
    """What `pearheadctl query` asks; for operators only where an operator key is set."""

    def initialize(self, node: NodeProcess, startup: StartupConfig) -> None:
        self.node = node
        self.startup = startup

    def get(self) -> None:
        if not has_operator_key(self.startup, self.request.headers.get("Authorization", "")):
            self.set_status(401)
            self.finish({})
            return
        self.finish(self.node.inspect())


class NoSuchPathHandler(RequestHandler):
    def prepare(self) -> None:
        self.set_status(404)
        self.finish({"error": ErrorKind.MALFORMED.value, "ran": NOT_RUN, "detail": "no such path"})


def build_job_api(node: NodeProcess, startup: StartupConfig, registry: CollectorRegistry | None = None) -> Application:
    return Application(
        [
            ("/v1/jobs", JobHandler, {"node": node, "startup": startup}),
            ("/inspect", InspectHandler, {"node": node, "startup": startup}),
            ("/soundness", SoundnessHandler, {"node": node}),
            *(metrics_routes(registry) if registry is not None else []),
        ],
        default_handler_class=NoSuchPathHandler,
        log_function=lambda handler: None,
    )
