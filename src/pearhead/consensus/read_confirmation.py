"""Confirms, before a read, that a majority still follows this leader (ReadIndex in Raft)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from pearhead.consensus.state import RaftState


@dataclass(frozen=True)
class PendingConfirmation:
    """A read that waits until a majority has answered messages of this round or a later one."""

    round_number: int
    future: asyncio.Future[bool]


class ReadConfirmations:
    """The reads that wait for responses from a majority."""

    def __init__(self, state: RaftState) -> None:
        self.state = state
        self.pending: list[PendingConfirmation] = []

    def begin(self) -> asyncio.Future[bool]:
        """Starts a new round; the future is True once a majority answered, or False when leadership is lost.

        The caller sends the messages of the round. Responses to earlier messages do not count.
        """
        self.state.round_number += 1
        confirmation: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.pending.append(PendingConfirmation(self.state.round_number, confirmation))
        return confirmation

    def resolve(self) -> None:
        """Confirms the reads of every round that a majority has answered."""
        if not self.pending:
            return
        quorum_round = self.state.log.membership().quorum_value(self._acknowledged_round)
        still_pending = []
        for confirmation in self.pending:
            if confirmation.round_number > quorum_round:
                still_pending.append(confirmation)
            elif not confirmation.future.done():
                confirmation.future.set_result(True)
        self.pending = still_pending

    def _acknowledged_round(self, identity: str) -> int:
        if identity == self.state.identity:
            return self.state.round_number
        return self.state.followers[identity].acknowledged_round

    def fail_all(self) -> None:
        """Completes all waiting reads as not confirmed, because leadership was lost."""
        for confirmation in self.pending:
            if not confirmation.future.done():
                confirmation.future.set_result(False)
        self.pending = []
