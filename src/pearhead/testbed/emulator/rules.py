"""Rules (§9.13): the figures of the platform's rules, and what several checkers read from a ledger.

Times in whole microseconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.emulator.ledger import ConfigSent, Run, SiteLedger, Trouble, Try

PROMISES = (408, 421, 429, 503)
LASTS_UNTIL = {"killed": "started", "stopped": "started", "frozen": "woken", "cut": "healed", "faulty": "sound"}


@dataclass(frozen=True)
class Breach:
    rule: str
    what: str

    def line(self) -> str:
        return f"{self.rule}: {self.what}"


@dataclass(frozen=True)
class SiteBounds:
    """The figures of the rules. `is_fenced`: workers refuse a lower fence themselves."""

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
    rule: str

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]: ...


class Configs:
    """What the configurations of a ledger allow."""

    def __init__(self, ledger: SiteLedger) -> None:
        self.sent = sorted(ledger.configs, key=lambda c: c.sent_at)

    def route_of(self, config: dict[str, Any], host: str, path: str) -> dict[str, Any] | None:
        """The route of that host whose prefix begins the path and is longest."""
        fitting = [r for r in config.get("RouteTable", []) if r["Hostname"] == host and path.startswith(r["Prefix"])]
        return max(fitting, key=lambda r: len(r["Prefix"]), default=None)

    def services_of(self, route: dict[str, Any]) -> set[str]:
        return {s["Service"] for s in route["Split"]} if route.get("Split") else {route["Service"]}

    def tenant_of(self, config: dict[str, Any], key: str) -> str:
        """Empty if no tenant of this configuration holds the key."""
        return next((t["Name"] for t in config.get("Tenants", []) if key in t["Keys"]), "")

    def allows(self, config: dict[str, Any], asked: Try) -> bool:
        route = self.route_of(config, asked.host, asked.path)
        if route is None:
            return False
        return bool(route.get("Public")) or not config.get("Tenants") or bool(self.tenant_of(config, asked.key))

    def possible_at(self, sent_at: int, ended_at: int, apply_micros: int) -> list[ConfigSent]:
        """Those that may be in force for a request: the newest that was acknowledged long enough before, and all that
        were sent since."""
        settled = [c for c in self.sent if c.status == 200 and c.ended_at + apply_micros < sent_at]
        newest = max(settled, key=lambda c: c.number, default=None)
        floor = newest.number if newest is not None else -1
        return [
            c for c in self.sent if c is newest or (c.number > floor and c.sent_at <= ended_at and c.status in (0, 200))
        ]


@dataclass(frozen=True)
class Span:
    """Some trouble of a process, from its beginning to its end; both are the same where it has no length."""

    trouble: Trouble
    end_at: int

    def touches(self, begin_at: int, end_at: int) -> bool:
        """Whether it lies, for a part at least, between two moments."""
        return self.trouble.at <= end_at and self.end_at >= begin_at


def spans_of(troubles: Iterable[Trouble]) -> list[Span]:
    """One span for each trouble. What begins and never ends counts at its beginning only."""
    in_order = sorted(troubles, key=lambda t: t.at)
    spans = []
    for position, trouble in enumerate(in_order):
        last = LASTS_UNTIL.get(trouble.what)
        ends = (t.at for t in in_order[position + 1 :] if t.name == trouble.name and t.what == last)
        spans.append(Span(trouble, next(ends, trouble.at)))
    return spans


class Touch:
    """Which processes were in touch, as the rules have it: no trouble of their own in the `ContactMs` before, and a
    settled core. A reload is no trouble."""

    def __init__(self, ledger: SiteLedger, bounds: SiteBounds) -> None:
        self.bounds = bounds
        self.spans = spans_of(t for t in ledger.troubles if t.what != "reloaded")

    def is_sound(self, name: str, begin_at: int, end_at: int) -> bool:
        """Whether a process had no trouble from `ContactMs` before a moment until another."""
        return not self._names(lambda t: t.name == name, begin_at, end_at)

    def struck_cores(self, begin_at: int, end_at: int) -> set[str]:
        """The core machines that had trouble from `ContactMs` before a moment until another."""
        return self._names(lambda t: t.program == "control_plane", begin_at, end_at)

    def _names(self, is_wanted: Callable[[Trouble], bool], begin_at: int, end_at: int) -> set[str]:
        from_at = begin_at - self.bounds.contact_micros
        return {s.trouble.name for s in self.spans if is_wanted(s.trouble) and s.touches(from_at, end_at)}


def ran_of(ledger: SiteLedger) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in ledger.runs:
        runs[run.request_id].append(run)
    return runs


def is_repeatable(asked: Try) -> bool:
    return asked.kind == "safe" or asked.resumable


def tries_of(configs: Configs, asked: Try, bounds: SiteBounds) -> int:
    """On how many workers one try may run: the most that a configuration in force may allow; 0 if none says so."""
    possible = configs.possible_at(asked.sent_at, asked.ended_at, bounds.apply_micros)
    routes = [configs.route_of(c.body, asked.host, asked.path) for c in possible]
    return max((int(r.get("Tries", 0)) for r in routes if r is not None), default=0)


def is_out_of_touch(ledger: SiteLedger, ip: str, at: int, bounds: SiteBounds) -> bool:
    """Whether a machine's processes were struck in the `ContactMs` before a moment, or are frozen at it."""
    struck = [t for t in ledger.troubles if ip and t.ip == ip and t.at <= at]
    if not struck:
        return False
    last = max(struck, key=lambda t: t.at)
    return last.what in ("frozen", "killed", "cut") or last.at > at - bounds.contact_micros
