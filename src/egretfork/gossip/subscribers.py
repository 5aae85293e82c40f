"""Agents that subscribe to an entry for their service's configuration."""

import dataclasses
import datetime
import random

from egretfork.gossip import deltas
from egretfork.gossip import exchange
from egretfork.gossip import messages
from egretfork.gossip import transfer
from egretfork import model

SILENCE_LIMIT = datetime.timedelta(seconds=60)
CONFIRM_RESEND_DELAY = datetime.timedelta(seconds=1)
# Consecutive pushes without a confirmation. After that, the agent's next
# renewal of its subscription shows which revision it has.
MAX_PUSHES = 3
ENTRY_SAMPLE = 3
SPARE_SUBSCRIBERS = 8


@dataclasses.dataclass(slots=True)
class Subscriber:
    """Subscription of one agent, as stored by the entry.

    Attributes:
        address: UDP address of the agent.
        agent: name and incarnation of the agent.
        service: service of the agent.
        revision: newest configuration that the agent confirmed.
        last_message_at: time of the last message from the agent.
        pushed_at: time of the last push of the newest configuration.
        push_count: number of pushes of the newest configuration.
    """

    address: model.Endpoint
    agent: model.AgentIdentity
    service: str
    revision: messages.ConfigurationRevision
    last_message_at: datetime.timedelta
    pushed_at: datetime.timedelta
    push_count: int = 0


class Subscribers:
    """The agents that an entry serves."""

    def __init__(
        self,
        name: str,
        history: transfer.History,
        record_exchange: exchange.Exchange,
        generator: random.Random,
    ) -> None:
        self._name = name
        self._history = history
        self._exchange = record_exchange
        self._generator = generator
        self._entries: list[model.Endpoint] = []
        self._by_agent: dict[str, Subscriber] = {}

    def __len__(self) -> int:
        return len(self._by_agent)

    def serve(
        self,
        peer: model.Endpoint,
        message: messages.Subscribe,
        now: datetime.timedelta,
    ) -> tuple[messages.SubscribeReply, messages.RecordBatch]:
        """Record a subscription; return the reply and the missing records."""
        self._record_subscription(peer, message, now)
        part = deltas.select_part(self._history.newest, message.service)
        incarnation, sequence = self._get_known_order(message.agent.name)
        full = self._is_full()
        wanted = full or message.entries_wanted
        reply = messages.SubscribeReply(
            revision=self._history.revision,
            checksum=deltas.compute_checksum(part),
            incarnation=incarnation,
            sequence=sequence,
            entries=self._sample_entries() if wanted else (),
            full=full,
        )
        records = self._exchange.records
        if message.records == records.hash_service(message.service):
            return reply, messages.RecordBatch()
        return reply, self._exchange.collect_service(message.service)

    def _record_subscription(
        self,
        peer: model.Endpoint,
        message: messages.Subscribe,
        now: datetime.timedelta,
    ) -> None:
        name = message.agent.name
        known = self._by_agent.get(name)
        if known and known.agent.incarnation > message.agent.incarnation:
            return
        if known and known.agent == message.agent:
            known.address = peer
            known.last_message_at = now
            known.revision = max(known.revision, message.revision)
            return
        self._by_agent[name] = Subscriber(
            address=peer,
            agent=message.agent,
            service=message.service,
            revision=message.revision,
            last_message_at=now,
            pushed_at=now,
        )

    def refresh_entries(self) -> None:
        """Update the addresses of the other known entries."""
        self._entries = [
            record.address
            for record in self._exchange.records.nodes.values()
            if record.role is messages.Role.ENTRY
            and not record.left
            and record.name != self._name
        ]

    def remove(self, agent: model.AgentIdentity) -> None:
        """Remove the subscription of one incarnation of an agent."""
        known = self._by_agent.get(agent.name)
        if known and known.agent == agent:
            del self._by_agent[agent.name]

    def list_addresses(self, service: str) -> list[model.Endpoint]:
        """Return the addresses of the agents of a service."""
        return [
            subscriber.address
            for subscriber in self._by_agent.values()
            if subscriber.service == service
        ]

    def push_all(
        self, now: datetime.timedelta
    ) -> list[tuple[model.Endpoint, messages.Offer | messages.Piece]]:
        """Return a push of the new configuration for each agent."""
        for subscriber in self._by_agent.values():
            subscriber.push_count = 0
        return self._push(list(self._by_agent.values()), now)

    def push_unconfirmed(
        self, now: datetime.timedelta
    ) -> list[tuple[model.Endpoint, messages.Offer | messages.Piece]]:
        """Return repeated pushes for agents that did not confirm."""
        due = [
            subscriber
            for subscriber in self._by_agent.values()
            if subscriber.revision < self._history.revision
            and now - subscriber.pushed_at >= CONFIRM_RESEND_DELAY
            and subscriber.push_count < MAX_PUSHES
        ]
        return self._push(due, now)

    def remove_silent(self, now: datetime.timedelta) -> None:
        """Remove agents that stopped renewing their subscription.

        They use another entry or have stopped. A silent agent that is
        suspect is kept, and counts as unconfirmed, until it expires or sends
        a message again.
        """
        silent = [
            subscriber
            for subscriber in self._by_agent.values()
            if now - subscriber.last_message_at >= SILENCE_LIMIT
        ]
        for subscriber in silent:
            if not self._is_visible_suspect(subscriber.agent.name):
                del self._by_agent[subscriber.agent.name]

    def _is_visible_suspect(self, name: str) -> bool:
        record = self._exchange.records.targets.get(name)
        return (
            record is not None
            and record.suspected_at is not None
            and record.expired_at is None
        )

    def all_confirmed(self) -> bool:
        """Return whether all agents confirmed the entry's version."""
        version = self._history.revision.version
        return all(
            subscriber.revision.version >= version
            for subscriber in self._by_agent.values()
        )

    def _push(
        self, subscribers: list[Subscriber], now: datetime.timedelta
    ) -> list[tuple[model.Endpoint, messages.Offer | messages.Piece]]:
        for subscriber in subscribers:
            subscriber.pushed_at = now
            subscriber.push_count += 1
        return [
            (subscriber.address, self._make_push(subscriber))
            for subscriber in subscribers
        ]

    def _make_push(
        self, subscriber: Subscriber
    ) -> messages.Offer | messages.Piece:
        service = subscriber.service
        previous = self._history.get(subscriber.revision)
        part = deltas.select_part(self._history.newest, service)
        checksum = deltas.compute_checksum(part)
        unchanged = previous is not None and checksum == (
            deltas.compute_checksum(deltas.select_part(previous, service))
        )
        if unchanged or self._history.revision == messages.INITIAL_REVISION:
            return messages.Offer(service, self._history.revision, checksum)
        pieces = self._history.make_pieces(
            service, messages.INITIAL_REVISION, self._history.revision
        )
        if len(pieces) == 1:
            return pieces[0]
        return messages.Offer(service, self._history.revision, checksum)

    def _get_known_order(self, agent: str) -> tuple[int, int]:
        record = self._exchange.records.targets.get(agent)
        return record.announcement.order if record else (0, 0)

    def _sample_entries(self) -> tuple[model.Endpoint, ...]:
        size = min(ENTRY_SAMPLE, len(self._entries))
        return tuple(self._generator.sample(self._entries, size))

    def _is_full(self) -> bool:
        targets = len(self._exchange.records.targets)
        fair_share = 2 * targets / (len(self._entries) + 1)
        return len(self._by_agent) > 2 * fair_share + SPARE_SUBSCRIBERS
