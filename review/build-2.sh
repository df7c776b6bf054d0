#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are Python and need no library beyond Python's own,
# so this only checks that they can be read and that the program of the deploy file is there.
cd "$(dirname "$0")" || exit 1
python3 - standins2.py [6-9]/case.py 10/case.py <<'CHECK'
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
CHECK
[ $? -eq 0 ] || exit 1
[ -x ../build-platform/sablespur ] || { echo "build with deploy/balancer.toml first" >&2; exit 1; }
