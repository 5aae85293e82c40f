"""Tests of the order of target reports and of the lease."""

import unittest

from egretfork.passthrough import messages
from egretfork.passthrough import reports
from egretfork.passthrough import target
from tests.passthrough import support

TIMING = reports.ReportTiming(
    lease=support.at(1800),
    interval=support.at(1200),
    retry_interval=support.at(1000),
)


class LeaseTest(unittest.TestCase):
    """Guards against reliance on outdated reports."""

    def setUp(self) -> None:
        self.lease = target.TargetLease(TIMING)
        self.lease.record_report(support.build_report(5), support.at(0))

    def check_lease_end(self, lease: target.TargetLease, time_ms: int) -> None:
        """Check the last moment at which a target is ready."""
        state = lease.get_state(support.at(time_ms))
        self.assertIs(state, messages.TargetState.READY)
        state = lease.get_state(support.at(time_ms + 1))
        self.assertIs(state, messages.TargetState.UNKNOWN)

    def test_a_late_report_of_the_same_process(self) -> None:
        leaving = support.build_report(6, leaving=True)
        self.lease.record_report(leaving, support.at(100))
        change = self.lease.record_report(
            support.build_report(5), support.at(200)
        )
        self.assertIs(change, reports.ReportChange.OUTDATED)
        state = self.lease.get_state(support.at(200))
        self.assertIs(state, messages.TargetState.LEAVING)

    def test_a_late_report_of_an_earlier_process(self) -> None:
        newer = support.build_report(1, identifier="i-2", born_ms=2000)
        self.lease.mark_dead(support.at(50))
        self.lease.record_report(newer, support.at(100))
        change = self.lease.record_report(
            support.build_report(6, service="other"), support.at(200)
        )
        self.assertIs(change, reports.ReportChange.OUTDATED)

    def test_a_new_process_beside_a_running_target(self) -> None:
        # Guards against one heartbeat of another writer that ends all flows
        # of a live target. A real successor is followed after the lease.
        newer = support.build_report(1, born_ms=2000)
        change = self.lease.record_report(newer, support.at(100))
        self.assertIs(change, reports.ReportChange.UNCONFIRMED)
        self.lease.record_report(support.build_report(6), support.at(1200))
        state = self.lease.get_state(support.at(1300))
        self.assertIs(state, messages.TargetState.READY)
        self.assertIsNone(self.lease.record_lost_flow(support.at(1300)))
        again = support.build_report(2, born_ms=2000)
        change = self.lease.record_report(again, support.at(3001))
        self.assertIs(change, reports.ReportChange.REPLACED)

    def test_a_new_process_with_the_same_identifier(self) -> None:
        # The known target has ended: nothing listens, it has deregistered,
        # or it does not hold a flow that was open.
        for note_end in (
            lambda lease: lease.mark_dead(support.at(50)),
            lambda lease: lease.record_deregistration("i-1", support.at(50)),
            lambda lease: lease.record_lost_flow(support.at(50)),
        ):
            lease = target.TargetLease(TIMING)
            lease.record_report(support.build_report(5), support.at(0))
            note_end(lease)
            newer = support.build_report(1, born_ms=2000)
            change = lease.record_report(newer, support.at(100))
            self.assertIs(change, reports.ReportChange.REPLACED)

    def test_a_flow_that_is_lost_after_a_report_of_a_new_process(self) -> None:
        newer = support.build_report(1, born_ms=2000, age_ms=100)
        self.lease.record_report(newer, support.at(100))
        accepted = self.lease.record_lost_flow(support.at(300))
        self.assertEqual(accepted, newer)
        self.check_lease_end(self.lease, 1800)

    def test_a_flow_that_is_lost_before_a_renewal(self) -> None:
        # The target has gone on: it had discarded the flow.
        self.lease.record_lost_flow(support.at(100))
        self.lease.record_report(support.build_report(6), support.at(1200))
        newer = support.build_report(1, born_ms=2000)
        change = self.lease.record_report(newer, support.at(1300))
        self.assertIs(change, reports.ReportChange.UNCONFIRMED)

    def test_a_new_process_without_a_start_time(self) -> None:
        lease = target.TargetLease(TIMING)
        first = support.build_report(5, born_ms=0)
        lease.record_report(first, support.at(0))
        again = support.build_report(1, born_ms=0)
        change = lease.record_report(again, support.at(1000))
        self.assertIs(change, reports.ReportChange.OUTDATED)
        change = lease.record_report(again, support.at(3000))
        self.assertIs(change, reports.ReportChange.REPLACED)

    def test_a_new_process_with_a_clock_set_back(self) -> None:
        # It is accepted with its second report after the lease has expired:
        # the first may be a late one of an earlier process.
        sent = [
            support.build_report(number, identifier="i-2", born_ms=500)
            for number in range(1, 5)
        ]
        for report, time_ms, expected in (
            (sent[0], 1000, reports.ReportChange.OUTDATED),
            (sent[1], 3000, reports.ReportChange.UNCONFIRMED),
            (sent[1], 4200, reports.ReportChange.UNCONFIRMED),
            (sent[2], 4200, reports.ReportChange.REPLACED),
            (sent[3], 5400, reports.ReportChange.NONE),
        ):
            change = self.lease.record_report(report, support.at(time_ms))
            self.assertIs(change, expected)

    def test_a_first_report_that_was_delayed(self) -> None:
        # Guards against flows opened at an address that may be used again:
        # the process that sent the report started 3.1 s ago.
        for age_ms in (3100, None, -1, 2**62):
            with self.subTest(age_ms=age_ms):
                lease = target.TargetLease(TIMING)
                first = support.build_report(1, age_ms=age_ms)
                change = lease.record_report(first, support.at(0))
                self.assertIs(change, reports.ReportChange.FIRST)
                state = lease.get_state(support.at(0))
                self.assertIs(state, messages.TargetState.UNKNOWN)
                second = support.build_report(2)
                lease.record_report(second, support.at(1200))
                state = lease.get_state(support.at(1200))
                self.assertIs(state, messages.TargetState.READY)

    def test_reports_of_an_old_process_in_quick_succession(self) -> None:
        # Guards against a target that is never used as it reports often.
        lease = target.TargetLease(TIMING)
        for number in range(1, 7):
            report = support.build_report(number, age_ms=60_000)
            lease.record_report(report, support.at(100 * number))
            state = lease.get_state(support.at(100 * number))
            self.assertIs(state, messages.TargetState.UNKNOWN)
        report = support.build_report(7, age_ms=60_000)
        lease.record_report(report, support.at(700))
        state = lease.get_state(support.at(700))
        self.assertIs(state, messages.TargetState.READY)

    def test_a_first_report_soon_after_the_agent_has_started(self) -> None:
        # The connection that it arrived on is not older than the agent.
        lease = target.TargetLease(TIMING, listening_since=support.at(100))
        first = support.build_report(1, age_ms=60_000)
        lease.record_report(first, support.at(500))
        self.check_lease_end(lease, 1900)

    def test_a_first_report_within_the_lease(self) -> None:
        lease = target.TargetLease(TIMING)
        first = support.build_report(1, age_ms=800)
        lease.record_report(first, support.at(0))
        self.check_lease_end(lease, 1000)

    def test_a_delayed_first_report_of_a_later_process(self) -> None:
        late = support.build_report(
            1, identifier="i-2", born_ms=2000, age_ms=3100
        )
        self.lease.mark_dead(support.at(900))
        change = self.lease.record_report(late, support.at(1000))
        self.assertIs(change, reports.ReportChange.REPLACED)
        state = self.lease.get_state(support.at(1000))
        self.assertIs(state, messages.TargetState.UNKNOWN)

    def test_the_lease_expires(self) -> None:
        state = self.lease.get_state(support.at(1801))
        self.assertIs(state, messages.TargetState.UNKNOWN)

    def test_a_report_that_was_delayed(self) -> None:
        # Guards against flows opened at an address that may be used again: a
        # report sent 1.2 s after the first one arrives 1.9 s later.
        change = self.lease.record_report(
            support.build_report(6), support.at(3100)
        )
        self.assertIs(change, reports.ReportChange.DELAYED)
        state = self.lease.get_state(support.at(3100))
        self.assertIs(state, messages.TargetState.UNKNOWN)

    def test_a_report_that_was_delayed_within_the_lease(self) -> None:
        self.lease.record_report(support.build_report(6), support.at(1700))
        self.check_lease_end(self.lease, 3000)

    def test_reports_that_were_delayed_together(self) -> None:
        # The second was sent when the first had not been acknowledged.
        for sequence, time_ms in ((6, 4500), (7, 4510)):
            report = support.build_report(sequence)
            change = self.lease.record_report(report, support.at(time_ms))
            self.assertIs(change, reports.ReportChange.DELAYED)

    def test_a_target_that_was_cut_off_is_used_at_once(self) -> None:
        # Its sequence numbers show that it has gone on reporting.
        change = self.lease.record_report(
            support.build_report(10), support.at(5800)
        )
        self.assertIs(change, reports.ReportChange.NONE)
        state = self.lease.get_state(support.at(5800))
        self.assertIs(state, messages.TargetState.READY)

    def test_the_report_after_a_delayed_one(self) -> None:
        self.lease.record_report(support.build_report(6), support.at(3000))
        self.lease.record_report(support.build_report(7), support.at(4200))
        state = self.lease.get_state(support.at(5400))
        self.assertIs(state, messages.TargetState.READY)

    def test_a_delayed_report_of_a_dead_target(self) -> None:
        self.lease.mark_dead(support.at(1500))
        self.lease.record_report(support.build_report(6), support.at(3000))
        state = self.lease.get_state(support.at(3000))
        self.assertIs(state, messages.TargetState.ENDED)
        self.lease.record_report(support.build_report(7), support.at(4200))
        state = self.lease.get_state(support.at(4200))
        self.assertIs(state, messages.TargetState.READY)

    def test_a_deregistration_of_an_earlier_process(self) -> None:
        # Guards against a live target that is ignored for good, and against
        # a late report that revives an ended one.
        self.lease.record_deregistration("i-1", support.at(1300))
        for sequence, time_ms, expected in (
            (6, 2200, reports.ReportChange.OUTDATED),
            (7, 2400, reports.ReportChange.OUTDATED),
            (8, 3600, reports.ReportChange.STATE),
        ):
            report = support.build_report(sequence)
            change = self.lease.record_report(report, support.at(time_ms))
            self.assertIs(change, expected)
        state = self.lease.get_state(support.at(3600))
        self.assertIs(state, messages.TargetState.READY)

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


