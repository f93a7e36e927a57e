"""Batching inference engine of an emulated model worker (§9.13), driven by explicit time; nothing sleeps.

The model returns what happens as outputs. It records what ran and which cached parts a run used, with the weights
version and the tenant that these parts were made for. Times are whole microseconds on the caller's clock.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from pearhead.testbed.emulator.ledger import OrderSeen, RecordSink, Run, Use
from pearhead.testbed.emulator.part_cache import KeptPart, PartCache, PartEventLog, count_blocks

DEFAULT_URGENCY = 5
# What happens to requests that run when new weights are ordered: they finish first, are reset, or go on with the new
# weights.
MODES = ("wait", "preempt", "retain")


@dataclass(frozen=True)
class EngineSettings:
    """Size and speed of a worker.

    Rates are in tokens per millisecond and megabits per second, sizes in tokens, bytes or requests; all other numbers
    are in microseconds.

    - `capacity`, `queue_limit`: requests in the running batch, and requests waiting for a place in it.
    - `cache_tokens`, `token_bytes`: tokens that fit into memory, and bytes of cache for each token.
    - `stride`: tokens in a piece of a response. The first piece has one token, the last one the rest.
    - `chunk_tokens`, `prefill_tokens_per_milli`: prompt tokens that a step reads at most, and the rate of reading them.
    - `step_micros`, `slot_micros`, `context_micros_per_k`: duration of a step: its base, the addition for each active
      request, and the addition for each 1,000 tokens of context.
    - `link_mbps`, `setup_micros`: bandwidth of the link over which cached parts move, and the set-up time of a
      transfer.
    - `miss_micros`, `dead_source_micros`: time lost on a source that has nothing, and on one that does not respond.
    - `move_wait_micros`: a transfer that would wait longer than this for the link is skipped.
    - `load_micros`: time to load weights at a `load_slowness` of 1.
    - `list_stall_micros`: how long listing all cached parts holds up the next step.
    - `report_lag_micros`: age of the state that a report shows.
    - `is_fenced`: whether orders with an older fence are refused.
    """

    capacity: int = 12
    queue_limit: int = 36
    cache_tokens: int = 140_644
    token_bytes: int = 163_840
    link_mbps: float = 1_100_000.0
    stride: int = 7
    chunk_tokens: int = 1_024
    prefill_tokens_per_milli: float = 61.2
    step_micros: int = 3_370
    slot_micros: float = 10.9
    context_micros_per_k: float = 3.4
    setup_micros: int = 1_700
    miss_micros: int = 1_000
    dead_source_micros: int = 150_000
    move_wait_micros: int = 2_000_000
    load_micros: int = 400_000
    list_stall_micros: int = 5_000
    report_lag_micros: int = 100_000
    is_fenced: bool = True


@dataclass(frozen=True)
class PromptPartSpec:
    """A named part of a prompt and its length in tokens."""

    part: str
    tokens: int


@dataclass(frozen=True)
class EngineRequest:
    """What a worker reads from the headers of a request.

    `deadline_at` is in whole microseconds. `resumed_from` is the number of the last piece that the caller has. An empty
    `source` or `target` means that no parts are fetched or saved; an empty `expected_instance` or an `expected_version`
    of 0 matches any. A lower `urgency` goes first.
    """

    request_id: str
    tenant: str
    salt: str
    model: str
    parts: tuple[PromptPartSpec, ...]
    prompt_tokens: int
    output_tokens: int
    deadline_at: int
    urgency: int = DEFAULT_URGENCY
    expected_instance: str = ""
    expected_version: int = 0
    resumed_from: int = 0
    source: str = ""
    target: str = ""


class RequestRejectedError(Exception):
    """The request did not run and never will. `status` is 400, 421 or 503."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True)
class RunStarted:
    """The run produced its first token. `pieces` is the number of pieces in the whole response."""

    ticket: int
    run: str
    version: int
    pieces: int


@dataclass(frozen=True)
class PieceProduced:
    """One piece of a response. `version` is the weights version where it has changed, otherwise 0."""

    ticket: int
    number: int
    version: int = 0


@dataclass(frozen=True)
class RunFinished:
    """The run produced its last token."""

    ticket: int


