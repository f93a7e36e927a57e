"""RosterSynchronizer (§7.7): one node asks the platform which workers there are, and tells all others.

Telling is one-way and may be lost, so each node looks at the age of its own list: one that grows old is asked of peers,
and one that stays old is asked of the platform itself.
"""

from __future__ import annotations

import dataclasses
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from enum import Enum

from result import Err

from pearhead.discovery.directory import Directory
from pearhead.router.paced_broadcaster import PacedBroadcaster
from pearhead.router.rendezvous import RankCache, rendezvous_score
from pearhead.router.roster_age_monitor import RosterAgeMonitor
from pearhead.router.roster_merge import LONG_AGO, Roster, RosterMerge, pack_backend, unpack_backend
from pearhead.router.worker_control import Backend, WorkerControl
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import ListedWorker, RosterNote
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.runtime.invariants import Invariant, InvariantCounters

LOGGER = logging.getLogger("pearhead")
ROSTER_RENDEZVOUS_SUBJECT = "roster"
TICK_MICROS = 100 * MILLI
# The whole fleet asks no more often than this while nobody gets an answer.
ATTEMPT_GAP_MICROS = 700 * MILLI
RANK_DELAY_MICROS = 100 * MILLI
# Records of nodes that are gone live for seconds: from here on, ranks do not wait for those before them.
MAX_COUNTED_RANK = 8
FAILED_ATTEMPT_RANK_MICROS = 100 * MILLI
# A list this old is asked for by the node itself, whatever its rank; spread so that not all do it at once.
STALE_MICROS = 2 * SECOND
STALE_JITTER_MICROS = 300 * MILLI
# Peers are asked from this age on, at these intervals; they answer with workers only if their list is newer by so much.
PULL_AGE_MICROS = 1_250 * MILLI
PULL_MICROS = 150 * MILLI
MAX_PULL_MICROS = SECOND
MIN_NEWER_MICROS = 100 * MILLI
# A process that was not run for this long has not had the time to ask anybody.
PAUSED_MICROS = SECOND
FRESH_MICROS = 500 * MILLI
PEER_TIMEOUT_MICROS = 400 * MILLI
ALONE_MICROS = 2 * SECOND
LIST_LIMIT_MICROS = 900 * MILLI
FULL_NOTE_PERIOD_MICROS = 10 * SECOND
RECENT_CHANGE_MICROS = 3 * SECOND
LIST_SOURCE = "list"


class AskerStopReason(Enum):
    """Why a node stops asking the list for the fleet."""

    LIST_FAILED = "list_failed"
    OUTRANKED = "outranked"


