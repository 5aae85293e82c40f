"""Tests of node discovery and of the transfer of routings."""

import random
import unittest

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import contact
from egretfork.passthrough import directory
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import roster
from egretfork.passthrough import routing
from tests.passthrough import support

CONTROLS = tuple(model.Endpoint(f"10.0.0.{n}", 1) for n in range(1, 6))
ENTRY = model.Endpoint("10.0.1.1", 2)
AGENT = model.Endpoint("10.0.2.1", 3)


def build_routing(version: int, routes: int = 1) -> routing.Routing:
    """Return a routing whose random service names compress badly."""
    generator = random.Random(version)
    return routing.Routing(
        version,
        tuple(
            routing.Route(
                packets.ServiceAddress(number, 443),
                (routing.Share(generator.randbytes(12).hex(), 1),),
            )
            for number in range(routes)
        ),
    )


class LossyNetwork:
    """Control processes, an entry and an agent on a lossy network."""

    def __init__(self, seeds: tuple[model.Endpoint, ...], loss: float) -> None:
        self.now = support.at(0)
        self.down: set[model.Endpoint] = set()
        self._loss = loss
        self._generator = random.Random(1)
        self.controls = {
            address: directory.DirectoryCore(roster.Roster(None, self.now))
            for address in CONTROLS
        }
        for core in self.controls.values():
            core.set_controls(CONTROLS)
        self.nodes = {
            ENTRY: self._build(messages.Role.ENTRY, seeds),
            AGENT: self._build(messages.Role.AGENT, seeds),
        }

    def _build(
        self, role: messages.Role, seeds: tuple[model.Endpoint, ...]
    ) -> contact.ContactCore:
        return contact.ContactCore(role, role, seeds, self.now)

    def publish(self, newest: routing.Routing) -> None:
        """Commit a routing on all running control processes."""
        for address, core in self.controls.items():
            if address not in self.down:
                self.execute(core.handle_routing(newest), address)

    def run(self, milliseconds: int) -> None:
        """Advance the time in steps of 50 ms, with ticks."""
        for _ in range(milliseconds // 50):
            self.now += support.at(50)
            for address, node in self.nodes.items():
                self.execute(node.handle_tick(self.now), address)
            for address, core in self.controls.items():
                self.execute(core.handle_tick(self.now), address)

    def execute(
        self, requested_actions: list[actions.Action], source: model.Endpoint
    ) -> None:
        """Deliver the messages that are not lost."""
        for action in requested_actions:
            if not isinstance(action, actions.SendMessage):
                continue
            lost = self._generator.random() < self._loss
            if lost or {action.peer, source} & self.down:
                continue
            receiver = (
                self.controls.get(action.peer) or self.nodes[action.peer]
            )
            self.execute(
                receiver.handle_message(action.message, source, self.now),
                action.peer,
            )


class ContactTest(unittest.TestCase):
    """Guards against nodes that lose contact with control or a version."""

    def test_one_seed_leads_to_all(self) -> None:
        network = LossyNetwork(CONTROLS[:1], 0)
        network.run(1200)
        self.assertEqual(set(network.nodes[ENTRY].controls), set(CONTROLS))
        self.assertEqual(network.nodes[AGENT].entries, (ENTRY,))

    def test_the_loss_of_all_seeds(self) -> None:
        network = LossyNetwork(CONTROLS[:2], 0)
        network.run(1200)
        network.down.update(CONTROLS[:2])
        network.publish(build_routing(3))
        network.run(1200)
        self.assertEqual(network.nodes[ENTRY].newest_routing, build_routing(3))

    def test_a_starting_node_sends_heartbeats_at_a_higher_rate(self) -> None:
        network = LossyNetwork(CONTROLS, 0)
        network.down.update(CONTROLS)
        network.run(1000)
        network.down.clear()
        network.publish(build_routing(3))
        network.run(150)
        self.assertEqual(network.nodes[ENTRY].newest_routing.version, 3)
        self.assertEqual(network.nodes[AGENT].entries, (ENTRY,))

    def test_a_first_version_of_zero(self) -> None:
        # Guards against version 0 being taken for the lack of a version.
        network = LossyNetwork(CONTROLS, 0)
        network.run(600)
        network.publish(build_routing(0))
        network.run(600)
        newest = network.nodes[ENTRY].newest_routing
        self.assertEqual(newest, build_routing(0))
        network.publish(build_routing(1))
        network.run(600)
        self.assertEqual(network.nodes[ENTRY].newest_routing.version, 1)

    def test_a_version_without_content(self) -> None:
        # Control of an earlier release sends version 0 while it has none.
        node = LossyNetwork(CONTROLS, 0).nodes[ENTRY]
        now = support.at(0)
        requested = node.handle_message(
            messages.Directory(0, 0), CONTROLS[0], now
        )
        self.assertEqual(len(requested), 1)
        requested = node.handle_message(
            messages.RoutingChunk(0, 0, 0, b""), CONTROLS[0], now
        )
        self.assertFalse(
            [a for a in requested if isinstance(a, actions.SendMessage)]
        )

    def test_seeds_are_replaced(self) -> None:
        network = LossyNetwork(CONTROLS[:1], 0)
        network.down.add(CONTROLS[0])
        network.run(500)
        network.nodes[ENTRY].set_seeds(CONTROLS[3:], network.now)
        network.publish(build_routing(3))
        network.run(1200)
        self.assertEqual(network.nodes[ENTRY].newest_routing.version, 3)

    def test_a_large_routing_over_a_lossy_network(self) -> None:
        large = build_routing(4, 3000)
        self.assertGreater(len(directory.pack_routing(large)), 50_000)
        network = LossyNetwork(CONTROLS, 0.05)
        network.run(600)
        network.publish(large)
        network.run(3000)
        self.assertEqual(network.nodes[ENTRY].newest_routing, large)

    def test_a_version_that_changes_during_its_transfer(self) -> None:
        network = LossyNetwork(CONTROLS, 0.3)
        network.run(600)
        for version in range(5, 25):
            network.publish(build_routing(version, 200))
            network.run(50)
        network.run(3000)
        self.assertEqual(network.nodes[ENTRY].newest_routing.version, 24)

    def test_an_older_version_is_not_pulled(self) -> None:
        network = LossyNetwork(CONTROLS, 0)
        network.down.add(CONTROLS[0])
        network.publish(build_routing(3))
        network.run(1200)
        network.down = set(CONTROLS[1:])
        network.publish(build_routing(2))
        network.run(2000)
        self.assertEqual(network.nodes[ENTRY].newest_routing.version, 3)

    def test_entries_survive_a_restart_of_control(self) -> None:
        network = LossyNetwork(CONTROLS, 0)
        network.run(1200)
        for address in CONTROLS:
            core = directory.DirectoryCore(roster.Roster(None, network.now))
            core.set_controls(CONTROLS)
            network.controls[address] = core
        network.nodes[AGENT].handle_tick(network.now)
        self.assertEqual(network.nodes[AGENT].entries, (ENTRY,))

    def test_agents_are_notified_of_a_new_entry_immediately(self) -> None:
        network = LossyNetwork(CONTROLS, 0)
        entry = network.nodes.pop(ENTRY)
        network.run(1200)
        network.nodes[ENTRY] = entry
        network.execute(entry.handle_tick(network.now), ENTRY)
        self.assertEqual(network.nodes[AGENT].entries, (ENTRY,))

    def test_control_sends_no_roster_right_after_its_start(self) -> None:
        network = LossyNetwork(CONTROLS, 0)
        network.run(1200)
        self.assertEqual(network.nodes[ENTRY].rosters, ())

    def test_an_entry_that_starts_later_learns_the_agents(self) -> None:
        network = LossyNetwork(CONTROLS, 0)
        entry = network.nodes.pop(ENTRY)
        network.run(4000)
        network.nodes[ENTRY] = contact.ContactCore(
            messages.Role.ENTRY, "entry", CONTROLS, network.now
        )
        self.assertEqual(entry.rosters, ())
        network.run(100)
        rosters = network.nodes[ENTRY].rosters
        self.assertEqual(rosters, (frozenset({AGENT}),) * len(CONTROLS))

    def test_an_agent_without_a_target_is_removed_from_the_roster(
        self,
    ) -> None:
        network = LossyNetwork(CONTROLS, 0)
        network.run(4000)
        agent = network.nodes.pop(AGENT)
        network.execute(agent.handle_permanent_stop(network.now), AGENT)
        network.nodes[ENTRY] = contact.ContactCore(
            messages.Role.ENTRY, "entry", CONTROLS, network.now
        )
        network.run(100)
        rosters = network.nodes[ENTRY].rosters
        self.assertEqual(rosters, (frozenset(),) * len(CONTROLS))

    def test_a_stored_roster_is_complete_at_once(self) -> None:
        network = LossyNetwork(CONTROLS, 0)
        other = model.Endpoint("10.0.2.2", 3)
        for address in CONTROLS:
            stored = roster.Roster((other,), network.now)
            core = directory.DirectoryCore(stored)
            core.set_controls(CONTROLS)
            network.controls[address] = core
        network.run(100)
        rosters = network.nodes[ENTRY].rosters
        self.assertEqual(len(rosters), len(CONTROLS))
        self.assertTrue(all(other in agents for agents in rosters))

    def test_a_silent_entry_expires(self) -> None:
        network = LossyNetwork(CONTROLS, 0)
        network.run(1200)
        network.down.add(ENTRY)
        network.run(20_000)
        self.assertEqual(network.nodes[AGENT].entries, ())


if __name__ == "__main__":
    unittest.main()
