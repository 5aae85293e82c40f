"""Choice of the agent that admits a new flow."""

import collections
import collections.abc
import dataclasses
import datetime

from egretfork.agent import status as statuses
from egretfork import model
from egretfork import wire

# A newcomer's rate of new flows relative to the mean of the others; the
# required bound is 1.10, the rest is room for chance.
MAX_RELATIVE_RATE = 1.04
MIN_RAMP_SHARE = 0.1
MAX_ALLOWANCE_FLOWS = 8.0
# A load hint is sent at most every 100 ms and is some milliseconds on its
# way; placements in this time are not part of the peer's count yet.
PLACEMENT_WINDOW = datetime.timedelta(milliseconds=150)
# A newcomer that has hints no peer in this time takes its own view.
FIRST_HINTS_TIMEOUT = datetime.timedelta(seconds=3)
MAX_REMOVED_AGENTS = 256
ACCEPTING_STATES = frozenset(
    (model.TargetState.READY, model.TargetState.JOINING)
)
UNAVAILABLE_STATES = frozenset(
    (model.TargetState.SUSPECT, model.TargetState.LEFT)
)


@dataclasses.dataclass(slots=True)
class Peer:
    """What this agent knows of another agent of its service.

    Attributes:
        announcement: newest announcement.
        hint: last load hint, ``None`` if none was hints in this life of
            the peer.
        placed: instants at which this agent sent new flows there.
        first_seen: instant of the first announcement of this life.
    """

    announcement: model.TargetAnnouncement
    first_seen: datetime.timedelta
    hint: wire.LoadHint | None = None
    placements: collections.deque[datetime.timedelta] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def accepts_flows(self) -> bool:
        """Tell whether the peer takes new flows, as far as is known."""
        if self.announcement.state not in ACCEPTING_STATES:
            return False
        if self.hint is None:
            return True
        full = self.hint.flows + len(self.placements) >= self.hint.flow_limit
        leaving = self.hint.state not in ACCEPTING_STATES
        return not (full or leaving or self.hint.shedding)

    @property
    def weight(self) -> float:
        """Return the relative share of flows."""
        return max(self.announcement.weight, 0.001)

    def drop_old_placements(self, now: datetime.timedelta) -> None:
        """Drop placements that the peer's hints include by now."""
        while self.placements and now - self.placements[0] > PLACEMENT_WINDOW:
            self.placements.popleft()


