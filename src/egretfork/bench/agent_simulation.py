"""Discrete-event simulation of the agent cores of one service."""

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
from egretfork.agent import status as status_module
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork.routing import ranking
from egretfork.routing import table
from egretfork import wire

SERVICE = "bench"
SERVICE_ADDRESS = model.Endpoint("10.255.0.1", 5683)
ENTRY_ADDRESS = model.Endpoint("10.255.1.1", 7000)
TARGET_ADDRESS = model.Endpoint("127.0.0.1", 5683)
TICK_INTERVAL = datetime.timedelta(milliseconds=20)
HOP_DELAY = datetime.timedelta(milliseconds=4)
HEALTHY_PAYLOAD = b'{"state": "ready", "slots_used": 0}'

Callback = collections.abc.Callable[[], None]


def build_request(number: int) -> bytes:
    """Build a confirmable GET request with a message ID."""
    message = aiocoap.Message(
        mtype=types.CON,
        mid=number % 65_536,
        code=codes.GET,
        token=b"\x01",
        uri_path=("checkins",),
    )
    return coap.encode(message)


def build_flow_key(number: int) -> wire.FlowKey:
    """Return a distinct flow key for each number."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    caller = model.Endpoint(host, 1024 + (number >> 24))
    return wire.FlowKey(caller, SERVICE_ADDRESS)


def build_target_answer(payload: bytes) -> bytes | None:
    """Return the immediate answer of an idle target, if there is one."""
    request = coap.decode(payload, "agent")
    if isinstance(request, reasons.Failure):
        return None
    if coap.classify(request) is not coap.MessageKind.REQUEST:
        return None
    is_probe = request.opt.uri_path == ("health",)
    content = HEALTHY_PAYLOAD if is_probe else b"done"
    return coap.encode(coap.build_response(request, codes.CONTENT, content))


class AgentSimulation:
    """Agents of one service, one entry, and the network between them.

    Args:
        seed: seed of all random generators.
        hint_delay: network delay of a load hint.
        idle_timeout: time after which an idle flow is removed.
        cold_start_ms: time over which the weight of a new target ramps up.
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
        self.accepted_counts: dict[model.Endpoint, int] = {}
        self._hint_delay = hint_delay
        self._idle_timeout = idle_timeout
        self._queue: list[tuple[datetime.timedelta, int, Callback]] = []
        self._sequence = itertools.count()
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
        """Schedule a callback after a delay."""
        entry = (self.now + delay, next(self._sequence), callback)
        heapq.heappush(self._queue, entry)

    def run(self, span: datetime.timedelta) -> None:
        """Advance the virtual time by a span."""
        end = self.now + span
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = end

    def add_agent(self) -> model.Endpoint:
        """Start another agent, whose target is ready."""
        number = len(self.agents) + 1
        address = model.Endpoint(f"10.254.0.{number}", 7100)
        status = status_module.AgentStatus(
            identity=model.AgentIdentity(f"target-{number}", number),
            address=address,
            service_name=SERVICE,
        )
        agent = core.AgentCore(
            status,
            TARGET_ADDRESS,
            random.Random(self.generator.random()),
            0,
            self._idle_timeout,
        )
        self.agents[address] = agent
        self.accepted_counts[address] = 0
        configuration = events.ConfigurationChanged(self._configuration)
        self._handle(address, configuration)
        self._handle(address, self._build_announcements_event())
        self._tick(address)
        return address

    def _build_announcements_event(self) -> events.AnnouncementsChanged:
        known = tuple(self._announcements.values())
        return events.AnnouncementsChanged(known)

    def _tick(self, address: model.Endpoint) -> None:
        self._handle(address, events.Tick())
        self.schedule(TICK_INTERVAL, lambda: self._tick(address))

    def send_request(self, number: int, message_id: int = 0) -> None:
        """Forward a request of a flow through the entry."""
        flow = build_flow_key(number)
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
            ENTRY_ADDRESS,
            build_request(message_id),
        )
        event = events.MessageReceived(ENTRY_ADDRESS, forwarded)
        self.schedule(HOP_DELAY, lambda: self._handle(agents[0], event))

    def _handle(self, address: model.Endpoint, event: events.Event) -> None:
        agent = self.agents[address]
        before = agent.flow_count
        result = agent.handle(event, self.now)
        self.accepted_counts[address] += max(agent.flow_count - before, 0)
        for action in result:
            self._execute(address, action)

    def _execute(self, address: model.Endpoint, action: events.Action) -> None:
        match action:
            case actions.SendMessage(peer, message) if peer in self.agents:
                received = typing.cast(wire.AnyMessage, message)
                event = events.MessageReceived(address, received)
                is_hint = isinstance(message, wire.LoadHint)
                delay = self._hint_delay if is_hint else HOP_DELAY
                self.schedule(delay, lambda: self._handle(peer, event))
            case actions.SendToTarget(payload):
                answer = build_target_answer(payload)
                if answer is not None:
                    datagram = events.TargetDatagram(TARGET_ADDRESS, answer)
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
        event = self._build_announcements_event()
        for peer in self.agents:
            self.schedule(
                HOP_DELAY, functools.partial(self._handle, peer, event)
            )

    def find_preferred_agent(self, number: int) -> model.Endpoint:
        """Return the agent that is ranked first for a flow."""
        bucket = ranking.compute_bucket(SERVICE, build_flow_key(number).caller)
        service = self._table.find_service(SERVICE_ADDRESS)
        agents = service.find_agents(bucket) if service is not None else ()
        return agents[0]
