"""Text of a configuration, field by field, on its whole way: API, check, log, state, snapshot, view and headers.

Acks: an unpaired surrogate in a name raised an exception in each core as the entry was applied, and no later entry was
applied or acknowledged any more. Starved: a tenant's name beyond Latin-1 ended each of its requests without an answer.
A text is either refused as a whole, with its path, or served as a whole; what an earlier release logged is applied.
"""

from __future__ import annotations

import asyncio
import copy
import json
import random
import sys
import unittest
from pathlib import Path
from typing import Any
from urllib.parse import quote

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from pearhead.config.tenant_key import hash_key
from pearhead.config.view import View
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.description_change import hash_change
from pearhead.control_plane.fleet_state import FleetState
from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_sequencer import RevisionSequencer
from pearhead.router.opaque_request import ForwardingMetadata
from pearhead.router.upstream_pool import CallLimits, UpstreamPool
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Command, Record
from pearhead.runtime.clock import SECOND, BootClock
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.runtime.text import find_unencodable
from tests.sharing import make_salt_builder
from tests.test_config_api import CONFIG
from tests.test_description_change import build_core, change, whole_description

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from config_api import build_config_api  # noqa: E402
from platform_protocol_adapter import PlatformProtocolAdapter  # noqa: E402

Json = dict[str, Any]
HALF_PAIR = "fan-app \ud83d"
ESCAPED_HALF_PAIR = "fan-app \\ud83d"
MALAYALAM = "കൊച്ചി സ്കൂൾ"
WRITABLE_TEXTS = (MALAYALAM, "Göteborg", "\U0001f600", "\u202eright to left", "100%", "tab\tinside")
UNWRITABLE_NAMES = ("a\r\nX-Urgency: 0", "nul\0", "x" * 70_000)
# The texts of a configuration: the path of each, as keys and positions.
TEXT_PATHS: tuple[tuple[str | int, ...], ...] = (
    ("RouteTable", 0, "Name"),
    ("RouteTable", 0, "Hostname"),
    ("RouteTable", 0, "Prefix"),
    ("RouteTable", 0, "Type"),
    ("RouteTable", 1, "Later", "x", 2),
    ("Services", 0, "Name"),
    ("Services", 0, "Probe"),
    ("Services", 0, "Engine", "Models", 0, "Name"),
    ("Services", 2, "CacheStore"),
    ("Services", 2, "Zone"),
    ("Tenants", 0, "Name"),
    ("Tenants", 0, "Keys", 0),
    ("Later", 0, "a"),
)


def with_text(config: Json, path: tuple[str | int, ...], text: str) -> Json:
    """The configuration with another text at a path, and with what refers to it changed alike."""
    changed: Any = copy.deepcopy(config)
    if path[-1] == "Prefix":
        text = f"/{text}/"
    if path == ("Services", 0, "Name"):
        changed["RouteTable"][0]["Service"] = text
        changed["RouteTable"][1]["Split"][0]["Service"] = text
    holder = changed
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = text
    result: Json = changed
    return result


def build_core_with_sequencer() -> CoreProcess:
    """A core that leads alone and, as a real one, joins the channels of its tenants as a change is applied."""
    core, runtime = build_core(), FakeRuntime()
    endpoint = RpcEndpoint("one", "127.0.0.1:1", runtime, runtime)
    record = Record(identity="one", address="127.0.0.1:1", role="control_plane")
    directory = Directory(record, [], endpoint, runtime, random.Random(1))
    core.revision_sequencer = RevisionSequencer(core, endpoint, directory, runtime, core.task_group, SECOND)
    return core


def read_view(state: FleetState) -> View:
    """The view of a node that gets the whole state."""
    delta = state.delta_since(0, "")
    assert delta is not None
    view = View().with_delta(delta)
    assert view is not None, "the hash of the view differs"
    return view


def reload(state: FleetState) -> FleetState:
    """The state after a restart from its snapshot."""
    loaded = FleetState()
    loaded.load_snapshot(state.build_snapshot())
    return loaded


