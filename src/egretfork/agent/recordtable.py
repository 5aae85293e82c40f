"""Table of run records with a fixed capacity."""

import itertools
import typing

import msgspec

from egretfork import model
from egretfork import wire

MAX_RECORDS = 65_536
RECORD_LIFETIME_MS = 600_000
MAX_INTERNED_EXECUTORS = 1_024


class StoredRecord(msgspec.Struct, gc=False):
    """A run record as stored by a member.

    ``committed`` is set once a majority of the current epoch holds the record;
    only the primary knows it.
    """

    attempt: int
    state: wire.RecordState
    executor: model.AgentIdentity
    address: model.Endpoint
    written_ms: int
    committed: bool = False


def supersedes(
    record: StoredRecord | wire.RunRecord, existing: StoredRecord | None
) -> bool:
    """Return whether a record replaces the existing one of its key.

    A void record never replaces a grant, regardless of the attempts: losing a
    grant could cause a second run, while an unused one only leads to a 5.04
    response.
    """
    if existing is None:
        return True
    granted = record.state is wire.RecordState.GRANTED
    existing_granted = existing.state is wire.RecordState.GRANTED
    if granted != existing_granted:
        return granted
    return record.attempt > existing.attempt


def is_same_decision(record: wire.RunRecord, existing: StoredRecord) -> bool:
    """Return whether two records contain the same decision."""
    if (
        record.state is not existing.state
        or record.attempt != existing.attempt
    ):
        return False
    return (
        existing.state is not wire.RecordState.GRANTED
        or record.executor == existing.executor
    )


class RecordTable:
    """Run records by key, oldest first; none is evicted before it expires."""

    def __init__(self) -> None:
        self._records: dict[bytes, StoredRecord] = {}
        self._executors: dict[
            tuple[model.AgentIdentity, model.Endpoint],
            tuple[model.AgentIdentity, model.Endpoint],
        ] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Return whether no record of a further key can be stored."""
        return len(self._records) >= MAX_RECORDS

    def get(self, key: bytes) -> StoredRecord | None:
        """Return the record of a key, ``None`` if there is none."""
        return self._records.get(key)

    def items(self) -> typing.Iterable[tuple[bytes, StoredRecord]]:
        """Return the keys and their records."""
        return self._records.items()

    def write(self, record: wire.RunRecord, now_ms: int) -> StoredRecord:
        """Store a record, replacing any other of its key."""
        executor, address = self._intern(record)
        stored = StoredRecord(
            record.attempt,
            record.state,
            executor,
            address,
            now_ms - record.age_ms,
        )
        self._records.pop(record.key, None)
        self._records[record.key] = stored
        return stored

    def _intern(
        self, record: wire.RunRecord
    ) -> tuple[model.AgentIdentity, model.Endpoint]:
        # Decoding creates new objects for each record; share them instead.
        if len(self._executors) > MAX_INTERNED_EXECUTORS:
            self._executors.clear()
        pair = (record.executor, record.executor_address)
        return self._executors.setdefault(pair, pair)

    def expire(self, now_ms: int) -> None:
        """Remove the records whose lifetime has passed."""
        cutoff_ms = now_ms - RECORD_LIFETIME_MS
        expired = [
            key
            for key, _ in itertools.takewhile(
                lambda item: item[1].written_ms <= cutoff_ms,
                self._records.items(),
            )
        ]
        for key in expired:
            del self._records[key]

    def sort_by_age(self) -> None:
        """Restore the order by age after loading records of other members."""
        self._records = dict(
            sorted(self._records.items(), key=lambda item: item[1].written_ms)
        )

    def clear(self) -> None:
        """Remove all records."""
        self._records = {}


def to_wire(key: bytes, stored: StoredRecord, now_ms: int) -> wire.RunRecord:
    """Convert a record to the form that is sent to other agents."""
    return wire.RunRecord(
        key=key,
        attempt=stored.attempt,
        state=stored.state,
        executor=stored.executor,
        executor_address=stored.address,
        age_ms=max(0, now_ms - stored.written_ms),
    )
