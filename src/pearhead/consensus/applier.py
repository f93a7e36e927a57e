"""Advances the commit index and applies committed entries to the state machine."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pearhead.consensus.log import KIND_COMMAND, KIND_MEMBERS
from pearhead.consensus.proposals import PendingProposals
from pearhead.consensus.snapshot_store import SnapshotStore
from pearhead.consensus.state import RaftState, StateMachine
from pearhead.rpc.wire_pb2 import Entry


class Applier:
    """Applies each committed entry once, in log order, and notifies listeners."""

    def __init__(
        self, state: RaftState, machine: StateMachine, proposals: PendingProposals, snapshots: SnapshotStore
    ) -> None:
        self.state = state
        self.machine = machine
        self.proposals = proposals
        self.snapshots = snapshots
        self.membership_listeners: list[Callable[[Entry], None]] = []
        self.commit_listeners: list[Callable[[], None]] = []

    def commit_to(self, index: int) -> None:
        """Commits and applies all entries up to this index, as far as the log reaches."""
        log = self.state.log
        self.state.commit_index = max(self.state.commit_index, min(index, log.last_index()))
        while self.state.applied_index < self.state.commit_index:
            entry = log.entry_at(self.state.applied_index + 1)
            assert entry is not None
            self._apply(entry)
        for listener in self.commit_listeners:
            listener()
        self.snapshots.snapshot_if_due()

    def _apply(self, entry: Entry) -> None:
        outcome: Any = self.machine.apply(entry.index, entry.payload) if entry.kind == KIND_COMMAND else None
        self.state.applied_index = entry.index
        self.snapshots.count_applied_entry(entry)
        self.proposals.resolve(entry, outcome)
        if entry.kind == KIND_MEMBERS:
            for listener in self.membership_listeners:
                listener(entry)
