"""WorkerModel (§9.1): a model worker's behaviour, served over HTTP or driven by the simulator.

It keeps the provenance of every kept prefix, so that a test can find any job run on a foreign one.
"""

from __future__ import annotations

import hashlib
import random
from collections import OrderedDict
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from pearhead.awl.clock import MILLI, Clock, rest

PREFILL_MICROS_A_TOKEN = 100
LINE_MICROS = 15 * MILLI
LINE_COUNT = 6
LOAD_MICROS = 1_500 * MILLI
EVENT_LIMIT = 5_000
BATCH_SIZE = 4
CACHE_KEYS = 4_000


class WorkerRefusal(Exception):
    """A documented refusal: the job did not run."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.why = why


@dataclass(frozen=True)
class Kept:
    """What a kept prefix came from."""

    model: str
    salt: str
    tenant: str
    tokens: int


@dataclass
class RunRecord:
    upstreamId: str
    tenant: str
    model: str
    loadedModel: str
    atMicros: int
    foreign: list[str] = field(default_factory=list)
    sharedWith: list[str] = field(default_factory=list)
    reusedTokens: int = 0
    reusedKeys: list[str] = field(default_factory=list)


class FetchLink(Protocol):
    async def fetch(self, remoteAddress: str, key: str, limitMicros: int) -> Kept | None: ...

    async def keep_in_store(self, key: str, kept: Kept) -> None: ...


def expected_text(body: str, lineNumber: int) -> str:
    """Callers know what each line of their own body must say."""
    return f"{hashlib.sha256(body.encode()).hexdigest()[:16]}/{lineNumber}"


def expected_lines(body: str) -> int:
    return LINE_COUNT if "long" in body else 2


@dataclass
class Pace:
    """How fast a worker is, and whether it lets running jobs end before it loads."""

    prefillMicros: int = PREFILL_MICROS_A_TOKEN
    lineMicros: int = LINE_MICROS
    longLineMicros: int = LINE_MICROS
    loadMicros: int = LOAD_MICROS
    drainsItself: bool = True


class EventLog:
    """Reports of kept parts by life and sequence; a reader too far behind gets the whole list."""

    def __init__(self, life: str) -> None:
        self.life = life
        self.sequence = 0
        self.events: list[tuple[int, str, str]] = []
        self.isSilent = False

    def tell(self, kind: str, key: str) -> None:
        self.sequence += 1
        self.events.append((self.sequence, kind, key))
        del self.events[:-EVENT_LIMIT]

    def read(self, life: str, after: int, heldKeys: list[str]) -> dict[str, Any]:
        isWhole = life != self.life or after > self.sequence or (
            bool(self.events) and after + 1 < self.events[0][0]
        )
        news = [] if isWhole else [e for e in self.events if e[0] > after]
        kept = heldKeys if isWhole else [k for _, kind, k in news if kind == "kept"]
        return {
            "life": self.life, "sequence": self.sequence, "whole": isWhole, "kept": kept,
            "dropped": [k for _, kind, k in news if kind == "dropped"],
            "changed": [k for _, kind, k in news if kind == "changed"],
        }


class WorkerModel:
    def __init__(
        self, clock: Clock, chance: random.Random, link: FetchLink,
        watch: Callable[[RunRecord], None] = lambda record: None,
    ) -> None:
        self.clock = clock
        self.link = link
        self.watch = watch
        self.log = EventLog(chance.randbytes(8).hex())
        self.loadedModel = ""
        self.loadingModel = ""
        self.loadCount = 0
        self.highestFence = 0
        self.commands: list[tuple[int, str, bool]] = []
        self.cache: OrderedDict[str, Kept] = OrderedDict()
        self.runningCount = 0
        self.prefillFreeAt = 0
        self.runs: list[RunRecord] = []
        self.cutAfterLines: int | None = None
        self.pace = Pace()
        self.loadFault = ""

    async def run(self, request: dict[str, Any], upstreamId: str) -> AsyncGenerator[dict[str, Any], None]:
        if self.loadingModel:
            raise WorkerRefusal(503, "loading")
        if request["model"] != self.loadedModel:
            raise WorkerRefusal(404, f"{request['model']} is not served here")
        record = RunRecord(
            upstreamId, request["user"], request["model"], self.loadedModel, self.clock.now()
        )
        self.runs.append(record)
        self.runningCount += 1
        try:
            async for event in self._run(request, upstreamId, record):
                yield event
        finally:
            self.runningCount -= 1

    async def _run(
        self, request: dict[str, Any], upstreamId: str, record: RunRecord
    ) -> AsyncGenerator[dict[str, Any], None]:
        prefix, salt, loadCount = request["prefix"], request["cache_salt"], self.loadCount
        fetchMicros, fetchTokens = await self._fetch(request, prefix)
        reusedCount = self._longest_held(prefix, salt)
        for part in prefix[:reusedCount]:
            kept = self.cache[part["key"]]
            record.reusedTokens += int(part["tokens"])
            record.reusedKeys.append(part["key"])
            if kept.model != self.loadedModel:
                record.foreign.append(f"weights {kept.model} on {self.loadedModel}")
            if kept.salt != salt:
                record.foreign.append(f"salt {kept.salt} for {salt}")
            if kept.tenant != record.tenant and kept.tenant not in record.sharedWith:
                record.sharedWith.append(kept.tenant)
        self.watch(record)
        missedTokens = sum(int(p["tokens"]) for p in prefix[reusedCount:])
        # One prefill at a time: a worker that all jobs are sent to makes them wait.
        ownMicros = missedTokens * self.pace.prefillMicros
        self.prefillFreeAt = endMicros = max(self.clock.now(), self.prefillFreeAt) + ownMicros
        try:
            await rest(self.clock, endMicros - self.clock.now())
        except BaseException:
            # A job that is closed while it waits leaves its turn to those behind.
            self.prefillFreeAt -= min(ownMicros, max(0, endMicros - self.clock.now()))
            raise
        for part in prefix[reusedCount:]:
            if part["key"]:
                await self._keep(part["key"], Kept(self.loadedModel, salt, record.tenant, int(part["tokens"])))
        lineCount = expected_lines(request["prompt"])
        lineMicros = self.pace.lineMicros if lineCount < LINE_COUNT else self.pace.longLineMicros
        for lineNumber in range(lineCount):
            await rest(self.clock, lineMicros * max(1, self.runningCount // BATCH_SIZE))
            if self.loadedModel != record.loadedModel or self.loadCount != loadCount:
                return  # It was loaded over: what it had in hand is gone.
            if self.cutAfterLines is not None and lineNumber >= self.cutAfterLines:
                return
            yield {
                "id": f"cmpl-{upstreamId}",
                "choices": [{"text": expected_text(request["prompt"], lineNumber)}],
            }
        yield {
            "id": f"cmpl-{upstreamId}", "choices": [],
            "usage": {
                "prompt_tokens": sum(int(p["tokens"]) for p in prefix), "completion_tokens": lineCount,
                "prompt_tokens_details": {"cached_tokens": record.reusedTokens},
                "fetch_micros": fetchMicros, "fetch_tokens": fetchTokens,
            },
            "timings": {"prompt_n": missedTokens, "prompt_ms": ownMicros / MILLI},
        }

    async def _fetch(self, request: dict[str, Any], prefix: list[dict[str, Any]]) -> tuple[int, int]:
        """Fetches within its limit; what did not come is prefilled."""
        plan = request.get("kv_transfer_params") or {}
        if not plan:
            return 0, 0
        startMicros, tokenCount = self.clock.now(), 0
        for part in prefix[: int(plan["parts"])]:
            leftMicros = int(plan["limit_micros"]) - (self.clock.now() - startMicros)
            if part["key"] in self.cache:
                continue
            if leftMicros <= 0:
                break
            kept = await self.link.fetch(plan["remote"], part["key"], leftMicros)
            if kept is None:
                break
            tokenCount += kept.tokens
            await self._keep(part["key"], kept)
        return self.clock.now() - startMicros, tokenCount

    def _longest_held(self, prefix: list[dict[str, Any]], salt: str) -> int:
        for position, part in enumerate(prefix):
            kept = self.cache.get(part["key"]) if part["key"] else None
            if kept is None or kept.salt != salt:
                return position
            self.cache.move_to_end(part["key"])
        return len(prefix)

    async def _keep(self, key: str, kept: Kept) -> None:
        self.cache[key] = kept
        self.log.tell("kept", key)
        while len(self.cache) > CACHE_KEYS:
            goneKey, _ = self.cache.popitem(last=False)
            self.log.tell("dropped", goneKey)
        await self.link.keep_in_store(key, kept)

    async def claim(self, fence: int) -> dict[str, Any]:
        """A new holder shows its fence: from here on no older one commands."""
        self._take_fence(fence, "")
        return {"life": self.log.life, "fence": self.highestFence}

    def _take_fence(self, fence: int, model: str) -> None:
        isTaken = fence >= self.highestFence
        self.commands.append((fence, model, isTaken))
        if not isTaken:
            raise WorkerRefusal(409, f"fence {fence} is older than {self.highestFence}")
        self.highestFence = fence

    async def load(self, fence: int, model: str) -> dict[str, Any]:
        """Drains, loads, clears and confirms; an older fence is rejected."""
        self._take_fence(fence, model)
        while self.loadingModel:
            await rest(self.clock, 20 * MILLI)
        if fence < self.highestFence:
            raise WorkerRefusal(409, "overtaken by a later fence")
        if self.loadedModel != model:
            self.loadingModel = model
            try:
                while self.runningCount and self.pace.drainsItself:
                    await rest(self.clock, 20 * MILLI)
                await rest(self.clock, self.pace.loadMicros)
                while self.loadFault == "hangs":
                    await rest(self.clock, 100 * MILLI)
                if self.loadFault == "fails":
                    raise WorkerRefusal(500, "the load failed")
                self.loadedModel = model
                self.loadCount += 1
            finally:
                self.loadingModel = ""
        self.cache.clear()
        self.log.tell("cleared", "")
        return {"life": self.log.life, "sequence": self.log.sequence, "model": model}

    def events(self, life: str, after: int) -> dict[str, Any]:
        waitingTokens = max(0, self.prefillFreeAt - self.clock.now()) // self.pace.prefillMicros
        load = {"running": self.runningCount, "waiting_tokens": waitingTokens}
        if self.log.isSilent:
            return {"life": life or self.log.life, "sequence": after, "whole": False, "kept": [],
                    "dropped": [], "changed": [], **load}
        return {**self.log.read(life, after, list(self.cache)), **load}


class StoreModel:
    """The shared store of kept parts: it lists keys and checks none."""

    def __init__(self, chance: random.Random) -> None:
        self.log = EventLog(chance.randbytes(8).hex())
        self.kept: OrderedDict[str, Kept] = OrderedDict()

    def put(self, key: str, kept: Kept) -> None:
        if key not in self.kept:
            self.log.tell("kept", key)
        self.kept[key] = kept

    def get(self, key: str) -> Kept | None:
        return self.kept.get(key)

    def events(self, life: str, after: int) -> dict[str, Any]:
        return self.log.read(life, after, list(self.kept))


class ApplicationModel:
    """The small application service: it answers plain jobs without any model."""

    def __init__(self, clock: Clock, watch: Callable[[RunRecord], None] = lambda record: None) -> None:
        self.clock = clock
        self.watch = watch
        self.runs: list[RunRecord] = []
        self.lineMicros = 2 * MILLI

    async def run(self, request: dict[str, Any], upstreamId: str) -> AsyncGenerator[dict[str, Any], None]:
        record = RunRecord(upstreamId, request["user"], request["model"], request["model"], self.clock.now())
        self.runs.append(record)
        self.watch(record)
        lineCount = expected_lines(request["prompt"])
        for lineNumber in range(lineCount):
            await rest(self.clock, self.lineMicros)
            yield {
                "id": f"cmpl-{upstreamId}",
                "choices": [{"text": expected_text(request["prompt"], lineNumber)}],
            }
        yield {"id": f"cmpl-{upstreamId}", "choices": [], "usage": {"completion_tokens": lineCount}}


FETCH_MICROS_A_TOKEN = 20
