"""Isolated tenants at a node that can't know yet who is isolated, or who a key belongs to now (§5.6).

Guards against WALL of review cases 10 and 6: a request ran on memory that another, isolated tenant's request made.
"""

from __future__ import annotations

import dataclasses
import random
import unittest
from collections.abc import Callable
from typing import Any

from result import Ok, Result
from tornado.httputil import HTTPHeaders

from pearhead.config.description import Description, Route, Service, Split, Tenant
from pearhead.config.startup import StartupConfig
from pearhead.config.tenant_key import hash_key
from pearhead.config.view import View
from pearhead.router.gateway import GatewayProcess, GatewaySettings
from pearhead.router.opaque_request import ForwardingMetadata, OpaqueRequest, PromptPart
from pearhead.router.placement import combine_urgencies
from pearhead.router.roster_merge import Roster
from pearhead.router.worker_control import Backend
from pearhead.router.worker_selector import WorkerChoice
from pearhead.rpc.wire_pb2 import KeptNote, KeptPart
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from tests.sharing import FirstRevisions
from tests.test_request_proxy import EVENTS, HEAD, FakeCall, FakeProtocolAdapter, FakeResponseWriter

ROUTE = Route("r", "h", "/a/", [Split("s", 1)], 5 * SECOND, tries=2, stream=True)
SERVICE = Service("s", "model", ["l"], capacity=12, cache_tokens=140_000, token_bytes=163_840, link_mbps=1_100_000.0)
STORE = Service("k", "store", store_address="10.0.0.9:1", store_zone="z", link_mbps=300_000.0)
PARTS = (PromptPart("a1", 12_000), PromptPart("b2", 300))
SHARED = (Tenant("one", [hash_key("k-one")], "shared"), Tenant("two", [hash_key("k-two")], "shared"))
TERM_MICROS = 2 * SECOND


def make_view(*tenants: Tenant, route: Route = ROUTE) -> View:
    view = View()
    view.__dict__.update(
        description=Description(services=[SERVICE, STORE], tenants=list(tenants), routes=[route]),
        description_number=3,
        weights={},
    )
    return view


class SaltedAdapter(FakeProtocolAdapter):
    """Shows the worker's view of a request: its tenant, its salt and its urgency."""

    def outgoing_headers(self, request: OpaqueRequest, metadata: ForwardingMetadata) -> HTTPHeaders:
        return HTTPHeaders({"Tenant": metadata.tenant, "Salt": metadata.salt, "Urgency": str(metadata.urgency)})


class ChangingPool:
    """Connections to workers; something may change each time while one is made."""

    def __init__(self, while_connecting: Callable[[], None]) -> None:
        self.while_connecting = while_connecting
        self.calls: list[FakeCall] = []

    async def call(self, address: str, limits: object) -> Result[Any, str]:
        self.while_connecting()
        self.calls.append(FakeCall(HEAD, (b"".join(EVENTS),)))
        return Ok(self.calls[-1])

    def sent_headers(self) -> list[HTTPHeaders]:
        return [headers for call in self.calls for headers in call.sent]


