"""Table of the agents that an entry knows."""

import collections.abc
import datetime
import enum

from egretfork import model
from egretfork.passthrough import messages
from egretfork.passthrough import placement
from egretfork.passthrough import registry

# An agent is removed after this time without an announcement.
REMOVAL_TIMEOUT = datetime.timedelta(seconds=10)
# A restarting agent announces itself again within this time. After it, the
# flows of the agent count as lost.
LOSS_TIMEOUT = datetime.timedelta(seconds=2)
# A longer gap between two ticks means that the entry itself was suspended.
MAX_TICK_GAP = datetime.timedelta(milliseconds=500)
# Time after the start within which every running agent announces itself.
DISCOVERY_TIME = datetime.timedelta(seconds=2)
# Rosters of this many control processes together count as complete.
MIN_ROSTERS = 2


class AnnouncementChange(enum.Enum):
    """Effect of an announcement."""

    NONE = "none"
    NEW = "new"
    STATE = "state"
    REMOVED = "gone"


class AgentTable:
    """Agents by address, with their newest announcements."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._views: dict[model.Endpoint, placement.AgentView] = {}
        self._ring = registry.HashRing()
        self._rosters: tuple[frozenset[model.Endpoint], ...] = ()
        self._started_at = now
        self._ticked_at = now
        self._resumed_at = now

    def __contains__(self, address: model.Endpoint) -> bool:
        return address in self._views

    def find(self, address: model.Endpoint) -> placement.AgentView | None:
        """Return an agent, ``None`` if it is not known."""
        return self._views.get(address)

    def handle_announcement(
        self,
        announcement: messages.Announcement,
        address: model.Endpoint,
        now: datetime.timedelta,
    ) -> AnnouncementChange:
        """Apply an announcement and return its effect."""
        ended = announcement.state is messages.TargetState.ENDED
        known = self._views.get(address)
        if known is not None and not known.is_superseded_by(announcement, now):
            return AnnouncementChange.NONE
        if ended and announcement.stopping:
            self._remove(address)
            return AnnouncementChange.REMOVED
        if known is None:
            view = placement.AgentView(address, announcement, now)
            self._views[address] = view
            self._ring.add(address)
            return AnnouncementChange.NEW
        before = known.announcement
        known.update(announcement, now)
        unchanged = (before.state, before.service) == (
            announcement.state,
            announcement.service,
        )
        return (
            AnnouncementChange.NONE if unchanged else AnnouncementChange.STATE
        )

    def set_rosters(
        self, rosters: tuple[frozenset[model.Endpoint], ...]
    ) -> None:
        """Set the agent rosters, one per control process."""
        self._rosters = rosters

    def handle_tick(self, now: datetime.timedelta) -> list[model.Endpoint]:
        """Remove silent agents and return their addresses."""
        if now - self._ticked_at >= MAX_TICK_GAP:
            self._resumed_at = now
        self._ticked_at = now
        silent = [
            address
            for address, agent in self._views.items()
            if now - agent.last_seen_at
            >= agent.extend_timeout(REMOVAL_TIMEOUT)
        ]
        for address in silent:
            self._remove(address)
        return silent

    def is_lost(
        self, address: model.Endpoint, now: datetime.timedelta
    ) -> bool:
        """Return whether an agent has been silent for longer than a restart.

        Time in which the entry itself was suspended does not count.
        """
        agent = self._views.get(address)
        if agent is None:
            return True
        silent_since = max(agent.last_seen_at, self._resumed_at)
        return now - silent_since >= agent.extend_timeout(LOSS_TIMEOUT)

    def has_discovered_all(self, now: datetime.timedelta) -> bool:
        """Return whether every agent that may be running is known."""
        if now - self._started_at >= DISCOVERY_TIME:
            return True
        if len(self._rosters) < MIN_ROSTERS:
            return False
        return all(agents <= self._views.keys() for agents in self._rosters)

    def count_missing(self) -> int:
        """Return the number of agents on the rosters that are unknown."""
        listed = frozenset[model.Endpoint]().union(*self._rosters)
        return len(listed - self._views.keys())

    def list_services(self) -> frozenset[str]:
        """Return the services of all agents."""
        return frozenset(
            agent.announcement.service for agent in self._views.values()
        )

    def list_by_service(
        self, service: str, excluded: collections.abc.Container[model.Endpoint]
    ) -> list[placement.AgentView]:
        """Return the agents of a service that are not excluded."""
        return [
            agent
            for agent in self._views.values()
            if agent.announcement.service == service
            and agent.address not in excluded
        ]

    def list_candidates(
        self,
        services: tuple[str, ...],
        excluded: frozenset[model.Endpoint],
        now: datetime.timedelta,
    ) -> list[model.Endpoint]:
        """Return the agents that may hold a flow of one of the services.

        Args:
            services: empty for any service.
            excluded: agents that are known not to hold the flow.
        """
        # An agent that has no report of its target yet announces no service
        # and may hold flows of any.
        return sorted(
            agent.address
            for agent in self._views.values()
            if (not services or agent.announcement.service in ("", *services))
            and not agent.announcement.target_exited
            and agent.address not in excluded
            and not self.is_lost(agent.address, now)
        )

    def choose_likely(
        self, candidates: list[model.Endpoint], flow_hash: int
    ) -> list[model.Endpoint]:
        """Return the candidates at which a flow was most likely opened."""
        return placement.choose_likely(
            [self._views[address] for address in candidates], flow_hash
        )

    def is_likely_holder(
        self, address: model.Endpoint, flow_hash: int
    ) -> bool:
        """Return whether a flow was likely opened at an agent."""
        service = self._views[address].announcement.service
        peers = [
            agent
            for agent in self._views.values()
            if agent.announcement.service in ("", service)
        ]
        return address in placement.choose_likely(peers, flow_hash)

    def list_registrars(self, flow_hash: int) -> list[model.Endpoint]:
        """Return the agents at which a flow is registered."""
        return self._ring.choose(flow_hash)

    def _remove(self, address: model.Endpoint) -> None:
        if self._views.pop(address, None) is not None:
            self._ring.remove(address)
