"""WorkerLeaseController (§7): leases workers with fencing tokens, loads weights and polls cache and load reports."""

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
from pearhead.runtime.bounded_numbers import MAX_UINT32, MAX_UINT64, saturate
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
    """Commands to a worker or store, and its reports, over its own HTTP API."""

    async def claim(self, address: str, fence: int, may_begin: SendPrecondition) -> Result[dict[str, Any], str]:
        """Sets the worker's fence, so that it rejects commands with an older one; the answer has its `life`."""

    async def load(
        self, address: str, fence: int, line: str, weights: str, limit_micros: int, may_begin: SendPrecondition
    ) -> Result[dict[str, Any], str]:
        """Makes the worker load weights of a line within `limit_micros`."""

    async def events(self, address: str, life: str, after: int) -> Result[dict[str, Any], str]:
        """Cache changes after a sequence number of the given life, with the worker's current load."""


@dataclass
class _WorkerLease:
    """A lease held by this node; `claimed_life` is the worker's life that has confirmed the fence, or "" if none."""

    fence: int
    valid_until: int
    renew_at: int
    is_busy: bool = False
    claimed_life: str = ""


@dataclass
class _PollState:
    """The last poll of a worker: where its events continue, and its load (running jobs, waiting tokens)."""

    life: str = ""
    sequence: int = 0
    load: tuple[int, int] = (0, 0)
    asked_micros: int = 0
    failure_count: int = 0
    is_busy: bool = False


