"""WorkerSelector: which worker a request goes to, by known loads, cached parts and cache memory."""

from __future__ import annotations

import unittest
from typing import Any

from tornado.httputil import HTTPHeaders

from pearhead.config.description import Description, Route, Service, Split
from pearhead.config.view import View
from pearhead.router.cache_salt_builder import CacheSalt
from pearhead.router.opaque_request import OpaqueRequest, PromptPart
from pearhead.router.prefill_rate import FIRST_EVENT_MICROS, estimate_prefill_micros
from pearhead.router.prefix_cache_index import PrefixCacheIndex
from pearhead.router.roster_merge import Roster
from pearhead.router.worker_control import Backend
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_selector import WorkerChoice, WorkerSelector
from pearhead.router.worker_version_table import WorkerVersionTable
from pearhead.rpc.wire_pb2 import KeptNote, KeptPart
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.runtime.fake_runtime import FakeRuntime

ROUTE = Route("r", "h", "/a/", [Split("s", 1)], 5 * SECOND)


class FakeSalts:
    def salt(self, *given: Any) -> CacheSalt:
        return CacheSalt("salt", True)


class PlacerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        self.service = Service(
            "s", "model", ["l"], capacity=24, cache_tokens=100_000, token_bytes=160_000, link_mbps=500_000.0
        )
        self.store = Service("k", "store", store_address="10.0.0.9:1", store_zone="z", link_mbps=150_000.0)
        self.backends = {f"w{n}": Backend(f"w{n}", f"10.0.0.{n}:1", "z", "s", 24, False, {"l": 1}) for n in range(1, 7)}
        self.loads = WorkerLoadTracker(self.runtime)
        self.index = PrefixCacheIndex()
        roster = Roster(self.backends)
        versions = WorkerVersionTable(self.runtime)
        versions.apply_roster(roster)
        self.selector = WorkerSelector(
            self.runtime,
            "z",
            lambda: roster,
            versions,
            self.index,
            self.loads,
            FakeSalts(),  # type: ignore[arg-type]
            lambda view, line, version: True,
        )
        self.view = View()
        self.view.__dict__["description"] = Description(services=[self.service, self.store], routes=[ROUTE])

    def request(self, *tokens: int, name: str = "p", last_event_id: str = "") -> OpaqueRequest:
        parts = tuple(PromptPart(f"{name}{place}", count) for place, count in enumerate(tokens))
        return OpaqueRequest(
            "id",
            "POST",
            "/a/x",
            "h",
            "/a/x",
            HTTPHeaders(),
            b"",
            self.runtime.now(),
            line="l",
            parts=parts,
            output_tokens=100,
            last_event_id=last_event_id,
        )

    def choose(self, *tokens: int, name: str = "p", last_event_id: str = "") -> WorkerChoice:
        request = self.request(*tokens, name=name, last_event_id=last_event_id)
        return self.selector.choose(self.view, ROUTE, request, None, frozenset()).unwrap()

    def report_cached(self, holder: str, *tokens: int, name: str = "p") -> None:
        self.index.apply_note(
            KeptNote(
                worker=holder,
                life="a",
                sequence=1,
                whole=True,
                part=[KeptPart(salt="salt", part=f"{name}{place}", tokens=count) for place, count in enumerate(tokens)],
            )
        )

    def all_but(self, worker: str) -> list[str]:
        return [name for name in self.backends if name != worker]

    def test_no_worker_is_asked_for_more_than_its_memory_while_another_has_room(self) -> None:
        full = self.choose(12_000, 2_000).backend.name
        self.report_cached(full, 12_000)
        self.loads.begin(full, 0, 90_000)
        self.assertNotEqual(self.choose(12_000, 2_000).backend.name, full, "although it caches the shared part")
        for name in self.all_but(full):
            self.loads.begin(name, 0, 99_000)
        self.assertEqual(
            self.choose(12_000, 2_000).backend.name, full, "all exceed their memory: the one that exceeds it least"
        )

    def test_long_prompts_spare_some_workers_only_while_there_is_much_to_read(self) -> None:
        chosen = {self.choose(9_000, 500, name=f"n{n}-").backend.name for n in range(200)}
        self.assertEqual(len(chosen), 6, "all idle")
        for name in self.backends:
            self.loads.begin(name, 20_000, 20_000)
        unreserved = {self.choose(9_000, 500, name=f"m{n}-").backend.name for n in range(200)}
        self.assertEqual(len(unreserved), 4, "all with the same prefill backlog")
        for name in unreserved:
            self.loads.begin(name, 90_000, 20_000)
        self.assertNotIn(self.choose(9_000, 500, name="late-").backend.name, unreserved, "the others are much busier")

    def test_short_prompts_go_where_nothing_long_is_read(self) -> None:
        for name in self.all_but("w3"):
            self.loads.begin(name, 9_000, 9_500)
        self.assertEqual(self.choose(50, 200).backend.name, "w3")

    def test_a_short_prompt_goes_back_to_its_keeper_unless_that_is_much_busier(self) -> None:
        self.report_cached("w5", 60, 40)
        for _ in range(15):
            self.loads.begin("w5", 0, 200)
        self.assertEqual(self.choose(60, 40, 200).backend.name, "w5")
        self.loads.begin("w5", 9_000, 9_000)
        self.assertNotEqual(self.choose(60, 40, 200).backend.name, "w5")

    def test_what_was_read_counts_as_kept_from_the_first_event_until_the_worker_tells(self) -> None:
        worker = self.choose(9_000, 500).backend.name
        self.assertEqual(self.choose(9_000, 500).missing_tokens, 9_500, "not prefilled yet")
        self.selector.expect_cached(worker, "salt", ["p0"])
        self.loads.begin(worker, 2_000, 9_600)
        second_choice = self.choose(9_000, 500)
        self.assertEqual((second_choice.backend.name, second_choice.missing_tokens), (worker, 500))
        self.runtime.now_micros += 2 * SECOND
        self.assertEqual(self.choose(9_000, 500).missing_tokens, 9_500, "the worker never reported it")

    def test_what_a_keeper_has_is_fetched_though_reading_would_be_somewhat_quicker(self) -> None:
        self.report_cached("k", 9_000)
        choice = self.choose(9_000, 500)
        self.assertEqual((choice.fetch_from, choice.missing_tokens), (self.store.store_address, 500))
        self.store.__dict__["link_mbps"] = 20_000.0
        self.assertEqual(self.choose(9_000, 500).fetch_from, "", "three times as long as prefill")

    def test_a_caller_that_has_a_part_of_its_answer_goes_on_with_the_newest_weights(self) -> None:
        """Another node may have served the first part with the newest weights, before most workers have loaded them."""
        for newest in ("w4", "w2"):
            self.selector.version_table.record(newest, "l", 2)
            self.loads.begin(newest, 50_000, 50_000)
        for tokens in ((50, 200), (9_000, 500)):
            self.assertEqual(self.choose(*tokens).version, 1, "workers on the older weights are idle")
            resumed = self.choose(*tokens, last_event_id="3")
            self.assertEqual(resumed.version, 2)
            self.assertIn(resumed.backend.name, ("w2", "w4"))
        self.loads.record_failure("w2")
        self.loads.record_failure("w4")
        self.assertEqual(
            self.choose(50, 200, last_event_id="3").version, 1, "all workers on the newest weights are backed off"
        )

    def test_where_word_of_others_is_late_each_long_part_has_a_few_workers(self) -> None:
        """With late reports, all nodes would choose the one worker that seems idle. A busy home worker is avoided."""
        for name in self.all_but("w3"):
            self.loads.begin(name, 12_000, 12_000)
        self.assertEqual({self.choose(9_000, 500, name=f"a{n}-").backend.name for n in range(60)}, {"w3"})
        self.selector.are_load_reports_late = lambda: True
        chosen = {self.choose(9_000, 500, name=f"a{n}-").backend.name for n in range(60)}
        self.assertGreater(len(chosen), 3)
        home = self.choose(9_000, 500, name="b").backend.name
        self.loads.begin(home, 90_000, 90_000)
        self.assertNotEqual(self.choose(9_000, 500, name="b").backend.name, home)

    def test_where_word_of_others_is_late_a_keeper_that_is_no_home_is_chosen_all_the_same(self) -> None:
        self.selector.are_load_reports_late = lambda: True
        homes = set()
        for _ in range(4):
            homes.add(home := self.choose(9_000, 500, name="c").backend.name)
            self.loads.begin(home, 90_000, 90_000)
        self.loads.own_loads.clear()
        self.loads.totals_until = 0
        holder = min(set(self.backends) - homes)
        self.report_cached(holder, 9_000, name="c")
        self.assertEqual(self.choose(9_000, 500, name="c").backend.name, holder)

    def test_what_was_seen_of_an_engine_scales_all_that_is_reckoned_of_it(self) -> None:
        expected_micros = self.choose(9_000, 500).estimated_micros
        for _ in range(4):
            self.loads.prefill_rates.record_prefill(
                "s", 9_500, 0, round(0.25 * estimate_prefill_micros(9_500, 0)) + FIRST_EVENT_MICROS
            )
        self.assertAlmostEqual(self.choose(9_000, 500).estimated_micros, expected_micros / 4, delta=12 * MILLI)
        for name in self.backends:
            self.loads.begin(name, 20_000, 20_000)
        chosen = {self.choose(9_000, 500, name=f"m{n}-").backend.name for n in range(200)}
        self.assertEqual(len(chosen), 6, "the backlog is short: no worker is reserved")

    def test_the_reckoning_does_not_hold_the_pace_that_it_teaches(self) -> None:
        choice = self.choose(9_000, 500)
        self.assertAlmostEqual(choice.estimated_micros, estimate_prefill_micros(9_500, 0) + 12 * MILLI, delta=MILLI)
        for name in self.backends:
            for _ in range(100):
                self.loads.learn_slowdown(name, 9_500, choice.estimated_micros, 2 * choice.estimated_micros)
            self.assertAlmostEqual(self.loads.slowdown_of(name), 2.0, places=2)
        self.runtime.now_micros += 10 * SECOND
        self.assertEqual(self.choose(9_000, 500).estimated_micros, choice.estimated_micros)
