"""The proposals of a leader that are not applied yet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from pearhead.rpc.wire_pb2 import Entry

NOT_LEADER = "not the leader"
OUTCOME_UNKNOWN = "outcome unknown"

# The index of the committed entry and the outcome that the state machine returned, or the reason of a failure.
ProposalResult = Result[tuple[int, Any], str]
Proposal = asyncio.Future[ProposalResult]


@dataclass(frozen=True)
class PendingProposal:
    """The future of a proposal, and the term in which its entry was appended."""

    term: int
    future: Proposal


def refuse_proposal() -> Proposal:
    """A proposal that failed with NOT_LEADER without being appended."""
    refused: Proposal = asyncio.get_running_loop().create_future()
    refused.set_result(Err(NOT_LEADER))
    return refused


class PendingProposals:
    """Proposals that wait until their entry is applied, by index."""

    def __init__(self) -> None:
        self.by_index: dict[int, PendingProposal] = {}

    def add(self, index: int, term: int) -> Proposal:
        """Registers a proposal; the future completes when the entry with this index is applied."""
        future: Proposal = asyncio.get_running_loop().create_future()
        self.by_index[index] = PendingProposal(term, future)
        return future

    def resolve(self, entry: Entry, outcome: Any) -> None:
        """Completes the proposal of an applied entry.

        If the applied entry is of another term, it is not the proposed one, whose outcome is then unknown.
        """
        pending = self.by_index.pop(entry.index, None)
        if pending is None or pending.future.done():
            return
        is_own = pending.term == entry.epoch
        pending.future.set_result(Ok((entry.index, outcome)) if is_own else Err(OUTCOME_UNKNOWN))

    def fail_all(self) -> None:
        """Completes all proposals with OUTCOME_UNKNOWN after a loss of leadership: others may still commit them."""
        for pending in self.by_index.values():
            if not pending.future.done():
                pending.future.set_result(Err(OUTCOME_UNKNOWN))
        self.by_index = {}
