"""parse_dataclass: all errors in an operator's file are reported in one go, each with its path."""

from __future__ import annotations

import dataclasses
import unittest

from pearhead.config.dataclass_parser import parse_dataclass


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
            parse_dataclass(_Outer, data).unwrap_err(),
            [
                "more: unknown field",
                "name: missing",
                "inners[1].x: unknown field",
                "inners[1].number: must be int, not str",
                "inners[2]: must be an object",
                "tags: must be list[str], not list",
            ],
        )
        self.assertEqual(parse_dataclass(_Outer, {"name": "n", "inners": []}).unwrap(), _Outer("n", []))
