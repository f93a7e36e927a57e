"""Grace period of weights (§7.4): how long weights may still be used after newer ones were named."""

from __future__ import annotations

from pearhead.config.view import View
from pearhead.router.view_replica import ViewReplica
from pearhead.runtime.clock import Clock


class WeightsGracePeriod:
    """The grace period of a version begins with the first newer version that is named.

    It is counted from the last time that this node knew of no newer version, which is before the naming was
    acknowledged. Each view is recorded when it arrives. If views were recorded with the next request only, those that
    arrive before a node's first request would be missed, and a node that has just started would grant old weights a
    new grace period.
    """

    def __init__(self, clock: Clock, view_replica: ViewReplica, grace_period_micros: int) -> None:
        self.clock = clock
        self.view_replica = view_replica
        self.grace_period_micros = grace_period_micros
        self.seen_view: View | None = None
        self.named_at: dict[tuple[str, int], int] = {}
        view_replica.view_observers.append(self._record_view)

    def may_use(self, view: View, line: str, version: int) -> bool:
        """Whether a version is not superseded, or its grace period has not ended."""
        if view is not self.seen_view:
            self._record_view(view)
        superseded_at = min(
            (at for (named_line, named), at in self.named_at.items() if named_line == line and named > version),
            default=None,
        )
        return superseded_at is None or self.clock.now() - superseded_at < self.grace_period_micros

    def _record_view(self, view: View) -> None:
        self.seen_view = view
        for line, record in view.weights.items():
            if record.weights.isdigit():
                at_micros = self.view_replica.not_acknowledged_before.get((line, record.revision), self.clock.now())
                self.named_at.setdefault((line, int(record.weights)), at_micros)
