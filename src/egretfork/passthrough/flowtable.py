"""Flows that an agent's target holds, learned from their packets."""

import collections
import datetime
import enum

import msgspec

from egretfork import model
from egretfork.passthrough import packets

MAX_FLOWS = 65_536
MAX_ENDED = 4_096


class Stage(enum.IntEnum):
    """How far a flow has come."""

    TRIED = 0
    OPENING = 1
    OPEN = 2
    CLOSED = 3


class HeldFlow(msgspec.Struct):
    """One flow of the target.

    Attributes:
        entry: entry that delivered its newest packet.
        established: the target has seen that the caller chose it. A caller
            whose first packet was repeated may have chosen another.
        used_at: instant of its newest packet.
        running_since: instant from which a request waits for the first
            byte of its answer; none if there is no such request.
        acknowledged: number that the caller expects next.
        caller_finished: the caller has no more data.
        target_finished: the target has no more data.
    """

    stage: Stage
    entry: model.Endpoint
    used_at: datetime.timedelta
    running_since: datetime.timedelta | None = None
    acknowledged: int = 0
    established: bool = False
    caller_finished: bool = False
    target_finished: bool = False


class FlowTable:
    """Flows by key, bounded in number and idle time.

    Attributes:
        open_count: flows that are opening or open.
        running_count: flows on which a request waits for its answer.
    """

    def __init__(self, idle_limit: datetime.timedelta) -> None:
        self._idle_limit = idle_limit
        # Ordered by the instant of use, the oldest first.
        self._flows: collections.OrderedDict[packets.FlowKey, HeldFlow] = (
            collections.OrderedDict()
        )
        self._ended: collections.OrderedDict[packets.FlowKey, None] = (
            collections.OrderedDict()
        )
        self.open_count = 0
        self.running_count = 0

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, key: packets.FlowKey) -> HeldFlow | None:
        """Return a flow, none if it is not known."""
        return self._flows.get(key)

    def has_ended(self, key: packets.FlowKey) -> bool:
        """Return whether a flow was held by an earlier start of the target."""
        return key in self._ended

    def add(
        self,
        key: packets.FlowKey,
        stage: Stage,
        entry: model.Endpoint,
        now: datetime.timedelta,
    ) -> HeldFlow:
        """Add a flow; the longest unused one makes room at the bound."""
        if len(self._flows) >= MAX_FLOWS:
            self.remove(next(iter(self._flows)))
        flow = HeldFlow(stage, entry, now)
        self._flows[key] = flow
        self._ended.pop(key, None)
        self.open_count += _is_counted(stage)
        return flow

    def touch(
        self, key: packets.FlowKey, flow: HeldFlow, now: datetime.timedelta
    ) -> None:
        """Note that a packet of a flow has passed."""
        flow.used_at = now
        self._flows.move_to_end(key)

    def set_stage(self, flow: HeldFlow, stage: Stage) -> None:
        """Move a flow to another stage."""
        self.open_count += _is_counted(stage) - _is_counted(flow.stage)
        flow.stage = stage
        if stage is Stage.CLOSED:
            self.set_running(flow, None)

    def set_running(
        self, flow: HeldFlow, since: datetime.timedelta | None
    ) -> None:
        """Note that a request began, or that its answer did."""
        was_running = flow.running_since is not None
        self.running_count += (since is not None) - was_running
        flow.running_since = since

    def remove(self, key: packets.FlowKey) -> None:
        """Forget a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self.open_count -= _is_counted(flow.stage)
            self.running_count -= flow.running_since is not None

    def end_all(self) -> dict[packets.FlowKey, HeldFlow]:
        """Note that the target has lost all flows.

        Returns:
            Those that callers had established.
        """
        ended = {
            key: flow for key, flow in self._flows.items() if flow.established
        }
        self._ended.update(dict.fromkeys(ended))
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
        self._flows.clear()
        self.open_count = 0
        self.running_count = 0
        return ended

    def expire(self, now: datetime.timedelta) -> None:
        """Forget flows that have been unused for the idle limit."""
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if now - flow.used_at < self._idle_limit:
                return
            self.remove(key)


def _is_counted(stage: Stage) -> bool:
    return stage in (Stage.OPENING, Stage.OPEN)
