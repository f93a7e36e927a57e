"""Limits of the platform's rules, and ledger queries shared by several checkers (§9.13).

Times are in whole microseconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.emulator.ledger import ConfigSent, Run, SiteLedger, Trouble, Try

UNEXECUTED_STATUSES = (408, 421, 429, 503)
TROUBLE_ENDS = {"killed": "started", "stopped": "started", "frozen": "woken", "cut": "healed", "faulty": "sound"}


@dataclass(frozen=True)
class Breach:
    """One breach of a rule. `rule`: the rule's name; `what`: a description of the breach."""

    rule: str
    what: str

    def line(self) -> str:
        """The breach as one line of text."""
        return f"{self.rule}: {self.what}"


@dataclass(frozen=True)
class SiteBounds:
    """The limits that the rules name. `is_fenced`: workers themselves refuse orders with a lower fencing token."""

    apply_micros: int = 2_000 * MILLI
    stretch_micros: int = 5_000 * MILLI
    version_micros: int = 8_000 * MILLI
    lease_micros: int = 3_000 * MILLI
    contact_micros: int = 3_000 * MILLI
    retry_ratio: float = 0.2
    retry_window_micros: int = 10 * SECOND
    retry_slack: int = 58
    drain_micros: int = 3_000 * MILLI
    grace_micros: int = 8 * SECOND
    loss_slack_micros: int = 200 * MILLI
    thaw_micros: int = 300 * MILLI
    is_fenced: bool = True


class Checker(Protocol):
    """Checks one rule of the platform, `rule`, against a ledger."""

    rule: str

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of the rule."""
        ...


class ConfigHistory:
    """The configurations that operators sent, in order of time, and what each allows."""

    def __init__(self, ledger: SiteLedger) -> None:
        self.sent = sorted(ledger.configs, key=lambda c: c.sent_at)

    def route_of(self, config: dict[str, Any], host: str, path: str) -> dict[str, Any] | None:
        """The host's route with the longest prefix that matches the path; None if none matches."""
        matching = [r for r in config.get("RouteTable", []) if r["Hostname"] == host and path.startswith(r["Prefix"])]
        return max(matching, key=lambda r: len(r["Prefix"]), default=None)

    def services_of(self, route: dict[str, Any]) -> set[str]:
        """The names of the services to which a route sends requests."""
        return {s["Service"] for s in route["Split"]} if route.get("Split") else {route["Service"]}

    def tenant_of(self, config: dict[str, Any], key: str) -> str:
        """The name of the tenant to which a key belongs in this configuration; empty if there is none."""
        return next((t["Name"] for t in config.get("Tenants", []) if key in t["Keys"]), "")

    def allows(self, config: dict[str, Any], attempt: Try) -> bool:
        """Whether a configuration has a route for the request, and the request's key may use it."""
        route = self.route_of(config, attempt.host, attempt.path)
        if route is None:
            return False
        return bool(route.get("Public")) or not config.get("Tenants") or bool(self.tenant_of(config, attempt.key))

    def possible_at(self, sent_at: int, ended_at: int, apply_micros: int) -> list[ConfigSent]:
        """The configurations that may be in force for a request sent and ended at the given times.

        These are the newest one acknowledged more than `apply_micros` before the request was sent, and all with a
        higher number that were sent before the request ended and were not refused.
        """
        settled = [c for c in self.sent if c.status == 200 and c.ended_at + apply_micros < sent_at]
        newest = max(settled, key=lambda c: c.number, default=None)
        floor = newest.number if newest is not None else -1
        return [
            c for c in self.sent if c is newest or (c.number > floor and c.sent_at <= ended_at and c.status in (0, 200))
        ]


@dataclass(frozen=True)
class TroubleSpan:
    """The time from the beginning to the end of some trouble; both are equal for an event without a duration."""

    trouble: Trouble
    end_at: int

    def overlaps(self, begin_at: int, end_at: int) -> bool:
        """Whether at least a part of it lies between two times, both included."""
        return self.trouble.at <= end_at and self.end_at >= begin_at


def trouble_spans(troubles: Iterable[Trouble]) -> list[TroubleSpan]:
    """One span for each trouble. A lasting trouble without a recorded end counts only at its beginning."""
    in_order = sorted(troubles, key=lambda t: t.at)
    spans = []
    for position, trouble in enumerate(in_order):
        end_event = TROUBLE_ENDS.get(trouble.what)
        ends = (t.at for t in in_order[position + 1 :] if t.name == trouble.name and t.what == end_event)
        spans.append(TroubleSpan(trouble, next(ends, trouble.at)))
    return spans


class TroubleHistory:
    """Tells which processes had trouble around a given time.

    By the rules a process is in contact if it had no trouble in the last `ContactMs` and the core is settled. A reload
    is no trouble.
    """

    def __init__(self, ledger: SiteLedger, bounds: SiteBounds) -> None:
        self.bounds = bounds
        self.spans = trouble_spans(t for t in ledger.troubles if t.what != "reloaded")

    def is_undisturbed(self, name: str, begin_at: int, end_at: int) -> bool:
        """Whether a process had no trouble from `ContactMs` before the first time until the second."""
        return not self._troubled_names(lambda t: t.name == name, begin_at, end_at)

    def troubled_cores(self, begin_at: int, end_at: int) -> set[str]:
        """The core machines that had trouble from `ContactMs` before the first time until the second."""
        return self._troubled_names(lambda t: t.program == "control_plane", begin_at, end_at)

    def _troubled_names(self, is_wanted: Callable[[Trouble], bool], begin_at: int, end_at: int) -> set[str]:
        from_at = begin_at - self.bounds.contact_micros
        return {s.trouble.name for s in self.spans if is_wanted(s.trouble) and s.overlaps(from_at, end_at)}


def runs_by_request(ledger: SiteLedger) -> dict[str, list[Run]]:
    """All runs of each request, by request id."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in ledger.runs:
        runs[run.request_id].append(run)
    return runs


def is_repeatable(attempt: Try) -> bool:
    """Whether the request may run more than once: its kind is safe, or its stream can be resumed."""
    return attempt.kind == "safe" or attempt.resumable


def allowed_worker_count(configs: ConfigHistory, attempt: Try, bounds: SiteBounds) -> int:
    """On how many workers one try may run: the largest `Tries` of the configurations that may be in force.

    0 if none of them has a route for the request.
    """
    possible = configs.possible_at(attempt.sent_at, attempt.ended_at, bounds.apply_micros)
    routes = [configs.route_of(c.body, attempt.host, attempt.path) for c in possible]
    return max((int(r.get("Tries", 0)) for r in routes if r is not None), default=0)


def is_out_of_contact(ledger: SiteLedger, ip: str, at: int, bounds: SiteBounds) -> bool:
    """Whether a machine's process had trouble in the `ContactMs` before a time, or is frozen, dead or cut off at it."""
    machine_troubles = [t for t in ledger.troubles if ip and t.ip == ip and t.at <= at]
    if not machine_troubles:
        return False
    last_trouble = max(machine_troubles, key=lambda t: t.at)
    return last_trouble.what in ("frozen", "killed", "cut") or last_trouble.at > at - bounds.contact_micros
