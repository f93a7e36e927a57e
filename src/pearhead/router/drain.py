"""Drain (§8.11): how a front node ends after SIGTERM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pearhead.runtime.clock import MILLI, SECOND, Clock, rest

ROUND_MICROS = 20 * MILLI
LEAST_MICROS = 3_500 * MILLI
MARGIN_MICROS = 2 * SECOND


class Edge(Protocol):
    """What reads requests and writes answers."""

    is_draining: bool


class Server(Protocol):
    """What accepts connections."""

    def stop(self) -> None:
        """Closes the listening sockets."""


@dataclass(frozen=True)
class DrainSchedule:
    """Times since SIGTERM: callers still come until `handover_micros`; the process ends by `end_micros`."""

    handover_micros: int
    end_micros: int

    @classmethod
    def of_grace(cls, grace_micros: int) -> DrainSchedule:
        """For a process that is killed `grace_micros` after SIGTERM."""
        return cls(LEAST_MICROS, max(grace_micros - MARGIN_MICROS, SECOND))


class FrontDrain:
    """Goes on serving for a while, as callers still come; then waits for what is open."""

    def __init__(
        self, clock: Clock, schedule: DrainSchedule, edge: Edge, server: Server, open_count: Callable[[], int]
    ) -> None:
        self.clock = clock
        self.schedule = schedule
        self.edge = edge
        self.server = server
        self.open_count = open_count

    async def run(self) -> None:
        """Returns when the process may end."""
        self.edge.is_draining = True
        begun_micros = self.clock.now()
        least_end = begun_micros + self.schedule.handover_micros
        end_micros = begun_micros + self.schedule.end_micros
        while self.clock.now() < least_end or (self.open_count() and self.clock.now() < end_micros):
            await rest(self.clock, ROUND_MICROS)
        self.server.stop()
