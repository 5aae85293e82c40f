"""Sockets that a program binds before it imports its other modules.

Datagrams and connections that arrive during the imports wait in the socket.
Otherwise they would be lost when many processes restart at once, and their
senders repeat them only after an exponential delay. This module must not
import anything that is slow to import.
"""

import collections.abc
import datetime
import socket
import time

BUFFER_BYTES = 4 * 1024 * 1024
LISTEN_BACKLOG = 128

Address = tuple[str, int]


def enlarge_buffers(unbound: socket.socket) -> None:
    """Request large send and receive buffers.

    Raises:
        OSError: a buffer size cannot be set.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        unbound.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)


class PreboundSockets:
    """Sockets that were bound before the services that use them exist.

    An address that cannot be bound is skipped; its service then tries to
    bind it itself and reports the error.

    Args:
        datagram_addresses: addresses of UDP sockets.
        listen_addresses: addresses of TCP sockets that listen.

    Attributes:
        bound_at: time of ``clock.BootClock`` at which the sockets were bound.
            What arrived since then was not lost.
    """

    def __init__(
        self,
        datagram_addresses: collections.abc.Iterable[Address],
        listen_addresses: collections.abc.Iterable[Address] = (),
    ) -> None:
        self._sockets: dict[Address, socket.socket] = {}
        self._listeners: dict[Address, socket.socket] = {}
        for address in datagram_addresses:
            self._bind(address)
        for address in listen_addresses:
            self._listen(address)
        boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        self.bound_at = datetime.timedelta(microseconds=boot_ns // 1000)

    def pop_socket(self, host: str, port: int) -> socket.socket | None:
        """Remove and return the UDP socket of an address, if there is one."""
        return self._sockets.pop((host, port), None)

    def pop_listener(self, host: str, port: int) -> socket.socket | None:
        """Remove and return the TCP socket of an address, if there is one."""
        return self._listeners.pop((host, port), None)

    def _bind(self, address: Address) -> None:
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            enlarge_buffers(bound)
            bound.bind(address)
        except (OSError, OverflowError):
            bound.close()
            return
        self._sockets[address] = bound

    def _listen(self, address: Address) -> None:
        bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind(address)
            bound.listen(LISTEN_BACKLOG)
        except (OSError, OverflowError):
            bound.close()
            return
        self._listeners[address] = bound
