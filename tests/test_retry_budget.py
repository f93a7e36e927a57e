"""RetryBudget: retries stay within their share of the jobs."""

from __future__ import annotations

import unittest

from pearhead.router.retry_budget import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_within_the_share(self) -> None:
        budget = RetryBudget()
        self.assertFalse(budget.try_withdraw("s"), "the bucket starts empty")
        retry_count = 0
        for _ in range(1_000):
            budget.deposit("s", 0.1)
            retry_count += budget.try_withdraw("s")
        self.assertEqual(retry_count, 100)
