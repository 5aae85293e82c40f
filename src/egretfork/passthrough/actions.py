"""Actions that the cores return to the I/O shells to execute."""

import datetime

import msgspec

from egretfork import actions
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import messages
from egretfork.passthrough import packets


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to an entry, agent or control process over UDP."""

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
    """Test whether anything listens at the target's address."""


class ObserveLatency(msgspec.Struct, frozen=True):
    """Record a duration in a latency metric."""

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
