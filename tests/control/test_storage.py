"""Corrupt, torn and failed writes never lose a synced record silently."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import records
from egretfork.control import storage
from tests.control import fakes

IDENTITY = storage.StoredIdentity("a", "a")
COUNT = 12


def build_disk() -> fakes.FakeFileSystem:
    """Return a disk with a vote and 12 entries in one record each."""
    disk = fakes.FakeFileSystem()
    member_storage = storage.Storage(disk)
    member_storage.initialise(IDENTITY, ())
    member_storage.save(events.SaveVote(2, entries.Vote(1, "a")))
    for index in range(1, COUNT + 1):
        added = (entries.Entry(index, 1, b"command %d" % index),)
        member_storage.save(events.SaveEntries(index + 2, index, added))
    return disk


SEGMENT = build_disk().read(storage.SEGMENT_FILE) or b""
RECORD_ENDS = [
    records.scan(SEGMENT[:size], "").size for size in range(len(SEGMENT) + 1)
]
POSITION = strategies.integers(0, len(SEGMENT) - 1)


class DamageTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(POSITION, strategies.integers(1, 255))
    def test_flipped_byte_stops_the_start_or_hits_the_last_record(
        self, position: int, mask: int
    ) -> None:
        # Guards against silently dropping the records after a corrupt one.
        disk = build_disk()
        disk.corrupt_byte(storage.SEGMENT_FILE, position, mask)
        last_start = RECORD_ENDS[len(SEGMENT) - 1]
        if position < last_start:
            with self.assertRaises(records.CorruptionError):
                storage.Storage(disk).load()
        else:
            loaded = storage.Storage(disk).load()
            self.assertEqual(loaded.log.last_index, COUNT - 1)
            self.assertGreater(loaded.torn_bytes, 0)

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(POSITION)
    def test_truncated_segment_keeps_all_complete_records(
        self, size: int
    ) -> None:
        disk = build_disk()
        disk.truncate(storage.SEGMENT_FILE, size)
        loaded = storage.Storage(disk).load()
        complete = RECORD_ENDS[size]
        self.assertEqual(loaded.torn_bytes, size - complete)
        found = records.scan(SEGMENT[:complete], "").payloads
        self.assertEqual(loaded.log.last_index, len(found))
        again = storage.Storage(disk).load()
        self.assertEqual(again.torn_bytes, 0)

    @hypothesis.given(
        strategies.sampled_from(
            [
                storage.IDENTITY_FILE,
                storage.VOTE_FILE,
                storage.SNAPSHOT_FILE,
                storage.PEER_SEQUENCES_FILE,
            ]
        ),
        strategies.integers(0, 2**16),
        strategies.integers(1, 255),
    )
    def test_damage_of_a_single_record_file_stops_the_start(
        self, name: str, position: int, mask: int
    ) -> None:
        # Guards against a member that starts without its vote or identity.
        disk = build_disk()
        size = len(disk.read(name) or b"")
        disk.corrupt_byte(name, position % size, mask)
        with self.assertRaises(records.CorruptionError):
            storage.Storage(disk).load()

    def test_missing_file_stops_the_start(self) -> None:
        disk = fakes.FakeFileSystem()
        with self.assertRaises(records.CorruptionError):
            storage.Storage(disk).load()

    def test_second_initialisation_is_refused(self) -> None:
        with self.assertRaises(FileExistsError):
            storage.Storage(build_disk()).initialise(IDENTITY, ())


class FailedWriteTest(unittest.TestCase):
    def test_no_save_succeeds_after_a_failed_one(self) -> None:
        # Guards against records that follow a gap of unknown content.
        disk = build_disk()
        member_storage = storage.Storage(disk)
        member_storage.load()
        added = (entries.Entry(COUNT + 1, 1, b"x"),)
        disk.failures = 1
        for _ in range(2):
            with self.assertRaises(storage.StorageError):
                member_storage.save(events.SaveEntries(99, COUNT + 1, added))
        loaded = storage.Storage(disk).load()
        self.assertEqual(loaded.log.last_index, COUNT)
        self.assertLess(loaded.sequence, 99)

    @hypothesis.given(strategies.integers(1, 8), strategies.integers())
    def test_crash_during_a_snapshot_keeps_all_entries(
        self, failures_after: int, seed: int
    ) -> None:
        # Guards against replacing the segment before the snapshot is
        # durable.
        disk = build_disk()
        member_storage = storage.Storage(disk)
        held = member_storage.load().log
        held.compact(5, b"state")
        disk.fail_after(failures_after)
        try:
            member_storage.save(
                events.SaveSnapshot(99, held.snapshot, held.tail)
            )
        except storage.StorageError:
            pass
        disk.failures = 0
        disk.crash(random.Random(seed))
        self.assertEqual(storage.Storage(disk).load().log.last_index, COUNT)

    def test_old_segment_conflicting_with_snapshot_is_discarded(self) -> None:
        # Guards against a log whose last term is older than its snapshot. A
        # member with such a log would grant votes to outdated candidates.
        disk = build_disk()
        member_storage = storage.Storage(disk)
        member_storage.load()
        snapshot = entries.Snapshot(index=5, term=3)
        member_storage.save(events.SaveSnapshot(99, snapshot, ()))
        disk.write(storage.SEGMENT_FILE, SEGMENT)
        loaded = storage.Storage(disk).load()
        self.assertEqual((loaded.log.last_index, loaded.log.last_term), (5, 3))
