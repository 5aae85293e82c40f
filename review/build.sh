#!/usr/bin/env bash
# Compiles the stand-ins of the cases; they need the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -m compileall -q .
