"""Mutations of the control plane (§9.8): one or more broken builds for each check of the control scenarios."""

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
RARE_SEND_INTERVAL_MICROS = 30 * SECOND  # Longer than any partition of the scenarios.


@dataclass(frozen=True)
class Mutation:
    """A broken build: `apply_patch` applies it, and `scenario` must end with a breach of the check `expected_check`."""

    apply_patch: MutationPatch
    scenario: str
    expected_check: str


CONTROL_MUTATIONS: dict[str, Mutation] = {}


def mutation(scenario: str, expected_check: str) -> Callable[[MutationPatch], MutationPatch]:
    """Registers a control plane mutation under the function's name.

    `scenario` is the run that must expose it, `expected_check` the check that must report a breach there.
    """

    def register(apply_patch: MutationPatch) -> MutationPatch:
        CONTROL_MUTATIONS[apply_patch.__name__] = Mutation(apply_patch, scenario, expected_check)
        return apply_patch

    return register


@mutation("operators-contend", "orders")
def second_content_taken(fleet: SimFleet) -> None:
    """Two changes of different content are both applied under one number.

    Only the leader's check before the log is left, and concurrent changes may both pass that.
    """
    real_apply_change = FleetState._apply_change

    def apply(self: FleetState, index: int, command: ChangeDescription) -> dict[str, Any]:
        if not self.has_applied_change(command):
            self.description_number = command.base_number = command.number - 1
            command.checked_revision = self.description_revision
        return real_apply_change(self, index, command)

    FleetState._apply_change = apply  # type: ignore[method-assign]


@mutation("operators-contend", "orders")
def repeats_refused(fleet: SimFleet) -> None:
    """A repeat of an applied change is not recognized as such, and is refused."""
    FleetState.has_applied_change = lambda self, command: False  # type: ignore[method-assign]


@mutation("operators-contend", "orders")
def taken_changes_left_out_of_digests(fleet: SimFleet) -> None:
    """Snapshots restore without the applied changes.

    A member that started from a snapshot recognizes no repeat of what was applied before it.
    """
    real_load_snapshot = FleetState.load_snapshot

    def load_snapshot(self: FleetState, snapshot_bytes: bytes) -> None:
        real_load_snapshot(self, snapshot_bytes)
        self.retained_changes = OrderedDict()

    FleetState.load_snapshot = load_snapshot  # type: ignore[method-assign]


@mutation("leader-cut-off", "orders")
def description_read_unconfirmed(fleet: SimFleet) -> None:
    """A leader that lost its followers still answers reads of the description, from its own stale state."""

    async def confirm_leadership() -> bool:
        return True

    def change(core: CoreProcess) -> None:
        real_start = core.start

        async def start() -> None:
            await real_start()
            core.raft.confirm_leadership = confirm_leadership  # type: ignore[method-assign]

        core.start = start  # type: ignore[method-assign]

    vars(replication)["CONTACT_TIMEOUT_MICROS"] = UNBOUNDED_MICROS
    fleet.core_patch = change


@mutation("leader-cut-off", "late answer")
def silence_unnoticed(fleet: SimFleet) -> None:
    """A leader that no follower answers does not step down, and requests to it are kept waiting."""
    vars(replication)["CONTACT_TIMEOUT_MICROS"] = UNBOUNDED_MICROS


@mutation("follower-cut-off", "old configuration")
def cores_out_of_reach_not_counted(fleet: SimFleet) -> None:
    """A node requires a majority of the cores that it can reach, instead of a majority of all members."""

    def change(node: NodeProcess) -> None:
        name = node.startup.address.partition(":")[0]
        real_apply_members = node.view_replica._apply_members

        def apply_members(result: TermResult) -> None:
            real_apply_members(result)
            membership = node.view_replica.membership
            reachable_members = [
                m for m in membership.members.member if not fleet.world.is_cut(m.address.partition(":")[0], name)
            ]
            node.view_replica.membership = Membership(0, Members(member=reachable_members))

        node.view_replica._apply_members = apply_members  # type: ignore[method-assign]

    fleet.node_patch = change


@mutation("leader-cut-off", "disturbed")
def votes_without_trial(fleet: SimFleet) -> None:
    """Elections start without a pre-vote.

    An isolated core raises its term again and again, and the other cores' term when it is back.
    """
    real_start = Elections.start

    def start(self: Elections, is_pre_vote: bool, is_transfer: bool) -> None:
        real_start(self, False, is_transfer)

    Elections.start = start  # type: ignore[method-assign]


