"""Ways in which callers' datagrams reach an entry and answers leave it."""

import asyncio
import collections.abc
import logging
import socket
import struct
import typing

import mode

from egretfork import datagrams
from egretfork.entry import core
from egretfork.entry import proxy
from egretfork import logs
from egretfork import model
from egretfork import reasons
from egretfork import wire

LOGGER = logging.getLogger(__name__)

Handler = collections.abc.Callable[
    [core.CallerDatagram | core.DatagramRejected], None
]

WILDCARD = "0.0.0.0"
MAX_UDP_BYTES = 65535
# Datagrams read in one turn of the event loop, so that one busy socket does
# not keep the others waiting.
MAX_READ_BATCH = 64

# ``socket`` exports neither before Python 3.12; values of linux/in.h.
IP_PKTINFO = 8
# Interface index, local address, destination address of the header.
PKTINFO = struct.Struct("@i4s4s")
ANCILLARY_BYTES = socket.CMSG_SPACE(PKTINFO.size)


class Ingress(typing.Protocol):
    """Side of an entry that faces callers."""

    def get_services(self) -> tuple[mode.Service, ...]:
        """Return the services that own the sockets."""

    def send(self, flow: wire.FlowKey, payload: bytes) -> None:
        """Send a datagram to a caller from the service address.

        A datagram that cannot be sent is lost.
        """


class ProxyIngress:
    """Receives datagrams with a PROXY protocol version 2 header.

    Answers go to the latest sender of a valid header, with the header of
    the flow. Before there is one, answers are dropped.
    """

    def __init__(
        self,
        address: model.Endpoint,
        handler: Handler,
        fabric: model.Endpoint | None = None,
    ) -> None:
        """Create the ingress.

        Args:
            address: UDP address on which the fabric delivers.
            handler: receives each datagram.
            fabric: where answers go before a datagram has arrived.
        """
        self._handler = handler
        self._fabric = fabric
        self._socket = datagrams.DatagramService(address, self._receive)

    @property
    def address(self) -> model.Endpoint:
        """Return the bound address."""
        return self._socket.address

    def get_services(self) -> tuple[mode.Service, ...]:
        """Return the service that owns the socket."""
        return (self._socket,)

    def send(self, flow: wire.FlowKey, payload: bytes) -> None:
        """Return a datagram to the fabric."""
        if self._fabric is not None:
            self._socket.send(proxy.encode(flow, payload), self._fabric)

    def _receive(self, data: bytes, sender: model.Endpoint) -> None:
        result = proxy.decode(data, sender.host)
        if isinstance(result, reasons.Failure):
            self._handler(core.DatagramRejected(result))
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
        self._sockets = tuple(
            DirectSocket(address, handler) for address in addresses
        )

    def get_services(self) -> tuple[mode.Service, ...]:
        """Return the services that own the sockets."""
        return self._sockets

    def send(self, flow: wire.FlowKey, payload: bytes) -> None:
        """Send through the socket bound to the service address."""
        for bound in self._sockets:
            if bound.covers(flow.service_address):
                bound.send(flow, payload)
                return


class DirectSocket(mode.Service):
    """UDP socket that knows the local address of each datagram."""

    def __init__(self, address: model.Endpoint, handler: Handler) -> None:
        super().__init__()
        self._address = address
        self._handler = handler
        self._socket: socket.socket | None = None

    @property
    def address(self) -> model.Endpoint:
        """Return the bound address; the port is known once started."""
        return self._address

    def covers(self, address: model.Endpoint) -> bool:
        """Return whether datagrams can be sent from an address."""
        return address.port == self._address.port and (
            self._address.host in (WILDCARD, address.host)
        )

    async def on_start(self) -> None:
        """Bind the socket.

        Raises:
            OSError: the address cannot be bound.
        """
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            bound.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                datagrams.RECEIVE_BUFFER_BYTES,
            )
            bound.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
            bound.bind((self._address.host, self._address.port))
        except OSError:
            bound.close()
            raise
        bound.setblocking(False)
        self._socket = bound
        self._address = model.Endpoint(*bound.getsockname())
        asyncio.get_running_loop().add_reader(bound, self._read_batch, bound)

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, flow: wire.FlowKey, payload: bytes) -> None:
        """Send to the caller with the service address as source."""
        if self._socket is None:
            return
        local = socket.inet_aton(flow.service_address.host)
        information = PKTINFO.pack(0, local, bytes(4))
        ancillary = [(socket.IPPROTO_IP, IP_PKTINFO, information)]
        caller = (flow.caller.host, flow.caller.port)
        try:
            self._socket.sendmsg([payload], ancillary, 0, caller)
        except OSError as error:
            self._log_error("send datagram", flow.caller.host, error)

    def _read_batch(self, bound: socket.socket) -> None:
        for _ in range(MAX_READ_BATCH):
            try:
                received = bound.recvmsg(MAX_UDP_BYTES, ANCILLARY_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._log_error("receive datagram", "", error)
                return
            data, ancillary, _, source = received
            self._handle(data, ancillary, model.Endpoint(*source))

    def _handle(
        self,
        data: bytes,
        ancillary: list[tuple[int, int, bytes]],
        caller: model.Endpoint,
    ) -> None:
        host = find_destination(ancillary)
        if host is None:
            failure = reasons.Failure(
                step="read destination address",
                peer=str(caller),
                reason=reasons.Drop.MALFORMED,
            )
            self._handler(core.DatagramRejected(failure))
            return
        service_address = model.Endpoint(host, self._address.port)
        flow = wire.FlowKey(caller, service_address)
        self._handler(core.CallerDatagram(flow, data))

    def _log_error(self, step: str, peer: str, error: OSError) -> None:
        logs.write(
            LOGGER,
            "socket_error",
            step=step,
            peer=peer,
            detail=str(error),
            level=logging.DEBUG,
        )


def find_destination(ancillary: list[tuple[int, int, bytes]]) -> str | None:
    """Return the destination host in the ancillary data of a datagram."""
    for level, kind, content in ancillary:
        if (level, kind) == (socket.IPPROTO_IP, IP_PKTINFO):
            _, _, destination = PKTINFO.unpack_from(content)
            return socket.inet_ntoa(destination)
    return None
