"""Only tests listed in KNOWN-RED.txt may fail, and a listed test that passes or does not exist fails the run.

Otherwise a line would outlive its fault and hide the next failure of the same test.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.known_red import Judgement, KnownRedTest, judge, read_known_red, read_known_red_tests

ROOT = Path(__file__).resolve().parent.parent
LINE = "tests.test_a.ATest.test_x | why | issue 1"
RUNNER = """
import sys
import nose2
from pathlib import Path
from tests import countplugin, known_red
known_red.KNOWN_RED_FILE = Path("KNOWN-RED.txt")
ran = nose2.discover(argv=["nose2", "-c", "none.cfg", "--plugin", "tests.countplugin", "-s", "."], exit=False)
print(ran.result.wasSuccessful(), countplugin.OUTCOMES, countplugin.missing_known_red())
"""
TESTS = """
import unittest
class ATest(unittest.TestCase):
    def test_red(self):
        self.fail("as known")
    def test_green(self):
        pass
"""


class KnownRedTestsTest(unittest.TestCase):
    def test_a_line_names_a_test_its_cause_and_its_issue(self) -> None:
        known = read_known_red_tests(f"{LINE}\n\ntestbed sim a | commands: why | issue 1\n")
        self.assertEqual(list(known.values()), [KnownRedTest("tests.test_a.ATest.test_x", "why", "issue 1")])
        self.assertEqual(
            [run.checker for run in read_known_red(f"{LINE}\ntestbed sim a | commands: why | 1")], ["commands"]
        )
        for text in ("tests.a", "tests.a | why", "tests.a | | issue 1", "a | b | c | d", f"{LINE}\n" * 4):
            with self.subTest(text), self.assertRaises(ValueError):
                read_known_red_tests(text)

    def test_only_the_exact_id_is_passed_over(self) -> None:
        known = read_known_red_tests(LINE)
        self.assertIs(judge("tests.test_a.ATest.test_x", True, known), Judgement.KNOWN_RED)
        self.assertIs(judge("tests.test_a.ATest.test_x", False, known), Judgement.STALE)
        self.assertIs(judge("tests.test_a.ATest.test_xy", True, known), Judgement.AS_IS)

    def run_with(self, lines: str) -> str:
        """The output of nose2 for one failing and one passing test, with these lines in KNOWN-RED.txt."""
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "KNOWN-RED.txt").write_text(lines)
            Path(folder, "test_a.py").write_text(TESTS)
            finished = subprocess.run(
                [sys.executable, "-c", RUNNER],
                cwd=folder,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                capture_output=True,
                text=True,
                check=False,
            )
            return finished.stdout.strip() or finished.stderr

    def test_a_listed_failure_passes_and_all_else_fails(self) -> None:
        red, green = "test_a.ATest.test_red | why | issue 1", "test_a.ATest.test_green | why | issue 1"
        gone = "test_a.ATest.test_gone | why | issue 1"
        self.assertEqual(self.run_with(red), "True {'passed': 1, 'failed': 0} []")
        self.assertEqual(self.run_with(""), "False {'passed': 1, 'failed': 1} []")
        self.assertEqual(self.run_with(green), "False {'passed': 0, 'failed': 2} ['test_a.ATest.test_green']")
        self.assertEqual(self.run_with(f"{red}\n{gone}"), "True {'passed': 1, 'failed': 0} ['test_a.ATest.test_gone']")


if __name__ == "__main__":
    unittest.main()
