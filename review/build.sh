#!/bin/sh
# Checks the stand-ins, which are Python files that use the standard library only. Nothing is compiled:
# the scripts run the release build of the deploy file and `python3`.
set -e
cd "$(dirname "$0")"
for file in standin/*.py [0-9]*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../target/release/magnoliapin
