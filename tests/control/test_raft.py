"""Scenarios that require the individual rules of the consensus core."""

import datetime
import random
import unittest

from egretfork.control import api
from egretfork.control import election
from egretfork.control import entries
from egretfork.control import events
from egretfork.control import log
from egretfork.control import raft
from egretfork.control import storage
from egretfork import model
from egretfork import reasons
from tests.control import cluster
from tests.control import fakes

SECOND = datetime.timedelta(seconds=1)
ADDRESS = model.Endpoint("127.0.0.1", 1)
VOTERS = tuple(entries.Member(name, name, ADDRESS, True) for name in "abc")


def build_raft(loaded: storage.LoadedState) -> raft.Raft:
    core = raft.Raft(
        loaded.identity,
        loaded.vote,
        loaded.log,
        loaded.sequence,
        loaded.peer_sequences,
        random.Random(1),
        datetime.timedelta(),
    )
    core.verified = True
    return core


def receive(
    core: raft.Raft, sender: str, message: entries.PeerMessage, seconds: int
) -> list[events.Action]:
    return core.handle(events.Received(sender, 1, message), seconds * SECOND)


class VoteTest(unittest.TestCase):
    def test_vote_survives_a_crash(self) -> None:
        # Guards against two leaders in one term: a member that loses its
        # vote in a crash could vote twice.
        disk = fakes.FakeFileSystem()
        storage.Storage(disk).initialise(
            storage.StoredIdentity("a", "a"), VOTERS
        )
        request = entries.VoteRequest(5, 0, 0, pre_vote=False)
        for candidate, expected in (("b", True), ("c", False)):
            member_storage = storage.Storage(disk)
            core = build_raft(member_storage.load())
            for action in receive(core, candidate, request, 5):
                if isinstance(action, events.Send):
                    reply = action.message
                else:
                    assert isinstance(action, events.SaveVote)
                    member_storage.save(action)
            assert isinstance(reply, entries.VoteReply)
            self.assertEqual(reply.granted, expected)
            disk.crash(random.Random(1))


class CandidateTest(unittest.TestCase):
    def setUp(self) -> None:
        snapshot = entries.Snapshot(members=VOTERS)
        loaded = storage.LoadedState(
            "a", 1, entries.Vote(3), log.Log(snapshot), 0
        )
        self.core = build_raft(loaded)
        self.core.handle(events.Tick(), 9 * SECOND)
        receive(self.core, "b", entries.VoteReply(4, True, True), 9)
        self.assertEqual(self.core.term, 4)

    def list_requests(
        self, now: datetime.timedelta
    ) -> list[tuple[str, entries.VoteRequest]]:
        """Return the vote requests that the next tick sends."""
        return [
            (action.receiver, action.message)
            for action in self.core.handle(events.Tick(), now)
            if isinstance(action, events.Send)
            and isinstance(action.message, entries.VoteRequest)
        ]

    def test_vote_requests_are_repeated(self) -> None:
        # Guards against one lost message that costs an election timeout.
        request = entries.VoteRequest(4, 0, 0, pre_vote=False)
        for seconds in (10, 11):
            self.assertEqual(
                self.list_requests(seconds * SECOND),
                [("b", request), ("c", request)],
            )

    def test_a_split_vote_is_followed_by_an_election_soon(self) -> None:
        # Guards against a group that lacks a leader for several election
        # timeouts when it needs the vote of each running member.
        receive(self.core, "b", entries.VoteReply(4, False, False), 9)
        limit = election.DEFAULT_TIMING.election_timeout_min / 2
        requests = self.list_requests(9 * SECOND + limit)
        self.assertIn(
            ("c", entries.VoteRequest(5, 0, 0, pre_vote=True)), requests
        )


class CommitRuleTest(unittest.TestCase):
    def test_entry_of_an_earlier_term_is_not_committed_by_count(self) -> None:
        # Guards against the case in figure 8 of the Raft paper: an entry of
        # an earlier term that a majority has stored can still be overwritten
        # by another leader.
        snapshot = entries.Snapshot(members=VOTERS)
        held = log.Log(snapshot, (entries.Entry(1, 2, b"x"),))
        vote = entries.Vote(3)
        loaded = storage.LoadedState("a", 1, vote, held, 0)
        core = build_raft(loaded)
        core.handle(events.Tick(), 9 * SECOND)
        for pre_vote in (True, False):
            receive(core, "b", entries.VoteReply(4, True, pre_vote), 9)
        self.assertIsNotNone(core.leadership)
        receive(core, "b", entries.AppendReply(4, True, 1, 1), 9)
        self.assertEqual(core.commit_index, 0)
        receive(core, "b", entries.AppendReply(4, True, 2, 2), 9)
        self.assertEqual(core.commit_index, 2)


class GroupTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.group = cluster.Cluster(seed=3)
        cluster.build_group(self.group, 3)
        leader = self.group.find_leader()
        assert leader is not None
        self.leader = leader
        self.others = [m for m in self.group.members if m is not leader]

    def isolate(self, member: cluster.FakeMember) -> None:
        identity = member.identity
        for other in self.group.members:
            self.group.blocked_links.add((identity, other.identity))
            self.group.blocked_links.add((other.identity, identity))

    def get_raft(self, member: cluster.FakeMember) -> raft.Raft:
        assert member.control_core is not None
        return member.control_core.consensus

    def accept(self, request_id: str, base_version: int) -> None:
        leader = self.group.find_leader()
        assert leader is not None
        self.group.apply(leader, request_id, base_version)
        self.group.run_until(
            lambda: base_version + 1 in self.group.oracle.accepted
        )


class IsolationTest(GroupTestCase):
    def test_member_returning_from_isolation_keeps_the_leader(self) -> None:
        # Guards against elections without pre-vote: an isolated member
        # increments its term and deposes the leader when it returns.
        term = self.get_raft(self.leader).term
        self.isolate(self.others[0])
        self.group.run(60 * SECOND)
        self.group.blocked_links.clear()
        self.group.run(10 * SECOND)
        self.assertTrue(self.leader.is_leader)
        self.assertEqual(self.get_raft(self.leader).term, term)

    def test_isolated_leader_answers_unknown_and_steps_down(self) -> None:
        # Guards against a leader that never answers pending commands, or
        # that refuses a command which the next leader may commit.
        self.isolate(self.leader)
        client = self.group.apply(self.leader, "one", 0)
        self.group.run(10 * SECOND)
        self.assertIsInstance(self.group.replies[client], api.OutcomeUnknown)
        self.assertFalse(self.leader.is_leader)
        late = self.group.resend(self.leader, "one")
        self.assertIsInstance(self.group.replies[late], api.Redirect)

    def test_isolated_leader_does_not_show_an_old_version(self) -> None:
        # Guards against stale reads from a leader that was superseded.
        self.isolate(self.leader)
        client = self.group.ask(self.leader, api.Show(1))
        self.group.run(10 * SECOND)
        self.assertIsInstance(self.group.replies[client], api.Redirect)

    def test_followers_have_an_accepted_version_at_once(self) -> None:
        # Guards against a version that reaches no node until the next
        # election because the leader failed directly after its answer.
        self.accept("one", 0)
        self.group.run(cluster.STEP)
        self.group.crash(self.leader)
        versions = [member.published.version for member in self.others]
        self.assertEqual(versions, [1, 1])

    def test_leader_that_stops_is_replaced_at_once(self) -> None:
        # Guards against a planned restart that blocks changes until the
        # election timeout.
        self.group.resign(self.leader)
        self.group.run(4 * cluster.STEP)
        leader = self.group.find_leader()
        self.assertIn(leader, self.others)

    def test_commands_continue_without_the_isolated_leader(self) -> None:
        self.isolate(self.leader)
        self.group.run(10 * SECOND)
        self.accept("one", 0)
        self.group.check_final()


