"""What an agent knows of its own target, from the target's reports.

A report is a lease: a target that has not reported within the lease may
have been replaced by one of another service at the same address, so no
flow is opened there until it reports again.
"""

import datetime
import enum

import msgspec

from egretfork.passthrough import messages

# Time that a target needs at most to end once it has signed off.
END_MAX = datetime.timedelta(seconds=1)


class Report(msgspec.Struct, frozen=True):
    """What a target says of itself.

    Attributes:
        identifier: chosen by the target, mostly new with each start.
        born_ms: start of the target in ms since the Unix epoch, 0 if it
            does not tell.
        sequence: raised with each report of one start.
        slots: requests that it runs at a time.
        leaving: it is about to end.
        warmup_ms: how much longer it is slow after its start.
    """

    identifier: str
    born_ms: int
    sequence: int
    service: str
    slots: int
    leaving: bool
    warmup_ms: int = 0


class Change(enum.StrEnum):
    """What a report changed."""

    NONE = "none"
    OUTDATED = "outdated"
    FIRST = "first"
    REPLACED = "replaced"
    STATE = "state"


class TargetLease:
    """Newest report of the agent's target and how long it is relied on."""

    def __init__(self, lease: datetime.timedelta) -> None:
        self._lease = lease
        self._report: Report | None = None
        self._reported_at = datetime.timedelta()
        self._gone_at: datetime.timedelta | None = None
        self._dead = False

    @property
    def report(self) -> Report | None:
        """Return the newest report, none if there was none."""
        return self._report

    def note_report(self, report: Report, now: datetime.timedelta) -> Change:
        """Take a report and return what it changed.

        A report of an earlier start, or one that a later report of the
        same start has overtaken, changes nothing.
        """
        known = self._report
        if known is not None and self._is_outdated(known, report, now):
            return Change.OUTDATED
        self._report = report
        self._reported_at = now
        self._gone_at = None
        self._dead = False
        if known is None:
            return Change.FIRST
        if not _is_same_start(known, report) or (
            report.sequence < known.sequence
        ):
            return Change.REPLACED
        changed = (known.leaving, known.slots) != (
            report.leaving,
            report.slots,
        )
        return Change.STATE if changed else Change.NONE

    def note_end(self, identifier: str, now: datetime.timedelta) -> bool:
        """Note that a target signs off; return whether it is the own one."""
        if self._report is None or self._report.identifier != identifier:
            return False
        self._gone_at = self._gone_at or now
        return True

    def note_death(self) -> None:
        """Note that nothing listens at the target's address."""
        self._dead = True

    def has_ended(self, now: datetime.timedelta) -> bool:
        """Return whether the target surely has ended."""
        if self._gone_at is None:
            return self._dead
        return self._dead or now - self._gone_at >= END_MAX

    def read_state(self, now: datetime.timedelta) -> messages.TargetState:
        """Return what may be sent to the target at this instant."""
        if self._dead or self._gone_at is not None:
            return messages.TargetState.ENDED
        if self._report is None:
            return messages.TargetState.UNKNOWN
        if self._report.leaving:
            return messages.TargetState.LEAVING
        if now - self._reported_at > self._lease:
            return messages.TargetState.UNKNOWN
        return messages.TargetState.READY

    def check_opening(
        self, service: str, now: datetime.timedelta
    ) -> messages.DeclineReason | None:
        """Return why no flow of a service may be opened, none if it may."""
        state = self.read_state(now)
        if state is messages.TargetState.LEAVING:
            return messages.DeclineReason.LEAVING
        if self._report is None or state is not messages.TargetState.READY:
            return messages.DeclineReason.UNKNOWN_TARGET
        if self._report.service != service:
            return messages.DeclineReason.WRONG_SERVICE
        return None

    def _is_outdated(
        self, known: Report, report: Report, now: datetime.timedelta
    ) -> bool:
        silent = now - self._reported_at > self._lease
        if _is_same_start(known, report):
            if silent and not report.born_ms:
                return False
            gone = self._gone_at is not None
            return gone or report.sequence <= known.sequence
        # The wall clock of a new target may have been set back; the
        # earlier target's silence then shows that it has ended.
        return report.born_ms < known.born_ms and not silent


def _is_same_start(known: Report, report: Report) -> bool:
    return (known.identifier, known.born_ms, known.service) == (
        report.identifier,
        report.born_ms,
        report.service,
    )
