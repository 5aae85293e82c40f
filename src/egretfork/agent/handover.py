"""Handover of waiting requests between agents."""

import collections
import dataclasses
import datetime
import functools
import typing

import msgspec

from egretfork.agent import context as context_module
from egretfork.agent import executions
from egretfork.agent import outcomes
from egretfork.agent import peers
from egretfork.agent import pulls
from egretfork.agent import queue
from egretfork.agent import work as work_module
from egretfork import model
from egretfork import reasons
from egretfork import wire

HANDOVER_RESEND = datetime.timedelta(milliseconds=60)
MAX_HANDOVER_SENDS = 4
CANCEL_RESEND = datetime.timedelta(milliseconds=100)
MAX_CANCEL_SENDS = 6
MAX_REMEMBERED_ANSWERS = 1_024
# Must be shorter than the time for which the puller keeps a parked pull.
ORIGIN_PARK_LIFETIME = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class ParkedPull:
    """A peer's pull to be answered when a request becomes available."""

    pull: wire.WorkPull
    expires_at: datetime.timedelta


class Scheduler(typing.Protocol):
    """Scheduling operations that a handover needs."""

    def has_free_slot(self, now: datetime.timedelta) -> bool:
        """Return whether a slot is free for a peer's request."""

    def accept_from_peer(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """Accept a request handed over by a peer."""

    def requeue(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """Return a request to the queue and process the queue."""

    def retry(
        self,
        work: work_module.WorkItem,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Queue a request for another run, or end it with the outcome."""


class Handover:
    """Both sides of the handover protocol: the puller and the origin.

    Only the origin hands a request over, so it always knows which agents may
    hold it. The origin resends a handover until the puller accepts it. After
    MAX_HANDOVER_SENDS attempts it reclaims the request, but keeps the puller
    as a possible executor, since the handover may have arrived.
    """

    def __init__(
        self,
        context: context_module.Context,
        peer_table: peers.PeerTable,
        tracker: outcomes.RequestTracker,
        waiting: queue.DeadlineQueue,
        scheduler: Scheduler,
    ) -> None:
        self._context = context
        self._peers = peer_table
        self._tracker = tracker
        self._queue = waiting
        self._scheduler = scheduler
        self.puller = pulls.Puller(context)
        self._parked: dict[model.Endpoint, ParkedPull] = {}
        self._answered_pulls: collections.OrderedDict[
            tuple[model.Endpoint, int], int
        ] = collections.OrderedDict()
        self._handed_over: dict[int, work_module.WorkItem] = {}

    def handle_pull(
        self, pull: wire.WorkPull, now: datetime.timedelta
    ) -> None:
        """Hand the first suitable request to a peer, or park its pull."""
        answered_work_id = self._answered_pulls.get(
            (pull.puller, pull.pull_id)
        )
        if answered_work_id is not None:
            self._repeat_answer(pull, answered_work_id, now)
            return
        if not self._hand_over_first(pull, now):
            self._remember_answer(pull, 0)
            self._parked.pop(pull.puller, None)
            expires_at = now + ORIGIN_PARK_LIFETIME
            self._parked[pull.puller] = ParkedPull(pull, expires_at)
            self._send_empty_handover(pull)

    def answer_parked_pulls(self, now: datetime.timedelta) -> None:
        """Answer parked pulls with requests that have become available."""
        while self._parked and self._queue.find_first(_is_movable):
            _, parked = self._parked.popitem()
            if parked.expires_at < now:
                self._parked.clear()
                return
            self._hand_over_first(parked.pull, now)

    def _hand_over_first(
        self, pull: wire.WorkPull, now: datetime.timedelta
    ) -> bool:
        """Hand over the first request that the puller may still run."""
        work = self._queue.pop_first(
            lambda item: item.is_movable
            and pull.puller not in item.excluded_agents
            and now < item.deadline
        )
        if work is None:
            return False
        self._remember_answer(pull, work.work_id)
        self._mark_handed_over(work, pull)
        self._send_handover(work, pull.pull_id, now)
        return True

    def _remember_answer(self, pull: wire.WorkPull, work_id: int) -> None:
        self._answered_pulls[pull.puller, pull.pull_id] = work_id
        if len(self._answered_pulls) > MAX_REMEMBERED_ANSWERS:
            self._answered_pulls.popitem(last=False)

    def _mark_handed_over(
        self, work: work_module.WorkItem, pull: wire.WorkPull
    ) -> None:
        puller = pull.puller
        work.stage = work_module.Stage.HANDED_OVER
        work.pull_id = pull.pull_id
        work.executor = puller
        peer = self._peers.find(puller)
        work.executor_identity = peer.announcement.identity if peer else None
        work.possible_executors |= {puller}
        work.send_count = 0
        self._handed_over[work.work_id] = work

    def _repeat_answer(
        self, pull: wire.WorkPull, work_id: int, now: datetime.timedelta
    ) -> None:
        work = self._handed_over.get(work_id)
        if work is not None and work.executor == pull.puller:
            self._send_request(work, pull.pull_id, now)
            return
        if not work_id:
            self._send_empty_handover(pull)

    def _send_empty_handover(self, pull: wire.WorkPull) -> None:
        self._context.send(pull.puller, wire.WorkHandover(pull.pull_id, None))

    def _send_request(
        self, work: work_module.WorkItem, pull_id: int, now: datetime.timedelta
    ) -> None:
        assert work.executor is not None
        remaining = max(0, context_module.to_ms(work.deadline - now))
        body = msgspec.structs.replace(
            work.body, request_id=work.work_id, deadline_ms=remaining
        )
        first = self._queue.find_first(_is_movable)
        first_remaining = first.deadline - now if first else now - now
        self._context.send(
            work.executor,
            wire.WorkHandover(
                pull_id,
                body,
                waiting=self._queue.movable_count,
                first_deadline_ms=max(
                    0, context_module.to_ms(first_remaining)
                ),
            ),
        )

    def _send_handover(
        self, work: work_module.WorkItem, pull_id: int, now: datetime.timedelta
    ) -> None:
        if work.stage is not work_module.Stage.HANDED_OVER or work.cancelled:
            return
        if work.send_count >= MAX_HANDOVER_SENDS:
            self._reclaim(work, now)
            return
        work.send_count += 1
        self._send_request(work, pull_id, now)
        self._context.timers.schedule(
            now + HANDOVER_RESEND,
            functools.partial(
                self._resend_handover, work, work.executor, pull_id
            ),
        )

    def _resend_handover(
        self,
        work: work_module.WorkItem,
        executor: model.Endpoint | None,
        pull_id: int,
        now: datetime.timedelta,
    ) -> None:
        if self._handed_over.get(work.work_id) is work:
            if work.executor == executor:
                self._send_handover(work, pull_id, now)

    def _reclaim(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        self._context.count(reasons.Retry.PEER_TIMEOUT)
        assert work.executor is not None
        work.excluded_agents |= {work.executor}
        # A run that the peer was granted is left to finish, and its answer is
        # fetched.
        if work.body.idempotent:
            self._context.send(
                work.executor, wire.WorkCancel(work.work_id, work.body.origin)
            )
        self._release(work)
        self._scheduler.requeue(work, now)

    def _release(self, work: work_module.WorkItem) -> None:
        self._handed_over.pop(work.work_id, None)
        work.executor = None

    def handle_handover(
        self,
        peer: model.Endpoint,
        handover: wire.WorkHandover,
        now: datetime.timedelta,
    ) -> None:
        """Accept the request that a peer hands over."""
        body = handover.request
        source = self._peers.find(peer)
        if source is not None and handover.pull_id in self.puller:
            source.update_queue(
                handover.waiting, handover.first_deadline_ms, now
            )
        if body is None:
            self.puller.park(handover.pull_id, now)
            return
        pull = self.puller.pop_pull(handover.pull_id)
        key = (body.origin, body.request_id)
        if key in self._tracker.peer_requests:
            self._accept(peer, body)
            return
        # Without a matching pull the transit time is unknown, so the deadline
        # cannot be computed; the origin reclaims the request.
        if pull is None or self._tracker.has_ended(key):
            return
        if pull.max_transit is not None and not self._scheduler.has_free_slot(
            now
        ):
            self._context.send(
                peer, _make_slot_taken_result(body, handover.pull_id)
            )
            return
        self._accept(peer, body)
        # The time since the pull is an upper bound of the transit time. For a
        # parked pull, the bound of the earlier, empty answer is the estimate.
        max_transit = (
            now - pull.requested_at
            if pull.max_transit is None
            else pull.max_transit
        )
        remaining = datetime.timedelta(milliseconds=body.deadline_ms)
        deadline = now + remaining - max_transit
        work = work_module.WorkItem(body.request_id, body, deadline, True, now)
        self._scheduler.accept_from_peer(work, now)

    def _accept(self, peer: model.Endpoint, body: wire.RequestBody) -> None:
        self._context.send(
            peer, wire.WorkAccepted(body.request_id, body.origin)
        )

    def handle_accepted(
        self, peer: model.Endpoint, accepted: wire.WorkAccepted
    ) -> None:
        """Mark a request as accepted by a peer."""
        work = self._handed_over.get(accepted.request_id)
        if work is not None and work.executor == peer:
            work.stage = work_module.Stage.REMOTE

    def handle_result(
        self,
        peer: model.Endpoint,
        result: wire.WorkResult,
        now: datetime.timedelta,
    ) -> None:
        """Process the outcome of a request handed over to a peer."""
        self._context.send(peer, wire.WorkResultAck(result.request_id))
        work = self._tracker.local_requests.get(result.request_id)
        if work is None:
            self._context.count(reasons.Drop.UNMATCHED_ANSWER)
            return
        if _is_stale_slot_taken_result(result, work):
            return
        outcome = executions.Outcome(
            result.kind, result.payload, result.reason
        )
        if result.kind is wire.WorkResultKind.ANSWERED:
            self._remove(work)
            self._tracker.finish(work, outcome, now)
            return
        if result.kind is wire.WorkResultKind.REFUSED:
            work.possible_executors -= {peer}
        if work.executor != peer:
            return
        self._release(work)
        if result.kind is wire.WorkResultKind.UNKNOWN:
            work.may_have_run = True
        self._handle_failure(work, peer, outcome, now)

    def _remove(self, work: work_module.WorkItem) -> None:
        self._release(work)
        self._queue.remove(work)

    def _handle_failure(
        self,
        work: work_module.WorkItem,
        peer: model.Endpoint,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        superseded = outcome.reason == reasons.Refusal.SUPERSEDED
        refused = outcome.kind is wire.WorkResultKind.REFUSED
        if not work.body.idempotent and (superseded or not refused):
            self._tracker.finish(work, outcome, now)
            return
        if work.cancelled:
            self._tracker.refuse(work, reasons.Refusal.CANCELLED, now)
            return
        if outcome.reason != reasons.Refusal.NO_CAPACITY:
            work.excluded_agents |= {peer}
        self._scheduler.retry(work, outcome, now)

    def cancel(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        """Send a cancellation to the peer that holds a request."""
        work.send_count = 0
        self._send_cancel(work, now)

    def _send_cancel(
        self, work: work_module.WorkItem, now: datetime.timedelta
    ) -> None:
        if work.work_id not in self._handed_over or work.executor is None:
            return
        if work.send_count >= MAX_CANCEL_SENDS:
            self._release(work)
            self._tracker.refuse(work, reasons.Refusal.CANCELLED, now)
            return
        work.send_count += 1
        self._context.send(
            work.executor, wire.WorkCancel(work.work_id, work.body.origin)
        )
        self._context.timers.schedule(
            now + CANCEL_RESEND, functools.partial(self._send_cancel, work)
        )

    def expire(self, now: datetime.timedelta) -> None:
        """End handed-over requests whose deadline has passed."""
        overdue = [
            work for work in self._handed_over.values() if now >= work.deadline
        ]
        for work in overdue:
            self._release(work)
            self._tracker.finish(
                work,
                outcomes.make_unknown(reasons.UnknownOutcome.DEADLINE),
                now,
            )

    def check_executors(self, now: datetime.timedelta) -> None:
        """Retry requests whose executor has certainly ended."""
        orphaned = [
            work
            for work in self._handed_over.values()
            if work.executor_identity is not None
            and self._peers.has_incarnation_ended(work.executor_identity)
        ]
        for work in orphaned:
            self._release(work)
            work.may_have_run = True
            if work.cancelled:
                self._tracker.refuse(work, reasons.Refusal.CANCELLED, now)
                continue
            self._scheduler.retry(
                work,
                outcomes.make_unknown(reasons.UnknownOutcome.EXECUTOR_LOST),
                now,
            )


def _is_movable(work: work_module.WorkItem) -> bool:
    return work.is_movable


def _encode_pull_id(pull_id: int) -> bytes:
    return pull_id.to_bytes(8, "big")


def _make_slot_taken_result(
    body: wire.RequestBody, pull_id: int
) -> wire.WorkResult:
    """Return the result that rejects a handover because no slot is free.

    The payload identifies the pull that the handover answered.
    """
    return wire.WorkResult(
        body.request_id,
        wire.WorkResultKind.REFUSED,
        _encode_pull_id(pull_id),
        reasons.Refusal.NO_CAPACITY.value,
    )


def _is_stale_slot_taken_result(
    result: wire.WorkResult, work: work_module.WorkItem
) -> bool:
    """Return whether a rejection belongs to an earlier handover."""
    return (
        result.kind is wire.WorkResultKind.REFUSED
        and result.reason == reasons.Refusal.NO_CAPACITY
        and result.payload != _encode_pull_id(work.pull_id)
    )
