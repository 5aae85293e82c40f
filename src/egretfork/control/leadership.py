"""Replication state that a leader keeps for the other members."""

import dataclasses
import datetime

from egretfork.control import entries
from egretfork.control import log

MAX_APPEND_BYTES = 256 * 1024
PEER_SEQUENCES_EVERY_ROUNDS = 4


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication state of one other member.

    Attributes:
        next_index: index of the next entry to send.
        match_index: index of the last entry known to be on the member's
            disk.
        last_contact: time of the latest reply.
        last_heard: time of the latest message of any kind.
        last_caught_up: time of the latest reply that showed all entries up
            to ``target_index`` to be on the member's disk.
        target_index: commit index at that time, to be reached next.
        acknowledged: number of the latest message that was replied to.
        reset_number: number of the latest message sent when ``next_index``
            was last moved back. Rejections of messages up to this number
            are outdated.
    """

    next_index: int
    last_contact: datetime.timedelta
    last_heard: datetime.timedelta
    last_caught_up: datetime.timedelta
    target_index: int = 0
    match_index: int = 0
    acknowledged: int = 0
    reset_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A linearizable read that waits for a quorum to confirm the leader.

    Attributes:
        number: number of the latest message sent before the read.
        index: entry that has to be committed before the read is answered.
    """

    token: int
    number: int
    index: int


class Leadership:
    """State of a leader during one term.

    Attributes:
        number: number of the latest message sent.
        term_start_index: index of the first entry of this term.
        peers: replication state of the other members by identity.
        reads: reads that are not answered yet.
    """

    def __init__(
        self, identity: str, log: log.Log, now: datetime.timedelta
    ) -> None:
        self._identity = identity
        self._log = log
        self._round = 0
        self.number = 0
        self.term_start_index = log.last_index + 1
        self.peers: dict[str, Progress] = {}
        self.reads: list[PendingRead] = []
        self.update_peers(now)

    def update_peers(self, now: datetime.timedelta) -> None:
        """Update the tracked peers to the latest membership."""
        member_identities = entries.list_identities(self._log.members)
        self.peers = {
            identity: self.peers.get(
                identity, Progress(self._log.last_index + 1, now, now, now)
            )
            for identity in sorted(member_identities - {self._identity})
        }

    def record_silence(self, identity: str, since: datetime.timedelta) -> None:
        """Note that a member has not been heard since a given time."""
        peer = self.peers.get(identity)
        if peer is not None:
            peer.last_heard = since

    def record_message(self, identity: str, now: datetime.timedelta) -> None:
        """Note that a member sent a message of any kind."""
        peer = self.peers.get(identity)
        if peer is not None:
            peer.last_heard = now

    def start_heartbeat_round(self) -> bool:
        """Count a heartbeat round.

        Returns:
            Whether the heartbeats of this round carry sequence numbers.
        """
        self._round += 1
        return self._round % PEER_SEQUENCES_EVERY_ROUNDS == 1

    def build_message(
        self,
        identity: str,
        term: int,
        commit_index: int,
        peer_sequences: tuple[entries.PeerSequence, ...],
    ) -> entries.AppendRequest | entries.SnapshotRequest:
        """Return the next message to a peer.

        Advances ``next_index`` on the assumption that the message arrives;
        a rejection of a later message moves it back.
        """
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
            peer.next_index, self._log.last_index, MAX_APPEND_BYTES
        )
        peer.next_index += len(added)
        return entries.AppendRequest(
            term=term,
            previous_index=previous,
            previous_term=previous_term,
            commit_index=commit_index,
            number=self.number,
            entries=added,
            peer_sequences=peer_sequences,
        )

    def record_reply(
        self,
        identity: str,
        reply: entries.AppendReply,
        commit_index: int,
        now: datetime.timedelta,
    ) -> bool:
        """Process a reply; return whether to send the peer a message."""
        peer = self.peers.get(identity)
        if peer is None:
            return False
        peer.last_contact = now
        peer.acknowledged = max(peer.acknowledged, reply.number)
        if reply.success:
            peer.match_index = max(peer.match_index, reply.index)
            peer.next_index = max(peer.next_index, reply.index + 1)
            if peer.match_index >= peer.target_index:
                peer.last_caught_up = now
                peer.target_index = commit_index
            return peer.next_index <= self._log.last_index
        if reply.number <= peer.reset_number:
            return False
        peer.reset_number = self.number
        peer.next_index = max(reply.index, peer.match_index) + 1
        return True

    def find_commit_index(self) -> int:
        """Return the last index that a majority of voters has stored."""
        voters = entries.list_voters(self._log.members)
        if not voters:
            return 0
        matched = sorted(
            (self._match_index_of(identity) for identity in voters),
            reverse=True,
        )
        return matched[len(voters) // 2]

    def _match_index_of(self, identity: str) -> int:
        if identity == self._identity:
            return self._log.last_index
        return self.peers[identity].match_index

    def has_quorum_contact(
        self,
        members: tuple[entries.Member, ...],
        since: datetime.timedelta,
    ) -> bool:
        """Return whether a majority of voters replied since a given time."""
        voters = entries.list_voters(members)
        reached = sum(
            identity == self._identity
            or self._has_replied_since(identity, since)
            for identity in voters
        )
        return reached > len(voters) // 2

    def _has_replied_since(
        self, identity: str, since: datetime.timedelta
    ) -> bool:
        peer = self.peers.get(identity)
        return peer is not None and peer.last_contact >= since

    def find_successor(self, members: tuple[entries.Member, ...]) -> str:
        """Return the voter with the highest match index, empty if none."""
        voters = entries.list_voters(members)
        peers = [item for item in self.peers.items() if item[0] in voters]
        best = max(
            peers,
            key=lambda item: (item[1].match_index, item[1].last_contact),
            default=None,
        )
        return best[0] if best else ""

    def is_caught_up(self, identity: str, commit_index: int) -> bool:
        """Return whether a peer has stored all committed entries."""
        peer = self.peers.get(identity)
        return peer is not None and peer.match_index >= commit_index

    def pop_confirmed_reads(self, applied: int) -> list[int]:
        """Remove the reads that a quorum has confirmed, return the tokens."""
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
