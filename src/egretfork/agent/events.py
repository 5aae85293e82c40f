"""Events and actions of the agent core and its components."""

import dataclasses
import datetime

from egretfork import actions
from egretfork import model
from egretfork import nodeevents
from egretfork import wire

MessageReceived = nodeevents.MessageReceived
ConfigurationChanged = nodeevents.ConfigurationChanged
AnnouncementsChanged = nodeevents.AnnouncementsChanged


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Timer event that the shell sends every 20 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDatagram:
    """A CoAP datagram received from the VM of the target."""

    source: model.Endpoint
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """Request to drain the target.

    The agent accepts no new work and transfers its flows to other agents.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Request to drain, finish the work in progress and exit."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitRequest:
    """A new request of a caller, sent by the flows to the request engine.

    Duplicates of a request message never reach the request engine.
    ``request_id`` of the body is unique within this agent's incarnation;
    ``payload`` is the caller's CoAP message.
    """

    body: wire.RequestBody


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancellation by the caller, sent to the request engine."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFinished:
    """Outcome of a submitted request, sent by the request engine.

    Attributes:
        request_id: ID of the submitted request.
        kind: answered, refused (guaranteed not to have run) or unknown.
        payload: the target's CoAP response if answered, otherwise empty.
        reason: value of ``reasons.Refusal`` or ``reasons.UnknownOutcome``.
    """

    request_id: int
    kind: wire.WorkResultKind
    payload: bytes
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Command of the request engine to run a request on the target.

    ``run_id`` is unique within this agent's incarnation.
    """

    run_id: int
    payload: bytes
    deadline: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Command of the request engine to cancel a run."""

    run_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """Result of a run, sent to the request engine.

    Attributes:
        run_id: ID of the run in ``StartRun``.
        kind: answered; refused if the request could not be sent or the target
            answered 5.03 or 4.29, which states that it was not run; unknown
            after a timeout, a cancellation, a reset or the loss of the target.
        payload: the target's CoAP response, empty if there is none.
        reason: value of ``reasons.Refusal`` or ``reasons.UnknownOutcome``; if
            empty, the request engine chooses a default for the kind.
    """

    run_id: int
    kind: wire.WorkResultKind
    payload: bytes
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """Result of a health probe.

    Attributes:
        healthy: whether the probe was answered with 2.05.
        draining: the target reports that it is shutting down.
        shedding: the target reports overload and asks for less work.
        slots_used: requests in progress as reported by the target, ``None``
            if it reports none.
    """

    healthy: bool
    draining: bool
    shedding: bool
    slots_used: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Publish a new state of the target to the other nodes."""

    state: model.TargetState
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartObservation:
    """Command to register an observation on the target (RFC 7641).

    ``observation_id`` is unique within this agent's incarnation;
    ``payload`` is the caller's registration request.
    """

    observation_id: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StopObservation:
    """Command to deregister an observation on the target."""

    observation_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObservationUpdate:
    """A notification of the target or the end of an observation.

    Attributes:
        observation_id: ID of the observation in ``StartObservation``.
        payload: the target's CoAP response, empty if there is none.
        ended: the target rejected or ended the observation.
        reason: value of ``reasons.UnknownOutcome`` if there is no response.
    """

    observation_id: int
    payload: bytes
    ended: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrationChanged:
    """The target registered, deregistered or let its registration expire.

    Attributes:
        registered: the target holds a registration.
        restarted: the target may have lost its observations.
    """

    registered: bool
    restarted: bool


Event = (
    Tick
    | MessageReceived
    | TargetDatagram
    | ConfigurationChanged
    | AnnouncementsChanged
    | DrainRequested
    | StopRequested
    | SubmitRequest
    | CancelRequest
    | RunEnded
    | TargetReport
    | RequestFinished
    | ObservationUpdate
    | RegistrationChanged
)

Action = (
    actions.SendMessage
    | actions.SendToTarget
    | actions.CountReason
    | actions.LogEvent
    | SubmitRequest
    | CancelRequest
    | RequestFinished
    | StartRun
    | CancelRun
    | StartObservation
    | StopObservation
    | Announce
)

# Components of the agent exchange both: an action of one component can be
# an event for another.
Signal = Event | Action
