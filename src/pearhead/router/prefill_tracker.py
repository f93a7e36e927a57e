"""PrefillTracker (§8.8): long reads under way at workers, so that nobody reads the same parts at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from pearhead.router.opaque_request import OpaqueRequest
from pearhead.router.worker_selector import LONG_TOKENS, WorkerChoice
from pearhead.rpc.wire_pb2 import ReadNote
from pearhead.runtime.clock import MILLI, SECOND, Clock

MAX_PREFILL_WAIT_MICROS = 1_200 * MILLI
TRACKED_PREFILL_TTL_MICROS = 1_500 * MILLI

PrefillKey = tuple[str, str]


class TrackedPrefill:
    """One request that reads shared parts which nobody keeps; its owner ends it in any case."""

    def __init__(self, book: PrefillTracker, key: PrefillKey, note: ReadNote, until_micros: int) -> None:
        self.book = book
        self.key = key
        self.note = note
        self.until_micros = until_micros
        self.is_over = asyncio.Event()

    def end(self, is_kept: bool) -> None:
        """With its first event its parts are kept; when it failed before, somebody else has to read them."""
        if not self.is_over.is_set():
            self.note.is_over, self.note.is_kept = True, is_kept
            self.book.close(self)
            self.book.broadcast(self.note)


class PrefillTracker:
    """Own reads and those that other nodes told of. `expect_cached`: a worker keeps parts now; `broadcast`: to all
    nodes."""

    def __init__(
        self,
        clock: Clock,
        expect_cached: Callable[[str, str, Sequence[str]], None],
        broadcast: Callable[[ReadNote], None],
    ) -> None:
        self.clock = clock
        self.expect_cached = expect_cached
        self.broadcast = broadcast
        self.prefills: dict[PrefillKey, TrackedPrefill] = {}

    def begin(self, choice: WorkerChoice, request: OpaqueRequest) -> TrackedPrefill | None:
        """Called once it is sent and counted as the worker's use; None if others gain nothing by knowing."""
        key = _prefill_key(choice, request)
        if key is None:
            return None
        note = ReadNote(worker=choice.backend.name, salt=choice.salt, part=[p.part for p in request.parts[:-1]])
        read = self.prefills[key] = TrackedPrefill(self, key, note, self.clock.now() + TRACKED_PREFILL_TTL_MICROS)
        self.broadcast(note)
        return read

    def apply_note(self, note: ReadNote) -> None:
        """Another node's word."""
        key = (note.salt, note.part[-1]) if note.part else None
        if key is None:
            return
        previous = self.prefills.get(key)
        if not note.is_over:
            if previous is None or previous.until_micros <= self.clock.now():
                self.prefills[key] = TrackedPrefill(self, key, note, self.clock.now() + TRACKED_PREFILL_TTL_MICROS)
        elif previous is not None and previous.note.worker == note.worker:
            previous.note.is_kept = note.is_kept
            self.close(previous)
        elif note.is_kept:
            self.expect_cached(note.worker, note.salt, note.part)

    def close(self, read: TrackedPrefill) -> None:
        if self.prefills.get(read.key) is read:
            del self.prefills[read.key]
        if read.note.is_kept:
            self.expect_cached(read.note.worker, read.note.salt, read.note.part)
        read.is_over.set()

    async def wait_for(self, choice: WorkerChoice, request: OpaqueRequest, limit_micros: int) -> bool:
        """Waits for the end of a read of the same parts; whether there was one, so that it is placed anew."""
        key = _prefill_key(choice, request)
        read = self.prefills.get(key) if key is not None else None
        if read is None:
            return False
        left_micros = min(read.until_micros - self.clock.now(), MAX_PREFILL_WAIT_MICROS, limit_micros)
        if left_micros <= 0:
            return False
        try:
            await asyncio.wait_for(read.is_over.wait(), left_micros / SECOND)
        except TimeoutError:
            pass
        return True


def _prefill_key(choice: WorkerChoice, request: OpaqueRequest) -> PrefillKey | None:
    """The last shared part: it is kept only behind all before it."""
    shared = request.parts[:-1]
    if not shared or choice.missing_tokens - request.parts[-1].tokens < LONG_TOKENS:
        return None
    return choice.salt, shared[-1].part