class ConfigurationCase(AsyncHTTPTestCase):
    def get_app(self) -> Application:
        self.core = build_core_with_sequencer()
        return build_config_api(self.core)

    def send(self, method: str, body: Json, base: int, path: str = "/v1/config") -> tuple[int, Json]:
        # json.dumps writes an unpaired surrogate as the escape that any JSON reader takes.
        response = self.fetch(path, method=method, headers={"If-Match": str(base)}, body=json.dumps(body))
        return response.code, json.loads(response.body)

    def read_config(self) -> Json:
        response = self.fetch("/v1/config")
        self.assertEqual(response.code, 200)
        config: Json = json.loads(response.body.decode())
        return config

    def assert_changes_are_acknowledged(self, base: int) -> None:
        """A sound change on the present configuration is acknowledged, and so is a naming of weights."""
        patch = {"Revision": base + 1, "Upsert": {"Tenants": [{"Name": "sound", "Keys": []}]}}
        self.assertEqual(self.send("PATCH", patch, base)[0], 200)
        line = self.core.fleet.description["lines"][0]["name"]
        named = {"Model": line, "Revision": base + 1}
        self.assertEqual(self.send("POST", named, base, "/v1/version-put")[0], 200, line)


class AcknowledgementTest(ConfigurationCase):
    """Acks: one configuration that can't be read whole ended all changes for good."""

    def test_half_a_surrogate_pair_is_refused_with_its_path_and_later_changes_are_acknowledged(self) -> None:
        self.assertEqual(self.send("PUT", CONFIG, 0)[0], 200)
        base = CONFIG["Revision"]
        for path in TEXT_PATHS:
            changed = with_text({**CONFIG, "Revision": base + 1}, path, HALF_PAIR)
            status, answer = self.send("PUT", changed, base)
            self.assertEqual(status, 400, path)
            self.assertIn("unpaired surrogate", "".join(answer["Faults"]), path)
        isolated = {"Name": HALF_PAIR, "Keys": ["0123456789abcdefghij"], "Isolated": True}
        status, answer = self.send("PATCH", {"Revision": base + 1, "Upsert": {"Tenants": [isolated]}}, base)
        self.assertEqual(status, 400)
        self.assertIn("put.tenants[0].name: ", answer["Faults"][0])
        self.assertEqual(self.send("PATCH", {"Revision": base + 1, "Upsert": {HALF_PAIR: [{}]}}, base)[0], 400)
        self.assertEqual(self.read_config(), CONFIG, "nothing of it is in force")
        self.assert_changes_are_acknowledged(base)

    def test_naming_weights_of_such_a_model_is_answered(self) -> None:
        self.assertEqual(self.send("PUT", CONFIG, 0)[0], 200)
        self.assertEqual(self.send("POST", {"Model": HALF_PAIR, "Revision": 2}, 0, "/v1/version-put")[0], 503)
        self.assert_changes_are_acknowledged(CONFIG["Revision"])


