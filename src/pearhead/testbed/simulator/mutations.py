"""Mutations (§9.8): deliberately broken builds, at least one per check of the simulator.

A mutation patches the code before the fleet starts; the check that it names must then report a breach. This shows
that each check can fail. The patches change modules and classes, so each mutated run needs a process of its own.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import AsyncGenerator, Callable
from typing import Any

from result import Ok

from pearhead.config.view import View, WorkerRecord
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.fleet_state import FleetState
from pearhead.invalidation.cache_keys import cache_salt, chain_keys
from pearhead.router import job_scheduler
from pearhead.router.job import Job
from pearhead.router.job_transport import CUT, JobTransportError, SendPrecondition, UpstreamJob
from pearhead.router.node_process import NodeProcess
from pearhead.rpc.wire_pb2 import BumpPart, Command, JoinAsk, JoinResult, TakeHold
from pearhead.testbed.simulator.control_mutations import CONTROL_MUTATIONS, Mutation, MutationPatch
from pearhead.testbed.simulator.fleet import SimFleet
from pearhead.testbed.simulator.world import SimDisk
from pearhead.testbed.workermodel import WorkerModel, WorkerRefusalError

MUTATIONS: dict[str, Mutation] = dict(CONTROL_MUTATIONS)


def mutation(scenario: str, expected_check: str) -> Callable[[MutationPatch], MutationPatch]:
    """Registers a mutation under the function's name.

    `scenario` is the run that must expose it, `expected_check` the check that must report a breach there.
    """

    def register(apply_patch: MutationPatch) -> MutationPatch:
        MUTATIONS[apply_patch.__name__] = Mutation(apply_patch, scenario, expected_check)
        return apply_patch

    return register


def _patch_nodes(fleet: SimFleet, change: Callable[[NodeProcess], None]) -> None:
    """Applies `change` to each node process of this fleet right before it starts."""
    fleet.node_patch = change


@mutation("calm", "streams")
def line_lost(fleet: SimFleet) -> None:
    """Nodes drop 5% of the events of an upstream stream, except the one with the usage."""

    def change(node: NodeProcess) -> None:
        real_send_job = node.transport.send_job

        async def send_job(
            worker_address: str, upstream_job: UpstreamJob, may_begin: SendPrecondition
        ) -> AsyncGenerator[dict[str, Any], None]:
            async for event in real_send_job(worker_address, upstream_job, may_begin):
                if "usage" in event or node.rng.random() > 0.05:
                    yield event

        node.transport.send_job = send_job  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("workers-crash", "runs")
def all_repeatable(fleet: SimFleet) -> None:
    """Every broken stream is reported as not sent, so that jobs are retried that may have run."""

    def change(node: NodeProcess) -> None:
        real_send_job = node.transport.send_job

        async def send_job(
            worker_address: str, upstream_job: UpstreamJob, may_begin: SendPrecondition
        ) -> AsyncGenerator[dict[str, Any], None]:
            try:
                async for event in real_send_job(worker_address, upstream_job, may_begin):
                    yield event
            except JobTransportError as fault:
                raise JobTransportError("not_sent" if fault.stage == CUT else fault.stage, fault.detail) from fault

        node.transport.send_job = send_job  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("weights-under-load", "owners")
def keys_without_weights(fleet: SimFleet) -> None:
    """Cache keys and salts ignore the weights revision, and workers keep their cache over a load of new weights."""
    real_chain_keys, real_cache_salt = chain_keys, cache_salt
    vars(job_scheduler)["chain_keys"] = lambda owner, line, revision, parts: real_chain_keys(owner, line, 0, parts)
    vars(job_scheduler)["cache_salt"] = lambda owner, line, revision: real_cache_salt(owner, line, 0)
    real_load = WorkerModel.load

    async def load(self: WorkerModel, fence: int, model: str) -> dict[str, Any]:
        cache_before_load = dict(self.cache)
        load_result = await real_load(self, fence, model)
        self.cache.update(cache_before_load)
        return load_result

    WorkerModel.load = load  # type: ignore[method-assign]


@mutation("calm", "owners")
def tenants_shared(fleet: SimFleet) -> None:
    """All tenants share one cache, whatever group they are in."""
    vars(job_scheduler)["cache_owner"] = lambda tenant: "group:all"


@mutation("node-cut-off-from-cores", "force")
def term_unchecked(fleet: SimFleet) -> None:
    """Nodes treat their view as current even when its term is over."""

    def change(node: NodeProcess) -> None:
        node.view_replica.is_current = lambda: True  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("all-killed", "lasting")
def acknowledged_before_sync(fleet: SimFleet) -> None:
    """Appends to a file are acknowledged without a sync, and any crash loses them."""

    async def append(self: SimDisk, file_name: str, content_bytes: bytes) -> None:
        unsynced_bytes = self.unsynced.get(file_name, b"")
        self.unsynced[file_name] = unsynced_bytes + content_bytes

    def crash(self: SimDisk, loses_power: bool) -> None:
        self.unsynced = {}

    SimDisk.append = append  # type: ignore[method-assign]
    SimDisk.crash = crash  # type: ignore[method-assign]


@mutation("operators-race", "force")
def base_unchecked(fleet: SimFleet) -> None:
    """A description on an outdated base is refused, and takes effect nevertheless."""
    real_apply = FleetState._apply_apply

    def apply(self: FleetState, index: int, command: Any) -> dict[str, Any]:
        is_conflicting = command.base_revision != self.description_revision
        if is_conflicting:
            current_description, self.description = self.description, json.loads(command.description)
            self._set_description_sections(index)
            self.description = current_description
        return real_apply(self, index, command)

    FleetState._apply_apply = apply  # type: ignore[method-assign]


@mutation("weights-under-load", "weights")
def old_weights_kept(fleet: SimFleet) -> None:
    """Nodes use workers with old weights without a time limit, and lease holders load no new weights."""

    def change(node: NodeProcess) -> None:
        node.scheduler.old_weights_micros = 10**12
        node.lease_controller._may_load = lambda *_: False  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("workers-come-and-go", "leaving")
def leaving_unseen(fleet: SimFleet) -> None:
    """Nodes choose workers without regard to the leaving mark."""

    def change(node: NodeProcess) -> None:
        real_candidates = node.scheduler._candidates

        def candidates(view: View, job: Job, is_model: bool) -> list[WorkerRecord]:
            for worker in view.workers.values():
                object.__setattr__(worker, "leaving", False)
            return real_candidates(view, job, is_model)

        node.scheduler._candidates = candidates  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("bumps-race", "bumps")
def bumps_forgotten(fleet: SimFleet) -> None:
    """All part revisions are lost when leadership changes, and a new leader counts from the start."""

    def change(core: CoreProcess) -> None:
        real_on_leadership_change = core._on_leadership_change

        def on_leadership_change(leads: bool) -> None:
            core.fleet.parts = {}
            real_on_leadership_change(leads)

        core._on_leadership_change = on_leadership_change  # type: ignore[method-assign]

    fleet.core_patch = change


@mutation("bumps-race", "bumps")
def transactions_forgotten(fleet: SimFleet) -> None:
    """A repeated bump is not recognized by its transaction, and gets a new revision."""
    real_apply = FleetState.apply

    def apply(self: FleetState, index: int, command_bytes: bytes) -> dict[str, Any]:
        command = Command.FromString(command_bytes)
        if command.HasField("bump"):
            return self._apply_bump(index, BumpPart.FromString(command.bump.SerializeToString()))
        return real_apply(self, index, command_bytes)

    FleetState.apply = apply  # type: ignore[method-assign]


@mutation("weights-under-load", "commands")
def holds_for_all(fleet: SimFleet) -> None:
    """Every node considers itself first in rank for each worker, and the core grants the lease to whoever asks."""

    def apply_hold(self: FleetState, index: int, command: TakeHold) -> dict[str, Any]:
        grant = self.leases.get(command.worker, {})
        if grant.get("holder") == command.holder:
            return {"status": "done", "fence": grant["fence"]}
        self.leases[command.worker] = {"holder": command.holder, "fence": index}
        return {"status": "done", "fence": index}

    FleetState._apply_hold = apply_hold  # type: ignore[method-assign]

    def change(node: NodeProcess) -> None:
        node.lease_controller._is_first_ranked = lambda name: True  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("core-cut-in-two", "histories")
def reads_unconfirmed(fleet: SimFleet) -> None:
    """A leader answers reads without having a majority confirm that it still leads."""

    def change(core: CoreProcess) -> None:
        async def confirm_leadership() -> bool:
            return True

        real_start = core.start

        async def start() -> None:
            await real_start()
            core.raft.confirm_leadership = confirm_leadership  # type: ignore[method-assign]

        core.start = start  # type: ignore[method-assign]

    fleet.core_patch = change


@mutation("planned-restarts", "planned")
def drain_not_waited(fleet: SimFleet) -> None:
    """A drain returns at once and does not wait for open jobs."""

    def change(node: NodeProcess) -> None:
        async def drain() -> None:
            node.is_draining = True

        node.drain = drain  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("one-tenant-bursts", "small tenants starved")
def first_come_first_served(fleet: SimFleet) -> None:
    """Admission counts all tenants as one, so that no tenant has a fair share of the queue."""

    def change(node: NodeProcess) -> None:
        real_admit = node.admission.admit

        async def admit(job: Job) -> Any:
            assert job.tenant is not None
            tenant, job.tenant = job.tenant, dataclasses.replace(job.tenant, name="all")
            try:
                return await real_admit(job)
            finally:
                job.tenant = tenant

        release = node.admission.release_slot
        node.admission.admit = admit  # type: ignore[method-assign]
        node.admission.release_slot = lambda entry, tenant_name, held_micros=0: release(entry, "all", held_micros)  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("node-killed", "recovery")
def never_current_again(fleet: SimFleet) -> None:
    """Nodes that start later than 5 s into the run never have a current view."""

    def change(node: NodeProcess) -> None:
        if fleet.world.now() > 5_000_000:
            node.view_replica.is_current = lambda: False  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("most-workers-down", "retries")
def budget_unlimited(fleet: SimFleet) -> None:
    """Every retry is allowed, and nodes do not avoid workers that failed or were reported as unhealthy."""

    def change(node: NodeProcess) -> None:
        def try_withdraw(service: str) -> bool:
            node.retry_budget.retry_count += 1
            return True

        node.retry_budget.try_withdraw = try_withdraw  # type: ignore[method-assign]
        node.scheduler.record_failure = lambda worker: None  # type: ignore[method-assign]
        node.lease_controller.unhealthy_callback = lambda worker: None

    _patch_nodes(fleet, change)


@mutation("nodes-freeze-as-they-connect", "force")
def last_check_skipped(fleet: SimFleet) -> None:
    """The check right before the first byte of a job always passes."""

    def change(node: NodeProcess) -> None:
        node._may_send = lambda job, placement: True  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("entries-move-while-jobs-queue", "force")
def matched_only_once(fleet: SimFleet) -> None:
    """Key and entry are checked before a job queues, and not again after its wait."""

    def change(node: NodeProcess) -> None:
        real_check = node._check_against_view

        def check_in_force(job: Job) -> Any:
            return Ok(None) if job.entry is not None else real_check(job)

        node._check_against_view = check_in_force  # type: ignore[method-assign]
        node._may_send = lambda job, placement: True  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("entries-move-while-jobs-queue", "held_back")
def queues_never_reviewed(fleet: SimFleet) -> None:
    """Queued jobs are not checked again when the configuration changes."""

    def change(node: NodeProcess) -> None:
        node.admission.recheck_waiting = lambda recheck: None  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("holder-freezes-as-it-commands", "commands")
def commands_unchecked(fleet: SimFleet) -> None:
    """Lease holders send commands without a last check that they still hold the worker's lease."""

    def change(node: NodeProcess) -> None:
        node.lease_controller._is_lease_valid = lambda name, fence: True  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("weights-under-load", "weights")
