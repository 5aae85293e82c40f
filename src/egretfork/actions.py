"""Actions that cores of all roles return to their shells."""

import dataclasses

from egretfork import model
from egretfork import reasons
from egretfork import wire


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a process of the system by UDP."""

    peer: model.Endpoint
    message: wire.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send a datagram to the caller of a flow (entry only)."""

    flow: wire.FlowKey
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendToTarget:
    """Send a CoAP datagram to the agent's own target (agent only).

    Attributes:
        payload: encoded message.
        peer: address to send to, ``None`` for the configured target.
    """

    payload: bytes
    peer: model.Endpoint | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CountReason:
    """Count one refusal, drop, retry or unknown outcome."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
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
