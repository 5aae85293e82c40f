"""Merge rules for target and node records, suspicion and expiry."""

import collections.abc
import datetime
import enum
import itertools

import msgspec

from egretfork.gossip import messages
from egretfork.gossip import store
from egretfork import model

EXPIRY_DELAY = datetime.timedelta(seconds=5)
EXPIRY_WINDOW = datetime.timedelta(seconds=10)
SUSPICION_LIFETIME = datetime.timedelta(seconds=10)
MAX_OBSERVERS = 2
EXPIRED_RETENTION = datetime.timedelta(hours=2)
# Records of left targets are kept this long, because a network partition may
# deliver an old announcement hours after the target left.
LEFT_RETENTION = datetime.timedelta(hours=24)
MAX_LEFT_RECORDS = 8_192


class MergeOutcome(enum.Enum):
    """How a received record compares with the stored one."""

    NEWER = "newer"
    KNOWN = "known"
    OLDER = "older"


class Membership:
    """Applies received records to the store and expires suspect targets."""

    def __init__(self, records: store.Store) -> None:
        self._store = records
        self._suspects: set[str] = set()
        self._unconfirmed_suspects: set[str] = set()
        self._left: dict[str, datetime.timedelta] = {}
        self._visible: dict[str, tuple[model.TargetAnnouncement, ...]] = {}
        self.changed_services: set[str] = set()

    def merge_target(
        self, announcement: model.TargetAnnouncement, now: datetime.timedelta
    ) -> MergeOutcome:
        """Store an announcement if it is newer than the stored one."""
        known = self._store.targets.get(announcement.agent)
        rank = store.rank_target(announcement)
        if known is not None:
            known_rank = store.rank_target(known.announcement)
            if rank <= known_rank:
                same = rank == known_rank
                return MergeOutcome.KNOWN if same else MergeOutcome.OLDER
            self.changed_services.add(known.announcement.service)
        self._clear_suspicions(announcement.agent)
        self._left.pop(announcement.agent, None)
        record = store.TargetRecord(announcement)
        if announcement.state is model.TargetState.LEFT:
            record.left_at = now
            self._left[announcement.agent] = now
        self._store.set_target(record)
        self.changed_services.add(announcement.service)
        return MergeOutcome.NEWER

    def merge_node(self, record: messages.NodeRecord) -> MergeOutcome:
        """Store a node's record if it is newer than the stored one."""
        known = self._store.nodes.get(record.name)
        if known is not None and record.rank <= known.rank:
            same = record.rank == known.rank
            return MergeOutcome.KNOWN if same else MergeOutcome.OLDER
        self._store.set_node(record)
        return MergeOutcome.NEWER

    def merge_suspicion(
        self, suspicion: messages.Suspicion, now: datetime.timedelta
    ) -> MergeOutcome:
        """Record that an observer suspects a target.

        A suspicion that refers to an earlier announcement is ignored, because
        the target refuted it with a newer one.
        """
        known = self._store.targets.get(suspicion.agent)
        if known is None:
            return MergeOutcome.KNOWN
        order = (suspicion.incarnation, suspicion.sequence)
        if order < known.announcement.order:
            return MergeOutcome.OLDER
        if order > known.announcement.order or known.left_at is not None:
            return MergeOutcome.KNOWN
        if suspicion.observer in known.suspicions:
            return MergeOutcome.KNOWN
        if len(known.suspicions) >= MAX_OBSERVERS:
            return MergeOutcome.KNOWN
        known.suspicions[suspicion.observer] = now
        self._unconfirmed_suspects.add(suspicion.agent)
        needed = self._count_needed_observers(known)
        if known.suspected_at is None and len(known.suspicions) >= needed:
            self._mark_suspect(known, now)
        return MergeOutcome.NEWER

    def expire(self, now: datetime.timedelta) -> None:
        """Remove suspect targets that are due, and outdated records."""
        self._clear_unsupported_suspects()
        self._expire_suspicions(now)
        due = {
            self._store.targets[name].announcement.service
            for name in self._suspects
        }
        for service in due:
            self._expire_service(service, now)
        self._remove_left(now)

    def list_visible(
        self, service: str
    ) -> tuple[model.TargetAnnouncement, ...]:
        """Return a service's targets that have neither left nor expired."""
        return tuple(
            _get_visible_announcement(record)
            for _, record in sorted(self._store.list_service(service).items())
            if record.left_at is None and record.expired_at is None
        )

    def take_changes(self) -> tuple[model.TargetAnnouncement, ...] | None:
        """Return the visible targets of all services if any changed."""
        if not self.changed_services:
            return None
        known = len(self._visible)
        for service in self.changed_services:
            self._visible[service] = self.list_visible(service)
        if len(self._visible) != known:
            self._visible = dict(sorted(self._visible.items()))
        self.changed_services.clear()
        return tuple(itertools.chain.from_iterable(self._visible.values()))

    def is_suspect(self, agent: str) -> bool:
        """Return whether enough observers suspect a target."""
        return agent in self._suspects

    def _mark_suspect(
        self, record: store.TargetRecord, now: datetime.timedelta
    ) -> None:
        record.suspected_at = now
        self._suspects.add(record.announcement.agent)
        self._unconfirmed_suspects.discard(record.announcement.agent)
        self._store.update_target(record)
        self.changed_services.add(record.announcement.service)

    def _clear_unsupported_suspects(self) -> None:
        """Clear suspects that no longer have enough observers.

        A starting node knows few agents of a service at first, and one
        observer is enough for a service of at most two agents. The required
        number rises once the node learns of more agents.
        """
        for name in list(self._suspects):
            record = self._store.targets[name]
            needed = self._count_needed_observers(record)
            if len(record.suspicions) >= needed:
                continue
            record.suspected_at = None
            record.expired_at = None
            self._suspects.discard(name)
            self._unconfirmed_suspects.add(name)
            self._store.update_target(record)
            self.changed_services.add(record.announcement.service)

    def _count_needed_observers(self, record: store.TargetRecord) -> int:
        members = self._list_members(record.announcement.service)
        return 1 if len(members) <= 2 else MAX_OBSERVERS

    def _list_members(self, service: str) -> list[store.TargetRecord]:
        return [
            record
            for record in self._store.list_service(service).values()
            if record.left_at is None
        ]

    def _clear_suspicions(self, name: str) -> None:
        self._suspects.discard(name)
        self._unconfirmed_suspects.discard(name)

    def _expire_suspicions(self, now: datetime.timedelta) -> None:
        for name in list(self._unconfirmed_suspects):
            record = self._store.targets[name]
            record.suspicions = {
                observer: since
                for observer, since in record.suspicions.items()
                if now - since < SUSPICION_LIFETIME
            }
            if not record.suspicions:
                self._unconfirmed_suspects.discard(name)

    def _expire_service(self, service: str, now: datetime.timedelta) -> None:
        members = self._list_members(service)
        limit = count_removable(members, now)
        due = sorted(
            (record.suspected_at, record.announcement.agent)
            for record in members
            if record.suspected_at is not None
            and record.expired_at is None
            and now - record.suspected_at >= EXPIRY_DELAY
        )
        for _, name in due[:limit]:
            self._store.targets[name].expired_at = now
            self.changed_services.add(service)
        self._mark_expired_as_left(members, now)

    def _mark_expired_as_left(
        self,
        members: collections.abc.Sequence[store.TargetRecord],
        now: datetime.timedelta,
    ) -> None:
        # While other targets are suspect, this side of a partition may be the
        # isolated one. The expired targets then still count towards the size
        # of the service, so that at least half of it stays visible.
        if any(
            record.suspected_at is not None and record.expired_at is None
            for record in members
        ):
            return
        for record in members:
            if record.expired_at is None:
                continue
            if now - record.expired_at >= EXPIRED_RETENTION:
                self.merge_target(store.mark_left(record.announcement), now)

    def _remove_left(self, now: datetime.timedelta) -> None:
        # The dictionary is ordered by the time of leaving.
        while self._left:
            name, since = next(iter(self._left.items()))
            recent = now - since < LEFT_RETENTION
            if recent and len(self._left) <= MAX_LEFT_RECORDS:
                return
            del self._left[name]
            self._store.remove_target(name)


def count_removable(
    members: collections.abc.Sequence[store.TargetRecord],
    now: datetime.timedelta,
) -> int:
    """Return how many targets of a service may be removed now.

    At most a third (rounded down, at least one) is removed in 10 s, and
    the last half (rounded up) is never removed.
    """
    removed = [
        record.expired_at
        for record in members
        if record.expired_at is not None
    ]
    recent = sum(1 for since in removed if now - since < EXPIRY_WINDOW)
    third = max(1, len(members) // 3)
    return max(0, min(len(members) // 2 - len(removed), third - recent))


def _get_visible_announcement(
    record: store.TargetRecord,
) -> model.TargetAnnouncement:
    if record.suspected_at is None:
        return record.announcement
    return msgspec.structs.replace(
        record.announcement, state=model.TargetState.SUSPECT
    )
