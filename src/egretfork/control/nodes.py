"""Version confirmations of nodes, and release of quarantined addresses.

A node in this module is an entry. It confirms a version once the entry and
all agents that subscribe to it have received the version.
"""

import datetime

from egretfork.control import commands
from egretfork.control import state

# A new node that has just received a version is not registered yet. It is
# registered, and versions reach all nodes, within this time.
MIN_QUARANTINE = datetime.timedelta(seconds=5)


class ConfirmationTracker:
    """Tracks the latest version confirmed by each node."""

    def __init__(self) -> None:
        self._confirmed: dict[str, int] = {}
        self._quarantined_since: dict[
            commands.QuarantinedAddress, datetime.timedelta
        ] = {}

    def update_confirmations(
        self, confirmations: tuple[commands.NodeVersion, ...]
    ) -> None:
        """Replace the confirmed versions of the given nodes."""
        self._confirmed.update(
            (item.node, item.version) for item in confirmations
        )

    def remove(self, node: str) -> None:
        """Discard the confirmation of a node that was forgotten."""
        self._confirmed.pop(node, None)

    def list_unconfirmed(self, nodes: set[str], version: int) -> list[str]:
        """Return the known nodes that have not confirmed a version."""
        return sorted(
            node for node in nodes if self._confirmed.get(node, 0) < version
        )

    def find_registrations(
        self, current: state.State
    ) -> commands.RegisterNodes | None:
        """Return a command for the nodes that are not registered yet."""
        unregistered = tuple(
            commands.NodeVersion(node, version)
            for node, version in sorted(self._confirmed.items())
            if node not in current.nodes
            and version > current.forgotten.get(node, -1)
        )
        return commands.RegisterNodes(unregistered) if unregistered else None

    def find_releases(
        self, current: state.State, now: datetime.timedelta
    ) -> commands.ReleaseAddresses | None:
        """Return a command for addresses whose release all nodes confirmed."""
        quarantined = current.quarantine.values()
        self._quarantined_since = {
            item: self._quarantined_since.get(item, now)
            for item in quarantined
        }
        released = tuple(
            item
            for item, since in sorted(self._quarantined_since.items())
            if now - since >= MIN_QUARANTINE
            and not self.list_unconfirmed(current.nodes, item.version)
        )
        return commands.ReleaseAddresses(released) if released else None
