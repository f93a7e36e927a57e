"""Changes of role: a member becomes leader or follower, and who needs to know is told."""

from __future__ import annotations

import logging
from collections.abc import Callable

from pearhead.consensus.election_timer import ElectionTimer
from pearhead.consensus.persistence import LogWriter, do_nothing
from pearhead.consensus.state import RaftState, Role

LOGGER = logging.getLogger("pearhead")


class RoleChanges:
    """Makes each change of role; listeners run in the order of their registration."""

    def __init__(self, state: RaftState, writer: LogWriter, timer: ElectionTimer) -> None:
        self.state = state
        self.writer = writer
        self.timer = timer
        self.leadership_listeners: list[Callable[[], None]] = []
        self.step_down_listeners: list[Callable[[], None]] = []

    def become_leader(self) -> None:
        """Begins to lead in the present term, whose votes have been counted."""
        LOGGER.info("consensus: Leads. epoch=%d", self.state.term)
        self.state.role = Role.LEADER
        self.state.leader_identity = self.state.identity
        for listener in self.leadership_listeners:
            listener()

    def become_follower(self, term: int, leader_identity: str = "") -> None:
        """Follows, in this term if it is newer; the leader may not be known yet."""
        was_leader = self.state.is_leader()
        if term > self.state.term:
            self.state.term = term
            self.state.voted_for = ""
            self.writer.persist_vote(do_nothing)
        if self.state.role != Role.FOLLOWER:
            self.timer.reset()
        self.state.role = Role.FOLLOWER
        self.state.leader_identity = leader_identity
        if was_leader:
            for listener in self.step_down_listeners:
                listener()

    def step_down(self) -> None:
        """Gives up leadership within the present term."""
        self.become_follower(self.state.term)

    def follow(self, term: int, leader_identity: str) -> None:
        """A message from the leader of a term that is not older than the present one came."""
        is_known = self.state.leader_identity == leader_identity
        if term > self.state.term or self.state.role != Role.FOLLOWER or not is_known:
            self.become_follower(term, leader_identity)
        self.timer.record_leader_contact()
