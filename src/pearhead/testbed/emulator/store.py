"""Emulated store of cached parts (§9.13), with its HTTP interface.

The store checks neither tenant nor version and drops nothing for new weights; a part that it has stays as it was first
made.
"""

from __future__ import annotations

import json
import random
from dataclasses import asdict, replace

from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import Clock
from pearhead.testbed.emulator.event_polling import CacheEventsHandler
from pearhead.testbed.emulator.part_cache import KeptPart, PartCache, PartEventLog


class StoreModel:
    """Contents of a store; callers pass the current time."""

    def __init__(self, total_tokens: int, rng: random.Random) -> None:
        self.events = PartEventLog(rng.randrange(1, 1 << 31), rng)
        self.cache = PartCache(total_tokens, self.events)

    def insert(self, now: int, parts: list[KeptPart]) -> None:
        """Stores copies of the parts, as far as there is room."""
        for part in parts:
            self.cache.insert(now, replace(part, pins=0))

    def get_cached_prefix(self, keys: list[tuple[str, str, str]]) -> list[KeptPart]:
        """Returns the parts in order, up to the first that is missing."""
        found = []
        for key in keys:
            part = self.cache.get(key)
            if part is None:
                break
            found.append(part)
        self.cache.touch(found)
        return found


class StoreContext:
    """State that the handlers of one store share. `reader_limit`: event readers served at a time."""

    def __init__(self, model: StoreModel, clock: Clock, zone: str, reader_limit: int) -> None:
        self.model, self.clock, self.zone, self.reader_limit = model, clock, zone, reader_limit
        self.active_readers = 0


class StoreHandler(RequestHandler):
    """Base of the store's handlers."""

    def initialize(self, context: StoreContext) -> None:
        """Takes the shared state from the application's routes."""
        self.context = context
        self.model = context.model


class InsertPartsHandler(StoreHandler):
    """Stores parts that a worker sends."""

    def post(self) -> None:
        """Answers an empty object, even where parts had no room."""
        rows = json.loads(self.request.body)["parts"]
        self.model.insert(self.context.clock.now(), [KeptPart(**p) for p in rows])
        self.finish({})


class CachedPrefixHandler(StoreHandler):
    """Sends cached parts to a worker that fetches them."""

    def post(self) -> None:
        """Answers the parts found, and the store's zone."""
        keys = [(str(a), str(b), str(c)) for a, b, c in json.loads(self.request.body)["keys"]]
        self.finish({"parts": [asdict(p) for p in self.model.get_cached_prefix(keys)], "zone": self.context.zone})


class CacheListHandler(StoreHandler):
    """Lists all cached parts."""

    def get(self) -> None:
        """Answers the list, with the number of the newest event."""
        events = self.model.events
        self.finish(
            {"Incarnation": events.incarnation, "NextPage": events.number, "Held": self.model.cache.list_rows()}
        )


def build_store(context: StoreContext) -> Application:
    """Returns the store's HTTP application."""
    handler_args = {"context": context}
    return Application(
        [
            ("/v1/kv-events", CacheEventsHandler, {"readers": context, "events": context.model.events}),
            ("/v1/kv-list", CacheListHandler, handler_args),
            ("/site/lend", CachedPrefixHandler, handler_args),
            ("/site/keep", InsertPartsHandler, handler_args),
        ],
        log_function=lambda handler: None,
    )
