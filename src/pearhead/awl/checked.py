"""read_checked (§3.3): operator data into dataclasses by dacite, with every fault and its path."""

from __future__ import annotations

import dataclasses
import functools
import typing
import unittest
from typing import Any, TypeVar

import dacite
from result import Err, Ok, Result

AnyT = TypeVar("AnyT")
STRICT = dacite.Config(strict=True)


def read_checked(shape: type[AnyT], data: object) -> Result[AnyT, list[str]]:
    faults: list[str] = []
    _find_faults(shape, data, "", faults)
    if faults:
        return Err(faults)
    assert isinstance(data, dict)
    try:
        return Ok(dacite.from_dict(shape, data, STRICT))
    except (dacite.DaciteError, ValueError) as fault:
        return Err([str(fault)])


def _find_faults(shape: Any, data: object, path: str, faults: list[str]) -> None:
    if not isinstance(data, dict):
        faults.append(f"{path or 'file'}: must be an object")
        return
    prefix = f"{path}." if path else ""
    hints = _hints_of(shape)
    knownNames = {f.name for f in dataclasses.fields(shape)}
    faults.extend(f"{prefix}{name}: unknown field" for name in sorted(map(str, set(data) - knownNames)))
    for field in dataclasses.fields(shape):
        fieldPath = prefix + field.name
        hasDefault = (
            field.default is not dataclasses.MISSING or field.default_factory is not dataclasses.MISSING
        )
        if field.name not in data:
            if not hasDefault:
                faults.append(f"{fieldPath}: missing")
            continue
        value, hint = data[field.name], hints[field.name]
        innerHints = typing.get_args(hint)
        if dataclasses.is_dataclass(hint):
            _find_faults(hint, value, fieldPath, faults)
        elif typing.get_origin(hint) is list and dataclasses.is_dataclass(innerHints[0]):
            if not isinstance(value, list):
                faults.append(f"{fieldPath}: must be a list")
                continue
            for position, item in enumerate(value):
                _find_faults(innerHints[0], item, f"{fieldPath}[{position}]", faults)
        else:
            _check_leaf(hint, value, fieldPath, faults)


@functools.lru_cache(maxsize=256)
def _hints_of(shape: Any) -> dict[str, Any]:
    return typing.get_type_hints(shape)


@functools.lru_cache(maxsize=256)
def _leaf_shape(hint: Any) -> Any:
    """Making a dataclass costs a hundred times as much as reading into it."""
    return dataclasses.make_dataclass("Leaf", [("leaf", hint)])


def _check_leaf(hint: Any, value: object, path: str, faults: list[str]) -> None:
    if type(value) is hint:
        return
    if isinstance(value, bool) and hint in (int, float):
        faults.append(f"{path}: must be a number")
        return
    try:
        dacite.from_dict(_leaf_shape(hint), {"leaf": value}, STRICT)
    except dacite.DaciteError:
        wanted = getattr(hint, "__name__", str(hint))
        if typing.get_args(hint):
            wanted = str(hint)
        faults.append(f"{path}: must be {wanted}, not {type(value).__name__}")


@dataclasses.dataclass
class _Inner:
    number: int


@dataclasses.dataclass
class _Outer:
    name: str
    inners: list[_Inner]
    tags: list[str] = dataclasses.field(default_factory=list)


class ReadCheckedTest(unittest.TestCase):
    def test_every_fault_is_listed_with_its_path(self) -> None:
        data = {"inners": [{"number": 1}, {"number": "2", "x": 0}, 5], "tags": ["a", 3], "more": 1}
        self.assertEqual(
            read_checked(_Outer, data).unwrap_err(),
            [
                "more: unknown field",
                "name: missing",
                "inners[1].x: unknown field",
                "inners[1].number: must be int, not str",
                "inners[2]: must be an object",
                "tags: must be list[str], not list",
            ],
        )
        self.assertEqual(read_checked(_Outer, {"name": "n", "inners": []}).unwrap(), _Outer("n", []))
