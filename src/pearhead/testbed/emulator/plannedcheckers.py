"""Checkers around planned work (§9.13): workers that drain, and nodes that are stopped, reloaded or reconfigured."""

from __future__ import annotations

from collections.abc import Iterator

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.emulator.ledger import Arrival, ConfigSent, Shown, SiteLedger, Trouble, Try
from pearhead.testbed.emulator.rules import Configs, SiteBounds, ran_of

UNPLANNED = ("killed", "frozen", "woken", "commanded")
CUTS_RATIO = 3
USED_SHARE = 0.7
# What a worker still runs so late in a stop may be cut, if it was sent soon after the stop began.
LAST_SHARE_OF_GRACE = 6
SENT_SOON_MICROS = 3 * SECOND


class Drain:
    """A request reaches a worker long after the list showed that it drains, the list being up and its node in touch."""

    rule = "DRAIN"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        tries = ledger.try_of()
        shown = {s.instance: s for s in ledger.shown if s.state == "draining"}
        for arrival in ledger.arrivals:
            draining = shown.get(arrival.instance)
            if draining is None or arrival.turned_away == 421:
                continue
            asked = tries.get(arrival.request_id)
            from_at = self._from_at(ledger, draining, asked.node if asked else "", arrival, bounds)
            if arrival.at > from_at:
                late_millis = (arrival.at - from_at) // MILLI
                yield f"{arrival.request_id} came to {arrival.worker} {late_millis} ms after it was to be left"

    def _from_at(self, ledger: SiteLedger, draining: Shown, node: str, arrival: Arrival, bounds: SiteBounds) -> int:
        """From when the worker had to be left: trouble of the list or of the node begins the time anew."""
        troubles = [
            t.at for t in ledger.troubles if (t.program == "cloud" or t.name == node) and self._counts(t, arrival)
        ]
        in_touch_at = max((at + bounds.contact_micros for at in troubles), default=0)
        return max(draining.at, in_touch_at) + bounds.drain_micros

    def _counts(self, trouble: Trouble, arrival: Arrival) -> bool:
        return trouble.at <= arrival.at


class Lost:
    """Around planned work, in calm times, a request that was read ends without a complete answer.

    Planned work: a stop of its node, that node's reload, and a configuration that may be in force.
    """

    rule = "LOST"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        ran = ran_of(ledger)
        passed_on = {a.request_id for a in ledger.arrivals}
        broken_off = {b.request_id for b in ledger.broken_off}
        cut = []
        for asked in ledger.tries:
            is_late = asked.ended_at > asked.sent_at + bounds.loss_slack_micros
            if asked.status or asked.unread or asked.given_up or asked.request_id in broken_off:
                continue
            if not is_late and asked.request_id not in passed_on:
                continue
            if self._has_reached_its_end(ledger, asked) or self._is_troubled(ledger, asked, bounds):
                continue
            cut.append(asked)
        yield from self._beside_stops(ledger, cut, set(ran), bounds)
        yield from self._beside_reloads(ledger, cut, bounds)
        yield from self._beside_configs(ledger, cut, bounds)

    def _beside_stops(self, ledger: SiteLedger, cut: list[Try], ran: set[str], bounds: SiteBounds) -> Iterator[str]:
        for stopped in (t for t in ledger.troubles if t.what == "stopped" and t.program == "router"):
            for asked in (a for a in cut if a.node == stopped.name):
                is_around = asked.ended_at >= stopped.at and asked.sent_at <= (
                    stopped.at + bounds.grace_micros + SECOND
                )
                if is_around and not self._was_at_work_at_the_end(asked, stopped, ran, bounds):
                    yield f"{asked.request_id} was cut by {stopped.name}, which was stopped as planned"

    def _was_at_work_at_the_end(self, asked: Try, stopped: Trouble, ran: set[str], bounds: SiteBounds) -> bool:
        last_at = stopped.at + bounds.grace_micros - bounds.grace_micros // LAST_SHARE_OF_GRACE
        is_sent_soon = asked.sent_at <= stopped.at + SENT_SOON_MICROS
        return asked.request_id in ran and is_sent_soon and asked.ended_at >= last_at

    def _beside_reloads(self, ledger: SiteLedger, cut: list[Try], bounds: SiteBounds) -> Iterator[str]:
        for told in (t for t in ledger.troubles if t.what == "reloaded"):
            for asked in (a for a in cut if a.node == told.name):
                if asked.sent_at <= told.at + bounds.apply_micros and asked.ended_at > told.at:
                    yield f"{asked.request_id} was cut by {told.name}, which was told of new settings"

    def _beside_configs(self, ledger: SiteLedger, cut: list[Try], bounds: SiteBounds) -> Iterator[str]:
        """Counts only where a node cuts over three times as often then as at other times."""
        windows = [self._window(c, bounds) for c in ledger.configs if c.status in (0, 200)]

        def is_beside(asked: Try) -> bool:
            return any(begin <= asked.ended_at <= end for begin, end in windows)

        for node in sorted({a.node for a in cut}):
            sent = [t for t in ledger.tries if t.node == node and not t.unread]
            beside = [a for a in cut if a.node == node and is_beside(a) and not self._has_used_its_time(a)]
            others = [a for a in cut if a.node == node and not is_beside(a)]
            sent_beside = max(1, sum(is_beside(t) for t in sent))
            share_of_others = len(others) / max(1, len(sent) - sent_beside)
            if beside and len(beside) / sent_beside > CUTS_RATIO * share_of_others:
                yield f"{len(beside)} requests were cut by {node} beside a configuration, {beside[0].request_id} first"

    def _window(self, sent: ConfigSent, bounds: SiteBounds) -> tuple[int, int]:
        return sent.sent_at, sent.ended_at + bounds.apply_micros + SECOND

    def _has_used_its_time(self, asked: Try) -> bool:
        time_micros = asked.deadline_at - asked.sent_at
        return bool(asked.deadline_at) and asked.ended_at - asked.sent_at >= USED_SHARE * time_micros

    def _has_reached_its_end(self, ledger: SiteLedger, asked: Try) -> bool:
        """The client's deadline, or the route's."""
        configs = Configs(ledger)
        routes = [configs.route_of(c.body, asked.host, asked.path) for c in configs.sent]
        limits = [int(r["DeadlineMs"]) * MILLI for r in routes if r is not None and "DeadlineMs" in r]
        end_at = asked.deadline_at or asked.ended_at + 1
        return asked.ended_at >= min([end_at, *(asked.sent_at + limit for limit in limits)])

    def _is_troubled(self, ledger: SiteLedger, asked: Try, bounds: SiteBounds) -> bool:
        from_at = asked.sent_at - bounds.contact_micros
        return any(
            from_at <= t.at <= asked.ended_at
            and (t.what in UNPLANNED or (t.what == "stopped" and t.program in ("engine", "store", "cloud")))
            for t in ledger.troubles
        )
