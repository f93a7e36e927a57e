"""The checkers of the emulated platform, and its clients' own checks.

A checker that overlooks a breach hides faults of the system; one that reports a breach where the rules allow what
happened makes every run fail. So each rule is tested on a ledger without breaches, on planted breaches, and on what
the rules excuse.
"""

from __future__ import annotations

import random
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from pearhead.runtime.clock import SECOND
from pearhead.testbed.deployment import ACADEMY
from pearhead.testbed.emulator.checkers import CHECKERS, find_breaches
from pearhead.testbed.emulator.client import EventSplitter, RequestGenerator, SiteRequest, StreamChecker, check_head
from pearhead.testbed.emulator.ledger import (
    Arrival,
    BrokenOff,
    ConfigRead,
    ConfigSent,
    ConfigTry,
    Finished,
    LedgerFile,
    Life,
    OrderSeen,
    Record,
    Run,
    Shown,
    SiteLedger,
    Trouble,
    Try,
    Use,
    VersionNamed,
    read_ledger,
)
from pearhead.testbed.emulator.node_selector import NodeSelector
from pearhead.testbed.emulator.operator import apply_patch
from pearhead.testbed.emulator.plan import PlanMaker, SiteSize, node_settings
from pearhead.testbed.emulator.raw_http import RawResponseHead
from pearhead.testbed.emulator.response_format import Piece, ResponseSeal, parse_piece, parse_seal, piece_text
from pearhead.testbed.emulator.rules import SiteBounds


