"""Numbers that other programs choose freely, where they meet a field that is bounded (§3.8).

Guards against LOST of review case 8: a request with 2**64 - 1 tokens out was sent to a worker, its sum did not fit the
load report, and the exception closed the client's connection without an answer.
"""

from __future__ import annotations

import json
import random
import sys
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from pearhead.config.dataclass_parser import parse_dataclass
from pearhead.config.description import Description, Route, Split, Tenant
from pearhead.config.startup import StartupConfig
from pearhead.router.errors import Refusal
from pearhead.router.gateway import GatewayProcess, GatewaySettings
from pearhead.router.opaque_request import ForwardingMetadata, OpaqueRequest
from pearhead.router.placement import combine_urgencies
from pearhead.router.relay import sum_use_notes
from pearhead.router.roster_merge import pack_backend
from pearhead.router.upstream_pool import MAX_KEEP_ALIVE_SECONDS, UpstreamPool
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.rpc.wire_pb2 import Record, UseNote, WorkerUse
from pearhead.runtime.bounded_numbers import MAX_UINT32, MAX_UINT64, parse_saturated, saturate
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from tests.test_request_proxy import EVENTS, HEAD, FakeCall, FakePool, FakeResponseWriter, FakeSelector, make_view

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from config_translation import MAX_NUMBER, ConfigFormatError, ConfigTranslator, TranslatedConfig  # noqa: E402
from platform_protocol_adapter import MAX_TOKENS, PlatformProtocolAdapter  # noqa: E402
from platform_worker_client import _read_backend  # noqa: E402

ANY_NUMBER = st.integers(min_value=-(10**30), max_value=10**30) | st.sampled_from([10**400, 2**63, 2**64 - 1, 2**64])
UNBOUNDED = 2**64 - 1
ROUTE_NUMBERS = ("DeadlineMs", "SetpointMs", "GapSetpointMs", "Tries", "Urgency")
PROMPT = "a1:13300,b2:3720"


def try_parse(**headers: str) -> Result[OpaqueRequest, Refusal]:
    given_headers = HTTPHeaders({name.replace("_", "-"): text for name, text in headers.items()})
    given_headers.add("Host", "h")
    given_headers.add("X-Request-Id", "id")
    given_headers.add("Authorization", "Token k")
    return PlatformProtocolAdapter().parse_request("POST", "/a/x", given_headers, b"", FakeRuntime().now())


def parse(**headers: str) -> OpaqueRequest:
    return try_parse(**headers).unwrap()


class EchoingAdapter(PlatformProtocolAdapter):
    """Takes the responses of `FakeCall` as those to the request."""

    def _classify_response(self, request: Any, metadata: Any, status: int, headers: HTTPHeaders) -> Any:
        echoed = HTTPHeaders({**headers, "X-Request-Id": request.request_id, "X-Answer-Seal": "s"})
        return super()._classify_response(request, metadata, status, echoed)


def make_gateway(calls: list[FakeCall | None], missing_tokens: int) -> GatewayProcess:
    """A gateway that knows one other node, to which it announces its load, with scripted workers."""
    runtime = FakeRuntime()
    unused: Any = None
    startup = StartupConfig(address="a:1", httpAddress="a:2", area="a", seeds=["s:1"])
    gateway = GatewayProcess(startup, GatewaySettings(), runtime, runtime, unused, EchoingAdapter(), random.Random(1))
    gateway.directory.records["other"] = (Record(identity="other", address="b:1", role="router"), runtime.now())
    proxy: Any = gateway.request_proxy
    proxy.pool, proxy.selector = FakePool(calls), FakeSelector(missing_tokens)
    proxy.view_provider.view = lambda: make_view(stream=True, tries=1)
    return gateway


class UnboundedTokensTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_without_a_bound_on_its_tokens_gets_its_answer(self) -> None:
        # Guards against LOST: the sum of tokens did not fit the load report that is sent with a long prefill.
        for calls, status in (
            ([FakeCall(HEAD, (b"".join(EVENTS),))], 200),
            ([FakeCall((503, "", HTTPHeaders({"X-Not-Run": "1"})))], 503),
        ):
            for count in (str(UNBOUNDED), str(2**63 - 1), str(10**20), "9" * 5_000, "-1"):
                with self.subTest(status=status, count=count[:30]):
                    gateway = make_gateway(list(calls), missing_tokens=17_020)
                    writer = FakeResponseWriter()
                    request = parse(X_Token_Count=f"17020,{count}", X_Prompt_Prefix=PROMPT)
                    await gateway.request_proxy.serve(request, writer)
                    self.assertEqual((writer.status, writer.end), (status, "whole"))
                    self.assertEqual(gateway.load_tracker.own_loads, {})
                    self.assertEqual(gateway.request_proxy.bookkeeping.failures, {})

    def test_the_loads_of_many_unbounded_requests_are_reported(self) -> None:
        # Guards against a sum of loads that ends the requests of other clients, and the task that reports it.
        tracker = WorkerLoadTracker(FakeRuntime())
        for _ in range(40):
            tracker.begin("w", 2**63 - 1, UNBOUNDED)
        use = tracker.build_report().use[0]
        self.assertEqual((use.running, use.waiting_tokens, use.held_tokens), (40, MAX_UINT64, MAX_UINT64))
        for _ in range(40):
            tracker.end("w", 2**63 - 1, UNBOUNDED)
        self.assertEqual(tracker.own_loads, {})

    def test_a_relay_sums_what_no_field_can_hold(self) -> None:
        note = UseNote(use=[WorkerUse(worker="w", running=MAX_UINT32, held_tokens=MAX_UINT64, waiting_tokens=1)])
        use = sum_use_notes([note, note], 7).use[0]
        self.assertEqual((use.running, use.held_tokens, use.waiting_tokens), (MAX_UINT32, MAX_UINT64, 2))

    @settings(max_examples=200, deadline=None)
    @given(st.lists(ANY_NUMBER, min_size=1, max_size=8), ANY_NUMBER, ANY_NUMBER)
    def test_any_counts_are_read_reported_and_passed_on_unchanged(
        self, parts: list[int], prompt: int, output: int
    ) -> None:
        prefix = ",".join(f"a{place}:{_text(tokens)}" for place, tokens in enumerate(parts))
        token_count = f"{_text(prompt)},{_text(output)}"
        request = parse(X_Token_Count=token_count, X_Prompt_Prefix=prefix)
        self.assertEqual([part.tokens for part in request.parts], [saturate(n, MAX_TOKENS) for n in parts])
        self.assertEqual(request.output_tokens, saturate(output, MAX_TOKENS))
        tracker = WorkerLoadTracker(FakeRuntime())
        tracker.begin("w", request.prompt_tokens(), request.prompt_tokens() + request.output_tokens)
        tracker.build_report().SerializeToString()
        sent = PlatformProtocolAdapter().outgoing_headers(request, ForwardingMetadata(SECOND, "w"))
        self.assertEqual((sent["X-Token-Count"], sent["X-Prompt-Prefix"]), (token_count, prefix))

    def test_text_that_is_no_number_is_still_malformed(self) -> None:
        for headers in (
            {"X_Token_Count": "a,1"},
            {"X_Token_Count": "1,"},
            {"X_Prompt_Prefix": "a1"},
            {"X_Deadline": "nan"},
            {"X_Deadline": "1e400"},
            {"X_Deadline": "soon"},
        ):
            with self.subTest(headers=headers):
                self.assertIsInstance(try_parse(**headers), Err)

    def test_a_wait_of_any_length_is_read(self) -> None:
        for text in ("1e300", "9" * 500, "9" * 5_000, "-5"):
            self.assertGreater(parse(X_Deadline=text).wait_micros, 0)
            self.assertLessEqual(parse(X_Deadline=text).wait_micros, 2**53)


class NumbersOfWorkersTest(unittest.IsolatedAsyncioTestCase):
    def test_a_version_that_none_can_have_says_nothing(self) -> None:
        # Guards against an exception after a request was sent, for what its worker says of its weights.
        request, metadata = parse(X_Model="m"), ForwardingMetadata(SECOND, "w")
        for text, version in (("7", 7), (str(2**63), None), ("9" * 5_000, None), ("-1", None)):
            headers = HTTPHeaders({"X-Request-Id": "id", "X-Answer-Seal": "s", "X-Weight-Versions": text})
            head = PlatformProtocolAdapter().read_response_head(request, metadata, 200, "OK", headers)
            self.assertEqual(head.version, version)

    async def test_a_keep_alive_of_any_length_keeps_the_connection(self) -> None:
        runtime = FakeRuntime()
        for seconds in ("9" * 5_000, str(10**20)):
            kept: list[Any] = []
            pool: Any = UpstreamPool(runtime)
            pool.add_idle_connection = lambda address, idle, kept=kept: kept.append(idle)
            stream: Any = None
            pool.return_to_pool("w:1", stream, HTTPHeaders({"Keep-Alive": f"timeout={seconds}"}))
            self.assertLessEqual(kept[0].until_micros, runtime.now() + MAX_KEEP_ALIVE_SECONDS * SECOND)

    def test_a_listed_capacity_of_any_size_is_passed_on_to_other_nodes(self) -> None:
        # Guards against a list that no node can pass on, as one number in it does not fit the note.
        entry = {"Id": "i", "Address": "10.0.0.1:1", "Zone": "z", "Service": "s", "State": "ready", "ColdLeftMs": 0}
        backend = _read_backend({**entry, "Capacity": 2**40})
        self.assertEqual(pack_backend(backend).capacity, MAX_UINT32)

    def test_urgencies_outside_their_range_stay_within_the_header(self) -> None:
        for number in (-(10**30), -1, 0, 3, 10**30):
            route = Route("r", "h", "/", [Split("s", 1)], SECOND, urgency=number)
            tenant = Tenant("t", [], urgency=number)
            self.assertIn(combine_urgencies(route, tenant), range(10))
            self.assertIn(combine_urgencies(route, None), range(10))


