"""Schedule of the slots of an agent's target.

Answers flows that carry one request each and open within the round trip in
which a caller's request follows its first packet: a slot that is free when a
flow opens must not be promised again before the request of that flow arrives.
An opening flow therefore reserves a slot until its request arrives. If the
caller has given up or uses another target, no request arrives; a reservation
ends once most requests would have arrived, since a target would otherwise be
idle for much longer than a request takes.
"""

import collections
import datetime

import msgspec

from egretfork.passthrough import packets

# Limits of the time for which a slot is reserved. In between, it is
# ``RESERVATION_FACTOR`` times the average time until a request arrives.
MIN_RESERVATION = datetime.timedelta(milliseconds=20)
MAX_RESERVATION = datetime.timedelta(milliseconds=60)
RESERVATION_FACTOR = 2
# A request without a response counts as running for no longer than this.
RUN_LIMIT = datetime.timedelta(seconds=5)
# Flows that may be promised to the target beyond its slots, so that it does
# not idle while a caller's request is on its way.
ADVANCE_FLOWS = 1
# Assumed run time until the first response.
DEFAULT_RUN_TIME = datetime.timedelta(milliseconds=50)
# Weight of the newest sample in the averages.
SAMPLE_WEIGHT = 0.1
# Least remaining run time of a request, as a share of the average run time.
MIN_REMAINING_SHARE = 0.25
NO_TIME = datetime.timedelta()


class Run(msgspec.Struct, frozen=True):
    """A request that waits for its response.

    Attributes:
        waited: all slots were in use when the request arrived.
    """

    started_at: datetime.timedelta
    waited: bool


class SlotSchedule:
    """Reserved and used slots of a target, with averages of their use.

    Attributes:
        slots: number of requests that the target processes concurrently.
    """

    def __init__(self) -> None:
        self.slots = 1
        self._reserved: collections.OrderedDict[
            packets.FlowKey, datetime.timedelta
        ] = collections.OrderedDict()
        self._running: collections.OrderedDict[packets.FlowKey, Run] = (
            collections.OrderedDict()
        )
        self._run_time: datetime.timedelta | None = None
        self._opening_time: datetime.timedelta | None = None
        self._responded_at = NO_TIME

    @property
    def running_count(self) -> int:
        """Return the number of requests that wait for their response."""
        return len(self._running)

    @property
    def promised_count(self) -> int:
        """Return the number of running requests and reservations."""
        return len(self._running) + len(self._reserved)

    def reserve(self, flow: packets.FlowKey, now: datetime.timedelta) -> None:
        """Reserve a slot for the first request of an opening flow."""
        self._reserved[flow] = now

    def start(self, flow: packets.FlowKey, now: datetime.timedelta) -> None:
        """Record the arrival of a request."""
        reserved_at = self._reserved.pop(flow, None)
        if reserved_at is not None:
            self._opening_time = _average(
                self._opening_time, now - reserved_at
            )
        waited = len(self._running) >= self.slots
        self._running.setdefault(flow, Run(now, waited))

    def finish(
        self, flow: packets.FlowKey, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Record the first part of a response.

        Returns:
            Time since the request arrived, ``None`` if none was running.
        """
        run = self._running.pop(flow, None)
        if run is None:
            return None
        began_at = run.started_at
        if run.waited:
            began_at = max(began_at, self._responded_at)
        self._run_time = _average(self._run_time, now - began_at)
        self._responded_at = now
        return now - run.started_at

    def release(self, flow: packets.FlowKey) -> None:
        """Remove a flow that has ended."""
        self._reserved.pop(flow, None)
        self._running.pop(flow, None)

    def clear(self) -> None:
        """Remove all flows after the target has ended."""
        self._reserved.clear()
        self._running.clear()

    def expire(self, now: datetime.timedelta) -> None:
        """Remove reservations and requests that are older than the limits."""
        limit = self._get_reservation_limit()
        while self._reserved:
            flow, reserved_at = next(iter(self._reserved.items()))
            if now - reserved_at < limit:
                break
            del self._reserved[flow]
        while self._running:
            flow, run = next(iter(self._running.items()))
            if now - run.started_at < RUN_LIMIT:
                break
            del self._running[flow]

    def can_open(self) -> bool:
        """Return whether the target may be given another flow."""
        return self.promised_count < self.slots + ADVANCE_FLOWS

    def estimate_wait(
        self, waiting: int, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Estimate how long the request of another flow would wait.

        Args:
            waiting: number of flows that wait to be opened.
        """
        ahead = self.promised_count + waiting
        if ahead < self.slots:
            return NO_TIME
        average = self._run_time or DEFAULT_RUN_TIME
        least = average * MIN_REMAINING_SHARE
        remaining = sum(
            (
                max(average - (now - run.started_at), least)
                for run in self._running.values()
            ),
            average * (len(self._reserved) + waiting),
        )
        # All slots together work off what remains; a slot is free for the
        # flow once all but ``slots - 1`` of the requests ahead have ended.
        ending = ahead - self.slots + 1
        wait = remaining / self.slots * (ending / ahead)
        return max(wait - (self._opening_time or NO_TIME), NO_TIME)

    def _get_reservation_limit(self) -> datetime.timedelta:
        if self._opening_time is None:
            return MAX_RESERVATION
        limit = self._opening_time * RESERVATION_FACTOR
        return min(max(limit, MIN_RESERVATION), MAX_RESERVATION)


def _average(
    average: datetime.timedelta | None, sample: datetime.timedelta
) -> datetime.timedelta:
    if not average:
        return sample
    return average + SAMPLE_WEIGHT * (sample - average)
