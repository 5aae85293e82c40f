"""Counter of recent events with exponential decay.

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
