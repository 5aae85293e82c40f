"""Ends requests: answered, refused (surely not run) or unknown."""

import datetime
import functools

from egretfork.agent import context as contexts
from egretfork.agent import events
from egretfork.agent import executions
from egretfork.agent import grants
from egretfork.agent import work as works
from egretfork import model
from egretfork import reasons
from egretfork import wire

RESULT_RESEND = datetime.timedelta(milliseconds=100)
MAX_RESULT_SENDS = 50
MAX_ENDED = 4_096
# Requests that run, that peers have, or whose record is being asked for.
MAX_BESIDES_QUEUE = 8_192

ForeignKey = tuple[model.Endpoint, int]


def read_foreign_key(work: works.Work) -> ForeignKey:
    """Return the name under which a peer's request is known here."""
    return (work.body.origin, work.number)


class Outcomes:
    """Requests in the agent's charge, and how each of them ends.

    An own request is refused only if no target has run it and none will:
    an idempotent one if no peer may still hold it, another one once a void
    record of its attempt is held by a majority. A peer's request is
    refused only towards that peer, which decides about the caller.
    """

    def __init__(
        self,
        context: contexts.Context,
        client: grants.RecordClient,
        executed: executions.Executions,
    ) -> None:
        self._context = context
        self._client = client
        self._executed = executed
        self.limit = MAX_BESIDES_QUEUE
        self.own: dict[int, works.Work] = {}
        self.own_by_request: dict[int, works.Work] = {}
        self.foreign: dict[ForeignKey, works.Work] = {}
        self._results: dict[ForeignKey, wire.WorkResult] = {}
        # Requests of peers that have ended here and must not start again
        # when a handover arrives twice or after its cancellation.
        self._ended: dict[ForeignKey, None] = {}

    @property
    def full(self) -> bool:
        """Return whether no further request is taken in charge."""
        return len(self.own) + len(self.foreign) >= self.limit

    @property
    def idle(self) -> bool:
        """Return whether nothing is in charge and all peers know it."""
        return not (self.own or self.foreign or self._results)

    def add(self, work: works.Work) -> None:
        """Take a request in charge."""
        if work.foreign:
            self.foreign[read_foreign_key(work)] = work
            return
        self.own[work.number] = work
        self.own_by_request[work.body.request_id] = work

    def has_ended(self, key: ForeignKey) -> bool:
        """Return whether a peer's request has ended here already."""
        return key in self._ended

    def bar(self, key: ForeignKey) -> None:
        """Never start a peer's request that arrives later."""
        if len(self._ended) >= MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        self._ended[key] = None

    def finish(
        self,
        work: works.Work,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """End a request whose outcome is known to be this one."""
        if work.stage is works.Stage.ENDED:
            return
        work.stage = works.Stage.ENDED
        if outcome.kind is wire.WorkResultKind.UNKNOWN:
            self._context.count(reasons.UnknownOutcome(outcome.reason))
        if work.foreign:
            self._finish_foreign(work, outcome, now)
            return
        self.own.pop(work.number, None)
        self.own_by_request.pop(work.body.request_id, None)
        self._context.outbox.append(
            events.RequestFinished(
                work.body.request_id,
                outcome.kind,
                outcome.payload,
                outcome.reason,
            )
        )

    def _finish_foreign(
        self,
        work: works.Work,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        key = read_foreign_key(work)
        self.foreign.pop(key, None)
        self.bar(key)
        self._results[key] = wire.WorkResult(
            work.number, outcome.kind, outcome.payload, outcome.reason
        )
        self._send_result(key, 0, now)

    def _send_result(
        self, key: ForeignKey, sends: int, now: datetime.timedelta
    ) -> None:
        result = self._results.get(key)
        if result is None:
            return
        if sends >= MAX_RESULT_SENDS:
            del self._results[key]
            return
        self._context.send(key[0], result)
        self._context.timers.schedule(
            now + RESULT_RESEND,
            functools.partial(self._send_result, key, sends + 1),
        )

    def handle_ack(
        self, peer: model.Endpoint, ack: wire.WorkResultAck
    ) -> None:
        """Forget a result that its origin has."""
        self._results.pop((peer, ack.request_id), None)

    def refuse(
        self,
        work: works.Work,
        reason: reasons.Refusal,
        now: datetime.timedelta,
    ) -> None:
        """End a request that this agent will not run."""
        if work.stage in (works.Stage.ENDED, works.Stage.SETTLING):
            return
        if work.granted:
            self.abandon(work, now)
            return
        if work.foreign or work.body.idempotent:
            self.end_refused(work, reason, now)
            return
        work.stage = works.Stage.SETTLING
        self._client.ask(
            wire.RecordAction.VOID,
            work.body,
            now,
            functools.partial(self._settle_refusal, work, reason),
        )

    def end_refused(
        self,
        work: works.Work,
        reason: reasons.Refusal,
        now: datetime.timedelta,
    ) -> None:
        """Refuse without a record, or report that it may have run."""
        if not work.surely_not_run:
            self.finish(work, fail(reasons.UnknownOutcome.EXECUTOR_LOST), now)
            return
        if work.foreign:
            self._context.count(reasons.Retry.PEER_REFUSED)
        else:
            self._context.count(reason)
        self.finish(work, refuse(reason), now)

    def _settle_refusal(
        self,
        work: works.Work,
        reason: reasons.Refusal,
        decision: grants.Decision,
        now: datetime.timedelta,
    ) -> None:
        if isinstance(decision, reasons.UnknownOutcome):
            self.finish(work, fail(decision), now)
            return
        if decision.state is wire.RecordState.VOID:
            self._context.count(reason)
            self.finish(work, refuse(reason), now)
            return
        self.await_answer(work, decision, now)

    def abandon(self, work: works.Work, now: datetime.timedelta) -> None:
        """End a request whose grant this agent will not use."""
        outcome = fail(reasons.UnknownOutcome.NOT_STARTED)
        self._executed.end(work.body.key, outcome, now)
        self.finish(work, outcome, now)

    def await_answer(
        self,
        work: works.Work,
        record: wire.RunRecord,
        now: datetime.timedelta,
    ) -> None:
        """End a request as the granted run of its key ends."""
        work.stage = works.Stage.SETTLING
        listener = functools.partial(self.finish, work)
        if record.executor != self._context.identity:
            self._client.fetch(record, work.deadline, now, listener)
            return
        if work.body.key in self._executed:
            self.join(work, now)
            return
        self.finish(work, fail(reasons.UnknownOutcome.NOT_STARTED), now)

    def join(self, work: works.Work, now: datetime.timedelta) -> None:
        """Wait for the answer of a run of the same key at this agent."""
        work.stage = works.Stage.JOINED
        self._executed.join(
            work.body.key, functools.partial(self.finish, work), now
        )


def fail(reason: reasons.UnknownOutcome) -> executions.Outcome:
    """Return an unknown outcome."""
    return executions.Outcome(wire.WorkResultKind.UNKNOWN, reason=reason.value)


def refuse(reason: reasons.Refusal) -> executions.Outcome:
    """Return a refusal."""
    return executions.Outcome(wire.WorkResultKind.REFUSED, reason=reason.value)
