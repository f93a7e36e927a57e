"""InterleavingExplorer: among all schedules of two tasks it finds those that lose an update.

Both tasks read a counter, yield and write back: an update is lost if both read before either writes.
"""

from __future__ import annotations

import asyncio
import unittest

from pearhead.testbed.simulator.interleaving_explorer import InterleavingExplorer


class ExplorerTest(unittest.TestCase):
    def test_it_finds_the_one_order_that_loses_an_update(self) -> None:
        async def scenario() -> None:
            counter = {"value": 0}

            async def add() -> None:
                read_value = counter["value"]
                await asyncio.sleep(0)
                counter["value"] = read_value + 1

            await asyncio.gather(add(), add())
            assert counter["value"] == 2, "lost"

        exploration = InterleavingExplorer().explore(scenario)
        self.assertTrue(exploration.is_complete)
        self.assertGreater(exploration.schedule_count, 5)
        self.assertGreater(len(exploration.faults), 0)
        self.assertLess(len(exploration.faults), exploration.schedule_count)
