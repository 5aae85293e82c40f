"""Which waiting request runs next, here or at a peer."""

import datetime

from egretfork.agent import budget
from egretfork.agent import context as contexts
from egretfork.agent import executions
from egretfork.agent import grants
from egretfork.agent import handover
from egretfork.agent import health as healths
from egretfork.agent import outcomes
from egretfork.agent import peers
from egretfork.agent import queue
from egretfork.agent import runs
from egretfork.agent import work as works
from egretfork import model
from egretfork import reasons
from egretfork import wire

# Time for the outcome to be settled and to reach the caller: a void record
# needs two round trips between availability zones and perhaps a resend.
REFUSAL_MARGIN = datetime.timedelta(milliseconds=30)
VOID_MARGIN = datetime.timedelta(milliseconds=200)
MAX_MARGIN = datetime.timedelta(milliseconds=300)
FOREIGN_MARGIN = datetime.timedelta(milliseconds=50)
FREE_RETRIES = (
    reasons.Refusal.DRAINING.value,
    reasons.Refusal.NO_CAPACITY.value,
)
# Run times vary: a request is admitted only if five mean run times are left
# after its wait, and started only with four, as one that then misses its
# deadline takes the slot from one that would meet it.
ADMISSION_RESERVE = 5.0
START_RESERVE = 4.0
# A leaving target gets no new work after 3 s (design, 1).
DRAIN_GRACE = datetime.timedelta(seconds=2)


def read_margin(work: works.Work) -> datetime.timedelta:
    """Return how long before its deadline a waiting request is refused."""
    margin = REFUSAL_MARGIN if work.body.idempotent else VOID_MARGIN
    if work.foreign:
        margin += FOREIGN_MARGIN
    return min(margin, (work.deadline - work.arrived) / 4)


