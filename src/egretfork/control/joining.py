"""Changes of members that a leader makes on its own.

A control process that is not a voter asks to join. The group is kept at a
wanted number of voters: a voter whose disk was replaced, or that has been
silent while another process is ready to take its place, is removed.
"""

import dataclasses
import datetime

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import leading

# Requests older than this come from a process that may be gone.
REQUEST_LIMIT = datetime.timedelta(milliseconds=1500)
REPLACE_AFTER = datetime.timedelta(milliseconds=1500)
FORGET_LEARNER_AFTER = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """What a leader knows of the group.

    Attributes:
        members: newest membership.
        commit: index of the newest committed entry.
        leader: identity of the leader itself.
        progress: replication state of the other members.
    """

    members: tuple[entries.Member, ...]
    commit: int
    leader: str
    progress: dict[str, leading.Progress]

    @property
    def voters(self) -> tuple[entries.Member, ...]:
        """Return the members that have a vote."""
        return tuple(member for member in self.members if member.voter)

    def is_silent(
        self, member: entries.Member, since: datetime.timedelta
    ) -> bool:
        """Return whether a member has not replied since an instant."""
        known = self.progress.get(member.identity)
        if member.identity == self.leader:
            return False
        return known is None or known.last_contact < since

    def is_caught_up(self, member: entries.Member) -> bool:
        """Return whether a member holds every committed entry."""
        known = self.progress.get(member.identity)
        return known is not None and known.match_index >= self.commit


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """A process that asks to be a member."""

    member: entries.Member
    asked_at: datetime.timedelta


class Joining:
    """Requests to join, and the change that the state of a group needs."""

    def __init__(self, wanted_voters: int) -> None:
        self._wanted_voters = wanted_voters
        self._requests: dict[str, _Request] = {}

    def note_request(
        self, member: entries.Member, now: datetime.timedelta
    ) -> None:
        """Take a request; an earlier one from the same address is void."""
        self._requests = {
            identity: request
            for identity, request in self._requests.items()
            if request.member.address != member.address
            and now - request.asked_at < REQUEST_LIMIT
        }
        self._requests[member.identity] = _Request(member, now)

    def decide(
        self, group: Group, token: int, now: datetime.timedelta
    ) -> events.MemberChange | None:
        """Return the next change of members, none if none is needed."""
        return (
            self._remove_replaced(group, token, now)
            or self._promote(group, token)
            or self._remove_silent(group, token, now)
            or self._add(group, token, now)
        )

    def _list_requests(
        self, group: Group, now: datetime.timedelta
    ) -> list[entries.Member]:
        known = entries.list_identities(group.members)
        return [
            request.member
            for request in self._requests.values()
            if request.member.identity not in known
            and now - request.asked_at < REQUEST_LIMIT
        ]

    def _remove_replaced(
        self, group: Group, token: int, now: datetime.timedelta
    ) -> events.MemberChange | None:
        """Remove a member whose address now has another data folder."""
        asking = {item.address for item in self._list_requests(group, now)}
        replaced = (
            member.identity
            for member in group.members
            if member.address in asking and member.identity != group.leader
        )
        identity = next(replaced, None)
        return events.MemberRemoved(token, identity) if identity else None

    def _add(
        self, group: Group, token: int, now: datetime.timedelta
    ) -> events.MemberChange | None:
        asking = self._list_requests(group, now)
        return events.MemberAdded(token, asking[0]) if asking else None

    def _promote(self, group: Group, token: int) -> events.MemberChange | None:
        if len(group.voters) >= self._wanted_voters:
            return None
        ready = self._list_ready(group)
        return events.MemberPromoted(token, ready[0]) if ready else None

    def _remove_silent(
        self, group: Group, token: int, now: datetime.timedelta
    ) -> events.MemberChange | None:
        silent = [
            member.identity
            for member in group.voters
            if group.is_silent(member, now - REPLACE_AFTER)
        ]
        full = len(group.voters) >= self._wanted_voters
        if silent and full and self._list_ready(group):
            return events.MemberRemoved(token, silent[0])
        gone = [
            member.identity
            for member in group.members
            if not member.voter
            and group.is_silent(member, now - FORGET_LEARNER_AFTER)
        ]
        return events.MemberRemoved(token, gone[0]) if gone else None

    def _list_ready(self, group: Group) -> list[str]:
        """Return the learners that could have a vote at once."""
        return [
            member.identity
            for member in group.members
            if not member.voter and group.is_caught_up(member)
        ]
