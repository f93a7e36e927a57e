"""BackgroundTaskGroup (§2.2): the tasks one process owns, started together and ended together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

LOGGER = logging.getLogger("pearhead")


class BackgroundTaskGroup:
    """A group of tasks; the exceptions that end tasks are logged and kept in `faults`."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.owned_tasks: dict[asyncio.Task[Any], None] = {}
        self.faults: list[BaseException] = []

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task that belongs to the group until it ends."""
        owned_task = asyncio.get_running_loop().create_task(work)
        self.owned_tasks[owned_task] = None
        owned_task.add_done_callback(self._handle_task_end)
        return owned_task

    def stop(self) -> None:
        """Cancels all tasks that still run."""
        for owned_task in list(self.owned_tasks):
            owned_task.cancel()

    def _handle_task_end(self, owned_task: asyncio.Task[Any]) -> None:
        self.owned_tasks.pop(owned_task, None)
        if not owned_task.cancelled() and owned_task.exception() is not None:
            fault = owned_task.exception()
            assert fault is not None
            self.faults.append(fault)
            LOGGER.error("%s: A task ended. fault=%r", self.prefix, fault, exc_info=fault)
