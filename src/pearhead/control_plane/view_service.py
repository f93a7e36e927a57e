"""ViewService (§5.2, §5.3): tells nodes what is in force, and the last index that a majority must have told them."""

from __future__ import annotations

from pearhead.consensus.log import KIND_COMMAND
from pearhead.consensus.raft import RaftMember
from pearhead.control_plane.fleet_state import FleetState
from pearhead.rpc.delta_compression import DeltaCompressor
from pearhead.rpc.wire_pb2 import Entry, TermAsk, TermResult


class ViewService:
    """Answers nodes from this core's log and state alone; that the answer is current, a majority of cores shows."""

    def __init__(self, identity: str, raft: RaftMember, fleet: FleetState) -> None:
        self.identity = identity
        self.raft = raft
        self.fleet = fleet
        self.packer = DeltaCompressor()
        self.view_changes_by_position: dict[tuple[int, int], bool] = {}

    def on_leadership_change(self, leads: bool) -> None:
        """What was packed for an earlier leader's nodes goes."""
        self.packer = DeltaCompressor()

    def last_visible_index(self) -> int:
        """The last index in this log that touches what nodes see, committed or not."""
        for index in range(self.raft.last_index(), self.raft.applied_index, -1):
            entry = self.raft.entry_at(index)
            if entry is not None and entry.kind == KIND_COMMAND and self._touches_view(entry):
                return index
        return self.fleet.visible_index

    def _touches_view(self, entry: Entry) -> bool:
        """Each node asks three times a second, and a command may be large: it is read once."""
        position = (entry.epoch, entry.index)
        if position not in self.view_changes_by_position:
            self.view_changes_by_position = {
                p: t for p, t in self.view_changes_by_position.items() if p[1] > self.raft.applied_index
            }
            self.view_changes_by_position[position] = FleetState.changes_view(entry.payload)
        return self.view_changes_by_position[position]

    async def make_term_result(self, identity: str, address: str, ask: TermAsk) -> TermResult:
        """The members, the last visible index, and what the node lacks, where it asks for that."""
        membership = self.raft.membership()
        result = TermResult(
            member=self.identity in membership.voters,
            last_visible_index=self.last_visible_index(),
            members=membership.members,
            members_index=membership.index,
        )
        self.packer.put(result, self.fleet.delta_since(ask.have_index, ask.have_hash))
        return result
