"""View (§5.2): a node's (router's) immutable copy of the fleet's state, replaced as a whole by each update."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import cached_property
from typing import Any

from pearhead.config.description import (
    ANY_TENANT,
    CapabilityEntry,
    Description,
    Route,
    Service,
    Tenant,
    description_from_checked_data,
)
from pearhead.config.route_matching import normalize_host, normalize_path
from pearhead.rpc.wire_pb2 import Section, ViewDelta
from pearhead.runtime.text import load_json

BUCKET_COUNT = 64
ENTRY_SECTIONS = tuple(f"entries-{bucket:02d}" for bucket in range(BUCKET_COUNT))
ROUTE_SECTIONS = tuple(f"routes-{bucket:02d}" for bucket in range(BUCKET_COUNT))
SECTION_NAMES = ("description", *ENTRY_SECTIONS, *ROUTE_SECTIONS, "loads", "weights", "workers")
EMPTY_SECTION_BODY = b"{}"


def bucket_index(entry_name: str) -> int:
    """The bucket of an entry or a route, by its name; thanks to buckets, a small change sends little data (§5.2)."""
    return hashlib.blake2b(entry_name.encode(), digest_size=2).digest()[0] % BUCKET_COUNT


# For each section name: the body that was hashed, and its digest.
SectionDigests = dict[str, tuple[bytes, bytes]]


def hash_sections(sections: Mapping[str, tuple[int, bytes]], held: SectionDigests | None = None) -> str:
    """Returns one hash in hexadecimal over all sections.

    `held` is a cache, which is updated: only sections whose body is another object than there are hashed again.
    """
    digests: SectionDigests = {} if held is None else held
    view_hash = hashlib.blake2b(digest_size=16)
    for name, (index, body) in sorted(sections.items()):
        cached_body, digest = digests.get(name, (None, b""))
        if cached_body is not body:
            digest = hashlib.blake2b(body, digest_size=16).digest()
            digests[name] = (body, digest)
        view_hash.update(f"{name}:{index}:".encode())
        view_hash.update(digest)
    return view_hash.hexdigest()


@dataclass(frozen=True)
class WorkerRecord:
    """A worker in the replicated list; a `leaving` worker gets no new requests."""

    name: str
    address: str
    area: str
    service: str
    leaving: bool


@dataclass(frozen=True)
class LoadRecord:
    """The weights that a worker has loaded, as confirmed by the holder of its lease with the fencing token `fence`."""

    line: str
    life: str
    fence: int
    weights_revision: int
    sequence: int
    weights: str = ""

    @classmethod
    def from_state(cls, item: dict[str, Any]) -> LoadRecord:
        """Converts an item of the replicated state, which keeps the older key `weightsRevision`."""
        values = dict(item)
        return cls(weights_revision=values.pop("weightsRevision"), **values)


@dataclass(frozen=True)
class WeightsRecord:
    """The weights that are set for a model line, and the revision at which they were set."""

    weights: str
    revision: int


@dataclass(frozen=True)
class View:
    """The replicated state as of log index `index`, in sections that are parsed when they are first read.

    `sections` holds, by section name, the log index of the last change and the encoded JSON body.
    """

    index: int = 0
    sections: Mapping[str, tuple[int, bytes]] = field(
        default_factory=lambda: {name: (0, EMPTY_SECTION_BODY) for name in SECTION_NAMES}
    )

    @cached_property
    def _digests(self) -> SectionDigests:
        return {}

    @cached_property
    def hash(self) -> str:
        """The hash over all sections, which a delta that results in this view carries."""
        return hash_sections(self.sections, self._digests)

    def _section(self, name: str) -> Any:
        return load_json(self.sections[name][1])

    @cached_property
    def description_revision(self) -> int:
        """The revision of the description; 0 if none was applied yet."""
        return int(self._section("description").get("revision", 0))

    @cached_property
    def description(self) -> Description:
        """The description, assembled from its sections."""
        head = self._section("description").get("description", {})
        entries = [
            item
            for name in ENTRY_SECTIONS
            if self.sections[name][1] != EMPTY_SECTION_BODY
            for item in self._section(name)
        ]
        return replace(description_from_checked_data({**head, "entries": entries}), routes=self._routes)

    @cached_property
    def _parsed_routes(self) -> dict[str, tuple[bytes, list[Route]]]:
        """The parsed routes by section, each with the body they came from; the next view parses only what changed."""
        return {}

    @cached_property
    def _routes(self) -> list[Route]:
        all_routes: list[Route] = []
        for name in ROUTE_SECTIONS:
            _, body = self.sections.get(name, (0, EMPTY_SECTION_BODY))
            cached_body, routes = self._parsed_routes.get(name, (EMPTY_SECTION_BODY, []))
            if cached_body is not body and body != EMPTY_SECTION_BODY:
                routes = description_from_checked_data({"routes": load_json(body)}).routes
                self._parsed_routes[name] = (body, routes)
            all_routes.extend(routes if body != EMPTY_SECTION_BODY else [])
        return all_routes

    @cached_property
    def description_number(self) -> int:
        """The number that operators gave the description (§5.4); 0 if they gave none."""
        return int(self._section("description").get("number", 0))

    @cached_property
    def services(self) -> Mapping[str, Service]:
        """The services by name."""
        return {s.name: s for s in self.description.services}

    @cached_property
    def _routes_by_host(self) -> dict[str, dict[str, Route]]:
        routes_by_host: dict[str, dict[str, Route]] = {}
        for route in self.description.routes:
            routes_by_host.setdefault(normalize_host(route.host), {})[normalize_path(route.prefix)] = route
        return routes_by_host

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route of this host with the longest prefix of `path`, or None.

        Case and port of the host are ignored, as is how characters beyond ASCII are escaped. The cost grows with the
        number of slashes in the path, not with the number of routes (§5.4).
        """
        by_prefix = self._routes_by_host.get(normalize_host(host))
        if by_prefix is None:
            return None
        path = normalize_path(path)
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    @cached_property
    def workers(self) -> dict[str, WorkerRecord]:
        """The workers by name."""
        return {n: WorkerRecord(n, **w) for n, w in self._section("workers").items()}

    @cached_property
    def loads(self) -> dict[str, LoadRecord]:
        """The confirmed loads by worker name."""
        return {n: LoadRecord.from_state(item) for n, item in self._section("loads").items()}

    @cached_property
    def weights(self) -> dict[str, WeightsRecord]:
        """The weights that are set, by model line."""
        return {n: WeightsRecord(**w) for n, w in self._section("weights").items()}

    @cached_property
    def tenant_by_hash(self) -> dict[str, Tenant]:
        """The tenants by the hashes of their API keys."""
        return {h: t for t in self.description.tenants for h in t.keyHashes}

    @cached_property
    def entry_by_match(self) -> dict[tuple[str, str, str], CapabilityEntry]:
        """The capability entries by model line, tenant (or `ANY_TENANT`) and kind of job."""
        return {(e.line, t, k): e for e in self.description.entries for t in e.tenants for k in e.kinds}

    @cached_property
    def role_by_service(self) -> dict[str, str]:
        """The roles of the services by name."""
        return {s.name: s.role for s in self.description.services}

    @cached_property
    def line_names(self) -> frozenset[str]:
        """The names of all model lines."""
        return frozenset(x.name for x in self.description.lines)

    def find_entry(self, line_name: str, tenant_name: str, kind: str) -> CapabilityEntry | None:
        """Returns the entry for a job, or None; one that names the tenant takes precedence over one for all tenants."""
        return self.entry_by_match.get((line_name, tenant_name, kind)) or self.entry_by_match.get(
            (line_name, ANY_TENANT, kind)
        )

    def with_delta(self, delta: ViewDelta) -> View | None:
        """Returns the view after `delta`; None if the delta is older, has another base, or results in another hash."""
        if delta.index < self.index:
            return None
        if delta.base_index != 0 and delta.base_index != self.index:
            return None
        changed = dict(self.sections) if delta.base_index else dict(View().sections)
        for section in delta.section:
            changed[section.name] = (section.index, section.body)
        digests = dict(self._digests) if delta.base_index else {}
        if hash_sections(changed, digests) != delta.hash:
            return None
        next_view = View(delta.index, changed)
        next_view.__dict__["_digests"] = digests
        next_view.__dict__["_parsed_routes"] = dict(self._parsed_routes)
        return next_view

    def full_delta_if_newer(self, have_index: int) -> ViewDelta | None:
        """Returns the whole view as a delta without a base; None if `have_index` is not older than this view."""
        if have_index >= self.index:
            return None
        delta = ViewDelta(base_index=0, index=self.index, hash=self.hash)
        for name, (section_index, body) in sorted(self.sections.items()):
            if section_index > 0:
                delta.section.append(Section(name=name, index=section_index, body=body))
        return delta
