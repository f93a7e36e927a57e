"""NodeCountTracker (§8.9): the number of router nodes that fleet-wide limits are divided among."""

from __future__ import annotations

from pearhead.runtime.clock import Clock


class NodeCountTracker:
    """Keeps the largest number of nodes seen within `retention_micros`.

    A node that is partitioned from the others soon lists only itself, while both sides still serve. Its share of
    retries and connections must not grow because of that.
    """

    def __init__(self, clock: Clock, retention_micros: int) -> None:
        self.clock = clock
        self.retention_micros = retention_micros
        self.max_count = 1
        self.max_seen_micros = clock.now()

    def record(self, listed_count: int) -> int:
        """Records the number of nodes listed now and returns the number to divide limits by."""
        now_micros = self.clock.now()
        if listed_count >= self.max_count or now_micros - self.max_seen_micros > self.retention_micros:
            self.max_count = listed_count
            self.max_seen_micros = now_micros
        return self.max_count