class AdmissionController:
    """Knows the peers' load and decides who takes a new flow."""

    def __init__(
        self,
        status: statuses.AgentStatus,
        has_room: collections.abc.Callable[[], bool],
        count_flows: collections.abc.Callable[[], int],
    ) -> None:
        self._status = status
        self._has_room = has_room
        self._count_flows = count_flows
        self._peers: dict[model.Endpoint, Peer] = {}
        self._removed_agents: collections.OrderedDict[model.Endpoint, None] = (
            collections.OrderedDict()
        )
        self._announcements: tuple[model.TargetAnnouncement, ...] = ()
        self._allowance = 0.0
        self._ramp_start: datetime.timedelta | None = None
        self._ramp_share = MIN_RAMP_SHARE
        self._has_reached_share = False
        self.admitted = 0

    @property
    def announcements(self) -> tuple[model.TargetAnnouncement, ...]:
        """Return the announcements of the service's targets."""
        return self._announcements

    @property
    def peers(self) -> collections.abc.Mapping[model.Endpoint, Peer]:
        """Return the other agents of the service by address."""
        return self._peers

    @property
    def has_reached_share(self) -> bool:
        """Tell whether this agent has reached its share of flows once."""
        return self._has_reached_share

    def set_announcements(
        self,
        announcements: tuple[model.TargetAnnouncement, ...],
        now: datetime.timedelta,
    ) -> None:
        """Replace the known targets of the service."""
        own = self._status.address
        self._announcements = announcements
        before = self._peers
        present = {announcement.address for announcement in announcements}
        for address in before:
            self._removed_agents[address] = None
        for address in present:
            self._removed_agents.pop(address, None)
        while len(self._removed_agents) > MAX_REMOVED_AGENTS:
            self._removed_agents.popitem(last=False)
        self._peers = {
            announcement.address: self._update_peer(
                before.get(announcement.address), announcement, now
            )
            for announcement in announcements
            if announcement.address != own
        }

    @staticmethod
    def _update_peer(
        peer: Peer | None,
        announcement: model.TargetAnnouncement,
        now: datetime.timedelta,
    ) -> Peer:
        if peer is None:
            return Peer(announcement, now)
        if peer.announcement.identity != announcement.identity:
            return Peer(announcement, now)
        peer.announcement = announcement
        return peer

    def receive_hint(self, hint: wire.LoadHint) -> None:
        """Take a peer's load hint."""
        peer = self._peers.get(hint.address)
        if peer is None or peer.announcement.identity != hint.agent:
            return
        previous = peer.hint
        peer.hint = hint
        if previous is not None and not self._has_reached_share:
            self._add_allowance(hint.admitted - previous.admitted, peer.weight)

    def _add_allowance(self, admitted: int, weight: float) -> None:
        # One share of the others' mean rate for each flow they admit.
        others = sum(peer.hint is not None for peer in self._peers.values())
        share = (
            self._ramp_share * MAX_RELATIVE_RATE * self._status.weight / weight
        )
        self._allowance = min(
            MAX_ALLOWANCE_FLOWS,
            self._allowance + max(admitted, 0) * share / max(others, 1),
        )

    def start_ramp(self, now: datetime.timedelta) -> None:
        """Start the cold start ramp when the target becomes ready."""
        if self._ramp_start is None:
            self._ramp_start = now

    def update(self, now: datetime.timedelta) -> None:
        """Advance the ramp and the placements of peers."""
        for peer in self._peers.values():
            peer.drop_old_placements(now)
        if self._has_reached_share or self._ramp_start is None:
            return
        service = self._status.service
        cold_ms = service.cold_start_ms if service is not None else 0
        elapsed = now - self._ramp_start
        elapsed_ms = elapsed / datetime.timedelta(milliseconds=1)
        ramp = elapsed_ms / cold_ms if cold_ms else 1.0
        self._ramp_share = min(
            1.0, MIN_RAMP_SHARE + (1 - MIN_RAMP_SHARE) * ramp
        )
        self._has_reached_share = self._has_reached_mean(elapsed)

    def _has_reached_mean(self, elapsed: datetime.timedelta) -> bool:
        accepting = [
            peer
            for peer in self._peers.values()
            if peer.announcement.state in ACCEPTING_STATES
        ]
        hints = [peer.hint for peer in accepting if peer.hint is not None]
        if len(hints) < len(accepting) and elapsed < FIRST_HINTS_TIMEOUT:
            return False
        if not hints:
            return True
        mean = sum(hint.flows / max(hint.weight, 0.001) for hint in hints)
        return self.own_load >= mean / len(hints)

    @property
    def own_load(self) -> float:
        """Return the own open flows relative to weight."""
        return self._count_flows() / max(self._status.weight, 0.001)

    @property
    def is_accepting(self) -> bool:
        """Tell whether health, load and ramp allow a new flow now."""
        status = self._status
        if status.is_leaving or status.shedding or not status.ready:
            return False
        return self._ramp_share >= 1.0 or not self._is_over_rate

    @property
    def is_rate_limited(self) -> bool:
        """Tell whether other agents should take new flows first."""
        return self.is_accepting and self._is_over_rate

    @property
    def _is_over_rate(self) -> bool:
        return not self._has_reached_share and self._allowance < 1.0

    def can_admit(self, ignore_rate: bool = False) -> bool:
        """Tell whether this agent itself takes a new flow now."""
        if not self.is_accepting or not self._has_room():
            return False
        return ignore_rate or not self._is_over_rate

    def can_accept_transfer(self) -> bool:
        """Tell whether this agent takes flows that another one moves."""
        status = self._status
        return status.ready and not status.is_leaving and self._has_room()

    def count_admission(self) -> None:
        """Count a flow that this agent has admitted."""
        self.admitted += 1
        self._allowance = max(0.0, self._allowance - 1.0)

    def record_placement(
        self, agent: model.Endpoint, now: datetime.timedelta
    ) -> None:
        """Count a new flow that was sent to a peer."""
        peer = self._peers.get(agent)
        if peer is not None:
            peer.placements.append(now)

    def is_unavailable(self, agent: model.Endpoint) -> bool:
        """Tell whether an agent is suspect, has left or was removed."""
        peer = self._peers.get(agent)
        if peer is None:
            return agent in self._removed_agents
        return peer.announcement.state in UNAVAILABLE_STATES

    def choose_agent(
        self,
        agents: tuple[model.Endpoint, ...],
        excluded: frozenset[model.Endpoint] = frozenset(),
        ignore_rate: bool = True,
    ) -> model.Endpoint | None:
        """Return the less loaded of the first two accepting agents.

        Args:
            agents: list of the bucket, best first.
            excluded: agents that do not come into question.
            ignore_rate: whether agents that are over their pace come
                into question if there are no others.
        """
        accepting = [
            agent
            for agent in agents
            if agent not in excluded and self._accepts_flows(agent)
        ]
        preferred = [
            agent
            for agent in accepting
            if not self._is_agent_rate_limited(agent)
        ]
        if not preferred and ignore_rate:
            preferred = accepting
        return min(preferred[:2], key=self._estimate_load, default=None)

    def choose_successor(
        self,
        agents: tuple[model.Endpoint, ...],
        excluded: frozenset[model.Endpoint],
    ) -> model.Endpoint | None:
        """Return the agent to which a flow moves."""
        return self.choose_agent(agents, excluded | {self._status.address})

    def _accepts_flows(self, agent: model.Endpoint) -> bool:
        if agent == self._status.address:
            return self.can_admit(ignore_rate=True)
        peer = self._peers.get(agent)
        # An agent without announcement is new to this one only.
        return peer is None or peer.accepts_flows

    def _is_agent_rate_limited(self, agent: model.Endpoint) -> bool:
        if agent == self._status.address:
            return self.is_rate_limited
        peer = self._peers.get(agent)
        return peer is not None and peer.hint is not None and peer.hint.paced

    def _estimate_load(self, agent: model.Endpoint) -> float:
        if agent == self._status.address:
            return self.own_load
        peer = self._peers.get(agent)
        if peer is None or peer.hint is None:
            return self.own_load
        return (peer.hint.flows + len(peer.placements)) / peer.weight
