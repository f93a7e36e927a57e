"""Checkers (§9.13): each judges one rule of the platform on a SiteLedger. Times in whole microseconds.

Those of configurations, of orders to workers, and of planned work stand in modules of their own.
"""

from __future__ import annotations

from collections.abc import Iterator

from pearhead.runtime.clock import MILLI
from pearhead.testbed.emulator.configcheckers import Config, Denied
from pearhead.testbed.emulator.ledger import Arrival, SiteLedger, Try
from pearhead.testbed.emulator.plannedcheckers import Drain, Lost
from pearhead.testbed.emulator.rules import (
    PROMISES,
    Breach,
    Checker,
    Configs,
    SiteBounds,
    Touch,
    is_repeatable,
    ran_of,
    spans_of,
)
from pearhead.testbed.emulator.workcheckers import Budget, One


class Twice:
    """A request that isn't repeatable runs more than once."""

    rule = "TWICE"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        tries = ledger.try_of()
        for request_id, runs in ran_of(ledger).items():
            if len(runs) > 1 and request_id in tries and not is_repeatable(tries[request_id]):
                yield f"{request_id} ran at {', '.join(r.worker for r in runs)}"


class Refused:
    """A request that can't be repeated has run, or runs later, yet its answer promises that it never does."""

    rule = "REFUSED"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        runs = ran_of(ledger)
        for asked in ledger.tries:
            if asked.status in PROMISES and not is_repeatable(asked) and asked.request_id in runs:
                yield f"{asked.request_id} got {asked.status} and ran at {runs[asked.request_id][0].worker}"


class Unasked:
    """A worker takes a request that no client sent so, or for another tenant, or with the client's key."""

    rule = "UNASKED"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        tries, configs = ledger.try_of(), Configs(ledger)
        for arrival in ledger.arrivals:
            if arrival.has_key:
                yield f"{arrival.request_id}: the key was passed on to {arrival.worker}"
            if arrival.turned_away:
                continue
            asked = tries.get(arrival.request_id)
            if asked is None:
                yield f"{arrival.request_id} at {arrival.worker}: no client sent it"
                continue
            if (arrival.method, arrival.path, arrival.body_digest) != (asked.method, asked.path, asked.body_digest):
                yield f"{arrival.request_id}: method, path or body was changed"
            yield from self._tenant_faults(arrival, asked, configs)

    def _tenant_faults(self, arrival: Arrival, asked: Try, configs: Configs) -> Iterator[str]:
        tenants = {configs.tenant_of(c.body, asked.key) for c in configs.sent} - {""}
        if tenants and arrival.tenant not in tenants:
            yield f"{arrival.request_id}: its key is not that of {arrival.tenant or 'nobody'}"


class RouteRule:
    """A service runs what no configuration ever sent allows, or a key that none ever held."""

    rule = "ROUTE"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        tries, configs = ledger.try_of(), Configs(ledger)
        for run in ledger.runs:
            asked = tries.get(run.request_id)
            if asked is None:
                continue
            routes = [configs.route_of(c.body, asked.host, asked.path) for c in configs.sent]
            allowed = {service for route in routes if route is not None for service in configs.services_of(route)}
            if run.service not in allowed:
                yield f"{run.request_id} ran at {run.service}, to which no configuration sends it"
            is_open = any(r is not None and r.get("Public") for r in routes) or any(
                not c.body.get("Tenants") for c in configs.sent
            )
            if not is_open and not any(configs.tenant_of(c.body, asked.key) for c in configs.sent):
                yield f"{run.request_id} ran with a key that no configuration held"


class Stale:
    """A request executes on memory that was made under another version of its model."""

    rule = "STALE"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        ran = {(r.request_id, r.worker) for r in ledger.runs}
        for use in ledger.uses:
            if use.made_version != use.version and (use.request_id, use.worker) in ran:
                yield (
                    f"{use.request_id} on version {use.version} at {use.worker} used {use.part} "
                    f"made under {use.made_version}"
                )


class Wall:
    """A request uses memory of another tenant, and one of the two is kept apart."""

    rule = "WALL"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        apart = self._apart(ledger)
        ran = {(r.request_id, r.worker) for r in ledger.runs}
        for use in ledger.uses:
            if use.made_tenant == use.tenant or (use.request_id, use.worker) not in ran:
                continue
            if use.tenant in apart or use.made_tenant in apart:
                yield f"{use.request_id} of {use.tenant} used {use.part} of {use.made_tenant} at {use.worker}"

    def _apart(self, ledger: SiteLedger) -> set[str]:
        """Tenants kept apart by every configuration that holds them."""
        held = [t for c in ledger.configs if c.status in (0, 200) for t in c.body.get("Tenants", [])]
        shared = {t["Name"] for t in held if not t.get("Isolated")}
        return {t["Name"] for t in held} - shared


class Mixed:
    """A success without its seal or whole body, an answer of another request, bytes that are no answer, or a failure
    that bears a worker's seal and another status than that worker gave."""

    rule = "MIXED"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        for asked in ledger.tries:
            yield from (f"{asked.request_id}: {what}" for rule, what in asked.faults if rule == self.rule)


class Order:
    """A stream lacks a piece, repeats one, joins two runs, or ends as complete before its last piece."""

    rule = "ORDER"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        for asked in ledger.tries:
            yield from (f"{asked.request_id}: {what}" for rule, what in asked.faults if rule == self.rule)


class Version:
    """A machine in touch sends on a request that starts on an older version long after a newer one was acknowledged,
    while the core was settled and no link was in trouble."""

    rule = "VERSION"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        tries, touch = ledger.try_of(), Touch(ledger, bounds)
        unsettled = [
            s for s in spans_of(ledger.troubles) if s.trouble.program == "control_plane" or s.trouble.what == "cut"
        ]
        for run in ledger.runs:
            for naming in ledger.namings:
                if not naming.acknowledged_at or naming.model != run.model or naming.version <= run.version:
                    continue
                calm_from = max(
                    [naming.acknowledged_at]
                    + [s.end_at + bounds.contact_micros for s in unsettled if s.trouble.at <= run.at]
                )
                node = tries[run.request_id].node if run.request_id in tries else ""
                if run.at - calm_from > bounds.version_micros and touch.is_sound(node, run.at, run.at):
                    yield (
                        f"{run.request_id} began at {run.worker} on version {run.version}, "
                        f"{(run.at - calm_from) // MILLI} ms after {naming.version} was acknowledged"
                    )


CHECKERS: tuple[Checker, ...] = (
    Twice(),
    Refused(),
    Unasked(),
    RouteRule(),
    Stale(),
    Wall(),
    Mixed(),
    Order(),
    One(),
    Version(),
    Config(),
    Denied(),
    Budget(),
    Drain(),
    Lost(),
)


def find_breaches(ledger: SiteLedger, bounds: SiteBounds | None = None) -> list[Breach]:
    """All breaches, by rule. The first 20 of each rule."""
    held_bounds = bounds or SiteBounds()
    breaches = []
    for checker in CHECKERS:
        found = [Breach(checker.rule, what) for what in checker.find(ledger, held_bounds)]
        breaches.extend(found[:20])
    return breaches
