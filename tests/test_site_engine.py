"""Models of the emulated worker, store and cloud API, driven by explicit time; nothing sleeps."""

from __future__ import annotations

import random
import unittest
from typing import Any

from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.emulator.cloud import CloudModel
from pearhead.testbed.emulator.engine import (
    DeadlineExceeded,
    EngineModel,
    EngineOutput,
    EngineRequest,
    EngineSettings,
    FetchRequested,
    LateRejection,
    PieceProduced,
    PromptPartSpec,
    RequestRejectedError,
    RunAborted,
    RunFinished,
    RunStarted,
    SaveRequested,
)
from pearhead.testbed.emulator.ledger import SiteLedger
from pearhead.testbed.emulator.part_cache import KeptPart, PartCache, PartEventLog
from pearhead.testbed.emulator.store import StoreModel


def request(name: str, *parts: tuple[str, int], out: int = 8, **more: Any) -> EngineRequest:
    prompt_parts = tuple(PromptPartSpec(part, tokens) for part, tokens in parts)
    fields: dict[str, Any] = {
        "tenant": "one",
        "salt": "s",
        "model": "m",
        "deadline_at": 60 * SECOND,
        **more,
    }
    return EngineRequest(
        name, parts=prompt_parts, prompt_tokens=sum(p.tokens for p in prompt_parts), output_tokens=out, **fields
    )


def order(version: int, holder: str = "h", fence: int = 1, mode: str = "wait", **more: Any) -> dict[str, Any]:
    return {
        "Operation": "Revision",
        "Model": "m",
        "Revision": version,
        "Mode": mode,
        "Holder": holder,
        "Fence": fence,
        **more,
    }


