"""Checkers (§9.13): each checks one rule of the platform against a SiteLedger. Times are in whole microseconds.

The checkers for configurations, for retries and orders at workers, and for planned operations are in other modules.
"""

from __future__ import annotations

from collections.abc import Iterator

from pearhead.runtime.clock import MILLI
from pearhead.testbed.emulator.configcheckers import ConfigChecker, DeniedChecker
from pearhead.testbed.emulator.ledger import Arrival, SiteLedger, Try
from pearhead.testbed.emulator.plannedcheckers import DrainChecker, LostChecker
from pearhead.testbed.emulator.rules import (
    UNEXECUTED_STATUSES,
    Breach,
    Checker,
    ConfigHistory,
    SiteBounds,
    TroubleHistory,
    is_repeatable,
    runs_by_request,
    trouble_spans,
)
from pearhead.testbed.emulator.workercheckers import BudgetChecker, OneChecker


class TwiceChecker:
    """A request that must not be repeated runs more than once."""

    rule = "TWICE"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        tries = ledger.tries_by_id()
        for request_id, runs in runs_by_request(ledger).items():
            if len(runs) > 1 and request_id in tries and not is_repeatable(tries[request_id]):
                yield f"{request_id} ran at {', '.join(r.worker for r in runs)}"


class RefusedChecker:
    """A request that must not be repeated runs, before or after an answer whose status promises that it never does."""

    rule = "REFUSED"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        runs = runs_by_request(ledger)
        for attempt in ledger.tries:
            if attempt.status in UNEXECUTED_STATUSES and not is_repeatable(attempt) and attempt.request_id in runs:
                yield f"{attempt.request_id} got {attempt.status} and ran at {runs[attempt.request_id][0].worker}"


class UnaskedChecker:
    """A worker accepts a request that no client sent, that was altered, or that names another tenant.

    The client's key must never reach a worker, even with a request that the worker refuses.
    """

    rule = "UNASKED"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        tries, configs = ledger.tries_by_id(), ConfigHistory(ledger)
        for arrival in ledger.arrivals:
            if arrival.has_key:
                yield f"{arrival.request_id}: the key was passed on to {arrival.worker}"
            if arrival.turned_away:
                continue
            attempt = tries.get(arrival.request_id)
            if attempt is None:
                yield f"{arrival.request_id} at {arrival.worker}: no client sent it"
                continue
            if (arrival.method, arrival.path, arrival.body_digest) != (
                attempt.method,
                attempt.path,
                attempt.body_digest,
            ):
                yield f"{arrival.request_id}: method, path or body was changed"
            yield from self._tenant_faults(arrival, attempt, configs)

    def _tenant_faults(self, arrival: Arrival, attempt: Try, configs: ConfigHistory) -> Iterator[str]:
        tenants = {configs.tenant_of(c.body, attempt.key) for c in configs.sent} - {""}
        if tenants and arrival.tenant not in tenants:
            yield f"{arrival.request_id}: its key is not that of {arrival.tenant or 'nobody'}"


class RouteChecker:
    """A service runs a request that no configuration ever routed to it, or one with a key that none ever contained."""

    rule = "ROUTE"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        tries, configs = ledger.tries_by_id(), ConfigHistory(ledger)
        for run in ledger.runs:
            attempt = tries.get(run.request_id)
            if attempt is None:
                continue
            routes = [configs.route_of(c.body, attempt.host, attempt.path) for c in configs.sent]
            allowed = {service for route in routes if route is not None for service in configs.services_of(route)}
            if run.service not in allowed:
                yield f"{run.request_id} ran at {run.service}, to which no configuration sends it"
            is_open = any(r is not None and r.get("Public") for r in routes) or any(
                not c.body.get("Tenants") for c in configs.sent
            )
            if not is_open and not any(configs.tenant_of(c.body, attempt.key) for c in configs.sent):
                yield f"{run.request_id} ran with a key that no configuration held"


class StaleChecker:
    """A request runs on cached prefix parts that were computed with another version of its model's weights."""

    rule = "STALE"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        ran = {(r.request_id, r.worker) for r in ledger.runs}
        for use in ledger.uses:
            if use.made_version != use.version and (use.request_id, use.worker) in ran:
                yield (
                    f"{use.request_id} on version {use.version} at {use.worker} used {use.part} "
                    f"made under {use.made_version}"
                )


