"""Stand-ins (§9.1) for model workers, stores and application services: HTTP servers with their published formats."""

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


class HttpCacheTransfer:
    """Moves cached prefix parts between a worker, other workers and the store over HTTP.

    `slowness` multiplies the time that a fetch takes, for tests with slow links.
    """

    def __init__(self, store_address: str) -> None:
        self.store_address = store_address
        self.slowness = 1
        self.clock = BootClock()
        self.put_tasks: set[asyncio.Task[None]] = set()

    async def fetch(self, remote_address: str, key: str, limit_micros: int) -> CachedPart | None:
        """The part of a key at another worker or the store; None if it is not there or the limit does not suffice."""
        request = HTTPRequest(
            f"http://{remote_address}/v1/kv/{key}",
            request_timeout=limit_micros / SECOND,
            follow_redirects=False,
        )
        try:
            response = await AsyncHTTPClient().fetch(request)
            cached_part = CachedPart(**json.loads(response.body))
        except (HTTPClientError, OSError, ValueError, TypeError):
            return None
        link_micros = cached_part.tokens * FETCH_MICROS_PER_TOKEN * self.slowness
        await sleep_for(self.clock, min(link_micros, limit_micros))
        return cached_part if link_micros <= limit_micros else None

    async def write_to_store(self, key: str, cached_part: CachedPart) -> None:
        """Starts to write a part to the store, if there is one, and does not wait for it. Failures are ignored."""
        if not self.store_address:
            return
        put_task = asyncio.ensure_future(self._put(key, cached_part))
        self.put_tasks.add(put_task)
        put_task.add_done_callback(self.put_tasks.discard)

    async def _put(self, key: str, cached_part: CachedPart) -> None:
        request = HTTPRequest(
            f"http://{self.store_address}/v1/kv/{key}",
            method="PUT",
            body=json.dumps(vars(cached_part)),
            follow_redirects=False,
            request_timeout=1.0,
        )
        try:
            await AsyncHTTPClient().fetch(request)
        except (HTTPClientError, OSError):
            return


class CompletionsHandler(RequestHandler):
    """Runs a job and streams its answer as server-sent events.

    A run whose last event is no usage event was cut short: the connection is closed without `[DONE]`, which shows the
    client that the answer is incomplete. A job whose client disconnects is cancelled.
    """

    def initialize(self, model: WorkerModel | ApplicationModel) -> None:
        """Receives the model from the routes of `build_stand_in`."""
        self.model = model
        self.run_task: asyncio.Task[Any] | None = None

    async def post(self) -> None:
        """Runs the job of the body; refused ones get the status and reason of the worker."""
        self.run_task = asyncio.current_task()
        request = json.loads(self.request.body)
        upstream_id = self.request.headers["X-Request-Id"]
        is_complete = False
        try:
            async for event in self.model.run(request, upstream_id):
                self.set_header("Content-Type", "text/event-stream")
                is_complete = "usage" in event
                self.write("data: " + json.dumps(event) + "\n\n")
                await self.flush()
        except WorkerRefusalError as refusal:
            self.set_status(refusal.status)
            self.finish({"error": refusal.why})
            return
        except StreamClosedError:
            return
        if not is_complete:
            connection: Any = self.request.connection
            connection.stream.close()
            return
        self.finish("data: [DONE]\n\n")

    def on_connection_close(self) -> None:
        """Cancels the job when its client disconnects."""
        if self.run_task is not None:
            self.run_task.cancel()


class LoadHandler(RequestHandler):
    """Loads a model at the command of a node, which must present a fence (fencing token) that is not outdated."""

    def initialize(self, model: WorkerModel) -> None:
        """Receives the model from the routes of `build_stand_in`."""
        self.model = model

    async def post(self) -> None:
        """Answers once the model is loaded, or with the status and reason of the refusal."""
        command = json.loads(self.request.body)
        try:
            self.finish(await self.model.load(int(command["fence"]), str(command["model"])))
        except WorkerRefusalError as refusal:
            self.set_status(refusal.status)
            self.finish({"error": refusal.why})


