"""Accepted versions form a single sequence despite any failures."""

import datetime
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from egretfork.control import api
from egretfork.control import entries
from tests.control import cluster

SECOND = datetime.timedelta(seconds=1)
INDEX = strategies.integers(min_value=0, max_value=9)


class GroupMachine(stateful.RuleBasedStateMachine):
    """Random sequences of operator commands, failures and repairs."""

    @stateful.initialize(
        seed=strategies.integers(min_value=0, max_value=2**32),
        size=strategies.sampled_from([1, 3, 3, 5]),
    )
    def start(self, seed: int, size: int) -> None:
        self.group = cluster.Cluster(seed)
        self.requests = 0
        cluster.build_group(self.group, size)

    def pick(self, index: int) -> cluster.FakeMember:
        usable = [item for item in self.group.members if not item.lost]
        return usable[index % len(usable)]

    # Operators

    @stateful.rule(index=INDEX, behind=strategies.integers(0, 2))
    def apply(self, index: int, behind: int) -> None:
        self.requests += 1
        base = max(max(self.group.oracle.published) - behind, 0)
        self.group.apply(self.pick(index), f"r{self.requests}", base)

    @stateful.rule(first=INDEX, second=INDEX)
    def race(self, first: int, second: int) -> None:
        self.apply(first, 0)
        self.apply(second, 0)

    @stateful.rule(rounds=strategies.integers(1, 20))
    def apply_many(self, rounds: int) -> None:
        for _ in range(rounds):
            leader = self.group.find_leader()
            if leader is None:
                return
            self.requests += 1
            base = max(self.group.oracle.published)
            self.group.apply(leader, f"r{self.requests}", base)
            self.group.run(cluster.STEP * 2)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(index=INDEX, which=strategies.integers(0, 2**16))
    def resend(self, index: int, which: int) -> None:
        request_id = f"r{which % self.requests + 1}"
        self.group.resend(self.pick(index), request_id)

    @stateful.rule(ticks=strategies.integers(1, 60))
    def wait(self, ticks: int) -> None:
        self.group.run(cluster.STEP * ticks)

    # Failures

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.05, 0.3]))
    def lose_messages(self, loss: float) -> None:
        self.group.loss = loss

    @stateful.rule(sender=INDEX, receiver=INDEX)
    def cut_one_way(self, sender: int, receiver: int) -> None:
        pair = (self.pick(sender).identity, self.pick(receiver).identity)
        self.group.blocked_links.add(pair)

    @stateful.rule(index=INDEX, seconds=strategies.integers(1, 30))
    def isolate(self, index: int, seconds: int) -> None:
        own = self.pick(index).identity
        others = [item.identity for item in self.group.members]
        self.group.blocked_links.update((own, item) for item in others)
        self.group.blocked_links.update((item, own) for item in others)
        self.group.run(seconds * SECOND)

    @stateful.rule()
    def reconnect(self) -> None:
        self.group.blocked_links.clear()

    @stateful.rule(index=INDEX, ticks=strategies.integers(1, 100))
    def freeze(self, index: int, ticks: int) -> None:
        member = self.pick(index)
        member.frozen_until = self.group.now + cluster.STEP * ticks

    @stateful.rule(index=INDEX)
    def crash(self, index: int) -> None:
        self.group.crash(self.pick(index))

    @stateful.rule(index=INDEX)
    def resign(self, index: int) -> None:
        self.group.resign(self.pick(index))

    @stateful.rule(index=INDEX)
    def restart(self, index: int) -> None:
        member = self.pick(index)
        if not member.is_up:
            self.group.start(member)

    @stateful.rule(index=INDEX)
    def fail_writes(self, index: int) -> None:
        member = self.pick(index)
        member.disk.failures = int(member.is_up)

    @stateful.rule(index=INDEX)
    def lose_disk(self, index: int) -> None:
        member = self.pick(index)
        if self.is_dispensable(member):
            self.group.crash(member)
            member.lost = True

    @stateful.rule(index=INDEX)
    def take_image(self, index: int) -> None:
        member = self.pick(index)
        member.disk_image = member.disk.copy()

    @stateful.rule(index=INDEX)
    def roll_back(self, index: int) -> None:
        """Restore a member from an image after others received its writes."""
        member = self.pick(index)
        if member.disk_image is None or not self.is_dispensable(member):
            return
        self.group.repair()
        self.group.run(12 * SECOND)
        if self.group.find_leader() is None:
            return
        known = self.group.list_active()
        newest = member.member_storage.sequence if member.member_storage else 0
        self.group.crash(member)
        member.disk = member.disk_image
        member.lost = True
        self.group.start(member)
        self.group.run(5 * SECOND)
        assert member.member_storage is not None
        if member in known and member.member_storage.sequence < newest:
            status = self.group.read_status(member)
            assert status.status is api.MemberStatus.ROLLED_BACK, status

    def is_dispensable(self, member: cluster.FakeMember) -> bool:
        """Return whether the others are a majority in every membership."""
        gone = {item.identity for item in self.group.members if item.lost}
        gone.add(member.identity)
        return all(
            len(voters - gone) > len(voters) // 2
            for voters in self.list_voter_sets()
            if voters
        )

    def list_voter_sets(self) -> list[frozenset[str]]:
        logs = [self.group.read_log(item) for item in self.group.members]
        return [
            entries.list_voters(view)
            for held in logs
            for view in (held.members, held.snapshot.members)
        ]

    # Membership changes

    @stateful.rule()
    def add_learner(self) -> None:
        leader = self.group.find_leader()
        if leader is None or len(self.group.members) > 8:
            return
        member = self.group.add_member()
        new = self.group.describe(member)
        self.group.ask(leader, api.AddMember(1, new))

    @stateful.rule(index=INDEX)
    def promote(self, index: int) -> None:
        leader = self.group.find_leader()
        if leader is not None:
            identity = self.pick(index).identity
            self.group.ask(leader, api.PromoteMember(1, identity))

    @stateful.rule(index=INDEX)
    def remove(self, index: int) -> None:
        leader = self.group.find_leader()
        lost = [item for item in self.group.members if item.lost]
        member = lost[index % len(lost)] if lost else self.pick(index)
        if leader is not None and (lost or self.is_dispensable(member)):
            self.group.ask(leader, api.RemoveMember(1, member.identity))

    def teardown(self) -> None:
        if hasattr(self, "group"):
            self.group.check_final()


GroupMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)


class GroupTest(GroupMachine.TestCase):  # type: ignore[misc,name-defined]
    pass


class LongHistoryTest(unittest.TestCase):
    def test_restart_after_600_changes_keeps_all(self) -> None:
        # Guards against a restart from snapshot and log that loses changes
        # or applies them twice.
        group = cluster.Cluster(seed=1, compact_after_entries=100)
        members = cluster.build_group(group, 3)
        for number in range(600):
            leader = group.find_leader()
            assert leader is not None
            group.apply(leader, f"r{number}", number)
            group.run_until(lambda: number + 1 in group.oracle.accepted)
        for member in members:
            group.crash(member)
            group.start(member)
        group.check_final()
        self.assertEqual(max(group.oracle.published), 600)
        leader = group.find_leader()
        assert leader is not None
        client = group.resend(leader, "r599")
        group.run_until(lambda: client in group.replies)
        self.assertIsInstance(group.replies[client], api.Concluded)
