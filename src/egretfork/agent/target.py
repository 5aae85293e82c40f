"""Everything between the agent and its own target."""

import datetime
import random

import aiocoap
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import events
from egretfork.agent import exchange
from egretfork.agent import observations
from egretfork.agent import probes
from egretfork.agent import registration
from egretfork.agent import status as statuses
from egretfork import coap
from egretfork import model
from egretfork import reasons

Result = list[events.Signal]


class TargetSide:
    """Distributes the target's datagrams to runs, observations, probes."""

    def __init__(
        self,
        status: statuses.AgentStatus,
        target: model.Endpoint | None,
        generator: random.Random,
    ) -> None:
        self._link = exchange.TargetLink(generator)
        self.registration = registration.Registration(status, target)
        self._runs = exchange.RunExchange(self._link)
        self._observations = observations.ObservationExchange(self._link)
        self._probe = probes.HealthProbe(self._link)
        self._last_target = target

    @property
    def run_count(self) -> int:
        """Return the number of requests that the target runs."""
        return len(self._runs)

    def start_run(
        self, start: events.StartRun, now: datetime.timedelta
    ) -> Result:
        """Run a request on the target."""
        return [*self._runs.start(start, now)]

    def cancel_run(
        self, cancel: events.CancelRun, now: datetime.timedelta
    ) -> Result:
        """Cancel a run."""
        return [*self._runs.cancel(cancel.run_id)]

    def start_observation(
        self, start: events.StartObservation, now: datetime.timedelta
    ) -> Result:
        """Observe a resource of the target."""
        return [*self._observations.start(start, now)]

    def stop_observation(
        self, stop: events.StopObservation, now: datetime.timedelta
    ) -> Result:
        """End an observation."""
        return [*self._observations.stop(stop.observation_id, now)]

    def restart_observations(self, now: datetime.timedelta) -> Result:
        """Observe again after the target has lost its observations."""
        return [*self._observations.restart(now)]

    def receive(
        self, datagram: events.TargetDatagram, now: datetime.timedelta
    ) -> Result:
        """Take a datagram from the target's VM."""
        message = coap.decode(datagram.payload, str(datagram.source))
        if isinstance(message, reasons.Failure):
            return [actions.CountReason(reasons.Drop.MALFORMED)]
        if coap.classify(message) is coap.MessageKind.REQUEST:
            return [*self.registration.receive(datagram.source, message, now)]
        if datagram.source != self.registration.target:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        return self._receive_answer(message, datagram.payload, now)

    def _receive_answer(
        self, message: aiocoap.Message, payload: bytes, now: datetime.timedelta
    ) -> Result:
        kind = coap.classify(message)
        if kind is coap.MessageKind.PING:
            return [exchange.send_empty(types.RST, message.mid)]
        if kind is coap.MessageKind.EMPTY_ACK:
            settled = self._link.deliveries.settle(message.mid)
            return self._first([] if settled else None)
        if kind is coap.MessageKind.RESET:
            return self._receive_reset(message.mid)
        return self._receive_response(message, payload, now)

    def _receive_reset(self, message_id: int) -> Result:
        return self._first(
            self._runs.reset(message_id),
            self._observations.reset(message_id),
            self._probe.reset(message_id),
        )

    def _receive_response(
        self, message: aiocoap.Message, payload: bytes, now: datetime.timedelta
    ) -> Result:
        found: Result | None = None
        if message.mtype is types.ACK:
            # The answer to the end of an observation has no other use.
            settled = self._link.deliveries.settle(message.mid)
            found = [] if settled else None
        for part in (
            self._runs.answer(message, payload),
            self._observations.answer(message, payload, now),
            self._probe.answer(message),
        ):
            if part is not None:
                found = [*part]
        if message.mtype is types.CON:
            accepted = types.RST if found is None else types.ACK
            reply = exchange.send_empty(accepted, message.mid)
            return [reply, *self._first(found)]
        return self._first(found)

    def _first(self, *parts: Result | None) -> Result:
        found = next((part for part in parts if part is not None), None)
        if found is None:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        return found

    def advance(self, now: datetime.timedelta) -> Result:
        """Retransmit, probe, refresh and expire."""
        result: Result = [*self.registration.advance(now)]
        if self.registration.target is None:
            return result
        for due in self._link.deliveries.take_due(now):
            if not due.expired:
                result.append(actions.SendToTarget(due.payload))
                continue
            result += self._runs.expire(due.key) or []
            result += self._observations.expire(due.key) or []
        result += self._runs.advance(now)
        result += self._observations.advance(now)
        result += self._probe.advance(now)
        return result
