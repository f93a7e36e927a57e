"""Clock (§2.1): monotonic time in whole microseconds, and timers. No decision depends on wall-clock time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

SECOND = 1_000_000
MILLI = 1_000


class Timer(Protocol):
    """A callback that is scheduled for a later time."""

    def cancel(self) -> None:
        """Cancels the callback if it has not run yet."""


class Clock(Protocol):
    """A monotonic clock, which orders events within one machine, and its timers."""

    def now(self) -> int:
        """Returns whole microseconds since an arbitrary start."""

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        """Calls `callback` once `delay_micros` microseconds have passed."""


def choose_clock(read: Callable[[int], int]) -> int:
    """Returns CLOCK_BOOTTIME, or CLOCK_MONOTONIC where the kernel refuses it; `read` reads a clock by its id."""
    try:
        read(time.CLOCK_BOOTTIME)
    except OSError:
        return time.CLOCK_MONOTONIC
    return time.CLOCK_BOOTTIME


class BootClock:
    """The real clock. CLOCK_BOOTTIME advances during suspend, so a process that resumes sees that time has passed."""

    def __init__(self) -> None:
        self.clock_id = choose_clock(time.clock_gettime_ns)

    def now(self) -> int:
        """Returns whole microseconds since the machine was booted."""
        return time.clock_gettime_ns(self.clock_id) // 1_000

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        """Calls `callback` from the running event loop once `delay_micros` microseconds have passed.

        A negative delay counts as 0.
        """
        return asyncio.get_running_loop().call_later(max(delay_micros, 0) / SECOND, callback)


async def sleep_for(clock: Clock, delay_micros: int) -> None:
    """Suspends the calling task for `delay_micros` microseconds of the given clock.

    It uses the clock's timers, not `asyncio.sleep`, so that the simulator can freeze the task with its process.
    """
    wake_future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def wake() -> None:
        if not wake_future.done():
            wake_future.set_result(None)

    sleep_timer = clock.after(delay_micros, wake)
    try:
        await wake_future
    finally:
        sleep_timer.cancel()
