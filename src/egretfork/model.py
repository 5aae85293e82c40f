"""Data shared by all roles: services, configurations, announcements."""

import enum
import ipaddress
import typing

import msgspec

from egretfork import decoding


class Endpoint(msgspec.Struct, frozen=True, order=True, array_like=True):
    """UDP or TCP endpoint: IPv4 address and port."""

    host: str
    port: decoding.Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_endpoint(text: str) -> Endpoint:
    """Parse ``host:port`` with an IPv4 host.

    Raises:
        ValueError: the text is not an IPv4 address and a port.
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
        slots: requests that one target runs concurrently.
        connections: maximum number of flows of one target.
        queue: maximum number of requests queued at one agent.
        cold_start_ms: time until a new target receives its full share.
        default_deadline_ms: deadline of a request without one.
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
        epoch: number of the group, incremented at each change.
        members: agents that keep the records in this epoch.
        previous: members of the previous epoch, whose seals are required.
    """

    service: str
    epoch: int
    members: tuple["AgentIdentity", ...]
    previous: tuple["AgentIdentity", ...] = ()


class AgentIdentity(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Agent process; each restart has a new incarnation."""

    name: str
    incarnation: int


class Configuration(msgspec.Struct, frozen=True):
    """One accepted version of the declared services.

    Attributes:
        version: 1 for the first accepted file; 0 means none.
        services: declared services, sorted by name.
        record_groups: record group of each service, changed by control
            without a new file.
        record_revision: number of the latest change of record groups or
            drained agents; never decreases, even when the version increases.
        drained_agents: sorted names of the agents that operators drain.
    """

    version: int = 0
    services: tuple[Service, ...] = ()
    record_groups: tuple[RecordGroup, ...] = ()
    record_revision: int = 0
    drained_agents: tuple[str, ...] = ()


class TargetState(enum.StrEnum):
    """Life cycle state of a target, as announced by its agent."""

    JOINING = "joining"
    READY = "ready"
    DRAINING = "draining"
    SUSPECT = "suspect"
    LEFT = "left"


class TargetAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """Announcement of the state of one target.

    Attributes:
        service: service that the target serves.
        agent: name of its agent, unique within the system.
        incarnation: start time of the agent, Unix time in milliseconds.
        sequence: incremented at each change within an incarnation.
        address: UDP address of the agent.
        availability_zone: availability zone of the target.
        state: life cycle state.
        weight: relative share of new flows, 1.0 by default.
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
        """Return the sort key; the newer announcement has the larger one."""
        return (self.incarnation, self.sequence)
