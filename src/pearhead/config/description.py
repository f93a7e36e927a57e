"""Description (§5.1): what operators write in one file and apply as a whole."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from pearhead.config.dataclass_parser import parse_dataclass
from pearhead.runtime.clock import SECOND

MAX_DESCRIPTION_BYTES = 8 * 1024 * 1024
MAX_CHANGE_BYTES = 15 * 1024 * 1024
ANY_TENANT = "*"
CHUNK_SIZE = 200


@dataclass(frozen=True)
class ModelLine:
    """A model line, and the weights it is served with at first."""

    name: str
    weights: str


@dataclass(frozen=True)
class Service:
    """Who runs requests or keeps parts (§5.4). Zero in a limit: not told.

    `source` is the operators' own text of the item, given back as it came and read by nobody here.
    """

    name: str
    role: str
    lines: list[str] = field(default_factory=list)
    connection_limit: int = 0
    capacity: int = 0
    cache_tokens: int = 0
    token_bytes: int = 0
    link_mbps: float = 0.0
    report_readers: int = 0
    store_address: str = ""
    store_zone: str = ""
    source: str = ""


@dataclass(frozen=True)
class Split:
    """A service's share of the requests of a route."""

    service: str
    share: int


@dataclass(frozen=True)
class Route:
    """Which requests go where, by host and the longest prefix of their path (§8.7). Times in whole microseconds.

    `repeatable`: may run more than once. `resumable`: a stream that another worker may take up after its last event.
    Anything else runs at most once for each request. `tries`: the most workers that one request may be sent to.
    `urgency`: 0 goes first. `pause_micros`: the longest pause between events with which an answer is in time.
    """

    name: str
    host: str
    prefix: str
    splits: list[Split]
    deadline_micros: int
    aim_micros: int = 0
    pause_micros: int = 0
    tries: int = 1
    urgency: int = 5
    stream: bool = False
    repeatable: bool = False
    resumable: bool = False
    public: bool = False
    pinned: bool = False
    source: str = ""


@dataclass(frozen=True)
class CapabilityEntry:
    """Which tenants may run which kinds of jobs on a line, by which service, and with which limits."""

    name: str
    line: str
    tenants: list[str]
    kinds: list[str]
    service: str
    repeatable: bool = False
    deadlineMicros: int = 8 * SECOND
    concurrency: int = 64
    queueLimit: int = 128


@dataclass(frozen=True)
class Tenant:
    """A customer: the hashes of its keys, and the sharing group it belongs to, if any."""

    name: str
    keyHashes: list[str]
    group: str = ""
    urgency: int = 5
    source: str = ""


@dataclass(frozen=True)
class Limits:
    """Limits that hold for all requests. Zero in a limit of bytes or time: not told."""

    retryShare: float = 0.1
    prefixParts: int = 256
    header_bytes: int = 0
    body_bytes: int = 0
    header_micros: int = 0
    idle_micros: int = 0
    source: str = ""


@dataclass(frozen=True)
class Description:
    """Everything that operators configure of a deployment."""

    lines: list[ModelLine] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    entries: list[CapabilityEntry] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)
    routes: list[Route] = field(default_factory=list)
    source: str = ""


@dataclass(frozen=True)
class _EntryChunk:
    entries: list[CapabilityEntry]


def normalize_host(host: str) -> str:
    """A host as it is compared: in lower case and without its port."""
    name, colon, port = host.strip().lower().rpartition(":")
    return name if colon and (port.isdigit() or not port) and not name.endswith(":") else host.strip().lower()


def owner_of(tenant: Tenant) -> str:
    """Who owns kept parts: a sharing group, or the tenant alone. The marks keep the two apart."""
    return f"group:{tenant.group}" if tenant.group else f"tenant:{tenant.name}"


def read_description(description_bytes: bytes) -> Result[Description, list[str]]:
    """Reads and checks a whole file at once, as the operators' tool does."""
    parsed = _parse(description_bytes)
    if isinstance(parsed, Err):
        return parsed
    checked = parse_dataclass(Description, parsed.ok_value)
    return _with_consistency_errors(checked)


