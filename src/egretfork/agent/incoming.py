"""Receiving side of flow transfers."""

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

# If the target has not opened the sessions of a flow within this time, the
# old owner keeps the flow and selects another successor.
OPEN_TIMEOUT = datetime.timedelta(seconds=2)
MAX_INCOMING_FLOWS = 1024

Signals = list[events.Signal]


@dataclasses.dataclass(frozen=True, slots=True)
class BatchKey:
    """Sender and ID, which identify a batch."""

    sender: model.Endpoint
    transfer_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedSession:
    """A moved session and the target's first response to it."""

    session: flows.Session
    update: events.ObservationUpdate


@dataclasses.dataclass(slots=True)
class IncomingFlow:
    """A flow whose sessions are being opened on the own target.

    Attributes:
        record: record of the flow as sent by its old owner.
        flow: the flow built from the record; it is merged if this agent
            already owns the flow.
        batch: batch that contains the record.
        opening: sessions without a response, by observation ID.
        opened: sessions with a response of the target.
    """

    record: wire.FlowRecord
    flow: flows.Flow
    batch: BatchKey
    opening: dict[int, flows.Session]
    opened: list[OpenedSession]


@dataclasses.dataclass(slots=True)
class IncomingBatch:
    """A batch that is not acknowledged yet."""

    undecided: set[wire.FlowKey]
    accepted: list[wire.FlowKey]
    deadline: datetime.timedelta


