"""What a leader knows of the other members, and what follows from it."""

import dataclasses
import datetime

from egretfork.control import entries
from egretfork.control import log

APPEND_LIMIT_BYTES = 256 * 1024
SEEN_EVERY_ROUNDS = 4


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication state of one other member.

    Attributes:
        next_index: first entry to send next.
        match_index: last entry known to be on the member's disk.
        last_contact: instant of the latest reply.
        acknowledged: number of the latest message replied to.
        reset_number: replies to messages up to this one are outdated
            statements about missing entries.
    """

    next_index: int
    last_contact: datetime.timedelta
    match_index: int = 0
    acknowledged: int = 0
    reset_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits for a quorum to confirm the leader."""

    token: int
    number: int
    index: int


class Leadership:
    """State of one leader in one term."""

    def __init__(
        self, identity: str, log: log.Log, now: datetime.timedelta
    ) -> None:
        self._identity = identity
        self._log = log
        self._round = 0
        self.number = 0
        self.first_index = log.last_index + 1
        self.peers: dict[str, Progress] = {}
        self.reads: list[PendingRead] = []
        self.follow_members(now)

    def follow_members(self, now: datetime.timedelta) -> None:
        """Track the peers of the newest membership."""
        wanted = entries.list_identities(self._log.members)
        self.peers = {
            identity: self.peers.get(
                identity, Progress(self._log.last_index + 1, now)
            )
            for identity in sorted(wanted - {self._identity})
        }

    def start_round(self) -> bool:
        """Count a heartbeat; return whether it carries sequences."""
        self._round += 1
        return self._round % SEEN_EVERY_ROUNDS == 1

    def build_message(
        self,
        identity: str,
        term: int,
        commit: int,
        seen: tuple[entries.SeenSequence, ...],
    ) -> entries.AppendRequest | entries.SnapshotRequest:
        """Return the next message to a peer and expect it to arrive."""
        peer = self.peers[identity]
        self.number += 1
        previous = peer.next_index - 1
        previous_term = self._log.term_at(previous)
        if previous_term is None:
            peer.next_index = self._log.snapshot.index + 1
            return entries.SnapshotRequest(
                term, self.number, self._log.snapshot
            )
        added = self._log.read(
            peer.next_index, self._log.last_index, APPEND_LIMIT_BYTES
        )
        peer.next_index += len(added)
        return entries.AppendRequest(
            term=term,
            previous_index=previous,
            previous_term=previous_term,
            commit=commit,
            number=self.number,
            entries=added,
            seen=seen,
        )

    def record_reply(
        self,
        identity: str,
        reply: entries.AppendReply,
        now: datetime.timedelta,
    ) -> bool:
        """Note a reply; return whether the peer needs another message."""
        peer = self.peers.get(identity)
        if peer is None:
            return False
        peer.last_contact = now
        peer.acknowledged = max(peer.acknowledged, reply.number)
        if reply.success:
            peer.match_index = max(peer.match_index, reply.index)
            peer.next_index = max(peer.next_index, reply.index + 1)
            return peer.next_index <= self._log.last_index
        if reply.number <= peer.reset_number:
            return False
        peer.reset_number = self.number
        peer.next_index = max(reply.index, peer.match_index) + 1
        return True

    def find_commit_index(self) -> int:
        """Return the last index on the disks of a majority of voters."""
        voters = entries.list_voters(self._log.members)
        if not voters:
            return 0
        matched = sorted(
            (self._matched(identity) for identity in voters), reverse=True
        )
        return matched[len(voters) // 2]

    def _matched(self, identity: str) -> int:
        if identity == self._identity:
            return self._log.last_index
        return self.peers[identity].match_index

    def has_contact(
        self,
        members: tuple[entries.Member, ...],
        since: datetime.timedelta,
    ) -> bool:
        """Return whether a majority of voters replied since an instant."""
        voters = entries.list_voters(members)
        reached = sum(
            identity == self._identity or self._was_reached(identity, since)
            for identity in voters
        )
        return reached > len(voters) // 2

    def _was_reached(self, identity: str, since: datetime.timedelta) -> bool:
        peer = self.peers.get(identity)
        return peer is not None and peer.last_contact >= since

    def find_successor(self, members: tuple[entries.Member, ...]) -> str:
        """Return the voter with the newest entries, empty if none."""
        voters = entries.list_voters(members)
        peers = [item for item in self.peers.items() if item[0] in voters]
        best = max(
            peers,
            key=lambda item: (item[1].match_index, item[1].last_contact),
            default=None,
        )
        return best[0] if best else ""

    def is_caught_up(self, identity: str, commit: int) -> bool:
        """Return whether a peer holds every committed entry."""
        peer = self.peers.get(identity)
        return peer is not None and peer.match_index >= commit

    def take_reads(self, applied: int) -> list[int]:
        """Remove and return the reads that a quorum has confirmed."""
        voters = entries.list_voters(self._log.members)
        ready = [
            read
            for read in self.reads
            if read.index <= applied and self._is_confirmed(read, voters)
        ]
        self.reads = [read for read in self.reads if read not in ready]
        return [read.token for read in ready]

    def _is_confirmed(self, read: PendingRead, voters: frozenset[str]) -> bool:
        confirmed = sum(
            identity == self._identity
            or self.peers[identity].acknowledged > read.number
            for identity in voters
        )
        return confirmed > len(voters) // 2
