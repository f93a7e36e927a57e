"""CountPlugin: counts nose2's outcomes for the closing line, and passes over the tests of KNOWN-RED.txt."""

from __future__ import annotations

import sys
from typing import Any

from nose2 import events

from tests.known_red import Judgement, KnownRedTest, judge, load_known_red_tests

OUTCOMES = {"passed": 0, "failed": 0}
KNOWN_RED_TESTS: dict[str, KnownRedTest] = {}
# The ids of listed tests that failed, as they may.
KNOWN_RED_SEEN: set[str] = set()


def missing_known_red() -> list[str]:
    """Listed tests that did not fail in this run: they passed, or no test has that id."""
    return sorted(set(KNOWN_RED_TESTS) - KNOWN_RED_SEEN)


class CountPlugin(events.Plugin):  # type: ignore[misc]
    configSection = "count"
    alwaysOn = True

    def __init__(self) -> None:
        KNOWN_RED_TESTS.update(load_known_red_tests())

    def setTestOutcome(self, event: Any) -> None:
        """Before anybody counts: a listed test that fails is reported as skipped, one that passes as failed."""
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
            event.exc_info = _failure(f"{test_id} passes: take its line out of KNOWN-RED.txt")

    def testOutcome(self, event: Any) -> None:
        if event.outcome == "subtest":
            # A good subtest is part of its test; a bad one counts by itself.
            OUTCOMES["failed"] += event.exc_info is not None
        elif event.test.id() not in KNOWN_RED_SEEN:
            OUTCOMES["passed" if event.outcome == "passed" else "failed"] += 1


def _failure(text: str) -> Any:
    """As the runner hands over a failed assertion."""
    try:
        raise AssertionError(text)
    except AssertionError:
        return sys.exc_info()
