"""Tests of announcement ordering, suspicion and expiry of targets."""

import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from egretfork.gossip import exchange
from egretfork.gossip import membership
from egretfork.gossip import messages
from egretfork import model
from tests import gossip_network

OBSERVERS = ("o1", "o2")


def at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


class MembershipTest(unittest.TestCase):
    """Guards against stale announcements and against emptied services."""

    def setUp(self) -> None:
        self.exchange = exchange.Exchange(random.Random(1))
        self.membership = self.exchange.membership

    def add(self, count: int) -> None:
        for number in range(count):
            target = gossip_network.make_target(f"a{number}")
            self.membership.merge_target(target, at(0))

    def suspect(self, name: str, seconds: float, observers=OBSERVERS) -> None:
        known = self.exchange.records.targets[name].announcement
        for observer in observers:
            statement = messages.Suspicion(
                name, known.incarnation, known.sequence, observer
            )
            self.membership.merge_suspicion(statement, at(seconds))

    def list_visible(self) -> list[str]:
        return [item.agent for item in self.membership.list_visible("hatlog")]

    @hypothesis.given(
        orders=strategies.lists(
            strategies.tuples(
                strategies.integers(1, 3),
                strategies.integers(1, 3),
                strategies.sampled_from(["ready", "draining", "left"]),
            ),
            min_size=1,
        )
    )
    def test_highest_order_wins_in_any_sequence(self, orders) -> None:
        state = exchange.Exchange(random.Random(1))
        for incarnation, sequence, name in orders:
            target = gossip_network.make_target(
                "a0",
                incarnation=incarnation,
                sequence=sequence,
                state=model.TargetState(name),
            )
            state.membership.merge_target(target, at(0))
        kept = state.records.targets["a0"].announcement
        self.assertEqual(kept.order, max(item[:2] for item in orders))

    def test_one_observer_is_not_enough(self) -> None:
        self.add(3)
        self.suspect("a0", 1, observers=("o1",))
        self.assertFalse(self.membership.is_suspect("a0"))
        # The first suspicion has expired when the second one arrives.
        self.membership.expire(at(12))
        self.suspect("a0", 12, observers=("o2",))
        self.assertFalse(self.membership.is_suspect("a0"))

    def test_one_observer_is_enough_for_two_agents(self) -> None:
        self.add(2)
        self.suspect("a0", 1, observers=("o1",))
        self.assertTrue(self.membership.is_suspect("a0"))

    def test_suspect_of_a_starting_node_is_cleared(self) -> None:
        """A suspicion accepted while few agents were known must be cleared.

        Otherwise the starting node would keep a state that differs from its
        peers.
        """
        self.add(1)
        self.suspect("a0", 1, observers=("o1",))
        self.membership.expire(at(7))
        self.add(4)
        self.membership.expire(at(8))
        self.assertFalse(self.membership.is_suspect("a0"))
        self.membership.expire(at(20))
        known = self.exchange.records.targets["a0"]
        self.assertEqual((known.suspicions, known.expired_at), ({}, None))

    def test_removed_five_seconds_after_suspicion(self) -> None:
        self.add(4)
        self.suspect("a0", 1)
        self.membership.expire(at(5.9))
        self.assertIn("a0", self.list_visible())
        self.membership.expire(at(6))
        self.assertNotIn("a0", self.list_visible())

    def test_refuted_suspicion_is_void(self) -> None:
        self.add(4)
        self.suspect("a0", 1)
        refutation = gossip_network.make_target("a0", sequence=2)
        self.membership.merge_target(refutation, at(2))
        stale = messages.Suspicion("a0", 100, 1, "o3")
        outcome = self.membership.merge_suspicion(stale, at(3))
        self.assertIs(outcome, membership.MergeOutcome.OLDER)
        self.membership.expire(at(60))
        self.assertIn("a0", self.list_visible())

    def test_removed_target_returns_with_a_refutation(self) -> None:
        self.add(4)
        self.suspect("a0", 1)
        self.membership.expire(at(6))
        refutation = gossip_network.make_target("a0", sequence=2)
        self.membership.merge_target(refutation, at(7))
        self.assertIn("a0", self.list_visible())

    @hypothesis.given(count=strategies.integers(1, 20))
    def test_expiry_keeps_half_and_a_third_in_ten_seconds(self, count) -> None:
        self.setUp()
        self.add(count)
        for number in range(count):
            self.suspect(f"a{number}", 1)
        sizes = [count]
        for tenth in range(2_000):
            self.membership.expire(at(tenth / 10))
            sizes.append(len(self.list_visible()))
        self.assertGreaterEqual(sizes[-1], (count + 1) // 2)
        lost = max(a - b for a, b in zip(sizes, sizes[99:]))
        self.assertLessEqual(lost, max(1, count // 3))

    def test_cut_off_part_keeps_half_for_days(self) -> None:
        self.add(4)
        for number in range(4):
            self.suspect(f"a{number}", 1)
        for hour in range(100):
            self.membership.expire(at(hour * 3600))
        self.assertEqual(len(self.list_visible()), 2)

    def test_old_announcement_of_a_left_target_stays_out(self) -> None:
        self.add(3)
        left = gossip_network.make_target(
            "a0", sequence=2, state=model.TargetState.LEFT
        )
        self.membership.merge_target(left, at(1))
        # A region that was partitioned for an hour sends the old announcement.
        self.membership.expire(at(3600))
        old = gossip_network.make_target("a0", sequence=1)
        _, newer = self.exchange.merge(
            messages.RecordBatch(targets=(old,)), at(3600)
        )
        self.assertNotIn("a0", self.list_visible())
        self.assertEqual(newer.targets, (left,))

    def test_left_targets_are_dropped_in_the_end(self) -> None:
        left = gossip_network.make_target("a0", state=model.TargetState.LEFT)
        self.membership.merge_target(left, at(1))
        self.membership.expire(at(25 * 3600))
        self.assertEqual(self.exchange.records.targets, {})

    def test_restarted_agent_is_newer(self) -> None:
        self.add(1)
        left = gossip_network.make_target(
            "a0", sequence=9, state=model.TargetState.LEFT
        )
        self.membership.merge_target(left, at(1))
        again = gossip_network.make_target("a0", incarnation=101, sequence=0)
        self.membership.merge_target(again, at(2))
        self.assertEqual(self.list_visible(), ["a0"])

    def test_datagrams_fit(self) -> None:
        names = [f"target-{number:04d}" + "x" * 50 for number in range(400)]
        batch = messages.RecordBatch(
            targets=tuple(map(gossip_network.make_target, names)),
            suspicions=tuple(
                messages.Suspicion(name, 100, 1, "o" * 63) for name in names
            ),
        )
        parts = exchange.make_messages(batch)
        sizes = [len(messages.encode(part)) for part in parts]
        self.assertLess(max(sizes), messages.MAX_MESSAGE_BYTES)
        other = exchange.Exchange(random.Random(1))
        for part in parts:
            content = (
                part.batch
                if isinstance(part, messages.Records)
                else exchange.unpack_records(part)
            )
            other.merge(content, at(0))
        self.assertEqual(len(other.records.targets), 400)