class WallChecker:
    """A request uses cached prefix parts of another tenant, and one of the two tenants is isolated."""

    rule = "WALL"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        isolated = self._isolated_tenants(ledger)
        ran = {(r.request_id, r.worker) for r in ledger.runs}
        for use in ledger.uses:
            if use.made_tenant == use.tenant or (use.request_id, use.worker) not in ran:
                continue
            if use.tenant in isolated or use.made_tenant in isolated:
                yield f"{use.request_id} of {use.tenant} used {use.part} of {use.made_tenant} at {use.worker}"

    def _isolated_tenants(self, ledger: SiteLedger) -> set[str]:
        """The names of the tenants that are isolated in every configuration that contains them."""
        tenants = [t for c in ledger.configs if c.status in (0, 200) for t in c.body.get("Tenants", [])]
        shared = {t["Name"] for t in tenants if not t.get("Isolated")}
        return {t["Name"] for t in tenants} - shared


class MixedChecker:
    """A client gets an answer that is not the one its request produced; the client itself detects this.

    Cases: a success without its seal, with an encoding or with a body that ends inside an event; the answer of another
    request; bytes that belong to no request or are no valid answer; a status other than that in the worker's seal.
    """

    rule = "MIXED"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields the faults that clients recorded under this rule."""
        for attempt in ledger.tries:
            yield from (f"{attempt.request_id}: {what}" for rule, what in attempt.faults if rule == self.rule)


class OrderChecker:
    """A stream lacks a piece, repeats one, joins two runs, or ends as complete before its last piece.

    It is also a breach if a piece announces an older version of the weights than was announced before it.
    """

    rule = "ORDER"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields the faults that clients recorded under this rule."""
        for attempt in ledger.tries:
            yield from (f"{attempt.request_id}: {what}" for rule, what in attempt.faults if rule == self.rule)


class VersionChecker:
    """A request starts on old weights more than `version_micros` after newer ones were acknowledged.

    Counts only requests forwarded by a node without trouble. The time starts anew, `contact_micros` after the end,
    with any trouble of a core machine or of a link.
    """

    rule = "VERSION"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        tries, trouble_history = ledger.tries_by_id(), TroubleHistory(ledger, bounds)
        unsettled = [
            s for s in trouble_spans(ledger.troubles) if s.trouble.program == "control_plane" or s.trouble.what == "cut"
        ]
        for run in ledger.runs:
            for naming in ledger.version_namings:
                if not naming.acknowledged_at or naming.model != run.model or naming.version <= run.version:
                    continue
                calm_from = max(
                    [naming.acknowledged_at]
                    + [s.end_at + bounds.contact_micros for s in unsettled if s.trouble.at <= run.at]
                )
                node = tries[run.request_id].node if run.request_id in tries else ""
                if run.at - calm_from > bounds.version_micros and trouble_history.is_undisturbed(node, run.at, run.at):
                    yield (
                        f"{run.request_id} began at {run.worker} on version {run.version}, "
                        f"{(run.at - calm_from) // MILLI} ms after {naming.version} was acknowledged"
                    )


CHECKERS: tuple[Checker, ...] = (
    TwiceChecker(),
    RefusedChecker(),
    UnaskedChecker(),
    RouteChecker(),
    StaleChecker(),
    WallChecker(),
    MixedChecker(),
    OrderChecker(),
    OneChecker(),
    VersionChecker(),
    ConfigChecker(),
    DeniedChecker(),
    BudgetChecker(),
    DrainChecker(),
    LostChecker(),
)


def find_breaches(ledger: SiteLedger, bounds: SiteBounds | None = None) -> list[Breach]:
    """Runs all checkers and returns the first 20 breaches of each rule. `bounds`: by default those of `SiteBounds`."""
    effective_bounds = bounds or SiteBounds()
    breaches = []
    for checker in CHECKERS:
        found = [Breach(checker.rule, what) for what in checker.find(ledger, effective_bounds)]
        breaches.extend(found[:20])
    return breaches
