"""Tracking of requests until they are answered, refused or unknown."""

import datetime
import functools

from egretfork.agent import context as context_module
from egretfork.agent import events
from egretfork.agent import executions
from egretfork.agent import grants
from egretfork.agent import work as work_module
from egretfork import model
from egretfork import reasons
from egretfork import wire

RESULT_RESEND = datetime.timedelta(milliseconds=100)
MAX_RESULT_SENDS = 50
MAX_ENDED_REQUESTS = 4_096
# Requests that are running, handed over to a peer, or waiting for a record.
MAX_UNQUEUED_REQUESTS = 8_192

PeerRequestKey = tuple[model.Endpoint, int]


def make_peer_request_key(work: work_module.WorkItem) -> PeerRequestKey:
    """Return the key under which a peer's request is tracked."""
    return (work.body.origin, work.work_id)


class RequestTracker:
    """Requests for which the agent is responsible, and their outcomes.

    A local request is refused only if no target has run it or will run it. For
    an idempotent request this means that no peer may still hold it, for any
    other that a majority holds a void record of its attempt. A refusal of a
    peer's request goes to that peer, which determines the final outcome.
    """

    def __init__(
        self,
        context: context_module.Context,
        client: grants.RecordClient,
        execution_table: executions.ExecutionTable,
    ) -> None:
        self._context = context
        self._client = client
        self._execution_table = execution_table
        self.limit = MAX_UNQUEUED_REQUESTS
        self.local_requests: dict[int, work_module.WorkItem] = {}
        self.local_by_request_id: dict[int, work_module.WorkItem] = {}
        self.peer_requests: dict[PeerRequestKey, work_module.WorkItem] = {}
        self._results: dict[PeerRequestKey, wire.WorkResult] = {}
        # Peers' requests that have ended at this agent and must not start
        # when a duplicate handover or one after a cancellation arrives.
        self._ended: dict[PeerRequestKey, None] = {}

    @property
    def is_full(self) -> bool:
        """Return whether no further request can be accepted."""
        return len(self.local_requests) + len(self.peer_requests) >= self.limit

    @property
    def is_idle(self) -> bool:
        """Return whether no request and no unacknowledged result is left."""
        return not (self.local_requests or self.peer_requests or self._results)

    def add(self, work: work_module.WorkItem) -> None:
        """Start tracking a request."""
        if work.from_peer:
            self.peer_requests[make_peer_request_key(work)] = work
            return
        self.local_requests[work.work_id] = work
        self.local_by_request_id[work.body.request_id] = work

    def has_ended(self, key: PeerRequestKey) -> bool:
        """Return whether a peer's request must not start again."""
        return key in self._ended

    def mark_ended(self, key: PeerRequestKey) -> None:
        """Prevent a peer's request from starting if it arrives again."""
        if len(self._ended) >= MAX_ENDED_REQUESTS:
            del self._ended[next(iter(self._ended))]
        self._ended[key] = None

    def finish(
        self,
        work: work_module.WorkItem,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """End a request and report its outcome to the caller or the peer."""
        if work.stage is work_module.Stage.ENDED:
            return
        work.stage = work_module.Stage.ENDED
        if outcome.kind is wire.WorkResultKind.UNKNOWN:
            self._context.count(reasons.UnknownOutcome(outcome.reason))
        if work.from_peer:
            self._finish_peer_request(work, outcome, now)
            return
        self.local_requests.pop(work.work_id, None)
        self.local_by_request_id.pop(work.body.request_id, None)
        self._context.outbox.append(
            events.RequestFinished(
                work.body.request_id,
                outcome.kind,
                outcome.payload,
                outcome.reason,
            )
        )

    def _finish_peer_request(
        self,
        work: work_module.WorkItem,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        key = make_peer_request_key(work)
        self.peer_requests.pop(key, None)
        self.mark_ended(key)
        self._results[key] = wire.WorkResult(
            work.work_id, outcome.kind, outcome.payload, outcome.reason
        )
        self._send_result(key, 0, now)

    def _send_result(
        self, key: PeerRequestKey, send_count: int, now: datetime.timedelta
    ) -> None:
        result = self._results.get(key)
        if result is None:
            return
        if send_count >= MAX_RESULT_SENDS:
            del self._results[key]
            return
        self._context.send(key[0], result)
        self._context.timers.schedule(
            now + RESULT_RESEND,
            functools.partial(self._send_result, key, send_count + 1),
        )

    def handle_ack(
        self, peer: model.Endpoint, ack: wire.WorkResultAck
    ) -> None:
        """Discard a result that the origin has acknowledged."""
        self._results.pop((peer, ack.request_id), None)

    def refuse(
        self,
        work: work_module.WorkItem,
        reason: reasons.Refusal,
        now: datetime.timedelta,
    ) -> None:
        """Refuse a request, after obtaining a void record if required."""
        if work.stage in (
            work_module.Stage.ENDED,
            work_module.Stage.RESOLVING,
        ):
            return
        if work.granted:
            self.abandon_grant(work, now)
            return
        if work.from_peer or work.body.idempotent:
            self.end_refused(work, reason, now)
            return
        work.stage = work_module.Stage.RESOLVING
        self._client.request_decision(
            wire.RecordAction.VOID,
            work.body,
            now,
            functools.partial(self._resolve_refusal, work, reason),
        )

    def end_refused(
        self,
        work: work_module.WorkItem,
        reason: reasons.Refusal,
        now: datetime.timedelta,
    ) -> None:
        """Refuse without a record, or report unknown if it may have run."""
        if not work.certainly_not_run:
            self.finish(
                work, make_unknown(reasons.UnknownOutcome.EXECUTOR_LOST), now
            )
            return
        if work.from_peer:
            self._context.count(reasons.Retry.PEER_REFUSED)
        else:
            self._context.count(reason)
        self.finish(work, make_refusal(reason), now)

    def _resolve_refusal(
        self,
        work: work_module.WorkItem,
        reason: reasons.Refusal,
        decision: grants.Decision,
        now: datetime.timedelta,
    ) -> None:
        if isinstance(decision, reasons.UnknownOutcome):
            self.finish(work, make_unknown(decision), now)
            return
        if decision.state is wire.RecordState.VOID:
            self._context.count(reason)
            self.finish(work, make_refusal(reason), now)
            return
        self.await_answer(work, decision, now)

    def abandon_grant(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """End a granted request that this agent will not run."""
        outcome = make_unknown(reasons.UnknownOutcome.NOT_STARTED)
        self._execution_table.end(work.body.key, outcome, now)
        self.finish(work, outcome, now)

    def await_answer(
        self,
        work: work_module.WorkItem,
        record: wire.RunRecord,
        now: datetime.timedelta,
    ) -> None:
        """End a request with the outcome of the granted run of its key."""
        work.stage = work_module.Stage.RESOLVING
        listener = functools.partial(self.finish, work)
        if record.executor != self._context.identity:
            self._client.fetch_answer(record, work.deadline, now, listener)
            return
        if work.body.key in self._execution_table:
            self.join(work, now)
            return
        self.finish(
            work, make_unknown(reasons.UnknownOutcome.NOT_STARTED), now
        )

    def join(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """End a request with the outcome of a local run of the same key."""
        work.stage = work_module.Stage.JOINED
        self._execution_table.join(
            work.body.key, functools.partial(self.finish, work), now
        )


def make_unknown(reason: reasons.UnknownOutcome) -> executions.Outcome:
    """Return an unknown outcome."""
    return executions.Outcome(wire.WorkResultKind.UNKNOWN, reason=reason.value)


def make_refusal(reason: reasons.Refusal) -> executions.Outcome:
    """Return a refused outcome."""
    return executions.Outcome(wire.WorkResultKind.REFUSED, reason=reason.value)
