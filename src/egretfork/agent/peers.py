"""What the agent knows of the other agents of its service."""

import collections
import dataclasses
import datetime

from egretfork.agent import context as contexts
from egretfork import model
from egretfork import wire

HINT_LIFETIME = datetime.timedelta(seconds=5)
HINT_WINDOW = datetime.timedelta(seconds=1)
MAX_HINTS_PER_WINDOW = 10
# Hints that can wait leave room in the window for urgent ones.
MAX_CALM_HINTS_PER_WINDOW = 2
HINT_SPACING = datetime.timedelta(milliseconds=200)

SERVING = frozenset(
    (model.TargetState.READY, model.TargetState.JOINING),
)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another agent of the service and its latest hint.

    Attributes:
        announcement: newest announcement.
        hint: latest hint, ``None`` if none has arrived.
        waiting: requests that wait there, lowered by own pulls.
        first_deadline: deadline of the first of them.
    """

    announcement: model.TargetAnnouncement
    hint: wire.LoadHint | None = None
    hinted_at: datetime.timedelta = datetime.timedelta()
    waiting: int = 0
    first_deadline: datetime.timedelta = datetime.timedelta()

    def note_queue(
        self, waiting: int, first_deadline_ms: int, now: datetime.timedelta
    ) -> None:
        """Take in what the peer says about its queue."""
        self.waiting = waiting
        left = datetime.timedelta(milliseconds=first_deadline_ms)
        self.first_deadline = now + left
        self.hinted_at = now


class PeerTable:
    """The other agents of the service, by address."""

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._peers: dict[model.Endpoint, Peer] = {}
        self._newest: dict[str, model.TargetAnnouncement] = {}

    def update(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        """Replace the known announcements of the service."""
        own = self._context.identity.name
        self._newest = {item.agent: item for item in announcements}
        known = self._peers
        self._peers = {}
        for item in announcements:
            if item.agent == own or item.state is model.TargetState.LEFT:
                continue
            peer = known.get(item.address)
            if peer is None or (peer.announcement.identity != item.identity):
                peer = Peer(item)
            peer.announcement = item
            self._peers[item.address] = peer

    def note_hint(self, hint: wire.LoadHint, now: datetime.timedelta) -> None:
        """Take in the hint of a peer; ignore an earlier incarnation's."""
        peer = self._peers.get(hint.address)
        if peer is None or hint.service != self._context.service:
            return
        if hint.agent.incarnation < peer.announcement.incarnation:
            return
        peer.hint = hint
        peer.note_queue(hint.waiting, hint.first_deadline_ms, now)

    def addresses(self) -> tuple[model.Endpoint, ...]:
        """Return the addresses of all peers."""
        return tuple(self._peers)

    def find(self, address: model.Endpoint) -> Peer | None:
        """Return the peer at an address."""
        return self._peers.get(address)

    def find_address(
        self, identity: model.AgentIdentity
    ) -> model.Endpoint | None:
        """Return the address of one life of an agent."""
        if identity == self._context.identity:
            return self._context.address
        newest = self._newest.get(identity.name)
        if newest is None or newest.identity != identity:
            return None
        return newest.address

    def is_gone(self, identity: model.AgentIdentity) -> bool:
        """Return whether it is certain that this life has ended.

        Silence is no proof: a peer that a partition cuts off may be alive.
        """
        if identity == self._context.identity:
            return False
        if identity.name == self._context.identity.name:
            return identity.incarnation < self._context.identity.incarnation
        newest = self._newest.get(identity.name)
        if newest is None:
            return False
        if newest.incarnation > identity.incarnation:
            return True
        return (
            newest.incarnation == identity.incarnation
            and newest.state is model.TargetState.LEFT
        )

    def count_serving(self) -> int:
        """Return how many peers take work."""
        return sum(
            1 for peer in self._peers.values() if self._is_serving(peer)
        )

    def _is_serving(self, peer: Peer) -> bool:
        if peer.announcement.state not in SERVING:
            return False
        return peer.hint is None or peer.hint.state in SERVING

    def count_waiting(self, now: datetime.timedelta) -> int:
        """Return how many requests wait at the peers."""
        return sum(
            peer.waiting
            for peer in self._peers.values()
            if now - peer.hinted_at <= HINT_LIFETIME
        )

    def choose_source(self, now: datetime.timedelta) -> Peer | None:
        """Return the peer with the most waiting requests.

        The earliest deadline decides between equal numbers.
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
    """What the agent tells its peers about itself."""

    flows: int
    flow_limit: int
    free_slots: int
    waiting: int
    state: model.TargetState
    weight: float
    first_deadline: datetime.timedelta


class HintSender:
    """Sends hints when the load changes, at most 10 in any second."""

    def __init__(self, context: contexts.Context, table: PeerTable) -> None:
        self._context = context
        self._table = table
        self._sent: collections.deque[datetime.timedelta] = collections.deque(
            maxlen=MAX_HINTS_PER_WINDOW
        )
        self._last: Load | None = None
        self._seen_waiting = 0
        self._grown = False

    def offer(self, load: Load, now: datetime.timedelta) -> None:
        """Send a hint if the load warrants one and the rate allows it."""
        urgent = self._is_urgent(load)
        if not urgent and load == self._last and not load.waiting:
            return
        while self._sent and now - self._sent[0] >= HINT_WINDOW:
            self._sent.popleft()
        if len(self._sent) >= MAX_HINTS_PER_WINDOW:
            return
        if not urgent and not self._may_send_calm(now):
            return
        self._last = load
        self._grown = False
        self._sent.append(now)
        self._send(load, now)

    def _is_urgent(self, load: Load) -> bool:
        # A request that began to wait since the last hint matters even if
        # the number is the same: peers have lowered theirs by their pulls.
        if load.waiting > self._seen_waiting:
            self._grown = True
        self._seen_waiting = load.waiting
        last = self._last
        if last is None or load.state is not last.state:
            return True
        return self._grown and load.waiting > 0

    def _may_send_calm(self, now: datetime.timedelta) -> bool:
        if not self._sent:
            return True
        if len(self._sent) >= MAX_CALM_HINTS_PER_WINDOW:
            return False
        return now - self._sent[-1] >= HINT_SPACING

    def _send(self, load: Load, now: datetime.timedelta) -> None:
        left = load.first_deadline - now if load.waiting else now - now
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
            first_deadline_ms=max(0, contexts.to_ms(left)),
        )
        for address in self._table.addresses():
            self._context.send(address, hint)
