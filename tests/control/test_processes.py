"""Control processes keep accepted versions when killed with SIGKILL."""

import signal
import threading

import msgspec

from tests.control import processes

COASTAL = str(processes.EXAMPLES / "coastal.yaml")
TIBAY = str(processes.EXAMPLES / "tibay.yaml")

EMPTY = str(processes.ROOT / "tests" / "control" / "empty.yaml")

# Shorter than a change takes, so that the leader is killed during one.
KILL_DELAY_S = 0.004
MAX_RESENDS = 20


class ControlProcessTest(processes.ProcessTest):
    def test_accepted_version_survives_the_kill_of_all_processes(self) -> None:
        # Guards against answering before the entry is synced.
        applied = self.run_client("apply", COASTAL, "--request", "one")
        self.assertEqual(applied.exit_code, 0, applied.stdout)
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
        # Guards against a group that requires all of its members.
        self.members[0].stop()
        applied = self.run_client(
            "apply", TIBAY, "--base", "0", "--request", "one"
        )
        self.assertEqual(applied.exit_code, 0, applied.stdout)
        stale = self.run_client("apply", COASTAL, "--base", "0")
        self.assertEqual(stale.exit_code, 1, stale.stdout)
        self.members[0].start()
        processes.poll(lambda: self.read_version() == 1)

    def test_killed_leaders_neither_lose_nor_repeat_changes(self) -> None:
        # Guards against a change that is lost or applied twice when the
        # leader is killed between its sync and its answer.
        for base in range(12):
            if base % 3 == 2:
                self.schedule_leader_kill()
            file = TIBAY if base % 2 else EMPTY
            resent = ("--base", str(base), "--request", f"r{base}")
            for _ in range(MAX_RESENDS):
                applied = self.run_client("apply", file, *resent)
                if applied.exit_code != 3:
                    break
            self.assertEqual(applied.exit_code, 0, applied.stdout)
            outcome = msgspec.json.decode(applied.stdout)
            self.assertEqual(outcome["version"], base + 1)
        self.assertEqual(self.read_version(), 12)

    def schedule_leader_kill(self) -> None:
        """Kill and restart the leader during the next change."""
        statuses = msgspec.json.decode(self.run_client("status").stdout)
        leader = next(
            member
            for member, status in zip(self.members, statuses, strict=True)
            if isinstance(status, dict) and status["role"] == "leader"
        )
        killer = threading.Timer(KILL_DELAY_S, self.restart, (leader,))
        killer.start()
        self.addCleanup(killer.join)

    def restart(self, member: processes.Member) -> None:
        member.stop()
        member.start()

    def test_terminated_member_exits_with_zero(self) -> None:
        # Guards against a planned stop that exits with an error.
        self.assertEqual(self.members[2].stop(signal.SIGTERM), 0)
        self.assertNotIn("exception", self.members[2].read_log())
