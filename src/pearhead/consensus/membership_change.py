"""Membership changes: of at most one voter by a single entry, of several by joint consensus (§4.1)."""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from pearhead.consensus.leadership_transfer import LeadershipTransfer
from pearhead.consensus.log import KIND_MEMBERS
from pearhead.consensus.membership import end_joint, make_joint
from pearhead.consensus.proposals import NOT_LEADER, Proposal, ProposalResult
from pearhead.consensus.roles import RoleChanges
from pearhead.consensus.state import RaftState
from pearhead.rpc.wire_pb2 import Entry, Members

CHANGE_IN_PROGRESS = "another change of members is under way"

Propose = Callable[[bytes, int], Proposal]
MembersWatcher = Callable[[int, Members], None]


class MembershipChanges:
    """Makes membership changes on the leader, one at a time."""

    def __init__(self, state: RaftState, roles: RoleChanges, transfer: LeadershipTransfer, propose: Propose) -> None:
        self.state = state
        self.roles = roles
        self.transfer = transfer
        self.propose = propose
        self.joint_end_proposal: Proposal | None = None
        self.watchers: list[MembersWatcher] = []

    async def change(self, changed: Members) -> ProposalResult:
        """Changes the members to these; returns once the whole change is applied.

        The result is an error if this member does not lead or has not committed an entry of its own term yet, if
        another change is in progress, if `propose` refuses the entry, or if leadership is lost meanwhile.
        """
        if not self.state.is_settled():
            return Err(NOT_LEADER)
        latest = self.state.log.membership()
        if latest.index > self.state.commit_index or latest.is_joint:
            return Err(CHANGE_IN_PROGRESS)
        changed_voters = {m.identity for m in changed.member if m.voter}
        if len(latest.voters.keys() ^ changed_voters) <= 1:
            return await self._propose_members(changed)
        joint_result = await self._propose_members(make_joint(latest.members, changed))
        if isinstance(joint_result, Err) or self.joint_end_proposal is None:
            return joint_result
        return await self.joint_end_proposal

    def end_joint_change(self) -> None:
        """Proposes the end of a joint change once its first entry is committed, even if another leader began it."""
        latest = self.state.log.membership()
        if latest.is_joint and latest.index <= self.state.commit_index and self.state.is_settled():
            self.joint_end_proposal = self._propose_members(end_joint(latest.members))

    def handle_committed_members(self, entry: Entry) -> None:
        """Handles a committed membership: the leader notifies watchers, and steps down if it is no longer a voter."""
        if not self.state.is_leader():
            return
        for watcher in self.watchers:
            watcher(entry.index, Members.FromString(entry.payload))
        if self.state.is_leader() and self.state.identity not in self.state.log.membership().voters:
            self.transfer.transfer_at_once()
            self.roles.step_down()

    def _propose_members(self, members: Members) -> Proposal:
        return self.propose(members.SerializeToString(), KIND_MEMBERS)
