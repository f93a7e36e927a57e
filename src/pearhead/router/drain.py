"""Drain (§8.11): graceful shutdown of a router after SIGTERM, without dropping accepted requests.

There are two phases. In the handover phase requests are served as usual while clients learn to use other nodes. In the
finishing phase no request is accepted or sent to a worker any more; requests accepted in time run to completion.
"""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
POLL_INTERVAL_MICROS = 20 * MILLI
# Long enough for two missed readiness checks. Stays below 3 s with a margin, as the process may receive SIGTERM late:
# requests that clients send within 3 s after SIGTERM have to be answered.
MAX_HANDOVER_MICROS = 2_700 * MILLI
HANDOVER_SHARE = 3 / 8
# Time between the forced end of open requests and the kill: for writing the last responses and for the teardown of the
# process on a slow machine.
MAX_END_MARGIN_MICROS = SECOND
END_MARGIN_SHARE = 1 / 8
# The share of that margin that may be spent on writing the last responses.
FLUSH_SHARE = 1 / 4
DRAINING_DETAIL = "this node is leaving"


class DrainPhase(enum.Enum):
    """Lifecycle phase of a router process."""

    SERVING = "serving"
    HANDOVER = "handover"
    FINISHING = "finishing"
    ENDED = "ended"


@dataclass(frozen=True)
class DrainSchedule:
    """Times of a drain, in microseconds.

    `handover_micros`: from SIGTERM to the end of the handover phase. `end_micros`: from SIGTERM until requests that are
    still open are ended by force. `flush_micros`: how long writing their responses may take after that.
    """

    handover_micros: int
    end_micros: int
    flush_micros: int

    @classmethod
    def for_grace_period(cls, grace_micros: int) -> DrainSchedule:
        """Returns the schedule of a process that is killed `grace_micros` after SIGTERM."""
        margin_micros = min(MAX_END_MARGIN_MICROS, int(grace_micros * END_MARGIN_SHARE))
        return cls(
            handover_micros=min(MAX_HANDOVER_MICROS, int(grace_micros * HANDOVER_SHARE)),
            end_micros=grace_micros - margin_micros,
            flush_micros=int(margin_micros * FLUSH_SHARE),
        )


def log_violation(detail: str) -> None:
    """Logs a violated drain invariant as an error."""
    LOGGER.error("router: A drain invariant was violated. detail=%r", detail)


class DrainState:
    """The drain phase of this process, checked wherever a request would be accepted or sent to a worker.

    Invariant: no request is sent to a worker after the handover phase, and at the end no request is left without a
    response, except those sent in time that were cut by the forced end. `on_violation` is called with a description of
    each violation.
    """

    def __init__(
        self, clock: Clock, schedule: DrainSchedule, on_violation: Callable[[str], None] = log_violation
    ) -> None:
        self.clock = clock
        self.schedule = schedule
        self.on_violation = on_violation
        self.started_micros: int | None = None
        self.has_ended = False

    def begin(self) -> None:
        """Starts the drain; called at SIGTERM. Later calls have no effect."""
        if self.started_micros is None:
            self.started_micros = self.clock.now()

    def end(self) -> None:
        """Moves to the ENDED phase at once, regardless of the schedule; called at the forced end."""
        self.begin()
        self.has_ended = True

    def phase(self) -> DrainPhase:
        """Returns the current phase, from the clock alone: a delayed event loop must not accept requests too late."""
        if self.started_micros is None:
            return DrainPhase.SERVING
        elapsed_micros = self.clock.now() - self.started_micros
        if self.has_ended or elapsed_micros >= self.schedule.end_micros:
            return DrainPhase.ENDED
        return DrainPhase.HANDOVER if elapsed_micros < self.schedule.handover_micros else DrainPhase.FINISHING

    def is_draining(self) -> bool:
        """Returns whether the drain has begun; each response then closes its connection."""
        return self.started_micros is not None

    def may_accept(self) -> bool:
        """Returns whether a request may be accepted and sent to a worker."""
        return self.phase() in (DrainPhase.SERVING, DrainPhase.HANDOVER)

    def check_send(self, request_id: str) -> None:
        """Checks the invariant for a request; called in the same step as its first byte is sent to a worker."""
        if not self.may_accept():
            self.on_violation(f"request {request_id} is sent to a worker while {self.phase().value}")

    def check_end(self, unanswered_count: int) -> None:
        """Checks the invariant when the process ends.

        `unanswered_count`: requests without a response that were not cut by the forced end.
        """
        if unanswered_count:
            self.on_violation(f"{unanswered_count} requests are open at the end")


