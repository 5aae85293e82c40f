"""Decision on the record group of each service.

A group has up to three agents in different availability zones where
possible. A new epoch is formed when a member restarted, left or was suspect
for ten seconds, when a member drains and another agent can take its place,
and when a group that is too small can grow.
"""

import collections.abc
import datetime
import itertools

from egretfork import model

GROUP_SIZE = 3
SUSPECT_LIMIT = datetime.timedelta(seconds=10)

# Targets of a service that start together announce themselves within this
# time; a group formed on the first of them would change at once.
SETTLE_TIME = datetime.timedelta(seconds=2)

# New members of an epoch need this long to collect the seals of the last.
EPOCH_INTERVAL = datetime.timedelta(seconds=5)

Announcements = tuple[model.TargetAnnouncement, ...]


class GroupKeeper:
    """Times since when agents are suspect and groups could change."""

    def __init__(self) -> None:
        self._suspect_since: dict[str, datetime.timedelta] = {}
        self._wanted_since: dict[str, datetime.timedelta] = {}
        self._changed_at: dict[str, datetime.timedelta] = {}

    def decide(
        self,
        services: tuple[model.Service, ...],
        groups: collections.abc.Mapping[str, model.RecordGroup],
        announcements: Announcements,
        now: datetime.timedelta,
    ) -> tuple[model.RecordGroup, ...]:
        """Return the next epochs that are due."""
        self._note_suspects(announcements, now)
        return tuple(
            group
            for service in services
            if (
                group := self._decide_service(
                    service.name, groups, announcements, now
                )
            )
        )

    def note_changed(
        self, group: model.RecordGroup, now: datetime.timedelta
    ) -> None:
        """Start the time in which the group does not change again."""
        self._changed_at[group.service] = now

    def _note_suspects(
        self, announcements: Announcements, now: datetime.timedelta
    ) -> None:
        self._suspect_since = {
            item.agent: self._suspect_since.get(item.agent, now)
            for item in announcements
            if item.state is model.TargetState.SUSPECT
        }

    def _decide_service(
        self,
        service: str,
        groups: collections.abc.Mapping[str, model.RecordGroup],
        announcements: Announcements,
        now: datetime.timedelta,
    ) -> model.RecordGroup | None:
        known = groups.get(service)
        own = [item for item in announcements if item.service == service]
        members = self._choose(known, own, now)
        current = known.members if known else ()
        if not members or set(members) == set(current):
            self._wanted_since.pop(service, None)
            return None
        if not self._is_due(service, current, members, now):
            return None
        return model.RecordGroup(
            service=service,
            epoch=(known.epoch if known else 0) + 1,
            members=members,
            previous=current,
        )

    def _is_due(
        self,
        service: str,
        current: tuple[model.AgentIdentity, ...],
        members: tuple[model.AgentIdentity, ...],
        now: datetime.timedelta,
    ) -> bool:
        changed_at = self._changed_at.get(service)
        if changed_at is not None and now - changed_at < EPOCH_INTERVAL:
            return False
        since = self._wanted_since.setdefault(service, now)
        grows = set(current) <= set(members)
        settled = now - since >= SETTLE_TIME
        return settled or not grows or len(members) == GROUP_SIZE

    def _choose(
        self,
        known: model.RecordGroup | None,
        own: list[model.TargetAnnouncement],
        now: datetime.timedelta,
    ) -> tuple[model.AgentIdentity, ...]:
        current = set(known.members) if known else set()
        kept = [
            item
            for item in own
            if item.identity in current and self._may_stay(item, now)
        ]
        fresh = [
            item
            for item in own
            if item.identity not in current
            and item.state is model.TargetState.READY
        ]
        steady = [item for item in kept if not _is_leaving(item)]
        leaving = [item for item in kept if _is_leaving(item)]
        chosen = _fill(steady, fresh)
        chosen = _fill(chosen, leaving)
        return tuple(sorted(item.identity for item in chosen))

    def _may_stay(
        self, item: model.TargetAnnouncement, now: datetime.timedelta
    ) -> bool:
        since = self._suspect_since.get(item.agent, now)
        is_lost = now - since >= SUSPECT_LIMIT
        return item.state is not model.TargetState.LEFT and not is_lost


def _is_leaving(item: model.TargetAnnouncement) -> bool:
    return item.state is model.TargetState.DRAINING


def _fill(
    chosen: list[model.TargetAnnouncement],
    candidates: list[model.TargetAnnouncement],
) -> list[model.TargetAnnouncement]:
    """Add candidates up to the size of a group, spread over zones."""
    result = list(chosen)
    remaining = sorted(candidates, key=lambda item: item.agent)
    for _ in itertools.repeat(None, GROUP_SIZE - len(result)):
        if not remaining:
            break
        used = {item.availability_zone for item in result}
        best = min(remaining, key=lambda item: item.availability_zone in used)
        remaining.remove(best)
        result.append(best)
    return result
