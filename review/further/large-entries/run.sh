#!/bin/sh
# Exits with 1 if a rule was broken, 0 if all held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out: standin.World.trouble reads it.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
case "$TROUBLE" in
0) echo "without the disruption" ;;
*) echo "with the disruption" ;;
esac
exec python3 -B "$(dirname "$0")/case.py"
