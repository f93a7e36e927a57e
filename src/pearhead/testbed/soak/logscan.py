"""Finds what a fleet's own logs tell of faults inside the product: lines at ERROR or above, and tracebacks.

An invariant on the age of the list of workers binds a node only while the list answers and the node is in touch.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from pathlib import Path

from pearhead.testbed.emulator.rules import Touch

FAULT_LINE = re.compile(r"^(\S+Z (ERROR|CRITICAL) |Traceback \(most recent call last\):|Task exception was never )")
FRESHNESS_MARK = " invariant=roster_is_fresh "
TIME_LENGTH = len("2026-12-02T03:36:44.250765")
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
MOST_LINES = 20
LIST_NAME = "cloud"


def fault_lines(log_text: str) -> list[str]:
    """The lines that tell of a fault."""
    return [line for line in log_text.splitlines() if FAULT_LINE.match(line)]


def time_of(line: str) -> int:
    """When a line was written, in microseconds of the time of day."""
    written = datetime.fromisoformat(line[:TIME_LENGTH]).replace(tzinfo=UTC)
    return (written - EPOCH) // timedelta(microseconds=1)


class LogScan:
    """Reads the logs of a folder.

    `touch` tells which processes were in touch when; `boot_micros` is the time of day at the zero of its times.
    """

    def __init__(self, folder_path: Path, touch: Touch, boot_micros: int) -> None:
        self.folder_path, self.touch, self.boot_micros = folder_path, touch, boot_micros

    def find(self) -> Iterator[str]:
        """What each process's log tells, the first lines of each."""
        for log_path in sorted(self.folder_path.glob("*.log")):
            lines = fault_lines(log_path.read_text(errors="replace"))
            counted = [line for line in lines if not self._is_excused(log_path.stem, line)]
            yield from (f"{log_path.stem}: {line}" for line in counted[:MOST_LINES])

    def _is_excused(self, name: str, line: str) -> bool:
        if FRESHNESS_MARK not in line:
            return False
        at = time_of(line) - self.boot_micros
        return not all(self.touch.is_sound(n, at, at) for n in (name, LIST_NAME))