class ServiceTest(unittest.TestCase):
    """Guards against reports of targets that are not the VM's own."""

    def setUp(self) -> None:
        self.lease = target.TargetLease(TIMING, support.SERVICE)

    def report(
        self, sequence: int, time_ms: int, service: str = "other"
    ) -> reports.ReportChange:
        """Record a report of a target that started later."""
        report = support.build_report(
            sequence, identifier="i-2", born_ms=2000, service=service
        )
        return self.lease.record_report(report, support.at(time_ms))

    def test_a_single_report_of_another_service(self) -> None:
        self.assertIs(self.report(1, 0), reports.ReportChange.UNCONFIRMED)
        self.assertIsNone(self.lease.report)

    def test_another_service_while_the_target_reports(self) -> None:
        # Guards against one report of another writer that ends all flows.
        known = support.build_report(5)
        self.lease.record_report(known, support.at(0))
        for sequence in range(1, 4):
            change = self.report(sequence, 700 * sequence)
            self.assertIs(change, reports.ReportChange.OUTDATED)
            renewed = support.build_report(5 + sequence)
            time = support.at(700 * sequence + 1)
            self.lease.record_report(renewed, time)
        report = self.lease.report
        assert report is not None
        self.assertEqual(report.identifier, known.identifier)

    def test_the_service_of_the_vm_changes(self) -> None:
        known = support.build_report(5)
        self.lease.record_report(known, support.at(0))
        self.lease.set_service("other", support.at(500))
        state = self.lease.get_state(support.at(501))
        self.assertIs(state, messages.TargetState.UNKNOWN)
        late = support.build_report(6)
        self.lease.record_report(late, support.at(600))
        state = self.lease.get_state(support.at(601))
        self.assertIs(state, messages.TargetState.UNKNOWN)
        self.assertIs(self.report(1, 700), reports.ReportChange.REPLACED)

    def test_a_process_older_than_one_that_the_settings_do_not_name(
        self,
    ) -> None:
        # Guards against a late report of a target that ended before the one
        # of the other service started.
        self.assertIs(self.report(1, 0), reports.ReportChange.UNCONFIRMED)
        older = support.build_report(1, born_ms=1000, age_ms=500)
        change = self.lease.record_report(older, support.at(30))
        self.assertIs(change, reports.ReportChange.UNCONFIRMED)

    def test_settings_that_lag(self) -> None:
        self.assertIs(self.report(1, 0), reports.ReportChange.UNCONFIRMED)
        self.assertIs(self.report(2, 10), reports.ReportChange.UNCONFIRMED)
        self.assertIs(self.report(3, 1200), reports.ReportChange.FIRST)


if __name__ == "__main__":
    unittest.main()
