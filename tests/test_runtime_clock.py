"""choose_clock: falls back to CLOCK_MONOTONIC where the kernel refuses CLOCK_BOOTTIME."""

from __future__ import annotations

import time
import unittest

from pearhead.runtime.clock import choose_clock


class ChooseClockTest(unittest.TestCase):
    def test_a_refused_boot_clock_gives_way_to_the_steady_one(self) -> None:
        def refuse(clock_id: int) -> int:
            raise OSError(22, "refused")

        self.assertEqual(choose_clock(refuse), time.CLOCK_MONOTONIC)
        self.assertEqual(choose_clock(lambda clock_id: 1), time.CLOCK_BOOTTIME)
