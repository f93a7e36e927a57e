"""Relay (§3.6): nodes of a large fleet tell one another by way of one node of each zone, not each to each."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pearhead.discovery.directory import Directory
from pearhead.router.rendezvous import rendezvous_score
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import KeptNote, Record, RelayNote, UseNote, WorkerUse
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
RELAY_PERIOD_MICROS = 100 * MILLI
RELAY_SILENCE_MICROS = 900 * MILLI
AVOID_RELAY_MICROS = 4 * SECOND
FRESH_MICROS = 1_500 * MILLI
DIRECT_LIMIT = 16
PENDING_CACHE_NOTE_LIMIT = 2_000
# A zone of more nodes than this is told by way of some of them.
DIRECT_FAN_OUT = 6
# Nodes heard within this time pass notes on before others: records of nodes that are gone live for seconds.
HEAD_RECENT_MICROS = 150 * MILLI
FLEET_SENDER = "fleet"


@dataclass(frozen=True)
class _HeardNote:
    note: UseNote
    heard_micros: int

    def is_within(self, span_micros: int, now_micros: int) -> bool:
        """Whether it was heard no longer ago than that."""
        return now_micros - self.heard_micros < span_micros


def _drop_stale_notes(book: dict[str, _HeardNote], now_micros: int) -> dict[str, _HeardNote]:
    return {name: told for name, told in book.items() if told.is_within(FRESH_MICROS, now_micros)}


class Relay:
    """Takes part once the fleet has more than `direct_limit` nodes; below, nodes tell one another directly.

    The relay of a zone is the first of its nodes by rendezvous that is not silent. Each node goes by its own view, and
    whoever is sent a node's word relays it, so nobody is chosen and a relay that dies is missed for under a second.
    """

    def __init__(
        self,
        identity: str,
        zone: str,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        loads: WorkerLoadTracker,
        handle_cache_note: Callable[[str, str, KeptNote], None],
        direct_limit: int = DIRECT_LIMIT,
    ) -> None:
        self.identity = identity
        self.zone = zone
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.loads = loads
        self.handle_cache_note = handle_cache_note
        self.direct_limit = direct_limit
        self.avoided_until: dict[str, int] = {}
        self.chosen_relays: dict[str, tuple[str, int]] = {}
        self.members: dict[str, _HeardNote] = {}
        self.zones: dict[str, _HeardNote] = {}
        self.own_cache_notes: list[KeptNote] = []
        self.zone_cache_notes: list[KeptNote] = []
        self.remote_cache_notes: list[KeptNote] = []
        self.own_announced_use = UseNote()
        self.is_relaying = False
        self.chance = random.Random(identity)
        rpc_endpoint.on_message("relay_note", self._handle_relay_note)

    def is_active(self) -> bool:
        return len(self.directory.members("router")) >= self.direct_limit

    def relay_cache_note(self, note: KeptNote) -> bool:
        """Whether it goes this way; otherwise its gatherer tells all nodes itself."""
        if not self.is_active():
            return False
        self._queue_notes(self.own_cache_notes, [note])
        return True

    async def run(self) -> None:
        while True:
            await sleep_for(self.clock, RELAY_PERIOD_MICROS)
            if self.is_active():
                self._work_once()
            else:
                self._set_relaying(False)

    # ---- telling ---------------------------------------------------------------------------------

    def _work_once(self) -> None:
        by_zone: dict[str, list[Record]] = {}
        for record in self.directory.members("router"):
            by_zone.setdefault(record.area, []).append(record)
        own_relay = self._relay_of(self.zone, by_zone.get(self.zone, []))
        self.own_announced_use = self.loads.note()
        if own_relay is not None:
            self._broadcast(
                [own_relay.address],
                RelayNote(hop=0, zone=self.zone, use=self.own_announced_use, kept=self.own_cache_notes),
            )
            self.zone_cache_notes, self.own_cache_notes = (
                self.zone_cache_notes + (self.own_cache_notes if self.members else []),
                [],
            )
        else:
            self.zone_cache_notes, self.own_cache_notes = self.zone_cache_notes + self.own_cache_notes, []
        now_micros = self.clock.now()
        self.members = _drop_stale_notes(self.members, now_micros)
        self._set_relaying(own_relay is None or bool(self.members))
        if self.is_relaying:
            self._relay_once(by_zone, includes_own=own_relay is None)

    def _set_relaying(self, is_relaying: bool) -> None:
        if is_relaying == self.is_relaying:
            return
        self.is_relaying = is_relaying
        if is_relaying:
            LOGGER.info("router: Relays for its zone. zone=%s members=%d", self.zone, len(self.members))
        else:
            LOGGER.info("router: Relays for its zone no more. zone=%s", self.zone)

    def _relay_once(self, by_zone: dict[str, list[Record]], includes_own: bool) -> None:
        now_micros = self.clock.now()
        notes = [told.note for told in self.members.values()] + ([self.own_announced_use] if includes_own else [])
        zone_sum = sum_use_notes(notes, now_micros)
        remote_addresses = []
        for zone, records in by_zone.items():
            if zone != self.zone and (relay := self._relay_of(zone, records)) is not None:
                remote_addresses.append(relay.address)
        self._broadcast(remote_addresses, RelayNote(hop=1, zone=self.zone, use=zone_sum, kept=self.zone_cache_notes))
        self.zones = _drop_stale_notes(self.zones, now_micros)
        fleet_sum = sum_use_notes([zone_sum, *(told.note for told in self.zones.values())], now_micros)
        kept = [*self.zone_cache_notes, *self.remote_cache_notes]
        self.zone_cache_notes, self.remote_cache_notes = [], []
        self._fan_out(
            by_zone.get(self.zone, []),
            RelayNote(hop=2, zone=self.zone, use=fleet_sum, kept=kept, relay=self.identity),
        )
        if includes_own:
            self._apply_fleet_use(fleet_sum)

    def _fan_out(self, records: list[Record], note: RelayNote) -> None:
        """To a zone's nodes in two steps: the head of each group passes it on, so no link carries it all.

        A note that is lost costs its group what is known of every worker in it, so heads are nodes that were heard
        just now. Groups are drawn anew each time: a head that is gone all the same costs others each time.
        """
        shuffled = self.chance.sample(records, len(records))
        if len(shuffled) <= DIRECT_FAN_OUT:
            return self._broadcast([record.address for record in shuffled], note)
        group_count = math.isqrt(len(shuffled) - 1)
        heard = [record for record in shuffled if record.identity in self.members]
        heads = sorted(heard, key=lambda record: not self._is_recently_heard(record.identity))[:group_count]
        head_identities = {head.identity for head in heads}
        others = [record.address for record in shuffled if record.identity not in head_identities]
        if not heads:
            return self._broadcast(others, note)
        for position, head in enumerate(heads):
            copy = RelayNote()
            copy.CopyFrom(note)
            copy.forward.extend(others[position :: len(heads)])
            self._broadcast([head.address], copy)

    def _is_recently_heard(self, identity: str) -> bool:
        return self.members[identity].is_within(HEAD_RECENT_MICROS, self.clock.now())

    def _forward_note(self, note: RelayNote) -> None:
        addresses = list(note.forward)
        del note.forward[:]
        self._broadcast(addresses, note)

    def _broadcast(self, addresses: list[str], note: RelayNote) -> None:
        self.rpc_endpoint.broadcast(addresses, "relay_note", note)

    def _relay_of(self, zone: str, records: list[Record]) -> Record | None:
        """The zone's relay as this node sees it; None if that is itself. One that is silent is passed over."""
        now_micros = self.clock.now()
        identity, heard_micros = self.chosen_relays.get(zone, ("", 0))
        if identity and identity != self.identity and now_micros - heard_micros > RELAY_SILENCE_MICROS:
            self.avoided_until[identity] = now_micros + AVOID_RELAY_MICROS
        candidates = [r for r in records if self.avoided_until.get(r.identity, 0) <= now_micros] or records
        subject = f"relay/{zone}"
        best = max(candidates, key=lambda r: rendezvous_score(r.identity, subject), default=None)
        is_self = zone == self.zone and (
            best is None or rendezvous_score(self.identity, subject) > rendezvous_score(best.identity, subject)
        )
        chosen = self.identity if is_self else best.identity if best is not None else ""
        if chosen != identity:
            self.chosen_relays[zone] = (chosen, now_micros)
        return None if is_self else best

    # ---- hearing ---------------------------------------------------------------------------------

    def _handle_relay_note(self, identity: str, address: str, note: RelayNote) -> None:
        now_micros = self.clock.now()
        relay = note.relay or identity
        if note.forward:
            self._forward_note(note)
        self.avoided_until.pop(relay, None)
        chosen, _ = self.chosen_relays.get(note.zone, ("", 0))
        if note.hop and relay == chosen:
            self.chosen_relays[note.zone] = (relay, now_micros)
        if note.hop == 0:
            self.members[identity] = _HeardNote(note.use, now_micros)
            self._queue_notes(self.zone_cache_notes, note.kept)
        elif note.hop == 1:
            self.zones[note.zone] = _HeardNote(note.use, now_micros)
            self._queue_notes(self.remote_cache_notes, note.kept)
        elif relay == chosen:
            self._apply_fleet_use(note.use)
        for kept in note.kept:
            self.handle_cache_note(identity, address, kept)

    @staticmethod
    def _queue_notes(waiting: list[KeptNote], notes: Iterable[KeptNote]) -> None:
        """What is to be passed on next; bounded, as a node that no longer relays passes nothing on."""
        waiting.extend(notes)
        del waiting[:-PENDING_CACHE_NOTE_LIMIT]

    def _apply_fleet_use(self, fleet_sum: UseNote) -> None:
        """All nodes' use together, less what this node told itself: its own is known exactly."""
        own = {use.worker: use for use in self.own_announced_use.use}
        others = UseNote(serial=self.clock.now())
        for use in fleet_sum.use:
            mine = own.get(use.worker)
            others.use.append(
                use
                if mine is None
                else WorkerUse(
                    worker=use.worker,
                    running=max(0, use.running - mine.running),
                    waiting_tokens=max(0, use.waiting_tokens - mine.waiting_tokens),
                    held_tokens=max(0, use.held_tokens - mine.held_tokens),
                )
            )
        self.loads.apply_report(FLEET_SENDER, others)


def sum_use_notes(notes: list[UseNote], serial: int) -> UseNote:
    sums: dict[str, list[int]] = {}
    for note in notes:
        for use in note.use:
            held = sums.setdefault(use.worker, [0, 0, 0])
            held[0] += use.running
            held[1] += use.waiting_tokens
            held[2] += use.held_tokens
    return UseNote(
        serial=serial,
        use=[
            WorkerUse(worker=worker, running=running, waiting_tokens=max(0, waiting), held_tokens=max(0, held))
            for worker, (running, waiting, held) in sums.items()
        ],
    )
