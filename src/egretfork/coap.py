"""CoAP messages (RFC 7252): decoding, options and responses."""

import dataclasses
import datetime
import enum
import warnings

import aiocoap
from aiocoap import error
from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
from aiocoap.numbers import types
from aiocoap import optiontypes

from egretfork import coapheader
from egretfork import reasons

# Only the codec of aiocoap is used, without its transport, so message ID, type
# and token are set directly. aiocoap deprecates that for transport users.
warnings.filterwarnings(
    "ignore", category=DeprecationWarning, message="Initializing messages"
)

REQUEST_KEY = optionnumbers.OptionNumber(65001)
REQUEST_ATTEMPT = optionnumbers.OptionNumber(65005)
DEADLINE_MS = optionnumbers.OptionNumber(65008)

REQUEST_KEY_BYTES = 16
REQUEST_KEY_UUID_VERSION = 7
MAX_DEADLINE = datetime.timedelta(minutes=5)
MAX_UINT_BYTES = 4
HEADER_BYTES = coapheader.HEADER_BYTES

IDEMPOTENT_CODES = frozenset(
    (codes.GET, codes.PUT, codes.DELETE, codes.FETCH, codes.iPATCH)
)
NON_IDEMPOTENT_CODES = frozenset((codes.POST, codes.PATCH))
KNOWN_CRITICAL_OPTIONS = frozenset(
    (
        optionnumbers.OptionNumber.IF_MATCH,
        optionnumbers.OptionNumber.URI_HOST,
        optionnumbers.OptionNumber.IF_NONE_MATCH,
        optionnumbers.OptionNumber.URI_PORT,
        optionnumbers.OptionNumber.URI_PATH,
        optionnumbers.OptionNumber.URI_QUERY,
        optionnumbers.OptionNumber.ACCEPT,
        optionnumbers.OptionNumber.BLOCK1,
        optionnumbers.OptionNumber.BLOCK2,
        REQUEST_KEY,
        REQUEST_ATTEMPT,
    )
)
OBSERVE_REGISTER = 0
OBSERVE_CANCEL = 1


class MessageKind(enum.Enum):
    """Role of a message in an exchange."""

    REQUEST = "request"
    RESPONSE = "response"
    EMPTY_ACK = "empty_ack"
    RESET = "reset"
    PING = "ping"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestInfo:
    """Request metadata that determines how a request is handled.

    Attributes:
        idempotent: whether the request may run more than once.
        key: Request-Key, empty if absent.
        attempt: Request-Attempt, 0 if absent.
        deadline: time remaining, ``None`` if the option is absent.
        host: Uri-Host, empty if absent.
        observe: Observe option, ``None`` if absent.
    """

    idempotent: bool
    key: bytes
    attempt: int
    deadline: datetime.timedelta | None
    host: str
    observe: int | None


def decode(data: bytes, peer: str) -> aiocoap.Message | reasons.Failure:
    """Decode a datagram received from ``peer``."""
    header_error = coapheader.find_header_error(data)
    if header_error is not None:
        return _report_malformed(peer, header_error)
    try:
        message = aiocoap.Message.decode(data)
        # aiocoap decodes some option types lazily. Encoding them here raises
        # the error of an invalid option inside this try block.
        tuple(option.encode() for option in message.opt.option_list())
    except (
        error.UnparsableMessage,
        ValueError,
        IndexError,
        AttributeError,
        TypeError,
        OverflowError,
    ) as decode_error:
        return _report_malformed(peer, str(decode_error))
    return message


def _report_malformed(peer: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step="decode CoAP message",
        peer=peer,
        reason=reasons.Drop.MALFORMED,
        detail=detail,
    )


def encode(message: aiocoap.Message) -> bytes:
    """Encode a message whose type, message ID and token are set."""
    return bytes(message.encode())


def classify(message: aiocoap.Message) -> MessageKind:
    """Return the role of a message."""
    if message.mtype is types.RST:
        return MessageKind.RESET
    if message.code is codes.EMPTY:
        return (
            MessageKind.EMPTY_ACK
            if message.mtype is types.ACK
            else MessageKind.PING
        )
    return (
        MessageKind.REQUEST
        if message.code.is_request()
        else MessageKind.RESPONSE
    )


