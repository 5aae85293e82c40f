"""PROXY protocol version 2 header of UDP datagrams over IPv4.

Source: "The PROXY protocol, versions 1 & 2", section 2.2. The payload
follows the header in the same datagram.
"""

import socket
import struct

from egretfork import model
from egretfork import reasons
from egretfork import wire

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_2_PROXY = 0x21
INET_DGRAM = 0x12
PREFIX = struct.Struct("!12sBBH")
ADDRESSES = struct.Struct("!4s4sHH")
HEADER_BYTES = PREFIX.size + ADDRESSES.size


def encode(flow: wire.FlowKey, payload: bytes) -> bytes:
    """Put the header of a flow in front of a datagram.

    The source is the caller and the destination the service address, in
    both directions.
    """
    caller = flow.caller
    service = flow.service_address
    prefix = PREFIX.pack(
        SIGNATURE, VERSION_2_PROXY, INET_DGRAM, ADDRESSES.size
    )
    addresses = ADDRESSES.pack(
        socket.inet_aton(caller.host),
        socket.inet_aton(service.host),
        caller.port,
        service.port,
    )
    return prefix + addresses + payload


def decode(
    data: bytes, peer: str
) -> tuple[wire.FlowKey, bytes] | reasons.Failure:
    """Split a datagram from ``peer`` into its flow and payload."""
    if len(data) < HEADER_BYTES:
        return _report_damage(peer, "shorter than the header")
    signature, command, family, length = PREFIX.unpack_from(data)
    if signature != SIGNATURE:
        return _report_damage(peer, "no PROXY protocol signature")
    if command != VERSION_2_PROXY:
        return _report_damage(peer, "not version 2 with command PROXY")
    if family != INET_DGRAM:
        return _report_damage(peer, "not UDP over IPv4")
    end = PREFIX.size + length
    if length < ADDRESSES.size or end > len(data):
        return _report_damage(peer, "header length does not fit")
    source, destination, source_port, port = ADDRESSES.unpack_from(
        data, PREFIX.size
    )
    if not (source_port and port):
        return _report_damage(peer, "port 0")
    flow = wire.FlowKey(
        caller=model.Endpoint(socket.inet_ntoa(source), source_port),
        service_address=model.Endpoint(socket.inet_ntoa(destination), port),
    )
    return flow, data[end:]


def _report_damage(peer: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step="decode PROXY header",
        peer=peer,
        reason=reasons.Drop.MALFORMED,
        detail=detail,
    )
