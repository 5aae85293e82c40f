"""Client of the record group and of executors' stored answers."""

import dataclasses
import datetime
import functools
import typing

from egretfork.agent import context as context_module
from egretfork.agent import executions
from egretfork.agent import peers
from egretfork.agent import records
from egretfork import reasons
from egretfork import wire

RECORD_RESEND = datetime.timedelta(milliseconds=80)
RECORD_TIMEOUT = datetime.timedelta(milliseconds=600)
ANSWER_RESEND = datetime.timedelta(milliseconds=100)
# An executor that does not respond for this long is treated as lost.
ANSWER_TIMEOUT = datetime.timedelta(seconds=1)
MAX_QUERIES = 16_384

Decision = wire.RunRecord | reasons.UnknownOutcome
DecisionCallback = typing.Callable[[Decision, datetime.timedelta], None]


@dataclasses.dataclass(slots=True)
class RecordQuery:
    """A pending request to the primary of a key."""

    action: wire.RecordAction
    key: bytes
    attempt: int
    expires_at: datetime.timedelta
    on_decision: DecisionCallback


@dataclasses.dataclass(slots=True)
class AnswerQuery:
    """A pending request for the answer of a granted run."""

    record: wire.RunRecord
    deadline: datetime.timedelta
    last_heard: datetime.timedelta
    listener: executions.Listener


def parse_unknown_reason(reason: str) -> reasons.UnknownOutcome:
    """Return the reason given by a primary that refused a request."""
    try:
        return reasons.UnknownOutcome(reason)
    except ValueError:
        return reasons.UnknownOutcome.RECORDS_UNREACHABLE


class RecordClient:
    """Requests grants, void records and stored answers."""

    def __init__(
        self,
        context: context_module.Context,
        peer_table: peers.PeerTable,
        member: records.RecordMember,
    ) -> None:
        self._context = context
        self._peers = peer_table
        self._member = member
        self._queries: dict[int, RecordQuery] = {}
        self._answer_queries: dict[int, AnswerQuery] = {}

    def request_decision(
        self,
        action: wire.RecordAction,
        body: wire.RequestBody,
        now: datetime.timedelta,
        on_decision: DecisionCallback,
    ) -> None:
        """Request a grant or a void record.

        The callback is called exactly once.
        """
        if len(self._queries) >= MAX_QUERIES:
            on_decision(reasons.UnknownOutcome.RECORDS_UNREACHABLE, now)
            return
        query_id = self._context.next_id()
        self._queries[query_id] = RecordQuery(
            action, body.key, body.attempt, now + RECORD_TIMEOUT, on_decision
        )
        self._send_query(query_id, now)

    def _send_query(self, query_id: int, now: datetime.timedelta) -> None:
        query = self._queries.get(query_id)
        if query is None:
            return
        if now >= query.expires_at:
            self._resolve_query(
                query_id, reasons.UnknownOutcome.RECORDS_UNREACHABLE, now
            )
            return
        self._send_to_primary(query_id, query)
        self._context.timers.schedule(
            min(query.expires_at, now + RECORD_RESEND),
            functools.partial(self._send_query, query_id),
        )

    def _send_to_primary(self, query_id: int, query: RecordQuery) -> None:
        group = self._member.newest_group
        if group is None or not group.members:
            return
        index = records.choose_primary_index(group, query.key)
        address = self._peers.find_address(group.members[index])
        if address is None:
            return
        record = wire.RunRecord(
            key=query.key,
            attempt=query.attempt,
            state=wire.RecordState.UNAVAILABLE,
            executor=self._context.identity,
            executor_address=self._context.address,
        )
        self._context.send(
            address,
            wire.RecordRequest(
                service=self._context.service,
                epoch=group.epoch,
                query_id=query_id,
                sender=self._context.address,
                action=query.action,
                record=record,
            ),
        )

    def handle_reply(
        self, reply: wire.RecordReply, now: datetime.timedelta
    ) -> None:
        """Process the primary's reply to a pending query."""
        query = self._queries.get(reply.query_id)
        if query is None or reply.record.key != query.key:
            return
        if reply.record.state is not wire.RecordState.UNAVAILABLE:
            self._resolve_query(reply.query_id, reply.record, now)
            return
        reason = parse_unknown_reason(reply.reason)
        # The primary may not have entered the epoch yet, so keep resending.
        if reason is not reasons.UnknownOutcome.RECORDS_UNREACHABLE:
            self._resolve_query(reply.query_id, reason, now)

    def _resolve_query(
        self, query_id: int, decision: Decision, now: datetime.timedelta
    ) -> None:
        query = self._queries.pop(query_id)
        query.on_decision(decision, now)

    def fetch_answer(
        self,
        record: wire.RunRecord,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
        listener: executions.Listener,
    ) -> None:
        """Fetch the answer of a granted request from its executor."""
        if len(self._answer_queries) >= MAX_QUERIES:
            listener(executions.LOST_ANSWER, now)
            return
        query_id = self._context.next_id()
        self._answer_queries[query_id] = AnswerQuery(
            record, deadline, now, listener
        )
        self._send_answer_query(query_id, now)

    def _send_answer_query(
        self, query_id: int, now: datetime.timedelta
    ) -> None:
        query = self._answer_queries.get(query_id)
        if query is None:
            return
        reason = self._check_executor(query, now)
        if reason is not None:
            self._resolve_answer_query(query_id, _make_unknown(reason), now)
            return
        self._context.send(
            query.record.executor_address,
            wire.StoredAnswerRequest(
                query_id=query_id,
                sender=self._context.address,
                key=query.record.key,
                attempt=query.record.attempt,
            ),
        )
        self._context.timers.schedule(
            min(query.deadline, now + ANSWER_RESEND),
            functools.partial(self._send_answer_query, query_id),
        )

    def _check_executor(
        self, query: AnswerQuery, now: datetime.timedelta
    ) -> reasons.UnknownOutcome | None:
        if now >= query.deadline:
            return reasons.UnknownOutcome.DEADLINE
        if self._peers.has_incarnation_ended(query.record.executor):
            return reasons.UnknownOutcome.EXECUTOR_LOST
        if now - query.last_heard >= ANSWER_TIMEOUT:
            return reasons.UnknownOutcome.EXECUTOR_LOST
        return None

    def handle_stored_answer(
        self, reply: wire.StoredAnswerReply, now: datetime.timedelta
    ) -> None:
        """Process an executor's reply to a pending answer query."""
        query = self._answer_queries.get(reply.query_id)
        if query is None:
            return
        query.last_heard = now
        if reply.pending:
            return
        if not reply.found:
            self._resolve_answer_query(
                reply.query_id, executions.LOST_ANSWER, now
            )
            return
        answered = executions.Outcome(
            wire.WorkResultKind.ANSWERED, reply.payload
        )
        self._resolve_answer_query(reply.query_id, answered, now)

    def _resolve_answer_query(
        self,
        query_id: int,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        query = self._answer_queries.pop(query_id)
        query.listener(outcome, now)


def _make_unknown(reason: reasons.UnknownOutcome) -> executions.Outcome:
    return executions.Outcome(wire.WorkResultKind.UNKNOWN, reason=reason.value)
