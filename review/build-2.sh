#!/bin/sh
# Builds what the cases of the second review start beside the relay: their stand-ins, which are Python and need no more
# than the interpreter of the deploy file's build. It checks that each of them compiles.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -B - <<'END'
from pathlib import Path

for path in sorted([*Path("review/lib2").glob("*.py"), *Path("review").glob("[0-9]*/case.py")]):
    compile(path.read_bytes(), str(path), "exec")
END
