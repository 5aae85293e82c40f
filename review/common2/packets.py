"""Packets of flows as PROTOCOL.md describes them, for the stand-ins."""

import dataclasses
import socket
import struct
import zlib

HEAD = struct.Struct(">HIIIIHIHIBB")
SYN = 128
ACK = 8
FIN = 4
RST = 1
BOUNCED = 2
ECHO_OFFSET = 10
FLAGS_OFFSET = 30
PAD_OFFSET = 31
KEY = b"key of the stand-ins"


@dataclasses.dataclass(frozen=True)
class Packet:
    """Decoded packet."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int
    ack: int
    echo: int
    sum: int
    data: bytes


def compute_sum(raw: bytes) -> int:
    """Return the keyed sum over all fields but ``echo``, ``pad``, BOUNCED."""
    plain = bytearray(raw)
    plain[ECHO_OFFSET : ECHO_OFFSET + 4] = bytes(4)
    plain[26:30] = bytes(4)
    plain[FLAGS_OFFSET] &= ~BOUNCED & 0xFF
    plain[PAD_OFFSET] = 0
    return zlib.crc32(KEY + bytes(plain)) or 1


def build(
    src: tuple[str, int],
    dst: tuple[str, int],
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Encode a packet with its sum."""
    raw = bytearray(
        HEAD.pack(
            len(data),
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            0,
            int.from_bytes(socket.inet_aton(src[0])),
            dst[1],
            int.from_bytes(socket.inet_aton(dst[0])),
            src[1],
            0,
            flags,
            0,
        )
        + data
    )
    raw[26:30] = compute_sum(bytes(raw)).to_bytes(4)
    return bytes(raw)


def parse(raw: bytes) -> Packet:
    """Decode a packet."""
    _, seq, ack, echo, src, dport, dst, sport, total, flags, _ = (
        HEAD.unpack_from(raw)
    )
    return Packet(
        socket.inet_ntoa(src.to_bytes(4)),
        sport,
        socket.inet_ntoa(dst.to_bytes(4)),
        dport,
        flags,
        seq,
        ack,
        echo,
        total,
        raw[HEAD.size :],
    )


def is_genuine(raw: bytes) -> bool:
    """Return whether the sum of a packet is right."""
    return parse(raw).sum == compute_sum(raw)


def bounce(raw: bytes) -> bytes:
    """Return a packet as an endpoint that does not hold its flow does."""
    returned = bytearray(raw)
    returned[FLAGS_OFFSET] |= BOUNCED
    returned[PAD_OFFSET] = 0
    return bytes(returned)
