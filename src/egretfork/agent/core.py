"""Core of the agent: combines flows, requests and the target's side."""

import collections
import collections.abc
import dataclasses
import datetime
import fnmatch
import random
import typing

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import engine as engines
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import forwarding
from egretfork.agent import hints
from egretfork.agent import lifecycle
from egretfork.agent import router
from egretfork.agent import serving
from egretfork.agent import sessions
from egretfork.agent import status as statuses
from egretfork.agent import target as target_module
from egretfork.agent import transfer
from egretfork import model
from egretfork import reasons
from egretfork import wire

Handler = collections.abc.Callable[
    [typing.Any, datetime.timedelta], collections.abc.Sequence[events.Signal]
]

REQUEST_MESSAGES = (
    wire.WorkPull,
    wire.WorkHandover,
    wire.WorkAccepted,
    wire.WorkResult,
    wire.WorkResultAck,
    wire.WorkCancel,
    wire.RecordRequest,
    wire.RecordReply,
    wire.RecordReplicate,
    wire.RecordReplicated,
    wire.SealRequest,
    wire.SealReply,
    wire.StoredAnswerRequest,
    wire.StoredAnswerReply,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes of the tables of one agent.

    Attributes:
        flows: owned flows.
        sessions: open sessions.
        flow_bytes: estimated size of the flow records.
        hints: remembered owners of other flows.
        requests: requests and answers in progress.
        open_transfers: batches of flows that are not acknowledged.
    """

    flows: int
    sessions: int
    flow_bytes: int
    hints: int
    requests: int
    open_transfers: int


class AgentCore:
    """Decisions of one agent.

    Args:
        status: identity of the agent.
        target: the target's address, ``None`` if it must register first.
        generator: source of randomness.
        wall_clock_zero_ms: Unix milliseconds at instant zero.
        idle_timeout: time after which an unused flow is forgotten.
        max_flow_bytes: bound of the estimated size of all flow records.
    """

    def __init__(
        self,
        status: statuses.AgentStatus,
        target: model.Endpoint | None,
        generator: random.Random,
        wall_clock_zero_ms: int,
        idle_timeout: datetime.timedelta = flows.IDLE_TIMEOUT,
        max_flow_bytes: int = flows.MAX_TABLE_BYTES,
    ) -> None:
        self._status = status
        self._table = flows.FlowTable(max_flow_bytes, idle_timeout)
        self._engine = engines.RequestEngine(
            status.service_name,
            status.identity,
            status.address,
            generator,
            wall_clock_zero_ms,
            self._count_flows,
        )
        self._admission = admission.Admission(
            status, self._has_room, self._count_flows
        )
        self._server = serving.CallerServer(status, self._table)
        self._sessions = sessions.SessionServer(
            status, self._table, self._server
        )
        self._lists = forwarding.BucketLists(status, self._admission)
        self._forwarder = forwarding.Forwarder(
            status, self._table, self._server, self._admission, self._lists
        )
        self._transfers = transfer.TransferService(
            status,
            self._table,
            self._server,
            self._sessions,
            self._admission,
            self._lists,
            self._forwarder.hints,
        )
        self._router = router.FlowRouter(
            status,
            self._table,
            self._server,
            self._sessions,
            self._admission,
            self._forwarder,
            self._transfers,
            generator,
        )
        self._target = target_module.TargetSide(status, target, generator)
        self._lifecycle = lifecycle.Lifecycle(status, target is not None)
        self._hints = hints.HintSender(status, self._table, self._admission)
        self._handlers = self._build_handlers()

    def _build_handlers(self) -> dict[type, Handler]:
        engine = self._ask_engine
        return {
            events.Tick: self._tick,
            events.MessageReceived: self._receive,
            events.TargetDatagram: self._target.receive,
            events.ConfigurationChanged: self._configure,
            events.AnnouncementsChanged: self._set_announcements,
            events.DrainRequested: self._drain,
            events.StopRequested: self._stop,
            events.SubmitRequest: engine,
            events.CancelRequest: engine,
            events.RunEnded: engine,
            events.TargetReport: self._take_report,
            events.RequestFinished: self._finish,
            events.StartRun: self._target.start_run,
            events.CancelRun: self._target.cancel_run,
            events.StartObservation: self._target.start_observation,
            events.StopObservation: self._target.stop_observation,
            events.ObservationUpdate: self._update_session,
            events.RegistrationChanged: self._change_registration,
        }

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Action]:
        """Take one event and return the actions for the shell."""
        waiting: collections.deque[events.Signal] = collections.deque((event,))
        result: list[events.Action] = []
        while waiting:
            signal = waiting.popleft()
            handler = self._handlers.get(type(signal))
            if handler is None:
                result.append(typing.cast(events.Action, signal))
            else:
                waiting.extend(handler(signal, now))
        return result

    @property
    def flow_count(self) -> int:
        """Return the number of owned flows."""
        return len(self._table)

    def owns(self, key: wire.FlowKey) -> bool:
        """Tell whether this agent owns a flow."""
        return self._table.get(key) is not None

    def read_sizes(self) -> Sizes:
        """Return the sizes of the tables."""
        return Sizes(
            flows=len(self._table),
            sessions=self._table.session_count,
            flow_bytes=self._table.size_bytes,
            hints=len(self._forwarder.hints),
            requests=self._server.pending_count,
            open_transfers=self._transfers.open_count,
        )

    @property
    def target_endpoint(self) -> model.Endpoint | None:
        """Return the target's address, ``None`` while it is unknown."""
        return self._target.registration.target

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is left that a stop would interrupt."""
        busy = (
            len(self._table)
            + self._server.pending_count
            + self._transfers.open_count
            + self._target.run_count
        )
        return not busy and self._engine.idle

    def _ask_engine(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Signal]:
        result: list[events.Signal] = []
        for action in self._engine.handle(event, now):
            if isinstance(action, actions.SendMessage):
                if isinstance(action.message, wire.LoadHint):
                    self._hints.set_engine_hint(action.message)
                    continue
            result.append(action)
        return result

    def _has_room(self) -> bool:
        service = self._status.service
        incoming = self._transfers.incoming_count
        limit = (service.connections if service is not None else 0) - incoming
        return self._table.has_room(limit)

    def _count_flows(self) -> int:
        return len(self._table)

    def _receive(
        self, event: events.MessageReceived, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        message = event.message
        if isinstance(message, wire.Forwarded):
            return self._router.receive(message, now)
        if isinstance(message, wire.OwnerHint):
            return self._transfers.take_owner_hint(event.peer, message, now)
        if isinstance(message, wire.FlowTransfer):
            return self._transfers.receive(message, now)
        if isinstance(message, wire.FlowTransferAck):
            return self._transfers.acknowledge(message, now)
        if isinstance(message, wire.LoadHint):
            return self._take_hint(event, message, now)
        if isinstance(message, REQUEST_MESSAGES):
            return self._ask_engine(event, now)
        return [actions.CountReason(reasons.Drop.MALFORMED)]

    def _take_hint(
        self,
        event: events.MessageReceived,
        hint: wire.LoadHint,
        now: datetime.timedelta,
    ) -> collections.abc.Sequence[events.Signal]:
        if hint.service != self._status.service_name:
            return [actions.CountReason(reasons.Drop.WRONG_SERVICE)]
        self._admission.hear(hint)
        self._status.entries.learn(hint.entries)
        return self._ask_engine(event, now)

    def _configure(
        self, event: events.ConfigurationChanged, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        configuration = event.configuration
        if configuration.version < self._status.version:
            return []
        status = self._status
        status.version = configuration.version
        status.service = next(
            (
                service
                for service in configuration.services
                if service.name == status.service_name
            ),
            None,
        )
        status.permitted = is_permitted(status)
        self._lists.update()
        drained = configuration.drained_agents
        self._lifecycle.follow_order(status.identity.name in drained)
        return [
            *self._ask_engine(event, now),
            *self._apply_lifecycle(now),
            *self._transfers.review(now),
        ]

    def _set_announcements(
        self, event: events.AnnouncementsChanged, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        own = tuple(
            item
            for item in event.announcements
            if item.service == self._status.service_name
        )
        self._admission.set_announcements(own, now)
        self._lists.update()
        return [
            *self._ask_engine(event, now),
            *self._transfers.review(now),
        ]

    def _drain(
        self, event: events.DrainRequested, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._lifecycle.order_drain()
        return [*self._ask_engine(event, now), *self._apply_lifecycle(now)]

    def _stop(
        self, event: events.StopRequested, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._status.stopping = True
        drain = events.DrainRequested()
        return [*self._ask_engine(drain, now), *self._apply_lifecycle(now)]

    def _apply_lifecycle(self, now: datetime.timedelta) -> list[events.Signal]:
        announced = self._lifecycle.update(now)
        if self._lifecycle.has_been_ready:
            self._admission.start_ramp(now)
        if not announced:
            return []
        report = self._lifecycle.report
        return [
            *announced,
            *self._ask_engine(report, now),
            *self._transfers.review(now),
        ]

    def _take_report(
        self, event: events.TargetReport, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._lifecycle.note_report(event)
        changes = self._apply_lifecycle(now)
        report = self._lifecycle.report
        return [*changes, *self._ask_engine(report, now)]

    def _change_registration(
        self, event: events.RegistrationChanged, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._lifecycle.note_registration(event)
        result = self._apply_lifecycle(now)
        if not event.restarted:
            return result
        return [*result, *self._target.restart_observations(now)]

    def _finish(
        self, event: events.RequestFinished, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        return [
            *self._server.finish(event, now),
            *self._transfers.forward_answers(now),
        ]

    def _update_session(
        self, event: events.ObservationUpdate, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        if self._transfers.is_opening(event.observation_id):
            return self._transfers.note_opened(event, now)
        return self._sessions.update(event, now)

    def _tick(
        self, event: events.Tick, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._admission.update(now)
        self._forwarder.hints.drop_expired(now)
        return [
            *self._router.expire(now),
            *self._router.release(now),
            *self._server.advance(now),
            *self._sessions.advance(now),
            *self._target.advance(now),
            *self._ask_engine(event, now),
            *self._transfers.advance(now),
            *self._hints.advance(now, self._lifecycle.state),
        ]


def is_permitted(status: statuses.AgentStatus) -> bool:
    """Tell whether the declaration allows this target to serve."""
    service = status.service
    if service is None:
        return status.version == 0
    zones = service.availability_zones
    if zones and status.availability_zone not in zones:
        return False
    return any(
        fnmatch.fnmatchcase(status.identity.name, pattern)
        for pattern in service.targets
    )
