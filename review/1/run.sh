#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
python=$folder/../../.venv/bin/python
test -x "$python" || exit 2
"$python" -B "$folder/case.py" &
case=$!
trap 'kill "$case" 2>/dev/null; wait "$case"; exit 2' TERM INT HUP
wait "$case"
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
