"""WorkerControl (§7.7): what a node knows of workers and how it commands them, over the list's and their own edges."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from result import Result


@dataclass(frozen=True)
class Backend:
    """A worker as the platform's list shows it. A name is one life: a worker that starts again has another.

    `versions`: the weights' version by line, as old as the list. `cold_left_micros`: how much longer it is slow,
    counted from when the list was asked.
    """

    name: str
    address: str
    zone: str
    service: str
    capacity: int
    is_leaving: bool = False
    versions: Mapping[str, int] = field(default_factory=dict)
    cold_left_micros: int = 0


@dataclass(frozen=True)
class PrefixCacheEvent:
    """A part's kept tokens changed. `tokens`: what is kept now; zero when nothing is."""

    is_kept: bool
    salt: str
    part: str
    tokens: int
    line: str


@dataclass(frozen=True)
class PrefixCacheEventBatch:
    """Events of one life; `next_sequence` is where the next call goes on. `is_dropped`: some before are gone unseen."""

    life: str
    next_sequence: int
    is_dropped: bool
    events: tuple[PrefixCacheEvent, ...] = ()


@dataclass(frozen=True)
class WorkerReport:
    """A worker's own word, some hundred milliseconds old. Caches are counted in tokens."""

    versions: Mapping[str, int]
    is_loading: bool
    order_count: int
    queued: int
    active: int
    cache_used: int
    cache_total: int


@dataclass(frozen=True)
class LoadOrder:
    """Bring a line to a version once what runs has ended. `expected`: the order count wanted, or None for any."""

    worker: str
    line: str
    version: int
    holder: str
    fence: int
    expected: int | None = None


class OrderOutcome(Enum):
    """What a worker said to an order. `WITHDRAWN` and `OTHER_WORKER` alone say that this worker never saw it."""

    TAKEN = "taken"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    OLDER_FENCE = "older_fence"
    REFUSED = "refused"
    OTHER_WORKER = "other_worker"
    WITHDRAWN = "withdrawn"


class WorkerControl(Protocol):
    """Every call ends within its limit, in whole microseconds; an Err says why no answer could be used."""

    async def list_workers(self, limit_micros: int) -> Result[list[Backend], str]:
        """The platform's list, all pages of it."""

    async def kept_events(
        self, address: str, since: int, wait_micros: int, limit_micros: int
    ) -> Result[PrefixCacheEventBatch, str]:
        """What changed from `since` on, held for up to `wait_micros` while nothing did."""

    async def kept_list(self, address: str, limit_micros: int) -> Result[PrefixCacheEventBatch, str]:
        """All that is kept. It holds the worker up."""

    async def report(self, address: str, limit_micros: int) -> Result[WorkerReport, str]: ...

    async def order_load(
        self, address: str, order: LoadOrder, may_begin: Callable[[], bool], limit_micros: int
    ) -> Result[OrderOutcome, str]:
        """An Err may have been taken. `may_begin` is asked in one step with the first byte (§7.2)."""

    async def probe(self, address: str, path: str, limit_micros: int) -> Result[str, str]:
        """The name of the worker that answers there and says it is well."""
