"""Worker selection for opaque requests (§8.8): the worker, the cache salt, and the cached parts to fetch first."""

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
from pearhead.router.prefill_rate import FIRST_EVENT_MICROS, MICROS_PER_TOKEN, estimate_prefill_micros
from pearhead.router.prefix_cache_index import PrefixCacheIndex
from pearhead.router.roster_merge import Roster
from pearhead.router.worker_control import Backend
from pearhead.router.worker_load_tracker import WorkerLoadTracker
from pearhead.router.worker_version_table import WorkerVersionTable
from pearhead.runtime.clock import MILLI, SECOND, Clock

FETCH_OVERHEAD_MICROS = 6 * MILLI
RUNNING_REQUEST_MICROS = 600
QUEUED_REQUEST_MICROS = 60 * MILLI
# Cached parts are fetched even where recomputing them would be somewhat quicker, as prefill takes steps of the batch.
RECOMPUTE_COST_WEIGHT = 2.0
# A part that is cached elsewhere and prefilled here again takes cache space and batch steps from later requests;
# avoiding that is worth some waiting.
DUPLICATE_CACHE_MICROS_PER_TOKEN = 300
MAX_DUPLICATE_CACHE_MICROS = 600 * MILLI
# A worker that runs out of cache memory preempts a request and prefills all of it again.
USABLE_CACHE_FRACTION = 0.92
MEMORY_SHORTAGE_MICROS = SECOND
EXPECTED_CACHE_TTL_MICROS = SECOND
MAX_EXPECTED_CACHE_ENTRIES = 4_000
LONG_TOKENS = 1_000
# While other nodes' load reports are late, a long prompt whose first part no worker caches may go to this many only.
HOME_WORKER_COUNT = 4
AFFINITY_COST_FRACTION = 0.5
# If all workers had long prompts to prefill, short prompts would wait behind them. Long prompts avoid this share of
# the workers, unless that costs them more than the penalty below.
RESERVED_WORKER_FRACTION = 0.4
RESERVATION_BACKLOG_MICROS = 300 * MILLI
RESERVED_PENALTY_WEIGHT = 3
MAX_RESERVED_PENALTY_MICROS = 1_200 * MILLI


@dataclass(frozen=True)
class WorkerChoice:
    """The worker chosen for a request, and how the request uses cached parts there.

    `missing_tokens` are prefilled by the worker. `cached_tokens` include what it fetches from the address `fetch_from`.
    `copy_to` is the address of a store that should get a copy of the shared parts. `estimated_micros` is the estimated
    time to the first event, before it is scaled by the worker's slowdown factor. `held_tokens` is the memory that the
    request takes there, at most all that the worker has.
    """

    backend: Backend
    service: str
    line: str
    version: int | None
    salt: str
    cached_tokens: int
    missing_tokens: int
    fetch_from: str
    copy_to: str
    estimated_micros: int
    held_tokens: int


