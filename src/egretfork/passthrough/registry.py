"""Registry of flows that agents keep for entries.

Answers a change of the set of entries, after which most flows arrive at an
entry that has not seen them: asking all agents about each flow would fill an
entry's link. Two agents, chosen by consistent hashing, know for each flow who
holds it. What they say is a hint: only the holder is sure.
"""

import bisect
import collections
import collections.abc
import datetime
import itertools

import xxhash

from egretfork import model
from egretfork.passthrough import packets

# Agents at which a flow is registered.
COPIES = 2
# Positions of an agent on the ring; more of them spread flows more evenly.
POINTS_PER_AGENT = 4
MAX_ENTRIES = 65_536
ENTRY_LIFETIME = datetime.timedelta(seconds=120)

Point = tuple[int, model.Endpoint]


class Ring:
    """Agents on a ring of hash values, the same on every entry."""

    def __init__(self) -> None:
        self._points: list[Point] = []

    def add(self, agent: model.Endpoint) -> None:
        """Add an agent that is not on the ring."""
        for point in _list_points(agent):
            bisect.insort(self._points, point)

    def remove(self, agent: model.Endpoint) -> None:
        """Remove an agent."""
        self._points = [p for p in self._points if p[1] != agent]

    def choose(self, flow_hash: int) -> list[model.Endpoint]:
        """Return the agents that keep a flow, at most ``COPIES``."""
        start = bisect.bisect_left(self._points, (flow_hash,))
        following = itertools.chain(
            itertools.islice(self._points, start, None),
            itertools.islice(self._points, start),
        )
        distinct = dict.fromkeys(
            agent
            for _, agent in itertools.islice(
                following, COPIES * POINTS_PER_AGENT
            )
        )
        return list(itertools.islice(distinct, COPIES))


class Register:
    """Holders of flows that entries registered at one agent."""

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
        """Note who holds a flow; the oldest entry makes room."""
        self._holders[flow] = (holder, now)
        self._holders.move_to_end(flow)
        if len(self._holders) > MAX_ENTRIES:
            self._holders.popitem(last=False)

    def find(self, flow: packets.FlowKey) -> model.Endpoint | None:
        """Return who holds a flow, none if it is not registered."""
        known = self._holders.get(flow)
        return known[0] if known is not None else None

    def expire(self, now: datetime.timedelta) -> None:
        """Forget entries at the end of their lifetime."""
        while self._holders:
            flow, (_, registered_at) = next(iter(self._holders.items()))
            if now - registered_at < ENTRY_LIFETIME:
                return
            del self._holders[flow]


def _list_points(agent: model.Endpoint) -> collections.abc.Iterator[Point]:
    text = str(agent).encode()
    return (
        (xxhash.xxh3_64_intdigest(text, seed), agent)
        for seed in range(POINTS_PER_AGENT)
    )
