"""Request engine of an agent: queue, slots, peers, records, outcomes."""

import datetime
import random
import typing

from egretfork import actions
from egretfork.agent import context as contexts
from egretfork.agent import dispatch
from egretfork.agent import events
from egretfork.agent import executions
from egretfork.agent import grants
from egretfork.agent import health as healths
from egretfork.agent import outcomes
from egretfork.agent import peers
from egretfork.agent import records
from egretfork.agent import seals
from egretfork.agent import work as works
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire


def _count_no_flows() -> int:
    return 0


def _is_movable(work: works.Work) -> bool:
    return work.movable


class RequestEngine:
    """Decides about the requests of one agent; opens no sockets.

    Args:
        service: name of the service that the target serves.
        identity: name and incarnation of the agent.
        address: UDP address of the agent.
        rng: source of randomness.
        wall_clock_zero_ms: Unix milliseconds at instant zero.
        count_flows: returns how many flows the agent holds.
    """

    def __init__(
        self,
        service: str,
        identity: model.AgentIdentity,
        address: model.Endpoint,
        rng: random.Random,
        wall_clock_zero_ms: int,
        count_flows: typing.Callable[[], int] = _count_no_flows,
    ) -> None:
        self._context = contexts.Context(
            service, identity, address, rng, wall_clock_zero_ms
        )
        self._count_flows = count_flows
        self._flow_limit = 0
        self._peers = peers.PeerTable(self._context)
        self._hints = peers.HintSender(self._context, self._peers)
        self._member = records.RecordMember(self._context, self._peers)
        self._epochs = seals.EpochChanger(
            self._context, self._peers, self._member
        )
        self._client = grants.RecordClient(
            self._context, self._peers, self._member
        )
        self._executed = executions.Executions(self._context)
        self._dispatcher = dispatch.Dispatcher(
            self._context, self._peers, self._client, self._executed
        )

    @property
    def idle(self) -> bool:
        """Return whether no request is in the agent's charge."""
        return self._dispatcher.ends.idle and not self._dispatcher.runs.used

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[actions.SendMessage | events.Action]:
        """Take in an event and return what is to be done."""
        self._context.timers.run_due(now)
        self._apply(event, now)
        self._deliver_loopback(now)
        self._hints.offer(self._read_load(now), now)
        return list(self._context.drain_outbox())

    def _deliver_loopback(self, now: datetime.timedelta) -> None:
        while self._context.loopback:
            message = self._context.loopback.popleft()
            self._receive(self._context.address, message, now)

    def _apply(self, event: events.Event, now: datetime.timedelta) -> None:
        match event:
            case events.Tick():
                self._tick(now)
            case events.MessageReceived(peer, message):
                self._receive(peer, message, now)
            case events.SubmitRequest(body):
                self._submit(body, now)
            case events.CancelRequest(request_id):
                self._dispatcher.cancel(request_id, now)
            case events.RunEnded():
                self._dispatcher.runs.handle_run_ended(event, now)
                self._dispatcher.pump(now)
            case events.TargetReport():
                self._dispatcher.health.note_report(event, now)
                self._dispatcher.pump(now)
            case events.ConfigurationChanged(configuration):
                self._configure(configuration, now)
            case events.AnnouncementsChanged(announcements):
                self._peers.update(announcements)
                self._dispatcher.handover.check_executors(now)
            case events.DrainRequested():
                self._dispatcher.drain(now)

    def _tick(self, now: datetime.timedelta) -> None:
        self._dispatcher.expire(now)
        self._dispatcher.pump(now)
        self._member.sweep(now)
        self._executed.sweep(now)

    def _receive(
        self,
        peer: model.Endpoint,
        message: wire.Message,
        now: datetime.timedelta,
    ) -> None:
        match message:
            case wire.LoadHint():
                self._peers.note_hint(message, now)
                self._dispatcher.pump(now)
            case wire.WorkPull():
                self._dispatcher.handover.handle_pull(message, now)
            case wire.WorkHandover():
                self._dispatcher.handover.handle_handover(peer, message, now)
                self._dispatcher.pump(now)
            case wire.WorkAccepted():
                self._dispatcher.handover.handle_accepted(peer, message)
            case wire.WorkResult():
                self._dispatcher.handover.handle_result(peer, message, now)
            case wire.WorkResultAck():
                self._dispatcher.ends.handle_ack(peer, message)
            case wire.WorkCancel():
                self._dispatcher.handle_cancel(message, now)
            case _:
                self._receive_record(message, now)

    def _receive_record(
        self, message: wire.Message, now: datetime.timedelta
    ) -> None:
        match message:
            case wire.RecordRequest():
                self._member.handle_request(message, now)
            case wire.RecordReply():
                self._client.handle_reply(message, now)
            case wire.RecordReplicate():
                self._member.handle_replicate(message, now)
            case wire.RecordReplicated():
                self._member.handle_replicated(message, now)
            case wire.SealRequest():
                self._epochs.handle_seal_request(message, now)
            case wire.SealReply():
                self._epochs.handle_seal_reply(message, now)
            case wire.StoredAnswerRequest():
                self._executed.handle_stored_answer_request(message)
            case wire.StoredAnswerReply():
                self._client.handle_stored_answer(message, now)

    def _submit(self, body: wire.RequestBody, now: datetime.timedelta) -> None:
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
        made_ms = coap.read_key_time_ms(key)
        if made_ms is None:
            self._context.count(reasons.Refusal.MISSING_REQUEST_KEY)
            return outcomes.refuse(reasons.Refusal.MISSING_REQUEST_KEY)
        wall_ms = self._context.read_wall_clock_ms(now)
        if made_ms > wall_ms + records.MAX_KEY_LEAD_MS:
            self._context.count(reasons.Refusal.BAD_OPTION)
            return outcomes.refuse(reasons.Refusal.BAD_OPTION)
        if made_ms < wall_ms - records.KEY_LIFETIME_MS:
            self._context.count(reasons.UnknownOutcome.KEY_EXPIRED)
            return outcomes.fail(reasons.UnknownOutcome.KEY_EXPIRED)
        return None

    def _configure(
        self, configuration: model.Configuration, now: datetime.timedelta
    ) -> None:
        name = self._context.service
        for service in configuration.services:
            if service.name == name:
                self._flow_limit = service.connections
                self._dispatcher.configure(service)
        for group in configuration.record_groups:
            if group.service == name:
                self._epochs.handle_group(group, now)
        self._dispatcher.pump(now)

    def _read_load(self, now: datetime.timedelta) -> peers.Load:
        first = self._dispatcher.queue.find(_is_movable)
        return peers.Load(
            flows=self._count_flows(),
            flow_limit=self._flow_limit,
            free_slots=self._dispatcher.count_free_slots(now),
            waiting=self._dispatcher.queue.movable,
            state=self._read_state(now),
            weight=1.0,
            first_deadline=first.deadline if first else now,
        )

    def _read_state(self, now: datetime.timedelta) -> model.TargetState:
        if self._dispatcher.is_draining(now):
            return model.TargetState.DRAINING
        if self._dispatcher.health.health is healths.Health.EJECTED:
            return model.TargetState.SUSPECT
        return model.TargetState.READY
