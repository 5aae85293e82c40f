"""Events and actions of the consensus core.

The shell executes actions in the given order and stops at the first failure.
A message is therefore sent only after all preceding writes are durable.
"""

import dataclasses

from egretfork.control import entries
from egretfork import reasons


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that checks the timers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message arrived from another member."""

    sender: str
    sequence: int
    message: entries.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """A command to append to the log if this member is the leader."""

    token: int
    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """A read that must observe all commands answered before it."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class AddMemberProposed:
    """Add a learner."""

    token: int
    member: entries.Member


@dataclasses.dataclass(frozen=True, slots=True)
class PromoteMemberProposed:
    """Promote a learner that has caught up to a voter."""

    token: int
    identity: str


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveMemberProposed:
    """Remove a member."""

    token: int
    identity: str


MembershipChange = (
    AddMemberProposed | PromoteMemberProposed | RemoveMemberProposed
)


@dataclasses.dataclass(frozen=True, slots=True)
class Resigned:
    """Transfer the leadership."""


@dataclasses.dataclass(frozen=True, slots=True)
class Departing:
    """The process is about to stop; ask to be replaced as a voter."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotCreated:
    """The state machine encoded its state as of the entry at ``index``."""

    index: int
    state: bytes


Event = (
    Tick
    | Received
    | Proposed
    | ReadRequested
    | MembershipChange
    | SnapshotCreated
    | Resigned
    | Departing
)


@dataclasses.dataclass(frozen=True, slots=True)
class SaveVote:
    """Replace the vote file."""

    sequence: int
    vote: entries.Vote


@dataclasses.dataclass(frozen=True, slots=True)
class SaveEntries:
    """Truncate the log at ``first`` and append to the segment.

    Attributes:
        commit_index: last entry known to be committed. The next start
            applies the entries up to it.
    """

    sequence: int
    first: int
    added: tuple[entries.Entry, ...]
    commit_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replace the snapshot file, then the segment with ``tail``."""

    sequence: int
    snapshot: entries.Snapshot
    tail: tuple[entries.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    receiver: str
    message: entries.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Apply entries that have been committed."""

    added: tuple[entries.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstallState:
    """Replace the state machine with the state of a snapshot."""

    snapshot: entries.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """A proposal was appended at this index and is not yet committed."""

    token: int
    index: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipChangeRefused:
    """A membership change was refused and not appended."""

    token: int
    reason: reasons.ControlRefusal
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """A proposal was not appended because this member is not the leader."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """All commands answered before the read was requested are applied."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipLost:
    """The member lost leadership; results of open proposals are unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveReceived:
    """A member that is about to stop asked this leader to be replaced."""

    identity: str


@dataclasses.dataclass(frozen=True, slots=True)
class RollbackDetected:
    """A peer knows a later write of this member than its disk contains."""

    peer: str
    own_sequence: int
    observed_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class SavePeerSequences:
    """Replace the file of the write sequence numbers of other members.

    This write has no sequence number of its own. Otherwise each write of a
    member would trigger a write on its peers, in an endless loop.
    """

    peer_sequences: tuple[entries.PeerSequence, ...]


Save = SaveVote | SaveEntries | SaveSnapshot | SavePeerSequences

Action = (
    Save
    | Send
    | Commit
    | InstallState
    | Appended
    | MembershipChangeRefused
    | NotLeader
    | ReadReady
    | LeadershipLost
    | LeaveReceived
    | RollbackDetected
)
