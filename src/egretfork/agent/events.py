"""Events into and actions out of the agent core and its parts."""

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
    """Time has passed; sent by the shell every 20 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDatagram:
    """A CoAP datagram from the agent's own target."""

    source: model.Endpoint
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """The target is to leave: no new work, flows move to others."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The agent is to exit: drain, and finish what is in progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitRequest:
    """From flows to requests: a caller's request, seen for the first time.

    ``request_id`` of the body is unique within this agent's incarnation;
    ``payload`` is the caller's CoAP message.
    """

    body: wire.RequestBody


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """From flows to requests: the caller no longer wants an answer."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFinished:
    """From requests to flows: the outcome of a submitted request.

    Attributes:
        request_id: as submitted.
        kind: answered, refused (surely not run) or unknown.
        payload: the target's CoAP response if answered, else empty.
        reason: value of ``reasons.Refusal`` or ``reasons.UnknownOutcome``.
    """

    request_id: int
    kind: wire.WorkResultKind
    payload: bytes
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """From requests to the target exchange: run this request now.

    ``run_id`` is unique within this agent's incarnation.
    """

    run_id: int
    payload: bytes
    deadline: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """From requests to the target exchange: cancel a run."""

    run_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """From the target exchange to requests: how a run ended.

    Attributes:
        run_id: as started.
        kind: answered; refused if the target answered 5.03 or 4.29, which
            states that it did not run; unknown after a timeout, a reset or
            the loss of the target.
        payload: the target's CoAP response, empty if there is none.
        reason: value of ``reasons.UnknownOutcome`` if unknown.
    """

    run_id: int
    kind: wire.WorkResultKind
    payload: bytes
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """From the target exchange to requests: a probe's result.

    Attributes:
        healthy: whether the probe was answered with 2.05.
        draining: the target says that it is leaving.
        shedding: the target asks for less work.
        slots_used: load the target claims, ``None`` if not reported.
    """

    healthy: bool
    draining: bool
    shedding: bool
    slots_used: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """Publish a change of the agent's own target."""

    state: model.TargetState
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartObservation:
    """From sessions to the target exchange: observe (RFC 7641).

    ``observation_id`` is unique within this agent's incarnation;
    ``payload`` is the caller's registration.
    """

    observation_id: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StopObservation:
    """From sessions to the target exchange: end an observation."""

    observation_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObservationUpdate:
    """From the target exchange to sessions: a notification or an end.

    Attributes:
        observation_id: as started.
        payload: the target's CoAP response, empty if there is none.
        ended: the target does not observe, or no longer does.
        reason: value of ``reasons.UnknownOutcome`` if there is no response.
    """

    observation_id: int
    payload: bytes
    ended: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrationChanged:
    """From the target's registration: it registered or withdrew.

    Attributes:
        registered: the target wants to serve.
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

# What the parts of the agent pass to each other.
Signal = Event | Action