def route(name: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    return {"Name": name, "Hostname": "h", "Prefix": prefix, "Type": "stream", "Service": service, **more}


CONFIG: dict[str, Any] = {
    "Revision": 3,
    "RouteTable": [route("a", "/a/", "svc", Tries=2), route("b", "/b/", "other")],
    "Services": [{"Name": "svc"}, {"Name": "other"}],
    "Tenants": [
        {"Name": "one", "Keys": ["k1"], "Isolated": True},
        {"Name": "two", "Keys": ["k2"]},
        {"Name": "three", "Keys": ["k3"]},
    ],
}


def make_try(name: str, sent_at: int = 10 * SECOND, **more: Any) -> Try:
    made = Try(sent_at, sent_at + SECOND, name, "front-1", "h", "/a/x", "POST", "d", "k1", "a", "stream", False, 200)
    return replace(made, **more)


def make_arrival(name: str, **more: Any) -> Arrival:
    return replace(Arrival(10 * SECOND, "w1", "i-1", "svc", name, "POST", "/a/x", "d", "one", False), **more)


def make_run(name: str, **more: Any) -> Run:
    return replace(Run(10 * SECOND, "w1", "i-1", "svc", name, "one", "m", 1), **more)


def make_use(name: str, **more: Any) -> Use:
    return replace(Use(10 * SECOND, "w1", name, "one", "m", 1, "s", "p", 16, 1, "one"), **more)


def make_order(holder: str, fence: int, at: int = 0, status: int = 202) -> OrderSeen:
    return OrderSeen(at, "w1", "i-1", holder, fence, 2, "wait", status)


def make_config_try(
    number: int, base: int, content: str, at: int = SECOND, status: int = 200, **more: Any
) -> ConfigTry:
    return ConfigTry(at - SECOND, at, number, base, "core-1", status, content, **more)


def later_requests(count: int) -> list[Any]:
    """A route added by a later configuration, and requests on it that are refused."""
    changed = {**CONFIG, "Revision": 4, "RouteTable": [*CONFIG["RouteTable"], route("c", "/c/", "svc")]}
    return [
        ConfigSent(21 * SECOND, 22 * SECOND, 4, 3, 200, changed),
        ConfigRead(40 * SECOND, 4, changed),
        *(make_try(f"later-{n}", path="/c/x", route="c", status=503, sent_at=30 * SECOND) for n in range(count)),
    ]


def runs_on_several_workers(count: int, workers: int) -> list[Any]:
    """`count` requests that each ran at `workers` workers."""
    names = [f"spread-{n}" for n in range(count)]
    runs = [make_run(name, worker=f"w{w}", instance=f"i-{w}") for name in names for w in range(workers)]
    return [*(make_try(name, resumable=True) for name in names), *(make_arrival(name) for name in names), *runs]


def cuts_near_config_change(cut_before: int) -> list[Any]:
    """A configuration near which front-1 cut two of ten requests, and ten earlier ones of which it cut `cut_before`."""
    changed = {**CONFIG, "Revision": 5}
    records: list[Any] = [ConfigSent(40 * SECOND, 41 * SECOND, 5, 3, 200, changed), ConfigRead(60 * SECOND, 5, changed)]
    for number in range(10):
        cut = {"status": 0} if number < cut_before else {}
        records.append(make_try(f"before-{number}", sent_at=20 * SECOND, ended_at=21 * SECOND, **cut))
    for number in range(10):
        cut = {"status": 0} if number < 2 else {}
        records.append(make_try(f"beside-{number}", sent_at=42 * SECOND, ended_at=43 * SECOND, **cut))
    return records


def cut_while_running(ended_at: int, sent_at: int = 10 * SECOND) -> list[Any]:
    """A front node is stopped at 10 s, and cuts a request that a worker is running."""
    return [
        Trouble(10 * SECOND, "front-1", "router", "stopped"),
        make_try("x", status=0, sent_at=sent_at, ended_at=ended_at),
        make_arrival("x", at=sent_at),
        make_run("x", at=sent_at),
    ]


def unanswered_on_kept_connections(count: int) -> list[Any]:
    """Requests on reused connections that reach a worker and get no answer, with no planned operation near."""
    names = [f"closed-{n}" for n in range(count)]
    return [*(make_try(name, status=0, kept=True) for name in names), *(make_arrival(name) for name in names)]


def sound_ledger() -> SiteLedger:
    return SiteLedger(
        [
            ConfigSent(0, SECOND, 3, 0, 200, CONFIG),
            ConfigRead(20 * SECOND, 3, CONFIG),
            VersionNamed(2 * SECOND, 3 * SECOND, "m", 1),
            make_try("r1"),
            make_arrival("r1"),
            make_run("r1"),
            make_use("r1"),
            make_try("r2", key="k2"),
            make_arrival("r2", tenant="two"),
            make_run("r2", tenant="two"),
            make_use("r2", tenant="two", made_tenant="three"),
            make_try("r3", status=503),
            make_arrival("r3", turned_away=503),
            make_order("h", 1),
            make_order("h", 1, SECOND),
            make_order("g", 2, 5 * SECOND),
            make_order("h", 1, 9 * SECOND, 412),
        ]
    )


PLANTED: dict[str, list[Callable[[], list[Any]]]] = {
    "TWICE": [lambda: [make_run("r1", worker="w2")]],
    "REFUSED": [
        lambda: [make_try("x", status=503), make_arrival("x"), make_run("x")],
        lambda: [make_try("x", status=429), make_arrival("x"), make_run("x", at=90 * SECOND)],
    ],
    "UNASKED": [
        lambda: [make_arrival("ghost")],
        lambda: [make_try("x"), make_arrival("x", path="/a/y")],
        lambda: [make_try("x"), make_arrival("x", body_digest="e")],
        lambda: [make_try("x"), make_arrival("x", tenant="two")],
        lambda: [make_try("x"), make_arrival("x", has_key=True)],
    ],
    "ROUTE": [
        lambda: [make_try("x"), make_arrival("x", service="third"), make_run("x", service="third")],
        lambda: [make_try("x", key="k9"), make_arrival("x"), make_run("x")],
    ],
    "STALE": [lambda: [make_use("r1", made_version=0)]],
    "WALL": [lambda: [make_use("r1", made_tenant="two")], lambda: [make_use("r2", tenant="two", made_tenant="one")]],
    "MIXED": [lambda: [make_try("x", faults=(("MIXED", "another's answer"),))]],
    "ORDER": [lambda: [make_try("x", faults=(("ORDER", "a piece twice"),))]],
    "ONE": [
        lambda: [make_order("g", 1, 20 * SECOND)],
        lambda: [make_order("g", 1, 20 * SECOND, 409)],
        lambda: [make_order("h", 3, 10 * SECOND), make_order("g", 4, 11 * SECOND), make_order("h", 5, 12 * SECOND)],
        lambda: [make_order("f", 0, 20 * SECOND)],
        lambda: [
            make_order("g", 1, 20 * SECOND),
            Life(0, "ip-g", "g"),
            Trouble(17 * SECOND, "n", "router", "woken", "ip-g"),
        ],
    ],
    "VERSION": [lambda: [VersionNamed(SECOND, SECOND, "m", 2)]],
    "CONFIG": [
        lambda: [ConfigSent(SECOND, 2 * SECOND, 5, 0, 200, {**CONFIG, "Revision": 5})],
        lambda: [ConfigSent(30 * SECOND, 31 * SECOND, 9, 3, 200, CONFIG, is_valid=False)],
        lambda: [ConfigRead(22 * SECOND, 2, {})],
        lambda: [ConfigRead(22 * SECOND, 3, {**CONFIG, "Tenants": []})],
        lambda: [make_try("x", status=404)],
        lambda: [
            ConfigSent(
                2 * SECOND,
                3 * SECOND,
                7,
                3,
                200,
                {**CONFIG, "Revision": 7, "Tenants": [{"Name": "one", "Keys": ["k9"]}]},
            ),
            ConfigRead(23 * SECOND, 7, {**CONFIG, "Revision": 7, "Tenants": [{"Name": "one", "Keys": ["k9"]}]}),
        ],
        lambda: [make_config_try(3, 0, "a"), make_config_try(3, 0, "b", 2 * SECOND)],
        lambda: [make_config_try(2, 0, "a"), make_config_try(3, 0, "b", 2 * SECOND, is_lost=True)],
        lambda: [make_config_try(3, 0, "a"), make_config_try(3, 0, "a", 3 * SECOND, 412)],
        lambda: [make_config_try(3, 0, "a", is_lost=True), make_config_try(3, 0, "a", 3 * SECOND, 409)],
        lambda: [
            make_config_try(3, 0, "a"),
            make_config_try(5, 2, "b", 2 * SECOND, 0),
            make_config_try(3, 0, "a", 3 * SECOND, 400),
        ],
        lambda: [make_config_try(4, 3, "a", 18 * SECOND, is_lost=True)],
        lambda: [
            ConfigSent(30 * SECOND, 31 * SECOND, 6, 3, 412, {**CONFIG, "Revision": 6}),
            ConfigRead(33 * SECOND, 6, {**CONFIG, "Revision": 6}),
        ],
        lambda: later_requests(20),
    ],
    "DENIED": [lambda: [make_try(f"x{n}", status=404) for n in range(7)]],
    "DRAIN": [
        lambda: [Shown(5 * SECOND, "i-1", "draining"), make_try("x"), make_arrival("x")],
        lambda: [Shown(6_900_000, "i-1", "draining"), make_try("x"), make_arrival("x", turned_away=503)],
        lambda: [
            Shown(0, "i-1", "draining"),
            Trouble(3 * SECOND, "cloud", "cloud", "started"),
            Trouble(3 * SECOND, "front-1", "router", "woken"),
            Trouble(9 * SECOND, "front-2", "router", "killed"),
            make_try("x"),
            make_arrival("x"),
        ],
    ],
    "LOST": [
        lambda: [Trouble(10 * SECOND, "front-1", "router", "stopped"), make_try("x", status=0)],
        lambda: [
            Trouble(10 * SECOND, "front-1", "router", "stopped"),
            Trouble(9 * SECOND, "core-1", "control_plane", "stopped"),
            make_try("x", status=0, ended_at=14 * SECOND),
        ],
        lambda: [
            Trouble(10 * SECOND, "front-1", "router", "stopped"),
            make_try("x", status=0, ended_at=10 * SECOND + 100_000),
            make_arrival("x", turned_away=503),
        ],
        lambda: [
            Trouble(10 * SECOND, "front-1", "router", "stopped"),
            make_try("x", status=0, ended_at=16 * SECOND + 600_000),
            make_run("x"),
            make_arrival("x"),
        ],
        lambda: [
            Trouble(10 * SECOND, "front-1", "router", "stopped"),
            make_try("x", sent_at=13 * SECOND + 1, status=0, ended_at=17 * SECOND),
            make_run("x"),
            make_arrival("x"),
        ],
        lambda: [Trouble(9 * SECOND, "front-1", "router", "reloaded"), make_try("x", status=0)],
        lambda: cut_while_running(ended_at=16_600_000),
        lambda: cut_while_running(ended_at=17 * SECOND, sent_at=13_100_000),
        lambda: [*cut_while_running(ended_at=17 * SECOND), Finished(16_600_000, "w1", "x")],
        lambda: [
            Trouble(10 * SECOND, "front-1", "router", "stopped"),
            Trouble(10 * SECOND, "w2", "engine", "stopped"),
            make_try("x", status=0),
            make_arrival("x"),
        ],
        lambda: unanswered_on_kept_connections(4),
        lambda: cuts_near_config_change(cut_before=0),
    ],
    "BUDGET": [
        lambda: [make_arrival("r1", at=12 * SECOND + n, turned_away=503) for n in range(70)],
        lambda: runs_on_several_workers(count=4, workers=3),
    ],
}


class CheckersTest(unittest.TestCase):
    def test_a_sound_ledger_has_no_breach(self) -> None:
        self.assertEqual(find_breaches(sound_ledger()), [])

    def test_each_planted_breach_is_found_by_its_rule(self) -> None:
        self.assertEqual({c.rule for c in CHECKERS}, set(PLANTED))
        for rule, plants in PLANTED.items():
            for number, plant in enumerate(plants):
                with self.subTest(f"{rule} {number}"):
                    ledger = sound_ledger()
                    for record in plant():
                        ledger.record(record)
                    self.assertIn(rule, {b.rule for b in find_breaches(ledger)})

    def test_what_may_run_again_and_what_an_unsettled_core_stretches(self) -> None:
        ledger = sound_ledger()
        for record in (
            make_try("x", resumable=True),
            make_arrival("x"),
            make_run("x"),
            make_run("x", worker="w2"),
            make_try("y", kind="safe", status=503),
            make_arrival("y"),
            make_run("y"),
            VersionNamed(SECOND, SECOND, "m", 2),
            Trouble(6 * SECOND, "core-1", "control_plane", "killed"),
        ):
            ledger.record(record)
        self.assertEqual(find_breaches(ledger), [])

    def test_what_is_not_lost_and_not_late_at_a_draining_worker(self) -> None:
        ledger = sound_ledger()
        for record in (
            Trouble(10 * SECOND, "front-1", "router", "stopped"),
            make_try("x", status=0, unread=True),
            make_try("y", status=0, node="front-2"),
            make_try("z", status=0, ended_at=20 * SECOND, given_up=True),
            make_try("deadline", status=0, ended_at=12 * SECOND, deadline_at=12 * SECOND),
            make_try("slack", status=0, ended_at=10 * SECOND + 200_000),
            make_try("broken", status=0),
            BrokenOff(10 * SECOND, "w1", "broken"),
            make_try("working", sent_at=13 * SECOND, status=0, ended_at=16 * SECOND + 700_000),
            make_arrival("working"),
            make_run("working"),
            Shown(7_100_000, "i-1", "draining"),
            make_try("left"),
            make_arrival("left", at=20 * SECOND, turned_away=421),
            Shown(0, "i-2", "draining"),
            make_try("list-down"),
            make_arrival("list-down", instance="i-2"),
            Trouble(5 * SECOND, "cloud", "cloud", "started"),
            Shown(0, "i-3", "draining"),
            make_try("thawed", node="front-3"),
            make_arrival("thawed", instance="i-3"),
            Trouble(5 * SECOND, "front-3", "router", "woken"),
        ):
            ledger.record(record)
        self.assertEqual(find_breaches(ledger), [])
        ledger.record(make_try("v", status=0))
        self.assertEqual([b.rule for b in find_breaches(ledger)], ["LOST"])
        ledger.record(Trouble(9 * SECOND, "w1", "engine", "stopped"))
        self.assertEqual([b.rule for b in find_breaches(ledger)], ["LOST"], "the request had not reached that worker")
        ledger.record(make_arrival("v"))
        self.assertEqual(find_breaches(ledger), [], "the request's worker was stopped less than ContactMs before")

    def test_what_is_not_lost_late_or_old_during_a_fault_that_lasts(self) -> None:
        """A fault that lasts excuses losses from its beginning to its end, not only around its beginning."""
        stopped = Trouble(10 * SECOND, "front-1", "router", "stopped")
        for begin, end, name, program in (
            ("cut", "healed", "engine-1", "engine"),
            ("frozen", "woken", "core-1", "control_plane"),
            ("faulty", "sound", "engine-1", "engine"),
        ):
            lasting = [Trouble(2 * SECOND, name, program, begin), Trouble(30 * SECOND, name, program, end)]
            self.assert_sound(stopped, *lasting, make_try("x", status=0))
        listed = [Trouble(0, "cloud", "cloud", "cut"), Trouble(9 * SECOND, "cloud", "cloud", "healed")]
        self.assert_sound(Shown(0, "i-1", "draining"), *listed, make_try("x"), make_arrival("x"))
        newer = VersionNamed(SECOND, SECOND, "m", 2)
        link = [Trouble(SECOND, "engine-1", "engine", "cut"), Trouble(9 * SECOND, "engine-1", "engine", "healed")]
        self.assert_sound(newer, *link)

    def test_what_is_not_counted_of_kept_connections(self) -> None:
        self.assert_sound(*unanswered_on_kept_connections(3))
        self.assert_sound(*unanswered_on_kept_connections(4), Trouble(8 * SECOND, "w1", "engine", "killed"))
        self.assert_sound(*unanswered_on_kept_connections(4), Trouble(8 * SECOND, "front-1", "router", "woken"))
        self.assert_sound(
            *unanswered_on_kept_connections(4), *(BrokenOff(10 * SECOND, "w1", f"closed-{n}") for n in range(4))
        )

    def test_configurations_bind_machines_in_touch(self) -> None:
        old_key = make_try("x", key="k9")
        changed = {**CONFIG, "Revision": 4}
        dropped = {**CONFIG, "Tenants": [*CONFIG["Tenants"], {"Name": "four", "Keys": ["k9"]}]}
        story: list[Any] = [
            ConfigSent(0, SECOND, 2, 0, 200, {**dropped, "Revision": 2}),
            ConfigSent(6 * SECOND, 7 * SECOND, 4, 3, 200, changed),
            ConfigRead(20 * SECOND, 4, changed),
            old_key,
            make_arrival("x", tenant="four"),
            make_run("x", tenant="four"),
        ]
        ledger = sound_ledger()
        for record in story:
            ledger.record(record)
        self.assertEqual({b.rule for b in find_breaches(ledger)}, {"CONFIG"})
        ledger.record(Trouble(9 * SECOND, "front-1", "router", "woken"))
        self.assertNotIn("older configuration", " ".join(b.line() for b in find_breaches(ledger)))

    def assert_sound(self, *records: Any) -> None:
        ledger = sound_ledger()
        for record in records:
            ledger.record(record)
        self.assertEqual([b.line() for b in find_breaches(ledger)], [])

    def test_what_is_sound_about_configurations(self) -> None:
        again = make_config_try(3, 0, "a", 3 * SECOND)
        self.assert_sound(make_config_try(3, 0, "a", is_lost=True), make_config_try(3, 0, "a", 2 * SECOND, 0), again)
        self.assert_sound(make_config_try(3, 0, "a"), make_config_try(3, 0, "a", 3 * SECOND, 503))
        built_upon = make_config_try(5, 3, "b", 2 * SECOND, 0)
        self.assert_sound(make_config_try(3, 0, "a"), built_upon, make_config_try(3, 0, "a", 4 * SECOND, 412))
        self.assert_sound(
            make_config_try(3, 0, "a"),
            make_config_try(5, 3, "b", 2 * SECOND, 412),
            make_config_try(5, 3, "b", 3 * SECOND, 412),
        )
        under_way = ConfigSent(21 * SECOND, 22 * SECOND, 4, 3, 200, {**CONFIG, "Revision": 4})
        newest = ConfigRead(24 * SECOND, 4, {**CONFIG, "Revision": 4})
        self.assert_sound(under_way, ConfigRead(23 * SECOND, 3, CONFIG, asked_at=21_500_000), newest)
        self.assert_sound(*later_requests(19))
        self.assert_sound(*later_requests(20), Trouble(29 * SECOND, "engine-9", "engine", "killed"))

    def test_what_is_sound_about_orders_runs_and_cuts(self) -> None:
        turns = [make_order("h", 3, 20 * SECOND), make_order("g", 4, 21 * SECOND), make_order("h", 5, 22 * SECOND)]
        self.assert_sound(*turns, Life(0, "ip-g", "g"), Trouble(19 * SECOND, "n", "router", "woken", "ip-g"))
        thawed = [Life(0, "ip-g", "g"), Trouble(20 * SECOND, "n", "router", "woken", "ip-g")]
        self.assert_sound(*thawed, make_order("g", 1, 20_200_000, 412))
        self.assert_sound(*runs_on_several_workers(count=3, workers=3))
        self.assert_sound(*runs_on_several_workers(count=9, workers=2))
        self.assert_sound(*runs_on_several_workers(count=4, workers=3), Trouble(10 * SECOND, "w2", "engine", "killed"))
        self.assert_sound(*cuts_near_config_change(cut_before=1))
        changed = {**CONFIG, "Revision": 5}
        unclear = ConfigSent(15 * SECOND, 16 * SECOND, 5, 3, 0, changed)
        self.assert_sound(unclear, *cut_while_running(ended_at=17 * SECOND))

    def test_turns_of_a_holder_out_of_touch_count_where_workers_check_no_fences(self) -> None:
        ledger = sound_ledger()
        for holder, fence in (("h", 3), ("g", 4), ("h", 5)):
            ledger.record(make_order(holder, fence, (20 + fence) * SECOND))
        ledger.record(Life(0, "ip-g", "g"))
        ledger.record(Trouble(23 * SECOND, "n", "router", "woken", "ip-g"))
        self.assertEqual(find_breaches(ledger), [])
        self.assertEqual([b.rule for b in find_breaches(ledger, SiteBounds(is_fenced=False))], ["ONE"])

    def test_a_change_that_may_be_in_force_allows_both(self) -> None:
        ledger = sound_ledger()
        changed = {**CONFIG, "Revision": 5, "RouteTable": [route("a", "/a/", "other")]}
        ledger.record(ConfigSent(9 * SECOND, 14 * SECOND, 5, 3, 0, changed))
        ledger.record(make_try("x"))
        ledger.record(make_arrival("x", service="other"))
        ledger.record(make_run("x", service="other"))
        self.assertEqual(find_breaches(ledger), [])

    def test_a_ledger_on_files_reads_back_and_bears_a_cut_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            sink = LedgerFile(Path(folder) / "one.jsonl")
            ledger = sound_ledger()
            records: list[Record] = [*ledger.configs, *ledger.tries, *ledger.runs, *ledger.uses, *ledger.orders]
            for record in [*records, make_try("x", faults=(("MIXED", "so"),))]:
                sink.record(record)
            sink.file.write(b'{"type": "Run", "at')
            sink.close()
            held = read_ledger(Path(folder))
            self.assertEqual((held.configs, held.runs, held.orders), (ledger.configs, ledger.runs, ledger.orders))
            self.assertEqual(held.tries[-1].faults, (("MIXED", "so"),))


class ClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.plan = PlanMaker(ACADEMY, SiteSize(3, 3, 3), 1, 9).make()
        self.request = RequestGenerator(self.plan, self.plan.config, random.Random(1)).draw()
        self.seal = ResponseSeal(self.request.digest, "run", 3)

    def judge(
        self, numbers: list[int], request: SiteRequest | None = None, run: str = "run", resumed_from: int = 0
    ) -> list[str]:
        held = replace(request or self.request, is_resumable=False) if run == "run" else request or self.request
        check = StreamChecker(held, self.seal, resumed_from)
        for number in numbers:
            check.check_event(parse_piece(Piece(number, run, piece_text(self.request.digest, number)).encode()[:-2]))
        check.end()
        return [rule for rule, _ in check.faults]

    def test_streams(self) -> None:
        self.assertEqual(self.judge([1, 2, 3]), [])
        self.assertEqual(self.judge([2, 3], resumed_from=1), [])
        for numbers in ([1, 3], [1, 2, 2, 3], [1, 2], [2, 1, 3], []):
            self.assertIn("ORDER", self.judge(numbers), numbers)
        self.assertEqual(self.judge([1, 2, 3], replace(self.request, is_resumable=True), "another"), [])
        self.assertIn("ORDER", self.judge([1, 2, 3], replace(self.request, is_resumable=False), "another"))
        self.assertIn("MIXED", self.judge([1, 2, 3], replace(self.request, body=b"other")))
        for told, is_broken in (((0, 0, 0), False), ((0, 2, 0), False), ((0, 2, 1), True), ((1, 0, 0), True)):
            check = StreamChecker(self.request, self.seal, 0)
            check.check_version(2 if told[0] else 0)
            for number, version in enumerate(told, 1):
                check.check_event(Piece(number, "run", piece_text(self.request.digest, number), version))
            self.assertEqual("ORDER" in [rule for rule, _ in check.faults], is_broken, told)
        check = StreamChecker(self.request, self.seal, 0)
        check.check_event(parse_piece(b"what is this"))
        self.assertEqual(check.faults[0][0], "MIXED")

    def test_heads(self) -> None:
        good = {"x-request-id": "r", "x-answer-seal": self.seal.text()}
        self.assertEqual(check_head("r", self.request, RawResponseHead(200, good)), [])
        self.assertEqual(check_head("r", self.request, RawResponseHead(503, {})), [])
        failed = replace(self.seal, status=500).text()
        self.assertEqual(check_head("r", self.request, RawResponseHead(500, {"x-answer-seal": failed})), [])
        for status, headers in (
            (200, {"x-request-id": "r"}),
            (200, {**good, "x-answer-seal": "a.b.3.200"}),
            (200, {**good, "x-request-id": "q"}),
            (503, {"x-request-id": "q"}),
            (200, {**good, "content-encoding": "gzip"}),
            (503, good),
            (502, {"x-answer-seal": failed}),
            (200, {**good, "x-answer-seal": failed}),
        ):
            self.assertTrue(check_head("r", self.request, RawResponseHead(status, headers)), headers)
        for text in ("3e1b.07.5a2.600", "3e1b.07.3", "3e1b.07.3.ok", "3e1b.07.3.200.1"):
            self.assertIsNone(parse_seal(text), text)

    def test_events_are_cut_wherever_chunks_are(self) -> None:
        body = b"".join(Piece(n, "r", f"t/{n}").encode() for n in range(1, 5))
        for size in (1, 7, 1_000):
            splitter = EventSplitter()
            events = [e for i in range(0, len(body), size) for e in splitter.feed(body[i : i + size])]
            numbers = [piece.number for e in events if (piece := parse_piece(e))]
            self.assertEqual((numbers, splitter.incomplete), ([1, 2, 3, 4], b""))

    def test_a_node_is_out_after_two_misses_and_further_tries_go_elsewhere(self) -> None:
        node_selector = NodeSelector(self.plan.machines_of("router"))
        first = node_selector.pick("c", 0, [])
        self.assertEqual(node_selector.pick("c", 0, []).name, first.name)
        self.assertNotEqual(node_selector.pick("c", 1, [first.name]).name, first.name)
        node_selector.record_poll(first.name, False)
        self.assertIn(first, node_selector.in_use())
        node_selector.record_poll(first.name, False)
        self.assertNotIn(first, node_selector.in_use())
        for node in self.plan.machines_of("router"):
            node_selector.record_poll(node.name, False)
            node_selector.record_poll(node.name, False)
        self.assertEqual(len(node_selector.in_use()), 3, "with less than half of the nodes in use, all are used")

    def test_changes_by_name_and_settings(self) -> None:
        changed = apply_patch(
            CONFIG,
            {
                "Revision": 9,
                "Upsert": {"RouteTable": [route("c", "/c/", "svc")]},
                "Remove": {"RouteTable": ["a"], "Tenants": ["two"]},
            },
        )
        self.assertEqual([r["Name"] for r in changed["RouteTable"]], ["b", "c"])
        self.assertEqual([t["Name"] for t in changed["Tenants"]], ["one", "three"])
        self.assertEqual((changed["Revision"], CONFIG["Revision"]), (9, 3))
        core, front = self.plan.machines_of("control_plane")[0], self.plan.machines_of("router")[1]
        settings = node_settings(self.plan, core, "folder", True)
        self.assertEqual(
            (settings["DataDir"], settings["Counted"], list(settings["BindAddresses"])), ("folder", True, ["Control"])
        )
        self.assertIsNone(node_settings(self.plan, front, "folder", True)["DataDir"])
        self.assertEqual(len({m.ip for m in self.plan.machines}), len(self.plan.machines))
