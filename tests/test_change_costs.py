"""What a change costs stays flat as changes go on, by counts: lines of the product run, bytes told and written."""

from __future__ import annotations

import asyncio
import sys
import unittest
from collections.abc import Callable
from types import FrameType
from typing import Any
from unittest import mock

from pearhead.consensus.log import KIND_MEMBERS
from pearhead.rpc.wire_pb2 import Command
from pearhead.testbed.capacity.change_costs import Trio, one_route_change, small_change

EARLY, LATE = 10, 1_000
COUNTED_CHANGES = 5
# A snapshot or a new segment may fall into one of the counted stretches and not into the other.
MOST_GROWTH = 1.1


def _is_counted(file_name: str) -> bool:
    return "/pearhead/" in file_name or file_name == __file__


class LineCount:
    """Lines that the product runs, each turn of a loop anew: the same on any machine."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> LineCount:
        sys.settrace(self._enter_frame)
        return self

    def __exit__(self, *fault: object) -> None:
        sys.settrace(None)

    def _enter_frame(self, frame: FrameType, event: str, argument: Any) -> Any:
        return self._note_line if _is_counted(frame.f_code.co_filename) else None

    def _note_line(self, frame: FrameType, event: str, argument: Any) -> Any:
        self.count += event == "line"
        return self._note_line


async def count_costs(make_change: Callable[[int], Command], last: int) -> list[tuple[int, int, int]]:
    """Lines run, bytes told and bytes written by the changes before the early and the last number."""
    trio = Trio()
    await trio.start()
    found = []
    number = 0
    for until in (EARLY, last):
        while number < until - COUNTED_CHANGES:
            number += 1
            await trio.change(make_change(number))
        before = (trio.told_bytes, sum(d.written_bytes for d in trio.disks))
        with LineCount() as lines:
            for _ in range(COUNTED_CHANGES):
                number += 1
                await trio.change(make_change(number))
        after = (trio.told_bytes, sum(d.written_bytes for d in trio.disks))
        found.append((lines.count, after[0] - before[0], after[1] - before[1]))
    trio.stop()
    return found


class ChangeCostsTest(unittest.TestCase):
    def check_flat(self, make_change: Callable[[int], Command], last: int) -> None:
        early, late = asyncio.run(count_costs(make_change, last))
        for name, early_count, late_count in zip(("lines", "told", "written"), early, late, strict=True):
            self.assertGreater(early_count, 0)
            self.assertLess(late_count, early_count * MOST_GROWTH, name)

    def test_small_changes_cost_the_same_after_a_thousand(self) -> None:
        self.check_flat(small_change, LATE)

    def test_one_route_of_many_costs_the_same_after_a_hundred(self) -> None:
        self.check_flat(one_route_change, 100)

    def test_a_walk_through_the_log_is_found(self) -> None:
        """The checker's own check: members looked up in the log, as they once were."""

        play_change = Trio.change

        async def walk_and_change(trio: Trio, command: Command) -> None:
            for entry in reversed(trio.leader.log.entries):
                if entry.kind == KIND_MEMBERS:
                    break
            await play_change(trio, command)

        with mock.patch.object(Trio, "change", walk_and_change):
            with self.assertRaisesRegex(AssertionError, "lines"):
                self.check_flat(small_change, 300)
