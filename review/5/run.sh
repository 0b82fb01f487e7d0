#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
