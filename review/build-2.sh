#!/bin/bash
# Prepares the stand-ins of review/6 to review/10: Python 3 programs that need only its standard library.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is required"'
for file in standin-2/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
