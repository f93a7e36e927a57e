"""Changes of members: of one voter by one entry, of several by joint consensus (§4.1)."""

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
    """The changes that this member makes as leader, one at a time."""

    def __init__(self, state: RaftState, roles: RoleChanges, transfer: LeadershipTransfer, propose: Propose) -> None:
        self.state = state
        self.roles = roles
        self.transfer = transfer
        self.propose = propose
        self.joint_end_proposal: Proposal | None = None
        self.watchers: list[MembersWatcher] = []

    async def change(self, changed: Members) -> ProposalResult:
        """Changes the members to these; returns when the change is whole."""
        if not self.state.is_settled():
            return Err(NOT_LEADER)
        present = self.state.log.membership()
        if present.index > self.state.commit_index or present.is_joint:
            return Err(CHANGE_IN_PROGRESS)
        changed_voters = {m.identity for m in changed.member if m.voter}
        if len(present.voters.keys() ^ changed_voters) <= 1:
            return await self._propose_members(changed)
        begun = await self._propose_members(make_joint(present.members, changed))
        if isinstance(begun, Err) or self.joint_end_proposal is None:
            return begun
        return await self.joint_end_proposal

    def end_joint_change(self) -> None:
        """Ends a joint change as soon as its first entry is committed, whoever began it."""
        present = self.state.log.membership()
        if present.is_joint and present.index <= self.state.commit_index and self.state.is_settled():
            self.joint_end_proposal = self._propose_members(end_joint(present.members))

    def handle_committed_members(self, entry: Entry) -> None:
        """Members were committed: a leader tells them, and steps down if it is no voter any more."""
        if not self.state.is_leader():
            return
        for watcher in self.watchers:
            watcher(entry.index, Members.FromString(entry.payload))
        if self.state.is_leader() and self.state.identity not in self.state.log.membership().voters:
            self.transfer.transfer_at_once()
            self.roles.step_down()

    def _propose_members(self, members: Members) -> Proposal:
        return self.propose(members.SerializeToString(), KIND_MEMBERS)
