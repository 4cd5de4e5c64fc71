#!/bin/sh
# Plays the case in the folder $1. Exit: 0 held, 1 broken, 2 could not run.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
[ -x "$root/.venv/bin/python" ] || exit 2
cd "$root" || exit 2
PYTHONPATH="$root/review/lib2" exec "$root/.venv/bin/python" -B "$1/case.py"
