"""PrefixCachePoller (§7.7): one node for each worker and store asks what it keeps, and tells all others."""

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
WAIT_MICROS = 800 * MILLI
CALL_TIMEOUT_MICROS = WAIT_MICROS + 700 * MILLI
PAUSE_MICROS = 100 * MILLI
INITIAL_POLL_BACKOFF_MICROS = 250 * MILLI
MAX_POLL_BACKOFF_MICROS = 2 * SECOND
PARTS_PER_NOTE = 500


class PrefixCacheSink(Protocol):
    def apply_note(self, note: KeptNote) -> None:
        """A span of one life's events; `tokens` is what is kept now. With `whole` nothing before it counts."""

    def holds(self, worker: str, salt: str, part: str) -> bool: ...


class RosterProvider(Protocol):
    @property
    def roster(self) -> Roster: ...


@dataclass(frozen=True)
class _Cursor:
    """Up to where a worker was asked and its events told, and the life before, whose late notes count for nothing."""

    life: str = ""
    sequence: int = 0
    previous_life: str = ""
    announced_sequence: int = 0

    def announced_up_to(self, life: str, sequence: int) -> _Cursor:
        return _Cursor(life, sequence, self.previous_life if life == self.life else self.life, sequence)

    def advanced_to(self, sequence: int) -> _Cursor:
        """Asked further with nothing to tell."""
        return dataclasses.replace(self, sequence=sequence)


INITIAL_CURSOR = _Cursor()


def pack_parts(parts: Iterable[KeptPart]) -> list[KeptPart]:
    """Salt and line are left out where they are those of the part before: most of a note's bytes are salts."""
    packed, salt, line = [], "", ""
    for part in parts:
        packed.append(
            KeptPart(
                part=part.part,
                tokens=part.tokens,
                salt="" if part.salt == salt else part.salt,
                line="" if part.line == line else part.line,
            )
        )
        salt, line = part.salt, part.line
    return packed


def latest_parts(parts: Iterable[KeptPart]) -> list[KeptPart]:
    """The last word on a part is the one that counts; of too many, the newest."""
    words: dict[tuple[str, str, str], KeptPart] = {}
    for part in parts:
        key = (part.line, part.salt, part.part)
        words.pop(key, None)
        words[key] = part
    newest = list(words.items())[-PARTS_PER_NOTE:]
    return [part for _, part in sorted(newest, key=lambda item: item[0])]


def combine_notes(earlier: KeptNote | None, note: KeptNote) -> KeptNote | None:
    """Both as one, so that one datagram that is lost costs nothing; None if the later does not follow the earlier."""
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
    packed = KeptNote()
    packed.CopyFrom(note)
    del packed.part[:]
    packed.part.extend(pack_parts(note.part))
    return packed


def unpack_note(note: KeptNote) -> KeptNote:
    whole = KeptNote()
    whole.CopyFrom(note)
    salt, line = "", ""
    for part in whole.part:
        part.salt = salt = part.salt or salt
        part.line = line = part.line or line
    return whole


