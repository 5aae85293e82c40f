"""Token bucket that limits what a node sends."""

import datetime


class TokenBucket:
    """Token bucket that received bytes are charged to as well.

    At most ``rate + capacity`` bytes are sent in any one second.
    """

    def __init__(self, rate: int, capacity: int) -> None:
        self._rate = rate
        self._capacity = capacity
        self._tokens = float(capacity)
        self._filled_at: datetime.timedelta | None = None

    def refill(self, now: datetime.timedelta) -> None:
        """Add the tokens for the time since the last call."""
        if self._filled_at is not None:
            seconds = (now - self._filled_at).total_seconds()
            self._tokens = min(
                self._capacity, self._tokens + seconds * self._rate
            )
        self._filled_at = now

    def charge(self, size: int) -> None:
        """Take tokens for bytes that cannot be held back.

        The debt is bounded, so that a flood of received datagrams does not
        silence the node for longer than the time to refill the bucket.
        """
        self._tokens = max(-self._capacity, self._tokens - size)

    def take(self, size: int, reserve: int) -> bool:
        """Take tokens if more than ``reserve`` remain afterwards."""
        if self._tokens - size < reserve:
            return False
        self._tokens -= size
        return True
