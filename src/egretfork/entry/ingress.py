"""Ways in which callers' datagrams reach an entry and answers leave it."""

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
    """Side of an entry that faces callers."""

    def get_services(self) -> tuple[mode.Service, ...]:
        """Return the services that own the sockets."""

    def send(self, flow: wire.FlowKey, payload: bytes) -> bool:
        """Send a datagram to a caller from the service address.

        Returns:
            Whether it was given to a socket; if not, it is lost.
        """


class ProxyIngress:
    """Receives datagrams with a PROXY protocol version 2 header.

    Answers go to the latest sender of a valid header, with the header of
    the flow. Before there is one, answers are dropped. The PROXY protocol
    (section 2) demands that headers be accepted from known senders only:
    another sender could pose as any caller and divert the answers.
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
            address: UDP address on which the fabric delivers.
            handler: receives each datagram.
            fabric: where answers go before a datagram has arrived.
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
        """Return a datagram to the fabric."""
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
            handler: receives each datagram.
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
            bound.send_from(payload, flow.caller, flow.service_address)
            for bound in self._sockets
            if bound.covers(flow.service_address)
        )

    def _receive(
        self, data: bytes, caller: model.Endpoint, local: model.Endpoint
    ) -> None:
        self._handler(core.CallerDatagram(wire.FlowKey(caller, local), data))
