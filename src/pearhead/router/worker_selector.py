"""WorkerSelector (§8.8): which worker runs an opaque request, under which salt, and what it fetches before."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from pearhead.config.description import Route, Service, Tenant
from pearhead.config.view import View
from pearhead.router.cache_salt_builder import CacheSalt, CacheSaltBuilder
from pearhead.router.errors import ErrorKind, Refusal
from pearhead.router.opaque_request import OpaqueRequest
from pearhead.router.prefill_rate import FIRST_EVENT_MICROS, MICROS_PER_TOKEN, prefill_read_micros
from pearhead.router.prefix_cache_index import PrefixCacheIndex
from pearhead.router.roster_merge import Roster
from pearhead.router.worker_control import Backend
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_version_table import WorkerVersionTable
from pearhead.runtime.clock import MILLI, SECOND, Clock

FETCH_OVERHEAD_MICROS = 6 * MILLI
RUNNING_REQUEST_MICROS = 600
QUEUED_REQUEST_MICROS = 60 * MILLI
# What a keeper has is fetched even where reading it again would be somewhat quicker: that takes the batch's steps.
RECOMPUTE_COST_WEIGHT = 2.0
# What is kept elsewhere and read here takes room and steps from later requests, and is worth a wait.
DUPLICATE_CACHE_MICROS_PER_TOKEN = 300
MAX_DUPLICATE_CACHE_MICROS = 600 * MILLI
# A worker that runs out of memory puts a request back and reads all of it anew.
USABLE_CACHE_FRACTION = 0.92
MEMORY_SHORTAGE_MICROS = SECOND
EXPECTED_CACHE_TTL_MICROS = SECOND
MAX_EXPECTED_CACHE_ENTRIES = 4_000
LONG_TOKENS = 1_000
# So many workers may read a long part that nobody keeps, where the word of what others are busy with is late.
HOME_WORKER_COUNT = 4
AFFINITY_COST_FRACTION = 0.5
# Where all have long prompts to read, short ones would wait behind them: these workers are spared as far as that goes.
RESERVED_WORKER_FRACTION = 0.4
RESERVATION_BACKLOG_MICROS = 300 * MILLI
RESERVED_PENALTY_WEIGHT = 3
MAX_RESERVED_PENALTY_MICROS = 1_200 * MILLI


@dataclass(frozen=True)
class WorkerChoice:
    """`missing_tokens` are read by the worker; `expected_micros` until its first event, before the worker's pace."""

    backend: Backend
    service: str
    line: str
    version: int | None
    salt: str
    kept_tokens: int
    missing_tokens: int
    fetch_from: str
    save_to: str
    expected_micros: int


