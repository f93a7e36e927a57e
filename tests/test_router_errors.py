"""ERROR_TABLE and Refusal: one answer for each kind of error."""

from __future__ import annotations

import unittest

from pearhead.router.errors import ERROR_TABLE, NOT_RUN, ErrorKind, Refusal


class ErrorTableTest(unittest.TestCase):
    def test_every_kind_has_one_answer_and_only_one_is_no_refusal(self) -> None:
        self.assertEqual(set(ERROR_TABLE), set(ErrorKind))
        unsure = [kind for kind, given_result in ERROR_TABLE.items() if given_result.ran != NOT_RUN]
        self.assertEqual(unsure, [ErrorKind.OUTCOME_UNKNOWN])

    def test_a_refusal_says_when_to_come_back_in_whole_seconds(self) -> None:
        self.assertEqual(Refusal(ErrorKind.OVERLOADED, "", 2_000_001).retry_after_seconds(), 3)
        self.assertEqual(Refusal(ErrorKind.OVERLOADED).retry_after_seconds(), 1)
        self.assertEqual(Refusal(ErrorKind.BAD_KEY, "", 2_000_001).retry_after_seconds(), 0, "never")
