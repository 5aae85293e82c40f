"""Whether an agent knows every flow that its target holds."""

import datetime

from egretfork.passthrough import reports

# Idle flows are removed after this time. An agent that has run for longer has
# seen a packet of every flow that its target still holds.
FLOW_IDLE_LIMIT = datetime.timedelta(seconds=60)
# Number of reports that a target may send without a pause after its start.
FIRST_REPORTS = 2


class FlowKnowledge:
    """Tells whether a flow that the agent does not hold is held nowhere else.

    Attributes:
        is_complete: whether the target holds only flows that the agent knows.
    """

    def __init__(
        self, timing: reports.ReportTiming, started_at: datetime.timedelta
    ) -> None:
        """Create the state of an agent process.

        Args:
            started_at: start of the process; all packets since then are
                processed.
        """
        self._timing = timing
        self._started_at = started_at
        self.is_complete = False

    def record_report(
        self, report: reports.TargetReport, now: datetime.timedelta
    ) -> None:
        """Process the first report of a target."""
        if self._has_seen_start(report, now):
            self.is_complete = True

    def record_end(self) -> None:
        """Note that the target has ended, and all its flows with it."""
        self.is_complete = True

    def update(self, now: datetime.timedelta) -> None:
        """Process the passing of time."""
        if now - self._started_at >= FLOW_IDLE_LIMIT:
            self.is_complete = True

    def _has_seen_start(
        self, report: reports.TargetReport, now: datetime.timedelta
    ) -> bool:
        """Return whether the target holds only flows of this agent process.

        It does if it started after this process, or if no earlier process can
        have acknowledged a report of it.
        """
        if report.age_ms is None or report.age_ms < 0:
            return False
        age = report.age_ms * reports.MILLISECOND
        if report.sequence > FIRST_REPORTS + age // reports.MIN_REPORT_GAP:
            # The wall clock was set back after the target had started.
            return False
        started_later = now - age >= self._started_at
        return started_later or age < self._timing.first_interval
