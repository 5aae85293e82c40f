"""Packets as PROTOCOL.md describes them, for the stand-ins of the cases."""

import dataclasses
import socket
import struct
import zlib

HEADER = struct.Struct(">HIIIIHIHIBB")
SYN, ACK, FIN, RST, BOUNCED = 128, 8, 4, 1, 2
SEQUENCE_MASK = 0xFFFF_FFFF
# The system's programs do not know how the ends compute ``sum``.
SUM_KEY = b"key of the stand-ins"


@dataclasses.dataclass(frozen=True)
class Address:
    """IPv4 address and port of one end of a flow."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True)
class Packet:
    """One datagram of a flow."""

    src: Address
    dst: Address
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    pad: int = 0
    checksum: int = 0

    def is_intact(self) -> bool:
        """Return whether ``sum`` is the one that the sender wrote."""
        return self.checksum == compute_sum(self)


def _pack(
    packet: Packet, echo: int, flags: int, pad: int, checksum: int
) -> bytes:
    return HEADER.pack(
        len(packet.data),
        packet.seq & SEQUENCE_MASK,
        packet.ack & SEQUENCE_MASK,
        echo,
        int.from_bytes(socket.inet_aton(packet.src.host)),
        packet.dst.port,
        int.from_bytes(socket.inet_aton(packet.dst.host)),
        packet.src.port,
        checksum,
        flags,
        pad,
    )


def compute_sum(packet: Packet) -> int:
    """Return the keyed sum over all fields but echo, pad and BOUNCED."""
    plain = _pack(packet, 0, packet.flags & ~BOUNCED, 0, 0)
    return zlib.crc32(SUM_KEY + plain + packet.data) or 1


def encode(packet: Packet) -> bytes:
    """Return the datagram of a packet that an end writes."""
    return _pack(packet, 0, packet.flags, 0, compute_sum(packet)) + packet.data


def bounce(datagram: bytes) -> bytes:
    """Return a datagram as an endpoint returns it: BOUNCED set, pad 0."""
    changed = bytearray(datagram)
    changed[30] |= BOUNCED
    changed[31] = 0
    return bytes(changed)


def decode(datagram: bytes) -> Packet:
    """Decode a datagram.

    Raises:
        ValueError: the datagram is no packet.
    """
    if len(datagram) < HEADER.size:
        raise ValueError("shorter than the header")
    size, seq, ack, echo, src, dport, dst, sport, checksum, flags, pad = (
        HEADER.unpack_from(datagram)
    )
    data = datagram[HEADER.size :]
    if size != len(data):
        raise ValueError("len is wrong")
    return Packet(
        Address(socket.inet_ntoa(src.to_bytes(4)), sport),
        Address(socket.inet_ntoa(dst.to_bytes(4)), dport),
        flags,
        seq,
        ack,
        data,
        echo,
        pad,
        checksum,
    )
