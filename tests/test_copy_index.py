"""CopyIndex: which cache reports count for a worker's loaded weights."""

from __future__ import annotations

import unittest

from pearhead.config.view import LoadRecord
from pearhead.router.copy_index import CopyIndex


class CopyIndexTest(unittest.TestCase):
    def test_only_reports_after_the_load_in_the_same_life_count(self) -> None:
        index = CopyIndex()
        load = LoadRecord(line="l", life="A", fence=1, weights_revision=1, sequence=10)
        index.apply_cache_report("w", "A", 5, 9, ["k1"], [], False)
        self.assertEqual(index.longest_cached_prefix("w", load, ["k1"]), 0, "cached before the load")
        index.apply_cache_report("w", "A", 9, 12, ["k2"], [], False)
        self.assertEqual(index.longest_cached_prefix("w", load, ["k2"]), 0, "the span begins before the load")
        index.apply_cache_report("w", "A", 12, 13, ["k1", "k3"], [], False)
        self.assertEqual(index.longest_cached_prefix("w", load, ["k1", "k3", "k4"]), 2)
        index.apply_cache_report("w", "A", 9, 12, [], ["k3"], False)
        self.assertEqual(index.longest_cached_prefix("w", load, ["k1", "k3"]), 2, "a late report changes nothing")
        index.apply_cache_report("w", "A", 15, 16, ["k5"], [], False)
        self.assertEqual(index.longest_cached_prefix("w", load, ["k1", "k3"]), 0, "a gap may hide drops")
        index.apply_cache_report("w", "B", 0, 99, ["k1"], [], False)
        self.assertEqual(index.longest_cached_prefix("w", load, ["k1"]), 0, "another life")
