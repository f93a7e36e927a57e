"""Block memory of a worker or store (§9.13): cached prompt parts, and the numbered events that report changes."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass, replace

BLOCK_TOKENS = 16
EVENT_LIMIT = 4_000
EVENT_LAG_MICROS = 80_000

PartKey = tuple[str, str, str]


def count_blocks(tokens: int) -> int:
    """Blocks needed for a number of tokens."""
    return -(-tokens // BLOCK_TOKENS)


@dataclass
class KeptPart:
    """One part of a prompt, cached under a salt.

    `version` and `tenant` tell how the part was made; they are recorded and never sent to anyone outside the emulator.
    `tokens` counts what is cached now, which may be fewer than the part was made with. `pins` counts the running
    requests that use the part.
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
        """Salt, model and name of the part."""
        return (self.salt, self.model, self.part)


@dataclass(frozen=True)
class PartEvent:
    """One change of the cache. `sign`: "+" for a part that was added, "-" for one that was evicted or shortened.

    `part` holds the state after the change; an evicted part has 0 tokens. A lost event takes up a number, but is never
    shown.
    """

    number: int
    sign: str
    part: KeptPart
    visible_at: int
    is_lost: bool

    def row(self) -> list[object]:
        """The event as it stands on the wire."""
        return [self.number, self.sign, self.part.salt, self.part.part, self.part.tokens, self.part.model]


@dataclass(frozen=True)
class EventPage:
    """Events after a number. `is_dropped`: some are no longer kept, or the number is of another instance."""

    incarnation: int
    next_page: int
    is_dropped: bool
    events: list[list[object]]

    def body(self) -> dict[str, object]:
        """The page as the JSON object of a response."""
        return {
            "Incarnation": self.incarnation,
            "NextPage": self.next_page,
            "Dropped": self.is_dropped,
            "Events": self.events,
        }


class PartEventLog:
    """Numbered events of one instance.

    Events become visible after a lag, a share of them is lost, and only the newest EVENT_LIMIT are kept.
    """

    def __init__(self, incarnation: int, rng: random.Random) -> None:
        self.incarnation = incarnation
        self.rng = rng
        self.lag_micros = EVENT_LAG_MICROS
        self.lost_share = 0.0
        self.number = 0
        self.events: deque[PartEvent] = deque(maxlen=EVENT_LIMIT)

    def append(self, now: int, sign: str, part: KeptPart) -> None:
        """Adds an event, with a copy of the part as it is now."""
        self.number += 1
        is_lost = self.rng.random() < self.lost_share
        self.events.append(PartEvent(self.number, sign, replace(part), now + self.lag_micros, is_lost))

    def next_visible_at(self, since: int) -> int | None:
        """Returns when the first event after `since` becomes visible; None if there is none yet."""
        return next((e.visible_at for e in self.events if e.number > since and not e.is_lost), None)

    def read(self, now: int, since: int) -> EventPage:
        """Returns the events after the number `since` that are visible by now."""
        shown = [e for e in self.events if e.number > since and e.visible_at <= now]
        oldest_number = self.events[0].number if self.events else self.number + 1
        is_dropped = since > self.number or since + 1 < oldest_number
        next_page = shown[-1].number if shown else min(since, self.number)
        return EventPage(self.incarnation, next_page, is_dropped, [e.row() for e in shown if not e.is_lost])


class PartCache:
    """Blocks of memory, shared by running requests and cached parts; the least recently used parts are evicted."""

    def __init__(self, total_tokens: int, events: PartEventLog) -> None:
        self.total_blocks = total_tokens // BLOCK_TOKENS
        self.used_blocks = 0
        self.events = events
        self.parts: OrderedDict[PartKey, KeptPart] = OrderedDict()

    def get(self, key: PartKey) -> KeptPart | None:
        """Returns a cached part, or None."""
        return self.parts.get(key)

    def can_allocate(self, blocks: int) -> bool:
        """Whether so many blocks are free, or would be once all unpinned parts are evicted."""
        free_blocks = self.total_blocks - self.used_blocks
        return blocks <= free_blocks or blocks <= free_blocks + self.evictable_blocks()

    def allocate_blocks(self, now: int, blocks: int) -> bool:
        """Allocates blocks for a running request; returns False, with nothing allocated, if there is no room."""
        if not self.can_allocate(blocks):
            return False
        self._make_room(now, blocks)
        self.used_blocks += blocks
        return True

    def release_blocks(self, blocks: int) -> None:
        """Releases blocks of a running request."""
        self.used_blocks -= blocks

    def insert(self, now: int, part: KeptPart, has_blocks: bool = False) -> KeptPart | None:
        """Caches a part and returns the cached one, or None if there is no room.

        A part that is cached already, with at least as many tokens, stays as it was first made. `has_blocks`: the
        request that read the part has allocated its blocks.
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
            # The longer part replaces the shorter one, which keeps its memory only while running requests use it.
            self.parts.pop(existing.key, None)
            if not existing.pins:
                self.release_blocks(count_blocks(existing.tokens))
        self.parts[part.key] = part
        self.events.append(now, "+", part)
        return part

    def touch(self, parts: list[KeptPart]) -> None:
        """Marks the parts of a prompt as used, the first one last, so that its end is evicted before its beginning."""
        for part in reversed(parts):
            if part.key in self.parts:
                self.parts.move_to_end(part.key)

    def pin(self, part: KeptPart) -> None:
        """Protects a part from eviction while a request uses it."""
        part.pins += 1

    def unpin(self, part: KeptPart) -> None:
        """Ends one use of a part; the last use of a part that is no longer cached releases its blocks."""
        part.pins -= 1
        if not part.pins and self.parts.get(part.key) is not part:
            self.release_blocks(count_blocks(part.tokens))

    def clear(self, now: int) -> None:
        """Drops all cached parts. Parts that running requests have pinned keep their memory until those end."""
        for part in list(self.parts.values()):
            self._evict(now, part)

    def list_rows(self) -> list[list[object]]:
        """The cached parts as they stand in a list on the wire."""
        return [[p.salt, p.part, p.tokens, p.model] for p in self.parts.values()]

    def evictable_blocks(self) -> int:
        """Blocks of cached parts that no request has pinned."""
        return sum(count_blocks(p.tokens) for p in self.parts.values() if not p.pins)

    def _evict(self, now: int, part: KeptPart) -> None:
        del self.parts[part.key]
        if not part.pins:
            self.release_blocks(count_blocks(part.tokens))
        self.events.append(now, "-", replace(part, tokens=0))

    def _make_room(self, now: int, blocks: int) -> None:
        """Evicts unpinned parts, the least recently used first, until the blocks are free.

        The last one is only shortened, from its end, where that is enough.
        """
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
