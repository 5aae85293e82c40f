"""Slots of the own target: grants, runs and their ends."""

import datetime
import functools
import typing

from egretfork.agent import context as contexts
from egretfork.agent import events
from egretfork.agent import executions
from egretfork.agent import grants
from egretfork.agent import health as healths
from egretfork.agent import outcomes
from egretfork.agent import work as works
from egretfork import reasons
from egretfork import wire

RUN_TIME_WEIGHT = 0.05
LONG_RUN = 10


class Retrier(typing.Protocol):
    """Decides about requests whose run did not answer."""

    def retry(
        self,
        work: works.Work,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Run a request again or end it with the outcome."""

    def pump(self, now: datetime.timedelta) -> None:
        """Fill free slots."""


class Runs:
    """Requests that occupy a slot of the own target.

    A slot is occupied from the moment at which a grant is asked for until
    the target exchange reports the end of the run.
    """

    def __init__(
        self,
        context: contexts.Context,
        client: grants.RecordClient,
        executed: executions.Executions,
        ends: outcomes.Outcomes,
        health: healths.TargetHealth,
        retrier: Retrier,
    ) -> None:
        self._context = context
        self._client = client
        self._executed = executed
        self._ends = ends
        self._health = health
        self._retrier = retrier
        self._runs: dict[int, works.Work] = {}
        self._started_at: dict[int, datetime.timedelta] = {}
        self._granting = 0
        self.mean_run: datetime.timedelta | None = None

    @property
    def used(self) -> int:
        """Return how many slots are occupied."""
        return len(self._runs) + self._granting

    def start(self, work: works.Work, now: datetime.timedelta) -> None:
        """Occupy a slot with a request, after its grant if it needs one."""
        if work.body.idempotent or work.granted:
            self._run(work, now)
            return
        if work.body.key in self._executed:
            self._ends.join(work, now)
            return
        if self._executed.full:
            full = outcomes.fail(reasons.UnknownOutcome.RECORDS_FULL)
            self._ends.finish(work, full, now)
            return
        work.stage = works.Stage.GRANTING
        self._granting += 1
        self._client.ask(
            wire.RecordAction.GRANT,
            work.body,
            now,
            functools.partial(self._take_decision, work),
        )

    def _take_decision(
        self,
        work: works.Work,
        decision: grants.Decision,
        now: datetime.timedelta,
    ) -> None:
        self._granting -= 1
        if work.stage is works.Stage.GRANTING:
            self._apply_decision(work, decision, now)
        self._retrier.pump(now)

    def _apply_decision(
        self,
        work: works.Work,
        decision: grants.Decision,
        now: datetime.timedelta,
    ) -> None:
        if isinstance(decision, reasons.UnknownOutcome):
            self._ends.finish(work, outcomes.fail(decision), now)
            return
        if decision.state is wire.RecordState.VOID:
            superseded = outcomes.refuse(reasons.Refusal.SUPERSEDED)
            self._ends.finish(work, superseded, now)
            return
        mine = decision.executor == self._context.identity
        if not mine or work.body.key in self._executed:
            self._ends.await_answer(work, decision, now)
            return
        work.granted = True
        if work.cancelled or now >= work.deadline:
            self._ends.abandon(work, now)
            return
        self._executed.begin(work.body.key)
        self._run(work, now)

    def _run(self, work: works.Work, now: datetime.timedelta) -> None:
        work.stage = works.Stage.RUNNING
        work.run_id = self._context.next_id()
        self._runs[work.run_id] = work
        self._started_at[work.run_id] = now
        self._context.outbox.append(
            events.StartRun(work.run_id, work.body.payload, work.deadline)
        )

    def cancel(self, work: works.Work) -> None:
        """Stop a run unless another request waits for its answer."""
        if not work.body.idempotent:
            if self._executed.is_awaited(work.body.key):
                return
        self._context.outbox.append(events.CancelRun(work.run_id))

    def handle_run_ended(
        self, ended: events.RunEnded, now: datetime.timedelta
    ) -> None:
        """Free the slot of a run and end its request."""
        work = self._runs.pop(ended.run_id, None)
        if work is None:
            self._context.count(reasons.Drop.UNMATCHED_ANSWER)
            return
        spent = now - self._started_at.pop(ended.run_id)
        work.run_id = 0
        self._note_health(work, ended, spent, now)
        outcome = executions.Outcome(
            ended.kind,
            (
                ended.payload
                if ended.kind is wire.WorkResultKind.ANSWERED
                else b""
            ),
            ended.reason or _default_reason(ended.kind),
        )
        if ended.kind is wire.WorkResultKind.ANSWERED:
            self._conclude(work, outcome, now)
            return
        if ended.kind is wire.WorkResultKind.UNKNOWN:
            work.ran = True
            if not work.body.idempotent:
                self._conclude(work, outcome, now)
                return
        if work.stage is works.Stage.RUNNING:
            self._retrier.retry(work, outcome, now)
        elif work.granted:
            self._ends.abandon(work, now)

    def _conclude(
        self,
        work: works.Work,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        if not work.body.idempotent:
            self._executed.end(work.body.key, outcome, now)
        self._ends.finish(work, outcome, now)

    def _note_health(
        self,
        work: works.Work,
        ended: events.RunEnded,
        spent: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        if ended.kind is wire.WorkResultKind.ANSWERED:
            self._health.note_answer()
            mean = self.mean_run if self.mean_run is not None else spent
            self.mean_run = mean + (spent - mean) * RUN_TIME_WEIGHT
            return
        if ended.kind is wire.WorkResultKind.REFUSED:
            self._health.note_refusal(now)
            return
        if not self._is_callers_doing(work, spent):
            self._health.note_failure(now)

    def _is_callers_doing(
        self, work: works.Work, spent: datetime.timedelta
    ) -> bool:
        """Return whether a run was cut short by its caller.

        Callers with short deadlines must not eject a target that answers
        others; a run much longer than usual counts against the target.
        """
        if work.cancelled:
            return True
        if work.stage is works.Stage.RUNNING or self.mean_run is None:
            return False
        return spent < self.mean_run * LONG_RUN

    def expire(self, now: datetime.timedelta) -> None:
        """End the requests whose deadline passes while they run."""
        late = [
            work
            for work in self._runs.values()
            if now >= work.deadline and work.stage is works.Stage.RUNNING
        ]
        for work in late:
            self.cancel(work)
            self._ends.finish(
                work, outcomes.fail(reasons.UnknownOutcome.DEADLINE), now
            )


def _default_reason(kind: wire.WorkResultKind) -> str:
    if kind is wire.WorkResultKind.UNKNOWN:
        return reasons.UnknownOutcome.TARGET_LOST.value
    if kind is wire.WorkResultKind.REFUSED:
        return reasons.Refusal.SHEDDING.value
    return ""
