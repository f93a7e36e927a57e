"""The state that all parts of one Raft member share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from google.protobuf.message import Message

from pearhead.consensus.follower import Follower
from pearhead.consensus.log import RaftLog

# Sends a message: the address, the name of the message's type, and the message.
Send = Callable[[str, str, Message], None]


class StateMachine(Protocol):
    """What the committed commands are applied to."""

    def apply(self, index: int, command_bytes: bytes) -> Any:
        """Applies a committed command and returns its outcome."""

    def take_digest(self) -> bytes:
        """The whole state, for a snapshot."""

    def load_digest(self, digest_bytes: bytes) -> None:
        """Replaces the whole state by that of a snapshot."""


class Role(StrEnum):
    """The three roles of Raft; a learner is a follower whom no membership names as a voter."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass
class RaftState:
    """Term, vote, role, log and indexes of a member; on the leader also what it knows of each follower."""

    identity: str
    log: RaftLog = field(default_factory=RaftLog)
    term: int = 0
    voted_for: str = ""
    role: Role = Role.FOLLOWER
    leader_identity: str = ""
    commit_index: int = 0
    applied_index: int = 0
    # While a snapshot from the leader is written, the log is of no use.
    is_installing_snapshot: bool = False
    followers: dict[str, Follower] = field(default_factory=dict)
    # Numbers the rounds of messages to followers; an answer tells the round of what it answers.
    round_number: int = 0

    def is_leader(self) -> bool:
        """Whether this member leads, as far as it knows."""
        return self.role == Role.LEADER

    def is_settled(self) -> bool:
        """Whether this member leads and has committed an entry of its own term."""
        return self.is_leader() and self.log.term_at(self.commit_index) == self.term

    def best_follower(self, candidates: list[str]) -> str:
        """The identity among these followers that holds the most of the log."""
        return max(candidates, key=lambda identity: (self.followers[identity].match_index, identity))
