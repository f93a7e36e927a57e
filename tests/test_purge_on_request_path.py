"""Purge on the request path: worker selection and cache fetches use the salt of each request's owner and weights.

Guards against cached prompt parts that are reused after a change of weights or part revision (the checker's rule
STALE), or across the owners of isolated tenants (WALL). With one salt for all requests both rules must break.
"""

from __future__ import annotations

import random
import unittest
from typing import Any, cast

from tornado.httputil import HTTPHeaders

from pearhead.config.description import Description, Route, Service, Split, Tenant
from pearhead.config.view import View
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.cache_salt_builder import CacheSalt, CacheSaltBuilder
from pearhead.router.opaque_request import OpaqueRequest, PromptPart
from pearhead.router.prefix_cache_index import PrefixCacheIndex
from pearhead.router.roster_merge import Roster
from pearhead.router.sharing_scope import SharingScopes
from pearhead.router.worker_control import Backend
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_selector import WorkerChoice, WorkerSelector
from pearhead.router.worker_version_table import WorkerVersionTable
from pearhead.rpc.wire_pb2 import KeptNote, ModelNote
from pearhead.rpc.wire_pb2 import KeptPart as ToldPart
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.testbed.emulator.checkers import find_breaches
from pearhead.testbed.emulator.engine import (
    EngineModel,
    EngineRequest,
    EngineSettings,
    FetchRequested,
    PromptPartSpec,
    SaveRequested,
)
from pearhead.testbed.emulator.ledger import ConfigSent, Record, SiteLedger
from pearhead.testbed.emulator.part_cache import KeptPart
from tests.sharing import FixedConfirmation

PARTS = (PromptPart("a1", 12_000), PromptPart("b2", 300))
TENANTS = {
    "apart": Tenant("apart", ["0"]),
    "one": Tenant("one", ["1"], "shared"),
    "two": Tenant("two", ["2"], "shared"),
}
ROUTE = Route("r", "h", "/", [Split("s", 1)], SECOND, stream=True)


class FreshListener:
    """Knows all parts at revision 1, unless `revisions` says otherwise."""

    def __init__(self) -> None:
        self.revisions: dict[int, int | None] = {}

    def revision_of(self, owner: str, line: str, part: int) -> int | None:
        return self.revisions.get(part, 1)

    def last_revision_of(self, owner: str, line: str, part: int) -> int:
        return self.revisions.get(part) or 1


class ConstantSaltBuilder(CacheSaltBuilder):
    def salt(self, view: View, tenant: Tenant | None, line: str, version: int, request: OpaqueRequest) -> CacheSalt:
        return CacheSalt("one salt for all", True)


