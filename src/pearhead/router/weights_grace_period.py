"""WeightsGracePeriod (§7.4): how long weights may still be used after newer ones were named."""

from __future__ import annotations

from pearhead.config.view import View
from pearhead.router.view_replica import ViewReplica
from pearhead.runtime.clock import Clock


class WeightsGracePeriod:
    """The first naming after a version counts, from when this node last knew of none: that was before its yes.

    Each view is noted as it comes in. Noted with the next request only, those that came before a node's first request
    would be missed, and a node that has just started would grant old weights a time anew.
    """

    def __init__(self, clock: Clock, view_replica: ViewReplica, grace_period_micros: int) -> None:
        self.clock = clock
        self.view_replica = view_replica
        self.grace_period_micros = grace_period_micros
        self.seen_view: View | None = None
        self.named_at: dict[tuple[str, int], int] = {}
        view_replica.view_observers.append(self._note)

    def may_use(self, view: View, line: str, version: int) -> bool:
        if view is not self.seen_view:
            self._note(view)
        superseded = min(
            (at for (named_line, named), at in self.named_at.items() if named_line == line and named > version),
            default=None,
        )
        return superseded is None or self.clock.now() - superseded < self.grace_period_micros

    def _note(self, view: View) -> None:
        self.seen_view = view
        for line, fact in view.weights.items():
            if fact.weights.isdigit():
                at_micros = self.view_replica.named_after.get((line, fact.revision), self.clock.now())
                self.named_at.setdefault((line, int(fact.weights)), at_micros)