class PrefixCachePoller:
    """The first by rendezvous gathers; the next goes on from the last sequence it was told. Two at once do no harm."""

    def __init__(
        self,
        identity: str,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        task_group: BackgroundTaskGroup,
        control: WorkerControl,
        rosters: RosterProvider,
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
        self.rosters = rosters
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
        while True:
            self._update_polls()
            await sleep_for(self.clock, ROUND_MICROS)

    def _update_polls(self) -> None:
        targets = self._targets()
        others = [r.identity for r in self.directory.members("router")]
        mine = {name: address for name, address in targets.items() if self.ranks.rank(others, f"kept/{name}") == 0}
        for name in list(self.polls):
            if name not in mine or self.polls[name].done():
                self.polls.pop(name).cancel()
        for name in set(self.cursors) - set(targets):
            del self.cursors[name]
            self.announced_notes.pop(name, None)
        for name, address in mine.items():
            if name not in self.polls:
                self.polls[name] = self.task_group.start(self._poll_cache(name, address))

    def _targets(self) -> dict[str, str]:
        view = self.view_source.view
        targets = {
            service.name: service.store_address
            for service in view.description.services
            if service.role == "store" and service.store_address
        }
        for name, backend in self.rosters.roster.backends.items():
            if view.role_by_service.get(backend.service) == "model":
                targets[name] = backend.address
        return targets

    async def _poll_cache(self, name: str, address: str) -> None:
        rest_micros = INITIAL_POLL_BACKOFF_MICROS
        while True:
            began_micros = self.clock.now()
            cursor = self.cursors.get(name, INITIAL_CURSOR)
            given = await self.control.kept_events(address, cursor.sequence, WAIT_MICROS, CALL_TIMEOUT_MICROS)
            if isinstance(given, Err):
                await sleep_for(self.clock, rest_micros)
                rest_micros = min(2 * rest_micros, MAX_POLL_BACKOFF_MICROS)
                continue
            rest_micros = INITIAL_POLL_BACKOFF_MICROS
            self._handle_events(name, cursor, given.ok_value)
            # Events of the pause come in one answer, and so in one note.
            await sleep_for(self.clock, max(0, began_micros + self.pause_micros - self.clock.now()))

    def _handle_events(self, name: str, asked: _Cursor, given: PrefixCacheEventBatch) -> None:
        if self.cursors.get(name, INITIAL_CURSOR) != asked:
            return  # Another node told of later ones meanwhile.
        if given.life == asked.life and given.next_sequence < asked.sequence:
            return  # A late answer to an earlier call.
        if given.life != asked.life:
            # Another life: its events are asked for from its beginning, and nothing before counts.
            begin = given if asked.sequence == 0 else PrefixCacheEventBatch(given.life, 0, True)
            self._announce_events(name, 0, begin, is_whole=True)
            return
        if given.events:
            # Of events that are gone unseen nothing is known; what was known before stands (§6.5).
            self._announce_events(name, asked.announced_sequence, given, is_whole=False)
        elif given.next_sequence > asked.sequence:
            self.cursors[name] = asked.advanced_to(given.next_sequence)

    def _announce_events(self, name: str, from_sequence: int, given: PrefixCacheEventBatch, is_whole: bool) -> None:
        self.cursors[name] = self.cursors.get(name, INITIAL_CURSOR).announced_up_to(given.life, given.next_sequence)
        # Without a salt it is nothing that nodes would look for.
        note = KeptNote(
            worker=name,
            life=given.life,
            from_sequence=from_sequence,
            sequence=given.next_sequence,
            whole=is_whole,
            part=latest_parts(
                KeptPart(salt=e.salt, part=e.part, tokens=e.tokens, line=e.line)
                for e in given.events
                if e.salt and self._should_announce(name, e)
            ),
        )
        self.sink.apply_note(note)
        packed, joined = pack_note(note), combine_notes(self.announced_notes.get(name), note)
        self.announced_notes[name] = note
        if joined is not None and (packed_combined := pack_note(joined)).ByteSize() <= MAXIMUM_DATAGRAM_BODY_BYTES:
            packed = packed_combined
        if self.relay_callback is not None and self.relay_callback(packed):
            return
        addresses = [r.address for r in self.directory.members("router")]
        self.rpc_endpoint.broadcast(addresses, "kept_note", packed)

    def _should_announce(self, name: str, event: PrefixCacheEvent) -> bool:
        """Short parts are read again sooner than anyone hears of them; what was told is also told to be gone."""
        return event.tokens >= self.min_part_tokens or self.sink.holds(name, event.salt, event.part)

    def apply_note(self, identity: str, address: str, note: KeptNote) -> None:
        """From another node, directly or by a relay (§3.6)."""
        self._handle_note(identity, address, note)

    def _handle_note(self, identity: str, address: str, note: KeptNote) -> None:
        held = self.cursors.get(note.worker, INITIAL_CURSOR)
        is_late = held.life == note.life and note.sequence < held.sequence
        if is_late or (note.life == held.previous_life and note.life != ""):
            return
        self.cursors[note.worker] = held.announced_up_to(note.life, note.sequence)
        self.announced_notes.pop(note.worker, None)
        unpacked = unpack_note(note)
        # The note that told of a new life may be lost, or be overtaken by the next.
        unpacked.whole = note.whole or note.life != held.life
        self.sink.apply_note(unpacked)
