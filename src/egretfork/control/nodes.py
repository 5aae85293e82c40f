"""Which nodes have confirmed which version, and what may be released.

A node here is an entry, which confirms a version once it and the agents
that subscribe to it have it.
"""

import datetime

from egretfork.control import commands
from egretfork.control import state

# A node that has just got a version is not known yet; it is registered
# within this time, in which versions are in force everywhere.
QUARANTINE_MIN = datetime.timedelta(seconds=5)


class NodeKeeper:
    """Newest confirmations that this member has heard of."""

    def __init__(self) -> None:
        self._confirmed: dict[str, int] = {}
        self._held_since: dict[commands.Quarantined, datetime.timedelta] = {}

    def note_confirmations(
        self, confirmations: tuple[commands.NodeVersion, ...]
    ) -> None:
        """Replace what is known of the nodes that are named."""
        self._confirmed.update(
            (item.node, item.version) for item in confirmations
        )

    def drop(self, node: str) -> None:
        """Discard what is known of a node that was forgotten."""
        self._confirmed.pop(node, None)

    def list_behind(self, known: set[str], version: int) -> list[str]:
        """Return the known nodes that have not confirmed a version."""
        return sorted(
            node for node in known if self._confirmed.get(node, 0) < version
        )

    def find_registrations(
        self, current: state.State
    ) -> commands.RegisterNodes | None:
        """Return the nodes that the state machine does not know yet."""
        seen = tuple(
            commands.NodeVersion(node, version)
            for node, version in sorted(self._confirmed.items())
            if node not in current.nodes
            and version > current.forgotten.get(node, -1)
        )
        return commands.RegisterNodes(seen) if seen else None

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
            and not self.list_behind(current.nodes, item.version)
        )
        return commands.ReleaseAddresses(released) if released else None
