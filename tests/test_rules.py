"""Rules for the whole source tree that a reviewer could otherwise check only line by line.

Among them: no code of the daemons reads the wall clock or starts processes, no shipped file holds tests, and the pages
name every section, scenario and mutation.
"""

from __future__ import annotations

import ast
import re
import tomllib
import unittest
from pathlib import Path

from pearhead.config.description import read_description
from pearhead.config.startup import read_startup
from pearhead.testbed.deployment import DEPLOYMENTS, description_text
from pearhead.testbed.simulator.mutations import MUTATIONS
from pearhead.testbed.simulator.scenarios import SCENARIOS

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src" / "pearhead"
# Folders that are shipped; test code belongs in tests/ only.
PRODUCT_FOLDERS = ("src", "platform")
# The number of files that pyproject.toml exempts from the docstring rules. Lower it with each file taken off that list.
MAX_FILES_WITHOUT_DOCSTRINGS = 0
# The packages of the daemons.
DAEMON_PACKAGES = (
    "runtime",
    "rpc",
    "discovery",
    "config",
    "consensus",
    "invalidation",
    "control_plane",
    "router",
)
# Daemons read the time and wait through pearhead.runtime.clock only, which the simulator replaces.
CLOCK_CALLS = {
    "time.time",
    "time.time_ns",
    "time.monotonic",
    "time.sleep",
    "datetime.now",
    "datetime.utcnow",
    "asyncio.sleep",
}


def find_clock_calls(source_text: str) -> list[str]:
    return [
        ast.unparse(node.func)
        for node in ast.walk(ast.parse(source_text))
        if isinstance(node, ast.Call) and ast.unparse(node.func) in CLOCK_CALLS
    ]


def imported_modules(node: ast.AST) -> list[str]:
    """The modules that a statement imports; empty for a node that is not an import."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if isinstance(node, ast.ImportFrom):
        return [node.module or ""]
    return []


def find_test_code(source_text: str) -> list[str]:
    """Imports of unittest, and classes with a test case among their bases."""
    found = []
    for node in ast.walk(ast.parse(source_text)):
        if any(module.split(".")[0] == "unittest" for module in imported_modules(node)):
            found.append(ast.unparse(node))
        if isinstance(node, ast.ClassDef) and any("TestCase" in ast.unparse(base) for base in node.bases):
            found.append(f"class {node.name}")
    return found


class RulesTest(unittest.TestCase):
    def test_nothing_that_decides_reads_wall_time(self) -> None:
        file_paths = [path for name in DAEMON_PACKAGES for path in sorted((SOURCE / name).rglob("*.py"))]
        self.assertGreater(len(file_paths), 40)
        found = {str(path.relative_to(SOURCE)): find_clock_calls(path.read_text()) for path in file_paths}
        self.assertEqual({name: calls for name, calls in found.items() if calls}, {})
        self.assertEqual(find_clock_calls("import time\nx = time.time()"), ["time.time"])

    def test_no_product_file_holds_tests(self) -> None:
        file_paths = [path for folder in PRODUCT_FOLDERS for path in sorted((ROOT / folder).rglob("*.py"))]
        self.assertGreater(len(file_paths), 100)
        found = {str(path.relative_to(ROOT)): find_test_code(path.read_text()) for path in file_paths}
        self.assertEqual({name: lines for name, lines in found.items() if lines}, {})

    def test_planted_test_code_is_found(self) -> None:
        planted = {
            "import unittest": ["import unittest"],
            "import os, unittest.mock as mock": ["import os, unittest.mock as mock"],
            "from unittest import mock": ["from unittest import mock"],
            "def run():\n    from unittest.mock import patch": ["from unittest.mock import patch"],
            "class FirstTest(unittest.TestCase): ...": ["class FirstTest"],
            "class SecondTest(IsolatedAsyncioTestCase): ...": ["class SecondTest"],
            "class ThirdTest(tornado.testing.AsyncHTTPTestCase): ...": ["class ThirdTest"],
            "import unittests\nfrom . import unittest_free\nclass TestCases: ...": [],
        }
        for source_text, expected in planted.items():
            self.assertEqual(find_test_code(source_text), expected, source_text)

    def test_no_daemon_starts_a_process(self) -> None:
        process_modules = ("subprocess", "multiprocessing", "os.fork", "os.system", "os.exec")
        for name in (*DAEMON_PACKAGES, "pearheadctl"):
            for file_path in sorted((SOURCE / name).rglob("*.py")):
                self.assertFalse([m for m in process_modules if m in file_path.read_text()], file_path)

    def test_the_list_of_files_without_docstrings_only_shrinks(self) -> None:
        settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
        ignored = settings["tool"]["ruff"]["lint"]["per-file-ignores"]
        exempt_files = [name for name, codes in ignored.items() if "D" in codes and not name.startswith("tests/")]
        self.assertLessEqual(len(exempt_files), MAX_FILES_WITHOUT_DOCSTRINGS)
        self.assertEqual([name for name in exempt_files if not (ROOT / name).exists()], [])

    def test_the_path_below_the_edges_opens_no_socket_of_its_own(self) -> None:
        for file_path in sorted((SOURCE / "invalidation").rglob("*.py")) + sorted((SOURCE / "consensus").rglob("*.py")):
            self.assertNotIn("import socket", file_path.read_text(), file_path)

    def test_every_section_that_code_cites_stands_in_the_design(self) -> None:
        design = (ROOT / "docs" / "design.md").read_text()
        headings = set(re.findall(r"^#+ (\d+(?:\.\d+)?) ", design, re.MULTILINE))
        cited = {
            (number, file_path.name)
            for file_path in [*SOURCE.rglob("*.py"), *SOURCE.rglob("*.proto")]
            for number in re.findall(r"§(\d+(?:\.\d+)?)", file_path.read_text())
        }
        self.assertGreater(len(cited), 60)
        self.assertEqual(sorted(c for c in cited if c[0] not in headings), [])

    def test_the_failure_matrix_names_every_scenario_and_mutation_and_no_other(self) -> None:
        text = (ROOT / "docs" / "failures.md").read_text()
        named = set(re.findall(r"`([a-z0-9_-]+)`", text))
        self.assertEqual((set(SCENARIOS) | set(MUTATIONS)) - named - {"calm"}, set())
        self.assertEqual({n for n in named if "-" in n} - set(SCENARIOS), set())

    def test_the_shipped_examples_are_sound_and_of_this_release(self) -> None:
        examples = ROOT / "examples"
        for name, deployment in DEPLOYMENTS.items():
            text = (examples / f"{name}.json").read_text()
            self.assertEqual(text, description_text(deployment))
            read_description(text.encode()).unwrap()
        read_startup(str(examples / "core.toml"), {}, requires_data_folder=True).unwrap()
        read_startup(str(examples / "node.toml"), {}, requires_data_folder=False).unwrap()
