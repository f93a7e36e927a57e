"""rendezvous_rank (§7.2): who does a thing that one node should do, told alike by all that know the same nodes."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache


@lru_cache(maxsize=65_536)
def rendezvous_score(identity: str, subject: str) -> bytes:
    """Rendezvous: the highest score goes first, and a node that goes changes nobody else's order."""
    return hashlib.blake2b(f"{identity}/{subject}".encode(), digest_size=8).digest()


def rendezvous_rank(identity: str, others: Iterable[str], subject: str) -> int:
    """How many of the others go before this node; zero is the first."""
    own_score = rendezvous_score(identity, subject)
    return sum(rendezvous_score(other, subject) > own_score for other in set(others) if other != identity)


class RankCache:
    """Ranks of one node, kept until the others change: they are asked for many times a second."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.others: list[str] = []
        self.ranks: dict[str, int] = {}

    def rank(self, others: list[str], subject: str) -> int:
        """As `rendezvous_rank`."""
        if others != self.others:
            self.others, self.ranks = others, {}
        found = self.ranks.get(subject)
        if found is None:
            found = self.ranks[subject] = rendezvous_rank(self.identity, others, subject)
        return found
