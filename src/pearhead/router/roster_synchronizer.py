"""RosterSynchronizer (§7.7): one node polls the platform's worker list and broadcasts it to all other nodes.

Broadcasts are not acknowledged and may be lost, so each node watches the age of its own roster: it pulls from a peer
once the roster gets old, and polls the platform itself if the roster stays old.
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
from pearhead.router.roster_merge import DISTANT_PAST_MICROS, Roster, RosterMerge, pack_backend, unpack_backend
from pearhead.router.worker_control import Backend, WorkerControl
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import ListedWorker, RosterNote
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for
from pearhead.runtime.invariants import Invariant, InvariantCounters

LOGGER = logging.getLogger("pearhead")
ROSTER_RENDEZVOUS_SUBJECT = "roster"
TICK_MICROS = 100 * MILLI
# Minimum gap between two requests of the whole fleet while none of them is answered.
ATTEMPT_GAP_MICROS = 700 * MILLI
RANK_DELAY_MICROS = 100 * MILLI
# Directory records outlive their nodes by seconds, so the delay by rank is capped: nodes ranked lower than this don't
# wait for each of those before them.
MAX_COUNTED_RANK = 8
FAILED_ATTEMPT_RANK_MICROS = 100 * MILLI
# A node whose roster is this old polls the list itself, whatever its rank; the jitter keeps nodes from polling at once.
STALE_MICROS = 2 * SECOND
STALE_JITTER_MICROS = 300 * MILLI
# From this roster age on, a node pulls from peers, with pauses between PULL_MICROS and MAX_PULL_MICROS. A peer answers
# with workers only if its roster is newer by more than MIN_NEWER_MICROS.
PULL_AGE_MICROS = 1_250 * MILLI
PULL_MICROS = 150 * MILLI
MAX_PULL_MICROS = SECOND
MIN_NEWER_MICROS = 100 * MILLI
# After a gap this long between two ticks the process counts as suspended: it had no time to refresh its roster.
PAUSED_MICROS = SECOND
FRESH_MICROS = 500 * MILLI
PEER_TIMEOUT_MICROS = 400 * MILLI
# A node that knows no peers does not poll the list for this long after its start.
ALONE_MICROS = 2 * SECOND
LIST_LIMIT_MICROS = 900 * MILLI
FULL_NOTE_PERIOD_MICROS = 10 * SECOND
RECENT_CHANGE_MICROS = 3 * SECOND
LIST_SOURCE = "list"


class AskerStopReason(Enum):
    """Why a node stops polling the list on behalf of the fleet."""

    LIST_FAILED = "list_failed"
    OUTRANKED = "outranked"


class RosterSynchronizer:
    """Keeps this node's roster current and elects, without coordination, the node that polls the list (the asker).

    The node ranked first by rendezvous hashing polls every `list_period_micros`. The others take over when they have
    received no list for 1.2 periods plus 0.1 s per rank, and any node polls once its roster is about 2 s old. Takeover
    goes by silence rather than by directory membership because records of dead nodes live for 5 s. A note without
    workers announces a request that is under way or has failed, so that not all nodes poll a failing list at once.
    """

    def __init__(
        self,
        identity: str,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
        task_group: BackgroundTaskGroup,
        control: WorkerControl,
        list_period_micros: int,
        invariants: InvariantCounters | None = None,
    ) -> None:
        self.identity = identity
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.rng = rng
        self.task_group = task_group
        self.control = control
        self.list_period_micros = list_period_micros
        self.invariants = invariants or InvariantCounters(clock)
        self.ranks = RankCache(identity)
        self.age_monitor = RosterAgeMonitor()
        self.list_request_count = 0
        self.roster_observers: list[Callable[[Roster], None]] = []
        self.merge = RosterMerge()
        self.earliest_request_micros = 0
        self.is_asker = False
        self.last_request_micros = DISTANT_PAST_MICROS
        self.last_list_micros = DISTANT_PAST_MICROS
        self.last_attempt_micros = DISTANT_PAST_MICROS
        self.last_full_note_micros = DISTANT_PAST_MICROS
        self.notified_identities: set[str] = set()
        self.announced_backends: dict[str, Backend] = {}
        self.changed_micros: dict[str, int] = {}
        self.is_merging_from_peer = False
        self.failure_count = 0
        self.is_asking = False
        self.has_started_pulls = False
        self.last_tick_micros = 0
        self.resumed_micros = DISTANT_PAST_MICROS
        node_random = random.Random(identity)
        self.stale_jitter_micros = node_random.randrange(STALE_JITTER_MICROS)
        self.note_broadcaster = PacedBroadcaster(clock, node_random)
        rpc_endpoint.on_message("roster_note", self._handle_note)
        rpc_endpoint.on_request("roster_note", self._answer_roster_ask)

    @property
    def roster(self) -> Roster:
        """The current merged roster."""
        return self.merge.roster

    def age_micros(self) -> int | None:
        """Time since the list behind the roster was requested; None before the first list."""
        requested_micros = self.roster.requested_micros
        return None if requested_micros == DISTANT_PAST_MICROS else self.clock.now() - requested_micros

    def acts_for_fleet(self) -> bool:
        """Whether this node acts for the fleet: it polls the list, or is ranked first to do so."""
        return self.is_asker or self._rank() == 0

    async def run(self) -> None:
        """Polls the list whenever it is this node's turn, and pulls from peers while the roster is old."""
        # A newly started node knows few peers and would rank itself first, so it waits 0.5 to 1 s to learn of others.
        started_micros = self.clock.now()
        self.earliest_request_micros = started_micros + FRESH_MICROS + self.rng.randrange(FRESH_MICROS)
        self.last_list_micros = self.earliest_request_micros - self.list_period_micros - self.list_period_micros // 5
        self._start_pulls()
        self.last_tick_micros = started_micros
        while True:
            await sleep_for(self.clock, TICK_MICROS)
            self._observe_age()
            now_micros = self.clock.now()
            if now_micros - self.last_tick_micros > PAUSED_MICROS:
                self.resumed_micros = now_micros
            self.last_tick_micros = now_micros
            is_alone = not self.directory.members() and now_micros < started_micros + ALONE_MICROS
            if not is_alone and now_micros >= max(self.earliest_request_micros, self._due_micros()):
                await self._ask_list()

    def _start_pulls(self) -> None:
        """Starts the loops that pull from peers, unless an earlier call of `run` did."""
        if self.has_started_pulls:
            return
        self.has_started_pulls = True
        self.task_group.supervise("roster_bootstrap", self.clock, self._bootstrap_from_peers)
        self.task_group.supervise("roster_pull", self.clock, self._pull_while_old)

    # ---- election of the polling node ------------------------------------------------------------

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
            # Polls at a fifth of the rate while its own requests fail but another node gets answers.
            is_backing_off = self.failure_count > 1 and now_micros - self.last_list_micros < 2 * self.list_period_micros
            return self.last_request_micros + self.list_period_micros * (5 if is_backing_off else 1)
        gap_micros = ATTEMPT_GAP_MICROS + FAILED_ATTEMPT_RANK_MICROS * min(self._rank(), 10)
        due_micros = self.last_list_micros + self._silence_micros()
        if self.roster.backends:
            # No notes reach this node: it polls for itself, but not while others announce failed attempts.
            due_micros = min(due_micros, self.roster.requested_micros + STALE_MICROS + self.stale_jitter_micros)
        return max(due_micros, self.last_attempt_micros + gap_micros)

    async def _ask_list(self) -> None:
        requested_micros = self.clock.now()
        self.last_request_micros = self.last_attempt_micros = requested_micros
        if not self.is_asker:
            # The other nodes hold back their own attempts on receiving this, whether or not it succeeds.
            self._announce_attempt(requested_micros)
        self.is_asking = True
        self.list_request_count += 1
        try:
            list_result = await self.control.list_workers(LIST_LIMIT_MICROS)
        finally:
            self.is_asking = False
        listed = list_result.unwrap_or([])
        if not listed:
            self.failure_count += 1
            self._stop_asking(AskerStopReason.LIST_FAILED)
            if self.failure_count in (1, 10):
                failure = list_result.err_value if isinstance(list_result, Err) else "it is empty"
                LOGGER.warning("router: The request for the worker list returned no workers. fault=%r", failure)
            self._announce_attempt(requested_micros)
            return
        self.failure_count = 0
        self._begin_asking()
        self.last_list_micros = self.clock.now()
        self._merge(listed, requested_micros, LIST_SOURCE)
        await self._announce_roster({b.name: b for b in listed}, requested_micros)

    # ---- age of the roster -----------------------------------------------------------------------

    def _roster_age(self) -> int:
        """Like `age_micros`, but a very large value before the first list."""
        return self.clock.now() - self.roster.requested_micros

    def is_fresh_within(self, bound_micros: int) -> bool:
        """Whether the roster is no older than `bound_micros`, or this node is excused from keeping it so.

        It is excused while its own request to the list is pending or has failed, and shortly after the process was
        suspended.
        """
        now_micros = self.clock.now()
        was_paused = now_micros - self.last_tick_micros > PAUSED_MICROS
        has_resumed = now_micros - self.resumed_micros <= PAUSED_MICROS
        is_unanswered = self.is_asking or self.failure_count > 0
        return self._roster_age() <= bound_micros or is_unanswered or was_paused or has_resumed

    async def _pull_while_old(self) -> None:
        """Pulls from random peers while the roster is old, and backs off while none has a newer one."""
        pause_micros = PULL_MICROS
        while True:
            await sleep_for(self.clock, pause_micros)
            addresses = [r.address for r in self.directory.members("router")]
            if self._roster_age() <= PULL_AGE_MICROS or not self.roster.backends or not addresses:
                pause_micros = PULL_MICROS
            elif await self._pull_from(self.rng.choice(addresses)):
                pause_micros = PULL_MICROS
            else:
                pause_micros = min(pause_micros * 3 // 2, MAX_PULL_MICROS)

    async def _pull_from(self, address: str) -> bool:
        """Merges a peer's roster if it is newer; returns whether the peer sent one."""
        peer_roster = await self._ask_peer(address, RosterNote(age_micros=self._roster_age()))
        if peer_roster is None:
            return False
        self._apply_list(peer_roster.backends.values(), peer_roster.requested_micros, address)
        return True

    async def _ask_peer(self, address: str, note: RosterNote) -> Roster | None:
        """Requests a peer's roster; None if the peer sends none.

        Its time is reckoned from before the request, so that it never appears newer than it is.
        """
        requested_micros = self.clock.now()
        reply = await self.rpc_endpoint.call(address, "roster_note", note, PEER_TIMEOUT_MICROS)
        if isinstance(reply, Err) or not reply.ok_value.worker:
            return None
        backends = [unpack_backend(worker) for worker in reply.ok_value.worker]
        return Roster({backend.name: backend for backend in backends}, requested_micros - reply.ok_value.age_micros)

    def _apply_list(self, listed: Iterable[Backend], requested_micros: int, source: str) -> None:
        if requested_micros > self.roster.requested_micros:
            self.last_list_micros = max(self.last_list_micros, self.clock.now())
        self._merge(listed, requested_micros, source)

    def _begin_asking(self) -> None:
        if not self.is_asker:
            self.is_asker = True
            LOGGER.info("router: Starts polling the worker list on behalf of all nodes. rank=%d", self._rank())

    def _stop_asking(self, reason: AskerStopReason) -> None:
        if self.is_asker:
            self.is_asker = False
            LOGGER.info("router: Stops polling the worker list on behalf of all nodes. reason=%s", reason.value)

    # ---- broadcasting ----------------------------------------------------------------------------

    def _announce_attempt(self, requested_micros: int) -> None:
        note = RosterNote(age_micros=self.clock.now() - requested_micros)
        self.rpc_endpoint.multicast([r.address for r in self.directory.members("router")], "roster_note", note)

    async def _announce_roster(self, listed: Mapping[str, Backend], requested_micros: int) -> None:
        """Broadcasts a list that was just read.

        Nodes not notified before get all fields of every worker, and so does every node once in
        `FULL_NOTE_PERIOD_MICROS`. The other notes have the name of every worker, whether it leaves, and all fields of
        those that changed recently.
        """
        now_micros = self.clock.now()
        for name, backend in listed.items():
            if _has_relevant_change(self.announced_backends.get(name), backend):
                self.changed_micros[name] = now_micros
        self.announced_backends = dict(listed)
        self.changed_micros = {
            n: m for n, m in self.changed_micros.items() if n in listed and now_micros - m < RECENT_CHANGE_MICROS
        }
        records = self.directory.members("router")
        if now_micros - self.last_full_note_micros >= FULL_NOTE_PERIOD_MICROS:
            self.notified_identities.clear()
            self.last_full_note_micros = now_micros
        full_note = RosterNote(worker=[pack_backend(b) for b in listed.values()])
        brief_note = RosterNote(
            worker=[
                pack_backend(b) if n in self.changed_micros else ListedWorker(name=n, leaving=b.is_leaving)
                for n, b in listed.items()
            ],
        )
        notified_addresses = [r.address for r in records if r.identity in self.notified_identities]
        other_addresses = [r.address for r in records if r.identity not in self.notified_identities]
        self.notified_identities = {r.identity for r in records}
        await self._send_paced(notified_addresses, brief_note, requested_micros)
        await self._send_paced(other_addresses, full_note, requested_micros)

    async def _send_paced(self, addresses: list[str], note: RosterNote, requested_micros: int) -> None:
        """Sends a note in batches; each carries the list's age at its own sending, which includes the wait here."""

        def send_batch(batch: list[str]) -> None:
            note.age_micros = self.clock.now() - requested_micros
            self.rpc_endpoint.broadcast(batch, "roster_note", note)

        await self.note_broadcaster.send(addresses, note.ByteSize(), send_batch)

    # ---- receiving -------------------------------------------------------------------------------

    def _handle_note(self, identity: str, address: str, note: RosterNote) -> None:
        now_micros = self.clock.now()
        requested_micros = now_micros - note.age_micros
        if not note.worker:
            self.last_attempt_micros = max(self.last_attempt_micros, requested_micros)
            return
        if self.is_asker and rendezvous_score(identity, ROSTER_RENDEZVOUS_SUBJECT) > rendezvous_score(
            self.identity, ROSTER_RENDEZVOUS_SUBJECT
        ):
            self._stop_asking(AskerStopReason.OUTRANKED)
        unknown_names = [w.name for w in note.worker if not w.address and w.name not in self.roster.backends]
        listed = []
        for worker in note.worker:
            if worker.address:
                listed.append(unpack_backend(worker))
            elif worker.name in self.roster.backends:
                known_backend = self.roster.backends[worker.name]
                listed.append(dataclasses.replace(known_backend, is_leaving=known_backend.is_leaving or worker.leaving))
        self._apply_list(listed, requested_micros, address)
        if any(name not in self.merge.excluded_until for name in unknown_names) and not self.is_merging_from_peer:
            self.task_group.start(self._merge_from_peer(address))

    def _merge(
        self, listed: Iterable[Backend], requested_micros: int, source: str = LIST_SOURCE, adds_only: bool = False
    ) -> None:
        before = self.roster
        leaving_before = set(self.merge.leaving_names)
        self._observe_age()
        if adds_only:
            self.merge.add_from_peer(listed, requested_micros, self.clock.now())
        else:
            self.merge.merge_list(listed, requested_micros, self.clock.now())
        for name in before.backends.keys() - self.roster.backends.keys():
            LOGGER.info("router: A worker was removed from the roster. worker=%s", name)
        self._log_leaving(leaving_before, requested_micros, source)
        self._observe_age()
        self._check_merged(before)
        if self.roster is not before:
            for observer in self.roster_observers:
                observer(self.roster)

    def _log_leaving(self, leaving_before: set[str], requested_micros: int, source: str) -> None:
        age_millis = (self.clock.now() - requested_micros) // MILLI
        for name in sorted(self.merge.leaving_names - leaving_before - self.merge.excluded_until.keys()):
            LOGGER.info(
                "router: A worker is marked as leaving. worker=%s source=%s age_ms=%d", name, source, age_millis
            )

    def _observe_age(self) -> None:
        age_micros = self.age_micros()
        if age_micros is not None:
            self.age_monitor.observe(age_micros)

    def _check_merged(self, before: Roster) -> None:
        if self.roster is before:
            return
        backends = self.roster.backends
        leaving_names = [name for name, backend in before.backends.items() if backend.is_leaving]
        returned_names = [name for name in leaving_names if name in backends and not backends[name].is_leaving]
        self.invariants.check(Invariant.LEAVING_IS_FINAL, not returned_names, returned_names)
        advances = self.roster.requested_micros >= before.requested_micros
        self.invariants.check(
            Invariant.ROSTER_TIME_ADVANCES, advances, (before.requested_micros, self.roster.requested_micros)
        )

    async def _answer_roster_ask(self, identity: str, address: str, note: RosterNote) -> RosterNote:
        """Answers a peer with all workers, or without any if this node has no roster or none that is newer enough.

        An age of 0 in the peer's note asks for any roster; another age, for one that is newer by more than
        `MIN_NEWER_MICROS`.
        """
        if not self.roster.backends or 0 < note.age_micros <= self._roster_age() + MIN_NEWER_MICROS:
            return RosterNote()
        return RosterNote(
            age_micros=self._roster_age(),
            worker=[pack_backend(b) for b in self.roster.backends.values()],
        )

    async def _merge_from_peer(self, address: str) -> None:
        self.is_merging_from_peer = True
        try:
            peer_roster = await self._ask_peer(address, RosterNote())
            if peer_roster is not None:
                self._merge(peer_roster.backends.values(), peer_roster.requested_micros, address, adds_only=True)
        finally:
            self.is_merging_from_peer = False

    async def _bootstrap_from_peers(self) -> None:
        """Pulls the first roster from a peer, in up to ten attempts.

        `run` polls the list if none of them succeeds within 0.5 to 1 s.
        """
        for _ in range(10):
            addresses = [r.address for r in self.directory.members("router")]
            if self.roster.backends:
                return
            if addresses:
                await self._merge_from_peer(self.rng.choice(addresses))
            await sleep_for(self.clock, TICK_MICROS)


def _has_relevant_change(announced: Backend | None, backend: Backend) -> bool:
    """Whether a worker changed in more than `is_leaving`, which every note has, and `cold_left_micros`.

    No decision depends on `cold_left_micros`, so its changes alone are not broadcast.
    """
    if announced is None:
        return True
    same = dataclasses.replace(announced, cold_left_micros=backend.cold_left_micros, is_leaving=backend.is_leaving)
    return same != backend
