"""StandIn (§9.1): worker, store and application service over HTTP, by their published formats."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import SECOND, BootClock, sleep_for
from pearhead.testbed.workermodel import (
    FETCH_MICROS_PER_TOKEN,
    ApplicationModel,
    CachedPart,
    StoreModel,
    WorkerModel,
    WorkerRefusalError,
)


class HttpCacheFetcher:
    def __init__(self, store_address: str) -> None:
        self.store_address = store_address
        self.slowness = 1
        self.clock = BootClock()
        self.put_tasks: set[asyncio.Task[None]] = set()

    async def fetch(self, remote_address: str, key: str, limit_micros: int) -> CachedPart | None:
        request = HTTPRequest(
            f"http://{remote_address}/v1/kv/{key}",
            request_timeout=limit_micros / SECOND,
            follow_redirects=False,
        )
        try:
            response = await AsyncHTTPClient().fetch(request)
            kept = CachedPart(**json.loads(response.body))
        except (HTTPClientError, OSError, ValueError, TypeError):
            return None
        link_micros = kept.tokens * FETCH_MICROS_PER_TOKEN * self.slowness
        await sleep_for(self.clock, min(link_micros, limit_micros))
        return kept if link_micros <= limit_micros else None

    async def write_to_store(self, key: str, kept: CachedPart) -> None:
        if not self.store_address:
            return
        put_task = asyncio.ensure_future(self._put(key, kept))
        self.put_tasks.add(put_task)
        put_task.add_done_callback(self.put_tasks.discard)

    async def _put(self, key: str, kept: CachedPart) -> None:
        request = HTTPRequest(
            f"http://{self.store_address}/v1/kv/{key}",
            method="PUT",
            body=json.dumps(vars(kept)),
            follow_redirects=False,
            request_timeout=1.0,
        )
        try:
            await AsyncHTTPClient().fetch(request)
        except (HTTPClientError, OSError):
            return


class CompletionsHandler(RequestHandler):
    def initialize(self, model: WorkerModel | ApplicationModel) -> None:
        self.model = model
        self.run_task: asyncio.Task[Any] | None = None

    async def post(self) -> None:
        self.run_task = asyncio.current_task()
        request = json.loads(self.request.body)
        upstream_id = self.request.headers["X-Request-Id"]
        is_whole = False
        try:
            async for event in self.model.run(request, upstream_id):
                self.set_header("Content-Type", "text/event-stream")
                is_whole = "usage" in event
                self.write("data: " + json.dumps(event) + "\n\n")
                await self.flush()
        except WorkerRefusalError as refusal:
            self.set_status(refusal.status)
            self.finish({"error": refusal.why})
            return
        except StreamClosedError:
            return
        if not is_whole:
            connection: Any = self.request.connection
            connection.stream.close()
            return
        self.finish("data: [DONE]\n\n")

    def on_connection_close(self) -> None:
        if self.run_task is not None:
            self.run_task.cancel()


class LoadHandler(RequestHandler):
    def initialize(self, model: WorkerModel) -> None:
        self.model = model

    async def post(self) -> None:
        command = json.loads(self.request.body)
        try:
            self.finish(await self.model.load(int(command["fence"]), str(command["model"])))
        except WorkerRefusalError as refusal:
            self.set_status(refusal.status)
            self.finish({"error": refusal.why})


class ClaimHandler(RequestHandler):
    def initialize(self, model: WorkerModel) -> None:
        self.model = model

    async def post(self) -> None:
        try:
            self.finish(await self.model.claim(int(json.loads(self.request.body)["fence"])))
        except WorkerRefusalError as refusal:
            self.set_status(refusal.status)
            self.finish({"error": refusal.why})


class EventsHandler(RequestHandler):
    def initialize(self, model: WorkerModel | StoreModel) -> None:
        self.model = model

    def get(self) -> None:
        self.finish(self.model.events(self.get_argument("life", ""), int(self.get_argument("after", "0"))))


class CachedPartHandler(RequestHandler):
    def initialize(self, model: WorkerModel | StoreModel) -> None:
        self.model = model

    def get(self, key: str) -> None:
        kept = self.model.get(key) if isinstance(self.model, StoreModel) else self.model.cache.get(key)
        if kept is None:
            self.set_status(404)
            self.finish({})
        else:
            self.finish(vars(kept))

    def put(self, key: str) -> None:
        assert isinstance(self.model, StoreModel)
        self.model.put(key, CachedPart(**json.loads(self.request.body)))
        self.finish({})


class RunsHandler(RequestHandler):
    """The ledger: every job that began to run here, and any foreign prefix that it ran on."""

    def initialize(self, model: WorkerModel | ApplicationModel) -> None:
        self.model = model

    def get(self) -> None:
        self.finish({"runs": [vars(r) for r in self.model.runs]})


class FaultHandler(RequestHandler):
    """Faults by command: slow link, silent reports, cut streams."""

    def initialize(self, model: WorkerModel, link: HttpCacheFetcher) -> None:
        self.model = model
        self.link = link

    def post(self) -> None:
        fault = json.loads(self.request.body)
        self.link.slowness = int(fault.get("slowness", self.link.slowness))
        self.model.log.is_silent = bool(fault.get("silent", self.model.log.is_silent))
        if "cutAfterLines" in fault:
            self.model.cut_after_lines = fault["cutAfterLines"]
        self.finish({})


def build_stand_in(role: str, store_address: str) -> Application:
    clock, chance = BootClock(), random.Random()
    if role == "store":
        store = StoreModel(chance)
        return Application(
            [("/v1/kv_events", EventsHandler, {"model": store}), ("/v1/kv/(.+)", CachedPartHandler, {"model": store})],
            log_function=lambda handler: None,
        )
    if role == "application":
        application = ApplicationModel(clock)
        return Application(
            [
                ("/v1/completions", CompletionsHandler, {"model": application}),
                ("/runs", RunsHandler, {"model": application}),
            ],
            log_function=lambda handler: None,
        )
    link = HttpCacheFetcher(store_address)
    worker = WorkerModel(clock, chance, link)
    return Application(
        [
            ("/v1/completions", CompletionsHandler, {"model": worker}),
            ("/v1/load", LoadHandler, {"model": worker}),
            ("/v1/claim", ClaimHandler, {"model": worker}),
            ("/v1/kv_events", EventsHandler, {"model": worker}),
            ("/v1/kv/(.+)", CachedPartHandler, {"model": worker}),
            ("/runs", RunsHandler, {"model": worker}),
            ("/faults", FaultHandler, {"model": worker, "link": link}),
        ],
        log_function=lambda handler: None,
    )