class WorkerSelector:
    def __init__(
        self,
        clock: Clock,
        zone: str,
        roster: Callable[[], Roster],
        versions: WorkerVersionTable,
        index: PrefixCacheIndex,
        loads: WorkerLoadTracker,
        salts: CacheSaltBuilder,
        may_use: Callable[[View, str, int], bool],
        sample: Callable[[list[Backend]], list[Backend]] = list,
        are_load_reports_late: Callable[[], bool] = lambda: False,
    ) -> None:
        self.clock = clock
        self.zone = zone
        self.roster = roster
        self.versions = versions
        self.index = index
        self.loads = loads
        self.salts = salts
        self.may_use = may_use
        self.sample = sample
        self.are_load_reports_late = are_load_reports_late
        self.expected_cached: dict[tuple[str, str, str], int] = {}

    def choose(
        self, view: View, route: Route, request: OpaqueRequest, tenant: Tenant | None, excluded: frozenset[str]
    ) -> Result[WorkerChoice, Refusal]:
        """The worker where the first event is expected soonest; an error if none can run it."""
        roster = self.roster()
        for service_name in _services_by_share(route, request.request_id):
            service = view.services.get(service_name)
            if service is None or service.role == "store":
                continue
            found = self._choose_in_service(view, roster, service, request, tenant, excluded)
            if found is not None:
                return Ok(found)
        return Err(Refusal(ErrorKind.NO_WORKER, "no worker can run it now", 600 * MILLI))

    def knows_workers(self) -> bool:
        """A node that starts hears of workers last; later an empty roster says that there are none."""
        return bool(self.roster().backends)

    def is_still_valid(self, view: View, choice: WorkerChoice) -> bool:
        """Whether this very choice could still be made: asked in one step with the first byte (§8.4)."""
        backend = self.roster().backends.get(choice.backend.name)
        if backend is None or backend.is_leaving or backend.address != choice.backend.address:
            return False
        if choice.version is None:
            return True
        return (
            not self.versions.is_loading(backend.name)
            and self.may_use(view, choice.line, choice.version)
            and self.versions.version_of(backend.name, choice.line) == choice.version
        )

    def _choose_in_service(
        self,
        view: View,
        roster: Roster,
        service: Service,
        request: OpaqueRequest,
        tenant: Tenant | None,
        excluded: frozenset[str],
    ) -> WorkerChoice | None:
        line = _line_of(request, service)
        if service.role == "model" and not line:
            return None
        candidates = [
            backend
            for backend in roster.backends.values()
            if backend.service == service.name
            and not backend.is_leaving
            and backend.name not in excluded
            and (not line or self._is_usable(view, backend, line))
        ]
        not_backed_off = [backend for backend in candidates if not self.loads.is_backed_off(backend.name)]
        candidates = not_backed_off or candidates
        if not candidates:
            return None
        if not line:
            return self._choose_least_loaded(candidates, service)
        if request.last_event_id:
            candidates = self._with_newest_weights(candidates, line)
        # Nodes spare the same workers, whichever each of them looks at.
        quiet, reserved_penalty_micros = self._reserved_workers(service, candidates, request)
        if request.prompt_tokens() < LONG_TOKENS:
            candidates = self.sample(candidates)
        elif self.are_load_reports_late():
            candidates = self._home_and_caching_workers(view, candidates, tenant, line, request)
        salts = {
            version: self.salts.salt(view, tenant, line, version, request.parts)
            for version in {self.versions.version_of(b.name, line) for b in candidates}
            if version is not None
        }
        max_cached_by_version = {
            version: self._max_cached_tokens(salt.text, request, candidates) for version, salt in salts.items()
        }
        home_worker_ranks = _home_worker_ranks(request, candidates)
        choices = []
        for backend in candidates:
            cost, choice = self._evaluate_worker(
                view,
                roster,
                service,
                backend,
                salts,
                max_cached_by_version,
                line,
                request,
                home_worker_ranks[backend.name],
            )
            if backend.name in quiet and choice.missing_tokens >= LONG_TOKENS:
                cost += reserved_penalty_micros
            choices.append((cost, backend.name, choice))
        return min(choices, key=lambda item: item[:2])[2]

    def _with_newest_weights(self, candidates: list[Backend], line: str) -> list[Backend]:
        """For a caller that has a part of its answer, perhaps from another node: which weights made that part is not
        told, and no later part should be made by older ones."""
        versions = {backend.name: self.versions.version_of(backend.name, line) or 0 for backend in candidates}
        newest = max(versions.values())
        return [backend for backend in candidates if versions[backend.name] == newest]

    def _home_and_caching_workers(
        self, view: View, candidates: list[Backend], tenant: Tenant | None, line: str, request: OpaqueRequest
    ) -> list[Backend]:
        """The first few by rendezvous over the first part, and who keeps it.

        Nodes whose word of all workers is late would all choose the one that was idle then. With a few choices for each
        part they spread by the parts, and each still passes by those of its workers that are busy.
        """
        if not request.parts:
            return candidates
        first = request.parts[0].part
        chosen = set(_rendezvous_order(first, candidates)[:HOME_WORKER_COUNT])
        for version in {self.versions.version_of(backend.name, line) for backend in candidates} - {None}:
            assert version is not None
            chosen |= self.index.cache_locations_of(
                self.salts.salt(view, tenant, line, version, request.parts).text, first
            )
        return [backend for backend in candidates if backend.name in chosen]

    def _is_usable(self, view: View, backend: Backend, line: str) -> bool:
        version = self.versions.version_of(backend.name, line)
        return version is not None and not self.versions.is_loading(backend.name) and self.may_use(view, line, version)

    def _choose_least_loaded(self, candidates: list[Backend], service: Service) -> WorkerChoice:
        backend = min(candidates, key=lambda b: (self.loads.current_load(b.name).running, b.zone != self.zone, b.name))
        return WorkerChoice(backend, service.name, "", None, "", 0, 0, "", "", FIRST_EVENT_MICROS)

    def _evaluate_worker(
        self,
        view: View,
        roster: Roster,
        service: Service,
        backend: Backend,
        salts: Mapping[int, CacheSalt],
        max_cached_by_version: Mapping[int, int],
        line: str,
        request: OpaqueRequest,
        home_worker_rank: int,
    ) -> tuple[float, WorkerChoice]:
        version = self.versions.version_of(backend.name, line)
        assert version is not None
        salt = salts[version]
        prompt = request.prompt_tokens()
        kept = self._cached_tokens(backend.name, salt.text, request)
        missing = prompt - kept
        fetch_from, fetched, fetch_micros = "", 0, 0.0
        if salt.is_fresh and missing >= LONG_TOKENS:
            fetch_from, fetched, fetch_micros = self._best_fetch(
                view, roster, service, backend, version, line, salt.text, request, kept
            )
        use = self.loads.current_load(backend.name)
        pace = self.loads.slowdown_of(backend.name)
        read = missing - fetched
        rate = self.loads.read_rates.factor(service.name)
        own_micros = rate * prefill_read_micros(read, kept + fetched) + fetch_micros + FIRST_EVENT_MICROS
        waiting_micros = rate * use.waiting_tokens * MICROS_PER_TOKEN + use.running * RUNNING_REQUEST_MICROS
        capacity = backend.capacity or service.capacity or 1
        if use.running >= capacity:
            waiting_micros += QUEUED_REQUEST_MICROS * (1 + use.running - capacity)
        estimated_micros = own_micros + waiting_micros
        # A long prefix that is kept nowhere goes where all nodes send it, unless that is much busier.
        shared = sum(part.tokens for part in request.parts[:-1])
        placement_penalty_micros = _memory_shortage_micros(service, use.held_tokens + prompt + request.output_tokens)
        again = min(max_cached_by_version.get(version, 0), shared) - kept - fetched
        placement_penalty_micros += min(max(again, 0) * DUPLICATE_CACHE_MICROS_PER_TOKEN, MAX_DUPLICATE_CACHE_MICROS)
        if shared >= LONG_TOKENS and kept < shared:
            placement_penalty_micros += (
                rate * min(home_worker_rank, 3) * AFFINITY_COST_FRACTION * shared * MICROS_PER_TOKEN / 3
            )
        save_to = self._store_for(view, salt.text, request, kept) if salt.is_fresh else ""
        return estimated_micros * pace + placement_penalty_micros, WorkerChoice(
            backend,
            service.name,
            line,
            version,
            salt.text,
            kept + fetched,
            read,
            fetch_from,
            save_to,
            int(estimated_micros),
        )

    def _reserved_workers(
        self, service: Service, candidates: list[Backend], request: OpaqueRequest
    ) -> tuple[frozenset[str], float]:
        """Workers that a long prompt spares, and how much longer it waits for that: none while there is little to read.

        Nodes agree on them without talking.
        """
        if request.prompt_tokens() < LONG_TOKENS:
            return frozenset(), 0.0
        waiting_tokens = sum(self.loads.current_load(backend.name).waiting_tokens for backend in candidates)
        rate = self.loads.read_rates.factor(service.name)
        excess_micros = rate * waiting_tokens * MICROS_PER_TOKEN / len(candidates) - RESERVATION_BACKLOG_MICROS
        if excess_micros <= 0:
            return frozenset(), 0.0
        names = _rendezvous_order(f"quiet/{service.name}", candidates)[
            : round(len(candidates) * RESERVED_WORKER_FRACTION)
        ]
        return frozenset(names), min(RESERVED_PENALTY_WEIGHT * excess_micros, MAX_RESERVED_PENALTY_MICROS)

    def _cached_tokens(self, worker: str, salt: str, request: OpaqueRequest) -> int:
        kept = self.index.cached_prefix_tokens(worker, salt, request.parts)
        now_micros = self.clock.now()
        expected = 0
        for part in request.parts:
            if self.expected_cached.get((worker, salt, part.part), 0) <= now_micros:
                break
            expected += part.tokens
        return max(kept, expected)

    def _max_cached_tokens(self, salt: str, request: OpaqueRequest, candidates: list[Backend]) -> int:
        """The most that any keeper has of it."""
        if not request.parts:
            return 0
        first = request.parts[0].part
        names = self.index.cache_locations_of(salt, first) | {
            backend.name for backend in candidates if (backend.name, salt, first) in self.expected_cached
        }
        return max((self._cached_tokens(name, salt, request) for name in names), default=0)

    def _best_fetch(
        self,
        view: View,
        roster: Roster,
        service: Service,
        backend: Backend,
        version: int,
        line: str,
        salt: str,
        request: OpaqueRequest,
        kept: int,
    ) -> tuple[str, int, float]:
        """Where from, how many tokens, how long: only what is kept under this salt and comes quicker than reading."""
        if not request.parts or not service.token_bytes:
            return "", 0, 0.0
        best = ("", 0, 0.0)
        best_gain = 0.0
        for keeper in self.index.cache_locations_of(salt, request.parts[0].part):
            if keeper == backend.name:
                continue
            source = roster.backends.get(keeper)
            store = view.services.get(keeper) if source is None else None
            if source is not None:
                if source.is_leaving or self.versions.version_of(source.name, line) != version:
                    continue
                if self.versions.is_loading(source.name) or self.loads.is_backed_off(source.name):
                    continue
                address, zone, mbps = source.address, source.zone, service.link_mbps
            elif store is not None and store.role == "store":
                address, zone, mbps = store.store_address, store.store_zone, store.link_mbps or service.link_mbps
            else:
                continue
            tokens = self.index.cached_prefix_tokens(keeper, salt, request.parts) - kept
            if tokens < LONG_TOKENS or not mbps:
                continue
            move_micros = tokens * service.token_bytes * 8 / min(mbps, service.link_mbps or mbps)
            move_micros = move_micros * (1 if zone == backend.zone else 2) + FETCH_OVERHEAD_MICROS
            rate = self.loads.read_rates.factor(service.name)
            gain = RECOMPUTE_COST_WEIGHT * rate * prefill_read_micros(tokens, kept) - move_micros
            if gain > best_gain:
                best, best_gain = (address, tokens, move_micros), gain
        return best

    def _store_for(self, view: View, salt: str, request: OpaqueRequest, kept: int) -> str:
        """A store that does not keep the shared parts yet."""
        shared = request.parts[:-1]
        shared_tokens = sum(part.tokens for part in shared)
        if shared_tokens < LONG_TOKENS:
            return ""
        for service in view.services.values():
            if service.role == "store" and service.store_address:
                if self.index.cached_prefix_tokens(service.name, salt, shared) < shared_tokens:
                    return service.store_address
        return ""

    def expect_cached(self, worker: str, salt: str, parts: Iterable[str]) -> None:
        """The first event of their reader is here, so they are kept; the worker's own word of it comes later.

        Not sooner: a request that starts while they are being read reads them too.
        """
        now_micros = self.clock.now()
        for part in parts:
            self.expected_cached[worker, salt, part] = now_micros + EXPECTED_CACHE_TTL_MICROS
        if len(self.expected_cached) > MAX_EXPECTED_CACHE_ENTRIES:
            self.expected_cached = {key: until for key, until in self.expected_cached.items() if until > now_micros}


