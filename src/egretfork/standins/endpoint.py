"""Minimal CoAP endpoint (RFC 7252) over UDP."""

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

# Transmission parameters of RFC 7252, section 4.8, with half of the default
# ACK_TIMEOUT of 2 s.
ACK_TIMEOUT_S = 1.0
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
MAX_CACHED_REPLIES = 2048
TOKEN_BYTES = 4

MessageHandler = collections.abc.Callable[
    [aiocoap.Message, model.Endpoint], None
]


class RequestTimeoutError(Exception):
    """No response arrived in time."""


class RequestResetError(Exception):
    """The peer replied with a Reset."""


class CoapEndpoint(asyncio.DatagramProtocol):
    """Sends requests with retransmission and dispatches received messages.

    Args:
        generator: source of the first message ID, tokens and timeout jitter.
        on_request: called for each request, except duplicates.
        on_notification: called for each notification after the first response
            to an observed request.
    """

    def __init__(
        self,
        generator: random.Random,
        on_request: MessageHandler | None = None,
        on_notification: MessageHandler | None = None,
    ) -> None:
        self._generator = generator
        self._on_request = on_request
        self._on_notification = on_notification
        self._message_ids = itertools.count(generator.randrange(0x10000))
        self._pending_responses: dict[
            bytes, asyncio.Future[aiocoap.Message]
        ] = {}
        self._pending_acks: dict[int, asyncio.Future[None]] = {}
        self._reply_cache: collections.OrderedDict[
            tuple[model.Endpoint, int], bytes
        ] = collections.OrderedDict()
        self._observed: set[bytes] = set()
        self.resets: list[tuple[model.Endpoint, int]] = []
        self.unmatched = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int = 0) -> model.Endpoint:
        """Bind the socket and return its address."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        bound_host, bound_port = transport.get_extra_info("sockname")
        return model.Endpoint(bound_host, bound_port)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def next_message_id(self) -> int:
        """Return the next message ID."""
        return next(self._message_ids) & 0xFFFF

    def generate_token(self) -> bytes:
        """Return a random token."""
        return self._generator.randbytes(TOKEN_BYTES)

    def send(self, message: aiocoap.Message, peer: model.Endpoint) -> None:
        """Send a message once.

        ACK and RST messages are cached and sent again for duplicates.
        """
        data = coap.encode(message)
        if message.mtype in (types.ACK, types.RST):
            self._reply_cache[(peer, message.mid)] = data
            if len(self._reply_cache) > MAX_CACHED_REPLIES:
                self._reply_cache.popitem(last=False)
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
            RequestTimeoutError: no response arrived in time, or the peer
                replied with a Reset.
        """
        loop = asyncio.get_running_loop()
        response: asyncio.Future[aiocoap.Message] = loop.create_future()
        acknowledged: asyncio.Future[None] = loop.create_future()
        self._pending_responses[message.token] = response
        self._pending_acks[message.mid] = acknowledged
        if message.opt.observe == coap.OBSERVE_REGISTER:
            self._observed.add(message.token)
        retransmission = asyncio.create_task(
            self._retransmit(message, peer, acknowledged)
        )
        try:
            return await asyncio.wait_for(response, answer_timeout_s)
        except TimeoutError as error:
            raise RequestTimeoutError(str(peer)) from error
        finally:
            retransmission.cancel()
            self._pending_responses.pop(message.token, None)
            self._pending_acks.pop(message.mid, None)

    async def send_confirmable(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        """Send a confirmable message, with retransmissions until its ACK."""
        loop = asyncio.get_running_loop()
        acknowledged: asyncio.Future[None] = loop.create_future()
        self._pending_acks[message.mid] = acknowledged
        try:
            await self._retransmit(message, peer, acknowledged)
        finally:
            self._pending_acks.pop(message.mid, None)

    async def _retransmit(
        self,
        message: aiocoap.Message,
        peer: model.Endpoint,
        acknowledged: "asyncio.Future[None]",
    ) -> None:
        data = coap.encode(message)
        timeout_s = ACK_TIMEOUT_S * self._generator.uniform(
            1, ACK_RANDOM_FACTOR
        )
        for attempt in range(MAX_RETRANSMIT + 1):
            self._send_bytes(data, peer)
            await asyncio.wait((acknowledged,), timeout=timeout_s * 2**attempt)
            if acknowledged.done():
                return

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and dispatch a datagram."""
        peer = model.Endpoint(*addr)
        message = coap.decode(data, str(peer))
        if isinstance(message, reasons.Failure):
            return
        self._complete_acknowledgement(message)
        match coap.classify(message):
            case coap.MessageKind.REQUEST:
                self._handle_request(message, peer)
            case coap.MessageKind.RESPONSE:
                self._handle_response(message, peer)
            case coap.MessageKind.RESET:
                self._handle_reset(message, peer)
            case coap.MessageKind.PING:
                self.send(
                    coap.build_empty_message(types.RST, message.mid), peer
                )
            case coap.MessageKind.EMPTY_ACK:
                return

    def _complete_acknowledgement(self, message: aiocoap.Message) -> None:
        if message.mtype not in (types.ACK, types.RST):
            return
        acknowledged = self._pending_acks.get(message.mid)
        if acknowledged is not None and not acknowledged.done():
            acknowledged.set_result(None)

    def _handle_request(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        key = (peer, message.mid)
        if key in self._reply_cache:
            if self._reply_cache[key]:
                self._send_bytes(self._reply_cache[key], peer)
            return
        # Duplicates are ignored until there is a reply to send again.
        self._reply_cache[key] = b""
        if self._on_request is not None:
            self._on_request(message, peer)

    def _handle_response(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        response = self._pending_responses.get(message.token)
        observed = message.token in self._observed
        if response is None and not observed:
            self.unmatched += 1
            if message.mtype is types.CON:
                self.send(
                    coap.build_empty_message(types.RST, message.mid), peer
                )
            return
        duplicate = (peer, message.mid) in self._reply_cache
        if message.mtype is types.CON:
            self.send(coap.build_empty_message(types.ACK, message.mid), peer)
        if response is not None and not response.done():
            response.set_result(message)
        elif observed and not duplicate and self._on_notification:
            self._on_notification(message, peer)

    def _handle_reset(
        self, message: aiocoap.Message, peer: model.Endpoint
    ) -> None:
        self.resets.append((peer, message.mid))

    def cancel_observation(self, token: bytes) -> None:
        """Reject further notifications with this token with a Reset."""
        self._observed.discard(token)

    def build_request(
        self, code: codes.Code, path: tuple[str, ...], payload: bytes = b""
    ) -> aiocoap.Message:
        """Build a confirmable request with a new message ID and token."""
        return aiocoap.Message(
            mtype=types.CON,
            mid=self.next_message_id(),
            token=self.generate_token(),
            code=code,
            uri_path=path,
            payload=payload,
        )