@mutation("leader-cut-off", "not in step")
def silent_members_asked_seldom(fleet: SimFleet) -> None:
    """The leader sends to a follower that was silent for over 1 s only every 30 s."""
    real_send_append = LeaderReplication.send_append

    def send_append(self: LeaderReplication, follower_identity: str, is_heartbeat: bool = False) -> None:
        follower = self.state.followers[follower_identity]
        now_micros = self.clock.now()
        is_silent = now_micros - follower.last_contact_micros > SECOND
        if not is_silent or now_micros - follower.sent_micros > RARE_SEND_INTERVAL_MICROS:
            real_send_append(self, follower_identity, is_heartbeat)

    LeaderReplication.send_append = send_append  # type: ignore[method-assign]


@mutation("losses-as-soon-as-settled", "not led in time")
def successors_never_vote(fleet: SimFleet) -> None:
    """A learner never replaces a voter that is silent or leaves."""
    real_choose_replacement_voter = MembershipController._choose_replacement_voter

    def choose_replacement_voter(self: MembershipController, outgoing: str) -> str | None:
        return None if outgoing else real_choose_replacement_voter(self, outgoing)

    MembershipController._choose_replacement_voter = choose_replacement_voter  # type: ignore[method-assign]


@mutation("losses-after-a-planned-replacement", "not led in time")
def leavers_counted_on(fleet: SimFleet) -> None:
    """A planned replacement adds a voter, and raises the target number of voters for good.

    A core that leaves keeps its vote and only hands over leadership: it counts as a voter until it is removed as lost.
    """
    real_reconcile_once = MembershipController._reconcile_once

    async def leave(self: MembershipController) -> None:
        self.raft.transfer_leadership()

    def target_voter_count(self: MembershipController) -> int:
        members = self.raft.members()
        are_all_responsive = all(self._is_responsive(m.identity) for m in members.member)
        return max(members.wanted, len(members.member) if are_all_responsive else 0)

    async def reconcile_once(self: MembershipController) -> bool:
        vars(membership_controller)["EXCHANGE_MICROS"] = self.startup.lostAfterMicros * MEMBER_REMOVAL_FACTOR
        return await real_reconcile_once(self)

    MembershipController.leave = leave  # type: ignore[method-assign]
    MembershipController.target_voter_count = target_voter_count  # type: ignore[method-assign]
    MembershipController._reconcile_once = reconcile_once  # type: ignore[method-assign]


@mutation("follower-cut-off", "late answer")
def relays_waited_for_long(fleet: SimFleet) -> None:
    """A core that forwards a request waits 5 s for the leader's result, longer than an answer may take."""

    async def ask_leader(self: CoreProcess, body_name: str, body: Message, limit_micros: int) -> Result[Any, str]:
        return await self.rpc_endpoint.call(self.raft.leader_address(), body_name, body, 5 * SECOND)

    CoreProcess._ask_leader = ask_leader  # type: ignore[method-assign]


@mutation("repeats-after-hundreds-of-changes", "orders")
def few_changes_remembered(fleet: SimFleet) -> None:
    """Cores remember only the last 256 changes, and take a repeat of an older one for a new, conflicting change."""
    vars(fleet_module)["TAKEN_LIMIT"] = 256
    FleetState.is_beyond_retained_changes = lambda self, command: False  # type: ignore[method-assign]


@mutation("survivors-of-unlike-logs", "not led in time")
def asked_epochs_adopted(fleet: SimFleet) -> None:
    """A refused pre-vote is answered with the term that was asked for, instead of the voter's own.

    The candidate adopts that term, although nobody was elected in it.
    """

    def answer(self: Elections, address: str, ask: VoteAsk, is_granted: bool) -> None:
        term = ask.epoch if ask.trial and not is_granted else self.state.term
        result = VoteResult(epoch=term, granted=is_granted, trial=ask.trial, asked=ask.epoch)
        self.send(address, "vote_result", result)

    Elections.answer = answer  # type: ignore[method-assign]


@mutation("promotion-known-to-one-alone", "not led in time")
def votes_by_own_list(fleet: SimFleet) -> None:
    """A member whose log lacks the promotion of a voter does not answer that voter's vote requests."""
    real_take_vote_ask = Elections.take_vote_ask

    def take_vote_ask(self: Elections, identity: str, address: str, ask: VoteAsk) -> None:
        if identity in self.state.log.membership().voters:
            real_take_vote_ask(self, identity, address, ask)

    Elections.take_vote_ask = take_vote_ask  # type: ignore[method-assign]
