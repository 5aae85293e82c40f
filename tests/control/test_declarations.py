"""Declarations: the highest version wins and survives disk losses."""

import datetime
import unittest

import msgspec

from egretfork.control import api
from egretfork.control import commands
from egretfork.control import core
from egretfork.control import entries
from egretfork.control import state
from egretfork.passthrough import packets
from egretfork.passthrough import routing
from tests.control import cluster

SECOND = datetime.timedelta(seconds=1)
ADDRESS = packets.ServiceAddress(0xC6120001, 443)
VOTERS = 5


def build(version: int, service: str = "mail") -> routing.Declaration:
    """Return a declaration with one route."""
    route = routing.Route(ADDRESS, (routing.Share(service, 1),))
    document = f"{version} {service}".encode()
    return routing.Declaration(routing.Routing(version, (route,)), document)


def declare(
    group: cluster.Cluster, declaration: routing.Declaration
) -> api.Reply:
    """Submit a declaration to the leader until it is concluded."""
    command = commands.Declare(declaration)
    for _ in range(40):
        leader = group.find_leader()
        if leader is not None:
            client = group.ask(leader, api.Submit(1, command))
            group.run(6 * cluster.STEP)
            reply = group.replies.get(client)
            if isinstance(reply, api.Concluded):
                return reply
        group.run_with_joins(10 * cluster.STEP)
    raise AssertionError("the declaration was not concluded")


def read(group: cluster.Cluster) -> routing.Declaration:
    """Read the newest declaration from the leader."""
    leader = group.find_leader()
    assert leader is not None
    client = group.ask(leader, api.ReadDeclaration(1))
    group.run(6 * cluster.STEP)
    reply = group.replies[client]
    assert isinstance(reply, api.DeclarationRead), reply
    return reply.declaration


class VersionTest(unittest.TestCase):
    """Guards against an older declaration replacing a newer one."""

    def setUp(self) -> None:
        self.machine = state.StateMachine()
        self.machine.apply(commands.Declare(build(7)))

    def test_a_higher_version_wins(self) -> None:
        outcome = self.machine.apply(commands.Declare(build(9)))
        assert outcome is not None
        self.assertEqual(outcome.version, 9)
        self.assertEqual(self.machine.state.declaration.version, 9)

    def test_a_lower_or_equal_version_is_accepted_without_effect(self) -> None:
        for version in (6, 7):
            outcome = self.machine.apply(
                commands.Declare(build(version, "other"))
            )
            assert outcome is not None
            self.assertIs(outcome.kind, commands.OutcomeKind.ACCEPTED)
            self.assertEqual(self.machine.state.declaration, build(7))

    def test_a_first_version_of_zero(self) -> None:
        # Guards against version 0 being acknowledged but not kept.
        machine = state.StateMachine()
        machine.apply(commands.Declare(build(0)))
        self.assertEqual(machine.state.declaration, build(0))
        machine.apply(commands.Declare(build(0, "other")))
        restored = state.StateMachine(machine.encode())
        self.assertEqual(restored.state.declaration, build(0))

    def test_a_state_of_an_earlier_release_without_declaration(self) -> None:
        earlier = state.State(
            declaration=routing.Declaration(routing.Routing(0))
        )
        machine = state.StateMachine(msgspec.msgpack.encode(earlier))
        self.assertEqual(machine.state.declaration, routing.Declaration())
        machine.apply(commands.Declare(build(0)))
        self.assertEqual(machine.state.declaration, build(0))

    def test_a_snapshot_keeps_the_declaration(self) -> None:
        restored = state.StateMachine(self.machine.encode())
        self.assertEqual(restored.state.declaration, build(7))

    def test_earlier_services_are_kept(self) -> None:
        self.machine.apply(commands.Declare(build(8, "feed")))
        self.machine.apply(commands.Declare(build(9, "feed")))
        route = self.machine.state.declaration.routing.routes[0]
        self.assertEqual(route.previous_services, ("mail",))
        self.machine.apply(commands.Declare(build(10)))
        route = self.machine.state.declaration.routing.routes[0]
        self.assertEqual(route.previous_services, ("feed",))
        self.assertEqual(route.list_services(), {"mail", "feed"})


class PendingTest(unittest.TestCase):
    def test_a_command_that_cannot_be_encoded(self) -> None:
        # Guards against queries that stay pending and use up their limit.
        group = cluster.Cluster(0)
        leader = group.add_member(first=True)
        group.run_until(lambda: leader.is_leader)
        assert leader.control_core is not None
        command = commands.Declare(build(2**64))
        with self.assertRaises(OverflowError):
            group.ask(leader, api.Submit(1, command))
        self.assertFalse(leader.control_core.has_pending)


