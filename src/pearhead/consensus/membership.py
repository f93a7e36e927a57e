"""Membership (§4.1): who votes, and when enough of them agree, also while a joint change is under way."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import cached_property

from pearhead.rpc.wire_pb2 import Entry, Member, Members


@dataclass(frozen=True)
class Membership:
    """The members by one entry of the log. Immutable; the entry of a joint change needs two majorities."""

    index: int
    members: Members

    @cached_property
    def voter_sets(self) -> tuple[frozenset[str], ...]:
        """The sets of which each must agree by its own majority: one, or two during a joint change."""
        incoming = frozenset(m.identity for m in self.members.member if m.voter)
        if not self.members.joint:
            return (incoming,)
        return (incoming, frozenset(m.identity for m in self.members.member if m.outgoing))

    @cached_property
    def voters(self) -> dict[str, str]:
        """Addresses by identity of all who vote, in either set."""
        every = frozenset().union(*self.voter_sets)
        return {m.identity: m.address for m in self.members.member if m.identity in every}

    @cached_property
    def addresses(self) -> dict[str, str]:
        """Addresses by identity, learners among them."""
        return {m.identity: m.address for m in self.members.member}

    @property
    def is_joint(self) -> bool:
        """Whether a change is under way that a second entry must end."""
        return self.members.joint

    def has_quorum(self, agreeing: Collection[str]) -> bool:
        """Whether these identities hold a majority of each set of voters; never true where nobody votes."""
        held = set(agreeing)
        return all(len(held & voters) > len(voters) // 2 for voters in self.voter_sets)

    def quorum_value(self, value_of: Callable[[str], int]) -> int:
        """The highest value that a majority of each set has reached."""
        return min(_majority_value(sorted(map(value_of, voters), reverse=True)) for voters in self.voter_sets)


def _majority_value(values: list[int]) -> int:
    return values[len(values) // 2] if values else 0


def make_joint(present: Members, changed: Members) -> Members:
    """The first of the two entries that lead from the present voters to others (Raft's joint consensus)."""
    joint = Members(wanted=changed.wanted, joint=True)
    outgoing = {m.identity: m for m in present.member if m.voter}
    for member in changed.member:
        added = Member()
        added.CopyFrom(member)
        added.outgoing = member.identity in outgoing
        joint.member.append(added)
    listed = {m.identity for m in changed.member}
    for identity, member in outgoing.items():
        if identity not in listed:
            gone = Member()
            gone.CopyFrom(member)
            gone.voter, gone.outgoing = False, True
            joint.member.append(gone)
    return joint


def end_joint(joint: Members) -> Members:
    """The second entry: the incoming voters alone; who voted before and does no more stays as a learner."""
    ended = Members(wanted=joint.wanted)
    for member in joint.member:
        kept = Member()
        kept.CopyFrom(member)
        kept.outgoing = False
        ended.member.append(kept)
    return ended


def list_memberships(base: Membership, entries: Collection[Entry], kind: int) -> list[Membership]:
    """The base and all later ones in a log, oldest first; entries of members are those of this kind."""
    later = [Membership(e.index, Members.FromString(e.payload)) for e in entries if e.kind == kind]
    return [base, *later]
