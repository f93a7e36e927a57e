"""Description (§5.1): the configuration of a deployment, which operators write in one file and apply as a whole."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Iterable, Mapping, Set
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from pearhead.config.dataclass_parser import parse_dataclass
from pearhead.config.route_matching import normalize_host, normalize_path
from pearhead.runtime.clock import SECOND
from pearhead.runtime.text import find_header_fault, find_unencodable, may_hold_surrogates

MAX_DESCRIPTION_BYTES = 8 * 1024 * 1024
MAX_CHANGE_BYTES = 15 * 1024 * 1024
ANY_TENANT = "*"
CHUNK_SIZE = 200
UNENCODABLE_TEXT_FAULT = "holds an unpaired surrogate, so it can't be encoded as UTF-8"


@dataclass(frozen=True)
class ModelLine:
    """A model line and the weights that it is served with initially."""

    name: str
    weights: str


@dataclass(frozen=True)
class Service:
    """A group of workers that run requests, or a store that keeps prompt parts (§5.4).

    0 in a limit means that it isn't specified. `token_bytes`: the cached size of one token; `link_mbps`: the speed of
    a worker's or the store's network link, in Mbit/s. `source` is the operators' original text of the item: it is
    returned unchanged and never interpreted.
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
    """A service's share of the requests of a route, relative to the sum of all shares of the route."""

    service: str
    share: int


@dataclass(frozen=True)
class Route:
    """Selects the services for requests by their host and the longest matching path prefix (§8.7).

    Times are in whole microseconds. `repeatable`: a request may run more than once. `resumable`: another worker may
    continue the stream after its last event. All other requests run at most once. `tries`: the maximum number of
    workers that one request is sent to. `urgency`: 0 is the most urgent. `pause_micros`: the longest pause between two
    events with which a response still counts as in time. `aim_micros`: the latency target. `public`: a client needs
    no tenant's key. The router does not use `aim_micros`, `pause_micros` and `pinned`.
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
    """Allows tenants to run some kinds of jobs on a model line; names the service that runs them, and their limits."""

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
    """A customer: the SHA-256 hashes of its API keys in hexadecimal, and its sharing group, if any."""

    name: str
    keyHashes: list[str]
    group: str = ""
    urgency: int = 5
    source: str = ""


@dataclass(frozen=True)
class Limits:
    """Limits that hold for all requests. 0 in a limit of bytes or time means that it isn't specified."""

    retryShare: float = 0.1
    prefixParts: int = 256
    header_bytes: int = 0
    body_bytes: int = 0
    header_micros: int = 0
    idle_micros: int = 0
    source: str = ""


@dataclass(frozen=True)
class Description:
    """A whole description: model lines, services, capability entries, tenants, limits and routes."""

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


def cache_owner(tenant: Tenant) -> str:
    """The owner of cached prompt parts: the tenant's sharing group or, without one, the tenant.

    The prefixes keep a group and a tenant of the same name apart.
    """
    return f"group:{tenant.group}" if tenant.group else f"tenant:{tenant.name}"


def read_description(description_bytes: bytes) -> Result[Description, list[str]]:
    """Parses and checks a whole file in one go, as the command line does. The error is the list of all errors found."""
    parsed = _parse(description_bytes)
    if isinstance(parsed, Err):
        return parsed
    checked = parse_dataclass(Description, parsed.ok_value)
    return _with_consistency_errors(checked)


async def read_description_in_chunks(
    description_bytes: bytes, yield_to_loop: Callable[[], Awaitable[None]]
) -> Result[Description, list[str]]:
    """Like `read_description`, but awaits `yield_to_loop` after each chunk of entries, so that a core keeps serving."""
    parsed = _parse(description_bytes)
    if isinstance(parsed, Err):
        return parsed
    data = parsed.ok_value
    if not isinstance(data, dict) or not isinstance(data.get("entries", []), list):
        return _with_consistency_errors(parse_dataclass(Description, data))
    all_entries = data.get("entries", [])
    errors: list[str] = []
    for start in range(0, len(all_entries), CHUNK_SIZE):
        chunk = parse_dataclass(_EntryChunk, {"entries": all_entries[start : start + CHUNK_SIZE]})
        if isinstance(chunk, Err):
            errors.extend(_shift_entry_index(error, start) for error in chunk.err_value)
        await yield_to_loop()
    remaining = parse_dataclass(Description, {**data, "entries": []})
    errors.extend(remaining.err_value if isinstance(remaining, Err) else [])
    return Err(errors) if errors else _with_consistency_errors(Ok(description_from_checked_data(data)))