class IsolationTestCase(unittest.IsolatedAsyncioTestCase):
    """A gateway that knows one worker, with a view that was just confirmed."""

    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        unused: Any = None
        startup = StartupConfig(address="a:1", httpAddress="a:2", area="z", seeds=["s:1"], termMicros=TERM_MICROS)
        self.gateway = GatewayProcess(
            startup, GatewaySettings(), self.runtime, self.runtime, unused, SaltedAdapter(), random.Random(1)
        )
        roster = Roster({"w": Backend("w", "10.0.0.1:1", "z", "s", 12, False, {"l": 1})}, self.runtime.now())
        self.gateway.roster_synchronizer.merge.roster = roster
        self.gateway.version_table.apply_roster(roster)
        revisions: Any = FirstRevisions()
        self.gateway.salt_builder.revision_listener = revisions
        self.use_view(make_view(*SHARED))
        self.confirm_view()

    def use_view(self, view: View) -> None:
        self.gateway.view_replica.view, self.gateway.view_replica.has_view = view, True

    def confirm_view(self) -> None:
        self.gateway.view_replica.confirmed_micros = self.runtime.now()

    def request(self, key: str) -> OpaqueRequest:
        return OpaqueRequest(
            "id", "POST", "/a/x", "h", "/a/x", HTTPHeaders(), b"", self.runtime.now(), hash_key(key), 0, "l", PARTS
        )

    def choose(self, key: str) -> WorkerChoice:
        view, request = self.gateway.view(), self.request(key)
        assert view is not None
        tenant = view.tenant_by_hash.get(request.key_hash)
        return self.gateway.worker_selector.choose(view, ROUTE, request, tenant, frozenset()).unwrap()

    async def serve(self, key: str, while_connecting: Callable[[], None]) -> tuple[FakeResponseWriter, ChangingPool]:
        pool, writer = ChangingPool(while_connecting), FakeResponseWriter()
        proxy: Any = self.gateway.request_proxy
        proxy.pool = pool
        await proxy.serve(self.request(key), writer)
        return writer, pool


class UnconfirmedViewTest(IsolationTestCase):
    def test_tenants_share_nothing_once_the_view_may_be_older_than_a_wall(self) -> None:
        # Guards against WALL: a node that the core can't tell of a wall went on sharing memory across it.
        shared = {self.choose(key).salt for key in ("k-one", "k-two")}
        self.assertEqual(len(shared), 1, "they share while the view is confirmed")
        self.runtime.now_micros += TERM_MICROS
        self.assertEqual({self.choose(key).salt for key in ("k-one", "k-two")}, shared)
        self.runtime.now_micros += 1
        separate = [self.choose(key).salt for key in ("k-one", "k-two")]
        self.assertEqual(len({*separate, *shared}), 3)
        self.assertEqual([self.choose(key).salt for key in ("k-one", "k-two")], separate, "a key shares with itself")
        self.confirm_view()
        self.assertEqual({self.choose(key).salt for key in ("k-one", "k-two")}, shared)
        self.runtime.now_micros += TERM_MICROS + 1
        later = self.choose("k-one").salt
        self.assertNotIn(later, {*separate, *shared}, "a salt of an earlier time is not used again")

    def test_an_isolated_tenant_uses_nothing_that_was_cached_before_its_key_may_have_moved(self) -> None:
        self.use_view(make_view(Tenant("one", [hash_key("k-one")]), SHARED[1]))
        confirmed = self.choose("k-one").salt
        self.runtime.now_micros += TERM_MICROS + 1
        self.assertNotEqual(self.choose("k-one").salt, confirmed)

    def test_parts_are_neither_fetched_nor_copied_to_a_store_while_the_view_is_not_confirmed(self) -> None:
        self.assertEqual(self.choose("k-one").copy_to, STORE.store_address)
        self.runtime.now_micros += TERM_MICROS + 1
        choice = self.choose("k-one")
        parts = [KeptPart(salt=choice.salt, part=part.part, tokens=part.tokens) for part in PARTS]
        self.gateway.prefix_cache_index.apply_note(KeptNote(worker="k", life="a", sequence=1, whole=True, part=parts))
        choice = self.choose("k-one")
        self.assertEqual((choice.copy_to, choice.fetch_from), ("", ""))

    async def test_a_request_placed_by_a_confirmed_view_is_placed_anew_once_it_is_not(self) -> None:
        # Guards against a request that is sent with a shared salt by a node that was frozen while it connected.
        shared = self.choose("k-one").salt
        delays = iter([TERM_MICROS + 1, 0])

        def pass_time() -> None:
            self.runtime.now_micros += next(delays)

        writer, pool = await self.serve("k-one", pass_time)
        self.assertEqual((writer.status, writer.end, len(pool.calls)), (200, "whole", 2))
        self.assertEqual([headers["Salt"] != shared for headers in pool.sent_headers()], [True])

    def test_a_view_that_was_never_confirmed_is_not_served_on_a_machine_that_just_booted(self) -> None:
        # Guards against a clock near zero, by which "never confirmed" looked like a moment ago.
        self.runtime.now_micros = SECOND
        self.gateway.view_replica.confirmed_micros = -1
        self.assertIsNone(self.gateway.view())
        self.confirm_view()
        self.assertIsNotNone(self.gateway.view())


