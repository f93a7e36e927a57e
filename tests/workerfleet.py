"""A simulated fleet for tests, on virtual time: front nodes, a core's state, and a platform with its workers."""

from __future__ import annotations

import dataclasses
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from result import Err, Ok, Result

from pearhead.config.view import View
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.fleet_state import FleetState
from pearhead.discovery.directory import Directory
from pearhead.router.prefix_cache_poller import PrefixCachePoller
from pearhead.router.roster_publisher import RosterPublisher
from pearhead.router.roster_synchronizer import RosterSynchronizer
from pearhead.router.weights_rollout import WeightsRollout
from pearhead.router.worker_control import (
    Backend,
    LoadOrder,
    OrderOutcome,
    PrefixCacheEvent,
    PrefixCacheEventBatch,
    WorkerReport,
)
from pearhead.router.worker_version_table import WorkerVersionTable
from pearhead.rpc.rpc_endpoint import RpcEndpoint
from pearhead.rpc.wire_pb2 import (
    ApplyDescription,
    Command,
    CommandResult,
    KeptNote,
    NameWeights,
    Record,
    SetWorkers,
    Worker,
)
from pearhead.runtime.clock import MILLI, SECOND, sleep_for
from pearhead.runtime.invariants import InvariantCounters
from pearhead.testbed.simulator.world import Machine, SimNetwork, World, discard_result

CORE = "core:1"
LINE = "line"
SERVICE = "models"
HOLD_MICROS = 5 * SECOND
ORDER_MICROS = 1_700 * MILLI
MIN_HOLDER_GAP_MICROS = 3 * SECOND
DESCRIPTION = {
    "lines": [{"name": LINE, "weights": "1"}],
    "services": [
        {"name": SERVICE, "role": "model", "lines": [LINE]},
        {"name": "desk", "role": "application"},
        {"name": "shelf", "role": "store", "store_address": "store:1"},
    ],
}


@dataclass
class FakeWorker:
    """State of one simulated worker, as the platform and the worker itself know it."""

    backend: Backend
    version: int = 1
    run_micros: int = 0
    loading_until: int = 0
    loading_version: int = 0
    fence: int = 0
    order_count: int = 0
    is_up: bool = True
    lost_reply_count: int = 0
    is_always_busy: bool = False
    life: str = "1"
    first_sequence: int = 1
    events: list[PrefixCacheEvent] = field(default_factory=list)


@dataclass(frozen=True)
class RecordedOrder:
    at_micros: int
    worker: str
    holder: str
    fence: int
    version: int


