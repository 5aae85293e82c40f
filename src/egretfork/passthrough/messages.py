"""Messages between entries, agents and control about passed-through flows.

They travel as MessagePack arrays in UDP datagrams. Fields are added only at
the end and with a default.
"""

import collections.abc
import enum
import ipaddress
import struct
import typing

import msgspec

from egretfork import model
from egretfork.passthrough import packets
from egretfork import reasons


class Role(enum.StrEnum):
    """Kind of process."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class Deliver(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Entry or agent to agent: a caller's packet for the agent's target.

    Attributes:
        service: service that the flow belongs to.
        data: the packet.
        insist: a new flow is wanted even if the target is busy.
        trial: nobody is known to hold the flow; the sender keeps the packet.
    """

    service: str
    data: bytes
    insist: bool = False
    trial: bool = False


class Opened(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Agent to entry or agent: the agent's target holds the flow."""

    flow: packets.FlowKey


class DeclineReason(enum.StrEnum):
    """Why an agent opened no flow."""

    UNKNOWN_TARGET = "unknown_target"
    WRONG_SERVICE = "wrong_service"
    LEAVING = "leaving"
    TARGET_FULL = "target_full"
    TARGET_BUSY = "target_busy"


class Declined(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Agent to entry: the first packet of a flow was not taken."""

    flow: packets.FlowKey
    reason: DeclineReason
    data: bytes


class NotHeld(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answer to ``Deliver``: the target does not hold the flow.

    Attributes:
        data: the packet; empty if it was a trial.
    """

    flow: packets.FlowKey
    data: bytes


class Find(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Agent to agents: asks whose target holds a flow.

    Attributes:
        services: services that may hold it; empty if any may.
    """

    flow: packets.FlowKey
    services: tuple[str, ...] = ()


class Holding(enum.StrEnum):
    """Whether an agent's target holds a flow."""

    YES = "yes"
    NO = "no"
    UNSURE = "unsure"


class Found(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Agent to agent: answer to ``Find``."""

    flow: packets.FlowKey
    holding: Holding


class TargetState(enum.StrEnum):
    """What may be sent to an agent's target."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    ENDED = "ended"


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Agent to entries: state and load of its target.

    Attributes:
        incarnation: start of the agent in ms since the Unix epoch.
        sequence: raised with every announcement of an incarnation.
        slots: requests that the target runs at a time.
        flows: open flows.
        running: requests that wait for the first byte of their answer.
        warmup_ms: how much longer the target is slow after its start.
        stopping: the agent's process is about to end.
        recent: flows opened lately, and more for each that the target
            broke off; fades within seconds.
        vacant: there is no target, so that the agent holds no flow.
        period_ms: time until the next announcement at the latest.
    """

    agent: str
    availability_zone: str
    incarnation: int
    sequence: int
    service: str
    state: TargetState
    slots: int = 1
    flows: int = 0
    running: int = 0
    warmup_ms: int = 0
    stopping: bool = False
    period_ms: int = 200
    recent: float = 0.0
    vacant: bool = False


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Node to control: the node is alive.

    Attributes:
        directory: checksum of the directory that the node holds.
        wants_roster: the node has just started and asks who runs.
        ends: the node stops, and holds no flow that others look for.
    """

    role: Role
    name: str
    directory: int
    wants_roster: bool = False
    ends: bool = False


class Directory(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Control to node: newest version, and addresses if they changed.

    Attributes:
        version: newest version that control knows to be committed.
        checksum: of the addresses that follow.
        controls: processes of control; empty if the node holds them.
        entries: entries heard lately; empty if the node holds them.
    """

    version: int
    checksum: int
    controls: tuple[model.Endpoint, ...] = ()
    entries: tuple[model.Endpoint, ...] = ()


class PieceRequest(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Entry to control: asks for a part of the newest routing."""

    version: int
    offset: int


class Piece(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Control to entry: a part of a compressed routing.

    Attributes:
        size: bytes of the whole.
    """

    version: int
    size: int
    offset: int
    data: bytes


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Control to control: asks the leader to be a member.

    Attributes:
        identity: identity of the data folder.
        name: name from the settings.
        address: TCP address for members.
    """

    identity: str
    name: str
    address: model.Endpoint


class Register(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Entry to agent: keep for other entries who holds a flow."""

    flow: packets.FlowKey
    holder: model.Endpoint


class Seek(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Entry to agent: asks to find out who holds a flow.

    Attributes:
        number: names the question in the answer.
        services: services that may hold the flow; empty if any may.
        agents: those that may hold it, see ``pack_endpoints``.
        data: a packet of the flow.
    """

    flow: packets.FlowKey
    number: int
    services: tuple[str, ...]
    agents: bytes
    data: bytes


class Sought(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Agent to entry: answer to ``Seek``.

    Attributes:
        nowhere: every agent asked surely does not hold the flow.
    """

    flow: packets.FlowKey
    number: int
    holder: model.Endpoint | None = None
    nowhere: bool = False


class Roster(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Control to entry: agents that may run.

    Attributes:
        agents: see ``pack_endpoints``.
    """

    agents: bytes


Message = (
    Deliver
    | Opened
    | Declined
    | NotHeld
    | Find
    | Found
    | Announcement
    | Greeting
    | Directory
    | PieceRequest
    | Piece
    | JoinRequest
    | Register
    | Seek
    | Sought
    | Roster
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
    """Encode addresses in six bytes each."""
    return b"".join(
        PACKED_ENDPOINT.pack(packets.parse_host(endpoint.host), endpoint.port)
        for endpoint in endpoints
    )


def unpack_endpoints(data: bytes) -> tuple[model.Endpoint, ...]:
    """Decode addresses; an incomplete one at the end is left out."""
    whole = len(data) - len(data) % PACKED_ENDPOINT.size
    return tuple(
        model.Endpoint(str(ipaddress.IPv4Address(host)), port)
        for host, port in PACKED_ENDPOINT.iter_unpack(data[:whole])
    )


def decode(data: bytes, peer: str) -> Message | reasons.Failure:
    """Decode one datagram."""
    try:
        return typing.cast(Message, _DECODER.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return reasons.Failure(
            "decode message", peer, reasons.Drop.MALFORMED, str(error)
        )
