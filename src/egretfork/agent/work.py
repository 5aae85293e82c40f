"""State of a request in the engine."""

import dataclasses
import datetime
import enum

from egretfork import model
from egretfork import wire


class Stage(enum.Enum):
    """Processing stage of a request."""

    WAITING = "waiting"
    HANDED_OVER = "handed"
    REMOTE = "remote"
    GRANTING = "granting"
    RUNNING = "running"
    JOINED = "joined"
    RESOLVING = "settling"
    ENDED = "ended"


@dataclasses.dataclass(slots=True, eq=False)
class WorkItem:
    """A request for which this agent is responsible.

    Attributes:
        work_id: identifies the request in messages between agents.
        body: request as received.
        deadline: time after which the outcome is of no use.
        from_peer: whether a peer handed the request over and gets its outcome.
        accepted_at: time at which this agent received the request.
        executor: peer to which the request is handed over.
        executor_identity: identity of that peer at the time of the handover.
        pull_id: pull that the latest handover answered.
        run_id: identifier of the run in progress, 0 if there is none.
        send_count: messages sent so far in the current handover or
            cancellation.
        cancelled: whether the caller has cancelled the request.
        granted: whether this agent holds the grant to run the request.
        possible_executors: peers that may have run the request or may still
            run it.
        may_have_run: whether a run may have taken place, apart from those at
            ``possible_executors``.
        excluded_agents: agents that failed, refused or did not accept the
            request, and that do not get it again.
    """

    work_id: int
    body: wire.RequestBody
    deadline: datetime.timedelta
    from_peer: bool
    accepted_at: datetime.timedelta
    stage: Stage = Stage.WAITING
    executor: model.Endpoint | None = None
    executor_identity: model.AgentIdentity | None = None
    pull_id: int = 0
    run_id: int = 0
    send_count: int = 0
    cancelled: bool = False
    granted: bool = False
    possible_executors: frozenset[model.Endpoint] = frozenset()
    may_have_run: bool = False
    excluded_agents: frozenset[model.Endpoint] = frozenset()

    @property
    def certainly_not_run(self) -> bool:
        """Return whether no target has run or will run the request."""
        return not (self.may_have_run or self.possible_executors)

    @property
    def is_movable(self) -> bool:
        """Return whether the request may be handed over to a peer."""
        return not (self.from_peer or self.granted)
