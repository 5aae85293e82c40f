"""Traces meet their stated outcomes, and miss them without a mechanism."""

import datetime
import pathlib
import unittest
from unittest import mock

from egretfork.agent import dispatch
from egretfork.agent import health
from egretfork.agent import outcomes
from egretfork.agent import runs
from egretfork.agent import work as works
from egretfork import reasons
from tests import flows_support
from tests import replay

Now = datetime.timedelta


def run_without_grant(
    self: runs.RunTable, work: works.WorkItem, now: Now
) -> None:
    """Start each request at once, as an agent without run records."""
    self._run(work, now)


def refuse_without_record(
    self: outcomes.RequestTracker,
    work: works.WorkItem,
    reason: reasons.Refusal,
    now: Now,
) -> None:
    """Refuse without a void record."""
    self.finish(work, outcomes.make_refusal(reason), now)


def stop_at_once(
    self: flows_support.Simulation, node: flows_support.Node
) -> None:
    """End an agent without moving its flows."""
    node.alive = False
    self.announce(node, flows_support.State.LEFT)


def replay_trace(name: str) -> list[str]:
    """Return the stated outcomes that a trace does not meet."""
    path: pathlib.Path = replay.FOLDER / f"{name}.jsonl"
    return replay.replay(path)[1]


class ReplayTest(unittest.TestCase):
    def test_all_traces_meet_their_stated_outcomes(self) -> None:
        paths = sorted(replay.FOLDER.glob("*.jsonl"))
        self.assertEqual(len(paths), 14)
        for path in paths:
            with self.subTest(path.stem):
                self.assertEqual(replay.replay(path)[1], [])


class RemovedMechanismTest(unittest.TestCase):
    """The stated outcomes depend on the mechanisms; see docs/proof.md."""

    def assert_missed(self, trace: str, measure: str) -> None:
        problems = replay_trace(trace)
        self.assertTrue(
            any(problem.startswith(measure) for problem in problems),
            problems,
        )

    def test_resends_run_twice_without_run_records(self) -> None:
        with mock.patch.object(runs.RunTable, "start", run_without_grant):
            self.assert_missed("coastal_ordinary_day", "run_twice")

    def test_refused_requests_run_without_void_records(self) -> None:
        with mock.patch.object(
            outcomes.RequestTracker, "refuse", refuse_without_record
        ):
            self.assert_missed("coastal_overload", "refused_but_run")

    def test_sessions_break_when_an_agent_stops_at_once(self) -> None:
        with mock.patch.object(flows_support.Simulation, "stop", stop_at_once):
            self.assert_missed("tibay_overlapping_failures", "broken_flows")

    def test_a_stalled_target_gets_work_without_ejection(self) -> None:
        with mock.patch.object(health.TargetHealth, "_eject"):
            self.assert_missed("coastal_false_health", "stalled_work")

    def test_overload_wastes_slots_without_deadline_checks(self) -> None:
        # Either check alone keeps the goodput: admission on arrival, or
        # the removal of waiting requests that can no longer be in time.
        admit_all = mock.Mock(return_value=None)
        patch = mock.patch.object
        with (
            patch(dispatch.Dispatcher, "_check_admission", admit_all),
            patch(dispatch.Dispatcher, "_expire_queue"),
        ):
            self.assert_missed("tibay_overload", "goodput")


if __name__ == "__main__":
    unittest.main()
