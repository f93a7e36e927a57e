"""Drain (§8.11): how a front node ends after SIGTERM without cutting what it accepted.

Two phases. In the handover phase requests are served as usual while callers learn to go elsewhere. In the finishing
phase nothing is accepted or sent to a worker any more; what was accepted in time is carried to its end.
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
POLL_MICROS = 20 * MILLI
# Long enough for two missed readiness checks. What a caller sends until 3 s after SIGTERM is to be answered, and the
# process may hear of SIGTERM late.
MAX_HANDOVER_MICROS = 2_700 * MILLI
HANDOVER_SHARE = 3 / 8
# From the last end to the kill: what is left to write, and the teardown of the process on a slow machine.
MAX_END_MARGIN_MICROS = SECOND
END_MARGIN_SHARE = 1 / 8
# Of that margin, so much may go to writing out the last answers.
FLUSH_SHARE = 1 / 4
DRAINING_DETAIL = "this node is leaving"


class DrainPhase(enum.Enum):
    """Where a front node is between its start and its end."""

    SERVING = "serving"
    HANDOVER = "handover"
    FINISHING = "finishing"
    ENDED = "ended"


@dataclass(frozen=True)
class DrainSchedule:
    """Times since SIGTERM.

    `handover_micros`: the end of the handover phase; `end_micros`: when requests that are
    still open are ended; `flush_micros`: how long their answers may then take to be written out."""

    handover_micros: int
    end_micros: int
    flush_micros: int

    @classmethod
    def for_grace_period(cls, grace_micros: int) -> DrainSchedule:
        """For a process that is killed `grace_micros` after SIGTERM."""
        margin_micros = min(MAX_END_MARGIN_MICROS, int(grace_micros * END_MARGIN_SHARE))
        return cls(
            handover_micros=min(MAX_HANDOVER_MICROS, int(grace_micros * HANDOVER_SHARE)),
            end_micros=grace_micros - margin_micros,
            flush_micros=int(margin_micros * FLUSH_SHARE),
        )


def log_violation(detail: str) -> None:
    """Tells the operator that the drain broke its own rule."""
    LOGGER.error("router: The drain broke its own rule. detail=%r", detail)


class DrainState:
    """The phase of this process by its clock, asked wherever work would be accepted or sent.

    Invariant: no request is sent to a worker after the handover phase, and none is open at the end without its answer,
    but those sent in time that were cut at the last end. `on_violation` is called with what broke it.
    """

    def __init__(
        self, clock: Clock, schedule: DrainSchedule, on_violation: Callable[[str], None] = log_violation
    ) -> None:
        self.clock = clock
        self.schedule = schedule
        self.on_violation = on_violation
        self.begun_micros: int | None = None
        self.has_ended = False

    def begin(self) -> None:
        """Called at SIGTERM; later calls change nothing."""
        if self.begun_micros is None:
            self.begun_micros = self.clock.now()

    def end(self) -> None:
        """Called at the last end, whatever the time is."""
        self.begin()
        self.has_ended = True

    def phase(self) -> DrainPhase:
        """Goes on by time alone, so that a late event loop accepts nothing too late."""
        if self.begun_micros is None:
            return DrainPhase.SERVING
        passed_micros = self.clock.now() - self.begun_micros
        if self.has_ended or passed_micros >= self.schedule.end_micros:
            return DrainPhase.ENDED
        return DrainPhase.HANDOVER if passed_micros < self.schedule.handover_micros else DrainPhase.FINISHING

    def is_draining(self) -> bool:
        """Whether each answer is the last of its connection."""
        return self.begun_micros is not None

    def may_accept(self) -> bool:
        """Whether a request may be accepted, and sent to a worker."""
        return self.phase() in (DrainPhase.SERVING, DrainPhase.HANDOVER)

    def check_send(self, request_id: str) -> None:
        """Called in one step with the first byte to a worker."""
        if not self.may_accept():
            self.on_violation(f"request {request_id} is sent to a worker while {self.phase().value}")

    def check_end(self, unanswered_count: int) -> None:
        """Called when the process ends, with the requests that have no answer and were not cut by the last end."""
        if unanswered_count:
            self.on_violation(f"{unanswered_count} requests are open at the end")


class DrainableServer(Protocol):
    """The node's end towards its callers."""

    def stop_accepting(self) -> None:
        """Closes the listening sockets and the connections that are idle."""

    def refuse_incoming(self) -> None:
        """Answers requests that have not been read whole by now, and ends their connections."""

    def open_count(self) -> int:
        """Connections with a request or an answer under way, and those whose last bytes are not delivered yet."""

    def unanswered_count(self) -> int:
        """Requests without a whole answer."""


class DrainableRequests(Protocol):
    """The requests that the node has accepted. `accepted_count`: how many since the process started."""

    accepted_count: int

    def open_count(self) -> int:
        """Those without a whole answer."""

    def end_open(self) -> None:
        """Gives each its final answer, or cuts it if a part of another answer was written."""


class DrainCoordinator:
    """Leads an edge and its requests through the phases."""

    def __init__(self, state: DrainState, server: DrainableServer, requests: DrainableRequests) -> None:
        self.state = state
        self.server = server
        self.requests = requests
        self.end_task: asyncio.Future[None] | None = None

    async def run(self) -> None:
        """Returns when the process may end: when nothing is open, or at the last end."""
        self.state.begin()
        open_before, accepted_before = self.requests.open_count(), self.requests.accepted_count
        # Also with nothing open: callers still come until they have learned that this node leaves.
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
        """The last end: answers or cuts what is open and waits a short time for the answers to be written out.

        Called again while it is under way, it waits for the same end.
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
            # Again each time: on this Python a cancellation can be lost in `asyncio.wait_for`.
            self.requests.end_open()
            await sleep_for(self.state.clock, POLL_MICROS)
        self.state.check_end(max(self.requests.open_count(), self.server.unanswered_count()))

    def _is_idle(self) -> bool:
        # The edge is asked in any case: it lets go of what was delivered.
        open_connections = self.server.open_count()
        return not open_connections and not self.requests.open_count()

    async def _wait_until(self, since_begin_micros: int, stop_when_idle: bool) -> None:
        """Until that time, or with `stop_when_idle` until nothing is open; lets the edge close what it delivered."""
        assert self.state.begun_micros is not None
        end_micros = self.state.begun_micros + since_begin_micros
        while self.state.clock.now() < end_micros:
            if self._is_idle() and stop_when_idle:
                return
            await sleep_for(self.state.clock, min(POLL_MICROS, end_micros - self.state.clock.now()))
