#!/bin/sh
# Exits with 1 if a rule was broken, 0 if all held, 2 if it couldn't run.
exec python3 -B "$(dirname "$0")/case.py"
