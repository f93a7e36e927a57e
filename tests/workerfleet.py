"""A fleet of front nodes, a core's state and a platform's workers, on virtual time."""

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
TURN_MICROS = 3 * SECOND
DESCRIPTION = {
    "lines": [{"name": LINE, "weights": "1"}],
    "services": [
        {"name": SERVICE, "role": "model", "lines": [LINE]},
        {"name": "desk", "role": "application"},
        {"name": "shelf", "role": "store", "store_address": "store:1"},
    ],
}


@dataclass
class ModelWorker:
    """What the platform and the worker itself know of it."""

    backend: Backend
    version: int = 1
    run_micros: int = 0
    loading_until: int = 0
    loading_version: int = 0
    fence: int = 0
    order_count: int = 0
    is_up: bool = True
    loses_replies: int = 0
    is_deaf: bool = False
    life: str = "1"
    first_number: int = 1
    events: list[PrefixCacheEvent] = field(default_factory=list)


@dataclass(frozen=True)
class SeenOrder:
    at_micros: int
    worker: str
    holder: str
    fence: int
    version: int


class PlatformModel:
    """Workers, their list, and a book of every call that the platform saw."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.workers: dict[str, ModelWorker] = {}
        self.listed: dict[str, Backend] = {}
        self.is_list_up = True
        self.listers_cut: set[str] = set()
        self.list_calls: list[tuple[int, str]] = []
        self.event_calls: list[tuple[int, str, str, int]] = []
        self.report_calls: list[tuple[int, str]] = []
        self.orders: list[SeenOrder] = []
        self.most_loading = 0

    def add(self, name: str, version: int = 1, service: str = SERVICE) -> ModelWorker:
        backend = Backend(name, f"{name}:80", "z", service, 4, versions={LINE: version})
        self.workers[name] = ModelWorker(backend, version)
        self.listed[name] = backend
        return self.workers[name]

    def at(self, address: str) -> ModelWorker | None:
        found = [w for w in self.workers.values() if w.backend.address == address and w.is_up]
        return found[0] if found else None

    def settle(self, worker: ModelWorker) -> None:
        if worker.loading_version and self.world.now() >= worker.loading_until:
            worker.version, worker.loading_version = worker.loading_version, 0

    def loading(self) -> list[str]:
        for worker in self.workers.values():
            self.settle(worker)
        return [n for n, w in self.workers.items() if w.loading_version]

    def show_list(self) -> list[Backend]:
        for name, worker in self.workers.items():
            self.settle(worker)
            if name in self.listed:
                self.listed[name] = dataclasses.replace(self.listed[name], versions={LINE: worker.version})
        return list(self.listed.values())

    def order(self, worker: ModelWorker, order: LoadOrder) -> OrderOutcome:
        self.settle(worker)
        self.orders.append(SeenOrder(self.world.now(), order.worker, order.holder, order.fence, order.version))
        if order.worker != worker.backend.name:
            return OrderOutcome.OTHER_WORKER
        if order.fence < worker.fence:
            return OrderOutcome.OLDER_FENCE
        if worker.is_deaf:
            return OrderOutcome.BUSY
        worker.fence = order.fence
        if worker.version == order.version:
            return OrderOutcome.HOLDS_ALREADY
        if worker.loading_version:
            return OrderOutcome.BUSY
        worker.order_count += 1
        worker.loading_version = order.version
        worker.loading_until = self.world.now() + worker.run_micros + 400 * MILLI
        self.most_loading = max(self.most_loading, len(self.loading()))
        return OrderOutcome.TAKEN


class ModelControl:
    """`WorkerControl` of one node: what it waits for passes its machine's gate."""

    def __init__(self, platform: PlatformModel, machine: Machine) -> None:
        self.platform = platform
        self.machine = machine
        self.before_order: Callable[[], None] = lambda: None

    async def list_workers(self, limit_micros: int) -> Result[list[Backend], str]:
        self.platform.list_calls.append((self.platform.world.now(), self.machine.name))
        await sleep_for(self.machine, 2 * MILLI)
        if not self.platform.is_list_up or self.machine.name in self.platform.listers_cut:
            await sleep_for(self.machine, limit_micros)
            return Err("no answer")
        listed = self.platform.show_list()
        await sleep_for(self.machine, 2 * MILLI)
        return Ok(listed)

    async def kept_events(
        self, address: str, since: int, wait_micros: int, limit_micros: int
    ) -> Result[PrefixCacheEventBatch, str]:
        self.platform.event_calls.append((self.platform.world.now(), self.machine.name, address, since))
        await sleep_for(self.machine, MILLI)
        worker = self.platform.at(address)
        if worker is None:
            return Err("refused")
        end_micros = self.machine.now() + wait_micros
        while True:
            last_number = worker.first_number + len(worker.events) - 1
            if last_number > since or self.machine.now() >= end_micros:
                break
            await sleep_for(self.machine, 10 * MILLI)
        fresh = worker.events[max(0, since + 1 - worker.first_number) :]
        return Ok(
            PrefixCacheEventBatch(
                worker.life,
                max(last_number, since if since <= last_number else 0),
                since + 1 < worker.first_number,
                tuple(fresh),
            )
        )

    async def kept_list(self, address: str, limit_micros: int) -> Result[PrefixCacheEventBatch, str]:
        raise AssertionError("it holds the worker up")

    async def report(self, address: str, limit_micros: int) -> Result[WorkerReport, str]:
        self.platform.report_calls.append((self.platform.world.now(), address))
        await sleep_for(self.machine, 2 * MILLI)
        worker = self.platform.at(address)
        if worker is None:
            return Err("refused")
        self.platform.settle(worker)
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

    async def order_load(
        self, address: str, order: LoadOrder, may_begin: Callable[[], bool], limit_micros: int
    ) -> Result[OrderOutcome, str]:
        await sleep_for(self.machine, MILLI)
        self.before_order()
        await sleep_for(self.machine, 0)
        worker = self.platform.at(address)
        if worker is None:
            return Err("refused")
        if not may_begin():
            return Ok(OrderOutcome.WITHDRAWN)
        outcome = self.platform.order(worker, order)
        if worker.loses_replies:
            worker.loses_replies -= 1
            await sleep_for(self.machine, limit_micros)
            return Err("no answer")
        await sleep_for(self.machine, MILLI)
        return Ok(outcome)

    async def probe(self, address: str, path: str, limit_micros: int) -> Result[str, str]:
        raise AssertionError("not asked for")


