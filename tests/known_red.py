"""Reads KNOWN-RED.txt: tests and simulator runs that may fail because of a known fault, each by its exact name.

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
    """A listed simulator run: its command, the checker that reports its breaches, the cause and the issue."""

    name: str
    checker: str
    cause: str
    issue: str


@dataclass(frozen=True)
class KnownRedTest:
    """A listed test: its id as the test runner prints it, the cause and the issue."""

    test_id: str
    cause: str
    issue: str


class Judgement(enum.Enum):
    """What the outcome of a test means: the test is not listed, fails as listed, or is listed and passes."""

    AS_IS = "as it is"
    KNOWN_RED = "known red"
    STALE = "stale"


def _split_lines(text: str) -> list[list[str]]:
    """The three parts of each line. Raises ValueError for a line without them, or over `MOST_ENTRIES` lines."""
    rows = [[part.strip() for part in line.split("|")] for line in text.splitlines() if line.strip()]
    for row in rows:
        if len(row) != 3 or not all(row):
            raise ValueError(" | ".join(row))
    if len(rows) > MOST_ENTRIES:
        raise ValueError(f"{len(rows)} entries, at most {MOST_ENTRIES} are allowed")
    return rows


def read_known_red(text: str) -> list[KnownRed]:
    """The listed simulator runs. Raises ValueError for an invalid list, or for a run without a checker."""
    runs = []
    for name, checker_and_cause, issue in _split_lines(text):
        if not name.startswith(RUN_PREFIX):
            continue
        checker, _, cause = checker_and_cause.partition(": ")
        if not (checker and cause):
            raise ValueError(f"{name}: no checker before the cause")
        runs.append(KnownRed(name, checker, cause, issue))
    return runs


def read_known_red_tests(text: str) -> dict[str, KnownRedTest]:
    """The listed tests by id. Raises ValueError for an invalid list."""
    rows = [row for row in _split_lines(text) if not row[0].startswith(RUN_PREFIX)]
    return {row[0]: KnownRedTest(*row) for row in rows}


def judge(test_id: str, has_failed: bool, known: dict[str, KnownRedTest]) -> Judgement:
    """Judges the outcome of a test. A listed test may fail; one that passes must be taken off the list."""
    if test_id not in known:
        return Judgement.AS_IS
    return Judgement.KNOWN_RED if has_failed else Judgement.STALE


def load_known_red_tests() -> dict[str, KnownRedTest]:
    """The tests listed in the KNOWN-RED.txt at the root, if there is one."""
    return read_known_red_tests(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")


def is_known(failure: str, breaches: list[str], known: list[KnownRed]) -> bool:
    """Whether a run is listed, and all of its breaches come from the checker that is listed with it.

    The first line of `failure` is the command of the run; a breach begins with the name of its checker and a colon.
    """
    return any(
        failure.splitlines()[0] == known_run.name
        and bool(breaches)
        and all(breach.split(":")[0] == known_run.checker for breach in breaches)
        for known_run in known
    )
