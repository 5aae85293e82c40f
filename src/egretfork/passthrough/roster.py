"""Control's list of the agents that may run, which outlives its processes.

Answers a restart of all nodes at once: an entry that has just started may
reset a flow that no agent holds only if it has heard every agent that runs.
The list tells it whom to wait for. An agent stays on it for longer than its
restart takes.
"""

import datetime

from egretfork import model

SILENCE_LIMIT = datetime.timedelta(seconds=4)
# After this time every agent that runs has greeted a control process.
GREETED_AFTER = datetime.timedelta(seconds=3)


class Roster:
    """Agents heard lately or known from before the start.

    Args:
        known: agents of the stored list, none if there is none.
    """

    def __init__(
        self,
        known: tuple[model.Endpoint, ...] | None,
        now: datetime.timedelta,
    ) -> None:
        self._heard = dict.fromkeys(known or (), now)
        self._was_known = known is not None
        self._started_at = now

    def note(self, agent: model.Endpoint, now: datetime.timedelta) -> None:
        """Note that an agent has greeted."""
        self._heard[agent] = now

    def forget(self, agent: model.Endpoint) -> None:
        """Note that an agent has ended for good."""
        self._heard.pop(agent, None)

    def expire(self, now: datetime.timedelta) -> None:
        """Forget agents that have been silent for too long."""
        self._heard = {
            agent: heard_at
            for agent, heard_at in self._heard.items()
            if now - heard_at < SILENCE_LIMIT
        }

    def list_agents(self) -> tuple[model.Endpoint, ...]:
        """Return the agents that may run."""
        return tuple(sorted(self._heard))

    def is_complete(self, now: datetime.timedelta) -> bool:
        """Return whether no agent that runs is missing."""
        return self._was_known or now - self._started_at >= GREETED_AFTER
