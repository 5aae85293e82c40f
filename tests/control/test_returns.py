"""Members that return after the membership has changed without them."""

import collections.abc
import datetime
import unittest

from egretfork.control import api
from egretfork.control import entries
from tests.control import cluster
from tests.control import test_declarations

SECOND = datetime.timedelta(seconds=1)
VOTERS = 5
SEEDS = range(4)
REPAIR_TIME = 6 * SECOND
RECOVERY_TIME = 15 * SECOND
LONG = datetime.timedelta(hours=1)

Action = collections.abc.Callable[
    [cluster.Cluster, cluster.FakeMember], object
]


def stop(group: cluster.Cluster, member: cluster.FakeMember) -> None:
    """Stop a member; it keeps its disk."""
    group.crash(member)


def cut_off(group: cluster.Cluster, member: cluster.FakeMember) -> None:
    """Cut a running member off from all others."""
    group.cut_off.add(member.identity)


def pause(group: cluster.Cluster, member: cluster.FakeMember) -> None:
    """Pause a running member."""
    member.frozen_until = group.now + LONG


def bring_back(group: cluster.Cluster, member: cluster.FakeMember) -> None:
    """End any absence of a member."""
    group.cut_off.discard(member.identity)
    member.frozen_until = group.now
    if not member.is_up:
        group.start(member)


def lose_disk(group: cluster.Cluster, member: cluster.FakeMember) -> None:
    """Repair a member that lost its disk at its address."""
    group.replace_disk(member)
    group.run_with_joins(REPAIR_TIME)


def move(group: cluster.Cluster, member: cluster.FakeMember) -> None:
    """Replace a member for good by one at another address."""
    group.add_member()
    group.run_with_joins(REPAIR_TIME)
    group.stop_for_good(member)
    group.run_with_joins(REPAIR_TIME)


def read_voters(group: cluster.Cluster) -> frozenset[str]:
    """Return the identities of the voters, as the leader knows them."""
    leader = group.find_leader()
    assert leader is not None and leader.control_core is not None
    return entries.list_voters(leader.control_core.consensus.log.members)


