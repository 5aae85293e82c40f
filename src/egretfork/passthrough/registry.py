"""Registry of flow holders, distributed over the agents.

After a change of the set of entries, most flows arrive at an entry that has
no hint for them, and querying all agents for each flow would saturate the
entry's link. For each flow, two agents chosen by consistent hashing store its
holder. A registration is only a hint: the holder itself is authoritative.
"""

import bisect
import collections
import collections.abc
import datetime
import itertools

import xxhash

from egretfork import model
from egretfork.passthrough import packets

# Number of agents at which each flow is registered.
REGISTRAR_COUNT = 2
# Points of each agent on the ring; more points spread flows more evenly.
POINTS_PER_AGENT = 4
MAX_REGISTRATIONS = 65_536
REGISTRATION_LIFETIME = datetime.timedelta(seconds=120)

RingPoint = tuple[int, model.Endpoint]


class HashRing:
    """Consistent hash ring of agents, the same on every entry."""

    def __init__(self) -> None:
        self._points: list[RingPoint] = []

    def add(self, agent: model.Endpoint) -> None:
        """Add an agent that is not on the ring."""
        for point in _list_points(agent):
            bisect.insort(self._points, point)

    def remove(self, agent: model.Endpoint) -> None:
        """Remove an agent."""
        self._points = [p for p in self._points if p[1] != agent]

    def choose(self, flow_hash: int) -> list[model.Endpoint]:
        """Return the registrars of a flow, at most ``REGISTRAR_COUNT``."""
        start = bisect.bisect_left(self._points, (flow_hash,))
        following = itertools.chain(
            itertools.islice(self._points, start, None),
            itertools.islice(self._points, start),
        )
        distinct = dict.fromkeys(
            agent
            for _, agent in itertools.islice(
                following, REGISTRAR_COUNT * POINTS_PER_AGENT
            )
        )
        return list(itertools.islice(distinct, REGISTRAR_COUNT))


class FlowRegistry:
    """Flow holders that entries registered at one agent."""

    def __init__(self) -> None:
        self._holders: collections.OrderedDict[
            packets.FlowKey, tuple[model.Endpoint, datetime.timedelta]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def put(
        self,
        flow: packets.FlowKey,
        holder: model.Endpoint,
        now: datetime.timedelta,
    ) -> None:
        """Register the holder of a flow, evicting the oldest if full."""
        self._holders[flow] = (holder, now)
        self._holders.move_to_end(flow)
        if len(self._holders) > MAX_REGISTRATIONS:
            self._holders.popitem(last=False)

    def find(self, flow: packets.FlowKey) -> model.Endpoint | None:
        """Return the holder of a flow, ``None`` if it is not registered."""
        known = self._holders.get(flow)
        return known[0] if known is not None else None

    def expire(self, now: datetime.timedelta) -> None:
        """Remove registrations that have reached their lifetime."""
        while self._holders:
            flow, (_, registered_at) = next(iter(self._holders.items()))
            if now - registered_at < REGISTRATION_LIFETIME:
                return
            del self._holders[flow]


def _list_points(agent: model.Endpoint) -> collections.abc.Iterator[RingPoint]:
    text = str(agent).encode()
    return (
        (xxhash.xxh3_64_intdigest(text, seed), agent)
        for seed in range(POINTS_PER_AGENT)
    )
