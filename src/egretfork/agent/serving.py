"""CoAP server side towards callers: requests, duplicates and answers."""

import dataclasses
import datetime
import heapq
import itertools

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import delivery
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import screening
from egretfork.agent import status as statuses
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire

# RFC 7252 section 4.8: callers retransmit after 2 s or more.
ACK_TIMEOUT = datetime.timedelta(seconds=2)
# A request that takes longer is acknowledged first and answered separately.
PIGGYBACK_TIMEOUT = datetime.timedelta(milliseconds=500)
MAX_PENDING = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class MessageKey:
    """A message of one flow: the flow and the message ID."""

    flow: wire.FlowKey
    message_id: int


@dataclasses.dataclass(slots=True)
class Pending:
    """A caller's request whose answer is not known yet.

    It outlives the flow record when the flow moves to another agent.

    Attributes:
        key: flow and message ID of the request.
        mtype: type of the request message.
        token: the caller's token.
        entries: entries that lead to the caller.
        message_id: message ID for a separate answer.
        acknowledged: an empty acknowledgement was sent.
        cancelled: the caller no longer wants the answer.
        session: the request registers an observation.
    """

    key: MessageKey
    mtype: types.Type
    token: bytes
    entries: tuple[model.Endpoint, ...]
    message_id: int
    acknowledged: bool = False
    cancelled: bool = False
    session: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LateAnswer:
    """An answer sent after its flow had moved to another agent."""

    key: MessageKey
    answer: bytes