class EarlierReleaseTest(unittest.TestCase):
    """Acks: what an earlier release put into the log or a snapshot is applied, read back, and can be taken away."""

    def logged_change(self, number: int, description: Json, by_name: bool = False) -> bytes:
        """The entry of an earlier release, which encoded unpaired surrogates one by one."""
        document = json.dumps(description, ensure_ascii=False).encode("utf-8", "surrogatepass")
        command = change(number - 1, number, document, by_name)
        command.change.checked_revision = number - 1
        command.change.content_hash = hash_change(command.change)
        return command.SerializeToString()

    def odd_description(self) -> Json:
        """A description with an unpaired surrogate in each text."""
        odd = whole_description()
        odd["tenants"].append({**odd["tenants"][0], "name": HALF_PAIR, "keyHashes": [], "source": '{"N":"\ud83d"}'})
        odd["services"][0] |= {"name": "s" + HALF_PAIR, "lines": ["m" + HALF_PAIR]}
        odd["services"][2]["store_zone"] = HALF_PAIR
        for route in odd["routes"]:
            route |= {"host": "h" + HALF_PAIR, "prefix": f"/{HALF_PAIR}{route['name']}/", "source": '"\ude00"'}
            route["splits"] = [{"service": "s" + HALF_PAIR, "share": 1}]
        return odd

    def test_a_logged_change_is_applied_and_its_channels_are_joined(self) -> None:
        core = build_core_with_sequencer()
        for body in (self.odd_description(), whole_description(tenants=self.odd_description()["tenants"])):
            number = core.fleet.description_number + 1
            self.assertEqual(core.apply(number, self.logged_change(number, body))["status"], "done")
        self.assertEqual([t["name"] for t in core.fleet.description["tenants"]], ["x", ESCAPED_HALF_PAIR])

    def test_a_logged_whole_description_is_applied(self) -> None:
        core = build_core_with_sequencer()
        command = Command()
        odd = self.odd_description()
        odd["routes"][0]["name"] = "r" + HALF_PAIR
        command.apply.description = json.dumps({**odd, "lines": [{"name": "m" + HALF_PAIR, "weights": "1"}]}).encode()
        self.assertEqual(core.apply(1, command.SerializeToString())["status"], "done")
        self.assertEqual(list(find_unencodable(core.fleet.read(), "")), [])
        self.assertIn("r" + ESCAPED_HALF_PAIR, core.fleet.routes)

    def test_state_snapshot_and_view_are_the_same_on_every_way(self) -> None:
        state = FleetState()
        self.assertEqual(state.apply(1, self.logged_change(1, self.odd_description()))["status"], "done")
        stored = self.stored_by_an_earlier_release()
        self.assertIn(b"\xed\xa0\xbd", stored, "the snapshot holds what this test is about")
        from_snapshot = FleetState()
        from_snapshot.load_snapshot(stored)
        self.assertEqual(from_snapshot.build_snapshot(), state.build_snapshot())
        self.assertEqual(reload(state).build_snapshot(), state.build_snapshot())
        self.assertEqual(read_view(from_snapshot).hash, read_view(state).hash)
        self.assertEqual(list(find_unencodable(state.read(), "")), [])
        description = read_view(state).description
        self.assertEqual([t.name for t in description.tenants], ["x", ESCAPED_HALF_PAIR])
        self.assertEqual(json.loads(state.description["tenants"][1]["source"]), {"N": "\ud83d"})

    def stored_by_an_earlier_release(self) -> bytes:
        """A snapshot whose texts hold unpaired surrogates."""
        raw = FleetState()
        raw.apply(1, self.logged_change(1, self.odd_description()))
        odd = self.odd_description()
        routes = {r["name"]: r for r in odd.pop("routes")}
        raw.description = {**raw.description, **odd, "lines": [{"name": "m" + HALF_PAIR, "weights": "1"}]}
        raw.weights = {"m" + HALF_PAIR: {"weights": "1", "revision": 1}}
        raw.routes = {
            name: (
                json.dumps(
                    {key: value for key, value in route.items() if key != "source"},
                    separators=(",", ":"),
                    ensure_ascii=False,
                ).encode("utf-8", "surrogatepass"),
                route["source"].encode("utf-8", "surrogatepass"),
            )
            for name, route in routes.items()
        }
        raw._set_description_sections(1)
        raw._set_section("weights", 1, raw.weights)
        return raw.build_snapshot()

    def test_a_node_reads_the_view_of_a_core_of_an_earlier_release(self) -> None:
        state = FleetState()
        state.apply(1, self.logged_change(1, self.odd_description()))
        odd = self.odd_description()
        odd.pop("routes")
        state._set_section("description", 2, {"revision": 2, "description": odd})
        self.assertEqual([t.name for t in read_view(state).description.tenants], ["x", ESCAPED_HALF_PAIR])

    def test_a_repeat_is_acknowledged_again_and_the_item_can_be_removed(self) -> None:
        async def play() -> None:
            core = build_core_with_sequencer()
            odd = self.odd_description()
            entry = self.logged_change(1, odd)
            raft: Any = core.raft
            await raft.propose(entry)
            self.assertEqual((await core.execute(Command.FromString(entry))).status, "done")
            removal = change(1, 2, {"put": {}, "remove": {"tenants": [HALF_PAIR]}}, by_name=True)
            self.assertEqual((await core.execute(removal)).status, "done")
            self.assertEqual([t["name"] for t in core.fleet.description["tenants"]], ["x"])

        asyncio.run(play())


