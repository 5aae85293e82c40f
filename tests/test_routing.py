"""Target lists are balanced, stable and the same on every entry."""

import collections
import itertools
import random
import unittest

import hypothesis
from hypothesis import strategies

from egretfork import model
from egretfork.routing import ranking
from egretfork.routing import table

STATES = tuple(model.TargetState)
ADDRESS = model.Endpoint("10.0.0.1", 5683)


def build_service(
    name: str = "hatlog", addresses: tuple[str, ...] = (str(ADDRESS),)
) -> model.Service:
    return model.Service(
        name=name, addresses=addresses, targets=(f"{name}-*",)
    )


def announce(
    number: int,
    state: model.TargetState = model.TargetState.READY,
    service: str = "hatlog",
    **changes: object,
) -> model.TargetAnnouncement:
    announcement = model.TargetAnnouncement(
        service=service,
        agent=f"{service}-{number}",
        incarnation=1,
        sequence=1,
        address=model.Endpoint("10.0.1.1", 1000 * len(service) + number),
        availability_zone="luzon-a",
        state=state,
    )
    return model.msgspec.structs.replace(announcement, **changes)


def build_lists(
    announcements: collections.abc.Iterable[model.TargetAnnouncement],
) -> list[tuple[model.Endpoint, ...]]:
    lists = table.ServiceTable(build_service(), announcements)
    return [
        lists.find_agents(bucket) for bucket in range(ranking.BUCKET_COUNT)
    ]


class RankingTest(unittest.TestCase):
    def test_buckets_are_even_over_targets(self) -> None:
        # Guards against an uneven hash of names and bucket numbers.
        for count in (2, 7, 40):
            owners = collections.Counter(
                agents[0]
                for agents in build_lists(map(announce, range(count)))
            )
            mean = ranking.BUCKET_COUNT / count
            # At least four standard deviations of a binomial distribution.
            margin = 4 * mean**0.5
            self.assertEqual(len(owners), count)
            self.assertLess(max(owners.values()), mean + margin)
            self.assertGreater(min(owners.values()), mean - margin)

    def test_weight_sets_the_share(self) -> None:
        targets = [announce(0, weight=0.5), *map(announce, range(1, 4))]
        owners = collections.Counter(
            agents[0] for agents in build_lists(targets)
        )
        share = owners[targets[0].address] / ranking.BUCKET_COUNT
        self.assertAlmostEqual(share, 0.5 / 3.5, delta=0.02)

    def test_join_moves_only_buckets_of_the_new_target(self) -> None:
        # Guards against flows that lose their owner when a target joins.
        before = build_lists(map(announce, range(7)))
        after = build_lists(map(announce, range(8)))
        joined = announce(7).address
        for old, new in zip(before, after, strict=True):
            kept = [agent for agent in new if agent != joined]
            self.assertEqual(kept, list(old[: len(kept)]))
            if new[0] == joined:
                self.assertEqual(new[1], old[0])

    def test_draining_target_stays_on_its_lists_after_active_targets(
        self,
    ) -> None:
        # Guards against flows of a draining target that cannot be found.
        ready = build_lists(map(announce, range(7)))
        draining = build_lists(
            (
                announce(0, model.TargetState.DRAINING),
                *map(announce, range(1, 7)),
            )
        )
        leaving = announce(0).address
        for old, new in zip(ready, draining, strict=True):
            self.assertEqual(set(old), set(new))
            if leaving in new:
                self.assertEqual(new[-1], leaving)

    def test_two_active_targets_lead_when_most_are_draining(self) -> None:
        # Guards against lists without a target that accepts new flows.
        targets = [announce(0), announce(1)]
        targets += [
            announce(n, model.TargetState.DRAINING) for n in range(2, 9)
        ]
        ready = {announce(0).address, announce(1).address}
        for agents in build_lists(targets):
            self.assertEqual(set(agents[:2]), ready)
            self.assertEqual(len(set(agents)), ranking.LIST_LENGTH)

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(STATES), max_size=12),
        strategies.dictionaries(
            strategies.integers(0, 14),
            strategies.sampled_from(STATES),
            max_size=3,
        ),
    )
    @hypothesis.settings(max_examples=300)
    def test_views_that_differ_by_three_targets_share_a_member(
        self,
        states: list[model.TargetState],
        changes: dict[int, model.TargetState],
    ) -> None:
        # Guards against two entries that send one flow to disjoint sets of
        # agents.
        first = dict(enumerate(states))
        views = [
            table.ServiceTable(
                build_service(),
                table.select_targets(
                    build_service(), itertools.starmap(announce, view.items())
                ),
            )
            for view in (first, {**first, **changes})
        ]
        if not set(views[0].targets) & set(views[1].targets):
            return
        for bucket in range(8):
            lists = [set(view.find_agents(bucket)) for view in views]
            self.assertTrue(lists[0] & lists[1])


