#!/bin/sh
# The stand-ins of cases 11 to 15 are Python programs, which need no build: checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -B -c '
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
' standin3.py 1[1-5]/case.py
