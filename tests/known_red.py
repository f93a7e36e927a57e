"""KNOWN-RED.txt: tests and simulator runs that fail for a known fault, passed over by their exact name.

A line is `TEST ID | cause | issue`, or for a simulator run `testbed sim ... | CHECKER: cause | issue`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from pathlib import Path

RUN_PREFIX = "testbed "
MOST_ENTRIES = 3
KNOWN_RED_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True)
class KnownRed:
    """A simulator run: its command, the checker that it breaks, the cause, the issue."""

    name: str
    checker: str
    cause: str
    issue: str


@dataclass(frozen=True)
class KnownRedTest:
    """A test: its id as the test runner names it, the cause, the issue."""

    test_id: str
    cause: str
    issue: str


class Judgement(enum.Enum):
    """What the outcome of a test means in view of KNOWN-RED.txt."""

    AS_IS = "as it is"
    KNOWN_RED = "known red"
    STALE = "stale"


def _split_lines(text: str) -> list[list[str]]:
    """The three parts of each line; raises ValueError for a line without them, or for too many lines."""
    rows = [[part.strip() for part in line.split("|")] for line in text.splitlines() if line.strip()]
    for row in rows:
        if len(row) != 3 or not all(row):
            raise ValueError(" | ".join(row))
    if len(rows) > MOST_ENTRIES:
        raise ValueError(f"{len(rows)} entries, {MOST_ENTRIES} may stand")
    return rows


def read_known_red(text: str) -> list[KnownRed]:
    """The simulator runs. Raises ValueError for a line without its parts, or a run without a checker."""
    found = []
    for name, told, issue in _split_lines(text):
        if not name.startswith(RUN_PREFIX):
            continue
        checker, _, cause = told.partition(": ")
        if not (checker and cause):
            raise ValueError(f"{name}: no checker before the cause")
        found.append(KnownRed(name, checker, cause, issue))
    return found


def read_known_red_tests(text: str) -> dict[str, KnownRedTest]:
    """The tests, by id. Raises ValueError for a line without its parts."""
    rows = [row for row in _split_lines(text) if not row[0].startswith(RUN_PREFIX)]
    return {row[0]: KnownRedTest(*row) for row in rows}


def judge(test_id: str, has_failed: bool, known: dict[str, KnownRedTest]) -> Judgement:
    """A listed test may fail; one that passes is listed wrongly, and its line must go."""
    if test_id not in known:
        return Judgement.AS_IS
    return Judgement.KNOWN_RED if has_failed else Judgement.STALE


def load_known_red_tests() -> dict[str, KnownRedTest]:
    """The tests of the file at the root."""
    return read_known_red_tests(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")


def is_known(failure: str, breaches: list[str], known: list[KnownRed]) -> bool:
    """Whether this very run is listed and broke nothing but what is listed."""
    return any(
        failure.splitlines()[0] == red.name
        and bool(breaches)
        and all(breach.split(":")[0] == red.checker for breach in breaches)
        for red in known
    )
