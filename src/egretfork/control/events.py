"""Events and actions of the consensus core.

The shell carries out actions in the order given and stops at the first
that fails. A message is therefore sent only after everything before it is
on disk.
"""

import dataclasses

from egretfork.control import entries
from egretfork import reasons


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from another member."""

    sender: str
    sequence: int
    message: entries.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """A command to append to the log, if this member leads."""

    token: int
    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadProposed:
    """A read that must see every command answered before it."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberAdded:
    """Add a learner."""

    token: int
    member: entries.Member


@dataclasses.dataclass(frozen=True, slots=True)
class MemberPromoted:
    """Give a learner that has caught up a vote."""

    token: int
    identity: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRemoved:
    """Remove a member."""

    token: int
    identity: str


MemberChange = MemberAdded | MemberPromoted | MemberRemoved


@dataclasses.dataclass(frozen=True, slots=True)
class Resigned:
    """The process is about to stop; another member is to lead."""


@dataclasses.dataclass(frozen=True, slots=True)
class Compacted:
    """The state machine encoded its state after the entry at ``index``."""

    index: int
    state: bytes


Event = (
    Tick
    | Received
    | Proposed
    | ReadProposed
    | MemberChange
    | Compacted
    | Resigned
)


@dataclasses.dataclass(frozen=True, slots=True)
class SaveVote:
    """Replace the vote file."""

    sequence: int
    vote: entries.Vote


@dataclasses.dataclass(frozen=True, slots=True)
class SaveEntries:
    """Append to the segment; first remove entries from ``first`` on.

    Attributes:
        commit: last entry known to be committed, which a start relies on.
    """

    sequence: int
    first: int
    added: tuple[entries.Entry, ...]
    commit_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replace the snapshot file, then the segment by ``tail``."""

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
    """Entries that are committed and may be applied."""

    added: tuple[entries.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InstallState:
    """Replace the state machine by a snapshot's."""

    snapshot: entries.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """A proposal is in the log at this position, not yet committed."""

    token: int
    index: int
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChangeRefused:
    """A change of members that was not appended."""

    token: int
    reason: reasons.ControlRefusal
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """A proposal that was not appended because this member does not lead."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """All commands answered before the read was proposed are applied."""

    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipLost:
    """Results of proposals in flight are unknown from here on."""


@dataclasses.dataclass(frozen=True, slots=True)
class RollbackDetected:
    """A peer has seen a later write of this member than its disk holds."""

    peer: str
    own_sequence: int
    observed_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class SavePeerSequences:
    """Replace the file of the write sequences seen of other members.

    This write has no sequence of its own: members would otherwise answer
    each other's writes with writes without end.
    """

    peer_sequences: tuple[entries.PeerSequence, ...]


Save = SaveVote | SaveEntries | SaveSnapshot | SavePeerSequences

Action = (
    Save
    | Send
    | Commit
    | InstallState
    | Appended
    | MemberChangeRefused
    | NotLeader
    | ReadReady
    | LeadershipLost
    | RollbackDetected
)
