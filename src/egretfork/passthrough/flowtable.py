"""Flow table of an agent's target, built from the observed packets."""

import collections
import datetime
import enum

import msgspec

from egretfork import model
from egretfork.passthrough import packets
from egretfork.passthrough import slots

MAX_FLOWS = 65_536
MAX_LOST_FLOWS = 4_096
SEQUENCE_MASK = 0xFFFF_FFFF
SEQUENCE_HALF = 0x8000_0000


class FlowStage(enum.IntEnum):
    """Lifecycle stage of a flow.

    A flow is ``TENTATIVE`` while its packets are sent to the target without
    confirmation that the target holds it.
    """

    TENTATIVE = 0
    OPENING = 1
    OPEN = 2
    CLOSED = 3


class HeldFlow(msgspec.Struct):
    """A flow of the target.

    Attributes:
        entry: entry that delivered the newest packet.
        used_at: time of the newest packet.
        acknowledged: sequence number that the caller expects next.
        newest_sequence: highest sequence number of a caller's packet with
            payload, ``None`` before the first one.
        established: the target has sent packets after accepting the flow,
            so the caller uses it. If the caller's first packet was
            duplicated, the caller may have chosen another target.
        caller_finished: the caller has no more data to send.
        target_finished: the target has no more data to send.
    """

    stage: FlowStage
    entry: model.Endpoint
    used_at: datetime.timedelta
    acknowledged: int = 0
    newest_sequence: int | None = None
    established: bool = False
    caller_finished: bool = False
    target_finished: bool = False

    def record_payload(self, sequence: int) -> bool:
        """Record a caller's payload; return whether it is not a copy."""
        newest = self.newest_sequence
        if newest is not None:
            distance = (sequence - newest) & SEQUENCE_MASK
            if not 0 < distance < SEQUENCE_HALF:
                return False
        self.newest_sequence = sequence
        return True


class FlowTable:
    """Flows by key, limited in number and idle time.

    Attributes:
        open_count: flows that are opening or open.
    """

    def __init__(
        self, idle_limit: datetime.timedelta, schedule: slots.SlotSchedule
    ) -> None:
        self._idle_limit = idle_limit
        self._schedule = schedule
        # Ordered by time of last use, least recently used first.
        self._flows: collections.OrderedDict[packets.FlowKey, HeldFlow] = (
            collections.OrderedDict()
        )
        self._lost_with_target: collections.OrderedDict[
            packets.FlowKey, None
        ] = collections.OrderedDict()
        self.open_count = 0

    def __len__(self) -> int:
        return len(self._flows)

    def find(self, key: packets.FlowKey) -> HeldFlow | None:
        """Return a flow, ``None`` if it is not known."""
        return self._flows.get(key)

    def was_lost_with_target(self, key: packets.FlowKey) -> bool:
        """Return whether a flow was held by an earlier target process."""
        return key in self._lost_with_target

    def add(
        self,
        key: packets.FlowKey,
        stage: FlowStage,
        entry: model.Endpoint,
        now: datetime.timedelta,
    ) -> HeldFlow:
        """Add a flow, evicting the least recently used one if full."""
        if len(self._flows) >= MAX_FLOWS:
            self.remove(next(iter(self._flows)))
        flow = HeldFlow(stage, entry, now)
        self._flows[key] = flow
        self._lost_with_target.pop(key, None)
        self.open_count += _is_open(stage)
        return flow

    def touch(
        self, key: packets.FlowKey, flow: HeldFlow, now: datetime.timedelta
    ) -> None:
        """Mark a flow as just used."""
        flow.used_at = now
        self._flows.move_to_end(key)

    def set_stage(
        self, key: packets.FlowKey, flow: HeldFlow, stage: FlowStage
    ) -> None:
        """Move a flow to another stage."""
        self.open_count += _is_open(stage) - _is_open(flow.stage)
        flow.stage = stage
        if stage is FlowStage.CLOSED:
            self._schedule.release(key)

    def remove(self, key: packets.FlowKey) -> None:
        """Remove a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self.open_count -= _is_open(flow.stage)
            self._schedule.release(key)

    def drop_all(self) -> dict[packets.FlowKey, HeldFlow]:
        """Remove all flows after the target has ended.

        Returns:
            The flows that were established.
        """
        established_flows = {
            key: flow for key, flow in self._flows.items() if flow.established
        }
        self._lost_with_target.update(dict.fromkeys(established_flows))
        while len(self._lost_with_target) > MAX_LOST_FLOWS:
            self._lost_with_target.popitem(last=False)
        self._flows.clear()
        self._schedule.clear()
        self.open_count = 0
        return established_flows

    def expire(self, now: datetime.timedelta) -> None:
        """Remove flows that have reached the idle limit."""
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if now - flow.used_at < self._idle_limit:
                return
            self.remove(key)


def _is_open(stage: FlowStage) -> bool:
    return stage in (FlowStage.OPENING, FlowStage.OPEN)