def new_weights_never_served(fleet: SimFleet) -> None:
    """Workers refuse to load new weights, and run nothing once the old ones may no longer be used.

    No job runs on old weights for too long, so only the check that jobs begin on the new ones can find this.
    """
    real_load = WorkerModel.load

    async def load(self: WorkerModel, fence: int, model: str) -> dict[str, Any]:
        if not model.endswith("@w1"):
            raise WorkerRefusalError(503, "never")
        return await real_load(self, fence, model)

    WorkerModel.load = load  # type: ignore[method-assign]


@mutation("half-the-workers-down", "recovery")
def lost_workers_unseen(fleet: SimFleet) -> None:
    """Nodes neither avoid failed workers nor retry: jobs fail while workers are down, and succeed once they are back.

    Only a check that also judges jobs sent while the fault lasts can find this.
    """

    def change(node: NodeProcess) -> None:
        node.scheduler.record_failure = lambda worker: None  # type: ignore[method-assign]
        node.lease_controller.unhealthy_callback = lambda worker: None
        node.retry_budget.try_withdraw = lambda service: False  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("platform-against-operators", "leaving")
def marks_overwritten(fleet: SimFleet) -> None:
    """The platform's full worker list replaces all records, and so removes the operators' leaving marks."""
    real_apply_workers = FleetState._apply_workers

    def apply(self: FleetState, index: int, command: Any) -> dict[str, Any]:
        if not command.partial:
            self.workers = {}
        return real_apply_workers(self, index, command)

    FleetState._apply_workers = apply  # type: ignore[method-assign]


