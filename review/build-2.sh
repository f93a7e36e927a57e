#!/usr/bin/env bash
# Builds what the scripts of this review start besides the deploy file's own build. Their stand-ins are plain Python
# with the standard library alone, so they only have to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in bed2.py {6,7,8,9,10}/*.py; do
    if [ -e "$file" ]; then python3 -m py_compile "$file"; fi
done
