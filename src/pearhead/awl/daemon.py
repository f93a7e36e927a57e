"""Daemon (§3.4): what both daemons do alike: logs, signals, one clear line when they can't start."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable

import picologging

LOGGER = picologging.getLogger("pearhead")


def open_logs(levelName: str) -> None:
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    LOGGER.handlers = [handler]
    LOGGER.setLevel(getattr(picologging, levelName))


async def serve_until_stopped(drain: Callable[[], Awaitable[None]], failed: asyncio.Event) -> int:
    """The first SIGTERM drains, a second one stops at once."""
    eventLoop = asyncio.get_running_loop()
    stopEvents = [asyncio.Event(), asyncio.Event()]

    def take_signal() -> None:
        stopEvents[1 if stopEvents[0].is_set() else 0].set()

    for signalNumber in (signal.SIGTERM, signal.SIGINT):
        eventLoop.add_signal_handler(signalNumber, take_signal)
    gc.freeze()
    firstStop = asyncio.ensure_future(stopEvents[0].wait())
    failure = asyncio.ensure_future(failed.wait())
    await asyncio.wait([firstStop, failure], return_when=asyncio.FIRST_COMPLETED)
    if failed.is_set():
        return 1
    LOGGER.info("daemon: Drains.")
    drainTask = asyncio.ensure_future(drain())
    secondStop = asyncio.ensure_future(stopEvents[1].wait())
    await asyncio.wait([drainTask, secondStop, failure], return_when=asyncio.FIRST_COMPLETED)
    LOGGER.info("daemon: Stops.")
    return 0
