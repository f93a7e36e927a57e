"""When a follower that hears no leader stands for election."""

from __future__ import annotations

import random

from pearhead.runtime.clock import MILLI, Clock

HEARTBEAT_INTERVAL_MICROS = 100 * MILLI
ELECTION_TIMEOUT_MICROS = 500 * MILLI
ELECTION_SPREAD_MICROS = 400 * MILLI
# Heartbeats reach one follower later than another: that must not cost a round of votes.
LEADER_PRESENT_MICROS = ELECTION_TIMEOUT_MICROS - HEARTBEAT_INTERVAL_MICROS
# A vote needs two syncs, a pre-vote none.
PRE_VOTE_RETRY_MICROS, VOTE_RETRY_MICROS = 200 * MILLI, 350 * MILLI
RETRY_SPREAD_MICROS = 250 * MILLI


class ElectionTimer:
    """The randomized election deadline, and when the leader was heard last."""

    def __init__(self, clock: Clock, random_source: random.Random) -> None:
        self.clock = clock
        self.random_source = random_source
        self.deadline_micros = 0
        self.heard_leader_micros = -ELECTION_TIMEOUT_MICROS

    def reset(self) -> None:
        """Puts the deadline off by a whole randomized timeout."""
        wait_micros = ELECTION_TIMEOUT_MICROS + self.random_source.randrange(ELECTION_SPREAD_MICROS)
        self.deadline_micros = self.clock.now() + wait_micros

    def expire(self) -> None:
        """Lets the deadline be now."""
        self.deadline_micros = self.clock.now()

    def retry_soon(self, is_pre_vote: bool) -> None:
        """A pre-vote disturbs nobody, so one that came too early or was lost costs only this much."""
        wait_micros = PRE_VOTE_RETRY_MICROS if is_pre_vote else VOTE_RETRY_MICROS
        self.deadline_micros = self.clock.now() + wait_micros + self.random_source.randrange(RETRY_SPREAD_MICROS)

    def record_leader_contact(self) -> None:
        """The leader was heard."""
        self.heard_leader_micros = self.clock.now()
        self.reset()

    def is_expired(self) -> bool:
        """Whether the deadline has passed."""
        return self.clock.now() >= self.deadline_micros

    def is_leader_present(self) -> bool:
        """Whether a leader was heard so recently that nobody else should be elected."""
        return self.clock.now() - self.heard_leader_micros < LEADER_PRESENT_MICROS
