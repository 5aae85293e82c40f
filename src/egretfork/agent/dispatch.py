"""Admits requests and dispatches them to local slots or to peers."""

import datetime

from egretfork.agent import budget
from egretfork.agent import context as context_module
from egretfork.agent import executions
from egretfork.agent import grants
from egretfork.agent import handover
from egretfork.agent import health
from egretfork.agent import outcomes
from egretfork.agent import peers
from egretfork.agent import queue
from egretfork.agent import runs
from egretfork.agent import work as work_module
from egretfork import model
from egretfork import reasons
from egretfork import wire

# Time to determine the outcome and deliver it to the caller. A void record
# takes two round trips between availability zones and possibly a resend.
REFUSAL_MARGIN = datetime.timedelta(milliseconds=30)
VOID_REFUSAL_MARGIN = datetime.timedelta(milliseconds=200)
MAX_REFUSAL_MARGIN = datetime.timedelta(milliseconds=300)
PEER_MARGIN = datetime.timedelta(milliseconds=50)
UNBUDGETED_RETRY_REASONS = (
    reasons.Refusal.DRAINING.value,
    reasons.Refusal.NO_CAPACITY.value,
)
# Multiples of the mean run time, since run times vary: a request is admitted
# if five remain after its estimated wait and started if four remain. A request
# that misses its deadline uses a slot that another could have used in time.
ADMISSION_RESERVE_RUNS = 5.0
START_RESERVE_RUNS = 4.0
# The design (section 1) gives a leaving target no new work after 3 s.
DRAIN_GRACE = datetime.timedelta(seconds=2)


def compute_refusal_margin(work: work_module.WorkItem) -> datetime.timedelta:
    """Return how long before its deadline a waiting request is refused."""
    margin = REFUSAL_MARGIN if work.body.idempotent else VOID_REFUSAL_MARGIN
    if work.from_peer:
        margin += PEER_MARGIN
    return min(margin, (work.deadline - work.accepted_at) / 4)


