"""Which nodes have confirmed which version, and what may be released."""

import datetime

from egretfork.control import commands
from egretfork.control import state
from egretfork import model

# A node that has just got a version is not known yet; it is registered
# within this time, in which versions are in force everywhere.
QUARANTINE_MIN = datetime.timedelta(seconds=5)


class NodeKeeper:
    """Newest confirmations that this member has heard of."""

    def __init__(self) -> None:
        self._confirmed: dict[str, int] = {}
        self._left: frozenset[str] = frozenset()
        self._held_since: dict[commands.Quarantined, datetime.timedelta] = {}

    def note_confirmations(
        self, confirmations: tuple[commands.NodeVersion, ...]
    ) -> None:
        """Replace what is known of the nodes that are named."""
        self._confirmed.update(
            (item.node, item.version) for item in confirmations
        )

    def note_announcements(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        """Note agents that are new and agents that left."""
        states = {item.agent: item.state for item in announcements}
        self._left = frozenset(
            agent
            for agent, state_ in states.items()
            if state_ is model.TargetState.LEFT
        )
        for agent in states.keys() - self._left:
            self._confirmed.setdefault(agent, 0)

    def list_waiting(
        self, known: set[str], item: commands.Quarantined
    ) -> list[str]:
        """Return the known nodes that have not confirmed a release."""
        return sorted(
            node
            for node in known
            if self._confirmed.get(node, 0) < item.version
        )

    def find_registrations(
        self, current: state.State
    ) -> commands.RegisterNodes | None:
        """Return the nodes that the state machine does not know yet."""
        seen = tuple(
            commands.NodeVersion(node, version)
            for node, version in sorted(self._confirmed.items())
            if node not in current.nodes
            and node not in self._left
            and version > current.forgotten.get(node, -1)
        )
        left = tuple(sorted(self._left & current.nodes))
        if not seen and not left:
            return None
        return commands.RegisterNodes(seen, left)

    def find_releases(
        self, current: state.State, now: datetime.timedelta
    ) -> commands.ReleaseAddresses | None:
        """Return the addresses that every known node has given up."""
        held = current.quarantine.values()
        self._held_since = {
            item: self._held_since.get(item, now) for item in held
        }
        released = tuple(
            item
            for item, since in sorted(self._held_since.items())
            if now - since >= QUARANTINE_MIN
            and not self.list_waiting(current.nodes, item)
        )
        return commands.ReleaseAddresses(released) if released else None
