"""Raft consensus (Ongaro and Ousterhout, 2014), without I/O.

Pre-vote, check-quorum and single-server membership changes follow chapters
4 and 9.6 of Ongaro's dissertation. Elections are implemented in
``election``, the follower's side of replication in ``follower``, the
departure of a stopping member in ``departure`` and the state of a leader in
``leadership``.
"""

import datetime

import msgspec

from egretfork.control import departure
from egretfork.control import election
from egretfork.control import entries
from egretfork.control import events
from egretfork.control import leadership
from egretfork import reasons


class Raft(departure.DepartureBase):
    """Raft consensus core of one member."""

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Action]:
        """Process one event and return the actions for the shell."""
        self._now = now
        self._actions = []
        match event:
            case events.Tick():
                self._on_tick()
            case events.Received():
                self._on_received(event)
            case events.Proposed():
                self._on_proposed(event)
            case events.ReadRequested():
                self._on_read_requested(event)
            case events.SnapshotCreated():
                self._on_snapshot_created(event)
            case events.Resigned():
                self._resign()
            case events.Departing():
                self._on_departing()
            case _:
                self._on_membership_change(event)
        return self._actions

    def list_committed(self) -> tuple[entries.Entry, ...]:
        """Return the committed entries that follow the snapshot."""
        first = self.log.snapshot.index + 1
        return tuple(
            self.log.get(index)
            for index in range(first, self.commit_index + 1)
        )

    def _on_tick(self) -> None:
        self._save_peer_sequences()
        self._tick_departure()
        if not self.verified:
            self._send_hellos()
        elif self.leadership is not None:
            self._tick_leader(self.leadership)
        elif self._now >= self._election_deadline:
            self._on_leader_silent()
        elif self.role is election.Role.CANDIDATE:
            self._tick_candidate()

    def _tick_candidate(self) -> None:
        """Repeat the vote requests, as a message may have been lost."""
        if self._now >= self._next_heartbeat:
            self._request_votes()

    def _on_leader_silent(self) -> None:
        """Start an election; a member that is no voter forgets its leader.

        It may have been removed meanwhile and then has to ask to join.
        """
        if self.is_voter:
            self._start_election(pre_vote=True)
        else:
            self._become_follower("")

    def _tick_leader(self, leader: leadership.Leadership) -> None:
        since = self._now - self._timing.election_timeout_max
        if not leader.has_quorum_contact(self.log.members, since):
            self._become_follower("")
        elif self._now >= self._next_heartbeat:
            self._broadcast(with_peer_sequences=leader.start_heartbeat_round())

    def _on_received(self, event: events.Received) -> None:
        self._update_peer_sequence(event.sender, event.sequence)
        if self.leadership is not None:
            self.leadership.record_message(event.sender, self._now)
        message = event.message
        if isinstance(message, entries.Hello):
            self._on_hello(event.sender)
        elif isinstance(message, entries.HelloReply):
            self._on_hello_reply(event.sender, message)
        elif self.verified:
            self._on_term_message(event.sender, message)
        if not self.verified:
            self._ask_unknown_sender(event.sender)

    def _on_hello(self, sender: str) -> None:
        reply = entries.HelloReply(
            self.peer_sequences.get(sender, 0),
            self.log.last_term,
            self.log.last_index,
            self.log.members,
        )
        self._send(sender, reply)

    def _on_term_message(
        self, sender: str, message: entries.PeerMessage
    ) -> None:
        match message:
            case entries.VoteRequest():
                self._on_vote_request(sender, message)
            case entries.VoteReply():
                self._on_vote_reply(sender, message)
            case entries.AppendRequest():
                self._on_append(sender, message)
            case entries.SnapshotRequest():
                self._on_snapshot(sender, message)
            case entries.AppendReply():
                self._on_append_reply(sender, message)
            case entries.TimeoutNow():
                self._on_timeout_now(sender, message)
            case entries.Leave():
                self._on_leave(sender)
            case entries.LeaveReply():
                self._on_leave_reply(sender, message)

    def _become_leader(self) -> None:
        self.role = election.Role.LEADER
        self.leader = self.identity
        self.leadership = leadership.Leadership(
            self.identity, self.log, self._now
        )
        # The last leader has sent no heartbeat since. If it lost its disk, it
        # is replaced at once.
        self.leadership.record_silence(
            self._last_leader, self._last_leader_contact
        )
        self._last_leader = ""
        # Entries of earlier terms are committed only indirectly, by
        # committing an entry of the current term.
        self._append_entry(command=b"")

    # Replication

    def _append_entry(
        self,
        command: bytes,
        members: tuple[entries.Member, ...] | None = None,
    ) -> entries.Entry:
        entry = entries.Entry(
            self.log.last_index + 1, self.term, command, members
        )
        self._append_missing((entry,))
        if self.leadership is not None:
            self.leadership.update_peers(self._now)
        # A new voter can then detect the rollback of another voter's disk.
        self._broadcast(with_peer_sequences=members is not None)
        self._commit_by_majority()
        return entry

    def _broadcast(self, *, with_peer_sequences: bool) -> None:
        if self.leadership is None:
            return
        self._next_heartbeat = self._now + self._timing.heartbeat
        peer_sequences = (
            self._list_peer_sequences() if with_peer_sequences else ()
        )
        for identity in self.leadership.peers:
            self._send_append(self.leadership, identity, peer_sequences)

    def _send_append(
        self,
        leader: leadership.Leadership,
        identity: str,
        peer_sequences: tuple[entries.PeerSequence, ...] = (),
    ) -> None:
        message = leader.build_message(
            identity, self.term, self.commit_index, peer_sequences
        )
        self._send(identity, message)

    def _on_append_reply(
        self, sender: str, message: entries.AppendReply
    ) -> None:
        if message.term > self.term:
            self._adopt_term(message.term)
        if self.leadership is None or message.term != self.term:
            return
        leader = self.leadership
        if leader.record_reply(sender, message, self.commit_index, self._now):
            self._send_append(leader, sender)
        self._commit_by_majority()
        self._answer_reads()

    def _commit_by_majority(self) -> None:
        if self.leadership is None:
            return
        index = self.leadership.find_commit_index()
        if index >= self.leadership.term_start_index:
            self._advance_commit(index)

    def _advance_commit(self, index: int) -> None:
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        added = tuple(
            self.log.get(number)
            for number in range(self.commit_index + 1, index + 1)
        )
        self.commit_index = index
        self._actions.append(events.Commit(added))
        if self.leadership is not None:
            # Sends the new commit index to the followers at once. They then
            # disseminate a configuration version even if the leader fails.
            self._broadcast(with_peer_sequences=False)
            self._answer_reads()
            self._step_down_if_removed()

    def _step_down_if_removed(self) -> None:
        members = self.log.members_at(self.commit_index)
        if self.identity not in entries.list_voters(members):
            self._become_follower("")

    def _on_proposed(self, event: events.Proposed) -> None:
        if self.leadership is None:
            self._actions.append(events.NotLeader(event.token))
            return
        self._append_proposal(event.token, event.command)

    def _append_proposal(
        self,
        token: int,
        command: bytes,
        members: tuple[entries.Member, ...] | None = None,
    ) -> None:
        # The core must know the position before the entry can commit.
        index = self.log.last_index + 1
        self._actions.append(events.Appended(token, index, self.term))
        self._append_entry(command, members)

    # Reads

    def _on_read_requested(self, event: events.ReadRequested) -> None:
        if self.leadership is None:
            self._actions.append(events.NotLeader(event.token))
            return
        leader = self.leadership
        index = max(self.commit_index, leader.term_start_index)
        leader.reads.append(
            leadership.PendingRead(event.token, leader.number, index)
        )
        self._broadcast(with_peer_sequences=False)
        self._answer_reads()

    def _answer_reads(self) -> None:
        if self.leadership is None:
            return
        self._actions.extend(
            events.ReadReady(token)
            for token in self.leadership.pop_confirmed_reads(self.commit_index)
        )

    def _on_timeout_now(
        self, sender: str, message: entries.TimeoutNow
    ) -> None:
        if message.term == self.term and sender == self.leader:
            if self.is_voter:
                self._start_election(pre_vote=False, transfer=True)

    # Membership changes

    def _on_membership_change(self, event: events.MembershipChange) -> None:
        if self.leadership is None:
            self._actions.append(events.NotLeader(event.token))
            return
        refusal = self._check_change(event, self.leadership)
        if refusal is not None:
            self._actions.append(refusal)
            return
        self._append_proposal(event.token, b"", self._build_members(event))

    def _check_change(
        self, event: events.MembershipChange, leader: leadership.Leadership
    ) -> events.MembershipChangeRefused | None:
        if self.commit_index < max(
            self.log.members_index, leader.term_start_index
        ):
            return events.MembershipChangeRefused(
                event.token,
                reasons.ControlRefusal.MEMBERS_CHANGING,
                "another membership change is not committed yet",
            )
        return self._check_member_known(event) or self._check_quorum(
            event, leader
        )

    def _check_member_known(
        self, event: events.MembershipChange
    ) -> events.MembershipChangeRefused | None:
        known = entries.list_identities(self.log.members)
        if isinstance(event, events.AddMemberProposed):
            # Adding an identical learner again is a retry and has no effect.
            new = msgspec.structs.replace(event.member, voter=False)
            if new.identity not in known or new in self.log.members:
                return None
            return events.MembershipChangeRefused(
                event.token,
                reasons.ControlRefusal.MEMBER_EXISTS,
                f"{new.identity} is already a member",
            )
        if event.identity in known:
            return None
        return events.MembershipChangeRefused(
            event.token,
            reasons.ControlRefusal.UNKNOWN_MEMBER,
            f"{event.identity} is not a member",
        )

    def _check_quorum(
        self, event: events.MembershipChange, leader: leadership.Leadership
    ) -> events.MembershipChangeRefused | None:
        if isinstance(
            event, events.PromoteMemberProposed
        ) and not leader.is_caught_up(event.identity, self.commit_index):
            return events.MembershipChangeRefused(
                event.token,
                reasons.ControlRefusal.MEMBER_NOT_CAUGHT_UP,
                f"{event.identity} does not hold all committed entries",
            )
        since = self._now - self._timing.election_timeout_max
        if leader.has_quorum_contact(self._build_members(event), since):
            return None
        return events.MembershipChangeRefused(
            event.token,
            reasons.ControlRefusal.QUORUM_AT_RISK,
            "no majority of the resulting voters is responding",
        )

    def _build_members(
        self, event: events.MembershipChange
    ) -> tuple[entries.Member, ...]:
        members = self.log.members
        match event:
            case events.AddMemberProposed():
                learner = msgspec.structs.replace(event.member, voter=False)
                return tuple(sorted({*members, learner}))
            case events.PromoteMemberProposed():
                return tuple(
                    msgspec.structs.replace(
                        member,
                        voter=member.voter
                        or member.identity == event.identity,
                    )
                    for member in members
                )
            case events.RemoveMemberProposed():
                return tuple(
                    member
                    for member in members
                    if member.identity != event.identity
                )

    # Compaction

    def _on_snapshot_created(self, event: events.SnapshotCreated) -> None:
        if event.index <= self.log.snapshot.index:
            return
        self.log.compact(event.index, event.state)
        self._save_snapshot()
