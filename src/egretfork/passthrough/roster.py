"""Control's roster of the agents that may be running.

The roster is persisted for the case that all nodes restart at once. An entry
may reset a flow that no agent holds only after it has received announcements
of every running agent. The roster tells a newly started entry which agents to
wait for. An agent stays on the roster for longer than its restart takes.
"""

import datetime

from egretfork import model

AGENT_EXPIRY = datetime.timedelta(seconds=4)
# Time after the start of control within which every running agent sends a
# heartbeat.
DISCOVERY_TIME = datetime.timedelta(seconds=3)


class Roster:
    """Agents that sent heartbeats recently or were on the stored roster.

    Args:
        known: agents of the stored roster, ``None`` if there is none.
    """

    def __init__(
        self,
        known: tuple[model.Endpoint, ...] | None,
        now: datetime.timedelta,
    ) -> None:
        self._last_seen = dict.fromkeys(known or (), now)
        self._was_loaded = known is not None
        self._started_at = now

    def record(self, agent: model.Endpoint, now: datetime.timedelta) -> None:
        """Record a heartbeat of an agent."""
        self._last_seen[agent] = now

    def remove(self, agent: model.Endpoint) -> None:
        """Remove an agent that has stopped permanently."""
        self._last_seen.pop(agent, None)

    def expire(self, now: datetime.timedelta) -> None:
        """Remove agents that have been silent for too long."""
        self._last_seen = {
            agent: last_seen_at
            for agent, last_seen_at in self._last_seen.items()
            if now - last_seen_at < AGENT_EXPIRY
        }

    def list_agents(self) -> tuple[model.Endpoint, ...]:
        """Return the agents that may be running."""
        return tuple(sorted(self._last_seen))

    def is_complete(self, now: datetime.timedelta) -> bool:
        """Return whether the roster contains every running agent."""
        return self._was_loaded or now - self._started_at >= DISCOVERY_TIME