class LossTest(unittest.TestCase):
    """Guards against the loss of an acknowledged declaration."""

    def count_voters(self, group: cluster.Cluster) -> int:
        leader = group.find_leader()
        assert leader is not None and leader.control_core is not None
        members = leader.control_core.consensus.log.members
        living = {item.identity for item in group.members if not item.lost}
        return len(entries.list_voters(members) & living)

    def test_processes_become_voters_automatically(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                group = cluster.form_group(seed, VOTERS)
                self.assertEqual(self.count_voters(group), VOTERS)

    def test_two_lost_disks(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                group = cluster.form_group(seed, VOTERS)
                declare(group, build(3))
                lost = group.rng.sample(group.members, 2)
                for member in lost:
                    group.replace_disk(member)
                group.run_with_joins(10 * SECOND)
                self.assertEqual(self.count_voters(group), VOTERS)
                self.assertEqual(read(group), build(3))
                declare(group, build(4))
                self.assertEqual(read(group), build(4))

    def test_two_lost_disks_while_all_lose_power(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                group = cluster.form_group(seed, VOTERS)
                declare(group, build(3))
                lost = group.rng.sample(group.members, 2)
                for member in [m for m in group.members if m not in lost]:
                    group.crash(member)
                    group.start(member)
                for member in lost:
                    group.replace_disk(member)
                group.run_with_joins(12 * SECOND)
                self.assertEqual(read(group), build(3))
                self.assertEqual(self.count_voters(group), VOTERS)

    def test_a_restart_restores_the_committed_declaration(self) -> None:
        group = cluster.form_group(0, VOTERS)
        for version in (3, 4):
            declare(group, build(version))
        for member in group.members:
            group.crash(member)
            group.start(member)
            assert member.control_core is not None
            self.assertGreaterEqual(member.control_core.declaration.version, 3)

    def test_a_permanently_lost_member_is_replaced(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                group = cluster.form_group(seed, VOTERS)
                gone = group.rng.choice(group.members)
                group.crash(gone)
                gone.lost = True
                group.run_with_joins(SECOND)
                group.add_member()
                group.run_with_joins(8 * SECOND)
                self.assertEqual(self.count_voters(group), VOTERS)

    def test_a_removed_member_that_returns_is_a_learner(self) -> None:
        group = cluster.form_group(0, VOTERS)
        away = next(m for m in group.members if not m.is_leader)
        group.crash(away)
        group.add_member()
        group.run_with_joins(8 * SECOND)
        group.start(away)
        group.run_with_joins(8 * SECOND)
        leader = group.find_leader()
        assert leader is not None and leader.control_core is not None
        members = leader.control_core.consensus.log.members
        self.assertIn(away.identity, entries.list_identities(members))
        self.assertEqual(len(entries.list_voters(members)), VOTERS)

    def read_members(
        self, group: cluster.Cluster
    ) -> tuple[entries.Member, ...]:
        """Return the members as the leader knows them."""
        leader = group.find_leader()
        assert leader is not None and leader.control_core is not None
        return leader.control_core.consensus.log.members

    def test_two_disks_lost_right_after_a_planned_replacement(self) -> None:
        # Guards against a stopped member that still counts as a voter while
        # its successor is a learner.
        for index in range(VOTERS):
            with self.subTest(index=index):
                group = cluster.form_group(index, VOTERS)
                leaving = group.members[index]
                successor = group.add_member()
                group.run_with_joins(4 * SECOND)
                group.stop_for_good(leaving)
                lost = group.rng.sample(
                    [
                        m
                        for m in group.members
                        if m not in (leaving, successor)
                    ],
                    2,
                )
                declare(group, build(3))
                for member in lost:
                    group.replace_disk(member)
                group.run_with_joins(12 * SECOND)
                self.assertEqual(read(group), build(3))
                self.assertEqual(self.count_voters(group), VOTERS)

    def test_a_learner_that_was_cut_off_joins_again(self) -> None:
        # Guards against a process that waits for a leader that has removed
        # it, and is then missing when a voter has to be replaced.
        group = cluster.form_group(0, VOTERS)
        learner = group.add_member()
        group.run_with_joins(4 * SECOND)
        others = [m.identity for m in group.members if m is not learner]
        group.blocked_links.update((learner.identity, m) for m in others)
        group.blocked_links.update((m, learner.identity) for m in others)
        group.run(15 * SECOND)
        known = entries.list_identities(self.read_members(group))
        self.assertNotIn(learner.identity, known)
        group.blocked_links.clear()
        group.run_with_joins(4 * SECOND)
        known = entries.list_identities(self.read_members(group))
        self.assertIn(learner.identity, known)

    def test_a_late_join_request_from_the_address_of_a_member(self) -> None:
        # Guards against removing a member that runs: the request is from a
        # process that had the address before.
        group = cluster.form_group(0, VOTERS)
        member = next(m for m in group.members if not m.is_leader)
        earlier = entries.Member("gone", "gone", member.address, voter=False)
        before = self.read_members(group)
        for receiver in group.members:
            assert receiver.control_core is not None
            receiver.control_core.handle(
                core.JoinRequested(earlier), group.now
            )
        group.run_with_joins(3 * SECOND)
        self.assertEqual(self.read_members(group), before)

    def test_a_stopped_learner_takes_the_place_of_no_voter(self) -> None:
        # Guards against removing a voter for a process that has stopped.
        group = cluster.form_group(0, VOTERS)
        learner = group.add_member()
        group.run_with_joins(4 * SECOND)
        group.stop_for_good(learner)
        gone = next(m for m in group.members if not m.is_leader)
        group.crash(gone)
        group.run_with_joins(4 * SECOND)
        voters = entries.list_voters(self.read_members(group))
        self.assertIn(gone.identity, voters)

    def test_a_stopping_member_without_a_learner_stays_a_voter(self) -> None:
        # Guards against a planned restart that shrinks the group.
        group = cluster.form_group(0, VOTERS)
        started_at = group.now
        group.stop_for_good(group.members[2])
        self.assertLess(group.now - started_at, SECOND)
        self.assertEqual(
            len(entries.list_voters(self.read_members(group))), VOTERS
        )


if __name__ == "__main__":
    unittest.main()
