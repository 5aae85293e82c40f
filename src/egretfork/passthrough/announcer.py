"""Times and recipients of an agent's announcements."""

import datetime

from egretfork import model
from egretfork.passthrough import messages

ANNOUNCE_PERIOD = datetime.timedelta(milliseconds=200)
# Limit on the announcements that an agent sends per second. The period grows
# with the number of entries to stay within it.
MAX_ANNOUNCEMENTS_PER_S = 50


class Announcer:
    """Decides when an agent announces its target, and to which entries.

    Attributes:
        entries: all known entries.
        sequence: number of the newest announcement.
        state: announced state of the target.
        target_exited: whether the target was announced to have exited.
    """

    def __init__(self, now: datetime.timedelta) -> None:
        self.entries: tuple[model.Endpoint, ...] = ()
        self.sequence = 0
        self.state = messages.TargetState.UNKNOWN
        self.target_exited = False
        self._due_at = now

    @property
    def period(self) -> datetime.timedelta:
        """Return the time between two announcements to all entries."""
        minimum_s = len(self.entries) / MAX_ANNOUNCEMENTS_PER_S
        return max(ANNOUNCE_PERIOD, datetime.timedelta(seconds=minimum_s))

    def set_entries(
        self, entries: tuple[model.Endpoint, ...]
    ) -> tuple[model.Endpoint, ...]:
        """Replace the entries and return those that are new."""
        added = set(entries) - set(self.entries)
        self.entries = entries
        return tuple(sorted(added))

    def is_due(self, now: datetime.timedelta) -> bool:
        """Return whether the next announcement to all entries is due."""
        return now >= self._due_at

    def schedule(self, now: datetime.timedelta) -> None:
        """Schedule the next announcement to all entries."""
        self._due_at = now + self.period

    def has_changed(
        self, state: messages.TargetState, target_exited: bool
    ) -> bool:
        """Return whether the target differs from what was announced."""
        return (state, target_exited) != (self.state, self.target_exited)

    def record(self, state: messages.TargetState, target_exited: bool) -> None:
        """Record what the next announcement says."""
        self.state = state
        self.target_exited = target_exited
        self.sequence += 1
