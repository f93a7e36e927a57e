"""Crew (§2.2): the tasks one process owns, started together and ended together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

LOGGER = logging.getLogger("pearhead")


class Crew:
    """A group of tasks; the exceptions that end tasks are logged and kept in `faults`."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.own_tasks: dict[asyncio.Task[Any], None] = {}
        self.faults: list[BaseException] = []

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task that belongs to the group until it ends."""
        own_task = asyncio.get_running_loop().create_task(work)
        self.own_tasks[own_task] = None
        own_task.add_done_callback(self._ended)
        return own_task

    def stop(self) -> None:
        """Cancels all tasks that still run."""
        for own_task in list(self.own_tasks):
            own_task.cancel()

    def _ended(self, own_task: asyncio.Task[Any]) -> None:
        self.own_tasks.pop(own_task, None)
        if not own_task.cancelled() and own_task.exception() is not None:
            fault = own_task.exception()
            assert fault is not None
            self.faults.append(fault)
            LOGGER.error("%s: A task ended. fault=%r", self.prefix, fault, exc_info=fault)
