"""Actions that the cores of passed-through flows return to their shells."""

import dataclasses
import datetime

from egretfork import actions
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import messages
from egretfork.passthrough import packets


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a process of the system by UDP."""

    peer: model.Endpoint
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send a packet to the caller of a flow."""

    flow: packets.FlowKey
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendToTarget:
    """Send a packet to the agent's own target."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveLatency:
    """Count one duration."""

    kind: metrics.Latency
    duration: datetime.timedelta


Action = (
    SendMessage
    | SendToCaller
    | SendToTarget
    | ObserveLatency
    | actions.CountReason
    | actions.LogEvent
)
