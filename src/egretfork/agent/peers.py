"""Table of the other agents of the service, and hints to them."""

import collections
import dataclasses
import datetime

from egretfork.agent import context as context_module
from egretfork import model
from egretfork import wire

HINT_LIFETIME = datetime.timedelta(seconds=5)
HINT_WINDOW = datetime.timedelta(seconds=1)
MAX_HINTS_PER_WINDOW = 10
# Routine hints leave capacity in the window for urgent ones.
MAX_ROUTINE_HINTS_PER_WINDOW = 2
HINT_SPACING = datetime.timedelta(milliseconds=200)

SERVING_STATES = frozenset(
    (model.TargetState.READY, model.TargetState.JOINING),
)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another agent of the service and its latest hint.

    Attributes:
        announcement: latest announcement.
        hint: latest hint, ``None`` if none has arrived.
        hinted_at: time of the latest update of the queue's state.
        waiting: waiting requests of the peer, reduced by pulls sent to it.
        first_deadline: earliest deadline of the waiting requests.
    """

    announcement: model.TargetAnnouncement
    hint: wire.LoadHint | None = None
    hinted_at: datetime.timedelta = datetime.timedelta()
    waiting: int = 0
    first_deadline: datetime.timedelta = datetime.timedelta()

    def update_queue(
        self, waiting: int, first_deadline_ms: int, now: datetime.timedelta
    ) -> None:
        """Update the state of the peer's queue."""
        self.waiting = waiting
        remaining = datetime.timedelta(milliseconds=first_deadline_ms)
        self.first_deadline = now + remaining
        self.hinted_at = now


class PeerTable:
    """Other agents of the service, by address."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._peers: dict[model.Endpoint, Peer] = {}
        self._latest_announcements: dict[str, model.TargetAnnouncement] = {}

    def update(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        """Replace the announcements of the service."""
        own_name = self._context.identity.name
        self._latest_announcements = {
            item.agent: item for item in announcements
        }
        known = self._peers
        self._peers = {}
        for item in announcements:
            if item.agent == own_name or item.state is model.TargetState.LEFT:
                continue
            peer = known.get(item.address)
            if peer is None or (peer.announcement.identity != item.identity):
                peer = Peer(item)
            peer.announcement = item
            self._peers[item.address] = peer

    def update_hint(
        self, hint: wire.LoadHint, now: datetime.timedelta
    ) -> None:
        """Store a peer's hint unless it is from an earlier incarnation."""
        peer = self._peers.get(hint.address)
        if peer is None or hint.service != self._context.service:
            return
        if hint.agent.incarnation < peer.announcement.incarnation:
            return
        peer.hint = hint
        peer.update_queue(hint.waiting, hint.first_deadline_ms, now)

    def list_addresses(self) -> tuple[model.Endpoint, ...]:
        """Return the addresses of all peers."""
        return tuple(self._peers)

    def find(self, address: model.Endpoint) -> Peer | None:
        """Return the peer with an address, ``None`` if it is unknown."""
        return self._peers.get(address)

    def find_address(
        self, identity: model.AgentIdentity
    ) -> model.Endpoint | None:
        """Return the address of an incarnation, ``None`` if not current."""
        if identity == self._context.identity:
            return self._context.address
        latest = self._latest_announcements.get(identity.name)
        if latest is None or latest.identity != identity:
            return None
        return latest.address

    def has_incarnation_ended(self, identity: model.AgentIdentity) -> bool:
        """Return whether an incarnation has certainly ended.

        A missing response is no proof: behind a network partition the agent
        may still be running.
        """
        if identity == self._context.identity:
            return False
        if identity.name == self._context.identity.name:
            return identity.incarnation < self._context.identity.incarnation
        latest = self._latest_announcements.get(identity.name)
        if latest is None:
            return False
        if latest.incarnation > identity.incarnation:
            return True
        return (
            latest.incarnation == identity.incarnation
            and latest.state is model.TargetState.LEFT
        )

    def count_serving(self) -> int:
        """Return the number of peers that accept work."""
        return sum(
            1 for peer in self._peers.values() if self._is_serving(peer)
        )

    def _is_serving(self, peer: Peer) -> bool:
        if peer.announcement.state not in SERVING_STATES:
            return False
        return peer.hint is None or peer.hint.state in SERVING_STATES

    def count_waiting(self, now: datetime.timedelta) -> int:
        """Return the number of requests that wait at peers."""
        return sum(
            peer.waiting
            for peer in self._peers.values()
            if now - peer.hinted_at <= HINT_LIFETIME
        )

    def choose_pull_source(self, now: datetime.timedelta) -> Peer | None:
        """Return the peer with the most waiting requests.

        Ties are resolved by the earliest deadline.
        """
        candidates = (
            peer
            for peer in self._peers.values()
            if peer.waiting > 0 and now - peer.hinted_at <= HINT_LIFETIME
        )
        return min(
            candidates,
            key=lambda peer: (-peer.waiting, peer.first_deadline),
            default=None,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of this agent as reported to its peers."""

    flows: int
    flow_limit: int
    free_slots: int
    waiting: int
    state: model.TargetState
    weight: float
    first_deadline: datetime.timedelta


class EngineHintSender:
    """Sends load hints of the request engine, at most 10 in any second.

    ``AgentCore`` passes these hints to ``hints.HintSender``, which adds the
    fields about flows before peers receive them.
    """

    def __init__(
        self, context: context_module.Context, peer_table: PeerTable
    ) -> None:
        self._context = context
        self._peer_table = peer_table
        self._sent_at: collections.deque[datetime.timedelta] = (
            collections.deque(maxlen=MAX_HINTS_PER_WINDOW)
        )
        self._last_load: Load | None = None
        self._last_waiting = 0
        self._queue_has_grown = False

    def send_if_due(self, load: Load, now: datetime.timedelta) -> None:
        """Send a hint if the load requires one and the rate permits it."""
        urgent = self._is_urgent(load)
        if not urgent and load == self._last_load and not load.waiting:
            return
        while self._sent_at and now - self._sent_at[0] >= HINT_WINDOW:
            self._sent_at.popleft()
        if len(self._sent_at) >= MAX_HINTS_PER_WINDOW:
            return
        if not urgent and not self._can_send_routine(now):
            return
        self._last_load = load
        self._queue_has_grown = False
        self._sent_at.append(now)
        self._send(load, now)

    def _is_urgent(self, load: Load) -> bool:
        # A request queued since the last hint is urgent even if the count is
        # unchanged: peers have reduced their copy of it by their pulls.
        if load.waiting > self._last_waiting:
            self._queue_has_grown = True
        self._last_waiting = load.waiting
        last = self._last_load
        if last is None or load.state is not last.state:
            return True
        return self._queue_has_grown and load.waiting > 0

    def _can_send_routine(self, now: datetime.timedelta) -> bool:
        if not self._sent_at:
            return True
        if len(self._sent_at) >= MAX_ROUTINE_HINTS_PER_WINDOW:
            return False
        return now - self._sent_at[-1] >= HINT_SPACING

    def _send(self, load: Load, now: datetime.timedelta) -> None:
        remaining = load.first_deadline - now if load.waiting else now - now
        hint = wire.LoadHint(
            service=self._context.service,
            agent=self._context.identity,
            address=self._context.address,
            flows=load.flows,
            flow_limit=load.flow_limit,
            free_slots=load.free_slots,
            waiting=load.waiting,
            state=load.state,
            weight=load.weight,
            first_deadline_ms=max(0, context_module.to_ms(remaining)),
        )
        for address in self._peer_table.list_addresses():
            self._context.send(address, hint)
