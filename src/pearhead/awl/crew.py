"""Crew (§2.2): the tasks one process owns, started together and ended together."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import picologging

LOGGER = picologging.getLogger("pearhead")


class Crew:
    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.ownTasks: dict[asyncio.Task[Any], None] = {}
        self.faults: list[BaseException] = []

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        ownTask = asyncio.get_running_loop().create_task(work)
        self.ownTasks[ownTask] = None
        ownTask.add_done_callback(self._ended)
        return ownTask

    def stop(self) -> None:
        for ownTask in list(self.ownTasks):
            ownTask.cancel()

    def _ended(self, ownTask: asyncio.Task[Any]) -> None:
        self.ownTasks.pop(ownTask, None)
        if not ownTask.cancelled() and ownTask.exception() is not None:
            fault = ownTask.exception()
            assert fault is not None
            self.faults.append(fault)
            LOGGER.error("%s: A task ended. fault=%r", self.prefix, fault, exc_info=fault)
