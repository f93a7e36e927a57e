"""A nose2 plugin that counts outcomes for the last line of tests/run.py and lets the tests of KNOWN-RED.txt fail."""

from __future__ import annotations

import sys
from typing import Any

from nose2 import events

from tests.known_red import Judgement, KnownRedTest, judge, load_known_red_tests

OUTCOMES = {"passed": 0, "failed": 0}
KNOWN_RED_TESTS: dict[str, KnownRedTest] = {}
# Ids of the tests listed in KNOWN-RED.txt that have failed in this run.
KNOWN_RED_SEEN: set[str] = set()


def missing_known_red() -> list[str]:
    """Ids listed in KNOWN-RED.txt that did not fail in this run: the test passed, or there is no such test."""
    return sorted(set(KNOWN_RED_TESTS) - KNOWN_RED_SEEN)


class CountPlugin(events.Plugin):  # type: ignore[misc]
    """Hooks of nose2, called under these names."""

    configSection = "count"
    alwaysOn = True

    def __init__(self) -> None:
        KNOWN_RED_TESTS.update(load_known_red_tests())

    def setTestOutcome(self, event: Any) -> None:
        """Changes the outcome of listed tests before any plugin counts it: a failure becomes skipped, a pass failed."""
        if event.outcome in ("skipped", "subtest"):
            return
        test_id = event.test.id()
        judgement = judge(test_id, event.outcome != "passed", KNOWN_RED_TESTS)
        if judgement is Judgement.KNOWN_RED:
            KNOWN_RED_SEEN.add(test_id)
            event.outcome, event.exc_info = "skipped", None
            event.reason = f"known red: {KNOWN_RED_TESTS[test_id].cause}"
        elif judgement is Judgement.STALE:
            event.outcome, event.expected = "failed", False
            event.exc_info = _failure_info(f"{test_id} passes: remove its line from KNOWN-RED.txt")

    def testOutcome(self, event: Any) -> None:
        if event.outcome == "subtest":
            # A subtest that passes counts with its test; one that fails counts by itself.
            OUTCOMES["failed"] += event.exc_info is not None
        elif event.test.id() not in KNOWN_RED_SEEN:
            OUTCOMES["passed" if event.outcome == "passed" else "failed"] += 1


def _failure_info(text: str) -> Any:
    """The exc_info of a failed assertion, as nose2 passes it in events."""
    try:
        raise AssertionError(text)
    except AssertionError:
        return sys.exc_info()
