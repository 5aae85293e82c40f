"""Persistent state of a member, stored in the files of its data folder.

The files hold the identity, the vote, the snapshot, the log segment and the
write sequence numbers of the other members. All files but the segment are
replaced by renaming a synced temporary file; the segment is appended to and
synced. Every write of a vote, of entries or of a snapshot includes the next
write sequence number, by which peers detect a disk that was rolled back (see
``egretfork.control.election``). An identity is generated once per data folder
and never reused. After the loss of a data folder, a new one is initialised
and the process joins as a new member.
"""

import dataclasses
import typing

import msgspec

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import files
from egretfork.control import log
from egretfork.control import records
from egretfork import decoding

IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
SEGMENT_FILE = "segment"
PEER_SEQUENCES_FILE = "seen"
TEMPORARY_SUFFIX = ".new"

StoredType = typing.TypeVar("StoredType", bound=msgspec.Struct)


class StorageError(Exception):
    """A write or sync failed; the content of the disk is unknown."""


class StoredIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Content of the identity file."""

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


class StoredPeerSequences(msgspec.Struct, frozen=True, array_like=True):
    """Highest write sequence number received from each other member."""

    peer_sequences: tuple[entries.PeerSequence, ...]


class StoredEntries(msgspec.Struct, frozen=True, array_like=True):
    """Record of the segment: truncate the log at ``first``, then append.

    Attributes:
        commit_index: last entry known to be committed at the time of the
            write.
    """

    sequence: int
    first: int
    added: tuple[entries.Entry, ...]
    commit_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedState:
    """Persistent state of a member, as loaded from its disk.

    Attributes:
        torn_bytes: size of the incomplete last record that was removed.
        commit_index: last entry that is known from the disk to be committed.
    """

    identity: str
    sequence: int
    vote: entries.Vote
    log: log.Log
    torn_bytes: int
    peer_sequences: tuple[entries.PeerSequence, ...] = ()
    commit_index: int = 0


class Storage:
    """Persistent state of one member.

    After a failed write or sync, every further save fails too: the content
    of the file is unknown until the next start reads it.

    Attributes:
        failure: error of the first failed save, empty if none failed.
        sequence: write sequence number of the latest durable write.
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
            members: initial voters of a new group, none for a learner.

        Raises:
            FileExistsError: the folder is already initialised.
            OSError: a write or sync failed.
        """
        if self._system.read(IDENTITY_FILE) is not None:
            raise FileExistsError("the data folder is already initialised")
        snapshot = entries.Snapshot(members=members)
        self._replace_file(SNAPSHOT_FILE, StoredSnapshot(1, snapshot))
        self._replace_file(VOTE_FILE, StoredVote(1, entries.Vote()))
        self._replace_file(PEER_SEQUENCES_FILE, StoredPeerSequences(()))
        self._system.write(SEGMENT_FILE, b"")
        self._system.sync(SEGMENT_FILE)
        # Written last: a folder without an identity is not initialised.
        self._replace_file(IDENTITY_FILE, identity)

    def load(self) -> LoadedState:
        """Read all files, remove a torn last record and sync the rest.

        What was written last may not be durable: the process may have ended
        before its sync, or the sync may have failed.

        Raises:
            records.CorruptionError: a file is missing or damaged.
            OSError: a file cannot be read, truncated or synced.
        """
        identity = self._read(IDENTITY_FILE, StoredIdentity)
        vote = self._read(VOTE_FILE, StoredVote)
        snapshot = self._read(SNAPSHOT_FILE, StoredSnapshot)
        stored, torn_bytes = self._load_segment()
        self._system.sync(SEGMENT_FILE)
        # Other files are synced before they are renamed.
        self._system.sync_folder()
        sequences = [item.sequence for item in stored]
        self.sequence = max([vote.sequence, snapshot.sequence, *sequences])
        member_log = _rebuild_log(snapshot, stored)
        commits = (item.commit_index for item in stored)
        return LoadedState(
            identity=identity.identity,
            sequence=self.sequence,
            vote=vote.vote,
            log=member_log,
            commit_index=min(max(commits, default=0), member_log.last_index),
            torn_bytes=torn_bytes,
            peer_sequences=self._read(
                PEER_SEQUENCES_FILE, StoredPeerSequences
            ).peer_sequences,
        )

    def save(self, action: events.Save) -> None:
        """Write data to disk and sync it.

        Raises:
            StorageError: this or an earlier write or sync failed.
        """
        if self.failure:
            raise StorageError(self.failure)
        try:
            self._execute(action)
        except OSError as error:
            self.failure = str(error)
            raise StorageError(self.failure) from error
        if not isinstance(action, events.SavePeerSequences):
            self.sequence = action.sequence

    def _execute(self, action: events.Save) -> None:
        match action:
            case events.SaveVote():
                stored_vote = StoredVote(action.sequence, action.vote)
                self._replace_file(VOTE_FILE, stored_vote)
            case events.SaveEntries():
                record = StoredEntries(
                    action.sequence,
                    action.first,
                    action.added,
                    action.commit_index,
                )
                self._system.append(SEGMENT_FILE, _encode(record))
                self._system.sync(SEGMENT_FILE)
            case events.SaveSnapshot():
                self._save_snapshot(action)
            case events.SavePeerSequences():
                self._replace_file(
                    PEER_SEQUENCES_FILE,
                    StoredPeerSequences(action.peer_sequences),
                )

    def _save_snapshot(self, action: events.SaveSnapshot) -> None:
        stored = StoredSnapshot(action.sequence, action.snapshot)
        self._replace_file(SNAPSHOT_FILE, stored)
        # After a crash at this point, the next start reads the old segment
        # and ignores its entries up to the snapshot.
        record = StoredEntries(
            action.sequence, action.snapshot.index + 1, action.tail
        )
        self._replace_file(SEGMENT_FILE, record)

    def _replace_file(self, name: str, content: msgspec.Struct) -> None:
        temporary = name + TEMPORARY_SUFFIX
        self._system.write(temporary, _encode(content))
        self._system.sync(temporary)
        self._system.rename(temporary, name)
        self._system.sync_folder()

    def _read(self, name: str, kind: type[StoredType]) -> StoredType:
        data = self._system.read(name)
        if data is None:
            raise records.CorruptionError(f"{name}: the file is missing")
        return _decode(records.read_single(data, name), kind, name)

    def _load_segment(self) -> tuple[list[StoredEntries], int]:
        data = self._system.read(SEGMENT_FILE)
        if data is None:
            raise records.CorruptionError(
                f"{SEGMENT_FILE}: the file is missing"
            )
        found = records.scan(data, SEGMENT_FILE)
        stored = [
            _decode(payload, StoredEntries, SEGMENT_FILE)
            for payload in found.payloads
        ]
        torn_bytes = len(data) - found.size
        if torn_bytes:
            self._system.truncate(SEGMENT_FILE, found.size)
        return stored, torn_bytes


def _rebuild_log(
    saved: StoredSnapshot, stored: list[StoredEntries]
) -> log.Log:
    older = [item for item in stored if item.sequence < saved.sequence]
    newer = [item for item in stored if item.sequence >= saved.sequence]
    tail = _select_continuing_entries(saved.snapshot, _replay([], older))
    try:
        return log.Log(saved.snapshot, tuple(_replay(tail, newer)))
    except ValueError as error:
        raise records.CorruptionError(f"{SEGMENT_FILE}: {error}") from error


def _replay(
    kept: list[entries.Entry], stored: list[StoredEntries]
) -> list[entries.Entry]:
    for item in stored:
        while kept and kept[-1].index >= item.first:
            kept.pop()
        kept.extend(item.added)
    return kept


def _select_continuing_entries(
    snapshot: entries.Snapshot, log_entries: list[entries.Entry]
) -> list[entries.Entry]:
    """Return the entries of an old segment that follow a snapshot.

    A snapshot received from a leader may conflict with the old segment. The
    later entries of the segment are then discarded.
    """
    matching = any(
        (entry.index, entry.term) == (snapshot.index, snapshot.term)
        for entry in log_entries
    )
    if not matching:
        return []
    return [entry for entry in log_entries if entry.index > snapshot.index]


def _encode(content: msgspec.Struct) -> bytes:
    return records.frame(msgspec.msgpack.encode(content))


def _decode(payload: bytes, kind: type[StoredType], name: str) -> StoredType:
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except decoding.UNREADABLE as error:
        raise records.CorruptionError(f"{name}: {error}") from error
