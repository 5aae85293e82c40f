"""One request on its way through the engine."""

import dataclasses
import datetime
import enum

from egretfork import model
from egretfork import wire


class Stage(enum.Enum):
    """Where a request is."""

    WAITING = "waiting"
    HANDED = "handed"
    REMOTE = "remote"
    GRANTING = "granting"
    RUNNING = "running"
    JOINED = "joined"
    SETTLING = "settling"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """A request that this agent has in its charge.

    Attributes:
        number: identifies the request between agents.
        body: the request as received.
        deadline: instant at which the outcome is no longer of use.
        foreign: taken over from a peer, which gets the outcome.
        arrived: instant at which this agent took charge.
        executor: peer to which the request was handed.
        executor_life: the peer's identity at that time.
        pull_id: pull that the latest handover answers.
        run_id: run in progress, 0 if there is none.
        sent: messages of the current step sent so far.
        cancelled: the caller no longer wants the outcome.
        granted: this agent holds the grant to run the request.
        in_doubt: peers that may still run the request or have run it.
        ran: the own target may have run the request.
        tried: agents whose target has failed or refused the request.
    """

    number: int
    body: wire.RequestBody
    deadline: datetime.timedelta
    foreign: bool
    arrived: datetime.timedelta
    stage: Stage = Stage.WAITING
    executor: model.Endpoint | None = None
    executor_life: model.AgentIdentity | None = None
    pull_id: int = 0
    run_id: int = 0
    sent: int = 0
    cancelled: bool = False
    granted: bool = False
    in_doubt: frozenset[model.Endpoint] = frozenset()
    ran: bool = False
    tried: frozenset[model.Endpoint] = frozenset()

    @property
    def surely_not_run(self) -> bool:
        """Return whether no target has run it and none will."""
        return not (self.ran or self.in_doubt)

    @property
    def movable(self) -> bool:
        """Return whether another agent may run it."""
        return not (self.foreign or self.granted)
