"""Caller-facing sockets of an entry, with and without a PROXY header."""

import collections.abc
import typing

import mode

from egretfork import datagrams
from egretfork.entry import core
from egretfork.entry import proxy
from egretfork import model
from egretfork import pktinfo
from egretfork import reasons
from egretfork import wire

Handler = collections.abc.Callable[
    [core.CallerDatagram | core.DatagramRejected], None
]


class Ingress(typing.Protocol):
    """Caller-facing interface of an entry."""

    def get_services(self) -> tuple[mode.Service, ...]:
        """Return the services that own the sockets."""

    def send(self, flow: wire.FlowKey, payload: bytes) -> bool:
        """Send a datagram to a caller from the service address.

        Returns:
            Whether a socket took the datagram; if not, it is lost.
        """


class ProxyIngress:
    """Receives datagrams with a PROXY protocol version 2 header.

    Responses carry the header of their flow and go to the sender of the most
    recent valid header. Until one has arrived they go to ``fabric``, or are
    dropped if it is not set. The PROXY protocol (section 2) requires that
    headers be accepted from known senders only: any other sender could
    impersonate a caller and redirect the responses to itself.
    """

    def __init__(
        self,
        address: model.Endpoint,
        handler: Handler,
        fabric: model.Endpoint | None = None,
        senders: frozenset[str] = frozenset(),
    ) -> None:
        """Create the ingress.

        Args:
            address: UDP address to which the fabric sends datagrams.
            handler: called with each datagram.
            fabric: destination of responses until a datagram has arrived.
            senders: hosts whose headers are accepted; empty for all.
        """
        self._handler = handler
        self._fabric = fabric
        self._senders = senders
        self._socket = datagrams.DatagramService(address, self._receive)

    @property
    def address(self) -> model.Endpoint:
        """Return the bound address."""
        return self._socket.address

    def get_services(self) -> tuple[mode.Service, ...]:
        """Return the service that owns the socket."""
        return (self._socket,)

    def send(self, flow: wire.FlowKey, payload: bytes) -> bool:
        """Send a datagram to the fabric."""
        data = proxy.encode(flow, payload)
        if self._fabric is None or isinstance(data, reasons.Failure):
            return False
        self._socket.send(data, self._fabric)
        return True

    def _receive(self, data: bytes, sender: model.Endpoint) -> None:
        if self._senders and sender.host not in self._senders:
            rejected = core.DatagramRejected(reasons.Drop.UNTRUSTED_SENDER)
            self._handler(rejected)
            return
        result = proxy.decode(data, sender.host)
        if isinstance(result, reasons.Failure):
            self._handler(core.DatagramRejected(reasons.Drop.MALFORMED))
            return
        self._fabric = sender
        flow, payload = result
        self._handler(core.CallerDatagram(flow, payload))


class DirectIngress:
    """Receives datagrams on the service addresses themselves."""

    def __init__(
        self, addresses: tuple[model.Endpoint, ...], handler: Handler
    ) -> None:
        """Create the ingress.

        Args:
            addresses: addresses to bind; the host may be the wildcard.
            handler: called with each datagram.
        """
        self._handler = handler
        self._sockets = tuple(
            pktinfo.LocalDatagramService(address, self._receive)
            for address in addresses
        )

    def get_services(self) -> tuple[mode.Service, ...]:
        """Return the services that own the sockets."""
        return self._sockets

    def send(self, flow: wire.FlowKey, payload: bytes) -> bool:
        """Send through the socket bound to the service address."""
        return any(
            socket_service.send_from(
                payload, flow.caller, flow.service_address
            )
            for socket_service in self._sockets
            if socket_service.can_send_from(flow.service_address)
        )

    def _receive(
        self, data: bytes, caller: model.Endpoint, local: model.Endpoint
    ) -> None:
        self._handler(core.CallerDatagram(wire.FlowKey(caller, local), data))
