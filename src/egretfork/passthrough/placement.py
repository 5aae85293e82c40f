"""Selection of the agent whose target receives a new flow.

A flow goes to the target with the lowest load per slot. The entry adds the
flows that it placed itself since an agent's newest announcement; otherwise a
burst of new flows would all go to the target that was the least loaded at its
start.
"""

import datetime

import msgspec
import xxhash

from egretfork import model
from egretfork.passthrough import messages

# An agent counts as silent after missing this many announcements.
MAX_MISSED_ANNOUNCEMENTS = 4
# Shortest time in which a process can be restarted.
MIN_RESTART_TIME = datetime.timedelta(milliseconds=250)
MIN_SILENCE_TIMEOUT = datetime.timedelta(milliseconds=800)
# Weight of a request that waits for its response, in open flows.
RUNNING_REQUEST_WEIGHT = 2.0
# Factor by which a target that is warming up is slower.
WARMUP_LOAD_FACTOR = 2.0
# Load per slot added to targets in other availability zones.
REMOTE_ZONE_PENALTY = 0.75


class AgentView(msgspec.Struct):
    """An entry's view of one agent.

    Attributes:
        placed_flows: flows that this entry placed since the newest
            announcement.
    """

    address: model.Endpoint
    announcement: messages.Announcement
    last_seen_at: datetime.timedelta
    placed_flows: int = 0

    def update(
        self, announcement: messages.Announcement, now: datetime.timedelta
    ) -> None:
        """Replace the announcement with a newer one."""
        self.announcement = announcement
        self.last_seen_at = now
        self.placed_flows = 0

    def is_superseded_by(
        self, announcement: messages.Announcement, now: datetime.timedelta
    ) -> bool:
        """Return whether an announcement is newer than the current one.

        The incarnation is a wall clock time and may decrease if the clock
        is set back before a restart. A lower incarnation is therefore
        accepted once the previous process has been silent for long enough
        to have been restarted.
        """
        known = self.announcement
        if announcement.agent != known.agent:
            return True
        if announcement.incarnation == known.incarnation:
            return announcement.sequence > known.sequence
        silent = now - self.last_seen_at >= MIN_RESTART_TIME
        return announcement.incarnation > known.incarnation or silent

    def is_live(self, now: datetime.timedelta) -> bool:
        """Return whether announcements of the agent arrive as expected."""
        return now - self.last_seen_at < self.extend_timeout(
            MIN_SILENCE_TIMEOUT
        )

    def extend_timeout(
        self, minimum: datetime.timedelta
    ) -> datetime.timedelta:
        """Extend a timeout to allow for missed announcements.

        Args:
            minimum: timeout for agents that announce themselves often.
        """
        period = datetime.timedelta(milliseconds=self.announcement.period_ms)
        return max(minimum, MAX_MISSED_ANNOUNCEMENTS * period)


def choose_agent(
    agents: list[AgentView],
    availability_zone: str,
    flow_hash: int,
    now: datetime.timedelta,
) -> AgentView | None:
    """Return the agent to offer a new flow to, ``None`` if there is none.

    Args:
        agents: agents of the flow's service that have not declined it.
        availability_zone: availability zone of the entry.
        flow_hash: breaks ties, in the same way on every entry.
    """
    available = [agent for agent in agents if accepts_flows(agent)]
    live = [agent for agent in available if agent.is_live(now)]
    return min(
        live or available,
        key=lambda agent: (
            compute_load(agent, availability_zone),
            xxhash.xxh3_64_intdigest(
                agent.announcement.agent.encode(), flow_hash
            ),
        ),
        default=None,
    )


def accepts_flows(agent: AgentView) -> bool:
    """Return whether an agent announced that its target accepts flows."""
    announcement = agent.announcement
    ready = announcement.state is messages.TargetState.READY
    return ready and not announcement.stopping


def compute_load(agent: AgentView, availability_zone: str) -> float:
    """Return the load of a target per slot, including the zone penalty."""
    announcement = agent.announcement
    work = announcement.flows + agent.placed_flows + announcement.recent_load
    work += RUNNING_REQUEST_WEIGHT * announcement.running
    if announcement.warmup_ms:
        work = (work + 1) * WARMUP_LOAD_FACTOR
    is_local = announcement.availability_zone == availability_zone
    return work / max(announcement.slots, 1) + (
        0 if is_local else REMOTE_ZONE_PENALTY
    )
