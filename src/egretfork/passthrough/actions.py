"""Actions that the cores of passed-through flows return to their shells."""

import datetime

import msgspec

from egretfork import actions
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import messages
from egretfork.passthrough import packets


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to a process of the system by UDP."""

    peer: model.Endpoint
    message: messages.Message


class SendToCaller(msgspec.Struct, frozen=True):
    """Send a packet to the caller of a flow."""

    flow: packets.FlowKey
    data: bytes


class SendToTarget(msgspec.Struct, frozen=True):
    """Send a packet to the agent's own target."""

    data: bytes


class ProbeTarget(msgspec.Struct, frozen=True):
    """Find out whether anything listens at the target's address."""


class ObserveLatency(msgspec.Struct, frozen=True):
    """Count one duration."""

    kind: metrics.Latency
    duration: datetime.timedelta


Action = (
    SendMessage
    | SendToCaller
    | SendToTarget
    | ProbeTarget
    | ObserveLatency
    | actions.CountReason
    | actions.LogEvent
)
