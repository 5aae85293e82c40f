"""UDP socket that receives and sends with a chosen local address."""

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

# ``socket`` does not export the option before Python 3.12; value and layout
# are those of linux/in.h: interface index, local address, destination.
IP_PKTINFO = 8
PKTINFO = struct.Struct("@i4s4s")
ANCILLARY_BYTES = socket.CMSG_SPACE(PKTINFO.size)


class LocalDatagramService(datagrams.DatagramService):
    """Receives datagrams together with the address they were sent to."""

    def __init__(self, address: model.Endpoint, handler: Handler) -> None:
        """Create the service.

        Args:
            address: UDP address to bind; the host may be ``WILDCARD``.
            handler: receives each datagram.
        """
        super().__init__(address, lambda data, peer: None)
        self._local_handler = handler

    def covers(self, address: model.Endpoint) -> bool:
        """Return whether datagrams can be sent from an address."""
        return address.port == self._address.port and (
            self._address.host in (WILDCARD, address.host)
        )

    def configure(self, bound: socket.socket) -> None:
        """Ask the kernel for the local address of each datagram.

        Raises:
            OSError: the kernel refused an option.
        """
        super().configure(bound)
        bound.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)

    def receive(self, bound: socket.socket) -> None:
        """Read one datagram and pass it to the handler.

        Raises:
            OSError: there is none, or the read failed.
        """
        data, ancillary, _, source = bound.recvmsg(
            datagrams.MAX_UDP_BYTES, ANCILLARY_BYTES
        )
        peer = model.Endpoint(*source)
        try:
            local = model.Endpoint(
                find_destination(ancillary), self._address.port
            )
            self._local_handler(data, peer, local)
        except Exception:
            datagrams.log_handler_failure(peer)

    def send_from(
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
            datagrams.log_error("send datagram", str(peer), error)
            return False
        return True


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
