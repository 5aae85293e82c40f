"""Flows that other agents move to this one."""

import collections.abc
import dataclasses
import datetime

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import events
from egretfork.agent import flowrecords
from egretfork.agent import flows
from egretfork.agent import serving
from egretfork.agent import sessions
from egretfork import model
from egretfork import wire

# Sessions must be open on the target within this time; otherwise the old
# owner keeps the flow and chooses another successor.
OPEN_TIMEOUT = datetime.timedelta(seconds=2)
MAX_INCOMING = 1024

Result = list[events.Signal]


@dataclasses.dataclass(frozen=True, slots=True)
class TransferKey:
    """A batch of one sender."""

    sender: model.Endpoint
    transfer_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedSession:
    """A moved session and the target's first answer to it."""

    session: flows.Session
    update: events.ObservationUpdate


@dataclasses.dataclass(slots=True)
class Arrival:
    """A flow whose sessions are being opened on the own target.

    Attributes:
        record: the flow as its old owner sent it.
        flow: the flow, or the flow to merge into the one owned here.
        transfer: batch that brought it.
        opening: sessions by number of observation, not yet answered.
        opened: sessions that the target has answered.
    """

    record: wire.FlowRecord
    flow: flows.Flow
    transfer: TransferKey
    opening: dict[int, flows.Session]
    opened: list[OpenedSession]


@dataclasses.dataclass(slots=True)
class Transfer:
    """A batch whose acknowledgement is still to be sent."""

    waiting: set[wire.FlowKey]
    accepted: list[wire.FlowKey]
    deadline: datetime.timedelta


