"""FleetRetryBudget (§8.10): one budget of further tries for the whole fleet, kept at each node without asking."""

from __future__ import annotations

from pearhead.runtime.clock import Clock


class FleetRetryBudget:
    """A node may spend its share of what the fleet may: a part of its own requests, and of the free tries.

    `ratio`: tries a request; `slack`: free tries of the whole fleet in `window_micros`. Four fifths of both are used,
    as nodes do not know exactly how many they are.
    """

    USED_SHARE = 0.8

    def __init__(self, clock: Clock, ratio: float, slack: int, window_micros: int) -> None:
        self.clock = clock
        self.ratio = ratio * self.USED_SHARE
        self.slack = slack * self.USED_SHARE
        self.window_micros = window_micros
        self.credits: dict[str, tuple[float, int]] = {}
        self.spent = 0

    def deposit(self, service: str, node_count: int) -> None:
        credit = self._credit(service, node_count) + self.ratio
        self.credits[service] = (min(credit, self._max_credit(node_count)), self.clock.now())

    def try_withdraw(self, service: str, node_count: int) -> bool:
        credit = self._credit(service, node_count)
        if credit < 1.0:
            return False
        self.credits[service] = (credit - 1.0, self.clock.now())
        self.spent += 1
        return True

    def _max_credit(self, node_count: int) -> float:
        # Half of a window's slack at once: the other half comes back within the window.
        return max(1.0, self.slack / max(node_count, 1) / 2)

    def _credit(self, service: str, node_count: int) -> float:
        now_micros = self.clock.now()
        max_credit = self._max_credit(node_count)
        credit, at_micros = self.credits.get(service, (max_credit, now_micros))
        grown = (now_micros - at_micros) / self.window_micros * self.slack / max(node_count, 1) / 2
        return min(credit + grown, max_credit)
