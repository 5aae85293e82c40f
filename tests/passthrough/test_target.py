"""Reports of a target: what is newer, and how long it is relied on."""

import unittest

from egretfork.passthrough import messages
from egretfork.passthrough import target
from tests.passthrough import support


class LeaseTest(unittest.TestCase):
    """Guards against reports of targets that are gone."""

    def setUp(self) -> None:
        self.lease = target.TargetLease(support.LEASE)
        self.lease.note_report(support.build_report(5), support.at(0))

    def test_a_late_report_of_the_same_start(self) -> None:
        leaving = support.build_report(6, leaving=True)
        self.lease.note_report(leaving, support.at(100))
        change = self.lease.note_report(
            support.build_report(5), support.at(200)
        )
        self.assertIs(change, target.Change.OUTDATED)
        state = self.lease.read_state(support.at(200))
        self.assertIs(state, messages.TargetState.LEAVING)

    def test_a_late_report_of_an_earlier_start(self) -> None:
        newer = support.build_report(1, identifier="i-2", born_ms=2000)
        self.lease.note_report(newer, support.at(100))
        change = self.lease.note_report(
            support.build_report(6, service="other"), support.at(200)
        )
        self.assertIs(change, target.Change.OUTDATED)

    def test_a_new_start_under_the_same_identifier(self) -> None:
        newer = support.build_report(1, born_ms=2000)
        change = self.lease.note_report(newer, support.at(100))
        self.assertIs(change, target.Change.REPLACED)

    def test_a_new_start_that_tells_no_time(self) -> None:
        lease = target.TargetLease(support.LEASE)
        first = support.build_report(5, born_ms=0)
        lease.note_report(first, support.at(0))
        again = support.build_report(1, born_ms=0)
        change = lease.note_report(again, support.at(1000))
        self.assertIs(change, target.Change.OUTDATED)
        change = lease.note_report(again, support.at(3000))
        self.assertIs(change, target.Change.REPLACED)

    def test_a_new_start_with_a_clock_set_back(self) -> None:
        newer = support.build_report(1, identifier="i-2", born_ms=500)
        change = self.lease.note_report(newer, support.at(1000))
        self.assertIs(change, target.Change.OUTDATED)
        change = self.lease.note_report(newer, support.at(3000))
        self.assertIs(change, target.Change.REPLACED)

    def test_silence_ends_the_lease(self) -> None:
        state = self.lease.read_state(support.at(1801))
        self.assertIs(state, messages.TargetState.UNKNOWN)

    def test_a_target_that_signed_off(self) -> None:
        self.assertFalse(self.lease.note_end("i-9", support.at(100)))
        self.assertTrue(self.lease.note_end("i-1", support.at(100)))
        state = self.lease.read_state(support.at(100))
        self.assertIs(state, messages.TargetState.ENDED)
        self.assertFalse(self.lease.has_ended(support.at(1000)))
        self.assertTrue(self.lease.has_ended(support.at(1100)))


if __name__ == "__main__":
    unittest.main()
