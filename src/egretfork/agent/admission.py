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
MIN_COLD_SHARE = 0.1
MAX_ALLOWANCE_FLOWS = 8.0
# A load hint is sent at most every 100 ms and is some milliseconds on its
# way; placements in this time are not part of the peer's count yet.
PLACEMENT_WINDOW = datetime.timedelta(milliseconds=150)
# A newcomer that has heard no peer in this time takes its own view.
FIRST_HINTS_TIMEOUT = datetime.timedelta(seconds=3)
MAX_DEPARTED = 256
ABLE_STATES = frozenset((model.TargetState.READY, model.TargetState.JOINING))
GONE_STATES = frozenset((model.TargetState.SUSPECT, model.TargetState.LEFT))


@dataclasses.dataclass(slots=True)
class Peer:
    """What this agent knows of another agent of its service.

    Attributes:
        announcement: newest announcement.
        hint: last load hint, ``None`` if none was heard in this life of
            the peer.
        placed: instants at which this agent sent new flows there.
        first_seen: instant of the first announcement of this life.
    """

    announcement: model.TargetAnnouncement
    first_seen: datetime.timedelta
    hint: wire.LoadHint | None = None
    placed: collections.deque[datetime.timedelta] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def is_able(self) -> bool:
        """Tell whether the peer takes new flows, as far as is known."""
        if self.announcement.state not in ABLE_STATES:
            return False
        if self.hint is None:
            return True
        full = self.hint.flows + len(self.placed) >= self.hint.flow_limit
        leaving = self.hint.state not in ABLE_STATES
        return not (full or leaving or self.hint.shedding)

    @property
    def weight(self) -> float:
        """Return the relative share of flows."""
        return max(self.announcement.weight, 0.001)

    def forget_old_placements(self, now: datetime.timedelta) -> None:
        """Drop placements that the peer's hints include by now."""
        while self.placed and now - self.placed[0] > PLACEMENT_WINDOW:
            self.placed.popleft()


