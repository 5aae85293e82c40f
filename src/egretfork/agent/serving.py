"""CoAP server for callers: requests, duplicates and answers."""

import dataclasses
import datetime
import heapq
import itertools

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import retransmission
from egretfork.agent import status as status_module
from egretfork.agent import validation
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire

# RFC 7252 section 4.8: the first retransmission follows after 2 s or more.
ACK_TIMEOUT = datetime.timedelta(seconds=2)
# A request that takes longer gets an empty acknowledgement first and a
# separate answer later (RFC 7252, section 5.2.2).
PIGGYBACK_TIMEOUT = datetime.timedelta(milliseconds=500)
MAX_PENDING = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class MessageKey:
    """Flow and message ID, which identify a message."""

    flow: wire.FlowKey
    message_id: int


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A caller's request in progress.

    The request stays here when its flow moves to another agent.

    Attributes:
        key: flow and message ID of the request.
        mtype: type of the request message.
        token: the caller's token.
        entries: entries through which the caller is reached.
        message_id: message ID for a separate answer.
        acknowledged: an empty acknowledgement was sent.
        cancelled: the caller has reset the request and gets no answer.
        registers_session: the request registers an observation.
    """

    key: MessageKey
    mtype: types.Type
    token: bytes
    entries: tuple[model.Endpoint, ...]
    message_id: int
    acknowledged: bool = False
    cancelled: bool = False
    registers_session: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LateAnswer:
    """An answer that was sent after its flow moved to another agent."""

    key: MessageKey
    answer: bytes


class CallerServer:
    """Serves the requests of callers on the flows of this agent."""

    def __init__(
        self, status: status_module.AgentStatus, table: flows.FlowTable
    ) -> None:
        self._status = status
        self._table = table
        self._ids = itertools.count(1)
        self._pending: dict[int, PendingRequest] = {}
        self._pending_by_key: dict[MessageKey, int] = {}
        self._ack_schedule: list[tuple[datetime.timedelta, int]] = []
        self._late_answers: list[LateAnswer] = []
        self._unacknowledged_answers = retransmission.RetransmissionQueue[
            MessageKey
        ](ACK_TIMEOUT)
        self._answered_requests: dict[MessageKey, PendingRequest] = {}

    @property
    def pending_count(self) -> int:
        """Return the number of requests and unacknowledged answers."""
        return len(self._pending) + len(self._unacknowledged_answers)

    def new_id(self) -> int:
        """Return an ID that is unique within this incarnation."""
        return next(self._ids)

    def is_in_progress(self, key: MessageKey) -> bool:
        """Return whether a request or its answer is in progress here."""
        return (
            key in self._pending_by_key or key in self._unacknowledged_answers
        )

    def find_request(self, key: MessageKey) -> int | None:
        """Return the ID of a request in progress."""
        return self._pending_by_key.get(key)

    def refuse(
        self,
        forwarded: wire.Forwarded,
        request: validation.ValidatedRequest,
        reason: reasons.Refusal,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        """Refuse a request whose flow no agent can take."""
        if request.info.idempotent:
            answer = coap.build_refusal(
                request.message, reason, validation.RETRY_AFTER_S
            )
            return [
                actions.CountReason(reason),
                *validation.answer_through_entry(forwarded, answer),
            ]
        # An earlier attempt may have run on another flow. With a deadline
        # of 0 the request engine records that this attempt never runs and
        # refuses it only after that.
        pending = PendingRequest(
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
        request: validation.ValidatedRequest,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        """Submit a caller's request to the request engine."""
        pending = self.open_request(flow, request, now)
        deadline = request.info.deadline
        if deadline is None:
            deadline_ms = self._read_default_deadline_ms()
        else:
            capped = min(deadline, coap.MAX_DEADLINE)
            deadline_ms = capped // datetime.timedelta(milliseconds=1)
        return self._submit(forwarded, request, pending, deadline_ms, now)

    def open_request(
        self,
        flow: flows.Flow,
        request: validation.ValidatedRequest,
        now: datetime.timedelta,
    ) -> PendingRequest:
        """Record a request message of a flow as in progress."""
        message = request.message
        self._table.open_exchange(flow, message.mid, now)
        return PendingRequest(
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
        request: validation.ValidatedRequest,
        pending: PendingRequest,
        deadline_ms: int,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        if len(self._pending) >= MAX_PENDING:
            return [actions.CountReason(reasons.Drop.TABLE_FULL)]
        request_id = self.new_id()
        self.add_pending(request_id, pending, now)
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

    def add_pending(
        self, request_id: int, pending: PendingRequest, now: datetime.timedelta
    ) -> None:
        """Add a request; it is acknowledged if its answer is late."""
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
        return self.send_answer(outcome.request_id, answer, now)

    @staticmethod
    def _build_answer(
        pending: PendingRequest, outcome: events.RequestFinished
    ) -> aiocoap.Message:
        request = aiocoap.Message(
            mtype=pending.mtype,
            mid=pending.key.message_id,
            code=codes.GET,
            token=pending.token,
        )
        if outcome.kind is not wire.WorkResultKind.ANSWERED:
            return validation.build_failure_answer(
                request, outcome.kind, outcome.reason
            )
        answer = coap.decode(outcome.payload, "target")
        if isinstance(answer, reasons.Failure):
            return coap.build_unknown_outcome(
                request, reasons.UnknownOutcome.ANSWER_LOST
            )
        return answer

    def send_answer(
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
            self._unacknowledged_answers.add(key, payload, now)
            self._answered_requests[key] = pending
        return validation.send_to_caller(
            pending.entries, pending.key.flow, payload
        )

    def take_late_answers(self) -> list[LateAnswer]:
        """Return and clear the answers sent for moved flows."""
        late, self._late_answers = self._late_answers, []
        return late

    @staticmethod
    def _readdress(
        pending: PendingRequest, response: aiocoap.Message
    ) -> aiocoap.Message:
        token = pending.token
        if pending.acknowledged:
            mtype, message_id = types.CON, pending.message_id
        elif pending.mtype is types.CON:
            mtype, message_id = types.ACK, pending.key.message_id
        else:
            mtype, message_id = types.NON, pending.message_id
        return coap.copy_with_header(response, mtype, message_id, token)

    def drop_request(self, request_id: int) -> None:
        """Remove a request that gets no answer."""
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            self._pending_by_key.pop(pending.key, None)

    def answer_duplicate(
        self, key: MessageKey, entry: model.Endpoint, answer: bytes
    ) -> list[events.Signal]:
        """Answer a duplicate of a request message.

        Args:
            key: flow and message ID of the request.
            entry: entry that delivered the duplicate.
            answer: encoded answer, empty while the request is in progress.
        """
        result: list[events.Signal] = [
            actions.CountReason(reasons.Drop.DUPLICATE)
        ]
        if answer:
            return result + validation.send_to_caller(
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
        return result + validation.send_to_caller((entry,), key.flow, payload)

    def acknowledge_answer(self, key: MessageKey) -> bool:
        """Handle the acknowledgement or reset of a separate answer.

        Returns:
            Whether the answer was unacknowledged until now.
        """
        self._answered_requests.pop(key, None)
        return self._unacknowledged_answers.remove(key)

    def cancel(self, key: MessageKey) -> list[events.Signal]:
        """Cancel a request in progress that the caller has reset."""
        request_id = self._pending_by_key.get(key)
        if request_id is None:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        pending = self._pending[request_id]
        pending.cancelled = True
        if pending.registers_session:
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
            result += validation.send_to_caller(
                pending.entries, pending.key.flow, coap.encode(empty)
            )
        return result

    def _retransmit_due(self, now: datetime.timedelta) -> list[events.Signal]:
        result: list[events.Signal] = []
        for due in self._unacknowledged_answers.take_due(now):
            if due.expired:
                self._answered_requests.pop(due.key, None)
                continue
            flow = self._table.get(due.key.flow)
            entries = self._answered_requests[due.key].entries
            known = flow.entries if flow is not None else entries
            chosen = self._status.entries.choose(known, due.sent)
            result += validation.send_to_caller(
                chosen, due.key.flow, due.payload
            )
        return result
