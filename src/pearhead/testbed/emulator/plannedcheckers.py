"""Checkers around planned work (§9.13): workers that drain, and nodes that are stopped, reloaded or reconfigured."""

from __future__ import annotations

from collections.abc import Iterator

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.emulator.ledger import Arrival, ConfigSent, Shown, SiteLedger, Trouble, Try
from pearhead.testbed.emulator.rules import Configs, SiteBounds, Span, Touch, ran_of, spans_of

UNPLANNED = ("killed", "frozen", "woken", "commanded", "cut", "healed", "faulty", "sound")
CUTS_RATIO = 3
USED_SHARE = 0.7
LAST_SIXTH = 5 / 6
EARLY_MICROS = 3 * SECOND
SPARED_CLOSES = 3


class Drain:
    """A request reaches a worker long after the list showed that it drains, the list being up and its node in touch."""

    rule = "DRAIN"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        tries = ledger.try_of()
        spans = spans_of(ledger.troubles)
        shown = {s.instance: s for s in ledger.shown if s.state == "draining"}
        for arrival in ledger.arrivals:
            draining = shown.get(arrival.instance)
            if draining is None or arrival.turned_away == 421:
                continue
            asked = tries.get(arrival.request_id)
            from_at = self._from_at(spans, draining, asked.node if asked else "", arrival, bounds)
            if arrival.at > from_at:
                late_millis = (arrival.at - from_at) // MILLI
                yield f"{arrival.request_id} came to {arrival.worker} {late_millis} ms after it was to be left"

    def _from_at(self, spans: list[Span], draining: Shown, node: str, arrival: Arrival, bounds: SiteBounds) -> int:
        """From when the worker had to be left: trouble of the list or of the node begins the time anew at its end."""
        ends = [
            s.end_at
            for s in spans
            if (s.trouble.program == "cloud" or s.trouble.name == node) and s.trouble.at <= arrival.at
        ]
        in_touch_at = max((at + bounds.contact_micros for at in ends), default=0)
        return max(draining.at, in_touch_at) + bounds.drain_micros


class Lost:
    """Around planned work, in calm times, a request that was read ends without a complete answer; or, at any time,
    requests from kept connections that reached sound workers have no answer at all.

    Planned work: a stop of its node, that node's reload, and a configuration that may be in force.
    """

    rule = "LOST"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        ran = ran_of(ledger)
        passed_on = {a.request_id for a in ledger.arrivals}
        broken_off = {b.request_id for b in ledger.broken_off}
        cut, cut_in_calm = [], []
        unplanned = spans_of(t for t in ledger.troubles if self._is_unplanned(t))
        stops = [s for s in spans_of(ledger.troubles) if s.trouble.what == "stopped" and s.trouble.program == "engine"]
        workers = workers_of(ledger)
        finished_at = {f.request_id: f.at for f in ledger.finished}
        stopped = [t for t in ledger.troubles if t.what == "stopped" and t.program == "router"]
        for asked in ledger.tries:
            is_late = asked.ended_at > asked.sent_at + bounds.loss_slack_micros
            if asked.status or asked.unread or asked.given_up or asked.request_id in broken_off:
                continue
            if not is_late and asked.request_id not in passed_on:
                continue
            if self._has_reached_its_end(ledger, asked):
                continue
            cut.append(asked)
            own_stops = [s for s in stops if s.trouble.name in workers.get(asked.request_id, set())]
            is_troubled = self._is_troubled([*unplanned, *own_stops], asked, bounds)
            worked_until = min(asked.ended_at, finished_at.get(asked.request_id, asked.ended_at))
            was_at_work = asked.request_id in ran and any(
                self._is_excused_by(stop, asked, worked_until, bounds) for stop in stopped
            )
            if not is_troubled and not was_at_work:
                cut_in_calm.append(asked)
        yield from self._beside_stops(stopped, cut_in_calm, bounds)
        yield from self._beside_reloads(ledger, cut_in_calm, bounds)
        yield from self._beside_configs(ledger, cut_in_calm, bounds)
        yield from self._on_kept_connections(ledger, cut, workers, bounds)

    def _is_excused_by(self, stop: Trouble, asked: Try, worked_until: int, bounds: SiteBounds) -> bool:
        """Whether a worker still worked in the last sixth of `GraceS` on a request that was sent soon after SIGTERM.

        It excuses the cut around all planned work, and only while the stopped process may have lived.
        """
        if stop.name != asked.node or not stop.at <= asked.ended_at <= stop.at + bounds.grace_micros + SECOND:
            return False
        last_sixth_at = stop.at + round(bounds.grace_micros * LAST_SIXTH)
        return worked_until >= last_sixth_at and asked.sent_at <= stop.at + EARLY_MICROS

    def _beside_stops(self, stopped: list[Trouble], cut: list[Try], bounds: SiteBounds) -> Iterator[str]:
        for stop in stopped:
            for asked in (a for a in cut if a.node == stop.name):
                end_at = stop.at + bounds.grace_micros + SECOND
                if asked.ended_at >= stop.at and asked.sent_at <= end_at:
                    yield f"{asked.request_id} was cut by {stop.name}, which was stopped as planned"

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

    def _is_unplanned(self, trouble: Trouble) -> bool:
        return trouble.what in UNPLANNED or (trouble.what == "stopped" and trouble.program in ("store", "cloud"))

    def _is_troubled(self, spans: list[Span], asked: Try, bounds: SiteBounds) -> bool:
        from_at = asked.sent_at - bounds.contact_micros
        return any(s.touches(from_at, asked.ended_at) for s in spans)

    def _on_kept_connections(
        self, ledger: SiteLedger, cut: list[Try], workers: dict[str, set[str]], bounds: SiteBounds
    ) -> Iterator[str]:
        """Machines in touch close kept connections on which a request had gone to a sound worker."""
        touch = Touch(ledger, bounds)
        closed = [
            a
            for a in cut
            if a.kept
            and not a.first_at
            and a.request_id in workers
            and not touch.struck_cores(a.sent_at, a.ended_at)
            and all(touch.is_sound(n, a.sent_at, a.ended_at) for n in (a.node, *workers[a.request_id]))
        ]
        if len(closed) > SPARED_CLOSES:
            yield f"{len(closed)} requests of kept connections had no answer, {closed[0].request_id} first"


def workers_of(ledger: SiteLedger) -> dict[str, set[str]]:
    """To which workers each request was passed on."""
    workers: dict[str, set[str]] = {}
    for arrival in ledger.arrivals:
        workers.setdefault(arrival.request_id, set()).add(arrival.worker)
    return workers
