"""Changes of the description under operators' numbers (§5.4).

Faulty, racing and repeated changes, merging by name, what nodes see of routes, and the size of log and snapshots.
"""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from typing import Any

from result import Ok, Result
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from pearhead.config.startup import StartupConfig
from pearhead.config.view import ROUTE_SECTIONS, View
from pearhead.consensus.raft import RaftMember
from pearhead.consensus.snapshot_store import SnapshotLimits
from pearhead.consensus.wal import Wal
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.description_change import ChangeChecker, encode_route
from pearhead.control_plane.fleet_state import TAKEN_LIMIT, FleetState
from pearhead.control_plane.membership_controller import MembershipController
from pearhead.control_plane.operator_api import build_operator_api
from pearhead.rpc.wire_pb2 import ApplyDescription, Command, CommandResult, Entry, Member, Members, NameWeights
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import BootClock
from pearhead.runtime.fake_runtime import FakeRuntime
from pearhead.runtime.text import encode_json

Json = dict[str, Any]
KEY = "0" * 63


def route(name: str, prefix: str, service: str = "s", **more: Any) -> Json:
    """A valid route that sends everything to one service."""
    splits = [{"service": service, "share": 1}]
    return {"name": name, "host": "a.example", "prefix": prefix, "splits": splits, "deadline_micros": 5, **more}


def whole_description(**more: Any) -> Json:
    """A valid whole description, with some fields replaced or added."""
    return {
        "routes": [route("r1", "/a/", source="one"), route("r2", "/a/b/", source="two")],
        "services": [
            {"name": "s", "role": "model", "lines": ["m"], "source": "S"},
            {"name": "t", "role": "application"},
            {"name": "k", "role": "store"},
        ],
        "tenants": [{"name": "x", "keyHashes": [KEY + "1"], "source": "X"}],
        "limits": {"body_bytes": 7, "source": "L"},
        "source": "D",
        **more,
    }


class SingleCoreRaft:
    """Replaces the Raft member of a single core: a proposed command is applied at once."""

    def __init__(self, core: CoreProcess) -> None:
        self.core = core
        self.index = 0
        self.leads = True

    def is_leader(self) -> bool:
        return self.leads

    def leader_address(self) -> str:
        return ""

    def voters(self) -> dict[str, str]:
        return {"one": "a:1"}

    def members(self) -> Members:
        return Members(member=[Member(identity="one", address="127.0.0.1:1", voter=True)])

    async def confirm_leadership(self) -> bool:
        return self.leads

    async def propose(self, payload: bytes) -> Result[tuple[int, Any], str]:
        self.index += 1
        return Ok((self.index, self.core.apply(self.index, payload)))


def build_core() -> CoreProcess:
    """A core without disk and network that leads alone."""
    startup = StartupConfig(
        address="127.0.0.1:1", httpAddress="127.0.0.1:2", area="z", seeds=["127.0.0.1:1"], founders=["127.0.0.1:1"]
    )
    disk: Any = None
    core = CoreProcess(startup, BootClock(), FakeRuntime(), disk, random.Random(1), lambda reason: None)
    raft: Any = SingleCoreRaft(core)
    core.raft = raft
    unused: Any = None
    core.membership = MembershipController(
        "one", startup, startup.founders, raft, unused, unused, core.clock, lambda reason: None
    )
    return core


def change(base: int, number: int, document: object, by_name: bool = False) -> Command:
    """A command that changes the description; bytes are taken as the document as they are."""
    command = Command()
    command.change.base_number, command.change.number, command.change.by_name = base, number, by_name
    command.change.document = document if isinstance(document, bytes) else json.dumps(document).encode()
    return command


class ChangeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.core = build_core()

    async def run_change(self, base: int, number: int, document: object, by_name: bool = False) -> tuple[str, Json]:
        result: CommandResult = await self.core.execute(change(base, number, document, by_name))
        return result.status, json.loads(result.body)

    async def test_every_fault_is_told_and_nothing_of_it_is_in_force(self) -> None:
        zero_splits = [{"service": "s", "share": 0}, {"service": "t", "share": 0}]
        negative_splits = [{"service": "s", "share": 2}, {"service": "t", "share": -1}]
        cases: list[tuple[str, object]] = [
            ("can't be read", b"{"),
            ("must be an object", b"[]"),
            ("can't be read", b"\xff"),
            ("routes: must be a list", whole_description(routes={})),
            ("each must be an object", whole_description(routes=[1])),
            ("each must be an object", whole_description(routes=[{"host": "a"}])),
            ("no service 'z'", whole_description(routes=[route("r", "/", "z")])),
            ("is a store", whole_description(routes=[route("r", "/", "k")])),
            (
                "is matched by 'r1' too",
                whole_description(routes=[route("r1", "/"), route("r2", "/", host="A.EXAMPLE:80")]),
            ),
            ("add up to 0", whole_description(routes=[route("r", "/", splits=zero_splits)])),
            ("add up to 0", whole_description(routes=[route("r", "/", splits=[])])),
            ("below zero", whole_description(routes=[route("r", "/", splits=negative_splits)])),
            (
                "deadline_micros: must be above zero",
                whole_description(routes=[{**route("r", "/"), "deadline_micros": 0}]),
            ),
            ("deadline_micros: must be int", whole_description(routes=[{**route("r", "/"), "deadline_micros": "5"}])),
            (
                "deadline_micros: missing",
                whole_description(routes=[{"name": "r", "host": "a", "prefix": "/", "splits": []}]),
            ),
            ("begin and end", whole_description(routes=[route("r", "/a")])),
            ("begin and end", whole_description(routes=[route("r", "a/")])),
            ("'r' is named twice", whole_description(routes=[route("r", "/"), route("r", "/a/")])),
            ("must not be empty", whole_description(routes=[route("", "/")])),
            ("'s' is named twice", whole_description(services=[{"name": "s", "role": "model"}] * 2)),
            ("role: must be", whole_description(services=[{"name": "s", "role": "other"}])),
            ("'x' is named twice", whole_description(tenants=[{"name": "x", "keyHashes": []}] * 2)),
            ("a key of x too", whole_description(tenants=[{"name": n, "keyHashes": [KEY + "1"]} for n in "xy"])),
            ("SHA-256", whole_description(tenants=[{"name": "x", "keyHashes": ["1"]}])),
            ("body_bytes: must be", whole_description(limits={"body_bytes": "7"})),
            ("unknown field", whole_description(more=1)),
        ]
        await self.run_change(0, 1, whole_description())
        before = self.core.fleet.build_snapshot()
        for expected_fault, document in cases:
            status, body = await self.run_change(1, 2, document)
            self.assertEqual(status, "refused", (expected_fault, body))
            self.assertIn(expected_fault, " | ".join(body["faults"]))
        for expected_fault, partial_change in (
            ("no service 's'", {"remove": {"services": ["s"]}}),
            ("matched by", {"put": {"routes": [route("n", "/a/")]}}),
            ("named twice", {"put": {"services": [{"name": "n", "role": "model"}] * 2}}),
            ("named twice", {"put": {"routes": [route("n", "/n/"), route("n", "/o/")]}}),
            ("a key of x too", {"put": {"tenants": [{"name": "y", "keyHashes": [KEY + "1"]}]}}),
            ("put: must be", {"put": []}),
            ("must be list", {"remove": {"routes": [1]}}),
        ):
            status, body = await self.run_change(1, 2, partial_change, by_name=True)
            self.assertEqual(status, "refused", (expected_fault, body))
            self.assertIn(expected_fault, " | ".join(body["faults"]))
        for number in (0, 1):
            self.assertEqual((await self.run_change(1, number, whole_description(source="other")))[0], "refused")
        self.assertEqual(self.core.fleet.build_snapshot(), before)

    async def test_what_the_pages_call_valid_is_taken(self) -> None:
        splits = [{"service": "s", "share": 90}, {"service": "s", "share": 10}, {"service": "t", "share": 0}]
        document = whole_description(
            routes=[route("r/1 *", "/", splits=splits), route("r2", "/", host="b.example")],
            tenants=[{"name": "*", "keyHashes": []}, {"name": "y/z", "keyHashes": [KEY + "2"] * 2}],
        )
        self.assertEqual((await self.run_change(0, 5, document))[0], "done")
        self.assertEqual((await self.run_change(5, 900, {"routes": [], "services": []}))[0], "done")

    async def test_of_two_on_one_base_one_wins_also_when_both_were_checked(self) -> None:
        await self.run_change(0, 3, whole_description())
        commands = [change(3, number, whole_description(source=str(number))) for number in (5, 6)]
        results = await asyncio.gather(*(self.core.execute(command) for command in commands))
        self.assertEqual(sorted(result.status for result in results), ["conflict", "done"])
        number = self.core.fleet.description_number
        conflict = next(json.loads(result.body) for result in results if result.status == "conflict")
        self.assertEqual(conflict, {"status": "conflict", "number": number})
        self.assertEqual((await self.run_change(3, 9, b"{"))[1]["number"], number)

    async def test_a_description_applied_in_between_makes_it_a_conflict(self) -> None:
        await self.run_change(0, 3, whole_description())
        command = change(3, 4, {"remove": {"routes": ["r1"]}}, by_name=True)
        self.assertIsNone(await self.core._precheck_change(command))
        base = self.core.fleet.description_revision
        await self.core.execute(Command(apply=ApplyDescription(base_revision=base, description=b"{}")))
        self.assertEqual((await self.core.raft.propose(command.SerializeToString())).unwrap()[1]["status"], "conflict")

    async def test_an_exact_repeat_is_done_again_also_after_a_restart(self) -> None:
        first = await self.run_change(0, 3, whole_description())
        second = await self.run_change(3, 4, {"remove": {"routes": ["r1"]}}, by_name=True)
        self.assertEqual((first[0], second[0]), ("done", "done"))
        restarted = build_core()
        restarted.fleet.load_snapshot(self.core.fleet.build_snapshot())
        self.core = restarted
        self.assertEqual(await self.run_change(0, 3, whole_description()), first)
        self.assertEqual(await self.run_change(3, 4, {"remove": {"routes": ["r1"]}}, by_name=True), second)
        self.assertEqual((await self.run_change(0, 3, whole_description(source="E")))[0], "conflict")
        self.assertEqual((await self.run_change(4, 4, whole_description()))[0], "refused")
        self.assertEqual(len(self.core.fleet.routes), 1, "a repeat changed the state")
        for number in range(5, 5 + TAKEN_LIMIT):
            await self.run_change(number - 1, number, {}, by_name=True)
        self.assertEqual(
            (await self.run_change(0, 3, whole_description()))[0],
            "unknown",
            "a repeat must not be refused, however old it is",
        )

    async def test_by_name_replaces_in_place_appends_and_removes(self) -> None:
        await self.run_change(0, 1, whole_description())
        put = {
            "routes": [route("r3", "/c/"), route("r1", "/z/", source="anew")],
            "services": [{"name": "u", "role": "model", "lines": ["n"]}, {"name": "s", "role": "application"}],
        }
        document = {"put": put, "remove": {"routes": ["r2", "none"], "tenants": ["x"]}, "put_limits": {"body_bytes": 9}}
        self.assertEqual((await self.run_change(1, 8, document, by_name=True))[0], "done")
        current = await self.core.read_description()
        assert current is not None
        description = current["description"]
        self.assertEqual(current["number"], 8)
        self.assertEqual([(r["name"], r["prefix"]) for r in description["routes"]], [("r1", "/z/"), ("r3", "/c/")])
        self.assertEqual(description["routes"][0]["source"], "anew")
        self.assertEqual([s["name"] for s in description["services"]], ["s", "t", "k", "u"])
        self.assertEqual((description["tenants"], description["limits"]), ([], {"body_bytes": 9}))
        self.assertEqual(description["lines"], [{"name": "n", "weights": "1"}])

    async def test_lines_keep_their_weights_and_versions_never_fall(self) -> None:
        await self.run_change(0, 1, whole_description())

        async def set_weights(weights: str, rising: bool = True) -> str:
            name_weights = NameWeights(line="m", weights=weights, rising=rising)
            return str((await self.core.execute(Command(weights=name_weights))).status)

        self.assertEqual(self.core.fleet.weights["m"]["weights"], "1")
        self.assertEqual([await set_weights(weights) for weights in ("3", "2", "3", "10", "9")], ["done"] * 5)
        self.assertEqual(self.core.fleet.weights["m"]["weights"], "10")
        await self.run_change(1, 2, {"routes": [], "services": []})
        await self.run_change(2, 3, whole_description())
        self.assertEqual(self.core.fleet.weights["m"]["weights"], "10")
        await set_weights("2", rising=False)
        self.assertEqual(self.core.fleet.weights["m"]["weights"], "2", "an operator can go back to older weights")
        unknown_line_result = await self.core.execute(Command(weights=NameWeights(line="z", weights="1")))
        self.assertEqual(unknown_line_result.status, "refused")

    async def test_a_core_that_does_not_lead_and_knows_no_leader_tells_so(self) -> None:
        raft: Any = self.core.raft
        raft.leads = False
        self.assertEqual((await self.run_change(0, 1, whole_description()))[0], "unavailable")
        self.assertIsNone(await self.core.read_description())

    async def test_nodes_see_routes_in_buckets_and_no_sources(self) -> None:
        await self.run_change(0, 1, whole_description())
        fleet = self.core.fleet
        delta = fleet.delta_since(0, "")
        assert delta is not None
        shown = b"".join(section.body for section in delta.section)
        self.assertNotIn(b"source", shown)
        view = View().with_delta(delta)
        assert view is not None
        self.assertEqual(
            (view.description_number, view.services["s"].lines, view.tenant_by_hash[KEY + "1"].name), (1, ["m"], "x")
        )
        for host, path, expected_name in (
            ("a.example", "/a/b/c", "r2"),
            ("A.Example:8080", "/a/b", "r1"),
            ("a.example", "/a/", "r1"),
            ("a.example", "/a", ""),
            ("a.example", "/", ""),
            ("b.example", "/a/", ""),
            ("a.example", "", ""),
            ("a.example", "/a/b/", "r2"),
            ("a.example", "/A/b/", ""),
        ):
            matched = view.find_route(host, path)
            self.assertEqual(matched.name if matched else "", expected_name, (host, path))
        await self.run_change(1, 2, {"put": {"routes": [route("r1", "/z/")]}}, by_name=True)
        partial_delta = fleet.delta_since(view.index, view.hash)
        assert partial_delta is not None
        self.assertEqual(sum(section.name in ROUTE_SECTIONS for section in partial_delta.section), 1)
        changed = view.with_delta(partial_delta)
        assert changed is not None
        is_unrouted = [changed.find_route("a.example", path) is None for path in ("/a/", "/z/", "/a/b/")]
        self.assertEqual(is_unrouted, [True, False, False])
        self.assertIs(
            changed.find_route("a.example", "/a/b/"),
            view.find_route("a.example", "/a/b/"),
            "an unchanged route was parsed again",
        )
        restored = FleetState()
        restored.load_snapshot(fleet.build_snapshot())
        self.assertEqual((restored.sections, restored.build_snapshot()), (fleet.sections, fleet.build_snapshot()))

    async def test_an_older_releases_digest_and_description_are_read(self) -> None:
        data = {"routes": [route("r1", "/a/", source="one")], "services": whole_description()["services"]}
        await self.core.execute(Command(apply=ApplyDescription(description=json.dumps(data).encode())))
        fleet = self.core.fleet
        self.assertEqual(fleet.full_description(), {"services": data["services"], "routes": data["routes"]})
        older_digest = {name: value for name, value in fleet.read().items() if name != "description_number"}
        older_digest.update(parts={}, transactions=[], sections={}, description={})
        restored = FleetState()
        restored.load_snapshot(encode_json(older_digest))
        self.assertEqual((restored.description_revision, restored.description_number, restored.routes), (1, 0, {}))

    async def test_a_large_description_is_checked_in_pieces(self) -> None:
        command = change(0, 1, {"services": whole_description()["services"]})
        for number in range(1_000):
            command.change.route.append(encode_route(route(f"r{number}", f"/{number}/")))
        yield_count = 0

        async def yield_to_loop() -> None:
            nonlocal yield_count
            yield_count += 1

        checked = await ChangeChecker(yield_to_loop).check(command.change, {}, {})
        self.assertEqual((checked, yield_count), (Ok(None), 8))
        too_large = change(0, 1, b" " * (16 << 20))
        self.assertIn("over", (await ChangeChecker(yield_to_loop).check(too_large.change, {}, {})).unwrap_err()[0])


