"""Agent cores of one service in virtual time, with targets that answer."""

import collections.abc
import datetime
import functools
import heapq
import itertools
import random
import typing

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import core
from egretfork.agent import events
from egretfork.agent import status as statuses
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork.routing import ranking
from egretfork.routing import table
from egretfork import wire

SERVICE = "bench"
SERVICE_ADDRESS = model.Endpoint("10.255.0.1", 5683)
ENTRY = model.Endpoint("10.255.1.1", 7000)
TARGET = model.Endpoint("127.0.0.1", 5683)
TICK = datetime.timedelta(milliseconds=20)
HOP_DELAY = datetime.timedelta(milliseconds=4)
HEALTHY = b'{"state": "ready", "slots_used": 0}'

Callback = collections.abc.Callable[[], None]


def build_request(number: int) -> bytes:
    """Build a caller's request."""
    message = aiocoap.Message(
        mtype=types.CON,
        mid=number % 65_536,
        code=codes.GET,
        token=b"\x01",
        uri_path=("checkins",),
    )
    return coap.encode(message)


def build_caller(number: int) -> wire.FlowKey:
    """Return the flow of a caller by its number."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    caller = model.Endpoint(host, 1024 + (number >> 24))
    return wire.FlowKey(caller, SERVICE_ADDRESS)


def answer_at_once(payload: bytes) -> bytes | None:
    """Return the answer of a target that is never busy."""
    request = coap.decode(payload, "agent")
    if isinstance(request, reasons.Failure):
        return None
    if coap.classify(request) is not coap.MessageKind.REQUEST:
        return None
    is_probe = request.opt.uri_path == ("health",)
    content = HEALTHY if is_probe else b"done"
    return coap.encode(coap.build_response(request, codes.CONTENT, content))


class Cell:
    """Agents of one service, one entry, and a network between them.

    Args:
        seed: seed of everything random.
        hint_delay: time that a load hint takes.
        idle_timeout: time after which an unused flow is forgotten.
        cold_start_ms: ramp of new targets.
    """

    def __init__(
        self,
        seed: int,
        hint_delay: datetime.timedelta,
        idle_timeout: datetime.timedelta,
        cold_start_ms: int,
    ) -> None:
        self.now = datetime.timedelta()
        self.generator = random.Random(seed)
        self.agents: dict[model.Endpoint, core.AgentCore] = {}
        self.admitted: dict[model.Endpoint, int] = {}
        self._hint_delay = hint_delay
        self._idle_timeout = idle_timeout
        self._heap: list[tuple[datetime.timedelta, int, Callback]] = []
        self._order = itertools.count()
        self._table = table.RoutingTable()
        self._announcements: dict[str, model.TargetAnnouncement] = {}
        service = model.Service(
            name=SERVICE,
            addresses=(str(SERVICE_ADDRESS),),
            targets=("*",),
            cold_start_ms=cold_start_ms,
        )
        self._configuration = model.Configuration(1, (service,))
        self._table.set_configuration(self._configuration)

    def schedule(self, delay: datetime.timedelta, callback: Callback) -> None:
        """Call back after a delay."""
        entry = (self.now + delay, next(self._order), callback)
        heapq.heappush(self._heap, entry)

    def run(self, span: datetime.timedelta) -> None:
        """Advance virtual time."""
        end = self.now + span
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = end

    def add_agent(self) -> model.Endpoint:
        """Start one more agent with a target that is ready."""
        number = len(self.agents) + 1
        address = model.Endpoint(f"10.254.0.{number}", 7100)
        status = statuses.AgentStatus(
            identity=model.AgentIdentity(f"target-{number}", number),
            address=address,
            service_name=SERVICE,
        )
        agent = core.AgentCore(
            status,
            TARGET,
            random.Random(self.generator.random()),
            0,
            self._idle_timeout,
        )
        self.agents[address] = agent
        self.admitted[address] = 0
        configuration = events.ConfigurationChanged(self._configuration)
        self._handle(address, configuration)
        self._handle(address, self._read_announcements())
        self._tick(address)
        return address

    def _read_announcements(self) -> events.AnnouncementsChanged:
        known = tuple(self._announcements.values())
        return events.AnnouncementsChanged(known)

    def _tick(self, address: model.Endpoint) -> None:
        self._handle(address, events.Tick())
        self.schedule(TICK, lambda: self._tick(address))

    def send_request(self, number: int, message_id: int = 0) -> None:
        """Send a request of a caller through the entry."""
        flow = build_caller(number)
        bucket = ranking.compute_bucket(SERVICE, flow.caller)
        service = self._table.find_service(SERVICE_ADDRESS)
        agents = service.find_agents(bucket) if service is not None else ()
        if not agents:
            return
        forwarded = wire.Forwarded(
            SERVICE,
            1,
            flow,
            bucket,
            agents,
            0,
            0,
            ENTRY,
            build_request(message_id),
        )
        event = events.MessageReceived(ENTRY, forwarded)
        self.schedule(HOP_DELAY, lambda: self._handle(agents[0], event))

    def _handle(self, address: model.Endpoint, event: events.Event) -> None:
        agent = self.agents[address]
        before = agent.flow_count
        result = agent.handle(event, self.now)
        self.admitted[address] += max(agent.flow_count - before, 0)
        for action in result:
            self._perform(address, action)

    def _perform(self, address: model.Endpoint, action: events.Action) -> None:
        match action:
            case actions.SendMessage(peer, message) if peer in self.agents:
                received = typing.cast(wire.AnyMessage, message)
                event = events.MessageReceived(address, received)
                is_hint = isinstance(message, wire.LoadHint)
                delay = self._hint_delay if is_hint else HOP_DELAY
                self.schedule(delay, lambda: self._handle(peer, event))
            case actions.SendToTarget(payload):
                answer = answer_at_once(payload)
                if answer is not None:
                    datagram = events.TargetDatagram(TARGET, answer)
                    self._handle(address, datagram)
            case events.Announce(state, weight):
                self._announce(address, state, weight)

    def _announce(
        self, address: model.Endpoint, state: model.TargetState, weight: float
    ) -> None:
        number = int(address.host.rpartition(".")[2])
        name = f"target-{number}"
        known = self._announcements.get(name)
        sequence = known.sequence + 1 if known is not None else 1
        self._announcements[name] = model.TargetAnnouncement(
            SERVICE, name, number, sequence, address, "", state, weight
        )
        self._table.set_announcements(tuple(self._announcements.values()))
        event = self._read_announcements()
        for peer in self.agents:
            self.schedule(
                HOP_DELAY, functools.partial(self._handle, peer, event)
            )

    def find_first(self, number: int) -> model.Endpoint:
        """Return the first agent of a caller's list."""
        bucket = ranking.compute_bucket(SERVICE, build_caller(number).caller)
        service = self._table.find_service(SERVICE_ADDRESS)
        agents = service.find_agents(bucket) if service is not None else ()
        return agents[0]
