"""Tracking of the configuration versions that nodes confirmed.

They are sent as a bit set, which adds a few dozen bytes to a digest.
"""

import xxhash

from egretfork.gossip import messages
from egretfork.gossip import store


class Confirmations:
    """Bits of the nodes that confirmed the newest version.

    Bits are numbered by the sorted names of the known nodes. Two nodes merge
    their bits only while they know the same nodes; after a membership change,
    merging resumes once both have learned of it.
    """

    def __init__(self, records: store.Store) -> None:
        self._store = records
        self._version = 0
        self._names: tuple[str, ...] = ()
        self._bit_positions: dict[str, int] = {}
        self._names_checksum = 0
        self._bits = 0
        self._highest_versions: dict[str, int] = {}

    def update_nodes(self) -> None:
        """Renumber the bits after a node joined or left."""
        confirmed = self._list_confirmed()
        self._names = tuple(
            sorted(
                name
                for name, record in self._store.nodes.items()
                if not record.left
            )
        )
        self._bit_positions = {
            name: index for index, name in enumerate(self._names)
        }
        self._names_checksum = xxhash.xxh3_64_intdigest(
            "|".join(self._names).encode()
        )
        self._bits = 0
        for name in confirmed:
            self._set_bit(name)
        self._highest_versions = {
            name: version
            for name, version in self._highest_versions.items()
            if name in self._bit_positions
        }

    def set_version(self, version: int) -> None:
        """Clear the bits if the version is newer."""
        if version > self._version:
            self._version = version
            self._bits = 0

    def confirm(self, name: str) -> None:
        """Record that a node and its agents have the current version."""
        self._set_bit(name)

    def merge(self, confirmed: messages.Confirmed) -> None:
        """Add the bits of a peer if its version and nodes are the same."""
        if confirmed.version != self._version or not self._version:
            return
        if confirmed.names_checksum != self._names_checksum:
            return
        new = int.from_bytes(confirmed.bits, "big") & ~self._bits
        for index, name in enumerate(self._names):
            if new >> index & 1:
                self._set_bit(name)

    def make_message(self) -> messages.Confirmed:
        """Return the bit set in message form."""
        size = (len(self._names) + 7) // 8
        return messages.Confirmed(
            version=self._version,
            names_checksum=self._names_checksum,
            bits=self._bits.to_bytes(size, "big"),
        )

    def list_versions(self) -> tuple[tuple[str, int], ...]:
        """Return each node with the highest version known to be confirmed."""
        return tuple(
            (name, self._highest_versions.get(name, 0)) for name in self._names
        )

    def _set_bit(self, name: str) -> None:
        if name not in self._bit_positions:
            return
        self._bits |= 1 << self._bit_positions[name]
        known = self._highest_versions.get(name, 0)
        self._highest_versions[name] = max(known, self._version)

    def _list_confirmed(self) -> list[str]:
        return [
            name
            for index, name in enumerate(self._names)
            if self._bits >> index & 1
        ]
