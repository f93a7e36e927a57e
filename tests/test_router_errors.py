"""ERROR_TABLE and Refusal: each kind of error has one response, and only `OUTCOME_UNKNOWN` leaves open if it ran."""

from __future__ import annotations

import unittest

from pearhead.router.errors import ERROR_TABLE, NOT_RUN, ErrorKind, Refusal


class ErrorTableTest(unittest.TestCase):
    def test_every_kind_has_one_answer_and_only_one_is_no_refusal(self) -> None:
        self.assertEqual(set(ERROR_TABLE), set(ErrorKind))
        may_have_run_kinds = [kind for kind, spec in ERROR_TABLE.items() if spec.ran != NOT_RUN]
        self.assertEqual(may_have_run_kinds, [ErrorKind.OUTCOME_UNKNOWN])

    def test_a_refusal_says_when_to_come_back_in_whole_seconds(self) -> None:
        self.assertEqual(Refusal(ErrorKind.OVERLOADED, "", 2_000_001).retry_after_seconds(), 3)
        self.assertEqual(Refusal(ErrorKind.OVERLOADED).retry_after_seconds(), 1)
        self.assertEqual(Refusal(ErrorKind.BAD_KEY, "", 2_000_001).retry_after_seconds(), 0, "no retry")