class AnyTextTest(ConfigurationCase):
    """Any text in any field is refused as a whole, or served as a whole, and other changes are acknowledged after."""

    @settings(
        derandomize=True,
        max_examples=120,
        deadline=None,
        suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.differing_executors],
    )
    @given(
        st.sampled_from(TEXT_PATHS),
        st.text(st.characters(exclude_categories=()), max_size=20)
        | st.sampled_from((*WRITABLE_TEXTS, *UNWRITABLE_NAMES, HALF_PAIR)),
    )
    def test_a_text_is_refused_or_served_as_a_whole(self, path: tuple[str | int, ...], text: str) -> None:
        number = max(self.core.fleet.description_number, 7) + 2
        config = with_text({**CONFIG, "Revision": number}, path, text)
        before = self.core.fleet.build_snapshot()
        status, answer = self.send("PUT", config, self.core.fleet.description_number)
        if status == 400:
            self.assertTrue(answer["Faults"])
            self.assertEqual(self.core.fleet.build_snapshot(), before)
            self.assertEqual(
                self.send("PUT", {**CONFIG, "Revision": number}, self.core.fleet.description_number)[0], 200
            )
        else:
            self.assertEqual(status, 200)
            self.assertEqual(self.read_config(), config)
        self.assert_is_served(self.core.fleet)
        self.assert_changes_are_acknowledged(number)

    def assert_is_served(self, state: FleetState) -> None:
        """Every route is found and every tenant's request can be written, also after a restart of the core."""
        self.assertEqual(reload(state).build_snapshot(), state.build_snapshot())
        view = read_view(state)
        adapter = PlatformProtocolAdapter()
        request = adapter.parse_request("POST", "/a/x", HTTPHeaders({"X-Request-Id": "r"}), b"", 0).unwrap()
        for tenant in view.description.tenants:
            salt = make_salt_builder().salt(view, tenant, view.description.lines[0].name, 1, request).text
            metadata = ForwardingMetadata(
                SECOND, "i-1", tenant.name, salt=salt, copy_to=view.services["k"].store_address
            )
            for name, value in adapter.outgoing_headers(request, metadata).get_all():
                f"{name}: {value}".encode("latin-1")
                self.assertNotRegex(value, "[\r\n\0]")
        for route in view.description.routes:
            self.assertIsNotNone(view.find_route(route.host, route.prefix + "x"), route)


