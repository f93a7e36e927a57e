"""Clock (§2.1): whole microseconds since boot, and timers. Wall time decides nothing."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

SECOND = 1_000_000
MILLI = 1_000


class Timer(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    def now(self) -> int: ...

    def after(self, delayMicros: int, callback: Callable[[], None]) -> Timer: ...


class BootClock:
    """CLOCK_BOOTTIME goes on while the machine sleeps, so a woken process knows it is late."""

    def now(self) -> int:
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000

    def after(self, delayMicros: int, callback: Callable[[], None]) -> Timer:
        return asyncio.get_running_loop().call_later(max(delayMicros, 0) / SECOND, callback)


async def rest(clock: Clock, delayMicros: int) -> None:
    """Suspends the calling task; the simulator freezes it with its process."""
    wakeFuture: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not wakeFuture.done():
            wakeFuture.set_result(None)

    restTimer = clock.after(delayMicros, wake)
    try:
        await wakeFuture
    finally:
        restTimer.cancel()
