"""Changes of the description, numbered by the operators (§5.4): the leader checks them, every core merges them.

There may be many routes, so each is kept as encoded JSON, in the form in which nodes and operators get it. No core has
to parse routes when it applies a change.
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from pearhead.config.dataclass_parser import parse_dataclass
from pearhead.config.description import (
    CHUNK_SIZE,
    MAX_CHANGE_BYTES,
    UNENCODABLE_TEXT_FAULT,
    CapabilityEntry,
    Description,
    Limits,
    ModelLine,
    Route,
    RouteValidator,
    Service,
    Split,
    Tenant,
    description_from_checked_data,
    find_description_errors,
)
from pearhead.rpc.wire_pb2 import ChangeDescription, Item
from pearhead.runtime.text import (
    encode_json,
    escape_surrogate_bytes,
    find_header_fault,
    find_unencodable,
    load_json,
    may_hold_surrogates,
)

MERGED_ITEM_KINDS = ("services", "tenants")
INITIAL_WEIGHTS = "1"

Json = dict[str, Any]
# By route name: the route's JSON without its source, and the source as UTF-8.
EncodedRoutes = dict[str, tuple[bytes, bytes]]
YieldToLoop = Callable[[], Awaitable[None]]


@dataclass(frozen=True)
class _UpsertedItems:
    services: list[Service] = field(default_factory=list)
    entries: list[CapabilityEntry] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    lines: list[ModelLine] = field(default_factory=list)


@dataclass(frozen=True)
class _RemovedNames:
    routes: list[str] = field(default_factory=list)
    services: list[str] = field(default_factory=list)
    tenants: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class _PartialChange:
    put: _UpsertedItems = field(default_factory=_UpsertedItems)
    remove: _RemovedNames = field(default_factory=_RemovedNames)
    put_limits: Limits = field(default_factory=Limits)
    source: str = ""


def encode_route(item: Json) -> Item:
    """Encodes a route, with its source kept apart from what nodes see.

    Raises KeyError, TypeError, ValueError or AttributeError if it is no object, has no name, or its source is no text.
    """
    shown = {name: value for name, value in item.items() if name != "source"}
    return Item(
        name=item["name"], shown=encode_json(shown), source=item.get("source", "").encode("utf-8", "surrogatepass")
    )


def encodable_route(shown: bytes, source: bytes) -> tuple[bytes, bytes]:
    """An encoded route and its source, without unpaired surrogates, which an earlier release may have stored."""
    return (encode_json(load_json(shown)) if may_hold_surrogates(shown) else shown, escape_surrogate_bytes(source))


def decode_route(shown: bytes, source: bytes) -> Json:
    """The route as the operator gave it, with its source if it has one."""
    route: Json = json.loads(shown)
    if source:
        route["source"] = source.decode("utf-8", "surrogatepass")
    return route


def hash_change(change: ChangeDescription) -> str:
    """A hash over the content of a change; two changes with the same hash are the same, whenever they were checked.

    If the change holds a hash, which the leader stores in it, that one is returned.
    """
    if change.content_hash:
        return change.content_hash
    change_hash = hashlib.blake2b(change.document, digest_size=16)
    change_hash.update(f":{change.base_number}:{change.number}:{change.by_name}".encode())
    for item in change.route:
        change_hash.update(f":{len(item.shown)}:{len(item.source)}:".encode())
        change_hash.update(item.shown + item.source)
    return change_hash.hexdigest()


def strip_sources(value: Any) -> Any:
    """An item, or the items of a list, without their `source`; other values are returned as they are."""
    if isinstance(value, list):
        return [strip_sources(item) for item in value]
    if isinstance(value, dict) and "source" in value:
        return {name: inner for name, inner in value.items() if name != "source"}
    return value


def extract_routes(change: ChangeDescription, document: Json) -> None:
    """Moves the routes inside the document to `change.route`, encoded; a second call changes nothing.

    Raises what `encode_route` raises if a route is malformed.
    """
    container = document.get("put", {}) if change.by_name else document
    routes = container.pop("routes", None)
    if routes:
        change.route.extend(encode_route(item) for item in routes)
    if routes is not None:
        change.document = encode_json(document)


def merge_routes(held: EncodedRoutes, change: ChangeDescription, document: Json) -> EncodedRoutes:
    """The routes after a change.

    In a change by name, the removals come first; then each given route replaces the one of its name in place, or is
    appended. Otherwise the given routes replace all others.
    """
    merged = dict(held) if change.by_name else {}
    if change.by_name:
        for name in document.get("remove", {}).get("routes", []):
            merged.pop(name, None)
    for item in change.route:
        merged[item.name] = encodable_route(item.shown, item.source)
    return merged


def merge_document(present: Json, document: Json, by_name: bool) -> Json:
    """The description after a change, without its routes; items are merged as in `merge_routes`.

    A line that no service names any more is removed if a service named it before.
    """
    if not by_name:
        return {**document, "lines": _with_service_lines(document.get("lines", []), document.get("services", []))}
    merged = dict(present)
    for kind in MERGED_ITEM_KINDS:
        put = {item["name"]: item for item in document.get("put", {}).get(kind, [])}
        removed = set(document.get("remove", {}).get(kind, []))
        if not put and not removed:
            continue
        remaining = [item for item in present.get(kind, []) if item["name"] not in removed]
        remaining_names = {item["name"] for item in remaining}
        merged[kind] = [put.get(item["name"], item) for item in remaining]
        merged[kind].extend(item for name, item in put.items() if name not in remaining_names)
    if "put_limits" in document:
        merged["limits"] = document["put_limits"]
    if "source" in document:
        merged["source"] = document["source"]
    names_before = {name for service in present.get("services", []) for name in service.get("lines", [])}
    names_after = {name for service in merged.get("services", []) for name in service.get("lines", [])}
    remaining_lines = [
        line for line in present.get("lines", []) if line["name"] in names_after or line["name"] not in names_before
    ]
    merged["lines"] = _with_service_lines(remaining_lines, merged.get("services", []))
    return merged


def _with_service_lines(lines: list[Json], services: list[Json]) -> list[Json]:
    """Adds the lines that only services name: such a line needs no entry of its own, and has the initial weights."""
    lines_by_name = {line["name"]: line for line in lines}
    for service in services:
        for name in service.get("lines", []):
            lines_by_name.setdefault(name, {"name": name, "weights": INITIAL_WEIGHTS})
    return list(lines_by_name.values())


class ChangeChecker:
    """Checks a change on the leader, before it goes into the log.

    `yield_to_loop` is awaited between the steps and after each chunk of routes, so that the leader keeps running.
    """

    def __init__(self, yield_to_loop: YieldToLoop) -> None:
        self.yield_to_loop = yield_to_loop

    async def check(self, change: ChangeDescription, present: Json, held: EncodedRoutes) -> Result[None, list[str]]:
        """Lists the errors that the description would have after the change, each with its path.

        `present` is the present description without its routes, `held` are its routes. Schema errors outside of routes
        are returned before any others are looked for; those of routes come with the others. Routes inside the change's
        document are moved out of it.
        """
        if change.ByteSize() > MAX_CHANGE_BYTES:
            return Err([f"document: over {MAX_CHANGE_BYTES} bytes"])
        try:
            document: Any = json.loads(change.document)
        except (ValueError, RecursionError) as fault:
            return Err([f"document: can't be read: {type(fault).__name__}"])
        await self.yield_to_loop()
        faults = _find_text_errors(change, document) or self._find_schema_errors(document, change.by_name)
        if faults:
            return Err(faults)
        document = load_json(change.document)
        faults = _find_header_errors(document, change.by_name)
        if faults:
            return Err(faults)
        try:
            extract_routes(change, document)
        except (KeyError, TypeError, ValueError, AttributeError):
            return Err(["routes: each must be an object with a name, and a text as its source"])
        await self.yield_to_loop()
        merged = merge_document(present, document, change.by_name)
        faults = find_description_errors(description_from_checked_data(merged), allow_any_name=True)
        await self.yield_to_loop()
        faults.extend(await self._find_route_errors(change, merge_routes(held, change, document), merged))
        return Err(faults) if faults else Ok(None)

    def _find_schema_errors(self, document: Any, by_name: bool) -> list[str]:
        if not isinstance(document, dict):
            return ["document: must be an object"]
        container = document.get("put", {}) if by_name else document
        if not isinstance(container, dict):
            return ["put: must be an object"]
        if not isinstance(container.get("routes", []), list):
            return ["routes: must be a list"]
        without_routes = {kind: items for kind, items in container.items() if kind != "routes"}
        dataclass_type: type[Any] = _PartialChange if by_name else Description
        parsed = parse_dataclass(dataclass_type, {**document, "put": without_routes} if by_name else without_routes)
        if isinstance(parsed, Err):
            return parsed.err_value
        faults: list[str] = []
        for kind in MERGED_ITEM_KINDS if by_name else ():
            names = [item["name"] for item in without_routes.get(kind, [])]
            faults.extend(f"put.{kind}: {name!r} is named twice" for name in _find_duplicates(names))
        return faults

    async def _find_route_errors(self, change: ChangeDescription, routes: EncodedRoutes, merged: Json) -> list[str]:
        faults = [f"routes: {name!r} is named twice" for name in _find_duplicates([item.name for item in change.route])]
        names_in_change = {item.name for item in change.route}
        roles = {service["name"]: service["role"] for service in merged.get("services", [])}
        route_validator = RouteValidator(roles, routes.keys() - names_in_change)
        for position, (name, (shown, _)) in enumerate(routes.items()):
            path = f"routes[{position}]"
            if position % CHUNK_SIZE == CHUNK_SIZE - 1:
                await self.yield_to_loop()
            try:
                data: Any = json.loads(shown)
            except (ValueError, RecursionError):
                faults.append(f"{path}: can't be read")
                continue
            if name in names_in_change:
                schema_errors = parse_dataclass(Route, data)
                if isinstance(schema_errors, Err):
                    faults.extend(f"{path}.{fault}" for fault in schema_errors.err_value)
                    continue
                if data["name"] != name:
                    faults.append(f"{path}.name: is {name!r} beside it")
                host_fault = find_header_fault(data["host"])
                if host_fault:
                    faults.append(f"{path}.host: {host_fault}")
            route = Route(**{**data, "splits": [Split(**split) for split in data["splits"]]})
            faults.extend(route_validator.check_route(path, route))
        return faults


def _find_text_errors(change: ChangeDescription, document: Any) -> list[str]:
    """Text of a change that UTF-8 can't represent, each with its path.

    Names to remove are not checked: they are in no item, and one that an earlier release stored can be removed.
    """
    paths: list[str] = []
    if may_hold_surrogates(change.document):
        checked = document
        if change.by_name and isinstance(document, dict):
            checked = {name: value for name, value in document.items() if name != "remove"}
        paths.extend(find_unencodable(checked, ""))
    for position, item in enumerate(change.route):
        if escape_surrogate_bytes(item.source) != item.source:
            paths.append(f"routes[{position}].source")
        if may_hold_surrogates(item.shown):
            paths.extend(find_unencodable(_load_or_none(item.shown), f"routes[{position}]"))
    return [f"{path}: {UNENCODABLE_TEXT_FAULT}" for path in paths]


def _load_or_none(shown: bytes) -> Any:
    try:
        return json.loads(shown)
    except (ValueError, RecursionError):
        return None


def _find_header_errors(document: Json, by_name: bool) -> list[str]:
    """Names of a change's tenants and model lines that no header could hold as they are (§8.7).

    Only the given items are checked: one that an earlier release stored must not keep others from being changed.
    """
    prefix, items = ("put.", document.get("put", {})) if by_name else ("", document)
    named = [(f"{prefix}tenants[{i}].name", tenant["name"]) for i, tenant in enumerate(items.get("tenants", []))]
    for i, service in enumerate(items.get("services", [])):
        named.extend((f"{prefix}services[{i}].lines[{j}]", line) for j, line in enumerate(service.get("lines", [])))
    return [f"{path}: {fault}" for path, name in named if (fault := find_header_fault(name))]


def _find_duplicates(names: list[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]
