#!/bin/sh
# Builds what the scripts of this folder start beside the deployed programs. The stand-ins are the project's own
# emulator (src/pearhead/testbed/emulator), review/harness.py and review/thaw.py: Python on the packages of
# target/deps, so that importing them is all that there is to build. Needs no network.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "build.sh: run the build of deploy/system.toml first" >&2; exit 2; }
PYTHONPATH=target/deps:src:review PYTHONDONTWRITEBYTECODE=1 python3 -c "import harness, thaw" || exit 2
echo "stand-ins: ready"