class IncomingTransfers:
    """Opens the sessions of moved flows, then owns the flows."""

    def __init__(
        self,
        table: flows.FlowTable,
        server: serving.CallerServer,
        session_server: sessions.SessionServer,
        peers: admission.Admission,
        moving: collections.abc.Set[wire.FlowKey],
    ) -> None:
        self._moving = moving
        self._table = table
        self._server = server
        self._sessions = session_server
        self._admission = peers
        self._transfers: dict[TransferKey, Transfer] = {}
        self._arrivals: dict[wire.FlowKey, Arrival] = {}
        self._by_observation: dict[int, Arrival] = {}
        self._owned: list[flows.Flow] = []

    @property
    def flow_count(self) -> int:
        """Return the number of flows that are being taken in."""
        return len(self._arrivals)

    def take_owned(self) -> list[flows.Flow]:
        """Return the flows that are owned here since the last call."""
        owned, self._owned = self._owned, []
        return owned

    def is_opening(self, observation_id: int) -> bool:
        """Tell whether an observation is being opened."""
        return observation_id in self._by_observation

    def receive(
        self, message: wire.FlowTransfer, now: datetime.timedelta
    ) -> Result:
        """Take one batch; repeated batches are recognised."""
        key = TransferKey(message.sender, message.transfer_id)
        if key in self._transfers:
            return []
        transfer = Transfer(set(), [], now + OPEN_TIMEOUT)
        self._transfers[key] = transfer
        result: Result = []
        for record in message.records:
            result += self._take(record, key, transfer, now)
        return [*result, *self._finish(key)]

    def _take(
        self,
        record: wire.FlowRecord,
        key: TransferKey,
        transfer: Transfer,
        now: datetime.timedelta,
    ) -> Result:
        owned = self._table.get(record.flow)
        if not record.admitted_agent:
            return self._take_late_answer(record, key, transfer, now)
        if not self._is_welcome(record, owned):
            return []
        flow = flowrecords.read_record(record, key.sender, now)
        arrival = Arrival(record, flow, key, {}, [])
        transfer.waiting.add(flow.key)
        self._arrivals[flow.key] = arrival
        result: Result = []
        for item in record.sessions[: flows.MAX_SESSIONS_PER_FLOW]:
            if owned is None or owned.find_session(item.token) is None:
                result += self._open(arrival, item)
        if not arrival.opening:
            result += self._own(arrival, now)
        return result

    def _is_welcome(
        self, record: wire.FlowRecord, owned: flows.Flow | None
    ) -> bool:
        if record.flow in self._arrivals:
            return False
        if owned is not None:
            # Two agents that hand a flow to each other at the same time
            # must not both give it up.
            return record.flow not in self._moving
        if len(self._arrivals) >= MAX_INCOMING:
            return False
        return self._admission.can_receive()

    def _take_late_answer(
        self,
        record: wire.FlowRecord,
        key: TransferKey,
        transfer: Transfer,
        now: datetime.timedelta,
    ) -> Result:
        flow = self._table.get(record.flow)
        if flow is not None:
            self._merge_exchanges(flow, record, key, now)
        transfer.accepted.append(record.flow)
        return []

    def _merge_exchanges(
        self,
        flow: flows.Flow,
        record: wire.FlowRecord,
        key: TransferKey,
        now: datetime.timedelta,
    ) -> None:
        self._table.remove(flow.key)
        flowrecords.merge_exchanges(flow, record, key.sender, now)
        flow.revision += 1
        self._table.add(flow)

    def _open(self, arrival: Arrival, record: wire.SessionRecord) -> Result:
        observation_id = self._server.new_id()
        arrival.opening[observation_id] = flows.Session(
            record.token,
            record.request,
            record.observe_sequence,
            observation_id,
        )
        self._by_observation[observation_id] = arrival
        return [events.StartObservation(observation_id, record.request)]

    def note_opened(
        self, update: events.ObservationUpdate, now: datetime.timedelta
    ) -> Result:
        """Take the target's first answer to a moved session."""
        arrival = self._by_observation.pop(update.observation_id)
        session = arrival.opening.pop(update.observation_id)
        arrival.opened.append(OpenedSession(session, update))
        if update.ended:
            result = self._reject(arrival)
        elif arrival.opening:
            return []
        else:
            result = self._own(arrival, now)
        return [*result, *self._finish(arrival.transfer)]

    def _reject(self, arrival: Arrival) -> Result:
        """Leave a flow with its old owner."""
        del self._arrivals[arrival.flow.key]
        self._transfers[arrival.transfer].waiting.discard(arrival.flow.key)
        for observation_id in arrival.opening:
            del self._by_observation[observation_id]
        opened = (
            item.session.observation_id
            for item in arrival.opened
            if not item.update.ended
        )
        return [
            events.StopObservation(observation_id)
            for observation_id in (*arrival.opening, *opened)
        ]

    def _own(self, arrival: Arrival, now: datetime.timedelta) -> Result:
        """Own a flow whose sessions are open."""
        key = arrival.flow.key
        del self._arrivals[key]
        transfer = self._transfers[arrival.transfer]
        transfer.waiting.discard(key)
        transfer.accepted.append(key)
        flow = self._table.get(key)
        if flow is None:
            flow = arrival.flow
            self._table.add(flow)
        else:
            flow.stamp = min(flow.stamp, arrival.flow.stamp)
            flowrecords.merge_counters(flow, arrival.record)
            self._merge_exchanges(flow, arrival.record, arrival.transfer, now)
        for item in arrival.opened:
            self._sessions.add_transferred(flow, item.session)
        self._owned.append(flow)
        # The target's first answer goes to the caller: the state may have
        # changed while the session moved.
        return [item.update for item in arrival.opened]

    def _finish(self, key: TransferKey) -> list[events.Signal]:
        """Acknowledge a batch once all its flows are decided."""
        transfer = self._transfers.get(key)
        if transfer is None or transfer.waiting:
            return []
        del self._transfers[key]
        accepted = tuple(transfer.accepted)
        ack = wire.FlowTransferAck(key.transfer_id, accepted)
        return [actions.SendMessage(key.sender, ack)]

    def advance(self, now: datetime.timedelta) -> Result:
        """Reject the flows whose sessions did not open in time."""
        result: Result = []
        for key, transfer in tuple(self._transfers.items()):
            if transfer.deadline > now:
                continue
            for flow_key in tuple(transfer.waiting):
                result += self._reject(self._arrivals[flow_key])
            result += self._finish(key)
        return result
