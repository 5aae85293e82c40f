"""Base classes of the cores: current time and collected actions."""

import datetime

from egretfork import actions as common
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork import reasons


class Core:
    """Collects the actions that result from one event."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._now = now
        self._actions: list[actions.Action] = []

    def _begin(self, now: datetime.timedelta) -> None:
        self._now = now
        self._actions = []

    def _send(self, peer: model.Endpoint, message: messages.Message) -> None:
        self._actions.append(actions.SendMessage(peer, message))

    def _count(self, reason: reasons.Reason) -> None:
        self._actions.append(common.CountReason(reason))

    def _log(self, event: str, flow: packets.FlowKey, detail: str) -> None:
        self._log_event(event, "forward", str(flow), detail)

    def _log_event(
        self, event: str, step: str, peer: str, detail: str
    ) -> None:
        self._actions.append(common.LogEvent(event, step, peer, detail))


class FlowCore(Core):
    """Core that decodes packets of flows and can reset flows."""

    def __init__(self, codec: packets.Codec, now: datetime.timedelta) -> None:
        super().__init__(now)
        self._codec = codec

    def _send_reset(self, flow: packets.FlowKey, acknowledged: int) -> None:
        """Send a reset to the caller of a flow that no longer exists."""
        data = self._codec.build_reset(flow, acknowledged)
        self._actions.append(actions.SendToCaller(flow, data))
