"""HTTP/1.1 server with limits on sizes, durations and connections."""

import asyncio
import collections.abc
import logging
import socket

import h11
import mode
import msgspec

from egretfork import logs
from egretfork import model

LOGGER = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024
# Limit for reading a whole request, including idle time before it, and for
# writing a response.
IO_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 256
BACKLOG = 128


class Request(msgspec.Struct, frozen=True):
    """HTTP request with its complete body."""

    method: str
    path: str
    body: bytes


class Response(msgspec.Struct, frozen=True):
    """HTTP response; ``location`` is the target of a redirect."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    location: str = ""


Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[Response]
]


class WebService(mode.Service):
    """Serves HTTP requests on one TCP address with one handler.

    Args:
        bound: socket that already listens on the address.
    """

    def __init__(
        self,
        address: model.Endpoint,
        handler: Handler,
        bound: socket.socket | None = None,
    ) -> None:
        super().__init__()
        self._address = address
        self._handler = handler
        self._bound = bound
        self._server: asyncio.Server | None = None
        self._connections = 0

    @property
    def port(self) -> int:
        """Return the TCP port; a chosen port is known after the start."""
        if self._server is None:
            return self._address.port
        return int(self._server.sockets[0].getsockname()[1])

    async def on_start(self) -> None:
        """Start to listen.

        Raises:
            OSError: the address cannot be bound.
        """
        if self._bound is not None:
            self._server = await asyncio.start_server(
                self._serve, sock=self._bound, limit=READ_BYTES
            )
            return
        self._server = await asyncio.start_server(
            self._serve,
            self._address.host,
            self._address.port,
            backlog=BACKLOG,
            limit=READ_BYTES,
        )

    async def on_stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._connections >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._connections += 1
        try:
            await _Connection(reader, writer, self._handler).run()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            _log_debug("connection_failed", str(error) or type(error).__name__)
        finally:
            self._connections -= 1
            writer.close()


class _Connection:
    """Serves the requests of one connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            async with asyncio.timeout(IO_TIMEOUT_S):
                request = await self._read_request()
            if request is None:
                return
            if isinstance(request, Request):
                response = await self._call_handler(request)
            else:
                response = request
            await self._send_response(response)
            if self._protocol.our_state is not h11.DONE:
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _call_handler(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except Exception:
            LOGGER.exception("handler_failed", extra={"step": request.path})
            return Response(500)

    async def _read_request(self) -> Request | Response | None:
        """Read a request, or return the error response if it is invalid."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                _log_debug("request_unreadable", str(error))
                return Response(error.error_status_hint)
            if event is h11.NEED_DATA:
                if self._protocol.they_are_waiting_for_100_continue:
                    await self._send_continue()
                self._protocol.receive_data(
                    await self._reader.read(READ_BYTES)
                )
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    return Response(413)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _build_request(head, bytes(body))
            else:
                return None

    async def _send_continue(self) -> None:
        answer = h11.InformationalResponse(status_code=100, headers=[])
        self._writer.write(self._protocol.send(answer) or b"")
        await self._writer.drain()

    async def _send_response(self, response: Response) -> None:
        headers = [
            ("content-length", str(len(response.body))),
            ("content-type", response.content_type),
        ]
        if response.location:
            headers.append(("location", response.location))
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        parts = (
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )
        data = b"".join(self._protocol.send(part) or b"" for part in parts)
        self._writer.write(data)
        async with asyncio.timeout(IO_TIMEOUT_S):
            await self._writer.drain()


def _build_request(head: h11.Request, body: bytes) -> Request:
    target = head.target.decode("ascii", "replace")
    path, _, _ = target.partition("?")
    return Request(head.method.decode("ascii", "replace"), path, body)


def _log_debug(event: str, detail: str) -> None:
    logs.write(
        LOGGER, event, step="serve http", detail=detail, level=logging.DEBUG
    )
