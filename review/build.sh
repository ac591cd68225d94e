#!/usr/bin/env bash
# Builds what the scripts start: the stand-ins need only the standard library. The instances come
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins
[ -d ../target/app ] || { echo "target/app is missing: run the build of the deploy file first" >&2; exit 1; }
