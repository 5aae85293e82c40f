"""Registration of the target with its agent (RFC 9176)."""

import datetime
import urllib.parse

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import events
from egretfork.agent import status as status_module
from egretfork import coap
from egretfork import model

REGISTER_PATH = (".well-known", "rd")
LOCATION_PATH = ("rd", "1")
# RFC 9176 section 5: default and maximum of the lifetime.
DEFAULT_LIFETIME_S = 90_000
MAX_LIFETIME_S = 4_294_967_295
MAX_NAME_BYTES = 63

Signals = list[events.Signal]


class Registration:
    """Resource directory with a single entry, the agent's target."""

    def __init__(
        self,
        status: status_module.AgentStatus,
        target: model.Endpoint | None,
    ) -> None:
        self._status = status
        self._configured = target
        self._target = target
        self._endpoint_name = ""
        self._lifetime = datetime.timedelta(seconds=DEFAULT_LIFETIME_S)
        self._expires: datetime.timedelta | None = None
        self._last_message_id = -1
        self._last_source: model.Endpoint | None = None
        self._last_answer = b""

    @property
    def target(self) -> model.Endpoint | None:
        """Return the address of the target, ``None`` while it is unknown."""
        return self._target

    @property
    def is_registered(self) -> bool:
        """Return whether the target holds a registration."""
        return self._expires is not None

    def receive(
        self,
        source: model.Endpoint,
        request: aiocoap.Message,
        now: datetime.timedelta,
    ) -> Signals:
        """Handle a request of the target; repeat the answer to a duplicate."""
        if (source, request.mid) == (self._last_source, self._last_message_id):
            return [actions.SendToTarget(self._last_answer, source)]
        answer, changes = self._handle(source, request, now)
        if answer.mtype is types.NON:
            answer.mid = (request.mid + 1) % (1 << 16)
        self._last_source = source
        self._last_message_id = request.mid
        self._last_answer = coap.encode(answer)
        return [actions.SendToTarget(self._last_answer, source), *changes]

    def _handle(
        self,
        source: model.Endpoint,
        request: aiocoap.Message,
        now: datetime.timedelta,
    ) -> tuple[aiocoap.Message, Signals]:
        path = request.opt.uri_path
        if path == REGISTER_PATH and request.code is codes.POST:
            return self._register(source, request, now)
        if path != LOCATION_PATH or self._expires is None:
            return coap.build_response(request, codes.NOT_FOUND), []
        if request.code is codes.POST:
            return self._refresh(request, now)
        if request.code is codes.DELETE:
            return self._deregister(request)
        return coap.build_response(request, codes.METHOD_NOT_ALLOWED), []

    def _register(
        self,
        source: model.Endpoint,
        request: aiocoap.Message,
        now: datetime.timedelta,
    ) -> tuple[aiocoap.Message, Signals]:
        query = parse_query(request)
        error = self._validate(source, query)
        if error:
            return (
                coap.build_response(
                    request, codes.BAD_REQUEST, error.encode()
                ),
                [],
            )
        self._target = self._configured or source
        self._endpoint_name = query["ep"]
        self._set_lifetime(query, now)
        answer = coap.build_response(request, codes.CREATED)
        answer.opt.location_path = LOCATION_PATH
        return answer, [events.RegistrationChanged(True, True)]

    def _validate(self, source: model.Endpoint, query: dict[str, str]) -> str:
        name = query.get("ep", "")
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
            return "ep must have 1 to 63 bytes"
        service = query.get("et", self._status.service_name)
        if service != self._status.service_name:
            return f"et must be {self._status.service_name}"
        if not self._has_valid_lifetime(query):
            return "lt must be 1 to 4294967295 seconds"
        if self._configured and self._configured.host != source.host:
            return "the registration comes from another host"
        return ""

    @staticmethod
    def _has_valid_lifetime(query: dict[str, str]) -> bool:
        text = query.get("lt", str(DEFAULT_LIFETIME_S))
        if not (text.isascii() and text.isdigit() and len(text) < 11):
            return False
        return 0 < int(text) <= MAX_LIFETIME_S

    def _set_lifetime(
        self, query: dict[str, str], now: datetime.timedelta
    ) -> None:
        if "lt" in query:
            self._lifetime = datetime.timedelta(seconds=int(query["lt"]))
        self._expires = now + self._lifetime

    def _refresh(
        self, request: aiocoap.Message, now: datetime.timedelta
    ) -> tuple[aiocoap.Message, Signals]:
        query = parse_query(request)
        if not self._has_valid_lifetime(query):
            return coap.build_response(request, codes.BAD_REQUEST), []
        self._set_lifetime(query, now)
        return coap.build_response(request, codes.CHANGED), []

    def _deregister(
        self, request: aiocoap.Message
    ) -> tuple[aiocoap.Message, Signals]:
        self._expires = None
        answer = coap.build_response(request, codes.DELETED)
        return answer, [events.RegistrationChanged(False, False)]

    def advance(self, now: datetime.timedelta) -> Signals:
        """Remove a registration whose lifetime has expired."""
        if self._expires is None or now < self._expires:
            return []
        self._expires = None
        return [
            actions.LogEvent(
                "registration_expired",
                "refresh registration",
                self._endpoint_name,
            ),
            events.RegistrationChanged(False, False),
        ]


def parse_query(request: aiocoap.Message) -> dict[str, str]:
    """Return the Uri-Query parameters; the first of each name counts."""
    pairs = (item.partition("=") for item in request.opt.uri_query)
    query: dict[str, str] = {}
    for name, _, value in pairs:
        query.setdefault(name, urllib.parse.unquote(value))
    return query