class WorkerSelector:
    """Chooses workers by estimated time to the first event, cached prefixes, free cache memory and load.

    `may_use` tells whether a weights version of a line may still serve. `sample` limits the candidates of short
    requests. `are_load_reports_late` tells whether the loads announced by other nodes are delayed.
    """

    def __init__(
        self,
        clock: Clock,
        zone: str,
        roster: Callable[[], Roster],
        version_table: WorkerVersionTable,
        prefix_cache_index: PrefixCacheIndex,
        load_tracker: WorkerLoadTracker,
        salt_builder: CacheSaltBuilder,
        may_use: Callable[[View, str, int], bool],
        sample: Callable[[list[Backend]], list[Backend]] = list,
        are_load_reports_late: Callable[[], bool] = lambda: False,
    ) -> None:
        self.clock = clock
        self.zone = zone
        self.roster = roster
        self.version_table = version_table
        self.prefix_cache_index = prefix_cache_index
        self.load_tracker = load_tracker
        self.salt_builder = salt_builder
        self.may_use = may_use
        self.sample = sample
        self.are_load_reports_late = are_load_reports_late
        self.expected_cached: dict[tuple[str, str, str], int] = {}

    def choose(
        self, view: View, route: Route, request: OpaqueRequest, tenant: Tenant | None, excluded: frozenset[str]
    ) -> Result[WorkerChoice, Refusal]:
        """Returns the worker with the lowest estimated cost; a NO_WORKER refusal if no worker can run the request.

        The service that the route's traffic split assigns comes first, then the others. `excluded`: names of workers.
        """
        roster = self.roster()
        for service_name in _services_by_share(route, request.request_id):
            service = view.services.get(service_name)
            if service is None or service.role == "store":
                continue
            choice = self._choose_in_service(view, roster, service, request, tenant, excluded)
            if choice is not None:
                return Ok(choice)
        return Err(Refusal(ErrorKind.NO_WORKER, "no worker can run it now", 600 * MILLI))

    def knows_workers(self) -> bool:
        """Whether any worker is known.

        A node that starts learns of workers last; later an empty roster means that there are none.
        """
        return bool(self.roster().backends)

    def is_still_valid(self, view: View, tenant: Tenant | None, request: OpaqueRequest, choice: WorkerChoice) -> bool:
        """Whether this choice could still be made; checked in the same step that sends the first byte (§8.4).

        The salt has to be the one that the request would get now: who shares cached parts may have changed since, and
        so may whether the view is confirmed (§5.6).
        """
        backend = self.roster().backends.get(choice.backend.name)
        if backend is None or backend.is_leaving or backend.address != choice.backend.address:
            return False
        if choice.version is None:
            return True
        return (
            not self.version_table.is_loading(backend.name)
            and self.may_use(view, choice.line, choice.version)
            and self.version_table.version_of(backend.name, choice.line) == choice.version
            and self.salt_builder.salt(view, tenant, choice.line, choice.version, request).text == choice.salt
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
        not_backed_off = [backend for backend in candidates if not self.load_tracker.is_backed_off(backend.name)]
        candidates = not_backed_off or candidates
        if not candidates:
            return None
        if not line:
            return self._choose_least_loaded(candidates, service)
        if request.last_event_id:
            candidates = self._with_newest_weights(candidates, line)
        # Computed before candidates are narrowed, so that all nodes reserve the same workers.
        reserved_names, reserved_penalty_micros = self._reserved_workers(service, candidates, request)
        if request.prompt_tokens() < LONG_TOKENS:
            candidates = self.sample(candidates)
        elif self.are_load_reports_late():
            candidates = self._home_and_caching_workers(view, candidates, tenant, line, request)
        salts = {
            version: self.salt_builder.salt(view, tenant, line, version, request)
            for version in {self.version_table.version_of(b.name, line) for b in candidates}
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
            if backend.name in reserved_names and choice.missing_tokens >= LONG_TOKENS:
                cost += reserved_penalty_micros
            choices.append((cost, backend.name, choice))
        return min(choices, key=lambda item: item[:2])[2]

    def _with_newest_weights(self, candidates: list[Backend], line: str) -> list[Backend]:
        """Limits the candidates to those with the newest weights, for a client that resumes a stream.

        Another node may have served the first part of the stream, and the request does not say which weights
        generated it. No later part may be generated by older weights.
        """
        versions = {backend.name: self.version_table.version_of(backend.name, line) or 0 for backend in candidates}
        newest = max(versions.values())
        return [backend for backend in candidates if versions[backend.name] == newest]

    def _home_and_caching_workers(
        self, view: View, candidates: list[Backend], tenant: Tenant | None, line: str, request: OpaqueRequest
    ) -> list[Backend]:
        """Limits the candidates to the first part's home workers, by rendezvous hashing, and the workers that cache it.

        Nodes with late load reports would all choose the worker that was idle at the time of the reports. A few home
        workers for each part spread requests by their parts, and a busy home worker can still be avoided.
        """
        if not request.parts:
            return candidates
        first = request.parts[0].part
        chosen = set(_rendezvous_order(first, candidates)[:HOME_WORKER_COUNT])
        for version in {self.version_table.version_of(backend.name, line) for backend in candidates} - {None}:
            assert version is not None
            chosen |= self.prefix_cache_index.cache_locations_of(
                self.salt_builder.salt(view, tenant, line, version, request).text, first
            )
        return [backend for backend in candidates if backend.name in chosen]

    def _is_usable(self, view: View, backend: Backend, line: str) -> bool:
        version = self.version_table.version_of(backend.name, line)
        return (
            version is not None
            and not self.version_table.is_loading(backend.name)
            and self.may_use(view, line, version)
        )

    def _choose_least_loaded(self, candidates: list[Backend], service: Service) -> WorkerChoice:
        backend = min(
            candidates, key=lambda b: (self.load_tracker.current_load(b.name).running, b.zone != self.zone, b.name)
        )
        return WorkerChoice(backend, service.name, "", None, "", 0, 0, "", "", FIRST_EVENT_MICROS, 0)

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
        version = self.version_table.version_of(backend.name, line)
        assert version is not None
        salt = salts[version]
        prompt_tokens = request.prompt_tokens()
        held_tokens = _held_tokens(service, request)
        cached_tokens = self._cached_tokens(backend.name, salt.text, request)
        missing_tokens = prompt_tokens - cached_tokens
        fetch_from, fetched_tokens, fetch_micros = "", 0, 0.0
        if salt.is_fresh and missing_tokens >= LONG_TOKENS:
            fetch_from, fetched_tokens, fetch_micros = self._best_fetch(
                view, roster, service, backend, version, line, salt.text, request, cached_tokens
            )
        load = self.load_tracker.current_load(backend.name)
        slowdown = self.load_tracker.slowdown_of(backend.name)
        prefill_tokens = missing_tokens - fetched_tokens
        rate_factor = self.load_tracker.prefill_rates.factor(service.name)
        request_micros = (
            rate_factor * estimate_prefill_micros(prefill_tokens, cached_tokens + fetched_tokens)
            + fetch_micros
            + FIRST_EVENT_MICROS
        )
        waiting_micros = rate_factor * load.waiting_tokens * MICROS_PER_TOKEN + load.running * RUNNING_REQUEST_MICROS
        capacity = backend.capacity or service.capacity or 1
        if load.running >= capacity:
            waiting_micros += QUEUED_REQUEST_MICROS * (1 + load.running - capacity)
        estimated_micros = request_micros + waiting_micros
        # A long prefix that is not cached goes to its home worker, the same for all nodes, unless that is much busier.
        shared_tokens = sum(part.tokens for part in request.parts[:-1])
        placement_penalty_micros = _memory_shortage_micros(service, load.held_tokens + held_tokens)
        duplicate_tokens = min(max_cached_by_version.get(version, 0), shared_tokens) - cached_tokens - fetched_tokens
        placement_penalty_micros += min(
            max(duplicate_tokens, 0) * DUPLICATE_CACHE_MICROS_PER_TOKEN, MAX_DUPLICATE_CACHE_MICROS
        )
        if shared_tokens >= LONG_TOKENS and cached_tokens < shared_tokens:
            placement_penalty_micros += (
                rate_factor * min(home_worker_rank, 3) * AFFINITY_COST_FRACTION * shared_tokens * MICROS_PER_TOKEN / 3
            )
        copy_to = self._store_for(view, salt.text, request, cached_tokens) if salt.is_fresh else ""
        return estimated_micros * slowdown + placement_penalty_micros, WorkerChoice(
            backend,
            service.name,
            line,
            version,
            salt.text,
            cached_tokens + fetched_tokens,
            prefill_tokens,
            fetch_from,
            copy_to,
            int(estimated_micros),
            held_tokens,
        )

    def _reserved_workers(
        self, service: Service, candidates: list[Backend], request: OpaqueRequest
    ) -> tuple[frozenset[str], float]:
        """Workers that long prompts avoid, and the penalty in microseconds for using one all the same.

        There are none while the average prefill backlog is short. Rendezvous hashing makes nodes choose the same ones.
        """
        if request.prompt_tokens() < LONG_TOKENS:
            return frozenset(), 0.0
        waiting_tokens = sum(self.load_tracker.current_load(backend.name).waiting_tokens for backend in candidates)
        rate_factor = self.load_tracker.prefill_rates.factor(service.name)
        excess_micros = rate_factor * waiting_tokens * MICROS_PER_TOKEN / len(candidates) - RESERVATION_BACKLOG_MICROS
        if excess_micros <= 0:
            return frozenset(), 0.0
        names = _rendezvous_order(f"quiet/{service.name}", candidates)[
            : round(len(candidates) * RESERVED_WORKER_FRACTION)
        ]
        return frozenset(names), min(RESERVED_PENALTY_WEIGHT * excess_micros, MAX_RESERVED_PENALTY_MICROS)

    def _cached_tokens(self, worker: str, salt: str, request: OpaqueRequest) -> int:
        indexed_tokens = self.prefix_cache_index.cached_prefix_tokens(worker, salt, request.parts)
        now_micros = self.clock.now()
        expected_tokens = 0
        for part in request.parts:
            if self.expected_cached.get((worker, salt, part.part), 0) <= now_micros:
                break
            expected_tokens += part.tokens
        return max(indexed_tokens, expected_tokens)

    def _max_cached_tokens(self, salt: str, request: OpaqueRequest, candidates: list[Backend]) -> int:
        """The longest prefix of the request that any worker or store caches, in tokens."""
        if not request.parts:
            return 0
        first = request.parts[0].part
        names = self.prefix_cache_index.cache_locations_of(salt, first) | {
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
        cached_tokens: int,
    ) -> tuple[str, int, float]:
        """Returns the best source's address, the tokens to fetch from it, and the transfer time in microseconds.

        Only parts cached under this salt count. The address is empty if no transfer of `LONG_TOKENS` or more costs less
        than prefill, weighted by `RECOMPUTE_COST_WEIGHT`.
        """
        if not request.parts or not service.token_bytes:
            return "", 0, 0.0
        best = ("", 0, 0.0)
        best_saved_micros = 0.0
        for holder in self.prefix_cache_index.cache_locations_of(salt, request.parts[0].part):
            if holder == backend.name:
                continue
            source = roster.backends.get(holder)
            store = view.services.get(holder) if source is None else None
            if source is not None:
                if source.is_leaving or self.version_table.version_of(source.name, line) != version:
                    continue
                if self.version_table.is_loading(source.name) or self.load_tracker.is_backed_off(source.name):
                    continue
                address, zone, link_mbps = source.address, source.zone, service.link_mbps
            elif store is not None and store.role == "store":
                address, zone, link_mbps = store.store_address, store.store_zone, store.link_mbps or service.link_mbps
            else:
                continue
            extra_tokens = self.prefix_cache_index.cached_prefix_tokens(holder, salt, request.parts) - cached_tokens
            if extra_tokens < LONG_TOKENS or not link_mbps:
                continue
            transfer_micros = extra_tokens * service.token_bytes * 8 / min(link_mbps, service.link_mbps or link_mbps)
            transfer_micros = transfer_micros * (1 if zone == backend.zone else 2) + FETCH_OVERHEAD_MICROS
            rate_factor = self.load_tracker.prefill_rates.factor(service.name)
            saved_micros = (
                RECOMPUTE_COST_WEIGHT * rate_factor * estimate_prefill_micros(extra_tokens, cached_tokens)
                - transfer_micros
            )
            if saved_micros > best_saved_micros:
                best, best_saved_micros = (address, extra_tokens, transfer_micros), saved_micros
        return best

    def _store_for(self, view: View, salt: str, request: OpaqueRequest, cached_tokens: int) -> str:
        """The address of a store that does not have the shared parts yet; empty if there is none."""
        shared_parts = request.parts[:-1]
        shared_tokens = sum(part.tokens for part in shared_parts)
        if shared_tokens < LONG_TOKENS:
            return ""
        for service in view.services.values():
            if service.role == "store" and service.store_address:
                if self.prefix_cache_index.cached_prefix_tokens(service.name, salt, shared_parts) < shared_tokens:
                    return service.store_address
        return ""

    def expect_cached(self, worker: str, salt: str, parts: Iterable[str]) -> None:
        """Counts parts as cached for a while, until the worker reports them itself.

        Called when the first event of the request that prefills them arrives. Before that they are not reusable: a
        request that starts during the prefill has to prefill them too.
        """
        now_micros = self.clock.now()
        for part in parts:
            self.expected_cached[worker, salt, part] = now_micros + EXPECTED_CACHE_TTL_MICROS
        if len(self.expected_cached) > MAX_EXPECTED_CACHE_ENTRIES:
            self.expected_cached = {key: until for key, until in self.expected_cached.items() if until > now_micros}


def _held_tokens(service: Service, request: OpaqueRequest) -> int:
    """The tokens of a request, at most the service's cache memory: a worker turns away what exceeds it."""
    tokens = request.prompt_tokens() + request.output_tokens
    return min(tokens, service.cache_tokens) if service.cache_tokens > 0 else tokens


def _memory_shortage_micros(service: Service, held_tokens: int) -> float:
    """The penalty for exceeding a worker's usable cache memory; it grows with the tokens held."""
    usable_tokens = service.cache_tokens * USABLE_CACHE_FRACTION
    return (
        MEMORY_SHORTAGE_MICROS * held_tokens / usable_tokens if usable_tokens and held_tokens > usable_tokens else 0.0
    )


def _line_of(request: OpaqueRequest, service: Service) -> str:
    """The request's line, or the service's first one if it names none; empty if the service does not run the line."""
    if not request.line and service.lines:
        return service.lines[0]
    return request.line if request.line in service.lines else ""


def _services_by_share(route: Route, request_id: str) -> Iterable[str]:
    """The service to which the split assigns this request id, then the others that have a share."""
    total_share = sum(split.share for split in route.splits)
    hash_point = int.from_bytes(hashlib.blake2b(request_id.encode(), digest_size=4).digest(), "big") % max(
        total_share, 1
    )
    service_names: list[str] = []
    for split in route.splits:
        if split.share and 0 <= hash_point < split.share:
            service_names.insert(0, split.service)
        elif split.share:
            service_names.append(split.service)
        hash_point -= split.share
    return dict.fromkeys(service_names)


def _home_worker_ranks(request: OpaqueRequest, candidates: list[Backend]) -> dict[str, int]:
    """Each candidate's rank in the rendezvous order of the request's first part; 0 is the home worker."""
    subject = request.parts[0].part if request.parts else request.request_id
    return {name: rank for rank, name in enumerate(_rendezvous_order(subject, candidates))}


def _rendezvous_order(subject: str, candidates: list[Backend]) -> list[str]:
    """Worker names by rendezvous hashing, so that all nodes get the same order without communication."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{subject}/{name}".encode(), digest_size=8).digest()

    return sorted((backend.name for backend in candidates), key=weight)
