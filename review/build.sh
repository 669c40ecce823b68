#!/bin/sh
# Builds every stand-in that the cases start, after the build of the deploy file. The cases' stand-ins are Python of the
# standard library (review/common), none of the project's own is started; the bytecode is compiled once, so that a
# mistake in a file shows here and not in a case.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 1
"$root/.venv/bin/python" -m compileall -q "$root/review/common" "$root/review/1" "$root/review/2" "$root/review/3" \
    "$root/ochrecourse/standins"
