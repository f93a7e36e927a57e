"""Behaviour of model workers, stores and application services (§9.1), served over HTTP or driven by the simulator.

Workers record for which model, salt and tenant each prefix part was computed, so that a test can find any job that
reused a part of another model or salt.
"""

from __future__ import annotations

import hashlib
import random
from collections import OrderedDict
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from pearhead.runtime.clock import MILLI, Clock, sleep_for

PREFILL_MICROS_PER_TOKEN = 100
LINE_INTERVAL_MICROS = 15 * MILLI
# Lines of the answer to a long job.
LONG_LINE_COUNT = 6
LOAD_MICROS = 1_500 * MILLI
EVENT_LIMIT = 5_000
# The time of each line is multiplied by the number of running jobs // BATCH_SIZE, but at least by 1.
BATCH_SIZE = 4
CACHE_KEY_LIMIT = 4_000


class WorkerRefusalError(Exception):
    """A documented refusal, with its HTTP status and reason: the job or command did not run."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.why = why


@dataclass(frozen=True)
class CachedPart:
    """For which model, salt and tenant a cached prefix part was computed, and its length."""

    model: str
    salt: str
    tenant: str
    tokens: int


@dataclass
class RunRecord:
    """One run of a job: what it asked for, and which cached parts it reused.

    `foreign` describes reused parts that belong to another model or salt, which must never happen. `shared_with` names
    the other tenants whose parts were reused.
    """

    upstream_id: str
    tenant: str
    model: str
    loaded_model: str
    at_micros: int
    foreign: list[str] = field(default_factory=list)
    shared_with: list[str] = field(default_factory=list)
    reused_tokens: int = 0
    reused_keys: list[str] = field(default_factory=list)


class CacheTransfer(Protocol):
    """Transfers cached parts between a worker, other workers and the store."""

    async def fetch(self, remote_address: str, key: str, limit_micros: int) -> CachedPart | None:
        """The part of a key at `remote_address`; None if it is not there or can't be transferred within the limit."""

    async def write_to_store(self, key: str, cached_part: CachedPart) -> None:
        """Writes a part to the store of the worker."""


def expected_text(body: str, line_number: int) -> str:
    """The text of one line of the answer to a body, which callers compute as well to check what they received."""
    return f"{hashlib.sha256(body.encode()).hexdigest()[:16]}/{line_number}"


def expected_line_count(body: str) -> int:
    """The number of lines in the answer to a body."""
    return LONG_LINE_COUNT if "long" in body else 2


@dataclass
class WorkerSpeed:
    """Microseconds in which a worker prefills a token, generates a line of a short or a long answer, and loads a model.

    `drains_before_load`: whether running jobs may end before it loads another model; else they are cut.
    """

    prefill_micros: int = PREFILL_MICROS_PER_TOKEN
    line_micros: int = LINE_INTERVAL_MICROS
    long_line_micros: int = LINE_INTERVAL_MICROS
    load_micros: int = LOAD_MICROS
    drains_before_load: bool = True


class CacheEventLog:
    """Numbered events of cached parts. A reader that is too far behind gets the whole list of keys instead.

    `life` identifies one run of the process; sequence numbers count within it. `EVENT_LIMIT` events are retained.
    While `reports_suppressed` is set, workers report no new events.
    """

    def __init__(self, life: str) -> None:
        self.life = life
        self.sequence = 0
        self.events: list[tuple[int, str, str]] = []
        self.reports_suppressed = False

    def append_event(self, kind: str, key: str) -> None:
        """Records that a part was kept, dropped or changed, or that all were cleared."""
        self.sequence += 1
        self.events.append((self.sequence, kind, key))
        del self.events[:-EVENT_LIMIT]

    def read(self, life: str, after: int, cached_keys: list[str]) -> dict[str, Any]:
        """The report for a reader that has read `life` up to the sequence number `after`.

        It is whole, with all of `cached_keys`, when the reader's life is another, its number is ahead of this log, or
        events that it lacks are no longer retained.
        """
        is_whole = life != self.life or after > self.sequence or (bool(self.events) and after + 1 < self.events[0][0])
        new_events = [] if is_whole else [e for e in self.events if e[0] > after]
        kept = cached_keys if is_whole else [k for _, kind, k in new_events if kind == "kept"]
        return {
            "life": self.life,
            "sequence": self.sequence,
            "whole": is_whole,
            "kept": kept,
            "dropped": [k for _, kind, k in new_events if kind == "dropped"],
            "changed": [k for _, kind, k in new_events if kind == "changed"],
        }


