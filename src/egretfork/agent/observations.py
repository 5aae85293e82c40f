"""Observations (RFC 7641) that the agent holds on its own target."""

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
FRESHNESS_WINDOW = datetime.timedelta(seconds=128)
HALF_SEQUENCE = 1 << 23


@dataclasses.dataclass(slots=True)
class Observation:
    """One observation on the target.

    Attributes:
        observation_id: number given by the sessions.
        request: the caller's registration.
        token: token towards the target.
        message_id: message ID of the last registration.
        established: the target has accepted the observation once.
        sequence: last Observe value of the target.
        heard: instant of the last notification.
        refresh: instant at which to register again.
    """

    observation_id: int
    request: aiocoap.Message
    token: bytes
    message_id: int
    established: bool
    sequence: int
    heard: datetime.timedelta
    refresh: datetime.timedelta


Result = list[events.Signal]


class ObservationExchange:
    """Registers observations on the target and keeps them alive."""

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
    ) -> Result:
        """Register an observation on the target."""
        request = coap.decode(start.payload, "caller")
        if isinstance(request, reasons.Failure):
            return [self._fail(start.observation_id)]
        observation = Observation(
            observation_id=start.observation_id,
            request=request,
            token=self._link.take_token(),
            message_id=-1,
            established=False,
            sequence=-1,
            heard=now,
            refresh=now,
        )
        self._observations[start.observation_id] = observation
        self._by_token[observation.token] = observation
        return self._register(observation, now)

    @staticmethod
    def _fail(observation_id: int) -> events.ObservationUpdate:
        reason = reasons.UnknownOutcome.TARGET_TIMEOUT.value
        return events.ObservationUpdate(observation_id, b"", True, reason)

    def _register(
        self, observation: Observation, now: datetime.timedelta
    ) -> Result:
        self._settle(observation)
        message_id = self._link.take_message_id(now)
        observation.refresh = now + RETRY_INTERVAL
        if message_id is None:
            return []
        observation.message_id = message_id
        self._by_message_id[message_id] = observation
        message = coap.copy_with_header(
            observation.request, types.CON, message_id, observation.token
        )
        return [*self._link.send(message, now)]

    def _settle(self, observation: Observation) -> None:
        self._by_message_id.pop(observation.message_id, None)
        self._link.deliveries.settle(observation.message_id)

    def stop(self, observation_id: int, now: datetime.timedelta) -> Result:
        """Deregister an observation (RFC 7641, section 3.6)."""
        observation = self._observations.get(observation_id)
        if observation is None:
            return []
        self._forget(observation)
        message_id = self._link.take_message_id(now)
        if message_id is None:
            return []
        message = coap.copy_with_header(
            observation.request, types.CON, message_id, observation.token
        )
        message.opt.observe = coap.OBSERVE_CANCEL
        return [*self._link.send(message, now)]

    def reset(self, message_id: int) -> Result | None:
        """Take the target's reset of a registration."""
        return self.expire(message_id)

    def answer(
        self,
        response: aiocoap.Message,
        payload: bytes,
        now: datetime.timedelta,
    ) -> Result | None:
        """Take a response; ``None`` if it belongs to no observation."""
        observation = self._by_token.get(response.token)
        if observation is None:
            return None
        if response.mtype is types.ACK:
            if response.mid != observation.message_id:
                return []
        self._settle(observation)
        if response.code in exchange.NOT_RUN_CODES and observation.established:
            # The target is overloaded for now; the caller keeps its session.
            observation.refresh = now + RETRY_INTERVAL
            return []
        if response.opt.observe is None:
            self._forget(observation)
            return [self._update(observation, payload, ended=True)]
        if self._is_stale(observation, response.opt.observe, now):
            return [actions.CountReason(reasons.Drop.DUPLICATE)]
        self._note_heard(observation, response, now)
        return [self._update(observation, payload, ended=False)]

    @staticmethod
    def _update(
        observation: Observation, payload: bytes, ended: bool
    ) -> events.ObservationUpdate:
        return events.ObservationUpdate(
            observation.observation_id, payload, ended
        )

    @staticmethod
    def _is_stale(
        observation: Observation, sequence: int, now: datetime.timedelta
    ) -> bool:
        """Compare sequences (RFC 7641, section 3.4)."""
        last = observation.sequence
        if last < 0 or now > observation.heard + FRESHNESS_WINDOW:
            return False
        if last < sequence:
            return sequence - last >= HALF_SEQUENCE
        return last - sequence <= HALF_SEQUENCE

    @staticmethod
    def _note_heard(
        observation: Observation,
        response: aiocoap.Message,
        now: datetime.timedelta,
    ) -> None:
        max_age = response.opt.max_age
        seconds = DEFAULT_MAX_AGE_S if max_age is None else max_age
        observation.established = True
        observation.sequence = response.opt.observe
        observation.heard = now
        observation.refresh = (
            now + datetime.timedelta(seconds=seconds) + REFRESH_MARGIN
        )

    def expire(self, message_id: int) -> Result | None:
        """Take the end of a registration that was not acknowledged."""
        observation = self._by_message_id.get(message_id)
        if observation is None:
            return None
        self._settle(observation)
        if observation.established:
            # ``advance`` registers again until the target answers.
            return []
        self._forget(observation)
        return [self._fail(observation.observation_id)]

    def restart(self, now: datetime.timedelta) -> Result:
        """Register everything again; the target lost its observations."""
        result: Result = []
        for observation in self._observations.values():
            observation.sequence = -1
            result += self._register(observation, now)
        return result

    def advance(self, now: datetime.timedelta) -> Result:
        """Register again what has not been heard of in time."""
        if now < self._next_check:
            return []
        self._next_check = now + RETRY_INTERVAL
        result: Result = []
        for observation in self._observations.values():
            waiting = observation.message_id in self._link.deliveries
            if observation.refresh <= now and not waiting:
                # A target that restarted counts from its own start again.
                observation.sequence = -1
                result += self._register(observation, now)
        return result

    def _forget(self, observation: Observation) -> None:
        self._settle(observation)
        del self._observations[observation.observation_id]
        del self._by_token[observation.token]
