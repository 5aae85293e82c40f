"""Run records kept by a member of the record group (design, 3)."""

import dataclasses
import datetime
import functools

import msgspec
import xxhash

from egretfork.agent import context as contexts
from egretfork.agent import peers
from egretfork.agent import recordtable
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire

KEY_LIFETIME_MS = 480_000
MAX_KEY_LEAD_MS = 30_000
# Keys may be up to 30 s ahead of a clock, and clocks may differ by 30 s.
LOST_MARGIN_MS = 60_000
REPLICATE_RESEND = datetime.timedelta(milliseconds=60)
MAX_REPLICATE_SENDS = 30
SWEEP_INTERVAL = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class Round:
    """A record on its way to a majority."""

    key: bytes
    sequence: int
    holders: set[model.AgentIdentity]
    askers: dict[tuple[model.Endpoint, int], None]
    sends: int = 0


def choose_primary(group: model.RecordGroup, key: bytes) -> int:
    """Return the index of the member that decides about a key."""
    return xxhash.xxh3_64_intdigest(key) % len(group.members)


def count_majority(members: int) -> int:
    """Return how many members are a majority."""
    return members // 2 + 1


class RecordMember:
    """Decides about keys as primary and holds records as replica.

    ``newest`` is the newest known group of the service, and ``group`` the
    one that the member has entered. Votes are given only while
    ``serving``: the agent is a member, the records of the epoch before are
    loaded, and the epoch is not sealed.
    """

    def __init__(
        self, context: contexts.Context, table: peers.PeerTable
    ) -> None:
        self._context = context
        self._peers = table
        self.group: model.RecordGroup | None = None
        self.newest: model.RecordGroup | None = None
        self.table = recordtable.RecordTable()
        self.serving = False
        self.lost_before_ms = 0
        self._rounds: dict[int, Round] = {}
        self._round_of_key: dict[bytes, Round] = {}
        self._swept_at = datetime.timedelta()

    def enter(self, group: model.RecordGroup) -> None:
        """Take up a new group; votes begin when ``serving`` is set."""
        self.group = group
        self.stop()

    def stop(self) -> None:
        """Give no further votes in the present epoch."""
        self.serving = False
        self._rounds.clear()
        self._round_of_key.clear()

    def sweep(self, now: datetime.timedelta) -> None:
        """Forget old records, once a second."""
        if now - self._swept_at < SWEEP_INTERVAL:
            return
        self._swept_at = now
        self.table.expire(contexts.to_ms(now))

    def handle_request(
        self, request: wire.RecordRequest, now: datetime.timedelta
    ) -> None:
        """Decide about a key as its primary."""
        refusal = self._check_request(request, now)
        if refusal is not None:
            self._refuse(request, refusal)
            return
        key = request.record.key
        held = self.table.get(key)
        decision = self._decide(request, held)
        if decision is None and held is not None and held.committed:
            self._reply(request.sender, request.query_id, key, now)
            return
        if decision is not None and held is None and self.table.full:
            self._refuse(request, reasons.UnknownOutcome.RECORDS_FULL)
            return
        self._replicate(request, decision, now)

    def _check_request(
        self, request: wire.RecordRequest, now: datetime.timedelta
    ) -> reasons.UnknownOutcome | None:
        group = self.group
        if group is None or not self.serving:
            return reasons.UnknownOutcome.RECORDS_UNREACHABLE
        key = request.record.key
        if request.epoch != group.epoch or (
            group.members[choose_primary(group, key)] != self._context.identity
        ):
            return reasons.UnknownOutcome.RECORDS_UNREACHABLE
        return self._check_key_time(key, now)

    def _check_key_time(
        self, key: bytes, now: datetime.timedelta
    ) -> reasons.UnknownOutcome | None:
        made_ms = coap.read_key_time_ms(key)
        wall_ms = self._context.read_wall_clock_ms(now)
        if made_ms is None or made_ms < wall_ms - KEY_LIFETIME_MS:
            return reasons.UnknownOutcome.KEY_EXPIRED
        if made_ms >= self.lost_before_ms:
            return None
        held = self.table.get(key)
        # A grant that is known keeps its meaning; a void record may have
        # been followed by a grant that was lost.
        if held is not None and held.state is wire.RecordState.GRANTED:
            return None
        return reasons.UnknownOutcome.RECORDS_LOST

    def _decide(
        self, request: wire.RecordRequest, held: recordtable.Entry | None
    ) -> wire.RunRecord | None:
        """Return the record to write, ``None`` if the held one stands."""
        attempt = request.record.attempt
        if held is not None:
            if held.state is wire.RecordState.GRANTED:
                return None
            if attempt <= held.attempt:
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
        asker = (request.sender, request.query_id)
        current = self._round_of_key.get(key)
        if decision is None and current is not None:
            current.askers[asker] = None
            return
        if decision is not None:
            self.table.write(decision, contexts.to_ms(now))
        askers = current.askers if current is not None else {}
        if current is not None:
            del self._rounds[current.sequence]
        askers[asker] = None
        sequence = self._context.next_id()
        started = Round(key, sequence, {self._context.identity}, askers)
        self._rounds[sequence] = started
        self._round_of_key[key] = started
        self._send_round(sequence, now)
        self._finish_round(started, now)

    def _send_round(self, sequence: int, now: datetime.timedelta) -> None:
        pending = self._rounds.get(sequence)
        if pending is None or self.group is None:
            return
        entry = self.table.get(pending.key)
        if entry is None or pending.sends >= MAX_REPLICATE_SENDS:
            self._drop_round(pending)
            return
        pending.sends += 1
        message = wire.RecordReplicate(
            service=self._context.service,
            epoch=self.group.epoch,
            primary=self._context.identity,
            sequence=sequence,
            sender=self._context.address,
            record=recordtable.to_wire(
                pending.key, entry, contexts.to_ms(now)
            ),
        )
        for member in self.group.members:
            address = self._peers.find_address(member)
            if member not in pending.holders and address is not None:
                self._context.send(address, message)
        self._context.timers.schedule(
            now + REPLICATE_RESEND,
            functools.partial(self._send_round, sequence),
        )

    def _drop_round(self, pending: Round) -> None:
        del self._rounds[pending.sequence]
        if self._round_of_key.get(pending.key) is pending:
            del self._round_of_key[pending.key]

    def _finish_round(self, pending: Round, now: datetime.timedelta) -> None:
        if self.group is None:
            return
        needed = count_majority(len(self.group.members))
        if len(pending.holders) < needed:
            return
        entry = self.table.get(pending.key)
        if entry is not None:
            entry.committed = True
        self._drop_round(pending)
        for address, query_id in pending.askers:
            self._reply(address, query_id, pending.key, now)

    def handle_replicate(
        self, message: wire.RecordReplicate, now: datetime.timedelta
    ) -> None:
        """Hold a record as replica, unless the epoch is sealed."""
        group = self.group
        if group is None or not self.serving:
            return
        if message.epoch != group.epoch:
            return
        if message.primary not in group.members:
            return
        record = message.record
        held = self.table.get(record.key)
        if recordtable.outranks(record, held):
            if held is None and self.table.full:
                self._acknowledge(message, reasons.UnknownOutcome.RECORDS_FULL)
                return
            held = self.table.write(record, contexts.to_ms(now))
        if held is not None and not recordtable.same_decision(record, held):
            self._acknowledge(
                message,
                wire.RecordState.SUPERSEDED,
                recordtable.to_wire(record.key, held, contexts.to_ms(now)),
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
        """Count a replica, or take over the record that it holds."""
        pending = self._rounds.get(message.sequence)
        if pending is None or self.group is None:
            return
        if message.epoch != self.group.epoch:
            return
        if message.member not in self.group.members:
            return
        if not message.reason:
            pending.holders.add(message.member)
            self._finish_round(pending, now)
            return
        if message.reason != wire.RecordState.SUPERSEDED:
            return
        if recordtable.outranks(message.record, self.table.get(pending.key)):
            self._restart_round(pending, message.record, now)

    def _restart_round(
        self,
        pending: Round,
        record: wire.RunRecord,
        now: datetime.timedelta,
    ) -> None:
        """Replicate a replica's record, left over from an epoch before."""
        self.table.write(record, contexts.to_ms(now))
        self._drop_round(pending)
        sequence = self._context.next_id()
        started = Round(
            pending.key,
            sequence,
            {self._context.identity},
            pending.askers,
        )
        self._rounds[sequence] = started
        self._round_of_key[pending.key] = started
        self._send_round(sequence, now)
        self._finish_round(started, now)

    def _reply(
        self,
        address: model.Endpoint,
        query_id: int,
        key: bytes,
        now: datetime.timedelta,
    ) -> None:
        entry = self.table.get(key)
        if entry is None or self.group is None:
            return
        record = recordtable.to_wire(key, entry, contexts.to_ms(now))
        self._context.send(
            address, wire.RecordReply(query_id, self.group.epoch, record)
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