class WorkerLeaseController:
    """Requests leases for the workers assigned to this node, and commands and polls those that it holds.

    All times are in microseconds. The callbacks are set by `NodeProcess` after construction.
    """

    def __init__(
        self,
        identity: str,
        view_replica: ViewReplica,
        revision_listener: RevisionListener,
        copy_index: CopyIndex,
        link: WorkerLink,
        rpc_endpoint: RpcEndpoint,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
        task_group: BackgroundTaskGroup,
        worker_lease_micros: int,
    ) -> None:
        self.identity = identity
        self.view_replica = view_replica
        self.revision_listener = revision_listener
        self.copy_index = copy_index
        self.link = link
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.rng = rng
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
        self.unhealthy_callback: Callable[[str], None] = lambda worker: None
        self.may_serve: Callable[[View, str, str], bool] = lambda view, line, worker: True
        self.serving_since: dict[tuple[str, int], int] = {}
        self.is_draining = False
        revision_listener.worker_note_handler = self._handle_purge_note

    async def run(self) -> None:
        """Runs a round every 0.2 s while the view is current and the node isn't draining, until cancelled."""
        while True:
            await sleep_for(self.clock, ROUND_MICROS)
            if self.view_replica.is_current() and not self.is_draining:
                self._run_round()

    def _run_round(self) -> None:
        view = self.view_replica.view
        for name, worker in sorted(view.workers.items()):
            if self._service_role(view, worker) == "application":
                continue
            lease = self.leases.get(name)
            now_micros = self.clock.now()
            if lease is not None and now_micros >= lease.valid_until:
                self.leases.pop(name)
                lease = None
            if name not in self.pending_lease_requests and (
                (lease is None and self._is_first_ranked(name)) or (lease is not None and now_micros >= lease.renew_at)
            ):
                self.pending_lease_requests.add(name)
                self.task_group.start(self._request_lease(name, lease.fence if lease else 0))
            if lease is not None:
                self._act_on_lease(view, worker, lease)
        for line, weights_record in view.weights.items():
            if (
                line in self.bumped_revisions
                and self.bumped_revisions[line] != weights_record.revision
                and self._is_first_ranked(line)
            ):
                self.task_group.start(self._bump_line(line))
            self.bumped_revisions[line] = weights_record.revision

    def _is_first_ranked(self, name: str) -> bool:
        """Whether rendezvous hashing over the live nodes ranks this one first; the core grants the lease (§7.2)."""
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
                previous_lease = self.leases.get(name)
                # The lease counts from before the request was sent, and ends a margin earlier than at the core (§7.2).
                self.leases[name] = _WorkerLease(
                    fence,
                    asked_micros + self.worker_lease_micros - LEASE_MARGIN_MICROS,
                    asked_micros + self.worker_lease_micros // 3,
                    previous_lease is not None and previous_lease.is_busy,
                    previous_lease.claimed_life if previous_lease is not None and previous_lease.fence == fence else "",
                )
            elif result is not None and result.status in ("held", "refused"):
                self.leases.pop(name, None)
        finally:
            self.pending_lease_requests.discard(name)

    async def _ask_core(self, command: Command) -> CommandResult | None:
        """Submits a command to the core that answered last, and the next command to another if that one fails."""
        self.session.assign_number(command)
        addresses = self.view_replica.core_addresses()
        if not addresses:
            return None
        if self.preferred_core not in addresses:
            self.preferred_core = self.rng.choice(addresses)
        target_core = self.preferred_core
        request = CommandAsk(command=command.SerializeToString())
        response = await self.rpc_endpoint.call(target_core, "command_ask", request, COMMAND_TIMEOUT_MICROS)
        has_core_answered = not isinstance(response, Err) and response.ok_value.status not in (
            "unavailable",
            "unknown",
        )
        if not has_core_answered and self.preferred_core == target_core:
            self.preferred_core = addresses[(addresses.index(target_core) + 1) % len(addresses)]
        return None if isinstance(response, Err) else response.ok_value

    # ---- lease holder ----------------------------------------------------------------------------

    def _act_on_lease(self, view: View, worker: WorkerRecord, lease: _WorkerLease) -> None:
        poll_state = self.poll_states.setdefault(worker.name, _PollState())
        if not poll_state.is_busy:
            poll_state.is_busy = True
            self.task_group.start(self._poll_worker(worker, poll_state))
        if lease.is_busy or self._service_role(view, worker) != "model":
            return
        if not lease.claimed_life or lease.claimed_life != (poll_state.life or lease.claimed_life):
            # The lease is new, or the worker restarted and has lost its fence.
            lease.is_busy = True
            self.task_group.start(self._claim(worker, lease.fence))
            return
        line = next((e.line for e in view.description.entries if e.service == worker.service), "")
        current_weights = view.weights.get(line)
        if current_weights is None or not poll_state.life or worker.leaving:
            # A leaving worker takes no new jobs, and a load would only cut its last ones. If it stays, it loads then.
            return
        load = view.loads.get(worker.name)
        is_loaded = load is not None and load.line == line and load.life == poll_state.life
        if load is not None and not is_loaded:
            # The worker restarted: it refuses every job until its weights are loaded (§7.5).
            self._announce_unhealthy(worker.name)
        if load is not None and is_loaded and load.weights_revision == current_weights.revision:
            return
        if is_loaded and not self._may_load(view, worker, line, current_weights.revision, poll_state):
            return
        lease.is_busy = True
        self.task_group.start(self._load(worker, lease.fence, line, current_weights.weights, current_weights.revision))

    def _is_lease_valid(self, name: str, fence: int) -> bool:
        """Checked immediately before a command is sent, without giving up control in between (§7.2)."""
        lease = self.leases.get(name)
        return lease is not None and lease.fence == fence and self.clock.now() < lease.valid_until

    async def _claim(self, worker: WorkerRecord, fence: int) -> None:
        """Shows the new fence to the worker first, so that it rejects late commands of earlier holders (§7.2)."""
        claim_result = await self.link.claim(worker.address, fence, lambda: self._is_lease_valid(worker.name, fence))
        if isinstance(claim_result, Err):
            await sleep_for(self.clock, POLL_MICROS)
        lease = self.leases.get(worker.name)
        if lease is not None:
            lease.is_busy = False
            if lease.fence == fence and not isinstance(claim_result, Err):
                lease.claimed_life = claim_result.ok_value["life"]

    def _may_load(self, view: View, worker: WorkerRecord, line: str, revision: int, poll_state: _PollState) -> bool:
        """Whether the worker may load now: workers load in two waves, so that one half serves (§7.3).

        The first wave loads immediately, the second when the first serves or is late. Nodes send a worker no jobs once
        its wave has begun. Its last jobs are waited for, up to a limit: not every worker lets them end before it loads.
        """
        now_micros = self.clock.now()
        since_micros = self.clock.now() - self.view_replica.first_seen_micros.get((line, revision), 0)
        if since_micros < VIEW_PROPAGATION_MICROS:
            return False  # Nodes that have not seen the new revision yet still send jobs here.
        is_excluded = not self.may_serve(view, line, worker.name)
        if is_excluded or worker.name in first_wave(view, worker.service, revision):
            return self._is_drained(poll_state, now_micros - since_micros) or since_micros > FIRST_WAVE_DRAIN_MICROS
        # Once the first wave is complete it stays so, whichever of its workers leave.
        is_over = (line, revision) in self.serving_since or since_micros > FIRST_WAVE_TIMEOUT_MICROS
        if not is_over and not is_wave_serving(view, worker.service, revision):
            return False
        serving_since = self.serving_since.setdefault((line, revision), now_micros)
        if now_micros - serving_since < VIEW_PROPAGATION_MICROS:
            return False
        return self._is_drained(poll_state, serving_since) or since_micros > SECOND_WAVE_DRAIN_MICROS

    def _is_drained(self, poll_state: _PollState, from_micros: int) -> bool:
        """Whether a poll sent after all nodes had stopped using the worker found nothing running."""
        return poll_state.load[0] == 0 and poll_state.asked_micros >= from_micros + VIEW_PROPAGATION_MICROS

    async def _load(self, worker: WorkerRecord, fence: int, line: str, weights: str, revision: int) -> None:
        try:
            LOGGER.info(
                "router: Tells a worker to load weights. worker=%s weights=%s fence=%d", worker.name, weights, fence
            )
            load_result = await self.link.load(
                worker.address,
                fence,
                line,
                weights,
                LOAD_LIMIT_MICROS,
                lambda: self._is_lease_valid(worker.name, fence),
            )
            if isinstance(load_result, Err):
                LOGGER.warning(
                    "router: A worker did not load the weights. worker=%s fault=%r",
                    worker.name,
                    str(load_result.err_value),
                )
                await sleep_for(self.clock, POLL_MICROS)
                return
            body = load_result.ok_value
            command = Command()
            command.confirm.worker, command.confirm.fence = worker.name, fence
            command.confirm.line, command.confirm.weights = line, weights
            command.confirm.life, command.confirm.sequence = body["life"], body["sequence"]
            command.confirm.weights_revision = revision
            for _ in range(5):
                result = await self._ask_core(command)
                if result is not None and result.status in ("done", "refused"):
                    break
            # Gives the confirmation time to reach the view, so that the worker is not loaded twice.
            await sleep_for(self.clock, 3 * POLL_MICROS)
        finally:
            if worker.name in self.leases:
                self.leases[worker.name].is_busy = False

    async def _poll_worker(self, worker: WorkerRecord, poll_state: _PollState) -> None:
        try:
            asked_micros = self.clock.now()
            response = await self.link.events(worker.address, poll_state.life, poll_state.sequence)
            if isinstance(response, Err):
                poll_state.failure_count += 1
                if poll_state.failure_count >= UNANSWERED_POLL_LIMIT:
                    self._announce_unhealthy(worker.name)
                await sleep_for(self.clock, POLL_MICROS)
                return
            poll_state.failure_count, poll_state.asked_micros = 0, asked_micros
            body = response.ok_value
            has_new_state = body["life"] != poll_state.life or body["sequence"] != poll_state.sequence
            from_sequence = 0 if body["whole"] else poll_state.sequence
            poll_state.life, poll_state.sequence = body["life"], body["sequence"]
            load = (
                saturate(int(body.get("running", 0)), MAX_UINT32),
                saturate(int(body.get("waiting_tokens", 0)), MAX_UINT64),
            )
            if has_new_state or load != poll_state.load:
                poll_state.load = load
                self._publish_copies(worker, body, from_sequence, load)
            self._bump_changed(body["changed"])
            await sleep_for(self.clock, POLL_MICROS)
        finally:
            poll_state.is_busy = False

    def _bump_changed(self, keys: list[str]) -> None:
        """Increases ("bumps") the revisions of the parts whose keys a worker reported as changed (§6.3).

        A key can be mapped to its part only by a node that made the key, so keys unknown here are sent to all others.
        """
        unknown_keys = []
        for key in keys:
            known_part = self.copy_index.part_by_key.get(key)
            if known_part is not None:
                self.task_group.start(self.revision_listener.bump(*known_part))
            else:
                unknown_keys.append(key)
        if unknown_keys:
            # Sent over connections, not as datagrams: a report is read only once, so a lost key is not sent again.
            note = PurgeNote(changed_note=ChangedNote(key=unknown_keys))
            for record in self.directory.members("router"):
                self.rpc_endpoint.send_message(record.address, "purge_note", note)

    def _handle_changed_note(self, note: ChangedNote) -> None:
        parts = {self.copy_index.part_by_key[key] for key in note.key if key in self.copy_index.part_by_key}
        for part in sorted(parts):
            self.task_group.start(self._bump_on_behalf(*part))

    async def _bump_on_behalf(self, owner: str, line: str, part: int) -> None:
        """Bumps a part unless another node does: each waits a random time first and stops if the part was bumped."""
        revision = self.revision_listener.revision_of(owner, line, part)
        await sleep_for(self.clock, self.rng.randrange(BUMP_JITTER_MICROS))
        if self.revision_listener.is_changing(owner, line, part):
            # Another node has requested a bump, but may fail before it is done.
            await sleep_for(self.clock, PENDING_BUMP_WAIT_MICROS)
        # If the revision was unknown before, a change of it can't be detected. A redundant bump is harmless.
        if revision is None or self.revision_listener.last_revision_of(owner, line, part) == revision:
            await self.revision_listener.bump(owner, line, part)

    def _publish_copies(
        self, worker: WorkerRecord, body: dict[str, Any], from_sequence: int, load: tuple[int, int]
    ) -> None:
        """Sends cache changes and load to all nodes. A node that misses them only reuses caches less (§6.5)."""
        kept, dropped = list(body["kept"]), list(body["dropped"])
        note = CopyNote(
            worker=worker.name,
            life=body["life"],
            sequence=body["sequence"],
            from_sequence=from_sequence,
            whole=body["whole"],
            kept=kept,
            dropped=dropped,
            running=load[0],
            waiting_tokens=load[1],
        )
        self._record_copies(note)
        addresses = [r.address for r in self.directory.members("router")]
        if len(kept) + len(dropped) <= KEYS_PER_NOTE:
            self.rpc_endpoint.multicast(addresses, "purge_note", PurgeNote(copy_note=note))
        else:
            # Too long for a datagram: sent over the nodes' connections instead.
            for address in addresses:
                self.rpc_endpoint.send_message(address, "purge_note", PurgeNote(copy_note=note))

    def _announce_unhealthy(self, worker: str) -> None:
        """Reports an unhealthy worker to all nodes, so that none has to find out by a failed job (§7.5)."""
        self.unhealthy_callback(worker)
        addresses = [r.address for r in self.directory.members("router")]
        self.rpc_endpoint.multicast(addresses, "purge_note", PurgeNote(copy_note=CopyNote(worker=worker, unsound=True)))

    def announce_prefill(self, worker: str, tokens: int) -> None:
        """Announces a long prefill (1,000 tokens or more) to all nodes when it is sent (§8.5).

        Until the next poll other nodes would queue jobs behind it.
        """
        if tokens >= LONG_PREFILL_TOKENS:
            addresses = [r.address for r in self.directory.members("router")]
            note = CopyNote(worker=worker, starting_tokens=tokens)
            self.rpc_endpoint.multicast(addresses, "purge_note", PurgeNote(copy_note=note))

    def _handle_purge_note(self, note: PurgeNote) -> None:
        if note.HasField("changed_note"):
            self._handle_changed_note(note.changed_note)
        elif note.copy_note.unsound:
            self.unhealthy_callback(note.copy_note.worker)
        elif note.copy_note.starting_tokens:
            self.prefill_start_callback(note.copy_note.worker, note.copy_note.starting_tokens)
        else:
            self._record_copies(note.copy_note)

    def _record_copies(self, note: CopyNote) -> None:
        self.load_callback(note.worker, note.running, note.waiting_tokens)
        self.copy_index.apply_cache_report(
            note.worker, note.life, note.from_sequence, note.sequence, note.kept, note.dropped, note.whole
        )
        if not note.whole:
            self.copy_index.record_verified_keys(
                self.view_replica.view.loads.get(note.worker), note.life, note.from_sequence, note.kept
            )

    async def _bump_line(self, line: str) -> None:
        """Bumps the known parts of a line in batches after its weights changed; done by one node (§6.3)."""
        parts = self.copy_index.parts_of_line(line)[:BUMP_LIMIT]
        LOGGER.info(
            "router: Bumps the revisions of a model line's parts after a weights change. line=%s parts=%d",
            line,
            len(parts),
        )
        for position in range(0, len(parts), BUMP_BATCH_SIZE):
            for part in parts[position : position + BUMP_BATCH_SIZE]:
                self.task_group.start(self.revision_listener.bump(*part))
            await sleep_for(self.clock, ROUND_MICROS)
