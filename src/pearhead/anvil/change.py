"""Changes of the description under operators' own numbers (§5.4): merged alike by every core, checked by the leader."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from pearhead.awl.checked import read_checked
from pearhead.awl.description import (
    MAXIMUM_CHANGE,
    PIECE_SIZE,
    CapabilityEntry,
    Description,
    Limits,
    Line,
    Route,
    RouteCheck,
    Service,
    Tenant,
    build_checked,
    find_faults,
)
from pearhead.awl.wire_pb2 import ChangeDescription

NAMED_KINDS = ("routes", "services", "tenants")
CHECKED_KINDS = ("lines", "services", "entries", "tenants", "routes")
FIRST_WEIGHTS = "1"


@dataclass(frozen=True)
class _Piece:
    lines: list[Line] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    entries: list[CapabilityEntry] = field(default_factory=list)
    tenants: list[Tenant] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)


@dataclass(frozen=True)
class _Removed:
    routes: list[str] = field(default_factory=list)
    services: list[str] = field(default_factory=list)
    tenants: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class _ByName:
    put: _Piece = field(default_factory=_Piece)
    remove: _Removed = field(default_factory=_Removed)
    put_limits: Limits = field(default_factory=Limits)
    source: str = ""


def hash_change(change: ChangeDescription) -> str:
    """What makes two changes the same one, whenever they were checked."""
    change_hash = hashlib.blake2b(change.document, digest_size=16)
    change_hash.update(f":{change.base_number}:{change.number}:{change.by_name}".encode())
    return change_hash.hexdigest()


def without_source(value: Any) -> Any:
    if isinstance(value, list):
        return [without_source(item) for item in value]
    if isinstance(value, dict) and "source" in value:
        return {name: inner for name, inner in value.items() if name != "source"}
    return value


def merge_change(present: dict[str, Any], document: dict[str, Any], by_name: bool) -> dict[str, Any]:
    """The description that comes of a change. What is put replaces the item of its name in its place, or is added at
    the end; what is removed goes first."""
    if not by_name:
        return {**document, "lines": _with_named_lines(document.get("lines", []), document.get("services", []))}
    merged = dict(present)
    for kind in NAMED_KINDS:
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
    merged["lines"] = _with_named_lines(kept, merged.get("services", []))
    return merged


def _with_named_lines(lines: list[dict[str, Any]], services: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A line that a service names needs no word of its own: it begins with the first weights."""
    found = {line["name"]: line for line in lines}
    for service in services:
        for name in service.get("lines", []):
            found.setdefault(name, {"name": name, "weights": FIRST_WEIGHTS})
    return list(found.values())


class ChangeChecker:
    """Looks at a change in pieces, as the leader does before it goes into the log."""

    def __init__(self, breathe: Callable[[], Awaitable[None]]) -> None:
        self.breathe = breathe

    async def check(self, change: ChangeDescription, present: dict[str, Any]) -> Result[None, list[str]]:
        """Every fault of the description that would come of the change, each with its path."""
        if len(change.document) > MAXIMUM_CHANGE:
            return Err([f"document: over {MAXIMUM_CHANGE} bytes"])
        try:
            document: Any = json.loads(change.document)
        except (ValueError, RecursionError) as fault:
            return Err([f"document: can't be read: {type(fault).__name__}"])
        await self.breathe()
        if not isinstance(document, dict):
            return Err(["document: must be an object"])
        faults = await self._find_shape_faults(document, change.by_name)
        if faults:
            return Err(faults)
        merged = merge_change(present, document, change.by_name)
        await self.breathe()
        faults = find_faults(build_checked({**merged, "routes": []}), any_names=True)
        await self.breathe()
        routes = merged.get("routes", [])
        route_check = RouteCheck({s["name"]: s["role"] for s in merged.get("services", [])})
        for start in range(0, len(routes), PIECE_SIZE):
            piece = build_checked({"routes": routes[start : start + PIECE_SIZE]})
            for position, route in enumerate(piece.routes, start):
                faults.extend(route_check.find(f"routes[{position}]", route))
            await self.breathe()
        return Err(faults) if faults else Ok(None)

    async def _find_shape_faults(self, document: dict[str, Any], by_name: bool) -> list[str]:
        put = document.get("put", {}) if by_name else document
        if not isinstance(put, dict):
            return ["put: must be an object"]
        path = "put." if by_name else ""
        faults: list[str] = []
        whole = {kind: items for kind, items in put.items() if kind in CHECKED_KINDS and isinstance(items, list)}
        for kind, items in whole.items():
            for start in range(0, len(items), PIECE_SIZE):
                piece = read_checked(_Piece, {kind: items[start : start + PIECE_SIZE]})
                if isinstance(piece, Err):
                    faults.extend(path + _shift(kind, fault, start) for fault in piece.err_value)
                await self.breathe()
        rest = {kind: items for kind, items in put.items() if kind not in whole}
        shape: type[Any] = _ByName if by_name else Description
        checked = read_checked(shape, {**document, "put": rest} if by_name else rest)
        faults.extend(checked.err_value if isinstance(checked, Err) else [])
        if by_name and not faults:
            for kind in NAMED_KINDS:
                names = [item["name"] for item in put.get(kind, [])]
                faults.extend(f"put.{kind}: {name!r} is named twice" for name in sorted(
                    {name for name in names if names.count(name) > 1} if len(set(names)) < len(names) else ()
                ))
        return faults


def _shift(kind: str, fault: str, start: int) -> str:
    head, bracket, tail = fault.removeprefix(f"{kind}[").partition("]")
    return f"{kind}[{int(head) + start}]{tail}" if bracket and head.isdigit() else fault
