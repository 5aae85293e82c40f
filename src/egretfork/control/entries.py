"""Log entries, members, snapshots and the messages between members.

Members exchange these messages as MessagePack arrays over TCP. To stay
compatible, add new fields only at the end and with a default value.
"""

import msgspec

from egretfork import model


class Member(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A control process, identified by its data folder.

    Attributes:
        identity: generated when the data folder was initialised.
        name: name from the settings, shown to operators.
        address: TCP address of the process.
        voter: whether the member is a voter or a learner.
    """

    identity: str
    name: str
    address: model.Endpoint
    voter: bool


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    Attributes:
        index: position in the log, starting at 1.
        term: term of the leader that appended the entry.
        command: encoded command; empty in the first entry of a term and in
            a membership change.
        members: all members from this entry on, for a membership change.
    """

    index: int
    term: int
    command: bytes = b""
    members: tuple[Member, ...] | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the entry at ``index``; replaces the log up to there."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()
    state: bytes = b""


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Current term and the identity of the candidate voted for in it."""

    term: int = 0
    voted_for: str = ""


class PeerSequence(msgspec.Struct, frozen=True, array_like=True):
    """Highest write sequence number known of a member."""

    identity: str
    sequence: int


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests a vote or a pre-vote.

    Attributes:
        transfer: the leader transferred its leadership to the sender.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply to a vote request; has the term of the request if granted."""

    term: int
    granted: bool
    pre_vote: bool


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Entries that follow ``previous_index``; none in a heartbeat.

    Attributes:
        number: incremented by the leader per message, echoed in the reply.
        peer_sequences: write sequence numbers of the members, in some
            heartbeats.
    """

    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    number: int
    entries: tuple[Entry, ...] = ()
    peer_sequences: tuple[PeerSequence, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reply to an append or snapshot request.

    Attributes:
        index: on success, the last index known to match the leader's log;
            otherwise the last index that may match.
    """

    term: int
    success: bool
    index: int
    number: int


class SnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Snapshot for a member whose next entry is already compacted."""

    term: int
    number: int
    snapshot: Snapshot


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Requests the sender's write sequence number known to the receiver."""

    sequence: int


class HelloReply(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """What the sender knows of the receiver and of the group.

    Members of earlier releases send the sequence number only.

    Attributes:
        sequence: highest write sequence number of the receiver.
        last_term: term of the last entry of the sender's log.
        last_index: index of that entry.
        members: latest membership in that log.
    """

    sequence: int
    last_term: int = 0
    last_index: int = 0
    members: tuple[Member, ...] = ()

    @property
    def position(self) -> tuple[int, int]:
        """Return the end of the sender's log; a later one is higher."""
        return self.last_term, self.last_index


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Transfers leadership: the receiver starts an election immediately."""

    term: int


class Leave(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Tells the leader that the sender's process is about to stop."""


class LeaveReply(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Reply to a member that is about to stop.

    Attributes:
        may_stop: whether the receiver is no longer a voter, or no other
            member can take its place.
    """

    may_stop: bool


PeerMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | Hello
    | HelloReply
    | TimeoutNow
    | Leave
    | LeaveReply
)

ReplyMessage = VoteReply | AppendReply | HelloReply | LeaveReply


class Envelope(msgspec.Struct, frozen=True, array_like=True, tag="peer"):
    """A message between members.

    Attributes:
        sender: identity of the sending member.
        receiver: identity of the intended receiver; other members discard
            the message.
        sequence: write sequence number of the sender.
    """

    sender: str
    receiver: str
    sequence: int
    message: PeerMessage


def list_identities(members: tuple[Member, ...]) -> frozenset[str]:
    """Return the identities of members."""
    return frozenset(member.identity for member in members)


def list_voters(members: tuple[Member, ...]) -> frozenset[str]:
    """Return the identities of the members that are voters."""
    return frozenset(member.identity for member in members if member.voter)
