"""State of dissemination at a part of the design size, as bytes."""

import msgspec

from egretfork.gossip import messages
from egretfork import model

SERVICES = 650
TARGETS = 2_700
NODES = 450


class State(msgspec.Struct, frozen=True):
    """What every node knows."""

    configuration: model.Configuration
    batch: messages.RecordBatch


def encode(targets: int) -> bytes:
    """Build the state with so many targets and services in proportion."""
    # Needed only where the state is made: it imports the whole bench.
    from egretfork.bench import population

    size = population.Size(
        nodes=NODES * targets // TARGETS,
        targets=targets,
        services=SERVICES * targets // TARGETS,
    )
    people = population.Population(size, 1)
    batch = messages.RecordBatch(
        targets=people.announcements, nodes=people.records
    )
    return msgspec.msgpack.encode(State(people.configuration, batch))


def decode(data: bytes) -> State:
    """Return the state."""
    return msgspec.msgpack.decode(data, type=State)
