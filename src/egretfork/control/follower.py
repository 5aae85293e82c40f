"""Replication on a follower: entries and snapshots from the leader."""

import abc

from egretfork.control import election
from egretfork.control import entries
from egretfork.control import events


class FollowerBase(election.ElectionBase):
    """Handling of append and snapshot requests by one member."""

    def _accept_leader(self, sender: str, term: int, number: int) -> bool:
        if term < self.term:
            self._send(
                sender, entries.AppendReply(self.term, False, 0, number)
            )
            return False
        if term > self.term:
            self._adopt_term(term)
        if self.leader != sender or self.role is not election.Role.FOLLOWER:
            self._become_follower(sender)
        self._last_leader = sender
        self._last_leader_contact = self._now
        self._delay_election()
        return True

    def _on_append(self, sender: str, message: entries.AppendRequest) -> None:
        if not self._accept_leader(sender, message.term, message.number):
            return
        for item in message.peer_sequences:
            self._update_peer_sequence(item.identity, item.sequence)
            if item.identity == self.identity and self._check_rollback(
                sender, item.sequence
            ):
                return
        index = message.previous_index + len(message.entries)
        success = self._is_consistent(message)
        if success:
            self._append_missing(message.entries)
            self._advance_commit(min(message.commit_index, index))
        else:
            index = self._find_last_possible_match(message)
        self._send(
            sender,
            entries.AppendReply(self.term, success, index, message.number),
        )

    def _is_consistent(self, message: entries.AppendRequest) -> bool:
        if message.previous_index < self.log.snapshot.index:
            return True
        local_term = self.log.term_at(message.previous_index)
        return local_term == message.previous_term

    def _find_last_possible_match(self, message: entries.AppendRequest) -> int:
        index = min(self.log.last_index, message.previous_index - 1)
        while (
            index > self.commit_index
            and (self.log.term_at(index) or 0) > message.previous_term
        ):
            index -= 1
        return index

    def _append_missing(self, added: tuple[entries.Entry, ...]) -> None:
        missing = tuple(
            entry
            for entry in added
            if entry.index > self.log.snapshot.index
            and self.log.term_at(entry.index) != entry.term
        )
        if not missing:
            return
        first = missing[0].index
        self.log.truncate(first)
        self.log.append(missing)
        self.sequence += 1
        self._actions.append(
            events.SaveEntries(
                self.sequence, first, missing, self.commit_index
            )
        )

    def _on_snapshot(
        self, sender: str, message: entries.SnapshotRequest
    ) -> None:
        if not self._accept_leader(sender, message.term, message.number):
            return
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log.install(snapshot)
            self.commit_index = snapshot.index
            self._save_snapshot()
            self._actions.append(events.InstallState(snapshot))
        self._send(
            sender,
            entries.AppendReply(
                self.term, True, snapshot.index, message.number
            ),
        )

    def _save_snapshot(self) -> None:
        self.sequence += 1
        self._actions.append(
            events.SaveSnapshot(
                self.sequence, self.log.snapshot, self.log.tail
            )
        )

    @abc.abstractmethod
    def _advance_commit(self, index: int) -> None:
        """Raise the commit index; do nothing if it is not higher."""
