"""First packets of flows that wait at an agent for a slot of its target.

Answers more flows at a time than the targets have slots: a flow that no other
agent takes waits here, where it can still be refused, and not at the target,
which would reject its request. Flows are opened in order of arrival.

A burst may wait for long. If some flow has waited at every moment for a while,
the load exceeds the capacity and long waits only make all answers late, some
of them too late for their callers: waits are short until no flow waits.
"""

import collections
import datetime

import msgspec

from egretfork import model
from egretfork.passthrough import packets

# Longest wait. A caller sends a copy of its first packet after 200 ms.
MAX_WAIT = datetime.timedelta(milliseconds=200)
# Longest wait once flows have waited for ``MAX_BURST``.
OVERLOAD_WAIT = datetime.timedelta(milliseconds=60)
MAX_BURST = datetime.timedelta(milliseconds=500)
MAX_WAITING = 64


class WaitingFlow(msgspec.Struct, frozen=True):
    """A flow that waits to be opened."""

    packet: packets.Packet
    service: str
    entry: model.Endpoint
    arrived_at: datetime.timedelta


class Waitlist:
    """Waiting flows in order of arrival, limited in number and time."""

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[packets.FlowKey, WaitingFlow] = (
            collections.OrderedDict()
        )
        self._waiting_since = datetime.timedelta()

    def __len__(self) -> int:
        return len(self._flows)

    def has_room(self) -> bool:
        """Return whether another flow may wait."""
        return len(self._flows) < MAX_WAITING

    def put(self, waiting: WaitingFlow) -> None:
        """Add a flow; one that waits already keeps its place and age."""
        flow = waiting.packet.flow
        if not self._flows:
            self._waiting_since = waiting.arrived_at
        known = self._flows.get(flow)
        if known is not None:
            waiting = msgspec.structs.replace(
                waiting, arrived_at=known.arrived_at
            )
        self._flows[flow] = waiting

    def __contains__(self, flow: packets.FlowKey) -> bool:
        return flow in self._flows

    def get_max_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the longest wait at present."""
        overloaded = self._flows and now - self._waiting_since >= MAX_BURST
        return OVERLOAD_WAIT if overloaded else MAX_WAIT

    def pop_oldest(self) -> WaitingFlow | None:
        """Remove and return the flow that has waited for longest."""
        if not self._flows:
            return None
        return self._flows.popitem(last=False)[1]

    def pop_expired(self, now: datetime.timedelta) -> list[WaitingFlow]:
        """Remove and return the flows that have waited for too long."""
        expired: list[WaitingFlow] = []
        max_wait = self.get_max_wait(now)
        while self._flows:
            flow, waiting = next(iter(self._flows.items()))
            if now - waiting.arrived_at < max_wait:
                break
            expired.append(waiting)
            del self._flows[flow]
        return expired

    def pop_all(self) -> list[WaitingFlow]:
        """Remove and return all flows."""
        removed = list(self._flows.values())
        self._flows.clear()
        return removed
