"""Tests of the platform adapter."""

import pathlib
import sys

# The adapter is not part of the installed package.
ADAPTER = pathlib.Path(__file__).resolve().parents[2] / "platform"
sys.path.insert(0, str(ADAPTER))
