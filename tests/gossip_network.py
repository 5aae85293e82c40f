"""Simulated networks of gossip cores with fault injection, for tests."""

import random

from egretfork.bench import network
from egretfork.gossip import agent
from egretfork.gossip import core
from egretfork.gossip import events
from egretfork.gossip import messages
from egretfork import model

RATE = 5_500
BURST = 2_500


def make_service(name: str, **fields) -> model.Service:
    defaults = {"addresses": ("10.0.0.1:5683",), "targets": ("*",)}
    return model.Service(name=name, **(defaults | fields))


def make_configuration(
    version: int, record_revision: int = 0, services: int = 3
):
    """Return a configuration whose content depends on its version."""
    names = ("certdesk", "hatlog", *(f"s-{i}" for i in range(services)))
    slots = (version + record_revision) % 1000 + 1
    return model.Configuration(
        version=version,
        record_revision=record_revision,
        services=tuple(make_service(name, slots=slots) for name in names),
        record_groups=tuple(
            model.RecordGroup(name, slots, (model.AgentIdentity(name, slots),))
            for name in names
        ),
    )


def make_target(name: str, service: str = "hatlog", **fields):
    values = {
        "incarnation": 100,
        "sequence": 1,
        "address": model.Endpoint(f"agent-{name}", 1),
        "availability_zone": "luzon-a",
        "state": model.TargetState.READY,
    }
    values.update(fields)
    return model.TargetAnnouncement(service=service, agent=name, **values)


class FaultyPath:
    """Injects loss, delay, reordering, duplicates and one-way partitions."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loss = 0.0
        self.duplicates = 0.0
        self.longest_delay_us = 10_000
        self.blocked: set[tuple[str, str]] = set()

    def __call__(self, sender, receiver):
        if (sender.name, receiver.name) in self.blocked:
            return []
        if self.rng.random() < self.loss:
            return []
        copies = 1 + (self.rng.random() < self.duplicates)
        return [
            self.rng.randint(1_000, self.longest_delay_us)
            for _ in range(copies)
        ]


class Cluster:
    """A network of nodes and agents, which are accessed by name."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.path = FaultyPath(self.rng)
        self.network = network.Network(self.rng, self.path)
        self.processes: dict[str, network.Process] = {}
        self.incarnation = 100

    def start_node(self, name: str, role=messages.Role.ENTRY):
        """Start a node, or restart it without its state."""
        self.incarnation += 1
        address = model.Endpoint(name, 1)
        record = messages.NodeRecord(
            name, self.incarnation, 0, address, role, "luzon-a"
        )
        seeds = (model.Endpoint("control-0", 1), model.Endpoint("entry-0", 1))
        rng = random.Random(self.rng.random())
        gossip_core = core.NodeCore(record, seeds, rng, RATE, BURST)
        return self._add(name, address, gossip_core)

    def start_agent(self, name: str, service: str = "hatlog"):
        """Start an agent, or restart it, and announce its target."""
        self.incarnation += 1
        address = model.Endpoint(f"agent-{name}", 1)
        identity = model.AgentIdentity(name, self.incarnation)
        seeds = (model.Endpoint("entry-0", 1), model.Endpoint("entry-1", 1))
        rng = random.Random(self.rng.random())
        gossip_core = agent.AgentCore(
            identity, service, seeds, rng, RATE, BURST
        )
        process = self._add(name, address, gossip_core)
        target = make_target(name, service, incarnation=self.incarnation)
        self.network.handle(process, events.Announce(target))
        return process

    def start_many(self, entries: int, agents: int = 0):
        """Start a control node, entries and agents of one service."""
        self.start_node("control-0", messages.Role.CONTROL)
        for number in range(entries):
            self.start_node(f"entry-{number}")
        for number in range(agents):
            self.start_agent(f"a{number}")
        return self

    def publish(self, configuration, name: str = "control-0") -> None:
        event = events.Publish(configuration)
        self.network.handle(self.processes[name], event)

    def run(self, seconds: float) -> None:
        self.network.run(seconds)

    def partition(
        self, group: set[str], other: set[str], both_ways: bool = True
    ) -> None:
        pairs = {(a, b) for a in group for b in other}
        self.path.blocked |= pairs
        if both_ways:
            self.path.blocked |= {(b, a) for a, b in pairs}

    def kill(self, name: str) -> None:
        self.processes[name].alive = False

    def freeze(self, name: str, seconds: float) -> None:
        end_us = self.network.now_us + round(seconds * 1_000_000)
        self.processes[name].paused_until_us = end_us

    def list_nodes(self):
        return [
            item
            for item in self.processes.values()
            if item.alive and isinstance(item.core, core.NodeCore)
        ]

    def list_targets(self, name: str, suspect: bool = True) -> list[str]:
        """Return the targets that a process sees."""
        return sorted(
            item.agent
            for item in self.processes[name].announcements
            if suspect or item.state is not model.TargetState.SUSPECT
        )

    def _add(self, name, address, gossip_core):
        process = network.Process(name, address, "luzon-a", gossip_core)
        self.processes[name] = process
        self.network.add(process)
        return process
