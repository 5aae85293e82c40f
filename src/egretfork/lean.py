"""Imports that skip unused modules to save memory."""

import importlib
import sys
import types
import typing

BLOCKED_IMPORT = typing.cast(types.ModuleType, None)


def import_asyncio_without_tls() -> None:
    """Import asyncio as if the interpreter were built without ssl.

    The programs do not use TLS, and the library behind ``ssl`` takes 4.5 MB
    of memory per process. A later import of ``ssl`` works as usual.
    """
    if "asyncio" in sys.modules or "ssl" in sys.modules:
        return
    sys.modules["ssl"] = BLOCKED_IMPORT
    try:
        importlib.import_module("asyncio")
    finally:
        del sys.modules["ssl"]
