"""Gossip protocol state machine of an agent.

An agent subscribes to two entries.
"""

import datetime
import random

import msgspec

from egretfork import actions
from egretfork.gossip import base
from egretfork.gossip import deltas
from egretfork.gossip import events
from egretfork.gossip import exchange
from egretfork.gossip import heartbeats
from egretfork.gossip import messages
from egretfork.gossip import rate_limit
from egretfork.gossip import store
from egretfork.gossip import subscriptions
from egretfork.gossip import transfer
from egretfork import model
from egretfork import reasons

RETRY_PERIOD = datetime.timedelta(seconds=1)
RENEWAL_PERIOD = datetime.timedelta(seconds=20)
RENEWAL_JITTER = 0.3
MAINTENANCE_PERIOD = datetime.timedelta(seconds=1)
MAX_ATTEMPTS = 3


class AgentCore(base.CoreBase):
    """Gossip state machine of one agent."""

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
        self._monitor = heartbeats.HeartbeatMonitor(identity.name)
        self._part = deltas.EMPTY
        self._revision = messages.INITIAL_REVISION
        self._checksum = deltas.compute_checksum(deltas.EMPTY)
        self._own_announcement: model.TargetAnnouncement | None = None
        self._subscriptions = subscriptions.Subscriptions(seeds, generator)
        self._suspicions: tuple[messages.Suspicion, ...] = ()
        self._next_maintenance = datetime.timedelta()
        self._superseded_reported = False

    @property
    def revision(self) -> messages.ConfigurationRevision:
        """Return the revision of the current configuration."""
        return self._revision

    @property
    def configuration(self) -> model.Configuration:
        """Return the service's part of the current configuration."""
        return self._part

    def handle(
        self, event: events.Event, now: datetime.timedelta
    ) -> list[events.Action]:
        """Process one event and return the resulting actions."""
        match event:
            case events.Received():
                self._send_queue.charge(event.size, now)
                self._receive(event.peer, event.message, now)
            case events.Announce():
                self._announce(event.announcement, now)
            case events.PeerActive():
                self._monitor.record_activity(event.agent, now)
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
                self._monitor.record_activity(message.agent.name, now)
                if message.reply_requested:
                    self._send_heartbeat(peer)
            case messages.Offer():
                self._handle_offered_revision(
                    peer, message.revision, message.checksum, now
                )
            case messages.Piece():
                self._handle_piece(peer, message, now)
            case messages.SubscribeReply():
                self._handle_subscribe_reply(peer, message, now)
            case messages.Records():
                self._merge_records(message.batch, now)
            case messages.PackedRecords():
                batch = exchange.unpack_records(message)
                if isinstance(batch, reasons.Failure):
                    self._count_reason(reasons.Drop.MALFORMED)
                    return
                self._merge_records(batch, now)
            case _:
                self._count_reason(reasons.Drop.UNMATCHED_ANSWER)

    # Configuration.

    def _handle_offered_revision(
        self,
        peer: model.Endpoint,
        revision: messages.ConfigurationRevision,
        checksum: int,
        now: datetime.timedelta,
    ) -> None:
        """Adopt a newer revision, or start to pull it if the part differs."""
        subscription = self._subscriptions.find(peer)
        if subscription is None:
            # The entry did not receive the end of the subscription.
            message = messages.Unsubscribe(self._identity)
            self._send(rate_limit.Priority.EXCHANGE, peer, message)
        if revision == self._revision:
            # The entry repeats a push that it has not seen confirmed; an early
            # renewal confirms it.
            if subscription is not None:
                subscription.due_at = now
            return
        if not revision.follows(self._revision):
            return
        if (
            checksum == self._checksum
            and self._revision != messages.INITIAL_REVISION
        ):
            part = msgspec.structs.replace(
                self._part,
                version=revision.version,
                record_revision=revision.record_revision,
            )
            self._apply_part(part, now)
            return
        request = self._puller.start(peer, self._revision, revision, now)
        if request is not None:
            self._send(rate_limit.Priority.CONFIGURATION, peer, request)

    def _handle_piece(
        self,
        peer: model.Endpoint,
        piece: messages.Piece,
        now: datetime.timedelta,
    ) -> None:
        if piece.scope != self._service:
            self._count_reason(reasons.Drop.WRONG_SERVICE)
            return
        if not transfer.is_acceptable(piece, self._revision):
            self._handle_offered_revision(
                peer, piece.revision, piece.checksum, now
            )
            return
        data = self._puller.add(piece, self._revision)
        if data is None:
            return
        result = transfer.assemble(data, self._part)
        if isinstance(result, reasons.Failure):
            self._puller.abandon()
            self._count_reason(reasons.Drop.MALFORMED)
            self._actions.append(transfer.make_rejection_event(peer, result))
            return
        self._apply_part(result, now)

    def _apply_part(
        self, part: model.Configuration, now: datetime.timedelta
    ) -> None:
        self._part = part
        self._revision = deltas.get_revision(part)
        self._checksum = deltas.compute_checksum(part)
        self._puller.drop_superseded(self._revision)
        self._actions.append(events.ApplyConfiguration(part))
        self._subscriptions.make_all_due(now)

    # Announcements.

    def _announce(
        self, announcement: model.TargetAnnouncement, now: datetime.timedelta
    ) -> None:
        last = (
            self._own_announcement.sequence if self._own_announcement else -1
        )
        self._own_announcement = msgspec.structs.replace(
            announcement, sequence=max(announcement.sequence, last + 1)
        )
        self._merge_records(
            messages.RecordBatch(targets=(self._own_announcement,)), now
        )
        self._subscriptions.make_all_due(now)

    def _merge_records(
        self, batch: messages.RecordBatch, now: datetime.timedelta
    ) -> None:
        self._exchange.merge(batch, now)
        self._exchange.take_pending()
        self._refute(now)

    def _refute(self, now: datetime.timedelta) -> None:
        """Announce the target again if it is suspect or superseded."""
        own = self._own_announcement
        if own is None:
            return
        known = self._exchange.records.targets[own.agent].announcement
        if known.incarnation > own.incarnation:
            self._report_superseded(known)
            return
        newer = store.rank_target(known) > store.rank_target(own)
        if not newer and not self._exchange.membership.is_suspect(own.agent):
            return
        sequence = max(known.sequence, own.sequence) + 1
        self._announce(msgspec.structs.replace(own, sequence=sequence), now)

    def _report_superseded(self, known: model.TargetAnnouncement) -> None:
        if self._superseded_reported:
            return
        self._superseded_reported = True
        self._actions.append(
            actions.LogEvent(
                event="incarnation_superseded",
                step="announce target",
                peer=known.agent,
                detail=f"a later process started at {known.incarnation} ms",
            )
        )

    # Entries.

    def _handle_subscribe_reply(
        self,
        peer: model.Endpoint,
        reply: messages.SubscribeReply,
        now: datetime.timedelta,
    ) -> None:
        self._subscriptions.add_entries(reply.entries)
        subscription = self._subscriptions.find(peer)
        if subscription is None:
            return
        subscription.attempts = 0
        subscription.acknowledged_order = (reply.incarnation, reply.sequence)
        # The jitter spreads the renewals of agents that started together.
        jitter = 1 + RENEWAL_JITTER * (2 * self._generator.random() - 1)
        subscription.due_at = now + RENEWAL_PERIOD * jitter
        if (
            self._own_announcement is not None
            and subscription.acknowledged_order < self._own_announcement.order
        ):
            subscription.due_at = now + RETRY_PERIOD
        if reply.revision != self._revision:
            self._handle_offered_revision(
                peer, reply.revision, reply.checksum, now
            )
        if reply.full and reply.entries:
            self._replace_subscription(subscription, now)

    def _replace_subscription(
        self, subscription: subscriptions.Subscription, now: datetime.timedelta
    ) -> None:
        self._subscriptions.active.remove(subscription)
        self._send(
            rate_limit.Priority.EXCHANGE,
            subscription.entry,
            messages.Unsubscribe(self._identity),
        )
        self._subscriptions.add_missing(now, avoided=subscription.entry)

    def _renew_subscription(
        self, subscription: subscriptions.Subscription, now: datetime.timedelta
    ) -> None:
        if subscription.attempts >= MAX_ATTEMPTS:
            self._subscriptions.remove_entry(subscription.entry)
            self._replace_subscription(subscription, now)
            return
        subscription.attempts += 1
        subscription.due_at = now + RETRY_PERIOD
        acknowledged = (
            self._own_announcement is not None
            and subscription.acknowledged_order >= self._own_announcement.order
        )
        message = messages.Subscribe(
            service=self._service,
            agent=self._identity,
            revision=self._revision,
            checksum=self._checksum,
            records=self._exchange.records.hash_service(self._service),
            announcement=None if acknowledged else self._own_announcement,
            entries_wanted=self._subscriptions.needs_entries,
        )
        self._send(rate_limit.Priority.RECORDS, subscription.entry, message)

    # Periodic work.

    def _run_periodic_work(self, now: datetime.timedelta) -> None:
        self._subscriptions.add_missing(now)
        for subscription in list(self._subscriptions.active):
            if now >= subscription.due_at:
                self._renew_subscription(subscription, now)
        due = self._puller.poll(now)
        if due is not None:
            self._send(rate_limit.Priority.CONFIGURATION, *due)
        self._check_heartbeats(now)
        if now >= self._next_maintenance:
            self._next_maintenance = now + MAINTENANCE_PERIOD
            self._maintain(now)
        changed = self._exchange.membership.take_changes()
        if changed is not None:
            self._monitor.watch(changed, now)
            self._actions.append(events.ApplyAnnouncements(changed))

    def _maintain(self, now: datetime.timedelta) -> None:
        self._exchange.membership.expire(now)
        if self._own_announcement is None:
            return
        for address in self._monitor.receivers:
            self._send_heartbeat(address)
        if not self._suspicions:
            return
        batch = messages.RecordBatch(suspicions=self._suspicions)
        self._merge_records(batch, now)
        for subscription in self._subscriptions.active:
            for message in exchange.make_messages(batch):
                self._send(
                    rate_limit.Priority.RECORDS, subscription.entry, message
                )

    def _send_heartbeat(
        self, peer: model.Endpoint, reply_requested: bool = False
    ) -> None:
        heartbeat = messages.Heartbeat(self._identity, reply_requested)
        self._send(rate_limit.Priority.RECORDS, peer, heartbeat)

    def _check_heartbeats(self, now: datetime.timedelta) -> None:
        """Probe agents whose heartbeat is late; report silent ones.

        A newly silent agent is reported in the same tick instead of at the
        next maintenance.
        """
        if self._own_announcement is None:
            return
        for address in self._monitor.list_due_probes(now):
            self._send_heartbeat(address, reply_requested=True)
        reported = {item.agent for item in self._suspicions}
        self._suspicions = tuple(
            heartbeats.make_suspicion(item, self._identity.name)
            for item in self._monitor.poll(now)
            if not self._exchange.membership.is_suspect(item.agent)
        )
        if any(item.agent not in reported for item in self._suspicions):
            self._next_maintenance = now

    def _leave(self) -> None:
        for subscription in self._subscriptions.active:
            message = messages.Unsubscribe(self._identity)
            self._send(
                rate_limit.Priority.EXCHANGE, subscription.entry, message
            )
