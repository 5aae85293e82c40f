"""Offers of a new flow to agents in turn.

Answers targets that are taken at the moment although their announced load is
low. An agent whose target would let the flow wait for longer than the offer
permits declines it, so that a free target is found within a few offers; if
there is none, the flow waits at the agent with the shortest wait.
"""

import datetime

import msgspec

from egretfork import model
from egretfork.passthrough import messages

# Acceptable wait for a slot at each agent in turn. An offer to another agent
# takes 1 to 10 ms.
ACCEPTABLE_WAITS_MS = (5, 10, 30)
# A flow is refused only within this time of its first packet. Callers send a
# copy after 200 ms, which another entry may use to open the flow.
REFUSAL_LIMIT = datetime.timedelta(milliseconds=180)
# Limit on the agents that are offered one flow, including those that declined
# for another reason than a wait.
MAX_OFFERS = 6


class Offers(msgspec.Struct):
    """Agents that were offered one flow.

    Attributes:
        began_at: time at which the entry received the flow's first packet.
        is_first_copy: the caller had not sent that packet before.
        agents: in the order in which they were offered the flow.
        busy_count: number of agents that declined because of the wait.
        shortest_wait_ms: shortest wait among those agents.
        shortest: the agent with the shortest wait.
        forced: an agent was told to let the flow wait.
        waiting: the newest agent has confirmed that the flow waits there.
    """

    began_at: datetime.timedelta = datetime.timedelta()
    is_first_copy: bool = False
    agents: list[model.Endpoint] = msgspec.field(default_factory=list)
    busy_count: int = 0
    shortest_wait_ms: int = 0
    shortest: model.Endpoint | None = None
    forced: bool = False
    waiting: bool = False

    def get_acceptable_wait_ms(self) -> int:
        """Return the acceptable wait at the newest agent, in ms."""
        index = min(self.busy_count, len(ACCEPTABLE_WAITS_MS) - 1)
        return ACCEPTABLE_WAITS_MS[index]

    def record_decline(
        self, agent: model.Endpoint, message: messages.FlowDeclined
    ) -> None:
        """Record that an agent declined the flow."""
        self.waiting = False
        if message.reason is not messages.DeclineReason.TARGET_BUSY:
            return
        self.busy_count += 1
        if self.shortest is None or message.wait_ms < self.shortest_wait_ms:
            self.shortest = agent
            self.shortest_wait_ms = message.wait_ms

    def may_offer(self) -> bool:
        """Return whether to offer the flow to another agent."""
        few_busy = self.busy_count < len(ACCEPTABLE_WAITS_MS)
        return few_busy and not self.forced and len(self.agents) < MAX_OFFERS

    def may_refuse(self, now: datetime.timedelta) -> bool:
        """Return whether no other entry can have opened the flow."""
        return self.is_first_copy and now - self.began_at < REFUSAL_LIMIT

    def take_shortest(self) -> model.Endpoint | None:
        """Return the agent at which to let the flow wait, if not yet tried."""
        if self.forced:
            return None
        self.forced = self.shortest is not None
        return self.shortest


class Hint(msgspec.Struct):
    """Cached location of a flow.

    Attributes:
        agent: address of the agent.
        confirmed: the agent reported that its target holds the flow.
        offers: agents that were offered the flow.
    """

    service: str
    agent: model.Endpoint
    confirmed: bool
    used_at: datetime.timedelta
    offers: Offers = msgspec.field(default_factory=Offers)