class MovedKeyTest(IsolationTestCase):
    """What one view decided is sent as a whole, or the request is placed anew."""

    async def serve_while(self, key: str, *views: View) -> list[tuple[str, str, str]]:
        """Puts one view after the other in force, each while a connection is made; returns what workers were told."""
        changes = iter(views)

        def put_next_view() -> None:
            self.use_view(next(changes, self.gateway.view_replica.view))

        writer, pool = await self.serve(key, put_next_view)
        self.assertEqual((writer.status, writer.end), (200, "whole"))
        return [(sent["Tenant"], sent["Salt"], sent["Urgency"]) for sent in pool.sent_headers()]

    def told_by(self, key: str, view: View) -> tuple[str, str, str]:
        """What a worker is told by this view alone."""
        self.use_view(view)
        tenant = view.tenant_by_hash[hash_key(key)]
        return tenant.name, self.choose(key).salt, str(combine_urgencies(ROUTE, tenant))

    async def test_a_key_that_moves_while_a_connection_is_made_never_mixes_two_tenants(self) -> None:
        # Guards against WALL: the name of the key's new tenant was sent with the salt of its former one.
        before = make_view(Tenant("one", [hash_key("k")], urgency=0), Tenant("two", [], urgency=3))
        after = make_view(Tenant("one", [], urgency=0), Tenant("two", [hash_key("k")], urgency=3))
        expected = self.told_by("k", after)
        self.use_view(before)
        self.assertEqual(await self.serve_while("k", after), [expected])

    async def test_a_tenant_that_becomes_isolated_while_a_connection_is_made_shares_no_more(self) -> None:
        # Guards against WALL: the salt of the group was sent after the tenant had left it.
        isolated = make_view(SHARED[0], Tenant("two", [hash_key("k-two")]))
        for key in ("k-one", "k-two"):
            expected = self.told_by(key, isolated)
            self.use_view(make_view(*SHARED))
            shared = self.choose(key).salt
            self.assertEqual(await self.serve_while(key, isolated), [expected])
            self.assertNotEqual(expected[1], shared)

    async def test_a_tenant_that_joins_or_leaves_elsewhere_changes_the_salt_of_the_group(self) -> None:
        # The salt of a group names all tenants outside of it, so the same tenant may get another salt.
        other = make_view(*SHARED, Tenant("new", []))
        expected = self.told_by("k-one", other)
        self.use_view(make_view(*SHARED))
        self.assertEqual(await self.serve_while("k-one", other), [expected])

    async def test_a_key_that_moves_at_every_connection_is_refused_as_not_run(self) -> None:
        views = [
            make_view(Tenant("one", [hash_key("k")]), Tenant("two", [])),
            make_view(Tenant("one", []), Tenant("two", [hash_key("k")])),
        ]
        count = 0

        def move_key() -> None:
            nonlocal count
            count += 1
            self.use_view(views[count % 2])

        self.use_view(views[0])
        writer, pool = await self.serve("k", move_key)
        self.assertEqual((writer.status, writer.end, pool.sent_headers()), (503, "whole", []))

    async def test_a_view_that_changes_nothing_for_a_request_lets_it_go_on(self) -> None:
        same = make_view(*SHARED)
        expected = self.told_by("k-one", same)
        self.use_view(make_view(*SHARED))
        pool_calls = await self.serve_while("k-one", same)
        self.assertEqual(pool_calls, [expected])

    async def test_a_route_that_changes_while_a_connection_is_made_is_followed(self) -> None:
        route = dataclasses.replace(ROUTE, urgency=0, tries=1)
        urgent = make_view(*SHARED, route=route)
        self.use_view(make_view(*SHARED))
        sent = await self.serve_while("k-one", urgent)
        self.assertEqual([urgency for _, _, urgency in sent], [str(combine_urgencies(route, SHARED[0]))])


if __name__ == "__main__":
    unittest.main()