@dataclass(frozen=True)
class LateRejection:
    """The request was rejected after it had been accepted, but before it ran."""

    ticket: int
    status: int


@dataclass(frozen=True)
class DeadlineExceeded:
    """The deadline passed while the request ran: 504 before its first piece, a broken connection after it."""

    ticket: int


@dataclass(frozen=True)
class RunAborted:
    """The run was aborted by an order, which resets its connection, or because the client closed it."""

    ticket: int


@dataclass(frozen=True)
class FetchRequested:
    """Cached parts are wanted from the address `source`. `keys` are in the order of the prompt."""

    ticket: int
    source: str
    keys: tuple[tuple[str, str, str], ...]


@dataclass(frozen=True)
class SaveRequested:
    """Cached parts are to be sent to the store at the address `target`."""

    target: str
    parts: tuple[KeptPart, ...]


EngineOutput = (
    RunStarted
    | PieceProduced
    | RunFinished
    | LateRejection
    | DeadlineExceeded
    | RunAborted
    | FetchRequested
    | SaveRequested
)


@dataclass
class _RequestState:
    """Progress of a request that waits or runs.

    `phase` is "queued", "fetching", "prefill" or "decode". `part_index` and `part_tokens_read` are the position in the
    named parts of the prompt. The tail is the rest of the prompt, together with tokens generated before, which have to
    be read again after a resumption or after the request lost its memory. `pinned_parts` are cached parts that the
    request uses; `private_blocks` is the memory that it alone holds.
    """

    ticket: int
    request: EngineRequest
    phase: str = "queued"
    fetched_at: int | None = None
    has_fetched: bool = False
    part_index: int = 0
    part_tokens_read: int = 0
    tail_tokens: int = 0
    tail_tokens_read: int = 0
    private_blocks: int = 0
    pinned_parts: list[KeptPart] = field(default_factory=list)
    generated_tokens: int = 0
    is_begun: bool = False
    reported_version: int = 0
    next_piece: int = 1

    @property
    def priority(self) -> tuple[int, int]:
        """Sort key: the most urgent first, then the oldest."""
        return (self.request.urgency, self.ticket)


@dataclass
class _Load:
    """A weights load under way. `end_at` is None while runs of the old version still finish."""

    version: int
    mode: str
    end_at: int | None = None