class FakePlatform:
    """The workers and their list; records every call that the platform receives."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.workers: dict[str, FakeWorker] = {}
        self.listed: dict[str, Backend] = {}
        self.is_list_up = True
        self.cut_off_listers: set[str] = set()
        self.list_calls: list[tuple[int, str]] = []
        self.event_calls: list[tuple[int, str, str, int]] = []
        self.report_calls: list[tuple[int, str]] = []
        self.orders: list[RecordedOrder] = []
        self.max_loading_count = 0

    def add(self, name: str, version: int = 1, service: str = SERVICE) -> FakeWorker:
        backend = Backend(name, f"{name}:80", "z", service, 4, versions={LINE: version})
        self.workers[name] = FakeWorker(backend, version)
        self.listed[name] = backend
        return self.workers[name]

    def worker_at(self, address: str) -> FakeWorker | None:
        found = [w for w in self.workers.values() if w.backend.address == address and w.is_up]
        return found[0] if found else None

    def finish_due_load(self, worker: FakeWorker) -> None:
        if worker.loading_version and self.world.now() >= worker.loading_until:
            worker.version, worker.loading_version = worker.loading_version, 0

    def loading(self) -> list[str]:
        for worker in self.workers.values():
            self.finish_due_load(worker)
        return [n for n, w in self.workers.items() if w.loading_version]

    def current_list(self) -> list[Backend]:
        for name, worker in self.workers.items():
            self.finish_due_load(worker)
            if name in self.listed:
                self.listed[name] = dataclasses.replace(self.listed[name], versions={LINE: worker.version})
        return list(self.listed.values())

    def order(self, worker: FakeWorker, order: LoadOrder) -> OrderOutcome:
        self.finish_due_load(worker)
        self.orders.append(RecordedOrder(self.world.now(), order.worker, order.holder, order.fence, order.version))
        if order.worker != worker.backend.name:
            return OrderOutcome.OTHER_WORKER
        if order.fence < worker.fence:
            return OrderOutcome.OLDER_FENCE
        if worker.is_always_busy:
            return OrderOutcome.BUSY
        worker.fence = order.fence
        if worker.version == order.version:
            return OrderOutcome.HOLDS_ALREADY
        if worker.loading_version:
            return OrderOutcome.BUSY
        worker.order_count += 1
        worker.loading_version = order.version
        worker.loading_until = self.world.now() + worker.run_micros + 400 * MILLI
        self.max_loading_count = max(self.max_loading_count, len(self.loading()))
        return OrderOutcome.TAKEN


class FakeWorkerControl:
    """`WorkerControl` of one node; it waits on the clock of the node's machine, so it stops while that is frozen."""

    def __init__(self, platform: FakePlatform, machine: Machine) -> None:
        self.platform = platform
        self.machine = machine
        self.before_order: Callable[[], None] = lambda: None

    async def list_workers(self, limit_micros: int) -> Result[list[Backend], str]:
        self.platform.list_calls.append((self.platform.world.now(), self.machine.name))
        await sleep_for(self.machine, 2 * MILLI)
        if not self.platform.is_list_up or self.machine.name in self.platform.cut_off_listers:
            await sleep_for(self.machine, limit_micros)
            return Err("no answer")
        listed = self.platform.current_list()
        await sleep_for(self.machine, 2 * MILLI)
        return Ok(listed)

    async def cache_events(
        self, address: str, since: int, wait_micros: int, limit_micros: int
    ) -> Result[PrefixCacheEventBatch, str]:
        self.platform.event_calls.append((self.platform.world.now(), self.machine.name, address, since))
        await sleep_for(self.machine, MILLI)
        worker = self.platform.worker_at(address)
        if worker is None:
            return Err("refused")
        end_micros = self.machine.now() + wait_micros
        while True:
            last_sequence = worker.first_sequence + len(worker.events) - 1
            if last_sequence > since or self.machine.now() >= end_micros:
                break
            await sleep_for(self.machine, 10 * MILLI)
        new_events = worker.events[max(0, since + 1 - worker.first_sequence) :]
        return Ok(
            PrefixCacheEventBatch(
                worker.life,
                max(last_sequence, since if since <= last_sequence else 0),
                since + 1 < worker.first_sequence,
                tuple(new_events),
            )
        )

    async def cache_contents(self, address: str, limit_micros: int) -> Result[PrefixCacheEventBatch, str]:
        raise AssertionError("a full cache list blocks the worker and must not be requested")

    async def report(self, address: str, limit_micros: int) -> Result[WorkerReport, str]:
        self.platform.report_calls.append((self.platform.world.now(), address))
        await sleep_for(self.machine, 2 * MILLI)
        worker = self.platform.worker_at(address)
        if worker is None:
            return Err("refused")
        self.platform.finish_due_load(worker)
        return Ok(
            WorkerReport(
                {LINE: worker.version},
                bool(worker.loading_version),
                worker.order_count,
                0,
                0,
                0,
                1,
            )
        )

    async def send_load_order(
        self, address: str, order: LoadOrder, may_begin: Callable[[], bool], limit_micros: int
    ) -> Result[OrderOutcome, str]:
        await sleep_for(self.machine, MILLI)
        self.before_order()
        await sleep_for(self.machine, 0)
        worker = self.platform.worker_at(address)
        if worker is None:
            return Err("refused")
        if not may_begin():
            return Ok(OrderOutcome.WITHDRAWN)
        outcome = self.platform.order(worker, order)
        if worker.lost_reply_count:
            worker.lost_reply_count -= 1
            await sleep_for(self.machine, limit_micros)
            return Err("no answer")
        await sleep_for(self.machine, MILLI)
        return Ok(outcome)

    async def probe(self, address: str, path: str, limit_micros: int) -> Result[str, str]:
        raise AssertionError("probes are not expected")


