"""UDP socket owned by a task of a shell."""

import asyncio
import collections.abc
import logging
import socket

import mode

from egretfork import logs
from egretfork import model

LOGGER = logging.getLogger(__name__)

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024

Handler = collections.abc.Callable[[bytes, model.Endpoint], None]


class _Protocol(asyncio.DatagramProtocol):
    """Passes datagrams to a handler; logs socket errors."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand over one datagram."""
        try:
            self._handler(data, model.Endpoint(addr[0], addr[1]))
        except Exception:
            # One datagram must not stop the socket for all others.
            LOGGER.exception(
                "datagram_handler_failed",
                extra={"step": "handle datagram", "peer": str(addr)},
            )

    def error_received(self, exc: Exception) -> None:
        """Log an asynchronous error, such as a closed peer port."""
        logs.write(
            LOGGER,
            "socket_error",
            step="send datagram",
            detail=str(exc),
            level=logging.DEBUG,
        )


class DatagramService(mode.Service):
    """Receives datagrams on one UDP address and sends from it."""

    def __init__(self, address: model.Endpoint, handler: Handler) -> None:
        super().__init__()
        self._address = address
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> model.Endpoint:
        """Return the bound address; the port is known once started."""
        return self._address

    async def on_start(self) -> None:
        """Bind the socket.

        Raises:
            OSError: the address cannot be bound.
        """
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        try:
            bound.bind((self._address.host, self._address.port))
        except OSError:
            bound.close()
            raise
        bound.setblocking(False)
        running = asyncio.get_running_loop()
        transport, _ = await running.create_datagram_endpoint(
            lambda: _Protocol(self._handler), sock=bound
        )
        self._transport = transport
        host, port = transport.get_extra_info("sockname")
        self._address = model.Endpoint(host, port)

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, data: bytes, peer: model.Endpoint) -> None:
        """Send one datagram; a datagram that cannot be sent is lost."""
        if self._transport is None:
            return
        self._transport.sendto(data, (peer.host, peer.port))
