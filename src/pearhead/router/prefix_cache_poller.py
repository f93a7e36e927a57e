"""PrefixCachePoller (§7.7): for each worker and store, one node polls its cache events and broadcasts them."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from result import Err

from pearhead.discovery.directory import Directory
from pearhead.router.core_command_client import ViewSource
from pearhead.router.rendezvous import RankCache
from pearhead.router.roster_merge import Roster
from pearhead.router.worker_control import PrefixCacheEvent, PrefixCacheEventBatch, WorkerControl
from pearhead.rpc.rpc_endpoint import MAXIMUM_DATAGRAM_BODY_BYTES, RpcEndpoint
from pearhead.rpc.wire_pb2 import KeptNote, KeptPart
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
ROUND_MICROS = 200 * MILLI
# A worker without new events holds a call for up to this long.
WAIT_MICROS = 800 * MILLI
CALL_TIMEOUT_MICROS = WAIT_MICROS + 700 * MILLI
PAUSE_MICROS = 100 * MILLI
INITIAL_POLL_BACKOFF_MICROS = 250 * MILLI
MAX_POLL_BACKOFF_MICROS = 2 * SECOND
PARTS_PER_NOTE = 500


class PrefixCacheSink(Protocol):
    """Receives the cache events that this node polled or was sent."""

    def apply_note(self, note: KeptNote) -> None:
        """Applies the events of a span of one life.

        `tokens` of a part is how many are cached now, zero if none. `whole` voids all that was reported before.
        """

    def holds(self, worker: str, salt: str, part: str) -> bool:
        """Whether the part is known to be cached at that worker or store."""


class RosterProvider(Protocol):
    """Where the poller reads which workers there are."""

    @property
    def roster(self) -> Roster:
        """The current roster."""


@dataclass(frozen=True)
class _Cursor:
    """How far a worker's events were polled, and how far they were announced.

    `previous_life` is the life before the current one; late notes of it are ignored.
    """

    life: str = ""
    sequence: int = 0
    previous_life: str = ""
    announced_sequence: int = 0

    def announced_up_to(self, life: str, sequence: int) -> _Cursor:
        """The cursor after events up to `sequence` were announced, perhaps the first of a new life."""
        return _Cursor(life, sequence, self.previous_life if life == self.life else self.life, sequence)

    def advanced_to(self, sequence: int) -> _Cursor:
        """The cursor after a poll that gave nothing to announce."""
        return dataclasses.replace(self, sequence=sequence)


INITIAL_CURSOR = _Cursor()


def pack_parts(parts: Iterable[KeptPart]) -> list[KeptPart]:
    """Omits salt and line where they equal those of the part before: salts are most of the bytes of a note."""
    packed_parts, salt, line = [], "", ""
    for part in parts:
        packed_parts.append(
            KeptPart(
                part=part.part,
                tokens=part.tokens,
                salt="" if part.salt == salt else part.salt,
                line="" if part.line == line else part.line,
            )
        )
        salt, line = part.salt, part.line
    return packed_parts


def latest_parts(parts: Iterable[KeptPart]) -> list[KeptPart]:
    """Keeps the last event of each part, in order of line, salt and part.

    If more than `PARTS_PER_NOTE` parts remain, only the newest are kept.
    """
    latest_by_key: dict[tuple[str, str, str], KeptPart] = {}
    for part in parts:
        key = (part.line, part.salt, part.part)
        latest_by_key.pop(key, None)
        latest_by_key[key] = part
    newest = list(latest_by_key.items())[-PARTS_PER_NOTE:]
    return [part for _, part in sorted(newest, key=lambda item: item[0])]


def combine_notes(earlier: KeptNote | None, note: KeptNote) -> KeptNote | None:
    """Joins two consecutive notes of one life, so that the loss of a single datagram loses no events.

    Returns None if the second does not directly follow the first, or voids it.
    """
    if earlier is None or note.whole or earlier.life != note.life or earlier.sequence != note.from_sequence:
        return None
    return KeptNote(
        worker=note.worker,
        life=note.life,
        from_sequence=earlier.from_sequence,
        sequence=note.sequence,
        whole=earlier.whole,
        part=latest_parts([*earlier.part, *note.part]),
    )


def pack_note(note: KeptNote) -> KeptNote:
    """Copies a note with its parts packed for sending."""
    packed = KeptNote()
    packed.CopyFrom(note)
    del packed.part[:]
    packed.part.extend(pack_parts(note.part))
    return packed


def unpack_note(note: KeptNote) -> KeptNote:
    """Copies a received note, with the omitted salts and lines filled in."""
    unpacked = KeptNote()
    unpacked.CopyFrom(note)
    salt, line = "", ""
    for part in unpacked.part:
        part.salt = salt = part.salt or salt
        part.line = line = part.line or line
    return unpacked


class PrefixCachePoller:
    """Polls the cache events of the workers and stores that rendezvous hashing assigns to this node.

    When another node takes over, it continues from the last sequence number announced to it. Two nodes that poll the
    same worker at once do no harm.
    """

    def __init__(
        self,
        identity: str,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        task_group: BackgroundTaskGroup,
        control: WorkerControl,
        roster_provider: RosterProvider,
        view_source: ViewSource,
        sink: PrefixCacheSink,
        pause_micros: int = PAUSE_MICROS,
        relay_callback: Callable[[KeptNote], bool] | None = None,
        min_part_tokens: int = 0,
    ) -> None:
        self.identity = identity
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.task_group = task_group
        self.control = control
        self.roster_provider = roster_provider
        self.view_source = view_source
        self.sink = sink
        self.pause_micros = pause_micros
        self.relay_callback = relay_callback
        self.ranks = RankCache(identity)
        self.min_part_tokens = min_part_tokens
        self.cursors: dict[str, _Cursor] = {}
        self.announced_notes: dict[str, KeptNote] = {}
        self.polls: dict[str, asyncio.Task[None]] = {}
        rpc_endpoint.on_message("kept_note", self._handle_note)

    async def run(self) -> None:
        """Starts and stops the polls of single workers and stores as the assignment changes."""
        while True:
            self._update_polls()
            await sleep_for(self.clock, ROUND_MICROS)

    def _update_polls(self) -> None:
        targets = self._targets()
        others = [r.identity for r in self.directory.members("router")]
        own_targets = {
            name: address for name, address in targets.items() if self.ranks.rank(others, f"kept/{name}") == 0
        }
        for name in list(self.polls):
            if name not in own_targets or self.polls[name].done():
                self.polls.pop(name).cancel()
        for name in set(self.cursors) - set(targets):
            del self.cursors[name]
            self.announced_notes.pop(name, None)
        for name, address in own_targets.items():
            if name not in self.polls:
                self.polls[name] = self.task_group.start(self._poll_cache(name, address))

    def _targets(self) -> dict[str, str]:
        view = self.view_source.view
        targets = {
            service.name: service.store_address
            for service in view.description.services
            if service.role == "store" and service.store_address
        }
        for name, backend in self.roster_provider.roster.backends.items():
            if view.role_by_service.get(backend.service) == "model":
                targets[name] = backend.address
        return targets

    async def _poll_cache(self, name: str, address: str) -> None:
        backoff_micros = INITIAL_POLL_BACKOFF_MICROS
        while True:
            started_micros = self.clock.now()
            cursor = self.cursors.get(name, INITIAL_CURSOR)
            events_result = await self.control.cache_events(address, cursor.sequence, WAIT_MICROS, CALL_TIMEOUT_MICROS)
            if isinstance(events_result, Err):
                await sleep_for(self.clock, backoff_micros)
                backoff_micros = min(2 * backoff_micros, MAX_POLL_BACKOFF_MICROS)
                continue
            backoff_micros = INITIAL_POLL_BACKOFF_MICROS
            self._handle_events(name, cursor, events_result.ok_value)
            # Events that occur during the pause arrive in one answer, and so leave in one note.
            await sleep_for(self.clock, max(0, started_micros + self.pause_micros - self.clock.now()))

    def _handle_events(self, name: str, polled_cursor: _Cursor, batch: PrefixCacheEventBatch) -> None:
        if self.cursors.get(name, INITIAL_CURSOR) != polled_cursor:
            return  # Another node announced later events meanwhile.
        if batch.life == polled_cursor.life and batch.next_sequence < polled_cursor.sequence:
            return  # A late answer to an earlier call.
        if batch.life != polled_cursor.life:
            # The worker was restarted: its events are polled from the first, and all reported before is void.
            first_batch = batch if polled_cursor.sequence == 0 else PrefixCacheEventBatch(batch.life, 0, True)
            self._announce_events(name, 0, first_batch, is_whole=True)
            return
        if batch.events:
            # Events dropped before they could be polled stay unknown; what was known before them stays valid (§6.5).
            self._announce_events(name, polled_cursor.announced_sequence, batch, is_whole=False)
        elif batch.next_sequence > polled_cursor.sequence:
            self.cursors[name] = polled_cursor.advanced_to(batch.next_sequence)

    def _announce_events(self, name: str, from_sequence: int, batch: PrefixCacheEventBatch, is_whole: bool) -> None:
        self.cursors[name] = self.cursors.get(name, INITIAL_CURSOR).announced_up_to(batch.life, batch.next_sequence)
        # Events without a salt are left out: nodes look parts up by salt.
        note = KeptNote(
            worker=name,
            life=batch.life,
            from_sequence=from_sequence,
            sequence=batch.next_sequence,
            whole=is_whole,
            part=latest_parts(
                KeptPart(salt=e.salt, part=e.part, tokens=e.tokens, line=e.line)
                for e in batch.events
                if e.salt and self._should_announce(name, e)
            ),
        )
        self.sink.apply_note(note)
        packed_note, combined = pack_note(note), combine_notes(self.announced_notes.get(name), note)
        self.announced_notes[name] = note
        if combined is not None and (packed_combined := pack_note(combined)).ByteSize() <= MAXIMUM_DATAGRAM_BODY_BYTES:
            packed_note = packed_combined
        if self.relay_callback is not None and self.relay_callback(packed_note):
            return
        addresses = [r.address for r in self.directory.members("router")]
        self.rpc_endpoint.broadcast(addresses, "kept_note", packed_note)

    def _should_announce(self, name: str, event: PrefixCacheEvent) -> bool:
        """Whether an event is worth a message.

        A short part is prefilled again sooner than other nodes hear of it, so it is left out. The eviction of a part
        that was announced is announced whatever its size.
        """
        return event.tokens >= self.min_part_tokens or self.sink.holds(name, event.salt, event.part)

    def apply_note(self, identity: str, address: str, note: KeptNote) -> None:
        """Applies a note from another node, received directly or through a relay (§3.6)."""
        self._handle_note(identity, address, note)

    def _handle_note(self, identity: str, address: str, note: KeptNote) -> None:
        cursor = self.cursors.get(note.worker, INITIAL_CURSOR)
        is_late = cursor.life == note.life and note.sequence < cursor.sequence
        if is_late or (note.life == cursor.previous_life and note.life != ""):
            return
        self.cursors[note.worker] = cursor.announced_up_to(note.life, note.sequence)
        self.announced_notes.pop(note.worker, None)
        unpacked = unpack_note(note)
        # The first note of a new life, which is marked `whole`, may be lost or overtaken by the next.
        unpacked.whole = note.whole or note.life != cursor.life
        self.sink.apply_note(unpacked)