class ModelCore:
    """A lasting core: the state and the judging of holds are the product's own."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.fleet = FleetState()
        self.index = 0
        self.hold_last_seen: dict[str, tuple[int, int]] = {}
        self.leader_since = 0
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
            CoreProcess._check_hold_expiry(cast(CoreProcess, self), command)
        self.index += 1
        outcome = self.fleet.apply(self.index, command.SerializeToString())
        if name == "hold" and outcome["status"] == "done":
            self.hold_last_seen[command.hold.worker] = (outcome["fence"], self.world.now())
        delta = self.fleet.delta_since(self.view.index, self.view.hash)
        if delta is not None:
            self.view = View().with_delta(self.fleet.delta_since(0, "") or delta) or self.view
        return outcome

    def name(self, version: int) -> None:
        self.run(weights=NameWeights(line=LINE, weights=str(version)))

    def list_workers(self, platform: PlatformModel) -> None:
        self.run(
            workers=SetWorkers(
                worker=[
                    Worker(name=w.backend.name, address=w.backend.address, area="z", service=w.backend.service)
                    for w in platform.workers.values()
                ]
            )
        )


class NodeKeeper:
    """`ViewSource` and `CommandClient` of one node: it has the core's view 2 ms late unless it is cut off."""

    def __init__(self, core: ModelCore, machine: Machine) -> None:
        self.core = core
        self.machine = machine
        self.held = core.view
        self.is_cut_off = False
        self.is_unheard = False
        self.current_at = machine.now()

    @property
    def view(self) -> View:
        if not self.is_cut_off and not self.machine.is_frozen:
            self.held, self.current_at = self.core.view, self.machine.now()
        return self.held

    def is_current(self) -> bool:
        discard_result(self.view)
        return self.machine.now() - self.current_at <= 2 * SECOND

    def core_addresses(self) -> list[str]:
        return [CORE]

    async def command(self, command: Command) -> Result[CommandResult, str]:
        await sleep_for(self.machine, 2 * MILLI)
        if self.is_cut_off or self.is_unheard:
            await sleep_for(self.machine, 700 * MILLI)
            return Err("no answer")
        outcome = self.core.execute(command)
        await sleep_for(self.machine, 2 * MILLI)
        return Ok(CommandResult(status=outcome["status"], body=json.dumps(outcome).encode()))