class DrainableServer(Protocol):
    """The HTTP server for clients, as the drain needs it."""

    def stop_accepting(self) -> None:
        """Closes the listening sockets and all idle connections."""

    def refuse_incoming(self) -> None:
        """Rejects requests that have not been read completely yet, and closes their connections."""

    def open_count(self) -> int:
        """Returns how many connections are open, idle ones included, or closed with undelivered response bytes."""

    def unanswered_count(self) -> int:
        """Returns how many requests have no complete response yet."""


class DrainableRequests(Protocol):
    """The requests that the node has accepted. `accepted_count`: their number since the process started."""

    accepted_count: int

    def open_count(self) -> int:
        """Returns how many accepted requests have no complete response yet."""

    def end_open(self) -> None:
        """Sends each open request its final response, or cuts it if part of another response was already written."""


class DrainCoordinator:
    """Drives the server for clients and its accepted requests through the drain phases."""

    def __init__(self, state: DrainState, server: DrainableServer, requests: DrainableRequests) -> None:
        self.state = state
        self.server = server
        self.requests = requests
        self.end_task: asyncio.Future[None] | None = None

    async def run(self) -> None:
        """Drains, and returns when the process may exit: when nothing is open, or after the forced end."""
        self.state.begin()
        open_before, accepted_before = self.requests.open_count(), self.requests.accepted_count
        # Waits even with nothing open: clients keep connecting until they have learned that this node is draining.
        await self._wait_until(self.state.schedule.handover_micros, stop_when_idle=False)
        self.server.stop_accepting()
        await self._wait_until(self.state.schedule.end_micros, stop_when_idle=True)
        open_after = self.requests.open_count()
        await self.end()
        LOGGER.info(
            "router: The drain is over. open_before=%d taken=%d cut=%d",
            open_before,
            self.requests.accepted_count - accepted_before,
            open_after,
        )

    async def end(self) -> None:
        """Forces the end: answers or cuts open requests and waits briefly for the responses to be written.

        Concurrent calls wait for the same end.
        """
        if self.end_task is None:
            self.end_task = asyncio.ensure_future(self._end_once())
        await asyncio.shield(self.end_task)

    async def _end_once(self) -> None:
        self.state.end()
        self.server.stop_accepting()
        self.server.refuse_incoming()
        end_micros = self.state.clock.now() + self.state.schedule.flush_micros
        while not self._is_idle() and self.state.clock.now() < end_micros:
            # Repeated in each round: in Python 3.11 `asyncio.wait_for` can lose a cancellation.
            self.requests.end_open()
            await sleep_for(self.state.clock, POLL_INTERVAL_MICROS)
        self.state.check_end(max(self.requests.open_count(), self.server.unanswered_count()))

    def _is_idle(self) -> bool:
        # Called even while requests are open: the server releases delivered connections when it counts them.
        open_connections = self.server.open_count()
        return not open_connections and not self.requests.open_count()

    async def _wait_until(self, since_begin_micros: int, stop_when_idle: bool) -> None:
        """Waits until that time, or with `stop_when_idle` until nothing is open.

        Polls, so that the server closes delivered connections meanwhile.
        """
        assert self.state.started_micros is not None
        end_micros = self.state.started_micros + since_begin_micros
        while self.state.clock.now() < end_micros:
            if self._is_idle() and stop_when_idle:
                return
            await sleep_for(self.state.clock, min(POLL_INTERVAL_MICROS, end_micros - self.state.clock.now()))
