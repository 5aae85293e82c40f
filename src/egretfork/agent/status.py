"""State of one agent that its parts share."""

import dataclasses

from egretfork.agent import recent_entries
from egretfork import model


@dataclasses.dataclass(slots=True)
class AgentStatus:
    """Identity of the agent and what currently holds for it.

    Attributes:
        identity: name and incarnation of this agent.
        address: UDP address at which entries and peers reach it.
        service_name: service of the target beside it.
        availability_zone: where the agent is.
        weight: relative share of new flows.
        service: declaration in force, ``None`` before the first
            configuration or when the service is not declared.
        version: configuration version in force, 0 for none.
        permitted: the declaration allows this target to serve.
        draining: the target takes no new work and its flows move away.
        stopping: the agent itself is about to exit.
        shedding: the target asks for less work.
        ready: the target has registered and answers its probes.
        entries: entries that delivered datagrams lately.
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
        """Tell whether flows must move to other agents."""
        return self.draining or self.stopping or not self.permitted
