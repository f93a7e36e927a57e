"""Checkers for planned operations (§9.13): draining workers, and nodes stopped, reloaded or reconfigured."""

from __future__ import annotations

from collections.abc import Iterator

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.emulator.ledger import Arrival, ConfigSent, Shown, SiteLedger, Trouble, Try
from pearhead.testbed.emulator.rules import (
    ConfigHistory,
    SiteBounds,
    TroubleHistory,
    TroubleSpan,
    runs_by_request,
    trouble_spans,
)

UNPLANNED_TROUBLES = ("killed", "frozen", "woken", "commanded", "cut", "healed", "faulty", "sound")
MAX_CUT_RATIO = 3
DEADLINE_USED_SHARE = 0.7
LAST_SIXTH_START = 5 / 6
EARLY_REQUEST_MICROS = 3 * SECOND
TOLERATED_CLOSES = 3


class DrainChecker:
    """A request reaches a worker more than `drain_micros` after the platform's worker list showed it as draining.

    The time starts anew after any trouble of the list or of the node that forwarded the request.
    """

    rule = "DRAIN"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        tries = ledger.tries_by_id()
        spans = trouble_spans(ledger.troubles)
        shown = {s.instance: s for s in ledger.shown if s.state == "draining"}
        for arrival in ledger.arrivals:
            draining = shown.get(arrival.instance)
            if draining is None or arrival.turned_away == 421:
                continue
            attempt = tries.get(arrival.request_id)
            from_at = self._drain_expiry(spans, draining, attempt.node if attempt else "", arrival, bounds)
            if arrival.at > from_at:
                late_millis = (arrival.at - from_at) // MILLI
                yield f"{arrival.request_id} came to {arrival.worker} {late_millis} ms after it was to be left"

    def _drain_expiry(
        self, spans: list[TroubleSpan], draining: Shown, node: str, arrival: Arrival, bounds: SiteBounds
    ) -> int:
        """The time in microseconds from which the node must send nothing more to a draining worker.

        Trouble of the list or of the node restarts the allowed time, `contact_micros` after the trouble ends.
        """
        ends = [
            s.end_at
            for s in spans
            if (s.trouble.program == "cloud" or s.trouble.name == node) and s.trouble.at <= arrival.at
        ]
        in_contact_at = max((at + bounds.contact_micros for at in ends), default=0)
        return max(draining.at, in_contact_at) + bounds.drain_micros


