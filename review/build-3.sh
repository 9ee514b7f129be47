#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python 3 and need its standard library only, so they are only checked.
set -e
cd "$(dirname "$0")"
python3 - standin-3/standin.py 1[1-5]/case.py <<'PYTHON'
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
