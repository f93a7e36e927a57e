"""The state shared by all components of one Raft member."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from google.protobuf.message import Message

from pearhead.consensus.follower import Follower
from pearhead.consensus.log import RaftLog

# Sends a message; takes the target address, the message's field name in the envelope ("vote_ask"), and the message.
Send = Callable[[str, str, Message], None]


class StateMachine(Protocol):
    """The application state that committed commands are applied to, in the same order on every member."""

    def apply(self, index: int, command_bytes: bytes) -> Any:
        """Applies a committed command and returns its outcome."""

    def build_snapshot(self) -> bytes:
        """Serializes the whole state for a snapshot."""

    def load_snapshot(self, snapshot_bytes: bytes) -> None:
        """Replaces the whole state with that of a snapshot."""


class Role(StrEnum):
    """The three roles of Raft; a learner is a follower that the membership does not list as a voter."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class RaftState:
    """Term, vote, role, log and indexes of a member; on the leader also its view of each follower."""

    identity: str
    log: RaftLog = field(default_factory=RaftLog)
    term: int = 0
    voted_for: str = ""
    role: Role = Role.FOLLOWER
    leader_identity: str = ""
    commit_index: int = 0
    applied_index: int = 0
    # While a snapshot from the leader is being written to disk, the log is about to be replaced: the member accepts no
    # entries and starts no election.
    is_installing_snapshot: bool = False
    followers: dict[str, Follower] = field(default_factory=dict)
    # The current round of messages to followers. A response carries the round of the message that it answers.
    round_number: int = 0

    def is_leader(self) -> bool:
        """Whether this member considers itself the leader; it may have been replaced without knowing it yet."""
        return self.role == Role.LEADER

    def is_settled(self) -> bool:
        """Whether this member leads and has committed an entry of its own term."""
        return self.is_leader() and self.log.term_at(self.commit_index) == self.term

    def best_follower(self, candidates: list[str]) -> str:
        """The identity of the follower that holds the most of the log; the greater identity wins a tie."""
        return max(candidates, key=lambda identity: (self.followers[identity].match_index, identity))
