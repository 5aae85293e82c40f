"""Gossip protocol state machine of an entry or control process."""

import datetime
import random

import msgspec

from egretfork.gossip import base
from egretfork.gossip import confirmations
from egretfork.gossip import deltas
from egretfork.gossip import events
from egretfork.gossip import exchange
from egretfork.gossip import messages
from egretfork.gossip import peers
from egretfork.gossip import rate_limit
from egretfork.gossip import subscribers
from egretfork.gossip import transfer
from egretfork import model
from egretfork import reasons
from egretfork import wire

FAN_OUT = 4
BULK_FAN_OUT = 2
# Larger pieces are announced by an offer instead of being pushed, because a
# node receives a push from a random number of peers, sometimes from 12.
MAX_PUSHED_BYTES = 350
DIGEST_PERIOD = datetime.timedelta(seconds=1)
FLUSH_PERIOD = datetime.timedelta(milliseconds=100)
MAINTENANCE_PERIOD = datetime.timedelta(milliseconds=500)
# Above this queue length, pushes and comparisons of records are deferred, so
# that the records are batched into fewer and larger datagrams.
MAX_QUEUED_MESSAGES = 4


class NodeCore(base.CoreBase):
    """Gossip state machine of one entry or control process."""

    def __init__(
        self,
        record: messages.NodeRecord,
        seeds: tuple[model.Endpoint, ...],
        generator: random.Random,
        rate_bytes_per_s: int,
        burst_bytes: int,
    ) -> None:
        super().__init__(rate_bytes_per_s, burst_bytes)
        self._record = record
        self._generator = generator
        self._history = transfer.History()
        self._puller = transfer.Puller("")
        self._exchange = exchange.Exchange(generator)
        self._peers = peers.PeerSelector(record.address, seeds, generator)
        self._confirmations = confirmations.Confirmations(
            self._exchange.records
        )
        self._subscribers = subscribers.Subscribers(
            record.name, self._history, self._exchange, generator
        )
        self._next_digest: datetime.timedelta | None = None
        self._next_flush = datetime.timedelta()
        self._next_maintenance = datetime.timedelta()
        self._leaving = False
        self._exchange.merge(
            messages.RecordBatch(nodes=(record,)), datetime.timedelta()
        )

    @property
    def revision(self) -> messages.ConfigurationRevision:
        """Return the revision of the current configuration."""
        return self._history.revision

    def load(
        self,
        configuration: model.Configuration,
        batch: messages.RecordBatch,
        now: datetime.timedelta,
    ) -> None:
        """Load known state without pushing it to peers."""
        self._history.advance(deltas.normalize(configuration))
        self._confirmations.set_version(configuration.version)
        self._exchange.merge(batch, now)
        self._exchange.take_pending()

    def list_versions(self) -> tuple[tuple[messages.NodeRecord, int], ...]:
        """Return each node with the highest version known to be confirmed."""
        self._refresh_nodes()
        nodes = self._exchange.records.nodes
        return tuple(
            (nodes[name], version)
            for name, version in self._confirmations.list_versions()
        )

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Action]:
        """Process one event and return the resulting actions."""
        match event:
            case events.Received():
                self._send_queue.charge(event.size, now)
                self._receive(event.peer, event.message, now)
            case events.Publish():
                self._publish(event.configuration, now)
            case events.Forget():
                self._mark_left(event.node, now)
            case events.Leave():
                self._leave(now)
            case events.Tick():
                self._run_periodic_work(now)
        self._flush(now)
        return self._take_actions(now)

    def _receive(
        self,
        peer: model.Endpoint,
        message: messages.AnyMessage,
        now: datetime.timedelta,
    ) -> None:
        match message:
            case messages.Offer():
                self._pull(peer, message.revision, now)
            case messages.Piece():
                self._handle_piece(peer, message, now)
            case messages.PieceRequest():
                for piece in self._history.serve(message):
                    self._send(rate_limit.Priority.CONFIGURATION, peer, piece)
            case messages.Records():
                self._merge_records(peer, message.batch, now)
            case messages.PackedRecords():
                self._merge_records(
                    peer, exchange.unpack_records(message), now
                )
            case messages.Digest():
                self._handle_digest(peer, message, now)
            case messages.DigestReply():
                self._handle_digest_reply(peer, message, now)
            case messages.BucketRequest():
                for answer in self._exchange.answer_bucket_request(message):
                    self._send(rate_limit.Priority.EXCHANGE, peer, answer)
            case messages.CellRecords():
                self._handle_cell_records(peer, message, now)
            case messages.Subscribe():
                self._handle_subscribe(peer, message, now)
            case messages.Unsubscribe():
                self._subscribers.remove(message.agent)
            case _:
                self._count_reason(reasons.Drop.UNMATCHED_ANSWER)

    # Configuration.

    def _publish(
        self, configuration: model.Configuration, now: datetime.timedelta
    ) -> None:
        old = self._history.revision
        if not self._history.advance(deltas.normalize(configuration)):
            return
        pieces = self._history.make_pieces("", old, self._history.revision)
        self._apply_newest(pieces[0] if len(pieces) == 1 else None, now)

    def _apply_newest(
        self, piece: messages.Piece | None, now: datetime.timedelta
    ) -> None:
        """Apply the newest configuration and push it to peers and agents."""
        revision = self._history.revision
        self._actions.append(events.ApplyConfiguration(self._history.newest))
        self._puller.drop_superseded(revision)
        self._confirmations.set_version(revision.version)
        push: wire.Message = messages.Offer(
            "", revision, self._history.checksum
        )
        if piece is not None and len(piece.data) <= MAX_PUSHED_BYTES:
            push = piece
        for peer in self._peers.choose(FAN_OUT, now):
            self._send(rate_limit.Priority.CONFIGURATION, peer, push)
        for address, message in self._subscribers.push_all(now):
            self._send(rate_limit.Priority.CONFIGURATION, address, message)

    def _pull(
        self,
        peer: model.Endpoint,
        revision: messages.ConfigurationRevision,
        now: datetime.timedelta,
    ) -> None:
        request = self._puller.start(
            peer, self._history.revision, revision, now
        )
        if request is not None:
            self._send(rate_limit.Priority.CONFIGURATION, peer, request)

    def _handle_piece(
        self,
        peer: model.Endpoint,
        piece: messages.Piece,
        now: datetime.timedelta,
    ) -> None:
        if piece.scope:
            return
        if not transfer.is_acceptable(piece, self._history.revision):
            self._pull(peer, piece.revision, now)
            return
        data = self._puller.add(piece, self._history.revision)
        if data is None:
            return
        result = transfer.assemble(data, self._history.newest)
        if isinstance(result, reasons.Failure):
            self._reject_transfer(peer, result)
            return
        if self._history.advance(result):
            pushed = piece if piece.count == 1 else None
            self._apply_newest(pushed, now)

    def _reject_transfer(
        self, peer: model.Endpoint, failure: reasons.Failure
    ) -> None:
        self._puller.abandon()
        self._count_reason(reasons.Drop.MALFORMED)
        self._actions.append(transfer.make_rejection_event(peer, failure))

    # Announcements, nodes and suspicions.

    def _merge_records(
        self,
        peer: model.Endpoint,
        batch: messages.RecordBatch | reasons.Failure,
        now: datetime.timedelta,
    ) -> None:
        if isinstance(batch, reasons.Failure):
            self._count_reason(reasons.Drop.MALFORMED)
            return
        _, newer = self._exchange.merge(batch, now)
        for message in exchange.make_messages(newer):
            self._send(rate_limit.Priority.EXCHANGE, peer, message)

    def _handle_cell_records(
        self,
        peer: model.Endpoint,
        message: messages.CellRecords,
        now: datetime.timedelta,
    ) -> None:
        batch = exchange.unpack_records(message)
        if isinstance(batch, reasons.Failure):
            self._count_reason(reasons.Drop.MALFORMED)
            return
        new_count, _ = self._exchange.merge(batch, now, pulled=True)
        for answer in self._exchange.compare_cells(message.cells, batch):
            self._send(rate_limit.Priority.EXCHANGE, peer, answer)
        if message.last and new_count and not self._is_backlogged():
            self._send_digest(now)

    def _is_backlogged(self) -> bool:
        return self._send_queue.waiting > MAX_QUEUED_MESSAGES

    def _flush(self, now: datetime.timedelta) -> None:
        """Push pending records, at most one batch per ``FLUSH_PERIOD``."""
        if now < self._next_flush or self._is_backlogged():
            return
        if not self._exchange.pending:
            return
        self._next_flush = now + FLUSH_PERIOD
        batch = self._exchange.take_pending()
        pushes = exchange.make_messages(batch)
        fan_out = FAN_OUT if len(pushes) == 1 else BULK_FAN_OUT
        chosen = self._peers.choose(fan_out, now)
        for message in pushes:
            for peer in chosen:
                self._send(rate_limit.Priority.RECORDS, peer, message)
        self._push_to_agents(batch)

    def _push_to_agents(self, batch: messages.RecordBatch) -> None:
        targets = self._exchange.records.targets
        names = {item.agent for item in batch.targets}
        names.update(item.agent for item in batch.suspicions)
        services: dict[str, list[str]] = {}
        for name in sorted(names & targets.keys()):
            service = targets[name].announcement.service
            services.setdefault(service, []).append(name)
        for service, members in services.items():
            for address in self._subscribers.list_addresses(service):
                part = exchange.select_agents(batch, members)
                for message in exchange.make_messages(part):
                    self._send(rate_limit.Priority.RECORDS, address, message)

    def _send_digest(self, now: datetime.timedelta) -> None:
        for peer in self._peers.choose(1, now):
            self._peers.expect_reply(peer, now)
            digest = messages.Digest(
                revision=self._history.revision,
                root=self._exchange.records.root,
                confirmed=self._confirmations.make_message(),
            )
            self._send(rate_limit.Priority.CONFIGURATION, peer, digest)

    def _handle_digest(
        self,
        peer: model.Endpoint,
        digest: messages.Digest,
        now: datetime.timedelta,
    ) -> None:
        self._pull(peer, digest.revision, now)
        self._confirmations.merge(digest.confirmed)
        records = self._exchange.records
        equal = records.root == digest.root
        reply = messages.DigestReply(
            revision=self._history.revision,
            buckets=b"" if equal else records.hash_buckets(),
            confirmed=self._confirmations.make_message(),
        )
        self._send(rate_limit.Priority.CONFIGURATION, peer, reply)

    def _handle_digest_reply(
        self,
        peer: model.Endpoint,
        reply: messages.DigestReply,
        now: datetime.timedelta,
    ) -> None:
        self._peers.record_reply(peer)
        self._pull(peer, reply.revision, now)
        self._confirmations.merge(reply.confirmed)
        if not reply.buckets or self._is_backlogged():
            return
        request = self._exchange.make_bucket_request(reply.buckets)
        if request is not None:
            self._send(rate_limit.Priority.EXCHANGE, peer, request)

    def _handle_subscribe(
        self,
        peer: model.Endpoint,
        message: messages.Subscribe,
        now: datetime.timedelta,
    ) -> None:
        if message.announcement is not None:
            batch = messages.RecordBatch(targets=(message.announcement,))
            self._exchange.merge(batch, now)
        reply, records = self._subscribers.serve(peer, message, now)
        self._send(rate_limit.Priority.EXCHANGE, peer, reply)
        for answer in exchange.make_messages(records):
            self._send(rate_limit.Priority.RECORDS, peer, answer)

    # Periodic work and the node's own record.

    def _run_periodic_work(self, now: datetime.timedelta) -> None:
        if self._next_digest is None:
            phase = self._generator.random()
            self._next_digest = now + phase * DIGEST_PERIOD
        if now >= self._next_maintenance:
            self._next_maintenance = now + MAINTENANCE_PERIOD
            self._maintain(now)
        if now >= self._next_digest:
            self._next_digest = now + DIGEST_PERIOD
            self._send_digest(now)
        due = self._puller.poll(now)
        if due is not None:
            self._send(rate_limit.Priority.CONFIGURATION, *due)
        changed = self._exchange.membership.take_changes()
        if changed is not None:
            self._actions.append(events.ApplyAnnouncements(changed))

    def _maintain(self, now: datetime.timedelta) -> None:
        self._exchange.membership.expire(now)
        self._refresh_nodes()
        self._reannounce_own_record(now)
        self._subscribers.remove_silent(now)
        for address, message in self._subscribers.push_unconfirmed(now):
            self._send(rate_limit.Priority.CONFIGURATION, address, message)
        if self._subscribers.all_confirmed():
            self._confirmations.confirm(self._record.name)

    def _refresh_nodes(self) -> None:
        if self._exchange.nodes_changed:
            self._exchange.nodes_changed = False
            self._peers.refresh(self._exchange.records)
            self._confirmations.update_nodes()
            self._subscribers.refresh_entries()

    def _reannounce_own_record(self, now: datetime.timedelta) -> None:
        """Republish the own record if peers hold a newer one.

        This brings back a live node that was marked as left by mistake. A
        record of a later incarnation is not overridden.
        """
        known = self._exchange.records.nodes[self._record.name]
        if known.rank == self._record.rank or self._leaving:
            return
        if known.incarnation > self._record.incarnation:
            return
        self._record = msgspec.structs.replace(
            self._record, sequence=known.sequence + 1
        )
        self._exchange.merge(messages.RecordBatch(nodes=(self._record,)), now)

    def _mark_left(self, name: str, now: datetime.timedelta) -> None:
        self._exchange.merge(self._exchange.mark_left(name), now)

    def _leave(self, now: datetime.timedelta) -> None:
        self._leaving = True
        self._next_flush = now
        self._mark_left(self._record.name, now)
