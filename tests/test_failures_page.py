"""Checks the tables of docs/failures.md that answer the platform's pages line by line.

Guards against rows that name tests, scenarios, mutations or methods that no longer exist, as after a rename, and
against lines that are neither covered nor marked as not covered.
"""

from __future__ import annotations

import re
import unittest
from dataclasses import dataclass
from pathlib import Path

from pearhead.testbed.simulator.mutations import MUTATIONS
from pearhead.testbed.simulator.scenarios import SCENARIOS

ROOT = Path(__file__).resolve().parent.parent
LATER_HEADING = "## The platform's later pages, line by line"
NEWEST_HEADING = "## The platform's newest pages, line by line"
# Number of lines of each page that the newest section covers; several rows may cover one line.
LINES_OF_PAGES = {"18": 21, "22": 19}
TEST = re.compile(r"`(test_\w+)(?:\.(test_\w+))?`")
SCENARIO = re.compile(r"`([a-z]+(?:-[a-z]+)+)`")
MUTATION_LIST = re.compile(r"\bmutations? ((?:`\w+`(?:, )?)+)")
CODE = re.compile(r"`([A-Z]\w+)\.(\w+)`")
PAGES = re.compile(r"^\(([\d, ]+)\) ")


@dataclass(frozen=True)
class Names:
    """What rows may name: the text of test modules and classes by name, scenarios and mutations."""

    tests: dict[str, str]
    scenarios: set[str]
    mutations: set[str]
    classes: dict[str, str]


def read_rows(text: str, heading: str) -> list[list[str]]:
    section = text[text.index(heading) + len(heading) :].split("\n## ")[0]
    rows = [
        [cell.strip() for cell in line.strip().strip("|").split("|")] for line in section.splitlines() if "|" in line
    ]
    return [row for row in rows if row[0] != "line" and set(row[0]) != {"-", " "} and not set(row[0]) <= {"-"}]


def read_classes(paths: list[Path]) -> dict[str, str]:
    """Source text by class name; a name that several classes share has the text of all of them."""
    classes: dict[str, str] = {}
    for path in paths:
        for text in re.split(r"^(?=class )", path.read_text(), flags=re.MULTILINE)[1:]:
            name = re.match(r"class (\w+)", text)
            assert name is not None
            classes[name.group(1)] = classes.get(name.group(1), "") + text
    return classes


def find_faults(rows: list[list[str]], names: Names) -> list[str]:
    faults = []
    for row in rows:
        if len(row) != 3:
            faults.append(f"{row[0]}: {len(row)} cells")
            continue
        for module, method in TEST.findall(row[1] + row[2]):
            if module not in names.tests or (method and f"def {method}(" not in names.tests[module]):
                faults.append(f"{row[0]}: no test {module}.{method}")
        faults.extend(
            f"{row[0]}: no scenario {name}" for name in SCENARIO.findall(row[1]) if name not in names.scenarios
        )
        for listed in MUTATION_LIST.findall(row[1]):
            faults.extend(
                f"{row[0]}: no mutation {name}"
                for name in re.findall(r"`(\w+)`", listed)
                if name not in names.mutations
            )
        for class_name, member in CODE.findall(row[1] + row[2]):
            if not re.search(rf"(def {member}\(|self\.{member}\b)", names.classes.get(class_name, "")):
                faults.append(f"{row[0]}: no {class_name}.{member}")
        if not TEST.search(row[1]) and not SCENARIO.search(row[1]) and "not covered" not in row[2]:
            faults.append(f"{row[0]}: neither covered nor said why not")
    return faults


class FailuresPageTest(unittest.TestCase):
    def setUp(self) -> None:
        text = (ROOT / "docs" / "failures.md").read_text()
        self.later, self.newest = read_rows(text, LATER_HEADING), read_rows(text, NEWEST_HEADING)
        sources = [*(ROOT / "src" / "pearhead").rglob("*.py"), *(ROOT / "platform").glob("*.py")]
        self.names = Names(
            {path.stem: path.read_text() for path in (ROOT / "tests").glob("test_*.py")},
            set(SCENARIOS),
            set(MUTATIONS),
            read_classes(sources),
        )

    def test_every_name_exists_and_no_line_is_left_open(self) -> None:
        self.assertGreater(len(self.later), 50)
        self.assertEqual(find_faults(self.later, self.names), [])

    def test_so_it_is_for_the_newest_pages(self) -> None:
        self.assertEqual(find_faults(self.newest, self.names), [])
        for page, line_count in LINES_OF_PAGES.items():
            page_matches = [PAGES.match(row[0]) for row in self.newest]
            rows = [match for match in page_matches if match is not None and page in match.group(1).split(", ")]
            self.assertGreaterEqual(len(rows), line_count, page)
        self.assertEqual([row[0] for row in self.newest if not PAGES.match(row[0])], [])

    def test_planted_faults_are_found(self) -> None:
        for row in (
            ["a", "`test_nowhere`", ""],
            ["a", "`test_roster.test_nothing_of_the_kind`", ""],
            ["a", "`no-such-scenario`", ""],
            ["a", "`test_roster`; mutation `no_such_mutation`", ""],
            ["a", "`test_roster`; mutations `line_lost`, `no_such_mutation`", ""],
            ["a", "`RequestProxy.no_such_function`: `test_roster`", ""],
            ["a", "`NoSuchClass.serve`: `test_roster`", ""],
            ["a", "", ""],
            ["a", "`test_roster`"],
        ):
            self.assertEqual(len(find_faults([row], self.names)), 1, row)
        sound = ["a", "`RequestProxy.serve`: `all-killed`; mutations `line_lost`, `runs_unlimited`", ""]
        self.assertEqual(len(find_faults([sound], self.names)), 1, "the second mutation does not exist")
        self.assertEqual(find_faults([["a", "`RequestProxy.serve`: `all-killed`", ""]], self.names), [])
