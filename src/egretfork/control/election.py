"""Elections with pre-vote, and detection of a rolled-back disk.

Write sequence numbers reveal a disk that was rolled back to an older image.
Each write of a member increments a number that is stored with the write and
included in every message. Members keep the highest number received from
each peer, and a leader distributes the numbers in its heartbeats and with
each change of the membership. After a start, a member does not participate
until a majority of voters, itself included, has reported the highest number
known for it. A number above the one on disk proves that writes on which
other members rely are lost. The member then stops permanently and has to
rejoin under a new identity.

The membership may have changed while the member was away. Replies therefore
include the membership that the sender's log holds, and the voters that count
are those of the most recent log among the member's own and those reported. A
member that knows no running one asks whoever sends it a message.

Members persist the numbers of their peers with a delay of up to
``PEER_SEQUENCES_SAVE_INTERVAL``. A rollback remains undetected only if
neither the responding peers nor a leader that they received numbers from
observed the later writes, or if all members that observed them stopped
within this delay.
"""

import abc
import dataclasses
import datetime
import enum
import random

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import leadership
from egretfork.control import log

HEARTBEAT_INTERVAL = datetime.timedelta(milliseconds=600)
PEER_SEQUENCES_SAVE_INTERVAL = datetime.timedelta(seconds=5)
ELECTION_TIMEOUT_MIN = datetime.timedelta(milliseconds=1500)
ELECTION_TIMEOUT_MAX = datetime.timedelta(milliseconds=3000)


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts of consensus; all members of a group use the same values.

    Attributes:
        heartbeat: interval between messages of an idle leader.
        election_timeout_min: lower bound of the random election timeout. A
            member ignores vote requests for this long after a message of
            its leader.
        election_timeout_max: upper bound of the random election timeout.
            A leader that no majority replied to for this long steps down.
        startup_timeout_min: lower bound of the random election timeout
            after the start of a process.
        startup_timeout_max: upper bound of that timeout.
    """

    heartbeat: datetime.timedelta = HEARTBEAT_INTERVAL
    election_timeout_min: datetime.timedelta = ELECTION_TIMEOUT_MIN
    election_timeout_max: datetime.timedelta = ELECTION_TIMEOUT_MAX
    startup_timeout_min: datetime.timedelta = ELECTION_TIMEOUT_MIN
    startup_timeout_max: datetime.timedelta = ELECTION_TIMEOUT_MAX


DEFAULT_TIMING = Timing()


class Role(enum.StrEnum):
    """Raft role of a member in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class ElectionBase(abc.ABC):
    """Term, vote and election handling of one member."""

    def __init__(
        self,
        identity: str,
        vote: entries.Vote,
        initial_log: log.Log,
        sequence: int,
        peer_sequences: tuple[entries.PeerSequence, ...],
        generator: random.Random,
        now: datetime.timedelta,
        timing: Timing = DEFAULT_TIMING,
        commit_index: int = 0,
    ) -> None:
        self._timing = timing
        self.identity = identity
        self.vote = vote
        self.log = initial_log
        self.sequence = sequence
        self.commit_index = max(initial_log.snapshot.index, commit_index)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leadership: leadership.Leadership | None = None
        self.peer_sequences = {
            item.identity: item.sequence for item in peer_sequences
        }
        self._saved_peer_sequences = peer_sequences
        self._next_peer_sequences_save = now + PEER_SEQUENCES_SAVE_INTERVAL
        self._hello_replies: set[str] = set()
        self._reported = entries.HelloReply(0)
        self.verified = self._has_majority_replied()
        self._votes: set[str] = set()
        self._pre_vote = True
        self._is_transfer = False
        self._generator = generator
        self._now = now
        self._last_leader = ""
        self._last_leader_contact = now - timing.election_timeout_min
        self._next_heartbeat = now
        self._election_deadline = now
        self._actions: list[events.Action] = []
        # A group of one also waits for the timeout. If its disk was rolled
        # back to an image made before other members joined, their leader
        # can make contact before this member elects itself.
        self._election_deadline = now + self._draw_duration(
            timing.startup_timeout_min, timing.startup_timeout_max
        )

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.vote.term

    @property
    def is_voter(self) -> bool:
        """Return whether this member is a voter in the latest membership."""
        return self.identity in entries.list_voters(self.log.members)

    @property
    def hello_replies(self) -> tuple[str, ...]:
        """Return the members that have replied since the start, sorted."""
        return tuple(sorted(self._hello_replies))

    @property
    def known_members(self) -> tuple[entries.Member, ...]:
        """Return the members of the group, as far as this member knows.

        They are the latest in its log, unless another member has reported a
        more recent log since the start.
        """
        own_position = (self.log.last_term, self.log.last_index)
        if self._reported.position > own_position:
            return self._reported.members
        return self.log.members

    # Timers

    def _send_hellos(self) -> None:
        if self._now < self._next_heartbeat:
            return
        self._next_heartbeat = self._now + self._timing.heartbeat
        others = entries.list_identities(self.known_members) - {self.identity}
        for identity in sorted(others):
            self._send_hello(identity)

    def _send_hello(self, identity: str) -> None:
        self._send(identity, entries.Hello(self.sequence))

    def _ask_unknown_sender(self, sender: str) -> None:
        """Ask a member that is new since this one stopped for the members."""
        known = entries.list_identities(self.known_members)
        if sender not in known and sender not in self._hello_replies:
            self._send_hello(sender)

    def _delay_election(self) -> None:
        timing = self._timing
        self._election_deadline = self._now + self._draw_duration(
            timing.election_timeout_min, timing.election_timeout_max
        )

    def _draw_duration(
        self, least: datetime.timedelta, most: datetime.timedelta
    ) -> datetime.timedelta:
        span = (most - least).total_seconds()
        return least + datetime.timedelta(
            seconds=self._generator.uniform(0, span)
        )

    # Write sequence numbers

    def _update_peer_sequence(self, identity: str, sequence: int) -> None:
        if identity != self.identity:
            highest = max(sequence, self.peer_sequences.get(identity, 0))
            self.peer_sequences[identity] = highest

    def _list_peer_sequences(self) -> tuple[entries.PeerSequence, ...]:
        members = entries.list_identities(self.log.members)
        return tuple(
            entries.PeerSequence(identity, sequence)
            for identity, sequence in sorted(self.peer_sequences.items())
            if identity in members
        )

    def _save_peer_sequences(self) -> None:
        if self._now < self._next_peer_sequences_save:
            return
        self._next_peer_sequences_save = (
            self._now + PEER_SEQUENCES_SAVE_INTERVAL
        )
        current = self._list_peer_sequences()
        if current != self._saved_peer_sequences:
            self._saved_peer_sequences = current
            self._actions.append(events.SavePeerSequences(current))

    def _on_hello_reply(
        self, sender: str, message: entries.HelloReply
    ) -> None:
        if self._check_rollback(sender, message.sequence):
            return
        self._hello_replies.add(sender)
        if message.position > self._reported.position:
            self._reported = message
        if self._has_majority_replied():
            self.verified = True

    def _has_majority_replied(self) -> bool:
        """Return whether a majority of voters, itself included, replied.

        A member that knows of no voters has nothing to wait for.
        """
        voters = entries.list_voters(self.known_members)
        replied = voters & (self._hello_replies | {self.identity})
        return not voters or len(replied) > len(voters) // 2

    def _check_rollback(self, peer: str, observed_sequence: int) -> bool:
        if observed_sequence <= self.sequence:
            return False
        self.verified = False
        self._actions.append(
            events.RollbackDetected(peer, self.sequence, observed_sequence)
        )
        return True

    # Elections

    def _start_election(
        self, *, pre_vote: bool, transfer: bool = False
    ) -> None:
        self._delay_election()
        self.role = Role.CANDIDATE
        self.leader = ""
        self._pre_vote = pre_vote
        self._is_transfer = transfer
        self._votes = {self.identity}
        if not pre_vote:
            self._save_vote(entries.Vote(self.term + 1, self.identity))
        self._request_votes()
        self._count_votes()

    def _request_votes(self) -> None:
        """Ask the voters that have not granted their vote yet."""
        self._next_heartbeat = self._now + self._timing.heartbeat
        request = entries.VoteRequest(
            self.term + 1 if self._pre_vote else self.term,
            self.log.last_index,
            self.log.last_term,
            self._pre_vote,
            self._is_transfer,
        )
        voters = entries.list_voters(self.log.members)
        for identity in sorted(voters - self._votes):
            self._send(identity, request)

    def _on_vote_request(
        self, sender: str, message: entries.VoteRequest
    ) -> None:
        # A member in contact with a leader ignores candidates. Otherwise a
        # removed member, or one returning from a network partition, could
        # depose the leader.
        has_leader_contact = (
            self._now - self._last_leader_contact
            < self._timing.election_timeout_min
        )
        if (self.leadership or has_leader_contact) and not message.transfer:
            return
        if message.term > self.term and not message.pre_vote:
            self._adopt_term(message.term)
        granted = self._can_grant_vote(sender, message)
        if granted and not message.pre_vote:
            self._delay_election()
            if not self.vote.voted_for:
                self._save_vote(entries.Vote(self.term, sender))
        term = message.term if granted else self.term
        self._send(sender, entries.VoteReply(term, granted, message.pre_vote))

    def _can_grant_vote(
        self, sender: str, message: entries.VoteRequest
    ) -> bool:
        if message.term < self.term:
            return False
        is_vote_available = message.pre_vote or self.vote.voted_for in (
            "",
            sender,
        )
        candidate_log = (message.last_term, message.last_index)
        own_log = (self.log.last_term, self.log.last_index)
        return is_vote_available and candidate_log >= own_log

    def _on_vote_reply(self, sender: str, message: entries.VoteReply) -> None:
        if not message.granted and message.term > self.term:
            self._adopt_term(message.term)
            return
        if not message.granted and not message.pre_vote:
            self._hasten_next_election(message.term)
        expected_term = self.term + 1 if self._pre_vote else self.term
        if (
            self.role is Role.CANDIDATE
            and message.granted
            and message.pre_vote == self._pre_vote
            and message.term == expected_term
        ):
            self._votes.add(sender)
            self._count_votes()

    def _hasten_next_election(self, term: int) -> None:
        """Retry soon, as a voter chose another candidate of the same term.

        The votes may be split so that nobody wins. The pre-vote keeps this
        member from disturbing a leader that the others have elected.
        """
        limit = self._timing.election_timeout_min / 2
        is_running = self.role is Role.CANDIDATE and not self._pre_vote
        if (
            is_running
            and term == self.term
            and self._election_deadline - self._now > limit
        ):
            self._election_deadline = self._now + self._draw_duration(
                datetime.timedelta(), limit
            )

    def _count_votes(self) -> None:
        voters = entries.list_voters(self.log.members)
        if len(self._votes & voters) <= len(voters) // 2:
            return
        if self._pre_vote:
            self._start_election(pre_vote=False)
        else:
            self._become_leader()

    def _become_follower(self, leader: str) -> None:
        if self.leadership is not None:
            self._actions.append(events.LeadershipLost())
        self.leadership = None
        self.role = Role.FOLLOWER
        self.leader = leader
        self._delay_election()

    def _adopt_term(self, term: int) -> None:
        if term > self.term:
            self._save_vote(entries.Vote(term, ""))
        self._become_follower("")

    def _save_vote(self, vote: entries.Vote) -> None:
        self.vote = vote
        self.sequence += 1
        self._actions.append(events.SaveVote(self.sequence, vote))

    @abc.abstractmethod
    def _become_leader(self) -> None:
        """Become the leader of the current term."""

    def _send(self, receiver: str, message: entries.PeerMessage) -> None:
        self._actions.append(events.Send(receiver, message))
