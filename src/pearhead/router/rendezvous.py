"""Rendezvous hashing (§7.2): which node does a task that one should do, agreed on by all that know the same nodes."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache


@lru_cache(maxsize=65_536)
def rendezvous_score(identity: str, subject: str) -> bytes:
    """A node's score for a subject. The highest comes first; the order of the others stays when a node leaves."""
    return hashlib.blake2b(f"{identity}/{subject}".encode(), digest_size=8).digest()


def rendezvous_rank(identity: str, others: Iterable[str], subject: str) -> int:
    """How many of the other nodes come before this one; 0 means that it is the first."""
    own_score = rendezvous_score(identity, subject)
    return sum(rendezvous_score(other, subject) > own_score for other in set(others) if other != identity)


class RankCache:
    """Caches one node's ranks until the other nodes change; ranks are needed many times a second."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.others: list[str] = []
        self.ranks: dict[str, int] = {}

    def rank(self, others: list[str], subject: str) -> int:
        """Returns the same as `rendezvous_rank`."""
        if others != self.others:
            self.others, self.ranks = others, {}
        rank = self.ranks.get(subject)
        if rank is None:
            rank = self.ranks[subject] = rendezvous_rank(self.identity, others, subject)
        return rank