class FakeCore:
    """A core that never fails; its state and its rule on expired holds are the production code."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.fleet = FleetState()
        self.index = 0
        self.lease_last_seen: dict[str, tuple[int, int]] = {}
        self.leader_since_micros = 0
        self.startup = SimpleNamespace(holdMicros=HOLD_MICROS)
        self.clock = world
        self.commands: list[tuple[int, str]] = []
        self.view = View()
        self.run(apply=ApplyDescription(base_revision=0, description=json.dumps(DESCRIPTION).encode()))

    def run(self, **body: Any) -> dict[str, Any]:
        return self.execute(Command(**body))

    def execute(self, command: Command) -> dict[str, Any]:
        name = command.WhichOneof("body") or ""
        self.commands.append((self.world.now(), name))
        if name == "hold":
            CoreProcess._check_lease_expiry(cast(CoreProcess, self), command)
        self.index += 1
        outcome = self.fleet.apply(self.index, command.SerializeToString())
        if name == "hold" and outcome["status"] == "done":
            self.lease_last_seen[command.hold.worker] = (outcome["fence"], self.world.now())
        delta = self.fleet.delta_since(self.view.index, self.view.hash)
        if delta is not None:
            self.view = View().with_delta(self.fleet.delta_since(0, "") or delta) or self.view
        return outcome

    def name_weights(self, version: int) -> None:
        self.run(weights=NameWeights(line=LINE, weights=str(version)))

    def set_workers(self, platform: FakePlatform) -> None:
        self.run(
            workers=SetWorkers(
                worker=[
                    Worker(name=w.backend.name, address=w.backend.address, area="z", service=w.backend.service)
                    for w in platform.workers.values()
                ]
            )
        )


class NodeCoreClient:
    """`ViewSource` and `CommandClient` of one node.

    It always has the core's newest view, and commands take 2 ms each way, unless the node is cut off. With
    `loses_commands` it still receives views, but its commands get no answer.
    """

    def __init__(self, core: FakeCore, machine: Machine) -> None:
        self.core = core
        self.machine = machine
        self.last_view = core.view
        self.is_cut_off = False
        self.loses_commands = False
        self.current_at = machine.now()

    @property
    def view(self) -> View:
        if not self.is_cut_off and not self.machine.is_frozen:
            self.last_view, self.current_at = self.core.view, self.machine.now()
        return self.last_view

    def is_current(self) -> bool:
        discard_result(self.view)
        return self.machine.now() - self.current_at <= 2 * SECOND

    def core_addresses(self) -> list[str]:
        return [CORE]

    async def command(self, command: Command) -> Result[CommandResult, str]:
        await sleep_for(self.machine, 2 * MILLI)
        if self.is_cut_off or self.loses_commands:
            await sleep_for(self.machine, 700 * MILLI)
            return Err("no answer")
        outcome = self.core.execute(command)
        await sleep_for(self.machine, 2 * MILLI)
        return Ok(CommandResult(status=outcome["status"], body=json.dumps(outcome).encode()))


class RecordingSink:
    """A `PrefixCacheSink` that keeps all notes."""

    def __init__(self) -> None:
        self.notes: list[KeptNote] = []

    def apply_note(self, note: KeptNote) -> None:
        self.notes.append(note)

    def kept(self, worker: str) -> dict[tuple[str, str], int]:
        """The cached tokens by salt and part that follow from the notes on a worker."""
        parts: dict[tuple[str, str], int] = {}
        for note in self.notes:
            if note.worker != worker:
                continue
            if note.whole:
                parts.clear()
            parts.update({(p.salt, p.part): p.tokens for p in note.part})
        return {key: tokens for key, tokens in parts.items() if tokens}

    def holds(self, worker: str, salt: str, part: str) -> bool:
        return False


class FleetNode:
    """A front node with those parts that deal with workers; `start` runs parts by their attribute names."""

    def __init__(self, fleet: WorkerFleet, name: str) -> None:
        self.name = name
        self.machine = fleet.world.machine(name)
        self.machine.boot()
        machine, address = self.machine, f"{name}:1"
        rng = random.Random(f"{fleet.world.seed} {name} {machine.boot_count}")
        self.identity = rng.randbytes(12).hex()
        self.rpc_endpoint = RpcEndpoint(self.identity, address, SimNetwork(machine, address), machine)
        record = Record(identity=self.identity, address=address, role="router")
        self.directory = Directory(record, [CORE], self.rpc_endpoint, machine, rng)
        self.core_client = NodeCoreClient(fleet.core, machine)
        self.control = FakeWorkerControl(fleet.platform, machine)
        self.version_table = WorkerVersionTable(machine)
        self.roster_synchronizer = RosterSynchronizer(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            machine,
            rng,
            machine.task_group,
            self.control,
            SECOND,
            InvariantCounters(machine, strict=True),
        )
        self.roster_synchronizer.roster_observers.append(self.version_table.apply_roster)
        self.publisher = RosterPublisher(self.roster_synchronizer, self.core_client, self.core_client, machine)
        self.sink = RecordingSink()
        self.poller = PrefixCachePoller(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            machine,
            machine.task_group,
            self.control,
            self.roster_synchronizer,
            self.core_client,
            self.sink,
        )
        self.rollout = WeightsRollout(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            machine,
            machine.task_group,
            self.control,
            self.roster_synchronizer,
            self.core_client,
            self.core_client,
            self.version_table,
            HOLD_MICROS,
            ORDER_MICROS,
        )
        machine.task_group.start(self.directory.run())

    def start(self, *parts: str) -> None:
        for part in parts:
            self.machine.task_group.start(getattr(self, part).run())

    def available_names(self) -> set[str]:
        """Names of the workers on which requests may be placed."""
        return {n for n, b in self.roster_synchronizer.roster.backends.items() if not b.is_leaving}


class WorkerFleet:
    """All nodes, with one core and one platform. The core's directory is a machine that only passes records on."""

    def __init__(self, world: World, node_count: int, worker_count: int = 0) -> None:
        self.world = world
        self.platform = FakePlatform(world)
        self.core = FakeCore(world)
        for number in range(worker_count):
            self.platform.add(f"w{number}")
        machine = world.machine("core")
        machine.boot()
        rpc_endpoint = RpcEndpoint("core", CORE, SimNetwork(machine, CORE), machine)
        seed = Directory(
            Record(identity="core", address=CORE, role="control_plane"), [], rpc_endpoint, machine, random.Random(1)
        )
        machine.task_group.start(seed.run())
        self.nodes = [FleetNode(self, f"n{number}") for number in range(node_count)]

    def node_of(self, machine_name: str) -> FleetNode:
        return next(node for node in self.nodes if node.name == machine_name)

    def start(self, *parts: str) -> None:
        for node in self.nodes:
            node.start(*parts)

    def faults(self) -> list[BaseException]:
        return [fault for node in self.nodes for fault in node.machine.task_group.exceptions]


