"""Choice of the agent whose target takes a new flow.

Answers bursts of new flows and uneven targets: a flow goes to the target
with the least work for its slots. An entry counts what it placed itself
since an agent's newest announcement, so that a burst does not go to the
target that was the least loaded when it began.
"""

import datetime

import msgspec
import xxhash

from egretfork import model
from egretfork.passthrough import messages

# An agent is heard while fewer announcements than this are missed.
MISSED_MAX = 4
# A process needs at least this time to be replaced by its next start.
RESTART_MIN = datetime.timedelta(milliseconds=250)
SILENCE_MIN = datetime.timedelta(milliseconds=800)
# A request that waits counts as this many open flows.
RUNNING_WEIGHT = 2.0
# A target that has just started takes this much longer for a request.
COLD_FACTOR = 2.0
# Load per slot that a flow to another availability zone has to save.
ZONE_COST = 0.75


class AgentView(msgspec.Struct):
    """What an entry knows of one agent.

    Attributes:
        placed: flows placed since the newest announcement.
    """

    address: model.Endpoint
    announcement: messages.Announcement
    heard_at: datetime.timedelta
    placed: int = 0

    def note(
        self, announcement: messages.Announcement, now: datetime.timedelta
    ) -> None:
        """Take a newer announcement."""
        self.announcement = announcement
        self.heard_at = now
        self.placed = 0

    def is_overtaken_by(
        self, announcement: messages.Announcement, now: datetime.timedelta
    ) -> bool:
        """Return whether an announcement is newer than the known one.

        The wall clock of an agent that restarted may have been set back;
        the silence of its earlier process then shows that it has ended.
        """
        known = self.announcement
        if announcement.agent != known.agent:
            return True
        if announcement.incarnation == known.incarnation:
            return announcement.sequence > known.sequence
        silent = now - self.heard_at >= RESTART_MIN
        return announcement.incarnation > known.incarnation or silent

    def is_heard(self, now: datetime.timedelta) -> bool:
        """Return whether announcements of the agent still arrive."""
        return now - self.heard_at < self.stretch(SILENCE_MIN)

    def stretch(self, least: datetime.timedelta) -> datetime.timedelta:
        """Return a limit of silence that allows for missed announcements."""
        period = datetime.timedelta(milliseconds=self.announcement.period_ms)
        return max(least, MISSED_MAX * period)


def choose_agent(
    agents: list[AgentView],
    availability_zone: str,
    flow_hash: int,
    now: datetime.timedelta,
) -> AgentView | None:
    """Return the agent that is to take a new flow, none if none may.

    Args:
        agents: agents of the flow's service that have not declined it.
        availability_zone: where the entry is.
        flow_hash: decides between equals, the same on every entry.
    """
    able = [agent for agent in agents if is_able(agent)]
    heard = [agent for agent in able if agent.is_heard(now)]
    return min(
        heard or able,
        key=lambda agent: (
            rate_load(agent, availability_zone),
            xxhash.xxh3_64_intdigest(
                agent.announcement.agent.encode(), flow_hash
            ),
        ),
        default=None,
    )


def is_able(agent: AgentView) -> bool:
    """Return whether an agent announced that its target takes flows."""
    announcement = agent.announcement
    ready = announcement.state is messages.TargetState.READY
    return ready and not announcement.stopping


def rate_load(agent: AgentView, availability_zone: str) -> float:
    """Return the work of a target for each of its slots."""
    announcement = agent.announcement
    work = announcement.flows + agent.placed + announcement.recent
    work += RUNNING_WEIGHT * announcement.running
    if announcement.warmup_ms:
        work = (work + 1) * COLD_FACTOR
    near = announcement.availability_zone == availability_zone
    return work / max(announcement.slots, 1) + (0 if near else ZONE_COST)
