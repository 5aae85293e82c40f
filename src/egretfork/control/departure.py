"""Departure of a member that is about to stop.

A voter whose process ends still counts for every majority. If a learner can
take its place, it therefore keeps running until the leader has replaced it.
"""

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import follower


class DepartureBase(follower.FollowerBase):
    """Requests of a stopping member to its leader, and the replies.

    Attributes:
        may_stop: whether the group no longer relies on this process, as far
            as its tolerance of failures can be kept.
    """

    _is_departing = False
    may_stop = False

    def _on_departing(self) -> None:
        self._is_departing = True
        self.may_stop = all(member.voter for member in self.log.members)

    def _tick_departure(self) -> None:
        if not self._is_departing or self.may_stop:
            return
        if self.leadership is not None:
            self._resign()
        elif self.leader:
            self._send(self.leader, entries.Leave())

    def _on_leave(self, sender: str) -> None:
        if self.leadership is not None:
            self._actions.append(events.LeaveReceived(sender))

    def _on_leave_reply(
        self, sender: str, message: entries.LeaveReply
    ) -> None:
        if self._is_departing and sender == self.leader:
            self.may_stop = self.may_stop or message.may_stop

    def _resign(self) -> None:
        """Transfer the leadership (section 3.10 of the dissertation)."""
        if self.leadership is None:
            return
        successor = self.leadership.find_successor(self.log.members)
        if successor:
            self._send(successor, entries.TimeoutNow(self.term))
        self._become_follower("")
