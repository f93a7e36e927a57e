"""KeptParts (§9.13): memory of a worker or a store by blocks, what is kept in it, and the events that tell of it."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass, replace

BLOCK_TOKENS = 16
EVENT_LIMIT = 4_000
EVENT_LAG_MICROS = 80_000

PartKey = tuple[str, str, str]


def count_blocks(tokens: int) -> int:
    return -(-tokens // BLOCK_TOKENS)


@dataclass
class KeptPart:
    """One part of a prompt, kept under a salt. `version` and `tenant`: how it was made; nobody outside is told.

    `tokens`: kept now, which may be fewer than it was made with. `pins`: running requests that stand on it.
    """

    salt: str
    model: str
    part: str
    tokens: int
    version: int
    tenant: str
    pins: int = 0

    @property
    def key(self) -> PartKey:
        return (self.salt, self.model, self.part)


@dataclass(frozen=True)
class PartEvent:
    number: int
    sign: str
    part: KeptPart
    visible_at: int
    is_lost: bool

    def row(self) -> list[object]:
        return [self.number, self.sign, self.part.salt, self.part.part, self.part.tokens, self.part.model]


@dataclass(frozen=True)
class EventPage:
    incarnation: int
    next_page: int
    is_dropped: bool
    events: list[list[object]]

    def body(self) -> dict[str, object]:
        return {
            "Incarnation": self.incarnation,
            "NextPage": self.next_page,
            "Dropped": self.is_dropped,
            "Events": self.events,
        }


class PartEventLog:
    """Numbered events of one life. They show late, a share of them never, and only the newest are kept."""

    def __init__(self, incarnation: int, chance: random.Random) -> None:
        self.incarnation = incarnation
        self.chance = chance
        self.lag_micros = EVENT_LAG_MICROS
        self.lost_share = 0.0
        self.number = 0
        self.events: deque[PartEvent] = deque(maxlen=EVENT_LIMIT)

    def append(self, now: int, sign: str, part: KeptPart) -> None:
        self.number += 1
        is_lost = self.chance.random() < self.lost_share
        self.events.append(PartEvent(self.number, sign, replace(part), now + self.lag_micros, is_lost))

    def next_visible_at(self, since: int) -> int | None:
        """When the first event after `since` shows; None if there is none yet."""
        return next((e.visible_at for e in self.events if e.number > since and not e.is_lost), None)

    def read(self, now: int, since: int) -> EventPage:
        shown = [e for e in self.events if e.number > since and e.visible_at <= now]
        oldest_number = self.events[0].number if self.events else self.number + 1
        is_dropped = since > self.number or since + 1 < oldest_number
        next_page = shown[-1].number if shown else min(since, self.number)
        return EventPage(self.incarnation, next_page, is_dropped, [e.row() for e in shown if not e.is_lost])


class PartCache:
    """Blocks of memory, shared by what running requests hold and by kept parts; the longest unused give way."""

    def __init__(self, total_tokens: int, events: PartEventLog) -> None:
        self.total_blocks = total_tokens // BLOCK_TOKENS
        self.used_blocks = 0
        self.events = events
        self.parts: OrderedDict[PartKey, KeptPart] = OrderedDict()

    def get(self, key: PartKey) -> KeptPart | None:
        return self.parts.get(key)

    def can_allocate(self, blocks: int) -> bool:
        """Whether so many blocks can be had once all that may give way has done so."""
        free_blocks = self.total_blocks - self.used_blocks
        return blocks <= free_blocks or blocks <= free_blocks + self.evictable_blocks()

    def allocate_blocks(self, now: int, blocks: int) -> bool:
        """Takes blocks for a running request; False, and nothing is taken, if they can't be had."""
        if not self.can_allocate(blocks):
            return False
        self._make_room(now, blocks)
        self.used_blocks += blocks
        return True

    def release_blocks(self, blocks: int) -> None:
        self.used_blocks -= blocks

    def insert(self, now: int, part: KeptPart, has_blocks: bool = False) -> KeptPart | None:
        """Keeps a part. One that is there already, and as long, stays as it was first made. None if there is no room.

        `has_blocks`: the blocks were taken before by the request that read the part.
        """
        existing = self.parts.get(part.key)
        blocks = count_blocks(part.tokens)
        if existing is not None and existing.tokens >= part.tokens:
            if has_blocks:
                self.release_blocks(blocks)
            return existing
        if not has_blocks and not self.allocate_blocks(now, blocks):
            return None
        existing = self.parts.get(part.key)
        if existing is not None:
            # The longer one takes its place; the shorter stays only while runs stand on it.
            self.parts.pop(existing.key, None)
            if not existing.pins:
                self.release_blocks(count_blocks(existing.tokens))
        self.parts[part.key] = part
        self.events.append(now, "+", part)
        return part

    def touch(self, parts: list[KeptPart]) -> None:
        """Marks parts as used, the first of a prompt last, so that its end gives way before its beginning."""
        for part in reversed(parts):
            if part.key in self.parts:
                self.parts.move_to_end(part.key)

    def pin(self, part: KeptPart) -> None:
        part.pins += 1

    def unpin(self, part: KeptPart) -> None:
        part.pins -= 1
        if not part.pins and self.parts.get(part.key) is not part:
            self.release_blocks(count_blocks(part.tokens))

    def clear(self, now: int) -> None:
        """Drops what is kept; what running requests stand on stays theirs until they end."""
        for part in list(self.parts.values()):
            self._evict(now, part)

    def list_rows(self) -> list[list[object]]:
        return [[p.salt, p.part, p.tokens, p.model] for p in self.parts.values()]

    def evictable_blocks(self) -> int:
        return sum(count_blocks(p.tokens) for p in self.parts.values() if not p.pins)

    def _evict(self, now: int, part: KeptPart) -> None:
        del self.parts[part.key]
        if not part.pins:
            self.release_blocks(count_blocks(part.tokens))
        self.events.append(now, "-", replace(part, tokens=0))

    def _make_room(self, now: int, blocks: int) -> None:
        if blocks <= self.total_blocks - self.used_blocks:
            return
        for part in list(self.parts.values()):
            missing_blocks = blocks - (self.total_blocks - self.used_blocks)
            if missing_blocks <= 0:
                return
            if part.pins:
                continue
            part_blocks = count_blocks(part.tokens)
            if part_blocks <= missing_blocks:
                self._evict(now, part)
                continue
            self.release_blocks(missing_blocks)
            part.tokens = (part_blocks - missing_blocks) * BLOCK_TOKENS
            self.events.append(now, "-", part)
