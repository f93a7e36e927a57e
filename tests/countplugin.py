"""CountPlugin: counts nose2's outcomes for the closing line."""

from __future__ import annotations

from typing import Any

from nose2 import events

OUTCOMES = {"passed": 0, "failed": 0}


class CountPlugin(events.Plugin):  # type: ignore[misc]
    configSection = "count"
    alwaysOn = True

    def testOutcome(self, event: Any) -> None:
        isGood = event.outcome == "passed" or event.outcome == "skipped"
        OUTCOMES["passed" if isGood and event.expected else "failed"] += 1
