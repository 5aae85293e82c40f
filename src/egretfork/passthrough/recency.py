"""Count of recent events that fades with time.

Answers a target that rejects or breaks off at once what it is given: its
flows close early, so that by open flows alone it would look idle and draw
ever more of them.
"""

import datetime
import math

FADE_TIME = datetime.timedelta(seconds=1)


class FadingCount:
    """Sum of weights, each of which fades exponentially."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._value = 0.0
        self._updated_at = now

    def add(self, weight: float, now: datetime.timedelta) -> None:
        """Add an event."""
        self._value = self.read(now) + weight
        self._updated_at = now

    def read(self, now: datetime.timedelta) -> float:
        """Return the count at an instant."""
        age = (now - self._updated_at) / FADE_TIME
        return self._value * math.exp(-age)
