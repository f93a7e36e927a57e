"""Changes of the description under operators' own numbers (§5.4): merged alike by every core, checked by the leader.

Routes may be many, so they are kept one by one as they are shown and given back: JSON bytes that no core has to read
when a change is applied.
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

MERGED_ITEM_KINDS = ("services", "tenants")
INITIAL_WEIGHTS = "1"

Json = dict[str, Any]
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


def to_json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode("utf-8", "surrogatepass")


def encode_route(item: Json) -> Item:
    """Raises KeyError, TypeError or ValueError where it has no name or a source that is no text."""
    shown = {name: value for name, value in item.items() if name != "source"}
    return Item(name=item["name"], shown=to_json(shown), source=item.get("source", "").encode("utf-8", "surrogatepass"))


def decode_route(shown: bytes, source: bytes) -> Json:
    route: Json = json.loads(shown)
    if source:
        route["source"] = source.decode("utf-8", "surrogatepass")
    return route


def hash_change(change: ChangeDescription) -> str:
    """What makes two changes the same one, whenever they were checked. The leader's own is taken where it is told."""
    if change.content_hash:
        return change.content_hash
    change_hash = hashlib.blake2b(change.document, digest_size=16)
    change_hash.update(f":{change.base_number}:{change.number}:{change.by_name}".encode())
    for item in change.route:
        change_hash.update(f":{len(item.shown)}:{len(item.source)}:".encode())
        change_hash.update(item.shown + item.source)
    return change_hash.hexdigest()


def strip_sources(value: Any) -> Any:
    if isinstance(value, list):
        return [strip_sources(item) for item in value]
    if isinstance(value, dict) and "source" in value:
        return {name: inner for name, inner in value.items() if name != "source"}
    return value


def extract_routes(change: ChangeDescription, document: Json) -> None:
    """Routes that came inside the document go apart from it; a second call finds none left."""
    holder = document.get("put", {}) if change.by_name else document
    routes = holder.pop("routes", None)
    if routes:
        change.route.extend(encode_route(item) for item in routes)
    if routes is not None:
        change.document = to_json(document)


def merge_routes(held: EncodedRoutes, change: ChangeDescription, document: Json) -> EncodedRoutes:
    """The routes that come of a change: what is put replaces the route of its name in its place, or is added at the
    end; what is removed goes first."""
    merged = dict(held) if change.by_name else {}
    if change.by_name:
        for name in document.get("remove", {}).get("routes", []):
            merged.pop(name, None)
    for item in change.route:
        merged[item.name] = (item.shown, item.source)
    return merged


def merge_document(present: Json, document: Json, by_name: bool) -> Json:
    """All else than the routes of the description that comes of a change, likewise."""
    if not by_name:
        return {**document, "lines": _with_service_lines(document.get("lines", []), document.get("services", []))}
    merged = dict(present)
    for kind in MERGED_ITEM_KINDS:
        put = {item["name"]: item for item in document.get("put", {}).get(kind, [])}
        removed = set(document.get("remove", {}).get(kind, []))
        if not put and not removed:
            continue
        held = [item for item in present.get(kind, []) if item["name"] not in removed]
        held_names = {item["name"] for item in held}
        merged[kind] = [put.get(item["name"], item) for item in held]
        merged[kind].extend(item for name, item in put.items() if name not in held_names)
    if "put_limits" in document:
        merged["limits"] = document["put_limits"]
    if "source" in document:
        merged["source"] = document["source"]
    before = {name for service in present.get("services", []) for name in service.get("lines", [])}
    after = {name for service in merged.get("services", []) for name in service.get("lines", [])}
    kept = [line for line in present.get("lines", []) if line["name"] in after or line["name"] not in before]
    merged["lines"] = _with_service_lines(kept, merged.get("services", []))
    return merged


def _with_service_lines(lines: list[Json], services: list[Json]) -> list[Json]:
    """A line that a service names needs no word of its own: it begins with the first weights."""
    found = {line["name"]: line for line in lines}
    for service in services:
        for name in service.get("lines", []):
            found.setdefault(name, {"name": name, "weights": INITIAL_WEIGHTS})
    return list(found.values())


class ChangeChecker:
    """Looks at a change in pieces, as the leader does before it goes into the log."""

    def __init__(self, yield_to_loop: YieldToLoop) -> None:
        self.yield_to_loop = yield_to_loop

    async def check(self, change: ChangeDescription, present: Json, held: EncodedRoutes) -> Result[None, list[str]]:
        """Every fault of the description that would come of the change, each with its path. Routes inside the
        document are moved out of it."""
        if change.ByteSize() > MAX_CHANGE_BYTES:
            return Err([f"document: over {MAX_CHANGE_BYTES} bytes"])
        try:
            document: Any = json.loads(change.document)
        except (ValueError, RecursionError) as fault:
            return Err([f"document: can't be read: {type(fault).__name__}"])
        await self.yield_to_loop()
        faults = self._find_schema_errors(document, change.by_name)
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
        holder = document.get("put", {}) if by_name else document
        if not isinstance(holder, dict):
            return ["put: must be an object"]
        if not isinstance(holder.get("routes", []), list):
            return ["routes: must be a list"]
        rest = {kind: items for kind, items in holder.items() if kind != "routes"}
        dataclass_type: type[Any] = _PartialChange if by_name else Description
        checked = parse_dataclass(dataclass_type, {**document, "put": rest} if by_name else rest)
        if isinstance(checked, Err):
            return checked.err_value
        faults: list[str] = []
        for kind in MERGED_ITEM_KINDS if by_name else ():
            names = [item["name"] for item in rest.get(kind, [])]
            faults.extend(f"put.{kind}: {name!r} is named twice" for name in _find_doubles(names))
        return faults

    async def _find_route_errors(self, change: ChangeDescription, routes: EncodedRoutes, merged: Json) -> list[str]:
        faults = [f"routes: {name!r} is named twice" for name in _find_doubles([item.name for item in change.route])]
        put = {item.name for item in change.route}
        route_validator = RouteValidator({s["name"]: s["role"] for s in merged.get("services", [])})
        for position, (name, (shown, _)) in enumerate(routes.items()):
            path = f"routes[{position}]"
            if position % CHUNK_SIZE == CHUNK_SIZE - 1:
                await self.yield_to_loop()
            try:
                data: Any = json.loads(shown)
            except (ValueError, RecursionError):
                faults.append(f"{path}: can't be read")
                continue
            if name in put:
                schema_errors = parse_dataclass(Route, data)
                if isinstance(schema_errors, Err):
                    faults.extend(f"{path}.{fault}" for fault in schema_errors.err_value)
                    continue
                if data["name"] != name:
                    faults.append(f"{path}.name: is {name!r} beside it")
            route = Route(**{**data, "splits": [Split(**split) for split in data["splits"]]})
            faults.extend(route_validator.check_route(path, route))
        return faults


def _find_doubles(names: list[str]) -> list[str]:
    return [name for name, count in Counter(names).items() if count > 1]
