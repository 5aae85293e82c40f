"""Messages between entries, agents and control for passed-through flows.

Messages are encoded as MessagePack arrays in UDP datagrams. New fields are
added only at the end and with a default.
"""

import collections.abc
import enum
import ipaddress
import struct
import typing

import msgspec

from egretfork import decoding
from egretfork import model
from egretfork.passthrough import packets
from egretfork.passthrough import routing
from egretfork import reasons

Version = typing.Annotated[
    int, msgspec.Meta(ge=routing.NO_VERSION, le=decoding.MAX_NUMBER)
]


class Role(enum.StrEnum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class PacketDelivery(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Entry or agent to agent: a caller's packet for the agent's target.

    Attributes:
        service: service that the flow belongs to.
        data: the packet.
        accept_when_busy: let a new flow wait for as long as agents permit.
        trial: no agent is known to hold the flow. The sender keeps the
            packet, so that it need not be returned.
        max_wait_ms: longest acceptable wait of a new flow for a slot.
    """

    service: str
    data: bytes
    accept_when_busy: bool = False
    trial: bool = False
    max_wait_ms: decoding.Milliseconds = 0


class FlowOpened(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Agent to entry or agent: the agent's target holds a flow."""

    flow: packets.FlowKey


class DeclineReason(enum.StrEnum):
    """Why an agent declined to open a flow."""

    UNKNOWN_TARGET = "unknown_target"
    WRONG_SERVICE = "wrong_service"
    LEAVING = "leaving"
    TARGET_FULL = "target_full"
    TARGET_BUSY = "target_busy"


class FlowDeclined(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Agent to entry: the first packet of a flow was not accepted.

    Attributes:
        wait_ms: how long the flow would have waited for a slot.
    """

    flow: packets.FlowKey
    reason: DeclineReason
    data: bytes
    wait_ms: decoding.Milliseconds = 0


class FlowNotHeld(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reply to ``PacketDelivery``: the target does not hold the flow.

    Attributes:
        data: the packet; empty if it was a trial.
    """

    flow: packets.FlowKey
    data: bytes


class FlowQuery(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Agent to agent: asks whether the agent's target holds a flow.

    Attributes:
        services: services that may hold the flow; empty if any may.
    """

    flow: packets.FlowKey
    services: tuple[str, ...] = ()


class Holding(enum.StrEnum):
    """Whether an agent's target holds a flow.

    An agent that has restarted may be unsure until it has seen a packet of
    every flow of its target. It does not search its target for a flow of
    other services than its target's.
    """

    YES = "yes"
    NO = "no"
    UNSURE = "unsure"
    OTHER_SERVICE = "other_service"


class FlowQueryReply(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Agent to agent: reply to ``FlowQuery``."""

    flow: packets.FlowKey
    holding: Holding


class TargetState(enum.StrEnum):
    """State of an agent's target; determines what may be sent to it."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    ENDED = "ended"


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Agent to entries: state and load of its target.

    Attributes:
        incarnation: start time of the agent in ms since the Unix epoch.
        sequence: increases with every announcement of an incarnation.
        slots: number of requests that the target processes concurrently.
        flows: number of open flows.
        running: number of requests that wait for the first byte of their
            response.
        warmup_ms: remaining time in which the target is slow after its
            start.
        stopping: the agent process is about to end.
        period_ms: longest time until the next announcement.
        recent_load: number of recently opened flows, with a higher weight
            for flows that the target reset; decays within seconds.
        target_exited: the target process has exited, so the agent holds no
            flow.
        workload: averaged workload in open flows; agents of earlier versions
            do not announce it.
    """

    agent: str
    availability_zone: str
    incarnation: decoding.Timestamp
    sequence: decoding.Number
    service: str
    state: TargetState
    slots: decoding.Count = 1
    flows: decoding.Count = 0
    running: decoding.Count = 0
    warmup_ms: decoding.Milliseconds = 0
    stopping: bool = False
    period_ms: decoding.Milliseconds = 200
    recent_load: decoding.Load = 0.0
    target_exited: bool = False
    workload: decoding.Load | None = None


class NodeHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Node to control: the node is alive.

    Attributes:
        directory_checksum: checksum of the directory that the node has.
        wants_roster: the node has just started and requests the agent
            roster.
        deregister: the node stops permanently and holds no flow.
    """

    role: Role
    name: str
    directory_checksum: decoding.Number
    wants_roster: bool = False
    deregister: bool = False


class Directory(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Control to node: newest routing version, and changed addresses.

    Attributes:
        version: newest version that control knows to be committed.
        checksum: checksum of the complete list of addresses.
        controls: control processes; empty if the node has the addresses.
        entries: live entries; empty if the node has the addresses.
    """

    version: Version
    checksum: decoding.Number
    controls: tuple[model.Endpoint, ...] = ()
    entries: tuple[model.Endpoint, ...] = ()


class RoutingChunkRequest(
    msgspec.Struct, frozen=True, array_like=True, tag=10
):
    """Entry to control: requests a chunk of the newest routing."""

    version: Version
    offset: decoding.Count


class RoutingChunk(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Control to entry: a chunk of a compressed routing.

    Attributes:
        size: size of the whole compressed routing in bytes.
    """

    version: Version
    size: decoding.Count
    offset: decoding.Count
    data: bytes


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Control to control: asks the leader for membership.

    Attributes:
        identity: identity stored in the data folder.
        name: name from the settings.
        address: TCP address for connections of members.
    """

    identity: str
    name: str
    address: model.Endpoint


class RegisterFlow(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Entry to agent: registers the holder of a flow for other entries."""

    flow: packets.FlowKey
    holder: model.Endpoint


class LocateRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Entry to agent: asks the agent to locate the holder of a flow.

    Attributes:
        number: identifies the request in the reply.
        services: services that may hold the flow; empty if any may.
        agents: candidates, encoded by ``pack_endpoints``.
        data: a packet of the flow.
    """

    flow: packets.FlowKey
    number: decoding.Count
    services: tuple[str, ...]
    agents: bytes
    data: bytes


class LocateReply(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Agent to entry: reply to ``LocateRequest``.

    Attributes:
        held_nowhere: all candidates replied that they do not hold the flow.
        unresolved: candidates that did not answer or are unsure, encoded by
            ``pack_endpoints``.
        skipped: unsure candidates whose target is of another service,
            encoded in the same way.
    """

    flow: packets.FlowKey
    number: decoding.Count
    holder: model.Endpoint | None = None
    held_nowhere: bool = False
    unresolved: bytes = b""
    skipped: bytes = b""


class FlowWaiting(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Agent to entry: the flow waits at the agent for a slot."""

    flow: packets.FlowKey


class Roster(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Control to entry: agents that may run.

    Attributes:
        agents: addresses, encoded by ``pack_endpoints``.
    """

    agents: bytes


Message = (
    PacketDelivery
    | FlowOpened
    | FlowDeclined
    | FlowNotHeld
    | FlowQuery
    | FlowQueryReply
    | Announcement
    | NodeHeartbeat
    | Directory
    | RoutingChunkRequest
    | RoutingChunk
    | JoinRequest
    | RegisterFlow
    | LocateRequest
    | LocateReply
    | Roster
    | FlowWaiting
)

PACKED_ENDPOINT = struct.Struct("!IH")

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(
    Message
)


def encode(message: Message) -> bytes:
    """Encode one datagram."""
    return _ENCODER.encode(message)


def pack_endpoints(
    endpoints: collections.abc.Iterable[model.Endpoint],
) -> bytes:
    """Encode addresses as six bytes each."""
    return b"".join(
        PACKED_ENDPOINT.pack(packets.parse_host(endpoint.host), endpoint.port)
        for endpoint in endpoints
    )


def unpack_endpoints(data: bytes) -> tuple[model.Endpoint, ...]:
    """Decode addresses, ignoring an incomplete one at the end."""
    whole = len(data) - len(data) % PACKED_ENDPOINT.size
    return tuple(
        model.Endpoint(str(ipaddress.IPv4Address(host)), port)
        for host, port in PACKED_ENDPOINT.iter_unpack(data[:whole])
    )


def decode(data: bytes, peer: str) -> Message | reasons.Failure:
    """Decode one datagram."""
    try:
        return typing.cast(Message, _DECODER.decode(data))
    except decoding.UNREADABLE as error:
        return reasons.Failure(
            "decode message", peer, reasons.Drop.MALFORMED, str(error)
        )
