"""The test command passes over what KNOWN-RED.txt lists, by test and exception, and over nothing else."""

from __future__ import annotations

import unittest

from tests.countplugin import classify, read_listed
from tests.known_red import read_known_red

LISTED = "tests.test_a.ATest.test_b"
MOST_LISTED = 3


class KnownRedTest(unittest.TestCase):
    def test_only_the_listed_test_with_the_listed_exception_is_passed_over(self) -> None:
        known = read_known_red(f"{LISTED} | AssertionError: why | issue 1\n")
        for outcome, test_id, fault, counted in (
            ("passed", LISTED, "", "passed"),
            ("failed", LISTED, "AssertionError", "known"),
            ("error", LISTED, "AssertionError", "known"),
            ("error", LISTED, "KeyError", "failed"),
            ("failed", LISTED + "c", "AssertionError", "failed"),
            ("failed", "tests.test_a.ATest", "AssertionError", "failed"),
            ("subtest", LISTED, "AssertionError", "failed"),
            ("skipped", LISTED, "", "failed"),
        ):
            self.assertEqual(classify(outcome, test_id, fault, known), counted, (outcome, test_id, fault))
            self.assertEqual(classify(outcome, test_id, fault, []), "passed" if counted == "passed" else "failed")

    def test_the_list_is_short(self) -> None:
        self.assertLessEqual(len(read_listed()), MOST_LISTED)
