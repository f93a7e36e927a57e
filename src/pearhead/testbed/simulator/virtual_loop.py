"""VirtualLoop (§9.5): an asyncio loop whose time jumps to the next timer, so runs repeat exactly."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

from pearhead.runtime.clock import SECOND


class SimulationStuckError(Exception):
    """Nothing is left that could ever happen."""


class _VirtualSelector(selectors.SelectSelector):
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
    def __init__(self) -> None:
        self.virtual_selector = _VirtualSelector()
        super().__init__(self.virtual_selector)
        self._clock_resolution = 1 / SECOND

    def time(self) -> float:
        return self.virtual_selector.now_micros / SECOND

    def now(self) -> int:
        return self.virtual_selector.now_micros
