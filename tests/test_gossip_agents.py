"""Tests of heartbeats between agents and of confirmed versions."""

import datetime
import unittest

from egretfork.gossip import confirmations
from egretfork.gossip import events
from egretfork.gossip import heartbeats
from egretfork.gossip import messages
from egretfork.gossip import store
from egretfork import model
from tests import gossip_network


def at(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


class ObserversTest(unittest.TestCase):
    """Guards against the suspicion of live agents."""

    def setUp(self) -> None:
        self.monitor = heartbeats.HeartbeatMonitor("a0")
        self.targets = tuple(
            gossip_network.make_target(f"a{number}") for number in range(5)
        )
        self.monitor.watch(self.targets, at(0))

    def test_each_agent_is_watched_by_two(self) -> None:
        watchers: dict[model.Endpoint, int] = {}
        for target in self.targets:
            monitor = heartbeats.HeartbeatMonitor(target.agent)
            monitor.watch(self.targets, at(0))
            for address in monitor.receivers:
                watchers[address] = watchers.get(address, 0) + 1
        self.assertEqual(set(watchers.values()), {2})
        self.assertEqual(len(watchers), 5)

    def test_late_agent_is_asked_before_it_is_silent(self) -> None:
        self.monitor.poll(at(0.9))
        self.monitor.record_activity("a4", at(0.9))
        late = self.monitor.list_due_probes(at(1.3))
        self.assertEqual(late, [self.targets[3].address])
        self.assertEqual(self.monitor.poll(at(1.3)), [])
        self.assertEqual(self.monitor.poll(at(2.0)), [self.targets[3]])

    def test_own_pause_is_not_silence_of_others(self) -> None:
        self.monitor.poll(at(0.1))
        self.assertEqual(self.monitor.poll(at(30)), [])
        for tenth in range(1, 20):
            self.assertEqual(self.monitor.poll(at(30 + tenth / 10)), [])
        silent = self.monitor.poll(at(32))
        self.assertCountEqual(silent, self.targets[3:])


class ConfirmationsTest(unittest.TestCase):
    """Guards against nodes wrongly counted as having confirmed a version."""

    def make(self, names: str, version: int):
        records = store.Store()
        for name in names:
            address = model.Endpoint(name, 1)
            records.set_node(
                messages.NodeRecord(
                    name, 1, 0, address, messages.Role.ENTRY, "z"
                )
            )
        result = confirmations.Confirmations(records)
        result.update_nodes()
        result.set_version(version)
        return result

    def test_bits_of_another_version_or_table_are_ignored(self) -> None:
        for names, version in (("abc", 1), ("abc", 3), ("bcd", 2)):
            own, other = self.make("abc", 2), self.make(names, version)
            for name in names:
                other.confirm(name)
            own.merge(other.make_message())
            versions = {confirmed for _, confirmed in own.list_versions()}
            self.assertEqual(versions, {0})

    def test_bits_survive_a_new_node(self) -> None:
        own = self.make("abd", 2)
        own.confirm("b")
        address = model.Endpoint("c", 1)
        record = messages.NodeRecord(
            "c", 1, 0, address, messages.Role.ENTRY, "z"
        )
        own._store.set_node(record)
        own.update_nodes()
        self.assertEqual(
            own.list_versions(), (("a", 0), ("b", 2), ("c", 0), ("d", 0))
        )
        self.assertEqual(own.make_message().bits, b"\x02")


class AgentNetworkTest(unittest.TestCase):
    """Heartbeats and confirmations in a simulated network."""

    def start(self, agents: int):
        cluster = gossip_network.Cluster().start_many(5, agents)
        cluster.run(5)
        cluster.publish(gossip_network.make_configuration(1))
        cluster.run(10)
        return cluster

    def list_versions(self, cluster) -> dict[str, int]:
        control = cluster.processes["control-0"].core
        return {record.name: v for record, v in control.list_versions()}

    def test_lost_heartbeats_of_two_agents(self) -> None:
        """Lost heartbeats must not make a live agent suspect."""
        cluster = self.start(agents=2)
        cluster.path.loss = 0.05
        for _ in range(1_000):
            cluster.run(0.3)
            targets = cluster.list_targets("entry-0", suspect=False)
            self.assertEqual(targets, ["a0", "a1"])

    def test_agent_behind_keeps_its_entries_unconfirmed(self) -> None:
        """An entry must not confirm a version that one of its agents lacks.

        Control would otherwise reuse an address while the agent still has
        the old configuration.
        """
        cluster = self.start(agents=3)
        self.assertEqual(set(self.list_versions(cluster).values()), {1})
        nodes = {item.name for item in cluster.list_nodes()}
        cluster.partition(nodes, {"a0"}, both_ways=False)
        cluster.publish(gossip_network.make_configuration(2))
        cluster.run(10)
        versions = sorted(self.list_versions(cluster).values())
        self.assertEqual(versions, [1, 1, 2, 2, 2, 2])
        cluster.path.blocked.clear()
        cluster.run(20)
        self.assertEqual(set(self.list_versions(cluster).values()), {2})

    def test_lost_push_to_an_agent_is_repeated(self) -> None:
        """A lost push must be repeated before the agent's next renewal."""
        cluster = self.start(agents=3)
        nodes = {item.name for item in cluster.list_nodes()}
        cluster.partition(nodes, {"a0"}, both_ways=False)
        cluster.publish(gossip_network.make_configuration(2))
        cluster.run(0.8)
        cluster.path.blocked.clear()
        cluster.run(2)
        revision = cluster.processes["a0"].core.revision
        self.assertEqual(revision, messages.ConfigurationRevision(2, 0))

    def test_forgotten_node_that_lives_returns(self) -> None:
        """A live node that an operator removed by mistake must return."""
        cluster = self.start(agents=0)
        control = cluster.processes["control-0"]
        cluster.network.handle(control, events.Forget("entry-3"))
        cluster.run(5)
        self.assertEqual(self.list_versions(cluster)["entry-3"], 1)

    def test_lost_unsubscription(self) -> None:
        """A lost unsubscription must not block an entry's confirmation."""
        cluster = self.start(agents=1)
        entries = {f"entry-{number}" for number in range(5)}
        cluster.partition({"a0"}, entries)
        cluster.run(90)
        cluster.path.blocked.clear()
        cluster.run(5)
        cluster.publish(gossip_network.make_configuration(2))
        cluster.run(15)
        self.assertEqual(set(self.list_versions(cluster).values()), {2})

    def test_forgotten_agent_is_no_longer_waited_for(self) -> None:
        """A removed agent must no longer block confirmations."""
        cluster = self.start(agents=2)
        cluster.kill("a0")
        cluster.run(70)
        control = cluster.processes["control-0"]
        cluster.network.handle(control, events.Forget("a0"))
        cluster.publish(gossip_network.make_configuration(2))
        cluster.run(20)
        self.assertEqual(set(self.list_versions(cluster).values()), {2})
