"""Simulated clusters up to the design size, for benchmarks."""

import dataclasses
import random
import string

from egretfork.bench import network
from egretfork.gossip import agent
from egretfork.gossip import core
from egretfork.gossip import messages
from egretfork.gossip import settings
from egretfork import model

REGIONS = {
    "north": ("north-a", "north-b", "north-c"),
    "south": ("south-a", "south-b"),
    "west": ("west-a", "west-b"),
}
ZONES = tuple(zone for zones in REGIONS.values() for zone in zones)
REGION_OF_ZONE = {
    zone: region for region, zones in REGIONS.items() for zone in zones
}
SAME_ZONE_DELAY_US = 300
CROSS_ZONE_DELAY_US = 4_000
CROSS_REGION_DELAY_US = 30_000
LOSS_PROBABILITY = 0.01
CONTROL_COUNT = 5
NODE_PORT = 7000
INCARNATION_MS = 1_780_000_000_000


@dataclasses.dataclass(frozen=True)
class Size:
    """Number of nodes, targets and services."""

    nodes: int
    targets: int
    services: int


SIZES = (Size(50, 300, 72), Size(150, 900, 217), Size(450, 2700, 650))


class RegionalPathModel:
    """Delay and loss between availability zones, and region partitions."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self.partitioned_region = ""

    def __call__(
        self, sender: network.Process, receiver: network.Process
    ) -> list[int]:
        """Return the delay of the datagram, or nothing if it is lost."""
        if sender.zone == receiver.zone:
            return [self._vary(SAME_ZONE_DELAY_US)]
        regions = REGION_OF_ZONE[sender.zone], REGION_OF_ZONE[receiver.zone]
        if regions[0] != regions[1] and self.partitioned_region in regions:
            return []
        if self._generator.random() < LOSS_PROBABILITY:
            return []
        is_same_region = regions[0] == regions[1]
        return [
            self._vary(
                CROSS_ZONE_DELAY_US
                if is_same_region
                else CROSS_REGION_DELAY_US
            )
        ]

    def _vary(self, delay_us: int) -> int:
        return round(delay_us * self._generator.uniform(1.0, 1.5))


class SimulatedCluster:
    """Nodes and agents of one size in a simulated network."""

    def __init__(self, size: Size, seed: int) -> None:
        self.size = size
        self.generator = random.Random(seed)
        self.path_model = RegionalPathModel(self.generator)
        self.network = network.Network(self.generator, self.path_model)
        self.configuration = build_configuration(size, self.generator)
        self.records = tuple(
            build_node_record(index) for index in range(size.nodes)
        )
        self.announcements = tuple(
            build_announcement(index, size) for index in range(size.targets)
        )
        self.nodes: list[network.Process] = []
        self.agents: list[network.Process] = []
        self.restart_count = 0

    def start_nodes(self, has_state: bool = True) -> None:
        """Start all nodes, with the complete state if ``has_state``."""
        for record in self.records:
            self.nodes.append(self.start_node(record, has_state))

    def start_node(
        self, record: messages.NodeRecord, has_state: bool
    ) -> network.Process:
        """Start one node."""
        seeds = tuple(item.address for item in self.records[:3])
        options = settings.GossipSettings()
        gossip_core = core.NodeCore(
            record,
            seeds,
            random.Random(f"{record.name}-{record.incarnation}"),
            options.rate_bytes_per_s,
            options.burst_bytes,
        )
        if has_state:
            gossip_core.load(
                self.configuration,
                messages.RecordBatch(
                    targets=self.announcements, nodes=self.records
                ),
                self.network.now,
            )
        process = network.Process(
            record.name, record.address, record.availability_zone, gossip_core
        )
        self.network.add(process)
        return process

    def start_agents(self) -> None:
        """Start all agents."""
        for announcement in self.announcements:
            self.agents.append(self.start_agent(announcement))

    def start_agent(
        self, announcement: model.TargetAnnouncement
    ) -> network.Process:
        """Start the agent of a target that is ready."""
        options = settings.GossipSettings()
        entries = self.records[CONTROL_COUNT:]
        seeds = self.generator.sample(entries, min(4, len(entries)))
        gossip_core = agent.AgentCore(
            announcement.identity,
            announcement.service,
            tuple(item.address for item in seeds),
            random.Random(f"{announcement.agent}-{announcement.incarnation}"),
            options.rate_bytes_per_s,
            options.burst_bytes,
        )
        process = network.Process(
            announcement.agent,
            announcement.address,
            announcement.availability_zone,
            gossip_core,
        )
        self.network.add(process)
        return process


def build_node_record(index: int) -> messages.NodeRecord:
    """Return the record of a node; the first 5 are control VMs."""
    role = messages.Role.CONTROL
    if index >= CONTROL_COUNT:
        role = messages.Role.ENTRY
    zone = ZONES[index % len(ZONES)]
    return messages.NodeRecord(
        name=f"{role.value}-{zone}-{index:03d}",
        incarnation=INCARNATION_MS + index * 7_919_111,
        sequence=0,
        address=model.Endpoint(
            f"10.{index // 250}.{index % 250}.1", NODE_PORT
        ),
        role=role,
        availability_zone=zone,
    )


def build_announcement(index: int, size: Size) -> model.TargetAnnouncement:
    """Return the announcement of one target."""
    zone = ZONES[index // size.services % len(ZONES)]
    if index % size.services % 2:
        zone = ZONES[-1 - ZONES.index(zone)]
    return model.TargetAnnouncement(
        service=f"service-{index % size.services:03d}",
        agent=f"target-{zone}-{index:04d}",
        incarnation=INCARNATION_MS + index * 3_141_593,
        sequence=2,
        address=model.Endpoint(
            f"10.{100 + index // 250}.{index % 250}.1", NODE_PORT
        ),
        availability_zone=zone,
        state=model.TargetState.READY,
    )


def build_configuration(
    size: Size, generator: random.Random
) -> model.Configuration:
    """Return a configuration of services with record groups."""
    return model.Configuration(
        version=100,
        services=tuple(
            build_service(index, generator) for index in range(size.services)
        ),
        record_groups=tuple(
            build_record_group(index, size) for index in range(size.services)
        ),
        record_revision=300,
    )


def build_service(index: int, generator: random.Random) -> model.Service:
    """Return a service with random values.

    Equal values would make the compressed configuration unrealistically
    small.
    """
    prefix = "".join(generator.choices(string.ascii_lowercase, k=6))
    return model.Service(
        name=f"service-{index:03d}",
        addresses=(f"172.16.{index // 250}.{index % 250 + 1}:5683",),
        targets=(f"{prefix}-{index:03d}-*",),
        slots=generator.randint(1, 8),
        connections=generator.randint(500, 4000),
        queue=generator.randint(16, 256),
        default_deadline_ms=generator.randint(1_000, 60_000),
    )


def build_record_group(index: int, size: Size) -> model.RecordGroup:
    """Return the record group of a service's first three targets."""
    members = tuple(
        build_announcement(index + step * size.services, size).identity
        for step in range(3)
    )
    return model.RecordGroup(
        service=f"service-{index:03d}",
        epoch=2,
        members=members,
        previous=members[:2],
    )
