"""Voters that run but take no part, as the leader sees them."""

import datetime
import itertools
import unittest
from unittest import mock

from egretfork.control import core
from egretfork.control import membership
from tests.control import cluster
from tests.control import test_declarations
from tests.control import test_returns

SECOND = datetime.timedelta(seconds=1)
VOTERS = 5
SEEDS = range(4)
# Time in which a voter is found to take no part and is replaced.
REPLACEMENT_TIME = membership.REPLACE_LAGGING_AFTER + 3 * SECOND


def get_core(member: cluster.FakeMember) -> core.ControlCore:
    """Return the core of a running member."""
    assert member.control_core is not None
    return member.control_core


def list_inactive(group: cluster.Cluster) -> list[membership.InactiveVoter]:
    """Return the voters that take no part, as the leader knows them."""
    leader = group.find_leader()
    assert leader is not None
    return list(get_core(leader).list_inactive_voters(group.now))


class InactiveVoterTest(unittest.TestCase):
    """Guards against a voter that counts but takes no part."""

    def form(self, seed: int) -> cluster.Cluster:
        """Return a group and choose a follower."""
        group = cluster.form_group(seed, VOTERS)
        followers = [m for m in group.members if not m.is_leader]
        self.stuck = group.rng.choice(followers)
        return group

    def let_reject(self, member: cluster.FakeMember) -> None:
        """Let a member answer all appends without storing any entry."""
        patcher = mock.patch.object(
            get_core(member).consensus, "_is_consistent", return_value=False
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def let_wait(self, member: cluster.FakeMember) -> None:
        """Let a member send Hellos only."""
        consensus = get_core(member).consensus
        consensus.verified = False
        patcher = mock.patch.object(consensus, "_on_hello_reply")
        patcher.start()
        self.addCleanup(patcher.stop)

    def run_and_declare(
        self, group: cluster.Cluster, duration: datetime.timedelta
    ) -> None:
        """Advance the time; a declaration is accepted every 400 ms."""
        end = group.now + duration
        while group.now < end:
            version = int(group.now / cluster.STEP)
            test_declarations.declare(group, test_declarations.build(version))
            group.run_with_joins(2 * cluster.STEP)

    def test_it_is_replaced_by_a_learner(self) -> None:
        cases = itertools.product((self.let_reject, self.let_wait), SEEDS)
        for let_fail, seed in cases:
            with self.subTest(let_fail=let_fail.__name__, seed=seed):
                group = self.form(seed)
                learner = group.add_member()
                group.run_with_joins(4 * SECOND)
                let_fail(self.stuck)
                self.run_and_declare(group, REPLACEMENT_TIME)
                voters = test_returns.read_voters(group)
                self.assertNotIn(self.stuck.identity, voters)
                self.assertIn(learner.identity, voters)

    def test_without_a_learner_it_is_named_until_one_is_there(self) -> None:
        for let_fail in (self.let_reject, self.let_wait):
            with self.subTest(let_fail=let_fail.__name__):
                group = self.form(0)
                let_fail(self.stuck)
                self.run_and_declare(group, REPLACEMENT_TIME)
                voters = test_returns.read_voters(group)
                self.assertIn(self.stuck.identity, voters)
                found = list_inactive(group)
                self.assertEqual(
                    [item.identity for item in found], [self.stuck.identity]
                )
                self.assertLess(found[0].heard_ago, SECOND)
                self.assertLess(found[0].match_index, found[0].commit_index)
                group.add_member()
                self.run_and_declare(group, REPLACEMENT_TIME)
                voters = test_returns.read_voters(group)
                self.assertNotIn(self.stuck.identity, voters)
                self.assertEqual(len(voters), VOTERS)

    def test_a_voter_under_load_is_not_named(self) -> None:
        group = self.form(0)
        before = test_returns.read_voters(group)
        group.add_member()
        for _ in range(30):
            self.run_and_declare(group, SECOND)
            self.assertEqual(list_inactive(group), [])
        self.assertEqual(test_returns.read_voters(group), before)

    def test_a_silent_voter_is_named(self) -> None:
        group = self.form(0)
        group.crash(self.stuck)
        group.run_with_joins(3 * SECOND)
        found = list_inactive(group)
        self.assertEqual(
            [item.identity for item in found], [self.stuck.identity]
        )
        self.assertGreater(found[0].heard_ago, SECOND)


if __name__ == "__main__":
    unittest.main()
