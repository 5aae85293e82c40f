"""Validation of callers' requests before they are served."""

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
class ValidatedRequest:
    """A valid request with its metadata."""

    message: aiocoap.Message
    info: coap.RequestInfo


def send_to_caller(
    entries: tuple[model.Endpoint, ...], key: wire.FlowKey, payload: bytes
) -> list[events.Signal]:
    """Send a datagram to a caller through the first of the entries."""
    if not entries:
        return [actions.CountReason(reasons.Drop.SEND_FAILED)]
    return [actions.SendMessage(entries[0], wire.Returned(key, payload))]


def build_failure_answer(
    request: aiocoap.Message, kind: wire.WorkResultKind, reason: str
) -> aiocoap.Message:
    """Build the answer to a request that the target did not answer."""
    # An agent of another release may send a reason that is unknown here.
    text = reason.encode()
    if kind is wire.WorkResultKind.UNKNOWN:
        return coap.build_response(request, codes.GATEWAY_TIMEOUT, text)
    if reason in BAD_OPTION_REASONS:
        return coap.build_response(request, codes.BAD_OPTION, text)
    return coap.build_response(
        request, codes.SERVICE_UNAVAILABLE, text, RETRY_AFTER_S
    )


def validate_request(
    forwarded: wire.Forwarded, message: aiocoap.Message, service_name: str
) -> ValidatedRequest | list[events.Signal]:
    """Validate a request.

    Returns:
        The request, or actions that answer an invalid request.
    """
    info = coap.read_request_info(message, str(forwarded.flow.caller))
    if isinstance(info, reasons.Failure):
        return _reject(forwarded, message, info.reason)
    if info.host and info.host != service_name:
        answer = coap.build_response(
            message, codes.NOT_FOUND, b"unknown Uri-Host"
        )
        return [
            actions.CountReason(reasons.Drop.WRONG_SERVICE),
            *answer_through_entry(forwarded, answer),
        ]
    if not info.idempotent and not info.key:
        reason = reasons.Refusal.MISSING_REQUEST_KEY
        return _reject(forwarded, message, reason)
    return ValidatedRequest(message, info)


def _reject(
    forwarded: wire.Forwarded, message: aiocoap.Message, reason: str
) -> list[events.Signal]:
    answer = coap.build_response(message, codes.BAD_OPTION, reason.encode())
    return [
        actions.CountReason(reasons.Refusal(reason)),
        *answer_through_entry(forwarded, answer),
    ]


def answer_through_entry(
    forwarded: wire.Forwarded, answer: aiocoap.Message
) -> list[events.Signal]:
    """Send an answer through the entry that delivered the request."""
    payload = coap.encode(answer)
    return send_to_caller((forwarded.entry,), forwarded.flow, payload)
