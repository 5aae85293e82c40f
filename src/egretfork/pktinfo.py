"""UDP socket that receives and sends with a chosen local address."""

import asyncio
import collections.abc
import logging
import socket
import struct

import mode

from egretfork import datagrams
from egretfork import logs
from egretfork import model

LOGGER = logging.getLogger(__name__)

# Data, address of the sender, local address.
Handler = collections.abc.Callable[
    [bytes, model.Endpoint, model.Endpoint], None
]

WILDCARD = "0.0.0.0"
MAX_UDP_BYTES = 65535
# Datagrams read in one turn of the event loop, so that one busy socket does
# not keep the others waiting.
MAX_READ_BATCH = 64

# ``socket`` does not export the option before Python 3.12; value and layout
# are those of linux/in.h: interface index, local address, destination.
IP_PKTINFO = 8
PKTINFO = struct.Struct("@i4s4s")
ANCILLARY_BYTES = socket.CMSG_SPACE(PKTINFO.size)


class LocalDatagramService(mode.Service):
    """Receives datagrams together with the address they were sent to."""

    def __init__(self, address: model.Endpoint, handler: Handler) -> None:
        """Create the service.

        Args:
            address: UDP address to bind; the host may be ``WILDCARD``.
            handler: receives each datagram.
        """
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

    def send(
        self, data: bytes, peer: model.Endpoint, local: model.Endpoint
    ) -> bool:
        """Send one datagram from the host of a local address.

        Returns:
            Whether the kernel took it; if not, it is lost.
        """
        if self._socket is None:
            return False
        try:
            information = PKTINFO.pack(
                0, socket.inet_aton(local.host), bytes(4)
            )
            ancillary = [(socket.IPPROTO_IP, IP_PKTINFO, information)]
            self._socket.sendmsg([data], ancillary, 0, (peer.host, peer.port))
        except (OSError, OverflowError) as error:
            # An address in a message may be no IPv4 address.
            _log_error("send datagram", str(peer), error)
            return False
        return True

    def _read_batch(self, bound: socket.socket) -> None:
        for _ in range(MAX_READ_BATCH):
            try:
                received = bound.recvmsg(MAX_UDP_BYTES, ANCILLARY_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                _log_error("receive datagram", "", error)
                return
            data, ancillary, _, source = received
            host = find_destination(ancillary)
            local = model.Endpoint(host, self._address.port)
            self._handle(data, model.Endpoint(*source), local)

    def _handle(
        self, data: bytes, peer: model.Endpoint, local: model.Endpoint
    ) -> None:
        try:
            self._handler(data, peer, local)
        except Exception:
            # One datagram must not stop the socket for all others.
            LOGGER.exception(
                "datagram_handler_failed",
                extra={"step": "handle datagram", "peer": str(peer)},
            )


def find_destination(ancillary: list[tuple[int, int, bytes]]) -> str:
    """Return the host to which a datagram was sent.

    Raises:
        LookupError: the kernel gave no address, although the option is set.
    """
    for level, kind, content in ancillary:
        if (level, kind) == (socket.IPPROTO_IP, IP_PKTINFO):
            _, _, destination = PKTINFO.unpack_from(content)
            return socket.inet_ntoa(destination)
    raise LookupError("no destination address with a datagram")


def _log_error(step: str, peer: str, error: Exception) -> None:
    logs.write(
        LOGGER,
        "socket_error",
        step=step,
        peer=peer,
        detail=str(error),
        level=logging.DEBUG,
    )