class WorkerModel:
    """A model worker: runs jobs with simulated prefill and generation times, caches prefix parts, loads models.

    `on_run` is called with the record of each job once its prefix was looked up. `commands` lists every claim and load
    as fence, model (empty for a claim) and whether the fence was accepted. `cut_after_lines` and `load_fault` ("hangs"
    or "fails") inject faults.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        cache_transfer: CacheTransfer,
        on_run: Callable[[RunRecord], None] = lambda record: None,
    ) -> None:
        self.clock = clock
        self.cache_transfer = cache_transfer
        self.on_run = on_run
        self.event_log = CacheEventLog(rng.randbytes(8).hex())
        self.loaded_model = ""
        self.loading_model = ""
        self.load_count = 0
        self.highest_fence = 0
        self.commands: list[tuple[int, str, bool]] = []
        self.cache: OrderedDict[str, CachedPart] = OrderedDict()
        self.running_count = 0
        self.prefill_free_at = 0
        self.runs: list[RunRecord] = []
        self.cut_after_lines: int | None = None
        self.speed = WorkerSpeed()
        self.load_fault = ""

    async def run(self, request: dict[str, Any], upstream_id: str) -> AsyncGenerator[dict[str, Any], None]:
        """Runs a job and yields a completion event for each line, and at last one with the usage.

        A run that is cut yields no usage. Raises WorkerRefusalError, before the first event, while the worker loads a
        model (503) or when it serves another one (404).
        """
        if self.loading_model:
            raise WorkerRefusalError(503, "loading")
        if request["model"] != self.loaded_model:
            raise WorkerRefusalError(404, f"{request['model']} is not served here")
        record = RunRecord(upstream_id, request["user"], request["model"], self.loaded_model, self.clock.now())
        self.runs.append(record)
        self.running_count += 1
        try:
            async for event in self._run(request, upstream_id, record):
                yield event
        finally:
            self.running_count -= 1

    async def _run(
        self, request: dict[str, Any], upstream_id: str, record: RunRecord
    ) -> AsyncGenerator[dict[str, Any], None]:
        prefix, salt, load_count = request["prefix"], request["cache_salt"], self.load_count
        fetch_micros, fetch_tokens = await self._fetch(request, prefix)
        reused_count = self._count_cached_parts(prefix, salt)
        for part in prefix[:reused_count]:
            cached_part = self.cache[part["key"]]
            record.reused_tokens += int(part["tokens"])
            record.reused_keys.append(part["key"])
            if cached_part.model != self.loaded_model:
                record.foreign.append(f"weights {cached_part.model} on {self.loaded_model}")
            if cached_part.salt != salt:
                record.foreign.append(f"salt {cached_part.salt} for {salt}")
            if cached_part.tenant != record.tenant and cached_part.tenant not in record.shared_with:
                record.shared_with.append(cached_part.tenant)
        self.on_run(record)
        missed_tokens = sum(int(p["tokens"]) for p in prefix[reused_count:])
        # Prefills run one at a time, so that jobs queue at a worker that too many are sent to.
        job_prefill_micros = missed_tokens * self.speed.prefill_micros
        self.prefill_free_at = end_micros = max(self.clock.now(), self.prefill_free_at) + job_prefill_micros
        try:
            await sleep_for(self.clock, end_micros - self.clock.now())
        except BaseException:
            # The time that a cancelled job has not used is free for later jobs; those that wait already keep theirs.
            self.prefill_free_at -= min(job_prefill_micros, max(0, end_micros - self.clock.now()))
            raise
        for part in prefix[reused_count:]:
            if part["key"]:
                await self._cache_part(
                    part["key"], CachedPart(self.loaded_model, salt, record.tenant, int(part["tokens"]))
                )
        line_count = expected_line_count(request["prompt"])
        line_micros = self.speed.line_micros if line_count < LONG_LINE_COUNT else self.speed.long_line_micros
        for line_number in range(line_count):
            await sleep_for(self.clock, line_micros * max(1, self.running_count // BATCH_SIZE))
            if self.loaded_model != record.loaded_model or self.load_count != load_count:
                return  # A load has replaced the model meanwhile, and ended this job with it.
            if self.cut_after_lines is not None and line_number >= self.cut_after_lines:
                return
            yield {
                "id": f"cmpl-{upstream_id}",
                "choices": [{"text": expected_text(request["prompt"], line_number)}],
            }
        yield {
            "id": f"cmpl-{upstream_id}",
            "choices": [],
            "usage": {
                "prompt_tokens": sum(int(p["tokens"]) for p in prefix),
                "completion_tokens": line_count,
                "prompt_tokens_details": {"cached_tokens": record.reused_tokens},
                "fetch_micros": fetch_micros,
                "fetch_tokens": fetch_tokens,
            },
            "timings": {"prompt_n": missed_tokens, "prompt_ms": job_prefill_micros / MILLI},
        }

    async def _fetch(self, request: dict[str, Any], prefix: list[dict[str, Any]]) -> tuple[int, int]:
        """Fetches the planned parts within the limit; the others are prefilled. Returns microseconds and tokens."""
        plan = request.get("kv_transfer_params") or {}
        if not plan:
            return 0, 0
        start_micros, token_count = self.clock.now(), 0
        for part in prefix[: int(plan["parts"])]:
            left_micros = int(plan["limit_micros"]) - (self.clock.now() - start_micros)
            if part["key"] in self.cache:
                continue
            if left_micros <= 0:
                break
            cached_part = await self.cache_transfer.fetch(plan["remote"], part["key"], left_micros)
            if cached_part is None:
                break
            token_count += cached_part.tokens
            await self._cache_part(part["key"], cached_part)
        return self.clock.now() - start_micros, token_count

    def _count_cached_parts(self, prefix: list[dict[str, Any]], salt: str) -> int:
        """How many parts at the beginning of the prefix are cached under this salt; marks them as recently used."""
        for position, part in enumerate(prefix):
            cached_part = self.cache.get(part["key"]) if part["key"] else None
            if cached_part is None or cached_part.salt != salt:
                return position
            self.cache.move_to_end(part["key"])
        return len(prefix)

    async def _cache_part(self, key: str, cached_part: CachedPart) -> None:
        self.cache[key] = cached_part
        self.event_log.append_event("kept", key)
        while len(self.cache) > CACHE_KEY_LIMIT:
            evicted_key, _ = self.cache.popitem(last=False)
            self.event_log.append_event("dropped", evicted_key)
        await self.cache_transfer.write_to_store(key, cached_part)

    async def claim(self, fence: int) -> dict[str, Any]:
        """Takes the fence (fencing token) of a new lease holder: commands with an older one are refused from now on.

        Raises WorkerRefusalError (409) when the fence itself is older than the highest one seen.
        """
        self._accept_fence(fence, "")
        return {"life": self.event_log.life, "fence": self.highest_fence}

    def _accept_fence(self, fence: int, model: str) -> None:
        is_accepted = fence >= self.highest_fence
        self.commands.append((fence, model, is_accepted))
        if not is_accepted:
            raise WorkerRefusalError(409, f"fence {fence} is older than {self.highest_fence}")
        self.highest_fence = fence

    async def load(self, fence: int, model: str) -> dict[str, Any]:
        """Loads a model and clears the cache; the answer says from which sequence number on events are of this model.

        A model that is loaded already is not loaded again. Waits for a load in progress and, with
        `drains_before_load`, for running jobs. Raises WorkerRefusalError for an older fence, also one that became so
        while this load waited for another (409), and for an injected failure (500).
        """
        self._accept_fence(fence, model)
        while self.loading_model:
            await sleep_for(self.clock, 20 * MILLI)
        if fence < self.highest_fence:
            raise WorkerRefusalError(409, "overtaken by a later fence")
        if self.loaded_model != model:
            self.loading_model = model
            try:
                while self.running_count and self.speed.drains_before_load:
                    await sleep_for(self.clock, 20 * MILLI)
                await sleep_for(self.clock, self.speed.load_micros)
                while self.load_fault == "hangs":
                    await sleep_for(self.clock, 100 * MILLI)
                if self.load_fault == "fails":
                    raise WorkerRefusalError(500, "the load failed")
                self.loaded_model = model
                self.load_count += 1
            finally:
                self.loading_model = ""
        self.cache.clear()
        self.event_log.append_event("cleared", "")
        return {"life": self.event_log.life, "sequence": self.event_log.sequence, "model": model}

    def events(self, life: str, after: int) -> dict[str, Any]:
        """The report of cached parts to a reader (see `CacheEventLog.read`), with the load of the worker.

        A silent worker answers from the reader's own position, as if nothing had happened since.
        """
        waiting_tokens = max(0, self.prefill_free_at - self.clock.now()) // self.speed.prefill_micros
        load = {"running": self.running_count, "waiting_tokens": waiting_tokens}
        if self.event_log.reports_suppressed:
            return {
                "life": life or self.event_log.life,
                "sequence": after,
                "whole": False,
                "kept": [],
                "dropped": [],
                "changed": [],
                **load,
            }
        return {**self.event_log.read(life, after, list(self.cache)), **load}


class StoreModel:
    """The shared store of cached parts. It does not check for whom parts are written or read."""

    def __init__(self, rng: random.Random) -> None:
        self.event_log = CacheEventLog(rng.randbytes(8).hex())
        self.parts: OrderedDict[str, CachedPart] = OrderedDict()

    def put(self, key: str, cached_part: CachedPart) -> None:
        """Stores a part; only a new key becomes an event."""
        if key not in self.parts:
            self.event_log.append_event("kept", key)
        self.parts[key] = cached_part

    def get(self, key: str) -> CachedPart | None:
        """The part of a key, if there is one."""
        return self.parts.get(key)

    def events(self, life: str, after: int) -> dict[str, Any]:
        """The report of stored parts to a reader (see `CacheEventLog.read`)."""
        return self.event_log.read(life, after, list(self.parts))


class ApplicationModel:
    """An application service, which answers jobs without a model."""

    def __init__(self, clock: Clock, on_run: Callable[[RunRecord], None] = lambda record: None) -> None:
        self.clock = clock
        self.on_run = on_run
        self.runs: list[RunRecord] = []
        self.line_micros = 2 * MILLI

    async def run(self, request: dict[str, Any], upstream_id: str) -> AsyncGenerator[dict[str, Any], None]:
        """Runs a job and yields a completion event for each line, and at last one with the usage."""
        record = RunRecord(upstream_id, request["user"], request["model"], request["model"], self.clock.now())
        self.runs.append(record)
        self.on_run(record)
        line_count = expected_line_count(request["prompt"])
        for line_number in range(line_count):
            await sleep_for(self.clock, self.line_micros)
            yield {
                "id": f"cmpl-{upstream_id}",
                "choices": [{"text": expected_text(request["prompt"], line_number)}],
            }
        yield {"id": f"cmpl-{upstream_id}", "choices": [], "usage": {"completion_tokens": line_count}}


FETCH_MICROS_PER_TOKEN = 20
