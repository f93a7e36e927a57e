"""Runs the real code under every interleaving of a few asyncio tasks and collects the failures (§9.10).

Tasks switch only where they await. The explorer controls the ready queue of the loop: at each step it chooses which
ready callback runs next, and it enumerates all sequences of choices depth first.
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
    """A schedule exceeded SCHEDULE_STEP_LIMIT steps: a task waits in a busy loop, so its schedules have no end."""


class _NoWaitSelector(selectors.SelectSelector):
    """Reports no I/O and never waits."""

    def select(self, timeout: float | None = None) -> list[Any]:
        return []


class _ScheduledLoop(asyncio.SelectorEventLoop):
    """Runs one ready callback per iteration, chosen by the schedule.

    Attributes:
        schedule_choices: For each step the position of the callback to run; steps beyond its end take the first.
        ready_counts: For each step so far how many callbacks were ready.
        step_index: Number of steps taken.
    """

    def __init__(self, schedule_choices: list[int]) -> None:
        super().__init__(_NoWaitSelector())
        self.schedule_choices = schedule_choices
        self.ready_counts: list[int] = []
        self.step_index = 0

    def _run_once(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        timers: Any = self._scheduled  # type: ignore[attr-defined]
        if not ready and timers:
            # A timer fires only when no callback is ready, the earliest first.
            timers.sort()
            ready.append(timers.pop(0))
        if not ready:
            raise RuntimeError("deadlock: no callback is ready and no timer is pending")
        if self.step_index > SCHEDULE_STEP_LIMIT:
            raise EndlessScheduleError("schedule exceeds the step limit: a task waits in a busy loop")
        for position, handle in enumerate(ready):
            if not _is_task_step(handle):
                # Callbacks other than task steps, such as done callbacks, run at once and in order, without a choice.
                del ready[position]
                if not handle.cancelled():
                    handle._run()
                return
        ready_count = len(ready)
        choice = self.schedule_choices[self.step_index] if self.step_index < len(self.schedule_choices) else 0
        self.ready_counts.append(ready_count)
        self.step_index += 1
        ready.rotate(-choice)
        handle = ready.popleft()
        ready.rotate(choice)
        if not handle.cancelled():
            handle._run()


class TimerDrivenClock:
    """A clock for explored scenarios: it advances only when a timer fires, and then to the time the timer is due."""

    def __init__(self) -> None:
        self.now_micros = 0

    def now(self) -> int:
        """Returns the time in microseconds since the clock was made."""
        return self.now_micros

    def after(self, delay_micros: int, callback: Callable[[], None]) -> Timer:
        """Calls `callback` after the delay, on the running loop."""
        due_micros = self.now_micros + delay_micros

        def fire() -> None:
            self.now_micros = max(self.now_micros, due_micros)
            callback()

        return asyncio.get_running_loop().call_later(delay_micros / SECOND, fire)


def _is_task_step(handle: Any) -> bool:
    """Whether the handle starts or resumes a task, by either form in which asyncio schedules this."""
    callback = handle._callback
    is_wakeup = isinstance(getattr(callback, "__self__", None), asyncio.Task)
    return is_wakeup or type(callback).__name__ == "TaskStepMethWrapper"


@dataclass
class ExplorationResult:
    """What an exploration found.

    Attributes:
        schedule_count: Number of schedules that were run.
        faults: For each failed schedule its exception and its choices.
        is_complete: Whether all schedules were run, rather than only as many as the limit allows.
    """

    schedule_count: int = 0
    faults: list[str] = field(default_factory=list)
    is_complete: bool = True


class InterleavingExplorer:
    """Enumerates the schedules of a scenario by rerunning it from its start."""

    def explore(self, task_scenario: TaskScenario, schedule_limit: int = SCHEDULE_LIMIT) -> ExplorationResult:
        """Runs the scenario under every schedule, up to `schedule_limit` of them.

        The scenario checks itself: an exception that it raises is a fault of the schedule. Raises EndlessScheduleError
        if a schedule does not end.
        """
        exploration = ExplorationResult()
        schedule_choices: list[int] = []
        while True:
            loop = _ScheduledLoop(schedule_choices)
            asyncio.set_event_loop(loop)
            try:
                loop.run_until_complete(task_scenario())
            except EndlessScheduleError:
                raise
            except Exception as fault:  # noqa: BLE001 - any exception of the scenario is a fault of its schedule
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
            next_choices = self._next_schedule(schedule_choices, ready_counts)
            if next_choices is None:
                return exploration
            if exploration.schedule_count >= schedule_limit:
                exploration.is_complete = False
                return exploration
            schedule_choices = next_choices

    def _next_schedule(self, schedule_choices: list[int], ready_counts: list[int]) -> list[int] | None:
        """Returns the choices of the next schedule, depth first; None after the last.

        The last step that has another alternative takes it, and all steps after it start again at the first.
        """
        choices = schedule_choices + [0] * (len(ready_counts) - len(schedule_choices))
        for step_index in range(len(ready_counts) - 1, -1, -1):
            if choices[step_index] + 1 < ready_counts[step_index]:
                return [*choices[:step_index], choices[step_index] + 1]
        return None
