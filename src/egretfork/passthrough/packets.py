"""Packets of passed-through flows.

The packet format depends on the network. A ``Codec`` decodes the headers that
forwarding needs; the payload is opaque.
"""

import ipaddress
import typing

import msgspec

from egretfork import decoding
from egretfork import reasons


class FlowKey(msgspec.Struct, frozen=True, array_like=True):
    """Addresses of the caller and the service, with IPv4 hosts as integers.

    Attributes:
        caller_host: host of the caller.
        caller_port: port of the caller.
        service_host: host of the service address.
        service_port: port of the service address.
    """

    caller_host: decoding.HostNumber
    caller_port: decoding.Port
    service_host: decoding.HostNumber
    service_port: decoding.Port

    def __str__(self) -> str:
        caller = ipaddress.IPv4Address(self.caller_host)
        service = ipaddress.IPv4Address(self.service_host)
        return f"{caller}:{self.caller_port}>{service}:{self.service_port}"

    @property
    def service_address(self) -> "ServiceAddress":
        """Return the service address to which the caller sends."""
        return ServiceAddress(self.service_host, self.service_port)


class ServiceAddress(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Address at which callers reach a service."""

    host: decoding.HostNumber
    port: decoding.Port


class Packet(msgspec.Struct, frozen=True):
    """Decoded packet, as far as forwarding needs it.

    Attributes:
        flow: key of the flow, the same for packets in both directions.
        opens: the caller opens the flow.
        accepts: the target accepts the flow.
        finishes: the sender has no more data to send.
        resets: the sender aborts the flow.
        returned: the target rejected the packet and returned it.
        payload_bytes: size of the payload.
        acknowledged: sequence number that the sender expects next.
        tag: number that the agent assigned to the packet when it sent the
            packet to the target.
        data: the encoded packet.
        sequence: sequence number of the payload.
        copy_number: how often the caller sent this opening packet before.
    """

    flow: FlowKey
    opens: bool
    accepts: bool
    finishes: bool
    resets: bool
    returned: bool
    payload_bytes: int
    acknowledged: int
    tag: int
    data: bytes
    sequence: int = 0
    copy_number: int = 0


class Codec(typing.Protocol):
    """Packet format of the network."""

    def read_from_caller(self, data: bytes) -> Packet | reasons.Failure:
        """Decode a packet that a caller sent."""

    def read_from_target(self, data: bytes) -> Packet | reasons.Failure:
        """Decode a packet that a target sent or returned."""

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Set a tag in a caller's packet that survives its return."""

    def restore_original(self, data: bytes) -> bytes:
        """Restore a returned packet to the form in which it was sent."""

    def build_reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Build a packet that resets a flow at its caller."""


def parse_host(text: str) -> int:
    """Return an IPv4 address as an integer.

    Raises:
        ValueError: the text is not an IPv4 address.
    """
    return int(ipaddress.IPv4Address(text))
