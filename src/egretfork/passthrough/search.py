"""Search for the agent whose target holds a flow that an entry has no
hint for.

Answers a change of the set of entries, after which most flows arrive at
an entry that has not seen them. All agents of the flow's services are
asked at once; packets wait meanwhile. An agent that restarted may not know
yet what its target holds; where no agent is sure, these try their targets.
"""

import collections.abc
import datetime

import msgspec

from egretfork import model
from egretfork.passthrough import messages

LOCATE_LIMIT = datetime.timedelta(milliseconds=60)
# How long a search waits for the budget.
DELAY_LIMIT = datetime.timedelta(seconds=1)
REPLY_LIMIT = datetime.timedelta(milliseconds=60)
# Further time for targets to return what they do not hold.
TRY_LIMIT = datetime.timedelta(milliseconds=60)
NO_TIME = datetime.timedelta()
# How long the result that nobody holds a flow stands.
RESULT_LIMIT = datetime.timedelta(milliseconds=180)
# How long it makes the next search a wide one.
MEMORY_LIMIT = datetime.timedelta(seconds=2)
MAX_WAITING = 32


class Search(msgspec.Struct):
    """One search in progress or just concluded.

    Attributes:
        services: services that may hold the flow; empty if any may.
        without: agents that are known not to hold it.
        locating: agents that have not said yet what is registered.
        delayed: the agents are to be asked when the budget allows.
        unanswered: agents that have not replied.
        acknowledged: number that the caller expects next.
        unsure: agents whose targets may hold the flow.
        waiting: packets that arrived meanwhile.
        tried: the unsure agents have the packets.
        concluded: nobody is known to hold the flow.
    """

    services: tuple[str, ...]
    started_at: datetime.timedelta
    unanswered: set[model.Endpoint]
    acknowledged: int
    without: frozenset[model.Endpoint] = frozenset()
    locating: set[model.Endpoint] = msgspec.field(default_factory=set)
    delayed: bool = False
    tried: bool = False
    unsure: set[model.Endpoint] = msgspec.field(default_factory=set)
    waiting: list[bytes] = msgspec.field(default_factory=list)
    concluded: bool = False

    def add_packet(self, data: bytes) -> bool:
        """Let a packet wait; return whether there was room."""
        if len(self.waiting) >= MAX_WAITING:
            return False
        self.waiting.append(data)
        return True

    @property
    def asking(self) -> bool:
        """Return whether agents have been asked whether they hold it."""
        return not (self.locating or self.delayed)

    def note_unregistered(self, agent: model.Endpoint) -> bool:
        """Note that an agent knows no holder; return whether none does."""
        if agent not in self.locating:
            return False
        self.locating.discard(agent)
        return not self.locating

    def is_locating_late(self, now: datetime.timedelta) -> bool:
        """Return whether the registry has had its time to answer."""
        return bool(self.locating) and now - self.started_at >= LOCATE_LIMIT

    def is_delayed_long(self, now: datetime.timedelta) -> bool:
        """Return whether the budget left the search no room."""
        return self.delayed and now - self.started_at >= DELAY_LIMIT

    def ask(self, asked: set[model.Endpoint], now: datetime.timedelta) -> None:
        """Wait for the replies of agents."""
        self.locating.clear()
        self.delayed = False
        self.unanswered = asked
        self.started_at = now

    def widen(
        self, others: set[model.Endpoint], now: datetime.timedelta
    ) -> None:
        """Go on with the agents of all other services."""
        self.services = ()
        self.started_at = now
        self.unanswered = others
        self.tried = False
        self.concluded = not others

    def note_reply(
        self, agent: model.Endpoint, holding: messages.Holding
    ) -> None:
        """Take an agent's answer that is not a yes."""
        if agent not in self.unanswered:
            return
        self.unanswered.discard(agent)
        if holding is messages.Holding.UNSURE:
            self.unsure.add(agent)

    def note_not_held(self, agent: model.Endpoint) -> None:
        """Note that the target of an agent returned the packets."""
        self.unsure.discard(agent)

    def is_held_nowhere(self) -> bool:
        """Return whether every agent asked surely does not hold the flow."""
        return not self.unanswered and not self.unsure

    def is_complete(self, now: datetime.timedelta) -> bool:
        """Return whether no further reply is waited for."""
        limit = REPLY_LIMIT + (TRY_LIMIT if self.tried else NO_TIME)
        late = now - self.started_at >= limit
        replied = not self.unanswered and not (self.tried and self.unsure)
        return replied or late

    def is_over(self, now: datetime.timedelta) -> bool:
        """Return whether a further packet begins another search."""
        return self.concluded and now - self.started_at >= RESULT_LIMIT

    def is_forgotten(self, now: datetime.timedelta) -> bool:
        """Return whether a further packet begins a first search."""
        return self.concluded and now - self.started_at >= MEMORY_LIMIT

    def take_waiting(self) -> collections.abc.Iterator[bytes]:
        """Return the packets that waited, and hold none any longer."""
        taken, self.waiting = self.waiting, []
        return iter(taken)
