"""Store of target and node records with a two-level hash tree.

Records are hashed into cells, and cells are grouped into buckets, so that two
processes can find differing records without sending all of them.
"""

import dataclasses
import datetime

import msgspec
import xxhash

from egretfork.gossip import messages
from egretfork import model

BUCKETS = 16
CELLS_PER_BUCKET = 16
CELLS = BUCKETS * CELLS_PER_BUCKET
HASH_BYTES = 4

_MASK = 0xFFFFFFFF

Rank = tuple[int, int, bool]


def rank_target(announcement: model.TargetAnnouncement) -> Rank:
    """Return the key that orders announcements; the highest is newest."""
    left = announcement.state is model.TargetState.LEFT
    return (announcement.incarnation, announcement.sequence, left)


@dataclasses.dataclass(slots=True)
class TargetRecord:
    """Record of one target.

    Attributes:
        announcement: the newest announcement.
        suspicions: time of the suspicion by observer.
        suspected_at: when the target became suspect.
        expired_at: when the suspect target was removed from its service.
        left_at: when this process learned that the target left.
    """

    announcement: model.TargetAnnouncement
    suspicions: dict[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    suspected_at: datetime.timedelta | None = None
    expired_at: datetime.timedelta | None = None
    left_at: datetime.timedelta | None = None


def get_cell_index(key: str) -> int:
    """Return the index of the cell that a key belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % CELLS


class Store:
    """Newest record of each target and node.

    Records of targets and nodes that left are kept as tombstones, which
    reject older records. They are not part of the checksums, so that nodes
    may drop them at different times.
    """

    def __init__(self) -> None:
        self.targets: dict[str, TargetRecord] = {}
        self.nodes: dict[str, messages.NodeRecord] = {}
        self._services: dict[str, dict[str, TargetRecord]] = {}
        self._cells = [0] * CELLS
        self._keys_by_cell: list[set[str]] = [set() for _ in range(CELLS)]
        self._checksums: dict[str, int] = {}
        self._root: int | None = None

    @property
    def root(self) -> int:
        """Return the root checksum, which covers all records."""
        if self._root is None:
            digest = xxhash.xxh3_64_intdigest(self._join_cell_checksums())
            self._root = digest & _MASK
        return self._root

    def _join_cell_checksums(self) -> bytes:
        return b"".join(
            cell.to_bytes(HASH_BYTES, "big") for cell in self._cells
        )

    def hash_buckets(self) -> bytes:
        """Return the checksum of each bucket."""
        content = self._join_cell_checksums()
        size = CELLS_PER_BUCKET * HASH_BYTES
        return b"".join(
            xxhash.xxh3_64_digest(content[start : start + size])[:HASH_BYTES]
            for start in range(0, len(content), size)
        )

    def hash_cells(self, bucket: int) -> messages.BucketHashes:
        """Return the checksums of the cells of a bucket."""
        first = bucket * CELLS_PER_BUCKET
        cells = self._cells[first : first + CELLS_PER_BUCKET]
        return messages.BucketHashes(
            bucket,
            b"".join(cell.to_bytes(HASH_BYTES, "big") for cell in cells),
        )

    def find_different_buckets(self, hashes: bytes) -> list[int]:
        """Return the buckets whose checksum differs from a peer's."""
        own = self.hash_buckets()
        return [
            bucket
            for bucket in range(BUCKETS)
            if _get_hash(own, bucket) != _get_hash(hashes, bucket)
        ]

    def find_different_cells(self, hashes: messages.BucketHashes) -> list[int]:
        """Return the cells of a bucket that differ from a peer's."""
        if not 0 <= hashes.bucket < BUCKETS:
            return []
        own = self.hash_cells(hashes.bucket).cells
        return [
            hashes.bucket * CELLS_PER_BUCKET + cell
            for cell in range(CELLS_PER_BUCKET)
            if _get_hash(own, cell) != _get_hash(hashes.cells, cell)
        ]

    def list_service(self, service: str) -> dict[str, TargetRecord]:
        """Return the records of a service by agent."""
        return self._services.get(service, {})

    def hash_service(self, service: str) -> int:
        """Return a checksum of the records of a service."""
        total = 0
        for name in self.list_service(service):
            total ^= self._checksums.get(_target_key(name), 0)
        return total

    def get_cell(self, cell: int) -> messages.RecordBatch:
        """Return all records of a cell."""
        keys = sorted(self._keys_by_cell[cell])
        targets = [self.targets[key[1:]] for key in keys if key[0] == "t"]
        return messages.RecordBatch(
            targets=tuple(item.announcement for item in targets),
            nodes=tuple(self.nodes[key[1:]] for key in keys if key[0] == "n"),
            suspicions=tuple(
                suspicion
                for item in targets
                for suspicion in list_suspicions(item)
            ),
        )

    def set_target(self, record: TargetRecord) -> None:
        """Insert a record, or replace the one of the same agent."""
        name = record.announcement.agent
        old = self.targets.get(name)
        if old and old.announcement.service != record.announcement.service:
            self._remove_from_service(old)
        self.targets[name] = record
        service = record.announcement.service
        self._services.setdefault(service, {})[name] = record
        self.update_target(record)

    def update_target(self, record: TargetRecord) -> None:
        """Update the checksum after a change of a record."""
        announcement = record.announcement
        content = (
            ""
            if announcement.state is model.TargetState.LEFT
            else f"{announcement.agent}|{announcement.incarnation}"
            f"|{announcement.sequence}|{record.suspected_at is not None}"
        )
        self._set_checksum(_target_key(announcement.agent), content)

    def remove_target(self, name: str) -> None:
        """Remove the record of a target."""
        record = self.targets.pop(name)
        self._remove_from_service(record)
        self._remove_checksum(_target_key(name))

    def set_node(self, record: messages.NodeRecord) -> None:
        """Insert or replace the record of a node."""
        self.nodes[record.name] = record
        content = (
            ""
            if record.left
            else f"{record.name}|{record.incarnation}|{record.sequence}"
        )
        self._set_checksum(_node_key(record.name), content)

    def _remove_from_service(self, record: TargetRecord) -> None:
        service = record.announcement.service
        members = self._services[service]
        del members[record.announcement.agent]
        if not members:
            del self._services[service]

    def _set_checksum(self, key: str, content: str) -> None:
        cell = get_cell_index(key)
        new = (
            xxhash.xxh3_64_intdigest(content.encode()) & _MASK
            if content
            else 0
        )
        self._cells[cell] ^= self._checksums.get(key, 0) ^ new
        self._checksums[key] = new
        self._root = None
        self._keys_by_cell[cell].add(key)

    def _remove_checksum(self, key: str) -> None:
        cell = get_cell_index(key)
        self._cells[cell] ^= self._checksums.pop(key, 0)
        self._keys_by_cell[cell].discard(key)
        self._root = None


def list_suspicions(record: TargetRecord) -> tuple[messages.Suspicion, ...]:
    """Return the suspicions of a target in message form."""
    announcement = record.announcement
    return tuple(
        messages.Suspicion(
            agent=announcement.agent,
            incarnation=announcement.incarnation,
            sequence=announcement.sequence,
            observer=observer,
        )
        for observer in sorted(record.suspicions)
    )


def mark_left(
    announcement: model.TargetAnnouncement,
) -> model.TargetAnnouncement:
    """Return a copy with the state ``LEFT`` and an unchanged order."""
    return msgspec.structs.replace(announcement, state=model.TargetState.LEFT)


def _get_hash(hashes: bytes, index: int) -> bytes:
    return hashes[index * HASH_BYTES : (index + 1) * HASH_BYTES]


def _target_key(name: str) -> str:
    return f"t{name}"


def _node_key(name: str) -> str:
    return f"n{name}"
