"""LoopLag (§3.4): how late the event loop runs its timers, measured in a periodic loop that the process has anyway."""

from __future__ import annotations

from pearhead.runtime.clock import SECOND, Clock, sleep_for

WINDOW_MICROS = 10 * SECOND


class LoopLag:
    """The greatest lateness within the last one to two windows of `window_micros` microseconds.

    Two windows are kept so that reading the figure does not reset it.
    """

    def __init__(self, clock: Clock, window_micros: int = WINDOW_MICROS) -> None:
        self.clock = clock
        self.window_micros = window_micros
        self.window_start_micros = clock.now()
        self.window_maximum_micros = 0
        self.previous_maximum_micros = 0

    async def sleep_for(self, delay_micros: int) -> None:
        """Sleeps as `clock.sleep_for` does, and records how late it woke up."""
        due_micros = self.clock.now() + delay_micros
        await sleep_for(self.clock, delay_micros)
        self.record_lateness(self.clock.now() - due_micros)

    def record_lateness(self, lateness_micros: int) -> None:
        """Records one measurement."""
        self._rotate_window()
        self.window_maximum_micros = max(self.window_maximum_micros, lateness_micros)

    def maximum_micros(self) -> int:
        """Returns the greatest lateness in this window and the one before, in microseconds."""
        self._rotate_window()
        return max(self.window_maximum_micros, self.previous_maximum_micros)

    def _rotate_window(self) -> None:
        elapsed_micros = self.clock.now() - self.window_start_micros
        if elapsed_micros < self.window_micros:
            return
        is_adjacent = elapsed_micros < 2 * self.window_micros
        self.previous_maximum_micros = self.window_maximum_micros if is_adjacent else 0
        self.window_maximum_micros = 0
        self.window_start_micros = self.clock.now()
