"""RequestBookkeeping (§8.7): keeps a fault in a node's own records from ending the request that they are about.

Loads, cached parts and versions inform later placements. A request that a worker runs must get its answer, whatever
goes wrong in updating them.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from pearhead.runtime.clock import SECOND, Clock

LOGGER = logging.getLogger("pearhead")
LOG_INTERVAL_MICROS = SECOND


class RequestBookkeeping:
    """Counts and logs failed updates by name in `failures`."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures: dict[str, int] = {}
        self.last_logged_micros: dict[str, int] = {}

    @contextmanager
    def update(self, name: str) -> Iterator[None]:
        """Runs the statements inside; an exception that they raise is counted and logged, and goes no further."""
        try:
            yield
        except Exception as fault:
            self.failures[name] = self.failures.get(name, 0) + 1
            self._log(name, fault)

    def _log(self, name: str, fault: Exception) -> None:
        """Logs each name at most once a second, so that many failing requests do not use up the processor."""
        now_micros = self.clock.now()
        last_logged_micros = self.last_logged_micros.get(name)
        if last_logged_micros is not None and now_micros - last_logged_micros < LOG_INTERVAL_MICROS:
            return
        self.last_logged_micros[name] = now_micros
        LOGGER.error("router: A record could not be updated. record=%s fault=%r", name, fault, exc_info=fault)
