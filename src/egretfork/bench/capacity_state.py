"""Encoded gossip state at a part of the design size."""

import msgspec

from egretfork.gossip import messages
from egretfork import model

SERVICES = 650
TARGETS = 2_700
NODES = 450


class State(msgspec.Struct, frozen=True):
    """State that gossip replicates to every node."""

    configuration: model.Configuration
    batch: messages.RecordBatch


def encode(targets: int) -> bytes:
    """Build the state for a number of targets, the rest in proportion."""
    # Imported here since only encoding needs it: it imports the simulation.
    from egretfork.bench import simulated_cluster

    size = simulated_cluster.Size(
        nodes=NODES * targets // TARGETS,
        targets=targets,
        services=SERVICES * targets // TARGETS,
    )
    cluster = simulated_cluster.SimulatedCluster(size, 1)
    batch = messages.RecordBatch(
        targets=cluster.announcements, nodes=cluster.records
    )
    return msgspec.msgpack.encode(State(cluster.configuration, batch))


def decode(data: bytes) -> State:
    """Decode a state."""
    return msgspec.msgpack.decode(data, type=State)
