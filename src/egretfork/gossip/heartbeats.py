"""Failure detection among the agents of a service by heartbeats."""

import datetime

from egretfork.gossip import messages
from egretfork import model

HEARTBEAT_PERIOD = datetime.timedelta(seconds=1)
SILENCE_LIMIT = datetime.timedelta(seconds=2)
# One lost heartbeat must not make an agent suspect: an agent whose heartbeat
# is late is probed repeatedly until SILENCE_LIMIT.
PROBE_DELAY = datetime.timedelta(milliseconds=1250)
PROBE_INTERVAL = datetime.timedelta(milliseconds=250)
OBSERVERS_PER_AGENT = 2


class HeartbeatMonitor:
    """Monitors the heartbeats of other agents.

    The agents of a service form a ring in order of name. Each sends
    heartbeats to the next two and monitors the previous two.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._watched: list[model.TargetAnnouncement] = []
        self._last_activity: dict[str, datetime.timedelta] = {}
        self._probed_at = datetime.timedelta()
        self._polled_at: datetime.timedelta | None = None
        self.receivers: list[model.Endpoint] = []

    def watch(
        self,
        visible: tuple[model.TargetAnnouncement, ...],
        now: datetime.timedelta,
    ) -> None:
        """Update the ring from the visible targets of the service."""
        ring = sorted(
            (item for item in visible if item.agent != self._name),
            key=lambda item: (item.agent < self._name, item.agent),
        )
        self.receivers = [item.address for item in ring[:OBSERVERS_PER_AGENT]]
        self._watched = ring[::-1][:OBSERVERS_PER_AGENT]
        self._last_activity = {
            item.agent: self._last_activity.get(item.agent, now)
            for item in self._watched
        }

    def record_activity(self, agent: str, now: datetime.timedelta) -> None:
        """Record that a message arrived from an agent."""
        if agent in self._last_activity:
            self._last_activity[agent] = now

    def poll(self, now: datetime.timedelta) -> list[model.TargetAnnouncement]:
        """Return the watched agents that exceeded ``SILENCE_LIMIT``."""
        self._reset_after_pause(now)
        return self._list_silent(SILENCE_LIMIT, now)

    def list_due_probes(self, now: datetime.timedelta) -> list[model.Endpoint]:
        """Return the addresses of the agents to probe now."""
        if now - self._probed_at < PROBE_INTERVAL:
            return []
        late = self._list_silent(PROBE_DELAY, now)
        if late:
            self._probed_at = now
        return [item.address for item in late]

    def _list_silent(
        self, limit: datetime.timedelta, now: datetime.timedelta
    ) -> list[model.TargetAnnouncement]:
        return [
            item
            for item in self._watched
            if now - self._last_activity[item.agent] >= limit
        ]

    def _reset_after_pause(self, now: datetime.timedelta) -> None:
        # A paused process receives nothing, so the time does not count as
        # silence of the others.
        last, self._polled_at = self._polled_at, now
        if last is not None and now - last >= HEARTBEAT_PERIOD:
            self._last_activity = dict.fromkeys(self._last_activity, now)


def make_suspicion(
    announcement: model.TargetAnnouncement, observer: str
) -> messages.Suspicion:
    """Return an observer's suspicion of an announced target."""
    return messages.Suspicion(
        agent=announcement.agent,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
        observer=observer,
    )
