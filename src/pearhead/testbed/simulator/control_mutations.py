"""Broken builds of the control side (§9.8): one or more for each check of its worst days."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from google.protobuf.message import Message
from result import Result

from pearhead.consensus import replication
from pearhead.consensus.elections import Elections
from pearhead.consensus.membership import Membership
from pearhead.consensus.replication import LeaderReplication
from pearhead.control_plane import fleet_state as fleet_module
from pearhead.control_plane import membership_controller
from pearhead.control_plane.core_process import CoreProcess
from pearhead.control_plane.fleet_state import FleetState
from pearhead.control_plane.membership_controller import MEMBER_REMOVAL_FACTOR, MembershipController
from pearhead.router.node_process import NodeProcess
from pearhead.rpc.wire_pb2 import ChangeDescription, Members, TermResult, VoteAsk, VoteResult
from pearhead.runtime.clock import SECOND
from pearhead.testbed.simulator.fleet import SimFleet

MutationPatch = Callable[[SimFleet], None]
UNBOUNDED_MICROS = 10**9 * SECOND
RARE_SEND_INTERVAL_MICROS = 30 * SECOND


@dataclass(frozen=True)
class Mutation:
    prepare: MutationPatch
    scenario: str
    wanted: str


CONTROL_MUTATIONS: dict[str, Mutation] = {}


def mutation(scenario: str, wanted: str) -> Callable[[MutationPatch], MutationPatch]:
    def register(prepare: MutationPatch) -> MutationPatch:
        CONTROL_MUTATIONS[prepare.__name__] = Mutation(prepare, scenario, wanted)
        return prepare

    return register


@mutation("operators-contend", "orders")
def second_content_taken(fleet: SimFleet) -> None:
    """Only the leader's look before the log keeps two apart, which both may pass at once."""
    real_change = FleetState._apply_change

    def apply(self: FleetState, index: int, command: ChangeDescription) -> dict[str, Any]:
        if not self.has_applied_change(command):
            self.description_number = command.base_number = command.number - 1
            command.checked_revision = self.description_revision
        return real_change(self, index, command)

    FleetState._apply_change = apply  # type: ignore[method-assign]


@mutation("operators-contend", "orders")
def repeats_refused(fleet: SimFleet) -> None:
    FleetState.has_applied_change = lambda self, command: False  # type: ignore[method-assign]


@mutation("operators-contend", "orders")
def taken_changes_left_out_of_digests(fleet: SimFleet) -> None:
    """A member that started from a digest knows no repeat of what came before it."""
    real_load = FleetState.load_digest

    def load(self: FleetState, digest_bytes: bytes) -> None:
        real_load(self, digest_bytes)
        self.taken = OrderedDict()

    FleetState.load_digest = load  # type: ignore[method-assign]


@mutation("leader-cut-off", "orders")
def description_read_unconfirmed(fleet: SimFleet) -> None:
    """A leader that nobody follows any more tells what it holds as the description of now."""

    async def confirm() -> bool:
        return True

    def change(core: CoreProcess) -> None:
        real_start = core.start

        async def start() -> None:
            await real_start()
            core.raft.confirm = confirm  # type: ignore[method-assign]

        core.start = start  # type: ignore[method-assign]

    vars(replication)["CONTACT_TIMEOUT_MICROS"] = UNBOUNDED_MICROS
    fleet.core_patch = change


@mutation("leader-cut-off", "late answer")
def silence_unnoticed(fleet: SimFleet) -> None:
    """A leader whom nobody answers leads on, and its orders wait."""
    vars(replication)["CONTACT_TIMEOUT_MICROS"] = UNBOUNDED_MICROS


@mutation("follower-cut-off", "old configuration")
def cores_out_of_reach_not_counted(fleet: SimFleet) -> None:
    """A node takes a majority of those that it reaches for one of all."""

    def change(node: NodeProcess) -> None:
        name = node.startup.address.partition(":")[0]
        real_take = node.view_replica._apply_members

        def take(result: TermResult) -> None:
            real_take(result)
            held = node.view_replica.membership
            reached = [m for m in held.members.member if not fleet.world.is_cut(m.address.partition(":")[0], name)]
            node.view_replica.membership = Membership(0, Members(member=reached))

        node.view_replica._apply_members = take  # type: ignore[method-assign]

    fleet.node_patch = change


