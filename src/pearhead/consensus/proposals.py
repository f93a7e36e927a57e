"""What a leader has proposed and is not committed yet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from pearhead.rpc.wire_pb2 import Entry

NOT_LEADER = "not the leader"
OUTCOME_UNKNOWN = "outcome unknown"

# The index of the committed entry and what the state machine made of it, or why it was not committed.
ProposalResult = Result[tuple[int, Any], str]
Proposal = asyncio.Future[ProposalResult]


@dataclass(frozen=True)
class PendingProposal:
    """A proposal and the term in which its entry was appended."""

    term: int
    future: Proposal


def refuse_proposal() -> Proposal:
    """A proposal that was never appended, because this member does not lead or cannot write."""
    refused: Proposal = asyncio.get_running_loop().create_future()
    refused.set_result(Err(NOT_LEADER))
    return refused


class PendingProposals:
    """The proposals that wait for their commit, by index."""

    def __init__(self) -> None:
        self.by_index: dict[int, PendingProposal] = {}

    def add(self, index: int, term: int) -> Proposal:
        """Begins to wait for the entry with this index."""
        future: Proposal = asyncio.get_running_loop().create_future()
        self.by_index[index] = PendingProposal(term, future)
        return future

    def resolve(self, entry: Entry, outcome: Any) -> None:
        """An entry was applied; if it is of another term, the proposed one may be anywhere."""
        pending = self.by_index.pop(entry.index, None)
        if pending is None or pending.future.done():
            return
        is_own = pending.term == entry.epoch
        pending.future.set_result(Ok((entry.index, outcome)) if is_own else Err(OUTCOME_UNKNOWN))

    def fail_all(self) -> None:
        """This member leads no more: others may commit what it proposed, or not."""
        for pending in self.by_index.values():
            if not pending.future.done():
                pending.future.set_result(Err(OUTCOME_UNKNOWN))
        self.by_index = {}
