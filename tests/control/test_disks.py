"""Changes are accepted again after disks refused writes in turn."""

import datetime
import itertools
import unittest

from egretfork.control import api
from egretfork.control import commands
from tests.control import cluster
from tests.control import test_declarations

SECOND = datetime.timedelta(seconds=1)
VOTERS = 5
ALWAYS = 1_000_000
COMPACT_AFTER_ENTRIES = 7
SEEDS = range(12)


class FullDiskTest(unittest.TestCase):
    """Guards against members that stay out after their disk was full."""

    def setUp(self) -> None:
        self.versions = itertools.count(2)

    def submit(self, group: cluster.Cluster) -> None:
        """Submit a declaration to the leader, if there is one."""
        leader = group.find_leader()
        if leader is not None:
            declaration = test_declarations.build(next(self.versions))
            command = commands.Declare(declaration)
            group.ask(leader, api.Submit(1, command))

    def run_and_submit(
        self, group: cluster.Cluster, duration: datetime.timedelta
    ) -> None:
        """Advance the time; members whose disk failed read it each second."""
        end = group.now + duration
        while group.now < end:
            for _ in range(5):
                self.submit(group)
                group.run_with_joins(4 * cluster.STEP)
            for member in group.members:
                group.reopen_failed(member)

    def check_recovery(self, group: cluster.Cluster) -> None:
        """Check that a change is accepted and reaches all members."""
        newest = test_declarations.build(next(self.versions))
        test_declarations.declare(group, newest)
        group.run_with_joins(2 * SECOND)
        for member in group.members:
            core = member.control_core
            assert core is not None
            self.assertIs(core.status, api.MemberStatus.ACTIVE)
            self.assertEqual(core.declaration.version, newest.version)

    def test_disks_that_are_full_one_after_another(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = cluster.form_group(seed, VOTERS, COMPACT_AFTER_ENTRIES)
                for member in group.rng.sample(group.members, VOTERS):
                    member.disk.failures = ALWAYS
                    duration = group.rng.uniform(1, 5) * SECOND
                    self.run_and_submit(group, duration)
                    member.disk.failures = 0
                    self.run_and_submit(group, SECOND)
                group.run_with_joins(4 * SECOND)
                self.check_recovery(group)

    def test_power_lost_after_a_write_without_sync(self) -> None:
        # What the member read again after the failed sync was not durable.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = cluster.form_group(seed, VOTERS, COMPACT_AFTER_ENTRIES)
                for member in group.rng.sample(group.members, VOTERS):
                    member.disk.fail_after(group.rng.randint(0, 6))
                    duration = group.rng.uniform(1, 5) * SECOND
                    self.run_and_submit(group, duration)
                    group.crash(member)
                    group.start(member)
                    self.run_and_submit(group, SECOND)
                group.run_with_joins(4 * SECOND)
                self.check_recovery(group)


if __name__ == "__main__":
    unittest.main()