class ListSink:
    def __init__(self) -> None:
        self.notes: list[KeptNote] = []

    def apply_note(self, note: KeptNote) -> None:
        self.notes.append(note)

    def kept(self, worker: str) -> dict[tuple[str, str], int]:
        """What a reader of the notes holds for true."""
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
    def __init__(self, fleet: WorkerFleet, name: str) -> None:
        self.name = name
        self.machine = fleet.world.machine(name)
        self.machine.boot()
        machine, address = self.machine, f"{name}:1"
        chance = random.Random(f"{fleet.world.seed} {name} {machine.boot_count}")
        self.identity = chance.randbytes(12).hex()
        self.rpc_endpoint = RpcEndpoint(self.identity, address, SimNetwork(machine, address), machine)
        record = Record(identity=self.identity, address=address, role="router")
        self.directory = Directory(record, [CORE], self.rpc_endpoint, machine, chance)
        self.keeper = NodeKeeper(fleet.core, machine)
        self.control = ModelControl(fleet.platform, machine)
        self.book = WorkerVersionTable(machine)
        self.rosters = RosterSynchronizer(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            machine,
            chance,
            machine.task_group,
            self.control,
            SECOND,
            InvariantCounters(machine, strict=True),
        )
        self.rosters.watchers.append(self.book.apply_roster)
        self.recorder = RosterPublisher(self.rosters, self.keeper, self.keeper, machine)
        self.sink = ListSink()
        self.gatherer = PrefixCachePoller(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            machine,
            machine.task_group,
            self.control,
            self.rosters,
            self.keeper,
            self.sink,
        )
        self.roll_out = WeightsRollout(
            self.identity,
            self.rpc_endpoint,
            self.directory,
            machine,
            machine.task_group,
            self.control,
            self.rosters,
            self.keeper,
            self.keeper,
            self.book,
            HOLD_MICROS,
            ORDER_MICROS,
        )
        machine.task_group.start(self.directory.run())

    def start(self, *parts: str) -> None:
        for part in parts:
            self.machine.task_group.start(getattr(self, part).run())

    def names(self) -> set[str]:
        """Whom requests may be placed on."""
        return {n for n, b in self.rosters.roster.backends.items() if not b.is_leaving}


class WorkerFleet:
    """A machine that only passes records on stands for the cores' directory."""

    def __init__(self, world: World, node_count: int, worker_count: int = 0) -> None:
        self.world = world
        self.platform = PlatformModel(world)
        self.core = ModelCore(world)
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
        return [fault for node in self.nodes for fault in node.machine.task_group.faults]


def asker_of(fleet: WorkerFleet) -> FleetNode:
    """The node that asked the platform's list last."""
    return fleet.node_of(fleet.platform.list_calls[-1][1])


def sent_bytes(nodes: list[FleetNode], body_name: str) -> int:
    return sum(node.rpc_endpoint.sent_bytes.get(body_name, 0) for node in nodes)


def busiest_second(times: list[int]) -> int:
    """The most of these moments that lie within one second."""
    return max((sum(start <= t < start + SECOND for t in times) for start in times), default=0)


def find_turns(orders: list[SeenOrder]) -> list[str]:
    """What the rules on orders forbid: a fence of two holders, lower fences later, two holders within the lease."""
    faults = []
    for worker in {order.worker for order in orders}:
        seen = [order for order in orders if order.worker == worker]
        for before, after in zip(seen, seen[1:], strict=False):
            if after.fence < before.fence:
                faults.append(f"{worker}: fence {after.fence} after {before.fence}")
            if after.holder != before.holder:
                if after.fence == before.fence:
                    faults.append(f"{worker}: fence {after.fence} of two holders")
                if after.at_micros - before.at_micros < TURN_MICROS:
                    faults.append(f"{worker}: two holders within {after.at_micros - before.at_micros}")
    return faults
