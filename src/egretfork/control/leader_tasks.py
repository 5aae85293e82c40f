"""Commands that the leader proposes without an operator's request."""

import collections.abc
import datetime

from egretfork.control import commands
from egretfork.control import groups
from egretfork.control import nodes
from egretfork.control import state
from egretfork import model

PROPOSAL_INTERVAL = datetime.timedelta(milliseconds=200)


class LeaderTasks:
    """Derives leader commands from announcements and confirmations.

    Every member keeps this state up to date, but only the leader proposes
    commands.
    """

    def __init__(self) -> None:
        self.confirmations = nodes.ConfirmationTracker()
        self._group_planner = groups.RecordGroupPlanner()
        self._announcements: tuple[model.TargetAnnouncement, ...] = ()
        self._next_run = datetime.timedelta()

    def update_announcements(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        """Replace the announcements of all targets."""
        self._announcements = announcements

    def handle_applied(
        self,
        command: commands.Command,
        outcome: commands.Outcome | None,
        now: datetime.timedelta,
    ) -> str:
        """Process a committed command.

        Returns:
            Name of the node that the command removed, empty if none.
        """
        match command:
            case commands.SetRecordGroups():
                for group in command.groups:
                    self._group_planner.handle_group_changed(group, now)
            case commands.ForgetNode() if outcome and not outcome.reason:
                self.confirmations.remove(command.node)
                return command.node
        return ""

    def start_if_due(self, now: datetime.timedelta) -> bool:
        """Return whether a run is due; if so, schedule the next one."""
        if now < self._next_run:
            return False
        self._next_run = now + PROPOSAL_INTERVAL
        return True

    def propose(
        self, current: state.State, now: datetime.timedelta
    ) -> collections.abc.Iterator[commands.LeaderCommand]:
        """Return the commands that are due in the current state."""
        registration = self.confirmations.find_registrations(current)
        if registration is not None:
            yield registration
        else:
            release = self.confirmations.find_releases(current, now)
            if release is not None:
                yield release
        changed = self._group_planner.plan(
            current.services, current.groups, self._announcements, now
        )
        if changed:
            yield commands.SetRecordGroups(changed)
