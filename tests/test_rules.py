"""Rules of the house that a reader would have to look for line by line."""

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

SOURCE = Path(__file__).resolve().parent.parent / "src" / "pearhead"
# Lower it with each file that becomes clean.
MOST_WITHOUT_DOCSTRINGS = 144
DECIDING = (
    "runtime",
    "rpc",
    "discovery",
    "config",
    "consensus",
    "invalidation",
    "control_plane",
    "router",
)
WALL_CALLS = {
    "time.time",
    "time.time_ns",
    "time.monotonic",
    "time.sleep",
    "datetime.now",
    "datetime.utcnow",
    "asyncio.sleep",
}


def find_calls(source_text: str) -> list[str]:
    return [
        ast.unparse(node.func)
        for node in ast.walk(ast.parse(source_text))
        if isinstance(node, ast.Call) and ast.unparse(node.func) in WALL_CALLS
    ]


def code_of(file_path: Path) -> str:
    """A file without the tests at its foot."""
    module = ast.parse(file_path.read_text())
    module.body = [n for n in module.body if not (isinstance(n, ast.ClassDef) and n.name.endswith("Test"))]
    return ast.unparse(module)


class RulesTest(unittest.TestCase):
    def test_nothing_that_decides_reads_wall_time(self) -> None:
        file_paths = [p for name in DECIDING for p in sorted((SOURCE / name).rglob("*.py"))]
        self.assertGreater(len(file_paths), 40)
        found = {str(p.relative_to(SOURCE)): find_calls(code_of(p)) for p in file_paths}
        self.assertEqual({name: calls for name, calls in found.items() if calls}, {})
        self.assertEqual(find_calls("import time\nx = time.time()"), ["time.time"])

    def test_no_daemon_starts_a_process(self) -> None:
        names = ("subprocess", "multiprocessing", "os.fork", "os.system", "os.exec")
        for name in (*DECIDING, "pearheadctl"):
            for file_path in sorted((SOURCE / name).rglob("*.py")):
                self.assertFalse([n for n in names if n in file_path.read_text()], file_path)

    def test_the_list_of_files_without_docstrings_only_shrinks(self) -> None:
        settings = tomllib.loads((SOURCE.parent.parent / "pyproject.toml").read_text())
        ignored = settings["tool"]["ruff"]["lint"]["per-file-ignores"]
        unclean = [name for name, codes in ignored.items() if "D" in codes and not name.startswith("tests/")]
        self.assertLessEqual(len(unclean), MOST_WITHOUT_DOCSTRINGS)
        self.assertEqual([name for name in unclean if not (SOURCE.parent.parent / name).exists()], [])

    def test_the_path_below_the_edges_opens_no_socket_of_its_own(self) -> None:
        for file_path in sorted((SOURCE / "invalidation").rglob("*.py")) + sorted((SOURCE / "consensus").rglob("*.py")):
            self.assertNotIn("import socket", file_path.read_text(), file_path)

    def test_every_section_that_code_cites_stands_in_the_design(self) -> None:
        design = (SOURCE.parent.parent / "docs" / "design.md").read_text()
        headings = set(re.findall(r"^#+ (\d+(?:\.\d+)?) ", design, re.MULTILINE))
        cited = {
            (number, file_path.name)
            for file_path in [*SOURCE.rglob("*.py"), *SOURCE.rglob("*.proto")]
            for number in re.findall(r"§(\d+(?:\.\d+)?)", file_path.read_text())
        }
        self.assertGreater(len(cited), 60)
        self.assertEqual(sorted(c for c in cited if c[0] not in headings), [])

    def test_the_failure_matrix_names_every_scenario_and_mutation_and_no_other(self) -> None:
        text = (SOURCE.parent.parent / "docs" / "failures.md").read_text()
        named = set(re.findall(r"`([a-z0-9_-]+)`", text))
        self.assertEqual((set(SCENARIOS) | set(MUTATIONS)) - named - {"calm"}, set())
        self.assertEqual({n for n in named if "-" in n} - set(SCENARIOS), set())

    def test_the_shipped_examples_are_sound_and_of_this_release(self) -> None:
        examples = SOURCE.parent.parent / "examples"
        for name, deployment in DEPLOYMENTS.items():
            text = (examples / f"{name}.json").read_text()
            self.assertEqual(text, description_text(deployment))
            read_description(text.encode()).unwrap()
        read_startup(str(examples / "core.toml"), {}, needs_folder=True).unwrap()
        read_startup(str(examples / "node.toml"), {}, needs_folder=False).unwrap()
