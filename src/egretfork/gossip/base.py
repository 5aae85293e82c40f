"""Base class of the gossip cores of nodes and agents."""

import datetime

from egretfork import actions
from egretfork.gossip import events
from egretfork.gossip import rate_limit
from egretfork import model
from egretfork import reasons
from egretfork import wire


class CoreBase:
    """Collects the actions of one event and limits the rate of messages."""

    def __init__(self, rate_bytes_per_s: int, burst_bytes: int) -> None:
        self._send_queue = rate_limit.SendQueue(rate_bytes_per_s, burst_bytes)
        self._actions: list[events.Action] = []

    def _send(
        self,
        priority: rate_limit.Priority,
        peer: model.Endpoint,
        message: wire.Message,
    ) -> None:
        if not self._send_queue.put(priority, peer, message):
            self._count_reason(reasons.Drop.TABLE_FULL)

    def _count_reason(self, reason: reasons.Reason) -> None:
        self._actions.append(actions.CountReason(reason))

    def _take_actions(self, now: datetime.timedelta) -> list[events.Action]:
        """Return the collected actions and the messages that may be sent."""
        self._actions.extend(self._send_queue.drain(now))
        taken, self._actions = self._actions, []
        return taken
