"""Automatic membership changes made by the leader.

A control process that is not a member requests to join and is added as a
learner. Learners that have caught up are promoted up to the desired number
of voters. The leader removes a member whose disk was replaced, an inactive
voter if a learner can take its place, and a learner that stays unresponsive.
A voter is inactive if it does not reply, or replies but does not store the
committed entries. Without a learner it remains a voter, as its disk may hold
what others lose. A voter whose process is about to stop is replaced by a
learner before it stops. The learner is promoted first: the group then never
has fewer voters than desired.
"""

import dataclasses
import datetime

from egretfork.control import entries
from egretfork.control import events
from egretfork.control import leadership

# The sender of an older request may no longer be running.
REQUEST_LIFETIME = datetime.timedelta(milliseconds=1500)
REPLACE_VOTER_AFTER = datetime.timedelta(milliseconds=1500)
# A running member is heard within this time, so that a request from its
# address is outdated.
REPLACE_DISK_AFTER = datetime.timedelta(milliseconds=750)
REMOVE_LEARNER_AFTER = datetime.timedelta(seconds=10)
# A member that replies holds what was committed this long ago, unless its
# disk is too slow for the group.
REPLACE_LAGGING_AFTER = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupState:
    """Membership and replication state of the group, as the leader sees it.

    Attributes:
        members: latest membership.
        commit_index: index of the last committed entry.
        leader: identity of the leader itself.
        progress: replication state of the other members.
    """

    members: tuple[entries.Member, ...]
    commit_index: int
    leader: str
    progress: dict[str, leadership.Progress]

    @property
    def voters(self) -> tuple[entries.Member, ...]:
        """Return the members that are voters."""
        return tuple(member for member in self.members if member.voter)

    def is_unresponsive(
        self, member: entries.Member, since: datetime.timedelta
    ) -> bool:
        """Return whether a member has not replied since a given time."""
        peer = self._get_peer(member)
        return peer is not None and peer.last_contact < since

    def is_silent(
        self, member: entries.Member, since: datetime.timedelta
    ) -> bool:
        """Return whether no message of a member arrived since a time."""
        peer = self._get_peer(member)
        return peer is not None and peer.last_heard < since

    def is_lagging(
        self, member: entries.Member, since: datetime.timedelta
    ) -> bool:
        """Return whether a member has not caught up since a given time."""
        peer = self._get_peer(member)
        return peer is not None and peer.last_caught_up < since

    def _get_peer(self, member: entries.Member) -> leadership.Progress | None:
        """Return the state of a member, None for the leader itself."""
        if member.identity == self.leader:
            return None
        return self.progress[member.identity]

    def list_inactive_voters(
        self, now: datetime.timedelta
    ) -> tuple[entries.Member, ...]:
        """Return the voters that take no part in the group's decisions."""
        return tuple(
            member
            for member in self.voters
            if self.is_unresponsive(member, now - REPLACE_VOTER_AFTER)
            or self.is_lagging(member, now - REPLACE_LAGGING_AFTER)
        )

    def is_caught_up(self, member: entries.Member) -> bool:
        """Return whether a member has stored all committed entries."""
        peer = self.progress.get(member.identity)
        return peer is not None and peer.match_index >= self.commit_index


@dataclasses.dataclass(frozen=True, slots=True)
class InactiveVoter:
    """A voter that takes no part, and what the leader knows of it.

    Attributes:
        heard_ago: time since its latest message of any kind.
        replied_ago: time since its latest reply to the leader.
        caught_up_ago: time since it held all committed entries.
        match_index: index of the last entry known to be on its disk.
        commit_index: index of the last committed entry.
    """

    identity: str
    heard_ago: datetime.timedelta
    replied_ago: datetime.timedelta
    caught_up_ago: datetime.timedelta
    match_index: int
    commit_index: int


