"""Counter and average with exponential decay.

A target that rejects or resets flows immediately has few open flows. Judged
by open flows alone it would look idle and receive most of the new ones, so
recent flows are counted as load as well.
"""

import datetime
import math

DECAY_TIME = datetime.timedelta(seconds=1)


class DecayingCounter:
    """Sum of event weights, each of which decays exponentially."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._value = 0.0
        self._updated_at = now

    def add(self, weight: float, now: datetime.timedelta) -> None:
        """Add an event."""
        self._value = self.read(now) + weight
        self._updated_at = now

    def read(self, now: datetime.timedelta) -> float:
        """Return the decayed sum at a given time."""
        age = (now - self._updated_at) / DECAY_TIME
        return self._value * math.exp(-age)


class SmoothedLevel:
    """Average of a level that changes, with exponentially decaying weights.

    The level at a moment says little about a target whose flows end within
    milliseconds; nodes that all choose the lowest one would all choose the
    same target.
    """

    def __init__(self, now: datetime.timedelta) -> None:
        self.average = 0.0
        self._updated_at = now

    def update(self, level: float, now: datetime.timedelta) -> None:
        """Include the current level in the average."""
        age = (now - self._updated_at) / DECAY_TIME
        self.average += (level - self.average) * (1 - math.exp(-age))
        self._updated_at = now
