"""Processor time and resident memory of one process, as the kernel counts them (§9.12)."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICK_MICROS = 1_000_000 // os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class ProcessStat:
    """Processor time in microseconds since the start, resident memory in bytes, open file descriptors."""

    cpu_micros: int
    resident_bytes: int
    descriptors: int


def read_process_stat(process_id: int) -> ProcessStat:
    """Reads the figures from /proc. Raises OSError if the process is gone."""
    folder = Path(f"/proc/{process_id}")
    fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
    pages = int((folder / "statm").read_text().split()[1])
    return ProcessStat(
        (int(fields[11]) + int(fields[12])) * TICK_MICROS,
        pages * os.sysconf("SC_PAGE_SIZE"),
        len(list((folder / "fd").iterdir())),
    )


def read_machine_memory() -> int:
    """The machine's memory in bytes. OSError if /proc does not tell it."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * 1024
    raise OSError("/proc/meminfo has no MemTotal line")


def read_busy_micros() -> int:
    """Processor time of the whole machine in microseconds, idle time and waiting for I/O left out."""
    fields = [int(x) for x in Path("/proc/stat").read_text().splitlines()[0].split()[1:]]
    return (sum(fields[:8]) - fields[3] - fields[4]) * TICK_MICROS