def read_request_info(
    message: aiocoap.Message, peer: str
) -> RequestInfo | reasons.Failure:
    """Read and check the metadata of a request."""
    key = _read_option(message, REQUEST_KEY)
    attempt = _read_option(message, REQUEST_ATTEMPT)
    deadline = _read_option(message, DEADLINE_MS)
    if key and read_key_time_ms(key) is None:
        return _reject_option(peer, "Request-Key is not a UUID version 7")
    if max(len(attempt), len(deadline)) > MAX_UINT_BYTES:
        return _reject_option(peer, "integer option is longer than 4 bytes")
    unknown = find_unknown_critical_option(message)
    if unknown is not None:
        return _reject_option(peer, f"unknown critical option {unknown}")
    return RequestInfo(
        idempotent=message.code in IDEMPOTENT_CODES,
        key=key,
        attempt=int.from_bytes(attempt, "big"),
        deadline=(
            datetime.timedelta(milliseconds=int.from_bytes(deadline, "big"))
            if message.opt.get_option(DEADLINE_MS)
            else None
        ),
        host=message.opt.uri_host or "",
        observe=message.opt.observe,
    )


def read_key_time_ms(key: bytes) -> int | None:
    """Return the Unix time in a UUID version 7 (RFC 9562, section 5.7).

    Returns:
        Milliseconds, or ``None`` if the key is not of that version.
    """
    if len(key) != REQUEST_KEY_BYTES:
        return None
    if key[6] >> 4 != REQUEST_KEY_UUID_VERSION:
        return None
    return int.from_bytes(key[:6], "big")


def build_request_key(time_ms: int, random_bytes: bytes) -> bytes:
    """Build a Request-Key, a UUID version 7 (RFC 9562, section 5.7).

    Args:
        time_ms: Unix time in milliseconds.
        random_bytes: ten random bytes.
    """
    key = bytearray(time_ms.to_bytes(6, "big") + random_bytes)
    key[6] = key[6] & 0x0F | REQUEST_KEY_UUID_VERSION << 4
    key[8] = key[8] & 0x3F | 0x80
    return bytes(key)


def find_unknown_critical_option(message: aiocoap.Message) -> int | None:
    """Return the first unrecognized critical option (RFC 7252, 5.4.1)."""
    unknown = (
        int(option.number)
        for option in message.opt.option_list()
        if option.number.is_critical()
        and option.number not in KNOWN_CRITICAL_OPTIONS
    )
    return next(unknown, None)


def _read_option(
    message: aiocoap.Message, number: optionnumbers.OptionNumber
) -> bytes:
    options = message.opt.get_option(number)
    return bytes(options[0].encode()) if options else b""


def _reject_option(peer: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step="read request options",
        peer=peer,
        reason=reasons.Refusal.BAD_OPTION,
        detail=detail,
    )


def set_uint_option(
    message: aiocoap.Message,
    number: optionnumbers.OptionNumber,
    value: int,
) -> None:
    """Replace an unsigned integer option (RFC 7252, section 3.2)."""
    encoded = value.to_bytes((value.bit_length() + 7) // 8, "big")
    set_opaque_option(message, number, encoded)


def set_opaque_option(
    message: aiocoap.Message,
    number: optionnumbers.OptionNumber,
    value: bytes,
) -> None:
    """Replace an opaque option."""
    message.opt.delete_option(number)
    message.opt.add_option(optiontypes.OpaqueOption(number, value))


def copy_with_header(
    message: aiocoap.Message, mtype: types.Type, mid: int, token: bytes
) -> aiocoap.Message:
    """Copy a message with a new type, message ID and token."""
    copy = aiocoap.Message(
        mtype=mtype,
        mid=mid,
        token=token,
        code=message.code,
        payload=message.payload,
    )
    for option in message.opt.option_list():
        copy.opt.add_option(option)
    return copy


def build_response(
    request: aiocoap.Message,
    code: codes.Code,
    payload: bytes = b"",
    max_age: int | None = None,
) -> aiocoap.Message:
    """Build a response: piggybacked for a confirmable request.

    Args:
        request: request whose type, message ID and token are set.
        code: response code.
        payload: content or diagnostic payload.
        max_age: Max-Age, the seconds after which the client may retry.
    """
    response = aiocoap.Message(
        mtype=types.ACK if request.mtype is types.CON else types.NON,
        mid=request.mid,
        code=code,
        token=request.token,
        payload=payload,
    )
    response.opt.max_age = max_age
    return response


def build_refusal(
    request: aiocoap.Message, reason: reasons.Refusal, max_age: int
) -> aiocoap.Message:
    """Build the 5.03 response to a request that was not run."""
    return build_response(
        request, codes.SERVICE_UNAVAILABLE, reason.encode(), max_age
    )


def build_unknown_outcome(
    request: aiocoap.Message, reason: reasons.UnknownOutcome
) -> aiocoap.Message:
    """Build the 5.04 response to a request whose outcome is unknown."""
    return build_response(request, codes.GATEWAY_TIMEOUT, reason.encode())


def build_empty_message(mtype: types.Type, message_id: int) -> aiocoap.Message:
    """Build an Empty message, used as an acknowledgement or reset."""
    return aiocoap.Message(mtype=mtype, mid=message_id, code=codes.EMPTY)
