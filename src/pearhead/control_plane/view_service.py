"""A core's answers to nodes, the routers (§5.2, §5.3): the view, and the last index of its log that changes the view.

Nodes learn from such answers of a majority of cores whether the view that they have is current.
"""

from __future__ import annotations

from pearhead.consensus.log import KIND_COMMAND
from pearhead.consensus.raft import RaftMember
from pearhead.control_plane.fleet_state import FleetState
from pearhead.rpc.delta_compression import DeltaCompressor
from pearhead.rpc.wire_pb2 import Entry, TermAsk, TermResult


class ViewService:
    """Answers nodes from this core's log and state alone; only the answers of a majority show what is current."""

    def __init__(self, identity: str, raft: RaftMember, fleet: FleetState) -> None:
        self.identity = identity
        self.raft = raft
        self.fleet = fleet
        self.delta_compressor = DeltaCompressor()
        self.view_changes_by_position: dict[tuple[int, int], bool] = {}

    def on_leadership_change(self, leads: bool) -> None:
        """Drops the delta that was cached under the earlier leadership."""
        self.delta_compressor = DeltaCompressor()

    def last_visible_index(self) -> int:
        """The last index in this log that changes the view of the nodes, committed or not."""
        for index in range(self.raft.last_index(), self.raft.applied_index, -1):
            entry = self.raft.entry_at(index)
            if entry is not None and entry.kind == KIND_COMMAND and self._changes_view(entry):
                return index
        return self.fleet.visible_index

    def _changes_view(self, entry: Entry) -> bool:
        """Whether an entry changes the view; each entry is parsed only once.

        Every node asks about three times a second (half as often in a large fleet), and commands may be large.
        """
        position = (entry.epoch, entry.index)
        if position not in self.view_changes_by_position:
            self.view_changes_by_position = {
                known_position: is_change
                for known_position, is_change in self.view_changes_by_position.items()
                if known_position[1] > self.raft.applied_index
            }
            self.view_changes_by_position[position] = FleetState.changes_view(entry.payload)
        return self.view_changes_by_position[position]

    async def make_term_result(self, identity: str, address: str, ask: TermAsk) -> TermResult:
        """The members, the last visible index, and the changes that the node's view lacks, if it asks for them."""
        membership = self.raft.membership()
        result = TermResult(
            member=self.identity in membership.voters,
            last_visible_index=self.last_visible_index(),
            members=membership.members,
            members_index=membership.index,
        )
        self.delta_compressor.put(result, self.fleet.delta_since(ask.have_index, ask.have_hash))
        return result
