"""Replication of run records in a record group (design, section 3)."""

import dataclasses
import datetime
import functools

import msgspec
import xxhash

from egretfork.agent import context as context_module
from egretfork.agent import peers
from egretfork.agent import recordtable
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire

KEY_LIFETIME_MS = 480_000
MAX_KEY_LEAD_MS = 30_000
# Key times may be up to 30 s ahead of the clock that accepts them, and clocks
# may differ by another 30 s.
LOST_KEY_MARGIN_MS = 60_000
REPLICATE_RESEND = datetime.timedelta(milliseconds=60)
MAX_REPLICATE_SENDS = 30
SWEEP_INTERVAL = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class ReplicationRound:
    """Replication of one record until a majority has acknowledged it."""

    key: bytes
    sequence: int
    acknowledged_by: set[model.AgentIdentity]
    requesters: dict[tuple[model.Endpoint, int], None]
    send_count: int = 0


def choose_primary_index(group: model.RecordGroup, key: bytes) -> int:
    """Return the index of the member that is the primary of a key."""
    return xxhash.xxh3_64_intdigest(key) % len(group.members)


def compute_majority(member_count: int) -> int:
    """Return the number of members that form a majority."""
    return member_count // 2 + 1


class RecordMember:
    """Member of a record group, as primary or replica depending on the key.

    ``newest_group`` is the newest known group of the service, and
    ``current_group`` the one that the member has entered. The member votes
    only while ``serving`` is set: the agent belongs to the group, the records
    of the previous epoch are loaded, and the epoch is not sealed.
    """

    def __init__(
        self, context: context_module.Context, peer_table: peers.PeerTable
    ) -> None:
        self._context = context
        self._peers = peer_table
        self.current_group: model.RecordGroup | None = None
        self.newest_group: model.RecordGroup | None = None
        self.table = recordtable.RecordTable()
        self.serving = False
        self.lost_before_ms = 0
        self._rounds: dict[int, ReplicationRound] = {}
        self._rounds_by_key: dict[bytes, ReplicationRound] = {}
        self._swept_at = datetime.timedelta()

    def enter_group(self, group: model.RecordGroup) -> None:
        """Switch to a new group, without voting until ``serving`` is set."""
        self.current_group = group
        self.stop_voting()

    def stop_voting(self) -> None:
        """Stop voting in the current epoch and cancel replication."""
        self.serving = False
        self._rounds.clear()
        self._rounds_by_key.clear()

    def sweep(self, now: datetime.timedelta) -> None:
        """Remove expired records, at most once a second."""
        if now - self._swept_at < SWEEP_INTERVAL:
            return
        self._swept_at = now
        self.table.expire(context_module.to_ms(now))

    def handle_request(
        self, request: wire.RecordRequest, now: datetime.timedelta
    ) -> None:
        """Decide a key as its primary and replicate the decision."""
        refusal = self._check_request(request, now)
        if refusal is not None:
            self._refuse(request, refusal)
            return
        key = request.record.key
        existing = self.table.get(key)
        decision = self._decide(request, existing)
        if decision is None and existing is not None and existing.committed:
            self._reply(request.sender, request.query_id, key, now)
            return
        if decision is not None and existing is None and self.table.is_full:
            self._refuse(request, reasons.UnknownOutcome.RECORDS_FULL)
            return
        self._replicate(request, decision, now)

    def _check_request(
        self, request: wire.RecordRequest, now: datetime.timedelta
    ) -> reasons.UnknownOutcome | None:
        group = self.current_group
        if group is None or not self.serving:
            return reasons.UnknownOutcome.RECORDS_UNREACHABLE
        key = request.record.key
        if request.epoch != group.epoch or (
            group.members[choose_primary_index(group, key)]
            != self._context.identity
        ):
            return reasons.UnknownOutcome.RECORDS_UNREACHABLE
        return self._check_key_time(key, now)

    def _check_key_time(
        self, key: bytes, now: datetime.timedelta
    ) -> reasons.UnknownOutcome | None:
        created_ms = coap.read_key_time_ms(key)
        wall_ms = self._context.read_wall_clock_ms(now)
        if created_ms is None or created_ms < wall_ms - KEY_LIFETIME_MS:
            return reasons.UnknownOutcome.KEY_EXPIRED
        if created_ms >= self.lost_before_ms:
            return None
        existing = self.table.get(key)
        # A known grant remains valid, but a void record may have been followed
        # by a grant that was lost.
        if existing is not None and existing.state is wire.RecordState.GRANTED:
            return None
        return reasons.UnknownOutcome.RECORDS_LOST

    def _decide(
        self,
        request: wire.RecordRequest,
        existing: recordtable.StoredRecord | None,
    ) -> wire.RunRecord | None:
        """Return the record to write, ``None`` to keep the existing one."""
        attempt = request.record.attempt
        if existing is not None:
            if existing.state is wire.RecordState.GRANTED:
                return None
            if attempt <= existing.attempt:
                return None
        granting = request.action is wire.RecordAction.GRANT
        return wire.RunRecord(
            key=request.record.key,
            attempt=attempt,
            state=(
                wire.RecordState.GRANTED if granting else wire.RecordState.VOID
            ),
            executor=request.record.executor,
            executor_address=request.record.executor_address,
        )

    def _replicate(
        self,
        request: wire.RecordRequest,
        decision: wire.RunRecord | None,
        now: datetime.timedelta,
    ) -> None:
        key = request.record.key
        requester = (request.sender, request.query_id)
        ongoing = self._rounds_by_key.get(key)
        if decision is None and ongoing is not None:
            ongoing.requesters[requester] = None
            return
        if decision is not None:
            self.table.write(decision, context_module.to_ms(now))
        requesters = ongoing.requesters if ongoing is not None else {}
        if ongoing is not None:
            del self._rounds[ongoing.sequence]
        requesters[requester] = None
        sequence = self._context.next_id()
        new_round = ReplicationRound(
            key, sequence, {self._context.identity}, requesters
        )
        self._rounds[sequence] = new_round
        self._rounds_by_key[key] = new_round
        self._send_round(sequence, now)
        self._complete_if_majority(new_round, now)

    def _send_round(self, sequence: int, now: datetime.timedelta) -> None:
        replication = self._rounds.get(sequence)
        if replication is None or self.current_group is None:
            return
        stored = self.table.get(replication.key)
        if stored is None or replication.send_count >= MAX_REPLICATE_SENDS:
            self._discard_round(replication)
            return
        replication.send_count += 1
        message = wire.RecordReplicate(
            service=self._context.service,
            epoch=self.current_group.epoch,
            primary=self._context.identity,
            sequence=sequence,
            sender=self._context.address,
            record=recordtable.to_wire(
                replication.key, stored, context_module.to_ms(now)
            ),
        )
        for member in self.current_group.members:
            address = self._peers.find_address(member)
            if (
                member not in replication.acknowledged_by
                and address is not None
            ):
                self._context.send(address, message)
        self._context.timers.schedule(
            now + REPLICATE_RESEND,
            functools.partial(self._send_round, sequence),
        )

    def _discard_round(self, replication: ReplicationRound) -> None:
        del self._rounds[replication.sequence]
        if self._rounds_by_key.get(replication.key) is replication:
            del self._rounds_by_key[replication.key]

    def _complete_if_majority(
        self, replication: ReplicationRound, now: datetime.timedelta
    ) -> None:
        if self.current_group is None:
            return
        needed = compute_majority(len(self.current_group.members))
        if len(replication.acknowledged_by) < needed:
            return
        stored = self.table.get(replication.key)
        if stored is not None:
            stored.committed = True
        self._discard_round(replication)
        for address, query_id in replication.requesters:
            self._reply(address, query_id, replication.key, now)

    def handle_replicate(
        self, message: wire.RecordReplicate, now: datetime.timedelta
    ) -> None:
        """Store a record as replica, unless the epoch is sealed."""
        group = self.current_group
        if group is None or not self.serving:
            return
        if message.epoch != group.epoch:
            return
        if message.primary not in group.members:
            return
        record = message.record
        existing = self.table.get(record.key)
        if recordtable.supersedes(record, existing):
            if existing is None and self.table.is_full:
                self._acknowledge(message, reasons.UnknownOutcome.RECORDS_FULL)
                return
            existing = self.table.write(record, context_module.to_ms(now))
        if existing is not None and not recordtable.is_same_decision(
            record, existing
        ):
            self._acknowledge(
                message,
                wire.RecordState.SUPERSEDED,
                recordtable.to_wire(
                    record.key, existing, context_module.to_ms(now)
                ),
            )
            return
        self._acknowledge(message, "")

    def _acknowledge(
        self,
        message: wire.RecordReplicate,
        reason: str,
        record: wire.RunRecord | None = None,
    ) -> None:
        self._context.send(
            message.sender,
            wire.RecordReplicated(
                epoch=message.epoch,
                sequence=message.sequence,
                member=self._context.identity,
                record=record or message.record,
                reason=reason,
            ),
        )

    def handle_replicated(
        self, message: wire.RecordReplicated, now: datetime.timedelta
    ) -> None:
        """Count an acknowledgement, or adopt the replica's newer record."""
        replication = self._rounds.get(message.sequence)
        if replication is None or self.current_group is None:
            return
        if message.epoch != self.current_group.epoch:
            return
        if message.member not in self.current_group.members:
            return
        if not message.reason:
            replication.acknowledged_by.add(message.member)
            self._complete_if_majority(replication, now)
            return
        if message.reason != wire.RecordState.SUPERSEDED:
            return
        if recordtable.supersedes(
            message.record, self.table.get(replication.key)
        ):
            self._restart_round(replication, message.record, now)

    def _restart_round(
        self,
        replication: ReplicationRound,
        record: wire.RunRecord,
        now: datetime.timedelta,
    ) -> None:
        """Adopt and replicate a replica's record from an earlier epoch."""
        self.table.write(record, context_module.to_ms(now))
        self._discard_round(replication)
        sequence = self._context.next_id()
        new_round = ReplicationRound(
            replication.key,
            sequence,
            {self._context.identity},
            replication.requesters,
        )
        self._rounds[sequence] = new_round
        self._rounds_by_key[replication.key] = new_round
        self._send_round(sequence, now)
        self._complete_if_majority(new_round, now)

    def _reply(
        self,
        address: model.Endpoint,
        query_id: int,
        key: bytes,
        now: datetime.timedelta,
    ) -> None:
        stored = self.table.get(key)
        if stored is None or self.current_group is None:
            return
        record = recordtable.to_wire(key, stored, context_module.to_ms(now))
        self._context.send(
            address,
            wire.RecordReply(query_id, self.current_group.epoch, record),
        )

    def _refuse(
        self, request: wire.RecordRequest, reason: reasons.UnknownOutcome
    ) -> None:
        record = msgspec.structs.replace(
            request.record, state=wire.RecordState.UNAVAILABLE
        )
        self._context.send(
            request.sender,
            wire.RecordReply(
                request.query_id, request.epoch, record, reason.value
            ),
        )
