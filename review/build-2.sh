#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are of the standard
# library alone, so this only compiles them, to show that this interpreter takes them.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins-2 review/[6-9] $(ls -d review/10 2>/dev/null || true)
