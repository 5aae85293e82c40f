"""Checks of a caller's request before anything is done for it."""

import dataclasses

import aiocoap
from aiocoap.numbers import codes

from egretfork import actions
from egretfork.agent import events
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire

RETRY_AFTER_S = 1
BAD_OPTION_REASONS = frozenset(
    (
        reasons.Refusal.BAD_OPTION.value,
        reasons.Refusal.MISSING_REQUEST_KEY.value,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class ScreenedRequest:
    """A request that may be served, with its metadata."""

    message: aiocoap.Message
    info: coap.RequestInfo


def return_through(
    entries: tuple[model.Endpoint, ...], key: wire.FlowKey, payload: bytes
) -> list[events.Signal]:
    """Send a datagram to a caller through the first of its entries."""
    if not entries:
        return [actions.CountReason(reasons.Drop.SEND_FAILED)]
    return [actions.SendMessage(entries[0], wire.Returned(key, payload))]


def build_outcome(
    request: aiocoap.Message, kind: wire.WorkResultKind, reason: str
) -> aiocoap.Message:
    """Build the answer for a request that the target did not answer."""
    # A neighbouring release may name a reason that is not known here.
    text = reason.encode()
    if kind is wire.WorkResultKind.UNKNOWN:
        return coap.build_response(request, codes.GATEWAY_TIMEOUT, text)
    if reason in BAD_OPTION_REASONS:
        return coap.build_response(request, codes.BAD_OPTION, text)
    return coap.build_response(
        request, codes.SERVICE_UNAVAILABLE, text, RETRY_AFTER_S
    )


def screen(
    forwarded: wire.Forwarded, message: aiocoap.Message, service_name: str
) -> ScreenedRequest | list[events.Signal]:
    """Check a request; a request that fails is answered and not run."""
    info = coap.read_request_info(message, str(forwarded.flow.caller))
    if isinstance(info, reasons.Failure):
        return _reject(forwarded, message, info.reason)
    if info.host and info.host != service_name:
        answer = coap.build_response(
            message, codes.NOT_FOUND, b"unknown Uri-Host"
        )
        return [
            actions.CountReason(reasons.Drop.WRONG_SERVICE),
            *return_now(forwarded, answer),
        ]
    if not info.idempotent and not info.key:
        reason = reasons.Refusal.MISSING_REQUEST_KEY
        return _reject(forwarded, message, reason)
    return ScreenedRequest(message, info)


def _reject(
    forwarded: wire.Forwarded, message: aiocoap.Message, reason: str
) -> list[events.Signal]:
    answer = coap.build_response(message, codes.BAD_OPTION, reason.encode())
    return [
        actions.CountReason(reasons.Refusal(reason)),
        *return_now(forwarded, answer),
    ]


def return_now(
    forwarded: wire.Forwarded, answer: aiocoap.Message
) -> list[events.Signal]:
    """Answer through the entry that delivered the request."""
    payload = coap.encode(answer)
    return return_through((forwarded.entry,), forwarded.flow, payload)
