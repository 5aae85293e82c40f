"""Rate limit of a node's control traffic."""

import collections
import datetime
import enum

from egretfork import actions
from egretfork import bucket
from egretfork.gossip import messages
from egretfork import model
from egretfork import wire

QUEUE_LENGTH = 512


class Priority(enum.IntEnum):
    """Which messages go first when the budget is short."""

    CONFIGURATION = 0
    RECORDS = 1
    EXCHANGE = 2


class Outbox:
    """Messages that wait for the budget, the most important first."""

    def __init__(self, rate: int, capacity: int) -> None:
        self._bucket = bucket.TokenBucket(rate, capacity)
        # Part of the bucket that only configuration may use.
        self._reserve = min(capacity // 4, 500)
        self._queues: tuple[
            collections.OrderedDict[tuple[model.Endpoint, wire.Message], int],
            ...,
        ] = tuple(collections.OrderedDict() for _ in Priority)

    @property
    def waiting(self) -> int:
        """Return the number of messages that wait."""
        first, second, third = self._queues
        return len(first) + len(second) + len(third)

    def charge(self, size: int, now: datetime.timedelta) -> None:
        """Charge a received datagram."""
        self._bucket.refill(now)
        self._bucket.charge(size + messages.HEADER_BYTES)

    def put(
        self, priority: Priority, peer: model.Endpoint, message: wire.Message
    ) -> bool:
        """Queue a message; return whether there was room for it.

        A message that already waits for the same peer is not repeated.
        """
        queue = self._queues[priority]
        if len(queue) >= QUEUE_LENGTH:
            return False
        size = len(messages.encode(message)) + messages.HEADER_BYTES
        queue.setdefault((peer, message), size)
        return True

    def drain(self, now: datetime.timedelta) -> list[actions.SendMessage]:
        """Return the messages that the budget allows now."""
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
