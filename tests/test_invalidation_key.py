"""chain_keys: what changes the key of a cached part."""

from __future__ import annotations

import unittest

from pearhead.invalidation.cache_keys import chain_keys


class ChainKeysTest(unittest.TestCase):
    def test_owner_weights_revision_and_order_all_change_a_key(self) -> None:
        base = chain_keys("tenant:a", "l", 1, [(1, 1), (2, 1)])
        others = [
            chain_keys("group:a", "l", 1, [(1, 1), (2, 1)]),
            chain_keys("tenant:a", "l", 2, [(1, 1), (2, 1)]),
            chain_keys("tenant:a", "l", 1, [(1, 2), (2, 1)]),
            chain_keys("tenant:a", "l", 1, [(2, 1), (1, 1)]),
        ]
        for other in others:
            self.assertNotIn(other[1], base)
        self.assertEqual(chain_keys("tenant:a", "l", 1, [(1, 1), (2, 5)])[0], base[0])
