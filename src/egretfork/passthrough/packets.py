"""Packets of flows whose content only the two ends read.

The layout of a packet belongs to the network that carries it; a ``Codec``
translates it into what decisions need.
"""

import ipaddress
import typing

import msgspec

from egretfork import reasons


class FlowKey(msgspec.Struct, frozen=True, array_like=True):
    """The two ends of a flow; hosts are IPv4 numbers as integers.

    Attributes:
        client_host: host of the caller.
        client_port: port of the caller.
        service_host: host of the service address.
        service_port: port of the service address.
    """

    client_host: int
    client_port: int
    service_host: int
    service_port: int

    def __str__(self) -> str:
        client = ipaddress.IPv4Address(self.client_host)
        service = ipaddress.IPv4Address(self.service_host)
        return f"{client}:{self.client_port}>{service}:{self.service_port}"

    @property
    def service_address(self) -> "ServiceAddress":
        """Return the address that the caller chose."""
        return ServiceAddress(self.service_host, self.service_port)


class ServiceAddress(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Address at which callers reach a service."""

    host: int
    port: int


class Packet(msgspec.Struct, frozen=True):
    """What decisions need to know of one packet.

    Attributes:
        flow: ends of the flow, whichever of them sent the packet.
        opens: first packet of a caller.
        accepts: a target's consent to open the flow.
        finishes: the sender has no more data.
        resets: the sender gives up the flow.
        returned: a target handed the packet back without taking it.
        payload_bytes: size of the data carried.
        acknowledged: number that the sender expects next.
        tag: number that the agent gave the packet on its way to the target.
        data: the packet as it is on the network.
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


class Codec(typing.Protocol):
    """Layout of packets on the network."""

    def read_from_caller(self, data: bytes) -> Packet | reasons.Failure:
        """Read a packet that a caller sent."""

    def read_from_target(self, data: bytes) -> Packet | reasons.Failure:
        """Read a packet that a target sent or returned."""

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Return a caller's packet with a tag that its return will carry."""

    def restore(self, data: bytes) -> bytes:
        """Return a returned packet as its caller wrote it."""

    def build_reset(self, flow: FlowKey, sequence: int) -> bytes:
        """Return a packet that ends a flow at its caller."""


def parse_host(text: str) -> int:
    """Return an IPv4 address as an integer.

    Raises:
        ValueError: the text is not an IPv4 address.
    """
    return int(ipaddress.IPv4Address(text))
