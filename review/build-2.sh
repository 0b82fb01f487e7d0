#!/usr/bin/env bash
# The stand-ins of review/4 to review/8 are Python sources that use the standard
# library only; this checks that they compile. The roles are built by the deploy
# file. No other stand-in of the project is started.
set -euo pipefail
cd "$(dirname "$0")"
for file in 4/standins.py [4-8]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
