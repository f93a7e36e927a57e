"""RosterAgeMonitor (§7.7): logs when a node's roster becomes old, and when it is fresh again."""

from __future__ import annotations

import logging

from pearhead.runtime.clock import MILLI, SECOND

LOGGER = logging.getLogger("pearhead")
OLD_MICROS = 2 * SECOND


class RosterAgeMonitor:
    """Logs only when the age crosses `OLD_MICROS`; it is given the age at every tick and around every merge."""

    def __init__(self) -> None:
        self.longest_micros = 0

    def observe(self, age_micros: int) -> None:
        """Takes the current age and logs if the roster has just become old or fresh."""
        was_old = self.longest_micros > 0
        if age_micros > OLD_MICROS:
            self.longest_micros = max(self.longest_micros, age_micros)
            if not was_old:
                LOGGER.warning("router: The roster is stale. age_ms=%d", age_micros // MILLI)
        elif was_old:
            LOGGER.info("router: The roster is fresh again. longest_ms=%d", self.longest_micros // MILLI)
            self.longest_micros = 0
