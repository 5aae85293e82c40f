"""Server side of the callers' observations (RFC 7641)."""

import datetime

import aiocoap
from aiocoap.numbers import types

from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import retransmission
from egretfork.agent import serving
from egretfork.agent import status as status_module
from egretfork.agent import validation
from egretfork import coap
from egretfork import reasons
from egretfork import wire

# RFC 7641 section 4.4: the Observe option has 24 bits.
SEQUENCE_COUNT = 1 << 24
# Notifications of the previous owner may still be in transit after a transfer;
# the new owner starts above any value that the previous one can have used.
TRANSFER_SEQUENCE_STEP = 1024
TRANSFER_MESSAGE_ID_STEP = 1024
# RFC 7252 section 4.8.2: no acknowledgement is expected after this time.
MAX_TRANSMIT_WAIT = datetime.timedelta(seconds=93)


class SessionServer:
    """Holds the sessions of callers and sends their notifications.

    A session is one observation of a caller. The agent holds a matching
    observation on its target for each session.
    """

    def __init__(
        self,
        status: status_module.AgentStatus,
        table: flows.FlowTable,
        server: serving.CallerServer,
    ) -> None:
        self._status = status
        self._table = table
        self._server = server
        self._session_keys: dict[int, tuple[wire.FlowKey, bytes]] = {}
        self._pending_registrations: set[int] = set()
        self._notifications = retransmission.RetransmissionQueue[
            serving.MessageKey
        ](serving.ACK_TIMEOUT)
        self._tokens: dict[serving.MessageKey, bytes] = {}

    def register(
        self,
        flow: flows.Flow,
        payload: bytes,
        request: validation.ValidatedRequest,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        """Open a session and register its observation on the target."""
        token = request.message.token
        pending = self._server.open_request(flow, request, now)
        pending.registers_session = True
        result = self.cancel(flow, token)
        if len(flow.sessions or ()) >= flows.MAX_SESSIONS_PER_FLOW:
            refusal = coap.build_refusal(
                request.message,
                reasons.Refusal.NO_CAPACITY,
                validation.RETRY_AFTER_S,
            )
            request_id = self._server.new_id()
            self._server.add_pending(request_id, pending, now)
            return result + self._server.send_answer(request_id, refusal, now)
        observation_id = self._server.new_id()
        session = flows.Session(token, payload, 0, observation_id)
        self._table.add_session(flow, session)
        self._session_keys[observation_id] = (flow.key, token)
        self._pending_registrations.add(observation_id)
        self._server.add_pending(observation_id, pending, now)
        return [*result, events.StartObservation(observation_id, payload)]

    def add_transferred(
        self, flow: flows.Flow, session: flows.Session
    ) -> None:
        """Add a session that another agent transferred to this one."""
        session.sequence += TRANSFER_SEQUENCE_STEP
        session.sequence %= SEQUENCE_COUNT
        self._table.add_session(flow, session)
        self._session_keys[session.observation_id] = (flow.key, session.token)

    def update(
        self, update: events.ObservationUpdate, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Forward a response of the target to the caller of a session."""
        session_key = self._session_keys.get(update.observation_id)
        if session_key is None:
            return [events.StopObservation(update.observation_id)]
        key, token = session_key
        flow = self._table.get(key)
        session = flow.find_session(token) if flow is not None else None
        if flow is None or session is None:
            self._discard_observation(update.observation_id)
            return [events.StopObservation(update.observation_id)]
        result = self._forward_response(flow, session, update, now)
        if update.ended:
            self._remove(flow, token)
        return result

    def _forward_response(
        self,
        flow: flows.Flow,
        session: flows.Session,
        update: events.ObservationUpdate,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        request_id = self._pop_registration(update.observation_id)
        response = coap.decode(update.payload, "target")
        if isinstance(response, reasons.Failure):
            return self._fail_registration(request_id, update, now)
        if not update.ended:
            session.sequence = (session.sequence + 1) % SEQUENCE_COUNT
        # The sequence of the target restarts with each observation, so the
        # caller gets the sequence of its session instead.
        response.opt.observe = None if update.ended else session.sequence
        if request_id is not None:
            return self._server.send_answer(request_id, response, now)
        return self._notify(flow, session, response, now)

    def _pop_registration(self, observation_id: int) -> int | None:
        # A registration request and its observation share one ID.
        if observation_id not in self._pending_registrations:
            return None
        self._pending_registrations.discard(observation_id)
        return observation_id

    def _fail_registration(
        self,
        request_id: int | None,
        update: events.ObservationUpdate,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        if request_id is None:
            return []
        outcome = events.RequestFinished(
            request_id, wire.WorkResultKind.UNKNOWN, b"", update.reason
        )
        return self._server.finish(outcome, now)

    def _notify(
        self,
        flow: flows.Flow,
        session: flows.Session,
        response: aiocoap.Message,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        # Only the newest notification is retransmitted (RFC 7641, section
        # 4.5.2). If notifications follow each other faster than the
        # retransmission timeout, none is ever retransmitted, and each would
        # go through the latest entry even if that has failed. The number of
        # unacknowledged notifications therefore selects the entry.
        was_waiting = self._stop_retransmission(
            serving.MessageKey(flow.key, session.message_id)
        )
        if not was_waiting:
            session.unacknowledged = 0
            session.acknowledged_at = now
        elif now - session.acknowledged_at > MAX_TRANSMIT_WAIT:
            return self.cancel(flow, session.token)
        else:
            session.unacknowledged += 1
        session.message_id = flow.take_message_id()
        message = coap.copy_with_header(
            response, types.CON, session.message_id, session.token
        )
        payload = coap.encode(message)
        key = serving.MessageKey(flow.key, session.message_id)
        self._notifications.add(key, payload, now)
        self._tokens[key] = session.token
        chosen = self._status.entries.choose(
            flow.entries, session.unacknowledged
        )
        return validation.send_to_caller(chosen, flow.key, payload)

    def acknowledge(self, key: serving.MessageKey) -> bool:
        """Process an acknowledgement; return whether one was expected."""
        return self._stop_retransmission(key)

    def reset(
        self, flow: flows.Flow, message_id: int
    ) -> list[events.Signal] | None:
        """End the session whose notification or registration was reset.

        Returns:
            Actions, or ``None`` if the message ID belongs to no notification
            or registration of this flow.
        """
        key = serving.MessageKey(flow.key, message_id)
        request_id = self._server.find_request(key)
        for session in tuple((flow.sessions or {}).values()):
            if session.message_id == message_id:
                return self.cancel(flow, session.token)
            if session.observation_id == request_id:
                self._server.cancel(key)
                return self.cancel(flow, session.token)
        return None

    def cancel(self, flow: flows.Flow, token: bytes) -> list[events.Signal]:
        """End a session and its observation on the target."""
        observation_id = self._remove(flow, token)
        if observation_id is None:
            return []
        return [events.StopObservation(observation_id)]

    def close(self, flow: flows.Flow) -> list[events.Signal]:
        """End the observations on the target for a flow no longer owned."""
        result: list[events.Signal] = []
        for session in (flow.sessions or {}).values():
            self._stop_retransmission(
                serving.MessageKey(flow.key, session.message_id)
            )
            self._discard_observation(session.observation_id)
            result.append(events.StopObservation(session.observation_id))
        return result

    def advance(self, now: datetime.timedelta) -> list[events.Signal]:
        """Retransmit notifications; end sessions of unreachable callers."""
        result: list[events.Signal] = []
        for due in self._notifications.take_due(now):
            flow = self._table.get(due.key.flow)
            if flow is None:
                self._stop_retransmission(due.key)
                continue
            if due.expired:
                token = self._tokens.pop(due.key, b"")
                result += self.cancel(flow, token)
                continue
            session = flow.find_session(self._tokens.get(due.key, b""))
            preceding_count = (
                session.unacknowledged if session is not None else 0
            )
            # The attempt number continues from the unacknowledged
            # notifications before this one, so that all entries are tried.
            chosen = self._status.entries.choose(
                flow.entries, preceding_count + due.sent
            )
            result += validation.send_to_caller(chosen, flow.key, due.payload)
        return result

    def _stop_retransmission(self, key: serving.MessageKey) -> bool:
        self._tokens.pop(key, None)
        return self._notifications.remove(key)

    def _remove(self, flow: flows.Flow, token: bytes) -> int | None:
        session = self._table.remove_session(flow, token)
        if session is None:
            return None
        self._discard_observation(session.observation_id)
        return session.observation_id

    def _discard_observation(self, observation_id: int) -> None:
        self._session_keys.pop(observation_id, None)
        if observation_id in self._pending_registrations:
            self._pending_registrations.discard(observation_id)
            self._server.drop_request(observation_id)
