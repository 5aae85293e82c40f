"""State of an agent's own target, derived from the target's reports.

Each report renews a lease. A target whose lease has expired may have been
replaced by a target of another service at the same address, so no flow is
opened there until it reports again.

A report may arrive long after it was sent, and its sender may have ended
meanwhile. The lease therefore begins at the earliest time at which the report
can have been sent. This follows from the report before it, and for the first
report of a target process from the start of that process: a process that has
run for longer than the lease is relied on from its second report. A report
that contradicts what is known takes effect only if a second one confirms it.
No report of another process takes the place of a target whose lease runs,
unless the target itself has shown that it ended: flows are lost with it.
"""

import datetime
import enum

import msgspec

from egretfork.passthrough import messages

# Longest time between the deregistration of a target and its exit.
MAX_EXIT_TIME = datetime.timedelta(seconds=1)
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


class TargetLease:
    """Newest report of the agent's target and its lease.

    Args:
        service: service of the VM's target, empty if it is not known.
    """

    def __init__(self, timing: ReportTiming, service: str = "") -> None:
        self._timing = timing
        self._service = service
        self._report: TargetReport | None = None
        # Arrival of the newest report, or of the one after which those that
        # followed without an interval came.
        self._arrived_at = datetime.timedelta()
        self._sent_at = datetime.timedelta()
        self._lease_end = datetime.timedelta()
        self._is_trusted = False
        self._unconfirmed: TargetReport | None = None
        self._unconfirmed_at = datetime.timedelta()
        self._successor: TargetReport | None = None
        self._successor_at = datetime.timedelta()
        self._flow_lost_at: datetime.timedelta | None = None
        self._deregistered_at: datetime.timedelta | None = None
        self._dead_since: datetime.timedelta | None = None

    @property
    def report(self) -> TargetReport | None:
        """Return the newest report, ``None`` before the first one."""
        return self._report

    def set_service(self, service: str, now: datetime.timedelta) -> None:
        """Set the service; the lease of a target of another one ends."""
        self._service = service
        if self._report is not None and not self._is_expected(self._report):
            self._lease_end = min(self._lease_end, now)
            self._is_trusted = False

    def _is_expected(self, report: TargetReport) -> bool:
        return not self._service or report.service == self._service

    def record_report(
        self, report: TargetReport, now: datetime.timedelta
    ) -> ReportChange:
        """Record a report and return its effect.

        A report of an earlier target process is ignored, and so is one that
        arrives after a later report of the same process.
        """
        known = self._report
        if known is not None and self._is_outdated(known, report, now):
            return ReportChange.OUTDATED
        if known is not None and self._runs_beside(known, report, now):
            self._successor = report
            self._successor_at = now
            return ReportChange.UNCONFIRMED
        if self._needs_confirmation(report) and not self._confirm(report, now):
            return ReportChange.UNCONFIRMED
        if known is None:
            self._accept_first(report, now)
            return ReportChange.FIRST
        if _is_same_instance(known, report):
            return self._renew(known, report, now)
        self._accept_first(report, now)
        return ReportChange.REPLACED

    def _renew(
        self,
        known: TargetReport,
        report: TargetReport,
        now: datetime.timedelta,
    ) -> ReportChange:
        """Record a later report of the same target process."""
        if report.sequence < known.sequence:
            self._accept_first(report, now)
            return ReportChange.REPLACED
        ended = self.get_state(now) is messages.TargetState.ENDED
        sent_at = self._estimate_sent(known, report, now)
        waited_since = self._arrived_at if self._is_early(now) else now
        self._accept(report, now, sent_at)
        self._arrived_at = waited_since
        if self._is_silent(now):
            return ReportChange.DELAYED
        changed = (known.leaving, known.slots) != (
            report.leaving,
            report.slots,
        )
        return ReportChange.STATE if changed or ended else ReportChange.NONE

    def _accept_first(
        self, report: TargetReport, now: datetime.timedelta
    ) -> None:
        """Record the first report of a target process."""
        sent_at = LONG_AGO
        lease_ms = self._timing.lease // MILLISECOND
        if report.age_ms is not None and 0 <= report.age_ms <= lease_ms:
            sent_at = now - report.age_ms * MILLISECOND
        self._accept(report, now, sent_at)

    def _accept(
        self,
        report: TargetReport,
        now: datetime.timedelta,
        sent_at: datetime.timedelta,
    ) -> None:
        same = self._report is not None and _is_same_instance(
            self._report, report
        )
        self._report = report
        self._arrived_at = now
        self._sent_at = sent_at
        self._lease_end = sent_at + self._timing.lease
        self._is_trusted = True
        self._unconfirmed = None
        self._successor = None
        if not same or _is_after(sent_at, self._flow_lost_at):
            self._flow_lost_at = None
        if not same or _is_after(sent_at, self._dead_since):
            self._dead_since = None
        if not same or self._has_survived_deregistration(sent_at):
            self._deregistered_at = None

    def _estimate_sent(
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
            earliest = self._sent_at + self._timing.retry_interval
        else:
            earliest = self._arrived_at + self._timing.interval
        return min(now, earliest + retry_time)

    def _is_early(self, now: datetime.timedelta) -> bool:
        """Return whether a report now follows without an interval."""
        return now - self._arrived_at < self._timing.interval / 2

    def _needs_confirmation(self, report: TargetReport) -> bool:
        """Return whether a report contradicts the settings or earlier ones."""
        known = self._report
        if known is not None and _is_same_instance(known, report):
            return not self._is_trusted
        if not self._is_expected(report):
            return True
        others = (known, self._unconfirmed)
        return any(
            other is not None and report.born_ms < other.born_ms
            for other in others
        )

    def _confirm(self, report: TargetReport, now: datetime.timedelta) -> bool:
        """Return whether an earlier report confirms this one.

        Reports that were delayed together arrive at once, so they do not
        confirm each other.
        """
        earlier = self._unconfirmed
        if (
            earlier is None
            or not _is_same_instance(earlier, report)
            or report.sequence < earlier.sequence
        ):
            self._unconfirmed = report
            self._unconfirmed_at = now
            return False
        waited = now - self._unconfirmed_at >= self._timing.interval / 2
        return waited and report.sequence > earlier.sequence

    def record_deregistration(
        self, identifier: str, now: datetime.timedelta
    ) -> bool:
        """Record a deregistration; return whether it is of this target."""
        if self._report is None or self._report.identifier != identifier:
            return False
        self._deregistered_at = self._deregistered_at or now
        return True

    def record_lost_flow(self, now: datetime.timedelta) -> TargetReport | None:
        """Record that the target returned a packet of a flow that it held.

        Returns:
            The report of a later process that the target's lease has kept
            waiting, if there is one. It takes effect.
        """
        self._flow_lost_at = now
        successor = self._successor
        if successor is None or now - self._successor_at > self._timing.lease:
            return None
        self._accept_first(successor, self._successor_at)
        return successor

    def mark_dead(self, now: datetime.timedelta) -> None:
        """Record that nothing listens at the target's address."""
        self._dead_since = now

    def has_exited(self, now: datetime.timedelta) -> bool:
        """Return whether the target process has certainly exited."""
        if self._dead_since is not None:
            return True
        deregistered_at = self._deregistered_at
        return (
            deregistered_at is not None
            and now - deregistered_at >= MAX_EXIT_TIME
        )

    def get_state(self, now: datetime.timedelta) -> messages.TargetState:
        """Return the state of the target."""
        if self._dead_since is not None or self._deregistered_at is not None:
            return messages.TargetState.ENDED
        if self._report is None:
            return messages.TargetState.UNKNOWN
        if self._report.leaving:
            return messages.TargetState.LEAVING
        if self._is_silent(now):
            return messages.TargetState.UNKNOWN
        return messages.TargetState.READY

    def check_new_flow(
        self, service: str, now: datetime.timedelta
    ) -> messages.DeclineReason | None:
        """Return the reason to decline a new flow, ``None`` to accept it."""
        state = self.get_state(now)
        if state is messages.TargetState.LEAVING:
            return messages.DeclineReason.LEAVING
        if self._report is None or state is not messages.TargetState.READY:
            return messages.DeclineReason.UNKNOWN_TARGET
        if self._report.service != service:
            return messages.DeclineReason.WRONG_SERVICE
        if self._successor is not None and self._successor.service != service:
            return messages.DeclineReason.UNKNOWN_TARGET
        return None

    def _is_silent(self, now: datetime.timedelta) -> bool:
        return now > self._lease_end

    def _is_outdated(
        self,
        known: TargetReport,
        report: TargetReport,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a report is older than what is known."""
        silent = self._is_silent(now)
        if not _is_same_instance(known, report):
            # A new target may report an earlier start time if the wall clock
            # was set back. It is accepted once the lease of the earlier
            # target has expired.
            earlier = report.born_ms < known.born_ms
            return not silent and (earlier or not self._is_expected(report))
        if silent and not report.born_ms:
            # A lower number is that of a new process with this identifier.
            return report.sequence == known.sequence
        if report.sequence <= known.sequence:
            return True
        sent_at = self._estimate_sent(known, report, now)
        return not self._has_survived_deregistration(sent_at)

    def _runs_beside(
        self,
        known: TargetReport,
        report: TargetReport,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a report names a process beside a running target."""
        return (
            not _is_same_instance(known, report)
            and not self._is_silent(now)
            and self.get_state(now) is not messages.TargetState.ENDED
            and self._flow_lost_at is None
        )

    def _has_survived_deregistration(
        self, sent_at: datetime.timedelta
    ) -> bool:
        """Return whether a report shows that the target still runs.

        A deregistration may have been sent by an earlier process with the
        same identifier.
        """
        deregistered_at = self._deregistered_at
        return (
            deregistered_at is None
            or sent_at - deregistered_at >= MAX_EXIT_TIME
        )


def _is_after(
    time: datetime.timedelta, noted_at: datetime.timedelta | None
) -> bool:
    return noted_at is not None and time > noted_at


def _is_same_instance(known: TargetReport, report: TargetReport) -> bool:
    return (known.identifier, known.born_ms, known.service) == (
        report.identifier,
        report.born_ms,
        report.service,
    )
