"""The cost of a configuration change must not grow with the number of changes made before it.

Costs are counts, so they are the same on any machine: lines of Python run, bytes sent and bytes written. The tests
guard against work that walks the whole log, or sends or writes more, with each further change.
"""

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
from pearhead.testbed.capacity.change_costs import ThreeMemberGroup, one_route_change, small_change

EARLY, LATE = 10, 1_000
COUNTED_CHANGES = 5
# Allows for a snapshot or a new log segment that falls into only one of the two counted windows.
MAX_GROWTH = 1.1


def _is_counted(file_name: str) -> bool:
    return "/pearhead/" in file_name or file_name == __file__


class LineCount:
    """Counts the lines of Python that run in this package and in this file, repetitions included."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> LineCount:
        sys.settrace(self._enter_frame)
        return self

    def __exit__(self, *fault: object) -> None:
        sys.settrace(None)

    def _enter_frame(self, frame: FrameType, event: str, argument: Any) -> Any:
        return self._count_line if _is_counted(frame.f_code.co_filename) else None

    def _count_line(self, frame: FrameType, event: str, argument: Any) -> Any:
        self.count += event == "line"
        return self._count_line


async def count_costs(make_change: Callable[[int], Command], last: int) -> list[tuple[int, int, int]]:
    """Lines run, bytes sent and bytes written by the last few changes before the early and the last number."""
    group = ThreeMemberGroup()
    await group.start()
    counts = []
    number = 0
    for until in (EARLY, last):
        while number < until - COUNTED_CHANGES:
            number += 1
            await group.change(make_change(number))
        before = (group.sent_bytes, sum(d.written_bytes for d in group.disks))
        with LineCount() as lines:
            for _ in range(COUNTED_CHANGES):
                number += 1
                await group.change(make_change(number))
        after = (group.sent_bytes, sum(d.written_bytes for d in group.disks))
        counts.append((lines.count, after[0] - before[0], after[1] - before[1]))
    group.stop()
    return counts


class ChangeCostsTest(unittest.TestCase):
    def check_flat(self, make_change: Callable[[int], Command], last: int) -> None:
        early, late = asyncio.run(count_costs(make_change, last))
        for name, early_count, late_count in zip(("lines", "told", "written"), early, late, strict=True):
            self.assertGreater(early_count, 0)
            self.assertLess(late_count, early_count * MAX_GROWTH, name)

    def test_small_changes_cost_the_same_after_a_thousand(self) -> None:
        self.check_flat(small_change, LATE)

    def test_one_route_of_many_costs_the_same_after_a_hundred(self) -> None:
        self.check_flat(one_route_change, 100)

    def test_a_walk_through_the_log_is_found(self) -> None:
        """Checks the check: a search for the members in the log, an earlier fault, must be reported."""

        original_change = ThreeMemberGroup.change

        async def walk_and_change(group: ThreeMemberGroup, command: Command) -> None:
            for entry in reversed(group.leader.log.entries):
                if entry.kind == KIND_MEMBERS:
                    break
            await original_change(group, command)

        with mock.patch.object(ThreeMemberGroup, "change", walk_and_change):
            with self.assertRaisesRegex(AssertionError, "lines"):
                self.check_flat(small_change, 300)
