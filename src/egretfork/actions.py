"""Actions that the cores return for their shells to execute."""

import msgspec

from egretfork import model
from egretfork import reasons
from egretfork import wire


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to another process of the system by UDP."""

    peer: model.Endpoint
    message: wire.Message


class SendToCaller(msgspec.Struct, frozen=True):
    """Send a datagram to the caller of a flow (entry only)."""

    flow: wire.FlowKey
    payload: bytes


class SendToTarget(msgspec.Struct, frozen=True):
    """Send a CoAP datagram to the target of the agent (agent only).

    Attributes:
        payload: encoded message.
        peer: destination, ``None`` for the configured target.
    """

    payload: bytes
    peer: model.Endpoint | None = None


class CountReason(msgspec.Struct, frozen=True):
    """Increment the counter of a reason."""

    reason: reasons.Reason


class LogEvent(msgspec.Struct, frozen=True):
    """Write a structured log line.

    Attributes:
        event: stable name of the event.
        step: operation in which the event occurred.
        peer: address or name of the peer, empty if there is none.
        detail: description for operators.
    """

    event: str
    step: str
    peer: str = ""
    detail: str = ""
