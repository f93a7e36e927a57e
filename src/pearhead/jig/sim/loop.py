"""VirtualLoop (§9.5): an asyncio loop whose time jumps to the next timer, so runs repeat exactly."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

from pearhead.awl.clock import SECOND


class SimulationStuck(Exception):
    """Nothing is left that could ever happen."""


class _VirtualSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.nowMicros = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise SimulationStuck
        if timeout > 0:
            self.nowMicros += max(1, round(timeout * SECOND))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.virtualSelector = _VirtualSelector()
        super().__init__(self.virtualSelector)
        self._clock_resolution = 1 / SECOND

    def time(self) -> float:
        return self.virtualSelector.nowMicros / SECOND

    def now(self) -> int:
        return self.virtualSelector.nowMicros
