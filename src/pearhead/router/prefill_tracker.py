"""Tracking of long prefills in progress (§8.8), so that no two workers prefill the same parts at the same time."""

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
    """The prefill, for one request, of shared parts that are not cached yet. Whoever began it must call `end`."""

    def __init__(self, tracker: PrefillTracker, key: PrefillKey, note: ReadNote, until_micros: int) -> None:
        self.tracker = tracker
        self.key = key
        self.note = note
        self.until_micros = until_micros
        self.ended = asyncio.Event()

    def end(self, is_kept: bool) -> None:
        """Ends the prefill and tells the other nodes; later calls do nothing.

        `is_kept`: the first event has come, so the parts are cached. Otherwise another request has to prefill them.
        """
        if not self.ended.is_set():
            self.note.is_over, self.note.is_kept = True, is_kept
            self.tracker.close(self)
            self.tracker.broadcast(self.note)


class PrefillTracker:
    """Prefills of this node and those announced by other nodes.

    `expect_cached` is called with worker, salt and parts when a prefill has ended and the worker caches its parts.
    `broadcast` sends a note to all nodes.
    """

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
        """Announces the prefill of a request that was sent and counted in the worker's load.

        Returns None if its missing shared parts are too short for other requests to wait for.
        """
        key = _prefill_key(choice, request)
        if key is None:
            return None
        note = ReadNote(worker=choice.backend.name, salt=choice.salt, part=[p.part for p in request.parts[:-1]])
        prefill = self.prefills[key] = TrackedPrefill(self, key, note, self.clock.now() + TRACKED_PREFILL_TTL_MICROS)
        self.broadcast(note)
        return prefill

    def apply_note(self, note: ReadNote) -> None:
        """Applies another node's note that a prefill has begun or ended."""
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

    def close(self, prefill: TrackedPrefill) -> None:
        """Forgets an ended prefill, reports its parts as cached if they are, and wakes who waits for it."""
        if self.prefills.get(prefill.key) is prefill:
            del self.prefills[prefill.key]
        if prefill.note.is_kept:
            self.expect_cached(prefill.note.worker, prefill.note.salt, prefill.note.part)
        prefill.ended.set()

    async def wait_for(self, choice: WorkerChoice, request: OpaqueRequest, limit_micros: int) -> bool:
        """Waits for the end of a prefill of the same parts, within limits.

        Returns whether it waited, also after a timeout; the caller then chooses a worker again.
        """
        key = _prefill_key(choice, request)
        prefill = self.prefills.get(key) if key is not None else None
        if prefill is None:
            return False
        timeout_micros = min(prefill.until_micros - self.clock.now(), MAX_PREFILL_WAIT_MICROS, limit_micros)
        if timeout_micros <= 0:
            return False
        try:
            await asyncio.wait_for(prefill.ended.wait(), timeout_micros / SECOND)
        except TimeoutError:
            pass
        return True


def _prefill_key(choice: WorkerChoice, request: OpaqueRequest) -> PrefillKey | None:
    """Salt and last shared part, which is cached only together with all parts before it; None if little is missing."""
    shared_parts = request.parts[:-1]
    if not shared_parts or choice.missing_tokens - request.parts[-1].tokens < LONG_TOKENS:
        return None
    return choice.salt, shared_parts[-1].part
