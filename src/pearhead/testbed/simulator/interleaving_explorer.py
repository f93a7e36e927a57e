"""InterleavingExplorer (§9.10): runs all interleavings of a few tasks over the real code, under a checker.

A task gives way where it awaits. The explorer owns the loop's ready queue: at each step it picks which
of the ready callbacks runs next, and goes through every order of picks, depth first.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from pearhead.runtime.clock import SECOND, Timer

TaskScenario = Callable[[], Coroutine[Any, Any, None]]
SCHEDULE_LIMIT = 20_000
SCHEDULE_STEP_LIMIT = 2_000


class EndlessScheduleError(Exception):
    """A task waits by spinning, so its schedules have no end."""


class _NoWaitSelector(selectors.SelectSelector):
    def select(self, timeout: float | None = None) -> list[Any]:
        return []


class _ScheduledLoop(asyncio.SelectorEventLoop):
    """Runs one ready callback a turn, the one that the schedule picks."""

    def __init__(self, schedule_choices: list[int]) -> None:
        super().__init__(_NoWaitSelector())
        self.schedule_choices = schedule_choices
        self.ready_counts: list[int] = []
        self.step_index = 0

    def _run_once(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        timers: Any = self._scheduled  # type: ignore[attr-defined]
        if not ready and timers:
            # Time only moves when nothing else can: the earliest timer fires.
            timers.sort()
            ready.append(timers.pop(0))
        if not ready:
            raise RuntimeError("every task waits for ever")
        if self.step_index > SCHEDULE_STEP_LIMIT:
            raise EndlessScheduleError("a schedule does not end: a task spins")
        for position, handle in enumerate(ready):
            if not _is_task_step(handle):
                # What is told of an ended task is bookkeeping: it runs at once, in order, and opens no branch.
                del ready[position]
                if not handle.cancelled():
                    handle._run()
                return
        width = len(ready)
        pick = self.schedule_choices[self.step_index] if self.step_index < len(self.schedule_choices) else 0
        self.ready_counts.append(width)
        self.step_index += 1
        ready.rotate(-pick)
        handle = ready.popleft()
        ready.rotate(pick)
        if not handle.cancelled():
            handle._run()


class TimerDrivenClock:
    """A clock for stories: it moves only when a timer fires, as nothing else could happen before."""

    def __init__(self) -> None:
        self.now_micros = 0

    def now(self) -> int:
        return self.now_micros

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        due_micros = self.now_micros + delay_micros

        def fire() -> None:
            self.now_micros = max(self.now_micros, due_micros)
            callback()

        return asyncio.get_running_loop().call_later(delay_micros / SECOND, fire)


def _is_task_step(handle: Any) -> bool:
    callback = handle._callback
    is_wakeup = isinstance(getattr(callback, "__self__", None), asyncio.Task)
    return is_wakeup or type(callback).__name__ == "TaskStepMethWrapper"


@dataclass
class ExplorationResult:
    schedule_count: int = 0
    faults: list[str] = field(default_factory=list)
    is_whole: bool = True


class InterleavingExplorer:
    def explore(self, task_scenario: TaskScenario, schedule_limit: int = SCHEDULE_LIMIT) -> ExplorationResult:
        """Runs the story under every schedule; it raises where its checker finds a fault."""
        exploration = ExplorationResult()
        schedule_choices: list[int] = []
        while True:
            loop = _ScheduledLoop(schedule_choices)
            asyncio.set_event_loop(loop)
            try:
                loop.run_until_complete(task_scenario())
            except EndlessScheduleError:
                raise
            except Exception as fault:  # noqa: BLE001 - whatever ends a story early is a fault of that schedule
                exploration.faults.append(f"{fault!r} under {schedule_choices}")
            finally:
                ready_counts = list(loop.ready_counts)
                for task in asyncio.all_tasks(loop):
                    task.cancel()
                loop.schedule_choices = []
                loop.run_until_complete(asyncio.sleep(0))
                loop.close()
                asyncio.set_event_loop(None)
            exploration.schedule_count += 1
            next_schedule_choices = self._next(schedule_choices, ready_counts)
            if next_schedule_choices is None:
                return exploration
            if exploration.schedule_count >= schedule_limit:
                exploration.is_whole = False
                return exploration
            schedule_choices = next_schedule_choices

    def _next(self, schedule_choices: list[int], ready_counts: list[int]) -> list[int] | None:
        """The last pick that can still move moves; those after it begin anew."""
        taken = schedule_choices + [0] * (len(ready_counts) - len(schedule_choices))
        for step_index in range(len(ready_counts) - 1, -1, -1):
            if taken[step_index] + 1 < ready_counts[step_index]:
                return [*taken[:step_index], taken[step_index] + 1]
        return None
