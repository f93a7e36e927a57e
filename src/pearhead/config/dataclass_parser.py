"""parse_dataclass (§3.3): converts JSON-like data to dataclasses; dacite checks types, every error is reported."""

from __future__ import annotations

import dataclasses
import functools
import typing
from typing import Any, TypeVar

import dacite
from result import Err, Ok, Result

AnyT = TypeVar("AnyT")
# Numbers of 64 bits: what is stored here meets timers and fields of messages that hold no larger ones.
MIN_NUMBER = -(2**63)
MAX_NUMBER = 2**63 - 1
STRICT_DACITE_CONFIG = dacite.Config(strict=True)


def parse_dataclass(dataclass_type: type[AnyT], data: object) -> Result[AnyT, list[str]]:
    """Builds an instance of `dataclass_type` from `data`, or lists every error, each with the path of its field."""
    errors: list[str] = []
    _find_field_errors(dataclass_type, data, "", errors)
    if errors:
        return Err(errors)
    return Ok(_build(dataclass_type, data))


@dataclasses.dataclass(frozen=True)
class _FieldSpec:
    """What the parser needs to know about a field.

    Computed once per dataclass, because parsing is on the path of every job.
    """

    name: str
    hint: Any
    has_default: bool
    nested_type: Any
    item_type: Any


@functools.lru_cache(maxsize=256)
def _field_specs(dataclass_type: Any) -> tuple[dict[str, _FieldSpec], frozenset[str]]:
    hints = typing.get_type_hints(dataclass_type)
    specs = {}
    for field in dataclasses.fields(dataclass_type):
        hint = hints[field.name]
        type_args = typing.get_args(hint)
        is_dataclass_list = typing.get_origin(hint) is list and dataclasses.is_dataclass(type_args[0])
        has_default = field.default is not dataclasses.MISSING or field.default_factory is not dataclasses.MISSING
        specs[field.name] = _FieldSpec(
            field.name,
            hint,
            has_default,
            hint if dataclasses.is_dataclass(hint) else None,
            type_args[0] if is_dataclass_list else None,
        )
    return specs, frozenset(specs)


def _build(dataclass_type: Any, data: Any) -> Any:
    """Builds an instance from data in which `_find_field_errors` found nothing."""
    specs, _ = _field_specs(dataclass_type)
    values = {}
    for name, value in data.items():
        spec = specs[name]
        if spec.nested_type is not None:
            value = _build(spec.nested_type, value)
        elif spec.item_type is not None:
            value = [_build(spec.item_type, item) for item in value]
        values[name] = value
    return dataclass_type(**values)


def _find_field_errors(dataclass_type: Any, data: object, path: str, errors: list[str]) -> None:
    if not isinstance(data, dict):
        errors.append(f"{path or 'file'}: must be an object")
        return
    prefix = f"{path}." if path else ""
    specs, field_names = _field_specs(dataclass_type)
    if not data.keys() <= field_names:
        errors.extend(f"{prefix}{name}: unknown field" for name in sorted(map(str, set(data) - field_names)))
    for name, spec in specs.items():
        if name not in data:
            if not spec.has_default:
                errors.append(f"{prefix}{name}: missing")
            continue
        value = data[name]
        if type(value) in (int, float) and not MIN_NUMBER <= value <= MAX_NUMBER:
            errors.append(f"{prefix}{name}: must be from {MIN_NUMBER} to {MAX_NUMBER}")
            continue
        if type(value) is spec.hint:
            continue
        field_path = prefix + name
        if spec.nested_type is not None:
            _find_field_errors(spec.nested_type, value, field_path, errors)
        elif spec.item_type is not None:
            if not isinstance(value, list):
                errors.append(f"{field_path}: must be a list")
                continue
            for position, item in enumerate(value):
                _find_field_errors(spec.item_type, item, f"{field_path}[{position}]", errors)
        else:
            _check_leaf(spec.hint, value, field_path, errors)


@functools.lru_cache(maxsize=256)
def _leaf_dataclass(hint: Any) -> Any:
    """A dataclass with one field of type `hint`; cached, as creating it costs 100 times as much as parsing into it."""
    return dataclasses.make_dataclass("Leaf", [("leaf", hint)])


def _check_leaf(hint: Any, value: object, path: str, errors: list[str]) -> None:
    if isinstance(value, bool) and hint in (int, float):
        errors.append(f"{path}: must be a number")
        return
    try:
        dacite.from_dict(_leaf_dataclass(hint), {"leaf": value}, STRICT_DACITE_CONFIG)
    except dacite.DaciteError:
        expected = getattr(hint, "__name__", str(hint))
        if typing.get_args(hint):
            expected = str(hint)
        errors.append(f"{path}: must be {expected}, not {type(value).__name__}")
