"""Commands that a leader proposes on its own."""

import collections.abc
import datetime

from egretfork.control import commands
from egretfork.control import groups
from egretfork.control import nodes
from egretfork.control import state
from egretfork import model

INTERVAL = datetime.timedelta(milliseconds=200)


class Duties:
    """What a member has heard through dissemination, and what follows.

    Every member keeps this up to date; only a leader acts on it.
    """

    def __init__(self) -> None:
        self.nodes = nodes.NodeKeeper()
        self._groups = groups.GroupKeeper()
        self._announcements: tuple[model.TargetAnnouncement, ...] = ()
        self._due_at = datetime.timedelta()

    def note_announcements(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        """Replace the announcements of all targets."""
        self._announcements = announcements

    def note_applied(
        self,
        command: commands.Command,
        outcome: commands.Outcome | None,
        now: datetime.timedelta,
    ) -> str:
        """Note a committed command; return a node that it forgot, if any."""
        match command:
            case commands.SetRecordGroups():
                for group in command.groups:
                    self._groups.note_changed(group, now)
            case commands.ForgetNode() if outcome and not outcome.reason:
                self.nodes.drop(command.node)
                return command.node
        return ""

    def is_due(self, now: datetime.timedelta) -> bool:
        """Return whether it is time to decide, and start the next time."""
        if now < self._due_at:
            return False
        self._due_at = now + INTERVAL
        return True

    def decide(
        self, current: state.State, now: datetime.timedelta
    ) -> collections.abc.Iterator[commands.LeaderCommand]:
        """Return the commands that the state and the reports call for."""
        registration = self.nodes.find_registrations(current)
        if registration is not None:
            yield registration
        else:
            release = self.nodes.find_releases(current, now)
            if release is not None:
                yield release
        changed = self._groups.decide(
            current.services, current.groups, self._announcements, now
        )
        if changed:
            yield commands.SetRecordGroups(changed)