def _memory_shortage_micros(service: Service, held_tokens: int) -> float:
    """What it costs to ask a worker for more than its memory; more of it the more is asked."""
    room = service.cache_tokens * USABLE_CACHE_FRACTION
    return MEMORY_SHORTAGE_MICROS * held_tokens / room if room and held_tokens > room else 0.0


def _line_of(request: OpaqueRequest, service: Service) -> str:
    """A request that names no line goes on the first that its service runs."""
    if not request.line and service.lines:
        return service.lines[0]
    return request.line if request.line in service.lines else ""


def _services_by_share(route: Route, request_id: str) -> Iterable[str]:
    """The service that the split gives this request, then the others."""
    total = sum(split.share for split in route.splits)
    hash_point = int.from_bytes(hashlib.blake2b(request_id.encode(), digest_size=4).digest(), "big") % max(total, 1)
    names: list[str] = []
    for split in route.splits:
        if split.share and 0 <= hash_point < split.share:
            names.insert(0, split.service)
        elif split.share:
            names.append(split.service)
        hash_point -= split.share
    return dict.fromkeys(names)


def _home_worker_ranks(request: OpaqueRequest, candidates: list[Backend]) -> dict[str, int]:
    """By the first part."""
    first = request.parts[0].part if request.parts else request.request_id
    return {name: rank for rank, name in enumerate(_rendezvous_order(first, candidates))}


def _rendezvous_order(subject: str, candidates: list[Backend]) -> list[str]:
    """So that nodes agree without talking."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{subject}/{name}".encode(), digest_size=8).digest()

    return sorted((backend.name for backend in candidates), key=weight)
