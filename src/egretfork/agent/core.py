"""Agent core: routes events between flows, requests and the target."""

import collections
import collections.abc
import dataclasses
import datetime
import fnmatch
import random
import typing

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import engine
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import forwarding
from egretfork.agent import hints
from egretfork.agent import lifecycle
from egretfork.agent import router
from egretfork.agent import serving
from egretfork.agent import sessions
from egretfork.agent import status as status_module
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
class TableSizes:
    """Table sizes of one agent, exported as gauges.

    Attributes:
        flows: flows owned by the agent.
        sessions: open sessions.
        flow_bytes: estimated size of the flow records.
        hints: cached owners of flows on other agents.
        requests: requests and answers in progress.
        open_transfers: transfer batches without acknowledgement.
    """

    flows: int
    sessions: int
    flow_bytes: int
    hints: int
    requests: int
    open_transfers: int


class AgentCore:
    """Event-driven state machine of one agent; performs no I/O.

    Args:
        status: state shared by the components of the agent.
        target: address of the target, ``None`` if it must register first.
        generator: random number generator.
        wall_clock_zero_ms: Unix time in milliseconds at which the monotonic
            clock reads zero.
        idle_timeout: time after which an unused flow is removed.
        max_flow_bytes: limit of the estimated size of all flow records.
    """

    def __init__(
        self,
        status: status_module.AgentStatus,
        target: model.Endpoint | None,
        generator: random.Random,
        wall_clock_zero_ms: int,
        idle_timeout: datetime.timedelta = flows.IDLE_TIMEOUT,
        max_flow_bytes: int = flows.MAX_TABLE_BYTES,
    ) -> None:
        self._status = status
        self._table = flows.FlowTable(max_flow_bytes, idle_timeout)
        self._engine = engine.RequestEngine(
            status.service_name,
            status.identity,
            status.address,
            generator,
            wall_clock_zero_ms,
            self._count_flows,
        )
        self._admission = admission.AdmissionController(
            status, self._has_capacity, self._count_flows
        )
        self._server = serving.CallerServer(status, self._table)
        self._sessions = sessions.SessionServer(
            status, self._table, self._server
        )
        self._bucket_lists = forwarding.BucketLists(status, self._admission)
        self._forwarder = forwarding.Forwarder(
            status,
            self._table,
            self._server,
            self._admission,
            self._bucket_lists,
        )
        self._transfers = transfer.TransferService(
            status,
            self._table,
            self._server,
            self._sessions,
            self._admission,
            self._bucket_lists,
            self._forwarder.owner_hints,
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
        self._target_interface = target_module.TargetInterface(
            status, target, generator
        )
        self._lifecycle = lifecycle.Lifecycle(status, target is not None)
        self._hint_sender = hints.HintSender(
            status, self._table, self._admission
        )
        self._handlers = self._build_handlers()

    def _build_handlers(self) -> dict[type, Handler]:
        handle_in_engine = self._handle_in_engine
        return {
            events.Tick: self._tick,
            events.MessageReceived: self._receive_message,
            events.TargetDatagram: self._target_interface.receive,
            events.ConfigurationChanged: self._configure,
            events.AnnouncementsChanged: self._set_announcements,
            events.DrainRequested: self._drain,
            events.StopRequested: self._stop,
            events.SubmitRequest: handle_in_engine,
            events.CancelRequest: handle_in_engine,
            events.RunEnded: handle_in_engine,
            events.TargetReport: self._handle_report,
            events.RequestFinished: self._finish_request,
            events.StartRun: self._target_interface.start_run,
            events.CancelRun: self._target_interface.cancel_run,
            events.StartObservation: self._target_interface.start_observation,
            events.StopObservation: self._target_interface.stop_observation,
            events.ObservationUpdate: self._update_session,
            events.RegistrationChanged: self._handle_registration,
        }

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Action]:
        """Process an event and return the actions for the shell.

        Results that are events for another component are processed in the
        same call, in the order in which they arise.
        """
        queue: collections.deque[events.Signal] = collections.deque((event,))
        result: list[events.Action] = []
        while queue:
            signal = queue.popleft()
            handler = self._handlers.get(type(signal))
            if handler is None:
                result.append(typing.cast(events.Action, signal))
            else:
                queue.extend(handler(signal, now))
        return result

    @property
    def flow_count(self) -> int:
        """Return the number of owned flows."""
        return len(self._table)

    def owns(self, key: wire.FlowKey) -> bool:
        """Return whether this agent owns a flow."""
        return self._table.get(key) is not None

    def read_sizes(self) -> TableSizes:
        """Return the sizes of the tables."""
        return TableSizes(
            flows=len(self._table),
            sessions=self._table.session_count,
            flow_bytes=self._table.size_bytes,
            hints=len(self._forwarder.owner_hints),
            requests=self._server.pending_count,
            open_transfers=self._transfers.open_count,
        )

    @property
    def target_endpoint(self) -> model.Endpoint | None:
        """Return the address of the target, ``None`` while it is unknown."""
        return self._target_interface.registration.target

    @property
    def is_idle(self) -> bool:
        """Return whether the agent can stop without interrupting work."""
        busy = (
            len(self._table)
            + self._server.pending_count
            + self._transfers.open_count
            + self._target_interface.run_count
        )
        return not busy and self._engine.is_idle

    def _handle_in_engine(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Signal]:
        result: list[events.Signal] = []
        for action in self._engine.handle(event, now):
            if isinstance(action, actions.SendMessage):
                if isinstance(action.message, wire.LoadHint):
                    self._hint_sender.set_engine_hint(action.message)
                    continue
            result.append(action)
        return result

    def _has_capacity(self) -> bool:
        service = self._status.service
        incoming = self._transfers.incoming_count
        limit = (service.connections if service is not None else 0) - incoming
        return self._table.has_room(limit)

    def _count_flows(self) -> int:
        return len(self._table)

    def _receive_message(
        self, event: events.MessageReceived, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        message = event.message
        if isinstance(message, wire.Forwarded):
            return self._router.receive(message, now)
        if isinstance(message, wire.OwnerHint):
            return self._transfers.receive_owner_hint(event.peer, message, now)
        if isinstance(message, wire.FlowTransfer):
            return self._transfers.receive(message, now)
        if isinstance(message, wire.FlowTransferAck):
            return self._transfers.acknowledge(message, now)
        if isinstance(message, wire.LoadHint):
            return self._receive_load_hint(event, message, now)
        if isinstance(message, REQUEST_MESSAGES):
            return self._handle_in_engine(event, now)
        return [actions.CountReason(reasons.Drop.MALFORMED)]

    def _receive_load_hint(
        self,
        event: events.MessageReceived,
        hint: wire.LoadHint,
        now: datetime.timedelta,
    ) -> collections.abc.Sequence[events.Signal]:
        if hint.service != self._status.service_name:
            return [actions.CountReason(reasons.Drop.WRONG_SERVICE)]
        self._admission.receive_hint(hint)
        self._status.entries.add_from_peer(hint.entries)
        return self._handle_in_engine(event, now)

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
        self._bucket_lists.update()
        drained = configuration.drained_agents
        self._lifecycle.set_operator_drain(status.identity.name in drained)
        return [
            *self._handle_in_engine(event, now),
            *self._apply_lifecycle(now),
            *self._transfers.update_queue(now),
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
        self._bucket_lists.update()
        return [
            *self._handle_in_engine(event, now),
            *self._transfers.update_queue(now),
        ]

    def _drain(
        self, event: events.DrainRequested, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._lifecycle.request_drain()
        return [
            *self._handle_in_engine(event, now),
            *self._apply_lifecycle(now),
        ]

    def _stop(
        self, event: events.StopRequested, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._status.stopping = True
        drain = events.DrainRequested()
        return [
            *self._handle_in_engine(drain, now),
            *self._apply_lifecycle(now),
        ]

    def _apply_lifecycle(self, now: datetime.timedelta) -> list[events.Signal]:
        announced = self._lifecycle.update(now)
        if self._lifecycle.has_been_ready:
            self._admission.start_ramp(now)
        if not announced:
            return []
        report = self._lifecycle.report
        return [
            *announced,
            *self._handle_in_engine(report, now),
            *self._transfers.update_queue(now),
        ]

    def _handle_report(
        self, event: events.TargetReport, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._lifecycle.note_report(event)
        changes = self._apply_lifecycle(now)
        report = self._lifecycle.report
        return [*changes, *self._handle_in_engine(report, now)]

    def _handle_registration(
        self, event: events.RegistrationChanged, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._lifecycle.note_registration(event)
        result = self._apply_lifecycle(now)
        if not event.restarted:
            return result
        return [*result, *self._target_interface.restart_observations(now)]

    def _finish_request(
        self, event: events.RequestFinished, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        return [
            *self._server.finish(event, now),
            *self._transfers.forward_late_answers(now),
        ]

    def _update_session(
        self, event: events.ObservationUpdate, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        if self._transfers.is_opening(event.observation_id):
            return self._transfers.handle_first_response(event, now)
        return self._sessions.update(event, now)

    def _tick(
        self, event: events.Tick, now: datetime.timedelta
    ) -> collections.abc.Sequence[events.Signal]:
        self._admission.update(now)
        self._forwarder.owner_hints.drop_expired(now)
        return [
            *self._router.expire_flows(now),
            *self._router.release_held_requests(now),
            *self._server.advance(now),
            *self._sessions.advance(now),
            *self._target_interface.advance(now),
            *self._handle_in_engine(event, now),
            *self._transfers.advance(now),
            *self._hint_sender.advance(now, self._lifecycle.state),
        ]


def is_permitted(status: status_module.AgentStatus) -> bool:
    """Return whether the service declaration admits this target."""
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