class EngineCase(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = SiteLedger()
        self.engine = self.make_engine()

    def make_engine(self, **settings: Any) -> EngineModel:
        engine = EngineModel(EngineSettings(**settings), "w1", "i-1", "svc", "m", 1, random.Random(1), self.ledger)
        engine.name_version(2)
        return engine

    def run_engine(self, engine: EngineModel | None = None, limit: int = 60 * SECOND) -> list[tuple[int, EngineOutput]]:
        """Runs an engine up to a time; returns its outputs with the time of each."""
        model = engine or self.engine
        seen: list[tuple[int, EngineOutput]] = []
        while (event_at := model.next_event_at()) is not None and event_at <= limit:
            seen.extend((event_at, output) for output in model.advance(event_at))
        seen.extend((limit, output) for output in model.advance(limit))
        return seen

    def outputs_of(
        self, seen: list[tuple[int, EngineOutput]], kind: type[EngineOutput], ticket: int
    ) -> list[tuple[int, Any]]:
        return [(at, o) for at, o in seen if isinstance(o, kind) and getattr(o, "ticket", 0) == ticket]


class BatchTest(EngineCase):
    def test_a_stream_has_a_piece_for_each_stride_and_ends(self) -> None:
        ticket = self.engine.submit(0, request("a", ("p", 612), out=15))
        seen = self.run_engine()
        self.assertEqual([o.number for _, o in self.outputs_of(seen, PieceProduced, ticket)], [1, 2, 3])
        self.assertEqual([o.pieces for _, o in self.outputs_of(seen, RunStarted, ticket)], [3])
        self.assertEqual(len(self.outputs_of(seen, RunFinished, ticket)), 1)
        first_at = self.outputs_of(seen, PieceProduced, ticket)[0][0]
        # One step of 3,370 µs that reads 612 tokens, at 61.2 per millisecond.
        self.assertAlmostEqual(first_at, 3_370 + 10_000, delta=100)
        self.assertEqual(self.engine.cache.used_blocks, 39, "only the cached part stays in memory")

    def test_a_long_prompt_is_read_in_pieces_between_the_tokens_of_others(self) -> None:
        short = self.engine.submit(0, request("short", ("p", 16), out=50))
        self.run_engine(limit=5 * MILLI)
        long = self.engine.submit(5 * MILLI, request("long", ("q", 10_240), out=7))
        seen = self.run_engine()
        begun_at = self.outputs_of(seen, RunStarted, long)[0][0]
        before = [at for at, _ in self.outputs_of(seen, PieceProduced, short) if at < begun_at]
        self.assertGreaterEqual(len(before), 1)
        gaps = [b - a for a, b in zip(before, before[1:], strict=False)]
        self.assertLess(max(gaps, default=0), 7 * 22 * MILLI)
        self.assertGreater(begun_at, 10 * 1_024 / 61.2 * MILLI)

    def test_kept_parts_are_not_read_again_and_only_from_the_start_on(self) -> None:
        self.engine.submit(0, request("a", ("p", 160), ("q", 160)))
        self.run_engine(limit=SECOND)
        read = self.engine.tokens_read
        self.engine.submit(SECOND, request("b", ("p", 160), ("q", 160), ("own", 16)))
        self.run_engine(limit=2 * SECOND)
        self.assertEqual(self.engine.tokens_read - read, 16)
        read = self.engine.tokens_read
        self.engine.submit(2 * SECOND, request("c", ("new", 16), ("q", 160)))
        self.run_engine(limit=3 * SECOND)
        self.assertEqual(self.engine.tokens_read - read, 176)
        self.engine.submit(3 * SECOND, request("d", ("p", 160), salt="other"))
        self.run_engine(limit=4 * SECOND)
        self.assertEqual([(u.request_id, u.part) for u in self.ledger.uses], [("b", "p"), ("b", "q")])

    def test_capacity_then_a_queue_then_a_refusal(self) -> None:
        engine = self.make_engine(capacity=2, queue_limit=2)
        tickets = [engine.submit(0, request(f"r{n}", (f"p{n}", 16))) for n in range(4)]
        with self.assertRaises(RequestRejectedError) as caught:
            engine.submit(0, request("late", ("x", 16)))
        self.assertEqual(caught.exception.status, 503)
        urgent = engine.submit(0, request("urgent", ("y", 16), urgency=0))
        seen = self.run_engine(engine)
        self.assertEqual(
            len(self.outputs_of(seen, LateRejection, tickets[3])), 1, "the last one in the queue lost its place"
        )
        self.assertEqual(len(self.outputs_of(seen, RunFinished, urgent)), 1)
        self.assertLess(
            self.outputs_of(seen, RunStarted, urgent)[0][0], self.outputs_of(seen, RunStarted, tickets[2])[0][0]
        )
        self.assertNotIn("r3", [r.request_id for r in self.ledger.runs])

    def test_memory_runs_out_and_the_newest_is_put_back_and_read_anew(self) -> None:
        engine = self.make_engine(cache_tokens=16 * 24)
        first = engine.submit(0, request("first", ("p", 160), out=100))
        second = engine.submit(0, request("second", ("q", 160), out=100))
        seen = self.run_engine(engine)
        for ticket in (first, second):
            numbers = [o.number for _, o in self.outputs_of(seen, PieceProduced, ticket)]
            self.assertEqual(numbers, list(range(1, 16)), "no piece twice, none missing")
        self.assertGreater(engine.tokens_read, 320, "one prompt was read twice")
        self.assertEqual(len(self.ledger.runs), 2)
        with self.assertRaises(RequestRejectedError):
            engine.submit(0, request("huge", ("z", 16 * 30)))

    def test_the_longest_unused_part_gives_way_from_its_end_and_events_tell(self) -> None:
        engine = self.make_engine(cache_tokens=16 * 30)
        engine.submit(0, request("a", ("p", 160)))
        self.run_engine(engine, SECOND)
        engine.submit(SECOND, request("b", ("q", 160)))
        self.run_engine(engine, 2 * SECOND)
        engine.submit(2 * SECOND, request("c", ("r", 240)))
        self.run_engine(engine, 3 * SECOND)
        rows: list[Any] = engine.events.read(3 * SECOND, 0).events
        self.assertEqual([row[1] + str(row[3]) for row in rows], ["+p", "+q", "-p", "+r"])
        self.assertGreater(rows[2][4], 0, "partly cached")
        read = engine.tokens_read
        engine.submit(3 * SECOND, request("d", ("p", 160)))
        self.run_engine(engine, 4 * SECOND)
        self.assertLess(engine.tokens_read - read, 160)

    def test_deadlines_in_the_queue_promise_and_running_ones_do_not(self) -> None:
        engine = self.make_engine(capacity=1)
        running = engine.submit(0, request("running", ("p", 16), out=1_000, deadline_at=500 * MILLI))
        queued = engine.submit(0, request("queued", ("q", 16), deadline_at=100 * MILLI))
        reading = engine.submit(0, request("reading", ("r", 100_000), deadline_at=700 * MILLI))
        seen = self.run_engine(engine)
        self.assertEqual(len(self.outputs_of(seen, LateRejection, queued)), 1)
        self.assertEqual(self.outputs_of(seen, DeadlineExceeded, running)[0][0], 500 * MILLI)
        self.assertEqual(self.outputs_of(seen, DeadlineExceeded, reading)[0][0], 700 * MILLI)
        self.assertEqual([(r.request_id, r.status) for r in self.ledger.runs], [("running", 200), ("reading", 504)])

    def test_a_request_names_another_life_or_version(self) -> None:
        for more in ({"expected_instance": "i-2"}, {"expected_version": 2}):
            with self.assertRaises(RequestRejectedError) as caught:
                self.engine.submit(0, request("a", ("p", 16), **more))
            self.assertEqual(caught.exception.status, 421)

    def test_a_resumed_stream_goes_on_after_its_last_piece(self) -> None:
        ticket = self.engine.submit(0, request("a", ("p", 160), out=50, resumed_from=3))
        seen = self.run_engine()
        self.assertEqual([o.number for _, o in self.outputs_of(seen, PieceProduced, ticket)], [4, 5, 6, 7, 8])
        self.assertEqual(self.engine.tokens_read, 160 + 15, "tokens of earlier pieces are read too")

    def test_a_dropped_request_leaves_no_memory(self) -> None:
        ticket = self.engine.submit(0, request("a", ("p", 5_000)))
        self.engine.advance(SECOND // 100)
        self.engine.cancel(SECOND // 100, ticket)
        self.assertEqual((self.engine.cache.used_blocks, self.engine.running), (0, []))
        self.assertEqual(self.ledger.runs, [])


class MemoryTest(EngineCase):
    def count_used_blocks(self, engine: EngineModel) -> int:
        """Blocks of all parts, cached or only pinned, and those that running requests hold themselves."""
        parts = {id(p): p for p in engine.cache.parts.values()}
        parts |= {id(p): p for r in engine.running for p in r.pinned_parts}
        return sum(-(-p.tokens // 16) for p in parts.values()) + sum(r.private_blocks for r in engine.running)

    def test_no_block_is_lost_or_given_twice(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            engine = self.make_engine(capacity=4, queue_limit=8, cache_tokens=16 * 60)
            now, version, tickets = 0, 1, [0]
            for number in range(150):
                now += rng.randrange(20 * MILLI)
                for output in engine.advance(now):
                    if isinstance(output, FetchRequested):
                        found = [KeptPart("s", "m", key[2], 100, 1, "one") for key in output.keys[:1]]
                        engine.complete_fetch(now, output.ticket, rng.choice([None, [], found]))
                pick = rng.random()
                if pick < 0.1:
                    engine.cancel(now, rng.choice(tickets))
                elif pick < 0.15:
                    version += 1
                    engine.name_version(version)
                    engine.order(now, order(version, mode=rng.choice(["wait", "preempt", "retain"])))
                else:
                    parts = [(f"p{rng.randrange(3)}", 100), (f"q{rng.randrange(6)}", 90), (f"own{number}", 33)]
                    submitted = request(
                        f"r{number}",
                        *parts,
                        out=rng.randrange(1, 80),
                        urgency=rng.randrange(3),
                        source=rng.choice(["", "peer"]),
                        deadline_at=now + rng.randrange(1, 900) * MILLI,
                    )
                    try:
                        tickets.append(engine.submit(now, submitted))
                    except RequestRejectedError:
                        continue
                self.assertEqual(engine.cache.used_blocks, self.count_used_blocks(engine), (seed, number))
                self.assertLessEqual(engine.cache.used_blocks, engine.cache.total_blocks)
                self.assertGreaterEqual(engine.state()["CacheUsed"], 0)
            self.run_engine(engine, now + 5 * SECOND)
            self.assertEqual((engine.running, engine.queue, engine.state()["CacheUsed"]), ([], [], 0))


class MoveTest(EngineCase):
    def test_a_fetch_checks_neither_tenant_nor_version(self) -> None:
        ticket = self.engine.submit(0, request("a", ("p", 1_600), ("own", 16), source="peer"))
        fetches = [o for o in self.engine.advance(0) if isinstance(o, FetchRequested)]
        self.assertEqual([k[2] for k in fetches[0].keys], ["p", "own"])
        self.engine.complete_fetch(0, ticket, [KeptPart("s", "m", "p", 1_600, 7, "two")])
        self.run_engine()
        self.assertEqual(self.engine.tokens_read, 16)
        use = self.ledger.uses[0]
        self.assertEqual((use.made_version, use.made_tenant, use.version, use.tenant), (7, "two", 1, "one"))

    def test_moves_go_one_after_another_and_a_far_one_takes_twice_as_long(self) -> None:
        transfer_micros = 1_600 * 163_840 * 8 / 1_100_000
        for number, is_far in enumerate((False, True)):
            ticket = self.engine.submit(0, request(f"r{number}", (f"p{number}", 1_600), source="peer"))
            self.engine.complete_fetch(0, ticket, [KeptPart("s", "m", f"p{number}", 1_600, 1, "one")], is_far)
        self.assertAlmostEqual(self.engine.link_free_at, 2 * 1_700 + 3 * transfer_micros, delta=2)

    def test_a_miss_a_dead_source_and_a_long_wait_are_read_instead(self) -> None:
        delays = []
        for found, link_free_at in ((None, 0), ([], 0), ([KeptPart("s", "m", "p", 160, 1, "one")], 9 * SECOND)):
            engine = self.make_engine()
            engine.link_free_at = link_free_at
            ticket = engine.submit(0, request("a", ("p", 160), source="peer"))
            engine.complete_fetch(0, ticket, found)
            seen = self.run_engine(engine)
            self.assertEqual(engine.tokens_read, 160)
            delays.append(self.outputs_of(seen, RunStarted, ticket)[0][0])
        self.assertGreater(delays[0], 100 * MILLI)
        self.assertLess(max(delays[1:]), 10 * MILLI)

    def test_parts_are_saved_once_read_and_a_store_keeps_the_first(self) -> None:
        self.engine.submit(0, request("a", ("p", 160), target="store"))
        saved = [o for _, o in self.run_engine() if isinstance(o, SaveRequested)][0]
        store = StoreModel(16 * 20, random.Random(1))
        store.insert(0, list(saved.parts))
        store.insert(0, [KeptPart("s", "m", "p", 160, 2, "two")])
        self.assertEqual([(p.version, p.tenant) for p in store.get_cached_prefix([("s", "m", "p")])], [(1, "one")])
        store.insert(0, [KeptPart("s", "m", "q", 240, 2, "two")])
        self.assertEqual(store.events.read(SECOND, 0).events[1][1], "-")


class EventsTest(EngineCase):
    def test_events_are_late_lost_and_forgotten(self) -> None:
        events = PartEventLog(5, random.Random(3))
        cache = PartCache(16 * 100_000, events)
        cache.insert(0, KeptPart("s", "m", "p0", 16, 1, "one"))
        self.assertEqual(events.read(0, 0).next_page, 0, "not yet visible")
        self.assertEqual(events.read(80 * MILLI, 0).next_page, 1)
        events.lost_share = 1.0
        cache.insert(0, KeptPart("s", "m", "p1", 16, 1, "one"))
        page = events.read(SECOND, 1)
        self.assertEqual(
            (page.events, page.next_page, page.is_dropped), ([], 2, False), "the lost event leaves no trace but the gap"
        )
        events.lost_share = 0.0
        for number in range(4_001):
            cache.insert(0, KeptPart("s", "m", f"n{number}", 16, 1, "one"))
        self.assertTrue(events.read(SECOND, 1).is_dropped)
        self.assertTrue(events.read(SECOND, 9_999).is_dropped, "a number of another instance")

    def test_a_list_holds_up_work_and_a_report_is_old(self) -> None:
        self.engine.advance(0)
        self.engine.list_parts(0)
        ticket = self.engine.submit(0, request("a", ("p", 16), out=200))
        seen = self.run_engine(limit=120 * MILLI)
        self.assertGreaterEqual(self.outputs_of(seen, RunStarted, ticket)[0][0], 5 * MILLI)
        self.assertEqual(self.engine.report(60 * MILLI)["Active"], 0)
        self.assertEqual(self.engine.report(240 * MILLI)["Active"], 1)


class OrderTest(EngineCase):
    def test_statuses_of_orders(self) -> None:
        engine = self.engine
        self.assertEqual(engine.order(0, order(3)), 400, "a version that was not named")
        self.assertEqual(engine.order(0, {**order(2), "Holder": ""}), 400)
        self.assertEqual(engine.order(0, order(2, mode="soon")), 400)
        self.assertEqual(engine.order(0, order(1)), 200)
        self.assertEqual(engine.order(0, order(2, Expected=4)), 409)
        self.assertEqual(engine.order(0, order(2, fence=5, Expected=0)), 202)
        self.assertEqual(engine.order(0, order(2, fence=5)), 409, "an order is under way")
        self.assertEqual(engine.order(0, order(2, fence=4)), 412)
        self.run_engine(limit=SECOND)
        self.assertEqual((engine.version, engine.accepted_order_count), (2, 1))
        self.assertEqual(engine.order(SECOND, order(2, fence=5)), 200)

    def test_wait_lets_runs_end_and_refuses_what_has_not_begun(self) -> None:
        running = self.engine.submit(0, request("running", ("p", 16), out=30))
        self.run_engine(limit=20 * MILLI)
        reading = self.engine.submit(20 * MILLI, request("reading", ("q", 20_000)))
        self.run_engine(limit=30 * MILLI)
        self.engine.order(30 * MILLI, order(2))
        with self.assertRaises(RequestRejectedError):
            self.engine.submit(30 * MILLI, request("later", ("r", 16)))
        seen = self.run_engine()
        self.assertEqual(len(self.outputs_of(seen, RunFinished, running)), 1)
        self.assertEqual(len(self.outputs_of(seen, LateRejection, reading)), 1)
        self.assertEqual((self.engine.version, self.engine.cache.used_blocks), (2, 0))
        self.assertEqual([r.request_id for r in self.ledger.runs], ["running"])

    def test_preempt_resets_and_retain_goes_on_under_the_new_version(self) -> None:
        for mode, kind in (("preempt", RunAborted), ("retain", RunFinished)):
            engine = self.make_engine()
            ticket = engine.submit(0, request("a", ("p", 16), out=60))
            self.run_engine(engine, 20 * MILLI)
            engine.order(20 * MILLI, order(2, mode=mode))
            seen = self.run_engine(engine)
            self.assertEqual(len(self.outputs_of(seen, kind, ticket)), 1, mode)
            versions = [o.version for _, o in self.outputs_of(seen, PieceProduced, ticket) if o.version]
            self.assertEqual(versions, [2] if mode == "retain" else [])
            self.assertEqual((engine.version, engine.cache.used_blocks), (2, 0))

    def test_reports_show_an_order_a_lag_after_it_began_and_ended(self) -> None:
        self.engine.advance(0)
        self.engine.order(10 * MILLI, order(2))
        self.engine.advance(10 * MILLI)
        shown = []
        for at_millis in (100, 111, 409, 411, 511):
            self.engine.advance(at_millis * MILLI)
            report = self.engine.report(at_millis * MILLI)
            shown.append((report["Saturated"], report["CallSeq"], report["Models"][0]["Revision"]))
        self.assertEqual(shown, [(False, 0, 1), (True, 1, 1), (True, 1, 1), (True, 1, 1), (False, 1, 2)])

    def test_a_load_drops_what_was_kept_and_tells_of_it(self) -> None:
        self.engine.submit(0, request("a", ("p", 160)))
        self.run_engine(limit=SECOND)
        self.engine.order(SECOND, order(2))
        self.run_engine(limit=2 * SECOND)
        self.assertEqual(self.engine.cache.list_rows(), [])
        self.assertEqual(self.engine.events.read(2 * SECOND, 1).events[0][1:5], ["-", "s", "p", 0])


class CloudTest(unittest.TestCase):
    def entry(self, number: int, zone: str = "z", **more: Any) -> dict[str, Any]:
        return {"Id": f"i-{number}", "Service": "s", "Address": f"10.0.0.{number}:80", "Zone": zone, **more}

    def test_the_list_lags_has_pages_and_a_rate(self) -> None:
        cloud = CloudModel(800 * MILLI, 10, page_size=2)
        for number in range(3):
            cloud.record_heartbeat(1_000 * MILLI, self.entry(number))
        self.assertEqual(cloud.page(1_500 * MILLI, "", "")[1]["Servers"], [])
        status, body = cloud.page(1_900 * MILLI, "", "")
        self.assertEqual((status, len(body["Servers"]), body["NextPage"]), (200, 2, "p-2"))
        self.assertEqual(cloud.page(1_900 * MILLI, "", "p-2")[1]["NextPage"], None)
        self.assertEqual(cloud.page(1_900 * MILLI, "other", "")[1]["Servers"], [])
        statuses = [cloud.page(1_900 * MILLI, "", "")[0] for _ in range(10)]
        self.assertIn(429, statuses)
        self.assertEqual(cloud.page(2_900 * MILLI, "", "")[0], 200)

    def test_a_silent_worker_stays_some_seconds_and_a_new_life_takes_its_place(self) -> None:
        cloud = CloudModel(0, 1_000)
        cloud.record_heartbeat(0, self.entry(1))
        self.assertEqual(len(cloud.page(3 * SECOND, "", "")[1]["Servers"]), 1)
        self.assertEqual(len(cloud.page(5 * SECOND, "", "")[1]["Servers"]), 0)
        cloud.record_heartbeat(6 * SECOND, self.entry(1))
        cloud.record_heartbeat(7 * SECOND, {**self.entry(1), "Id": "i-next"})

        def listed(at: int) -> list[str]:
            cloud.record_heartbeat(at, {**self.entry(1), "Id": "i-next"})
            return [e["Id"] for e in cloud.page(at, "", "")[1]["Servers"]]

        self.assertEqual(
            listed(10 * SECOND), ["i-1", "i-next"], "the crashed instance stays listed beside its successor"
        )
        self.assertEqual(listed(10 * SECOND + 1), ["i-next"])

    def test_what_drains_is_listed_so_after_the_lag_and_recorded(self) -> None:
        ledger = SiteLedger()
        cloud = CloudModel(800 * MILLI, 1_000, sink=ledger)

        def state_at(at: int) -> list[str]:
            return [e["State"] for e in cloud.page(at, "", "")[1]["Servers"]]

        cloud.record_heartbeat(0, self.entry(1, State="ready"))
        cloud.record_heartbeat(2 * SECOND, self.entry(1, State="draining"))
        self.assertEqual(state_at(2_799 * MILLI), ["ready"])
        self.assertEqual(state_at(2_800 * MILLI), ["draining"])
        self.assertEqual(state_at(6 * SECOND + 1), ["draining"], "removals are shown after the lag, too")
        self.assertEqual(state_at(6_800 * MILLI + 1), [])
        state_changes = [(s.at // MILLI, s.instance, s.state) for s in ledger.shown]
        self.assertEqual(state_changes, [(800, "i-1", "ready"), (2_800, "i-1", "draining"), (6_800, "i-1", "gone")])

    def test_pages_join_to_the_whole_list_of_a_zone(self) -> None:
        cloud = CloudModel(0, 1_000, page_size=2)
        for number in range(7):
            cloud.record_heartbeat(0, self.entry(number, zone="z" if number % 2 else "y"))
        pages, token = [], ""
        while token is not None:
            status, body = cloud.page(0, "y", token)
            self.assertEqual(status, 200)
            pages.append([e["Id"] for e in body["Servers"]])
            token = body["NextPage"]
        self.assertEqual(pages, [["i-0", "i-2"], ["i-4", "i-6"]])

    def test_the_rate_is_that_of_all_callers_and_fills_again_with_time(self) -> None:
        cloud = CloudModel(0, 5)
        self.assertEqual([cloud.page(SECOND, "", "")[0] for _ in range(7)], [200] * 5 + [429] * 2)
        self.assertEqual([cloud.page(SECOND + 400 * MILLI, "", "")[0] for _ in range(3)], [200, 200, 429])
