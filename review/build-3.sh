#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15 and of trials-3. They are Python programs that need only
# the standard library, so nothing is compiled: this checks the interpreter and that it accepts them.
# The only other program that the scripts start is the release build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - standin-3/*.py 1[1-5]/case.py trials-3/*/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
print(f"checked: {len(sys.argv) - 1} files")
CHECK
