"""Selection of the record group of each service.

A group consists of up to three agents, in different availability zones
where possible. A new epoch is started when a member has restarted, has left
or was suspect for ten seconds, when another agent can replace a draining
member, and when an incomplete group can grow.
"""

import collections.abc
import datetime
import itertools

from egretfork import model

GROUP_SIZE = 3
SUSPECT_TIMEOUT = datetime.timedelta(seconds=10)

# Targets of a service that start at the same time announce themselves within
# this delay. A group formed from the first ones only would have to change
# immediately.
SETTLE_DELAY = datetime.timedelta(seconds=2)

# New members of an epoch need this time to collect the seals of the previous
# epoch.
EPOCH_INTERVAL = datetime.timedelta(seconds=5)

Announcements = tuple[model.TargetAnnouncement, ...]


class RecordGroupPlanner:
    """Plans record groups, based on how long agents have been suspect."""

    def __init__(self) -> None:
        self._suspect_since: dict[str, datetime.timedelta] = {}
        self._change_due_since: dict[str, datetime.timedelta] = {}
        self._changed_at: dict[str, datetime.timedelta] = {}

    def plan(
        self,
        services: tuple[model.Service, ...],
        groups: collections.abc.Mapping[str, model.RecordGroup],
        announcements: Announcements,
        now: datetime.timedelta,
    ) -> tuple[model.RecordGroup, ...]:
        """Return the record groups whose next epoch is due."""
        self._update_suspects(announcements, now)
        return tuple(
            group
            for service in services
            if (
                group := self._plan_service(
                    service.name, groups, announcements, now
                )
            )
        )

    def handle_group_changed(
        self, group: model.RecordGroup, now: datetime.timedelta
    ) -> None:
        """Start the minimum interval until the next epoch of the group."""
        self._changed_at[group.service] = now

    def _update_suspects(
        self, announcements: Announcements, now: datetime.timedelta
    ) -> None:
        self._suspect_since = {
            item.agent: self._suspect_since.get(item.agent, now)
            for item in announcements
            if item.state is model.TargetState.SUSPECT
        }

    def _plan_service(
        self,
        service: str,
        groups: collections.abc.Mapping[str, model.RecordGroup],
        announcements: Announcements,
        now: datetime.timedelta,
    ) -> model.RecordGroup | None:
        latest = groups.get(service)
        announced = [item for item in announcements if item.service == service]
        members = self._select_members(latest, announced, now)
        current = latest.members if latest else ()
        if not members or set(members) == set(current):
            self._change_due_since.pop(service, None)
            return None
        if not self._is_due(service, current, members, now):
            return None
        return model.RecordGroup(
            service=service,
            epoch=(latest.epoch if latest else 0) + 1,
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
        since = self._change_due_since.setdefault(service, now)
        grows = set(current) <= set(members)
        settled = now - since >= SETTLE_DELAY
        return settled or not grows or len(members) == GROUP_SIZE

    def _select_members(
        self,
        latest: model.RecordGroup | None,
        announced: list[model.TargetAnnouncement],
        now: datetime.timedelta,
    ) -> tuple[model.AgentIdentity, ...]:
        current = set(latest.members) if latest else set()
        kept = [
            item
            for item in announced
            if item.identity in current and self._can_remain(item, now)
        ]
        candidates = [
            item
            for item in announced
            if item.identity not in current
            and item.state is model.TargetState.READY
        ]
        staying = [item for item in kept if not _is_draining(item)]
        draining = [item for item in kept if _is_draining(item)]
        chosen = _fill_group(staying, candidates)
        chosen = _fill_group(chosen, draining)
        return tuple(sorted(item.identity for item in chosen))

    def _can_remain(
        self, item: model.TargetAnnouncement, now: datetime.timedelta
    ) -> bool:
        since = self._suspect_since.get(item.agent, now)
        is_lost = now - since >= SUSPECT_TIMEOUT
        return item.state is not model.TargetState.LEFT and not is_lost


def _is_draining(item: model.TargetAnnouncement) -> bool:
    return item.state is model.TargetState.DRAINING


def _fill_group(
    chosen: list[model.TargetAnnouncement],
    candidates: list[model.TargetAnnouncement],
) -> list[model.TargetAnnouncement]:
    """Add candidates up to the group size, from unused zones if possible."""
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
