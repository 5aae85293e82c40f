"""Actions that cores of all roles return to their shells."""

import msgspec

from egretfork import model
from egretfork import reasons
from egretfork import wire


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to a process of the system by UDP."""

    peer: model.Endpoint
    message: wire.Message


class SendToCaller(msgspec.Struct, frozen=True):
    """Send a datagram to the caller of a flow (entry only)."""

    flow: wire.FlowKey
    payload: bytes


class SendToTarget(msgspec.Struct, frozen=True):
    """Send a CoAP datagram to the agent's own target (agent only).

    Attributes:
        payload: encoded message.
        peer: address to send to, ``None`` for the configured target.
    """

    payload: bytes
    peer: model.Endpoint | None = None


class CountReason(msgspec.Struct, frozen=True):
    """Count one refusal, drop, retry or unknown outcome."""

    reason: reasons.Reason


class LogEvent(msgspec.Struct, frozen=True):
    """Write a structured log line.

    Attributes:
        event: stable name of the event.
        step: operation in which it arose.
        peer: other side, empty if there is none.
        detail: text for operators.
    """

    event: str
    step: str
    peer: str = ""
    detail: str = ""
