"""The replicated log in memory, from the newest snapshot on."""

import itertools

from egretfork.control import entries


class Log:
    """Entries after a snapshot, with the members that they establish.

    Attributes:
        snapshot: what replaced the entries before.
        size_bytes: size of the commands of all entries held.
    """

    def __init__(
        self,
        snapshot: entries.Snapshot | None = None,
        tail: tuple[entries.Entry, ...] = (),
    ) -> None:
        self.snapshot = snapshot or entries.Snapshot()
        self._entries: list[entries.Entry] = []
        self._changes: list[int] = []
        self.size_bytes = 0
        self.append(tail)

    @property
    def last_index(self) -> int:
        """Return the index of the newest entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the newest entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.term

    @property
    def members(self) -> tuple[entries.Member, ...]:
        """Return the members by the newest entry, committed or not."""
        if self._changes:
            return self.get(self._changes[-1]).members or ()
        return self.snapshot.members

    @property
    def members_index(self) -> int:
        """Return the index of the newest change of members."""
        if self._changes:
            return self._changes[-1]
        return self.snapshot.index

    def members_at(self, index: int) -> tuple[entries.Member, ...]:
        """Return the members as of an index in the log."""
        changes = [change for change in self._changes if change <= index]
        if changes:
            return self.get(changes[-1]).members or ()
        return self.snapshot.members

    def term_at(self, index: int) -> int | None:
        """Return the term at an index; none if it is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.get(index).term
        return None

    def get(self, index: int) -> entries.Entry:
        """Return the entry at an index that the log holds."""
        return self._entries[index - self.snapshot.index - 1]

    def read(
        self, first: int, last: int, limit_bytes: int
    ) -> tuple[entries.Entry, ...]:
        """Return entries up to a total size, at least one if there is."""
        start = first - self.snapshot.index - 1
        chosen = self._entries[start : last - self.snapshot.index]
        sizes = itertools.accumulate(len(entry.command) for entry in chosen)
        count = sum(1 for size in sizes if size <= limit_bytes)
        return tuple(chosen[: max(count, 1)])

    def append(self, added: tuple[entries.Entry, ...]) -> None:
        """Add entries that follow the newest one.

        Raises:
            ValueError: an index is not the next one.
        """
        for entry in added:
            if entry.index != self.last_index + 1:
                raise ValueError(
                    f"entry {entry.index} does not follow {self.last_index}"
                )
            self._entries.append(entry)
            self.size_bytes += len(entry.command)
            if entry.members is not None:
                self._changes.append(entry.index)

    def truncate(self, first: int) -> None:
        """Remove the entries from ``first`` on."""
        kept = first - self.snapshot.index - 1
        self.size_bytes -= _measure(self._entries[kept:])
        del self._entries[kept:]
        self._changes = [index for index in self._changes if index < first]

    def compact(self, index: int, state: bytes) -> entries.Snapshot:
        """Replace the entries up to ``index`` by a snapshot and return it."""
        snapshot = entries.Snapshot(
            index=index,
            term=self.term_at(index) or 0,
            members=self.members_at(index),
            state=state,
        )
        replaced = index - self.snapshot.index
        self.size_bytes -= _measure(self._entries[:replaced])
        del self._entries[:replaced]
        self._changes = [change for change in self._changes if change > index]
        self.snapshot = snapshot
        return snapshot

    def install(self, snapshot: entries.Snapshot) -> None:
        """Start from a leader's snapshot; keep entries that follow it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot.index, snapshot.state)
            self.snapshot = snapshot
            return
        self.snapshot = snapshot
        self._entries = []
        self._changes = []
        self.size_bytes = 0

    @property
    def tail(self) -> tuple[entries.Entry, ...]:
        """Return all entries after the snapshot."""
        return tuple(self._entries)


def _measure(held: list[entries.Entry]) -> int:
    return sum(len(entry.command) for entry in held)
