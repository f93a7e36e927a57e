"""Invariants (§3.4): conditions that must always hold, checked in production; violations are counted and logged."""

from __future__ import annotations

import logging
from enum import Enum

from pearhead.runtime.clock import SECOND, Clock

LOGGER = logging.getLogger("pearhead")
LOG_INTERVAL_MICROS = SECOND


class Invariant(Enum):
    """The invariants. The value is the label of the metric and the `invariant` field of the log line."""

    LEAVING_IS_FINAL = "leaving_is_final"
    ROSTER_TIME_ADVANCES = "roster_time_advances"
    ROSTER_IS_FRESH = "roster_is_fresh"
    DRAIN_FINISHES = "drain_finishes"


class InvariantViolationError(AssertionError):
    """An invariant does not hold; raised only by strict counters."""

    def __init__(self, invariant: Invariant, detail: object) -> None:
        super().__init__(f"{invariant.value}: {detail}")
        self.invariant = invariant
        self.detail = detail


class InvariantCounters:
    """Counts and logs violations by invariant. With `strict`, as in tests, each violation also raises."""

    def __init__(self, clock: Clock, strict: bool = False) -> None:
        self.clock = clock
        self.strict = strict
        self.violations: dict[Invariant, int] = dict.fromkeys(Invariant, 0)
        self.last_logged_micros: dict[Invariant, int] = {}

    def check(self, name: Invariant, holds: bool, detail: object = "") -> None:
        """Records a violation unless `holds`; only then is `detail` converted to text.

        Strict counters raise InvariantViolationError.
        """
        if holds:
            return
        self.violations[name] += 1
        self._log(name, detail)
        if self.strict:
            raise InvariantViolationError(name, detail)

    def _log(self, name: Invariant, detail: object) -> None:
        """Logs each invariant at most once a second, so that a violation in a loop does not use up the processor."""
        now_micros = self.clock.now()
        last_logged_micros = self.last_logged_micros.get(name)
        if last_logged_micros is not None and now_micros - last_logged_micros < LOG_INTERVAL_MICROS:
            return
        self.last_logged_micros[name] = now_micros
        LOGGER.error("daemon: An invariant does not hold. invariant=%s detail=%r", name.value, detail)
