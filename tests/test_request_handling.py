"""Requests and answers: cases from the platform's newest pages that no other test covers (docs/failures.md)."""

from __future__ import annotations

import sys
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tornado.httputil import HTTPHeaders

from pearhead.config.description import Description, Route, Service, Split, Tenant
from pearhead.config.tenant_key import hash_key
from pearhead.config.view import View
from pearhead.router.errors import ErrorKind
from pearhead.router.event_stream import EventSplitter
from pearhead.router.fleet_retry_budget import FleetRetryBudget
from pearhead.router.opaque_request import ForwardingMetadata, OpaqueRequest, PromptPart
from pearhead.router.request_proxy import RequestProxy
from pearhead.router.roster_merge import Roster
from pearhead.router.worker_control import Backend
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_selector import WorkerSelector
from pearhead.router.worker_version_table import WorkerVersionTable
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from tests.sharing import make_request, make_salt_builder
from tests.test_request_proxy import (
    HEAD,
    FakeCall,
    FakePool,
    FakeProtocolAdapter,
    FakeResponseWriter,
    FakeSelector,
    FakeViewProvider,
    make_view,
)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from config_translation import _ItemReader, _read_tenant  # noqa: E402
from platform_protocol_adapter import PlatformProtocolAdapter  # noqa: E402

SENT = {"X-Request-Id": "r1", "X-Model": "m", "X-Token-Count": "30,5", "X-Prompt-Prefix": "a1:20,b2:10"}
METADATA = ForwardingMetadata(800 * MILLI, "i-1", tenant="t")


def read(headers: dict[str, str]) -> OpaqueRequest:
    return PlatformProtocolAdapter().parse_request("POST", "/a/x", HTTPHeaders(headers), b"", 0).unwrap()


def outgoing(headers: dict[str, str], metadata: ForwardingMetadata = METADATA) -> HTTPHeaders:
    return PlatformProtocolAdapter().outgoing_headers(read(headers), metadata)


class DialectTest(unittest.TestCase):
    def test_what_names_a_request_and_its_prompt_reaches_the_worker_as_the_client_sent_it(self) -> None:
        sent = {**SENT, "X-Prompt-Prefix": "A1:20,  b2:10", "X-Request-Id": "R1 -x"}
        forwarded = outgoing(sent)
        self.assertEqual({name: forwarded[name] for name in sent}, sent)

    def test_no_word_of_a_client_on_kept_parts_reaches_a_worker(self) -> None:
        client_headers = {"X-Cache-Salt": "other", "X-Cache-Source": "10.0.0.1:1", "X-Cache-Target": "10.0.0.2:1"}
        self.assertEqual(set(client_headers) & set(outgoing({**SENT, **client_headers})), set())
        forwarded = outgoing({**SENT, **client_headers}, ForwardingMetadata(SECOND, "i-1", salt="ours"))
        self.assertEqual(forwarded["X-Cache-Salt"], "ours")
        self.assertEqual({"X-Cache-Source", "X-Cache-Target"} & set(forwarded), set())

    def test_the_version_of_an_answer_is_a_whole_number_of_the_requests_model(self) -> None:
        def versions(text: str, sent: dict[str, str]) -> dict[str, int]:
            headers = HTTPHeaders({"X-Request-Id": "r1", "X-Weight-Versions": text})
            return dict(PlatformProtocolAdapter().read_response_head(read(sent), METADATA, 200, "", headers).versions)

        self.assertEqual(versions("7", SENT), {"m": 7})
        self.assertEqual(versions(" 12 ", SENT), {"m": 12})
        self.assertEqual(versions("7", {"X-Request-Id": "r1"}), {}, "the request names no model")
        for unreadable in ("", "x", "-1", "1.5", "m=", "²"):
            self.assertEqual(versions(unreadable, SENT), {}, unreadable)

    def test_another_worker_at_an_address_tells_no_version_of_the_one_that_was_meant(self) -> None:
        for instance, versions in (("i-1", {"m": 7}), ("i-2", {})):
            headers = HTTPHeaders({"X-Weight-Versions": "7", "X-Instance": instance})
            self.assertEqual(
                PlatformProtocolAdapter().read_response_head(read(SENT), METADATA, 421, "", headers).versions, versions
            )

    def test_no_deadline_of_a_client_is_an_exception_or_counts_as_none(self) -> None:
        for text in ("inf", "-inf", "nan", "1e400", "soon"):
            result = PlatformProtocolAdapter().parse_request(
                "GET", "/", HTTPHeaders({**SENT, "X-Deadline": text}), b"", 0
            )
            self.assertTrue(result.is_err(), text)
            self.assertIs(result.unwrap_err().kind, ErrorKind.MALFORMED, text)
        for text in ("0", "0.0001", "-5"):
            wait_micros = read({**SENT, "X-Deadline": text}).wait_micros
            self.assertTrue(wait_micros and wait_micros < MILLI, f"{text}: read as no deadline")
        self.assertEqual(read(SENT).wait_micros, 0)

    def test_an_event_that_names_a_version_first_is_passed_on_and_counted_by_its_id(self) -> None:
        events = [b"id: 1\ndata: a\n\n", b"x-weight-versions: 3\nid: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"]
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(events[0] + events[1] + events[2][:5]), events[0] + events[1])
        self.assertEqual(splitter.last_id, "2")
        splitter.begin_run()
        self.assertEqual(splitter.feed(b"".join(events)), events[2], "no event is missing or repeated")


