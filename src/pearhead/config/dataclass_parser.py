"""parse_dataclass (§3.3): data into dataclasses, checked by dacite, with every fault and its path."""

from __future__ import annotations

import dataclasses
import functools
import typing
from typing import Any, TypeVar

import dacite
from result import Err, Ok, Result

AnyT = TypeVar("AnyT")
STRICT_DACITE_CONFIG = dacite.Config(strict=True)


def parse_dataclass(dataclass_type: type[AnyT], data: object) -> Result[AnyT, list[str]]:
    """Builds a dataclass `dataclass_type` from `data`, or lists every fault, each with its path."""
    faults: list[str] = []
    _find_field_errors(dataclass_type, data, "", faults)
    if faults:
        return Err(faults)
    return Ok(_build(dataclass_type, data))


@dataclasses.dataclass(frozen=True)
class _FieldSpec:
    """What reading needs to know of a field, found once a shape: it is on the way of every job."""

    name: str
    hint: Any
    has_default: bool
    inner_shape: Any
    item_shape: Any


@functools.lru_cache(maxsize=256)
def _field_specs(dataclass_type: Any) -> tuple[dict[str, _FieldSpec], frozenset[str]]:
    hints = typing.get_type_hints(dataclass_type)
    plans = {}
    for field in dataclasses.fields(dataclass_type):
        hint = hints[field.name]
        inner_hints = typing.get_args(hint)
        is_items = typing.get_origin(hint) is list and dataclasses.is_dataclass(inner_hints[0])
        has_default = field.default is not dataclasses.MISSING or field.default_factory is not dataclasses.MISSING
        plans[field.name] = _FieldSpec(
            field.name,
            hint,
            has_default,
            hint if dataclasses.is_dataclass(hint) else None,
            inner_hints[0] if is_items else None,
        )
    return plans, frozenset(plans)


def _build(dataclass_type: Any, data: Any) -> Any:
    """From data in which no fault was found."""
    plans, _ = _field_specs(dataclass_type)
    values = {}
    for name, value in data.items():
        plan = plans[name]
        if plan.inner_shape is not None:
            value = _build(plan.inner_shape, value)
        elif plan.item_shape is not None:
            value = [_build(plan.item_shape, item) for item in value]
        values[name] = value
    return dataclass_type(**values)


def _find_field_errors(dataclass_type: Any, data: object, path: str, faults: list[str]) -> None:
    if not isinstance(data, dict):
        faults.append(f"{path or 'file'}: must be an object")
        return
    prefix = f"{path}." if path else ""
    plans, known_names = _field_specs(dataclass_type)
    if not data.keys() <= known_names:
        faults.extend(f"{prefix}{name}: unknown field" for name in sorted(map(str, set(data) - known_names)))
    for name, plan in plans.items():
        if name not in data:
            if not plan.has_default:
                faults.append(f"{prefix}{name}: missing")
            continue
        value = data[name]
        if type(value) is plan.hint:
            continue
        field_path = prefix + name
        if plan.inner_shape is not None:
            _find_field_errors(plan.inner_shape, value, field_path, faults)
        elif plan.item_shape is not None:
            if not isinstance(value, list):
                faults.append(f"{field_path}: must be a list")
                continue
            for position, item in enumerate(value):
                _find_field_errors(plan.item_shape, item, f"{field_path}[{position}]", faults)
        else:
            _check_leaf(plan.hint, value, field_path, faults)


@functools.lru_cache(maxsize=256)
def _leaf_dataclass(hint: Any) -> Any:
    """Making a dataclass costs a hundred times as much as reading into it."""
    return dataclasses.make_dataclass("Leaf", [("leaf", hint)])


def _check_leaf(hint: Any, value: object, path: str, faults: list[str]) -> None:
    if isinstance(value, bool) and hint in (int, float):
        faults.append(f"{path}: must be a number")
        return
    try:
        dacite.from_dict(_leaf_dataclass(hint), {"leaf": value}, STRICT_DACITE_CONFIG)
    except dacite.DaciteError:
        wanted = getattr(hint, "__name__", str(hint))
        if typing.get_args(hint):
            wanted = str(hint)
        faults.append(f"{path}: must be {wanted}, not {type(value).__name__}")
