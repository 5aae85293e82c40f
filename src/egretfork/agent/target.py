"""Interface between the agent and its target."""

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
from egretfork.agent import status as status_module
from egretfork import coap
from egretfork import model
from egretfork import reasons

Signals = list[events.Signal]


class TargetInterface:
    """Dispatches datagrams of the target by purpose.

    The purposes are registration, runs, observations and health probes.
    """

    def __init__(
        self,
        status: status_module.AgentStatus,
        target: model.Endpoint | None,
        generator: random.Random,
    ) -> None:
        self._link = exchange.TargetLink(generator)
        self.registration = registration.Registration(status, target)
        self._runs = exchange.RunClient(self._link)
        self._observations = observations.ObservationClient(self._link)
        self._probe = probes.HealthProbe(self._link)
        self._last_target = target

    @property
    def run_count(self) -> int:
        """Return the number of requests in progress on the target."""
        return len(self._runs)

    def start_run(
        self, start: events.StartRun, now: datetime.timedelta
    ) -> Signals:
        """Send a request to the target."""
        return [*self._runs.start(start, now)]

    def cancel_run(
        self, cancel: events.CancelRun, now: datetime.timedelta
    ) -> Signals:
        """Cancel a run on the target."""
        return [*self._runs.cancel(cancel.run_id)]

    def start_observation(
        self, start: events.StartObservation, now: datetime.timedelta
    ) -> Signals:
        """Register an observation on the target."""
        return [*self._observations.start(start, now)]

    def stop_observation(
        self, stop: events.StopObservation, now: datetime.timedelta
    ) -> Signals:
        """Deregister an observation on the target."""
        return [*self._observations.stop(stop.observation_id, now)]

    def restart_observations(self, now: datetime.timedelta) -> Signals:
        """Register all observations again after the target lost them."""
        return [*self._observations.restart(now)]

    def receive(
        self, datagram: events.TargetDatagram, now: datetime.timedelta
    ) -> Signals:
        """Process a datagram received from the VM of the target."""
        message = coap.decode(datagram.payload, str(datagram.source))
        if isinstance(message, reasons.Failure):
            return [actions.CountReason(reasons.Drop.MALFORMED)]
        if coap.classify(message) is coap.MessageKind.REQUEST:
            return [*self.registration.receive(datagram.source, message, now)]
        if datagram.source != self.registration.target:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        return self._receive_reply(message, datagram.payload, now)

    def _receive_reply(
        self, message: aiocoap.Message, payload: bytes, now: datetime.timedelta
    ) -> Signals:
        kind = coap.classify(message)
        if kind is coap.MessageKind.PING:
            return [exchange.send_empty(types.RST, message.mid)]
        if kind is coap.MessageKind.EMPTY_ACK:
            was_expected = self._link.unacknowledged.remove(message.mid)
            return self._select_result([] if was_expected else None)
        if kind is coap.MessageKind.RESET:
            return self._receive_reset(message.mid)
        return self._receive_response(message, payload, now)

    def _receive_reset(self, message_id: int) -> Signals:
        return self._select_result(
            self._runs.receive_reset(message_id),
            self._observations.receive_reset(message_id),
            self._probe.receive_reset(message_id),
        )

    def _receive_response(
        self, message: aiocoap.Message, payload: bytes, now: datetime.timedelta
    ) -> Signals:
        selected: Signals | None = None
        if message.mtype is types.ACK:
            # The response to a deregistration needs no further processing.
            was_expected = self._link.unacknowledged.remove(message.mid)
            selected = [] if was_expected else None
        for signals in (
            self._runs.receive_response(message, payload),
            self._observations.receive_response(message, payload, now),
            self._probe.receive_response(message),
        ):
            if signals is not None:
                selected = [*signals]
        if message.mtype is types.CON:
            reply_type = types.RST if selected is None else types.ACK
            reply = exchange.send_empty(reply_type, message.mid)
            return [reply, *self._select_result(selected)]
        return self._select_result(selected)

    def _select_result(self, *results: Signals | None) -> Signals:
        selected = next(
            (signals for signals in results if signals is not None), None
        )
        if selected is None:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        return selected

    def advance(self, now: datetime.timedelta) -> Signals:
        """Run the timers of registration, runs, observations and probes."""
        result: Signals = [*self.registration.advance(now)]
        if self.registration.target is None:
            return result
        for due in self._link.unacknowledged.take_due(now):
            if not due.expired:
                result.append(actions.SendToTarget(due.payload))
                continue
            result += self._runs.expire(due.key) or []
            result += self._observations.expire(due.key) or []
        result += self._runs.advance(now)
        result += self._observations.advance(now)
        result += self._probe.advance(now)
        return result
