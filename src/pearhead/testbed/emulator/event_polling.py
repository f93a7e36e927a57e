"""Long polls for cache events (§9.13), which the emulated workers and the store answer alike."""

from __future__ import annotations

from typing import Protocol

from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from pearhead.runtime.clock import MILLI, Clock, sleep_for
from pearhead.testbed.emulator.part_cache import PartEventLog

MAX_WAIT_MILLIS = 1_000
POLL_MICROS = 10 * MILLI


class EventReaders(Protocol):
    """How many polls one process answers at a time, and how many it may."""

    clock: Clock
    reader_limit: int
    active_readers: int


class CacheEventsHandler(RequestHandler):
    """Long poll for cache events."""

    def initialize(self, readers: EventReaders, events: PartEventLog) -> None:
        """Takes the shared state from the application's routes."""
        self.readers, self.events = readers, events

    async def get(self) -> None:
        """Answers the events after `Since`, once there are any or after `Wait-Ms`; 429 beyond the reader limit."""
        readers = self.readers
        if readers.active_readers >= readers.reader_limit:
            self.set_status(429)
            await self.finish()
            return
        readers.active_readers += 1
        try:
            await self._answer_when_due()
        except StreamClosedError:
            pass
        finally:
            readers.active_readers -= 1

    async def _answer_when_due(self) -> None:
        clock, since = self.readers.clock, int(self.get_argument("Since", "0"))
        wait_millis = min(MAX_WAIT_MILLIS, int(self.request.headers.get("Wait-Ms", "0")))
        end_at = clock.now() + wait_millis * MILLI
        page = self.events.read(clock.now(), since)
        while not page.events and not page.is_dropped and (now := clock.now()) < end_at:
            await sleep_for(clock, min(POLL_MICROS, end_at - now))
            page = self.events.read(clock.now(), since)
        await self.finish(page.body())
