"""Selection of the agent whose target receives a new flow.

A flow goes to the target with the lowest load per slot among a few that its
hash chooses. If all targets were compared, all entries would send their next
flows to the same one. The entry adds the flows that it placed itself since an
agent's newest announcement; otherwise a burst of new flows would all go to the
target that was the least loaded at its start.
"""

import collections
import datetime

import msgspec
import xxhash

from egretfork import model
from egretfork.passthrough import messages
from egretfork.passthrough import workload

# An agent counts as silent after missing this many announcements.
MAX_MISSED_ANNOUNCEMENTS = 4
# Shortest time in which a process can be restarted.
MIN_RESTART_TIME = datetime.timedelta(milliseconds=250)
MIN_SILENCE_TIMEOUT = datetime.timedelta(milliseconds=800)
# Number of targets that are compared for one flow, in the entry's own
# availability zone and in others. Up to ``MAX_COMPARED`` are all compared.
LOCAL_SAMPLE_SIZE = 2
REMOTE_SAMPLE_SIZE = 1
MAX_COMPARED = 6
# Agents of each availability zone at which a flow was likely opened, including
# those that got it after another one had declined it.
LIKELY_PER_ZONE = 4
# Loads that differ by less than this count as equal, in flows. Of such
# targets, the one that the entry used least recently is chosen.
LOAD_MARGIN = 1.0
# Factor by which a target that is warming up is slower.
WARMUP_LOAD_FACTOR = 2.0
# Targets in other availability zones are used if those of the entry's own
# zone have this much more load per slot.
REMOTE_LOAD_FACTOR = 1.25
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
    placed_at: datetime.timedelta = datetime.timedelta()

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
        to have been restarted. The same holds for an agent of another VM
        that has the address now.
        """
        known = self.announcement
        same_process = (announcement.agent, announcement.incarnation) == (
            known.agent,
            known.incarnation,
        )
        if same_process:
            return announcement.sequence > known.sequence
        silent = now - self.last_seen_at >= MIN_RESTART_TIME
        return announcement.incarnation > known.incarnation or silent

    def is_live(self, now: datetime.timedelta) -> bool:
        """Return whether announcements of the agent arrive as expected."""
        return now - self.last_seen_at < self.extend_timeout(
            MIN_SILENCE_TIMEOUT
        )

    def is_in_zone(self, availability_zone: str) -> bool:
        """Return whether the agent is in an availability zone."""
        return self.announcement.availability_zone == availability_zone

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
        flow_hash: chooses the agents that are compared, in the same way on
            every entry.
    """
    available = [agent for agent in agents if accepts_flows(agent)]
    live = [agent for agent in available if agent.is_live(now)]
    sample = _choose_sample(live or available, availability_zone, flow_hash)
    loads = [
        (compute_load(agent, availability_zone), agent) for agent in sample
    ]
    if not loads:
        return None
    least = min(load for load, _ in loads)
    return min(
        (
            agent
            for load, agent in loads
            if (load - least) * agent.announcement.slots < LOAD_MARGIN
        ),
        key=lambda agent: agent.placed_at,
    )


def _choose_sample(
    agents: list[AgentView], availability_zone: str, flow_hash: int
) -> list[AgentView]:
    if len(agents) <= MAX_COMPARED:
        return agents
    ranked = sorted(agents, key=lambda agent: _rank_agent(agent, flow_hash))
    local = [a for a in ranked if a.is_in_zone(availability_zone)]
    remote = [a for a in ranked if not a.is_in_zone(availability_zone)]
    return local[:LOCAL_SAMPLE_SIZE] + remote[:REMOTE_SAMPLE_SIZE]


def choose_likely(
    agents: list[AgentView], flow_hash: int
) -> list[model.Endpoint]:
    """Return the agents that any entry most likely chose for a flow."""
    ranked = sorted(agents, key=lambda agent: _rank_agent(agent, flow_hash))
    counts: collections.Counter[str] = collections.Counter()
    likely: list[model.Endpoint] = []
    for agent in ranked:
        zone = agent.announcement.availability_zone
        counts[zone] += 1
        if counts[zone] <= LIKELY_PER_ZONE:
            likely.append(agent.address)
    return likely


def _rank_agent(agent: AgentView, flow_hash: int) -> int:
    """Return the rank of an agent for a flow, the same on every entry."""
    return xxhash.xxh3_64_intdigest(
        agent.announcement.agent.encode(), flow_hash
    )


def accepts_flows(agent: AgentView) -> bool:
    """Return whether an agent announced that its target accepts flows."""
    announcement = agent.announcement
    ready = announcement.state is messages.TargetState.READY
    return ready and not announcement.stopping


def _get_workload(announcement: messages.Announcement) -> float:
    if announcement.workload is not None:
        return announcement.workload
    running = workload.RUNNING_REQUEST_WEIGHT * announcement.running
    return announcement.flows + announcement.recent_load + running


def compute_load(agent: AgentView, availability_zone: str) -> float:
    """Return the load of a target per slot, including the zone penalty."""
    announcement = agent.announcement
    work = agent.placed_flows + _get_workload(announcement)
    if announcement.warmup_ms:
        work = (work + 1) * WARMUP_LOAD_FACTOR
    load = work / max(announcement.slots, 1)
    if agent.is_in_zone(availability_zone):
        return load
    return load * REMOTE_LOAD_FACTOR + REMOTE_ZONE_PENALTY
