#!/bin/sh
# Plays the case; with TROUBLE=0 it does the same without the disruption.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"
