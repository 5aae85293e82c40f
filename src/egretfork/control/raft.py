"""Consensus after Raft (Ongaro and Ousterhout, 2014), without sockets.

Pre-vote, check-quorum and changes of one member at a time follow chapters
4 and 9.6 of Ongaro's dissertation. Elections are in ``voting``, the
follower's side of replication in ``following``.
"""

import datetime

import msgspec

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import following
from egretfork.control import leading
from egretfork.control import voting
from egretfork import reasons


class Raft(following.FollowingMember):
    """Consensus core of one member."""

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Action]:
        """Process one event and return what the shell has to do."""
        self._now = now
        self._actions = []
        match event:
            case events.Tick():
                self._on_tick()
            case events.Received():
                self._on_received(event)
            case events.Proposed():
                self._on_proposed(event)
            case events.ReadProposed():
                self._on_read(event)
            case events.Compacted():
                self._on_compacted(event)
            case events.Resigned():
                self._on_resigned()
            case _:
                self._on_member_change(event)
        return self._actions

    def list_committed(self) -> tuple[entries.Entry, ...]:
        """Return the committed entries after the snapshot."""
        first = self.log.snapshot.index + 1
        return tuple(
            self.log.get(index) for index in range(first, self.commit + 1)
        )

    def _on_tick(self) -> None:
        self._save_seen()
        if not self.verified:
            self._greet_peers()
        elif self.leading is not None:
            self._tick_leader(self.leading)
        elif self._now >= self._election_at and self.is_voter:
            self._start_election(pre_vote=True)

    def _tick_leader(self, leader: leading.Leadership) -> None:
        since = self._now - self._timing.election_max
        if not leader.has_contact(self.log.members, since):
            self._become_follower("")
        elif self._now >= self._next_heartbeat:
            self._broadcast(with_seen=leader.start_round())

    def _on_received(self, event: events.Received) -> None:
        self._note_sequence(event.sender, event.sequence)
        message = event.message
        if isinstance(message, entries.Hello):
            reply = entries.HelloReply(self.seen.get(event.sender, 0))
            self._send(event.sender, reply)
        elif isinstance(message, entries.HelloReply):
            self._on_hello_reply(event.sender, message)
        elif self.verified:
            self._on_term_message(event.sender, message)

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
            case entries.TakeOver():
                self._on_take_over(sender, message)

    def _become_leader(self) -> None:
        self.role = voting.Role.LEADER
        self.leader = self.identity
        self.leading = leading.Leadership(self.identity, self.log, self._now)
        # Entries of earlier terms are committed only by one of this term.
        self._append_own(command=b"")

    # Leading

    def _append_own(
        self,
        command: bytes,
        members: tuple[entries.Member, ...] | None = None,
    ) -> entries.Entry:
        entry = entries.Entry(
            self.log.last_index + 1, self.term, command, members
        )
        self._store((entry,))
        if self.leading is not None:
            self.leading.follow_members(self._now)
        self._broadcast(with_seen=False)
        self._commit_by_majority()
        return entry

    def _broadcast(self, *, with_seen: bool) -> None:
        if self.leading is None:
            return
        self._next_heartbeat = self._now + self._timing.heartbeat
        seen = self._list_seen() if with_seen else ()
        for identity in self.leading.peers:
            self._send_append(self.leading, identity, seen)

    def _send_append(
        self,
        leader: leading.Leadership,
        identity: str,
        seen: tuple[entries.SeenSequence, ...] = (),
    ) -> None:
        message = leader.build_message(identity, self.term, self.commit, seen)
        self._send(identity, message)

    def _on_append_reply(
        self, sender: str, message: entries.AppendReply
    ) -> None:
        if message.term > self.term:
            self._follow_term(message.term)
        if self.leading is None or message.term != self.term:
            return
        leader = self.leading
        if leader.record_reply(sender, message, self._now):
            self._send_append(leader, sender)
        self._commit_by_majority()
        self._answer_reads()

    def _commit_by_majority(self) -> None:
        if self.leading is None:
            return
        index = self.leading.find_commit_index()
        if index >= self.leading.first_index:
            self._advance_commit(index)

    def _advance_commit(self, index: int) -> None:
        index = min(index, self.log.last_index)
        if index <= self.commit:
            return
        added = tuple(
            self.log.get(number)
            for number in range(self.commit + 1, index + 1)
        )
        self.commit = index
        self._actions.append(events.Commit(added))
        if self.leading is not None:
            # Followers spread a version at once, so that it is not lost to
            # the nodes for a time when the leader fails.
            self._broadcast(with_seen=False)
            self._answer_reads()
            self._leave_if_removed()

    def _leave_if_removed(self) -> None:
        members = self.log.members_at(self.commit)
        if self.identity not in entries.list_voters(members):
            self._become_follower("")

    def _on_proposed(self, event: events.Proposed) -> None:
        if self.leading is None:
            self._actions.append(events.NotLeader(event.token))
            return
        self._place(event.token, event.command)

    def _place(
        self,
        token: int,
        command: bytes,
        members: tuple[entries.Member, ...] | None = None,
    ) -> None:
        # The shell has to know the position before the entry can commit.
        index = self.log.last_index + 1
        self._actions.append(events.Placed(token, index, self.term))
        self._append_own(command, members)

    # Reads

    def _on_read(self, event: events.ReadProposed) -> None:
        if self.leading is None:
            self._actions.append(events.NotLeader(event.token))
            return
        leader = self.leading
        index = max(self.commit, leader.first_index)
        leader.reads.append(
            leading.PendingRead(event.token, leader.number, index)
        )
        self._broadcast(with_seen=False)
        self._answer_reads()

    def _answer_reads(self) -> None:
        if self.leading is None:
            return
        self._actions.extend(
            events.ReadReady(token)
            for token in self.leading.take_reads(self.commit)
        )

    # Transfer (section 3.10 of the dissertation)

    def _on_resigned(self) -> None:
        if self.leading is None:
            return
        successor = self.leading.find_successor(self.log.members)
        if successor:
            self._send(successor, entries.TakeOver(self.term))
        self._become_follower("")

    def _on_take_over(self, sender: str, message: entries.TakeOver) -> None:
        if message.term == self.term and sender == self.leader:
            if self.is_voter:
                self._start_election(pre_vote=False, transfer=True)

    # Members

    def _on_member_change(self, event: events.MemberChange) -> None:
        if self.leading is None:
            self._actions.append(events.NotLeader(event.token))
            return
        refusal = self._check_change(event, self.leading)
        if refusal is not None:
            self._actions.append(refusal)
            return
        self._place(event.token, b"", self._build_members(event))

    def _check_change(
        self, event: events.MemberChange, leader: leading.Leadership
    ) -> events.Refused | None:
        if self.commit < max(self.log.members_index, leader.first_index):
            return events.Refused(
                event.token,
                reasons.ControlRefusal.MEMBERS_CHANGING,
                "another change of members is not committed yet",
            )
        return self._check_known(event) or self._check_quorum(event, leader)

    def _check_known(
        self, event: events.MemberChange
    ) -> events.Refused | None:
        known = entries.list_identities(self.log.members)
        if isinstance(event, events.MemberAdded):
            # Adding a learner again is a resend and changes nothing.
            new = msgspec.structs.replace(event.member, voter=False)
            if new.identity not in known or new in self.log.members:
                return None
            return events.Refused(
                event.token,
                reasons.ControlRefusal.MEMBER_EXISTS,
                f"{new.identity} is a member",
            )
        if event.identity in known:
            return None
        return events.Refused(
            event.token,
            reasons.ControlRefusal.UNKNOWN_MEMBER,
            f"{event.identity} is not a member",
        )

    def _check_quorum(
        self, event: events.MemberChange, leader: leading.Leadership
    ) -> events.Refused | None:
        if isinstance(
            event, events.MemberPromoted
        ) and not leader.is_caught_up(event.identity, self.commit):
            return events.Refused(
                event.token,
                reasons.ControlRefusal.MEMBER_NOT_CAUGHT_UP,
                f"{event.identity} does not hold all committed entries",
            )
        since = self._now - self._timing.election_max
        if leader.has_contact(self._build_members(event), since):
            return None
        return events.Refused(
            event.token,
            reasons.ControlRefusal.QUORUM_AT_RISK,
            "no majority of the resulting voters answers",
        )

    def _build_members(
        self, event: events.MemberChange
    ) -> tuple[entries.Member, ...]:
        members = self.log.members
        match event:
            case events.MemberAdded():
                learner = msgspec.structs.replace(event.member, voter=False)
                return tuple(sorted({*members, learner}))
            case events.MemberPromoted():
                return tuple(
                    msgspec.structs.replace(
                        member,
                        voter=member.voter
                        or member.identity == event.identity,
                    )
                    for member in members
                )
            case events.MemberRemoved():
                return tuple(
                    member
                    for member in members
                    if member.identity != event.identity
                )

    # Compaction

    def _on_compacted(self, event: events.Compacted) -> None:
        if event.index <= self.log.snapshot.index:
            return
        self.log.compact(event.index, event.state)
        self._save_snapshot()
