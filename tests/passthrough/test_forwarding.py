"""Tests of forwarding by entries and agents together."""

import unittest
from unittest import mock

import msgspec

from egretfork.passthrough import actions
from egretfork.passthrough import messages
from egretfork.passthrough import routing
from tests.passthrough import support

FLOW = support.build_flow(1)


def start(
    services: tuple[str, ...] = (support.SERVICE,) * 3, entries: int = 2
) -> support.Network:
    """Return a network in which all targets are ready."""
    network = support.Network(services, entries)
    network.route(support.build_routing(1))
    network.advance(300)
    return network


def open_flow(network: support.Network, entry: int = 0) -> int:
    """Open a flow and return the target that holds it."""
    network.send(entry, support.WirePacket(FLOW, "open"))
    holders = network.list_holders(FLOW)
    assert len(holders) == 1, holders
    return holders[0]


def start_with_changed_route() -> tuple[support.Network, int]:
    """Open a flow, then lead its route to another service.

    Returns:
        The network, and the target that holds the flow.
    """
    network = start(("old", "new", "new"))
    network.route(support.build_routing(2, "old"))
    network.lost_types.add(messages.RegisterFlow)
    holder = open_flow(network)
    network.route(support.build_routing(3, "new"))
    network.advance(2000)
    return network, holder


