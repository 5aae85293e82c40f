"""Routing of callers' datagrams to the agent that owns their flow."""

import datetime
import random

import aiocoap
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import forwarding
from egretfork.agent import serving
from egretfork.agent import sessions
from egretfork.agent import status as status_module
from egretfork.agent import transfer
from egretfork.agent import validation
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire

MESSAGE_ID_END = 4
OWNER_HINT_INTERVAL = datetime.timedelta(milliseconds=50)


class FlowRouter:
    """Serves datagrams of owned flows and forwards all others."""

    def __init__(
        self,
        status: status_module.AgentStatus,
        table: flows.FlowTable,
        server: serving.CallerServer,
        session_server: sessions.SessionServer,
        admission_controller: admission.AdmissionController,
        forwarder: forwarding.Forwarder,
        transfers: transfer.TransferService,
        generator: random.Random,
    ) -> None:
        self._status = status
        self._table = table
        self._server = server
        self._sessions = session_server
        self._admission = admission_controller
        self._forwarder = forwarder
        self._transfers = transfers
        self._generator = generator
        self._next_owner_hint = datetime.timedelta()

    def receive(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Handle a caller's datagram from an entry or another agent."""
        if forwarded.service != self._status.service_name:
            return [actions.CountReason(reasons.Drop.WRONG_SERVICE)]
        if self._status.service is None:
            return [actions.CountReason(reasons.Drop.NO_CONFIGURATION)]
        self._status.entries.record(forwarded.entry)
        if not forwarded.hops:
            self._forwarder.record_entry_list(forwarded)
        flow = self._table.get(forwarded.flow)
        if flow is not None:
            return self._serve(flow, forwarded, now)
        key = read_message_key(forwarded)
        if key is not None and self._server.is_in_progress(key):
            return self._serve_after_move(key, forwarded)
        routed = self._forwarder.route(forwarded, now)
        if isinstance(routed, list):
            return routed
        return self._admit(routed, now)

    def _admit(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal]:
        identity = self._status.identity
        flow = flows.Flow(
            key=forwarded.flow,
            bucket=forwarded.bucket,
            stamp=flows.AdmissionStamp(identity.incarnation, identity.name),
            next_message_id=self._generator.randrange(flows.MESSAGE_ID_COUNT),
            last_used=now,
        )
        self._table.add(flow)
        self._forwarder.owner_hints.drop(flow.key)
        self._admission.count_admission()
        self._transfers.update_queued_flow(flow)
        owner_hints = self._transfers.send_owner_hints(flow, forwarded.agents)
        return [*owner_hints, *self._serve(flow, forwarded, now)]

    def _serve(
        self,
        flow: flows.Flow,
        forwarded: wire.Forwarded,
        now: datetime.timedelta,
        may_hold: bool = True,
    ) -> list[events.Signal]:
        peer = str(flow.key.caller)
        message = coap.decode(forwarded.payload, peer)
        if isinstance(message, reasons.Failure):
            return [actions.CountReason(reasons.Drop.MALFORMED)]
        self._table.touch(flow, now)
        flow.record_entry(forwarded.entry)
        kind = coap.classify(message)
        if kind is coap.MessageKind.REQUEST:
            return self._serve_request(flow, forwarded, message, now, may_hold)
        if kind is coap.MessageKind.EMPTY_ACK:
            return self._serve_acknowledgement(flow, forwarded, message, now)
        if kind is coap.MessageKind.RESET:
            return self._serve_reset(flow, forwarded, message)
        if kind is coap.MessageKind.PING:
            return forwarding.answer_ping(forwarded, message)
        return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]

    def _serve_request(
        self,
        flow: flows.Flow,
        forwarded: wire.Forwarded,
        message: aiocoap.Message,
        now: datetime.timedelta,
        may_hold: bool,
    ) -> list[events.Signal]:
        exchange = flow.find_exchange(message.mid)
        if exchange is not None and is_current(exchange, now):
            if exchange.previous_owner is not None:
                return self._relay(forwarded, exchange.previous_owner)
            key = serving.MessageKey(flow.key, message.mid)
            return self._server.answer_duplicate(
                key, forwarded.entry, exchange.answer
            )
        validated = validation.validate_request(
            forwarded, message, self._status.service_name
        )
        if isinstance(validated, list):
            return validated
        if self._status.is_leaving and may_hold:
            # This agent would refuse the request; the successor can serve it.
            if self._transfers.is_moving(flow.key):
                if self._transfers.held.hold(forwarded, now):
                    return []
        return self._serve_validated(flow, forwarded, validated, now)

    def _serve_validated(
        self,
        flow: flows.Flow,
        forwarded: wire.Forwarded,
        request: validation.ValidatedRequest,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        observe = request.info.observe
        idempotent = request.info.idempotent
        if observe == coap.OBSERVE_REGISTER and idempotent:
            return self._sessions.register(
                flow, forwarded.payload, request, now
            )
        token = request.message.token
        ended: list[events.Signal] = []
        if observe == coap.OBSERVE_CANCEL:
            ended = self._sessions.cancel(flow, token)
        return [*ended, *self._server.submit(flow, forwarded, request, now)]

    def _serve_acknowledgement(
        self,
        flow: flows.Flow,
        forwarded: wire.Forwarded,
        message: aiocoap.Message,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        key = serving.MessageKey(flow.key, message.mid)
        if self._sessions.acknowledge(key) or self._server.acknowledge_answer(
            key
        ):
            return []
        relayed = self._relay_unmatched(flow, forwarded)
        if now < self._next_owner_hint:
            return relayed
        # The acknowledged message may come from another agent that also owns
        # the flow because it missed the owner hint sent at admission.
        self._next_owner_hint = now + OWNER_HINT_INTERVAL
        return relayed + self._transfers.send_owner_hints(
            flow, forwarded.agents
        )

    def _serve_reset(
        self,
        flow: flows.Flow,
        forwarded: wire.Forwarded,
        message: aiocoap.Message,
    ) -> list[events.Signal]:
        key = serving.MessageKey(flow.key, message.mid)
        ended = self._sessions.reset(flow, message.mid)
        if ended is not None:
            return ended
        if self._server.acknowledge_answer(key):
            return []
        if self._server.is_in_progress(key):
            return self._server.cancel(key)
        return self._relay_unmatched(flow, forwarded)

    def _serve_after_move(
        self, key: serving.MessageKey, forwarded: wire.Forwarded
    ) -> list[events.Signal]:
        # The flow has moved, but this request is still in progress here.
        message = coap.decode(forwarded.payload, str(key.flow.caller))
        if isinstance(message, reasons.Failure):
            return [actions.CountReason(reasons.Drop.MALFORMED)]
        kind = coap.classify(message)
        if kind is coap.MessageKind.REQUEST:
            return self._server.answer_duplicate(key, forwarded.entry, b"")
        if message.mtype in (types.ACK, types.RST):
            if self._server.acknowledge_answer(key):
                return []
        if kind is coap.MessageKind.RESET:
            return self._server.cancel(key)
        return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]

    def _relay_unmatched(
        self, flow: flows.Flow, forwarded: wire.Forwarded
    ) -> list[events.Signal]:
        if flow.previous_owner is None:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        return self._relay(forwarded, flow.previous_owner)

    def _relay(
        self, forwarded: wire.Forwarded, agent: model.Endpoint
    ) -> list[events.Signal]:
        return self._forwarder.relay(forwarded, agent)

    def release_held_requests(
        self, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Serve held requests whose flow was not moved in time."""
        result: list[events.Signal] = []
        for forwarded in self._transfers.held.take_due(now):
            flow = self._table.get(forwarded.flow)
            if flow is not None:
                result += self._serve(flow, forwarded, now, may_hold=False)
        return result

    def expire_flows(self, now: datetime.timedelta) -> list[events.Signal]:
        """Remove flows past the idle timeout and close their sessions."""
        result: list[events.Signal] = []
        for flow in self._table.remove_idle(now):
            result += self._sessions.close(flow)
        return result


def is_current(exchange: flows.Exchange, now: datetime.timedelta) -> bool:
    """Return whether a message ID still identifies the same message."""
    return now - exchange.received_at < flows.EXCHANGE_LIFETIME


def read_message_key(
    forwarded: wire.Forwarded,
) -> serving.MessageKey | None:
    """Read flow and message ID of a datagram without decoding the rest.

    Returns:
        The key, or ``None`` if the datagram is shorter than a CoAP header.
    """
    if len(forwarded.payload) < coap.HEADER_BYTES:
        return None
    message_id = int.from_bytes(forwarded.payload[2:MESSAGE_ID_END], "big")
    return serving.MessageKey(forwarded.flow, message_id)