class Admission:
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
        self._departed: collections.OrderedDict[model.Endpoint, None] = (
            collections.OrderedDict()
        )
        self._announcements: tuple[model.TargetAnnouncement, ...] = ()
        self._allowance = 0.0
        self._cold_since: datetime.timedelta | None = None
        self._cold_share = MIN_COLD_SHARE
        self._is_filled = False
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
    def is_filled(self) -> bool:
        """Tell whether this agent has reached its share of flows once."""
        return self._is_filled

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
            self._departed[address] = None
        for address in present:
            self._departed.pop(address, None)
        while len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)
        self._peers = {
            announcement.address: self._renew(
                before.get(announcement.address), announcement, now
            )
            for announcement in announcements
            if announcement.address != own
        }

    @staticmethod
    def _renew(
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

    def hear(self, hint: wire.LoadHint) -> None:
        """Take a peer's load hint."""
        peer = self._peers.get(hint.address)
        if peer is None or peer.announcement.identity != hint.agent:
            return
        previous = peer.hint
        peer.hint = hint
        if previous is not None and not self._is_filled:
            self._earn(hint.admitted - previous.admitted, peer.weight)

    def _earn(self, admitted: int, weight: float) -> None:
        # One share of the others' mean rate for each flow they admit.
        others = sum(peer.hint is not None for peer in self._peers.values())
        share = (
            self._cold_share * MAX_RELATIVE_RATE * self._status.weight / weight
        )
        self._allowance = min(
            MAX_ALLOWANCE_FLOWS,
            self._allowance + max(admitted, 0) * share / max(others, 1),
        )

    def start_ramp(self, now: datetime.timedelta) -> None:
        """Start the cold start ramp when the target becomes ready."""
        if self._cold_since is None:
            self._cold_since = now

    def update(self, now: datetime.timedelta) -> None:
        """Advance the ramp and the placements of peers."""
        for peer in self._peers.values():
            peer.forget_old_placements(now)
        if self._is_filled or self._cold_since is None:
            return
        service = self._status.service
        cold_ms = service.cold_start_ms if service is not None else 0
        elapsed = now - self._cold_since
        elapsed_ms = elapsed / datetime.timedelta(milliseconds=1)
        ramp = elapsed_ms / cold_ms if cold_ms else 1.0
        self._cold_share = min(
            1.0, MIN_COLD_SHARE + (1 - MIN_COLD_SHARE) * ramp
        )
        self._is_filled = self._has_reached_mean(elapsed)

    def _has_reached_mean(self, elapsed: datetime.timedelta) -> bool:
        able = [
            peer
            for peer in self._peers.values()
            if peer.announcement.state in ABLE_STATES
        ]
        heard = [peer.hint for peer in able if peer.hint is not None]
        if len(heard) < len(able) and elapsed < FIRST_HINTS_TIMEOUT:
            return False
        if not heard:
            return True
        mean = sum(hint.flows / max(hint.weight, 0.001) for hint in heard)
        return self.own_load >= mean / len(heard)

    @property
    def own_load(self) -> float:
        """Return the own open flows relative to weight."""
        return self._count_flows() / max(self._status.weight, 0.001)

    @property
    def is_willing(self) -> bool:
        """Tell whether health, load and ramp allow a new flow now."""
        status = self._status
        if status.is_leaving or status.shedding or not status.ready:
            return False
        return self._cold_share >= 1.0 or not self._is_over_pace

    @property
    def is_paced(self) -> bool:
        """Tell whether other agents should take new flows first."""
        return self.is_willing and self._is_over_pace

    @property
    def _is_over_pace(self) -> bool:
        return not self._is_filled and self._allowance < 1.0

    def can_admit(self, beyond_pace: bool = False) -> bool:
        """Tell whether this agent itself takes a new flow now."""
        if not self.is_willing or not self._has_room():
            return False
        return beyond_pace or not self._is_over_pace

    def can_receive(self) -> bool:
        """Tell whether this agent takes flows that another one moves."""
        status = self._status
        return status.ready and not status.is_leaving and self._has_room()

    def note_admitted(self) -> None:
        """Count a flow that this agent has admitted."""
        self.admitted += 1
        self._allowance = max(0.0, self._allowance - 1.0)

    def note_placed(
        self, agent: model.Endpoint, now: datetime.timedelta
    ) -> None:
        """Count a new flow that was sent to a peer."""
        peer = self._peers.get(agent)
        if peer is not None:
            peer.placed.append(now)

    def is_gone(self, agent: model.Endpoint) -> bool:
        """Tell whether an agent is suspect, has left or was removed."""
        peer = self._peers.get(agent)
        if peer is None:
            return agent in self._departed
        return peer.announcement.state in GONE_STATES

    def choose(
        self,
        agents: tuple[model.Endpoint, ...],
        excluded: frozenset[model.Endpoint] = frozenset(),
        beyond_pace: bool = True,
    ) -> model.Endpoint | None:
        """Return the less loaded of the first two able agents.

        Args:
            agents: list of the bucket, best first.
            excluded: agents that do not come into question.
            beyond_pace: whether agents that are over their pace come
                into question if there are no others.
        """
        able = [
            agent
            for agent in agents
            if agent not in excluded and self._is_able(agent)
        ]
        ahead = [agent for agent in able if not self._is_paced_agent(agent)]
        if not ahead and beyond_pace:
            ahead = able
        return min(ahead[:2], key=self._read_load, default=None)

    def choose_successor(
        self,
        agents: tuple[model.Endpoint, ...],
        excluded: frozenset[model.Endpoint],
    ) -> model.Endpoint | None:
        """Return the agent to which a flow moves."""
        return self.choose(agents, excluded | {self._status.address})

    def _is_able(self, agent: model.Endpoint) -> bool:
        if agent == self._status.address:
            return self.can_admit(beyond_pace=True)
        peer = self._peers.get(agent)
        # An agent without announcement is new to this one only.
        return peer is None or peer.is_able

    def _is_paced_agent(self, agent: model.Endpoint) -> bool:
        if agent == self._status.address:
            return self.is_paced
        peer = self._peers.get(agent)
        return peer is not None and peer.hint is not None and peer.hint.paced

    def _read_load(self, agent: model.Endpoint) -> float:
        if agent == self._status.address:
            return self.own_load
        peer = self._peers.get(agent)
        if peer is None or peer.hint is None:
            return self.own_load
        return (peer.hint.flows + len(peer.placed)) / peer.weight
