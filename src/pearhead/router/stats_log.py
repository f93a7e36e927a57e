"""StatsLog (§8.7): now and then one line of what a front node did since the line before."""

from __future__ import annotations

import logging
import resource
from collections.abc import Callable
from typing import Protocol

from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")


class OutcomeCounters(Protocol):
    outcomes: dict[str, int]

    def open_count(self) -> int: ...


class ConnectionCounters(Protocol):
    opened: int
    reused: int


class RetryCounters(Protocol):
    spent: int


def processor_micros() -> int:
    """By the kernel's books: where the process clock is not to be had, `time.process_time` is the steady clock."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return round((usage.ru_utime + usage.ru_stime) * SECOND)


class StatsLog:
    """Reads counters that are kept anyway; a line costs some tens of microseconds, every `every_micros`."""

    def __init__(
        self,
        clock: Clock,
        gate: OutcomeCounters,
        pool: ConnectionCounters,
        budget: RetryCounters,
        every_micros: int,
        processor: Callable[[], int] = processor_micros,
    ) -> None:
        self.clock = clock
        self.gate = gate
        self.pool = pool
        self.budget = budget
        self.every_micros = every_micros
        self.processor = processor
        self.last_counts: dict[str, int] = {}
        self.line_count = 0

    async def run(self) -> None:
        """Ends at once where no lines are wanted."""
        self.last_counts = self._counts()
        while self.every_micros > 0:
            await sleep_for(self.clock, self.every_micros)
            LOGGER.info(
                "router: Counts since the line before. open=%d %s", self.gate.open_count(), self.format_counts()
            )

    def format_counts(self) -> str:
        """`name=value` of what grew; what was told is not told again."""
        self.line_count += 1
        counts = self._counts()
        grown = {name: count - self.last_counts.get(name, 0) for name, count in counts.items()}
        self.last_counts = counts
        return " ".join(f"{name}={count}" for name, count in grown.items())

    def _counts(self) -> dict[str, int]:
        counts = {
            "retries": self.budget.spent,
            "opened": self.pool.opened,
            "reused": self.pool.reused,
            "processor_ms": self.processor() // MILLI,
        }
        counts.update({f"ended_{name}": count for name, count in sorted(self.gate.outcomes.items())})
        return counts
