"""Relay (§3.6): nodes of a large fleet exchange notes through one relay node per zone instead of pairwise."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pearhead.discovery.directory import Directory
from pearhead.router.rendezvous import rendezvous_score
from pearhead.router.worker_load_tracker import WorkerLoad, WorkerLoadTracker
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
# In a zone of more nodes than this, the relay sends to some of them, which forward to the others.
DIRECT_FAN_OUT = 6
# Nodes heard from within this time are preferred as forwarders: the directory records of dead nodes live for seconds.
HEAD_RECENT_MICROS = 150 * MILLI
FLEET_SENDER = "fleet"


@dataclass(frozen=True)
class _ReceivedNote:
    note: UseNote
    received_micros: int

    def is_within(self, span_micros: int, now_micros: int) -> bool:
        """Whether it was received less than `span_micros` ago."""
        return now_micros - self.received_micros < span_micros


def _drop_stale_notes(notes: dict[str, _ReceivedNote], now_micros: int) -> dict[str, _ReceivedNote]:
    return {name: received for name, received in notes.items() if received.is_within(FRESH_MICROS, now_micros)}


class Relay:
    """Exchanges load and cache notes through the relays of zones, once the fleet has more than `direct_limit` nodes.

    In a smaller fleet nodes send to one another directly. The relay of a zone is the node that rendezvous hashing ranks
    first among those that are not silent. Each node decides that by its own directory, and a node relays whatever the
    nodes of its zone send it. So there is no election, and a relay that dies is replaced in less than a second.
    """

    def __init__(
        self,
        identity: str,
        zone: str,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        load_tracker: WorkerLoadTracker,
        handle_cache_note: Callable[[str, str, KeptNote], None],
        direct_limit: int = DIRECT_LIMIT,
    ) -> None:
        self.identity = identity
        self.zone = zone
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.load_tracker = load_tracker
        self.handle_cache_note = handle_cache_note
        self.direct_limit = direct_limit
        self.avoided_until: dict[str, int] = {}
        self.chosen_relays: dict[str, tuple[str, int]] = {}
        self.members: dict[str, _ReceivedNote] = {}
        self.zones: dict[str, _ReceivedNote] = {}
        self.own_cache_notes: list[KeptNote] = []
        self.zone_cache_notes: list[KeptNote] = []
        self.remote_cache_notes: list[KeptNote] = []
        self.own_announced_use = UseNote()
        self.is_relaying = False
        self.rng = random.Random(identity)
        rpc_endpoint.on_message("relay_note", self._handle_relay_note)

    def is_active(self) -> bool:
        """Whether the fleet is large enough for notes to go through relays."""
        return len(self.directory.members("router")) >= self.direct_limit

    def relay_cache_note(self, note: KeptNote) -> bool:
        """Queues a cache note for the relay; False if relays are inactive, so that the caller must broadcast it."""
        if not self.is_active():
            return False
        self._queue_notes(self.own_cache_notes, [note])
        return True

    async def run(self) -> None:
        """Sends this node's notes, and relays those of its zone if it is the relay, in every period."""
        while True:
            await sleep_for(self.clock, RELAY_PERIOD_MICROS)
            if self.is_active():
                self._work_once()
            else:
                self._set_relaying(False)

    # ---- sending ---------------------------------------------------------------------------------

    def _work_once(self) -> None:
        by_zone: dict[str, list[Record]] = {}
        for record in self.directory.members("router"):
            by_zone.setdefault(record.area, []).append(record)
        own_relay = self._relay_of(self.zone, by_zone.get(self.zone, []))
        self.own_announced_use = self.load_tracker.build_report()
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
        notes = [received.note for received in self.members.values()] + (
            [self.own_announced_use] if includes_own else []
        )
        zone_sum = sum_use_notes(notes, now_micros)
        remote_addresses = []
        for zone, records in by_zone.items():
            if zone != self.zone and (relay := self._relay_of(zone, records)) is not None:
                remote_addresses.append(relay.address)
        self._broadcast(remote_addresses, RelayNote(hop=1, zone=self.zone, use=zone_sum, kept=self.zone_cache_notes))
        self.zones = _drop_stale_notes(self.zones, now_micros)
        fleet_sum = sum_use_notes([zone_sum, *(received.note for received in self.zones.values())], now_micros)
        cache_notes = [*self.zone_cache_notes, *self.remote_cache_notes]
        self.zone_cache_notes, self.remote_cache_notes = [], []
        self._fan_out(
            by_zone.get(self.zone, []),
            RelayNote(hop=2, zone=self.zone, use=fleet_sum, kept=cache_notes, relay=self.identity),
        )
        if includes_own:
            self._apply_fleet_use(fleet_sum)

    def _fan_out(self, records: list[Record], note: RelayNote) -> None:
        """Sends a note to the nodes of the zone in two steps, so that no link carries all copies.

        The nodes are split into groups, and the head of each group forwards the note to the others. A lost copy
        costs its whole group the update for all workers, so nodes heard from most recently become heads. Groups are
        drawn anew each time, so that a head that is dead nevertheless does not cost the same nodes every time.
        """
        shuffled = self.rng.sample(records, len(records))
        if len(shuffled) <= DIRECT_FAN_OUT:
            return self._broadcast([record.address for record in shuffled], note)
        group_count = math.isqrt(len(shuffled) - 1)
        live_records = [record for record in shuffled if record.identity in self.members]
        heads = sorted(live_records, key=lambda record: not self._is_recently_heard(record.identity))[:group_count]
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
        """Returns the zone's relay as this node sees it; None if that is this node, or if the zone has no nodes.

        A relay that falls silent is avoided for `AVOID_RELAY_MICROS`.
        """
        now_micros = self.clock.now()
        identity, last_heard_micros = self.chosen_relays.get(zone, ("", 0))
        if identity and identity != self.identity and now_micros - last_heard_micros > RELAY_SILENCE_MICROS:
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

    # ---- receiving -------------------------------------------------------------------------------

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
            self.members[identity] = _ReceivedNote(note.use, now_micros)
            self._queue_notes(self.zone_cache_notes, note.kept)
        elif note.hop == 1:
            self.zones[note.zone] = _ReceivedNote(note.use, now_micros)
            self._queue_notes(self.remote_cache_notes, note.kept)
        elif relay == chosen:
            self._apply_fleet_use(note.use)
        for cache_note in note.kept:
            self.handle_cache_note(identity, address, cache_note)

    @staticmethod
    def _queue_notes(queue: list[KeptNote], notes: Iterable[KeptNote]) -> None:
        """Adds notes to those to be sent next.

        The queue is bounded because a node that no longer relays does not empty it.
        """
        queue.extend(notes)
        del queue[:-PENDING_CACHE_NOTE_LIMIT]

    def _apply_fleet_use(self, fleet_sum: UseNote) -> None:
        """Applies the fleet's total use less the share this node announced, since its own use is known exactly."""
        own_use_by_worker = {use.worker: use for use in self.own_announced_use.use}
        others = UseNote(serial=self.clock.now())
        for use in fleet_sum.use:
            own_use = own_use_by_worker.get(use.worker)
            others.use.append(
                use
                if own_use is None
                else WorkerUse(
                    worker=use.worker,
                    running=max(0, use.running - own_use.running),
                    waiting_tokens=max(0, use.waiting_tokens - own_use.waiting_tokens),
                    held_tokens=max(0, use.held_tokens - own_use.held_tokens),
                )
            )
        self.load_tracker.apply_report(FLEET_SENDER, others)


def sum_use_notes(notes: list[UseNote], serial: int) -> UseNote:
    """Adds up the use of each worker over all notes; the result has the given `serial`."""
    totals: dict[str, WorkerLoad] = {}
    for note in notes:
        for use in note.use:
            total = totals.setdefault(use.worker, WorkerLoad())
            total.running += use.running
            total.waiting_tokens += use.waiting_tokens
            total.held_tokens += use.held_tokens
    return UseNote(serial=serial, use=[total.to_wire(worker) for worker, total in totals.items()])
