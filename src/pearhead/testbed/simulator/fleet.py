"""Simulates a whole deployment: control plane, nodes, workers, operators, platform and callers (§9.5)."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Ok

from pearhead.config.description import description_from_checked_data
from pearhead.config.startup import StartupConfig
from pearhead.consensus.wal import WalCorruptError
from pearhead.control_plane.core_process import CoreProcess
from pearhead.router.errors import ERROR_TABLE, NOT_RUN, Refusal
from pearhead.router.job import parse_job
from pearhead.router.node_process import NodeProcess
from pearhead.rpc.wire_pb2 import Command, CommandResult, PurgeNote, Worker
from pearhead.runtime.clock import MILLI, SECOND
from pearhead.testbed.deployment import Deployment, build_description, generate_job, tenant_key
from pearhead.testbed.simulator.ledger import JobTrace, Ledger, SentJob, WorkerCommand
from pearhead.testbed.simulator.simulated_clients import (
    BackEnd,
    BackEnds,
    SimCacheTransfer,
    SimUpstreamClient,
    SimWorkerClient,
)
from pearhead.testbed.simulator.world import SimNetwork, World, pause
from pearhead.testbed.workermodel import ApplicationModel, RunRecord, StoreModel, WorkerModel, WorkerSpeed

EXTERNAL_HOST = "outside"
NOT_ACCEPTING = "not open"
COMMAND_MICROS = 6 * SECOND
JOB_TIMEOUT_MICROS = 20 * SECOND
CONDITION_TIMEOUT_MICROS = 20 * SECOND


async def discard_call_result(call: Coroutine[Any, Any, JobTrace]) -> None:
    """Awaits a call, as a coroutine without a result that a task of the fleet can run."""
    await call


class _CallerStream:
    """The caller's end of a response stream; lines are copied through JSON as if they crossed a connection."""

    def __init__(self, world: World, trace: JobTrace) -> None:
        self.world = world
        self.trace = trace

    async def write(self, line: dict[str, Any]) -> None:
        self.trace.lines.append(json.loads(json.dumps(line)))