class RosterSynchronizer:
    """Who asks: the first by rendezvous, each `list_period_micros`; the next ones when they heard no list for 1.2 s and
    0.1 s a rank, and anyone whose list is 2 s old. Records of dead nodes live 5 s, so silence decides and not who is
    listed. A note without workers says that its sender asks or asked, so that a list in trouble is not asked by all
    at once.
    """

    def __init__(
        self,
        identity: str,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        chance: random.Random,
        task_group: BackgroundTaskGroup,
        control: WorkerControl,
        list_period_micros: int,
        invariants: InvariantCounters | None = None,
    ) -> None:
        self.identity = identity
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.chance = chance
        self.task_group = task_group
        self.control = control
        self.list_period_micros = list_period_micros
        self.invariants = invariants or InvariantCounters(clock)
        self.ranks = RankCache(identity)
        self.age_monitor = RosterAgeMonitor()
        self.list_request_count = 0
        self.watchers: list[Callable[[Roster], None]] = []
        self.merge = RosterMerge()
        self.first_micros = 0
        self.is_asker = False
        self.asked_micros = LONG_AGO
        self.heard_micros = LONG_AGO
        self.attempt_micros = LONG_AGO
        self.full_note_micros = LONG_AGO
        self.notified_identities: set[str] = set()
        self.announced_backends: dict[str, Backend] = {}
        self.changed_micros: dict[str, int] = {}
        self.is_merging_from_peer = False
        self.failure_count = 0
        self.is_asking = False
        self.ticked_micros = 0
        self.resumed_micros = LONG_AGO
        node_random = random.Random(identity)
        self.stale_jitter_micros = node_random.randrange(STALE_JITTER_MICROS)
        self.note_broadcaster = PacedBroadcaster(clock, node_random)
        rpc_endpoint.on_message("roster_note", self._handle_note)
        rpc_endpoint.on_request("roster_note", self._answer_roster_ask)

    @property
    def roster(self) -> Roster:
        return self.merge.roster

    def age_micros(self) -> int | None:
        """Time since the list behind the roster was asked; None before the first."""
        at_micros = self.roster.at_micros
        return None if at_micros == LONG_AGO else self.clock.now() - at_micros

    def is_first(self) -> bool:
        """Whether this node speaks for the fleet: it asks, or would be the first to."""
        return self.is_asker or self._rank() == 0

    async def run(self) -> None:
        # A fresh node knows few colleagues and would think itself the first: it waits for word of them, spread out.
        started_micros = self.clock.now()
        self.first_micros = started_micros + FRESH_MICROS + self.chance.randrange(FRESH_MICROS)
        self.heard_micros = self.first_micros - self.list_period_micros - self.list_period_micros // 5
        self.task_group.start(self._bootstrap_from_peers())
        self.task_group.start(self._pull_while_old())
        self.ticked_micros = started_micros
        while True:
            await sleep_for(self.clock, TICK_MICROS)
            self._observe_age()
            now_micros = self.clock.now()
            if now_micros - self.ticked_micros > PAUSED_MICROS:
                self.resumed_micros = now_micros
            self.ticked_micros = now_micros
            is_alone = not self.directory.members() and now_micros < started_micros + ALONE_MICROS
            if not is_alone and now_micros >= max(self.first_micros, self._due_micros()):
                await self._ask_list()

    # ---- whose turn it is ------------------------------------------------------------------------

    def _rank(self) -> int:
        return self.ranks.rank([r.identity for r in self.directory.members("router")], ROSTER_RENDEZVOUS_SUBJECT)

    def _silence_micros(self) -> int:
        return (
            self.list_period_micros
            + self.list_period_micros // 5
            + RANK_DELAY_MICROS * min(self._rank(), MAX_COUNTED_RANK)
        )

    def _due_micros(self) -> int:
        now_micros = self.clock.now()
        if self.is_asker or self._rank() == 0:
            # One that gets no answer while another does goes on seldom.
            is_backing_off = self.failure_count > 1 and now_micros - self.heard_micros < 2 * self.list_period_micros
            return self.asked_micros + self.list_period_micros * (5 if is_backing_off else 1)
        gap_micros = ATTEMPT_GAP_MICROS + FAILED_ATTEMPT_RANK_MICROS * min(self._rank(), 10)
        due_micros = self.heard_micros + self._silence_micros()
        if self.roster.backends:
            # Nobody's notes reach this node: it asks for itself, but not while others try in vain.
            due_micros = min(due_micros, self.roster.at_micros + STALE_MICROS + self.stale_jitter_micros)
        return max(due_micros, self.attempt_micros + gap_micros)

    async def _ask_list(self) -> None:
        began_micros = self.clock.now()
        self.asked_micros = self.attempt_micros = began_micros
        if not self.is_asker:
            # The others wait on seeing this, whatever comes of it.
            self._announce_attempt(began_micros)
        self.is_asking = True
        self.list_request_count += 1
        try:
            given = await self.control.list_workers(LIST_LIMIT_MICROS)
        finally:
            self.is_asking = False
        listed = given.unwrap_or([])
        if not listed:
            self.failure_count += 1
            self._stop_asking(AskerStopReason.LIST_FAILED)
            if self.failure_count in (1, 10):
                why = given.err_value if isinstance(given, Err) else "it is empty"
                LOGGER.warning("router: The list of workers gave nothing. fault=%r", why)
            self._announce_attempt(began_micros)
            return
        self.failure_count = 0
        self._begin_asking()
        self.heard_micros = self.clock.now()
        self._merge(listed, began_micros, LIST_SOURCE)
        await self._announce_roster({b.name: b for b in listed}, began_micros)

    # ---- how old it is ---------------------------------------------------------------------------

    def _roster_age(self) -> int:
        """As `age_micros`; before the first list a very long time."""
        return self.clock.now() - self.roster.at_micros

    def is_fresh_within(self, bound_micros: int) -> bool:
        """Whether the roster is no older than that, or can't be: the list gives this node no answer, or the process was
        not run until just now."""
        now_micros = self.clock.now()
        was_paused = now_micros - self.ticked_micros > PAUSED_MICROS
        has_resumed = now_micros - self.resumed_micros <= PAUSED_MICROS
        is_unanswered = self.is_asking or self.failure_count > 0
        return self._roster_age() <= bound_micros or is_unanswered or was_paused or has_resumed

    async def _pull_while_old(self) -> None:
        """Asks one peer after another while the list is old; less often while nobody has a newer one."""
        pause_micros = PULL_MICROS
        while True:
            await sleep_for(self.clock, pause_micros)
            addresses = [r.address for r in self.directory.members("router")]
            if self._roster_age() <= PULL_AGE_MICROS or not self.roster.backends or not addresses:
                pause_micros = PULL_MICROS
            elif await self._pull_from(self.chance.choice(addresses)):
                pause_micros = PULL_MICROS
            else:
                pause_micros = min(pause_micros * 3 // 2, MAX_PULL_MICROS)

    async def _pull_from(self, address: str) -> bool:
        """Takes a peer's list if that is newer, and says whether it was."""
        told = await self._ask_peer(address, RosterNote(age_micros=self._roster_age()))
        if told is None:
            return False
        self._apply_list(told.backends.values(), told.at_micros, address)
        return True

    async def _ask_peer(self, address: str, note: RosterNote) -> Roster | None:
        """A peer's list; None if it gives none. It counts from the asking, so never as newer than it is."""
        asked_micros = self.clock.now()
        given = await self.rpc_endpoint.call(address, "roster_note", note, PEER_TIMEOUT_MICROS)
        if isinstance(given, Err) or not given.ok_value.worker:
            return None
        backends = [unpack_backend(worker) for worker in given.ok_value.worker]
        return Roster({backend.name: backend for backend in backends}, asked_micros - given.ok_value.age_micros)

    def _apply_list(self, listed: Iterable[Backend], at_micros: int, source: str) -> None:
        if at_micros > self.roster.at_micros:
            self.heard_micros = max(self.heard_micros, self.clock.now())
        self._merge(listed, at_micros, source)

    def _begin_asking(self) -> None:
        if not self.is_asker:
            self.is_asker = True
            LOGGER.info("router: Begins to ask the list for the fleet. rank=%d", self._rank())

    def _stop_asking(self, reason: AskerStopReason) -> None:
        if self.is_asker:
            self.is_asker = False
            LOGGER.info("router: Stops asking the list for the fleet. reason=%s", reason.value)

    # ---- telling ---------------------------------------------------------------------------------

    def _announce_attempt(self, began_micros: int) -> None:
        note = RosterNote(age_micros=self.clock.now() - began_micros)
        self.rpc_endpoint.multicast([r.address for r in self.directory.members("router")], "roster_note", note)

    async def _announce_roster(self, listed: Mapping[str, Backend], began_micros: int) -> None:
        """What the list showed: whole to nodes not told before and now and then, else only names and what changed."""
        now_micros = self.clock.now()
        for name, backend in listed.items():
            if _has_relevant_change(self.announced_backends.get(name), backend):
                self.changed_micros[name] = now_micros
        self.announced_backends = dict(listed)
        self.changed_micros = {
            n: m for n, m in self.changed_micros.items() if n in listed and now_micros - m < RECENT_CHANGE_MICROS
        }
        records = self.directory.members("router")
        if now_micros - self.full_note_micros >= FULL_NOTE_PERIOD_MICROS:
            self.notified_identities.clear()
            self.full_note_micros = now_micros
        whole = RosterNote(worker=[pack_backend(b) for b in listed.values()])
        brief_note = RosterNote(
            worker=[
                pack_backend(b) if n in self.changed_micros else ListedWorker(name=n, leaving=b.is_leaving)
                for n, b in listed.items()
            ],
        )
        known = [r.address for r in records if r.identity in self.notified_identities]
        unnotified = [r.address for r in records if r.identity not in self.notified_identities]
        self.notified_identities = {r.identity for r in records}
        await self._send_paced(known, brief_note, began_micros)
        await self._send_paced(unnotified, whole, began_micros)

    async def _send_paced(self, addresses: list[str], note: RosterNote, began_micros: int) -> None:
        """Each batch is told the list's age as it leaves: what it waited here counts."""

        def send_batch(batch: list[str]) -> None:
            note.age_micros = self.clock.now() - began_micros
            self.rpc_endpoint.broadcast(batch, "roster_note", note)

        await self.note_broadcaster.send(addresses, note.ByteSize(), send_batch)

    # ---- hearing ---------------------------------------------------------------------------------

    def _handle_note(self, identity: str, address: str, note: RosterNote) -> None:
        now_micros = self.clock.now()
        at_micros = now_micros - note.age_micros
        if not note.worker:
            self.attempt_micros = max(self.attempt_micros, at_micros)
            return
        if self.is_asker and rendezvous_score(identity, ROSTER_RENDEZVOUS_SUBJECT) > rendezvous_score(
            self.identity, ROSTER_RENDEZVOUS_SUBJECT
        ):
            self._stop_asking(AskerStopReason.OUTRANKED)
        unknown = [w.name for w in note.worker if not w.address and w.name not in self.roster.backends]
        listed = []
        for worker in note.worker:
            if worker.address:
                listed.append(unpack_backend(worker))
            elif worker.name in self.roster.backends:
                held = self.roster.backends[worker.name]
                listed.append(dataclasses.replace(held, is_leaving=held.is_leaving or worker.leaving))
        self._apply_list(listed, at_micros, address)
        if any(name not in self.merge.excluded_until for name in unknown) and not self.is_merging_from_peer:
            self.task_group.start(self._merge_from_peer(address))

    def _merge(
        self, listed: Iterable[Backend], at_micros: int, source: str = LIST_SOURCE, adds_only: bool = False
    ) -> None:
        before = self.roster
        leaving_before = set(self.merge.leaving)
        self._observe_age()
        if adds_only:
            self.merge.add_from_peer(listed, at_micros, self.clock.now())
        else:
            self.merge.merge_list(listed, at_micros, self.clock.now())
        for name in before.backends.keys() - self.roster.backends.keys():
            LOGGER.info("router: A worker is gone from the list. worker=%s", name)
        self._log_leaving(leaving_before, at_micros, source)
        self._observe_age()
        self._check_merged(before)
        if self.roster is not before:
            for watcher in self.watchers:
                watcher(self.roster)

    def _log_leaving(self, leaving_before: set[str], at_micros: int, source: str) -> None:
        age_millis = (self.clock.now() - at_micros) // MILLI
        for name in sorted(self.merge.leaving - leaving_before - self.merge.excluded_until.keys()):
            LOGGER.info("router: A worker leaves. worker=%s source=%s age_ms=%d", name, source, age_millis)

    def _observe_age(self) -> None:
        age_micros = self.age_micros()
        if age_micros is not None:
            self.age_monitor.observe(age_micros)

    def _check_merged(self, before: Roster) -> None:
        if self.roster is before:
            return
        backends = self.roster.backends
        left = [name for name, held in before.backends.items() if held.is_leaving]
        returned = [name for name in left if name in backends and not backends[name].is_leaving]
        self.invariants.check(Invariant.LEAVING_IS_FINAL, not returned, returned)
        advances = self.roster.at_micros >= before.at_micros
        self.invariants.check(Invariant.ROSTER_TIME_ADVANCES, advances, (before.at_micros, self.roster.at_micros))

    async def _answer_roster_ask(self, identity: str, address: str, note: RosterNote) -> RosterNote:
        """Answers a peer: with the workers, if it has no list or an older one; it tells how old its own is."""
        if not self.roster.backends or 0 < note.age_micros <= self._roster_age() + MIN_NEWER_MICROS:
            return RosterNote()
        return RosterNote(
            age_micros=self._roster_age(),
            worker=[pack_backend(b) for b in self.roster.backends.values()],
        )

    async def _merge_from_peer(self, address: str) -> None:
        self.is_merging_from_peer = True
        try:
            told = await self._ask_peer(address, RosterNote())
            if told is not None:
                self._merge(told.backends.values(), told.at_micros, address, adds_only=True)
        finally:
            self.is_merging_from_peer = False

    async def _bootstrap_from_peers(self) -> None:
        """A fresh node asks a peer; it asks the list itself if none has told it within 0.5 s."""
        for _ in range(10):
            addresses = [r.address for r in self.directory.members("router")]
            if self.roster.backends:
                return
            if addresses:
                await self._merge_from_peer(self.chance.choice(addresses))
            await sleep_for(self.clock, TICK_MICROS)


def _has_relevant_change(told: Backend | None, backend: Backend) -> bool:
    """Whether more changed than what each note says of every worker, or what nobody decides by."""
    if told is None:
        return True
    same = dataclasses.replace(told, cold_left_micros=backend.cold_left_micros, is_leaving=backend.is_leaving)
    return same != backend