class MembershipTest(GroupTestCase):
    def ask(self, query: api.Query) -> api.Reply:
        client = self.group.ask(self.leader, query)
        return self.group.replies[client]

    def assert_refused(
        self, query: api.Query, reason: reasons.ControlRefusal
    ) -> None:
        reply = self.ask(query)
        assert isinstance(reply, api.QueryRefused), reply
        self.assertEqual(reply.reason, reason)

    def test_learner_that_is_behind_is_not_promoted(self) -> None:
        # Guards against a quorum that depends on a member without the
        # committed entries.
        new = self.group.add_member()
        self.isolate(new)
        described = self.group.describe(new)
        self.group.ask(self.leader, api.AddMember(1, described))
        self.group.run(SECOND)
        self.assert_refused(
            api.PromoteMember(1, new.identity),
            reasons.ControlRefusal.MEMBER_NOT_CAUGHT_UP,
        )

    def test_two_changes_at_once_are_refused(self) -> None:
        # Guards against disjoint majorities of two memberships.
        new = [self.group.describe(self.group.add_member()) for _ in "ab"]
        self.isolate(self.leader)
        self.group.ask(self.leader, api.AddMember(1, new[0]))
        self.assert_refused(
            api.AddMember(1, new[1]), reasons.ControlRefusal.MEMBERS_CHANGING
        )

    def test_removal_that_would_lose_the_quorum_is_refused(self) -> None:
        self.group.crash(self.others[0])
        self.group.run(4 * SECOND)
        self.assert_refused(
            api.RemoveMember(1, self.others[1].identity),
            reasons.ControlRefusal.QUORUM_AT_RISK,
        )

    def test_second_member_lost_right_after_a_repair(self) -> None:
        # Guards against a replaced member that lacks committed entries.
        self.accept("one", 0)
        lost, second = self.others
        self.group.crash(lost)
        lost.lost = True
        cluster.join(self.group, self.group.add_member())
        cluster.change(self.group, api.RemoveMember(1, lost.identity))
        self.group.crash(second)
        second.lost = True
        self.accept("two", 1)
        self.group.check_final()


class RollbackTest(GroupTestCase):
    def roll_back(self, member: cluster.FakeMember) -> None:
        """Restore a member's disk from an image that lacks later writes."""
        disk_image = member.disk.copy()
        self.accept("one", 0)
        self.group.run(5 * SECOND)
        self.group.crash(member)
        member.disk = disk_image

    def test_rolled_back_member_stops_permanently(self) -> None:
        # Guards against votes that are based on an outdated log.
        member = self.others[0]
        self.roll_back(member)
        self.group.start(member)
        self.group.run(SECOND)
        status = self.group.read_status(member)
        self.assertEqual(status.status, api.MemberStatus.ROLLED_BACK)

    def test_peer_knows_of_later_writes_through_the_leader(self) -> None:
        # Guards against an elected leader that lacks the accepted version.
        # The former leader, which received the later writes, has crashed;
        # the two remaining members would be a majority.
        member = self.others[0]
        self.roll_back(member)
        self.group.crash(self.leader)
        self.group.start(member)
        self.group.run(20 * SECOND)
        status = self.group.read_status(member)
        self.assertEqual(status.status, api.MemberStatus.ROLLED_BACK)
        self.assertIsNone(self.group.find_leader())
        self.group.start(self.leader)
        self.group.run_until(lambda: self.group.find_leader() is not None)
        self.accept("two", 1)

    def test_rollback_is_detected_after_all_members_stopped(self) -> None:
        # Guards against members that lose the write sequence numbers of
        # their peers in a restart.
        member = self.others[0]
        self.roll_back(member)
        for other in (self.leader, self.others[1]):
            self.group.crash(other)
            self.group.start(other)
        self.group.start(member)
        self.group.run(2 * SECOND)
        status = self.group.read_status(member)
        self.assertEqual(status.status, api.MemberStatus.ROLLED_BACK)

    def test_rollback_to_a_group_of_one_accepts_nothing(self) -> None:
        # Guards against a first member that elects itself because its disk
        # was restored from an image made before the others joined.
        group = cluster.Cluster(seed=4)
        first = group.add_member(first=True)
        disk_image = first.disk.copy()
        group.run_until(lambda: first.is_leader)
        for _ in "ab":
            cluster.join(group, group.add_member())
        group.run(5 * SECOND)
        group.crash(first)
        first.disk = disk_image
        group.run_until(lambda: group.find_leader() is not None)
        group.run(SECOND)
        group.start(first)
        for _ in range(100):
            group.run(cluster.STEP)
            self.assertFalse(first.is_leader)
        status = group.read_status(first)
        self.assertEqual(status.status, api.MemberStatus.ROLLED_BACK)

    def test_restarted_member_with_its_disk_participates(self) -> None:
        self.accept("one", 0)
        self.group.crash(self.others[0])
        self.group.crash(self.leader)
        self.group.start(self.others[0])
        self.group.run_until(lambda: self.group.find_leader() is not None)
        self.accept("two", 1)
