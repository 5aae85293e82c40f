#!/bin/bash
# Builds the stand-ins of the third review. They are Python files that use the
# standard library only, so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common3
