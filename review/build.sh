#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python 3.11 with its standard library alone, so that a check of their
# syntax is all that there is to build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("built", path)
PY
