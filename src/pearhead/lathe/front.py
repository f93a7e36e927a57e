"""FrontDoor (§8.1): the HTTP edge towards callers, NDJSON lines and one closing line."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from result import Err
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from pearhead.awl.startup import Startup
from pearhead.lathe.carry import PenGone
from pearhead.lathe.errors import ERROR_TABLE, ErrorKind, Refusal
from pearhead.lathe.job import read_job
from pearhead.lathe.node import NodeProcess


class JobHandler(RequestHandler):
    def initialize(self, node: NodeProcess, startup: Startup) -> None:
        self.node = node
        self.startup = startup
        self.lineCount = 0
        self.jobTask: asyncio.Task[Any] | None = None

    async def post(self) -> None:
        self.jobTask = asyncio.current_task()
        request = read_job(self.request.body)
        if isinstance(request, Err):
            self._refuse(request.err_value)
            return
        scheme, _, keyText = self.request.headers.get("Authorization", "").partition(" ")
        if scheme != "Bearer":
            keyText = ""
        outcome = await self.node.run_job(keyText, request.ok_value, HandlerPen(self))
        if isinstance(outcome, Err):
            if self.lineCount:
                self._abort()
            else:
                self._refuse(outcome.err_value)

    async def write_line(self, line: dict[str, Any]) -> None:
        if not self.lineCount:
            self.set_header("Content-Type", "application/x-ndjson")
        self.lineCount += 1
        self.write(json.dumps(line) + "\n")
        try:
            # Waits while the caller is slow: nothing piles up here.
            await self.flush()
        except StreamClosedError as fault:
            raise PenGone from fault

    def on_connection_close(self) -> None:
        if self.jobTask is not None:
            self.jobTask.cancel()

    def _refuse(self, refusal: Refusal) -> None:
        answer = ERROR_TABLE[refusal.kind]
        self.set_status(answer.status)
        if answer.comeBackSeconds:
            self.set_header("Retry-After", str(answer.comeBackSeconds))
        self.finish({"error": refusal.kind.value, "ran": answer.ran, "detail": refusal.detail})

    def _abort(self) -> None:
        """A cut stream is never closed as a whole one: the last chunk is not sent (§8.1)."""
        connection: Any = self.request.connection
        connection.stream.close()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        if self.lineCount:
            self._abort()
        else:
            # A fault of ours: whether the job ran is not known here.
            kind = ErrorKind.MALFORMED if status_code < 500 else ErrorKind.OUTCOME_UNKNOWN
            self._refuse(Refusal(kind, self._reason))


class HandlerPen:
    def __init__(self, handler: JobHandler) -> None:
        self.handler = handler

    async def write(self, line: dict[str, Any]) -> None:
        await self.handler.write_line(line)


class SoundnessHandler(RequestHandler):
    def initialize(self, node: NodeProcess) -> None:
        self.node = node

    def get(self) -> None:
        self.finish(self.node.soundness())


def build_front(node: NodeProcess, startup: Startup) -> Application:
    return Application(
        [
            ("/v1/jobs", JobHandler, {"node": node, "startup": startup}),
            ("/soundness", SoundnessHandler, {"node": node}),
        ],
        log_function=lambda handler: None,
    )
