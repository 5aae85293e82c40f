"""Data shared by all roles: services, configurations, announcements."""

import enum
import ipaddress
import typing

import msgspec


class Endpoint(msgspec.Struct, frozen=True, order=True, array_like=True):
    """UDP or TCP address, an IPv4 number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``host:port`` with an IPv4 host.

    Raises:
        ValueError: the text is not an IPv4 number and a port.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not of the form host:port")
    ipaddress.IPv4Address(host)
    if not (port_text.isascii() and port_text.isdigit()):
        raise ValueError(f"{text!r} has no decimal port")
    port = int(port_text)
    if not 0 < port < 65536:
        raise ValueError(f"port {port} of {text!r} is not within 1 to 65535")
    return Endpoint(host, port)


class Service(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Declaration of one service.

    Attributes:
        name: unique name.
        addresses: service addresses, ``host:port``.
        targets: name patterns (shell wildcards) of targets that may serve.
        availability_zones: availability zones whose targets may serve;
            empty for all.
        slots: requests that one target runs at a time.
        connections: flows that one target may hold.
        queue: requests that may wait at one agent.
        cold_start_ms: time in which a new target reaches its full share.
        default_deadline_ms: deadline of a request that carries none.
    """

    name: typing.Annotated[
        str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,62})$")
    ]
    addresses: typing.Annotated[
        tuple[str, ...], msgspec.Meta(min_length=1, max_length=64)
    ]
    targets: typing.Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    availability_zones: tuple[str, ...] = ()
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1024)] = 2
    connections: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 2000
    queue: typing.Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 64
    cold_start_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=3_600_000)] = (
        30_000
    )
    default_deadline_ms: typing.Annotated[
        int, msgspec.Meta(ge=1, le=3_600_000)
    ] = 30_000


class RecordGroup(msgspec.Struct, frozen=True, array_like=True):
    """Agents that keep the run records of one service in one epoch.

    Attributes:
        service: name of the service.
        epoch: number of the group, raised at each change.
        members: agent name and incarnation of each member.
        previous: members of the epoch before, whose seals are needed.
    """

    service: str
    epoch: int
    members: tuple["AgentIdentity", ...]
    previous: tuple["AgentIdentity", ...] = ()


class AgentIdentity(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One life of an agent process: a restart has a new incarnation."""

    name: str
    incarnation: int


class Configuration(msgspec.Struct, frozen=True):
    """One accepted version of the declared services.

    Attributes:
        version: 1 for the first accepted file; 0 means none.
        services: declared services, in order of name.
        record_groups: record group of each service, raised by control
            without a new file.
        record_revision: number of the latest change of record groups or
            drained agents; never falls, also when the version rises.
        drained_agents: names of agents that operators drain, in order.
    """

    version: int = 0
    services: tuple[Service, ...] = ()
    record_groups: tuple[RecordGroup, ...] = ()
    record_revision: int = 0
    drained_agents: tuple[str, ...] = ()


class TargetState(enum.StrEnum):
    """Life cycle of a target as its agent announces it."""

    JOINING = "joining"
    READY = "ready"
    DRAINING = "draining"
    SUSPECT = "suspect"
    LEFT = "left"


class TargetAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """Newest known statement about one target.

    Attributes:
        service: service that the target serves.
        agent: name of the agent beside it, unique within the system.
        incarnation: wall clock milliseconds at the start of the agent.
        sequence: raised by the agent at each change within an incarnation.
        address: UDP address of the agent.
        availability_zone: where the target is.
        state: life cycle state.
        weight: relative share of new flows, 1.0 for a usual target.
    """

    service: str
    agent: str
    incarnation: int
    sequence: int
    address: Endpoint
    availability_zone: str
    state: TargetState
    weight: float = 1.0

    @property
    def identity(self) -> AgentIdentity:
        """Return the agent's name and incarnation."""
        return AgentIdentity(self.agent, self.incarnation)

    @property
    def order(self) -> tuple[int, int]:
        """Return the value by which the newer announcement is chosen."""
        return (self.incarnation, self.sequence)
