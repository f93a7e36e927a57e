"""BackgroundTaskGroup (§2.2): owns the background tasks of one process and cancels them together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
MIN_RESTART_DELAY_MICROS = 100 * MILLI
MAX_RESTART_DELAY_MICROS = 5 * SECOND
# A loop that ran for this long before it failed is restarted after the shortest delay again.
STABLE_RUN_MICROS = 30 * SECOND
# A loop that fails again and again must not use up the memory.
MAX_RETAINED_EXCEPTIONS = 100


class BackgroundTaskGroup:
    """A group of tasks; exceptions that end a task are logged under `prefix` and collected in `exceptions`.

    `supervised_failures` counts the ends of supervised loops by name.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.owned_tasks: dict[asyncio.Task[Any], None] = {}
        self.exceptions: list[BaseException] = []
        self.supervised_failures: dict[str, int] = {}

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task on the running event loop; it belongs to the group until it ends."""
        owned_task = asyncio.get_running_loop().create_task(work)
        self.owned_tasks[owned_task] = None
        owned_task.add_done_callback(self._handle_task_end)
        return owned_task

    def supervise(
        self, name: str, clock: Clock, run_loop: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[Any]:
        """Starts a loop that is needed as long as the process runs.

        If it raises, that is logged and counted under `name`, and it is started again after a delay, which grows from
        0.1 s to 5 s while it keeps failing. A loop that returns is done and is not started again.
        """
        self.supervised_failures[name] = 0
        return self.start(self._run_supervised(name, clock, run_loop))

    def stop(self) -> None:
        """Cancels all tasks that are still running, without waiting for them."""
        for owned_task in list(self.owned_tasks):
            owned_task.cancel()

    async def _run_supervised(self, name: str, clock: Clock, run_loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        delay_micros = MIN_RESTART_DELAY_MICROS
        while True:
            started_micros = clock.now()
            try:
                return await run_loop()
            except Exception as fault:
                self.supervised_failures[name] += 1
                self._record_exception(fault)
                if clock.now() - started_micros >= STABLE_RUN_MICROS:
                    delay_micros = MIN_RESTART_DELAY_MICROS
                LOGGER.error(
                    "%s: A background loop failed and is started again. loop=%s failures=%d delay_ms=%d fault=%r",
                    self.prefix,
                    name,
                    self.supervised_failures[name],
                    delay_micros // MILLI,
                    fault,
                    exc_info=fault,
                )
            await sleep_for(clock, delay_micros)
            delay_micros = min(2 * delay_micros, MAX_RESTART_DELAY_MICROS)

    def _handle_task_end(self, owned_task: asyncio.Task[Any]) -> None:
        self.owned_tasks.pop(owned_task, None)
        if not owned_task.cancelled() and owned_task.exception() is not None:
            fault = owned_task.exception()
            assert fault is not None
            self._record_exception(fault)
            LOGGER.error("%s: A background task failed. fault=%r", self.prefix, fault, exc_info=fault)

    def _record_exception(self, fault: BaseException) -> None:
        if len(self.exceptions) < MAX_RETAINED_EXCEPTIONS:
            self.exceptions.append(fault)
