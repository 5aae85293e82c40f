"""Identity, timers and output shared by the parts of the engine."""

import collections
import datetime
import heapq
import itertools
import random
import typing

import xxhash

from egretfork import actions
from egretfork.agent import events
from egretfork import model
from egretfork import reasons
from egretfork import wire

MILLISECOND = datetime.timedelta(milliseconds=1)
ID_BITS = 62


def to_ms(span: datetime.timedelta) -> int:
    """Convert a duration to whole milliseconds, rounded down."""
    return span // MILLISECOND


class Timers:
    """Callbacks ordered by due time.

    Callbacks cannot be cancelled, so each checks whether it still applies.
    """

    def __init__(self) -> None:
        self._heap: list[
            tuple[
                datetime.timedelta,
                int,
                typing.Callable[[datetime.timedelta], None],
            ]
        ] = []
        self._order = itertools.count()

    def schedule(
        self,
        due: datetime.timedelta,
        callback: typing.Callable[[datetime.timedelta], None],
    ) -> None:
        """Call back with the current time once ``due`` is reached."""
        heapq.heappush(self._heap, (due, next(self._order), callback))

    def run_due(self, now: datetime.timedelta) -> None:
        """Run all due callbacks, including ones scheduled meanwhile."""
        while self._heap and self._heap[0][0] <= now:
            _, _, callback = heapq.heappop(self._heap)
            callback(now)


class Context:
    """Identity of the agent, and the output of the current event.

    Args:
        service: name of the service.
        identity: name and incarnation of the agent.
        address: UDP address of the agent.
        generator: random number generator.
        wall_clock_zero_ms: Unix time, in milliseconds, of monotonic time zero.
    """

    def __init__(
        self,
        service: str,
        identity: model.AgentIdentity,
        address: model.Endpoint,
        generator: random.Random,
        wall_clock_zero_ms: int,
    ) -> None:
        self.service = service
        self.identity = identity
        self.address = address
        self.generator = generator
        self.timers = Timers()
        self.outbox: list[events.Action] = []
        self.loopback: collections.deque[wire.Message] = collections.deque()
        self._wall_clock_zero_ms = wall_clock_zero_ms
        # Identifiers of two incarnations must not overlap, since messages of
        # an earlier one may still arrive at the same address.
        seed = f"{service}/{identity.name}/{identity.incarnation}"
        self._ids = itertools.count(
            xxhash.xxh3_64_intdigest(seed.encode()) >> 2
        )

    def next_id(self) -> int:
        """Return an identifier that no other incarnation uses."""
        return next(self._ids) % (1 << ID_BITS)

    def send(self, peer: model.Endpoint, message: wire.Message) -> None:
        """Send a message, without the network if it is to this agent."""
        if peer == self.address:
            self.loopback.append(message)
            return
        self.outbox.append(actions.SendMessage(peer, message))

    def count(self, reason: reasons.Reason) -> None:
        """Count one occurrence of a reason."""
        self.outbox.append(actions.CountReason(reason))

    def log(
        self, event: str, step: str, peer: str = "", detail: str = ""
    ) -> None:
        """Write a structured log record."""
        self.outbox.append(actions.LogEvent(event, step, peer, detail))

    def read_wall_clock_ms(self, now: datetime.timedelta) -> int:
        """Return the Unix time in milliseconds at a monotonic time."""
        return self._wall_clock_zero_ms + to_ms(now)

    def drain_outbox(self) -> list[events.Action]:
        """Return and clear the actions of the current event."""
        drained = self.outbox
        self.outbox = []
        return drained
