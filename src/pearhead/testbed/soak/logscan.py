"""Finds what a fleet's own logs tell of faults inside the product: lines at ERROR or above, and tracebacks."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

FAULT_LINE = re.compile(
    r"^\S+Z (ERROR|CRITICAL) .*|^Traceback \(most recent call last\):.*|^Task exception was never.*"
)
MOST_LINES = 20


def fault_lines(log_text: str) -> list[str]:
    """The lines that tell of a fault."""
    return [line for line in log_text.splitlines() if FAULT_LINE.match(line)]


def scan_logs(folder_path: Path) -> Iterator[str]:
    """What each process's log tells, the first lines of each."""
    for log_path in sorted(folder_path.glob("*.log")):
        for line in fault_lines(log_path.read_text(errors="replace"))[:MOST_LINES]:
            yield f"{log_path.stem}: {line}"
