"""Imports that leave out what a program does not use."""

import importlib
import sys
import types
import typing

ABSENT = typing.cast(types.ModuleType, None)


def import_asyncio_without_tls() -> None:
    """Import asyncio as on an interpreter that was built without ssl.

    No connection of the programs uses TLS, and the library behind ``ssl``
    takes 4.5 MB of each process. A later import of ``ssl`` works as usual.
    """
    if "asyncio" in sys.modules or "ssl" in sys.modules:
        return
    sys.modules["ssl"] = ABSENT
    try:
        importlib.import_module("asyncio")
    finally:
        del sys.modules["ssl"]
