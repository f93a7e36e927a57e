"""An asyncio event loop on virtual time (§9.5): time jumps to the next timer, so runs repeat exactly."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

from pearhead.runtime.clock import SECOND


class SimulationStuckError(Exception):
    """The simulation is deadlocked: no callback is ready and no timer is pending."""


class _VirtualSelector(selectors.SelectSelector):
    """Advances virtual time by the requested timeout instead of waiting for I/O."""

    def __init__(self) -> None:
        super().__init__()
        self.now_micros = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise SimulationStuckError
        if timeout > 0:
            self.now_micros += max(1, round(timeout * SECOND))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits: when nothing is ready, its clock moves to the next timer.

    Raises SimulationStuckError from the running call when neither a callback nor a timer is left.
    """

    def __init__(self) -> None:
        self.virtual_selector = _VirtualSelector()
        super().__init__(self.virtual_selector)
        self._clock_resolution = 1 / SECOND

    def time(self) -> float:
        """Returns the virtual time in seconds, as asyncio expects it."""
        return self.virtual_selector.now_micros / SECOND

    def now(self) -> int:
        """Returns the virtual time in microseconds."""
        return self.virtual_selector.now_micros
