"""Framing of records on disk: length, crc32 and payload.

The checksum covers the length too. A crash can leave only the end of the
last append incomplete; a bad record with a valid one after it is therefore
damage and not a torn write.
"""

import dataclasses
import struct
import zlib

HEADER = struct.Struct("<II")
MAX_PAYLOAD_BYTES = 256 * 1024 * 1024


class DamageError(Exception):
    """Stored data is damaged and can't be repaired without loss."""


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Records of a file and the number of bytes that they fill."""

    payloads: tuple[bytes, ...]
    size: int


def frame(payload: bytes) -> bytes:
    """Return a record."""
    length = struct.pack("<I", len(payload))
    return HEADER.pack(
        len(payload), zlib.crc32(payload, zlib.crc32(length))
    ) + (payload)


def read_record(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at an offset, none if it is bad."""
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


def scan(data: bytes, name: str) -> Scan:
    """Read all records; leave out a torn last one.

    Raises:
        DamageError: a bad record is followed by a valid one.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = read_record(data, offset)
        if payload is None:
            _check_torn(data, offset, name)
            break
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    return Scan(tuple(payloads), offset)


def _check_torn(data: bytes, offset: int, name: str) -> None:
    later = next(
        (
            position
            for position in range(offset + 1, len(data) - HEADER.size)
            if read_record(data, position) is not None
        ),
        None,
    )
    if later is not None:
        raise DamageError(
            f"{name}: the record at byte {offset} is damaged but a valid one"
            f" follows at byte {later}; restore the VM as a new member"
        )


def read_single(data: bytes, name: str) -> bytes:
    """Return the payload of a file that is one record.

    Raises:
        DamageError: the file is anything else.
    """
    payload = read_record(data, 0)
    if payload is None or HEADER.size + len(payload) != len(data):
        raise DamageError(
            f"{name}: expected one valid record; restore the VM as a new"
            " member"
        )
    return payload
