"""Tests of the order of target reports and of the lease."""

import unittest

from egretfork.passthrough import messages
from egretfork.passthrough import target
from tests.passthrough import support


class LeaseTest(unittest.TestCase):
    """Guards against reliance on outdated reports."""

    def setUp(self) -> None:
        self.lease = target.TargetLease(support.LEASE)
        self.lease.record_report(support.build_report(5), support.at(0))

    def test_a_late_report_of_the_same_process(self) -> None:
        leaving = support.build_report(6, leaving=True)
        self.lease.record_report(leaving, support.at(100))
        change = self.lease.record_report(
            support.build_report(5), support.at(200)
        )
        self.assertIs(change, target.ReportChange.OUTDATED)
        state = self.lease.get_state(support.at(200))
        self.assertIs(state, messages.TargetState.LEAVING)

    def test_a_late_report_of_an_earlier_process(self) -> None:
        newer = support.build_report(1, identifier="i-2", born_ms=2000)
        self.lease.record_report(newer, support.at(100))
        change = self.lease.record_report(
            support.build_report(6, service="other"), support.at(200)
        )
        self.assertIs(change, target.ReportChange.OUTDATED)

    def test_a_new_process_with_the_same_identifier(self) -> None:
        newer = support.build_report(1, born_ms=2000)
        change = self.lease.record_report(newer, support.at(100))
        self.assertIs(change, target.ReportChange.REPLACED)

    def test_a_new_process_without_a_start_time(self) -> None:
        lease = target.TargetLease(support.LEASE)
        first = support.build_report(5, born_ms=0)
        lease.record_report(first, support.at(0))
        again = support.build_report(1, born_ms=0)
        change = lease.record_report(again, support.at(1000))
        self.assertIs(change, target.ReportChange.OUTDATED)
        change = lease.record_report(again, support.at(3000))
        self.assertIs(change, target.ReportChange.REPLACED)

    def test_a_new_process_with_a_clock_set_back(self) -> None:
        newer = support.build_report(1, identifier="i-2", born_ms=500)
        change = self.lease.record_report(newer, support.at(1000))
        self.assertIs(change, target.ReportChange.OUTDATED)
        change = self.lease.record_report(newer, support.at(3000))
        self.assertIs(change, target.ReportChange.REPLACED)

    def test_the_lease_expires(self) -> None:
        state = self.lease.get_state(support.at(1801))
        self.assertIs(state, messages.TargetState.UNKNOWN)

    def test_a_deregistered_target(self) -> None:
        self.assertFalse(
            self.lease.record_deregistration("i-9", support.at(100))
        )
        self.assertTrue(
            self.lease.record_deregistration("i-1", support.at(100))
        )
        state = self.lease.get_state(support.at(100))
        self.assertIs(state, messages.TargetState.ENDED)
        self.assertFalse(self.lease.has_exited(support.at(1000)))
        self.assertTrue(self.lease.has_exited(support.at(1100)))


if __name__ == "__main__":
    unittest.main()