class FlowTest(unittest.TestCase):
    """Guards against packets that do not reach the target of their flow."""

    def test_packets_follow_the_opening(self) -> None:
        network = start()
        holder = open_flow(network)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(len(network.targets[holder].received), 2)
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_another_entry_finds_the_flow(self) -> None:
        network = start()
        holder = open_flow(network)
        network.send(1, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(len(network.targets[holder].received), 2)
        others = [t for t in network.targets if not t.held_flows]
        self.assertEqual([t.received for t in others], [[], []])

    def test_a_restarted_agent_still_serves_its_flows(self) -> None:
        network = start()
        holder = open_flow(network)
        network.restart_agent(holder)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_another_entry_finds_a_flow_of_a_restarted_agent(self) -> None:
        network = start()
        holder = open_flow(network)
        network.restart_agent(holder)
        network.advance(100)
        network.send(1, support.WirePacket(FLOW, "data", 100))
        network.advance(100)
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_an_entry_that_missed_an_announcement_after_a_restart(
        self,
    ) -> None:
        network = start()
        holder = open_flow(network)
        network.advance(2000)
        network.restart_agent(holder)
        network.unreachable.add(support.entry_address(1))
        network.report(holder)
        network.unreachable.clear()
        network.send(1, support.WirePacket(FLOW, "data", 100))
        network.advance(100)
        self.assertEqual(network.to_callers[-1].kind, "data")
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_an_agent_that_restarts_with_its_clock_set_back(self) -> None:
        network = start()
        network.advance(5000)
        holder = open_flow(network)
        network.restart_agent(holder, clock_ms=-60_000)
        network.advance(3000)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(network.to_callers[-1].kind, "data")

    def test_the_first_report_after_a_restart_ends_no_flow(self) -> None:
        network = start()
        holder = open_flow(network)
        network.restart_agent(holder)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        network.advance(100)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        kinds = {packet.kind for packet in network.to_callers}
        self.assertNotIn("reset", kinds)

    def test_flows_of_a_dead_target_are_reset_immediately(self) -> None:
        network = start()
        holder = open_flow(network)
        network.send(0, support.WirePacket(FLOW, "data", 1, acknowledged=9))
        core = network.agents[holder]
        self.assertEqual(core.handle_probe(False, network.now), [])
        requested_actions = core.handle_probe(False, network.now)
        resets = [
            a for a in requested_actions if isinstance(a, actions.SendToCaller)
        ]
        self.assertEqual([action.flow for action in resets], [FLOW])
        state = core.get_state(network.now)
        self.assertIs(state, messages.TargetState.ENDED)

    def test_a_dead_target_that_reports_again_is_used(self) -> None:
        network = start((support.SERVICE,), 1)
        core = network.agents[0]
        core.handle_probe(False, network.now)
        core.handle_probe(False, network.now)
        network.advance(100)
        open_flow(network)

    def test_a_flow_stays_at_a_service_that_lost_its_route(self) -> None:
        network = start(("old", "old", "new"))
        network.route(support.build_routing(2, "old"))
        holder = open_flow(network)
        network.route(
            support.build_routing(3, "new", previous_services=("old",))
        )
        network.send(1, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(len(network.targets[holder].received), 2)
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_a_repeated_lookup_covers_every_agent(self) -> None:
        network = start(("old", "old", "new"))
        network.route(support.build_routing(2, "old"))
        network.lost_types.add(messages.RegisterFlow)
        holder = open_flow(network)
        network.route(support.build_routing(3, "new"))
        network.send(1, support.WirePacket(FLOW, "data", 100))
        network.advance(200)
        network.send(1, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(len(network.targets[holder].received), 2)

    def test_packets_without_a_route_are_dropped(self) -> None:
        network = start()
        holder = open_flow(network)
        empty = support.build_routing(2)
        network.route(type(empty)(2, ()))
        network.send(0, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(len(network.targets[holder].received), 1)

    def lose_all_flows(self, network: support.Network) -> None:
        """Restart all targets and agents."""
        for number, target in enumerate(network.targets):
            target.held_flows.clear()
            network.restart_agent(number)

    def test_no_reset_before_an_agent_of_another_service_is_queried(
        self,
    ) -> None:
        network, holder = start_with_changed_route()
        core, locator = network.entries[1], support.agent_address(1)
        packet = support.encode(support.WirePacket(FLOW, "data", 1))
        core.handle_packet(packet, network.now)
        # Meanwhile the holder's agent announces the route's service.
        announcement = messages.Announcement(
            "agent-0", "zone-a", 10**9, 1, "new", messages.TargetState.READY
        )
        holding_agent = support.agent_address(holder)
        core.handle_message(announcement, holding_agent, network.now)
        reply = messages.LocateReply(FLOW, 1, held_nowhere=True)
        requested_actions = core.handle_message(reply, locator, network.now)
        kinds = [type(action) for action in requested_actions]
        self.assertNotIn(actions.SendToCaller, kinds)

    def test_no_reset_before_an_unsure_agent_of_another_service_tries(
        self,
    ) -> None:
        network, holder = start_with_changed_route()
        network.unreachable.add(support.entry_address(1))
        network.restart_agent(holder)
        network.unreachable.clear()
        announcement = messages.Announcement(
            "agent-0", "zone-a", 10**9, 1, "", messages.TargetState.UNKNOWN
        )
        network.entries[1].handle_message(
            announcement, support.agent_address(holder), network.now
        )
        report = support.build_report(9, service="old")
        network.agents[holder].handle_report(report, network.now)
        network.send(1, support.WirePacket(FLOW, "data", 100))
        network.now += support.at(100)
        network.send(1, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_a_flow_that_nobody_holds_is_reset(self) -> None:
        network = start()
        open_flow(network)
        network.advance(2000)
        self.lose_all_flows(network)
        network.advance(200)
        network.send(1, support.WirePacket(FLOW, "data", 1, acknowledged=7))
        self.assertEqual(network.to_callers[-1].kind, "reset")
        self.assertEqual(network.to_callers[-1].acknowledged, 7)

    def test_no_reset_while_an_agent_does_not_answer(self) -> None:
        network = start()
        holder = open_flow(network)
        network.advance(2000)
        network.unreachable.add(support.agent_address(holder))
        network.send(1, support.WirePacket(FLOW, "data", 1))
        network.advance(300)
        kinds = {packet.kind for packet in network.to_callers}
        self.assertNotIn("reset", kinds)

    def test_no_reset_by_an_entry_with_an_older_routing(self) -> None:
        network = start(("old", "new", "new"))
        network.route(support.build_routing(2, "old"))
        network.advance(2000)
        newer = support.build_routing(3, "new", previous_services=("old",))
        network.entries[0].handle_routing(newer, network.now)
        holder = open_flow(network)
        network.send(1, support.WirePacket(FLOW, "data", 1))
        self.assertEqual(len(network.targets[holder].received), 2)
        kinds = {packet.kind for packet in network.to_callers}
        self.assertNotIn("reset", kinds)

    def test_no_reset_by_an_entry_that_has_just_started(self) -> None:
        network = start()
        open_flow(network)
        self.lose_all_flows(network)
        network.send(1, support.WirePacket(FLOW, "data", 1))
        network.advance(300)
        kinds = {packet.kind for packet in network.to_callers}
        self.assertNotIn("reset", kinds)

    def set_rosters_of_newest_entry(
        self, network: support.Network, listed: int, controls: int = 2
    ) -> None:
        """Give the newest entry rosters that list the first agents."""
        agents = frozenset(support.agent_address(n) for n in range(listed))
        network.entries[-1].set_rosters((agents,) * controls)

    def test_a_reset_by_an_entry_that_knows_all_agents(self) -> None:
        for listed, controls, kinds in (
            (3, 2, {"reset"}),
            (3, 1, set()),
            (4, 2, set()),
        ):
            with self.subTest(listed=listed, controls=controls):
                network = start(entries=1)
                open_flow(network)
                self.lose_all_flows(network)
                network.add_entry()
                for number in network.agents:
                    network.publish_entries(number)
                self.set_rosters_of_newest_entry(network, listed, controls)
                network.to_callers.clear()
                network.send(1, support.WirePacket(FLOW, "data", 1))
                network.advance(300)
                sent = {packet.kind for packet in network.to_callers}
                self.assertEqual(sent, kinds)

    def test_a_packet_waits_until_the_holder_announces_itself(self) -> None:
        network = start(entries=1)
        holder = open_flow(network)
        network.add_entry()
        network.send(1, support.WirePacket(FLOW, "data", 1))
        self.assertEqual(len(network.targets[holder].received), 1)
        for number in network.agents:
            network.publish_entries(number)
        self.assertEqual(len(network.targets[holder].received), 2)
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_an_agent_without_a_target_does_not_delay_a_reset(self) -> None:
        network = start()
        open_flow(network)
        network.advance(2000)
        self.lose_all_flows(network)
        core = network.agents[2]
        for _ in range(2):
            network.execute(
                core.handle_probe(False, network.now), support.agent_address(2)
            )
        del network.agents[2]
        network.advance(200)
        network.send(1, support.WirePacket(FLOW, "data", 1, acknowledged=7))
        network.advance(100)
        self.assertEqual(network.to_callers[-1].kind, "reset")

    def test_a_deregistered_target_still_serves_its_flows(
        self,
    ) -> None:
        network = start()
        holder = open_flow(network)
        network.advance(2000)
        core = network.agents[holder]
        network.execute(
            core.handle_target_deregistration(f"i-{holder}", network.now),
            support.agent_address(holder),
        )
        network.send(1, support.WirePacket(FLOW, "data", 1))
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_a_target_that_starts_after_its_agent_is_used(self) -> None:
        network = support.Network((support.SERVICE,), 1)
        network.route(support.build_routing(1))
        core = network.agents[0]
        core.handle_probe(False, network.now)
        core.handle_probe(False, network.now)
        network.report(0, age_ms=0)
        open_flow(network)
        network.send(0, support.WirePacket(FLOW, "data", 1))
        self.assertEqual(network.to_callers[-1].payload_bytes, 500)

    def test_flows_of_a_lost_agent_are_reset(self) -> None:
        network = start()
        holder = open_flow(network)
        network.unreachable.add(support.agent_address(holder))
        network.advance(1500)
        network.send(0, support.WirePacket(FLOW, "data", 1))
        kinds = [packet.kind for packet in network.to_callers]
        self.assertNotIn("reset", kinds)
        network.advance(600)
        network.send(0, support.WirePacket(FLOW, "data", 1))
        self.assertEqual(network.to_callers[-1].kind, "reset")

    def test_an_agent_with_a_long_announcement_period_is_not_lost(
        self,
    ) -> None:
        network = start(entries=150)
        open_flow(network)
        network.advance(2500)
        network.send(0, support.WirePacket(FLOW, "data", 1))
        self.assertEqual(network.to_callers[-1].kind, "data")

    def test_an_entry_that_was_suspended_resets_no_flow(self) -> None:
        network = start()
        open_flow(network)
        network.now += support.at(8000)
        core = network.entries[0]
        core.handle_tick(network.now)
        packet = support.encode(support.WirePacket(FLOW, "data", 1))
        requested_actions = core.handle_packet(packet, network.now)
        kinds = [type(action) for action in requested_actions]
        self.assertNotIn(actions.SendToCaller, kinds)

    def test_a_stopped_agent_counts_as_lost_after_a_while(self) -> None:
        network = start()
        holder = open_flow(network)
        network.stop_agent(holder)
        network.targets[holder].held_flows.clear()
        network.advance(1500)
        network.send(1, support.WirePacket(FLOW, "data", 1))
        network.advance(300)
        kinds = {packet.kind for packet in network.to_callers}
        self.assertNotIn("reset", kinds)
        network.advance(1000)
        network.send(1, support.WirePacket(FLOW, "data", 1))
        self.assertEqual(network.to_callers[-1].kind, "reset")

    def test_a_hint_to_a_stopped_agent_is_dropped(self) -> None:
        network = start()
        holder = open_flow(network)
        network.advance(2000)
        network.targets[holder].held_flows.clear()
        core = network.agents[holder]
        core.handle_target_deregistration(f"i-{holder}", network.now)
        network.stop_agent(holder)
        network.send(0, support.WirePacket(FLOW, "data", 1))
        self.assertEqual(network.to_callers[-1].kind, "reset")

    def test_a_first_version_of_zero(self) -> None:
        # Guards against version 0 being taken for the lack of a version.
        network = support.Network((support.SERVICE,), 1)
        network.route(support.build_routing(0))
        network.advance(300)
        self.assertTrue(network.entries[0].is_ready(network.now))
        flow = support.build_flow(0)
        network.send(0, support.WirePacket(flow, "open"))
        self.assertEqual(network.list_holders(flow), [0])

    def test_an_older_routing_changes_nothing(self) -> None:
        network = start()
        network.route(support.build_routing(0, "other"))
        self.assertEqual(network.entries[0].version, 1)

    def open_twice(self, network: support.Network) -> tuple[int, int]:
        """Open a flow at two targets; the caller uses the first one."""
        first = open_flow(network)
        second = (first + 1) % len(network.targets)
        packet = support.encode(support.WirePacket(FLOW, "open"))
        delivery = messages.PacketDelivery(support.SERVICE, packet, True)
        network.execute(
            [actions.SendMessage(support.agent_address(second), delivery)],
            support.entry_address(1),
        )
        self.assertEqual(len(network.list_holders(FLOW)), 2)
        network.targets[second].held_flows.clear()
        return first, second

    def replace_target(self, network: support.Network, number: int) -> None:
        """Replace a target by a newly started one."""
        newer = support.build_report(1, identifier="i-new", born_ms=5000)
        core = network.agents[number]
        core.handle_target_deregistration(f"i-{number}", network.now)
        network.execute(
            core.handle_report(newer, network.now),
            support.agent_address(number),
        )

    def test_the_end_of_a_target_that_the_caller_does_not_use(self) -> None:
        network = start()
        first, second = self.open_twice(network)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        network.to_callers.clear()
        self.replace_target(network, second)
        self.assertEqual(network.to_callers, [])
        data = support.encode(support.WirePacket(FLOW, "data", 100))
        network.execute(
            [
                actions.SendMessage(
                    support.agent_address(second),
                    messages.PacketDelivery(support.SERVICE, data),
                )
            ],
            support.entry_address(1),
        )
        self.assertNotIn("reset", {p.kind for p in network.to_callers})

    def test_a_report_of_a_service_that_the_vm_does_not_run(self) -> None:
        # Guards against one heartbeat of another writer that resets all
        # flows of a live target.
        network = start()
        holder = open_flow(network)
        core = network.agents[holder]
        core.handle_service(support.SERVICE, network.now)
        newer = support.build_report(
            1, identifier="i-new", born_ms=5000, service="other"
        )
        requested_actions = core.handle_report(newer, network.now)
        network.execute(requested_actions, support.agent_address(holder))
        network.send(0, support.WirePacket(FLOW, "data", 100))
        self.assertEqual(network.to_callers[-1].kind, "data")

    def test_a_report_of_another_process_beside_a_live_target(self) -> None:
        # Guards against one heartbeat of another writer, of the VM's own
        # service, that resets all flows of a live target.
        network = start()
        holder = open_flow(network)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        core = network.agents[holder]
        newer = support.build_report(1, identifier="i-new", born_ms=5000)
        requested_actions = core.handle_report(newer, network.now)
        network.execute(requested_actions, support.agent_address(holder))
        network.advance(2000)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        kinds = [packet.kind for packet in network.to_callers]
        self.assertEqual(kinds, ["accept", "data", "data"])

    def test_the_end_of_a_target_resets_its_flows(self) -> None:
        network = start()
        holder = open_flow(network)
        network.send(0, support.WirePacket(FLOW, "data", 100))
        core = network.agents[holder]
        network.targets[holder].held_flows.clear()
        newer = support.build_report(1, identifier="i-new", born_ms=5000)
        core.handle_report(newer, network.now)
        network.send(0, support.WirePacket(FLOW, "data", 100, acknowledged=7))
        self.assertEqual(network.to_callers[-1].kind, "reset")
        self.assertEqual(network.to_callers[-1].acknowledged, 7)


class RestartTest(unittest.TestCase):
    """Guards against agents that are wrong about what their target holds."""

    def check_holding(
        self, sequence: int = 5, **changes: int | None
    ) -> messages.Holding:
        """Return the reply of an agent 600 ms after its start."""
        network = support.Network((support.SERVICE,), 1)
        network.now = support.at(5000)
        network.restart_agent(0)
        network.now += support.at(600)
        core = network.agents[0]
        report = support.build_report(sequence, **changes)
        core.handle_report(report, network.now)
        query = messages.FlowQuery(FLOW)
        requested = core.handle_message(
            query, support.agent_address(1), network.now
        )
        sent = requested[-1]
        assert isinstance(sent, actions.SendMessage)
        assert isinstance(sent.message, messages.FlowQueryReply)
        return sent.message.holding

    def test_a_target_that_started_with_its_agent(self) -> None:
        for age_ms in (200, 599, 600):
            with self.subTest(age_ms=age_ms):
                holding = self.check_holding(age_ms=age_ms)
                self.assertIs(holding, messages.Holding.NO)

    def test_a_target_whose_reports_nobody_acknowledged(self) -> None:
        # It sends the next report an interval after an acknowledgement.
        interval = support.at(1200)
        for age_ms, expected in (
            (890, messages.Holding.NO),
            (910, messages.Holding.UNSURE),
        ):
            timing = msgspec.structs.replace(support.TIMING, interval=interval)
            with mock.patch.object(support, "TIMING", timing):
                holding = self.check_holding(age_ms=age_ms)
            self.assertIs(holding, expected)

    def test_a_second_report_of_a_target_that_counts_from_zero(self) -> None:
        # Guards against resets of flows that a target holds from before the
        # restart of its agent.
        for sequence in (0, 1):
            holding = self.check_holding(sequence, age_ms=1000)
            self.assertIs(holding, messages.Holding.UNSURE)

    def test_a_clock_that_was_set_back_by_the_age_of_the_target(self) -> None:
        holding = self.check_holding(25, age_ms=100)
        self.assertIs(holding, messages.Holding.UNSURE)

    def test_a_target_that_is_older_than_its_agent(self) -> None:
        holding = self.check_holding(age_ms=1000)
        self.assertIs(holding, messages.Holding.UNSURE)

    def test_returned_packets_do_not_show_that_a_target_runs(self) -> None:
        network = support.Network((support.SERVICE,), 1)
        network.now = support.at(5000)
        network.restart_agent(0)
        core = network.agents[0]
        packet = support.encode(support.WirePacket(FLOW, "data", 1))
        trial = messages.PacketDelivery("", packet, trial=True)
        entry = support.entry_address(0)
        network.execute(
            core.handle_message(trial, entry, network.now),
            support.agent_address(0),
        )
        self.assertEqual(len(network.targets[0].received), 1)
        requested = core.handle_tick(network.now + support.at(30))
        kinds = [type(action) for action in requested]
        self.assertIn(actions.ProbeTarget, kinds)

    def test_a_target_without_a_known_age(self) -> None:
        holding = self.check_holding(age_ms=None)
        self.assertIs(holding, messages.Holding.UNSURE)

    def test_a_clock_that_was_set_back(self) -> None:
        holding = self.check_holding(age_ms=-200)
        self.assertIs(holding, messages.Holding.UNSURE)


class StartTest(unittest.TestCase):
    """Guards against reading packets before they can be forwarded."""

    def can_read_packets(self, network: support.Network) -> bool:
        """Return whether the newest entry reads callers' packets."""
        return network.entries[-1].can_read_packets(network.now)

    def test_packets_wait_for_the_agents_of_all_services(self) -> None:
        network = start(("old", "new"), 1)
        network.route(support.build_routing(2, "old"))
        network.add_entry()
        self.assertFalse(self.can_read_packets(network))
        network.publish_entries(1)
        self.assertFalse(self.can_read_packets(network))
        network.publish_entries(0)
        self.assertTrue(self.can_read_packets(network))

    def test_packets_wait_for_the_agents_on_the_rosters(self) -> None:
        network = start(entries=1)
        network.add_entry()
        listed = frozenset(support.agent_address(n) for n in range(3))
        network.entries[1].set_rosters((listed,))
        for number in range(3):
            self.assertFalse(self.can_read_packets(network))
            network.publish_entries(number)
        self.assertTrue(self.can_read_packets(network))

    def test_packets_do_not_wait_long_for_a_service(self) -> None:
        network = start(entries=1)
        network.route(support.build_routing(2, "missing"))
        network.add_entry()
        network.advance(400)
        self.assertFalse(self.can_read_packets(network))
        network.advance(100)
        self.assertTrue(self.can_read_packets(network))

    def test_packets_do_not_wait_long_for_a_routing(self) -> None:
        network = support.Network((support.SERVICE,), 1)
        network.advance(900)
        self.assertFalse(self.can_read_packets(network))
        network.advance(100)
        self.assertTrue(self.can_read_packets(network))


class RoutingChangeTest(unittest.TestCase):
    """Guards against first packets that follow an earlier routing."""

    def setUp(self) -> None:
        self.network = support.Network(("old", "old", "new"), 1)
        self.network.route(support.build_routing(2, "old"))
        self.network.advance(300)

    def change_route(self) -> None:
        """Lead the route to the other service only."""
        self.network.route(support.build_routing(3, "new", ("old",)))

    def send_copy(self, number: int) -> None:
        """Send a copy of the flow's first packet."""
        copy = support.WirePacket(FLOW, "open", copy_number=number)
        self.network.send(0, copy)

    def make_unreachable(self, *numbers: int) -> None:
        """Lose all messages to and from agents."""
        self.network.unreachable.update(map(support.agent_address, numbers))

    def decline(self) -> None:
        """Decline the flow from each agent of the earlier service."""
        packet = support.encode(support.WirePacket(FLOW, "open"))
        reason = messages.DeclineReason.UNKNOWN_TARGET
        declined = messages.FlowDeclined(FLOW, reason, packet)
        for number in (0, 1):
            self.network.execute(
                [actions.SendMessage(support.entry_address(0), declined)],
                support.agent_address(number),
            )

    def test_a_copy_of_a_packet_that_no_agent_answered(self) -> None:
        self.make_unreachable(0, 1)
        self.send_copy(0)
        self.change_route()
        self.network.unreachable.clear()
        self.send_copy(1)
        self.assertEqual(self.network.list_holders(FLOW), [2])

    def test_a_copy_of_a_packet_that_waits(self) -> None:
        for target in self.network.targets[:2]:
            target.silent = True
        for number in range(100, 106):
            flow = support.build_flow(number)
            self.network.send(0, support.WirePacket(flow, "open"))
            self.network.send(0, support.WirePacket(flow, "data", 10))
        self.send_copy(0)
        self.assertGreater(self.network.sent[messages.FlowWaiting], 0)
        self.assertEqual(self.network.list_holders(FLOW), [])
        self.change_route()
        self.send_copy(1)
        self.assertEqual(self.network.list_holders(FLOW), [2])

    def test_a_packet_that_is_declined_after_the_change(self) -> None:
        self.make_unreachable(0, 1)
        self.send_copy(0)
        self.change_route()
        self.network.unreachable.clear()
        self.decline()
        self.assertEqual(self.network.list_holders(FLOW), [2])

    def test_a_packet_that_is_declined_after_its_route_is_gone(self) -> None:
        self.make_unreachable(0, 1)
        self.send_copy(0)
        self.network.route(routing.Routing(3))
        self.network.unreachable.clear()
        self.decline()
        self.assertEqual(self.network.list_holders(FLOW), [])

    def test_a_copy_of_a_packet_that_opened_a_flow(self) -> None:
        # The flow stays where it is: its target repeats its own packet.
        self.send_copy(0)
        holders = self.network.list_holders(FLOW)
        self.change_route()
        received = len(self.network.targets[holders[0]].received)
        self.send_copy(1)
        self.assertEqual(self.network.list_holders(FLOW), holders)
        self.network.send(0, support.WirePacket(FLOW, "data", 100))
        target = self.network.targets[holders[0]]
        self.assertEqual(len(target.received), received + 1)

    def test_another_flow_from_the_same_port(self) -> None:
        self.send_copy(0)
        holders = self.network.list_holders(FLOW)
        self.change_route()
        self.network.targets[holders[0]].held_flows.clear()
        self.send_copy(0)
        self.assertEqual(self.network.list_holders(FLOW), [2])

    def test_a_share_without_weight_gets_no_flow(self) -> None:
        shares = (routing.Share("old", 0), routing.Share("new", 1))
        self.make_unreachable(0, 1)
        self.send_copy(0)
        self.network.route(
            routing.Routing(3, (routing.Route(support.ADDRESS, shares),))
        )
        self.network.unreachable.clear()
        self.send_copy(1)
        self.assertEqual(self.network.list_holders(FLOW), [2])


class OpeningTest(unittest.TestCase):
    """Guards against opening flows at the wrong target."""

    def test_a_leaving_target_gets_no_flow(self) -> None:
        network = start()
        network.unreachable.add(support.entry_address(0))
        network.report(0, leaving=True)
        network.unreachable.clear()
        for number in range(20):
            flow = support.build_flow(number)
            network.send(0, support.WirePacket(flow, "open"))
            self.assertEqual(len(network.list_holders(flow)), 1)
            network.send(0, support.WirePacket(flow, "data", 1))
        self.assertEqual(network.targets[0].held_flows, set())

    def test_a_silent_target_gets_no_flow(self) -> None:
        network = start((support.SERVICE,), 1)
        network.advance(2000, reports=False)
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.targets[0].received, [])

    def test_a_restarted_agent_waits_for_a_report(self) -> None:
        network = start((support.SERVICE,), 1)
        network.restart_agent(0)
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.targets[0].received, [])
        network.report(0, age_ms=0)
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.list_holders(FLOW), [0])

    def test_a_first_report_of_unknown_age_after_a_restart(self) -> None:
        # Guards against flows opened for a target that has ended: the report
        # may have been held up since the agent started.
        network = start((support.SERVICE,), 1)
        network.restart_agent(0)
        network.advance(1900, reports=False)
        network.report(0, age_ms=60_000)
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.targets[0].received, [])
        network.now += support.INTERVAL
        network.report(0, age_ms=60_000)
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.list_holders(FLOW), [0])

    def test_a_target_of_another_service_gets_no_flow(self) -> None:
        network = start((support.SERVICE,), 1)
        newer = support.build_report(
            1, identifier="i-new", born_ms=5000, service="other"
        )
        network.agents[0].handle_report(newer, network.now)
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.targets[0].received, [])

    def test_a_full_target_is_skipped(self) -> None:
        network = start()
        for target in network.targets[:2]:
            target.full = True
        open_flow(network)
        self.assertEqual(network.list_holders(FLOW), [2])

    def keep_busy(self, network: support.Network, number: int) -> None:
        """Occupy all slots of a target with requests."""
        network.targets[number].silent = True
        for index in range(2):
            flow = support.build_flow(900 + 10 * number + index)
            core = network.agents[number]
            entry = support.entry_address(0)
            for kind, size in (("open", 0), ("data", 10)):
                wire = support.WirePacket(flow, kind, size)
                delivery = messages.PacketDelivery(
                    support.SERVICE, support.encode(wire), True
                )
                core.handle_message(delivery, entry, network.now)

    def test_a_busy_target_is_skipped(self) -> None:
        network = start(entries=1)
        self.keep_busy(network, 0)
        self.keep_busy(network, 1)
        open_flow(network)
        self.assertEqual(network.list_holders(FLOW), [2])

    def test_a_busy_target_takes_a_flow_when_all_are_busy(self) -> None:
        for count in (1, 2, 5):
            with self.subTest(count=count):
                network = start((support.SERVICE,) * count, 1)
                for number in range(count):
                    self.keep_busy(network, number)
                open_flow(network)

    def test_a_target_that_resets_flows_receives_fewer_new_ones(
        self,
    ) -> None:
        network = start((support.SERVICE,) * 5, 1)
        received = 0
        for number in range(100):
            flow = support.build_flow(number)
            network.send(0, support.WirePacket(flow, "open"))
            if flow in network.targets[0].held_flows:
                received += 1
                network.targets[0].held_flows.discard(flow)
                network.reset_from_target(0, flow)
            if number % 5 == 4:
                network.advance(100)
        self.assertLess(received, 20)

    def test_no_caller_is_refused_while_an_agent_is_missing(self) -> None:
        network = start()
        for target in network.targets:
            target.full = True
        listed = frozenset(support.agent_address(n) for n in range(4))
        network.entries[0].set_rosters((listed,))
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.to_callers, [])

    def test_a_caller_is_refused_when_all_are_full(self) -> None:
        network = start()
        for target in network.targets:
            target.full = True
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.to_callers[-1].kind, "reset")

    def test_a_copy_of_a_first_packet_is_not_refused(self) -> None:
        network = start()
        for target in network.targets:
            target.full = True
        copy = support.WirePacket(FLOW, "open", copy_number=1)
        network.send(0, copy)
        self.assertEqual(network.to_callers, [])

    def test_an_unanswered_opening_is_repeated_at_another_agent(
        self,
    ) -> None:
        network = start((support.SERVICE,) * 2, 1)
        network.send(0, support.WirePacket(support.build_flow(0), "open"))
        first = network.list_holders(support.build_flow(0))[0]
        network.unreachable.add(support.agent_address(1 - first))
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.list_holders(FLOW), [])
        network.send(0, support.WirePacket(FLOW, "open"))
        self.assertEqual(network.list_holders(FLOW), [first])

    def test_new_flows_are_spread_evenly(self) -> None:
        network = start((support.SERVICE,) * 5, 1)
        for number in range(100):
            flow = support.build_flow(number)
            network.send(0, support.WirePacket(flow, "open"))
            network.send(0, support.WirePacket(flow, "data", 1))
        counts = [len(target.held_flows) for target in network.targets]
        self.assertEqual(counts, [20] * 5)


if __name__ == "__main__":
    unittest.main()
