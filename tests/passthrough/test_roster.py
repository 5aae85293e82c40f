"""Tests of the agent roster and its file."""

import logging
import unittest

from egretfork.passthrough import roster
from egretfork.passthrough import rosterfile
from tests.control import fakes
from tests.passthrough import support

AGENTS = tuple(support.agent_address(number) for number in range(3))


class RosterTest(unittest.TestCase):
    """Guards against rosters that lack a running agent."""

    def test_a_restarting_agent_stays_listed(self) -> None:
        listed = roster.Roster(None, support.at(0))
        listed.record(AGENTS[0], support.at(0))
        listed.expire(support.at(3_900))
        self.assertEqual(listed.list_agents(), AGENTS[:1])
        listed.expire(support.at(4_000))
        self.assertEqual(listed.list_agents(), ())

    def test_a_start_without_a_roster_waits_for_heartbeats(self) -> None:
        listed = roster.Roster(None, support.at(0))
        self.assertFalse(listed.is_complete(support.at(2_900)))
        self.assertTrue(listed.is_complete(support.at(3_000)))
        stored = roster.Roster((), support.at(0))
        self.assertTrue(stored.is_complete(support.at(0)))


class StoredRosterTest(unittest.TestCase):
    """Guards against loading another roster than the stored one."""

    def setUp(self) -> None:
        self.file_system = fakes.FakeFileSystem()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_a_stored_roster_is_loaded(self) -> None:
        self.assertIsNone(rosterfile.load(self.file_system))
        self.assertTrue(rosterfile.store(self.file_system, AGENTS[:2]))
        self.assertTrue(rosterfile.store(self.file_system, AGENTS))
        self.assertEqual(rosterfile.load(self.file_system), AGENTS)

    def test_a_failed_write_keeps_the_previous_roster(self) -> None:
        rosterfile.store(self.file_system, AGENTS[:2])
        self.file_system.failures = 1
        self.assertFalse(rosterfile.store(self.file_system, AGENTS))
        self.assertEqual(rosterfile.load(self.file_system), AGENTS[:2])

    def test_a_damaged_roster_is_ignored(self) -> None:
        rosterfile.store(self.file_system, AGENTS)
        data = self.file_system.read(rosterfile.FILE_NAME) or b""
        for damaged in (data[:-1], data[1:], b"", b"123"):
            with self.subTest(damaged=damaged):
                self.file_system.write(rosterfile.FILE_NAME, damaged)
                self.assertIsNone(rosterfile.load(self.file_system))


if __name__ == "__main__":
    unittest.main()
