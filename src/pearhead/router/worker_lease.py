"""WorkerLeaseController (§7): holds workers by term and fence, loads weights, gathers reports."""

from __future__ import annotations

import hashlib
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from result import Err, Result

from pearhead.config.view import View, WorkerRecord
from pearhead.discovery.directory import Directory
from pearhead.invalidation.revision_listener import RevisionListener
from pearhead.router.command_session import CommandSession
from pearhead.router.copy_index import CopyIndex
from pearhead.router.job_transport import SendPrecondition
from pearhead.router.load_waves import (
    FIRST_WAVE_DRAIN_MICROS,
    FIRST_WAVE_TIMEOUT_MICROS,
    SECOND_WAVE_DRAIN_MICROS,
    VIEW_PROPAGATION_MICROS,
    first_wave,
    is_wave_serving,
)
from pearhead.router.view_replica import ViewReplica
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import ChangedNote, Command, CommandAsk, CommandResult, CopyNote, PurgeNote
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
ROUND_MICROS = 200 * MILLI
COMMAND_TIMEOUT_MICROS = 700 * MILLI
POLL_MICROS = 250 * MILLI
LOAD_LIMIT_MICROS = 6 * SECOND
LEASE_MARGIN_MICROS = 300 * MILLI
BUMP_LIMIT = 512
KEYS_PER_NOTE = 25
LONG_PREFILL_TOKENS = 1_000
UNANSWERED_POLL_LIMIT = 2
BUMP_BATCH_SIZE = 16
BUMP_JITTER_MICROS = 250 * MILLI
PENDING_BUMP_WAIT_MICROS = SECOND


class WorkerLink(Protocol):
    """Commands and reports of one worker or store, over its own published edge."""

    async def claim(self, address: str, fence: int, may_begin: SendPrecondition) -> Result[dict[str, Any], str]: ...

    async def load(
        self, address: str, fence: int, line: str, weights: str, limit_micros: int, may_begin: SendPrecondition
    ) -> Result[dict[str, Any], str]: ...

    async def events(self, address: str, life: str, after: int) -> Result[dict[str, Any], str]: ...


@dataclass
class _WorkerLease:
    fence: int
    valid_until: int
    renew_at: int
    is_busy: bool = False
    claimed_life: str = ""


@dataclass
class _PollState:
    life: str = ""
    sequence: int = 0
    load: tuple[int, int] = (0, 0)
    asked_micros: int = 0
    failure_count: int = 0
    is_busy: bool = False


