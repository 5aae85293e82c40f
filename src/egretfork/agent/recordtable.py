"""Bounded table of run records."""

import itertools
import typing

import msgspec

from egretfork import model
from egretfork import wire

MAX_RECORDS = 65_536
RECORD_LIFETIME_MS = 600_000
MAX_INTERNED_EXECUTORS = 1_024


class Entry(msgspec.Struct, gc=False):
    """One record as a member holds it.

    ``committed`` says that a majority of the present epoch holds it; it is
    known only to the primary.
    """

    attempt: int
    state: wire.RecordState
    executor: model.AgentIdentity
    address: model.Endpoint
    written_ms: int
    committed: bool = False


def outranks(record: Entry | wire.RunRecord, held: Entry | None) -> bool:
    """Return whether a record replaces the one held about its key.

    A grant is never replaced by a void record, whatever their attempts: a
    lost grant could lead to a second run, a surplus one only to 5.04.
    """
    if held is None:
        return True
    granted = record.state is wire.RecordState.GRANTED
    held_granted = held.state is wire.RecordState.GRANTED
    if granted != held_granted:
        return granted
    return record.attempt > held.attempt


def same_decision(record: wire.RunRecord, held: Entry) -> bool:
    """Return whether two records state the same about their key."""
    if record.state is not held.state or record.attempt != held.attempt:
        return False
    return (
        held.state is not wire.RecordState.GRANTED
        or record.executor == held.executor
    )


class RecordTable:
    """Bounded records by key, oldest first; none is evicted early."""

    def __init__(self) -> None:
        self._entries: dict[bytes, Entry] = {}
        self._executors: dict[
            tuple[model.AgentIdentity, model.Endpoint],
            tuple[model.AgentIdentity, model.Endpoint],
        ] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def full(self) -> bool:
        """Return whether no further key is accepted."""
        return len(self._entries) >= MAX_RECORDS

    def get(self, key: bytes) -> Entry | None:
        """Return the record of a key."""
        return self._entries.get(key)

    def items(self) -> typing.Iterable[tuple[bytes, Entry]]:
        """Return the records."""
        return self._entries.items()

    def write(self, record: wire.RunRecord, now_ms: int) -> Entry:
        """Store a record in place of any other of its key."""
        executor, address = self._intern(record)
        entry = Entry(
            record.attempt,
            record.state,
            executor,
            address,
            now_ms - record.age_ms,
        )
        self._entries.pop(record.key, None)
        self._entries[record.key] = entry
        return entry

    def _intern(
        self, record: wire.RunRecord
    ) -> tuple[model.AgentIdentity, model.Endpoint]:
        # Decoding makes new objects each time; records share them instead.
        if len(self._executors) > MAX_INTERNED_EXECUTORS:
            self._executors.clear()
        pair = (record.executor, record.executor_address)
        return self._executors.setdefault(pair, pair)

    def expire(self, now_ms: int) -> None:
        """Forget the records whose lifetime has passed."""
        limit = now_ms - RECORD_LIFETIME_MS
        expired = [
            key
            for key, _ in itertools.takewhile(
                lambda item: item[1].written_ms <= limit,
                self._entries.items(),
            )
        ]
        for key in expired:
            del self._entries[key]

    def sort_by_age(self) -> None:
        """Restore the order by age after records of others were added."""
        self._entries = dict(
            sorted(self._entries.items(), key=lambda item: item[1].written_ms)
        )

    def clear(self) -> None:
        """Forget all records."""
        self._entries = {}


def to_wire(key: bytes, entry: Entry, now_ms: int) -> wire.RunRecord:
    """Return the record as it is sent to other agents."""
    return wire.RunRecord(
        key=key,
        attempt=entry.attempt,
        state=entry.state,
        executor=entry.executor,
        executor_address=entry.address,
        age_ms=max(0, now_ms - entry.written_ms),
    )
