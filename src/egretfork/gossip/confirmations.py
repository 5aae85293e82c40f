"""Which nodes have which version, in a few dozen bytes a digest."""

import xxhash

from egretfork.gossip import messages
from egretfork.gossip import store


class Confirmations:
    """Bits of the nodes that confirmed the newest version.

    Bits are numbered by the sorted names of the known nodes. Nodes merge
    their bits only while they know the same nodes; a change of nodes
    spreads first and then the bits continue.
    """

    def __init__(self, records: store.Store) -> None:
        self._store = records
        self._version = 0
        self._names: tuple[str, ...] = ()
        self._positions: dict[str, int] = {}
        self._table = 0
        self._bits = 0
        self._highest: dict[str, int] = {}

    def refresh_table(self) -> None:
        """Number the nodes anew after a node came or left."""
        confirmed = self._list_confirmed()
        self._names = tuple(
            sorted(
                name
                for name, record in self._store.nodes.items()
                if not record.left
            )
        )
        self._positions = {
            name: index for index, name in enumerate(self._names)
        }
        self._table = xxhash.xxh3_64_intdigest("|".join(self._names).encode())
        self._bits = 0
        for name in confirmed:
            self._set(name)
        self._highest = {
            name: version
            for name, version in self._highest.items()
            if name in self._positions
        }

    def set_version(self, version: int) -> None:
        """Begin anew when a newer version is known."""
        if version > self._version:
            self._version = version
            self._bits = 0

    def confirm(self, name: str) -> None:
        """Record that a node and its agents have the version."""
        self._set(name)

    def merge(self, confirmed: messages.Confirmed) -> None:
        """Add the bits that a peer knows."""
        if confirmed.version != self._version or not self._version:
            return
        if confirmed.table != self._table:
            return
        new = int.from_bytes(confirmed.bits, "big") & ~self._bits
        for index, name in enumerate(self._names):
            if new >> index & 1:
                self._set(name)

    def make_message(self) -> messages.Confirmed:
        """Return the bits in the form that digests carry."""
        size = (len(self._names) + 7) // 8
        return messages.Confirmed(
            version=self._version,
            table=self._table,
            bits=self._bits.to_bytes(size, "big"),
        )

    def list_versions(self) -> tuple[tuple[str, int], ...]:
        """Return for each node the highest version it surely confirmed."""
        return tuple(
            (name, self._highest.get(name, 0)) for name in self._names
        )

    def _set(self, name: str) -> None:
        if name not in self._positions:
            return
        self._bits |= 1 << self._positions[name]
        known = self._highest.get(name, 0)
        self._highest[name] = max(known, self._version)

    def _list_confirmed(self) -> list[str]:
        return [
            name
            for index, name in enumerate(self._names)
            if self._bits >> index & 1
        ]
