"""UDP sockets, which a program may bind before it imports its modules.

Answers the restart of many processes at once: a datagram that arrives while
a process still imports waits in its socket. Without that it is lost, and its
sender repeats it only after a delay that doubles each time. This module
imports nothing that is slow to import.
"""

import collections.abc
import socket

BUFFER_BYTES = 4 * 1024 * 1024

Address = tuple[str, int]


def enlarge_buffers(unbound: socket.socket) -> None:
    """Ask for large buffers.

    Raises:
        OSError: the kernel refused.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        unbound.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)


class PreboundSockets:
    """Bound sockets that wait for the services that will own them.

    An address that cannot be bound is left out: the service binds it again
    and reports the error.
    """

    def __init__(self, addresses: collections.abc.Iterable[Address]) -> None:
        self._sockets: dict[Address, socket.socket] = {}
        for address in addresses:
            self._bind(address)

    def pop_socket(self, host: str, port: int) -> socket.socket | None:
        """Hand over the socket of an address, none if there is none."""
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
