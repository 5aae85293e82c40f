"""Entries that delivered datagrams lately."""

import collections
import itertools

from egretfork import model

MAX_ENTRIES = 16
MAX_SHARED_ENTRIES = 4


class RecentEntries:
    """Entries in the order in which they were last heard."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[model.Endpoint, None] = (
            collections.OrderedDict()
        )

    def record(self, entry: model.Endpoint) -> None:
        """Take an entry that has just delivered a datagram."""
        self._entries[entry] = None
        self._entries.move_to_end(entry)
        if len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def add_from_peer(self, entries: tuple[model.Endpoint, ...]) -> None:
        """Take entries that a peer has heard; own knowledge comes first."""
        for entry in entries[:MAX_SHARED_ENTRIES]:
            if entry not in self._entries:
                self._entries[entry] = None
                self._entries.move_to_end(entry, last=False)
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def list_recent(self) -> tuple[model.Endpoint, ...]:
        """Return the entries heard last, for peers."""
        return tuple(
            itertools.islice(reversed(self._entries), MAX_SHARED_ENTRIES)
        )

    def choose(
        self, known: tuple[model.Endpoint, ...], attempt: int
    ) -> tuple[model.Endpoint, ...]:
        """Return the entry for a transmission to a caller.

        The first attempt takes the entry that the caller used last. It may
        have failed, so each further attempt takes another entry.

        Args:
            known: entries that the caller used, latest first.
            attempt: transmissions before this one.
        """
        recent = reversed(self._entries)
        candidates = tuple(dict.fromkeys((*known[:1], *recent, *known)))
        if not candidates:
            return ()
        return (candidates[attempt % len(candidates)],)
