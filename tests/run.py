"""The test command: ruff, mypy, nose2 and the seeded simulator runs; ends with one closing line."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import nose2
import picologging

from tests.countplugin import OUTCOMES

ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    picologging.getLogger("pearhead").handlers = [picologging.NullHandler()]
    passedCount = failedCount = 0
    # The folder is no package, as the interpreter has a module of its name: its files are checked by themselves.
    platform_files = [str(path) for path in sorted((ROOT / "platform").glob("*.py"))]
    for command in (["ruff", "check", "."], ["mypy"], ["mypy", *platform_files]):
        finished = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, check=False)
        passedCount += finished.returncode == 0
        failedCount += finished.returncode != 0
    discovered = nose2.discover(argv=["nose2", "-c", str(ROOT / "unittest.cfg"), "-s", str(ROOT)], exit=False)
    ranCount = OUTCOMES["passed"] + OUTCOMES["failed"]
    passedCount += OUTCOMES["passed"]
    failedCount += max(OUTCOMES["failed"], int(not discovered.result.wasSuccessful() or not ranCount))
    sys.stderr.flush()
    print(f"{passedCount} passed, {failedCount} failed", flush=True)
    return 1 if failedCount else 0


if __name__ == "__main__":
    raise SystemExit(main())
