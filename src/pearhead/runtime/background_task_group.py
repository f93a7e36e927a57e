"""BackgroundTaskGroup (§2.2): owns the background tasks of one process and cancels them together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

LOGGER = logging.getLogger("pearhead")


class BackgroundTaskGroup:
    """A group of tasks; exceptions that end a task are logged under `prefix` and collected in `exceptions`."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.owned_tasks: dict[asyncio.Task[Any], None] = {}
        self.exceptions: list[BaseException] = []

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task on the running event loop; it belongs to the group until it ends."""
        owned_task = asyncio.get_running_loop().create_task(work)
        self.owned_tasks[owned_task] = None
        owned_task.add_done_callback(self._handle_task_end)
        return owned_task

    def stop(self) -> None:
        """Cancels all tasks that are still running, without waiting for them."""
        for owned_task in list(self.owned_tasks):
            owned_task.cancel()

    def _handle_task_end(self, owned_task: asyncio.Task[Any]) -> None:
        self.owned_tasks.pop(owned_task, None)
        if not owned_task.cancelled() and owned_task.exception() is not None:
            fault = owned_task.exception()
            assert fault is not None
            self.exceptions.append(fault)
            LOGGER.error("%s: A background task failed. fault=%r", self.prefix, fault, exc_info=fault)