class SimFleet:
    """A deployment in one world, with methods for what operators, the platform and callers do to it.

    Faults go through its methods rather than the world's, so that the fault log sees them, and the recording those
    kinds that it contains.

    Attributes:
        entries_per_snapshot: Number of log entries after which a core writes a snapshot.
        ledger: What the run did, for the checkers.
        fault_log: The active and past faults.
        cores: Core processes by name, also of machines that are down.
        nodes: Node processes by name, also of machines that are down.
        back_ends: Workers, the store and the application by address.
        worker_speeds: Speed of each worker; it outlives restarts.
        startups: Start-up configuration of each core and node.
        detected_dead: Machines that the platform knows to be down or draining; it gives such nodes no connections.
        removed_workers: Workers that are gone for good.
        withdrawn_tenants: Tenants that marked_description() leaves out.
        excluded_faults: Numbers of the scheduled faults that are left out.
        actions: Time, kind and details of each fault and operator action that a recording contains.
        leaving_since: When the leaving or removal of each worker was acknowledged.
        open_jobs: Tasks of the calls that have not ended.
        description_revision: Latest acknowledged revision of the description.
        node_patch: Applied to each node process before it starts; mutations set it.
        core_patch: Applied to each core process before it starts; mutations set it.
    """

    def __init__(
        self,
        world: World,
        deployment: Deployment,
        node_count: int = 0,
        worker_count: int = 0,
        entries_per_snapshot: int = 400,
    ) -> None:
        self.world = world
        self.deployment = deployment
        self.entries_per_snapshot = entries_per_snapshot
        self.ledger = Ledger(deployment)
        self.fault_log = self.ledger.fault_log
        self.node_count = node_count or deployment.node_count
        self.worker_count = worker_count or deployment.worker_count
        self.cores: dict[str, CoreProcess] = {}
        self.nodes: dict[str, NodeProcess] = {}
        self.back_ends: BackEnds = {}
        self.worker_speeds: dict[str, WorkerSpeed] = {}
        self.startups: dict[str, StartupConfig] = {}
        self.detected_dead: set[str] = set()
        self.job_number = 0
        self.apply_number = 0
        self.background_tasks: list[asyncio.Task[None]] = []
        self.worker_number = self.worker_count
        self.removed_workers: set[str] = set()
        self.withdrawn_tenants: set[str] = set()
        self.excluded_faults: frozenset[int] = frozenset()
        self.burst_tasks: list[asyncio.Task[None]] = []
        self.actions: list[tuple[int, str, dict[str, Any]]] = []
        self.leaving_since: dict[str, int] = {}
        self.open_jobs: set[asyncio.Task[None]] = set()
        self.description_revision = 0
        self.node_patch: Callable[[NodeProcess], None] = lambda node: None
        self.core_patch: Callable[[CoreProcess], None] = lambda core: None
        core_names = [f"core-{n + 1}" for n in range(deployment.core_count)]
        self.core_addresses = [f"{name}:1" for name in core_names]
        for name in core_names:
            self.startups[name] = self._build_startup(name, founders=self.core_addresses)
        for number in range(self.node_count):
            name = f"node-{number + 1}"
            self.startups[name] = self._build_startup(name, founders=[])

    def area_of(self, name: str) -> str:
        """Returns the area of a machine: round-robin by its number, and the last area for machines without one."""
        _, _, number_text = name.partition("-")
        return self.deployment.areas[(int(number_text) - 1) % 3 if number_text else 2]

    def _build_startup(self, name: str, founders: list[str]) -> StartupConfig:
        return StartupConfig(
            address=f"{name}:1",
            httpAddress=f"{name}:2",
            area=self.area_of(name),
            seeds=self.core_addresses,
            founders=founders,
            dataFolder="disk",
            digestEvery=self.entries_per_snapshot,
            keptEntries=self.entries_per_snapshot // 4,
            toleratedLosses=(self.deployment.core_count - 1) // 2,
        )

    # ---- the platform ----------------------------------------------------------------------------

    def start_core(self, name: str) -> None:
        """Boots the machine of a core and starts its process; the process is killed if it reports a fatal error."""
        machine = self.world.machine(name)
        machine.boot()
        startup = self.startups[name]

        def fail(reason: str) -> None:
            self.world.trace_event(f"{name} must stop: {reason}")
            self.kill(name)

        core = CoreProcess(startup, machine, SimNetwork(machine, startup.address), machine.disk, machine.rng, fail)
        core.task_group = machine.task_group
        self._record_bumps(core)
        self._record_grants(core)
        self.core_patch(core)
        self.cores[name] = core

        async def start() -> None:
            try:
                await core.start()
            except WalCorruptError as fault:
                fail(str(fault))

        machine.task_group.start(start())
        self.world.trace_event(f"starts {name}")

    def start_node(self, name: str) -> None:
        """Boots the machine of a node and starts its process."""
        machine = self.world.machine(name)
        machine.boot()
        startup = self.startups[name]
        node = NodeProcess(
            startup,
            machine,
            SimNetwork(machine, startup.address),
            SimUpstreamClient(
                machine, self.back_ends, lambda upstream_id, worker: self._record_send(name, upstream_id, worker)
            ),
            SimWorkerClient(machine, self.back_ends, self._record_worker_command),
            machine.rng,
        )
        # A crash cancels the tasks in the machine's task group, so all parts must use that one.
        for part in (node, node.view_replica, node.revision_listener, node.lease_controller):
            part.task_group = machine.task_group
        self.node_patch(node)
        node.start()
        machine.task_group.start(node.wait_until_placeable())
        self.nodes[name] = node
        self.world.trace_event(f"starts {name}")

    def start_back_end(self, name: str) -> None:
        """Boots the machine of a worker, the store ("store") or the application ("desk") with an empty model."""
        machine = self.world.machine(name)
        machine.boot()
        address = f"{name}:2"

        def record_run(record: RunRecord) -> None:
            record.at_micros = machine.to_world_micros(record.at_micros)
            self.ledger.runs.append((name, record))

        model: WorkerModel | ApplicationModel | StoreModel
        if name == "store":
            model = StoreModel(machine.rng)
        elif name == "desk":
            model = ApplicationModel(machine, record_run)
        else:
            model = WorkerModel(machine, machine.rng, SimCacheTransfer(machine, self.back_ends, "store:2"), record_run)
            model.speed = self.worker_speeds.setdefault(name, self._random_worker_speed())
        self.back_ends[address] = BackEnd(machine, model)
        self.world.trace_event(f"starts {name}")

    def current_workers(self) -> list[str]:
        """Returns the names of all workers except those that are gone for good; some may be down."""
        names = [b.machine.name for a, b in sorted(self.back_ends.items()) if a.startswith("worker-")]
        return [n for n in names if n not in self.removed_workers]

    def _random_worker_speed(self) -> WorkerSpeed:
        """Draws the speed of a worker.

        The lines of a long answer take 120 to 260 ms each, and a multiple of that while the worker runs many jobs.
        """
        rng = self.world.rng
        return WorkerSpeed(
            rng.randrange(40, 120),
            rng.randrange(10, 25) * MILLI,
            rng.randrange(120, 260) * MILLI,
            rng.randrange(1_000, 2_500) * MILLI,
            rng.random() < 0.5,
        )

    def worker(self, name: str) -> WorkerModel:
        """Returns the model of a worker."""
        model = self.back_ends[f"{name}:2"].model
        assert isinstance(model, WorkerModel)
        return model

    def _record_action(self, kind: str, **more: Any) -> None:
        self.actions.append((self.world.now(), kind, more))

    def cut(self, first_names: list[str], second_names: list[str], both_ways: bool = True) -> list[tuple[str, str]]:
        """Blocks messages between two sets of machines; returns the newly blocked (sender, receiver) pairs."""
        before = set(self.world.cuts)
        self.world.cut(first_names, second_names, both_ways)
        pairs = sorted(self.world.cuts - before)
        for pair in pairs:
            self.fault_log.begin("cut", pair, self.world.now())
        self._record_action("cut", pairs=[list(pair) for pair in pairs])
        return pairs

    def restore_links(self, pairs: list[tuple[str, str]]) -> None:
        """Ends the cuts of these pairs only; others stay."""
        self._record_action("mend", pairs=[list(pair) for pair in pairs])
        self.world.trace_event(f"mends {len(pairs)} links")
        for pair in pairs:
            self.fault_log.end("cut", pair, self.world.now())
            self.world.cuts.discard(pair)

    async def replace_worker(self, name: str) -> None:
        """Adds a worker of a new name and address in place of one that is gone for good."""
        self.removed_workers.add(name)
        await self.add_worker()

    async def add_worker(self) -> str:
        """Starts a worker under the next free name, adds it to the platform's list and returns its name."""
        self.worker_number += 1
        new_name = f"worker-{self.worker_number}"
        self.start_back_end(new_name)
        self._update_machine_names()
        await self.set_workers()
        return new_name

    def is_loaded(self, worker_name: str) -> bool:
        """Whether all running nodes know the worker to have loaded a model."""
        return all(
            worker_name in n.view_replica.view.loads for name, n in self.nodes.items() if self._is_machine_alive(name)
        )

    def heal(self) -> None:
        """Ends all cuts."""
        self._record_action("heal")
        for pair in sorted(self.world.cuts):
            self.fault_log.end("cut", pair, self.world.now())
        self.world.heal()

    def start(self, name: str) -> None:
        """Starts a machine of any role and ends its "dead" and "frozen" faults."""
        self._record_action("start", name=name)
        self.detected_dead.discard(name)
        self.fault_log.end("dead", (name,), self.world.now())
        self.fault_log.end("frozen", (name,), self.world.now())
        if name.startswith("core-"):
            self.start_core(name)
            self._update_machine_names()
        elif name.startswith("node-"):
            self.start_node(name)
            self._update_machine_names()
        else:
            self.start_back_end(name)

    def kill(self, name: str, loses_power: bool = False) -> None:
        """Kills the process of a machine, or cuts the machine's power, which may lose unsynced writes."""
        self._record_action("power" if loses_power else "kill", name=name)
        self.world.trace_event(f"{'cuts the power of' if loses_power else 'kills'} {name}")
        if self._is_machine_alive(name):
            self.fault_log.begin("dead", (name,), self.world.now())
        self.world.machine(name).crash(loses_power)
        process = self.cores.get(name) or self.nodes.get(name)
        if process is not None and hasattr(process, "rpc_endpoint"):
            process.rpc_endpoint.stop()
        # The platform detects a dead node after one second and then gives it no connections.
        self.world.loop.call_later(
            1.0, lambda: self.detected_dead.add(name) if not self._is_machine_alive(name) else None
        )

    async def stop_planned(self, name: str) -> None:
        """Stops a machine as the platform does for planned work: no new connections or jobs, drain, then stop."""
        self.world.trace_event(f"stops {name} as planned")
        self.ledger.planned_operation_count += 1
        machine = self.world.machine(name)
        process = self.cores.get(name) or self.nodes.get(name)
        if process is not None:
            self.detected_dead.add(name)
            await self.world.run_on_machine(machine, EXTERNAL_HOST, process.drain, 40 * SECOND)
        elif name.startswith("worker-"):
            await self.mark_leaving(name)
            await pause(self.world, 3 * SECOND)
            await self.wait_until(lambda: not self.worker(name).running_count, f"{name} is empty")
        self.kill(name)

    def freeze(self, name: str) -> None:
        """Freezes a machine until wake()."""
        self._record_action("freeze", name=name)
        self.world.trace_event(f"freezes {name}")
        if not self.world.machine(name).is_frozen:
            self.fault_log.begin("frozen", (name,), self.world.now())
        self.world.machine(name).freeze()

    def wake(self, name: str) -> None:
        """Ends the freeze of a machine."""
        self._record_action("wake", name=name)
        self.world.trace_event(f"wakes {name}")
        self.fault_log.end("frozen", (name,), self.world.now())
        self.world.machine(name).wake()

    def set_disk(self, name: str, kind: str, is_fault_active: bool) -> None:
        """Begins or ends a disk fault; `kind` is "stalled" or "full"."""
        self.world.trace_event(f"the disk of {name} is {kind if is_fault_active else 'well again'}")
        disk = self.world.machine(name).disk
        if kind == "stalled":
            disk.is_stalled = is_fault_active
        else:
            disk.is_full = is_fault_active
        if is_fault_active:
            self.fault_log.begin("disk", (name,), self.world.now())
        else:
            self.fault_log.end("disk", (name,), self.world.now())

    def set_datagram_loss(self, loss: float, duplication: float = 0.0) -> None:
        """Sets the shares of datagrams that are lost and duplicated."""
        self.world.datagram_loss, self.world.datagram_duplication = loss, duplication
        self.fault_log.record_disturbance(self.world.now())

    def destroy_core(self, name: str) -> None:
        """Cuts the power of a core for good and empties its disk."""
        self.kill(name, loses_power=True)
        self.world.machine(name).disk.empty()
        self.remove_core(name)

    def remove_core(self, name: str) -> None:
        """Removes a core from the fleet's lists, so that no operator contacts it any more."""
        self.cores.pop(name)
        self._update_machine_names()

    def add_node(self, name: str) -> None:
        """Starts a new node whose seeds are the cores running now."""
        live_addresses = [self.startups[n].address for n in self.live_cores()]
        self.startups[name] = dataclasses.replace(self._build_startup(name, founders=[]), seeds=live_addresses)
        self.start(name)

    def add_core(self, name: str, like: str = "") -> None:
        """Starts a new core with an empty disk, whose seeds are the running cores, or the original ones if none runs.

        It is in the area of the machine `like`, if given, otherwise in the one that follows from its name.
        """
        live_addresses = [self.startups[n].address for n in self.live_cores()]
        self.startups[name] = StartupConfig(
            address=f"{name}:1",
            httpAddress=f"{name}:2",
            area=self.area_of(like or name),
            dataFolder="disk",
            seeds=live_addresses or self.core_addresses,
            founders=self.core_addresses,
            digestEvery=self.entries_per_snapshot,
            keptEntries=self.entries_per_snapshot // 4,
            toleratedLosses=(self.deployment.core_count - 1) // 2,
        )
        self.start(name)

    def _is_machine_alive(self, name: str) -> bool:
        return self.world.machine(name).is_alive

    def live_cores(self) -> list[str]:
        """Returns the names of the cores whose machines are up; they may be frozen."""
        return [n for n in sorted(self.cores) if self._is_machine_alive(n)]

    def leader(self) -> str:
        """Returns the core that leads in the highest term, or an empty string."""
        leaders = [
            (self.cores[n].raft.term, n)
            for n in self.live_cores()
            if hasattr(self.cores[n], "raft") and self.cores[n].raft.is_leader()
        ]
        return max(leaders)[1] if leaders else ""

    # ---- start -----------------------------------------------------------------------------------

    async def start_all(self) -> None:
        """Starts everything, applies the description and waits until all nodes know all workers to be loaded."""
        names = [*self.startups, "store", "desk", *(f"worker-{n + 1}" for n in range(self.worker_count))]
        for name in names:
            self.start(name)
        await self.set_workers()
        await self.apply(build_description(self.deployment))
        await self.wait_until(self._is_ready, "the fleet is up")
        self._update_machine_names()
        self.fault_log.intervals.clear()
        self.fault_log.event_micros.clear()
        self.world.trace_event("is up")

    def _update_machine_names(self) -> None:
        self.ledger.core_names, self.ledger.node_names = set(self.cores), set(self.nodes)
        self.ledger.worker_names = set(self.current_workers())
        self.fault_log.machine_names = set(self.world.machines)

    def _is_ready(self) -> bool:
        for name, node in self.nodes.items():
            view = node.view_replica.view
            if not self._is_machine_alive(name):
                continue
            if not node.view_replica.is_current() or len(view.loads) < self.worker_count:
                return False
            if {f.weights_revision for f in view.loads.values()} != {w.revision for w in view.weights.values()}:
                return False
        return True

    async def wait_until(
        self, is_reached: Callable[[], bool], what: str, limit_micros: int = CONDITION_TIMEOUT_MICROS
    ) -> None:
        """Polls until a condition holds; records a breach that names it if that takes too long."""
        end_micros = self.world.now() + limit_micros
        while not is_reached():
            if self.world.now() > end_micros:
                self.ledger.breaches.append(f"not in time: {what}")
                return
            await pause(self.world, 50 * MILLI)

    # ---- operators -------------------------------------------------------------------------------

    async def command(self, command: Command, core_name: str = "") -> CommandResult | None:
        """Sends an operator's command once, to the named core or a random one; None if no answer came."""
        core_name = core_name or self.world.rng.choice(sorted(self.cores))
        machine = self.world.machine(core_name)

        async def work() -> CommandResult:
            # Looked up on arrival: the core may have been restarted in the meantime.
            return await self.cores[core_name].execute(command)

        answer = await self.world.run_on_machine(machine, EXTERNAL_HOST, work, COMMAND_MICROS)
        return None if isinstance(answer, Err) else answer.ok_value

    async def retry_until_decided(self, command: Command) -> CommandResult:
        """Sends a command to random cores, with the same transaction id, until its outcome is known."""
        while True:
            result = await self.command(command)
            if result is not None and result.status not in ("unavailable", "unknown"):
                return result
            await pause(self.world, 200 * MILLI)

    def start_burst(self, tenant: str, jobs_per_second: float, kind: str) -> None:
        """Starts a background load of one tenant, in addition to the usual one, until end_bursts()."""

        async def burst() -> None:
            while True:
                await pause(self.world, round(self.world.rng.expovariate(jobs_per_second) * SECOND))
                self.job_number += 1
                job: dict[str, Any] = {
                    "model": self.deployment.line,
                    "kind": kind,
                    "body": f"{kind} {self.job_number}",
                    "jobId": f"burst-{self.job_number}",
                }
                if kind == self.deployment.long_kind:
                    job.update(body=f"long {self.job_number}", prefix=[{"part": 900, "tokens": 2_000}])
                node_name = self.world.rng.choice(sorted(self.nodes))
                call_task = self.world.loop.create_task(discard_call_result(self.call(node_name, tenant, job)))
                self.open_jobs.add(call_task)
                call_task.add_done_callback(self.open_jobs.discard)

        if not self.burst_tasks:
            self.fault_log.begin("burst", ("callers",), self.world.now())
        self.burst_tasks.append(self.world.loop.create_task(burst()))

    def end_bursts(self) -> None:
        """Ends all bursts; jobs already sent go on."""
        for burst_task in self.burst_tasks:
            burst_task.cancel()
        self.burst_tasks.clear()
        self.fault_log.end("burst", ("callers",), self.world.now())

    def new_transaction_id(self) -> bytes:
        """Returns a random transaction id, by which the cores recognize a repeated command."""
        return self.world.rng.randbytes(8)

    async def set_workers(self, removed: tuple[str, ...] = ()) -> None:
        """Sends the platform's complete list of workers, without `removed`. Operators' marks are not part of it."""
        command = Command(transaction=self.new_transaction_id())
        for address, back_end in sorted(self.back_ends.items()):
            name = back_end.machine.name
            if name in removed or name in self.removed_workers:
                continue
            service = {"store": "kept-parts", "desk": "desk"}.get(name, "models")
            command.workers.worker.append(Worker(name=name, address=address, area=self.area_of(name), service=service))
        await self.retry_until_decided(command)
        for name in removed:
            self.leaving_since.setdefault(name, self.world.now())
        self.world.trace_event(f"the worker list is acknowledged, removed {removed}")

    async def mark_leaving(self, *names: str) -> None:
        """Marks workers as leaving, so that they get no new jobs."""
        command = Command(transaction=self.new_transaction_id())
        command.workers.partial = True
        command.workers.leaving.extend(names)
        result = await self.retry_until_decided(command)
        for name in names:
            self.leaving_since.setdefault(name, self.world.now())
        self.world.trace_event(f"leaving {names}: {result.status}")

    async def clear_leaving(self, *names: str) -> None:
        """Clears the marks that mark_leaving() set."""
        start_micros = self.world.now()
        command = Command(transaction=self.new_transaction_id())
        command.workers.partial = True
        command.workers.staying.extend(names)
        result = await self.retry_until_decided(command)
        for name in names:
            self.ledger.leaving_intervals.append((name, self.leaving_since.pop(name), start_micros))
        self.world.trace_event(f"staying {names}: {result.status}")

    async def apply(self, description: dict[str, Any], base: int | None = None) -> str:
        """Applies a description on a base revision, by default the latest acknowledged; returns the final status."""
        command = Command(transaction=self.new_transaction_id())
        command.apply.base_revision = self.description_revision if base is None else base
        command.apply.description = json.dumps(description).encode()
        start_micros = self.world.now()
        result = await self.retry_until_decided(command)
        if result.status == "done":
            revision = json.loads(result.body)["revision"]
            self.description_revision = max(self.description_revision, revision)
            self.ledger.descriptions[revision] = description_from_checked_data(description)
            self.ledger.acknowledged_applies.append((revision, self.world.now()))
            self.ledger.apply_spans.append((start_micros, self.world.now(), revision))
        else:
            marks = {t["name"] for t in description["tenants"]} - set(self.deployment.tenant_names)
            if marks:
                self.ledger.rejected_mark_sets.append(frozenset(marks))
        self.world.trace_event(f"apply: {result.status}")
        return result.status

    def start_state_reads(self) -> None:
        """Starts background reads of the state, at random cores."""
        self.background_tasks.append(self.world.loop.create_task(self._read_periodically()))

    async def _read_periodically(self) -> None:
        while True:
            await pause(self.world, self.world.rng.randrange(50 * MILLI, 400 * MILLI))
            core = self.cores[self.world.rng.choice(sorted(self.cores))]
            if not hasattr(core, "raft"):
                continue
            start_micros = self.world.now()
            machine = self.world.machine(core.startup.address.split(":")[0])
            answer = await self.world.run_on_machine(machine, EXTERNAL_HOST, core.read_fleet, SECOND)
            if not isinstance(answer, Err) and answer.ok_value is not None:
                self.ledger.reads.append((start_micros, self.world.now(), answer.ok_value["descriptionRevision"]))

    def marked_description(self, mark: str) -> dict[str, Any]:
        """Returns the deployment's description plus an unused tenant that identifies it, without withdrawn tenants."""
        description = build_description(self.deployment)
        description["tenants"] = [t for t in description["tenants"] if t["name"] not in self.withdrawn_tenants]
        description["tenants"].append({"name": f"mark-{mark}", "keyHashes": []})
        return description

    async def name_weights(self, name: str, base: int = 0) -> str:
        """Names new weights for the model line, optionally on a base revision; returns the final status."""
        command = Command(transaction=self.new_transaction_id())
        command.weights.line, command.weights.weights = self.deployment.line, name
        command.weights.base_revision = base
        self._record_action("weights", weights=name)
        result = await self.retry_until_decided(command)
        if result.status == "done":
            self.ledger.weights_changes.append((json.loads(result.body)["revision"], self.world.now(), name))
        self.world.trace_event(f"weights {name}: {result.status}")
        return result.status

    async def weights_revision(self) -> int:
        """Returns the revision of the model line's weights, as the first core that can confirm it reports it."""
        while True:
            for core in self.cores.values():
                state = await core.read_fleet() if hasattr(core, "raft") else None
                if state is not None:
                    return int(state["weights"][self.deployment.line]["revision"])
            await pause(self.world, 100 * MILLI)

    # ---- callers ---------------------------------------------------------------------------------

    def start_load(self, jobs_per_second: float) -> None:
        """Starts random jobs of all tenants, with exponentially distributed intervals, until end_load()."""
        self.ledger.has_load = True
        self.background_tasks.append(self.world.loop.create_task(self._generate_load(jobs_per_second)))

    async def end_load(self) -> None:
        """Ends all load and background reads, waits for open jobs, and copies the final state to the ledger."""
        for load_task in self.background_tasks + self.burst_tasks:
            load_task.cancel()
        end_micros = self.world.now() + JOB_TIMEOUT_MICROS + SECOND
        while self.open_jobs and self.world.now() < end_micros:
            await pause(self.world, 100 * MILLI)
        self.ledger.end_micros = self.world.now()
        for name, since_micros in self.leaving_since.items():
            self.ledger.leaving_intervals.append((name, since_micros, self.world.now()))
        await self.wait_until(lambda: bool(self.leader()), "a leader at the end")
        if self.leader():
            last_fleet = self.cores[self.leader()].fleet
            self.ledger.last_revisions = {item["revision"] for item in last_fleet.history}
            self.ledger.last_weights = last_fleet.weights.get(self.deployment.line, {}).get("revision", 0)
            self.ledger.last_parts = last_fleet.parts
        for node in self.nodes.values():
            self.ledger.retry_count += node.retry_budget.retry_count
            self.ledger.budgeted_job_count += node.retry_budget.job_count

    async def _generate_load(self, jobs_per_second: float) -> None:
        while True:
            await pause(self.world, round(self.world.rng.expovariate(jobs_per_second) * SECOND))
            call_task = self.world.loop.create_task(self._send_random_job())
            self.open_jobs.add(call_task)
            call_task.add_done_callback(self.open_jobs.discard)

    async def _send_random_job(self) -> None:
        self.job_number += 1
        tenant, job = generate_job(self.deployment, self.world.rng, self.job_number)
        open_nodes = [n for n in sorted(self.nodes) if n not in self.detected_dead and self._accepts_connections(n)]
        if not open_nodes:
            # No node accepts connections, so the job counts as refused.
            self.ledger.jobs[job["jobId"]] = JobTrace(
                job, tenant, "", self.world.now(), outcome="unreached", is_refused=True, end_micros=self.world.now()
            )
            return
        await self.call(self.world.rng.choice(open_nodes), tenant, job)

    def _accepts_connections(self, node_name: str) -> bool:
        """Whether the platform gives connections to a node: one that is starting gets them only once it is open.

        A dead node counts as accepting, as its death is known only through `detected_dead`.
        """
        return self.nodes[node_name].is_open or not self._is_machine_alive(node_name)

    async def call(self, node_name: str, tenant: str, job: dict[str, Any]) -> JobTrace:
        """Sends a job to a node as a caller and returns its trace, which is in the ledger from the start."""
        trace = self.ledger.jobs[job["jobId"]] = JobTrace(job, tenant, node_name, self.world.now())
        machine = self.world.machine(node_name)
        caller_stream = _CallerStream(self.world, trace)

        async def work() -> Any:
            # Looked up on arrival, as the node may have restarted; one that is not open yet accepts no connections.
            node = self.nodes[node_name]
            if not node.is_open:
                return NOT_ACCEPTING
            request = parse_job(json.dumps(job).encode()).unwrap()
            return await node.run_job(tenant_key(self.deployment, tenant), request, caller_stream)

        answer: Any = await self.world.run_on_machine(machine, EXTERNAL_HOST, work, JOB_TIMEOUT_MICROS)
        if answer == Ok(NOT_ACCEPTING):
            answer = Err("refused")
        trace.end_micros = self.world.now()
        if isinstance(answer, Err):
            # Without an answer the caller can't tell whether the job ran, unless the connection was refused.
            trace.outcome = "unreached" if answer.err_value == "refused" else "no answer"
            trace.is_refused = answer.err_value == "refused"
        elif isinstance(answer.ok_value, Err):
            refusal: Refusal = answer.ok_value.err_value
            trace.outcome = refusal.kind.value
            trace.is_refused = ERROR_TABLE[refusal.kind].ran == NOT_RUN
            trace.retry_after_seconds = refusal.retry_after_seconds()
            if trace.is_refused and trace.lines:
                self.ledger.breaches.append(f"{job['jobId']} was refused after a line")
        else:
            trace.outcome = "done"
        return trace

    # ---- observation -----------------------------------------------------------------------------

    def _record_send(self, node_name: str, upstream_id: str, worker: str) -> None:
        """Records that the first byte of a job leaves its node, with the view that the node has then."""
        view = self.nodes[node_name].view_replica.view
        self.ledger.sent_jobs[upstream_id] = SentJob(
            node_name,
            self.world.machine(node_name).boot_count,
            self.world.now(),
            upstream_id.split(".")[0],
            worker,
            view.description_revision,
            frozenset(t.name for t in view.description.tenants if t.name.startswith("mark-")),
        )

    def _record_worker_command(self, node_name: str, worker_name: str, fence: int, sent_micros: int) -> None:
        self.ledger.commands.append(WorkerCommand(node_name, worker_name, fence, sent_micros, self.world.now()))

    def _record_grants(self, core: CoreProcess) -> None:
        """Records when any core first applies the grant of a worker lease; it was committed then or before."""
        real_apply = core.apply

        def apply(index: int, command_bytes: bytes) -> dict[str, Any]:
            outcome = real_apply(index, command_bytes)
            command = Command.FromString(command_bytes)
            if command.HasField("hold") and outcome["status"] == "done":
                grant = (command.hold.holder, self.world.now())
                self.ledger.grants.setdefault((command.hold.worker, outcome["fence"]), grant)
            return outcome

        core.apply = apply  # type: ignore[method-assign]

    def _record_bumps(self, core: CoreProcess) -> None:
        """Records each successful bump of a part's revision, with the number that it was given."""
        real_bump = core.bump

        async def bump(note: PurgeNote) -> tuple[int, int] | None:
            bump_result = await real_bump(note)
            if bump_result is not None:
                self.ledger.bumps.append(
                    (f"{note.owner}/{note.line}", note.part, note.revision_request.transaction.hex(), bump_result[0])
                )
            return bump_result

        core.bump = bump  # type: ignore[method-assign]