class OperatorCallsTest(AsyncHTTPTestCase):
    def get_app(self) -> Application:
        self.core = build_core()
        return build_operator_api(self.core, self.core.startup)

    def call(self, body: Json) -> tuple[int, Json]:
        response = self.fetch("/change", method="POST", body=json.dumps(body))
        return response.code, json.loads(response.body)

    def test_a_change_is_made_and_read_back(self) -> None:
        self.assertEqual(self.call({"number": 4, "base": 0, "description": whole_description()})[0], 200)
        self.assertEqual(self.call({"number": 5, "base": 4, "put": {"routes": [route("n", "/n/")]}})[0], 200)
        self.assertEqual(self.call({"number": 6, "base": 4, "remove": {"routes": ["n"]}})[0], 409)
        self.assertEqual(self.call({"number": 6, "base": 5, "remove": {"services": ["s"]}})[0], 422)
        malformed_bodies: list[Json] = [
            {"number": 6, "base": 5},
            {"number": 6, "description": {}},
            {"number": -1, "base": 5, "put": {}},
            {"number": 6, "base": 5, "put": {}, "description": {}},
        ]
        self.assertEqual([self.call(body)[0] for body in malformed_bodies], [400] * 4)
        current = json.loads(self.fetch("/description").body)
        self.assertEqual(
            (current["number"], [r["name"] for r in current["description"]["routes"]]), (5, ["r1", "r2", "n"])
        )
        raft: Any = self.core.raft
        raft.leads = False
        self.assertEqual(self.fetch("/description").code, 503)


