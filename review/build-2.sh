#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain Python 3.11 without dependencies, so
# that it is enough to check that all of them compile.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PYTHON'
import pathlib

for folder in ("harness-2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