class IncomingTransfers:
    """Opens the sessions of incoming flows, then takes ownership."""

    def __init__(
        self,
        table: flows.FlowTable,
        server: serving.CallerServer,
        session_server: sessions.SessionServer,
        admission_controller: admission.AdmissionController,
        outgoing: collections.abc.Set[wire.FlowKey],
    ) -> None:
        self._outgoing = outgoing
        self._table = table
        self._server = server
        self._sessions = session_server
        self._admission = admission_controller
        self._batches: dict[BatchKey, IncomingBatch] = {}
        self._incoming: dict[wire.FlowKey, IncomingFlow] = {}
        self._by_observation: dict[int, IncomingFlow] = {}
        self._accepted: list[flows.Flow] = []

    @property
    def flow_count(self) -> int:
        """Return the number of incoming flows that are not owned yet."""
        return len(self._incoming)

    def take_accepted(self) -> list[flows.Flow]:
        """Return and clear the flows accepted since the last call."""
        accepted, self._accepted = self._accepted, []
        return accepted

    def is_opening(self, observation_id: int) -> bool:
        """Return whether an observation is being opened."""
        return observation_id in self._by_observation

    def receive(
        self, message: wire.FlowTransfer, now: datetime.timedelta
    ) -> Signals:
        """Handle a batch; a duplicate of an open batch is ignored."""
        key = BatchKey(message.sender, message.transfer_id)
        if key in self._batches:
            return []
        batch = IncomingBatch(set(), [], now + OPEN_TIMEOUT)
        self._batches[key] = batch
        result: Signals = []
        for record in message.records:
            result += self._receive_record(record, key, batch, now)
        return [*result, *self._acknowledge_if_decided(key)]

    def _receive_record(
        self,
        record: wire.FlowRecord,
        key: BatchKey,
        batch: IncomingBatch,
        now: datetime.timedelta,
    ) -> Signals:
        existing = self._table.get(record.flow)
        if not record.admitted_agent:
            return self._store_late_answer(record, key, batch, now)
        if not self._can_accept(record, existing):
            return []
        flow = flowrecords.build_flow(record, key.sender, now)
        incoming = IncomingFlow(record, flow, key, {}, [])
        batch.undecided.add(flow.key)
        self._incoming[flow.key] = incoming
        result: Signals = []
        for item in record.sessions[: flows.MAX_SESSIONS_PER_FLOW]:
            if existing is None or existing.find_session(item.token) is None:
                result += self._open_session(incoming, item)
        if not incoming.opening:
            result += self._accept(incoming, now)
        return result

    def _can_accept(
        self, record: wire.FlowRecord, existing: flows.Flow | None
    ) -> bool:
        if record.flow in self._incoming:
            return False
        if existing is not None:
            # Two agents that move a flow to each other at the same time
            # must not both release it.
            return record.flow not in self._outgoing
        if len(self._incoming) >= MAX_INCOMING_FLOWS:
            return False
        return self._admission.can_accept_transfer()

    def _store_late_answer(
        self,
        record: wire.FlowRecord,
        key: BatchKey,
        batch: IncomingBatch,
        now: datetime.timedelta,
    ) -> Signals:
        flow = self._table.get(record.flow)
        if flow is not None:
            self._merge_exchanges(flow, record, key, now)
        batch.accepted.append(record.flow)
        return []

    def _merge_exchanges(
        self,
        flow: flows.Flow,
        record: wire.FlowRecord,
        key: BatchKey,
        now: datetime.timedelta,
    ) -> None:
        self._table.remove(flow.key)
        flowrecords.merge_exchanges(flow, record, key.sender, now)
        flow.revision += 1
        self._table.add(flow)

    def _open_session(
        self, incoming: IncomingFlow, record: wire.SessionRecord
    ) -> Signals:
        observation_id = self._server.new_id()
        incoming.opening[observation_id] = flows.Session(
            record.token,
            record.request,
            record.observe_sequence,
            observation_id,
        )
        self._by_observation[observation_id] = incoming
        return [events.StartObservation(observation_id, record.request)]

    def handle_first_response(
        self, update: events.ObservationUpdate, now: datetime.timedelta
    ) -> Signals:
        """Handle the target's first response to a moved session."""
        incoming = self._by_observation.pop(update.observation_id)
        session = incoming.opening.pop(update.observation_id)
        incoming.opened.append(OpenedSession(session, update))
        if update.ended:
            result = self._reject(incoming)
        elif incoming.opening:
            return []
        else:
            result = self._accept(incoming, now)
        return [*result, *self._acknowledge_if_decided(incoming.batch)]

    def _reject(self, incoming: IncomingFlow) -> Signals:
        """Reject a flow, which stays with its old owner."""
        del self._incoming[incoming.flow.key]
        self._batches[incoming.batch].undecided.discard(incoming.flow.key)
        for observation_id in incoming.opening:
            del self._by_observation[observation_id]
        opened = (
            item.session.observation_id
            for item in incoming.opened
            if not item.update.ended
        )
        return [
            events.StopObservation(observation_id)
            for observation_id in (*incoming.opening, *opened)
        ]

    def _accept(
        self, incoming: IncomingFlow, now: datetime.timedelta
    ) -> Signals:
        """Take ownership of a flow whose sessions are open."""
        key = incoming.flow.key
        del self._incoming[key]
        batch = self._batches[incoming.batch]
        batch.undecided.discard(key)
        batch.accepted.append(key)
        flow = self._table.get(key)
        if flow is None:
            flow = incoming.flow
            self._table.add(flow)
        else:
            flow.stamp = min(flow.stamp, incoming.flow.stamp)
            flowrecords.merge_counters(flow, incoming.record)
            self._merge_exchanges(flow, incoming.record, incoming.batch, now)
        for item in incoming.opened:
            self._sessions.add_transferred(flow, item.session)
        self._accepted.append(flow)
        # The first response goes to the caller as a notification, since the
        # state may have changed while the session moved.
        return [item.update for item in incoming.opened]

    def _acknowledge_if_decided(self, key: BatchKey) -> list[events.Signal]:
        """Acknowledge a batch once no flow of it is undecided."""
        batch = self._batches.get(key)
        if batch is None or batch.undecided:
            return []
        del self._batches[key]
        accepted = tuple(batch.accepted)
        ack = wire.FlowTransferAck(key.transfer_id, accepted)
        return [actions.SendMessage(key.sender, ack)]

    def advance(self, now: datetime.timedelta) -> Signals:
        """Reject flows whose sessions were not opened in time."""
        result: Signals = []
        for key, batch in tuple(self._batches.items()):
            if batch.deadline > now:
                continue
            for flow_key in tuple(batch.undecided):
                result += self._reject(self._incoming[flow_key])
            result += self._acknowledge_if_decided(key)
        return result