def describe_inactive_voters(
    group: GroupState, now: datetime.timedelta
) -> tuple[InactiveVoter, ...]:
    """Return the inactive voters that the leader tracks."""
    return tuple(
        InactiveVoter(
            member.identity,
            now - peer.last_heard,
            now - peer.last_contact,
            now - peer.last_caught_up,
            peer.match_index,
            group.commit_index,
        )
        for member in group.list_inactive_voters(now)
        if (peer := group.progress.get(member.identity)) is not None
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _JoinRequest:
    """Request of a process to become a member."""

    member: entries.Member
    requested_at: datetime.timedelta


class MembershipManager:
    """Collects join requests and determines the next membership change."""

    def __init__(self, desired_voters: int) -> None:
        self._desired_voters = desired_voters
        self._requests: dict[str, _JoinRequest] = {}
        self._departures: dict[str, datetime.timedelta] = {}

    def add_request(
        self, member: entries.Member, now: datetime.timedelta
    ) -> None:
        """Add a request; it replaces one from the same address."""
        self._requests = {
            identity: request
            for identity, request in self._requests.items()
            if request.member.address != member.address
            and now - request.requested_at < REQUEST_LIFETIME
        }
        self._requests[member.identity] = _JoinRequest(member, now)

    def add_departure(self, identity: str, now: datetime.timedelta) -> None:
        """Note that a member's process is about to stop."""
        self._departures = {
            known: noted_at
            for known, noted_at in self._departures.items()
            if now - noted_at < REQUEST_LIFETIME
        }
        self._departures[identity] = now

    def may_stop(
        self, group: GroupState, identity: str, now: datetime.timedelta
    ) -> bool:
        """Return whether a departing member need not wait any longer."""
        voters = entries.list_voters(group.members)
        has_replacement = len(group.voters) > self._desired_voters or any(
            not member.voter
            and not self._is_departing(member.identity, now)
            and not group.is_unresponsive(member, now - REPLACE_VOTER_AFTER)
            for member in group.members
        )
        return identity not in voters or not has_replacement

    def choose_change(
        self, group: GroupState, token: int, now: datetime.timedelta
    ) -> events.MembershipChange | None:
        """Return the next membership change, or None."""
        return (
            self._remove_replaced(group, token, now)
            or self._promote(group, token, now)
            or self._replace_departing(group, token, now)
            or self._remove_inactive(group, token, now)
            or self._add(group, token, now)
        )

    def _list_requests(
        self, group: GroupState, now: datetime.timedelta
    ) -> list[entries.Member]:
        member_identities = entries.list_identities(group.members)
        return [
            request.member
            for request in self._requests.values()
            if request.member.identity not in member_identities
            and now - request.requested_at < REQUEST_LIFETIME
            and not self._is_departing(request.member.identity, now)
        ]

    def _remove_replaced(
        self, group: GroupState, token: int, now: datetime.timedelta
    ) -> events.MembershipChange | None:
        """Remove a member whose address now requests to join anew.

        The process there has a new data folder and thus another identity. A
        member that is still heard is not replaced: the request is from a
        process that ran there before it.
        """
        requesting = {item.address for item in self._list_requests(group, now)}
        replaced = (
            member.identity
            for member in group.members
            if member.address in requesting
            and group.is_silent(member, now - REPLACE_DISK_AFTER)
        )
        identity = next(replaced, None)
        return (
            events.RemoveMemberProposed(token, identity) if identity else None
        )

    def _add(
        self, group: GroupState, token: int, now: datetime.timedelta
    ) -> events.MembershipChange | None:
        taken = {member.address for member in group.members}
        requesting = [
            item
            for item in self._list_requests(group, now)
            if item.address not in taken
        ]
        return (
            events.AddMemberProposed(token, requesting[0])
            if requesting
            else None
        )

    def _promote(
        self, group: GroupState, token: int, now: datetime.timedelta
    ) -> events.MembershipChange | None:
        if len(group.voters) >= self._desired_voters:
            return None
        return self._promote_first(group, token, now)

    def _promote_first(
        self, group: GroupState, token: int, now: datetime.timedelta
    ) -> events.MembershipChange | None:
        ready = self._list_promotable(group, now)
        return events.PromoteMemberProposed(token, ready[0]) if ready else None

    def _replace_departing(
        self, group: GroupState, token: int, now: datetime.timedelta
    ) -> events.MembershipChange | None:
        departing = [
            member.identity
            for member in group.voters
            if self._is_departing(member.identity, now)
        ]
        if not departing:
            return None
        if len(group.voters) > self._desired_voters:
            return events.RemoveMemberProposed(token, departing[0])
        return self._promote_first(group, token, now)

    def _is_departing(self, identity: str, now: datetime.timedelta) -> bool:
        noted_at = self._departures.get(identity)
        return noted_at is not None and now - noted_at < REQUEST_LIFETIME

    def _remove_inactive(
        self, group: GroupState, token: int, now: datetime.timedelta
    ) -> events.MembershipChange | None:
        inactive = group.list_inactive_voters(now)
        is_replaceable = len(group.voters) > self._desired_voters or (
            len(group.voters) == self._desired_voters
            and bool(self._list_promotable(group, now))
        )
        if inactive and is_replaceable:
            return events.RemoveMemberProposed(token, inactive[0].identity)
        unresponsive_learners = [
            member.identity
            for member in group.members
            if not member.voter
            and group.is_unresponsive(member, now - REMOVE_LEARNER_AFTER)
        ]
        return (
            events.RemoveMemberProposed(token, unresponsive_learners[0])
            if unresponsive_learners
            else None
        )

    def _list_promotable(
        self, group: GroupState, now: datetime.timedelta
    ) -> list[str]:
        """Return the learners that can serve as voters.

        They run, are not about to stop and hold all committed entries.
        """
        return [
            member.identity
            for member in group.members
            if not member.voter
            and group.is_caught_up(member)
            and not self._is_departing(member.identity, now)
            and not group.is_unresponsive(member, now - REPLACE_VOTER_AFTER)
        ]
