"""Health probes: periodic requests for the target's health resource."""

import datetime
import typing

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types

import msgspec

from egretfork import actions
from egretfork.agent import events
from egretfork.agent import exchange
from egretfork import coap
from egretfork import decoding

PROBE_INTERVAL = datetime.timedelta(seconds=1)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=900)
HEALTH_PATH = ("health",)


class HealthPayload(msgspec.Struct, frozen=True):
    """JSON payload of the health resource.

    Attributes:
        state: state that the target reports.
        slots_used: number of requests in progress, ``None`` if not reported.
    """

    state: typing.Literal["ready", "draining", "shedding"] = "ready"
    slots_used: typing.Annotated[int, msgspec.Meta(ge=0)] | None = None


_DECODER = msgspec.json.Decoder(HealthPayload)
UNHEALTHY = events.TargetReport(False, False, False, None)

Signals = list[events.Signal]


class HealthProbe:
    """Requests the health resource of the target at a fixed interval.

    A probe is not retransmitted, since the next one follows soon.
    """

    def __init__(self, link: exchange.TargetLink) -> None:
        self._link = link
        self._next_probe_at = datetime.timedelta()
        self._deadline = datetime.timedelta()
        self._token = b""
        self._message_id = -1

    def advance(self, now: datetime.timedelta) -> Signals:
        """Report a probe that timed out and send the next one when due."""
        result: Signals = []
        if self._token and now >= self._deadline:
            self._token = b""
            result.append(UNHEALTHY)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL
            result += self._send(now)
        return result

    def _send(self, now: datetime.timedelta) -> Signals:
        message_id = self._link.allocate_message_id(now)
        if message_id is None:
            return []
        self._token = self._link.allocate_token()
        self._message_id = message_id
        self._deadline = now + PROBE_TIMEOUT
        probe = aiocoap.Message(
            mtype=types.CON,
            mid=message_id,
            code=codes.GET,
            token=self._token,
            uri_path=HEALTH_PATH,
        )
        return [actions.SendToTarget(coap.encode(probe))]

    def receive_reset(self, message_id: int) -> Signals | None:
        """Report the target as unhealthy if it reset the current probe.

        Returns:
            Actions, or ``None`` if the message ID belongs to no probe.
        """
        if message_id != self._message_id or not self._token:
            return None
        self._token = b""
        return [UNHEALTHY]

    def receive_response(self, response: aiocoap.Message) -> Signals | None:
        """Report the health that a response states.

        Returns:
            Actions, or ``None`` if the response belongs to no probe.
        """
        if not self._token or response.token != self._token:
            return None
        self._token = b""
        return [parse_report(response)]


def parse_report(response: aiocoap.Message) -> events.TargetReport:
    """Parse a response; an error or invalid payload means unhealthy."""
    if response.code is not codes.CONTENT:
        return UNHEALTHY
    try:
        health = _DECODER.decode(response.payload)
    except decoding.UNREADABLE:
        return UNHEALTHY
    return events.TargetReport(
        healthy=True,
        draining=health.state == "draining",
        shedding=health.state == "shedding",
        slots_used=health.slots_used,
    )