class SaltTest(unittest.TestCase):
    """WALL: no other tenant's requests reuse what was cached for an isolated tenant."""

    def salts(self, *isolated: bool) -> list[str]:
        tenants = []
        for number, is_isolated in enumerate(isolated):
            item = _read_tenant(_ItemReader({"Name": f"t{number}", "Keys": [], "Isolated": is_isolated}, "Tenants"))
            tenants.append(Tenant(item["name"], [], group=item["group"]))
        view = View()
        view.__dict__["description"] = Description(tenants=tenants)
        request = make_request(parts=[PromptPart("a1", 20), PromptPart("b2", 10)])
        salts = [make_salt_builder().salt(view, tenant, "m", 1, request).text for tenant in [*tenants, None]]
        self.assertNotIn("", salts, "an empty salt is shared by all")
        return salts

    def test_an_isolated_tenant_shares_with_nobody(self) -> None:
        first, second, third, fourth, nobody = self.salts(False, False, True, True)
        self.assertEqual(first, second)
        self.assertEqual(len({first, third, fourth, nobody}), 4)

    def test_who_becomes_isolated_finds_nothing_that_was_shared_and_leaves_nothing(self) -> None:
        shared, isolated = self.salts(False, False), self.salts(False, True)
        self.assertNotIn(isolated[1], shared)
        self.assertNotIn(isolated[0], shared, "the others reuse nothing that was cached while it shared")


class SharesTest(unittest.TestCase):
    """Duty and CONFIG: the services of a split get their shares of the requests."""

    COUNT = 3_000
    BOUND = 0.03

    def make_selector(self, *services: str) -> WorkerSelector:
        backends = {f"w-{name}": Backend(f"w-{name}", "10.0.0.1:1", "z", name, 8) for name in services}
        unused: Any = None
        runtime = FakeRuntime()
        roster = Roster(backends)
        loads = WorkerLoadTracker(runtime)
        return WorkerSelector(
            runtime, "z", lambda: roster, WorkerVersionTable(runtime), unused, loads, unused, lambda *given: True
        )

    def shares(self, splits: list[Split], ready: tuple[str, ...], excluded: frozenset[str]) -> dict[str, float]:
        names = [split.service for split in splits]
        route = Route("r", "h", "/a/", splits, SECOND)
        view = View()
        view.__dict__["description"] = Description(
            services=[Service(name, "application") for name in dict.fromkeys(names)], routes=[route]
        )
        selector = self.make_selector(*ready)
        counts = dict.fromkeys(names, 0)
        for number in range(self.COUNT):
            request = OpaqueRequest(f"{number:016x}", "GET", "/a/", "h", "/a/", HTTPHeaders(), b"", 0)
            counts[selector.choose(view, route, request, None, excluded).unwrap().service] += 1
        return {name: count / self.COUNT for name, count in counts.items()}

    def assert_shares(self, splits: list[Split], **expected: float) -> None:
        shares = self.shares(splits, tuple(split.service for split in splits), frozenset())
        for name, share in expected.items():
            self.assertAlmostEqual(shares[name], share, delta=self.BOUND, msg=str(splits))

    def test_each_part_gets_its_share(self) -> None:
        self.assert_shares([Split("a", 90), Split("b", 10)], a=0.9, b=0.1)
        self.assert_shares([Split("a", 1), Split("b", 1), Split("c", 2)], a=0.25, b=0.25, c=0.5)
        self.assert_shares([Split("a", 0), Split("b", 5)], a=0, b=1)
        self.assert_shares([Split("a", 300_000), Split("b", 700_000)], a=0.3, b=0.7)
        self.assert_shares([Split("a", 60), Split("b", 30), Split("a", 10)], a=0.7, b=0.3)

    def test_what_one_part_cannot_run_goes_to_the_others_and_to_none_with_a_share_of_zero(self) -> None:
        splits = [Split("a", 50), Split("b", 50), Split("c", 0)]
        self.assertEqual(self.shares(splits, ("b", "c"), frozenset()), {"a": 0, "b": 1, "c": 0})
        self.assertEqual(self.shares(splits, ("a", "b", "c"), frozenset({"w-a"})), {"a": 0, "b": 1, "c": 0})


