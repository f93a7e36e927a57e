"""CountPlugin: counts nose2's outcomes for the closing line, and passes over the tests that KNOWN-RED.txt lists."""

from __future__ import annotations

from typing import Any

from nose2 import events

from tests.known_red import KNOWN_RED_FILE, KnownRed, read_known_red

OUTCOMES = {"passed": 0, "failed": 0, "known": 0}


def read_listed() -> list[KnownRed]:
    return read_known_red(KNOWN_RED_FILE.read_text() if KNOWN_RED_FILE.exists() else "")


def classify(outcome: str, test_id: str, fault: str, known: list[KnownRed]) -> str:
    """The count that an outcome adds to; `fault` is the name of the exception that ended the test.

    A subtest that fails, and whatever else is not passed, counts as failed, unless this very test is listed with this
    very exception.
    """
    if outcome == "passed":
        return "passed"
    is_listed = any(red.name == test_id and red.checker == fault for red in known)
    return "known" if is_listed and outcome in ("failed", "error") else "failed"


class CountPlugin(events.Plugin):  # type: ignore[misc]
    configSection = "count"
    alwaysOn = True

    def testOutcome(self, event: Any) -> None:
        if event.outcome == "subtest" and event.exc_info is None:
            # A good subtest is part of its test; a bad one counts by itself.
            return
        fault = event.exc_info[0].__name__ if event.exc_info else ""
        counted = classify(event.outcome, event.test.id(), fault, read_listed())
        OUTCOMES[counted] += 1
        if counted == "known":
            print(f"known red: {event.test.id()}", flush=True)
