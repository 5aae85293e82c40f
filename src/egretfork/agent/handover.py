"""Moves waiting requests between agents by pulls and handovers."""

import collections
import dataclasses
import datetime
import functools
import typing

import msgspec

from egretfork.agent import context as contexts
from egretfork.agent import executions
from egretfork.agent import outcomes
from egretfork.agent import peers
from egretfork.agent import pulls
from egretfork.agent import queue
from egretfork.agent import work as works
from egretfork import model
from egretfork import reasons
from egretfork import wire

HANDOVER_RESEND = datetime.timedelta(milliseconds=60)
MAX_HANDOVER_SENDS = 4
CANCEL_RESEND = datetime.timedelta(milliseconds=100)
MAX_CANCEL_SENDS = 6
MAX_ANSWERED_PULLS = 1_024
# Shorter than the puller remembers a parked pull.
PARK_OFFER_LIFETIME = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Parked:
    """A peer's pull that waits for a request."""

    pull: wire.WorkPull
    until: datetime.timedelta


class Scheduler(typing.Protocol):
    """Takes requests back into the queue and fills slots."""

    def has_room(self, now: datetime.timedelta) -> bool:
        """Return whether a slot is free for a peer's request."""

    def accept_foreign(
        self, work: works.Work, now: datetime.timedelta
    ) -> None:
        """Take a peer's request in charge."""

    def take_back(self, work: works.Work, now: datetime.timedelta) -> None:
        """Queue a request again that a peer did not run."""

    def retry(
        self,
        work: works.Work,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        """Run a request again or end it with the outcome."""


class Handover:
    """Both sides of a handover: the puller and the origin.

    Only the origin hands a request over, so that it always knows who may
    hold it. Until the puller accepts, the origin repeats the handover and
    then takes the request back; the puller stays in doubt, since it may
    hold the request all the same.
    """

    def __init__(
        self,
        context: contexts.Context,
        table: peers.PeerTable,
        ends: outcomes.Outcomes,
        waiting: queue.DeadlineQueue,
        scheduler: Scheduler,
    ) -> None:
        self._context = context
        self._peers = table
        self._ends = ends
        self._queue = waiting
        self._scheduler = scheduler
        self.puller = pulls.Puller(context)
        self._parked: dict[model.Endpoint, Parked] = {}
        self._answered: collections.OrderedDict[
            tuple[model.Endpoint, int], int
        ] = collections.OrderedDict()
        self._handed: dict[int, works.Work] = {}

    def handle_pull(
        self, pull: wire.WorkPull, now: datetime.timedelta
    ) -> None:
        """Hand the first suitable request to a peer with a free slot."""
        known = self._answered.get((pull.puller, pull.pull_id))
        if known is not None:
            self._repeat_answer(pull, known, now)
            return
        if not self._hand_first(pull, now):
            self._remember_answer(pull, 0)
            self._parked.pop(pull.puller, None)
            until = now + PARK_OFFER_LIFETIME
            self._parked[pull.puller] = Parked(pull, until)
            self._send_none(pull)

    def offer(self, now: datetime.timedelta) -> None:
        """Hand waiting requests to peers whose pulls are parked."""
        while self._parked and self._queue.find(_is_movable):
            _, parked = self._parked.popitem()
            if parked.until < now:
                self._parked.clear()
                return
            self._hand_first(parked.pull, now)

    def _hand_first(
        self, pull: wire.WorkPull, now: datetime.timedelta
    ) -> bool:
        """Hand over the first request that the puller has not tried."""
        work = self._queue.take(
            lambda item: item.movable
            and pull.puller not in item.tried
            and now < item.deadline
        )
        if work is None:
            return False
        self._remember_answer(pull, work.number)
        self._hand(work, pull)
        self._send_handover(work, pull.pull_id, now)
        return True

    def _remember_answer(self, pull: wire.WorkPull, number: int) -> None:
        self._answered[pull.puller, pull.pull_id] = number
        if len(self._answered) > MAX_ANSWERED_PULLS:
            self._answered.popitem(last=False)

    def _hand(self, work: works.Work, pull: wire.WorkPull) -> None:
        puller = pull.puller
        work.stage = works.Stage.HANDED
        work.pull_id = pull.pull_id
        work.executor = puller
        peer = self._peers.find(puller)
        work.executor_life = peer.announcement.identity if peer else None
        work.in_doubt |= {puller}
        work.sent = 0
        self._handed[work.number] = work

    def _repeat_answer(
        self, pull: wire.WorkPull, number: int, now: datetime.timedelta
    ) -> None:
        work = self._handed.get(number)
        if work is not None and work.executor == pull.puller:
            self._send_body(work, pull.pull_id, now)
            return
        if not number:
            self._send_none(pull)

    def _send_none(self, pull: wire.WorkPull) -> None:
        self._context.send(pull.puller, wire.WorkHandover(pull.pull_id, None))

    def _send_body(
        self, work: works.Work, pull_id: int, now: datetime.timedelta
    ) -> None:
        assert work.executor is not None
        left = max(0, contexts.to_ms(work.deadline - now))
        body = msgspec.structs.replace(
            work.body, request_id=work.number, deadline_ms=left
        )
        first = self._queue.find(_is_movable)
        first_left = first.deadline - now if first else now - now
        self._context.send(
            work.executor,
            wire.WorkHandover(
                pull_id,
                body,
                waiting=self._queue.movable,
                first_deadline_ms=max(0, contexts.to_ms(first_left)),
            ),
        )

    def _send_handover(
        self, work: works.Work, pull_id: int, now: datetime.timedelta
    ) -> None:
        if work.stage is not works.Stage.HANDED or work.cancelled:
            return
        if work.sent >= MAX_HANDOVER_SENDS:
            self._reclaim(work, now)
            return
        work.sent += 1
        self._send_body(work, pull_id, now)
        self._context.timers.schedule(
            now + HANDOVER_RESEND,
            functools.partial(
                self._resend_handover, work, work.executor, pull_id
            ),
        )

    def _resend_handover(
        self,
        work: works.Work,
        executor: model.Endpoint | None,
        pull_id: int,
        now: datetime.timedelta,
    ) -> None:
        if self._handed.get(work.number) is work:
            if work.executor == executor:
                self._send_handover(work, pull_id, now)

    def _reclaim(self, work: works.Work, now: datetime.timedelta) -> None:
        self._context.count(reasons.Retry.PEER_TIMEOUT)
        assert work.executor is not None
        work.tried |= {work.executor}
        # A granted run elsewhere is left to end: its answer is fetched.
        if work.body.idempotent:
            self._context.send(
                work.executor, wire.WorkCancel(work.number, work.body.origin)
            )
        self._release(work)
        self._scheduler.take_back(work, now)

    def _release(self, work: works.Work) -> None:
        self._handed.pop(work.number, None)
        work.executor = None

    def handle_handover(
        self,
        peer: model.Endpoint,
        handover: wire.WorkHandover,
        now: datetime.timedelta,
    ) -> None:
        """Take the request that a peer hands over in charge."""
        body = handover.request
        source = self._peers.find(peer)
        if source is not None and handover.pull_id in self.puller:
            source.note_queue(
                handover.waiting, handover.first_deadline_ms, now
            )
        if body is None:
            self.puller.park(handover.pull_id, now)
            return
        pull = self.puller.take(handover.pull_id)
        key = (body.origin, body.request_id)
        if key in self._ends.foreign:
            self._accept(peer, body)
            return
        # Without an unanswered pull the handover is too old to be trusted
        # with its deadline; the origin takes the request back.
        if pull is None or self._ends.has_ended(key):
            return
        if pull.transit is not None and not self._scheduler.has_room(now):
            self._context.send(peer, _make_bounce(body, handover.pull_id))
            return
        self._accept(peer, body)
        # The handover has travelled for no longer than since the pull, and
        # about as long as the earlier answer if the pull was parked.
        transit = now - pull.asked if pull.transit is None else pull.transit
        left = datetime.timedelta(milliseconds=body.deadline_ms)
        deadline = now + left - transit
        work = works.Work(body.request_id, body, deadline, True, now)
        self._scheduler.accept_foreign(work, now)

    def _accept(self, peer: model.Endpoint, body: wire.RequestBody) -> None:
        self._context.send(
            peer, wire.WorkAccepted(body.request_id, body.origin)
        )

    def handle_accepted(
        self, peer: model.Endpoint, accepted: wire.WorkAccepted
    ) -> None:
        """Note that a peer has a request in its charge."""
        work = self._handed.get(accepted.request_id)
        if work is not None and work.executor == peer:
            work.stage = works.Stage.REMOTE

    def handle_result(
        self,
        peer: model.Endpoint,
        result: wire.WorkResult,
        now: datetime.timedelta,
    ) -> None:
        """Take in the outcome of a request that a peer had."""
        self._context.send(peer, wire.WorkResultAck(result.request_id))
        work = self._ends.own.get(result.request_id)
        if work is None:
            self._context.count(reasons.Drop.UNMATCHED_ANSWER)
            return
        if _is_stale_bounce(result, work):
            return
        outcome = executions.Outcome(
            result.kind, result.payload, result.reason
        )
        if result.kind is wire.WorkResultKind.ANSWERED:
            self._settle(work)
            self._ends.finish(work, outcome, now)
            return
        if result.kind is wire.WorkResultKind.REFUSED:
            work.in_doubt -= {peer}
        if work.executor != peer:
            return
        self._release(work)
        if result.kind is wire.WorkResultKind.UNKNOWN:
            work.ran = True
        self._take_failure(work, peer, outcome, now)

    def _settle(self, work: works.Work) -> None:
        self._release(work)
        self._queue.remove(work)

    def _take_failure(
        self,
        work: works.Work,
        peer: model.Endpoint,
        outcome: executions.Outcome,
        now: datetime.timedelta,
    ) -> None:
        superseded = outcome.reason == reasons.Refusal.SUPERSEDED
        refused = outcome.kind is wire.WorkResultKind.REFUSED
        if not work.body.idempotent and (superseded or not refused):
            self._ends.finish(work, outcome, now)
            return
        if work.cancelled:
            self._ends.refuse(work, reasons.Refusal.CANCELLED, now)
            return
        if outcome.reason != reasons.Refusal.NO_CAPACITY:
            work.tried |= {peer}
        self._scheduler.retry(work, outcome, now)

    def cancel(self, work: works.Work, now: datetime.timedelta) -> None:
        """Ask the peer that has a request to cancel it."""
        work.sent = 0
        self._send_cancel(work, now)

    def _send_cancel(self, work: works.Work, now: datetime.timedelta) -> None:
        if work.number not in self._handed or work.executor is None:
            return
        if work.sent >= MAX_CANCEL_SENDS:
            self._release(work)
            self._ends.refuse(work, reasons.Refusal.CANCELLED, now)
            return
        work.sent += 1
        self._context.send(
            work.executor, wire.WorkCancel(work.number, work.body.origin)
        )
        self._context.timers.schedule(
            now + CANCEL_RESEND, functools.partial(self._send_cancel, work)
        )

    def expire(self, now: datetime.timedelta) -> None:
        """End requests that a peer did not answer by their deadline."""
        late = [work for work in self._handed.values() if now >= work.deadline]
        for work in late:
            self._release(work)
            self._ends.finish(
                work, outcomes.fail(reasons.UnknownOutcome.DEADLINE), now
            )

    def check_executors(self, now: datetime.timedelta) -> None:
        """Retry the requests of executors that have certainly ended."""
        lost = [
            work
            for work in self._handed.values()
            if work.executor_life is not None
            and self._peers.is_gone(work.executor_life)
        ]
        for work in lost:
            self._release(work)
            work.ran = True
            if work.cancelled:
                self._ends.refuse(work, reasons.Refusal.CANCELLED, now)
                continue
            self._scheduler.retry(
                work, outcomes.fail(reasons.UnknownOutcome.EXECUTOR_LOST), now
            )


def _is_movable(work: works.Work) -> bool:
    return work.movable


def _encode_pull_id(pull_id: int) -> bytes:
    return pull_id.to_bytes(8, "big")


def _make_bounce(body: wire.RequestBody, pull_id: int) -> wire.WorkResult:
    """Return a handover whose slot was taken; names the pull."""
    return wire.WorkResult(
        body.request_id,
        wire.WorkResultKind.REFUSED,
        _encode_pull_id(pull_id),
        reasons.Refusal.NO_CAPACITY.value,
    )


def _is_stale_bounce(result: wire.WorkResult, work: works.Work) -> bool:
    """Return whether a bounce is of an earlier handover to the peer."""
    return (
        result.kind is wire.WorkResultKind.REFUSED
        and result.reason == reasons.Refusal.NO_CAPACITY
        and result.payload != _encode_pull_id(work.pull_id)
    )
