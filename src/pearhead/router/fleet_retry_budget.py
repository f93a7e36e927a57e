"""FleetRetryBudget (§8.10): a fleet-wide retry budget that each node keeps to without coordination."""

from __future__ import annotations

from pearhead.runtime.clock import Clock


class FleetRetryBudget:
    """A node's share of the fleet's retries: a ratio of its own requests, plus its part of the fleet's free retries.

    Each service has its own credit. `ratio`: retries per request. `slack`: free retries of the whole fleet within
    `window_micros`. Only four fifths of both (USABLE_SHARE) are used, as nodes do not know the exact number of nodes.
    """

    USABLE_SHARE = 0.8

    def __init__(self, clock: Clock, ratio: float, slack: int, window_micros: int) -> None:
        self.clock = clock
        self.ratio = ratio * self.USABLE_SHARE
        self.slack = slack * self.USABLE_SHARE
        self.window_micros = window_micros
        self.credits: dict[str, tuple[float, int]] = {}
        self.retry_count = 0

    def deposit(self, service: str, node_count: int) -> None:
        """Adds the credit that one request earns."""
        credit = self._credit(service, node_count) + self.ratio
        self.credits[service] = (min(credit, self._max_credit(node_count)), self.clock.now())

    def try_withdraw(self, service: str, node_count: int) -> bool:
        """Spends the credit for one retry; returns False if less than one is left."""
        credit = self._credit(service, node_count)
        if credit < 1.0:
            return False
        self.credits[service] = (credit - 1.0, self.clock.now())
        self.retry_count += 1
        return True

    def _max_credit(self, node_count: int) -> float:
        # At most half of a window's slack may be spent at once: the other half is replenished within the window.
        return max(1.0, self.slack / max(node_count, 1) / 2)

    def _credit(self, service: str, node_count: int) -> float:
        now_micros = self.clock.now()
        max_credit = self._max_credit(node_count)
        credit, updated_micros = self.credits.get(service, (max_credit, now_micros))
        replenished = (now_micros - updated_micros) / self.window_micros * self.slack / max(node_count, 1) / 2
        return min(credit + replenished, max_credit)