def _shift_entry_index(error: str, start: int) -> str:
    position_text, bracket, field_path = error.removeprefix("entries[").partition("]")
    is_entry_error = bracket and position_text.isdigit()
    return f"entries[{int(position_text) + start}]{field_path}" if is_entry_error else error


def _with_consistency_errors(checked: Result[Description, list[str]]) -> Result[Description, list[str]]:
    if isinstance(checked, Err):
        return checked
    errors = find_description_errors(checked.ok_value)
    return Err(errors) if errors else checked


def _parse(description_bytes: bytes) -> Result[Any, list[str]]:
    if len(description_bytes) > MAX_DESCRIPTION_BYTES:
        return Err([f"file: over {MAX_DESCRIPTION_BYTES} bytes"])
    try:
        data: Any = json.loads(description_bytes)
    except ValueError as error:
        return Err([f"file: not JSON: {error}"])
    except RecursionError:
        return Err(["file: nested too deep"])
    unencodable_paths = list(find_unencodable(data, "")) if may_hold_surrogates(description_bytes) else []
    if unencodable_paths:
        return Err([f"{path}: {UNENCODABLE_TEXT_FAULT}" for path in unencodable_paths])
    return Ok(data)


def description_from_checked_data(data: dict[str, Any]) -> Description:
    """Builds a description without any checks, from data that was checked before it went into the log.

    Skipping the checks keeps this cheap with thousands of entries.
    """
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
    """Checks routes one after another, each also for conflicts with the routes before it (§5.4).

    `roles` holds the role of each service by its name. `accepted_names` are routes that are in force together: a
    conflict among them, which an earlier release did not see, must not keep other items from being changed.
    """

    def __init__(self, roles: Mapping[str, str], accepted_names: Set[str] = frozenset()) -> None:
        self.roles = roles
        self.accepted_names = accepted_names
        self.seen_names: set[str] = set()
        self.route_name_by_prefix: dict[tuple[str, str], str] = {}

    def check_route(self, path: str, route: Route) -> list[str]:
        """Returns the errors of one route; each message begins with `path`."""
        errors = []
        if not route.name:
            errors.append(f"{path}.name: must not be empty")
        if route.name in self.seen_names:
            errors.append(f"{path}.name: {route.name!r} is named twice")
        self.seen_names.add(route.name)
        if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
            errors.append(f"{path}.prefix: must begin and end with '/', not {route.prefix!r}")
        other_route_name = self.route_name_by_prefix.setdefault(
            (normalize_host(route.host), normalize_path(route.prefix)), route.name
        )
        if other_route_name != route.name and not {route.name, other_route_name} <= self.accepted_names:
            errors.append(f"{path}.prefix: {route.host}{route.prefix} is matched by {other_route_name!r} too")
        if route.deadline_micros <= 0:
            errors.append(f"{path}.deadline_micros: must be above zero")
        for position, split in enumerate(route.splits):
            if split.service not in self.roles:
                errors.append(f"{path}.splits[{position}].service: no service {split.service!r}")
            elif self.roles[split.service] == "store":
                errors.append(f"{path}.splits[{position}].service: {split.service!r} is a store and runs no requests")
            if split.share < 0:
                errors.append(f"{path}.splits[{position}].share: must not be below zero")
        if sum(split.share for split in route.splits) <= 0:
            errors.append(f"{path}.splits: their shares add up to 0")
        return errors