class HandedTimeTest(unittest.IsolatedAsyncioTestCase):
    """BUDGET: the time that a worker is given never exceeds the client's remaining time, also for a retry."""

    async def ends(self, client_micros: int, turned_away_after_micros: int) -> list[int]:
        runtime, dialect = FakeRuntime(), TimingAdapter()
        turned_away = SlowCall(runtime, turned_away_after_micros, (503, "", HTTPHeaders()))
        pool: Any = FakePool([turned_away, FakeCall(HEAD, (b"ok",))])
        selector: Any = FakeSelector()
        route = Route("r", "h", "/a/", [Split("s", 1)], 4 * SECOND, tries=2)
        view = make_view()
        view.__dict__["description"] = Description(tenants=view.description.tenants, routes=[route])
        budget = FleetRetryBudget(runtime, 0.2, 50, 10 * SECOND)
        proxy = RequestProxy(
            runtime,
            FakeViewProvider(view),
            selector,
            WorkerLoadTracker(runtime),
            pool,
            budget,
            dialect,
            lambda: 1,
            lambda worker, head: None,
        )
        request = OpaqueRequest(
            "id", "POST", "/a/x", "h", "/a/x", HTTPHeaders(), b"", runtime.now(), hash_key("k"), client_micros
        )
        began_micros = runtime.now()
        writer = FakeResponseWriter()
        dialect.note = lambda left_micros: dialect.ends.append(runtime.now() + left_micros - began_micros)
        await proxy.serve(request, writer)
        self.assertEqual(writer.status, 200)
        return dialect.ends

    async def test_each_send_ends_with_the_client(self) -> None:
        for client_micros in (0, 3 * SECOND, 9 * SECOND):
            end_micros = min(client_micros or 4 * SECOND, 4 * SECOND)
            self.assertEqual(await self.ends(client_micros, 700 * MILLI), [end_micros, end_micros])


class TimingAdapter(FakeProtocolAdapter):
    def __init__(self) -> None:
        self.ends: list[int] = []
        self.note: Callable[[int], None] = lambda left_micros: None

    def outgoing_headers(self, request: OpaqueRequest, metadata: ForwardingMetadata) -> HTTPHeaders:
        self.note(metadata.remaining_micros)
        return super().outgoing_headers(request, metadata)


class SlowCall(FakeCall):
    """Answers after a delay."""

    def __init__(self, runtime: FakeRuntime, after_micros: int, head: Any) -> None:
        super().__init__(head)
        self.runtime = runtime
        self.after_micros = after_micros

    async def head(self, limit_micros: int) -> Any:
        self.runtime.now_micros += self.after_micros
        return await super().head(limit_micros)


class UnknownConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """DENIED: a node without configuration answers every request with 503."""

    async def test_no_key_and_no_route_is_refused_by_a_node_that_knows_nothing(self) -> None:
        for key, path in (("k", "/a/x"), ("wrong", "/a/x"), ("", "/a/x"), ("k", "/nowhere")):
            runtime, writer = FakeRuntime(), FakeResponseWriter()
            unused: Any = None
            selector: Any = FakeSelector()
            proxy = RequestProxy(
                runtime,
                FakeViewProvider(None),
                selector,
                WorkerLoadTracker(runtime),
                unused,
                unused,
                FakeProtocolAdapter(),
                lambda: 1,
                lambda worker, head: None,
            )
            request = OpaqueRequest("id", "GET", path, "h", path, HTTPHeaders(), b"", 0, hash_key(key) if key else "")
            await proxy.serve(request, writer)
            self.assertEqual((writer.status, writer.end), (503, "whole"), (key, path))
