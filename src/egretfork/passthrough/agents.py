"""What an entry knows of all agents."""

import collections.abc
import datetime
import enum

from egretfork import model
from egretfork.passthrough import messages
from egretfork.passthrough import placement
from egretfork.passthrough import registry

# An agent that is silent for longer is forgotten.
FORGOTTEN_AFTER = datetime.timedelta(seconds=10)
# An agent that restarts is heard again within this time; the flows of one
# that is not are given up.
LOST_AFTER = datetime.timedelta(seconds=2)
# A longer pause between two ticks means that the entry itself stood still.
PAUSE_LIMIT = datetime.timedelta(milliseconds=500)
# After this time every agent that runs has announced itself.
KNOWN_AFTER = datetime.timedelta(seconds=2)
# Control processes whose lists of agents are taken for complete.
MIN_ROSTERS = 2


class Change(enum.Enum):
    """What an announcement changed."""

    NONE = "none"
    NEW = "new"
    STATE = "state"
    GONE = "gone"


class KnownAgents:
    """Agents by address, as they announced themselves."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._views: dict[model.Endpoint, placement.AgentView] = {}
        self._ring = registry.Ring()
        self._rosters: tuple[frozenset[model.Endpoint], ...] = ()
        self._started_at = now
        self._ticked_at = now
        self._resumed_at = now

    def __contains__(self, address: model.Endpoint) -> bool:
        return address in self._views

    def find(self, address: model.Endpoint) -> placement.AgentView | None:
        """Return an agent, none if it is not known."""
        return self._views.get(address)

    def note(
        self,
        announcement: messages.Announcement,
        address: model.Endpoint,
        now: datetime.timedelta,
    ) -> Change:
        """Take an announcement and return what it changed."""
        ended = announcement.state is messages.TargetState.ENDED
        known = self._views.get(address)
        if ended and announcement.stopping:
            self._forget(address)
            return Change.GONE
        if known is None:
            view = placement.AgentView(address, announcement, now)
            self._views[address] = view
            self._ring.add(address)
            return Change.NEW
        before = known.announcement
        if not known.is_overtaken_by(announcement, now):
            return Change.NONE
        known.note(announcement, now)
        same = (before.state, before.service) == (
            announcement.state,
            announcement.service,
        )
        return Change.NONE if same else Change.STATE

    def note_rosters(
        self, rosters: tuple[frozenset[model.Endpoint], ...]
    ) -> None:
        """Take the lists of agents of control processes, one of each."""
        self._rosters = rosters

    def handle_tick(self, now: datetime.timedelta) -> list[model.Endpoint]:
        """Forget agents that have been silent, and return them."""
        if now - self._ticked_at >= PAUSE_LIMIT:
            self._resumed_at = now
        self._ticked_at = now
        silent = [
            address
            for address, agent in self._views.items()
            if now - agent.heard_at >= agent.stretch(FORGOTTEN_AFTER)
        ]
        for address in silent:
            self._forget(address)
        return silent

    def is_lost(
        self, address: model.Endpoint, now: datetime.timedelta
    ) -> bool:
        """Return whether an agent has been silent for longer than a restart.

        Time in which the entry itself stood still does not count.
        """
        agent = self._views.get(address)
        if agent is None:
            return True
        silent_since = max(agent.heard_at, self._resumed_at)
        return now - silent_since >= agent.stretch(LOST_AFTER)

    def are_all_known(self, now: datetime.timedelta) -> bool:
        """Return whether every agent that may run has announced itself."""
        if now - self._started_at >= KNOWN_AFTER:
            return True
        if len(self._rosters) < MIN_ROSTERS:
            return False
        return all(agents <= self._views.keys() for agents in self._rosters)

    def count_missing(self) -> int:
        """Return how many agents on control's lists were never heard."""
        listed = frozenset[model.Endpoint]().union(*self._rosters)
        return len(listed - self._views.keys())

    def list_services(self) -> frozenset[str]:
        """Return the services of all agents."""
        return frozenset(
            agent.announcement.service for agent in self._views.values()
        )

    def list_of_service(
        self, service: str, without: collections.abc.Container[model.Endpoint]
    ) -> list[placement.AgentView]:
        """Return the agents of a service."""
        return [
            agent
            for agent in self._views.values()
            if agent.announcement.service == service
            and agent.address not in without
        ]

    def list_possible(
        self,
        services: tuple[str, ...],
        without: frozenset[model.Endpoint],
        now: datetime.timedelta,
    ) -> list[model.Endpoint]:
        """Return the agents that may hold flows of services.

        Args:
            services: empty if flows of any service are meant.
            without: agents that are known not to hold the flow.
        """
        # An agent that waits for a report may hold flows of any service.
        return sorted(
            agent.address
            for agent in self._views.values()
            if (not services or agent.announcement.service in ("", *services))
            and not agent.announcement.vacant
            and agent.address not in without
            and not self.is_lost(agent.address, now)
        )

    def list_registrars(self, flow_hash: int) -> list[model.Endpoint]:
        """Return the agents with which a flow is registered."""
        return self._ring.choose(flow_hash)

    def _forget(self, address: model.Endpoint) -> None:
        if self._views.pop(address, None) is not None:
            self._ring.remove(address)
