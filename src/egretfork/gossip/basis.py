"""What the dissemination cores of nodes and agents share: their output."""

import datetime

from egretfork import actions
from egretfork.gossip import budget
from egretfork.gossip import events
from egretfork import model
from egretfork import reasons
from egretfork import wire


class Core:
    """Collects the actions of one event and keeps to the rate limit."""

    def __init__(self, rate_bytes_per_s: int, burst_bytes: int) -> None:
        self._outbox = budget.Outbox(rate_bytes_per_s, burst_bytes)
        self._actions: list[events.Action] = []

    def _send(
        self,
        priority: budget.Priority,
        peer: model.Endpoint,
        message: wire.Message,
    ) -> None:
        if not self._outbox.put(priority, peer, message):
            self._count(reasons.Drop.TABLE_FULL)

    def _count(self, reason: reasons.Reason) -> None:
        self._actions.append(actions.CountReason(reason))

    def _take_actions(self, now: datetime.timedelta) -> list[events.Action]:
        """Return what the event leads to, within the rate limit."""
        self._actions.extend(self._outbox.drain(now))
        taken, self._actions = self._actions, []
        return taken
