"""Files of a member: identity, vote, snapshot, log segment and what was
seen of other members.

The vote and snapshot files are replaced by renaming a synced temporary
file; the segment is appended to and synced. Every write carries the next
write sequence, by which peers detect a disk that was rolled back (see
``egretfork.control.voting``). An identity is made once for a data folder
and is never reused: a folder that was lost is initialised anew and joins
as a new member.
"""

import dataclasses
import typing

import msgspec

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import files
from egretfork.control import log
from egretfork.control import records

IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
SEGMENT_FILE = "segment"
SEEN_FILE = "seen"
TEMPORARY_SUFFIX = ".new"

StoredType = typing.TypeVar("StoredType", bound=msgspec.Struct)


class StorageError(Exception):
    """A write or sync failed; what reached the disk is not known."""


class StoredIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Identity of the data folder."""

    identity: str
    name: str


class StoredVote(msgspec.Struct, frozen=True, array_like=True):
    """Content of the vote file."""

    sequence: int
    vote: entries.Vote


class StoredSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Content of the snapshot file."""

    sequence: int
    snapshot: entries.Snapshot


class StoredSeen(msgspec.Struct, frozen=True, array_like=True):
    """Highest write sequence seen of each other member."""

    seen: tuple[entries.SeenSequence, ...]


class StoredEntries(msgspec.Struct, frozen=True, array_like=True):
    """Record of the segment: drop entries from ``first`` on, then add.

    Attributes:
        commit: last entry known to be committed when this was written.
    """

    sequence: int
    first: int
    added: tuple[entries.Entry, ...]
    commit: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """All that a member's disk holds.

    Attributes:
        torn_bytes: size of the incomplete last record that was removed.
        commit: last entry that the disk shows to be committed.
    """

    identity: str
    sequence: int
    vote: entries.Vote
    log: log.Log
    torn_bytes: int
    seen: tuple[entries.SeenSequence, ...] = ()
    commit: int = 0


