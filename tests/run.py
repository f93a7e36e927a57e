"""Runs all checks: ruff, mypy, and with nose2 all tests, also the seeded simulator runs. Prints the counts last."""

from __future__ import annotations

import logging
import subprocess
import sys
from pathlib import Path

import nose2

from tests.countplugin import KNOWN_RED_SEEN, KNOWN_RED_TESTS, OUTCOMES, missing_known_red

ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    logging.getLogger("pearhead").handlers = [logging.NullHandler()]
    passed_count = failed_count = 0
    # platform/ is not a package, as its name is that of a standard module; mypy is given its files one by one.
    platform_files = [str(path) for path in sorted((ROOT / "platform").glob("*.py"))]
    for command in (["ruff", "check", "."], ["ruff", "format", "--check", "."], ["mypy"], ["mypy", *platform_files]):
        finished = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, check=False)
        passed_count += finished.returncode == 0
        failed_count += finished.returncode != 0
    discovered = nose2.discover(argv=["nose2", "-c", str(ROOT / "unittest.cfg"), "-s", str(ROOT)], exit=False)
    ran_count = OUTCOMES["passed"] + OUTCOMES["failed"]
    passed_count += OUTCOMES["passed"]
    failed_count += max(OUTCOMES["failed"], int(not discovered.result.wasSuccessful() or not ran_count))
    for test_id in missing_known_red():
        print(f"stale line of KNOWN-RED.txt: {test_id} did not fail", flush=True)
        failed_count += 1
    sys.stderr.flush()
    for test_id in sorted(KNOWN_RED_SEEN):
        print(f"known red: {test_id}: {KNOWN_RED_TESTS[test_id].cause} ({KNOWN_RED_TESTS[test_id].issue})", flush=True)
    print(f"{passed_count} passed, {failed_count} failed", flush=True)
    return 1 if failed_count else 0


if __name__ == "__main__":
    raise SystemExit(main())
