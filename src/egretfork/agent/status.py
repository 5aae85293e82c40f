"""State shared by the components of an agent."""

import dataclasses

from egretfork.agent import recent_entries
from egretfork import model


@dataclasses.dataclass(slots=True)
class AgentStatus:
    """Identity and current state of an agent.

    Attributes:
        identity: name and incarnation of this agent.
        address: UDP address at which entries and peers reach it.
        service_name: service of the target.
        availability_zone: availability zone of the agent.
        weight: relative share of new flows.
        service: current service declaration, ``None`` before the first
            configuration or if the service is not declared.
        version: version of the current configuration, 0 if there is none.
        permitted: the service declaration admits this target.
        draining: the target accepts no new work, and its flows are
            transferred.
        stopping: the agent is shutting down.
        shedding: the target reports overload and asks for less work.
        ready: the target is configured or registered, and answers probes.
        entries: entries that recently delivered datagrams.
    """

    identity: model.AgentIdentity
    address: model.Endpoint
    service_name: str
    availability_zone: str = ""
    weight: float = 1.0
    service: model.Service | None = None
    version: int = 0
    permitted: bool = True
    draining: bool = False
    stopping: bool = False
    shedding: bool = False
    ready: bool = True
    entries: recent_entries.RecentEntries = dataclasses.field(
        default_factory=recent_entries.RecentEntries
    )

    @property
    def is_leaving(self) -> bool:
        """Return whether the flows must be transferred to other agents."""
        return self.draining or self.stopping or not self.permitted
