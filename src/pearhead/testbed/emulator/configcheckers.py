"""Checkers of configurations (§9.13): what was acknowledged, refused, read back and followed."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

from pearhead.testbed.emulator.ledger import SiteLedger
from pearhead.testbed.emulator.rules import PROMISES, Configs, SiteBounds, Touch, ran_of

REFUSALS = (400, 409, 412, 413, 422)
LATER_REQUESTS = 20


class Config:
    """Two acknowledged on one base or under one number, an invalid one acknowledged, one that was taken and then
    refused, an older, another or a refused one read back, a request that is handled as only an older one allows, or
    later routes that are hardly served."""

    rule = "CONFIG"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        taken = [c for c in ledger.configs if c.status == 200]
        for base, count in Counter(c.base for c in taken if c.body).items():
            numbers = {c.number for c in taken if c.base == base}
            if count > 1 and len(numbers) > 1:
                yield f"{sorted(numbers)} were both acknowledged on {base}"
        yield from (f"the invalid {c.number} was acknowledged" for c in taken if not c.is_valid)
        yield from self._two_contents(ledger)
        yield from self._refused_after(ledger)
        yield from self._read_back(ledger)
        yield from self._handled(ledger, bounds)
        yield from self._later_routes(ledger, bounds)

    def _two_contents(self, ledger: SiteLedger) -> Iterator[str]:
        """Judged on what nodes answered, also where the answer was lost."""
        contents: dict[int, dict[str, int]] = defaultdict(dict)
        for tried in sorted(ledger.config_tries, key=lambda c: c.ended_at):
            if tried.status == 200:
                contents[tried.number].setdefault(tried.content, tried.base)
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

    def _refused_after(self, ledger: SiteLedger) -> Iterator[str]:
        """One that was taken is acknowledged again or left without a clear answer, while nothing builds on it."""
        for taken in (c for c in ledger.config_tries if c.status == 200):
            for later in ledger.config_tries:
                if later.change != taken.change or later.sent_at < taken.ended_at or later.status not in REFUSALS:
                    continue
                if not self._is_built_upon(ledger, taken.number, later.ended_at):
                    yield f"{taken.number} was acknowledged, sent again and refused with {later.status} at {later.node}"

    def _is_built_upon(self, ledger: SiteLedger, number: int, until: int) -> bool:
        """Whether another change may have been made on top of a number."""
        return any(c.base == number and c.sent_at <= until and c.status not in REFUSALS for c in ledger.config_tries)

    def _read_back(self, ledger: SiteLedger) -> Iterator[str]:
        acknowledged = [(c.ended_at, c.number) for c in ledger.configs if c.status == 200]
        acknowledged += [(c.ended_at, c.number) for c in ledger.config_tries if c.status == 200]
        for read in ledger.reads:
            asked_at = read.asked_at or read.at
            newest = max((number for ended_at, number in acknowledged if ended_at <= asked_at), default=0)
            sent = [c for c in ledger.configs if c.number == read.number and c.status in (0, 200)]
            if read.number < newest:
                yield f"{read.number} was read back after {newest} was acknowledged"
            elif not any(self._same(c.body, read.body) for c in sent):
                yield f"{read.number} was read back, which was sent otherwise or refused"

    def _same(self, sent: dict[str, Any], read: dict[str, Any]) -> bool:
        def keyed(config: dict[str, Any]) -> dict[str, Any]:
            return {
                name: {i["Name"]: i for i in value} if isinstance(value, list) else value
                for name, value in config.items()
            }

        return keyed(sent) == keyed(read)

    def _handled(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """By machines without trouble of their own. One core machine in trouble stretches the time; with more of them,
        the nodes have no way to know."""
        configs, runs, touch = Configs(ledger), ran_of(ledger), Touch(ledger, bounds)
        for asked in ledger.tries:
            if not touch.is_sound(asked.node, asked.sent_at, asked.ended_at):
                continue
            stretched_micros = bounds.apply_micros + bounds.stretch_micros
            struck = touch.struck_cores(asked.sent_at - stretched_micros, asked.ended_at)
            if len(struck) > 1:
                continue
            apply_micros = stretched_micros if struck else bounds.apply_micros
            possible = configs.possible_at(asked.sent_at, asked.ended_at, apply_micros)
            if not possible:
                continue
            if asked.status in (401, 403, 404) and all(configs.allows(c.body, asked) for c in possible):
                yield f"{asked.request_id} got {asked.status} at {asked.node}, though every configuration allows it"
            routes = [configs.route_of(c.body, asked.host, asked.path) for c in possible]
            allowed = {service for route in routes if route is not None for service in configs.services_of(route)}
            for run in runs.get(asked.request_id, []):
                if run.service not in allowed or not any(configs.allows(c.body, asked) for c in possible):
                    yield f"{asked.request_id} ran at {run.service}, as only an older configuration allows"

    def _later_routes(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        """In calm times: requests on routes that came later, beside those on the first ones."""
        accepted = [c for c in ledger.configs if c.status == 200 and c.body]
        if not accepted:
            return
        first = {r["Name"] for r in min(accepted, key=lambda c: c.number).body["RouteTable"]}
        configs = Configs(ledger)
        served: dict[bool, list[bool]] = {True: [], False: []}
        for asked in ledger.tries:
            possible = configs.possible_at(asked.sent_at, asked.ended_at, bounds.apply_micros)
            if not possible or not all(configs.allows(c.body, asked) for c in possible):
                continue
            if any(asked.sent_at - bounds.contact_micros <= t.at <= asked.ended_at for t in ledger.troubles):
                continue
            served[asked.route in first].append(asked.status == 200)
        later, earlier = served[False], served[True]
        if len(later) < LATER_REQUESTS or not earlier:
            return
        if 4 * sum(later) / len(later) < sum(earlier) / len(earlier):
            yield f"{sum(later)} of {len(later)} requests on later routes were served"


class Denied:
    """Proper requests end with a 3xx or 4xx of the system's own, more than 5 and one in 500 of all."""

    rule = "DENIED"

    def find(self, ledger: SiteLedger, bounds: SiteBounds) -> Iterator[str]:
        configs, ran = Configs(ledger), ran_of(ledger)
        denied = [
            t
            for t in ledger.tries
            if 300 <= t.status < 500
            and t.status not in PROMISES
            and t.request_id not in ran
            and (possible := configs.possible_at(t.sent_at, t.ended_at, bounds.apply_micros))
            and all(configs.allows(c.body, t) for c in possible)
        ]
        if len(denied) > 5 + len(ledger.tries) / 500:
            yield f"{len(denied)} of {len(ledger.tries)} proper requests, the first with {denied[0].status}"
