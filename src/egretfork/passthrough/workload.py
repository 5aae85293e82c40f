"""Workload of a target, averaged so that it can be announced.

Announcements are older than most requests, so the number of flows at one
moment says little about the moment at which they are used: entries would all
choose the target that happened to be idle. Averages over about a second change
slowly, and new flows count at once until the average contains them.
"""

import datetime

from egretfork.passthrough import decay

# Weight of a flow that the target resets, in newly opened flows.
TARGET_RESET_WEIGHT = 4.0
# Weight of a request that waits for its response, in open flows.
RUNNING_REQUEST_WEIGHT = 2.0


class Workload:
    """Workload of one target in open flows."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._opened = decay.DecayingCounter(now)
        self._flows = decay.SmoothedLevel(now)
        self._running = decay.SmoothedLevel(now)

    def record_opened(self, now: datetime.timedelta) -> None:
        """Record that a flow was opened."""
        self._opened.add(1, now)

    def record_reset(self, now: datetime.timedelta) -> None:
        """Record that the target reset a flow."""
        self._opened.add(TARGET_RESET_WEIGHT, now)

    def update(
        self, flows: int, running: int, now: datetime.timedelta
    ) -> None:
        """Include the current numbers of open flows and running requests."""
        self._flows.update(flows, now)
        self._running.update(running, now)

    def read_recent(self, now: datetime.timedelta) -> float:
        """Return the recently opened and reset flows."""
        return self._opened.read(now)

    def compute(self, now: datetime.timedelta) -> float:
        """Return the workload.

        A flow that stays open counts once: partly as recently opened and,
        increasingly, as a part of the average.
        """
        running = RUNNING_REQUEST_WEIGHT * self._running.average
        return self._opened.read(now) + self._flows.average + running
