"""Clock (§2.1): whole microseconds since boot, and timers. Wall time decides nothing."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

SECOND = 1_000_000
MILLI = 1_000


class Timer(Protocol):
    """A callback that is due at a later time."""

    def cancel(self) -> None:
        """Prevents the callback, if it has not run yet."""


class Clock(Protocol):
    """A steady clock, which orders events within one machine."""

    def now(self) -> int:
        """Whole microseconds since an arbitrary start."""

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        """Calls `callback` once `delay_micros` have passed."""


def choose_clock(read: Callable[[int], int]) -> int:
    """A kernel that refuses CLOCK_BOOTTIME has a steady clock at least."""
    try:
        read(time.CLOCK_BOOTTIME)
    except OSError:
        return time.CLOCK_MONOTONIC
    return time.CLOCK_BOOTTIME


class BootClock:
    """CLOCK_BOOTTIME goes on while the machine sleeps, so a woken process knows it is late."""

    def __init__(self) -> None:
        self.clock_id = choose_clock(time.clock_gettime_ns)

    def now(self) -> int:
        """Whole microseconds since the machine was booted."""
        return time.clock_gettime_ns(self.clock_id) // 1_000

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        """Calls `callback` from the running event loop once `delay_micros` have passed."""
        return asyncio.get_running_loop().call_later(max(delay_micros, 0) / SECOND, callback)


async def sleep_for(clock: Clock, delay_micros: int) -> None:
    """Suspends the calling task; the simulator freezes it with its process."""
    wake_future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not wake_future.done():
            wake_future.set_result(None)

    sleep_timer = clock.after(delay_micros, wake)
    try:
        await wake_future
    finally:
        sleep_timer.cancel()
