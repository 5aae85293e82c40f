"""Tests of lookups when many nodes have restarted at once."""

import unittest

from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import placement
from tests.passthrough import support

SIZES = (30, 100)
FLOWS_PER_AGENT = 2


def start(agents: int) -> support.Network:
    """Return a network with an open flow on most agents."""
    network = support.Network((support.SERVICE,) * agents, 2)
    network.route(support.build_routing(1))
    network.advance(300)
    for flow in list_flows(agents):
        network.send(0, support.WirePacket(flow, "open"))
        network.send(0, support.WirePacket(flow, "data", 1))
    network.advance(2000)
    return network


def list_flows(agents: int) -> list[packets.FlowKey]:
    """Return the flows of a network."""
    return [support.build_flow(n) for n in range(agents * FLOWS_PER_AGENT)]


class CommonRestartTest(unittest.TestCase):
    """Guards against messages that grow faster than flows times agents."""

    def restart_all(
        self, network: support.Network, *, with_targets: bool
    ) -> None:
        """Restart all agents and count messages from then on."""
        for number, target in enumerate(network.targets):
            network.restart_agent(number)
            if with_targets:
                target.held_flows.clear()
                network.sequences[number] = 0
                network.report(number, age_ms=0)
        network.to_callers.clear()
        network.sent.clear()

    def send_all(
        self, network: support.Network, agents: int, rounds: int
    ) -> None:
        """Send a packet of each flow that is not answered, each 200 ms."""
        for _ in range(rounds):
            answered = {packet.flow for packet in network.to_callers}
            for flow in list_flows(agents):
                if flow not in answered:
                    network.send(1, support.WirePacket(flow, "data", 1))
            network.advance(200)

    def restart_and_send(
        self, agents: int, rounds: int, *, with_targets: bool
    ) -> support.Network:
        """Restart all agents and send a packet of each open flow."""
        network = start(agents)
        self.restart_all(network, with_targets=with_targets)
        self.send_all(network, agents, rounds)
        return network

    def test_flows_of_restarted_targets_are_reset(self) -> None:
        for agents in SIZES:
            with self.subTest(agents=agents):
                network = self.restart_and_send(agents, 2, with_targets=True)
                flows = list_flows(agents)
                resets = {
                    packet.flow
                    for packet in network.to_callers
                    if packet.kind == "reset"
                }
                self.assertEqual(resets, set(flows))
                # Each agent is asked once about each flow, and no packet is
                # tried at a target.
                queries = network.sent[messages.FlowQuery]
                self.assertLessEqual(queries, len(flows) * agents)
                self.assertEqual(network.sent[messages.PacketDelivery], 0)
                requests = network.sent[messages.LocateRequest]
                self.assertLessEqual(requests, 2 * len(flows))

    def test_flows_of_running_targets_are_found(self) -> None:
        for agents in SIZES:
            with self.subTest(agents=agents):
                network = self.restart_and_send(agents, 5, with_targets=False)
                flows = list_flows(agents)
                kinds = {packet.kind for packet in network.to_callers}
                self.assertEqual(kinds, {"data"})
                answered = {packet.flow for packet in network.to_callers}
                self.assertEqual(answered, set(flows))
                # Most flows are found among the likely agents, whose number
                # does not grow with the size.
                deliveries = network.sent[messages.PacketDelivery]
                limit = placement.LIKELY_PER_ZONE + 2
                self.assertLessEqual(deliveries, len(flows) * limit)

    def test_an_agent_that_answered_is_not_asked_again(self) -> None:
        agents = 30
        network = start(agents)
        self.restart_all(network, with_targets=True)
        network.unreachable.add(support.agent_address(agents - 1))
        flow = list_flows(agents)[0]
        for _ in range(4):
            network.send(1, support.WirePacket(flow, "data", 1))
            network.advance(300)
        self.assertEqual(network.to_callers, [])
        queries = network.sent[messages.FlowQuery]
        self.assertLess(queries, 2 * agents)


if __name__ == "__main__":
    unittest.main()
