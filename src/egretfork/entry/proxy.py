"""PROXY protocol version 2 headers of UDP datagrams over IPv4.

Source: "The PROXY protocol, versions 1 & 2", section 2.2. The payload
follows the header in the same datagram.
"""

import struct

from egretfork import model
from egretfork import reasons
from egretfork import wire

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_2_PROXY = 0x21
INET_DGRAM = 0x12
HOST_BYTES = 4
PREFIX = struct.Struct("!12sBBH")
# Source host, destination host, source port, destination port.
ADDRESSES = struct.Struct("!4s4sHH")
HEADER_BYTES = PREFIX.size + ADDRESSES.size
UDP4_PREFIX = PREFIX.pack(
    SIGNATURE, VERSION_2_PROXY, INET_DGRAM, ADDRESSES.size
)


def encode(flow: wire.FlowKey, payload: bytes) -> bytes | reasons.Failure:
    """Prepend the header of a flow to a datagram.

    In both directions the source is the caller and the destination is the
    service address. Returns a failure if an address is not IPv4 or a port is
    out of range.
    """
    caller = flow.caller
    service = flow.service_address
    try:
        addresses = ADDRESSES.pack(
            _pack_host(caller.host),
            _pack_host(service.host),
            caller.port,
            service.port,
        )
    except (ValueError, struct.error) as error:
        return reasons.Failure(
            step="encode PROXY header",
            peer=str(caller),
            reason=reasons.Drop.SEND_FAILED,
            detail=str(error),
        )
    return UDP4_PREFIX + addresses + payload


def decode(
    data: bytes, peer: str
) -> tuple[wire.FlowKey, bytes] | reasons.Failure:
    """Decode a datagram from ``peer`` into its flow and payload."""
    if len(data) < HEADER_BYTES:
        return _report_malformed(peer, "shorter than the PROXY header")
    signature, command, family, length = PREFIX.unpack_from(data)
    if signature != SIGNATURE:
        return _report_malformed(peer, "no PROXY protocol signature")
    if command != VERSION_2_PROXY:
        return _report_malformed(peer, "not version 2 with command PROXY")
    if family != INET_DGRAM:
        return _report_malformed(peer, "not UDP over IPv4")
    end = PREFIX.size + length
    if length < ADDRESSES.size or end > len(data):
        return _report_malformed(
            peer, "header length does not match the datagram"
        )
    source, destination, source_port, port = ADDRESSES.unpack_from(
        data, PREFIX.size
    )
    if not (source_port and port):
        return _report_malformed(peer, "source or destination port is 0")
    flow = wire.FlowKey(
        caller=model.Endpoint(_format_host(source), source_port),
        service_address=model.Endpoint(_format_host(destination), port),
    )
    return flow, data[end:]


def _pack_host(host: str) -> bytes:
    packed = bytes(map(int, host.split(".")))
    if len(packed) != HOST_BYTES:
        raise ValueError(f"{host!r} is not an IPv4 address")
    return packed


def _format_host(packed: bytes) -> str:
    return "%d.%d.%d.%d" % tuple(packed)


def _report_malformed(peer: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step="decode PROXY header",
        peer=peer,
        reason=reasons.Drop.MALFORMED,
        detail=detail,
    )
