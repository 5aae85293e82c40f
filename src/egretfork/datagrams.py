"""Service that owns a UDP socket."""

import asyncio
import collections.abc
import logging
import socket

import mode

from egretfork import logs
from egretfork import model
from egretfork import prebound

LOGGER = logging.getLogger(__name__)

MAX_UDP_BYTES = 65535
# Datagrams read per event loop iteration. One iteration per datagram costs
# several times as much as the read itself; without a limit a busy socket would
# starve timers and other sockets.
MAX_READ_BATCH = 32

Handler = collections.abc.Callable[[bytes, model.Endpoint], None]


class DatagramService(mode.Service):
    """Receives datagrams on one UDP address and sends from it.

    Args:
        bound: socket that is already bound to the address.
        paused: leave datagrams in the socket buffer until ``resume``.
    """

    def __init__(
        self,
        address: model.Endpoint,
        handler: Handler,
        bound: socket.socket | None = None,
        *,
        paused: bool = False,
    ) -> None:
        super().__init__()
        self._address = address
        self._handler = handler
        self._bound = bound
        self._paused = paused
        self._socket: socket.socket | None = None

    @property
    def address(self) -> model.Endpoint:
        """Return the bound address; the port is known once started."""
        return self._address

    async def on_start(self) -> None:
        """Bind the socket.

        Raises:
            OSError: the address cannot be bound.
        """
        bound = self._bound or self._bind()
        bound.setblocking(False)
        self._bound = None
        self._socket = bound
        self._address = model.Endpoint(*bound.getsockname())
        if not self._paused:
            self._start_reading(bound)

    def resume(self) -> None:
        """Start to read, including datagrams that are already buffered."""
        if self._paused and self._socket is not None:
            self._paused = False
            self._start_reading(self._socket)

    def _start_reading(self, bound: socket.socket) -> None:
        asyncio.get_running_loop().add_reader(bound, self._read_batch, bound)

    def _bind(self) -> socket.socket:
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.configure(bound)
            bound.bind((self._address.host, self._address.port))
        except OSError:
            bound.close()
            raise
        return bound

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def configure(self, bound: socket.socket) -> None:
        """Set the options of a socket before it is bound.

        Raises:
            OSError: an option cannot be set.
        """
        prebound.enlarge_buffers(bound)

    def receive(self, bound: socket.socket) -> None:
        """Read one datagram and pass it to the handler.

        Raises:
            OSError: no datagram is available, or the read failed.
        """
        data, source = bound.recvfrom(MAX_UDP_BYTES)
        peer = model.Endpoint(*source)
        try:
            self._handler(data, peer)
        except Exception:
            log_handler_failure(peer)

    def send(self, data: bytes, peer: model.Endpoint) -> None:
        """Send one datagram; it is dropped if it cannot be sent."""
        if self._socket is None:
            return
        try:
            # An address from a message may be a name, whose resolution would
            # block, or no address at all.
            socket.inet_aton(peer.host)
            self._socket.sendto(data, (peer.host, peer.port))
        except (OSError, OverflowError, ValueError) as error:
            log_error("send datagram", str(peer), error)

    def _read_batch(self, bound: socket.socket) -> None:
        for _ in range(MAX_READ_BATCH):
            if self._socket is None:
                return
            try:
                self.receive(bound)
            except BlockingIOError:
                return
            except OSError as error:
                log_error("receive datagram", "", error)
                return


def log_handler_failure(peer: model.Endpoint) -> None:
    """Log the current exception of a handler.

    The exception is not raised again: one datagram must not stop the socket
    from receiving others.
    """
    LOGGER.exception(
        "datagram_handler_failed",
        extra={"step": "handle datagram", "peer": str(peer)},
    )


def log_error(step: str, peer: str, error: Exception) -> None:
    """Log a socket error, such as a closed peer port."""
    logs.write(
        LOGGER,
        "socket_error",
        step=step,
        peer=peer,
        detail=str(error),
        level=logging.DEBUG,
    )
