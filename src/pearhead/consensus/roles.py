"""Transitions of a member between leader and follower, and the listeners that are notified of them."""

from __future__ import annotations

import logging
from collections.abc import Callable

from pearhead.consensus.election_timer import ElectionTimer
from pearhead.consensus.persistence import LogWriter, do_nothing
from pearhead.consensus.state import RaftState, Role

LOGGER = logging.getLogger("pearhead")


class RoleChanges:
    """Performs role transitions; listeners run in the order of their registration."""

    def __init__(self, state: RaftState, writer: LogWriter, timer: ElectionTimer) -> None:
        self.state = state
        self.writer = writer
        self.timer = timer
        self.leadership_listeners: list[Callable[[], None]] = []
        self.step_down_listeners: list[Callable[[], None]] = []

    def become_leader(self) -> None:
        """Becomes the leader of the current term; the caller has counted a majority of its votes."""
        LOGGER.info("consensus: Became the leader. epoch=%d", self.state.term)
        self.state.role = Role.LEADER
        self.state.leader_identity = self.state.identity
        for listener in self.leadership_listeners:
            listener()

    def become_follower(self, term: int, leader_identity: str = "") -> None:
        """Becomes a follower, adopting the term if it is newer.

        `leader_identity` is empty while the leader of the term is unknown.
        """
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
        """Gives up leadership without changing the term."""
        self.become_follower(self.state.term)

    def follow(self, term: int, leader_identity: str) -> None:
        """Follows the leader that a message came from; its term must not be older than the current one."""
        is_known = self.state.leader_identity == leader_identity
        if term > self.state.term or self.state.role != Role.FOLLOWER or not is_known:
            self.become_follower(term, leader_identity)
        self.timer.record_leader_contact()
