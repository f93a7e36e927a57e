"""Finds errors of the product in the logs of a fleet: lines at level ERROR or above, and tracebacks.

The invariant on the age of the worker list applies to a node only while neither the node nor the list has trouble; its
violations at other times are not reported.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from pathlib import Path

from pearhead.testbed.emulator.rules import TroubleHistory

ERROR_LINE_PATTERN = re.compile(
    r"^(\S+Z (ERROR|CRITICAL) |Traceback \(most recent call last\):|Task exception was never )"
)
STALE_ROSTER_MARKER = " invariant=roster_is_fresh "
TIMESTAMP_LENGTH = len("2026-12-02T03:36:44.250765")
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
MAX_LINES_PER_LOG = 20
CLOUD_PROCESS = "cloud"


def error_lines(log_text: str) -> list[str]:
    """The lines that report an error, or begin a traceback."""
    return [line for line in log_text.splitlines() if ERROR_LINE_PATTERN.match(line)]


def line_time_micros(line: str) -> int:
    """When a log line was written, in microseconds since the Unix epoch."""
    written = datetime.fromisoformat(line[:TIMESTAMP_LENGTH]).replace(tzinfo=UTC)
    return (written - EPOCH) // timedelta(microseconds=1)


class LogScanner:
    """Scans the logs in a folder.

    `trouble_history` tells which processes had trouble when. `boot_time_micros` is the zero of its times, in
    microseconds since the Unix epoch.
    """

    def __init__(self, folder_path: Path, trouble_history: TroubleHistory, boot_time_micros: int) -> None:
        self.folder_path, self.trouble_history, self.boot_time_micros = folder_path, trouble_history, boot_time_micros

    def find_errors(self) -> Iterator[str]:
        """Yields the first MAX_LINES_PER_LOG errors of each log, each after the name of its process."""
        for log_path in sorted(self.folder_path.glob("*.log")):
            lines = error_lines(log_path.read_text(errors="replace"))
            reported = [line for line in lines if not self._is_expected(log_path.stem, line)]
            yield from (f"{log_path.stem}: {line}" for line in reported[:MAX_LINES_PER_LOG])

    def _is_expected(self, name: str, line: str) -> bool:
        if STALE_ROSTER_MARKER not in line:
            return False
        at = line_time_micros(line) - self.boot_time_micros
        return not all(self.trouble_history.is_undisturbed(n, at, at) for n in (name, CLOUD_PROCESS))