def find_description_errors(description: Description, allow_any_name: bool = False) -> list[str]:
    """Returns the errors that a check of types can't find: bad values, unknown references and conflicts between items.

    `allow_any_name` accepts every name but an empty one, for items that are named by another system (§5.4).
    """
    errors: list[str] = []
    line_names = _check_names("lines", (x.name for x in description.lines), errors, allow_any_name)
    service_names = _check_names("services", (x.name for x in description.services), errors, allow_any_name)
    tenant_names = _check_names("tenants", (x.name for x in description.tenants), errors, allow_any_name)
    _check_names("entries", (x.name for x in description.entries), errors, allow_any_name)
    route_validator = RouteValidator({s.name: s.role for s in description.services})
    for position, route in enumerate(description.routes):
        errors.extend(route_validator.check_route(f"routes[{position}]", route))
    for position, line in enumerate(description.lines):
        if not line.weights:
            errors.append(f"lines[{position}].weights: must not be empty")
    for position, service in enumerate(description.services):
        if service.role not in ("model", "application", "store"):
            errors.append(f"services[{position}].role: must be model, application or store")
    tenant_by_key_hash: dict[str, str] = {}
    for position, tenant in enumerate(description.tenants):
        name_fault = "" if allow_any_name else find_header_fault(tenant.name)
        if name_fault:
            errors.append(f"tenants[{position}].name: {name_fault}")
        for key_hash in tenant.keyHashes:
            if len(key_hash) != 64 or set(key_hash) - set("0123456789abcdef"):
                errors.append(f"tenants[{position}].keyHashes: must be SHA-256 in hexadecimal")
            elif tenant_by_key_hash.setdefault(key_hash, tenant.name) != tenant.name:
                errors.append(f"tenants[{position}].keyHashes: a key of {tenant_by_key_hash[key_hash]} too")
    roles = {s.name: s.role for s in description.services}
    line_of_service: dict[str, str] = {}
    entry_by_match: dict[tuple[str, str, str], str] = {}
    for position, entry in enumerate(description.entries):
        path = f"entries[{position}]"
        if entry.line not in line_names:
            errors.append(f"{path}.line: no line {entry.line!r}")
        if entry.service not in service_names:
            errors.append(f"{path}.service: no service {entry.service!r}")
        if roles.get(entry.service) == "store":
            errors.append(f"{path}.service: {entry.service!r} is a store and runs no jobs")
        if roles.get(entry.service) == "model":
            other_line = line_of_service.setdefault(entry.service, entry.line)
            if other_line != entry.line:
                errors.append(f"{path}.line: workers of {entry.service!r} serve {other_line!r} already")
        if not entry.tenants:
            errors.append(f"{path}.tenants: must not be empty")
        if not entry.kinds:
            errors.append(f"{path}.kinds: must not be empty")
        for tenant_name in entry.tenants:
            if tenant_name != ANY_TENANT and tenant_name not in tenant_names:
                errors.append(f"{path}.tenants: no tenant {tenant_name!r}")
        for field_name in ("deadlineMicros", "concurrency", "queueLimit"):
            if getattr(entry, field_name) <= 0:
                errors.append(f"{path}.{field_name}: must be above zero")
        for tenant_name in entry.tenants:
            for kind in entry.kinds:
                other_entry_name = entry_by_match.setdefault((entry.line, tenant_name, kind), entry.name)
                if other_entry_name != entry.name:
                    errors.append(f"{path}: {tenant_name} {entry.line} {kind} is matched by {other_entry_name} too")
    if not 0 <= description.limits.retryShare <= 0.1:
        errors.append("limits.retryShare: must lie between 0 and 0.1")
    if description.limits.prefixParts <= 0:
        errors.append("limits.prefixParts: must be above zero")
    return errors


def _check_names(path: str, names: Iterable[str], errors: list[str], allow_any_name: bool) -> set[str]:
    seen_names: set[str] = set()
    for position, name in enumerate(names):
        if allow_any_name and name:
            pass
        elif not name or len(name) > 200 or name == ANY_TENANT or "/" in name:
            errors.append(f"{path}[{position}].name: must be 1 to 200 signs, no '/', and not '*'")
        if name in seen_names:
            errors.append(f"{path}[{position}].name: {name!r} is named twice")
        seen_names.add(name)
    return seen_names
