"""WeightsRollout (§7.7): one node makes all workers of a line load the weights that operators named."""

from __future__ import annotations

import asyncio
import json
import logging
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok

from pearhead.config.view import View
from pearhead.discovery.directory import Directory
from pearhead.router.core_command_client import CommandClient, ViewSource
from pearhead.router.rendezvous import rendezvous_rank
from pearhead.router.roster_merge import Roster
from pearhead.router.worker_control import Backend, LoadOrder, OrderOutcome, WorkerControl
from pearhead.router.worker_version_table import WorkerVersionTable
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import Command, ModelNote
from pearhead.runtime.background_task_group import BackgroundTaskGroup
from pearhead.runtime.clock import MILLI, SECOND, Clock, sleep_for

LOGGER = logging.getLogger("pearhead")
ROUND_MICROS = 50 * MILLI
PROGRESS_TIMEOUT_MICROS = 2 * SECOND
RANK_DELAY_MICROS = 1_500 * MILLI
NOTE_REPEAT_MICROS = 20 * MILLI
NOTE_ARRIVAL_MICROS = 40 * MILLI
ORDER_LIMIT_MICROS = 700 * MILLI
REPORT_LIMIT_MICROS = 500 * MILLI
FIRST_REPORT_DELAY_MICROS = 450 * MILLI
REPORT_INTERVAL_MICROS = 150 * MILLI
LOAD_LIMIT_MICROS = 8 * SECOND
RETRY_DELAY_MICROS = SECOND
SUSPENDED_MICROS = SECOND
LIST_WAIT_MICROS = 2 * SECOND
ORDER_MICROS = 1_700 * MILLI
LEASE_MARGIN_MICROS = 300 * MILLI
FULL_PARALLEL_AFTER_MICROS = 5 * SECOND
LEASE_ATTEMPTS = 3
ORDER_ATTEMPTS = 3
IDLE_REPORT_LIMIT = 3
UNANSWERED_REPORT_LIMIT = 2


class RosterProvider(Protocol):
    """Where the rollout reads which workers there are."""

    @property
    def roster(self) -> Roster:
        """The current roster."""


@dataclass(frozen=True)
class _WorkerLease:
    """A lease of a worker, granted by the core. No order may begin after `order_until` (§7.2)."""

    fence: int
    order_until: int


@dataclass
class _LineState:
    """The rollout of one version to the workers of a line; `wanted` is that version."""

    wanted: int
    named_micros: int
    progress_micros: int
    is_logged: bool = False


@dataclass
class _SettledState:
    """The view and the roster by which no worker was behind; both are immutable objects.

    While they stay in force, the progress time of `states` counts as renewed in every round, last at `seen_micros`.
    """

    view: View
    roster: Roster
    states: list[_LineState]
    seen_micros: int


