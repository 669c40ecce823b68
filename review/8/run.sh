#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exit code: 1 broken, 0 held, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
test -x .venv/bin/python || { echo "could not run: the build of the deploy file is missing"; exit 2; }
exec .venv/bin/python "$here/case.py"
