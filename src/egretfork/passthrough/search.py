"""State of an agent's search for the holder of a flow.

All candidates that an entry names are queried at once. An agent that has
restarted may not know yet which flows its target holds and replies that it is
unsure. If no agent holds the flow for certain, the packet is sent to the
unsure agents as a trial.
"""

import datetime

import msgspec

from egretfork import model
from egretfork.passthrough import messages

REPLY_TIMEOUT = datetime.timedelta(milliseconds=60)
# Additional time for targets to return packets of flows they do not hold.
TRIAL_TIMEOUT = datetime.timedelta(milliseconds=60)
NO_DURATION = datetime.timedelta()


class Search(msgspec.Struct):
    """A search in progress.

    Attributes:
        entry: entry that requested the search.
        number: number of the entry's request.
        services: services that may hold the flow; empty if any may.
        unanswered: agents that have not replied.
        packet: a packet of the flow.
        unsure: agents that do not know whether their target holds the flow.
        skipped: such agents whose target is of another service.
        trial_sent: the packet was sent to the unsure agents.
    """

    entry: model.Endpoint
    number: int
    services: tuple[str, ...]
    started_at: datetime.timedelta
    unanswered: set[model.Endpoint]
    packet: bytes
    unsure: set[model.Endpoint] = msgspec.field(default_factory=set)
    skipped: set[model.Endpoint] = msgspec.field(default_factory=set)
    trial_sent: bool = False

    def record_reply(
        self, agent: model.Endpoint, holding: messages.Holding
    ) -> None:
        """Record a reply other than ``Holding.YES``."""
        if agent not in self.unanswered:
            return
        self.unanswered.discard(agent)
        if holding is messages.Holding.UNSURE:
            self.unsure.add(agent)
        elif holding is messages.Holding.OTHER_SERVICE:
            self.skipped.add(agent)

    def record_not_held(self, agent: model.Endpoint) -> None:
        """Record that the target of an agent returned the packet."""
        self.unsure.discard(agent)

    def list_unresolved(self) -> list[model.Endpoint]:
        """Return the agents that did not answer or are unsure."""
        return sorted(self.unanswered | self.unsure)

    def is_complete(self, now: datetime.timedelta) -> bool:
        """Return whether all replies have arrived or have timed out."""
        limit = REPLY_TIMEOUT + (
            TRIAL_TIMEOUT if self.trial_sent else NO_DURATION
        )
        timed_out = now - self.started_at >= limit
        replied = not self.unanswered and not (self.trial_sent and self.unsure)
        return replied or timed_out
