"""Admission control: selects the agent that admits a new flow."""

import collections
import collections.abc
import dataclasses
import datetime

from egretfork.agent import status as status_module
from egretfork import model
from egretfork import wire

# Bound of a joining agent's rate of new flows, relative to the mean rate of
# its peers. The requirement is 1.10; the margin covers random variation.
MAX_RELATIVE_RATE = 1.04
MIN_RAMP_SHARE = 0.1
MAX_ALLOWANCE_FLOWS = 8.0
# Load hints are sent at most every 100 ms and take some milliseconds to
# arrive, so a peer's count lacks the placements of this period.
PLACEMENT_WINDOW = datetime.timedelta(milliseconds=150)
# A joining agent waits this long for hints from all peers. After that it
# compares its load with the hints received, or stops its ramp if there are
# none.
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
    """State of another agent of the service, as known here.

    Attributes:
        announcement: newest announcement.
        first_seen: time of the first announcement of this incarnation.
        hint: last load hint, ``None`` if none arrived from this
            incarnation.
        placements: times at which this agent sent new flows to the peer.
    """

    announcement: model.TargetAnnouncement
    first_seen: datetime.timedelta
    hint: wire.LoadHint | None = None
    placements: collections.deque[datetime.timedelta] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def accepts_flows(self) -> bool:
        """Return whether the peer is known or assumed to take new flows."""
        if self.announcement.state not in ACCEPTING_STATES:
            return False
        if self.hint is None:
            return True
        full = self.hint.flows + len(self.placements) >= self.hint.flow_limit
        leaving = self.hint.state not in ACCEPTING_STATES
        return not (full or leaving or self.hint.shedding)

    @property
    def weight(self) -> float:
        """Return the peer's relative share of flows."""
        return max(self.announcement.weight, 0.001)

    def drop_old_placements(self, now: datetime.timedelta) -> None:
        """Drop placements that the peer's load hints already include."""
        while self.placements and now - self.placements[0] > PLACEMENT_WINDOW:
            self.placements.popleft()


class AdmissionController:
    """Tracks the load of peers and selects the agent for a new flow.

    An agent that joins earns an allowance of new flows from the flows that
    its peers admit, until its load has reached the mean once.
    """

    def __init__(
        self,
        status: status_module.AgentStatus,
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
        """Return whether this agent has reached its share of flows once."""
        return self._has_reached_share

    def set_announcements(
        self,
        announcements: tuple[model.TargetAnnouncement, ...],
        now: datetime.timedelta,
    ) -> None:
        """Replace the announcements of the targets of the service."""
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
        """Store the load hint of a peer.

        Ignores hints of agents that are not announced or of another
        incarnation.
        """
        peer = self._peers.get(hint.address)
        if peer is None or peer.announcement.identity != hint.agent:
            return
        previous = peer.hint
        peer.hint = hint
        if previous is not None and not self._has_reached_share:
            self._add_allowance(hint.admitted - previous.admitted, peer.weight)

    def _add_allowance(self, admitted: int, weight: float) -> None:
        # Each flow that a peer admits adds a share of the peers' mean rate.
        others = sum(peer.hint is not None for peer in self._peers.values())
        share = (
            self._ramp_share * MAX_RELATIVE_RATE * self._status.weight / weight
        )
        self._allowance = min(
            MAX_ALLOWANCE_FLOWS,
            self._allowance + max(admitted, 0) * share / max(others, 1),
        )

    def start_ramp(self, now: datetime.timedelta) -> None:
        """Start the cold start ramp; repeated calls have no effect."""
        if self._ramp_start is None:
            self._ramp_start = now

    def update(self, now: datetime.timedelta) -> None:
        """Advance the cold start ramp and drop old placements."""
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
        """Return the number of own flows divided by the own weight."""
        return self._count_flows() / max(self._status.weight, 0.001)

    @property
    def is_accepting(self) -> bool:
        """Return whether health, load and ramp allow a new flow now."""
        status = self._status
        if status.is_leaving or status.shedding or not status.ready:
            return False
        return self._ramp_share >= 1.0 or not self._is_over_rate

    @property
    def is_rate_limited(self) -> bool:
        """Return whether other agents should take new flows first."""
        return self.is_accepting and self._is_over_rate

    @property
    def _is_over_rate(self) -> bool:
        return not self._has_reached_share and self._allowance < 1.0

    def can_admit(self, ignore_rate: bool = False) -> bool:
        """Return whether this agent can admit a new flow now.

        Args:
            ignore_rate: allow the flow even if the allowance is used up.
        """
        if not self.is_accepting or not self._has_room():
            return False
        return ignore_rate or not self._is_over_rate

    def can_accept_transfer(self) -> bool:
        """Return whether this agent accepts flows moved by another agent."""
        status = self._status
        return status.ready and not status.is_leaving and self._has_room()

    def count_admission(self) -> None:
        """Count an admitted flow and reduce the allowance."""
        self.admitted += 1
        self._allowance = max(0.0, self._allowance - 1.0)

    def record_placement(
        self, agent: model.Endpoint, now: datetime.timedelta
    ) -> None:
        """Record that a new flow was sent to a peer."""
        peer = self._peers.get(agent)
        if peer is not None:
            peer.placements.append(now)

    def is_unavailable(self, agent: model.Endpoint) -> bool:
        """Return whether an agent is suspect, has left or was removed."""
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
        """Return the less loaded of the first two agents that accept flows.

        Args:
            agents: list of the bucket, most preferred first.
            excluded: agents that must not be returned.
            ignore_rate: return a rate-limited agent if no other accepts.
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
        """Return the agent that a flow of this agent should move to."""
        return self.choose_agent(agents, excluded | {self._status.address})

    def _accepts_flows(self, agent: model.Endpoint) -> bool:
        if agent == self._status.address:
            return self.can_admit(ignore_rate=True)
        peer = self._peers.get(agent)
        # The announcement of an agent that is only on the list is still on
        # its way here; the agent is assumed to accept flows.
        return peer is None or peer.accepts_flows

    def _is_agent_rate_limited(self, agent: model.Endpoint) -> bool:
        if agent == self._status.address:
            return self.is_rate_limited
        peer = self._peers.get(agent)
        return (
            peer is not None
            and peer.hint is not None
            and peer.hint.rate_limited
        )

    def _estimate_load(self, agent: model.Endpoint) -> float:
        if agent == self._status.address:
            return self.own_load
        peer = self._peers.get(agent)
        if peer is None or peer.hint is None:
            return self.own_load
        return (peer.hint.flows + len(peer.placements)) / peer.weight
