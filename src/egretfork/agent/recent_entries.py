"""Entries that recently delivered datagrams."""

import collections
import itertools

from egretfork import model

MAX_ENTRIES = 16
MAX_SHARED_ENTRIES = 4


class RecentEntries:
    """Entries ordered by their last datagram, oldest first."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[model.Endpoint, None] = (
            collections.OrderedDict()
        )

    def record(self, entry: model.Endpoint) -> None:
        """Record that an entry has just delivered a datagram."""
        self._entries[entry] = None
        self._entries.move_to_end(entry)
        if len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def add_from_peer(self, entries: tuple[model.Endpoint, ...]) -> None:
        """Add entries known to a peer, ranked behind all own entries."""
        for entry in entries[:MAX_SHARED_ENTRIES]:
            if entry not in self._entries:
                self._entries[entry] = None
                self._entries.move_to_end(entry, last=False)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def list_recent(self) -> tuple[model.Endpoint, ...]:
        """Return the most recent entries, to be shared with peers."""
        return tuple(
            itertools.islice(reversed(self._entries), MAX_SHARED_ENTRIES)
        )

    def choose(
        self, known: tuple[model.Endpoint, ...], attempt: int
    ) -> tuple[model.Endpoint, ...]:
        """Return the entry for a transmission to a caller.

        The first attempt uses the entry that the caller used last. That
        entry may have failed, so each further attempt uses another one.

        Args:
            known: entries that the caller used, latest first.
            attempt: number of earlier transmissions.
        """
        recent = reversed(self._entries)
        candidates = tuple(dict.fromkeys((*known[:1], *recent, *known)))
        if not candidates:
            return ()
        return (candidates[attempt % len(candidates)],)