class EngineModel:
    """Engine of one worker instance, from its start until it stops.

    Callers pass the current time to `submit`, `order`, `cancel` and the other methods. `advance` processes everything
    that is due by then and returns the outputs.
    """

    def __init__(
        self,
        settings: EngineSettings,
        worker: str,
        instance: str,
        service: str,
        model: str,
        version: int,
        rng: random.Random,
        sink: RecordSink,
    ) -> None:
        self.settings = settings
        self.worker, self.instance, self.service, self.model = worker, instance, service, model
        self.version = version
        self.named_versions = {version}
        self.rng = rng
        self.sink = sink
        self.events = PartEventLog(rng.randrange(1, 1 << 31), rng)
        self.cache = PartCache(settings.cache_tokens, self.events)
        self.queue: list[_RequestState] = []
        self.running: list[_RequestState] = []
        self.outputs: list[EngineOutput] = []
        self.step_end_at: int | None = None
        self.stalled_until = 0
        self.link_free_at = 0
        self.link_slowness = 1.0
        self.load_slowness = 1.0
        self.step_slowness = 1.0
        self._planned_tokens: dict[int, int] = {}
        self.load: _Load | None = None
        self.accepted_order_count = 0
        self.highest_fence = 0
        self.last_ticket = 0
        self.reports: deque[tuple[int, dict[str, Any]]] = deque(maxlen=64)
        self.tokens_read = 0

    # ---- requests and orders -----------------------------------------------------------------------

    def submit(self, now: int, request: EngineRequest) -> int:
        """Queues a request and returns its ticket.

        Raises RequestRejectedError: 421 for another instance or weights version, 400 for another model, 503 while
        weights load, when the request is larger than memory, and when the queue is full. With a full queue a more
        urgent request takes the place of the last one in it.
        """
        if request.expected_instance not in ("", self.instance):
            raise RequestRejectedError(421, "the request names another instance")
        if request.model != self.model:
            raise RequestRejectedError(400, "the request names another model")
        if request.expected_version not in (0, self.version):
            raise RequestRejectedError(421, "the request names another weights version")
        if self.load is not None:
            raise RequestRejectedError(503, "a weights load is under way")
        total_tokens = request.prompt_tokens + request.output_tokens
        needed_blocks = count_blocks(total_tokens) + len(request.parts) + 1
        if needed_blocks > self.cache.total_blocks:
            raise RequestRejectedError(503, "the request is larger than memory")
        if len(self.queue) >= self.settings.queue_limit:
            last = max(self.queue, key=lambda r: r.priority)
            if last.request.urgency <= request.urgency:
                raise RequestRejectedError(503, "the queue is full")
            self.queue.remove(last)
            self.outputs.append(LateRejection(last.ticket, 503))
        self.last_ticket += 1
        entry = _RequestState(self.last_ticket, request)
        self._reset_progress(entry)
        self.queue.append(entry)
        self._admit(now)
        return entry.ticket

    def cancel(self, now: int, ticket: int) -> None:
        """Drops a request, queued or running, whose connection has closed."""
        for entry in [*self.queue, *self.running]:
            if entry.ticket == ticket:
                self._remove(entry)
        self._admit(now)

    def complete_fetch(self, now: int, ticket: int, parts: list[KeptPart] | None, is_far: bool = False) -> None:
        """Handles the result of a fetch: the parts that the source had, or None if it did not respond.

        The tenant and the version of the parts are not checked. With `is_far` the source is in another zone, and the
        transfer takes twice as long.
        """
        entry = next((r for r in self.running if r.ticket == ticket and r.phase == "fetching"), None)
        if entry is None:
            return
        if parts is None:
            entry.fetched_at = now + self.settings.dead_source_micros
            return
        if not parts:
            entry.fetched_at = now + self.settings.miss_micros
            return
        start_at = max(now, self.link_free_at)
        if start_at - now > self.settings.move_wait_micros:
            entry.fetched_at = now
            return
        self.link_free_at = start_at + self._transfer_micros(sum(p.tokens for p in parts), is_far)
        entry.fetched_at = self.link_free_at
        for part in parts:
            self.cache.insert(now, KeptPart(part.salt, part.model, part.part, part.tokens, part.version, part.tenant))

    def get_cached_prefix(self, keys: list[tuple[str, str, str]]) -> list[KeptPart]:
        """Returns the parts cached here for another worker's prompt, in order, up to the first that is missing."""
        found = []
        for key in keys:
            part = self.cache.get(key)
            if part is None:
                break
            found.append(part)
        self.cache.touch(found)
        return found

    def order(self, now: int, body: dict[str, Any]) -> int:
        """Handles an order to change the weights and returns its status: 202, 200, 400, 409 or 412."""
        status = self._check_order(body)
        if status != 400:
            self.sink.record(
                OrderSeen(
                    now,
                    self.worker,
                    self.instance,
                    str(body["Holder"]),
                    body["Fence"],
                    body["Revision"],
                    str(body.get("Mode", "wait")),
                    status,
                )
            )
        if status == 202:
            self._start_order(now, body)
        return status

    def name_version(self, version: int) -> None:
        """Adds a weights version that orders may ask for."""
        self.named_versions.add(version)

    def list_parts(self, now: int) -> dict[str, object]:
        """Returns the list of all cached parts. Building it delays the next step."""
        self.stalled_until = max(self.stalled_until, now + self.settings.list_stall_micros)
        return {"Incarnation": self.events.incarnation, "NextPage": self.events.number, "Held": self.cache.list_rows()}

    def report(self, now: int) -> dict[str, Any]:
        """Returns the worker's state as it was `report_lag_micros` ago, or the oldest known."""
        visible_reports = [r for at, r in self.reports if at <= now - self.settings.report_lag_micros]
        return visible_reports[-1] if visible_reports else (self.reports[0][1] if self.reports else self.state())

    def state(self) -> dict[str, Any]:
        """Returns the worker's present state, in the fields of a report."""
        return {
            "Phase": "both",
            "Models": [{"Name": self.model, "Revision": self.version, "Adapters": []}],
            "Saturated": self.load is not None,
            "CallSeq": self.accepted_order_count,
            "Queued": len(self.queue),
            "Active": len(self.running),
            "CacheUsed": (self.cache.used_blocks - self.cache.evictable_blocks()) * 16,
            "CacheTotal": self.settings.cache_tokens,
            "Handles": 0,
        }

    # ---- time --------------------------------------------------------------------------------------

    def next_event_at(self) -> int | None:
        """Returns when `advance` next has something to do if nothing is submitted; None if nothing will happen."""
        event_times = [r.request.deadline_at for r in (*self.queue, *self.running)]
        if self.step_end_at is not None:
            event_times.append(self.step_end_at)
        if self.load is not None and self.load.end_at is not None:
            event_times.append(self.load.end_at)
        event_times.extend(r.fetched_at for r in self.running if r.phase == "fetching" and r.fetched_at is not None)
        return min(event_times) if event_times else None

    def advance(self, now: int) -> list[EngineOutput]:
        """Processes all events up to `now` and returns the outputs, in order."""
        while (event_at := self.next_event_at()) is not None and event_at <= now:
            self._process_due_events(event_at)
        self._record_state(now)
        outputs, self.outputs = self.outputs, []
        return outputs

    def _record_state(self, now: int) -> None:
        """Keeps the state for later reports: several times per report lag, and when an order begins or ends."""
        state = self.state()
        is_due = not self.reports or now - self.reports[-1][0] >= self.settings.report_lag_micros // 4
        if is_due or any(state[n] != self.reports[-1][1][n] for n in ("Saturated", "CallSeq", "Models")):
            self.reports.append((now, state))

    def _process_due_events(self, now: int) -> None:
        if self.step_end_at is not None and self.step_end_at <= now:
            self.step_end_at = None
            self._finish_step(now)
        for entry in list(self.running):
            if entry.phase == "fetching" and entry.fetched_at is not None and entry.fetched_at <= now:
                entry.phase = "prefill"
                self._pin_cached_parts(now, entry)
        for entry in [r for r in (*self.queue, *self.running) if r.request.deadline_at <= now]:
            self._expire(now, entry)
        if self.load is not None and self.load.end_at is not None and self.load.end_at <= now:
            self._finish_load(now)
        self._continue_load(now)
        self._admit(now)

    def _expire(self, now: int, entry: _RequestState) -> None:
        was_queued = entry in self.queue
        self._remove(entry)
        if was_queued and not entry.is_begun:
            self.outputs.append(LateRejection(entry.ticket, 503))
            return
        if not entry.is_begun:
            self._record_run(now, entry, 504)
        self.outputs.append(DeadlineExceeded(entry.ticket))

    # ---- admission and memory ----------------------------------------------------------------------

    def _reset_progress(self, entry: _RequestState) -> None:
        """Sets a request to unread, as when it is first queued; pieces that are already out are kept."""
        piece_count = self._piece_count(entry.request)
        if not entry.is_begun:
            entry.next_piece = min(entry.request.resumed_from, piece_count) + 1
            entry.generated_tokens = self._tokens_before_piece(entry.request, entry.next_piece)
        entry.phase, entry.has_fetched, entry.fetched_at = "queued", False, None
        entry.part_index = entry.part_tokens_read = entry.tail_tokens_read = 0
        named_tokens = sum(p.tokens for p in entry.request.parts)
        entry.tail_tokens = max(0, entry.request.prompt_tokens - named_tokens) + entry.generated_tokens

    def _piece_count(self, request: EngineRequest) -> int:
        return max(1, -(-request.output_tokens // self.settings.stride))

    def _tokens_before_piece(self, request: EngineRequest, piece_number: int) -> int:
        """Tokens generated once the piece before this one is out."""
        if piece_number <= 1:
            return 0
        return self._tokens_through_piece(request, piece_number - 1)

    def _tokens_through_piece(self, request: EngineRequest, piece_number: int) -> int:
        """Tokens generated once this piece is out."""
        if piece_number >= self._piece_count(request):
            return request.output_tokens
        return (piece_number - 1) * self.settings.stride + 1

    def _admit(self, now: int) -> None:
        if self.load is None:
            for entry in sorted(self.queue, key=lambda r: r.priority):
                if len(self.running) >= self.settings.capacity or not self._try_admit(now, entry):
                    break
        self._start_step(now)

    def _try_admit(self, now: int, entry: _RequestState) -> bool:
        """Moves a queued request into the running batch; returns False if its memory can't be allocated."""
        cached = self._cached_prefix(entry)
        partial_part = self._partial_part(entry, len(cached))
        pinned = cached if partial_part is None else [*cached, partial_part]
        for part in pinned:
            self.cache.pin(part)
        unread = sum(count_blocks(p.tokens) for p in entry.request.parts[len(cached) :])
        blocks = unread + count_blocks(entry.tail_tokens) + 1
        is_allocated = self.cache.allocate_blocks(now, blocks)
        if partial_part is not None:
            self.cache.unpin(partial_part)
        if not is_allocated:
            for part in cached:
                self.cache.unpin(part)
            return False
        entry.pinned_parts = cached
        entry.part_index = len(cached)
        for part in cached:
            self._record_use(now, entry, part, part.tokens)
        self.cache.touch(cached)
        entry.private_blocks = blocks
        self.queue.remove(entry)
        self.running.append(entry)
        missing = entry.request.parts[len(cached) :]
        if entry.request.source and missing and not entry.has_fetched:
            entry.phase, entry.has_fetched = "fetching", True
            keys = tuple((entry.request.salt, entry.request.model, p.part) for p in missing)
            self.outputs.append(FetchRequested(entry.ticket, entry.request.source, keys))
            return True
        entry.phase = "prefill"
        self._pin_cached_parts(now, entry)
        return True

    def _cached_prefix(self, entry: _RequestState) -> list[KeptPart]:
        """The parts at the start of the prompt that are cached in full."""
        cached: list[KeptPart] = []
        for prompt_part in entry.request.parts:
            part = self.cache.get((entry.request.salt, entry.request.model, prompt_part.part))
            if part is None or part.tokens < prompt_part.tokens:
                break
            cached.append(part)
        return cached

    def _partial_part(self, entry: _RequestState, part_index: int) -> KeptPart | None:
        """The part of the prompt at an index, if a beginning of it is cached."""
        if part_index == len(entry.request.parts):
            return None
        return self.cache.get((entry.request.salt, entry.request.model, entry.request.parts[part_index].part))

    def _pin_cached_parts(self, now: int, entry: _RequestState) -> None:
        """Pins parts that were cached since the request was admitted, and releases the blocks reserved to read them."""
        new_parts = self._cached_prefix(entry)[entry.part_index :]
        for part in new_parts:
            self.cache.pin(part)
            entry.pinned_parts.append(part)
            blocks = count_blocks(entry.request.parts[entry.part_index].tokens)
            entry.part_index += 1
            entry.private_blocks -= blocks
            self.cache.release_blocks(blocks)
            self._record_use(now, entry, part, part.tokens)
        self.cache.touch(entry.pinned_parts)
        partial_part = self._partial_part(entry, entry.part_index)
        if partial_part is not None:
            # Only the part's beginning is cached; reading goes on after it.
            entry.part_tokens_read = partial_part.tokens
            self._record_use(now, entry, partial_part, partial_part.tokens)

    def _record_use(self, now: int, entry: _RequestState, part: KeptPart, tokens: int) -> None:
        self.sink.record(
            Use(
                now,
                self.worker,
                entry.request.request_id,
                entry.request.tenant,
                self.model,
                self.version,
                part.salt,
                part.part,
                tokens,
                part.version,
                part.tenant,
            )
        )

    def _remove(self, entry: _RequestState) -> None:
        if entry in self.queue:
            self.queue.remove(entry)
        if entry in self.running:
            self.running.remove(entry)
        self._release_memory(entry)

    def _release_memory(self, entry: _RequestState) -> None:
        for part in entry.pinned_parts:
            self.cache.unpin(part)
        entry.pinned_parts = []
        self.cache.release_blocks(entry.private_blocks)
        entry.private_blocks = 0

    def _requeue(self, entry: _RequestState) -> None:
        """Puts a running request back into the queue; its prompt is read again.

        Used when memory runs out, and for requests that were still reading their prompt when new weights were loaded.
        """
        self._remove(entry)
        self._reset_progress(entry)
        self.queue.append(entry)

    # ---- steps -------------------------------------------------------------------------------------

    def _start_step(self, now: int) -> None:
        is_paused = self.load is not None and self.load.end_at is not None
        active = [r for r in self.running if r.phase in ("prefill", "decode")]
        if self.step_end_at is not None or is_paused or not active:
            return
        self._planned_tokens = self._plan_prefill(active)
        context_tokens = sum(r.request.prompt_tokens + r.generated_tokens for r in active)
        step_micros = (
            self.settings.step_micros
            + self.settings.slot_micros * len(active)
            + self.settings.context_micros_per_k * context_tokens / 1_000
            + 1_000 * sum(self._planned_tokens.values()) / self.settings.prefill_tokens_per_milli
        )
        self.step_end_at = max(now, self.stalled_until) + round(step_micros * self.step_slowness)

    def _plan_prefill(self, active: list[_RequestState]) -> dict[int, int]:
        """Splits this step's budget of prompt tokens over the requests, by ticket: most urgent and oldest first."""
        budget_tokens, planned = self.settings.chunk_tokens, {}
        for entry in sorted(active, key=lambda r: r.priority):
            if entry.phase == "prefill" and budget_tokens:
                tokens = min(budget_tokens, self._unread_tokens(entry))
                planned[entry.ticket] = tokens
                budget_tokens -= tokens
        return planned

    def _unread_tokens(self, entry: _RequestState) -> int:
        named_tokens = sum(p.tokens for p in entry.request.parts[entry.part_index :]) - entry.part_tokens_read
        return named_tokens + entry.tail_tokens - entry.tail_tokens_read

    def _finish_step(self, now: int) -> None:
        decoding = [r for r in self.running if r.phase == "decode"]
        for entry in [r for r in self.running if r.ticket in self._planned_tokens and r.phase == "prefill"]:
            self._read_prompt(now, entry, self._planned_tokens[entry.ticket])
            if entry.phase == "decode":
                decoding.append(entry)
        for entry in decoding:
            if entry in self.running:
                self._generate_token(now, entry)

    def _read_prompt(self, now: int, entry: _RequestState, tokens: int) -> None:
        self.tokens_read += tokens
        while tokens and entry.part_index < len(entry.request.parts):
            prompt_part = entry.request.parts[entry.part_index]
            read_tokens = min(tokens, prompt_part.tokens - entry.part_tokens_read)
            entry.part_tokens_read += read_tokens
            tokens -= read_tokens
            if entry.part_tokens_read == prompt_part.tokens:
                self._cache_read_part(now, entry, prompt_part)
        entry.tail_tokens_read += tokens
        if not self._unread_tokens(entry):
            entry.phase = "decode"
            if entry.request.target:
                self._save(now, entry)

    def _cache_read_part(self, now: int, entry: _RequestState, prompt_part: PromptPartSpec) -> None:
        request = entry.request
        entry.part_index, entry.part_tokens_read = entry.part_index + 1, 0
        entry.private_blocks -= count_blocks(prompt_part.tokens)
        new_part = KeptPart(
            request.salt, request.model, prompt_part.part, prompt_part.tokens, self.version, request.tenant
        )
        cached_part = self.cache.insert(now, new_part, has_blocks=True)
        if cached_part is not None:
            self.cache.pin(cached_part)
            entry.pinned_parts.append(cached_part)

    def _save(self, now: int, entry: _RequestState) -> None:
        parts = tuple(p for p in entry.pinned_parts if self.cache.get(p.key) is p)
        start_at = max(now, self.link_free_at)
        if parts and start_at - now <= self.settings.move_wait_micros:
            self.link_free_at = start_at + self._transfer_micros(sum(p.tokens for p in parts), False)
            self.outputs.append(SaveRequested(entry.request.target, parts))

    def _transfer_micros(self, tokens: int, is_far: bool) -> int:
        bits = tokens * self.settings.token_bytes * 8
        transfer_micros = bits / self.settings.link_mbps * (2 if is_far else 1) * self.link_slowness
        return self.settings.setup_micros + round(transfer_micros)

    def _generate_token(self, now: int, entry: _RequestState) -> None:
        request = entry.request
        entry.generated_tokens += 1
        if entry.generated_tokens % 16 == 0 and not self._allocate_block(now, entry):
            return
        piece_count = self._piece_count(request)
        if not entry.is_begun:
            entry.is_begun, entry.reported_version = True, self.version
            self._record_run(now, entry, 200)
            run = f"{self.instance}-{entry.ticket}"
            self.outputs.append(RunStarted(entry.ticket, run, self.version, piece_count))
        while entry.next_piece <= piece_count and entry.generated_tokens >= self._tokens_through_piece(
            request, entry.next_piece
        ):
            version = 0 if entry.reported_version == self.version else self.version
            entry.reported_version = self.version
            self.outputs.append(PieceProduced(entry.ticket, entry.next_piece, version))
            entry.next_piece += 1
        if entry.generated_tokens >= request.output_tokens:
            self._remove(entry)
            self.outputs.append(RunFinished(entry.ticket))

    def _allocate_block(self, now: int, entry: _RequestState) -> bool:
        """Allocates one more block, for which it requeues the least urgent requests; False if this one was requeued."""
        while not self.cache.allocate_blocks(now, 1):
            least_urgent = max(self.running, key=lambda r: r.priority)
            if least_urgent is entry:
                entry.generated_tokens -= 1
            self._requeue(least_urgent)
            if least_urgent is entry:
                return False
        entry.private_blocks += 1
        return True

    def _record_run(self, now: int, entry: _RequestState, status: int) -> None:
        request = entry.request
        self.sink.record(
            Run(
                now,
                self.worker,
                self.instance,
                self.service,
                request.request_id,
                request.tenant,
                self.model,
                self.version,
                request.resumed_from,
                status,
            )
        )

    # ---- weights loads -----------------------------------------------------------------------------

    def _check_order(self, body: dict[str, Any]) -> int:
        holder, fence, version = body.get("Holder"), body.get("Fence"), body.get("Revision")
        is_valid_order = (
            body.get("Operation") == "Revision"
            and isinstance(holder, str)
            and holder
            and isinstance(fence, int)
            and isinstance(version, int)
            and body.get("Mode", "wait") in MODES
            and body.get("Model") == self.model
            and version in self.named_versions
        )
        if not is_valid_order:
            return 400
        assert isinstance(fence, int)
        if self.settings.is_fenced and fence < self.highest_fence:
            return 412
        self.highest_fence = max(self.highest_fence, fence)
        if self.load is not None or body.get("Expected", self.accepted_order_count) != self.accepted_order_count:
            return 409
        return 200 if version == self.version else 202

    def _start_order(self, now: int, body: dict[str, Any]) -> None:
        self.accepted_order_count += 1
        self.load = _Load(body["Revision"], body.get("Mode", "wait"))
        for entry in [r for r in (*self.queue, *self.running) if not r.is_begun]:
            self._remove(entry)
            self.outputs.append(LateRejection(entry.ticket, 503))
        if self.load.mode == "preempt":
            for entry in [*self.queue, *self.running]:
                self._remove(entry)
                self.outputs.append(RunAborted(entry.ticket))
        self._continue_load(now)

    def _continue_load(self, now: int) -> None:
        if self.load is None or self.load.end_at is not None:
            return
        if self.load.mode == "wait" and self.queue and not self.running:
            # Requeued during its run, for lack of memory: the run has to finish before the load.
            for entry in sorted(self.queue, key=lambda r: r.priority):
                self._try_admit(now, entry)
        if self.load.mode != "wait" or not (self.running or self.queue):
            self.load.end_at = now + round(self.settings.load_micros * self.load_slowness)
            self.step_end_at = None

    def _finish_load(self, now: int) -> None:
        assert self.load is not None
        self.version = self.load.version
        self.load = None
        self.cache.clear(now)
        for entry in [r for r in self.running if r.phase != "decode"]:
            self._requeue(entry)