class ClaimHandler(RequestHandler):
    """Lets a node with a newer fence take over the command of the worker."""

    def initialize(self, model: WorkerModel) -> None:
        """Receives the model from the routes of `build_stand_in`."""
        self.model = model

    async def post(self) -> None:
        """Answers with the life (process run) and fence of the worker, or with the status and reason of the refusal."""
        try:
            self.finish(await self.model.claim(int(json.loads(self.request.body)["fence"])))
        except WorkerRefusalError as refusal:
            self.set_status(refusal.status)
            self.finish({"error": refusal.why})


class EventsHandler(RequestHandler):
    """Reports which parts a worker or store holds."""

    def initialize(self, model: WorkerModel | StoreModel) -> None:
        """Receives the model from the routes of `build_stand_in`."""
        self.model = model

    def get(self) -> None:
        """Events after the sequence number `after` of the life `life`, or the whole list."""
        self.finish(self.model.events(self.get_argument("life", ""), int(self.get_argument("after", "0"))))


class CachedPartHandler(RequestHandler):
    """Reads cached parts of a worker or store, and writes those of a store."""

    def initialize(self, model: WorkerModel | StoreModel) -> None:
        """Receives the model from the routes of `build_stand_in`."""
        self.model = model

    def get(self, key: str) -> None:
        """The part of a key, or 404."""
        cached_part = self.model.get(key) if isinstance(self.model, StoreModel) else self.model.cache.get(key)
        if cached_part is None:
            self.set_status(404)
            self.finish({})
        else:
            self.finish(vars(cached_part))

    def put(self, key: str) -> None:
        """Stores a part; for stores only."""
        assert isinstance(self.model, StoreModel)
        self.model.put(key, CachedPart(**json.loads(self.request.body)))
        self.finish({})


class RunsHandler(RequestHandler):
    """Lists every job that began to run here, with the parts of other models or salts that it reused."""

    def initialize(self, model: WorkerModel | ApplicationModel) -> None:
        """Receives the model from the routes of `build_stand_in`."""
        self.model = model

    def get(self) -> None:
        """All run records since the process started."""
        self.finish({"runs": [vars(r) for r in self.model.runs]})


class FaultHandler(RequestHandler):
    """Injects faults by command: a slow link, reports that tell nothing new, answers cut after some lines."""

    def initialize(self, model: WorkerModel, cache_transfer: HttpCacheTransfer) -> None:
        """Receives the worker and its cache transfer from the routes of `build_stand_in`."""
        self.model = model
        self.cache_transfer = cache_transfer

    def post(self) -> None:
        """Sets the faults that the body names; others stay as they are."""
        fault = json.loads(self.request.body)
        self.cache_transfer.slowness = int(fault.get("slowness", self.cache_transfer.slowness))
        self.model.event_log.reports_suppressed = bool(fault.get("silent", self.model.event_log.reports_suppressed))
        if "cutAfterLines" in fault:
            self.model.cut_after_lines = fault["cutAfterLines"]
        self.finish({})


def build_stand_in(role: str, store_address: str) -> Application:
    """The HTTP application of a "store", an "application" service or, for any other role, a worker.

    A worker writes its parts to the store at `store_address`, unless that is empty.
    """
    clock, rng = BootClock(), random.Random()
    if role == "store":
        store = StoreModel(rng)
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
    cache_transfer = HttpCacheTransfer(store_address)
    worker = WorkerModel(clock, rng, cache_transfer)
    return Application(
        [
            ("/v1/completions", CompletionsHandler, {"model": worker}),
            ("/v1/load", LoadHandler, {"model": worker}),
            ("/v1/claim", ClaimHandler, {"model": worker}),
            ("/v1/kv_events", EventsHandler, {"model": worker}),
            ("/v1/kv/(.+)", CachedPartHandler, {"model": worker}),
            ("/runs", RunsHandler, {"model": worker}),
            ("/faults", FaultHandler, {"model": worker, "cache_transfer": cache_transfer}),
        ],
        log_function=lambda handler: None,
    )
