"""In-memory replicated log, starting at the latest snapshot."""

import itertools

from egretfork.control import entries


class Log:
    """A snapshot, the entries that follow it and the membership.

    Attributes:
        snapshot: state that replaces all earlier entries.
        size_bytes: total size of the commands of all entries.
    """

    def __init__(
        self,
        snapshot: entries.Snapshot | None = None,
        tail: tuple[entries.Entry, ...] = (),
    ) -> None:
        self.snapshot = snapshot or entries.Snapshot()
        self._entries: list[entries.Entry] = []
        self._member_change_indexes: list[int] = []
        self.size_bytes = 0
        self.append(tail)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.term

    @property
    def members(self) -> tuple[entries.Member, ...]:
        """Return the latest membership, whether committed or not."""
        if self._member_change_indexes:
            return self.get(self._member_change_indexes[-1]).members or ()
        return self.snapshot.members

    @property
    def members_index(self) -> int:
        """Return the index of the latest membership change."""
        if self._member_change_indexes:
            return self._member_change_indexes[-1]
        return self.snapshot.index

    def members_at(self, index: int) -> tuple[entries.Member, ...]:
        """Return the membership as of an index."""
        changes = [
            change for change in self._member_change_indexes if change <= index
        ]
        if changes:
            return self.get(changes[-1]).members or ()
        return self.snapshot.members

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if the log lacks it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.get(index).term
        return None

    def get(self, index: int) -> entries.Entry:
        """Return the entry at an index after the snapshot."""
        return self._entries[index - self.snapshot.index - 1]

    def read(
        self, first: int, last: int, limit_bytes: int
    ) -> tuple[entries.Entry, ...]:
        """Return entries up to a total size, but at least one if any."""
        start = first - self.snapshot.index - 1
        chosen = self._entries[start : last - self.snapshot.index]
        sizes = itertools.accumulate(len(entry.command) for entry in chosen)
        count = sum(1 for size in sizes if size <= limit_bytes)
        return tuple(chosen[: max(count, 1)])

    def append(self, added: tuple[entries.Entry, ...]) -> None:
        """Append entries to the log.

        Raises:
            ValueError: the indexes are not consecutive.
        """
        for entry in added:
            if entry.index != self.last_index + 1:
                raise ValueError(
                    f"entry {entry.index} does not follow entry"
                    f" {self.last_index}"
                )
            self._entries.append(entry)
            self.size_bytes += len(entry.command)
            if entry.members is not None:
                self._member_change_indexes.append(entry.index)

    def truncate(self, first: int) -> None:
        """Remove all entries from index ``first`` on."""
        kept = first - self.snapshot.index - 1
        self.size_bytes -= _sum_command_bytes(self._entries[kept:])
        del self._entries[kept:]
        self._member_change_indexes = [
            index for index in self._member_change_indexes if index < first
        ]

    def compact(self, index: int, state: bytes) -> entries.Snapshot:
        """Replace the entries up to ``index`` with a snapshot; return it."""
        snapshot = entries.Snapshot(
            index=index,
            term=self.term_at(index) or 0,
            members=self.members_at(index),
            state=state,
        )
        replaced = index - self.snapshot.index
        self.size_bytes -= _sum_command_bytes(self._entries[:replaced])
        del self._entries[:replaced]
        self._member_change_indexes = [
            change for change in self._member_change_indexes if change > index
        ]
        self.snapshot = snapshot
        return snapshot

    def install(self, snapshot: entries.Snapshot) -> None:
        """Install a leader's snapshot; keep consistent later entries."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot.index, snapshot.state)
            self.snapshot = snapshot
            return
        self.snapshot = snapshot
        self._entries = []
        self._member_change_indexes = []
        self.size_bytes = 0

    @property
    def tail(self) -> tuple[entries.Entry, ...]:
        """Return all entries after the snapshot."""
        return tuple(self._entries)


def _sum_command_bytes(log_entries: list[entries.Entry]) -> int:
    return sum(len(entry.command) for entry in log_entries)