class SizeTrackingDisk:
    """A disk in memory that records the most bytes it ever held, with old and new content while a file is replaced."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.peak_bytes = 0

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, file_name: str) -> bytes:
        return self.files[file_name]

    def _record_size(self, temporary_bytes: int) -> None:
        self.peak_bytes = max(self.peak_bytes, temporary_bytes + sum(map(len, self.files.values())))

    async def append(self, file_name: str, content_bytes: bytes) -> None:
        self.files[file_name] = self.files.get(file_name, b"") + content_bytes
        self._record_size(0)

    async def replace(self, file_name: str, content_bytes: bytes) -> None:
        self._record_size(len(content_bytes))
        self.files[file_name] = content_bytes

    async def remove(self, file_name: str) -> None:
        del self.files[file_name]

    async def truncate(self, file_name: str, kept_size: int) -> None:
        self.files[file_name] = self.files[file_name][:kept_size]


class LogBytesTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_storm_of_large_changes_leaves_a_small_folder(self) -> None:
        disk = SizeTrackingDisk()
        fleet = FleetState()
        task_group = BackgroundTaskGroup("test")
        member = RaftMember(
            "one",
            Wal(disk),
            fleet,
            lambda address, name, body: None,
            BootClock(),
            random.Random(1),
            task_group,
            self.fail,
            SnapshotLimits(bytes_per_snapshot=200_000),
        )
        await member.recover()
        await member.bootstrap("a:1")
        task_group.start(member.writer.run())
        member.roles.become_leader()
        filler = "f" * 100_000
        for number in range(1, 61):
            command = change(number - 1, number, whole_description(source=filler + str(number)))
            command.change.checked_revision = fleet.description_revision
            proposal = member.propose(command.SerializeToString())
            while not proposal.done():
                await asyncio.sleep(0)
            self.assertEqual(proposal.result().unwrap()[1]["status"], "done")
        task_group.stop()
        # Two snapshots and one being written, the log up to the next snapshot, and the entries that came while it was
        # written.
        self.assertLess(disk.peak_bytes, 900_000)
        self.assertLess(sum(len(entry.payload) for entry in member.log.entries), 700_000)
        recovered = RaftMember(
            "one",
            Wal(disk),
            FleetState(),
            lambda address, name, body: None,
            BootClock(),
            random.Random(1),
            BackgroundTaskGroup("test"),
            self.fail,
        )
        await recovered.recover()
        self.assertEqual(recovered.last_index(), member.last_index())

    async def test_one_batch_fits_a_frame_and_one_entry_always_goes(self) -> None:
        member = RaftMember(
            "one",
            Wal(SizeTrackingDisk()),
            FleetState(),
            lambda address, name, body: None,
            BootClock(),
            random.Random(1),
            BackgroundTaskGroup("test"),
            self.fail,
        )
        sizes = (3, 2, 5, 1, 1)
        member.log.entries = [
            Entry(index=index, epoch=1, payload=b"x" * (size << 20)) for index, size in enumerate(sizes, 1)
        ]
        batches = [[entry.index for entry in member.replication.batch_after(index)] for index in range(6)]
        self.assertEqual(batches, [[1], [2], [3], [4, 5], [5], []])
