"""Queries from the operator client and replies from control.

Each query and each reply is sent as one MessagePack frame over a DEALER
socket. A reply contains the number of its query.
"""

import enum
import typing

import msgspec

from egretfork.control import commands
from egretfork.control import entries
from egretfork import decoding
from egretfork import model
from egretfork.passthrough import routing
from egretfork import reasons


class Submit(msgspec.Struct, frozen=True, array_like=True, tag="submit"):
    """Execute a command."""

    number: int
    command: commands.OperatorCommand | commands.Declare


class Show(msgspec.Struct, frozen=True, array_like=True, tag="show"):
    """Read the latest configuration."""

    number: int


class ReadDeclaration(
    msgspec.Struct, frozen=True, array_like=True, tag="declaration"
):
    """Read the declaration with the highest version."""

    number: int


class History(msgspec.Struct, frozen=True, array_like=True, tag="history"):
    """Read outcomes; of one request if ``request_id`` is not empty."""

    number: int
    request_id: str = ""


class Status(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """Read the state of the process that receives the query."""

    number: int


class AddMember(msgspec.Struct, frozen=True, array_like=True, tag="add"):
    """Add a learner."""

    number: int
    member: entries.Member


class PromoteMember(
    msgspec.Struct, frozen=True, array_like=True, tag="promote"
):
    """Promote a learner to a voter."""

    number: int
    identity: str


class RemoveMember(msgspec.Struct, frozen=True, array_like=True, tag="remove"):
    """Remove a member."""

    number: int
    identity: str


Query = (
    Submit
    | Show
    | ReadDeclaration
    | History
    | Status
    | AddMember
    | PromoteMember
    | RemoveMember
)


class Redirect(msgspec.Struct, frozen=True, tag="redirect"):
    """This member is not the leader; the query had no effect.

    Attributes:
        leader: address of the leader, if known.
    """

    number: int
    leader: model.Endpoint | None


class Concluded(msgspec.Struct, frozen=True, tag="concluded"):
    """Result of a command."""

    number: int
    outcome: commands.Outcome


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="unknown"):
    """The command may or may not take effect."""

    number: int
    detail: str


class QueryRefused(msgspec.Struct, frozen=True, tag="refused"):
    """The query was refused and had no effect."""

    number: int
    reason: reasons.ControlRefusal
    detail: str


class MembersChanged(msgspec.Struct, frozen=True, tag="members_changed"):
    """A membership change was committed."""

    number: int
    members: tuple[entries.Member, ...]


class Shown(msgspec.Struct, frozen=True, tag="shown"):
    """Latest configuration and its author."""

    number: int
    configuration: model.Configuration
    author: str


class DeclarationRead(msgspec.Struct, frozen=True, tag="declaration_read"):
    """Declaration with the highest version."""

    number: int
    declaration: routing.Declaration


class HistoryRead(msgspec.Struct, frozen=True, tag="history_read"):
    """Outcomes, newest first."""

    number: int
    outcomes: tuple[commands.Outcome, ...]


class QuarantineStatus(msgspec.Struct, frozen=True):
    """A released address and the nodes that still block its reuse.

    Attributes:
        waiting_count: number of known nodes that have not confirmed the
            version that released the address.
        waiting_nodes: names of the first of these nodes.
    """

    quarantined: commands.QuarantinedAddress
    waiting_count: int
    waiting_nodes: tuple[str, ...]


class MemberStatus(enum.StrEnum):
    """Whether a process participates in the group."""

    ACTIVE = "active"
    UNVERIFIED = "unverified"
    ROLLED_BACK = "rolled_back"
    STORAGE_FAILED = "storage_failed"


class StatusRead(msgspec.Struct, frozen=True, tag="status_read"):
    """Local view of one control process.

    Attributes:
        behind_count: number of nodes that have not confirmed the latest
            version.
        behind_nodes: names of the first of these nodes.
    """

    number: int
    identity: str
    name: str
    status: MemberStatus
    detail: str
    role: str
    term: int
    leader: str
    version: int
    record_revision: int
    commit_index: int
    last_index: int
    members: tuple[entries.Member, ...]
    known_nodes: int
    forgotten_nodes: tuple[str, ...]
    drained_agents: tuple[str, ...]
    quarantine: tuple[QuarantineStatus, ...]
    behind_count: int = 0
    behind_nodes: tuple[str, ...] = ()


Reply = (
    Redirect
    | Concluded
    | OutcomeUnknown
    | QueryRefused
    | MembersChanged
    | Shown
    | DeclarationRead
    | HistoryRead
    | StatusRead
)

Incoming = entries.Envelope | Query

_INCOMING: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(
    Incoming
)
_REPLY: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(Reply)


def encode(message: entries.Envelope | Query | Reply) -> bytes:
    """Encode one frame."""
    return msgspec.msgpack.encode(message)


def decode_incoming(data: bytes, peer: str) -> Incoming | reasons.Failure:
    """Decode a frame received by control."""
    try:
        return typing.cast(Incoming, _INCOMING.decode(data))
    except decoding.UNREADABLE as error:
        return reasons.Failure(
            "decode frame", peer, reasons.Drop.MALFORMED, str(error)
        )


def decode_reply(data: bytes, peer: str) -> Reply | reasons.Failure:
    """Decode a frame received by a client."""
    try:
        return typing.cast(Reply, _REPLY.decode(data))
    except decoding.UNREADABLE as error:
        return reasons.Failure(
            "decode reply", peer, reasons.Drop.MALFORMED, str(error)
        )