@mutation("platform-against-operators", "two operators named weights at once, and both were told done")
def weights_base_unchecked(fleet: SimFleet) -> None:
    """A weights change ignores its base revision, so that two concurrent ones both succeed."""
    real_apply_weights = FleetState._apply_weights

    def apply(self: FleetState, index: int, command: Any) -> dict[str, Any]:
        command.base_revision = 0
        return real_apply_weights(self, index, command)

    FleetState._apply_weights = apply  # type: ignore[method-assign]


@mutation("parts-change", "changes")
def changes_unheard(fleet: SimFleet) -> None:
    """Nodes read the reports of changed parts, but raise no revision for them."""

    def change(node: NodeProcess) -> None:
        async def bump(owner: str, line: str, part: int) -> None:
            return None

        node.revision_listener.bump = bump  # type: ignore[method-assign]

    _patch_nodes(fleet, change)


@mutation("disk-back-empty", "not in time")
def lost_disks_waited_for(fleet: SimFleet) -> None:
    """A core with a new identity at a voter's address has to wait until the old identity counts as lost.

    It is admitted only when the voter was silent for `lostAfterMicros`.
    """

    def change(core: CoreProcess) -> None:
        real_make_join_result = core._make_join_result

        async def join(identity: str, address: str, ask: JoinAsk) -> JoinResult:
            for member in core.raft.members().member:
                follower = core.raft.followers.get(member.identity)
                is_address_taken = member.voter and member.address == ask.address and member.identity != identity
                if is_address_taken and follower is not None:
                    if core.clock.now() - follower.last_contact_micros < core.startup.lostAfterMicros:
                        return JoinResult()
            return await real_make_join_result(identity, address, ask)

        core._make_join_result = join  # type: ignore[method-assign]

    fleet.core_patch = change