class WeightsRollout:
    """Brings the workers of each line to the named version, a third of them at a time.

    The node ranked first by rendezvous hashing over the line sends the orders; the others take over when they saw no
    progress for 2 s plus 1.5 s per rank.

    An order needs a lease of its worker from the core, requested only when an order is due. The holder begins its
    orders within `order_micros` of requesting the lease, and the core grants the worker to another holder only after
    `worker_lease_micros`. So the orders of two holders lie further apart than the difference of the two times,
    whichever holder was frozen or cut off. Where two holders must not give orders within a certain time, the core's
    leases have to last for that time plus `order_micros`.
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
        command_client: CommandClient,
        version_table: WorkerVersionTable,
        worker_lease_micros: int,
        order_micros: int = ORDER_MICROS,
        full_parallel_after_micros: int = FULL_PARALLEL_AFTER_MICROS,
    ) -> None:
        self.identity = identity
        self.rpc_endpoint = rpc_endpoint
        self.directory = directory
        self.clock = clock
        self.task_group = task_group
        self.control = control
        self.roster_provider = roster_provider
        self.view_source = view_source
        self.command_client = command_client
        self.version_table = version_table
        self.worker_lease_micros = worker_lease_micros
        self.order_micros = min(order_micros, worker_lease_micros - LEASE_MARGIN_MICROS)
        self.full_parallel_after_micros = full_parallel_after_micros
        self.leases: dict[str, _WorkerLease] = {}
        self.lines: dict[str, _LineState] = {}
        self.load_tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self.retry_at_micros: dict[str, int] = {}
        self.failure_counts: dict[str, int] = {}
        self.is_draining = False
        self.settled: _SettledState | None = None
        rpc_endpoint.on_message("model_note", self._handle_note)

    async def run(self) -> None:
        """Looks for workers that are behind, in rounds, and starts their loads while it is this node's turn."""
        seen_micros, quiet_until = self.clock.now(), 0
        while True:
            await sleep_for(self.clock, ROUND_MICROS)
            now_micros = self.clock.now()
            if now_micros - seen_micros >= SUSPENDED_MICROS:
                # The process was suspended. What other nodes ordered meanwhile shows only in the next list; without
                # this wait it would be ordered again.
                quiet_until = now_micros + LIST_WAIT_MICROS
            seen_micros = now_micros
            if now_micros >= quiet_until and self.view_source.is_current() and not self.is_draining:
                self._work_once()

    def record_version(self, worker: str, line: str, version: int) -> None:
        """Records a version that a worker reported in its response to a request."""
        if self.version_table.record(worker, line, version):
            self._record_progress(line, version)

    # ---- planning --------------------------------------------------------------------------------

    def _work_once(self) -> None:
        """Starts the loads that are due.

        A worker's version never goes down within a life. So once no worker is behind, rounds return at once until the
        view or the roster changes.
        """
        now_micros = self.clock.now()
        settled = self.settled
        if settled is not None:
            if settled.view is self.view_source.view and settled.roster is self.roster_provider.roster:
                settled.seen_micros = now_micros
                return
            for settled_state in settled.states:
                settled_state.progress_micros = max(settled_state.progress_micros, settled.seen_micros)
            self.settled = None
        self.load_tasks = {key: task for key, task in self.load_tasks.items() if not task.done()}
        self.leases = {n: lease for n, lease in self.leases.items() if n in self.roster_provider.roster.backends}
        self.retry_at_micros = {n: at for n, at in self.retry_at_micros.items() if at > now_micros}
        self.failure_counts = {
            n: c for n, c in self.failure_counts.items() if n in self.roster_provider.roster.backends
        }
        states = []
        is_settled = not self.load_tasks
        for line in self.view_source.view.weights:
            wanted = self._wanted_version(line)
            if wanted is None:
                continue
            state = self.lines.get(line)
            if state is None or state.wanted != wanted:
                state = self.lines[line] = _LineState(wanted, now_micros, now_micros)
            pending = [b for b in self._workers_of(line) if self._is_behind(b, line, wanted)]
            if not pending:
                state.progress_micros = now_micros
                states.append(state)
                continue
            is_settled = False
            if not self._is_turn(line, state):
                continue
            self._start_loads(line, state, pending)
        if is_settled:
            self.settled = _SettledState(self.view_source.view, self.roster_provider.roster, states, now_micros)

    def _wanted_version(self, line: str) -> int | None:
        """The version named for a line; None if the name of its weights is not a decimal number."""
        record = self.view_source.view.weights.get(line)
        return int(record.weights) if record is not None and record.weights.isdecimal() else None

    def _workers_of(self, line: str) -> list[Backend]:
        services = {s.name for s in self.view_source.view.description.services if s.role == "model" and line in s.lines}
        return [b for _, b in sorted(self.roster_provider.roster.backends.items()) if b.service in services]

    def _is_behind(self, backend: Backend, line: str, wanted: int) -> bool:
        version = self.version_table.version_of(backend.name, line)
        return not self._is_leaving(backend.name) and (version is None or version < wanted)

    def _is_leaving(self, name: str) -> bool:
        """Whether the list or operators mark the worker as leaving, or it is no longer in the roster."""
        backend = self.roster_provider.roster.backends.get(name)
        record = self.view_source.view.workers.get(name)
        return backend is None or backend.is_leaving or (record is not None and record.leaving)

    def _is_turn(self, line: str, state: _LineState) -> bool:
        if any(key[0] == line for key in self.load_tasks):
            return True
        rank = rendezvous_rank(
            self.identity, (r.identity for r in self.directory.members("router")), f"roll-out/{line}"
        )
        silent_micros = self.clock.now() - state.progress_micros
        return rank == 0 or silent_micros >= PROGRESS_TIMEOUT_MICROS + RANK_DELAY_MICROS * rank

    def _start_loads(self, line: str, state: _LineState, pending: list[Backend]) -> None:
        workers = [b for b in self._workers_of(line) if not self._is_leaving(b.name)]
        if not state.is_logged:
            state.is_logged = True
            LOGGER.info("router: Rolls out a version. line=%s version=%d workers=%d", line, state.wanted, len(pending))
        # Requests on older weights end soon after new weights are named. A worker that still has the old ones by then
        # serves nobody, so making it wait for its turn saves no capacity.
        is_late = self.clock.now() - state.named_micros >= self.full_parallel_after_micros
        max_busy_count = len(workers) if is_late else max(1, len(workers) // 3)
        busy = {key[1] for key in self.load_tasks if key[0] == line}
        busy |= {b.name for b in workers if self.version_table.is_loading(b.name)}
        # Workers with failed loads come last, so that they don't delay the others. Among the rest the oldest version is
        # first: while several versions are in service, requests already served by a newer one could go back to it.
        for backend in sorted(pending, key=lambda b: self._load_priority(b, line)):
            if len(busy) >= max_busy_count:
                return
            if backend.name in busy or backend.name in self.retry_at_micros:
                continue
            busy.add(backend.name)
            self.load_tasks[line, backend.name] = self.task_group.start(self._load(line, backend, state.wanted))

    def _load_priority(self, backend: Backend, line: str) -> tuple[int, int]:
        return self.failure_counts.get(backend.name, 0), self.version_table.version_of(backend.name, line) or 0

    # ---- one worker ------------------------------------------------------------------------------

    async def _load(self, line: str, backend: Backend, wanted: int) -> None:
        """Has a worker load a version, while this node holds the worker's lease.

        Announces the load first, so that nodes place no requests there, then orders it and waits until it is done.
        """
        if await self._acquire_lease(backend.name) is None:
            self.retry_at_micros[backend.name] = self.clock.now() + RETRY_DELAY_MICROS // 4
            return
        if not self._is_behind(backend, line, wanted):
            return  # Loaded meanwhile: this node was suspended, or another node was quicker.
        is_done = False
        await self._announce_loading(backend.name, line, wanted)
        try:
            for _ in range(ORDER_ATTEMPTS):
                lease = await self._acquire_lease(backend.name)
                if lease is None:
                    break
                outcome = await self._send_order(line, backend, wanted, lease)
                if outcome is OrderOutcome.HOLDS_ALREADY:
                    is_done = True
                elif outcome in (OrderOutcome.TAKEN, OrderOutcome.BUSY, None):
                    wait_result = await self._wait_for_version(line, backend, wanted, outcome is OrderOutcome.TAKEN)
                    if wait_result is None:
                        break
                    is_done = wait_result
                else:
                    break
                if is_done:
                    break
        finally:
            if is_done:
                self.failure_counts.pop(backend.name, None)
            else:
                count = self.failure_counts[backend.name] = self.failure_counts.get(backend.name, 0) + 1
                self.retry_at_micros[backend.name] = self.clock.now() + RETRY_DELAY_MICROS * min(count, 4)
            self._announce(ModelNote(worker=backend.name, line=line, version=wanted if is_done else 0, loading=False))

    async def _send_order(self, line: str, backend: Backend, wanted: int, lease: _WorkerLease) -> OrderOutcome | None:
        """Sends an order; None if no answer came, in which case the worker may have taken it."""

        def may_begin() -> bool:
            return (
                self.leases.get(backend.name) == lease
                and self.clock.now() < lease.order_until
                and self.view_source.is_current()
                and self._wanted_version(line) == wanted
                and not self._is_leaving(backend.name)
            )

        order = LoadOrder(backend.name, line, wanted, self.identity, lease.fence)
        reply = await self.control.send_load_order(backend.address, order, may_begin, ORDER_LIMIT_MICROS)
        if isinstance(reply, Err):
            LOGGER.warning("router: A load order got no answer. worker=%s fault=%r", backend.name, reply.err_value)
            return None
        if reply.ok_value is OrderOutcome.OLDER_FENCE:
            self.leases.pop(backend.name, None)
        if reply.ok_value not in (OrderOutcome.TAKEN, OrderOutcome.HOLDS_ALREADY):
            LOGGER.warning(
                "router: A load order was not accepted. worker=%s outcome=%s", backend.name, reply.ok_value.value
            )
        return reply.ok_value

    async def _wait_for_version(self, line: str, backend: Backend, wanted: int, is_taken: bool) -> bool | None:
        """Waits until the worker runs the wanted version, and returns True then.

        Returns False once its reports show that it has no order to carry out. Returns None if it left the roster, does
        not answer, or is still loading after `LOAD_LIMIT_MICROS`.
        """
        started_micros = self.clock.now()
        announced_micros = started_micros
        wait_micros = FIRST_REPORT_DELAY_MICROS if is_taken else REPORT_INTERVAL_MICROS
        idle_count = unanswered_report_count = 0
        while self.clock.now() - started_micros < LOAD_LIMIT_MICROS:
            await sleep_for(self.clock, wait_micros)
            if (self.version_table.version_of(backend.name, line) or 0) >= wanted:
                return True
            if (
                backend.name not in self.roster_provider.roster.backends
                or unanswered_report_count >= UNANSWERED_REPORT_LIMIT
            ):
                return None
            report_result = await self.control.report(backend.address, REPORT_LIMIT_MICROS)
            unanswered_report_count = unanswered_report_count + 1 if isinstance(report_result, Err) else 0
            if isinstance(report_result, Ok):
                if report_result.ok_value.versions.get(line, 0) >= wanted:
                    return True
                # A report is some hundred milliseconds old, so only three in a row show that there is no order.
                idle_count = 0 if report_result.ok_value.is_loading else idle_count + 1
                if idle_count >= IDLE_REPORT_LIMIT:
                    return False
            now_micros = self.clock.now()
            # A worker finishes its running requests before it loads, which may take seconds. Reports have a cost, so
            # the interval grows with the wait.
            wait_micros = max(REPORT_INTERVAL_MICROS, (now_micros - started_micros) // 5)
            if now_micros - announced_micros >= SECOND:
                announced_micros = now_micros
                self._announce(ModelNote(worker=backend.name, line=line, version=wanted, loading=True))
        return None

    # ---- leases ----------------------------------------------------------------------------------

    async def _acquire_lease(self, name: str) -> _WorkerLease | None:
        """Returns a lease with enough time left for an order, requested from the core if need be.

        Returns None if the core refuses, as while another node holds the worker; if it does not answer in
        `LEASE_ATTEMPTS` tries; or if this node got a newer lease meanwhile.
        """
        for _ in range(LEASE_ATTEMPTS):
            lease = self.leases.get(name)
            requested_micros = self.clock.now()
            if lease is not None and requested_micros < lease.order_until - ORDER_LIMIT_MICROS:
                return lease
            command = Command()
            command.hold.worker, command.hold.holder = name, self.identity
            command.hold.term_micros = self.worker_lease_micros
            command.hold.renew_fence = lease.fence if lease is not None else 0
            command_result = await self.command_client.command(command)
            if isinstance(command_result, Err) or command_result.ok_value.status not in ("done", "held", "refused"):
                continue
            if command_result.ok_value.status != "done":
                self.leases.pop(name, None)
                return None
            fence = int(json.loads(command_result.ok_value.body)["fence"])
            current = self.leases.get(name)
            if current is not None and current.fence > fence:
                return None
            # Counted from before the request, so that it ends here before it ends at the core (§7.2).
            self.leases[name] = _WorkerLease(fence, requested_micros + self.order_micros)
            return self.leases[name]
        return None

    # ---- announcing ------------------------------------------------------------------------------

    async def _announce_loading(self, name: str, line: str, wanted: int) -> None:
        """Announces a load twice, as datagrams get lost.

        Then waits until what was already on its way to the worker has arrived.
        """
        note = ModelNote(worker=name, line=line, version=wanted, loading=True)
        self._announce(note)
        await sleep_for(self.clock, NOTE_REPEAT_MICROS)
        self._announce(note)
        await sleep_for(self.clock, NOTE_ARRIVAL_MICROS)

    def _announce(self, note: ModelNote) -> None:
        if self.version_table.apply_note(note):
            self._record_progress(note.line, note.version)
        self.rpc_endpoint.multicast([r.address for r in self.directory.members("router")], "model_note", note)

    def _handle_note(self, identity: str, address: str, note: ModelNote) -> None:
        if self.version_table.apply_note(note):
            self._record_progress(note.line, note.version)

    def _record_progress(self, line: str, version: int) -> None:
        state = self.lines.get(line)
        if state is not None and version >= state.wanted:
            state.progress_micros = self.clock.now()