class Dispatcher:
    """Schedules the requests of one agent onto slots and peers."""

    def __init__(
        self,
        context: context_module.Context,
        peer_table: peers.PeerTable,
        client: grants.RecordClient,
        execution_table: executions.ExecutionTable,
    ) -> None:
        self._context = context
        self._peers = peer_table
        self._execution_table = execution_table
        self._slots = 0
        self._drain_started_at: datetime.timedelta | None = None
        self._budget = budget.RetryBudget()
        self.health = health.TargetHealth()
        self.queue = queue.DeadlineQueue(0)
        self.tracker = outcomes.RequestTracker(
            context, client, execution_table
        )
        self.handover = handover.Handover(
            context, peer_table, self.tracker, self.queue, self
        )
        self.runs = runs.RunTable(
            context, client, execution_table, self.tracker, self.health, self
        )

    def configure(self, service: model.Service) -> None:
        """Apply the slot and queue limits of a configuration."""
        self._slots = service.slots
        self.queue.limit = service.queue
        self.tracker.limit = service.queue + outcomes.MAX_UNQUEUED_REQUESTS

    def is_draining(self, now: datetime.timedelta) -> bool:
        """Return whether the agent rejects new work."""
        return self._drain_started_at is not None or self.health.is_draining(
            now
        )

    def count_free_slots(self, now: datetime.timedelta) -> int:
        """Return how many further runs may start."""
        drain_started_at = self._drain_started_at
        if (
            drain_started_at is not None
            and now - drain_started_at >= DRAIN_GRACE
        ):
            return 0
        limit = self.health.limit_slots(self._slots, now)
        return max(0, limit - self.runs.used_slots)

    def drain(self, now: datetime.timedelta) -> None:
        """Reject new work and return requests handed over by peers."""
        if self._drain_started_at is not None:
            return
        self._drain_started_at = now
        for work in self.queue.list_due_by(datetime.timedelta.max):
            if work.from_peer and not work.granted:
                self.queue.remove(work)
                self.tracker.refuse(work, reasons.Refusal.DRAINING, now)

    def submit(self, body: wire.RequestBody, now: datetime.timedelta) -> None:
        """Admit a caller's request or refuse it."""
        if body.request_id in self.tracker.local_by_request_id:
            self._context.count(reasons.Drop.DUPLICATE)
            return
        deadline = now + datetime.timedelta(milliseconds=body.deadline_ms)
        work = work_module.WorkItem(
            self._context.next_id(), body, deadline, False, now
        )
        if self.tracker.is_full:
            self._reject(work, now)
            return
        self.tracker.add(work)
        self._budget.deposit()
        if body.key and body.key in self._execution_table:
            self.tracker.join(work, now)
            return
        refusal = self._check_admission(work, now)
        if refusal is not None:
            self.tracker.refuse(work, refusal, now)
            return
        self.queue.push(work)
        self.process_queue(now)

    def _reject(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """End a request over the limit without requesting a void record."""
        if work.body.idempotent:
            self.tracker.end_refused(work, reasons.Refusal.QUEUE_FULL, now)
            return
        records_full = outcomes.make_unknown(
            reasons.UnknownOutcome.RECORDS_FULL
        )
        self.tracker.finish(work, records_full, now)

    def _check_admission(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> reasons.Refusal | None:
        if self.is_draining(now):
            return reasons.Refusal.DRAINING
        if now >= work.deadline:
            return reasons.Refusal.DEADLINE
        if self.count_free_slots(now) > len(self.queue):
            return None
        if self.health.state is health.HealthState.EJECTED:
            if not self._peers.count_serving():
                return reasons.Refusal.UNHEALTHY
        if self.queue.is_full:
            return reasons.Refusal.QUEUE_FULL
        wait = self._estimate_wait(now)
        reserve = self._compute_run_reserve(work, ADMISSION_RESERVE_RUNS)
        if now + wait + reserve >= work.deadline - compute_refusal_margin(
            work
        ):
            return reasons.Refusal.NO_CAPACITY
        return None

    def _compute_run_reserve(
        self, work: work_module.WorkItem, run_count: float
    ) -> datetime.timedelta:
        """Return the time reserved for a run.

        It is limited to half of the time that the request had on arrival.
        """
        mean = self.runs.mean_run_time
        if mean is None:
            return datetime.timedelta()
        return min(mean * run_count, (work.deadline - work.accepted_at) / 2)

    def _estimate_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the expected wait of a request at the end of the queues."""
        mean = self.runs.mean_run_time
        if mean is None or not self._slots:
            return datetime.timedelta()
        slots = self._slots * (1 + self._peers.count_serving())
        ahead_count = 1 + len(self.queue) + self._peers.count_waiting(now)
        return mean * ahead_count / slots

    def process_queue(self, now: datetime.timedelta) -> None:
        """Refuse expiring requests, start runs and pull work from peers."""
        self._expire_queue(now)
        while (
            self.count_free_slots(now) > self.handover.puller.unanswered_count
        ):
            if self._pull_from_peer(now):
                continue
            work = self.queue.pop_first(self._can_start_here)
            if work is None:
                break
            self.runs.start(work, now)
        self.handover.answer_parked_pulls(now)

    def has_free_slot(self, now: datetime.timedelta) -> bool:
        """Return whether a slot is free for a peer's request."""
        if self.is_draining(now):
            return False
        return (
            self.count_free_slots(now) > self.handover.puller.unanswered_count
        )

    def _can_start_here(self, work: work_module.WorkItem) -> bool:
        return (
            work.granted or self._context.address not in work.excluded_agents
        )

    def _pull_from_peer(self, now: datetime.timedelta) -> bool:
        """Pull a request from a peer if no local one can start."""
        if self.is_draining(now) or self.queue.find_first(
            self._can_start_here
        ):
            return False
        source = self._peers.choose_pull_source(now)
        if source is None:
            return False
        self.handover.puller.pull(source, now)
        return True

    def _expire_queue(self, now: datetime.timedelta) -> None:
        expired: list[work_module.WorkItem] = []
        mean = self.runs.mean_run_time or datetime.timedelta()
        horizon = now + MAX_REFUSAL_MARGIN + mean * START_RESERVE_RUNS
        for work in self.queue.list_due_by(horizon):
            reserve = self._compute_run_reserve(work, START_RESERVE_RUNS)
            if work.deadline - compute_refusal_margin(work) - reserve <= now:
                expired.append(work)
        for work in expired:
            self.queue.remove(work)
            self.tracker.refuse(work, reasons.Refusal.DEADLINE, now)

    def expire(self, now: datetime.timedelta) -> None:
        """End running and handed-over requests whose deadline has passed."""
        self.runs.expire(now)
        self.handover.expire(now)

    def accept_from_peer(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """Accept a request handed over by a peer."""
        self.tracker.add(work)
        if self.is_draining(now):
            self.tracker.refuse(work, reasons.Refusal.DRAINING, now)
            return
        self.queue.push(work)

    def requeue(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """Return a request to the queue and process the queue."""
        work.stage = work_module.Stage.WAITING
        self.queue.push(work)
        self.process_queue(now)

    def retry(
        self,
        work: work_module.WorkItem,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Queue a request for another run, or end it with the outcome.

        A peer's request without a grant is returned to that peer. A granted
        request stays at this agent, the only one that may run it.
        """
        if self._can_retry(work, outcome, now):
            self._context.count(_choose_retry_reason(outcome))
            self.requeue(work, now)
            return
        if outcome.kind is wire.WorkResultKind.REFUSED:
            self.tracker.refuse(work, reasons.Refusal(outcome.reason), now)
            return
        self.tracker.finish(work, outcome, now)

    def _can_retry(
        self,
        work: work_module.WorkItem,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> bool:
        if (
            work.cancelled
            or work.deadline - compute_refusal_margin(work) <= now
        ):
            return False
        if not work.granted:
            if work.from_peer or not self._has_candidate(work):
                return False
        # The retry budget is for failures: a planned stop and a slot that was
        # taken in the meantime do not count against it.
        if outcome.reason in UNBUDGETED_RETRY_REASONS:
            return True
        if self._budget.try_withdraw():
            return True
        self._context.count(reasons.Retry.BUDGET_EXHAUSTED)
        return False

    def _has_candidate(self, work: work_module.WorkItem) -> bool:
        agents = (self._context.address, *self._peers.list_addresses())
        return any(address not in work.excluded_agents for address in agents)

    def cancel(self, request_id: int, now: datetime.timedelta) -> None:
        """Cancel a caller's request, at this agent or at a peer."""
        work = self.tracker.local_by_request_id.get(request_id)
        if work is None:
            return
        if work.stage in (
            work_module.Stage.HANDED_OVER,
            work_module.Stage.REMOTE,
        ):
            if not work.cancelled:
                work.cancelled = True
                self.handover.cancel(work, now)
            return
        self._cancel_local(work, now)

    def _cancel_local(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        if work.cancelled:
            return
        work.cancelled = True
        if work.stage is work_module.Stage.WAITING:
            self.queue.remove(work)
            self.tracker.refuse(work, reasons.Refusal.CANCELLED, now)
        elif work.stage is work_module.Stage.RUNNING:
            self.runs.cancel(work)

    def handle_cancel(
        self, cancel: wire.WorkCancel, now: datetime.timedelta
    ) -> None:
        """Cancel a peer's request, even if it has not arrived yet."""
        key = (cancel.origin, cancel.request_id)
        work = self.tracker.peer_requests.get(key)
        if work is None:
            self.tracker.mark_ended(key)
            return
        self._cancel_local(work, now)


def _choose_retry_reason(outcome: executions.Outcome) -> reasons.Retry:
    if outcome.kind is wire.WorkResultKind.UNKNOWN:
        return reasons.Retry.IDEMPOTENT_FAILURE
    return reasons.Retry.TARGET_REFUSED
