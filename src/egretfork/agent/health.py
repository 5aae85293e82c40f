"""Passive and active health checks of the target.

The results of runs take precedence over the results of probes.
"""

import datetime
import enum

from egretfork.agent import events

FAILURES_TO_EJECT = 3
INITIAL_TRIAL_DELAY = datetime.timedelta(seconds=1)
MAX_TRIAL_DELAY = datetime.timedelta(seconds=30)
REPORT_LIFETIME = datetime.timedelta(seconds=3)
REFUSAL_PAUSE = datetime.timedelta(milliseconds=100)


class HealthState(enum.Enum):
    """State of a target in the sense of a circuit breaker.

    ``READY`` admits runs up to the slot limit, ``EJECTED`` none, and
    ``TRIAL`` (half-open) one at a time.
    """

    READY = "ready"
    EJECTED = "ejected"
    TRIAL = "trial"


class TargetHealth:
    """Ejects a failing target and readmits it after a successful trial run.

    A healthy report never readmits an ejected target by itself: it permits
    one trial run, and the delay before a trial doubles with each failed
    one. Without a current report, a trial is permitted once the lifetime of
    a report has passed in addition to the delay, since the probing itself
    may have failed.
    """

    def __init__(self) -> None:
        self.state = HealthState.READY
        self._run_failures = 0
        self._probe_failures = 0
        self._trial_delay = INITIAL_TRIAL_DELAY
        self._trial_at = datetime.timedelta()
        self._pause_until = datetime.timedelta()
        self._report: events.TargetReport | None = None
        self._reported_at = datetime.timedelta()

    def _find_current_report(
        self, now: datetime.timedelta
    ) -> events.TargetReport | None:
        if now - self._reported_at > REPORT_LIFETIME:
            return None
        return self._report

    def is_draining(self, now: datetime.timedelta) -> bool:
        """Return whether the current report says that the target drains."""
        report = self._find_current_report(now)
        return report is not None and report.draining

    def limit_slots(self, slots: int, now: datetime.timedelta) -> int:
        """Return the limit of concurrent runs on the target.

        The load that the target reports is ignored, since the agent starts
        all runs and knows their number.
        """
        if self.is_draining(now) or now < self._pause_until:
            return 0
        if self.state is HealthState.EJECTED:
            self._start_trial_if_due(now)
        if self.state is HealthState.EJECTED:
            return 0
        if self.state is HealthState.TRIAL:
            return 1
        report = self._find_current_report(now)
        if report is not None and report.shedding:
            return max(1, slots // 2)
        return slots

    def _start_trial_if_due(self, now: datetime.timedelta) -> None:
        if now < self._trial_at:
            return
        report = self._find_current_report(now)
        without_report = now >= self._trial_at + REPORT_LIFETIME
        if report.healthy if report is not None else without_report:
            self.state = HealthState.TRIAL

    def note_report(
        self, report: events.TargetReport, now: datetime.timedelta
    ) -> None:
        """Record the result of a probe."""
        self._report = report
        self._reported_at = now
        if report.healthy:
            self._probe_failures = 0
            return
        self._probe_failures += 1
        if self._probe_failures >= FAILURES_TO_EJECT:
            self._eject(now)

    def note_answer(self) -> None:
        """Record an answered run, which overrides failed probes."""
        self._run_failures = 0
        self._probe_failures = 0
        self._trial_delay = INITIAL_TRIAL_DELAY
        self.state = HealthState.READY

    def note_refusal(self, now: datetime.timedelta) -> None:
        """Record a run that the target refused: pause without ejecting."""
        self._pause_until = now + REFUSAL_PAUSE

    def note_failure(self, now: datetime.timedelta) -> None:
        """Record a run that timed out or whose target was lost."""
        self._run_failures += 1
        if self.state is HealthState.TRIAL:
            self._trial_delay = min(MAX_TRIAL_DELAY, self._trial_delay * 2)
            self._eject(now)
        elif self._run_failures >= FAILURES_TO_EJECT:
            self._eject(now)

    def _eject(self, now: datetime.timedelta) -> None:
        if self.state is HealthState.EJECTED:
            return
        self.state = HealthState.EJECTED
        self._trial_at = now + self._trial_delay
