"""Asks the record group for decisions and executors for answers."""

import dataclasses
import datetime
import functools
import typing

from egretfork.agent import context as contexts
from egretfork.agent import executions
from egretfork.agent import peers
from egretfork.agent import records
from egretfork import reasons
from egretfork import wire

RECORD_RESEND = datetime.timedelta(milliseconds=80)
RECORD_TIMEOUT = datetime.timedelta(milliseconds=600)
ANSWER_RESEND = datetime.timedelta(milliseconds=100)
# An executor that stays silent this long is taken as lost.
ANSWER_TIMEOUT = datetime.timedelta(seconds=1)
MAX_QUERIES = 16_384

Decision = wire.RunRecord | reasons.UnknownOutcome
OnDecision = typing.Callable[[Decision, datetime.timedelta], None]


@dataclasses.dataclass(slots=True)
class RecordQuery:
    """A question to the primary of a key."""

    action: wire.RecordAction
    key: bytes
    attempt: int
    give_up: datetime.timedelta
    on_decision: OnDecision


@dataclasses.dataclass(slots=True)
class AnswerQuery:
    """A question to the executor of a granted request."""

    record: wire.RunRecord
    deadline: datetime.timedelta
    heard: datetime.timedelta
    listener: executions.Listener


def read_unknown(reason: str) -> reasons.UnknownOutcome:
    """Return the reason of a refused record request."""
    try:
        return reasons.UnknownOutcome(reason)
    except ValueError:
        return reasons.UnknownOutcome.RECORDS_UNREACHABLE


class RecordClient:
    """Obtains grants, void records and stored answers for the agent."""

    def __init__(
        self,
        context: contexts.Context,
        table: peers.PeerTable,
        member: records.RecordMember,
    ) -> None:
        self._context = context
        self._peers = table
        self._member = member
        self._queries: dict[int, RecordQuery] = {}
        self._answer_queries: dict[int, AnswerQuery] = {}

    def ask(
        self,
        action: wire.RecordAction,
        body: wire.RequestBody,
        now: datetime.timedelta,
        on_decision: OnDecision,
    ) -> None:
        """Ask for a grant or a void record; always calls back once."""
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
        if now >= query.give_up:
            self._decide(
                query_id, reasons.UnknownOutcome.RECORDS_UNREACHABLE, now
            )
            return
        self._send_to_primary(query_id, query)
        self._context.timers.schedule(
            min(query.give_up, now + RECORD_RESEND),
            functools.partial(self._send_query, query_id),
        )

    def _send_to_primary(self, query_id: int, query: RecordQuery) -> None:
        group = self._member.newest
        if group is None or not group.members:
            return
        index = records.choose_primary(group, query.key)
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
        """Take in the primary's answer to a question in progress."""
        query = self._queries.get(reply.query_id)
        if query is None or reply.record.key != query.key:
            return
        if reply.record.state is not wire.RecordState.UNAVAILABLE:
            self._decide(reply.query_id, reply.record, now)
            return
        reason = read_unknown(reply.reason)
        # The primary may be about to enter the epoch: ask it again.
        if reason is not reasons.UnknownOutcome.RECORDS_UNREACHABLE:
            self._decide(reply.query_id, reason, now)

    def _decide(
        self, query_id: int, decision: Decision, now: datetime.timedelta
    ) -> None:
        query = self._queries.pop(query_id)
        query.on_decision(decision, now)

    def fetch(
        self,
        record: wire.RunRecord,
        deadline: datetime.timedelta,
        now: datetime.timedelta,
        listener: executions.Listener,
    ) -> None:
        """Get the answer of a granted request from its executor."""
        if len(self._answer_queries) >= MAX_QUERIES:
            listener(executions.LOST_ANSWER, now)
            return
        query_id = self._context.next_id()
        self._answer_queries[query_id] = AnswerQuery(
            record, deadline, now, listener
        )
        self._send_fetch(query_id, now)

    def _send_fetch(self, query_id: int, now: datetime.timedelta) -> None:
        query = self._answer_queries.get(query_id)
        if query is None:
            return
        reason = self._check_executor(query, now)
        if reason is not None:
            self._deliver(query_id, _fail(reason), now)
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
            functools.partial(self._send_fetch, query_id),
        )

    def _check_executor(
        self, query: AnswerQuery, now: datetime.timedelta
    ) -> reasons.UnknownOutcome | None:
        if now >= query.deadline:
            return reasons.UnknownOutcome.DEADLINE
        if self._peers.is_gone(query.record.executor):
            return reasons.UnknownOutcome.EXECUTOR_LOST
        if now - query.heard >= ANSWER_TIMEOUT:
            return reasons.UnknownOutcome.EXECUTOR_LOST
        return None

    def handle_stored_answer(
        self, reply: wire.StoredAnswerReply, now: datetime.timedelta
    ) -> None:
        """Take in an executor's answer to a question in progress."""
        query = self._answer_queries.get(reply.query_id)
        if query is None:
            return
        query.heard = now
        if reply.pending:
            return
        if not reply.found:
            self._deliver(reply.query_id, executions.LOST_ANSWER, now)
            return
        answered = executions.Outcome(
            wire.WorkResultKind.ANSWERED, reply.payload
        )
        self._deliver(reply.query_id, answered, now)

    def _deliver(
        self,
        query_id: int,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        query = self._answer_queries.pop(query_id)
        query.listener(outcome, now)


def _fail(reason: reasons.UnknownOutcome) -> executions.Outcome:
    return executions.Outcome(wire.WorkResultKind.UNKNOWN, reason=reason.value)