async def read_description_in_chunks(
    description_bytes: bytes, pause: Callable[[], Awaitable[None]]
) -> Result[Description, list[str]]:
    """The same check in chunks, with a `pause` after each, so that a core goes on answering meanwhile."""
    parsed = _parse(description_bytes)
    if isinstance(parsed, Err):
        return parsed
    data = parsed.ok_value
    if not isinstance(data, dict) or not isinstance(data.get("entries", []), list):
        return _with_consistency_errors(parse_dataclass(Description, data))
    all_entries = data.get("entries", [])
    faults: list[str] = []
    for start in range(0, len(all_entries), CHUNK_SIZE):
        chunk = parse_dataclass(_EntryChunk, {"entries": all_entries[start : start + CHUNK_SIZE]})
        if isinstance(chunk, Err):
            faults.extend(_shift_entry_index(fault, start) for fault in chunk.err_value)
        await pause()
    rest = parse_dataclass(Description, {**data, "entries": []})
    faults.extend(rest.err_value if isinstance(rest, Err) else [])
    return Err(faults) if faults else _with_consistency_errors(Ok(description_from_checked_data(data)))


def _shift_entry_index(fault: str, start: int) -> str:
    head, bracket, tail = fault.removeprefix("entries[").partition("]")
    is_item = bracket and head.isdigit()
    return f"entries[{int(head) + start}]{tail}" if is_item else fault


def _with_consistency_errors(checked: Result[Description, list[str]]) -> Result[Description, list[str]]:
    if isinstance(checked, Err):
        return checked
    faults = find_description_errors(checked.ok_value)
    return Err(faults) if faults else checked


def _parse(description_bytes: bytes) -> Result[Any, list[str]]:
    if len(description_bytes) > MAX_DESCRIPTION_BYTES:
        return Err([f"file: over {MAX_DESCRIPTION_BYTES} bytes"])
    try:
        data: Any = json.loads(description_bytes)
    except ValueError as fault:
        return Err([f"file: not JSON: {fault}"])
    except RecursionError:
        return Err(["file: nested too deep"])
    return Ok(data)


def description_from_checked_data(data: dict[str, Any]) -> Description:
    """From data that was checked before it went into the log; thousands of entries cost little."""
    return Description(
        [ModelLine(**item) for item in data.get("lines", [])],
        [Service(**item) for item in data.get("services", [])],
        [CapabilityEntry(**item) for item in data.get("entries", [])],
        [Tenant(**item) for item in data.get("tenants", [])],
        Limits(**data.get("limits", {})),
        [Route(**{**item, "splits": [Split(**split) for split in item["splits"]]}) for item in data.get("routes", [])],
        data.get("source", ""),
    )


class RouteValidator:
    """What is wrong with routes, one after another (§5.4): each is looked at beside those before it."""

    def __init__(self, roles: Mapping[str, str]) -> None:
        self.roles = roles
        self.names: set[str] = set()
        self.prefixes: dict[tuple[str, str], str] = {}

    def check_route(self, path: str, route: Route) -> list[str]:
        """The faults of one route, which `path` names in each message."""
        faults = []
        if not route.name:
            faults.append(f"{path}.name: must not be empty")
        if route.name in self.names:
            faults.append(f"{path}.name: {route.name!r} is named twice")
        self.names.add(route.name)
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            faults.append(f"{path}.prefix: must begin and end with '/', not {route.prefix!r}")
        other = self.prefixes.setdefault((normalize_host(route.host), route.prefix), route.name)
        if other != route.name:
            faults.append(f"{path}.prefix: {route.host}{route.prefix} is matched by {other!r} too")
        if route.deadline_micros <= 0:
            faults.append(f"{path}.deadline_micros: must be above zero")
        for position, split in enumerate(route.splits):
            if split.service not in self.roles:
                faults.append(f"{path}.splits[{position}].service: no service {split.service!r}")
            elif self.roles[split.service] == "store":
                faults.append(f"{path}.splits[{position}].service: {split.service!r} is a store and runs no requests")
            if split.share < 0:
                faults.append(f"{path}.splits[{position}].share: must not be below zero")
        if sum(split.share for split in route.splits) <= 0:
            faults.append(f"{path}.splits: their shares add up to 0")
        return faults


