"""Epoch transitions: seals the previous epoch and loads its records."""

import collections
import dataclasses
import datetime
import functools

from egretfork.agent import context as context_module
from egretfork.agent import peers
from egretfork.agent import records
from egretfork.agent import recordtable
from egretfork import model
from egretfork import wire

RECORDS_PER_PAGE = 100
SEAL_RESEND = datetime.timedelta(milliseconds=100)
MAX_PENDING_GROUPS = 64
SNAPSHOT_LIFETIME = datetime.timedelta(minutes=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Records of a sealed epoch, kept for the members of the next epoch."""

    epoch: int
    items: tuple[tuple[bytes, recordtable.StoredRecord], ...]
    lost_before_ms: int


@dataclasses.dataclass(slots=True)
class RecordSource:
    """Progress of fetching records from a member of the previous epoch."""

    member: model.AgentIdentity
    offset: int = 0
    done: bool = False


class EpochTransition:
    """Seals the previous epoch and loads its records into the next one.

    The new epoch is served once a majority of the previous members is sealed,
    or once so many of them have certainly ended that they can never form a
    majority again. In the second case, keys created before that time are not
    served.
    """

    def __init__(
        self,
        context: context_module.Context,
        peer_table: peers.PeerTable,
        member: records.RecordMember,
    ) -> None:
        self._context = context
        self._peers = peer_table
        self._member = member
        self._snapshot: Snapshot | None = None
        self._sources: tuple[RecordSource, ...] = ()
        self._loading_epoch = 0
        self._loading_since = datetime.timedelta()
        self._pending_groups: collections.deque[model.RecordGroup] = (
            collections.deque(maxlen=MAX_PENDING_GROUPS)
        )

    def handle_group(
        self, group: model.RecordGroup, now: datetime.timedelta
    ) -> None:
        """Queue the group of a newer epoch; epochs are entered in order.

        A member that skips an epoch cannot be sealed for it. If a majority
        skipped one, no later epoch could ever be served.
        """
        newest_group = self._member.newest_group
        if newest_group is not None and group.epoch <= newest_group.epoch:
            return
        self._member.newest_group = group
        self._pending_groups.append(group)
        self._enter_pending_groups(now)

    def _enter_pending_groups(self, now: datetime.timedelta) -> None:
        while self._pending_groups and not self._loading_epoch:
            group = self._rebuild_skipped_group(self._pending_groups[0])
            if group is None:
                group = self._pending_groups.popleft()
            self._enter(group, now)

    def _rebuild_skipped_group(
        self, group: model.RecordGroup
    ) -> model.RecordGroup | None:
        """Return the group of a skipped epoch that this agent must enter.

        The group can be rebuilt only if exactly one epoch is missing, and must
        be entered only if this agent is a member of it.
        """
        current = self._member.current_group
        if current is None or group.epoch != current.epoch + 2:
            return None
        if self._context.identity not in group.previous:
            return None
        return model.RecordGroup(
            group.service,
            current.epoch + 1,
            group.previous,
            current.members,
        )

    def _enter(
        self, group: model.RecordGroup, now: datetime.timedelta
    ) -> None:
        current = self._member.current_group
        if current is not None and self._member.serving:
            self._seal(current.epoch, now)
        self._member.enter_group(group)
        if self._context.identity not in group.members:
            self._member.table.clear()
            return
        if not group.previous:
            self._member.serving = True
            return
        self._loading_since = now
        self._load(group, now)

    def _seal(self, epoch: int, now: datetime.timedelta) -> None:
        """Stop voting in an epoch and take a snapshot of its records."""
        self._snapshot = Snapshot(
            epoch,
            tuple(self._member.table.items()),
            self._member.lost_before_ms,
        )
        self._member.stop_voting()
        self._context.timers.schedule(
            now + SNAPSHOT_LIFETIME,
            functools.partial(self._discard_snapshot, self._snapshot),
        )

    def _discard_snapshot(
        self, snapshot: Snapshot, now: datetime.timedelta
    ) -> None:
        if self._snapshot is snapshot:
            self._snapshot = None

    def handle_seal_request(
        self, request: wire.SealRequest, now: datetime.timedelta
    ) -> None:
        """Seal the requested epoch and send a page of its records."""
        group = self._member.current_group
        if group is None or request.service != self._context.service:
            return
        if request.epoch == group.epoch and self._member.serving:
            self._seal(request.epoch, now)
        snapshot = self._snapshot
        if snapshot is None or snapshot.epoch != request.epoch:
            return
        page = snapshot.items[
            request.offset : request.offset + RECORDS_PER_PAGE
        ]
        now_ms = context_module.to_ms(now)
        self._context.send(
            request.sender,
            wire.SealReply(
                service=self._context.service,
                epoch=snapshot.epoch,
                member=self._context.identity,
                offset=request.offset,
                total=len(snapshot.items),
                records=tuple(
                    recordtable.to_wire(key, stored, now_ms)
                    for key, stored in page
                ),
                lost_before_ms=snapshot.lost_before_ms,
            ),
        )

    def _load(self, group: model.RecordGroup, now: datetime.timedelta) -> None:
        own_identity = self._context.identity
        snapshot = self._snapshot
        if snapshot is None or snapshot.epoch != group.epoch - 1:
            self._member.table.clear()
            snapshot = None
        self._loading_epoch = group.epoch
        self._sources = tuple(RecordSource(item) for item in group.previous)
        for source in self._sources:
            source.done = (
                source.member == own_identity and snapshot is not None
            )
        if not self._serve_if_majority_sealed(now):
            self._request_pages(group.epoch, now)

    def _request_pages(self, epoch: int, now: datetime.timedelta) -> None:
        if self._loading_epoch != epoch:
            return
        for source in self._sources:
            self._request_page(source)
        if self._serve_if_majority_sealed(
            now
        ) or self._serve_after_record_loss(now):
            return
        if (
            self._pending_groups
            and now - self._loading_since >= SNAPSHOT_LIFETIME
        ):
            # The previous members have discarded their snapshots by now.
            self._loading_epoch = 0
            self._enter_pending_groups(now)
            return
        self._context.timers.schedule(
            now + SEAL_RESEND, functools.partial(self._request_pages, epoch)
        )

    def _request_page(self, source: RecordSource) -> None:
        address = self._peers.find_address(source.member)
        if source.done or address in (None, self._context.address):
            return
        assert address is not None
        self._context.send(
            address,
            wire.SealRequest(
                service=self._context.service,
                epoch=self._loading_epoch - 1,
                sender=self._context.address,
                offset=source.offset,
            ),
        )

    def handle_seal_reply(
        self, reply: wire.SealReply, now: datetime.timedelta
    ) -> None:
        """Store a page of records from a sealed member."""
        if not self._loading_epoch or reply.epoch != self._loading_epoch - 1:
            return
        source = next(
            (item for item in self._sources if item.member == reply.member),
            None,
        )
        if source is None or source.done or reply.offset != source.offset:
            return
        now_ms = context_module.to_ms(now)
        table = self._member.table
        for record in reply.records:
            if recordtable.supersedes(record, table.get(record.key)):
                table.write(record, now_ms)
        self._member.lost_before_ms = max(
            self._member.lost_before_ms, reply.lost_before_ms
        )
        source.offset += len(reply.records)
        source.done = source.offset >= reply.total
        if not self._serve_if_majority_sealed(now) and not source.done:
            self._request_page(source)

    def _serve_if_majority_sealed(self, now: datetime.timedelta) -> bool:
        sealed = sum(1 for source in self._sources if source.done)
        if sealed < records.compute_majority(len(self._sources)):
            return False
        self._start_serving(now)
        return True

    def _serve_after_record_loss(self, now: datetime.timedelta) -> bool:
        """Serve only newer keys if the previous majority has ended."""
        ended_count = sum(
            1
            for source in self._sources
            if not source.done
            and self._peers.has_incarnation_ended(source.member)
        )
        remaining_count = len(self._sources) - ended_count
        if remaining_count >= records.compute_majority(len(self._sources)):
            return False
        wall_ms = self._context.read_wall_clock_ms(now)
        self._member.lost_before_ms = wall_ms + records.LOST_KEY_MARGIN_MS
        self._context.log(
            "run records lost",
            step="load records",
            detail=f"{ended_count} of {len(self._sources)} members have ended",
        )
        self._start_serving(now)
        return True

    def _start_serving(self, now: datetime.timedelta) -> None:
        self._loading_epoch = 0
        self._member.table.sort_by_age()
        self._member.serving = True
        self._enter_pending_groups(now)