class Site:
    """A store, one worker at a time and a node's worker selection; the workers run the emulated engine."""

    def __init__(self, salt_type: type[CacheSaltBuilder]) -> None:
        self.runtime = FakeRuntime()
        self.listener = FreshListener()
        self.records: list[Record] = []
        self.store: dict[tuple[str, str, str], KeptPart] = {}
        self.index = PrefixCacheIndex()
        self.version_table = WorkerVersionTable(self.runtime)
        self.backends: dict[str, Backend] = {}
        self.view = View()
        self.view.__dict__["description"] = Description(
            services=[
                Service("s", "model", ["l"], 99, 12, 140_000, 163_840, 1_100_000.0, 12),
                Service("k", "store", store_address="10.0.0.9:1", store_zone="z", link_mbps=300_000.0),
            ],
            tenants=list(TENANTS.values()),
            routes=[ROUTE],
        )
        self.selector = WorkerSelector(
            self.runtime,
            "z",
            lambda: Roster(self.backends, self.runtime.now()),
            self.version_table,
            self.index,
            WorkerLoadTracker(self.runtime),
            salt_type(cast(RevisionListener, self.listener), SharingScopes(FixedConfirmation(), "n")),
            lambda view, line, version: True,
        )

    def record(self, record: Record) -> None:
        self.records.append(record)

    def start_worker(self, name: str, version: int) -> EngineModel:
        self.backends = {name: Backend(name, "10.0.0.1:1", "z", "s", 12, False, {"l": version})}
        self.version_table.apply_note(ModelNote(worker=name, line="l", version=version))
        return EngineModel(EngineSettings(), name, name, "s", "l", version, random.Random(1), self)

    def run(self, engine: EngineModel, request_id: str, tenant: str) -> WorkerChoice:
        request = OpaqueRequest(request_id, "POST", "/", "h", "/", HTTPHeaders(), b"", 0, line="l", parts=PARTS)
        choice = self.selector.choose(self.view, ROUTE, request, TENANTS[tenant], frozenset()).unwrap()
        prompt = request.prompt_tokens()
        engine.submit(
            self.runtime.now(),
            EngineRequest(
                request_id,
                tenant,
                choice.salt,
                "l",
                tuple(PromptPartSpec(p.part, p.tokens) for p in PARTS),
                prompt,
                5,
                self.runtime.now() + 9 * SECOND,
                expected_version=choice.version or 0,
                source=choice.fetch_from,
                target=choice.copy_to,
            ),
        )
        self._advance(engine)
        while (due := engine.next_event_at()) is not None:
            self.runtime.now_micros = max(self.runtime.now_micros, due)
            self._advance(engine)
        return choice

    def _advance(self, engine: EngineModel) -> None:
        for output in engine.advance(self.runtime.now()):
            self._answer(engine, output)

    def _answer(self, engine: EngineModel, output: Any) -> None:
        if isinstance(output, FetchRequested):
            found = [self.store[key] for key in output.keys if key in self.store]
            engine.complete_fetch(self.runtime.now(), output.ticket, found)
        elif isinstance(output, SaveRequested):
            self.store.update({part.key: part for part in output.parts})
            note = KeptNote(
                worker="k",
                life="1",
                from_sequence=len(self.store) - 1,
                sequence=len(self.store),
                part=[ToldPart(salt=p.salt, part=p.part, tokens=p.tokens, line=p.model) for p in output.parts],
            )
            note.whole = True
            self.index.apply_note(note)

    def breaches(self) -> set[str]:
        ledger = SiteLedger(self.records)
        ledger.configs.append(
            ConfigSent(
                0,
                1,
                1,
                0,
                200,
                {
                    "Tenants": [{"Name": tenant.name, "Isolated": not tenant.group} for tenant in TENANTS.values()],
                    "RouteTable": [],
                    "Services": [],
                },
            )
        )
        return {breach.rule for breach in find_breaches(ledger)}


class PurgeOnTheWayTest(unittest.TestCase):
    def run_two_requests(
        self, salt_type: type[CacheSaltBuilder], first: str, second: str, version: int
    ) -> tuple[Site, WorkerChoice]:
        site = Site(salt_type)
        site.run(site.start_worker("w1", 1), "r1", first)
        choice = site.run(site.start_worker("w2", version), "r2", second)
        return site, choice

    def test_the_store_serves_the_same_owner_on_the_same_weights(self) -> None:
        site, choice = self.run_two_requests(CacheSaltBuilder, "one", "two", 1)
        self.assertEqual((choice.fetch_from, site.breaches() & {"STALE", "WALL"}), ("10.0.0.9:1", set()))

    def test_other_weights_and_other_owners_find_nothing(self) -> None:
        for first, second, version in (("one", "two", 2), ("apart", "one", 1), ("one", "apart", 1)):
            site, choice = self.run_two_requests(CacheSaltBuilder, first, second, version)
            self.assertEqual((choice.fetch_from, site.breaches() & {"STALE", "WALL"}), ("", set()))

    def test_taken_out_it_breaks_the_rules(self) -> None:
        self.assertIn("STALE", self.run_two_requests(ConstantSaltBuilder, "one", "two", 2)[0].breaches())
        self.assertIn("WALL", self.run_two_requests(ConstantSaltBuilder, "apart", "one", 1)[0].breaches())

    def test_a_changed_part_and_unknown_freshness_plan_no_fetch(self) -> None:
        for revision in (2, None):
            site = Site(CacheSaltBuilder)
            site.run(site.start_worker("w1", 1), "r1", "one")
            site.listener.revisions[0xA1] = revision
            self.assertEqual(site.run(site.start_worker("w2", 1), "r2", "two").fetch_from, "")
