"""State of an agent's own target, derived from the target's reports.

Each report renews a lease. A target whose lease has expired may have been
replaced by a target of another service at the same address, so no flow is
opened there until it reports again.

The lease begins at the earliest time at which the report can have been sent:
if both the target process and the agent have run for longer than the lease
when the first report of the process arrives, the target is relied on from its
second one. A report that contradicts what is known takes effect only if a
second one confirms it. No report of another process takes the place of a
target whose lease runs, unless the target itself has shown that it ended:
flows are lost with it.
"""

import datetime

from egretfork.passthrough import messages
from egretfork.passthrough import reports

# Longest time between the deregistration of a target and its exit.
MAX_EXIT_TIME = datetime.timedelta(seconds=1)


class TargetLease:
    """Newest report of the agent's target and its lease.

    Args:
        service: service of the VM's target, empty if it is not known.
        listening_since: time before which no target could connect to the
            agent.
    """

    def __init__(
        self,
        timing: reports.ReportTiming,
        service: str = "",
        listening_since: datetime.timedelta = reports.LONG_AGO,
    ) -> None:
        self._timing = timing
        self._service = service
        self._report: reports.TargetReport | None = None
        self._send_times = reports.SendTimes(timing, listening_since)
        self._lease_end = datetime.timedelta()
        self._is_trusted = False
        # Contradicts the settings or earlier reports: waits for a second one.
        self._unconfirmed: reports.WaitingReport | None = None
        # Of another process while the lease runs: waits for a sign that the
        # known one has ended.
        self._successor: reports.WaitingReport | None = None
        self._flow_lost_at: datetime.timedelta | None = None
        self._deregistered_at: datetime.timedelta | None = None
        self._dead_since: datetime.timedelta | None = None

    @property
    def report(self) -> reports.TargetReport | None:
        """Return the newest report, ``None`` before the first one."""
        return self._report

    def set_service(self, service: str, now: datetime.timedelta) -> None:
        """Set the service; the lease of a target of another one ends."""
        self._service = service
        if self._report is not None and not self._is_expected(self._report):
            self._lease_end = min(self._lease_end, now)
            self._is_trusted = False

    def _is_expected(self, report: reports.TargetReport) -> bool:
        return not self._service or report.service == self._service

    def record_report(
        self, report: reports.TargetReport, now: datetime.timedelta
    ) -> reports.ReportChange:
        """Record a report and return its effect.

        A report of an earlier target process is ignored, and so is one that
        arrives after a later report of the same process.
        """
        known = self._report
        if known is not None and self._is_outdated(known, report, now):
            return reports.ReportChange.OUTDATED
        if known is not None and self._runs_beside(known, report, now):
            self._successor = reports.WaitingReport(report, now)
            return reports.ReportChange.UNCONFIRMED
        if self._needs_confirmation(report) and not self._confirm(report, now):
            return reports.ReportChange.UNCONFIRMED
        if known is None:
            self._accept_first(report, now)
            return reports.ReportChange.FIRST
        if known.is_same_process(report):
            return self._renew(known, report, now)
        self._accept_first(report, now)
        return reports.ReportChange.REPLACED

    def _renew(
        self,
        known: reports.TargetReport,
        report: reports.TargetReport,
        now: datetime.timedelta,
    ) -> reports.ReportChange:
        """Record a later report of the same target process."""
        if report.sequence < known.sequence:
            self._accept_first(report, now)
            return reports.ReportChange.REPLACED
        ended = self.get_state(now) is messages.TargetState.ENDED
        sent_at = self._send_times.estimate(known, report, now)
        self._send_times.record(sent_at, now)
        self._accept(report)
        self._forget_signs_before(sent_at)
        if self._is_silent(now):
            return reports.ReportChange.DELAYED
        changed = (known.leaving, known.slots) != (
            report.leaving,
            report.slots,
        )
        return (
            reports.ReportChange.STATE
            if changed or ended
            else reports.ReportChange.NONE
        )

    def _accept_first(
        self, report: reports.TargetReport, now: datetime.timedelta
    ) -> None:
        """Record the first report of a target process."""
        self._send_times.begin(report, now)
        self._accept(report)
        self._flow_lost_at = None
        self._dead_since = None
        self._deregistered_at = None

    def _accept(self, report: reports.TargetReport) -> None:
        self._report = report
        self._lease_end = self._send_times.sent_at + self._timing.lease
        self._is_trusted = True
        self._unconfirmed = None
        self._successor = None

    def _needs_confirmation(self, report: reports.TargetReport) -> bool:
        """Return whether a report contradicts the settings or earlier ones."""
        known = self._report
        if known is not None and known.is_same_process(report):
            return not self._is_trusted
        if not self._is_expected(report):
            return True
        waiting = self._unconfirmed.report if self._unconfirmed else None
        return any(
            other is not None and report.born_ms < other.born_ms
            for other in (known, waiting)
        )

    def _confirm(
        self, report: reports.TargetReport, now: datetime.timedelta
    ) -> bool:
        """Return whether an earlier report confirms this one."""
        earlier = self._unconfirmed
        if (
            earlier is None
            or not earlier.report.is_same_process(report)
            or report.sequence < earlier.report.sequence
        ):
            self._unconfirmed = reports.WaitingReport(report, now)
            return False
        return earlier.is_confirmed_by(report, self._timing, now)

    def record_deregistration(
        self, identifier: str, now: datetime.timedelta
    ) -> bool:
        """Record a deregistration; return whether it is of this target."""
        if self._report is None or self._report.identifier != identifier:
            return False
        self._deregistered_at = self._deregistered_at or now
        return True

    def record_lost_flow(
        self, now: datetime.timedelta
    ) -> reports.TargetReport | None:
        """Record that the target returned a packet of a flow that it held.

        Returns:
            The report of a later process that the target's lease has kept
            waiting, if there is one. It takes effect.
        """
        self._flow_lost_at = now
        waiting = self._successor
        if waiting is None or now - waiting.arrived_at > self._timing.lease:
            return None
        self._accept_first(waiting.report, waiting.arrived_at)
        return waiting.report

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
        waiting = self._successor
        if waiting is not None and waiting.report.service != service:
            return messages.DeclineReason.UNKNOWN_TARGET
        return None

    def _is_silent(self, now: datetime.timedelta) -> bool:
        return now > self._lease_end

    def _is_outdated(
        self,
        known: reports.TargetReport,
        report: reports.TargetReport,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a report is older than what is known."""
        silent = self._is_silent(now)
        if not known.is_same_process(report):
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
        sent_at = self._send_times.estimate(known, report, now)
        return not self._has_survived_deregistration(sent_at)

    def _runs_beside(
        self,
        known: reports.TargetReport,
        report: reports.TargetReport,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a report names a process beside a running target."""
        return (
            not known.is_same_process(report)
            and not self._is_silent(now)
            and self.get_state(now) is not messages.TargetState.ENDED
            and self._flow_lost_at is None
        )

    def _forget_signs_before(self, sent_at: datetime.timedelta) -> None:
        """Forget signs of the target's end that a report contradicts."""
        if _is_after(sent_at, self._flow_lost_at):
            self._flow_lost_at = None
        if _is_after(sent_at, self._dead_since):
            self._dead_since = None
        if self._has_survived_deregistration(sent_at):
            self._deregistered_at = None

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
