"""PrefillTracker: which requests wait for which prefills, and the state after each way that a prefill ends."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Sequence

from tornado.httputil import HTTPHeaders

from pearhead.router.opaque_request import OpaqueRequest, PromptPart
from pearhead.router.prefill_tracker import PrefillTracker
from pearhead.router.worker_control import Backend
from pearhead.router.worker_selector import WorkerChoice
from pearhead.rpc.wire_pb2 import ReadNote
from pearhead.runtime.clock import SECOND
from pearhead.runtime.fake_runtime import FakeRuntime


def make_request(*tokens: int) -> OpaqueRequest:
    parts = tuple(PromptPart(f"p{place}", count) for place, count in enumerate(tokens))
    return OpaqueRequest("id", "POST", "/", "h", "/", HTTPHeaders(), b"", 0, parts=parts)


def make_choice(missing_tokens: int, worker: str = "w1", salt: str = "salt") -> WorkerChoice:
    return WorkerChoice(
        Backend(worker, "a", "z", "s", 4), "s", "l", 1, salt, 0, missing_tokens, "", "", 1, missing_tokens
    )


REQUEST, CHOICE = make_request(9_000, 500), make_choice(9_500)


class ReadBookTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.runtime = FakeRuntime()
        self.sent_notes: list[ReadNote] = []
        self.cached: list[tuple[str, str, list[str]]] = []
        self.tracker = PrefillTracker(self.runtime, self.expect_cached, self.broadcast)

    def broadcast(self, note: ReadNote) -> None:
        copy = ReadNote()
        copy.CopyFrom(note)
        self.sent_notes.append(copy)

    def expect_cached(self, worker: str, salt: str, parts: Sequence[str]) -> None:
        self.cached.append((worker, salt, list(parts)))

    async def start_waiting(self, limit_micros: int = SECOND) -> asyncio.Task[bool]:
        waiter = asyncio.create_task(self.tracker.wait_for(CHOICE, REQUEST, limit_micros))
        await asyncio.sleep(0)
        return waiter

    async def test_a_read_of_this_node_is_waited_for_and_then_counts_as_kept(self) -> None:
        prefill = self.tracker.begin(CHOICE, REQUEST)
        assert prefill is not None
        waiter = await self.start_waiting()
        self.assertFalse(waiter.done())
        prefill.end(True)
        prefill.end(False)
        self.assertTrue(await waiter)
        self.assertEqual(self.cached, [("w1", "salt", ["p0"])])
        self.assertEqual([(n.is_over, n.is_kept) for n in self.sent_notes], [(False, False), (True, True)])
        self.assertEqual(self.tracker.prefills, {})

    async def test_a_read_that_fails_lets_go_of_who_waits_and_keeps_nothing(self) -> None:
        prefill = self.tracker.begin(CHOICE, REQUEST)
        assert prefill is not None
        waiter = await self.start_waiting()
        prefill.end(False)
        self.assertTrue(await waiter)
        self.assertEqual((self.cached, self.tracker.prefills), ([], {}))

    async def test_another_nodes_read_is_waited_for_until_its_end_is_told(self) -> None:
        note = ReadNote(worker="w2", salt="salt", part=["p0"])
        self.tracker.apply_note(note)
        waiter = await self.start_waiting()
        self.assertFalse(waiter.done())
        self.tracker.apply_note(ReadNote(worker="w2", salt="salt", part=["p0"], is_over=True, is_kept=True))
        self.assertTrue(await waiter)
        self.assertEqual((self.cached, self.sent_notes), ([("w2", "salt", ["p0"])], []))

    async def test_nobody_waits_for_a_read_whose_end_was_lost_nor_beyond_its_limit(self) -> None:
        self.tracker.apply_note(ReadNote(worker="w2", salt="salt", part=["p0"]))
        self.assertFalse(await self.tracker.wait_for(CHOICE, REQUEST, 0))
        self.assertTrue(await self.tracker.wait_for(CHOICE, REQUEST, 1))
        self.runtime.now_micros += 2 * SECOND
        self.assertFalse(await self.tracker.wait_for(CHOICE, REQUEST, SECOND))

    async def test_other_parts_other_salts_and_short_reads_wait_for_nothing(self) -> None:
        self.tracker.begin(CHOICE, REQUEST)
        for choice, request in (
            (make_choice(9_500, salt="other"), REQUEST),
            (make_choice(500), REQUEST),
            (make_choice(9_500), make_request(9_500)),
            (make_choice(900), make_request(400, 500)),
        ):
            self.assertFalse(await self.tracker.wait_for(choice, request, SECOND))
            self.assertIsNone(self.tracker.begin(choice, request) if choice.salt == "salt" else None)
