"""WorkerControl (§7.7): interface to the platform's worker list and to the workers' own control endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from result import Result


@dataclass(frozen=True)
class Backend:
    """A worker as the platform's list shows it. A worker that restarts gets another name.

    `versions`: weights version by model line, as old as the list. `cold_left_micros`: how much longer the worker is
    slow after its start, counted from when the list was requested.
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
    """A change of a prompt part in a worker's prefix cache. `tokens`: number cached now; 0 if none."""

    is_kept: bool
    salt: str
    part: str
    tokens: int
    line: str


@dataclass(frozen=True)
class PrefixCacheEventBatch:
    """Events of one life (process) of a worker or store, identified by `life`.

    `next_sequence`: where the next call continues. `is_dropped`: earlier events were discarded before they were read.
    """

    life: str
    next_sequence: int
    is_dropped: bool
    events: tuple[PrefixCacheEvent, ...] = ()


@dataclass(frozen=True)
class WorkerReport:
    """A worker's report about itself, some hundred milliseconds old. Cache sizes are in tokens."""

    versions: Mapping[str, int]
    is_loading: bool
    order_count: int
    queued: int
    active: int
    cache_used: int
    cache_total: int


@dataclass(frozen=True)
class LoadOrder:
    """An order to load a version of a line's weights once the worker's running requests have ended.

    `expected_order_count`: the order is taken only at this order count of the worker; None: at any.
    """

    worker: str
    line: str
    version: int
    holder: str
    fence: int
    expected_order_count: int | None = None


class OrderOutcome(Enum):
    """A worker's answer to a load order. Only `WITHDRAWN` and `OTHER_WORKER` mean that the worker never received it."""

    TAKEN = "taken"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    OLDER_FENCE = "older_fence"
    REFUSED = "refused"
    OTHER_WORKER = "other_worker"
    WITHDRAWN = "withdrawn"


class WorkerControl(Protocol):
    """Calls to the worker list and to workers. Each ends within `limit_micros`; an Err says why no answer is usable."""

    async def list_workers(self, limit_micros: int) -> Result[list[Backend], str]:
        """All pages of the platform's worker list."""

    async def cache_events(
        self, address: str, since: int, wait_micros: int, limit_micros: int
    ) -> Result[PrefixCacheEventBatch, str]:
        """Cache events from sequence number `since` on; a long poll, which waits up to `wait_micros` for one."""

    async def cache_contents(self, address: str, limit_micros: int) -> Result[PrefixCacheEventBatch, str]:
        """The whole content of the worker's prefix cache. Expensive: the worker is blocked while it answers."""

    async def report(self, address: str, limit_micros: int) -> Result[WorkerReport, str]:
        """The worker's current report."""

    async def send_load_order(
        self, address: str, order: LoadOrder, may_begin: Callable[[], bool], limit_micros: int
    ) -> Result[OrderOutcome, str]:
        """Sends a load order; after an Err the worker may still have taken it.

        `may_begin` is checked immediately before the first byte is written, without giving up control (§7.2).
        """

    async def probe(self, address: str, path: str, limit_micros: int) -> Result[str, str]:
        """The name of the worker that answers at `address`, if it reports itself healthy."""
