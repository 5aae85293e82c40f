"""Log entries, members, snapshots and the messages between members.

Members exchange these messages as MessagePack arrays over TCP. Fields are
added only at the end and with a default.
"""

import msgspec

from egretfork import model


class Member(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One control process with the identity of its data folder.

    Attributes:
        identity: made at random when the data folder was initialised.
        name: name from the settings, for operators.
        address: TCP address of the process.
        voter: whether it has a vote; a learner has none.
    """

    identity: str
    name: str
    address: model.Endpoint
    voter: bool


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        index: position, 1 for the first.
        term: term of the leader that appended it.
        command: encoded command; empty for the first entry of a term and
            for a change of members.
        members: all members from here on, if this changes them.
    """

    index: int
    term: int
    command: bytes = b""
    members: tuple[Member, ...] | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the entry at ``index``, which replaces the log so far."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    state: bytes = b""


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Current term and the identity voted for in it."""

    term: int = 0
    voted_for: str = ""


class PeerSequence(msgspec.Struct, frozen=True, array_like=True):
    """Highest write sequence that a member is known to have reached."""

    identity: str
    sequence: int


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote, or whether one would be given (pre-vote).

    Attributes:
        transfer: the leader asked the sender to take over.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a vote request; ``term`` is the one asked for if granted."""

    term: int
    granted: bool
    pre_vote: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries after ``previous_index``; none in a heartbeat.

    Attributes:
        number: raised by the leader for each message, echoed in the reply.
        seen: write sequences of all members, in some heartbeats.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    number: int
    entries: tuple[Entry, ...] = ()
    peer_sequences: tuple[PeerSequence, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Result of an append or of a snapshot.

    Attributes:
        index: last index known to match the leader's log if successful,
            otherwise the last index that may match.
    """

    term: int
    success: bool
    index: int
    number: int


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Snapshot for a member whose next entry the leader has compacted."""

    term: int
    number: int
    snapshot: Snapshot


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks what write sequence of the sender the receiver has seen."""

    sequence: int


class HelloReply(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Highest write sequence of the receiver that the sender has seen."""

    sequence: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A leader that stops asks the receiver to be elected at once."""

    term: int


PeerMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | Hello
    | HelloReply
    | TimeoutNow
)

ReplyMessage = VoteReply | AppendReply | HelloReply


class Envelope(msgspec.Struct, frozen=True, array_like=True, tag="peer"):
    """A message between members.

    Attributes:
        sender: identity of the sending member.
        receiver: identity that is addressed; others discard the message.
        sequence: write sequence of the sender.
    """

    sender: str
    receiver: str
    sequence: int
    message: PeerMessage


def list_identities(members: tuple[Member, ...]) -> frozenset[str]:
    """Return the identities of members."""
    return frozenset(member.identity for member in members)


def list_voters(members: tuple[Member, ...]) -> frozenset[str]:
    """Return the identities of the members that have a vote."""
    return frozenset(member.identity for member in members if member.voter)