class WorkerLeaseController:
    def __init__(
        self,
        identity: str,
        view_replica: ViewReplica,
        listener: RevisionListener,
        index: CopyIndex,
        link: WorkerLink,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        chance: random.Random,
        task_group: BackgroundTaskGroup,
        worker_lease_micros: int,
    ) -> None:
        self.identity = identity
        self.view_replica = view_replica
        self.listener = listener
        self.index = index
        self.link = link
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.chance = chance
        self.task_group = task_group
        self.worker_lease_micros = worker_lease_micros
        self.session = CommandSession(identity)
        self.leases: dict[str, _WorkerLease] = {}
        self.pending_lease_requests: set[str] = set()
        self.poll_states: dict[str, _PollState] = {}
        self.bumped_revisions: dict[str, int] = {}
        self.preferred_core = ""
        self.load_callback: Callable[[str, int, int], None] = lambda worker, running, waiting_tokens: None
        self.prefill_start_callback: Callable[[str, int], None] = lambda worker, tokens: None
        self.unsound_callback: Callable[[str], None] = lambda worker: None
        self.may_serve: Callable[[View, str, str], bool] = lambda view, line, worker: True
        self.serving_since: dict[tuple[str, int], int] = {}
        self.is_draining = False
        listener.copy_note_handler = self._handle_purge_note

    async def run(self) -> None:
        while True:
            await sleep_for(self.clock, ROUND_MICROS)
            if self.view_replica.is_current() and not self.is_draining:
                self._work_once()

    def _work_once(self) -> None:
        view = self.view_replica.view
        for name, worker in sorted(view.workers.items()):
            if self._service_role(view, worker) == "application":
                continue
            hold = self.leases.get(name)
            now_micros = self.clock.now()
            if hold is not None and now_micros >= hold.valid_until:
                self.leases.pop(name)
                hold = None
            if name not in self.pending_lease_requests and (
                (hold is None and self._is_first_ranked(name)) or (hold is not None and now_micros >= hold.renew_at)
            ):
                self.pending_lease_requests.add(name)
                self.task_group.start(self._request_lease(name, hold.fence if hold else 0))
            if hold is not None:
                self._act_on_lease(view, worker, hold)
        for line, fact in view.weights.items():
            if (
                line in self.bumped_revisions
                and self.bumped_revisions[line] != fact.revision
                and self._is_first_ranked(line)
            ):
                self.task_group.start(self._bump_line(line))
            self.bumped_revisions[line] = fact.revision

    def _is_first_ranked(self, name: str) -> bool:
        """By rendezvous among the nodes alive: who should hold; the core decides who does (§7.2)."""
        identities = [r.identity for r in self.directory.members("router")] + [self.identity]
        return self.identity == max(
            identities, key=lambda i: hashlib.blake2b(f"{i}/{name}".encode(), digest_size=8).digest()
        )

    def _service_role(self, view: View, worker: WorkerRecord) -> str:
        return view.role_by_service.get(worker.service, "application")

    async def _request_lease(self, name: str, current_fence: int) -> None:
        try:
            asked_micros = self.clock.now()
            command = Command()
            command.hold.worker, command.hold.holder = name, self.identity
            command.hold.term_micros, command.hold.renew_fence = self.worker_lease_micros, current_fence
            result = await self._ask_core(command)
            if result is not None and result.status == "done":
                fence = int(json.loads(result.body)["fence"])
                held = self.leases.get(name)
                # The term counts from before it was asked for, and ends early (§7.2).
                self.leases[name] = _WorkerLease(
                    fence,
                    asked_micros + self.worker_lease_micros - LEASE_MARGIN_MICROS,
                    asked_micros + self.worker_lease_micros // 3,
                    held is not None and held.is_busy,
                    held.claimed_life if held is not None and held.fence == fence else "",
                )
            elif result is not None and result.status in ("held", "refused"):
                self.leases.pop(name, None)
        finally:
            self.pending_lease_requests.discard(name)

    async def _ask_core(self, command: Command) -> CommandResult | None:
        """Asks the core that answered last, and another once that one is silent."""
        self.session.assign_number(command)
        addresses = self.view_replica.core_addresses()
        if not addresses:
            return None
        if self.preferred_core not in addresses:
            self.preferred_core = self.chance.choice(addresses)
        asked_core = self.preferred_core
        ask = CommandAsk(command=command.SerializeToString())
        given_result = await self.rpc_endpoint.call(asked_core, "command_ask", ask, COMMAND_TIMEOUT_MICROS)
        has_core_answered = not isinstance(given_result, Err) and given_result.ok_value.status not in (
            "unavailable",
            "unknown",
        )
        if not has_core_answered and self.preferred_core == asked_core:
            self.preferred_core = addresses[(addresses.index(asked_core) + 1) % len(addresses)]
        return None if isinstance(given_result, Err) else given_result.ok_value

    # ---- what a holder does ----------------------------------------------------------------------

    def _act_on_lease(self, view: View, worker: WorkerRecord, hold: _WorkerLease) -> None:
        report = self.poll_states.setdefault(worker.name, _PollState())
        if not report.is_busy:
            report.is_busy = True
            self.task_group.start(self._poll_worker(worker, report))
        if hold.is_busy or self._service_role(view, worker) != "model":
            return
        if not hold.claimed_life or hold.claimed_life != (report.life or hold.claimed_life):
            # New here, or the worker started again and knows of no fence.
            hold.is_busy = True
            self.task_group.start(self._claim(worker, hold.fence))
            return
        line = next((e.line for e in view.description.entries if e.service == worker.service), "")
        present = view.weights.get(line)
        if present is None or not report.life or worker.leaving:
            # What leaves takes no new jobs: a load would only cut its last ones. If it stays, it loads then.
            return
        load = view.loads.get(worker.name)
        is_loaded = load is not None and load.line == line and load.life == report.life
        if load is not None and not is_loaded:
            # Started again: it would refuse each job until it is loaded (§7.5).
            self._announce_unsound(worker.name)
        if load is not None and is_loaded and load.weights_revision == present.revision:
            return
        if is_loaded and not self._may_load(view, worker, line, present.revision, report):
            return
        hold.is_busy = True
        self.task_group.start(self._load(worker, hold.fence, line, present.weights, present.revision))

    def _is_lease_valid(self, name: str, fence: int) -> bool:
        """The last check before a command leaves, in one step with it (§7.2)."""
        hold = self.leases.get(name)
        return hold is not None and hold.fence == fence and self.clock.now() < hold.valid_until

    async def _claim(self, worker: WorkerRecord, fence: int) -> None:
        """Before all else a new holder shows its fence, so that no late command of an older one counts (§7.2)."""
        claimed = await self.link.claim(worker.address, fence, lambda: self._is_lease_valid(worker.name, fence))
        if isinstance(claimed, Err):
            await sleep_for(self.clock, POLL_MICROS)
        hold = self.leases.get(worker.name)
        if hold is not None:
            hold.is_busy = False
            if hold.fence == fence and not isinstance(claimed, Err):
                hold.claimed_life = claimed.ok_value["life"]

    def _may_load(self, view: View, worker: WorkerRecord, line: str, revision: int, report: _PollState) -> bool:
        """Two waves: the first half at once, the rest when that half serves or is late (§7.3).

        Nodes leave a worker alone from then on, and its last jobs are waited for: not all drain by themselves.
        """
        now_micros = self.clock.now()
        since_micros = self.clock.now() - self.view_replica.first_seen.get((line, revision), 0)
        if since_micros < VIEW_PROPAGATION_MICROS:
            return False  # Nodes that have not seen the naming would still send jobs here.
        is_barred = not self.may_serve(view, line, worker.name)
        if is_barred or worker.name in first_wave(view, worker.service, revision):
            return self._is_drained(report, now_micros - since_micros) or since_micros > FIRST_WAVE_DRAIN_MICROS
        # Once over, a wave stays over, whoever leaves of it.
        is_over = (line, revision) in self.serving_since or since_micros > FIRST_WAVE_TIMEOUT_MICROS
        if not is_over and not is_wave_serving(view, worker.service, revision):
            return False
        serving_since = self.serving_since.setdefault((line, revision), now_micros)
        if now_micros - serving_since < VIEW_PROPAGATION_MICROS:
            return False
        return self._is_drained(report, serving_since) or since_micros > SECOND_WAVE_DRAIN_MICROS

    def _is_drained(self, report: _PollState, from_micros: int) -> bool:
        """By a poll that was asked after every node left the worker alone."""
        return report.load[0] == 0 and report.asked_micros >= from_micros + VIEW_PROPAGATION_MICROS

    async def _load(self, worker: WorkerRecord, fence: int, line: str, weights: str, revision: int) -> None:
        try:
            LOGGER.info("router: Loads weights. worker=%s weights=%s fence=%d", worker.name, weights, fence)
            loaded = await self.link.load(
                worker.address,
                fence,
                line,
                weights,
                LOAD_LIMIT_MICROS,
                lambda: self._is_lease_valid(worker.name, fence),
            )
            if isinstance(loaded, Err):
                LOGGER.warning("router: A worker did not load. worker=%s fault=%r", worker.name, str(loaded.err_value))
                await sleep_for(self.clock, POLL_MICROS)
                return
            body = loaded.ok_value
            command = Command()
            command.confirm.worker, command.confirm.fence = worker.name, fence
            command.confirm.line, command.confirm.weights = line, weights
            command.confirm.life, command.confirm.sequence = body["life"], body["sequence"]
            command.confirm.weights_revision = revision
            for _ in range(5):
                result = await self._ask_core(command)
                if result is not None and result.status in ("done", "refused"):
                    break
            # Leaves the core's word time to come round, so that it is not loaded twice.
            await sleep_for(self.clock, 3 * POLL_MICROS)
        finally:
            if worker.name in self.leases:
                self.leases[worker.name].is_busy = False

    async def _poll_worker(self, worker: WorkerRecord, report: _PollState) -> None:
        try:
            asked_micros = self.clock.now()
            given_result = await self.link.events(worker.address, report.life, report.sequence)
            if isinstance(given_result, Err):
                report.failure_count += 1
                if report.failure_count >= UNANSWERED_POLL_LIMIT:
                    self._announce_unsound(worker.name)
                await sleep_for(self.clock, POLL_MICROS)
                return
            report.failure_count, report.asked_micros = 0, asked_micros
            body = given_result.ok_value
            has_new_state = body["life"] != report.life or body["sequence"] != report.sequence
            from_sequence = 0 if body["whole"] else report.sequence
            report.life, report.sequence = body["life"], body["sequence"]
            load = (int(body.get("running", 0)), int(body.get("waiting_tokens", 0)))
            if has_new_state or load != report.load:
                report.load = load
                self._publish_copies(worker, body, from_sequence)
            self._bump_changed(body["changed"])
            await sleep_for(self.clock, POLL_MICROS)
        finally:
            report.is_busy = False

    def _bump_changed(self, keys: list[str]) -> None:
        """A key tells its part only to who made it: what this node can't tell goes to all others (§6.3)."""
        unknown = []
        for key in keys:
            known = self.index.part_by_key.get(key)
            if known is not None:
                self.task_group.start(self.listener.bump(*known))
            else:
                unknown.append(key)
        if unknown:
            # By frames: a report is read once, so what is lost here is not told again.
            note = PurgeNote(changed_note=ChangedNote(key=unknown))
            for record in self.directory.members("router"):
                self.rpc_endpoint.send_message(record.address, "purge_note", note)

    def _handle_changed_note(self, note: ChangedNote) -> None:
        parts = {self.index.part_by_key[key] for key in note.key if key in self.index.part_by_key}
        for part in sorted(parts):
            self.task_group.start(self._bump_on_behalf(*part))

    async def _bump_on_behalf(self, owner: str, line: str, part: int) -> None:
        """Several may know the part: each waits a while of its own, and whoever hears of a bump leaves it at that."""
        revision = self.listener.revision_of(owner, line, part)
        await sleep_for(self.clock, self.chance.randrange(BUMP_JITTER_MICROS))
        if self.listener.is_changing(owner, line, part):
            # Asked for by another, who may be gone before it is done.
            await sleep_for(self.clock, PENDING_BUMP_WAIT_MICROS)
        # What was not known before can't be seen to move: then one bump too many does no harm.
        if revision is None or self.listener.last_revision_of(owner, line, part) == revision:
            await self.listener.bump(owner, line, part)

    def _publish_copies(self, worker: WorkerRecord, body: dict[str, Any], from_sequence: int) -> None:
        """Tells all nodes on the channel of a volume; those not told lose only speed (§6.5)."""
        kept, dropped = list(body["kept"]), list(body["dropped"])
        note = CopyNote(
            worker=worker.name,
            life=body["life"],
            sequence=body["sequence"],
            from_sequence=from_sequence,
            whole=body["whole"],
            kept=kept,
            dropped=dropped,
            running=int(body.get("running", 0)),
            waiting_tokens=int(body.get("waiting_tokens", 0)),
        )
        self._record_copies(note)
        addresses = [r.address for r in self.directory.members("router")]
        if len(kept) + len(dropped) <= KEYS_PER_NOTE:
            self.rpc_endpoint.multicast(addresses, "purge_note", PurgeNote(copy_note=note))
        else:
            # Too long for a datagram: such a list goes as frames.
            for address in addresses:
                self.rpc_endpoint.send_message(address, "purge_note", PurgeNote(copy_note=note))

    def _announce_unsound(self, worker: str) -> None:
        """What the holder learns by its polls spares each node a job of its own (§7.5)."""
        self.unsound_callback(worker)
        addresses = [r.address for r in self.directory.members("router")]
        self.rpc_endpoint.multicast(addresses, "purge_note", PurgeNote(copy_note=CopyNote(worker=worker, unsound=True)))

    def announce_prefill(self, worker: str, tokens: int) -> None:
        """A long prefill is told when it is sent: until the next poll all nodes would send jobs behind it (§8.5)."""
        if tokens >= LONG_PREFILL_TOKENS:
            addresses = [r.address for r in self.directory.members("router")]
            note = CopyNote(worker=worker, starting_tokens=tokens)
            self.rpc_endpoint.multicast(addresses, "purge_note", PurgeNote(copy_note=note))

    def _handle_purge_note(self, note: PurgeNote) -> None:
        if note.HasField("changed_note"):
            self._handle_changed_note(note.changed_note)
        elif note.copy_note.unsound:
            self.unsound_callback(note.copy_note.worker)
        elif note.copy_note.starting_tokens:
            self.prefill_start_callback(note.copy_note.worker, note.copy_note.starting_tokens)
        else:
            self._record_copies(note.copy_note)

    def _record_copies(self, note: CopyNote) -> None:
        self.load_callback(note.worker, note.running, note.waiting_tokens)
        self.index.apply_cache_report(
            note.worker, note.life, note.from_sequence, note.sequence, note.kept, note.dropped, note.whole
        )
        if not note.whole:
            self.index.record_verified_keys(
                self.view_replica.view.loads.get(note.worker), note.life, note.from_sequence, note.kept
            )

    async def _bump_line(self, line: str) -> None:
        """The node that orders a roll-out sends the request for each part it knows of (§6.3)."""
        parts = self.index.parts_of_line(line)[:BUMP_LIMIT]
        LOGGER.info("router: Bumps parts for new weights. line=%s parts=%d", line, len(parts))
        for position in range(0, len(parts), BUMP_BATCH_SIZE):
            for part in parts[position : position + BUMP_BATCH_SIZE]:
                self.task_group.start(self.listener.bump(*part))
            await sleep_for(self.clock, ROUND_MICROS)