class LostChecker:
    """A request that a node has read ends without a complete answer around a planned operation, with no fault near.

    Planned operations are a stop or a reload of the request's node, and a configuration that may be in force.
    Independently of these, requests on reused connections that reached undisturbed workers must not go unanswered.
    """

    rule = "LOST"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        ran = runs_by_request(ledger)
        forwarded_ids = {a.request_id for a in ledger.arrivals}
        broken_off = {b.request_id for b in ledger.broken_off}
        cut, cut_undisturbed = [], []
        unplanned = trouble_spans(t for t in ledger.troubles if self._is_unplanned(t))
        stops = [
            s for s in trouble_spans(ledger.troubles) if s.trouble.what == "stopped" and s.trouble.program == "engine"
        ]
        workers = workers_by_request(ledger)
        finished_at = {f.request_id: f.at for f in ledger.finished}
        stopped = [t for t in ledger.troubles if t.what == "stopped" and t.program == "router"]
        for attempt in ledger.tries:
            is_late = attempt.ended_at > attempt.sent_at + bounds.loss_slack_micros
            if attempt.status or attempt.unread or attempt.given_up or attempt.request_id in broken_off:
                continue
            if not is_late and attempt.request_id not in forwarded_ids:
                continue
            if self._has_reached_deadline(ledger, attempt):
                continue
            cut.append(attempt)
            own_stops = [s for s in stops if s.trouble.name in workers.get(attempt.request_id, set())]
            is_troubled = self._overlaps_trouble([*unplanned, *own_stops], attempt, bounds)
            worked_until = min(attempt.ended_at, finished_at.get(attempt.request_id, attempt.ended_at))
            was_running = attempt.request_id in ran and any(
                self._is_excused_by_grace_period(stop, attempt, worked_until, bounds) for stop in stopped
            )
            if not is_troubled and not was_running:
                cut_undisturbed.append(attempt)
        yield from self._cut_by_stops(stopped, cut_undisturbed, bounds)
        yield from self._cut_by_reloads(ledger, cut_undisturbed, bounds)
        yield from self._cut_by_config_changes(ledger, cut_undisturbed, bounds)
        yield from self._unanswered_on_kept_connections(ledger, cut, workers, bounds)

    def _is_excused_by_grace_period(self, stop: Trouble, attempt: Try, worked_until: int, bounds: SiteBounds) -> bool:
        """Whether a worker was still running the request in the last sixth of `GraceS` after the node's SIGTERM.

        The request must have been sent no later than `EARLY_REQUEST_MICROS` after SIGTERM, and cut while the stopped
        process may still have been alive. The excuse holds for every kind of planned operation.
        """
        if stop.name != attempt.node or not stop.at <= attempt.ended_at <= stop.at + bounds.grace_micros + SECOND:
            return False
        last_sixth_at = stop.at + round(bounds.grace_micros * LAST_SIXTH_START)
        return worked_until >= last_sixth_at and attempt.sent_at <= stop.at + EARLY_REQUEST_MICROS

    def _cut_by_stops(self, stopped: list[Trouble], cut: list[Try], bounds: SiteBounds) -> Iterator[str]:
        """Finds requests cut by a node after its SIGTERM, if sent no later than a second after the end of `GraceS`."""
        for stop in stopped:
            for attempt in (a for a in cut if a.node == stop.name):
                end_at = stop.at + bounds.grace_micros + SECOND
                if attempt.ended_at >= stop.at and attempt.sent_at <= end_at:
                    yield f"{attempt.request_id} was cut by {stop.name}, which was stopped as planned"

    def _cut_by_reloads(self, ledger: SiteLedger, cut: list[Try], bounds: SiteBounds) -> Iterator[str]:
        """Finds requests cut by a node after its reload that were sent before the reload must have taken effect."""
        for reload in (t for t in ledger.troubles if t.what == "reloaded"):
            for attempt in (a for a in cut if a.node == reload.name):
                if attempt.sent_at <= reload.at + bounds.apply_micros and attempt.ended_at > reload.at:
                    yield f"{attempt.request_id} was cut by {reload.name}, which was told of new settings"

    def _cut_by_config_changes(self, ledger: SiteLedger, cut: list[Try], bounds: SiteBounds) -> Iterator[str]:
        """Finds nodes that cut over `MAX_CUT_RATIO` times as many of their requests near a configuration as otherwise.

        Requests that had used most of the time until their deadline are not counted as cut near a configuration.
        """
        windows = [self._config_window(c, bounds) for c in ledger.configs if c.status in (0, 200)]

        def is_near_config(attempt: Try) -> bool:
            return any(begin <= attempt.ended_at <= end for begin, end in windows)

        for node in sorted({a.node for a in cut}):
            sent = [t for t in ledger.tries if t.node == node and not t.unread]
            cut_near_config = [
                a for a in cut if a.node == node and is_near_config(a) and not self._has_used_deadline(a)
            ]
            others = [a for a in cut if a.node == node and not is_near_config(a)]
            sent_near_config = max(1, sum(is_near_config(t) for t in sent))
            other_cut_share = len(others) / max(1, len(sent) - sent_near_config)
            if cut_near_config and len(cut_near_config) / sent_near_config > MAX_CUT_RATIO * other_cut_share:
                yield (
                    f"{len(cut_near_config)} requests were cut by {node} beside a configuration, "
                    f"{cut_near_config[0].request_id} first"
                )

    def _config_window(self, sent: ConfigSent, bounds: SiteBounds) -> tuple[int, int]:
        """The times, in microseconds, between which a configuration may be taking effect."""
        return sent.sent_at, sent.ended_at + bounds.apply_micros + SECOND

    def _has_used_deadline(self, attempt: Try) -> bool:
        """Whether most of the time until the request's deadline had passed when it ended."""
        time_micros = attempt.deadline_at - attempt.sent_at
        return bool(attempt.deadline_at) and attempt.ended_at - attempt.sent_at >= DEADLINE_USED_SHARE * time_micros

    def _has_reached_deadline(self, ledger: SiteLedger, attempt: Try) -> bool:
        """Whether the request ended at or after its own deadline or its route's."""
        configs = ConfigHistory(ledger)
        routes = [configs.route_of(c.body, attempt.host, attempt.path) for c in configs.sent]
        limits = [int(r["DeadlineMs"]) * MILLI for r in routes if r is not None and "DeadlineMs" in r]
        end_at = attempt.deadline_at or attempt.ended_at + 1
        return attempt.ended_at >= min([end_at, *(attempt.sent_at + limit for limit in limits)])

    def _is_unplanned(self, trouble: Trouble) -> bool:
        return trouble.what in UNPLANNED_TROUBLES or (
            trouble.what == "stopped" and trouble.program in ("store", "cloud")
        )

    def _overlaps_trouble(self, spans: list[TroubleSpan], attempt: Try, bounds: SiteBounds) -> bool:
        from_at = attempt.sent_at - bounds.contact_micros
        return any(s.overlaps(from_at, attempt.ended_at) for s in spans)

    def _unanswered_on_kept_connections(
        self, ledger: SiteLedger, cut: list[Try], workers: dict[str, set[str]], bounds: SiteBounds
    ) -> Iterator[str]:
        """Finds reused connections closed without an answer, though the request had been forwarded to a worker.

        Counts only requests whose node and workers had no trouble, while no core machine had any either. Up to
        `TOLERATED_CLOSES` of them are tolerated.
        """
        trouble_history = TroubleHistory(ledger, bounds)
        closed = [
            a
            for a in cut
            if a.kept
            and not a.first_at
            and a.request_id in workers
            and not trouble_history.troubled_cores(a.sent_at, a.ended_at)
            and all(trouble_history.is_undisturbed(n, a.sent_at, a.ended_at) for n in (a.node, *workers[a.request_id]))
        ]
        if len(closed) > TOLERATED_CLOSES:
            yield f"{len(closed)} requests of kept connections had no answer, {closed[0].request_id} first"


def workers_by_request(ledger: SiteLedger) -> dict[str, set[str]]:
    """The names of the workers that each request was forwarded to, by request id."""
    workers: dict[str, set[str]] = {}
    for arrival in ledger.arrivals:
        workers.setdefault(arrival.request_id, set()).add(arrival.worker)
    return workers
