"""Event-driven engine that schedules and completes requests."""

import datetime
import random
import typing

from egretfork import actions
from egretfork.agent import context
from egretfork.agent import dispatch
from egretfork.agent import events
from egretfork.agent import executions
from egretfork.agent import grants
from egretfork.agent import health
from egretfork.agent import outcomes
from egretfork.agent import peers
from egretfork.agent import records
from egretfork.agent import seals
from egretfork.agent import work as work_module
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire


def _count_no_flows() -> int:
    return 0


def _is_movable(work: work_module.WorkItem) -> bool:
    return work.is_movable


class RequestEngine:
    """Schedules and completes the requests of one agent, without I/O.

    Args:
        service: name of the service that the target serves.
        identity: name and incarnation of the agent.
        address: UDP address of the agent.
        generator: random number generator.
        wall_clock_zero_ms: Unix time, in milliseconds, of monotonic time zero.
        count_flows: returns the number of flows that the agent owns.
    """

    def __init__(
        self,
        service: str,
        identity: model.AgentIdentity,
        address: model.Endpoint,
        generator: random.Random,
        wall_clock_zero_ms: int,
        count_flows: typing.Callable[[], int] = _count_no_flows,
    ) -> None:
        self._context = context.Context(
            service, identity, address, generator, wall_clock_zero_ms
        )
        self._count_flows = count_flows
        self._flow_limit = 0
        self._peers = peers.PeerTable(self._context)
        self._hint_sender = peers.EngineHintSender(self._context, self._peers)
        self._member = records.RecordMember(self._context, self._peers)
        self._epoch_transition = seals.EpochTransition(
            self._context, self._peers, self._member
        )
        self._record_client = grants.RecordClient(
            self._context, self._peers, self._member
        )
        self._execution_table = executions.ExecutionTable(self._context)
        self._dispatcher = dispatch.Dispatcher(
            self._context,
            self._peers,
            self._record_client,
            self._execution_table,
        )

    @property
    def is_idle(self) -> bool:
        """Return whether the agent has no request to complete."""
        return (
            self._dispatcher.tracker.is_idle
            and not self._dispatcher.runs.used_slots
        )

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[actions.SendMessage | events.Action]:
        """Process an event and return the resulting actions."""
        self._context.timers.run_due(now)
        self._handle_event(event, now)
        self._deliver_loopback(now)
        self._hint_sender.send_if_due(self._measure_load(now), now)
        return list(self._context.drain_outbox())

    def _deliver_loopback(self, now: datetime.timedelta) -> None:
        while self._context.loopback:
            message = self._context.loopback.popleft()
            self._handle_message(self._context.address, message, now)

    def _handle_event(
        self, event: events.Event, now: datetime.timedelta
    ) -> None:
        match event:
            case events.Tick():
                self._handle_tick(now)
            case events.MessageReceived(peer, message):
                self._handle_message(peer, message, now)
            case events.SubmitRequest(body):
                self._handle_submission(body, now)
            case events.CancelRequest(request_id):
                self._dispatcher.cancel(request_id, now)
            case events.RunEnded():
                self._dispatcher.runs.handle_run_ended(event, now)
                self._dispatcher.process_queue(now)
            case events.TargetReport():
                self._dispatcher.health.note_report(event, now)
                self._dispatcher.process_queue(now)
            case events.ConfigurationChanged(configuration):
                self._apply_configuration(configuration, now)
            case events.AnnouncementsChanged(announcements):
                self._peers.update(announcements)
                self._dispatcher.handover.check_executors(now)
            case events.DrainRequested():
                self._dispatcher.drain(now)

    def _handle_tick(self, now: datetime.timedelta) -> None:
        self._dispatcher.expire(now)
        self._dispatcher.process_queue(now)
        self._member.sweep(now)
        self._execution_table.sweep(now)

    def _handle_message(
        self,
        peer: model.Endpoint,
        message: wire.Message,
        now: datetime.timedelta,
    ) -> None:
        match message:
            case wire.LoadHint():
                self._peers.update_hint(message, now)
                self._dispatcher.process_queue(now)
            case wire.WorkPull():
                self._dispatcher.handover.handle_pull(message, now)
            case wire.WorkHandover():
                self._dispatcher.handover.handle_handover(peer, message, now)
                self._dispatcher.process_queue(now)
            case wire.WorkAccepted():
                self._dispatcher.handover.handle_accepted(peer, message)
            case wire.WorkResult():
                self._dispatcher.handover.handle_result(peer, message, now)
            case wire.WorkResultAck():
                self._dispatcher.tracker.handle_ack(peer, message)
            case wire.WorkCancel():
                self._dispatcher.handle_cancel(message, now)
            case _:
                self._handle_record_message(message, now)

    def _handle_record_message(
        self, message: wire.Message, now: datetime.timedelta
    ) -> None:
        match message:
            case wire.RecordRequest():
                self._member.handle_request(message, now)
            case wire.RecordReply():
                self._record_client.handle_reply(message, now)
            case wire.RecordReplicate():
                self._member.handle_replicate(message, now)
            case wire.RecordReplicated():
                self._member.handle_replicated(message, now)
            case wire.SealRequest():
                self._epoch_transition.handle_seal_request(message, now)
            case wire.SealReply():
                self._epoch_transition.handle_seal_reply(message, now)
            case wire.StoredAnswerRequest():
                self._execution_table.handle_stored_answer_request(message)
            case wire.StoredAnswerReply():
                self._record_client.handle_stored_answer(message, now)

    def _handle_submission(
        self, body: wire.RequestBody, now: datetime.timedelta
    ) -> None:
        outcome = None
        if not body.idempotent:
            outcome = self._check_key(body.key, now)
        if outcome is None:
            self._dispatcher.submit(body, now)
            return
        self._context.outbox.append(
            events.RequestFinished(
                body.request_id, outcome.kind, b"", outcome.reason
            )
        )

    def _check_key(
        self, key: bytes, now: datetime.timedelta
    ) -> executions.Outcome | None:
        created_ms = coap.read_key_time_ms(key)
        if created_ms is None:
            self._context.count(reasons.Refusal.MISSING_REQUEST_KEY)
            return outcomes.make_refusal(reasons.Refusal.MISSING_REQUEST_KEY)
        wall_ms = self._context.read_wall_clock_ms(now)
        if created_ms > wall_ms + records.MAX_KEY_LEAD_MS:
            self._context.count(reasons.Refusal.BAD_OPTION)
            return outcomes.make_refusal(reasons.Refusal.BAD_OPTION)
        if created_ms < wall_ms - records.KEY_LIFETIME_MS:
            self._context.count(reasons.UnknownOutcome.KEY_EXPIRED)
            return outcomes.make_unknown(reasons.UnknownOutcome.KEY_EXPIRED)
        return None

    def _apply_configuration(
        self, configuration: model.Configuration, now: datetime.timedelta
    ) -> None:
        name = self._context.service
        for service in configuration.services:
            if service.name == name:
                self._flow_limit = service.connections
                self._dispatcher.configure(service)
        for group in configuration.record_groups:
            if group.service == name:
                self._epoch_transition.handle_group(group, now)
        self._dispatcher.process_queue(now)

    def _measure_load(self, now: datetime.timedelta) -> peers.Load:
        first_movable = self._dispatcher.queue.find_first(_is_movable)
        return peers.Load(
            flows=self._count_flows(),
            flow_limit=self._flow_limit,
            free_slots=self._dispatcher.count_free_slots(now),
            waiting=self._dispatcher.queue.movable_count,
            state=self._compute_state(now),
            weight=1.0,
            first_deadline=first_movable.deadline if first_movable else now,
        )

    def _compute_state(self, now: datetime.timedelta) -> model.TargetState:
        if self._dispatcher.is_draining(now):
            return model.TargetState.DRAINING
        if self._dispatcher.health.state is health.HealthState.EJECTED:
            return model.TargetState.SUSPECT
        return model.TargetState.READY
