"""Traces meet their expected bounds, and violate them without a mechanism."""

import datetime
import pathlib
import unittest
from unittest import mock

from egretfork.agent import dispatch
from egretfork.agent import health
from egretfork.agent import outcomes
from egretfork.agent import runs
from egretfork.agent import work as work_module
from egretfork import reasons
from tests import flows_support
from tests import replay

Duration = datetime.timedelta


def run_without_grant(
    self: runs.RunTable, work: work_module.WorkItem, now: Duration
) -> None:
    """Start each request at once, without a grant of its run record."""
    self._run(work, now)


def refuse_without_record(
    self: outcomes.RequestTracker,
    work: work_module.WorkItem,
    reason: reasons.Refusal,
    now: Duration,
) -> None:
    """Refuse a request without writing a void record."""
    self.finish(work, outcomes.make_refusal(reason), now)


def stop_at_once(
    self: flows_support.Simulation, node: flows_support.Node
) -> None:
    """Stop an agent without transferring its flows."""
    node.alive = False
    self.announce(node, flows_support.State.LEFT)


def replay_trace(name: str) -> list[str]:
    """Return the expected bounds that a trace violates."""
    path: pathlib.Path = replay.TRACE_FOLDER / f"{name}.jsonl"
    return replay.replay(path)[1]


class ReplayTest(unittest.TestCase):
    def test_all_traces_meet_their_expected_bounds(self) -> None:
        paths = sorted(replay.TRACE_FOLDER.glob("*.jsonl"))
        self.assertEqual(len(paths), 14)
        for path in paths:
            with self.subTest(path.stem):
                self.assertEqual(replay.replay(path)[1], [])


class RemovedMechanismTest(unittest.TestCase):
    """The bounds depend on the mechanisms; see docs/proof.md."""

    def assert_bound_violated(self, trace: str, measure: str) -> None:
        problems = replay_trace(trace)
        self.assertTrue(
            any(problem.startswith(measure) for problem in problems),
            problems,
        )

    def test_resends_run_twice_without_run_records(self) -> None:
        with mock.patch.object(runs.RunTable, "start", run_without_grant):
            self.assert_bound_violated("coastal_ordinary_day", "run_twice")

    def test_refused_requests_run_without_void_records(self) -> None:
        with mock.patch.object(
            outcomes.RequestTracker, "refuse", refuse_without_record
        ):
            self.assert_bound_violated("coastal_overload", "refused_but_run")

    def test_sessions_break_when_an_agent_stops_at_once(self) -> None:
        with mock.patch.object(flows_support.Simulation, "stop", stop_at_once):
            self.assert_bound_violated(
                "tibay_overlapping_failures", "broken_flows"
            )

    def test_a_stalled_target_gets_work_without_ejection(self) -> None:
        with mock.patch.object(health.TargetHealth, "_eject"):
            self.assert_bound_violated("coastal_false_health", "stalled_work")

    def test_overload_wastes_slots_without_deadline_checks(self) -> None:
        # Both checks are disabled, since either one alone maintains the
        # goodput: admission control on arrival, or the removal of queued
        # requests that can no longer meet their deadline.
        admit_all = mock.Mock(return_value=None)
        patch = mock.patch.object
        with (
            patch(dispatch.Dispatcher, "_check_admission", admit_all),
            patch(dispatch.Dispatcher, "_expire_queue"),
        ):
            self.assert_bound_violated("tibay_overload", "goodput")


if __name__ == "__main__":
    unittest.main()
