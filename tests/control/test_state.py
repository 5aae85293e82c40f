"""Versions, request IDs, address quarantine and record groups."""

import datetime
import itertools
import unittest

from egretfork.client import output
from egretfork.control import api
from egretfork.control import commands
from egretfork.control import groups
from egretfork.control import nodes
from egretfork.control import state
from egretfork import model
from egretfork import reasons

SECOND = datetime.timedelta(seconds=1)
REQUEST_NUMBERS = itertools.count()
NO_GROUPS: dict[str, model.RecordGroup] = {}


def build_apply(
    base: int, owners: dict[str, str], request_id: str = ""
) -> commands.Apply:
    services = tuple(
        model.Service(name=name, addresses=(address,), targets=("*",))
        for address, name in owners.items()
    )
    request_id = request_id or f"request-{next(REQUEST_NUMBERS)}"
    return commands.Apply(request_id, base, "operator", 0, services)


class MachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = state.StateMachine()

    def apply(self, command: commands.Command) -> commands.Outcome:
        outcome = self.machine.apply(command)
        assert outcome is not None
        return outcome

    def apply_owners(self, base: int, owners: dict[str, str]) -> str:
        """Assign addresses to services; return the refusal reason, if any."""
        return self.apply(build_apply(base, owners)).reason

    def test_same_base_is_accepted_once_and_names_the_author(self) -> None:
        # Guards against an operator overwriting another operator's change.
        self.assertEqual(self.apply_owners(0, {"127.0.0.1:1": "one"}), "")
        late = self.apply(build_apply(0, {"127.0.0.1:1": "two"}))
        self.assertEqual(late.reason, reasons.ControlRefusal.STALE_BASE)
        self.assertIn("version is 1 by operator", late.detail)

    def test_identity_reused_for_other_content_is_refused(self) -> None:
        # Guards against reporting "accepted" for a file that was not applied.
        self.apply(build_apply(0, {"127.0.0.1:1": "one"}, "id"))
        other = self.apply(build_apply(1, {"127.0.0.1:1": "two"}, "id"))
        reason = reasons.ControlRefusal.REQUEST_ID_REUSED
        self.assertEqual(other.reason, reason)

    def test_resend_with_another_base_gets_the_first_answer(self) -> None:
        # Guards against reporting a refusal for a change that was applied.
        first = build_apply(0, {"127.0.0.1:1": "one"}, "id")
        expected = self.apply(first)
        resent = build_apply(1, {"127.0.0.1:1": "one"}, "id")
        self.assertEqual(self.apply(resent), expected)

    def test_first_answer_survives_1023_later_requests(self) -> None:
        first = build_apply(0, {"127.0.0.1:1": "one"}, "id")
        expected = self.apply(first)
        for number in range(state.MAX_APPLIED_REQUESTS - 1):
            drain = commands.Drain(f"d{number}", "o", 0, f"agent-{number}")
            self.apply(drain)
        self.machine = state.StateMachine(self.machine.encode())
        self.assertEqual(self.apply(first), expected)

    def test_released_address_waits_for_all_nodes(self) -> None:
        # Guards against entries with different versions that map the same
        # address to different services.
        quarantine = reasons.ControlRefusal.ADDRESS_IN_QUARANTINE
        tracker = nodes.ConfirmationTracker()
        self.apply_owners(0, {"127.0.0.1:1": "one"})
        self.assertEqual(
            self.apply_owners(1, {"127.0.0.1:1": "two"}), quarantine
        )
        self.assertEqual(self.apply_owners(1, {"127.0.0.2:1": "one"}), "")
        self.assertEqual(
            self.apply_owners(2, {"127.0.0.1:1": "two"}), quarantine
        )
        for versions in ((1, 1), (1, 2), (2, 2)):
            self.confirm(tracker, versions)
            released = tracker.find_releases(self.machine.state, 0 * SECOND)
            self.assertIsNone(released)
            released = tracker.find_releases(self.machine.state, 9 * SECOND)
            self.assertEqual(released is not None, versions == (2, 2))
        assert released is not None
        self.machine.apply(released)
        self.assertEqual(self.apply_owners(2, {"127.0.0.1:1": "two"}), "")

    def confirm(
        self, tracker: nodes.ConfirmationTracker, versions: tuple[int, int]
    ) -> None:
        tracker.update_confirmations(
            tuple(
                commands.NodeVersion(f"node-{number}", version)
                for number, version in enumerate(versions)
            )
        )
        registration = tracker.find_registrations(self.machine.state)
        if registration is not None:
            self.machine.apply(registration)

    def test_forgotten_node_no_longer_blocks_an_address(self) -> None:
        tracker = nodes.ConfirmationTracker()
        self.apply_owners(0, {"127.0.0.1:1": "one"})
        self.confirm(tracker, (1, 1))
        self.apply_owners(1, {"127.0.0.2:1": "one"})
        self.confirm(tracker, (1, 2))
        self.apply(commands.ForgetNode("f", "o", 0, "node-0"))
        self.assertEqual(self.machine.state.nodes, {"node-1"})
        self.confirm(tracker, (1, 2))
        self.assertEqual(self.machine.state.nodes, {"node-1"})
        self.confirm(tracker, (3, 3))
        self.assertEqual(self.machine.state.nodes, {"node-0", "node-1"})

    def test_service_may_reuse_its_own_address(self) -> None:
        self.apply_owners(0, {"127.0.0.1:1": "one"})
        self.apply_owners(1, {"127.0.0.2:1": "one"})
        self.assertEqual(self.apply_owners(2, {"127.0.0.1:1": "one"}), "")

    def test_drain_is_disseminated_without_a_new_version(self) -> None:
        self.apply_owners(0, {"127.0.0.1:1": "one"})
        self.apply(commands.Drain("a", "o", 0, "agent-1"))
        shown = self.machine.configuration
        self.assertEqual(shown.drained_agents, ("agent-1",))
        self.assertEqual((shown.version, shown.record_revision), (1, 1))
        self.apply(commands.Drain("b", "o", 0, "agent-1", cancel=True))
        self.assertEqual(self.machine.configuration.drained_agents, ())

    def test_epoch_that_is_not_the_next_is_ignored(self) -> None:
        # Guards against two leaders that define the same epoch differently.
        self.apply_owners(0, {"127.0.0.1:1": "one"})
        first = model.RecordGroup("one", 1, (model.AgentIdentity("a", 1),))
        other = model.RecordGroup("one", 1, (model.AgentIdentity("b", 1),))
        for group in (first, other):
            self.machine.apply(commands.SetRecordGroups((group,)))
        self.assertEqual(self.machine.configuration.record_groups, (first,))