def asker_of(fleet: WorkerFleet) -> FleetNode:
    """The node that polled the platform's list last."""
    return fleet.node_of(fleet.platform.list_calls[-1][1])


def sent_bytes(nodes: list[FleetNode], body_name: str) -> int:
    return sum(node.rpc_endpoint.sent_bytes.get(body_name, 0) for node in nodes)


def busiest_second(times: list[int]) -> int:
    """The largest number of these times that lie within one second."""
    return max((sum(start <= t < start + SECOND for t in times) for start in times), default=0)


def find_order_violations(orders: list[RecordedOrder]) -> list[str]:
    """Describes each violation of the rules on the orders of a worker.

    Forbidden are a fence used by two holders, a lower fence after a higher one, and orders of two holders less than
    `MIN_HOLDER_GAP_MICROS` apart.
    """
    violations = []
    for worker in {order.worker for order in orders}:
        worker_orders = [order for order in orders if order.worker == worker]
        for before, after in zip(worker_orders, worker_orders[1:], strict=False):
            if after.fence < before.fence:
                violations.append(f"{worker}: fence {after.fence} after {before.fence}")
            if after.holder != before.holder:
                if after.fence == before.fence:
                    violations.append(f"{worker}: fence {after.fence} of two holders")
                if after.at_micros - before.at_micros < MIN_HOLDER_GAP_MICROS:
                    violations.append(f"{worker}: two holders within {after.at_micros - before.at_micros}")
    return violations
