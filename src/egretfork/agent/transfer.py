"""Transfer of flows to other agents, and resolution of double owners."""

import dataclasses
import datetime
import itertools

import msgspec

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import events
from egretfork.agent import flowrecords
from egretfork.agent import flows
from egretfork.agent import forwarding
from egretfork.agent import held_requests
from egretfork.agent import incoming
from egretfork.agent import serving
from egretfork.agent import sessions
from egretfork.agent import status as status_module
from egretfork import model
from egretfork import reasons
from egretfork import wire

# A batch fits into one packet of a usual network, unless a single flow is
# larger.
BATCH_BYTES = 1200
MAX_OPEN_BATCHES = 64
RESEND_INTERVAL = datetime.timedelta(milliseconds=250)
# A batch that is not acknowledged in this time goes to another successor.
BATCH_TIMEOUT = datetime.timedelta(seconds=3)
BATCH_START_INTERVAL = datetime.timedelta(milliseconds=100)
MAX_FLOWS_PER_START = 512
SUCCESSOR_RETRY_DELAY = datetime.timedelta(seconds=2)


@dataclasses.dataclass(slots=True)
class Batch:
    """Flows that are being moved to one successor.

    Attributes:
        transfer_id: ID of the batch.
        successor: agent that will own the flows.
        records: record of each flow as sent.
        revisions: revision of each flow as sent.
        started: time of the first transmission.
        due: time of the next transmission.
    """

    transfer_id: int
    successor: model.Endpoint
    records: tuple[wire.FlowRecord, ...]
    revisions: dict[wire.FlowKey, int]
    started: datetime.timedelta
    due: datetime.timedelta