def find_description_errors(description: Description, allow_any_name: bool = False) -> list[str]:
    """Every fault between items. `allow_any_name`: operators of another manner name items as they like (§5.4)."""
    faults: list[str] = []
    line_names = _check_names("lines", (x.name for x in description.lines), faults, allow_any_name)
    service_names = _check_names("services", (x.name for x in description.services), faults, allow_any_name)
    tenant_names = _check_names("tenants", (x.name for x in description.tenants), faults, allow_any_name)
    _check_names("entries", (x.name for x in description.entries), faults, allow_any_name)
    route_validator = RouteValidator({s.name: s.role for s in description.services})
    for position, route in enumerate(description.routes):
        faults.extend(route_validator.check_route(f"routes[{position}]", route))
    for position, line in enumerate(description.lines):
        if not line.weights:
            faults.append(f"lines[{position}].weights: must not be empty")
    for position, service in enumerate(description.services):
        if service.role not in ("model", "application", "store"):
            faults.append(f"services[{position}].role: must be model, application or store")
    held_hashes: dict[str, str] = {}
    for position, tenant in enumerate(description.tenants):
        for key_hash in tenant.keyHashes:
            if len(key_hash) != 64 or set(key_hash) - set("0123456789abcdef"):
                faults.append(f"tenants[{position}].keyHashes: must be SHA-256 in hexadecimal")
            elif held_hashes.setdefault(key_hash, tenant.name) != tenant.name:
                faults.append(f"tenants[{position}].keyHashes: a key of {held_hashes[key_hash]} too")
    roles = {s.name: s.role for s in description.services}
    line_of_service: dict[str, str] = {}
    matched_by: dict[tuple[str, str, str], str] = {}
    for position, entry in enumerate(description.entries):
        path = f"entries[{position}]"
        if entry.line not in line_names:
            faults.append(f"{path}.line: no line {entry.line!r}")
        if entry.service not in service_names:
            faults.append(f"{path}.service: no service {entry.service!r}")
        if roles.get(entry.service) == "store":
            faults.append(f"{path}.service: {entry.service!r} is a store and runs no jobs")
        if roles.get(entry.service) == "model":
            other_line = line_of_service.setdefault(entry.service, entry.line)
            if other_line != entry.line:
                faults.append(f"{path}.line: workers of {entry.service!r} serve {other_line!r} already")
        if not entry.tenants:
            faults.append(f"{path}.tenants: must not be empty")
        if not entry.kinds:
            faults.append(f"{path}.kinds: must not be empty")
        for tenant_name in entry.tenants:
            if tenant_name != ANY_TENANT and tenant_name not in tenant_names:
                faults.append(f"{path}.tenants: no tenant {tenant_name!r}")
        for number_name in ("deadlineMicros", "concurrency", "queueLimit"):
            if getattr(entry, number_name) <= 0:
                faults.append(f"{path}.{number_name}: must be above zero")
        for tenant_name in entry.tenants:
            for kind in entry.kinds:
                other_name = matched_by.setdefault((entry.line, tenant_name, kind), entry.name)
                if other_name != entry.name:
                    faults.append(f"{path}: {tenant_name} {entry.line} {kind} is matched by {other_name} too")
    if not 0 <= description.limits.retryShare <= 0.1:
        faults.append("limits.retryShare: must lie between 0 and 0.1")
    if description.limits.prefixParts <= 0:
        faults.append("limits.prefixParts: must be above zero")
    return faults


def _check_names(path: str, names: Iterable[str], faults: list[str], allow_any_name: bool) -> set[str]:
    seen_names: set[str] = set()
    for position, name in enumerate(names):
        if allow_any_name and name:
            pass
        elif not name or len(name) > 200 or name == ANY_TENANT or "/" in name:
            faults.append(f"{path}[{position}].name: must be 1 to 200 signs, no '/', and not '*'")
        if name in seen_names:
            faults.append(f"{path}[{position}].name: {name!r} is named twice")
        seen_names.add(name)
    return seen_names
