"""UDP socket with a local address per datagram (``IP_PKTINFO``)."""

import collections.abc
import socket
import struct

from egretfork import datagrams
from egretfork import model

# Data, address of the sender, local address.
Handler = collections.abc.Callable[
    [bytes, model.Endpoint, model.Endpoint], None
]

WILDCARD = "0.0.0.0"

# ``socket`` does not export the option before Python 3.12. The value and the
# layout are those of linux/in.h: interface index, local address, destination.
IP_PKTINFO = 8
PKTINFO = struct.Struct("@i4s4s")
ANCILLARY_BYTES = socket.CMSG_SPACE(PKTINFO.size)


class LocalDatagramService(datagrams.DatagramService):
    """Receives datagrams with their destination addresses."""

    def __init__(self, address: model.Endpoint, handler: Handler) -> None:
        """Create the service.

        Args:
            address: UDP address to bind; the host may be ``WILDCARD``.
            handler: called with each datagram.
        """
        super().__init__(address, lambda data, peer: None)
        self._local_handler = handler

    def can_send_from(self, address: model.Endpoint) -> bool:
        """Return whether the socket can send from an address."""
        return address.port == self._address.port and (
            self._address.host in (WILDCARD, address.host)
        )

    def configure(self, bound: socket.socket) -> None:
        """Enable ancillary data with the destination of each datagram.

        Raises:
            OSError: an option cannot be set.
        """
        super().configure(bound)
        bound.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)

    def receive(self, bound: socket.socket) -> None:
        """Read one datagram and pass it to the handler.

        Raises:
            OSError: no datagram is available, or the read failed.
        """
        data, ancillary, _, source = bound.recvmsg(
            datagrams.MAX_UDP_BYTES, ANCILLARY_BYTES
        )
        peer = model.Endpoint(*source)
        try:
            local = model.Endpoint(
                find_destination_host(ancillary), self._address.port
            )
            self._local_handler(data, peer, local)
        except Exception:
            datagrams.log_handler_failure(peer)

    def send_from(
        self, data: bytes, peer: model.Endpoint, local: model.Endpoint
    ) -> bool:
        """Send one datagram from the host of a local address.

        Returns:
            Whether the datagram was sent; if not, it is lost.
        """
        if self._socket is None:
            return False
        try:
            packet_info = PKTINFO.pack(
                0, socket.inet_aton(local.host), bytes(4)
            )
            ancillary = [(socket.IPPROTO_IP, IP_PKTINFO, packet_info)]
            self._socket.sendmsg([data], ancillary, 0, (peer.host, peer.port))
        except (OSError, OverflowError) as error:
            # An address from a message may not be a valid IPv4 address.
            datagrams.log_error("send datagram", str(peer), error)
            return False
        return True


def find_destination_host(ancillary: list[tuple[int, int, bytes]]) -> str:
    """Return the host to which a datagram was sent.

    Raises:
        LookupError: the ancillary data has no ``IP_PKTINFO`` message.
    """
    for level, kind, content in ancillary:
        if (level, kind) == (socket.IPPROTO_IP, IP_PKTINFO):
            _, _, destination = PKTINFO.unpack_from(content)
            return socket.inet_ntoa(destination)
    raise LookupError("ancillary data has no IP_PKTINFO message")
