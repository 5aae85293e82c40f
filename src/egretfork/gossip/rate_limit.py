"""Rate limit of the gossip traffic that a process sends."""

import collections
import datetime
import enum

from egretfork import actions
from egretfork.gossip import messages
from egretfork import model
from egretfork import wire

QUEUE_LENGTH = 512


class Priority(enum.IntEnum):
    """Send order of queued messages; lower values are sent first."""

    CONFIGURATION = 0
    RECORDS = 1
    EXCHANGE = 2


class TokenBucket:
    """Token bucket that also accounts for received bytes.

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

        The debt is limited to the capacity of the bucket, so that a flood of
        received datagrams does not block sending for longer than the time to
        refill the bucket.
        """
        self._tokens = max(-self._capacity, self._tokens - size)

    def take(self, size: int, reserve: int) -> bool:
        """Take tokens if at least ``reserve`` remain afterwards."""
        if self._tokens - size < reserve:
            return False
        self._tokens -= size
        return True


class SendQueue:
    """Priority queue of outgoing messages that obeys the rate limit."""

    def __init__(self, rate: int, capacity: int) -> None:
        self._bucket = TokenBucket(rate, capacity)
        # Tokens that only messages of priority CONFIGURATION may use.
        self._reserve = min(capacity // 4, 500)
        self._queues: tuple[
            collections.OrderedDict[tuple[model.Endpoint, wire.Message], int],
            ...,
        ] = tuple(collections.OrderedDict() for _ in Priority)

    @property
    def waiting(self) -> int:
        """Return the number of queued messages."""
        first, second, third = self._queues
        return len(first) + len(second) + len(third)

    def charge(self, size: int, now: datetime.timedelta) -> None:
        """Charge a received datagram to the token bucket."""
        self._bucket.refill(now)
        self._bucket.charge(size + messages.HEADER_BYTES)

    def put(
        self, priority: Priority, peer: model.Endpoint, message: wire.Message
    ) -> bool:
        """Queue a message; return whether there was room for it.

        A message that is already queued for the same peer is not added again.
        """
        queue = self._queues[priority]
        if len(queue) >= QUEUE_LENGTH:
            return False
        size = len(messages.encode(message)) + messages.HEADER_BYTES
        queue.setdefault((peer, message), size)
        return True

    def drain(self, now: datetime.timedelta) -> list[actions.SendMessage]:
        """Remove and return the messages that the rate limit allows now."""
        if not self.waiting:
            return []
        self._bucket.refill(now)
        sends: list[actions.SendMessage] = []
        for priority, queue in enumerate(self._queues):
            reserve = self._reserve if priority else 0
            while queue:
                key, size = next(iter(queue.items()))
                if not self._bucket.take(size, reserve):
                    return sends
                del queue[key]
                sends.append(actions.SendMessage(*key))
        return sends
