#!/bin/sh
# Plays the case once; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
python=/usr/bin/python3
[ -x "$python" ] || python=$(command -v python3) || exit 2
exec "$python" -B case.py
