"""The election timeout: when a member without a leader starts an election."""

from __future__ import annotations

import random

from pearhead.runtime.clock import MILLI, Clock

HEARTBEAT_INTERVAL_MICROS = 100 * MILLI
ELECTION_TIMEOUT_MICROS = 500 * MILLI
ELECTION_SPREAD_MICROS = 400 * MILLI
# While a leader was heard within this time, requests for votes are refused, except in a leadership transfer. It is
# shorter than the election timeout, because heartbeats reach some followers later than others, and that must not cost
# a round of votes.
LEADER_PRESENT_MICROS = ELECTION_TIMEOUT_MICROS - HEARTBEAT_INTERVAL_MICROS
# A vote takes two disk syncs, the candidate's and the voter's; a pre-vote takes none.
PRE_VOTE_RETRY_MICROS, VOTE_RETRY_MICROS = 200 * MILLI, 350 * MILLI
RETRY_SPREAD_MICROS = 250 * MILLI


class ElectionTimer:
    """The randomized election deadline, and the time of the last contact with the leader; times in microseconds."""

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self.clock = clock
        self.random_source = random_source
        self.deadline_micros = 0
        self.last_leader_contact_micros = -ELECTION_TIMEOUT_MICROS

    def reset(self) -> None:
        """Sets the deadline to a full randomized election timeout from now."""
        wait_micros = ELECTION_TIMEOUT_MICROS + self.random_source.randrange(ELECTION_SPREAD_MICROS)
        self.deadline_micros = self.clock.now() + wait_micros

    def expire(self) -> None:
        """Sets the deadline to now."""
        self.deadline_micros = self.clock.now()

    def retry_soon(self, is_pre_vote: bool) -> None:
        """Sets the deadline to a short randomized delay from now, for the next attempt.

        A pre-vote disturbs no other member, so one that came too early or was lost costs only this delay.
        """
        wait_micros = PRE_VOTE_RETRY_MICROS if is_pre_vote else VOTE_RETRY_MICROS
        self.deadline_micros = self.clock.now() + wait_micros + self.random_source.randrange(RETRY_SPREAD_MICROS)

    def record_leader_contact(self) -> None:
        """Records a message from the leader and resets the deadline."""
        self.last_leader_contact_micros = self.clock.now()
        self.reset()

    def is_expired(self) -> bool:
        """Whether the deadline has passed."""
        return self.clock.now() >= self.deadline_micros

    def is_leader_present(self) -> bool:
        """Whether a leader was heard so recently that no other member should be elected."""
        return self.clock.now() - self.last_leader_contact_micros < LEADER_PRESENT_MICROS
