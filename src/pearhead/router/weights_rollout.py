"""WeightsRollout (§7.7): one node brings all workers of a line to the weights that operators named."""

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
    @property
    def roster(self) -> Roster: ...


@dataclass(frozen=True)
class _WorkerLease:
    """`order_until`: no order begins later (§7.2)."""

    fence: int
    order_until: int


@dataclass
class _LineState:
    wanted: int
    named_micros: int
    progress_micros: int
    is_told: bool = False


@dataclass
class _SettledState:
    """No worker was behind by these; what each is, never changes. The lines' progress lasts while they are in force."""

    view: View
    roster: Roster
    states: list[_LineState]
    seen_micros: int


class WeightsRollout:
    """The first by rendezvous over the line orders; the next when it saw no progress for 2 s and 1.5 s a rank.

    A hold is taken for each order, and only then. Its orders begin within `order_micros` from when it was asked for;
    the core gives a worker to another holder only `worker_lease_micros` after. So orders of two holders lie further
    apart than the difference of the two, whichever of them froze or was cut off: where holders may not take turns
    within a time, the core's holds must last that time and `order_micros`.
    """

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
        self.rosters = rosters
        self.view_source = view_source
        self.command_client = command_client
        self.version_table = version_table
        self.worker_lease_micros = worker_lease_micros
        self.order_micros = min(order_micros, worker_lease_micros - LEASE_MARGIN_MICROS)
        self.full_parallel_after_micros = full_parallel_after_micros
        self.leases: dict[str, _WorkerLease] = {}
        self.lines: dict[str, _LineState] = {}
        self.loads: dict[tuple[str, str], asyncio.Task[None]] = {}
        self.retry_at_micros: dict[str, int] = {}
        self.failure_counts: dict[str, int] = {}
        self.is_draining = False
        self.settled: _SettledState | None = None
        rpc_endpoint.on_message("model_note", self._handle_note)

    async def run(self) -> None:
        seen_micros, quiet_until = self.clock.now(), 0
        while True:
            await sleep_for(self.clock, ROUND_MICROS)
            now_micros = self.clock.now()
            if now_micros - seen_micros >= SUSPENDED_MICROS:
                # It slept: what others did meanwhile comes with the next list, and would be ordered again.
                quiet_until = now_micros + LIST_WAIT_MICROS
            seen_micros = now_micros
            if now_micros >= quiet_until and self.view_source.is_current() and not self.is_draining:
                self._work_once()

    def record_version(self, worker: str, line: str, version: int) -> None:
        """What an answer of the worker told; from the way of requests."""
        if self.version_table.record(worker, line, version):
            self._record_progress(line, version)

    # ---- what there is to do ---------------------------------------------------------------------

    def _work_once(self) -> None:
        """Versions never go down within a life: where no worker was behind, none is before the view or the roster
        changes, so that a round costs nothing until then."""
        now_micros = self.clock.now()
        settled = self.settled
        if settled is not None:
            if settled.view is self.view_source.view and settled.roster is self.rosters.roster:
                settled.seen_micros = now_micros
                return
            for settled_state in settled.states:
                settled_state.progress_micros = max(settled_state.progress_micros, settled.seen_micros)
            self.settled = None
        self.loads = {key: task for key, task in self.loads.items() if not task.done()}
        self.leases = {n: hold for n, hold in self.leases.items() if n in self.rosters.roster.backends}
        self.retry_at_micros = {n: at for n, at in self.retry_at_micros.items() if at > now_micros}
        self.failure_counts = {n: c for n, c in self.failure_counts.items() if n in self.rosters.roster.backends}
        states = []
        is_settled = not self.loads
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
            self.settled = _SettledState(self.view_source.view, self.rosters.roster, states, now_micros)

    def _wanted_version(self, line: str) -> int | None:
        """The version named for a line; None while its weights' name is no decimal."""
        fact = self.view_source.view.weights.get(line)
        return int(fact.weights) if fact is not None and fact.weights.isdecimal() else None

    def _workers_of(self, line: str) -> list[Backend]:
        services = {s.name for s in self.view_source.view.description.services if s.role == "model" and line in s.lines}
        return [b for _, b in sorted(self.rosters.roster.backends.items()) if b.service in services]

    def _is_behind(self, backend: Backend, line: str, wanted: int) -> bool:
        version = self.version_table.version_of(backend.name, line)
        return not self._is_leaving(backend.name) and (version is None or version < wanted)

    def _is_leaving(self, name: str) -> bool:
        """By the list or by operators; one that is gone leaves as well."""
        backend = self.rosters.roster.backends.get(name)
        fact = self.view_source.view.workers.get(name)
        return backend is None or backend.is_leaving or (fact is not None and fact.leaving)

    def _is_turn(self, line: str, state: _LineState) -> bool:
        if any(key[0] == line for key in self.loads):
            return True
        rank = rendezvous_rank(
            self.identity, (r.identity for r in self.directory.members("router")), f"roll-out/{line}"
        )
        silent_micros = self.clock.now() - state.progress_micros
        return rank == 0 or silent_micros >= PROGRESS_TIMEOUT_MICROS + RANK_DELAY_MICROS * rank

    def _start_loads(self, line: str, state: _LineState, pending: list[Backend]) -> None:
        workers = [b for b in self._workers_of(line) if not self._is_leaving(b.name)]
        if not state.is_told:
            state.is_told = True
            LOGGER.info(
                "router: Brings workers to a version. line=%s version=%d workers=%d", line, state.wanted, len(pending)
            )
        # Requests on older weights end soon after the naming: a worker not loaded by then serves nobody, so
        # nothing is spared by letting it wait.
        is_late = self.clock.now() - state.named_micros >= self.full_parallel_after_micros
        room = len(workers) if is_late else max(1, len(workers) // 3)
        busy = {key[1] for key in self.loads if key[0] == line}
        busy |= {b.name for b in workers if self.version_table.is_loading(b.name)}
        # One that failed does not keep others from their turn. While several versions are about, the oldest goes first:
        # requests that were served by newer ones would go back to it.
        for backend in sorted(pending, key=lambda b: self._load_priority(b, line)):
            if len(busy) >= room:
                return
            if backend.name in busy or backend.name in self.retry_at_micros:
                continue
            busy.add(backend.name)
            self.loads[line, backend.name] = self.task_group.start(self._load(line, backend, state.wanted))

    def _load_priority(self, backend: Backend, line: str) -> tuple[int, int]:
        return self.failure_counts.get(backend.name, 0), self.version_table.version_of(backend.name, line) or 0

    # ---- one worker ------------------------------------------------------------------------------

    async def _load(self, line: str, backend: Backend, wanted: int) -> None:
        """Holds it, tells nodes to leave it alone, orders, and looks until it is done."""
        if await self._acquire_lease(backend.name) is None:
            self.retry_at_micros[backend.name] = self.clock.now() + RETRY_DELAY_MICROS // 4
            return
        if not self._is_behind(backend, line, wanted):
            return  # Word of it came meanwhile: this node had slept, or another was quicker.
        is_done = False
        await self._announce_loading(backend.name, line, wanted)
        try:
            for _ in range(ORDER_ATTEMPTS):
                hold = await self._acquire_lease(backend.name)
                if hold is None:
                    break
                outcome = await self._send_order(line, backend, wanted, hold)
                if outcome is OrderOutcome.HOLDS_ALREADY:
                    is_done = True
                elif outcome in (OrderOutcome.TAKEN, OrderOutcome.BUSY, None):
                    watched = await self._wait_for_version(line, backend, wanted, outcome is OrderOutcome.TAKEN)
                    if watched is None:
                        break
                    is_done = watched
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

    async def _send_order(self, line: str, backend: Backend, wanted: int, hold: _WorkerLease) -> OrderOutcome | None:
        """None: no answer, so it may have been taken."""

        def may_begin() -> bool:
            return (
                self.leases.get(backend.name) == hold
                and self.clock.now() < hold.order_until
                and self.view_source.is_current()
                and self._wanted_version(line) == wanted
                and not self._is_leaving(backend.name)
            )

        order = LoadOrder(backend.name, line, wanted, self.identity, hold.fence)
        given = await self.control.order_load(backend.address, order, may_begin, ORDER_LIMIT_MICROS)
        if isinstance(given, Err):
            LOGGER.warning("router: An order got no answer. worker=%s fault=%r", backend.name, given.err_value)
            return None
        if given.ok_value is OrderOutcome.OLDER_FENCE:
            self.leases.pop(backend.name, None)
        if given.ok_value not in (OrderOutcome.TAKEN, OrderOutcome.HOLDS_ALREADY):
            LOGGER.warning("router: An order was not taken. worker=%s outcome=%s", backend.name, given.ok_value.value)
        return given.ok_value

    async def _wait_for_version(self, line: str, backend: Backend, wanted: int, is_taken: bool) -> bool | None:
        """Whether it runs the wanted version; False once it has no order of ours to do, None if it can't be asked."""
        began_micros = self.clock.now()
        told_micros = began_micros
        wait_micros = FIRST_REPORT_DELAY_MICROS if is_taken else REPORT_INTERVAL_MICROS
        idle_count = unanswered_report_count = 0
        while self.clock.now() - began_micros < LOAD_LIMIT_MICROS:
            await sleep_for(self.clock, wait_micros)
            if (self.version_table.version_of(backend.name, line) or 0) >= wanted:
                return True
            if backend.name not in self.rosters.roster.backends or unanswered_report_count >= UNANSWERED_REPORT_LIMIT:
                return None
            given = await self.control.report(backend.address, REPORT_LIMIT_MICROS)
            unanswered_report_count = unanswered_report_count + 1 if isinstance(given, Err) else 0
            if isinstance(given, Ok):
                if given.ok_value.versions.get(line, 0) >= wanted:
                    return True
                # A report is some hundred milliseconds old: three without an order tell that there is none.
                idle_count = 0 if given.ok_value.is_loading else idle_count + 1
                if idle_count >= IDLE_REPORT_LIMIT:
                    return False
            now_micros = self.clock.now()
            # What runs ends first, which may take seconds: reports cost, so they come more seldom then.
            wait_micros = max(REPORT_INTERVAL_MICROS, (now_micros - began_micros) // 5)
            if now_micros - told_micros >= SECOND:
                told_micros = now_micros
                self._announce(ModelNote(worker=backend.name, line=line, version=wanted, loading=True))
        return None

    # ---- holds -----------------------------------------------------------------------------------

    async def _acquire_lease(self, name: str) -> _WorkerLease | None:
        """A hold with time left for an order, from the core if need be; None if another node has the worker."""
        for _ in range(LEASE_ATTEMPTS):
            held = self.leases.get(name)
            asked_micros = self.clock.now()
            if held is not None and asked_micros < held.order_until - ORDER_LIMIT_MICROS:
                return held
            command = Command()
            command.hold.worker, command.hold.holder = name, self.identity
            command.hold.term_micros = self.worker_lease_micros
            command.hold.renew_fence = held.fence if held is not None else 0
            given = await self.command_client.command(command)
            if isinstance(given, Err) or given.ok_value.status not in ("done", "held", "refused"):
                continue
            if given.ok_value.status != "done":
                self.leases.pop(name, None)
                return None
            fence = int(json.loads(given.ok_value.body)["fence"])
            present = self.leases.get(name)
            if present is not None and present.fence > fence:
                return None
            # Counted from before it was asked for (§7.2).
            self.leases[name] = _WorkerLease(fence, asked_micros + self.order_micros)
            return self.leases[name]
        return None

    # ---- telling ---------------------------------------------------------------------------------

    async def _announce_loading(self, name: str, line: str, wanted: int) -> None:
        """Twice, as datagrams get lost; then what was already on its way has time to arrive."""
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
