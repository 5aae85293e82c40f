#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec python3 review/4/case.py
