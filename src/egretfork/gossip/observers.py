"""Agents of a service watch each other by heartbeats."""

import datetime

from egretfork.gossip import messages
from egretfork import model

HEARTBEAT_PERIOD = datetime.timedelta(seconds=1)
SILENCE_LIMIT = datetime.timedelta(seconds=2)
# One lost heartbeat must not make an agent suspect: it is asked when its
# heartbeat is late, and again until the limit.
ASK_DELAY = datetime.timedelta(milliseconds=1250)
ASK_PERIOD = datetime.timedelta(milliseconds=250)
OBSERVERS = 2


class Observers:
    """Which agents this one watches, and when it heard from them.

    The agents of a service form a ring in order of name; each sends
    heartbeats to the next two and watches the previous two.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._watched: list[model.TargetAnnouncement] = []
        self._heard: dict[str, datetime.timedelta] = {}
        self._asked_at = datetime.timedelta()
        self._polled_at: datetime.timedelta | None = None
        self.receivers: list[model.Endpoint] = []

    def watch(
        self,
        visible: tuple[model.TargetAnnouncement, ...],
        now: datetime.timedelta,
    ) -> None:
        """Take over the visible targets of the service."""
        ring = sorted(
            (item for item in visible if item.agent != self._name),
            key=lambda item: (item.agent < self._name, item.agent),
        )
        self.receivers = [item.address for item in ring[:OBSERVERS]]
        self._watched = ring[::-1][:OBSERVERS]
        self._heard = {
            item.agent: self._heard.get(item.agent, now)
            for item in self._watched
        }

    def hear(self, agent: str, now: datetime.timedelta) -> None:
        """Note that an agent sent something."""
        if agent in self._heard:
            self._heard[agent] = now

    def poll(self, now: datetime.timedelta) -> list[model.TargetAnnouncement]:
        """Return the watched agents that are silent for too long."""
        self._forgive_own_pause(now)
        return self._list_silent(SILENCE_LIMIT, now)

    def list_late(self, now: datetime.timedelta) -> list[model.Endpoint]:
        """Return the watched agents that are to be asked now."""
        if now - self._asked_at < ASK_PERIOD:
            return []
        late = self._list_silent(ASK_DELAY, now)
        if late:
            self._asked_at = now
        return [item.address for item in late]

    def _list_silent(
        self, limit: datetime.timedelta, now: datetime.timedelta
    ) -> list[model.TargetAnnouncement]:
        return [
            item
            for item in self._watched
            if now - self._heard[item.agent] >= limit
        ]

    def _forgive_own_pause(self, now: datetime.timedelta) -> None:
        # A process that was frozen did not hear anybody in that time.
        last, self._polled_at = self._polled_at, now
        if last is not None and now - last >= HEARTBEAT_PERIOD:
            self._heard = dict.fromkeys(self._heard, now)


def make_suspicion(
    announcement: model.TargetAnnouncement, observer: str
) -> messages.Suspicion:
    """Return the statement that an announced target is silent."""
    return messages.Suspicion(
        agent=announcement.agent,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        observer=observer,
    )
