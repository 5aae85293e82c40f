"""Elections with pre-vote, and the check for a disk rolled back.

A disk that was rolled back is detected by write sequences. Each write of a
member raises a number that is stored with the write and carried by every
message. Members remember the highest number of each other member, and a
leader spreads the numbers in its heartbeats. After a start a member takes
no part until a majority of voters, itself included, has told it the
highest number seen of it. A number above the one on disk proves that
writes which others rely on are gone; the member then stops for good and
has to return under a new identity. Members keep the numbers on disk, at
most some seconds late. A rollback stays undetected only if neither the
peers that answer nor a leader they have heard from saw the later writes,
or if all that saw them stopped within those seconds.
"""

import abc
import dataclasses
import datetime
import enum
import random

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import leading
from egretfork.control import log

HEARTBEAT = datetime.timedelta(milliseconds=600)
SAVE_SEEN_PERIOD = datetime.timedelta(seconds=5)
ELECTION_TIMEOUT_MIN = datetime.timedelta(milliseconds=1500)
ELECTION_TIMEOUT_MAX = datetime.timedelta(milliseconds=3000)


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Periods of consensus; all members of a group use the same.

    Attributes:
        heartbeat: between messages of a leader that has nothing to say.
        election_min: silence of a leader after which it may be replaced.
        election_max: silence after which it surely is.
        start_min: time after the start of a process before it may be a
            candidate.
        start_max: time after its start when it surely is.
    """

    heartbeat: datetime.timedelta = HEARTBEAT
    election_min: datetime.timedelta = ELECTION_TIMEOUT_MIN
    election_max: datetime.timedelta = ELECTION_TIMEOUT_MAX
    start_min: datetime.timedelta = ELECTION_TIMEOUT_MIN
    start_max: datetime.timedelta = ELECTION_TIMEOUT_MAX


DEFAULT_TIMING = Timing()


class Role(enum.StrEnum):
    """Part that a member plays in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VotingMember(abc.ABC):
    """Term, vote and elections of one member."""

    def __init__(
        self,
        identity: str,
        vote: entries.Vote,
        held: log.Log,
        sequence: int,
        seen: tuple[entries.SeenSequence, ...],
        seed: random.Random,
        now: datetime.timedelta,
        timing: Timing = DEFAULT_TIMING,
        commit: int = 0,
    ) -> None:
        self._timing = timing
        self.identity = identity
        self.vote = vote
        self.log = held
        self.sequence = sequence
        self.commit = max(held.snapshot.index, commit)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leading: leading.Leadership | None = None
        self.seen = {item.identity: item.sequence for item in seen}
        self._saved_seen = seen
        self._save_seen_at = now + SAVE_SEEN_PERIOD
        self.verified = self._count_needed_hellos() == 0
        self._greeted: set[str] = set()
        self._votes: set[str] = set()
        self._pre_vote = True
        self._random = seed
        self._now = now
        self._heard_leader = now - timing.election_min
        self._next_heartbeat = now
        self._election_at = now
        self._actions: list[events.Action] = []
        # A group of one waits too: the disk may have been rolled back to a
        # time before other members joined, whose leader then speaks first.
        self._election_at = now + self._draw(
            timing.start_min, timing.start_max
        )

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.vote.term

    @property
    def is_voter(self) -> bool:
        """Return whether the newest membership gives this member a vote."""
        return self.identity in entries.list_voters(self.log.members)

    # Time

    def _greet_peers(self) -> None:
        if self._now < self._next_heartbeat:
            return
        self._next_heartbeat = self._now + self._timing.heartbeat
        for identity in self._list_others():
            self._send(identity, entries.Hello(self.sequence))

    def _delay_election(self) -> None:
        timing = self._timing
        self._election_at = self._now + self._draw(
            timing.election_min, timing.election_max
        )

    def _draw(
        self, least: datetime.timedelta, most: datetime.timedelta
    ) -> datetime.timedelta:
        span = (most - least).total_seconds()
        return least + datetime.timedelta(
            seconds=self._random.uniform(0, span)
        )

    # Write sequences

    def _note_sequence(self, identity: str, sequence: int) -> None:
        if identity != self.identity:
            highest = max(sequence, self.seen.get(identity, 0))
            self.seen[identity] = highest

    def _list_seen(self) -> tuple[entries.SeenSequence, ...]:
        members = entries.list_identities(self.log.members)
        return tuple(
            entries.SeenSequence(identity, sequence)
            for identity, sequence in sorted(self.seen.items())
            if identity in members
        )

    def _save_seen(self) -> None:
        if self._now < self._save_seen_at:
            return
        self._save_seen_at = self._now + SAVE_SEEN_PERIOD
        newest = self._list_seen()
        if newest != self._saved_seen:
            self._saved_seen = newest
            self._actions.append(events.SaveSeen(newest))

    def _on_hello_reply(
        self, sender: str, message: entries.HelloReply
    ) -> None:
        if self._check_rollback(sender, message.sequence):
            return
        if sender in entries.list_voters(self.log.members):
            self._greeted.add(sender)
        if len(self._greeted) >= self._count_needed_hellos():
            self.verified = True

    def _count_needed_hellos(self) -> int:
        voters = entries.list_voters(self.log.members)
        if not voters:
            return 0
        own = self.identity in voters
        return len(voters) // 2 + 1 - int(own)

    def _check_rollback(self, peer: str, seen_sequence: int) -> bool:
        if seen_sequence <= self.sequence:
            return False
        self.verified = False
        self._actions.append(
            events.RollbackDetected(peer, self.sequence, seen_sequence)
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
        self._votes = {self.identity}
        term = self.term + 1
        if not pre_vote:
            self._save_vote(entries.Vote(term, self.identity))
        for identity in self._list_others(voters_only=True):
            self._send(
                identity,
                entries.VoteRequest(
                    term,
                    self.log.last_index,
                    self.log.last_term,
                    pre_vote,
                    transfer,
                ),
            )
        self._count_votes()

    def _on_vote_request(
        self, sender: str, message: entries.VoteRequest
    ) -> None:
        # A member that hears a leader ignores candidates, so that a member
        # returning from isolation or removed cannot depose the leader.
        heard = self._now - self._heard_leader < self._timing.election_min
        if (self.leading or heard) and not message.transfer:
            return
        if message.term > self.term and not message.pre_vote:
            self._follow_term(message.term)
        granted = self._may_vote(sender, message)
        if granted and not message.pre_vote:
            self._delay_election()
            if not self.vote.voted_for:
                self._save_vote(entries.Vote(self.term, sender))
        term = message.term if granted else self.term
        self._send(sender, entries.VoteReply(term, granted, message.pre_vote))

    def _may_vote(self, sender: str, message: entries.VoteRequest) -> bool:
        if message.term < self.term:
            return False
        free = message.pre_vote or self.vote.voted_for in ("", sender)
        candidate = (message.last_term, message.last_index)
        own = (self.log.last_term, self.log.last_index)
        return free and candidate >= own

    def _on_vote_reply(self, sender: str, message: entries.VoteReply) -> None:
        if not message.granted and message.term > self.term:
            self._follow_term(message.term)
            return
        asked = self.term + 1 if self._pre_vote else self.term
        if (
            self.role is Role.CANDIDATE
            and message.granted
            and message.pre_vote == self._pre_vote
            and message.term == asked
        ):
            self._votes.add(sender)
            self._count_votes()

    def _count_votes(self) -> None:
        voters = entries.list_voters(self.log.members)
        if len(self._votes & voters) <= len(voters) // 2:
            return
        if self._pre_vote:
            self._start_election(pre_vote=False)
        else:
            self._become_leader()

    def _become_follower(self, leader: str) -> None:
        if self.leading is not None:
            self._actions.append(events.LeadershipLost())
        self.leading = None
        self.role = Role.FOLLOWER
        self.leader = leader
        self._delay_election()

    def _follow_term(self, term: int) -> None:
        if term > self.term:
            self._save_vote(entries.Vote(term, ""))
        self._become_follower("")

    def _save_vote(self, vote: entries.Vote) -> None:
        self.vote = vote
        self.sequence += 1
        self._actions.append(events.SaveVote(self.sequence, vote))

    @abc.abstractmethod
    def _become_leader(self) -> None:
        """Lead the current term."""

    def _send(self, receiver: str, message: entries.PeerMessage) -> None:
        self._actions.append(events.Send(receiver, message))

    def _list_others(self, *, voters_only: bool = False) -> list[str]:
        members = self.log.members
        chosen = (
            entries.list_voters(members)
            if voters_only
            else entries.list_identities(members)
        )
        return sorted(chosen - {self.identity})
