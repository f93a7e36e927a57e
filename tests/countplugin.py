"""CountPlugin: counts nose2's outcomes for the closing line."""

from __future__ import annotations

from typing import Any

from nose2 import events

OUTCOMES = {"passed": 0, "failed": 0}


class CountPlugin(events.Plugin):  # type: ignore[misc]
    configSection = "count"
    alwaysOn = True

    def testOutcome(self, event: Any) -> None:
        if event.outcome == "subtest":
            # A good subtest is part of its test; a bad one counts by itself.
            OUTCOMES["failed"] += event.exc_info is not None
        else:
            OUTCOMES["passed" if event.outcome == "passed" else "failed"] += 1
