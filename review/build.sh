#!/bin/sh
# Builds the stand-ins of the cases: Python 3.11 or newer, its standard library alone. Nothing is installed.
cd "$(dirname "$0")" || exit 1
python=/usr/bin/python3
[ -x "$python" ] || python=$(command -v python3) || { echo "the stand-ins need Python 3.11 or newer"; exit 1; }
"$python" -B - <<'CHECK' || exit 1
import ast, glob, sys
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or newer")
for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    ast.parse(open(path).read(), path)
CHECK
echo "the stand-ins are ready"
