#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, after the build of the deploy file. They are Python of the standard
# library alone, so this compiles them, to show that the interpreter takes them. Case 9 uses stand-ins of the
# earlier review (review/standins, review/3) as they are.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins review/standins-2 review/3 review/6 review/7 review/8 review/9