class Storage:
    """Durable state of one member.

    After a failed write or sync every further save fails too: the content
    of the file is then unknown until the next start reads it.

    Attributes:
        failure: error of the first failed save, empty if there is none.
        sequence: number of the latest write that is durable.
    """

    def __init__(self, system: files.FileSystem) -> None:
        self._system = system
        self.failure = ""
        self.sequence = 0

    def initialise(
        self,
        identity: StoredIdentity,
        members: tuple[entries.Member, ...],
    ) -> None:
        """Write the files of a new member.

        Args:
            members: the member itself for a first group, none for a learner.

        Raises:
            FileExistsError: the folder holds a member already.
            OSError: a write or sync failed.
        """
        if self._system.read(IDENTITY_FILE) is not None:
            raise FileExistsError("the data folder is already initialised")
        snapshot = entries.Snapshot(members=members)
        self._replace(SNAPSHOT_FILE, StoredSnapshot(1, snapshot))
        self._replace(VOTE_FILE, StoredVote(1, entries.Vote()))
        self._replace(SEEN_FILE, StoredSeen(()))
        self._system.write(SEGMENT_FILE, b"")
        self._system.sync(SEGMENT_FILE)
        # The identity comes last: without it the folder does not count.
        self._replace(IDENTITY_FILE, identity)

    def load(self) -> Loaded:
        """Read everything and remove a torn last record.

        Raises:
            records.DamageError: a file is missing or damaged.
            OSError: a file cannot be read or truncated.
        """
        identity = self._read(IDENTITY_FILE, StoredIdentity)
        vote = self._read(VOTE_FILE, StoredVote)
        snapshot = self._read(SNAPSHOT_FILE, StoredSnapshot)
        stored, torn_bytes = self._load_segment()
        sequences = [item.sequence for item in stored]
        self.sequence = max([vote.sequence, snapshot.sequence, *sequences])
        held = _rebuild_log(snapshot, stored)
        commits = (item.commit for item in stored)
        return Loaded(
            identity=identity.identity,
            sequence=self.sequence,
            vote=vote.vote,
            log=held,
            commit=min(max(commits, default=0), held.last_index),
            torn_bytes=torn_bytes,
            seen=self._read(SEEN_FILE, StoredSeen).seen,
        )

    def save(self, action: events.Save) -> None:
        """Write and sync.

        Raises:
            StorageError: this or an earlier write or sync failed.
        """
        if self.failure:
            raise StorageError(self.failure)
        try:
            self._carry_out(action)
        except OSError as error:
            self.failure = str(error)
            raise StorageError(self.failure) from error
        if not isinstance(action, events.SaveSeen):
            self.sequence = action.sequence

    def _carry_out(self, action: events.Save) -> None:
        match action:
            case events.SaveVote():
                stored_vote = StoredVote(action.sequence, action.vote)
                self._replace(VOTE_FILE, stored_vote)
            case events.SaveEntries():
                record = StoredEntries(
                    action.sequence,
                    action.first,
                    action.added,
                    action.commit,
                )
                self._system.append(SEGMENT_FILE, _encode(record))
                self._system.sync(SEGMENT_FILE)
            case events.SaveSnapshot():
                self._save_snapshot(action)
            case events.SaveSeen():
                self._replace(SEEN_FILE, StoredSeen(action.seen))

    def _save_snapshot(self, action: events.SaveSnapshot) -> None:
        stored = StoredSnapshot(action.sequence, action.snapshot)
        self._replace(SNAPSHOT_FILE, stored)
        # A crash here leaves the old segment, whose entries up to the
        # snapshot are ignored at the next start.
        record = StoredEntries(
            action.sequence, action.snapshot.index + 1, action.tail
        )
        self._replace(SEGMENT_FILE, record)

    def _replace(self, name: str, content: msgspec.Struct) -> None:
        temporary = name + TEMPORARY_SUFFIX
        self._system.write(temporary, _encode(content))
        self._system.sync(temporary)
        self._system.rename(temporary, name)
        self._system.sync_folder()

    def _read(self, name: str, kind: type[StoredType]) -> StoredType:
        data = self._system.read(name)
        if data is None:
            raise records.DamageError(f"{name}: the file is missing")
        return _decode(records.read_single(data, name), kind, name)

    def _load_segment(self) -> tuple[list[StoredEntries], int]:
        data = self._system.read(SEGMENT_FILE)
        if data is None:
            raise records.DamageError(f"{SEGMENT_FILE}: the file is missing")
        found = records.scan(data, SEGMENT_FILE)
        stored = [
            _decode(payload, StoredEntries, SEGMENT_FILE)
            for payload in found.payloads
        ]
        torn_bytes = len(data) - found.size
        if torn_bytes:
            self._system.truncate(SEGMENT_FILE, found.size)
            self._system.sync(SEGMENT_FILE)
        return stored, torn_bytes


def _rebuild_log(
    saved: StoredSnapshot, stored: list[StoredEntries]
) -> log.Log:
    older = [item for item in stored if item.sequence < saved.sequence]
    newer = [item for item in stored if item.sequence >= saved.sequence]
    tail = _select_tail(saved.snapshot, _replay([], older))
    try:
        return log.Log(saved.snapshot, tuple(_replay(tail, newer)))
    except ValueError as error:
        raise records.DamageError(f"{SEGMENT_FILE}: {error}") from error


def _replay(
    kept: list[entries.Entry], stored: list[StoredEntries]
) -> list[entries.Entry]:
    for item in stored:
        while kept and kept[-1].index >= item.first:
            kept.pop()
        kept.extend(item.added)
    return kept


def _select_tail(
    snapshot: entries.Snapshot, held: list[entries.Entry]
) -> list[entries.Entry]:
    """Return the entries of an old segment that continue a snapshot.

    A snapshot received from a leader may contradict the old segment, whose
    later entries are then void.
    """
    matching = any(
        (entry.index, entry.term) == (snapshot.index, snapshot.term)
        for entry in held
    )
    if not matching:
        return []
    return [entry for entry in held if entry.index > snapshot.index]


def _encode(content: msgspec.Struct) -> bytes:
    return records.frame(msgspec.msgpack.encode(content))


def _decode(payload: bytes, kind: type[StoredType], name: str) -> StoredType:
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise records.DamageError(f"{name}: {error}") from error
