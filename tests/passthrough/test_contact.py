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


class Nodes:
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
        nodes = Nodes(CONTROLS[:1], 0)
        nodes.run(1200)
        self.assertEqual(set(nodes.nodes[ENTRY].controls), set(CONTROLS))
        self.assertEqual(nodes.nodes[AGENT].entries, (ENTRY,))

    def test_the_loss_of_all_seeds(self) -> None:
        nodes = Nodes(CONTROLS[:2], 0)
        nodes.run(1200)
        nodes.down.update(CONTROLS[:2])
        nodes.publish(build_routing(3))
        nodes.run(1200)
        self.assertEqual(nodes.nodes[ENTRY].newest, build_routing(3))

    def test_a_starting_node_sends_heartbeats_at_a_higher_rate(self) -> None:
        nodes = Nodes(CONTROLS, 0)
        nodes.down.update(CONTROLS)
        nodes.run(1000)
        nodes.down.clear()
        nodes.publish(build_routing(3))
        nodes.run(150)
        self.assertEqual(nodes.nodes[ENTRY].newest.version, 3)
        self.assertEqual(nodes.nodes[AGENT].entries, (ENTRY,))

    def test_seeds_are_replaced(self) -> None:
        nodes = Nodes(CONTROLS[:1], 0)
        nodes.down.add(CONTROLS[0])
        nodes.run(500)
        nodes.nodes[ENTRY].set_seeds(CONTROLS[3:], nodes.now)
        nodes.publish(build_routing(3))
        nodes.run(1200)
        self.assertEqual(nodes.nodes[ENTRY].newest.version, 3)

    def test_a_large_routing_over_a_lossy_network(self) -> None:
        large = build_routing(4, 3000)
        self.assertGreater(len(directory.pack_routing(large)), 50_000)
        nodes = Nodes(CONTROLS, 0.05)
        nodes.run(600)
        nodes.publish(large)
        nodes.run(3000)
        self.assertEqual(nodes.nodes[ENTRY].newest, large)

    def test_a_version_that_changes_during_its_transfer(self) -> None:
        nodes = Nodes(CONTROLS, 0.3)
        nodes.run(600)
        for version in range(5, 25):
            nodes.publish(build_routing(version, 200))
            nodes.run(50)
        nodes.run(3000)
        self.assertEqual(nodes.nodes[ENTRY].newest.version, 24)

    def test_an_older_version_is_not_pulled(self) -> None:
        nodes = Nodes(CONTROLS, 0)
        nodes.down.add(CONTROLS[0])
        nodes.publish(build_routing(3))
        nodes.run(1200)
        nodes.down = set(CONTROLS[1:])
        nodes.publish(build_routing(2))
        nodes.run(2000)
        self.assertEqual(nodes.nodes[ENTRY].newest.version, 3)

    def test_entries_survive_a_restart_of_control(self) -> None:
        nodes = Nodes(CONTROLS, 0)
        nodes.run(1200)
        for address in CONTROLS:
            core = directory.DirectoryCore(roster.Roster(None, nodes.now))
            core.set_controls(CONTROLS)
            nodes.controls[address] = core
        nodes.nodes[AGENT].handle_tick(nodes.now)
        self.assertEqual(nodes.nodes[AGENT].entries, (ENTRY,))

    def test_agents_are_notified_of_a_new_entry_immediately(self) -> None:
        nodes = Nodes(CONTROLS, 0)
        entry = nodes.nodes.pop(ENTRY)
        nodes.run(1200)
        nodes.nodes[ENTRY] = entry
        nodes.execute(entry.handle_tick(nodes.now), ENTRY)
        self.assertEqual(nodes.nodes[AGENT].entries, (ENTRY,))

    def test_control_sends_no_roster_right_after_its_start(self) -> None:
        nodes = Nodes(CONTROLS, 0)
        nodes.run(1200)
        self.assertEqual(nodes.nodes[ENTRY].rosters, ())

    def test_an_entry_that_starts_later_learns_the_agents(self) -> None:
        nodes = Nodes(CONTROLS, 0)
        entry = nodes.nodes.pop(ENTRY)
        nodes.run(4000)
        nodes.nodes[ENTRY] = contact.ContactCore(
            messages.Role.ENTRY, "entry", CONTROLS, nodes.now
        )
        self.assertEqual(entry.rosters, ())
        nodes.run(100)
        rosters = nodes.nodes[ENTRY].rosters
        self.assertEqual(rosters, (frozenset({AGENT}),) * len(CONTROLS))

    def test_an_agent_without_a_target_is_removed_from_the_roster(
        self,
    ) -> None:
        nodes = Nodes(CONTROLS, 0)
        nodes.run(4000)
        agent = nodes.nodes.pop(AGENT)
        nodes.execute(agent.handle_permanent_stop(nodes.now), AGENT)
        nodes.nodes[ENTRY] = contact.ContactCore(
            messages.Role.ENTRY, "entry", CONTROLS, nodes.now
        )
        nodes.run(100)
        rosters = nodes.nodes[ENTRY].rosters
        self.assertEqual(rosters, (frozenset(),) * len(CONTROLS))

    def test_a_stored_roster_is_complete_at_once(self) -> None:
        nodes = Nodes(CONTROLS, 0)
        other = model.Endpoint("10.0.2.2", 3)
        for address in CONTROLS:
            stored = roster.Roster((other,), nodes.now)
            core = directory.DirectoryCore(stored)
            core.set_controls(CONTROLS)
            nodes.controls[address] = core
        nodes.run(100)
        rosters = nodes.nodes[ENTRY].rosters
        self.assertEqual(len(rosters), len(CONTROLS))
        self.assertTrue(all(other in agents for agents in rosters))

    def test_a_silent_entry_expires(self) -> None:
        nodes = Nodes(CONTROLS, 0)
        nodes.run(1200)
        nodes.down.add(ENTRY)
        nodes.run(20_000)
        self.assertEqual(nodes.nodes[AGENT].entries, ())


if __name__ == "__main__":
    unittest.main()