class CallerServer:
    """Serves the requests of callers on the flows of this agent."""

    def __init__(
        self, status: statuses.AgentStatus, table: flows.FlowTable
    ) -> None:
        self._status = status
        self._table = table
        self._ids = itertools.count(1)
        self._pending: dict[int, Pending] = {}
        self._pending_by_key: dict[MessageKey, int] = {}
        self._ack_schedule: list[tuple[datetime.timedelta, int]] = []
        self._late_answers: list[LateAnswer] = []
        self._answers = delivery.Deliveries[MessageKey](ACK_TIMEOUT)
        self._answer_entries: dict[MessageKey, Pending] = {}

    @property
    def pending_count(self) -> int:
        """Return the number of requests and answers in progress."""
        return len(self._pending) + len(self._answers)

    def new_id(self) -> int:
        """Return a number that is unique within this incarnation."""
        return next(self._ids)

    def holds(self, key: MessageKey) -> bool:
        """Tell whether a message belongs to work that stayed here."""
        return key in self._pending_by_key or key in self._answers

    def find_request(self, key: MessageKey) -> int | None:
        """Return the number of a request in progress."""
        return self._pending_by_key.get(key)

    def refuse(
        self,
        forwarded: wire.Forwarded,
        request: screening.ScreenedRequest,
        reason: reasons.Refusal,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        """Refuse a request whose flow no agent can take."""
        if request.info.idempotent:
            answer = coap.build_refusal(
                request.message, reason, screening.RETRY_AFTER_S
            )
            return [
                actions.CountReason(reason),
                *screening.return_now(forwarded, answer),
            ]
        # An earlier copy may have run on another flow. The deadline of 0
        # makes the request engine refuse it only after it has recorded
        # that this attempt never runs.
        pending = Pending(
            MessageKey(forwarded.flow, request.message.mid),
            request.message.mtype,
            request.message.token,
            (forwarded.entry,),
            request.message.mid,
        )
        return self._submit(forwarded, request, pending, 0, now)

    def submit(
        self,
        flow: flows.Flow,
        forwarded: wire.Forwarded,
        request: screening.ScreenedRequest,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        """Hand a caller's request to the request engine."""
        pending = self.open(flow, request, now)
        deadline = request.info.deadline
        if deadline is None:
            deadline_ms = self._read_default_deadline_ms()
        else:
            capped = min(deadline, coap.MAX_DEADLINE)
            deadline_ms = capped // datetime.timedelta(milliseconds=1)
        return self._submit(forwarded, request, pending, deadline_ms, now)

    def open(
        self,
        flow: flows.Flow,
        request: screening.ScreenedRequest,
        now: datetime.timedelta,
    ) -> Pending:
        """Remember a request message of a flow as in progress."""
        message = request.message
        self._table.open_exchange(flow, message.mid, now)
        return Pending(
            MessageKey(flow.key, message.mid),
            message.mtype,
            message.token,
            flow.entries,
            flow.take_message_id(),
        )

    def _read_default_deadline_ms(self) -> int:
        service = self._status.service
        return service.default_deadline_ms if service is not None else 0

    def _submit(
        self,
        forwarded: wire.Forwarded,
        request: screening.ScreenedRequest,
        pending: Pending,
        deadline_ms: int,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        if len(self._pending) >= MAX_PENDING:
            return [actions.CountReason(reasons.Drop.TABLE_FULL)]
        request_id = self.new_id()
        self.expect(request_id, pending, now)
        body = wire.RequestBody(
            request_id,
            self._status.address,
            request.info.idempotent,
            request.info.key,
            request.info.attempt,
            deadline_ms,
            forwarded.payload,
        )
        return [events.SubmitRequest(body)]

    def expect(
        self, request_id: int, pending: Pending, now: datetime.timedelta
    ) -> None:
        """Wait for an outcome; acknowledge the request if it is late."""
        self._pending[request_id] = pending
        self._pending_by_key[pending.key] = request_id
        if pending.mtype is types.CON:
            due = now + PIGGYBACK_TIMEOUT
            heapq.heappush(self._ack_schedule, (due, request_id))

    def finish(
        self, outcome: events.RequestFinished, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Answer a caller with the outcome of its request."""
        pending = self._pending.get(outcome.request_id)
        if pending is None:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        answer = self._build_answer(pending, outcome)
        return self.answer(outcome.request_id, answer, now)

    @staticmethod
    def _build_answer(
        pending: Pending, outcome: events.RequestFinished
    ) -> aiocoap.Message:
        request = aiocoap.Message(
            mtype=pending.mtype,
            mid=pending.key.message_id,
            code=codes.GET,
            token=pending.token,
        )
        if outcome.kind is not wire.WorkResultKind.ANSWERED:
            return screening.build_outcome(
                request, outcome.kind, outcome.reason
            )
        answer = coap.decode(outcome.payload, "target")
        if isinstance(answer, reasons.Failure):
            return coap.build_unknown_outcome(
                request, reasons.UnknownOutcome.ANSWER_LOST
            )
        return answer

    def answer(
        self,
        request_id: int,
        response: aiocoap.Message,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        """Send the final answer of a request to its caller."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return []
        self._pending_by_key.pop(pending.key, None)
        if pending.cancelled:
            return []
        payload = coap.encode(self._readdress(pending, response))
        flow = self._table.get(pending.key.flow)
        if flow is not None:
            message_id = pending.key.message_id
            self._table.close_exchange(flow, message_id, payload, now)
            pending.entries = flow.entries
        else:
            self._late_answers.append(LateAnswer(pending.key, payload))
        if pending.acknowledged:
            key = MessageKey(pending.key.flow, pending.message_id)
            self._answers.start(key, payload, now)
            self._answer_entries[key] = pending
        return screening.return_through(
            pending.entries, pending.key.flow, payload
        )

    def take_late_answers(self) -> list[LateAnswer]:
        """Return the answers sent for moved flows since the last call."""
        late, self._late_answers = self._late_answers, []
        return late

    @staticmethod
    def _readdress(
        pending: Pending, response: aiocoap.Message
    ) -> aiocoap.Message:
        token = pending.token
        if pending.acknowledged:
            mtype, message_id = types.CON, pending.message_id
        elif pending.mtype is types.CON:
            mtype, message_id = types.ACK, pending.key.message_id
        else:
            mtype, message_id = types.NON, pending.message_id
        return coap.copy_with_header(response, mtype, message_id, token)

    def abandon(self, request_id: int) -> None:
        """Forget a request that gets no answer."""
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            self._pending_by_key.pop(pending.key, None)

    def repeat(
        self, key: MessageKey, entry: model.Endpoint, answer: bytes
    ) -> list[events.Signal]:
        """Answer a duplicate of a request message."""
        result: list[events.Signal] = [
            actions.CountReason(reasons.Drop.DUPLICATE)
        ]
        if answer:
            return result + screening.return_through(
                (entry,), key.flow, answer
            )
        pending = self._pending.get(self._pending_by_key.get(key, 0))
        if pending is None:
            return result
        pending.entries = (entry, *pending.entries)[
            : flows.MAX_ENTRIES_PER_FLOW
        ]
        if not pending.acknowledged:
            return result
        empty = coap.build_empty_message(types.ACK, key.message_id)
        payload = coap.encode(empty)
        return result + screening.return_through((entry,), key.flow, payload)

    def settle(self, key: MessageKey) -> bool:
        """Take an acknowledgement or reset of a separate answer."""
        self._answer_entries.pop(key, None)
        return self._answers.settle(key)

    def cancel(self, key: MessageKey) -> list[events.Signal]:
        """Cancel a request in progress that the caller has reset."""
        request_id = self._pending_by_key.get(key)
        if request_id is None:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        pending = self._pending[request_id]
        pending.cancelled = True
        if pending.session:
            return []
        return [events.CancelRequest(request_id)]

    def advance(self, now: datetime.timedelta) -> list[events.Signal]:
        """Send due acknowledgements and retransmissions."""
        return self._acknowledge_due(now) + self._retransmit_due(now)

    def _acknowledge_due(self, now: datetime.timedelta) -> list[events.Signal]:
        result: list[events.Signal] = []
        while self._ack_schedule and self._ack_schedule[0][0] <= now:
            _, request_id = heapq.heappop(self._ack_schedule)
            pending = self._pending.get(request_id)
            if pending is None or pending.cancelled:
                continue
            pending.acknowledged = True
            empty = coap.build_empty_message(types.ACK, pending.key.message_id)
            result += screening.return_through(
                pending.entries, pending.key.flow, coap.encode(empty)
            )
        return result

    def _retransmit_due(self, now: datetime.timedelta) -> list[events.Signal]:
        result: list[events.Signal] = []
        for due in self._answers.take_due(now):
            if due.expired:
                self._answer_entries.pop(due.key, None)
                continue
            flow = self._table.get(due.key.flow)
            entries = self._answer_entries[due.key].entries
            known = flow.entries if flow is not None else entries
            chosen = self._status.entries.choose(known, due.sent)
            result += screening.return_through(
                chosen, due.key.flow, due.payload
            )
        return result
