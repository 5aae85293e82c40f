"""Dissemination decisions of an agent, which subscribes to two entries."""

import datetime
import random

import msgspec

from egretfork import actions
from egretfork.gossip import basis
from egretfork.gossip import budget
from egretfork.gossip import deltas
from egretfork.gossip import events
from egretfork.gossip import exchange
from egretfork.gossip import links
from egretfork.gossip import messages
from egretfork.gossip import observers
from egretfork.gossip import store
from egretfork.gossip import transfer
from egretfork import model
from egretfork import reasons

RETRY_PERIOD = datetime.timedelta(seconds=1)
RENEWAL_PERIOD = datetime.timedelta(seconds=20)
RENEWAL_SPREAD = 0.3
MAINTENANCE_PERIOD = datetime.timedelta(seconds=1)
MAX_ATTEMPTS = 3


class AgentCore(basis.Core):
    """State of one agent in dissemination."""

    def __init__(
        self,
        identity: model.AgentIdentity,
        service: str,
        seeds: tuple[model.Endpoint, ...],
        generator: random.Random,
        rate_bytes_per_s: int,
        burst_bytes: int,
    ) -> None:
        super().__init__(rate_bytes_per_s, burst_bytes)
        self._identity = identity
        self._service = service
        self._generator = generator
        self._puller = transfer.Puller(service)
        self._exchange = exchange.Exchange(generator)
        self._observers = observers.Observers(identity.name)
        self._part = deltas.EMPTY
        self._order = messages.NONE
        self._checksum = deltas.compute_checksum(deltas.EMPTY)
        self._own: model.TargetAnnouncement | None = None
        self._links = links.Links(seeds, generator)
        self._silent: tuple[messages.Suspicion, ...] = ()
        self._next_maintenance = datetime.timedelta()
        self._superseded = False

    @property
    def order(self) -> messages.Order:
        """Return the position of the configuration in force."""
        return self._order

    @property
    def configuration(self) -> model.Configuration:
        """Return the part of the configuration in force."""
        return self._part

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Action]:
        """Decide about one event."""
        match event:
            case events.Received():
                self._outbox.charge(event.size, now)
                self._receive(event.peer, event.message, now)
            case events.Announce():
                self._announce(event.announcement, now)
            case events.Heard():
                self._observers.hear(event.agent, now)
            case events.Tick():
                self._run_periodic_work(now)
            case events.Leave():
                self._leave()
        return self._take_actions(now)

    def _receive(
        self,
        peer: model.Endpoint,
        message: messages.AnyMessage,
        now: datetime.timedelta,
    ) -> None:
        match message:
            case messages.Heartbeat():
                self._observers.hear(message.agent.name, now)
                if message.asks:
                    self._send_heartbeat(peer)
            case messages.Offer():
                self._consider(peer, message.order, message.checksum, now)
            case messages.Piece():
                self._add_piece(peer, message, now)
            case messages.SubscribeReply():
                self._use_reply(peer, message, now)
            case messages.Records():
                self._merge(message.batch, now)
            case messages.PackedRecords():
                batch = exchange.unpack(message)
                if isinstance(batch, reasons.Failure):
                    self._count(reasons.Drop.MALFORMED)
                    return
                self._merge(batch, now)
            case _:
                self._count(reasons.Drop.UNMATCHED_ANSWER)

    # Configuration.

    def _consider(
        self,
        peer: model.Endpoint,
        order: messages.Order,
        checksum: int,
        now: datetime.timedelta,
    ) -> None:
        """Take over a newer version, or begin to pull it if it differs."""
        link = self._links.find(peer)
        if link is None:
            # The entry did not receive that the agent uses another one.
            message = messages.Unsubscribe(self._identity)
            self._send(budget.Priority.EXCHANGE, peer, message)
        if order == self._order:
            # The entry repeats what it did not see confirmed.
            if link is not None:
                link.due_at = now
            return
        if not order.follows(self._order):
            return
        if checksum == self._checksum and self._order != messages.NONE:
            part = msgspec.structs.replace(
                self._part,
                version=order.version,
                record_revision=order.record_revision,
            )
            self._use(part, now)
            return
        request = self._puller.start(peer, self._order, order, now)
        if request is not None:
            self._send(budget.Priority.CONFIGURATION, peer, request)

    def _add_piece(
        self,
        peer: model.Endpoint,
        piece: messages.Piece,
        now: datetime.timedelta,
    ) -> None:
        if piece.scope != self._service:
            self._count(reasons.Drop.WRONG_SERVICE)
            return
        if not transfer.is_acceptable(piece, self._order):
            self._consider(peer, piece.order, piece.checksum, now)
            return
        data = self._puller.add(piece, self._order)
        if data is None:
            return
        result = transfer.assemble(data, self._part)
        if isinstance(result, reasons.Failure):
            self._puller.abandon()
            self._count(reasons.Drop.MALFORMED)
            self._actions.append(transfer.make_rejection_event(peer, result))
            return
        self._use(result, now)

    def _use(self, part: model.Configuration, now: datetime.timedelta) -> None:
        self._part = part
        self._order = deltas.get_order(part)
        self._checksum = deltas.compute_checksum(part)
        self._puller.finish(self._order)
        self._actions.append(events.UseConfiguration(part))
        self._links.renew_all(now)

    # Announcements.

    def _announce(
        self, announcement: model.TargetAnnouncement, now: datetime.timedelta
    ) -> None:
        last = self._own.sequence if self._own else -1
        self._own = msgspec.structs.replace(
            announcement, sequence=max(announcement.sequence, last + 1)
        )
        self._merge(messages.RecordBatch(targets=(self._own,)), now)
        self._links.renew_all(now)

    def _merge(
        self, batch: messages.RecordBatch, now: datetime.timedelta
    ) -> None:
        self._exchange.merge(batch, now)
        self._exchange.take_pending()
        self._refute(now)

    def _refute(self, now: datetime.timedelta) -> None:
        """Announce the target again if others hold something else."""
        own = self._own
        if own is None:
            return
        known = self._exchange.records.targets[own.agent].announcement
        if known.incarnation > own.incarnation:
            self._report_superseded(known)
            return
        newer = store.rank_target(known) > store.rank_target(own)
        if not newer and not self._exchange.members.is_suspect(own.agent):
            return
        sequence = max(known.sequence, own.sequence) + 1
        self._announce(msgspec.structs.replace(own, sequence=sequence), now)

    def _report_superseded(self, known: model.TargetAnnouncement) -> None:
        if self._superseded:
            return
        self._superseded = True
        self._actions.append(
            actions.LogEvent(
                event="incarnation_superseded",
                step="announce target",
                peer=known.agent,
                detail=f"a later process started at {known.incarnation} ms",
            )
        )

    # Entries.

    def _use_reply(
        self,
        peer: model.Endpoint,
        reply: messages.SubscribeReply,
        now: datetime.timedelta,
    ) -> None:
        self._links.learn(reply.entries)
        link = self._links.find(peer)
        if link is None:
            return
        link.attempts = 0
        link.seen = (reply.incarnation, reply.sequence)
        # Agents that started together must not renew together for ever.
        spread = 1 + RENEWAL_SPREAD * (2 * self._generator.random() - 1)
        link.due_at = now + RENEWAL_PERIOD * spread
        if self._own is not None and link.seen < self._own.order:
            link.due_at = now + RETRY_PERIOD
        if reply.order != self._order:
            self._consider(peer, reply.order, reply.checksum, now)
        if reply.full and reply.entries:
            self._replace(link, now)

    def _replace(self, link: links.Link, now: datetime.timedelta) -> None:
        self._links.active.remove(link)
        self._send(
            budget.Priority.EXCHANGE,
            link.entry,
            messages.Unsubscribe(self._identity),
        )
        self._links.fill(now, avoided=link.entry)

    def _renew(self, link: links.Link, now: datetime.timedelta) -> None:
        if link.attempts >= MAX_ATTEMPTS:
            self._links.forget(link.entry)
            self._replace(link, now)
            return
        link.attempts += 1
        link.due_at = now + RETRY_PERIOD
        seen = self._own is not None and link.seen >= self._own.order
        message = messages.Subscribe(
            service=self._service,
            agent=self._identity,
            order=self._order,
            checksum=self._checksum,
            records=self._exchange.records.hash_service(self._service),
            announcement=None if seen else self._own,
            entries_wanted=self._links.knows_few,
        )
        self._send(budget.Priority.RECORDS, link.entry, message)

    # Periodic work.

    def _run_periodic_work(self, now: datetime.timedelta) -> None:
        self._links.fill(now)
        for link in list(self._links.active):
            if now >= link.due_at:
                self._renew(link, now)
        due = self._puller.poll(now)
        if due is not None:
            self._send(budget.Priority.CONFIGURATION, *due)
        self._observe(now)
        if now >= self._next_maintenance:
            self._next_maintenance = now + MAINTENANCE_PERIOD
            self._maintain(now)
        changed = self._exchange.members.take_changes()
        if changed is not None:
            self._observers.watch(changed, now)
            self._actions.append(events.UseAnnouncements(changed))

    def _maintain(self, now: datetime.timedelta) -> None:
        self._exchange.members.expire(now)
        if self._own is None:
            return
        for address in self._observers.receivers:
            self._send_heartbeat(address)
        if not self._silent:
            return
        batch = messages.RecordBatch(suspicions=self._silent)
        self._merge(batch, now)
        for link in self._links.active:
            for message in exchange.make_messages(batch):
                self._send(budget.Priority.RECORDS, link.entry, message)

    def _send_heartbeat(
        self, peer: model.Endpoint, asks: bool = False
    ) -> None:
        heartbeat = messages.Heartbeat(self._identity, asks)
        self._send(budget.Priority.RECORDS, peer, heartbeat)

    def _observe(self, now: datetime.timedelta) -> None:
        """Ask agents that are late; report newly silent ones at once."""
        if self._own is None:
            return
        for address in self._observers.list_late(now):
            self._send_heartbeat(address, asks=True)
        before = {item.agent for item in self._silent}
        self._silent = tuple(
            observers.make_suspicion(item, self._identity.name)
            for item in self._observers.poll(now)
            if not self._exchange.members.is_suspect(item.agent)
        )
        if any(item.agent not in before for item in self._silent):
            self._next_maintenance = now

    def _leave(self) -> None:
        for link in self._links.active:
            message = messages.Unsubscribe(self._identity)
            self._send(budget.Priority.EXCHANGE, link.entry, message)
