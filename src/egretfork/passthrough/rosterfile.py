"""Storage of control's agent roster in a file with a checksum."""

import logging
import zlib

from egretfork.control import files
from egretfork import logs
from egretfork import model
from egretfork.passthrough import messages

LOGGER = logging.getLogger(__name__)

FILE_NAME = "roster"
NEW_FILE_NAME = "roster.new"
CHECKSUM_BYTES = 4


def load(file_system: files.FileSystem) -> tuple[model.Endpoint, ...] | None:
    """Return the stored roster, ``None`` if it is missing or damaged."""
    try:
        data = file_system.read(FILE_NAME) or b""
    except OSError as error:
        _log_failure("load", error)
        return None
    content = data[CHECKSUM_BYTES:]
    if not data or data[:CHECKSUM_BYTES] != _compute_checksum(content):
        return None
    return messages.unpack_endpoints(content)


def store(
    file_system: files.FileSystem, agents: tuple[model.Endpoint, ...]
) -> bool:
    """Replace the stored roster; return whether it was written durably."""
    content = messages.pack_endpoints(agents)
    try:
        file_system.write(NEW_FILE_NAME, _compute_checksum(content) + content)
        file_system.sync(NEW_FILE_NAME)
        file_system.rename(NEW_FILE_NAME, FILE_NAME)
        file_system.sync_folder()
    except OSError as error:
        # Not fatal: the roster only saves time after a restart.
        _log_failure("store", error)
        return False
    return True


def _compute_checksum(content: bytes) -> bytes:
    return zlib.crc32(content).to_bytes(CHECKSUM_BYTES, "big")


def _log_failure(step: str, error: OSError) -> None:
    logs.write(
        LOGGER,
        "roster_failed",
        step=f"{step} roster",
        detail=str(error),
        level=logging.WARNING,
    )
