"""Search of an agent for the agent whose target holds a flow.

All agents that an entry names are asked at once. One that restarted may not
know yet what its target holds; where no agent is sure, these try the packet
on their targets.
"""

import datetime

import msgspec

from egretfork import model
from egretfork.passthrough import messages

REPLY_LIMIT = datetime.timedelta(milliseconds=60)
# Further time for targets to return what they do not hold.
TRY_LIMIT = datetime.timedelta(milliseconds=60)
NO_TIME = datetime.timedelta()


class Search(msgspec.Struct):
    """One search in progress.

    Attributes:
        entry: entry that wants to know.
        number: the entry's number of the question.
        services: services that may hold the flow; empty if any may.
        unanswered: agents that have not replied.
        packet: a packet of the flow.
        unsure: agents whose targets may hold the flow.
        tried: the unsure agents have the packet.
    """

    entry: model.Endpoint
    number: int
    services: tuple[str, ...]
    started_at: datetime.timedelta
    unanswered: set[model.Endpoint]
    packet: bytes
    unsure: set[model.Endpoint] = msgspec.field(default_factory=set)
    tried: bool = False

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
        """Note that the target of an agent returned the packet."""
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
