#!/usr/bin/env bash
# Builds what the cases start besides the program of the deploy file. The stand-ins are Python 3 with its
# standard library, so there is nothing to compile: this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import standins"
[ -x ../build-platform/sablespur ] || { echo "build-platform/sablespur is missing: run the build of deploy/balancer.toml first" >&2; exit 1; }
