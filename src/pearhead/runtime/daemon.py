"""What the core and router daemons share (§3.4): the log format, and shutdown on signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from pearhead.runtime.text import escape_controls

LOGGER = logging.getLogger("pearhead")
FORMAT_ERROR_TEXT = "log: A record could not be formatted."


class LineFormatter(logging.Formatter):
    """Formats records as `TIME LEVEL part: Short sentence. name=value ...` (§3.4).

    The time is the machine's wall-clock time in UTC; it is for readers only and no decision depends on it. Its text
    down to the second is cached.
    """

    def __init__(self, now_nanos: Callable[[], int] = time.time_ns) -> None:
        super().__init__()
        self.now_nanos = now_nanos
        self.second = -1
        self.second_text = ""

    def format(self, record: Any) -> str:
        """Formats a record as one line, followed by the traceback if it has an exception."""
        second, nanos = divmod(self.now_nanos(), 1_000_000_000)
        if second != self.second:
            self.second, self.second_text = second, time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        try:
            # Names come from operators and workers, and must not look like further lines of the log.
            message = escape_controls(record.getMessage())
        except (TypeError, ValueError):
            # A log call whose arguments don't match its text must not fail its caller.
            message = f"{FORMAT_ERROR_TEXT} text={record.msg!r}"
        line = f"{self.second_text}.{nanos // 1_000:06d}Z {record.levelname} {message}"
        if not record.exc_info or record.exc_info[0] is None:
            return line
        return line + "\n" + "".join(traceback.format_exception(*record.exc_info)).rstrip("\n")


def configure_logging(level_name: str) -> None:
    """Sends the project logger's records of `level_name` and above to standard error, formatted by `LineFormatter`."""
    # Don't collect the record fields that no line shows (Python's logging HOWTO, "Optimization").
    logging.logThreads = False
    logging.logMultiprocessing = False
    logging.logProcesses = False
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(LineFormatter())
    LOGGER.handlers = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(level_name)


async def serve_until_stopped(
    drain: Callable[[], Awaitable[None]],
    failed: asyncio.Event,
    on_signal: Callable[[], None] = lambda: None,
) -> int:
    """Waits for a signal or for `failed`, and drains before it returns the exit code.

    The first SIGTERM or SIGINT starts `drain`; a second one, or `failed`, ends the wait for it at once. Returns 1 if
    `failed` is set before a signal arrives, else 0. `on_signal` is called in the signal handler itself, so possibly in
    the middle of a callback of the event loop.
    """
    event_loop = asyncio.get_running_loop()
    stop_events = [asyncio.Event(), asyncio.Event()]

    def handle_signal() -> None:
        stop_events[1 if stop_events[0].is_set() else 0].set()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(signal_number, handle_signal)
        _call_on_signal(signal_number, on_signal)
    gc.freeze()
    first_signal = asyncio.ensure_future(stop_events[0].wait())
    failure_wait = asyncio.ensure_future(failed.wait())
    await asyncio.wait([first_signal, failure_wait], return_when=asyncio.FIRST_COMPLETED)
    if failed.is_set():
        return 1
    LOGGER.info("daemon: Received a stop signal, draining.")
    drain_task = asyncio.ensure_future(drain())
    second_signal = asyncio.ensure_future(stop_events[1].wait())
    await asyncio.wait([drain_task, second_signal, failure_wait], return_when=asyncio.FIRST_COMPLETED)
    LOGGER.info("daemon: Stopping.")
    return 0


def _call_on_signal(signal_number: int, on_signal: Callable[[], None]) -> None:
    """Calls `on_signal` at once, also while the event loop is busy, which itself gets the signal by its wakeup pipe."""
    signal.signal(signal_number, lambda number, frame: on_signal())
    # `signal.signal` makes the signal interrupt system calls again, so restarting them is switched back on.
    signal.siginterrupt(signal_number, False)