def announce(
    agent: str,
    zone: str,
    state_: model.TargetState = model.TargetState.READY,
    incarnation: int = 1,
) -> model.TargetAnnouncement:
    return model.TargetAnnouncement(
        service="one",
        agent=agent,
        incarnation=incarnation,
        sequence=1,
        address=model.Endpoint("127.0.0.1", 1),
        availability_zone=zone,
        state=state_,
    )


READY = tuple(
    announce(agent, zone)
    for agent, zone in (("a", "x"), ("b", "x"), ("c", "y"), ("d", "z"))
)


class GroupsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.planner = groups.RecordGroupPlanner()
        self.services = (
            model.Service(
                name="one", addresses=("127.0.0.1:1",), targets=("*",)
            ),
        )
        self.current_groups = NO_GROUPS

    def decide(
        self, announcements: groups.Announcements, second: float
    ) -> list[str] | None:
        """Return the members of a new epoch, None if none is due."""
        found = self.planner.plan(
            self.services, self.current_groups, announcements, second * SECOND
        )
        for group in found:
            self.current_groups = {**self.current_groups, group.service: group}
            self.planner.handle_group_changed(group, second * SECOND)
        return [item.name for item in found[0].members] if found else None

    def test_first_group_is_spread_over_zones(self) -> None:
        self.assertEqual(self.decide(READY, 0), ["a", "c", "d"])
        self.assertIsNone(self.decide(READY, 60))

    def test_small_group_settles_first_and_grows_later(self) -> None:
        self.assertIsNone(self.decide(READY[:1], 0))
        self.assertEqual(self.decide(READY[:1], 2), ["a"])
        self.assertIsNone(self.decide(READY, 6))
        self.assertEqual(self.decide(READY, 8), ["a", "c", "d"])
        previous = self.current_groups["one"].previous
        self.assertEqual([item.name for item in previous], ["a"])

    def test_restarted_member_is_not_a_member(self) -> None:
        # Guards against a member that votes on grants after losing its
        # memory in a restart.
        self.decide(READY, 0)
        restarted = announce("a", "x", incarnation=2)
        changed = (restarted, *READY[1:])
        self.assertEqual(self.decide(changed, 10), ["a", "c", "d"])
        identities = self.current_groups["one"].members
        self.assertIn(model.AgentIdentity("a", 2), identities)

    def test_suspect_member_is_replaced_after_ten_seconds(self) -> None:
        self.decide(READY, 0)
        suspect = announce("a", "x", model.TargetState.SUSPECT)
        changed = (suspect, *READY[1:])
        self.assertIsNone(self.decide(changed, 10))
        self.assertIsNone(self.decide(changed, 19.9))
        self.assertEqual(self.decide(changed, 20), ["b", "c", "d"])

    def test_draining_member_stays_only_if_nobody_replaces_it(self) -> None:
        self.decide(READY[:1], 0)
        self.decide(READY[:1], 2)
        draining = announce("a", "x", model.TargetState.DRAINING)
        self.assertIsNone(self.decide((draining,), 10))
        changed = (draining, *READY[1:])
        self.assertEqual(self.decide(changed, 20), ["b", "c", "d"])


class UnconfirmedNodesTest(unittest.TestCase):
    def test_status_names_the_nodes_without_the_newest_version(self) -> None:
        # Guards against a status that hides nodes which have not confirmed
        # the latest version.
        tracker = nodes.ConfirmationTracker()
        tracker.update_confirmations(
            (
                commands.NodeVersion("entry-1", 5),
                commands.NodeVersion("entry-2", 4),
            )
        )
        node_names = {"entry-1", "entry-2", "entry-3"}
        unconfirmed = tracker.list_unconfirmed(node_names, 5)
        self.assertEqual(unconfirmed, ["entry-2", "entry-3"])
        status = api.StatusRead(
            number=1,
            identity="m1",
            name="control-1",
            status=api.MemberStatus.ACTIVE,
            detail="",
            role="leader",
            term=1,
            leader="m1",
            version=5,
            record_revision=0,
            commit_index=9,
            last_index=9,
            members=(),
            known_nodes=3,
            forgotten_nodes=(),
            drained_agents=(),
            quarantine=(),
            behind_count=len(unconfirmed),
            behind_nodes=tuple(unconfirmed),
        )
        address = model.Endpoint("127.0.0.1", 7400)
        self.assertIn(
            "2 nodes have not confirmed version 5 (entry-2, entry-3)",
            output.describe_status(address, status),
        )
