"""Tests of gossip between several nodes under injected faults."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from egretfork.gossip import deltas
from egretfork.gossip import events
from egretfork.gossip import messages
from egretfork import model
from tests import gossip_network

ENTRIES = tuple(f"entry-{number}" for number in range(5))
NODES = ("control-0", "control-1", *ENTRIES)
AGENTS = tuple(f"a{number}" for number in range(5))


class NetworkTest(unittest.TestCase):
    """Convergence after faults in a simulated network."""

    def start(self, entries: int = 5, agents: int = 0):
        cluster = gossip_network.Cluster().start_many(entries, agents)
        cluster.run(5)
        return cluster

    def assert_revision(
        self, cluster, version: int, record_revision: int = 0
    ) -> None:
        wanted = messages.ConfigurationRevision(version, record_revision)
        revisions = {
            item.name: item.core.revision for item in cluster.list_nodes()
        }
        self.assertEqual(set(revisions.values()), {wanted}, revisions)

    def test_change_reaches_all_despite_loss_and_duplicates(self) -> None:
        """A digest must repair a lost push."""
        cluster = self.start(entries=12, agents=3)
        cluster.path.loss = 0.3
        cluster.path.duplicates = 0.3
        cluster.path.longest_delay_us = 300_000
        for version in range(1, 4):
            cluster.publish(gossip_network.make_configuration(version))
        cluster.run(30)
        self.assert_revision(cluster, 3)
        for name in AGENTS[:3]:
            part = cluster.processes[name].core.configuration
            self.assertEqual(part.version, 3)
            self.assertEqual([s.name for s in part.services], ["hatlog"])

    def test_large_change_in_pieces(self) -> None:
        """A delta of many datagrams must arrive despite lost pieces."""
        cluster = self.start()
        cluster.path.loss = 0.1
        whole = gossip_network.make_configuration(1, services=700)
        cluster.publish(whole)
        cluster.run(60)
        self.assert_revision(cluster, 1)
        for item in cluster.list_nodes():
            self.assertEqual(item.configurations[-1], deltas.normalize(whole))

    def test_dead_control_and_relay(self) -> None:
        """A change must spread after its publisher and a relay have failed."""
        cluster = self.start(entries=8)
        cluster.publish(gossip_network.make_configuration(1))
        cluster.run(0.012)
        cluster.kill("control-0")
        cluster.kill("entry-0")
        cluster.run(10)
        self.assert_revision(cluster, 1)

    def test_stale_configuration_does_not_win(self) -> None:
        """An old snapshot or a repeated delta must not revert a node."""
        cluster = self.start()
        old = deltas.normalize(gossip_network.make_configuration(1))
        new = deltas.normalize(gossip_network.make_configuration(3, 2))
        cluster.publish(new)
        cluster.run(5)
        process = cluster.processes["entry-1"]
        stale = deltas.normalize(gossip_network.make_configuration(2, 2))
        pieces = (
            *deltas.make_pieces("", deltas.EMPTY, old),
            *deltas.make_pieces("", old, stale),
            *deltas.make_pieces("", deltas.EMPTY, new),
        )
        peer = model.Endpoint("entry-2", 1)
        for piece in pieces:
            received = events.Received(peer, piece, 100)
            cluster.network.handle(process, received)
        cluster.run(5)
        self.assert_revision(cluster, 3, 2)
        self.assertEqual(len(process.configurations), 1)

    def test_frozen_node_catches_up(self) -> None:
        """A node that resumes with old state must catch up."""
        cluster = self.start(agents=3)
        cluster.publish(gossip_network.make_configuration(1))
        cluster.run(3)
        cluster.freeze("entry-1", 30)
        for version in range(2, 30):
            cluster.publish(gossip_network.make_configuration(version))
            cluster.run(1)
        cluster.run(15)
        self.assert_revision(cluster, 29)

    def test_cut_off_region_catches_up(self) -> None:
        """Nodes must converge after a long two-way or one-way partition."""
        for both in (True, False):
            with self.subTest(both=both):
                cluster = self.start(agents=6)
                inside = {"entry-3", "entry-4"}
                others = set(cluster.processes) - inside
                cluster.publish(gossip_network.make_configuration(1))
                cluster.run(5)
                cluster.partition(others, inside, both)
                for version in range(2, 30):
                    cluster.publish(gossip_network.make_configuration(version))
                cluster.run(60)
                versions = [
                    cluster.processes[name].core.revision.version
                    for name in sorted(inside)
                ]
                self.assertEqual(versions, [1, 1])
                self.assertEqual(len(cluster.list_targets("entry-3")), 6)
                cluster.path.blocked.clear()
                cluster.run(20)
                self.assert_revision(cluster, 29)

    def test_cut_off_agents_stay_targets(self) -> None:
        """Expiry during a partition must not empty the service."""
        cluster = self.start(agents=6)
        inside = {"entry-1", "a0"}
        cluster.partition(set(cluster.processes) - inside, inside)
        cluster.run(120)
        for name in ("entry-1", "entry-2"):
            self.assertGreaterEqual(len(cluster.list_targets(name)), 3)
        cluster.path.blocked.clear()
        cluster.run(30)
        for name in ENTRIES:
            self.assertEqual(
                cluster.list_targets(name, suspect=False),
                list(AGENTS) + ["a5"],
            )

    def test_dead_agent_is_removed(self) -> None:
        """A dead agent, and no other, must be removed from the service."""
        cluster = self.start(agents=5)
        cluster.kill("a2")
        cluster.run(3)
        self.assertNotIn("a2", cluster.list_targets("entry-0", suspect=False))
        self.assertIn("a2", cluster.list_targets("entry-0"))
        cluster.run(6)
        for name in ENTRIES:
            self.assertEqual(
                cluster.list_targets(name), ["a0", "a1", "a3", "a4"]
            )

    def test_restarted_agent_with_empty_memory(self) -> None:
        """The announcement of the new incarnation must win."""
        cluster = self.start(agents=3)
        for _ in range(3):
            process = cluster.start_agent("a1")
            cluster.run(5)
            known = {
                item.agent: item
                for item in cluster.processes["entry-4"].announcements
            }
            self.assertEqual(
                known["a1"].incarnation, cluster.incarnation, process.name
            )

    def test_left_target_is_gone_everywhere(self) -> None:
        """An entry with old state must not restore a target that left."""
        cluster = self.start(agents=4)
        others = set(cluster.processes) - {"entry-4"}
        cluster.partition(others, {"entry-4"})
        left = gossip_network.make_target(
            "a1",
            incarnation=cluster.incarnation - 2,
            sequence=5,
            state=model.TargetState.LEFT,
        )
        process = cluster.processes["a1"]
        cluster.network.handle(process, events.Announce(left))
        cluster.run(3)
        cluster.kill("a1")
        cluster.run(60)
        cluster.path.blocked.clear()
        for _ in range(100):
            cluster.run(0.2)
            for name in ("control-0", *ENTRIES[:4]):
                self.assertNotIn("a1", cluster.list_targets(name))
        self.assertNotIn("a1", cluster.list_targets("entry-4"))

    def test_entry_of_an_agent_dies(self) -> None:
        """An agent must replace entries that have failed."""
        cluster = self.start(agents=3)
        cluster.kill("entry-0")
        cluster.kill("entry-1")
        cluster.run(60)
        cluster.publish(gossip_network.make_configuration(1))
        cluster.run(3)
        for name in AGENTS[:3]:
            revision = cluster.processes[name].core.revision
            self.assertEqual(revision, messages.ConfigurationRevision(1, 0))

    def test_confirmed_versions_name_the_node_behind(self) -> None:
        """A silent node must not count as having confirmed a version."""
        cluster = self.start(agents=3)
        cluster.publish(gossip_network.make_configuration(1))
        cluster.run(10)
        cluster.freeze("entry-3", 60)
        cluster.publish(gossip_network.make_configuration(2))
        cluster.run(20)
        versions = {
            record.name: version
            for record, version in cluster.processes[
                "control-0"
            ].core.list_versions()
        }
        self.assertEqual(versions.pop("entry-3"), 1)
        self.assertEqual(set(versions.values()), {2})

    def test_forgotten_node_is_dropped(self) -> None:
        """A removed node must no longer block confirmations."""
        cluster = self.start()
        cluster.kill("entry-3")
        control = cluster.processes["control-0"]
        cluster.network.handle(control, events.Forget("entry-3"))
        cluster.run(5)
        for item in cluster.list_nodes():
            names = [record.name for record, _ in item.core.list_versions()]
            self.assertNotIn("entry-3", names)


class FaultMachine(stateful.RuleBasedStateMachine):
    """Applies random faults and compares nodes with the published state."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = gossip_network.Cluster(7).start_many(5, 5)
        self.cluster.start_node("control-1", messages.Role.CONTROL)
        self.cluster.run(5)
        self.published = {messages.INITIAL_REVISION: deltas.EMPTY}
        self.version, self.record_revision = 0, 0

    @stateful.rule(
        name=strategies.sampled_from(["control-0", "control-1"]),
        new_version=strategies.booleans(),
        services=strategies.sampled_from([1, 3, 120]),
    )
    def publish(self, name, new_version, services) -> None:
        self.version += new_version or not self.version
        self.record_revision += not new_version
        configuration = deltas.normalize(
            gossip_network.make_configuration(
                self.version, self.record_revision, services
            )
        )
        revision = deltas.get_revision(configuration)
        self.published[revision] = configuration
        self.cluster.publish(configuration, name)

    @stateful.rule(
        inside=strategies.sets(strategies.sampled_from(NODES), min_size=1),
        both=strategies.booleans(),
    )
    def cut(self, inside, both) -> None:
        others = set(self.cluster.processes) - inside
        self.cluster.partition(inside, others, both)

    @stateful.rule(name=strategies.sampled_from(NODES + AGENTS))
    def freeze(self, name) -> None:
        self.cluster.freeze(name, 4)

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def restart_entry(self, name) -> None:
        self.cluster.start_node(name)

    @stateful.rule(name=strategies.sampled_from(AGENTS))
    def restart_agent(self, name) -> None:
        self.cluster.start_agent(name)

    @stateful.rule(
        loss=strategies.sampled_from([0.0, 0.01, 0.3]),
        delay_us=strategies.sampled_from([5_000, 400_000]),
    )
    def disturb(self, loss, delay_us) -> None:
        self.cluster.path.loss = loss
        self.cluster.path.duplicates = loss
        self.cluster.path.longest_delay_us = delay_us

    @stateful.rule()
    def heal(self) -> None:
        self.cluster.path.blocked.clear()

    @stateful.rule(seconds=strategies.sampled_from([0.05, 1, 8]))
    def wait(self, seconds) -> None:
        self.cluster.run(seconds)

    @stateful.invariant()
    def versions_move_forward_and_are_whole(self) -> None:
        for name in NODES:
            used = self.cluster.processes[name].configurations
            revisions = [deltas.get_revision(item) for item in used]
            assert all(b.follows(a) for a, b in zip(revisions, revisions[1:]))
            for revision, item in zip(revisions, used):
                assert item == self.published[revision]
        for name in AGENTS:
            self.check_agent(name)

    def check_agent(self, name) -> None:
        used = self.cluster.processes[name].configurations
        revisions = [deltas.get_revision(item) for item in used]
        assert all(b.follows(a) for a, b in zip(revisions, revisions[1:]))
        for revision, item in zip(revisions, used):
            whole = self.published[revision]
            assert item == deltas.select_part(whole, "hatlog")

    @stateful.invariant()
    def services_are_not_emptied(self) -> None:
        control = self.cluster.processes["control-0"]
        assert len(control.announcements) >= 3

    def teardown(self) -> None:
        self.cluster.path.blocked.clear()
        self.cluster.path.loss = 0.01
        self.cluster.path.longest_delay_us = 10_000
        self.cluster.run(60)
        newest = max(self.published)
        for item in self.cluster.processes.values():
            assert item.core.revision == newest, (
                item.name,
                item.core.revision,
            )
        for name in NODES:
            targets = self.cluster.list_targets(name, suspect=False)
            assert targets == list(AGENTS), (name, targets)


FaultTest = FaultMachine.TestCase
FaultTest.settings = hypothesis.settings(
    max_examples=25, stateful_step_count=20
)
