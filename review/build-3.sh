#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: they are Python files that need no more than Python 3.11.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-3/*.py 1[1-5]/*.py <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is required"
for path in sys.argv[1:]:
    compile(pathlib.Path(path).read_text(), path, "exec")
PYTHON
