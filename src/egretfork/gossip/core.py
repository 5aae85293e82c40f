"""Dissemination decisions of an entry or control process."""

import datetime
import random

import msgspec

from egretfork.gossip import basis
from egretfork.gossip import budget
from egretfork.gossip import confirmations
from egretfork.gossip import deltas
from egretfork.gossip import events
from egretfork.gossip import exchange
from egretfork.gossip import messages
from egretfork.gossip import peers
from egretfork.gossip import subscription
from egretfork.gossip import transfer
from egretfork import model
from egretfork import reasons
from egretfork import wire

FAN_OUT = 4
BULK_FAN_OUT = 2
# A node receives a push from a random number of peers, sometimes from 12.
MAX_PUSHED_BYTES = 350
DIGEST_PERIOD = datetime.timedelta(seconds=1)
FLUSH_PERIOD = datetime.timedelta(milliseconds=100)
MAINTENANCE_PERIOD = datetime.timedelta(milliseconds=500)
# With more messages waiting than this, records are collected and not
# compared, so that they travel in fewer and larger datagrams.
MAX_WAITING = 4


class NodeCore(basis.Core):
    """State of one entry or control process in dissemination."""

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
        self._peers = peers.Peers(record.address, seeds, generator)
        self._confirmations = confirmations.Confirmations(
            self._exchange.records
        )
        self._subscribers = subscription.Subscribers(
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
    def order(self) -> messages.Order:
        """Return the position of the configuration in force."""
        return self._history.order

    def load(
        self,
        configuration: model.Configuration,
        batch: messages.RecordBatch,
        now: datetime.timedelta,
    ) -> None:
        """Take over known state without telling others."""
        self._history.advance(deltas.normalize(configuration))
        self._confirmations.set_version(configuration.version)
        self._exchange.merge(batch, now)
        self._exchange.take_pending()

    def list_versions(self) -> tuple[tuple[messages.NodeRecord, int], ...]:
        """Return the nodes and the version that each surely confirmed."""
        self._refresh_nodes()
        nodes = self._exchange.records.nodes
        return tuple(
            (nodes[name], version)
            for name, version in self._confirmations.list_versions()
        )

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Action]:
        """Decide about one event."""
        match event:
            case events.Received():
                self._outbox.charge(event.size, now)
                self._receive(event.peer, event.message, now)
            case events.Publish():
                self._publish(event.configuration, now)
            case events.Forget():
                self._forget(event.node, now)
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
                self._pull(peer, message.order, now)
            case messages.Piece():
                self._add_piece(peer, message, now)
            case messages.PieceRequest():
                for piece in self._history.serve(message):
                    self._send(budget.Priority.CONFIGURATION, peer, piece)
            case messages.Records():
                self._merge(peer, message.batch, now)
            case messages.PackedRecords():
                self._merge(peer, exchange.unpack(message), now)
            case messages.Digest():
                self._answer_digest(peer, message, now)
            case messages.DigestReply():
                self._use_digest_reply(peer, message, now)
            case messages.BucketRequest():
                for answer in self._exchange.answer(message):
                    self._send(budget.Priority.EXCHANGE, peer, answer)
            case messages.CellRecords():
                self._use_cells(peer, message, now)
            case messages.Subscribe():
                self._serve_subscriber(peer, message, now)
            case messages.Unsubscribe():
                self._subscribers.remove(message.agent)
            case _:
                self._count(reasons.Drop.UNMATCHED_ANSWER)

    # Configuration.

    def _publish(
        self, configuration: model.Configuration, now: datetime.timedelta
    ) -> None:
        old = self._history.order
        if not self._history.advance(deltas.normalize(configuration)):
            return
        pieces = self._history.make_pieces("", old, self._history.order)
        self._spread(pieces[0] if len(pieces) == 1 else None, now)

    def _spread(
        self, piece: messages.Piece | None, now: datetime.timedelta
    ) -> None:
        """Put the newest configuration in force and tell others."""
        order = self._history.order
        self._actions.append(events.UseConfiguration(self._history.newest))
        self._puller.finish(order)
        self._confirmations.set_version(order.version)
        push: wire.Message = messages.Offer("", order, self._history.checksum)
        if piece is not None and len(piece.data) <= MAX_PUSHED_BYTES:
            push = piece
        for peer in self._peers.choose(FAN_OUT, now):
            self._send(budget.Priority.CONFIGURATION, peer, push)
        for address, message in self._subscribers.push_all(now):
            self._send(budget.Priority.CONFIGURATION, address, message)

    def _pull(
        self,
        peer: model.Endpoint,
        order: messages.Order,
        now: datetime.timedelta,
    ) -> None:
        request = self._puller.start(peer, self._history.order, order, now)
        if request is not None:
            self._send(budget.Priority.CONFIGURATION, peer, request)

    def _add_piece(
        self,
        peer: model.Endpoint,
        piece: messages.Piece,
        now: datetime.timedelta,
    ) -> None:
        if piece.scope:
            return
        if not transfer.is_acceptable(piece, self._history.order):
            self._pull(peer, piece.order, now)
            return
        data = self._puller.add(piece, self._history.order)
        if data is None:
            return
        result = transfer.assemble(data, self._history.newest)
        if isinstance(result, reasons.Failure):
            self._reject(peer, result)
            return
        if self._history.advance(result):
            pushed = piece if piece.count == 1 else None
            self._spread(pushed, now)

    def _reject(self, peer: model.Endpoint, failure: reasons.Failure) -> None:
        self._puller.abandon()
        self._count(reasons.Drop.MALFORMED)
        self._actions.append(transfer.make_rejection_event(peer, failure))

    # Announcements, nodes and suspicions.

    def _merge(
        self,
        peer: model.Endpoint,
        batch: messages.RecordBatch | reasons.Failure,
        now: datetime.timedelta,
    ) -> None:
        if isinstance(batch, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
            return
        _, newer = self._exchange.merge(batch, now)
        for message in exchange.make_messages(newer):
            self._send(budget.Priority.EXCHANGE, peer, message)

    def _use_cells(
        self,
        peer: model.Endpoint,
        message: messages.CellRecords,
        now: datetime.timedelta,
    ) -> None:
        batch = exchange.unpack(message)
        if isinstance(batch, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
            return
        news, _ = self._exchange.merge(batch, now, pulled=True)
        for answer in self._exchange.compare_cells(message.cells, batch):
            self._send(budget.Priority.EXCHANGE, peer, answer)
        if message.last and news and not self._is_backlogged():
            self._send_digest(now)

    def _is_backlogged(self) -> bool:
        return self._outbox.waiting > MAX_WAITING

    def _flush(self, now: datetime.timedelta) -> None:
        """Push pending records, several at once while they come fast."""
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
                self._send(budget.Priority.RECORDS, peer, message)
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
                    self._send(budget.Priority.RECORDS, address, message)

    def _send_digest(self, now: datetime.timedelta) -> None:
        for peer in self._peers.choose(1, now):
            self._peers.expect_reply(peer, now)
            digest = messages.Digest(
                order=self._history.order,
                root=self._exchange.records.root,
                confirmed=self._confirmations.make_message(),
            )
            self._send(budget.Priority.CONFIGURATION, peer, digest)

    def _answer_digest(
        self,
        peer: model.Endpoint,
        digest: messages.Digest,
        now: datetime.timedelta,
    ) -> None:
        self._pull(peer, digest.order, now)
        self._confirmations.merge(digest.confirmed)
        records = self._exchange.records
        equal = records.root == digest.root
        reply = messages.DigestReply(
            order=self._history.order,
            buckets=b"" if equal else records.hash_buckets(),
            confirmed=self._confirmations.make_message(),
        )
        self._send(budget.Priority.CONFIGURATION, peer, reply)

    def _use_digest_reply(
        self,
        peer: model.Endpoint,
        reply: messages.DigestReply,
        now: datetime.timedelta,
    ) -> None:
        self._peers.note_reply(peer)
        self._pull(peer, reply.order, now)
        self._confirmations.merge(reply.confirmed)
        if not reply.buckets or self._is_backlogged():
            return
        request = self._exchange.ask(reply.buckets)
        if request is not None:
            self._send(budget.Priority.EXCHANGE, peer, request)

    def _serve_subscriber(
        self,
        peer: model.Endpoint,
        message: messages.Subscribe,
        now: datetime.timedelta,
    ) -> None:
        if message.announcement is not None:
            batch = messages.RecordBatch(targets=(message.announcement,))
            self._exchange.merge(batch, now)
        reply, records = self._subscribers.serve(peer, message, now)
        self._send(budget.Priority.EXCHANGE, peer, reply)
        for answer in exchange.make_messages(records):
            self._send(budget.Priority.RECORDS, peer, answer)

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
            self._send(budget.Priority.CONFIGURATION, *due)
        changed = self._exchange.members.take_changes()
        if changed is not None:
            self._actions.append(events.UseAnnouncements(changed))

    def _maintain(self, now: datetime.timedelta) -> None:
        self._exchange.members.expire(now)
        self._refresh_nodes()
        self._defend_record(now)
        self._subscribers.drop_silent(now)
        for address, message in self._subscribers.push_unconfirmed(now):
            self._send(budget.Priority.CONFIGURATION, address, message)
        if self._subscribers.all_confirmed():
            self._confirmations.confirm(self._record.name)

    def _refresh_nodes(self) -> None:
        if self._exchange.nodes_changed:
            self._exchange.nodes_changed = False
            self._peers.refresh(self._exchange.records)
            self._confirmations.refresh_table()
            self._subscribers.refresh_entries()

    def _defend_record(self, now: datetime.timedelta) -> None:
        """Announce this node again if another record of it is newer."""
        known = self._exchange.records.nodes[self._record.name]
        if known.rank == self._record.rank or self._leaving:
            return
        if known.incarnation > self._record.incarnation:
            return
        self._record = msgspec.structs.replace(
            self._record, sequence=known.sequence + 1
        )
        self._exchange.merge(messages.RecordBatch(nodes=(self._record,)), now)

    def _forget(self, name: str, now: datetime.timedelta) -> None:
        self._exchange.merge(self._exchange.mark_left(name), now)

    def _leave(self, now: datetime.timedelta) -> None:
        self._leaving = True
        self._next_flush = now
        self._forget(self._record.name, now)