class Dispatcher:
    """Queue and slots of one agent."""

    def __init__(
        self,
        context: contexts.Context,
        table: peers.PeerTable,
        client: grants.RecordClient,
        executed: executions.Executions,
    ) -> None:
        self._context = context
        self._peers = table
        self._executed = executed
        self._slots = 0
        self._drained_at: datetime.timedelta | None = None
        self._budget = budget.RetryBudget()
        self.health = healths.TargetHealth()
        self.queue = queue.DeadlineQueue(0)
        self.ends = outcomes.Outcomes(context, client, executed)
        self.handover = handover.Handover(
            context, table, self.ends, self.queue, self
        )
        self.runs = runs.Runs(
            context, client, executed, self.ends, self.health, self
        )

    def configure(self, service: model.Service) -> None:
        """Take up the slots and the queue limit of a configuration."""
        self._slots = service.slots
        self.queue.limit = service.queue
        self.ends.limit = service.queue + outcomes.MAX_BESIDES_QUEUE

    def is_draining(self, now: datetime.timedelta) -> bool:
        """Return whether the agent takes no new work."""
        return self._drained_at is not None or self.health.is_draining(now)

    def count_free_slots(self, now: datetime.timedelta) -> int:
        """Return how many runs may be started."""
        drained = self._drained_at
        if drained is not None and now - drained >= DRAIN_GRACE:
            return 0
        limit = self.health.limit_slots(self._slots, now)
        return max(0, limit - self.runs.used)

    def drain(self, now: datetime.timedelta) -> None:
        """Take no new work; return to peers what they handed over."""
        if self._drained_at is not None:
            return
        self._drained_at = now
        for work in self.queue.list_until(datetime.timedelta.max):
            if work.foreign and not work.granted:
                self.queue.remove(work)
                self.ends.refuse(work, reasons.Refusal.DRAINING, now)

    def submit(self, body: wire.RequestBody, now: datetime.timedelta) -> None:
        """Take a caller's request in charge, or refuse it."""
        if body.request_id in self.ends.own_by_request:
            self._context.count(reasons.Drop.DUPLICATE)
            return
        deadline = now + datetime.timedelta(milliseconds=body.deadline_ms)
        work = works.Work(self._context.next_id(), body, deadline, False, now)
        if self.ends.full:
            self._turn_away(work, now)
            return
        self.ends.add(work)
        self._budget.earn()
        if body.key and body.key in self._executed:
            self.ends.join(work, now)
            return
        refusal = self._check_admission(work, now)
        if refusal is not None:
            self.ends.refuse(work, refusal, now)
            return
        self.queue.push(work)
        self.pump(now)

    def _turn_away(self, work: works.Work, now: datetime.timedelta) -> None:
        """End a request for which not even a void record is asked."""
        if work.body.idempotent:
            self.ends.end_refused(work, reasons.Refusal.QUEUE_FULL, now)
            return
        overfull = outcomes.fail(reasons.UnknownOutcome.RECORDS_FULL)
        self.ends.finish(work, overfull, now)

    def _check_admission(
        self, work: works.Work, now: datetime.timedelta
    ) -> reasons.Refusal | None:
        if self.is_draining(now):
            return reasons.Refusal.DRAINING
        if now >= work.deadline:
            return reasons.Refusal.DEADLINE
        if self.count_free_slots(now) > len(self.queue):
            return None
        if self.health.health is healths.Health.EJECTED:
            if not self._peers.count_serving():
                return reasons.Refusal.UNHEALTHY
        if self.queue.full:
            return reasons.Refusal.QUEUE_FULL
        wait = self._estimate_wait(now)
        reserve = self._read_reserve(work, ADMISSION_RESERVE)
        if now + wait + reserve >= work.deadline - read_margin(work):
            return reasons.Refusal.NO_CAPACITY
        return None

    def _read_reserve(
        self, work: works.Work, factor: float
    ) -> datetime.timedelta:
        """Return the time to keep for a run, at most half of all time."""
        mean = self.runs.mean_run
        if mean is None:
            return datetime.timedelta()
        return min(mean * factor, (work.deadline - work.arrived) / 2)

    def _estimate_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return how long the last of all waiting requests will wait."""
        mean = self.runs.mean_run
        if mean is None or not self._slots:
            return datetime.timedelta()
        slots = self._slots * (1 + self._peers.count_serving())
        ahead = 1 + len(self.queue) + self._peers.count_waiting(now)
        return mean * ahead / slots

    def pump(self, now: datetime.timedelta) -> None:
        """Refuse what expires, start what can run, pull from peers."""
        self._expire_queue(now)
        while self.count_free_slots(now) > self.handover.puller.unanswered:
            if self._pull(now):
                continue
            work = self.queue.take(self._may_start)
            if work is None:
                break
            self.runs.start(work, now)
        self.handover.offer(now)

    def has_room(self, now: datetime.timedelta) -> bool:
        """Return whether a slot is free for a peer's request."""
        if self.is_draining(now):
            return False
        return self.count_free_slots(now) > self.handover.puller.unanswered

    def _may_start(self, work: works.Work) -> bool:
        return work.granted or self._context.address not in work.tried

    def _pull(self, now: datetime.timedelta) -> bool:
        """Ask for a peer's request if no own one can start."""
        if self.is_draining(now) or self.queue.find(self._may_start):
            return False
        source = self._peers.choose_source(now)
        if source is None:
            return False
        self.handover.puller.pull(source, now)
        return True

    def _expire_queue(self, now: datetime.timedelta) -> None:
        expired: list[works.Work] = []
        mean = self.runs.mean_run or datetime.timedelta()
        horizon = now + MAX_MARGIN + mean * START_RESERVE
        for work in self.queue.list_until(horizon):
            reserve = self._read_reserve(work, START_RESERVE)
            if work.deadline - read_margin(work) - reserve <= now:
                expired.append(work)
        for work in expired:
            self.queue.remove(work)
            self.ends.refuse(work, reasons.Refusal.DEADLINE, now)

    def expire(self, now: datetime.timedelta) -> None:
        """End all requests whose deadline passes."""
        self.runs.expire(now)
        self.handover.expire(now)

    def accept_foreign(
        self, work: works.Work, now: datetime.timedelta
    ) -> None:
        """Take a peer's request in charge."""
        self.ends.add(work)
        if self.is_draining(now):
            self.ends.refuse(work, reasons.Refusal.DRAINING, now)
            return
        self.queue.push(work)

    def take_back(self, work: works.Work, now: datetime.timedelta) -> None:
        """Queue a request again that a peer did not run."""
        work.stage = works.Stage.WAITING
        self.queue.push(work)
        self.pump(now)

    def retry(
        self,
        work: works.Work,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Run a request again or end it with the outcome.

        An idempotent request of a peer goes back to the peer. A granted
        one stays here, where alone it may run.
        """
        if self._may_retry(work, outcome, now):
            self._context.count(_choose_retry_reason(outcome))
            self.take_back(work, now)
            return
        if outcome.kind is wire.WorkResultKind.REFUSED:
            self.ends.refuse(work, reasons.Refusal(outcome.reason), now)
            return
        self.ends.finish(work, outcome, now)

    def _may_retry(
        self,
        work: works.Work,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> bool:
        if work.cancelled or work.deadline - read_margin(work) <= now:
            return False
        if not work.granted:
            if work.foreign or not self._has_candidate(work):
                return False
        # Neither a planned stop nor a slot that was taken in the meantime
        # uses up the budget kept for failures.
        if outcome.reason in FREE_RETRIES:
            return True
        if self._budget.spend():
            return True
        self._context.count(reasons.Retry.BUDGET_EXHAUSTED)
        return False

    def _has_candidate(self, work: works.Work) -> bool:
        agents = (self._context.address, *self._peers.addresses())
        return any(address not in work.tried for address in agents)

    def cancel(self, request_id: int, now: datetime.timedelta) -> None:
        """Cancel a caller's request, wherever it is."""
        work = self.ends.own_by_request.get(request_id)
        if work is None:
            return
        if work.stage in (works.Stage.HANDED, works.Stage.REMOTE):
            if not work.cancelled:
                work.cancelled = True
                self.handover.cancel(work, now)
            return
        self._cancel_here(work, now)

    def _cancel_here(self, work: works.Work, now: datetime.timedelta) -> None:
        if work.cancelled:
            return
        work.cancelled = True
        if work.stage is works.Stage.WAITING:
            self.queue.remove(work)
            self.ends.refuse(work, reasons.Refusal.CANCELLED, now)
        elif work.stage is works.Stage.RUNNING:
            self.runs.cancel(work)

    def handle_cancel(
        self, cancel: wire.WorkCancel, now: datetime.timedelta
    ) -> None:
        """Cancel a peer's request, also one that has yet to arrive."""
        key = (cancel.origin, cancel.request_id)
        work = self.ends.foreign.get(key)
        if work is None:
            self.ends.bar(key)
            return
        self._cancel_here(work, now)


def _choose_retry_reason(outcome: executions.Outcome) -> reasons.Retry:
    if outcome.kind is wire.WorkResultKind.UNKNOWN:
        return reasons.Retry.IDEMPOTENT_FAILURE
    return reasons.Retry.TARGET_REFUSED