class ReturnTestCase(unittest.TestCase):
    def form(self, seed: int, voters: int = VOTERS) -> cluster.Cluster:
        self.versions = iter(range(2, 1000))
        return cluster.form_group(seed, voters)

    def declare(self, group: cluster.Cluster) -> int:
        version = next(self.versions)
        test_declarations.declare(group, test_declarations.build(version))
        return version

    def repair_others(
        self,
        group: cluster.Cluster,
        away: list[cluster.FakeMember],
        repair: Action,
    ) -> None:
        """Repair all members but those that are away, one at a time."""
        for member in [item for item in group.members if item not in away]:
            repair(group, member)
            self.declare(group)

    def check_participation(
        self, group: cluster.Cluster, member: cluster.FakeMember
    ) -> None:
        """Check that a member holds what is committed."""
        leader = group.find_leader()
        assert leader is not None and leader.control_core is not None
        assert member.control_core is not None
        consensus = member.control_core.consensus
        self.assertTrue(consensus.verified, "the member is not verified")
        self.assertEqual(consensus.leader, leader.identity)
        self.assertEqual(
            consensus.commit_index, leader.control_core.consensus.commit_index
        )

    def check_return_of(
        self, group: cluster.Cluster, away: list[cluster.FakeMember]
    ) -> None:
        """Bring members back and check that they take part."""
        for member in away:
            bring_back(group, member)
        group.run_with_joins(REPAIR_TIME)
        for member in away:
            self.check_participation(group, member)

    def check_tolerance(
        self,
        group: cluster.Cluster,
        returned: list[cluster.FakeMember],
        lost_count: int,
    ) -> None:
        """Check that the loss of other disks loses no declaration."""
        version = self.declare(group)
        voters = read_voters(group)
        others = [
            item
            for item in group.members
            if item not in returned and item.identity in voters
        ]
        for member in group.rng.sample(others, lost_count):
            group.replace_disk(member)
        group.run_with_joins(RECOVERY_TIME)
        self.assertEqual(
            test_declarations.read(group).routing.version, version
        )
        living = {item.identity for item in group.members if not item.lost}
        self.assertLessEqual(read_voters(group), living)

    def check_return(self, leave: Action, repair: Action) -> None:
        """Check the return of a voter after all others were repaired."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = self.form(seed)
                away = group.rng.choice(group.members)
                leave(group, away)
                group.run_with_joins(REPAIR_TIME)
                self.repair_others(group, [away], repair)
                self.check_return_of(group, [away])
                self.assertIn(away.identity, read_voters(group))
                self.check_tolerance(group, [away], lost_count=2)


class VoterReturnTest(ReturnTestCase):
    """Guards against a voter that stays out after its return.

    The group then has one voter less than it needs to lose two disks.
    """

    def test_others_lost_their_disks_while_it_was_stopped(self) -> None:
        self.check_return(stop, lose_disk)

    def test_others_lost_their_disks_while_it_was_cut_off(self) -> None:
        self.check_return(cut_off, lose_disk)

    def test_others_lost_their_disks_while_it_was_paused(self) -> None:
        self.check_return(pause, lose_disk)

    def test_others_moved_while_it_was_stopped(self) -> None:
        # The first new member has taken its place, and it knows no address
        # of a member.
        self.check_return(stop, move)

    def test_others_moved_while_it_was_cut_off(self) -> None:
        self.check_return(cut_off, move)

    def test_others_moved_while_it_was_paused(self) -> None:
        self.check_return(pause, move)

    def test_it_was_removed_and_others_lost_their_disks(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = self.form(seed)
                away = group.rng.choice(group.members)
                stop(group, away)
                group.add_member()
                group.run_with_joins(REPAIR_TIME)
                self.assertNotIn(away.identity, read_voters(group))
                self.repair_others(group, [away], lose_disk)
                self.check_return_of(group, [away])
                self.check_tolerance(group, [away], lost_count=2)

    def test_two_that_were_away_at_once(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = self.form(seed, voters=7)
                away = group.rng.sample(group.members, 2)
                for member in away:
                    stop(group, member)
                group.run_with_joins(REPAIR_TIME)
                self.repair_others(group, away, lose_disk)
                self.check_return_of(group, away)
                self.check_tolerance(group, away, lost_count=3)

    def test_two_disks_are_lost_as_it_returns(self) -> None:
        # No leader tells it of the members: it has to ask them itself.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = self.form(seed)
                away, *others = group.rng.sample(group.members, VOTERS)
                stop(group, away)
                group.run_with_joins(REPAIR_TIME)
                for member in others[:3]:
                    lose_disk(group, member)
                running = [m for m in group.members if m.is_up]
                version = self.declare(group)
                lost = [m for m in running if m is not others[3]][:2]
                for member in lost:
                    group.crash(member)
                    member.lost = True
                bring_back(group, away)
                for _ in lost:
                    group.add_member()
                group.run_with_joins(RECOVERY_TIME)
                self.assertEqual(
                    test_declarations.read(group).routing.version, version
                )


class LearnerReturnTest(ReturnTestCase):
    """Guards against a learner that stays out after its return."""

    def test_every_voter_lost_its_disk_while_it_was_away(self) -> None:
        for leave in (stop, cut_off, pause):
            for seed in SEEDS:
                with self.subTest(leave=leave.__name__, seed=seed):
                    group = self.form(seed)
                    learner = group.add_member()
                    group.run_with_joins(REPAIR_TIME)
                    self.assertNotIn(learner.identity, read_voters(group))
                    leave(group, learner)
                    group.run_with_joins(REPAIR_TIME)
                    self.repair_others(group, [learner], lose_disk)
                    self.check_return_of(group, [learner])
                    self.check_replacement(group, learner)

    def check_replacement(
        self, group: cluster.Cluster, learner: cluster.FakeMember
    ) -> None:
        """Check that the learner takes the place of a voter."""
        voters = read_voters(group)
        gone = next(m for m in group.members if m.identity in voters)
        group.crash(gone)
        gone.lost = True
        group.run_with_joins(RECOVERY_TIME)
        self.assertIn(learner.identity, read_voters(group))


class RollbackTest(ReturnTestCase):
    """Guards against a rolled-back disk that new members do not notice."""

    def test_a_new_voter_knows_the_write_sequence_numbers(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = self.form(seed)
                lost = group.rng.choice(
                    [m for m in group.members if not m.is_leader]
                )
                new = group.replace_disk(lost)
                group.run_until(lambda: self.is_voter(group, new))
                group.run(2 * cluster.STEP)
                assert new.control_core is not None
                known = new.control_core.consensus.peer_sequences
                others = read_voters(group) - {new.identity}
                self.assertEqual(others & known.keys(), others)

    def is_voter(
        self, group: cluster.Cluster, member: cluster.FakeMember
    ) -> bool:
        """Let members ask to join; return whether a member is a voter."""
        group.request_joins()
        return member.identity in read_voters(group)

    def test_others_lost_their_disks_after_the_lost_writes(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = self.form(seed)
                away = group.rng.choice(group.members)
                disk_image = away.disk.copy()
                self.declare(group)
                group.run_with_joins(REPAIR_TIME)
                stop(group, away)
                away.disk = disk_image
                self.repair_others(group, [away], lose_disk)
                bring_back(group, away)
                group.run_with_joins(REPAIR_TIME)
                status = group.read_status(away).status
                self.assertIs(status, api.MemberStatus.ROLLED_BACK)


if __name__ == "__main__":
    unittest.main()