class ServedNameTest(ConfigurationCase):
    """Starved: each request of an acknowledged tenant whose name Latin-1 lacks ended without an answer."""

    def put(self, *changes: tuple[tuple[str | int, ...], str]) -> View:
        config = CONFIG
        for path, text in changes:
            config = with_text(config, path, text)
        self.assertEqual(self.send("PUT", config, 0), (200, {"Revision": CONFIG["Revision"]}))
        return read_view(self.core.fleet)

    def test_names_reach_workers_in_utf_8(self) -> None:
        for name in (*WRITABLE_TEXTS, "x" * 4_096):
            self.assertIn(b"\r\nX-Tenant: " + name.encode() + b"\r\n", asyncio.run(sent_bytes(tenant=name)))

    def test_other_texts_of_a_configuration_reach_workers(self) -> None:
        written = asyncio.run(sent_bytes(worker=MALAYALAM, copy_to=MALAYALAM, fetch_from="Göteborg:1"))
        for name, text in (("Expect-Instance", MALAYALAM), ("Cache-Target", MALAYALAM), ("Cache-Source", "Göteborg:1")):
            self.assertIn(f"\r\nX-{name}: {text}\r\n".encode(), written)

    def test_names_that_an_earlier_release_took_are_served_without_a_header_of_their_own(self) -> None:
        for name in UNWRITABLE_NAMES:
            head = asyncio.run(sent_bytes(tenant=name))
            self.assertEqual(head.count(b"\r\nX-Tenant: "), 1)
            self.assertNotIn(b"\r\nX-Urgency", head)
            self.assertLess(len(head), 5_000)

    def test_names_that_no_header_can_hold_are_refused_with_their_path(self) -> None:
        for path, told in (
            (("Tenants", 0, "Name"), "tenants[0].name"),
            (("Services", 0, "Engine", "Models", 0, "Name"), "services[0].lines[0]"),
            (("RouteTable", 0, "Hostname"), "routes[0].host"),
        ):
            for name in UNWRITABLE_NAMES:
                status, answer = self.send("PUT", with_text(CONFIG, path, name), 0)
                self.assertEqual(status, 400)
                self.assertTrue(answer["Faults"][0].startswith(f"{told}: must not "), answer)

    def test_one_stored_name_of_that_kind_keeps_no_other_item_from_being_changed(self) -> None:
        self.put()
        self.core.fleet.description["tenants"][0]["name"] = UNWRITABLE_NAMES[0]
        self.assert_changes_are_acknowledged(CONFIG["Revision"])

    def test_stored_routes_that_match_alike_keep_no_other_item_from_being_changed(self) -> None:
        self.put()
        stored = self.core.fleet.routes
        shown, source = stored["r-1"]
        stored["r-1"] = (shown.replace(b"/a/", b"/%2f/"), source)
        stored["r-2"] = (stored["r-2"][0].replace(b"/b/", b"/%2F/"), stored["r-2"][1])
        self.assert_changes_are_acknowledged(CONFIG["Revision"])
        third = {**CONFIG["RouteTable"][0], "Name": "r-3", "Prefix": "/%2f/"}
        base = self.core.fleet.description_number
        status, answer = self.send("PATCH", {"Revision": base + 1, "Upsert": {"RouteTable": [third]}}, base)
        self.assertEqual(status, 400)
        self.assertIn("is matched by", answer["Faults"][0])

    def test_keys_models_hosts_and_prefixes_beyond_ascii_are_found(self) -> None:
        view = self.put(
            (("Tenants", 0, "Keys", 0), MALAYALAM),
            (("RouteTable", 0, "Hostname"), "Köln.example"),
            (("RouteTable", 0, "Prefix"), MALAYALAM),
            (("Services", 0, "Engine", "Models", 0, "Name"), MALAYALAM),
        )
        target = "/" + quote(MALAYALAM).lower() + "/x"
        for host in ("köln.example:80", "xn--kln-sna.example"):
            headers = {"Host": host, "Authorization": f"Token {MALAYALAM}", "X-Model": MALAYALAM}
            # An HTTP library gives the bytes of a header as Latin-1.
            received = HTTPHeaders({name: text.encode().decode("latin-1") for name, text in headers.items()})
            request = PlatformProtocolAdapter().parse_request("POST", target, received, b"", 0).unwrap()
            route = view.find_route(request.host, request.path)
            assert route is not None, host
            self.assertEqual(route.name, "r-1")
            self.assertEqual(view.tenant_by_hash[request.key_hash].name, "t")
            self.assertIn(request.line, view.line_names)

    def test_a_key_in_latin_1_is_known_as_before(self) -> None:
        received = HTTPHeaders({"Authorization": "Token sch\xfcssel"})
        request = PlatformProtocolAdapter().parse_request("POST", "/a/x", received, b"", 0).unwrap()
        self.assertEqual(request.key_hash, hash_key("schüssel"))

    def test_a_target_that_could_not_be_sent_unchanged_is_refused(self) -> None:
        parsed = PlatformProtocolAdapter().parse_request("POST", "/a/\xe0\xb4", HTTPHeaders(), b"", 0)
        self.assertTrue(parsed.is_err())


async def sent_bytes(worker: str = "i-1", **metadata: Any) -> bytes:
    """What a worker gets on its socket for a request with this metadata."""
    received: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.set_result(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    async with await asyncio.start_server(take, "127.0.0.1", 0) as server, asyncio.timeout(5):
        adapter = PlatformProtocolAdapter()
        request = adapter.parse_request("POST", "/a/x", HTTPHeaders({"X-Request-Id": "r"}), b"", 0).unwrap()
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        call = (await UpstreamPool(BootClock()).call(address, CallLimits(SECOND))).unwrap()
        try:
            headers = adapter.outgoing_headers(request, ForwardingMetadata(SECOND, worker, **metadata))
            call.send("POST", "/a/x", headers, b"")
            return await received
        finally:
            await call.close()
