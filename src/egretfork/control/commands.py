"""Replicated commands and their outcomes."""

import enum
import typing

import msgspec

from egretfork import model
from egretfork.passthrough import routing


class Apply(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Replace the list of services.

    Attributes:
        request_id: chosen by the client, the same in all retries.
        base_version: version that the new list is based on.
        author: submitting operator, shown to operators only.
        submitted_ms: wall clock time of the client, shown to operators only.
    """

    request_id: str
    base_version: int
    author: str
    submitted_ms: int
    services: tuple[model.Service, ...]


class Drain(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Mark an agent as draining, or remove the mark."""

    request_id: str
    author: str
    submitted_ms: int
    agent: str
    cancel: bool = False


class ForgetNode(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Stop waiting for version confirmations of a dead node."""

    request_id: str
    author: str
    submitted_ms: int
    node: str


class RegisterNodes(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Register nodes that have to confirm versions from now on.

    Attributes:
        confirmed: the nodes, with the version that each has confirmed.
    """

    confirmed: tuple["NodeVersion", ...]


class NodeVersion(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Configuration version that a node has confirmed."""

    node: str
    version: int


class ReleaseAddresses(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """End the quarantine of addresses whose release all nodes confirmed."""

    released: tuple["QuarantinedAddress", ...]


class QuarantinedAddress(
    msgspec.Struct, frozen=True, order=True, array_like=True
):
    """A released address that must not be reassigned yet.

    Attributes:
        service: service that released the address.
        version: configuration version that released the address.
    """

    address: str
    service: str
    version: int


class SetRecordGroups(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Set new epochs of record groups; only the next epoch takes effect."""

    groups: tuple[model.RecordGroup, ...]


class Declare(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Set the declaration if its version is the highest so far.

    Other versions have no effect, so a declaration can be retried at any
    time.
    """

    declaration: routing.Declaration


OperatorCommand = Apply | Drain | ForgetNode
LeaderCommand = RegisterNodes | ReleaseAddresses | SetRecordGroups
Command = OperatorCommand | Declare | LeaderCommand


class OutcomeKind(enum.StrEnum):
    """Result of an operator command."""

    ACCEPTED = "accepted"
    REFUSED = "refused"


class Outcome(msgspec.Struct, frozen=True):
    """Result of a request, the same for all its retries.

    Attributes:
        version: latest version after the request was applied; an accepted
            ``Apply`` creates it.
        action: kind of command, shown to operators only.
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
    """Decode a command from the log.

    Raises:
        msgspec.MsgspecError: this release does not know the command.
    """
    return typing.cast(Command, _DECODER.decode(data))
