#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd) && exec sh "$here/../lib2/run.sh" "$here"