@mutation("leader-cut-off", "disturbed")
def votes_without_trial(fleet: SimFleet) -> None:
    """Who is cut off raises its term all the time, and the others' when it is back."""
    real_start = Elections.start

    def start(self: Elections, is_pre_vote: bool, is_transfer: bool) -> None:
        real_start(self, False, is_transfer)

    Elections.start = start  # type: ignore[method-assign]


@mutation("leader-cut-off", "not in step")
def silent_members_asked_seldom(fleet: SimFleet) -> None:
    real_send = LeaderReplication.send_append

    def send(self: LeaderReplication, follower_identity: str, is_heartbeat: bool = False) -> None:
        follower = self.state.followers[follower_identity]
        now_micros = self.clock.now()
        is_silent = now_micros - follower.heard_micros > SECOND
        if not is_silent or now_micros - follower.sent_micros > RARE_SEND_INTERVAL_MICROS:
            real_send(self, follower_identity, is_heartbeat)

    LeaderReplication.send_append = send  # type: ignore[method-assign]


@mutation("losses-as-soon-as-settled", "not led in time")
def successors_never_vote(fleet: SimFleet) -> None:
    real_choose = MembershipController._choose_replacement_voter

    def choose(self: MembershipController, outgoing: str) -> str | None:
        return None if outgoing else real_choose(self, outgoing)

    MembershipController._choose_replacement_voter = choose  # type: ignore[method-assign]


@mutation("losses-after-a-planned-replacement", "not led in time")
def leavers_counted_on(fleet: SimFleet) -> None:
    """A planned replacement adds a voter, and raises for good how many are wanted; who left is one for long."""
    real_care = MembershipController._reconcile_once

    async def leave(self: MembershipController) -> None:
        self.raft.transfer_leadership()

    def target(self: MembershipController) -> int:
        members = self.raft.members()
        is_whole = all(self._is_responsive(m.identity) for m in members.member)
        return max(members.wanted, len(members.member) if is_whole else 0)

    async def care(self: MembershipController) -> bool:
        vars(membership_controller)["EXCHANGE_MICROS"] = self.startup.lostAfterMicros * MEMBER_REMOVAL_FACTOR
        return await real_care(self)

    MembershipController.leave = leave  # type: ignore[method-assign]
    MembershipController.target_voter_count = target  # type: ignore[method-assign]
    MembershipController._reconcile_once = care  # type: ignore[method-assign]


@mutation("follower-cut-off", "late answer")
def relays_waited_for_long(fleet: SimFleet) -> None:
    async def ask_leader(self: CoreProcess, body_name: str, body: Message, limit_micros: int) -> Result[Any, str]:
        return await self.rpc_endpoint.call(self.raft.leader_address(), body_name, body, 5 * SECOND)

    CoreProcess._ask_leader = ask_leader  # type: ignore[method-assign]


@mutation("repeats-after-hundreds-of-changes", "orders")
def few_changes_remembered(fleet: SimFleet) -> None:
    vars(fleet_module)["TAKEN_LIMIT"] = 256
    FleetState.is_beyond_retained_changes = lambda self, command: False  # type: ignore[method-assign]


@mutation("survivors-of-unlike-logs", "not led in time")
def asked_epochs_adopted(fleet: SimFleet) -> None:
    """A refused trial vote answers with the epoch that was asked, and the asker adopts it."""

    def answer(self: Elections, address: str, ask: VoteAsk, is_granted: bool) -> None:
        term = ask.epoch if ask.trial and not is_granted else self.state.term
        result = VoteResult(epoch=term, granted=is_granted, trial=ask.trial, asked=ask.epoch)
        self.send(address, "vote_result", result)

    Elections.answer = answer  # type: ignore[method-assign]


@mutation("promotion-known-to-one-alone", "not led in time")
def votes_by_own_list(fleet: SimFleet) -> None:
    """A member whose log lacks a promotion does not answer the promoted one."""
    real_take = Elections.take_vote_ask

    def take(self: Elections, identity: str, address: str, ask: VoteAsk) -> None:
        if identity in self.state.log.membership().voters:
            real_take(self, identity, address, ask)

    Elections.take_vote_ask = take  # type: ignore[method-assign]
