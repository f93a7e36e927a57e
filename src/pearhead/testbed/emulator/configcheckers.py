"""Checkers for configurations (§9.13): which were acknowledged, refused, read back and applied to requests."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

from pearhead.testbed.emulator.ledger import SiteLedger
from pearhead.testbed.emulator.rules import (
    UNEXECUTED_STATUSES,
    ConfigHistory,
    SiteBounds,
    TroubleHistory,
    runs_by_request,
)

REFUSAL_STATUSES = (400, 409, 412, 413, 422)
MIN_LATER_REQUESTS = 20


class ConfigChecker:
    """Configuration changes are serialized, durable, and applied in time.

    Breaches: two configurations acknowledged on one base revision or under one revision number; an invalid one
    acknowledged; one acknowledged and then refused when sent again; an older, a different or a refused one read back;
    a request handled as only an outdated configuration allows; routes added later that are hardly served.
    """

    rule = "CONFIG"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of each breach of this rule."""
        acknowledged = [c for c in ledger.configs if c.status == 200]
        for base, count in Counter(c.base for c in acknowledged if c.body).items():
            numbers = {c.number for c in acknowledged if c.base == base}
            if count > 1 and len(numbers) > 1:
                yield f"{sorted(numbers)} were both acknowledged on {base}"
        yield from (f"the invalid {c.number} was acknowledged" for c in acknowledged if not c.is_valid)
        yield from self._conflicting_acknowledgements(ledger)
        yield from self._refused_after_acknowledgement(ledger)
        yield from self._read_back(ledger)
        yield from self._handled_by_outdated_config(ledger, bounds)
        yield from self._unserved_later_routes(ledger, bounds)

    def _conflicting_acknowledgements(self, ledger: SiteLedger) -> Iterator[str]:
        """Finds different contents acknowledged under one number, and different numbers acknowledged on one base.

        Uses what the nodes answered, including answers that were lost on the way to the operator.
        """
        contents: dict[int, dict[str, int]] = defaultdict(dict)
        for config_try in sorted(ledger.config_tries, key=lambda c: c.ended_at):
            if config_try.status == 200:
                contents[config_try.number].setdefault(config_try.content, config_try.base)
        for number, found in contents.items():
            if len(found) > 1:
                yield f"{len(found)} contents were acknowledged under {number}"
        on_base: dict[int, set[int]] = defaultdict(set)
        for number, found in contents.items():
            for base in found.values():
                on_base[base].add(number)
        for base, numbers in on_base.items():
            if len(numbers) > 1:
                yield f"{sorted(numbers)} were both acknowledged on {base}, also where the answer was lost"

    def _refused_after_acknowledgement(self, ledger: SiteLedger) -> Iterator[str]:
        """Finds acknowledged changes that were refused when the same change was sent again.

        Resending must be idempotent: until another change builds on it, a repeated change is acknowledged again or
        gets no conclusive answer.
        """
        for first in (c for c in ledger.config_tries if c.status == 200):
            for later in ledger.config_tries:
                if (
                    later.change != first.change
                    or later.sent_at < first.ended_at
                    or later.status not in REFUSAL_STATUSES
                ):
                    continue
                if not self._is_built_upon(ledger, first.number, later.ended_at):
                    yield f"{first.number} was acknowledged, sent again and refused with {later.status} at {later.node}"

    def _is_built_upon(self, ledger: SiteLedger, number: int, until: int) -> bool:
        """Whether another change may have been accepted with this number as its base."""
        return any(
            c.base == number and c.sent_at <= until and c.status not in REFUSAL_STATUSES for c in ledger.config_tries
        )

    def _read_back(self, ledger: SiteLedger) -> Iterator[str]:
        """Finds reads older than what was acknowledged before, and reads of contents refused or never sent."""
        acknowledged = [(c.ended_at, c.number) for c in ledger.configs if c.status == 200]
        acknowledged += [(c.ended_at, c.number) for c in ledger.config_tries if c.status == 200]
        for read in ledger.reads:
            asked_at = read.asked_at or read.at
            newest = max((number for ended_at, number in acknowledged if ended_at <= asked_at), default=0)
            sent = [c for c in ledger.configs if c.number == read.number and c.status in (0, 200)]
            if read.number < newest:
                yield f"{read.number} was read back after {newest} was acknowledged"
            elif not any(self._is_same_config(c.body, read.body) for c in sent):
                yield f"{read.number} was read back, which was sent otherwise or refused"

    def _is_same_config(self, sent: dict[str, Any], read: dict[str, Any]) -> bool:
        """Compares two configurations without regard to the order of list items, which are identified by name."""

        def keyed(config: dict[str, Any]) -> dict[str, Any]:
            return {
                name: {i["Name"]: i for i in value} if isinstance(value, list) else value
                for name, value in config.items()
            }

        return keyed(sent) == keyed(read)

    def _handled_by_outdated_config(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Finds requests handled by an outdated configuration, at nodes that had no trouble of their own.

        Trouble at one core machine extends the time allowed for applying a configuration by `stretch_micros`. With
        trouble at more than one, nodes can't learn the newest configuration, so these requests aren't checked.
        """
        configs, runs, trouble_history = ConfigHistory(ledger), runs_by_request(ledger), TroubleHistory(ledger, bounds)
        for attempt in ledger.tries:
            if not trouble_history.is_undisturbed(attempt.node, attempt.sent_at, attempt.ended_at):
                continue
            stretched_micros = bounds.apply_micros + bounds.stretch_micros
            troubled = trouble_history.troubled_cores(attempt.sent_at - stretched_micros, attempt.ended_at)
            if len(troubled) > 1:
                continue
            apply_micros = stretched_micros if troubled else bounds.apply_micros
            possible = configs.possible_at(attempt.sent_at, attempt.ended_at, apply_micros)
            if not possible:
                continue
            if attempt.status in (401, 403, 404) and all(configs.allows(c.body, attempt) for c in possible):
                yield (
                    f"{attempt.request_id} got {attempt.status} at {attempt.node}, though every configuration allows it"
                )
            routes = [configs.route_of(c.body, attempt.host, attempt.path) for c in possible]
            allowed = {service for route in routes if route is not None for service in configs.services_of(route)}
            for run in runs.get(attempt.request_id, []):
                if run.service not in allowed or not any(configs.allows(c.body, attempt) for c in possible):
                    yield f"{attempt.request_id} ran at {run.service}, as only an older configuration allows"

    def _unserved_later_routes(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Compares the success rate of requests on routes added later with that on the routes of the first config.

        Counts only requests sent while there was no trouble.
        """
        accepted = [c for c in ledger.configs if c.status == 200 and c.body]
        if not accepted:
            return
        first = {r["Name"] for r in min(accepted, key=lambda c: c.number).body["RouteTable"]}
        configs = ConfigHistory(ledger)
        served_by_age: dict[bool, list[bool]] = {True: [], False: []}
        for attempt in ledger.tries:
            possible = configs.possible_at(attempt.sent_at, attempt.ended_at, bounds.apply_micros)
            if not possible or not all(configs.allows(c.body, attempt) for c in possible):
                continue
            if any(attempt.sent_at - bounds.contact_micros <= t.at <= attempt.ended_at for t in ledger.troubles):
                continue
            served_by_age[attempt.route in first].append(attempt.status == 200)
        later, earlier = served_by_age[False], served_by_age[True]
        if len(later) < MIN_LATER_REQUESTS or not earlier:
            return
        if 4 * sum(later) / len(later) < sum(earlier) / len(earlier):
            yield f"{sum(later)} of {len(later)} requests on later routes were served"


class DeniedChecker:
    """The system itself answers more than 5 plus one in 500 of all requests with 3xx or 4xx, though they are valid.

    `UNEXECUTED_STATUSES`, with which a client may retry, don't count.
    """

    rule = "DENIED"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """Yields a description of the breach, if there is one."""
        configs, ran = ConfigHistory(ledger), runs_by_request(ledger)
        denied = [
            t
            for t in ledger.tries
            if 300 <= t.status < 500
            and t.status not in UNEXECUTED_STATUSES
            and t.request_id not in ran
            and (possible := configs.possible_at(t.sent_at, t.ended_at, bounds.apply_micros))
            and all(configs.allows(c.body, t) for c in possible)
        ]
        if len(denied) > 5 + len(ledger.tries) / 500:
            yield f"{len(denied)} of {len(ledger.tries)} proper requests, the first with {denied[0].status}"
