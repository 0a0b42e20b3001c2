#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs without dependencies, so this
# checks that an interpreter is there and accepts them. It writes nothing.
set -eu
cd "$(dirname "$0")"
python3 - standin-3/rig.py 1[1-5]/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
print(f"checked: {len(sys.argv) - 1} files")
CHECK
