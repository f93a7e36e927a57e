"""Memberships (§4.1): the voters and learners, and what a quorum is, also during joint consensus."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import cached_property

from pearhead.rpc.wire_pb2 import Entry, Member, Members


@dataclass(frozen=True)
class Membership:
    """The members defined by one log entry; immutable. During joint consensus, two majorities are needed."""

    index: int
    members: Members

    @cached_property
    def voter_sets(self) -> tuple[frozenset[str], ...]:
        """The sets of voters of which each needs its own majority: one, or two during a joint change."""
        incoming = frozenset(m.identity for m in self.members.member if m.voter)
        if not self.members.joint:
            return (incoming,)
        return (incoming, frozenset(m.identity for m in self.members.member if m.outgoing))

    @cached_property
    def voters(self) -> dict[str, str]:
        """Addresses of all voters by identity, in either set."""
        all_voters = frozenset().union(*self.voter_sets)
        return {m.identity: m.address for m in self.members.member if m.identity in all_voters}

    @cached_property
    def addresses(self) -> dict[str, str]:
        """Addresses of all members by identity, learners included."""
        return {m.identity: m.address for m in self.members.member}

    @property
    def is_joint(self) -> bool:
        """Whether a joint change is in progress, which a second entry must end."""
        return self.members.joint

    def has_quorum(self, agreeing: Collection[str]) -> bool:
        """Whether these identities include a majority of each set of voters; always False without voters."""
        agreeing_set = set(agreeing)
        return all(len(agreeing_set & voters) > len(voters) // 2 for voters in self.voter_sets)

    def quorum_value(self, value_of: Callable[[str], int]) -> int:
        """The highest value that a majority of each set of voters has reached; 0 without voters."""
        return min(_majority_value(sorted(map(value_of, voters), reverse=True)) for voters in self.voter_sets)


def _majority_value(values: list[int]) -> int:
    return values[len(values) // 2] if values else 0


def make_joint(present: Members, changed: Members) -> Members:
    """The members of the first of the two entries of Raft's joint consensus: both the present and the new voters."""
    joint = Members(wanted=changed.wanted, joint=True)
    outgoing = {m.identity: m for m in present.member if m.voter}
    for member in changed.member:
        joint_member = Member()
        joint_member.CopyFrom(member)
        joint_member.outgoing = member.identity in outgoing
        joint.member.append(joint_member)
    changed_identities = {m.identity for m in changed.member}
    for identity, member in outgoing.items():
        if identity not in changed_identities:
            removed_voter = Member()
            removed_voter.CopyFrom(member)
            removed_voter.voter, removed_voter.outgoing = False, True
            joint.member.append(removed_voter)
    return joint


def end_joint(joint: Members) -> Members:
    """The members of the second entry: only the new voters vote; voters that were removed stay as learners."""
    ended = Members(wanted=joint.wanted)
    for member in joint.member:
        kept = Member()
        kept.CopyFrom(member)
        kept.outgoing = False
        ended.member.append(kept)
    return ended


def list_memberships(base: Membership, entries: Collection[Entry], kind: int) -> list[Membership]:
    """The base membership and all later ones among the entries, oldest first; `kind` is that of membership entries."""
    later_memberships = [Membership(e.index, Members.FromString(e.payload)) for e in entries if e.kind == kind]
    return [base, *later_memberships]
