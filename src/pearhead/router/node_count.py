"""NodeCountTracker (§8.9): how many front nodes share what is bounded for all of them together."""

from __future__ import annotations

from pearhead.runtime.clock import Clock


class NodeCountTracker:
    """The most nodes known within `retention_micros`.

    A node that is cut off from the others soon lists itself alone while each side still serves: its share of retries
    and connections must not grow for that.
    """

    def __init__(self, clock: Clock, retention_micros: int) -> None:
        self.clock = clock
        self.retention_micros = retention_micros
        self.max_count = 1
        self.max_seen_micros = clock.now()

    def record(self, listed_count: int) -> int:
        """Takes the number listed now and returns the number to share by."""
        now_micros = self.clock.now()
        if listed_count >= self.max_count or now_micros - self.max_seen_micros > self.retention_micros:
            self.max_count = listed_count
            self.max_seen_micros = now_micros
        return self.max_count
