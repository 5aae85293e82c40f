"""Agents of a service watch each other by heartbeats."""

import datetime

from egretfork.gossip import messages
from egretfork import model

HEARTBEAT_PERIOD = datetime.timedelta(seconds=1)
SILENCE_LIMIT = datetime.timedelta(seconds=2)
OBSERVERS = 2


class Observers:
    """Which agents this one watches, and when it heard from them.

    The agents of a service form a ring in order of name; each sends
    heartbeats to the next two and watches the previous two.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._heard: dict[str, datetime.timedelta] = {}
        self._polled_at: datetime.timedelta | None = None

    def hear(self, agent: str, now: datetime.timedelta) -> None:
        """Note that an agent sent something."""
        if agent in self._heard:
            self._heard[agent] = now

    def list_receivers(
        self, visible: tuple[model.TargetAnnouncement, ...]
    ) -> list[model.Endpoint]:
        """Return where heartbeats go."""
        return [item.address for item in self._list_ring(visible)[:OBSERVERS]]

    def list_silent(
        self,
        visible: tuple[model.TargetAnnouncement, ...],
        now: datetime.timedelta,
    ) -> list[model.TargetAnnouncement]:
        """Return the watched agents that are silent for too long."""
        watched = self._list_ring(visible)[::-1][:OBSERVERS]
        self._heard = {
            item.agent: self._heard.get(item.agent, now) for item in watched
        }
        self._forgive_own_pause(now)
        return [
            item
            for item in watched
            if now - self._heard[item.agent] >= SILENCE_LIMIT
        ]

    def _forgive_own_pause(self, now: datetime.timedelta) -> None:
        # A process that was frozen did not hear anybody in that time.
        last, self._polled_at = self._polled_at, now
        if last is not None and now - last >= HEARTBEAT_PERIOD:
            self._heard = dict.fromkeys(self._heard, now)

    def _list_ring(
        self, visible: tuple[model.TargetAnnouncement, ...]
    ) -> list[model.TargetAnnouncement]:
        """Return the other agents, beginning after this one."""
        others = sorted(
            (item for item in visible if item.agent != self._name),
            key=lambda item: (item.agent < self._name, item.agent),
        )
        return others


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
