"""StatsLog (§8.7): periodically logs a router node's counters as one line of differences."""

from __future__ import annotations

import logging
import resource
from collections.abc import Callable
from typing import Protocol

from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")


class OutcomeCounters(Protocol):
    """Requests counted by outcome, as kept by the request proxy."""

    outcomes: dict[str, int]

    def open_count(self) -> int:
        """Requests in progress."""


class ConnectionCounters(Protocol):
    """Upstream connections opened, and requests sent on a reused one."""

    opened_count: int
    reused_count: int


class RetryCounters(Protocol):
    """Retries withdrawn from the retry budget."""

    retry_count: int


def processor_micros() -> int:
    """CPU time of this process, user and system, from `getrusage`.

    `time.process_time` is not used: where no process clock is available it is the monotonic clock.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return round((usage.ru_utime + usage.ru_stime) * SECOND)


class StatsLog:
    """Logs a line every `every_micros`, from counters kept for other purposes; a line costs tens of microseconds."""

    def __init__(
        self,
        clock: Clock,
        outcome_counters: OutcomeCounters,
        connection_counters: ConnectionCounters,
        retry_counters: RetryCounters,
        every_micros: int,
        read_processor_micros: Callable[[], int] = processor_micros,
    ) -> None:
        self.clock = clock
        self.outcome_counters = outcome_counters
        self.connection_counters = connection_counters
        self.retry_counters = retry_counters
        self.every_micros = every_micros
        self.read_processor_micros = read_processor_micros
        self.last_counts: dict[str, int] = {}
        self.line_count = 0

    async def run(self) -> None:
        """Logs until cancelled; returns at once if `every_micros` is 0."""
        self.last_counts = self._counts()
        while self.every_micros > 0:
            await sleep_for(self.clock, self.every_micros)
            LOGGER.info(
                "router: Counts since the previous line. open=%d %s",
                self.outcome_counters.open_count(),
                self.format_counts(),
            )

    def format_counts(self) -> str:
        """Formats each counter's increase since the last call as `name=value`, and starts a new interval."""
        self.line_count += 1
        counts = self._counts()
        increases = {name: count - self.last_counts.get(name, 0) for name, count in counts.items()}
        self.last_counts = counts
        return " ".join(f"{name}={count}" for name, count in increases.items())

    def _counts(self) -> dict[str, int]:
        counts = {
            "retries": self.retry_counters.retry_count,
            "opened": self.connection_counters.opened_count,
            "reused": self.connection_counters.reused_count,
            "processor_ms": self.read_processor_micros() // MILLI,
        }
        counts.update({f"ended_{name}": count for name, count in sorted(self.outcome_counters.outcomes.items())})
        return counts
