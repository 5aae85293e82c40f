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
class ValidatedRequest:
    """A request that may be served, with its metadata."""

    message: aiocoap.Message
    info: coap.RequestInfo


def send_to_caller(
    entries: tuple[model.Endpoint, ...], key: wire.FlowKey, payload: bytes
) -> list[events.Signal]:
    """Send a datagram to a caller through the first of its entries."""
    if not entries:
        return [actions.CountReason(reasons.Drop.SEND_FAILED)]
    return [actions.SendMessage(entries[0], wire.Returned(key, payload))]


def build_failure_answer(
    request: aiocoap.Message, kind: wire.WorkResultKind, reason: str
) -> aiocoap.Message:
    """Build the answer for a request that the target did not answer."""
    # A neighbouring release may name a reason that is not known here.
    text = reason.encode()
    if kind is wire.WorkResultKind.UNKNOWN:
        return coap.build_answer(request, codes.GATEWAY_TIMEOUT, text)
    if reason in BAD_OPTION_REASONS:
        return coap.build_answer(request, codes.BAD_OPTION, text)
    return coap.build_answer(
        request, codes.SERVICE_UNAVAILABLE, text, RETRY_AFTER_S
    )


def validate_request(
    forwarded: wire.Forwarded, message: aiocoap.Message, service_name: str
) -> ValidatedRequest | list[events.Signal]:
    """Check a request; a request that fails is answered and not run."""
    info = coap.read_request_info(message, str(forwarded.flow.caller))
    if isinstance(info, reasons.Failure):
        return _reject(forwarded, message, info.reason)
    if info.host and info.host != service_name:
        answer = coap.build_answer(
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
    answer = coap.build_answer(message, codes.BAD_OPTION, reason.encode())
    return [
        actions.CountReason(reasons.Refusal(reason)),
        *answer_through_entry(forwarded, answer),
    ]


def answer_through_entry(
    forwarded: wire.Forwarded, answer: aiocoap.Message
) -> list[events.Signal]:
    """Answer through the entry that delivered the request."""
    payload = coap.encode(answer)
    return send_to_caller((forwarded.entry,), forwarded.flow, payload)