class NumbersOfOperatorsTest(unittest.IsolatedAsyncioTestCase):
    async def translate(self, number: float) -> TranslatedConfig:
        async def yield_to_loop() -> None:
            return None

        engine = dict.fromkeys(("Capacity", "CacheTokens", "TokenBytes", "LinkMbps", "Concurrency"), number)
        route = {"Name": "r", "Hostname": "h", "Prefix": "/", "Split": [{"Service": "s", "Share": number}]}
        data = {
            "RouteTable": [
                route | dict.fromkeys(("DeadlineMs", "SetpointMs", "GapSetpointMs", "Tries", "Urgency"), number)
            ],
            "Services": [{"Name": "s", "ConnLimit": number, "Engine": {"Models": [{"Name": "m"}], **engine}}],
            "Tenants": [{"Name": "t", "Keys": ["k"], "Urgency": number}],
            "Limits": dict.fromkeys(("HeaderBytes", "BodyBytes", "HeaderReadMs", "IdleMs"), number),
        }
        return await ConfigTranslator(yield_to_loop).translate_configuration(data)

    async def test_a_configuration_with_numbers_of_any_size_is_stored_in_64_bits(self) -> None:
        # Guards against a stored number that raises an exception where a request meets it.
        for number in (10**400, 2**64, -(10**400), 1e300, 0.5):
            with self.subTest(number=f"{number:.3g}" if isinstance(number, float) else number.bit_length()):
                translated = await self.translate(number)
                route = json.loads(translated.routes[0][1])
                self.assertIsInstance(parse_dataclass(Route, route), Ok)
                self.assertIsInstance(parse_dataclass(Description, translated.document), Ok)
                if number > 1:
                    self.assertEqual(route["deadline_micros"], MAX_NUMBER * MILLI)

    async def test_an_infinite_number_is_refused_with_its_path(self) -> None:
        with self.assertRaisesRegex(ConfigFormatError, "RouteTable.0..Share|RouteTable.0..Split.0..Share"):
            await self.translate(float("inf"))

    def test_a_description_holds_no_number_beyond_64_bits(self) -> None:
        route = {"name": "r", "host": "h", "prefix": "/", "splits": [{"service": "s", "share": 1}]}
        for number, is_valid in ((2**63 - 1, True), (2**63, False), (-(2**63) - 1, False), (10**400, False)):
            parsed = parse_dataclass(Route, {**route, "deadline_micros": number})
            self.assertEqual(isinstance(parsed, Ok), is_valid)
            self.assertTrue(is_valid or parsed.unwrap_err()[0].startswith("deadline_micros: "))


class SaturationTest(unittest.TestCase):
    @given(ANY_NUMBER, st.integers(min_value=0, max_value=2**70))
    def test_a_saturated_text_is_the_saturated_number(self, value: int, limit: int) -> None:
        self.assertEqual(parse_saturated(_text(value), limit), saturate(value, limit))
        self.assertEqual(parse_saturated(f" {_text(value)} ", limit), saturate(value, limit))

    def test_other_text_is_refused(self) -> None:
        for text in ("", "-", "+", "1.5", "1e3", "0x1", "1 2", "--1", "\u0661", "1_000"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                parse_saturated(text, 10)


def _text(value: int) -> str:
    """The decimal text of a number that may be longer than `str` converts."""
    return "1" + "0" * 400 if value == 10**400 else str(value)


if __name__ == "__main__":
    unittest.main()
