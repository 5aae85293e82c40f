"""Framing of records on disk: length, CRC-32 and payload.

The checksum also covers the length. A crash can only leave the last append
incomplete. An invalid record that is followed by a valid one is therefore
corruption and not a torn write.
"""

import dataclasses
import struct
import zlib

HEADER = struct.Struct("<II")
MAX_PAYLOAD_BYTES = 256 * 1024 * 1024


class CorruptionError(Exception):
    """Stored data is corrupt and cannot be repaired without data loss."""


@dataclasses.dataclass(frozen=True, slots=True)
class ScanResult:
    """Payloads of the valid records and their total size with headers."""

    payloads: tuple[bytes, ...]
    size: int


def frame(payload: bytes) -> bytes:
    """Return a payload framed as a record."""
    length = struct.pack("<I", len(payload))
    return (
        HEADER.pack(len(payload), zlib.crc32(payload, zlib.crc32(length)))
        + payload
    )


def read_record(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at an offset, None if invalid."""
    if offset + HEADER.size > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + length
    if length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    length_crc = zlib.crc32(data[offset : offset + 4])
    if zlib.crc32(payload, length_crc) != checksum:
        return None
    return payload


def scan(data: bytes, name: str) -> ScanResult:
    """Read all records except a torn last one.

    Raises:
        CorruptionError: an invalid record is followed by a valid one.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = read_record(data, offset)
        if payload is None:
            _raise_if_corrupt(data, offset, name)
            break
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return ScanResult(tuple(payloads), offset)


def _raise_if_corrupt(data: bytes, offset: int, name: str) -> None:
    later = next(
        (
            position
            for position in range(offset + 1, len(data) - HEADER.size)
            if read_record(data, position) is not None
        ),
        None,
    )
    if later is not None:
        raise CorruptionError(
            f"{name}: the record at byte {offset} is damaged but a valid one"
            f" follows at byte {later}; restore the VM as a new member"
        )


def read_single(data: bytes, name: str) -> bytes:
    """Return the payload of a file that consists of a single record.

    Raises:
        CorruptionError: the file is not exactly one valid record.
    """
    payload = read_record(data, 0)
    if payload is None or HEADER.size + len(payload) != len(data):
        raise CorruptionError(
            f"{name}: expected one valid record; restore the VM as a new"
            " member"
        )
    return payload
