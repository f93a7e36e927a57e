"""Checks `packages` in deploy/system.toml against the table of docs/system.md §8 and what the wheels link to.

Otherwise a program or library could be used whose package is missing from the list.
"""

from __future__ import annotations

import importlib.metadata
import re
import subprocess
import tomllib
import unittest
from collections.abc import Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PACKAGE_NAME = re.compile(r"[a-z0-9][a-z0-9+.-]+")
QUOTED_NAME = re.compile(r"`([^`]+)`")
TABLE_HEAD = "| program or library | used by | package | listed |"
# Mapped by the kernel; no package contains it.
KERNEL_LIBRARIES = {"linux-vdso.so.1"}


def read_deploy() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def read_table(text: str) -> list[tuple[set[str], set[str], str]]:
    """For each row: the programs and libraries, the packages that contain them, and the package to be listed."""
    lines = text[text.index(TABLE_HEAD) :].split("\n\n")[0].splitlines()[2:]
    rows = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [(set(QUOTED_NAME.findall(used)), set(packages.split(", ")), listed) for used, _, packages, listed in rows]


def find_faults(packages: object, table: list[tuple[set[str], set[str], str]]) -> list[str]:
    if not isinstance(packages, list) or not all(isinstance(name, str) for name in packages):
        return ["packages is not a list of strings"]
    faults = [f"{name!r} is not a package name" for name in packages if not PACKAGE_NAME.fullmatch(name)]
    if packages != sorted(set(packages)):
        faults.append("packages are not sorted or contain duplicates")
    listed = {name for _, _, name in table}
    faults.extend(f"{name} is in the table but not listed" for name in sorted(listed - set(packages)))
    faults.extend(f"{name} is listed but not in the table" for name in sorted(set(packages) - listed))
    named = {name for _, found, _ in table for name in found}
    faults.extend(f"{name!r} is not a package name" for name in sorted(named) if not PACKAGE_NAME.fullmatch(name))
    return faults


def linked_by_wheels() -> set[str]:
    """The shared libraries that the extension modules of requirements.txt link to."""
    names = [line.partition("==")[0] for line in (ROOT / "requirements.txt").read_text().splitlines() if line]
    files: Iterable[Any] = (f for name in names for f in importlib.metadata.files(name) or ())
    modules = [str(f.locate()) for f in files if ".so" in f.suffixes]
    ldd_output = subprocess.run(["ldd", *modules], capture_output=True, text=True, check=True, timeout=60).stdout
    return {Path(line.split()[0]).name for line in ldd_output.splitlines() if line.startswith("\t")} - KERNEL_LIBRARIES


class PackagesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deploy = read_deploy()
        self.table = read_table((ROOT / "docs" / "system.md").read_text())

    def test_the_list_is_well_formed_and_covers_the_table(self) -> None:
        self.assertEqual(find_faults(self.deploy["packages"], self.table), [])

    def test_the_programs_of_the_build_and_the_roles_are_in_the_table(self) -> None:
        named = {name for names, _, _ in self.table for name in names}
        steps = [step.split() for step in re.split(r"\|\||&&|;", self.deploy["build"])]
        built_by = {step[0] for step in steps} | {step[2] for step in steps if step[1] == "-m"}
        self.assertEqual(
            built_by, {"[", "python3", "pip"}, "besides the shell's `[`, programs that the table must name"
        )
        runs = {role["run"].split()[0] for role in self.deploy["roles"].values()}
        self.assertLessEqual((built_by - {"["}) | runs | {"sh"}, named)

    def test_the_libraries_of_the_wheels_are_in_the_table(self) -> None:
        linked = linked_by_wheels()
        self.assertIn("libstdc++.so.6", linked)
        self.assertLessEqual(linked, {name for names, _, _ in self.table for name in names})

    def test_planted_faults_are_found(self) -> None:
        good = self.deploy["packages"]
        for wrong in (
            "python3",
            good[1:],
            [*good, "zlib1g"],
            [*good, good[-1]],
            [*good, "A b"],
            [*good, 5],
            good[::-1],
        ):
            self.assertNotEqual(find_faults(wrong, self.table), [], wrong)
        self.assertNotEqual(find_faults(good, [*self.table, ({"x"}, {"x"}, "libx1")]), [])
