"""Health of the own target, from runs first and from reports second."""

import datetime
import enum

from egretfork.agent import events

FAILURES_TO_EJECT = 3
FIRST_TRIAL_DELAY = datetime.timedelta(seconds=1)
MAX_TRIAL_DELAY = datetime.timedelta(seconds=30)
REPORT_LIFETIME = datetime.timedelta(seconds=3)
REFUSAL_PAUSE = datetime.timedelta(milliseconds=100)


class Health(enum.Enum):
    """Whether the target gets work."""

    READY = "ready"
    EJECTED = "ejected"
    TRIAL = "trial"


class TargetHealth:
    """Ejects a target that fails and admits it again by a trial run.

    A report alone never readmits a target whose runs failed: it permits
    one trial run, and the delay before a trial doubles with each failed
    one. Without any report a trial is permitted after the lifetime of a
    report in addition, since the probe itself may be what is lost.
    """

    def __init__(self) -> None:
        self.health = Health.READY
        self._run_failures = 0
        self._probe_failures = 0
        self._trial_delay = FIRST_TRIAL_DELAY
        self._trial_at = datetime.timedelta()
        self._pause_until = datetime.timedelta()
        self._report: events.TargetReport | None = None
        self._reported_at = datetime.timedelta()

    def _read_report(
        self, now: datetime.timedelta
    ) -> events.TargetReport | None:
        if now - self._reported_at > REPORT_LIFETIME:
            return None
        return self._report

    def is_draining(self, now: datetime.timedelta) -> bool:
        """Return whether the target has said lately that it is leaving."""
        report = self._read_report(now)
        return report is not None and report.draining

    def limit_slots(self, slots: int, now: datetime.timedelta) -> int:
        """Return how many requests the target may run at a time.

        The load that a target claims is not used: the agent starts every
        run itself and knows their number.
        """
        if self.is_draining(now) or now < self._pause_until:
            return 0
        if self.health is Health.EJECTED:
            self._try_again(now)
        if self.health is Health.EJECTED:
            return 0
        if self.health is Health.TRIAL:
            return 1
        report = self._read_report(now)
        if report is not None and report.shedding:
            return max(1, slots // 2)
        return slots

    def _try_again(self, now: datetime.timedelta) -> None:
        if now < self._trial_at:
            return
        report = self._read_report(now)
        waited = now >= self._trial_at + REPORT_LIFETIME
        if report.healthy if report is not None else waited:
            self.health = Health.TRIAL

    def note_report(
        self, report: events.TargetReport, now: datetime.timedelta
    ) -> None:
        """Take in the result of a probe."""
        self._report = report
        self._reported_at = now
        if report.healthy:
            self._probe_failures = 0
            return
        self._probe_failures += 1
        if self._probe_failures >= FAILURES_TO_EJECT:
            self._eject(now)

    def note_answer(self) -> None:
        """Take in an answered run, which outranks failed probes."""
        self._run_failures = 0
        self._probe_failures = 0
        self._trial_delay = FIRST_TRIAL_DELAY
        self.health = Health.READY

    def note_refusal(self, now: datetime.timedelta) -> None:
        """Take in a run that the target refused: pause, do not eject."""
        self._pause_until = now + REFUSAL_PAUSE

    def note_failure(self, now: datetime.timedelta) -> None:
        """Take in a run that timed out or whose target was lost."""
        self._run_failures += 1
        if self.health is Health.TRIAL:
            self._trial_delay = min(MAX_TRIAL_DELAY, self._trial_delay * 2)
            self._eject(now)
        elif self._run_failures >= FAILURES_TO_EJECT:
            self._eject(now)

    def _eject(self, now: datetime.timedelta) -> None:
        if self.health is Health.EJECTED:
            return
        self.health = Health.EJECTED
        self._trial_at = now + self._trial_delay
