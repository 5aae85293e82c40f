"""Reports of a target, and the times at which they can have been sent.

A report may arrive long after it was sent, and its sender may have ended
meanwhile. Only the earliest time at which it can have been sent is certain.
This follows from the report before it. The first report of a target process
was sent after the start of that process, and over a connection that did not
exist before the agent listened.
"""

import datetime
import enum

import msgspec

# Limit on the reports between two that arrive.
MAX_RETRIES = 1_000_000
# Shortest pause of a target before it repeats a report that failed at once.
MIN_REPORT_GAP = datetime.timedelta(milliseconds=50)
MILLISECOND = datetime.timedelta(milliseconds=1)
# Earlier than any lease that still runs.
LONG_AGO = datetime.timedelta.min / 2


class ReportTiming(msgspec.Struct, frozen=True):
    """Times of the reports of a target.

    Attributes:
        lease: how long a report is valid after it was sent.
        interval: time between an acknowledged report and the next one.
        retry_interval: shortest time between a report that was not
            acknowledged and the next one.
    """

    lease: datetime.timedelta
    interval: datetime.timedelta
    retry_interval: datetime.timedelta

    @property
    def first_interval(self) -> datetime.timedelta:
        """Return the shortest time from a target's start to a second report.

        This holds if the first one was acknowledged. Targets keep the
        interval only approximately.
        """
        return self.interval * 0.75


class TargetReport(msgspec.Struct, frozen=True):
    """Report of a target about itself.

    Attributes:
        identifier: chosen by the target, usually new at each start.
        born_ms: start time of the target in ms since the Unix epoch, 0 if
            the target does not report it.
        sequence: increases with each report of one target process.
        slots: number of requests that the target processes concurrently.
        leaving: the target is about to end.
        warmup_ms: remaining time in which the target is slow after its
            start.
        age_ms: time since the target's start by the wall clock of its VM,
            ``None`` if the target does not report its start. Negative if the
            clock was set back.
    """

    identifier: str
    born_ms: int
    sequence: int
    service: str
    slots: int
    leaving: bool
    warmup_ms: int = 0
    age_ms: int | None = None

    def is_same_process(self, other: "TargetReport") -> bool:
        """Return whether another report is of the same target process."""
        return (self.identifier, self.born_ms, self.service) == (
            other.identifier,
            other.born_ms,
            other.service,
        )


class ReportChange(enum.StrEnum):
    """Effect of a report.

    ``OUTDATED`` and ``UNCONFIRMED`` reports have no effect yet. The lease of
    a ``DELAYED`` one has already ended.
    """

    NONE = "none"
    OUTDATED = "outdated"
    UNCONFIRMED = "unconfirmed"
    DELAYED = "delayed"
    FIRST = "first"
    REPLACED = "replaced"
    STATE = "state"


# Effects of reports that are not recorded.
IGNORED = (ReportChange.OUTDATED, ReportChange.UNCONFIRMED)


class SendTimes:
    """Estimates when the reports of one target process were sent.

    Args:
        listening_since: time before which no target could connect.

    Attributes:
        sent_at: earliest time at which the newest report can have been sent.
    """

    def __init__(
        self, timing: ReportTiming, listening_since: datetime.timedelta
    ) -> None:
        self._timing = timing
        self._listening_since = listening_since
        # Arrival of the newest report, or of the one after which those that
        # followed without an interval came.
        self._arrived_at = datetime.timedelta()
        self.sent_at = LONG_AGO

    def begin(self, report: TargetReport, now: datetime.timedelta) -> None:
        """Record the first known report of a target process.

        It counts as sent at the start of the process, or when the agent
        began to listen if that was later.
        """
        self._arrived_at = now
        self.sent_at = self._listening_since
        lease_ms = self._timing.lease // MILLISECOND
        if report.age_ms is not None and 0 <= report.age_ms <= lease_ms:
            started_at = now - report.age_ms * MILLISECOND
            self.sent_at = max(started_at, self._listening_since)

    def estimate(
        self,
        known: TargetReport,
        report: TargetReport,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return the earliest time at which a report can have been sent.

        A target sends a report one interval after the acknowledgement of the
        one before it, or sooner if that one was not acknowledged. A report
        that follows very soon was sent without waiting for one.
        """
        retries = min(report.sequence - known.sequence - 1, MAX_RETRIES)
        retry_time = retries * self._timing.retry_interval
        if self._is_early(now):
            earliest = self.sent_at + self._timing.retry_interval
        else:
            earliest = self._arrived_at + self._timing.interval
        return min(now, earliest + retry_time)

    def record(
        self, sent_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record a later report of the same process and its estimate."""
        self.sent_at = sent_at
        if not self._is_early(now):
            self._arrived_at = now

    def _is_early(self, now: datetime.timedelta) -> bool:
        """Return whether a report now follows without an interval."""
        return now - self._arrived_at < self._timing.interval / 2


class WaitingReport(msgspec.Struct, frozen=True):
    """A report that has no effect yet."""

    report: TargetReport
    arrived_at: datetime.timedelta

    def is_confirmed_by(
        self,
        later: TargetReport,
        timing: ReportTiming,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a later report of the same process confirms it.

        Reports that were delayed together arrive at once, so they do not
        confirm each other.
        """
        waited = now - self.arrived_at >= timing.interval / 2
        return waited and later.sequence > self.report.sequence
