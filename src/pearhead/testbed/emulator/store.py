"""StoreSite (§9.13): the emulated store of kept parts. It checks neither tenant nor version, and drops nothing for new
weights; a part that it has stays as it was first made."""

from __future__ import annotations

import json
import random
from dataclasses import asdict, replace

from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from pearhead.runtime.clock import MILLI, Clock, sleep_for
from pearhead.testbed.emulator.keptparts import KeptPart, KeptParts, PartEvents


class StoreModel:
    def __init__(self, total_tokens: int, chance: random.Random) -> None:
        self.events = PartEvents(chance.randrange(1, 1 << 31), chance)
        self.kept = KeptParts(total_tokens, self.events)

    def keep(self, now: int, parts: list[KeptPart]) -> None:
        for part in parts:
            self.kept.keep(now, replace(part, pins=0))

    def lend(self, keys: list[tuple[str, str, str]]) -> list[KeptPart]:
        """Parts in order, up to the first that is missing."""
        found = []
        for key in keys:
            part = self.kept.get(key)
            if part is None:
                break
            found.append(part)
        self.kept.use(found)
        return found


class StoreSite:
    def __init__(self, model: StoreModel, clock: Clock, zone: str, readers: int) -> None:
        self.model, self.clock, self.zone, self.readers = model, clock, zone, readers
        self.reading = 0


class StoreHandler(RequestHandler):
    def initialize(self, site: StoreSite) -> None:
        self.site = site
        self.model = site.model


class KeepHandler(StoreHandler):
    def post(self) -> None:
        given = json.loads(self.request.body)["parts"]
        self.model.keep(self.site.clock.now(), [KeptPart(**p) for p in given])
        self.finish({})


class LendHandler(StoreHandler):
    def post(self) -> None:
        keys = [(str(a), str(b), str(c)) for a, b, c in json.loads(self.request.body)["keys"]]
        self.finish({"parts": [asdict(p) for p in self.model.lend(keys)], "zone": self.site.zone})


class EventsHandler(StoreHandler):
    async def get(self) -> None:
        site, events = self.site, self.model.events
        if site.reading >= site.readers:
            self.set_status(429)
            await self.finish()
            return
        since = int(self.get_argument("Since", "0"))
        end_at = site.clock.now() + min(1_000, int(self.request.headers.get("Wait-Ms", "0"))) * MILLI
        site.reading += 1
        try:
            page = events.read(site.clock.now(), since)
            while not page.events and not page.is_dropped and (now := site.clock.now()) < end_at:
                await sleep_for(site.clock, min(10 * MILLI, end_at - now))
                page = events.read(site.clock.now(), since)
            await self.finish(page.body())
        except StreamClosedError:
            pass
        finally:
            site.reading -= 1


class ListHandler(StoreHandler):
    def get(self) -> None:
        events = self.model.events
        self.finish({"Incarnation": events.incarnation, "NextPage": events.number, "Held": self.model.kept.held_rows()})


def build_store(site: StoreSite) -> Application:
    held = {"site": site}
    return Application(
        [
            ("/v1/kv-events", EventsHandler, held),
            ("/v1/kv-list", ListHandler, held),
            ("/site/lend", LendHandler, held),
            ("/site/keep", KeepHandler, held),
        ],
        log_function=lambda handler: None,
    )
