"""Change of epoch: sealing the one before and loading its records."""

import collections
import dataclasses
import datetime
import functools

from egretfork.agent import context as contexts
from egretfork.agent import peers
from egretfork.agent import records
from egretfork.agent import recordtable
from egretfork import model
from egretfork import wire

PAGE_RECORDS = 100
SEAL_RESEND = datetime.timedelta(milliseconds=100)
MAX_GROUPS_AHEAD = 64
SNAPSHOT_LIFETIME = datetime.timedelta(minutes=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Records of a sealed epoch, kept for the members of the next."""

    epoch: int
    items: tuple[tuple[bytes, recordtable.Entry], ...]
    lost_before_ms: int


@dataclasses.dataclass(slots=True)
class Source:
    """A member of the epoch before, whose records are being fetched."""

    member: model.AgentIdentity
    offset: int = 0
    done: bool = False


class EpochChanger:
    """Seals the epoch that ends and loads its records into the next.

    The new epoch is served once a majority of the members before it is
    sealed, or once so many of them have certainly ended that no majority
    of them can ever vote; keys made until then are not served.
    """

    def __init__(
        self,
        context: contexts.Context,
        table: peers.PeerTable,
        member: records.RecordMember,
    ) -> None:
        self._context = context
        self._peers = table
        self._member = member
        self._snapshot: Snapshot | None = None
        self._sources: tuple[Source, ...] = ()
        self._loading = 0
        self._began = datetime.timedelta()
        self._ahead: collections.deque[model.RecordGroup] = collections.deque(
            maxlen=MAX_GROUPS_AHEAD
        )

    def handle_group(
        self, group: model.RecordGroup, now: datetime.timedelta
    ) -> None:
        """Take up the group of a newer epoch, after those before it.

        A member that left out an epoch could not be sealed for it, and if
        a majority did, no later epoch would ever be served.
        """
        newest = self._member.newest
        if newest is not None and group.epoch <= newest.epoch:
            return
        self._member.newest = group
        self._ahead.append(group)
        self._advance(now)

    def _advance(self, now: datetime.timedelta) -> None:
        while self._ahead and not self._loading:
            group = self._find_missed(self._ahead[0])
            if group is None:
                group = self._ahead.popleft()
            self._enter(group, now)

    def _find_missed(
        self, group: model.RecordGroup
    ) -> model.RecordGroup | None:
        """Return the group between the present one and the next."""
        current = self._member.group
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
        current = self._member.group
        if current is not None and self._member.serving:
            self._seal(current.epoch, now)
        self._member.enter(group)
        if self._context.identity not in group.members:
            self._member.table.clear()
            return
        if not group.previous:
            self._member.serving = True
            return
        self._began = now
        self._load(group, now)

    def _seal(self, epoch: int, now: datetime.timedelta) -> None:
        """Stop voting in an epoch and keep its records for the next."""
        self._snapshot = Snapshot(
            epoch,
            tuple(self._member.table.items()),
            self._member.lost_before_ms,
        )
        self._member.stop()
        self._context.timers.schedule(
            now + SNAPSHOT_LIFETIME,
            functools.partial(self._forget_snapshot, self._snapshot),
        )

    def _forget_snapshot(
        self, snapshot: Snapshot, now: datetime.timedelta
    ) -> None:
        if self._snapshot is snapshot:
            self._snapshot = None

    def handle_seal_request(
        self, request: wire.SealRequest, now: datetime.timedelta
    ) -> None:
        """Seal the epoch asked for and send a page of its records."""
        group = self._member.group
        if group is None or request.service != self._context.service:
            return
        if request.epoch == group.epoch and self._member.serving:
            self._seal(request.epoch, now)
        snapshot = self._snapshot
        if snapshot is None or snapshot.epoch != request.epoch:
            return
        page = snapshot.items[request.offset : request.offset + PAGE_RECORDS]
        now_ms = contexts.to_ms(now)
        self._context.send(
            request.sender,
            wire.SealReply(
                service=self._context.service,
                epoch=snapshot.epoch,
                member=self._context.identity,
                offset=request.offset,
                total=len(snapshot.items),
                records=tuple(
                    recordtable.to_wire(key, entry, now_ms)
                    for key, entry in page
                ),
                lost_before_ms=snapshot.lost_before_ms,
            ),
        )

    def _load(self, group: model.RecordGroup, now: datetime.timedelta) -> None:
        own = self._context.identity
        snapshot = self._snapshot
        if snapshot is None or snapshot.epoch != group.epoch - 1:
            self._member.table.clear()
            snapshot = None
        self._loading = group.epoch
        self._sources = tuple(Source(item) for item in group.previous)
        for source in self._sources:
            source.done = source.member == own and snapshot is not None
        if not self._finish(now):
            self._ask(group.epoch, now)

    def _ask(self, epoch: int, now: datetime.timedelta) -> None:
        if self._loading != epoch:
            return
        for source in self._sources:
            self._ask_source(source)
        if self._finish(now) or self._serve_without_lost(now):
            return
        if self._ahead and now - self._began >= SNAPSHOT_LIFETIME:
            # The members before have forgotten the records by now.
            self._loading = 0
            self._advance(now)
            return
        self._context.timers.schedule(
            now + SEAL_RESEND, functools.partial(self._ask, epoch)
        )

    def _ask_source(self, source: Source) -> None:
        address = self._peers.find_address(source.member)
        if source.done or address in (None, self._context.address):
            return
        assert address is not None
        self._context.send(
            address,
            wire.SealRequest(
                service=self._context.service,
                epoch=self._loading - 1,
                sender=self._context.address,
                offset=source.offset,
            ),
        )

    def handle_seal_reply(
        self, reply: wire.SealReply, now: datetime.timedelta
    ) -> None:
        """Take in a page of records of a sealed member."""
        if not self._loading or reply.epoch != self._loading - 1:
            return
        source = next(
            (item for item in self._sources if item.member == reply.member),
            None,
        )
        if source is None or source.done or reply.offset != source.offset:
            return
        now_ms = contexts.to_ms(now)
        table = self._member.table
        for record in reply.records:
            if recordtable.outranks(record, table.get(record.key)):
                table.write(record, now_ms)
        self._member.lost_before_ms = max(
            self._member.lost_before_ms, reply.lost_before_ms
        )
        source.offset += len(reply.records)
        source.done = source.offset >= reply.total
        if not self._finish(now) and not source.done:
            self._ask_source(source)

    def _finish(self, now: datetime.timedelta) -> bool:
        sealed = sum(1 for source in self._sources if source.done)
        if sealed < records.count_majority(len(self._sources)):
            return False
        self._serve(now)
        return True

    def _serve_without_lost(self, now: datetime.timedelta) -> bool:
        """Serve later keys if a majority before has certainly ended."""
        gone = sum(
            1
            for source in self._sources
            if not source.done and self._peers.is_gone(source.member)
        )
        left = len(self._sources) - gone
        if left >= records.count_majority(len(self._sources)):
            return False
        wall_ms = self._context.read_wall_clock_ms(now)
        self._member.lost_before_ms = wall_ms + records.LOST_MARGIN_MS
        self._context.log(
            "run records lost",
            step="load records",
            detail=f"{gone} of {len(self._sources)} members have ended",
        )
        self._serve(now)
        return True

    def _serve(self, now: datetime.timedelta) -> None:
        self._loading = 0
        self._member.table.sort_by_age()
        self._member.serving = True
        self._advance(now)
