"""Probes of the target's health resource."""

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

PROBE_INTERVAL = datetime.timedelta(seconds=1)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=900)
HEALTH_PATH = ("health",)


class HealthPayload(msgspec.Struct, frozen=True):
    """JSON content of the health resource.

    Attributes:
        state: what the target says of itself.
        slots_used: requests that it runs, absent if it does not report.
    """

    state: typing.Literal["ready", "draining", "shedding"] = "ready"
    slots_used: typing.Annotated[int, msgspec.Meta(ge=0)] | None = None


_DECODER = msgspec.json.Decoder(HealthPayload)
UNHEALTHY = events.TargetReport(False, False, False, None)

Result = list[events.Signal]


class HealthProbe:
    """Asks the target for its health at a fixed interval.

    A probe is not retransmitted: the next one follows soon.
    """

    def __init__(self, link: exchange.TargetLink) -> None:
        self._link = link
        self._next = datetime.timedelta()
        self._deadline = datetime.timedelta()
        self._token = b""
        self._message_id = -1

    def advance(self, now: datetime.timedelta) -> Result:
        """Report a probe without answer and send the next."""
        result: Result = []
        if self._token and now >= self._deadline:
            self._token = b""
            result.append(UNHEALTHY)
        if now >= self._next:
            self._next = now + PROBE_INTERVAL
            result += self._send(now)
        return result

    def _send(self, now: datetime.timedelta) -> Result:
        message_id = self._link.take_message_id(now)
        if message_id is None:
            return []
        self._token = self._link.take_token()
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

    def reset(self, message_id: int) -> Result | None:
        """Take a reset: the target does not answer probes."""
        if message_id != self._message_id or not self._token:
            return None
        self._token = b""
        return [UNHEALTHY]

    def answer(self, response: aiocoap.Message) -> Result | None:
        """Take a response; ``None`` if it belongs to no probe."""
        if not self._token or response.token != self._token:
            return None
        self._token = b""
        return [read_report(response)]


def read_report(response: aiocoap.Message) -> events.TargetReport:
    """Read the health that a response states."""
    if response.code is not codes.CONTENT:
        return UNHEALTHY
    try:
        health = _DECODER.decode(response.payload)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return UNHEALTHY
    return events.TargetReport(
        healthy=True,
        draining=health.state == "draining",
        shedding=health.state == "shedding",
        slots_used=health.slots_used,
    )
