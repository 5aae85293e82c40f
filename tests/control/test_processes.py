"""Control processes keep accepted versions through kill -9."""

import signal

from tests.control import processes

COASTAL = str(processes.EXAMPLES / "coastal.yaml")
TIBAY = str(processes.EXAMPLES / "tibay.yaml")


class ControlProcessTest(processes.ProcessTest):
    def test_accepted_version_survives_the_kill_of_all_processes(self) -> None:
        # Guards against an answer that is sent before the entry is synced.
        applied = self.run_client("apply", COASTAL, "--request", "one")
        self.assertEqual(applied.returncode, 0, applied.stdout)
        for member in self.members:
            member.stop()
        for member in self.members:
            member.start()
        processes.poll(lambda: self.read_version() == 1)
        resent = self.run_client(
            "apply", COASTAL, "--base", "0", "--request", "one"
        )
        self.assertEqual(resent.stdout, applied.stdout)

    def test_one_lost_member_does_not_stop_changes(self) -> None:
        # Guards against a group that needs all of its members.
        self.members[0].stop()
        applied = self.run_client(
            "apply", TIBAY, "--base", "0", "--request", "one"
        )
        self.assertEqual(applied.returncode, 0, applied.stdout)
        stale = self.run_client("apply", COASTAL, "--base", "0")
        self.assertEqual(stale.returncode, 1, stale.stdout)
        self.members[0].start()
        processes.poll(lambda: self.read_version() == 1)

    def test_terminated_member_exits_with_zero(self) -> None:
        # Guards against a planned stop that ends in an error.
        self.assertEqual(self.members[2].stop(signal.SIGTERM), 0)
        self.assertNotIn("exception", self.members[2].read_log())
