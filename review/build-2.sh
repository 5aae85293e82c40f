#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review. They need only
# the standard library; the programs need the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common2 6 7 8 9
