"""Runs of requests in the slots of the local target."""

import datetime
import functools
import typing

from egretfork.agent import context as context_module
from egretfork.agent import events
from egretfork.agent import executions
from egretfork.agent import grants
from egretfork.agent import health as health_module
from egretfork.agent import outcomes
from egretfork.agent import work as work_module
from egretfork import reasons
from egretfork import wire

RUN_TIME_WEIGHT = 0.05
LONG_RUN_FACTOR = 10


class RetryHandler(typing.Protocol):
    """Handles requests whose run ended without an answer."""

    def retry(
        self,
        work: work_module.WorkItem,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Queue a request for another run, or end it with the outcome."""

    def process_queue(self, now: datetime.timedelta) -> None:
        """Start waiting requests in free slots."""


class RunTable:
    """Requests that occupy a slot of the local target.

    A slot is occupied from the request for a grant until the exchange with
    the target reports the end of the run.
    """

    def __init__(
        self,
        context: context_module.Context,
        client: grants.RecordClient,
        execution_table: executions.ExecutionTable,
        tracker: outcomes.RequestTracker,
        health: health_module.TargetHealth,
        retry_handler: RetryHandler,
    ) -> None:
        self._context = context
        self._client = client
        self._execution_table = execution_table
        self._tracker = tracker
        self._health = health
        self._retry_handler = retry_handler
        self._runs: dict[int, work_module.WorkItem] = {}
        self._started_at: dict[int, datetime.timedelta] = {}
        self._granting_count = 0
        self.mean_run_time: datetime.timedelta | None = None

    @property
    def used_slots(self) -> int:
        """Return the number of occupied slots."""
        return len(self._runs) + self._granting_count

    def start(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """Run a request in a slot, after obtaining a grant if required."""
        if work.body.idempotent or work.granted:
            self._run(work, now)
            return
        if work.body.key in self._execution_table:
            self._tracker.join(work, now)
            return
        if self._execution_table.is_full:
            records_full = outcomes.make_unknown(
                reasons.UnknownOutcome.RECORDS_FULL
            )
            self._tracker.finish(work, records_full, now)
            return
        work.stage = work_module.Stage.GRANTING
        self._granting_count += 1
        self._client.request_decision(
            wire.RecordAction.GRANT,
            work.body,
            now,
            functools.partial(self._handle_decision, work),
        )

    def _handle_decision(
        self,
        work: work_module.WorkItem,
        decision: grants.Decision,
        now: datetime.timedelta,
    ) -> None:
        self._granting_count -= 1
        if work.stage is work_module.Stage.GRANTING:
            self._apply_decision(work, decision, now)
        self._retry_handler.process_queue(now)

    def _apply_decision(
        self,
        work: work_module.WorkItem,
        decision: grants.Decision,
        now: datetime.timedelta,
    ) -> None:
        if isinstance(decision, reasons.UnknownOutcome):
            self._tracker.finish(work, outcomes.make_unknown(decision), now)
            return
        if decision.state is wire.RecordState.VOID:
            superseded = outcomes.make_refusal(reasons.Refusal.SUPERSEDED)
            self._tracker.finish(work, superseded, now)
            return
        is_own_grant = decision.executor == self._context.identity
        if not is_own_grant or work.body.key in self._execution_table:
            self._tracker.await_answer(work, decision, now)
            return
        work.granted = True
        if work.cancelled or now >= work.deadline:
            self._tracker.abandon_grant(work, now)
            return
        self._execution_table.begin(work.body.key)
        self._run(work, now)

    def _run(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        work.stage = work_module.Stage.RUNNING
        work.run_id = self._context.next_id()
        self._runs[work.run_id] = work
        self._started_at[work.run_id] = now
        self._context.outbox.append(
            events.StartRun(work.run_id, work.body.payload, work.deadline)
        )

    def cancel(self, work: work_module.WorkItem) -> None:
        """Cancel a run unless another request waits for its answer."""
        if not work.body.idempotent:
            if self._execution_table.is_awaited(work.body.key):
                return
        self._context.outbox.append(events.CancelRun(work.run_id))

    def handle_run_ended(
        self, ended: events.RunEnded, now: datetime.timedelta
    ) -> None:
        """Free the slot of a run and end or retry its request."""
        work = self._runs.pop(ended.run_id, None)
        if work is None:
            self._context.count(reasons.Drop.UNMATCHED_ANSWER)
            return
        run_time = now - self._started_at.pop(ended.run_id)
        work.run_id = 0
        self._update_health(work, ended, run_time, now)
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
            self._finish_run(work, outcome, now)
            return
        if ended.kind is wire.WorkResultKind.UNKNOWN:
            work.may_have_run = True
            if not work.body.idempotent:
                self._finish_run(work, outcome, now)
                return
        if work.stage is work_module.Stage.RUNNING:
            self._retry_handler.retry(work, outcome, now)
        elif work.granted:
            self._tracker.abandon_grant(work, now)

    def _finish_run(
        self,
        work: work_module.WorkItem,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        if not work.body.idempotent:
            self._execution_table.end(work.body.key, outcome, now)
        self._tracker.finish(work, outcome, now)

    def _update_health(
        self,
        work: work_module.WorkItem,
        ended: events.RunEnded,
        run_time: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        if ended.kind is wire.WorkResultKind.ANSWERED:
            self._health.note_answer()
            mean = (
                self.mean_run_time
                if self.mean_run_time is not None
                else run_time
            )
            self.mean_run_time = mean + (run_time - mean) * RUN_TIME_WEIGHT
            return
        if ended.kind is wire.WorkResultKind.REFUSED:
            self._health.note_refusal(now)
            return
        if not self._was_cut_short_by_caller(work, run_time):
            self._health.note_failure(now)

    def _was_cut_short_by_caller(
        self, work: work_module.WorkItem, run_time: datetime.timedelta
    ) -> bool:
        """Return whether the caller's cancellation or deadline ended a run.

        Callers with short deadlines must not cause the ejection of a target
        that answers others. After a deadline, a run that took LONG_RUN_FACTOR
        times the mean run time still counts as a failure of the target.
        """
        if work.cancelled:
            return True
        if (
            work.stage is work_module.Stage.RUNNING
            or self.mean_run_time is None
        ):
            return False
        return run_time < self.mean_run_time * LONG_RUN_FACTOR

    def expire(self, now: datetime.timedelta) -> None:
        """End running requests whose deadline has passed."""
        overdue = [
            work
            for work in self._runs.values()
            if now >= work.deadline and work.stage is work_module.Stage.RUNNING
        ]
        for work in overdue:
            self.cancel(work)
            self._tracker.finish(
                work,
                outcomes.make_unknown(reasons.UnknownOutcome.DEADLINE),
                now,
            )


def _default_reason(kind: wire.WorkResultKind) -> str:
    if kind is wire.WorkResultKind.UNKNOWN:
        return reasons.UnknownOutcome.TARGET_LOST.value
    if kind is wire.WorkResultKind.REFUSED:
        return reasons.Refusal.SHEDDING.value
    return ""
