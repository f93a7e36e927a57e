"""Placer (§8.8): which worker runs an opaque request, under which salt, and what it fetches before."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from result import Err, Ok, Result

from pearhead.awl.clock import MILLI, SECOND, Clock
from pearhead.awl.description import Route, Service, Tenant
from pearhead.awl.view import View
from pearhead.lathe.errors import ErrorKind, Refusal
from pearhead.lathe.kept_index import KeptIndex
from pearhead.lathe.load_book import LoadBook
from pearhead.lathe.opaque import OpaqueRequest
from pearhead.lathe.part_salt import PartSalt, SaltText
from pearhead.lathe.roster import Roster
from pearhead.lathe.version_book import VersionBook
from pearhead.lathe.worker_control import Backend

MICROS_A_TOKEN = 16.4
FIRST_MICROS = 12 * MILLI
FETCH_FIXED_MICROS = 6 * MILLI
SLOT_MICROS = 600
QUEUED_MICROS = 60 * MILLI
FULL_MICROS = 10 * SECOND
EXPECTED_MICROS = 3 * SECOND
LONG_TOKENS = 1_000
AFFINITY_SHARE = 0.5


@dataclass(frozen=True)
class Choice:
    """`missing_tokens` are read by the worker; `expected_micros` until its first event."""

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


class Placer:
    def __init__(
        self, clock: Clock, zone: str, roster: Callable[[], Roster], versions: VersionBook, index: KeptIndex,
        loads: LoadBook, salts: PartSalt, may_use: Callable[[View, str, int], bool],
        sample: Callable[[list[Backend]], list[Backend]] = list,
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
        self.expected: dict[tuple[str, str, str], int] = {}

    def choose(
        self, view: View, route: Route, request: OpaqueRequest, tenant: Tenant | None, excluded: frozenset[str]
    ) -> Result[Choice, Refusal]:
        """The worker where the first event is expected soonest; an error if none can run it."""
        roster = self.roster()
        for service_name in _services_by_share(route, request.request_id):
            service = view.services.get(service_name)
            if service is None or service.role == "store":
                continue
            found = self._choose_in(view, roster, service, request, tenant, excluded)
            if found is not None:
                return Ok(found)
        return Err(Refusal(ErrorKind.NO_WORKER, "no worker can run it now", 300 * MILLI))

    def stands(self, view: View, choice: Choice) -> bool:
        """Whether this very choice could still be made: asked in one step with the first byte (§8.4)."""
        backend = self.roster().backends.get(choice.backend.name)
        if backend is None or backend.is_leaving or backend.address != choice.backend.address:
            return False
        if choice.version is None:
            return True
        return (
            not self.versions.is_loading(backend.name) and self.may_use(view, choice.line, choice.version)
            and self.versions.version_of(backend.name, choice.line) == choice.version
        )

    def free_places(self, view: View, route: Route) -> int:
        """How many requests the workers of a route could take at once, by what is known here."""
        names = {split.service for split in route.splits}
        return sum(
            max(0, backend.capacity - self.loads.use_of(backend.name).running)
            for backend in self.roster().backends.values()
            if backend.service in names and not backend.is_leaving and not self.loads.is_resting(backend.name)
        )

    def _choose_in(
        self, view: View, roster: Roster, service: Service, request: OpaqueRequest, tenant: Tenant | None,
        excluded: frozenset[str],
    ) -> Choice | None:
        line = _line_of(request, service)
        if service.role == "model" and not line:
            return None
        candidates = [
            backend for backend in roster.backends.values()
            if backend.service == service.name and not backend.is_leaving and backend.name not in excluded
            and (not line or self._is_usable(view, backend, line))
        ]
        rested = [backend for backend in candidates if not self.loads.is_resting(backend.name)]
        candidates = rested or candidates
        if not candidates:
            return None
        if not line:
            return self._choose_plain(candidates, service)
        if request.prompt_tokens() < LONG_TOKENS:
            candidates = self.sample(candidates)
        salts = {
            version: self.salts.salt(view, tenant, line, version, request.parts)
            for version in {self.versions.version_of(b.name, line) for b in candidates} if version is not None
        }
        home_order = _home_order(request, candidates)
        choices = [
            (self._choice(view, roster, service, backend, salts, line, request, home_order[backend.name]), backend.name)
            for backend in candidates
        ]
        (_, choice), _ = min(choices, key=lambda item: (item[0][0], item[1]))
        self._expect(choice, request)
        return choice

    def _is_usable(self, view: View, backend: Backend, line: str) -> bool:
        version = self.versions.version_of(backend.name, line)
        return (
            version is not None and not self.versions.is_loading(backend.name) and self.may_use(view, line, version)
        )

    def _choose_plain(self, candidates: list[Backend], service: Service) -> Choice:
        backend = min(candidates, key=lambda b: (self.loads.use_of(b.name).running, b.zone != self.zone, b.name))
        return Choice(backend, service.name, "", None, "", 0, 0, "", "", FIRST_MICROS)

    def _choice(
        self, view: View, roster: Roster, service: Service, backend: Backend, salts: Mapping[int, SaltText],
        line: str, request: OpaqueRequest, home_rank: int,
    ) -> tuple[float, Choice]:
        version = self.versions.version_of(backend.name, line)
        assert version is not None
        salt = salts[version]
        prompt = request.prompt_tokens()
        kept = self._kept(backend.name, salt.text, request)
        missing = prompt - kept
        fetch_from, fetched, fetch_micros = "", 0, 0.0
        if salt.is_fresh and missing >= LONG_TOKENS:
            fetch_from, fetched, fetch_micros = self._best_fetch(
                view, roster, service, backend, version, line, salt.text, request, kept
            )
        use = self.loads.use_of(backend.name)
        pace = self.loads.pace_of(backend.name)
        read = missing - fetched
        own_micros = read * MICROS_A_TOKEN + fetch_micros + FIRST_MICROS
        waiting_micros = use.waiting_tokens * MICROS_A_TOKEN + use.running * SLOT_MICROS
        capacity = backend.capacity or service.capacity or 1
        if use.running >= capacity:
            waiting_micros += QUEUED_MICROS * (1 + use.running - capacity)
        if service.cache_tokens and use.held_tokens + prompt + request.output_tokens > service.cache_tokens:
            waiting_micros += QUEUED_MICROS * 4
        expected = (own_micros + waiting_micros) * pace
        # A long prefix that is kept nowhere goes where all nodes send it, unless that is much busier.
        shared = sum(part.tokens for part in request.parts[:-1])
        strangeness = 0.0
        if shared >= LONG_TOKENS and home_rank:
            strangeness = min(home_rank, 3) * AFFINITY_SHARE * shared * MICROS_A_TOKEN / 3
            if kept >= shared:
                strangeness = 0.0
        save_to = self._store_for(view, salt.text, request, kept) if salt.is_fresh else ""
        return expected + strangeness, Choice(
            backend, service.name, line, version, salt.text, kept + fetched, read, fetch_from, save_to, int(expected)
        )

    def _kept(self, worker: str, salt: str, request: OpaqueRequest) -> int:
        kept = self.index.kept_tokens(worker, salt, request.parts)
        now_micros = self.clock.now()
        expected = 0
        for part in request.parts:
            if self.expected.get((worker, salt, part.part), 0) <= now_micros:
                break
            expected += part.tokens
        return max(kept, expected)

    def _best_fetch(
        self, view: View, roster: Roster, service: Service, backend: Backend, version: int, line: str, salt: str,
        request: OpaqueRequest, kept: int,
    ) -> tuple[str, int, float]:
        """Where from, how many tokens, how long: only what is kept under this salt and comes quicker than reading."""
        if not request.parts or not service.token_bytes:
            return "", 0, 0.0
        best = ("", 0, 0.0)
        best_gain = 20.0 * MILLI
        for keeper in self.index.keepers_of(salt, request.parts[0].part):
            if keeper == backend.name:
                continue
            source = roster.backends.get(keeper)
            store = view.services.get(keeper) if source is None else None
            if source is not None:
                if source.is_leaving or self.versions.version_of(source.name, line) != version:
                    continue
                if self.versions.is_loading(source.name) or self.loads.is_resting(source.name):
                    continue
                address, zone, mbps = source.address, source.zone, service.link_mbps
            elif store is not None and store.role == "store":
                address, zone, mbps = store.store_address, store.store_zone, store.link_mbps or service.link_mbps
            else:
                continue
            tokens = self.index.kept_tokens(keeper, salt, request.parts) - kept
            if tokens < LONG_TOKENS or not mbps:
                continue
            move_micros = tokens * service.token_bytes * 8 / min(mbps, service.link_mbps or mbps)
            move_micros = move_micros * (1 if zone == backend.zone else 2) + FETCH_FIXED_MICROS
            gain = tokens * MICROS_A_TOKEN - move_micros
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
                if self.index.kept_tokens(service.name, salt, shared) < shared_tokens:
                    return service.store_address
        return ""

    def _expect(self, choice: Choice, request: OpaqueRequest) -> None:
        now_micros = self.clock.now()
        for part in request.parts[:-1]:
            self.expected[choice.backend.name, choice.salt, part.part] = now_micros + EXPECTED_MICROS
        if len(self.expected) > 4_000:
            self.expected = {key: until for key, until in self.expected.items() if until > now_micros}


def _line_of(request: OpaqueRequest, service: Service) -> str:
    """A request that names no line goes on the first that its service runs."""
    if not request.line and service.lines:
        return service.lines[0]
    return request.line if request.line in service.lines else ""


def _services_by_share(route: Route, request_id: str) -> Iterable[str]:
    """The service that the split gives this request, then the others."""
    total = sum(split.share for split in route.splits)
    spot = int.from_bytes(hashlib.blake2b(request_id.encode(), digest_size=4).digest(), "big") % max(total, 1)
    names: list[str] = []
    for split in route.splits:
        if split.share and 0 <= spot < split.share:
            names.insert(0, split.service)
        elif split.share:
            names.append(split.service)
        spot -= split.share
    return dict.fromkeys(names)


def _home_order(request: OpaqueRequest, candidates: list[Backend]) -> dict[str, int]:
    """By rendezvous on the first part, so that nodes agree without talking."""
    first = request.parts[0].part if request.parts else request.request_id

    def weight(backend: Backend) -> bytes:
        return hashlib.blake2b(f"{first}/{backend.name}".encode(), digest_size=8).digest()

    return {b.name: rank for rank, b in enumerate(sorted(candidates, key=weight))}
