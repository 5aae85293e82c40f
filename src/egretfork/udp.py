"""UDP sockets that a program binds before it imports its other modules.

Datagrams that arrive during the imports wait in the socket buffer. Otherwise
they would be lost when many processes restart at once, and their senders
repeat them only after an exponential delay. This module must not import
anything that is slow to import.
"""

import collections.abc
import socket

BUFFER_BYTES = 4 * 1024 * 1024

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
    """

    def __init__(self, addresses: collections.abc.Iterable[Address]) -> None:
        self._sockets: dict[Address, socket.socket] = {}
        for address in addresses:
            self._bind(address)

    def pop_socket(self, host: str, port: int) -> socket.socket | None:
        """Remove and return the socket of an address, if there is one."""
        return self._sockets.pop((host, port), None)

    def _bind(self, address: Address) -> None:
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            enlarge_buffers(bound)
            bound.bind(address)
        except (OSError, OverflowError):
            bound.close()
            return
        self._sockets[address] = bound
