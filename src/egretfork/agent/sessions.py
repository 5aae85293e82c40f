"""Observations of callers (RFC 7641), served from the own target."""

import datetime

import aiocoap
from aiocoap.numbers import types

from egretfork.agent import delivery
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import screening
from egretfork.agent import serving
from egretfork.agent import status as statuses
from egretfork import coap
from egretfork import reasons
from egretfork import wire

# RFC 7641 section 4.4: the value of the option has 24 bits.
SEQUENCE_COUNT = 1 << 24
# Notifications of the old owner may still be under way after a move; the
# new owner starts above any value that the old one can have reached.
MOVE_SEQUENCE_STEP = 1024
MOVE_MESSAGE_ID_STEP = 1024
# RFC 7252 section 4.8.2: after this time an acknowledgement is not expected.
MAX_TRANSMIT_WAIT = datetime.timedelta(seconds=93)


class SessionServer:
    """Keeps the callers' observations and sends them notifications."""

    def __init__(
        self,
        status: statuses.AgentStatus,
        table: flows.FlowTable,
        server: serving.CallerServer,
    ) -> None:
        self._status = status
        self._table = table
        self._server = server
        self._owners: dict[int, tuple[wire.FlowKey, bytes]] = {}
        self._registering: set[int] = set()
        self._notifications = delivery.Deliveries[serving.MessageKey](
            serving.ACK_TIMEOUT
        )
        self._tokens: dict[serving.MessageKey, bytes] = {}

    def register(
        self,
        flow: flows.Flow,
        payload: bytes,
        request: screening.ScreenedRequest,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        """Open an observation for a caller on the own target."""
        token = request.message.token
        pending = self._server.open(flow, request, now)
        pending.session = True
        result = self.cancel(flow, token)
        if len(flow.sessions or ()) >= flows.MAX_SESSIONS_PER_FLOW:
            refusal = coap.build_refusal(
                request.message,
                reasons.Refusal.NO_CAPACITY,
                screening.RETRY_AFTER_S,
            )
            request_id = self._server.new_id()
            self._server.expect(request_id, pending, now)
            return result + self._server.answer(request_id, refusal, now)
        observation_id = self._server.new_id()
        session = flows.Session(token, payload, 0, observation_id)
        self._table.add_session(flow, session)
        self._owners[observation_id] = (flow.key, token)
        self._registering.add(observation_id)
        self._server.expect(observation_id, pending, now)
        return [*result, events.StartObservation(observation_id, payload)]

    def adopt(self, flow: flows.Flow, session: flows.Session) -> None:
        """Continue a session that another agent has moved here."""
        session.sequence += MOVE_SEQUENCE_STEP
        session.sequence %= SEQUENCE_COUNT
        self._table.add_session(flow, session)
        self._owners[session.observation_id] = (flow.key, session.token)

    def update(
        self, update: events.ObservationUpdate, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Pass a response of the target to the caller of a session."""
        owner = self._owners.get(update.observation_id)
        if owner is None:
            return [events.StopObservation(update.observation_id)]
        key, token = owner
        flow = self._table.get(key)
        session = flow.find_session(token) if flow is not None else None
        if flow is None or session is None:
            self._forget(update.observation_id)
            return [events.StopObservation(update.observation_id)]
        result = self._pass_on(flow, session, update, now)
        if update.ended:
            self._remove(flow, token)
        return result

    def _pass_on(
        self,
        flow: flows.Flow,
        session: flows.Session,
        update: events.ObservationUpdate,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        request_id = self._take_registration(update.observation_id)
        response = coap.decode(update.payload, "target")
        if isinstance(response, reasons.Failure):
            return self._fail(request_id, update, now)
        if not update.ended:
            session.sequence = (session.sequence + 1) % SEQUENCE_COUNT
        # The target's own sequence restarts with each observation.
        response.opt.observe = None if update.ended else session.sequence
        if request_id is not None:
            return self._server.answer(request_id, response, now)
        return self._notify(flow, session, response, now)

    def _take_registration(self, observation_id: int) -> int | None:
        # The request that registers has the number of its observation.
        if observation_id not in self._registering:
            return None
        self._registering.discard(observation_id)
        return observation_id

    def _fail(
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
        # Only the newest notification is retransmitted (RFC 7641, 4.5.2). A
        # feed faster than the retransmission timeout would send each one
        # through the latest entry for ever, even if that entry is dead.
        waiting = self._settle(
            serving.MessageKey(flow.key, session.message_id)
        )
        if not waiting:
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
        self._notifications.start(key, payload, now)
        self._tokens[key] = session.token
        chosen = self._status.entries.choose(
            flow.entries, session.unacknowledged
        )
        return screening.return_through(chosen, flow.key, payload)

    def acknowledge(self, key: serving.MessageKey) -> bool:
        """Take the acknowledgement of a notification."""
        return self._settle(key)

    def reset(
        self, flow: flows.Flow, message_id: int
    ) -> list[events.Signal] | None:
        """End the session whose notification the caller has reset.

        Returns:
            Actions, or ``None`` if the message is no notification or
            registration of this flow.
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
        """End a session; the target is told."""
        observation_id = self._remove(flow, token)
        if observation_id is None:
            return []
        return [events.StopObservation(observation_id)]

    def close(self, flow: flows.Flow) -> list[events.Signal]:
        """End the own observations of a flow that is no longer owned."""
        result: list[events.Signal] = []
        for session in (flow.sessions or {}).values():
            self._settle(serving.MessageKey(flow.key, session.message_id))
            self._forget(session.observation_id)
            result.append(events.StopObservation(session.observation_id))
        return result

    def advance(self, now: datetime.timedelta) -> list[events.Signal]:
        """Repeat notifications; end sessions whose caller is gone."""
        result: list[events.Signal] = []
        for due in self._notifications.take_due(now):
            flow = self._table.get(due.key.flow)
            if flow is None:
                self._settle(due.key)
                continue
            if due.expired:
                token = self._tokens.pop(due.key, b"")
                result += self.cancel(flow, token)
                continue
            session = flow.find_session(self._tokens.get(due.key, b""))
            earlier = session.unacknowledged if session is not None else 0
            # Attempts count on from the notifications before this one, so
            # that each entry gets its turn.
            chosen = self._status.entries.choose(
                flow.entries, earlier + due.sent
            )
            result += screening.return_through(chosen, flow.key, due.payload)
        return result

    def _settle(self, key: serving.MessageKey) -> bool:
        self._tokens.pop(key, None)
        return self._notifications.settle(key)

    def _remove(self, flow: flows.Flow, token: bytes) -> int | None:
        session = self._table.remove_session(flow, token)
        if session is None:
            return None
        self._forget(session.observation_id)
        return session.observation_id

    def _forget(self, observation_id: int) -> None:
        self._owners.pop(observation_id, None)
        if observation_id in self._registering:
            self._registering.discard(observation_id)
            self._server.abandon(observation_id)
