"""Replicated commands and their outcomes."""

import enum
import typing

import msgspec

from egretfork import model
from egretfork.passthrough import routing


class Apply(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Put a new list of services in force.

    Attributes:
        request_id: chosen by the client, the same in every resend.
        base_version: version that the operator started from.
        author: who submits, for operators.
        submitted_ms: wall clock of the client, for operators.
    """

    request_id: str
    base_version: int
    author: str
    submitted_ms: int
    services: tuple[model.Service, ...]


class Drain(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Mark an agent as draining, or take the mark back."""

    request_id: str
    author: str
    submitted_ms: int
    agent: str
    cancel: bool = False


class ForgetNode(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """No longer wait for a dead node to confirm versions."""

    request_id: str
    author: str
    submitted_ms: int
    node: str


class RegisterNodes(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Nodes that have to confirm versions from here on.

    Attributes:
        seen: nodes with the version that each has confirmed.
    """

    confirmed: tuple["NodeVersion", ...]


class NodeVersion(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Configuration version that a node has in force."""

    node: str
    version: int


class ReleaseAddresses(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Addresses whose release every known node has confirmed."""

    released: tuple["Quarantined", ...]


class Quarantined(msgspec.Struct, frozen=True, order=True, array_like=True):
    """An address that a service released in a version."""

    address: str
    service: str
    version: int


class SetRecordGroups(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """New epochs of record groups; an epoch that is not the next is void."""

    groups: tuple[model.RecordGroup, ...]


class Declare(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Put a declaration in force if its version is the highest so far.

    A version that is not higher changes nothing, so that a declaration may
    be sent again at any time.
    """

    declaration: routing.Declaration


OperatorCommand = Apply | Drain | ForgetNode
LeaderCommand = RegisterNodes | ReleaseAddresses | SetRecordGroups
Command = OperatorCommand | Declare | LeaderCommand


class OutcomeKind(enum.StrEnum):
    """How a command of an operator ended."""

    ACCEPTED = "accepted"
    REFUSED = "refused"


class Outcome(msgspec.Struct, frozen=True):
    """First and only result of a request identity.

    Attributes:
        version: version in force by this request if accepted, otherwise
            the newest version at that time.
        action: kind of command, for operators.
    """

    request_id: str
    kind: OutcomeKind
    version: int
    action: str
    author: str
    submitted_ms: int
    reason: str = ""
    detail: str = ""


_DECODER: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(
    Command
)


def encode(command: Command) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode(command)


def decode(data: bytes) -> Command:
    """Decode a command of the log.

    Raises:
        msgspec.MsgspecError: the bytes are not a command of this release.
    """
    return typing.cast(Command, _DECODER.decode(data))
