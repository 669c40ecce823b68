#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start; they need nothing but what `build` leaves.
cd "$(dirname "$0")/.." || exit 1
for folder in common_2 6 7 8 9 10; do
    test ! -d "review/$folder" || .venv/bin/python -m compileall -q "review/$folder" || exit 1
done