class TransferService:
    """Moves flows to other agents and receives flows from them."""

    def __init__(
        self,
        status: status_module.AgentStatus,
        table: flows.FlowTable,
        server: serving.CallerServer,
        session_server: sessions.SessionServer,
        admission_controller: admission.AdmissionController,
        lists: forwarding.BucketLists,
        owner_hints: flows.OwnerHintCache,
    ) -> None:
        self._status = status
        self._table = table
        self._server = server
        self._sessions = session_server
        self._admission = admission_controller
        self._lists = lists
        self._owner_hints = owner_hints
        self._ids = itertools.count(1)
        self._batches: dict[int, Batch] = {}
        self._moving: set[wire.FlowKey] = set()
        self._queue: dict[wire.FlowKey, model.Endpoint | None] = {}
        self._excluded_until: dict[model.Endpoint, datetime.timedelta] = {}
        self._next_start = datetime.timedelta()
        self.held = held_requests.HeldRequests()
        self._incoming = incoming.IncomingTransfers(
            table,
            server,
            session_server,
            admission_controller,
            self._moving,
        )

    @property
    def open_count(self) -> int:
        """Return the number of unacknowledged batches."""
        return len(self._batches)

    @property
    def incoming_count(self) -> int:
        """Return the number of incoming flows that are not owned yet."""
        return self._incoming.flow_count

    def is_moving(self, key: wire.FlowKey) -> bool:
        """Return whether a flow has been sent to a successor."""
        return key in self._moving

    def send_owner_hints(
        self, flow: flows.Flow, agents: tuple[model.Endpoint, ...]
    ) -> list[events.Signal]:
        """Send owner hints for a flow of this agent to other agents."""
        hint = self._build_owner_hint(flow)
        own = self._status.address
        return [
            actions.SendMessage(agent, hint)
            for agent in agents
            if agent != own
        ]

    def _build_owner_hint(self, flow: flows.Flow) -> wire.OwnerHint:
        stamp = flow.stamp
        own = self._status.address
        return wire.OwnerHint(flow.key, own, stamp.incarnation, stamp.agent)

    def receive_owner_hint(
        self,
        peer: model.Endpoint,
        hint: wire.OwnerHint,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        """Handle the owner hint of another agent.

        If both agents own the flow, the one with the smaller admission
        stamp keeps it. An agent that is leaving releases it in any case.
        """
        if hint.owner == self._status.address:
            return []
        flow = self._table.get(hint.flow)
        if flow is None:
            self._owner_hints.put(hint.flow, hint.owner, now)
            return []
        if not hint.admitted_agent:
            return []
        own = self._status.address
        other = flows.AdmissionStamp(
            hint.admitted_incarnation, hint.admitted_agent
        )
        other_keeps_flow = (other, hint.owner) < (flow.stamp, own)
        if other_keeps_flow or self._status.is_leaving:
            self._queue[flow.key] = hint.owner
            return self._start_batches(now)
        return [actions.SendMessage(hint.owner, self._build_owner_hint(flow))]

    def update_queue(self, now: datetime.timedelta) -> list[events.Signal]:
        """Queue the flows that this agent must not own and start transfers.

        Called after a change of the lists or of the own state.
        """
        for flow in self._table:
            self.update_queued_flow(flow)
        return self._start_batches(now)

    def update_queued_flow(self, flow: flows.Flow) -> None:
        """Queue a flow for transfer, or remove it from the queue."""
        leaving = self._status.is_leaving
        if leaving or self._lists.excludes_self(flow.bucket):
            self._queue.setdefault(flow.key, None)
        elif flow.key in self._queue and self._queue[flow.key] is None:
            # The change that made the transfer necessary was reverted.
            del self._queue[flow.key]

    def _start_batches(self, now: datetime.timedelta) -> list[events.Signal]:
        result: list[events.Signal] = []
        groups: dict[model.Endpoint, list[flows.Flow]] = {}
        excluded = self._find_excluded(now)
        for key in tuple(itertools.islice(self._queue, MAX_FLOWS_PER_START)):
            if len(self._batches) + len(groups) >= MAX_OPEN_BATCHES:
                break
            preferred = self._queue.pop(key)
            flow = self._table.get(key)
            if flow is None or key in self._moving:
                # A batch in transit queues the flow again if it fails.
                continue
            successor = self._find_successor(flow, preferred, excluded)
            if successor is None:
                self._queue[key] = preferred
                continue
            self._admission.record_placement(successor, now)
            group = groups.setdefault(successor, [])
            size = sum(member.size_bytes for member in group)
            if group and size + flow.size_bytes > BATCH_BYTES:
                result += self._send_batch(successor, group, now)
                groups[successor] = group = []
            group.append(flow)
        for successor, members in groups.items():
            result += self._send_batch(successor, members, now)
        return result

    def _find_excluded(
        self, now: datetime.timedelta
    ) -> frozenset[model.Endpoint]:
        self._excluded_until = {
            agent: until
            for agent, until in self._excluded_until.items()
            if until > now
        }
        return frozenset(self._excluded_until)

    def _find_successor(
        self,
        flow: flows.Flow,
        preferred: model.Endpoint | None,
        excluded: frozenset[model.Endpoint],
    ) -> model.Endpoint | None:
        if preferred is not None and not self._admission.is_unavailable(
            preferred
        ):
            if preferred not in excluded:
                return preferred
        agents = self._lists.get(flow.bucket)
        return self._admission.choose_successor(agents, excluded)

    def _send_batch(
        self,
        successor: model.Endpoint,
        members: list[flows.Flow],
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        records = tuple(
            flowrecords.build_record(flow, now) for flow in members
        )
        revisions = {flow.key: flow.revision for flow in members}
        batch = self._add_batch(successor, records, revisions, now)
        self._moving.update(revisions)
        return [self._transmit(batch)]

    def _add_batch(
        self,
        successor: model.Endpoint,
        records: tuple[wire.FlowRecord, ...],
        revisions: dict[wire.FlowKey, int],
        now: datetime.timedelta,
    ) -> Batch:
        due = now + RESEND_INTERVAL
        batch = Batch(next(self._ids), successor, records, revisions, now, due)
        self._batches[batch.transfer_id] = batch
        return batch

    def _transmit(self, batch: Batch) -> actions.SendMessage:
        message = wire.FlowTransfer(
            self._status.service_name,
            batch.transfer_id,
            self._status.address,
            batch.records,
        )
        return actions.SendMessage(batch.successor, message)

    def acknowledge(
        self, ack: wire.FlowTransferAck, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Release the flows that the successor has accepted."""
        batch = self._batches.pop(ack.transfer_id, None)
        if batch is None:
            return []
        self._moving.difference_update(batch.revisions)
        accepted = frozenset(ack.accepted)
        result: list[events.Signal] = []
        for key, revision in batch.revisions.items():
            flow = self._table.get(key)
            if flow is None:
                continue
            if key not in accepted:
                self._queue.setdefault(key, None)
                self._excluded_until[batch.successor] = (
                    now + SUCCESSOR_RETRY_DELAY
                )
            elif flow.revision != revision:
                # The flow has changed since it was sent; send the new state.
                self._queue[key] = batch.successor
            else:
                result += self._release(flow, batch.successor, now)
        return [*result, *self._start_batches(now)]

    def _release(
        self,
        flow: flows.Flow,
        successor: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        self._table.remove(flow.key)
        self._owner_hints.put(flow.key, successor, now)
        forwarded = (
            actions.SendMessage(
                successor, msgspec.structs.replace(item, hops=item.hops + 1)
            )
            for item in self.held.take(flow.key)
        )
        return [*self._sessions.close(flow), *forwarded]

    def receive(
        self, message: wire.FlowTransfer, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Handle a batch of flows that another agent moves here."""
        if message.service != self._status.service_name:
            return [actions.CountReason(reasons.Drop.WRONG_SERVICE)]
        return self._incoming.receive(message, now)

    def is_opening(self, observation_id: int) -> bool:
        """Return whether an observation belongs to an incoming flow."""
        return self._incoming.is_opening(observation_id)

    def handle_first_response(
        self, update: events.ObservationUpdate, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Handle the target's first response to a moved session."""
        result = self._incoming.handle_first_response(update, now)
        return [*result, *self._finish_incoming(now)]

    def _finish_incoming(self, now: datetime.timedelta) -> list[events.Signal]:
        result: list[events.Signal] = []
        for flow in self._incoming.take_accepted():
            self._owner_hints.drop(flow.key)
            self.update_queued_flow(flow)
            agents = self._lists.get(flow.bucket)
            result += self.send_owner_hints(flow, agents)
        return result

    def forward_late_answers(
        self, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Send answers of requests that ended after their flow moved."""
        result: list[events.Signal] = []
        for late in self._server.take_late_answers():
            hint = self._owner_hints.get(late.key.flow, now)
            if hint is None:
                continue
            record = flowrecords.build_late_answer_record(
                late.key.flow, late.key.message_id, late.answer
            )
            batch = self._add_batch(hint.owner, (record,), {}, now)
            result.append(self._transmit(batch))
        return result

    def advance(self, now: datetime.timedelta) -> list[events.Signal]:
        """Retransmit unacknowledged batches and start queued transfers."""
        result: list[events.Signal] = []
        for batch in tuple(self._batches.values()):
            if batch.due <= now:
                result += self._retransmit_or_requeue(batch, now)
        result += self._incoming.advance(now)
        result += self._finish_incoming(now)
        if self._queue and now >= self._next_start:
            self._next_start = now + BATCH_START_INTERVAL
            result += self._start_batches(now)
        return result

    def _retransmit_or_requeue(
        self, batch: Batch, now: datetime.timedelta
    ) -> list[events.Signal]:
        unavailable = self._admission.is_unavailable(batch.successor)
        if now - batch.started < BATCH_TIMEOUT and not unavailable:
            batch.due = now + RESEND_INTERVAL
            return [self._transmit(batch)]
        del self._batches[batch.transfer_id]
        self._moving.difference_update(batch.revisions)
        self._excluded_until[batch.successor] = now + SUCCESSOR_RETRY_DELAY
        for key in batch.revisions:
            if self._table.get(key) is not None:
                self._queue.setdefault(key, None)
        return [actions.CountReason(reasons.Retry.PEER_TIMEOUT)]
