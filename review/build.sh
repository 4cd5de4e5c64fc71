#!/bin/sh
# Builds the stand-ins of the cases, after the `build` command of the deploy file. They are Python without packages of
# their own, so there is nothing but to compile them.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
