"""chain_keys: owner, weights, revisions and order each change the key of a cached part; later parts don't."""

from __future__ import annotations

import unittest

from pearhead.invalidation.cache_keys import chain_keys


class ChainKeysTest(unittest.TestCase):
    def test_owner_weights_revision_and_order_all_change_a_key(self) -> None:
        base_keys = chain_keys("tenant:a", "l", 1, [(1, 1), (2, 1)])
        other_chains = [
            chain_keys("group:a", "l", 1, [(1, 1), (2, 1)]),
            chain_keys("tenant:a", "l", 2, [(1, 1), (2, 1)]),
            chain_keys("tenant:a", "l", 1, [(1, 2), (2, 1)]),
            chain_keys("tenant:a", "l", 1, [(2, 1), (1, 1)]),
        ]
        for other_keys in other_chains:
            self.assertNotIn(other_keys[1], base_keys)
        self.assertEqual(chain_keys("tenant:a", "l", 1, [(1, 1), (2, 5)])[0], base_keys[0])
