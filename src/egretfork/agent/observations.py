"""Observations (RFC 7641) that the agent holds on its target."""

import dataclasses
import datetime

import aiocoap
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import events
from egretfork.agent import exchange
from egretfork import coap
from egretfork import reasons

# RFC 7641 section 3.3.1: a client may register again after Max-Age.
DEFAULT_MAX_AGE_S = 60
REFRESH_MARGIN = datetime.timedelta(seconds=5)
RETRY_INTERVAL = datetime.timedelta(seconds=1)
# RFC 7641 section 3.4: parameters for the comparison of Observe values.
FRESHNESS_WINDOW = datetime.timedelta(seconds=128)
HALF_SEQUENCE_RANGE = 1 << 23


@dataclasses.dataclass(slots=True)
class Observation:
    """An observation on the target.

    Attributes:
        observation_id: ID assigned by the session server.
        request: the caller's registration request.
        token: token of the registration at the target.
        message_id: message ID of the last registration.
        established: the target has sent at least one notification.
        sequence: last Observe value received, -1 before the first.
        notified_at: time of the last notification.
        refresh_at: time at which to register again.
    """

    observation_id: int
    request: aiocoap.Message
    token: bytes
    message_id: int
    established: bool
    sequence: int
    notified_at: datetime.timedelta
    refresh_at: datetime.timedelta


Signals = list[events.Signal]


class ObservationClient:
    """Registers observations on the target and refreshes them."""

    def __init__(self, link: exchange.TargetLink) -> None:
        self._link = link
        self._observations: dict[int, Observation] = {}
        self._by_token: dict[bytes, Observation] = {}
        self._by_message_id: dict[int, Observation] = {}
        self._next_check = datetime.timedelta()

    def __len__(self) -> int:
        return len(self._observations)

    def start(
        self, start: events.StartObservation, now: datetime.timedelta
    ) -> Signals:
        """Register an observation on the target."""
        request = coap.decode(start.payload, "caller")
        if isinstance(request, reasons.Failure):
            return [self._build_failure(start.observation_id)]
        observation = Observation(
            observation_id=start.observation_id,
            request=request,
            token=self._link.allocate_token(),
            message_id=-1,
            established=False,
            sequence=-1,
            notified_at=now,
            refresh_at=now,
        )
        self._observations[start.observation_id] = observation
        self._by_token[observation.token] = observation
        return self._register(observation, now)

    @staticmethod
    def _build_failure(observation_id: int) -> events.ObservationUpdate:
        reason = reasons.UnknownOutcome.TARGET_TIMEOUT.value
        return events.ObservationUpdate(observation_id, b"", True, reason)

    def _register(
        self, observation: Observation, now: datetime.timedelta
    ) -> Signals:
        self._stop_retransmission(observation)
        message_id = self._link.allocate_message_id(now)
        observation.refresh_at = now + RETRY_INTERVAL
        if message_id is None:
            return []
        observation.message_id = message_id
        self._by_message_id[message_id] = observation
        message = coap.copy_with_header(
            observation.request, types.CON, message_id, observation.token
        )
        return [*self._link.send(message, now)]

    def _stop_retransmission(self, observation: Observation) -> None:
        self._by_message_id.pop(observation.message_id, None)
        self._link.unacknowledged.remove(observation.message_id)

    def stop(self, observation_id: int, now: datetime.timedelta) -> Signals:
        """Deregister an observation (RFC 7641, section 3.6)."""
        observation = self._observations.get(observation_id)
        if observation is None:
            return []
        self._remove(observation)
        message_id = self._link.allocate_message_id(now)
        if message_id is None:
            return []
        message = coap.copy_with_header(
            observation.request, types.CON, message_id, observation.token
        )
        message.opt.observe = coap.OBSERVE_CANCEL
        return [*self._link.send(message, now)]

    def receive_reset(self, message_id: int) -> Signals | None:
        """Process a reset of a registration like a missing acknowledgement.

        Returns:
            Actions, or ``None`` if the message ID belongs to no registration.
        """
        return self.expire(message_id)

    def receive_response(
        self,
        response: aiocoap.Message,
        payload: bytes,
        now: datetime.timedelta,
    ) -> Signals | None:
        """Process a notification or the end of an observation.

        Returns:
            Actions, or ``None`` if the response belongs to no observation.
        """
        observation = self._by_token.get(response.token)
        if observation is None:
            return None
        if response.mtype is types.ACK:
            if response.mid != observation.message_id:
                return []
        self._stop_retransmission(observation)
        if response.code in exchange.REFUSAL_CODES and observation.established:
            # The overload is temporary: the caller keeps its session, and
            # the registration is retried.
            observation.refresh_at = now + RETRY_INTERVAL
            return []
        if response.opt.observe is None:
            self._remove(observation)
            return [self._build_update(observation, payload, ended=True)]
        if self._is_stale(observation, response.opt.observe, now):
            return [actions.CountReason(reasons.Drop.DUPLICATE)]
        self._record_notification(observation, response, now)
        return [self._build_update(observation, payload, ended=False)]

    @staticmethod
    def _build_update(
        observation: Observation, payload: bytes, ended: bool
    ) -> events.ObservationUpdate:
        return events.ObservationUpdate(
            observation.observation_id, payload, ended
        )

    @staticmethod
    def _is_stale(
        observation: Observation, sequence: int, now: datetime.timedelta
    ) -> bool:
        """Return whether a newer value arrived (RFC 7641, section 3.4)."""
        last = observation.sequence
        if last < 0 or now > observation.notified_at + FRESHNESS_WINDOW:
            return False
        if last < sequence:
            return sequence - last >= HALF_SEQUENCE_RANGE
        return last - sequence <= HALF_SEQUENCE_RANGE

    @staticmethod
    def _record_notification(
        observation: Observation,
        response: aiocoap.Message,
        now: datetime.timedelta,
    ) -> None:
        max_age = response.opt.max_age
        seconds = DEFAULT_MAX_AGE_S if max_age is None else max_age
        observation.established = True
        observation.sequence = response.opt.observe
        observation.notified_at = now
        observation.refresh_at = (
            now + datetime.timedelta(seconds=seconds) + REFRESH_MARGIN
        )

    def expire(self, message_id: int) -> Signals | None:
        """Process a registration that was not acknowledged.

        Returns:
            Actions, or ``None`` if the message ID belongs to no registration.
        """
        observation = self._by_message_id.get(message_id)
        if observation is None:
            return None
        self._stop_retransmission(observation)
        if observation.established:
            # ``advance`` repeats the registration until the target responds.
            return []
        self._remove(observation)
        return [self._build_failure(observation.observation_id)]

    def restart(self, now: datetime.timedelta) -> Signals:
        """Register all observations again after the target lost them."""
        result: Signals = []
        for observation in self._observations.values():
            observation.sequence = -1
            result += self._register(observation, now)
        return result

    def advance(self, now: datetime.timedelta) -> Signals:
        """Refresh the observations without a notification in time."""
        if now < self._next_check:
            return []
        self._next_check = now + RETRY_INTERVAL
        result: Signals = []
        for observation in self._observations.values():
            waiting = observation.message_id in self._link.unacknowledged
            if observation.refresh_at <= now and not waiting:
                # The target may have restarted, which begins a new sequence.
                observation.sequence = -1
                result += self._register(observation, now)
        return result

    def _remove(self, observation: Observation) -> None:
        self._stop_retransmission(observation)
        del self._observations[observation.observation_id]
        del self._by_token[observation.token]
