"""Text of a configuration, field by field, on its whole way: API, check, log, state, snapshot and view.

Acks: an unpaired surrogate in a name raised an exception in each core as the entry was applied, and no later entry was
applied or acknowledged any more. Such a text is refused with its path; what an earlier release logged is applied.
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

from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from pearhead.config.view import View
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.description_change import hash_change
from pearhead.control_plane.fleet_state import FleetState
from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_sequencer import RevisionSequencer
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Command, Record
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.runtime.text import find_unencodable
from tests.test_config_api import CONFIG
from tests.test_description_change import build_core, change, whole_description

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from config_api import build_config_api  # noqa: E402

Json = dict[str, Any]
HALF_PAIR = "fan-app \ud83d"
ESCAPED_HALF_PAIR = "fan-app \\ud83d"
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
