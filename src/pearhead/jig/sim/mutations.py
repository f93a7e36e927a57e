"""Mutations (§9.8): deliberately broken builds, one or more a checker, which each must find."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from typing import Any

from result import Ok

from pearhead.anvil.core import CoreProcess
from pearhead.anvil.fleet import Fleet
from pearhead.awl.view import View, WorkerFact
from pearhead.awl.wire_pb2 import BumpPart, Command, JoinAsk, JoinResult, TakeHold
from pearhead.jig.sim.fleet import SimFleet
from pearhead.jig.sim.world import SimDisk
from pearhead.jig.workermodel import WorkerModel, WorkerRefusal
from pearhead.lathe import nominate
from pearhead.lathe.carry import CUT, CarryFault, MayBegin, UpstreamJob
from pearhead.lathe.job import Job
from pearhead.lathe.node import NodeProcess
from pearhead.rasp.key import cache_salt, chain_keys

Prepare = Callable[[SimFleet], None]


@dataclass(frozen=True)
class Mutation:
    prepare: Prepare
    scenario: str
    wanted: str


MUTATIONS: dict[str, Mutation] = {}


def mutation(scenario: str, wanted: str) -> Callable[[Prepare], Prepare]:
    def keep(prepare: Prepare) -> Prepare:
        MUTATIONS[prepare.__name__] = Mutation(prepare, scenario, wanted)
        return prepare

    return keep


def _on_nodes(fleet: SimFleet, change: Callable[[NodeProcess], None]) -> None:
    fleet.buildNode = change


@mutation("calm", "streams")
def line_lost(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        realCarry = node.carrier.carry

        async def carry(
            workerAddress: str, upstreamJob: UpstreamJob, mayBegin: MayBegin
        ) -> AsyncGenerator[dict[str, Any], None]:
            async for event in realCarry(workerAddress, upstreamJob, mayBegin):
                if "usage" in event or node.chance.random() > 0.05:
                    yield event

        node.carrier.carry = carry  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("workers-crash", "runs")
def all_repeatable(fleet: SimFleet) -> None:
    """Every failure is taken for one that left no byte."""

    def change(node: NodeProcess) -> None:
        realCarry = node.carrier.carry

        async def carry(
            workerAddress: str, upstreamJob: UpstreamJob, mayBegin: MayBegin
        ) -> AsyncGenerator[dict[str, Any], None]:
            try:
                async for event in realCarry(workerAddress, upstreamJob, mayBegin):
                    yield event
            except CarryFault as fault:
                raise CarryFault("not_sent" if fault.stage == CUT else fault.stage, fault.detail) from fault

        node.carrier.carry = carry  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("weights-under-load", "owners")
def keys_without_weights(fleet: SimFleet) -> None:
    realKeys, realSalt = chain_keys, cache_salt
    vars(nominate)["chain_keys"] = lambda owner, line, revision, parts: realKeys(owner, line, 0, parts)
    vars(nominate)["cache_salt"] = lambda owner, line, revision: realSalt(owner, line, 0)
    realLoad = WorkerModel.load

    async def load(self: WorkerModel, fence: int, model: str) -> dict[str, Any]:
        kept = dict(self.cache)
        givenResult = await realLoad(self, fence, model)
        self.cache.update(kept)
        return givenResult

    WorkerModel.load = load  # type: ignore[method-assign]


@mutation("calm", "owners")
def tenants_shared(fleet: SimFleet) -> None:
    vars(nominate)["owner_of"] = lambda tenant: "group:all"


@mutation("node-cut-off-from-cores", "force")
def term_unchecked(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        node.keeper.is_current = lambda: True  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("all-killed", "lasting")
def acknowledged_before_sync(fleet: SimFleet) -> None:
    async def append(self: SimDisk, fileName: str, contentBytes: bytes) -> None:
        lateBytes = self.unsynced.get(fileName, b"")
        self.unsynced[fileName] = lateBytes + contentBytes

    def crash(self: SimDisk, losesPower: bool) -> None:
        self.unsynced = {}

    SimDisk.append = append  # type: ignore[method-assign]
    SimDisk.crash = crash  # type: ignore[method-assign]


@mutation("operators-race", "force")
def base_unchecked(fleet: SimFleet) -> None:
    """A losing configuration is refused, and yet put in force."""
    realApply = Fleet._apply_apply

    def apply(self: Fleet, index: int, command: Any) -> dict[str, Any]:
        isLoser = command.baseRevision != self.descriptionRevision
        if isLoser:
            held, self.description = self.description, json.loads(command.description)
            self._show_description(index)
            self.description = held
        return realApply(self, index, command)

    Fleet._apply_apply = apply  # type: ignore[method-assign]


@mutation("weights-under-load", "weights")
def old_weights_kept(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        node.nominator.oldWeightsMicros = 10**12
        node.holder._may_begin = lambda *_: False  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("workers-come-and-go", "leaving")
def leaving_unseen(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        realCandidates = node.nominator._candidates

        def candidates(view: View, job: Job, isModel: bool) -> list[WorkerFact]:
            for worker in view.workers.values():
                object.__setattr__(worker, "leaving", False)
            return realCandidates(view, job, isModel)

        node.nominator._candidates = candidates  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("bumps-race", "bumps")
def bumps_forgotten(fleet: SimFleet) -> None:
    """A new leader begins its numbers anew."""

    def change(core: CoreProcess) -> None:
        realTake = core._take_leadership

        def take(leads: bool) -> None:
            core.fleet.parts = {}
            realTake(leads)

        core._take_leadership = take  # type: ignore[method-assign]

    fleet.buildCore = change


@mutation("bumps-race", "bumps")
def transactions_forgotten(fleet: SimFleet) -> None:
    realApply = Fleet.apply

    def apply(self: Fleet, index: int, commandBytes: bytes) -> dict[str, Any]:
        command = Command.FromString(commandBytes)
        if command.HasField("bump"):
            return self._apply_bump(index, BumpPart.FromString(command.bump.SerializeToString()))
        return realApply(self, index, commandBytes)

    Fleet.apply = apply  # type: ignore[method-assign]


@mutation("weights-under-load", "commands")
def holds_for_all(fleet: SimFleet) -> None:
    def hold(self: Fleet, index: int, command: TakeHold) -> dict[str, Any]:
        held = self.holds.get(command.worker, {})
        if held.get("holder") == command.holder:
            return {"status": "done", "fence": held["fence"]}
        self.holds[command.worker] = {"holder": command.holder, "fence": index}
        return {"status": "done", "fence": index}

    Fleet._apply_hold = hold  # type: ignore[method-assign]

    def change(node: NodeProcess) -> None:
        node.holder._is_first = lambda name: True  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("core-cut-in-two", "histories")
def reads_unconfirmed(fleet: SimFleet) -> None:
    def change(core: CoreProcess) -> None:
        async def confirm() -> bool:
            return True

        realStart = core.start

        async def start() -> None:
            await realStart()
            core.raft.confirm = confirm  # type: ignore[method-assign]

        core.start = start  # type: ignore[method-assign]

    fleet.buildCore = change


@mutation("planned-restarts", "planned")
def drain_not_waited(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        async def drain() -> None:
            node.isDraining = True

        node.drain = drain  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("one-tenant-bursts", "small tenants starved")
def first_come_first_served(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        realAdmit = node.admission.admit

        async def admit(job: Job) -> Any:
            assert job.tenant is not None
            tenant, job.tenant = job.tenant, dataclasses.replace(job.tenant, name="all")
            try:
                return await realAdmit(job)
            finally:
                job.tenant = tenant

        realLeave = node.admission.leave_place
        node.admission.admit = admit  # type: ignore[method-assign]
        node.admission.leave_place = lambda entry, tenantName, heldMicros=0: realLeave(entry, "all", heldMicros)  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("node-killed", "recovery")
def never_current_again(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        if fleet.world.now() > 5_000_000:
            node.keeper.is_current = lambda: False  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("most-workers-down", "retries")
def budget_unlimited(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        def take_out(service: str) -> bool:
            node.budget.retryCount += 1
            return True

        node.budget.take_out = take_out  # type: ignore[method-assign]
        node.nominator.take_fault = lambda worker: None  # type: ignore[method-assign]
        node.holder.soundnessWatcher = lambda worker: None

    _on_nodes(fleet, change)


@mutation("nodes-freeze-as-they-connect", "force")
def last_check_skipped(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        node._may_begin = lambda job, placement: True  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("entries-move-while-jobs-queue", "force")
def matched_only_once(fleet: SimFleet) -> None:
    """Key and entry are looked at before a job queues, and never again."""

    def change(node: NodeProcess) -> None:
        realLook = node._look

        def look(job: Job) -> Any:
            return Ok(None) if job.entry is not None else realLook(job)

        node._look = look  # type: ignore[method-assign]
        node._may_begin = lambda job, placement: True  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("entries-move-while-jobs-queue", "held_back")
def queues_never_reviewed(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        node.admission.review = lambda judge: None  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("holder-freezes-as-it-commands", "commands")
def commands_unchecked(fleet: SimFleet) -> None:
    def change(node: NodeProcess) -> None:
        node.holder._is_within_term = lambda name, fence: True  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("weights-under-load", "weights")
def new_weights_never_served(fleet: SimFleet) -> None:
    """Nothing runs on the old ones for too long, as nothing runs at all."""
    realLoad = WorkerModel.load

    async def load(self: WorkerModel, fence: int, model: str) -> dict[str, Any]:
        if not model.endswith("@w1"):
            raise WorkerRefusal(503, "never")
        return await realLoad(self, fence, model)

    WorkerModel.load = load  # type: ignore[method-assign]


@mutation("half-the-workers-down", "recovery")
def lost_workers_unseen(fleet: SimFleet) -> None:
    """All would be well once the worker is back, and nothing is while it is gone."""

    def change(node: NodeProcess) -> None:
        node.nominator.take_fault = lambda worker: None  # type: ignore[method-assign]
        node.holder.soundnessWatcher = lambda worker: None
        node.budget.take_out = lambda service: False  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("platform-against-operators", "leaving")
def marks_overwritten(fleet: SimFleet) -> None:
    """The platform's list is taken as it is, and takes operators' marks away."""
    realWorkers = Fleet._apply_workers

    def apply(self: Fleet, index: int, command: Any) -> dict[str, Any]:
        if not command.partial:
            self.workers = {}
        return realWorkers(self, index, command)

    Fleet._apply_workers = apply  # type: ignore[method-assign]


@mutation("platform-against-operators", "two operators named weights at once, and both were told done")
def weights_base_unchecked(fleet: SimFleet) -> None:
    realWeights = Fleet._apply_weights

    def apply(self: Fleet, index: int, command: Any) -> dict[str, Any]:
        command.baseRevision = 0
        return realWeights(self, index, command)

    Fleet._apply_weights = apply  # type: ignore[method-assign]


@mutation("parts-change", "changes")
def changes_unheard(fleet: SimFleet) -> None:
    """Reports of changed parts are read, and nothing is bumped for them."""

    def change(node: NodeProcess) -> None:
        async def bump(owner: str, line: str, part: int) -> None:
            return None

        node.listener.bump = bump  # type: ignore[method-assign]

    _on_nodes(fleet, change)


@mutation("disk-back-empty", "not in time")
def lost_disks_waited_for(fleet: SimFleet) -> None:
    """A new identity at a voter's address is taken in only once that voter was silent for long."""

    def change(core: CoreProcess) -> None:
        real_join = core._make_join_result

        async def join(identity: str, address: str, ask: JoinAsk) -> JoinResult:
            for member in core.raft.members().member:
                follower = core.raft.followers.get(member.identity)
                is_held = member.voter and member.address == ask.address and member.identity != identity
                if is_held and follower is not None:
                    if core.clock.now() - follower.heardMicros < core.startup.lostAfterMicros:
                        return JoinResult()
            return await real_join(identity, address, ask)

        core._make_join_result = join  # type: ignore[method-assign]

    fleet.buildCore = change