class RoutingTableTest(unittest.TestCase):
    def test_result_does_not_depend_on_order_or_history(self) -> None:
        # Guards against entries whose ranking depends on earlier updates.
        services = tuple(
            build_service(name, (f"10.0.0.{number}:5683",))
            for number, name in enumerate(("certdesk", "hatlog"), 1)
        )
        announcements = [
            announce(number, state, name, sequence=sequence)
            for name in ("certdesk", "hatlog", "other")
            for number, state in enumerate(STATES * 2)
            for sequence in (1, 2)
        ]
        fresh = table.RoutingTable()
        fresh.set_configuration(
            model.Configuration(version=2, services=services)
        )
        fresh.set_announcements(announcements)
        rng = random.Random(5)
        reused = table.RoutingTable()
        for size in (7, 20, 13, len(announcements)):
            reused.set_announcements(rng.sample(announcements, size))
            reused.set_configuration(
                model.Configuration(version=2, services=services[size % 2 :])
            )
            reused.find_service(ADDRESS)
        reused.set_configuration(
            model.Configuration(version=2, services=services[::-1])
        )
        for service in services:
            address = model.parse_endpoint(service.addresses[0])
            views = [view.find_service(address) for view in (fresh, reused)]
            assert views[0] is not None and views[1] is not None
            for bucket in range(64):
                self.assertEqual(
                    views[0].find_agents(bucket), views[1].find_agents(bucket)
                )

    def test_change_of_one_target_keeps_other_services(self) -> None:
        # Guards against rebuilding every service at each announcement.
        view = table.RoutingTable()
        view.set_configuration(
            model.Configuration(
                version=1,
                services=(
                    build_service(),
                    build_service("certdesk", ("10.0.0.2:5683",)),
                ),
            )
        )
        announcements = [announce(0), announce(0, service="certdesk")]
        view.set_announcements(announcements)
        kept = view.find_service_by_name("certdesk")
        replaced = view.find_service_by_name("hatlog")
        view.set_announcements([*announcements, announce(1)])
        self.assertIs(view.find_service_by_name("certdesk"), kept)
        self.assertIsNot(view.find_service_by_name("hatlog"), replaced)
        self.assertIs(
            view.find_service(ADDRESS), view.find_service_by_name("hatlog")
        )

    def test_only_matching_newest_announcements_count(self) -> None:
        # Guards against datagrams sent to an agent of another service.
        service = model.msgspec.structs.replace(
            build_service(), availability_zones=("luzon-a",)
        )
        wrong = [
            announce(1, agent="other-1"),
            announce(2, availability_zone="luzon-b"),
            announce(3, service="certdesk", agent="hatlog-3"),
            announce(4, model.TargetState.LEFT),
            announce(5),
            announce(5, service="certdesk", agent="hatlog-5", sequence=2),
            announce(6),
            announce(8, sequence=2, address=announce(6).address),
        ]
        view = table.RoutingTable()
        view.set_configuration(
            model.Configuration(version=1, services=(service,))
        )
        view.set_announcements([*wrong, announce(0)])
        found = view.find_service(ADDRESS)
        assert found is not None
        self.assertEqual(
            [target.agent for target in found.targets],
            ["hatlog-0", "hatlog-8"],
        )

    def test_address_declared_by_two_services_is_not_routed(self) -> None:
        view = table.RoutingTable()
        services = (build_service(), build_service("certdesk"))
        view.set_configuration(
            model.Configuration(version=1, services=services)
        )
        self.assertIsNone(view.find_service(ADDRESS))


if __name__ == "__main__":
    unittest.main()
