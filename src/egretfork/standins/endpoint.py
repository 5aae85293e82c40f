"""Small CoAP endpoint (RFC 7252) over UDP for the stand-ins."""

import asyncio
import collections
import collections.abc
import itertools
import random

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types

from egretfork import coap
from egretfork import model
from egretfork import reasons

ACK_TIMEOUT_S = 1.0
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
DUPLICATE_LIMIT = 2048
TOKEN_BYTES = 4

Responder = collections.abc.Callable[[aiocoap.Message, model.Endpoint], None]


class RequestTimeoutError(Exception):
    """No answer arrived after the last retransmission."""


class RequestResetError(Exception):
    """The peer answered with a Reset."""


class CoapEndpoint(asyncio.DatagramProtocol):
    """Sends requests with retransmission and receives messages.

    Args:
        rng: source of message IDs, tokens and retransmission jitter.
        on_request: called once for each request that is not a duplicate.
        on_notification: called for each further response to an observed
            request.
    """

    def __init__(
        self,
        rng: random.Random,
        on_request: Responder | None = None,
        on_notification: Responder | None = None,
    ) -> None:
        self._rng = rng
        self._on_request = on_request
        self._on_notification = on_notification
        self._message_ids = itertools.count(rng.randrange(0x10000))
        self._waiting: dict[bytes, asyncio.Future[aiocoap.Message]] = {}
        self._acknowledged: dict[int, asyncio.Future[None]] = {}
        self._answers: collections.OrderedDict[
            tuple[model.Endpoint, int], bytes
        ] = collections.OrderedDict()
        self._observed: set[bytes] = set()
        self.resets: list[tuple[model.Endpoint, int]] = []
        self.unmatched = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int = 0) -> model.Endpoint:
        """Bind the endpoint and return its address."""
        running = asyncio.get_running_loop()
        transport, _ = await running.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        bound_host, bound_port = transport.get_extra_info("sockname")
        return model.Endpoint(bound_host, bound_port)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def choose_message_id(self) -> int:
        """Return the next message ID."""
        return next(self._message_ids) & 0xFFFF

    def choose_token(self) -> bytes:
        """Return a random token."""
        return self._rng.randbytes(TOKEN_BYTES)

    def send(self, message: aiocoap.Message, peer: model.Endpoint) -> None:
        """Send a message once; keep answers for duplicates."""
        data = coap.encode(message)
        if message.mtype in (types.ACK, types.RST):
            self._answers[(peer, message.mid)] = data
            if len(self._answers) > DUPLICATE_LIMIT:
                self._answers.popitem(last=False)
        self._send_bytes(data, peer)

    def _send_bytes(self, data: bytes, peer: model.Endpoint) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (peer.host, peer.port))

    async def request(
        self,
        message: aiocoap.Message,
        peer: model.Endpoint,
        answer_timeout_s: float,
    ) -> aiocoap.Message:
        """Send a confirmable request and return the response.

        Raises:
            RequestTimeoutError: no acknowledgement or no response.
            RequestResetError: the peer answered with a Reset.
        """
        running = asyncio.get_running_loop()
        waiting: asyncio.Future[aiocoap.Message] = running.create_future()
        acknowledged: asyncio.Future[None] = running.create_future()
        self._waiting[message.token] = waiting
        self._acknowledged[message.mid] = acknowledged
        if message.opt.observe == coap.OBSERVE_REGISTER:
            self._observed.add(message.token)
        sender = asyncio.create_task(
            self._retransmit(message, peer, acknowledged)
        )
        try:
            return await asyncio.wait_for(waiting, answer_timeout_s)
        except TimeoutError as error:
            raise RequestTimeoutError(str(peer)) from error
        finally:
            sender.cancel()
            self._waiting.pop(message.token, None)
            self._acknowledged.pop(message.mid, None)

    async def send_confirmable(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        """Send a confirmable message until it is acknowledged."""
        running = asyncio.get_running_loop()
        acknowledged: asyncio.Future[None] = running.create_future()
        self._acknowledged[message.mid] = acknowledged
        try:
            await self._retransmit(message, peer, acknowledged)
        finally:
            self._acknowledged.pop(message.mid, None)

    async def _retransmit(
        self,
        message: aiocoap.Message,
        peer: model.Endpoint,
        acknowledged: "asyncio.Future[None]",
    ) -> None:
        data = coap.encode(message)
        timeout_s = ACK_TIMEOUT_S * self._rng.uniform(1, ACK_RANDOM_FACTOR)
        for attempt in range(MAX_RETRANSMIT + 1):
            self._send_bytes(data, peer)
            await asyncio.wait((acknowledged,), timeout=timeout_s * 2**attempt)
            if acknowledged.done():
                return

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram."""
        peer = model.Endpoint(*addr)
        message = coap.decode(data, str(peer))
        if isinstance(message, reasons.Failure):
            return
        self._settle_acknowledgement(message)
        match coap.classify(message):
            case coap.MessageKind.REQUEST:
                self._receive_request(message, peer)
            case coap.MessageKind.RESPONSE:
                self._receive_response(message, peer)
            case coap.MessageKind.RESET:
                self._receive_reset(message, peer)
            case coap.MessageKind.PING:
                self.send(
                    coap.build_empty_message(types.RST, message.mid), peer
                )
            case coap.MessageKind.EMPTY_ACK:
                return

    def _settle_acknowledgement(self, message: aiocoap.Message) -> None:
        if message.mtype not in (types.ACK, types.RST):
            return
        acknowledged = self._acknowledged.get(message.mid)
        if acknowledged is not None and not acknowledged.done():
            acknowledged.set_result(None)

    def _receive_request(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        key = (peer, message.mid)
        if key in self._answers:
            if self._answers[key]:
                self._send_bytes(self._answers[key], peer)
            return
        self._answers[key] = b""
        if self._on_request is not None:
            self._on_request(message, peer)

    def _receive_response(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        waiting = self._waiting.get(message.token)
        observed = message.token in self._observed
        if waiting is None and not observed:
            self.unmatched += 1
            if message.mtype is types.CON:
                self.send(
                    coap.build_empty_message(types.RST, message.mid), peer
                )
            return
        duplicate = (peer, message.mid) in self._answers
        if message.mtype is types.CON:
            self.send(coap.build_empty_message(types.ACK, message.mid), peer)
        if waiting is not None and not waiting.done():
            waiting.set_result(message)
        elif observed and not duplicate and self._on_notification:
            self._on_notification(message, peer)

    def _receive_reset(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        self.resets.append((peer, message.mid))

    def forget_observation(self, token: bytes) -> None:
        """Answer further notifications of a token with a Reset."""
        self._observed.discard(token)

    def build_request(
        self, code: codes.Code, path: tuple[str, ...], payload: bytes = b""
    ) -> aiocoap.Message:
        """Build a confirmable request with a new message ID and token."""
        return aiocoap.Message(
            mtype=types.CON,
            mid=self.choose_message_id(),
            token=self.choose_token(),
            code=code,
            uri_path=path,
            payload=payload,
        )
