"""Transfers leadership to another voter without waiting for an election timeout."""

from __future__ import annotations

from pearhead.consensus.state import RaftState, Send
from pearhead.rpc.wire_pb2 import ElectNow
from pearhead.runtime.clock import SECOND, Clock

TRANSFER_TIMEOUT_MICROS = SECOND


class LeadershipTransfer:
    """The leadership transfer of this member as leader; while one is in progress, proposals are refused."""

    def __init__(self, state: RaftState, clock: Clock, send: Send) -> None:
        self.state = state
        self.clock = clock
        self.send = send
        self.deadline_micros: int | None = None
        self.target = ""

    def is_in_progress(self) -> bool:
        """Whether a transfer has been started and has neither ended nor timed out."""
        return self.deadline_micros is not None

    def start(self) -> bool:
        """Starts a transfer to the voter that holds the most of the log.

        Returns False if this member does not lead or there is no other voter.
        """
        if not self.state.is_leader():
            return False
        candidates = [i for i in self._voters() if i != self.state.identity and i in self.state.followers]
        if not candidates:
            return False
        self.target = self.state.best_follower(candidates)
        self.deadline_micros = self.clock.now() + TRANSFER_TIMEOUT_MICROS
        self.try_to_finish()
        return True

    def try_to_finish(self) -> None:
        """Tells the target to start an election if it holds the whole log."""
        if not self.is_in_progress() or not self.state.is_leader():
            return
        follower = self.state.followers.get(self.target)
        if follower is not None and follower.match_index == self.state.log.last_index():
            self._send_elect_now(self.target)

    def transfer_at_once(self) -> None:
        """Tells the most up-to-date voter to start an election, even if it lacks entries.

        For a leader that must step down and can't wait.
        """
        candidates = [i for i in self._voters() if i in self.state.followers]
        if candidates:
            self._send_elect_now(self.state.best_follower(candidates))

    def cancel(self) -> None:
        """Ends the transfer, if one is in progress."""
        self.deadline_micros = None

    def cancel_if_late(self) -> None:
        """Cancels a transfer whose target did not take over within TRANSFER_TIMEOUT_MICROS."""
        if self.deadline_micros is not None and self.clock.now() > self.deadline_micros:
            self.cancel()

    def _voters(self) -> dict[str, str]:
        return self.state.log.membership().voters

    def _send_elect_now(self, identity: str) -> None:
        self.send(self._voters()[identity], "elect_now", ElectNow(epoch=self.state.term))
