"""Simulation of agents, entries, callers and targets in one process."""

import collections
import dataclasses
import datetime
import heapq
import itertools
import json
import random
import typing
import uuid

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types
import msgspec

from egretfork import actions
from egretfork.agent import core
from egretfork.agent import events
from egretfork.agent import status as status_module
from egretfork import coap
from egretfork import model
from egretfork.routing import ranking
from egretfork.routing import table
from egretfork import wire

SERVICE = "hatlog"
SERVICE_ADDRESS = model.Endpoint("10.0.9.1", 5683)
WALL_CLOCK_ZERO_MS = 1_700_000_000_000
TICK_S = 0.05
CALLER_TIMEOUT_S = 2.0
CALLER_RETRIES = 4
RUN_QUERY = "run_ms="
HALF_SEQUENCE = 1 << 23
State = model.TargetState


def to_timedelta(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


def build_configuration(
    version: int = 1, **changes: typing.Any
) -> model.Configuration:
    fields: dict[str, typing.Any] = {
        "name": SERVICE,
        "addresses": (str(SERVICE_ADDRESS),),
        "targets": ("*",),
        "cold_start_ms": 1000,
    }
    service = model.Service(**(fields | changes))
    return model.Configuration(version, (service,))


class SimTarget:
    """Target with a health resource, an observable feed and an echo."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.state = "ready"
        self.alive = True
        self.run_s = 0.03
        self.run_count = 0
        self.answers: dict[int, bytes] = {}
        self.observers: dict[bytes, int] = {}
        self.cancelled: set[int] = set()
        self.message_id = simulation.rng.randrange(65536)

    def receive(self, data: bytes) -> None:
        message = coap.decode(data, "agent")
        assert isinstance(message, aiocoap.Message)
        kind = coap.classify(message)
        if kind is coap.MessageKind.RESET:
            self.cancelled.add(message.mid)
        if kind is not coap.MessageKind.REQUEST or not self.alive:
            return
        if message.mid in self.answers:
            if self.answers[message.mid]:
                self.send(self.answers[message.mid])
            return
        self.answers[message.mid] = b""
        self.simulation.schedule(
            self.find_delay(message), self.answer, message
        )

    def find_delay(self, message: aiocoap.Message) -> float:
        """Return the delay of an answer; record the run of a request."""
        path = message.opt.uri_path
        if path in (("health",), ("feed",)):
            return 0.001
        self.run_count += 1
        self.simulation.record_run(self.name, message)
        for query in message.opt.uri_query:
            if query.startswith(RUN_QUERY):
                return float(query.removeprefix(RUN_QUERY)) / 1000
        return self.run_s

    def answer(self, message: aiocoap.Message) -> None:
        path = message.opt.uri_path
        answer = coap.build_response(message, codes.CONTENT, message.payload)
        if path == ("health",):
            answer.payload = json.dumps({"state": self.state}).encode()
        if path == ("feed",):
            answer.payload = str(self.simulation.feed_value).encode()
            self.update_observers(message, answer)
        data = coap.encode(answer)
        self.answers[message.mid] = data
        self.send(data)

    def update_observers(
        self, message: aiocoap.Message, answer: aiocoap.Message
    ) -> None:
        if message.opt.observe == coap.OBSERVE_REGISTER:
            self.observers[message.token] = 1
            answer.opt.observe = 1
        elif message.opt.observe == coap.OBSERVE_CANCEL:
            self.observers.pop(message.token, None)

    def publish(self) -> None:
        for token, sequence in self.observers.items():
            self.observers[token] = sequence + 1
            self.message_id = (self.message_id + 1) % 65536
            message = aiocoap.Message(
                mtype=types.NON,
                mid=self.message_id,
                token=token,
                code=codes.CONTENT,
                payload=str(self.simulation.feed_value).encode(),
                observe=sequence + 1,
            )
            self.send(coap.encode(message))

    def send(self, data: bytes) -> None:
        if self.alive:
            self.simulation.schedule(
                0.0005, self.simulation.deliver_to_agent, self.name, data
            )


@dataclasses.dataclass
class Node:
    """An agent and its target."""

    name: str
    core: core.AgentCore
    status: status_module.AgentStatus
    target: SimTarget
    endpoint: model.Endpoint
    alive: bool = True
    sequence: int = 0
    snapshot: int = 0


@dataclasses.dataclass
class Entry:
    """An entry, reduced to its routing table and address."""

    endpoint: model.Endpoint
    table: table.RoutingTable
    alive: bool = True
    snapshot: int = 0


@dataclasses.dataclass
class Exchange:
    """A caller's request and the answers to it."""

    payload: bytes
    data: bytes
    message_id: int
    transmissions: int = 0
    acknowledged: bool = False
    started_s: float = 0.0
    answered_s: float | None = None
    answers: list[aiocoap.Message] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Observation:
    """A caller's observation."""

    sequence: int = -1
    received_s: float = 0.0
    value: int = -1
    ended: bool = False


class Caller:
    """CoAP client with retransmission and observations (RFC 7641)."""

    def __init__(self, simulation: "Simulation", number: int) -> None:
        self.simulation = simulation
        host = f"10.{1 + number // 62500}.{number // 250 % 250}.{number % 250}"
        self.endpoint = model.Endpoint(host, 40_000)
        self.flow = wire.FlowKey(self.endpoint, SERVICE_ADDRESS)
        self.bucket = ranking.compute_bucket(SERVICE, self.endpoint)
        self.exchanges: dict[bytes, Exchange] = {}
        self.observations: dict[bytes, Observation] = {}
        self.message_id = simulation.rng.randrange(65536)
        self.request_numbers = itertools.count(1)
        self.seen_message_ids: set[int] = set()

    def request(
        self,
        code: codes.Code = codes.GET,
        key: bytes = b"",
        deadline_ms: int = 0,
        **options: object,
    ) -> Exchange:
        number = next(self.request_numbers)
        token = number.to_bytes(3, "big")
        payload = f"{self.endpoint.host} {number}".encode()
        self.message_id = (self.message_id + 1) % 65536
        message = aiocoap.Message(
            mtype=types.CON,
            mid=self.message_id,
            token=token,
            code=code,
            payload=payload,
            **({"uri_path": ("echo",)} | options),
        )
        if code in coap.NON_IDEMPOTENT_CODES:
            key = key or self.simulation.make_request_key()
            coap.set_opaque_option(message, coap.REQUEST_KEY, key)
        if deadline_ms:
            coap.set_uint_option(message, coap.DEADLINE_MS, deadline_ms)
        exchange = Exchange(payload, coap.encode(message), message.mid)
        exchange.started_s = self.simulation.now_s
        self.exchanges[token] = exchange
        self.transmit(exchange, CALLER_TIMEOUT_S)
        return exchange

    def observe(self) -> Observation:
        exchange = self.request(uri_path=("feed",), observe=0)
        observation = Observation()
        token = next(t for t, e in self.exchanges.items() if e is exchange)
        self.observations[token] = observation
        return observation

    def transmit(self, exchange: Exchange, timeout_s: float) -> None:
        if exchange.answers or exchange.acknowledged:
            return
        if exchange.transmissions > CALLER_RETRIES:
            return
        exchange.transmissions += 1
        self.simulation.send_from_caller(self, exchange.data)
        self.simulation.schedule(
            timeout_s, self.transmit, exchange, timeout_s * 2
        )

    def receive(self, data: bytes) -> None:
        message = coap.decode(data, "service")
        assert isinstance(message, aiocoap.Message)
        kind = coap.classify(message)
        if kind is coap.MessageKind.EMPTY_ACK:
            for exchange in self.exchanges.values():
                if exchange.message_id == message.mid:
                    exchange.acknowledged = True
        if kind is not coap.MessageKind.RESPONSE:
            return
        if message.mtype is types.CON:
            # RFC 7252 section 4.2: a duplicate is acknowledged and ignored.
            is_new = message.mid not in self.seen_message_ids
            self.seen_message_ids.add(message.mid)
            ack = coap.encode(coap.build_empty_message(types.ACK, message.mid))
            self.simulation.send_from_caller(self, ack)
            if not is_new:
                return
        exchange = self.exchanges[message.token]
        exchange.answers.append(message)
        if exchange.answered_s is None:
            exchange.answered_s = self.simulation.now_s
        observation = self.observations.get(message.token)
        if observation is not None:
            self.update_observation(observation, message)

    def update_observation(
        self, observation: Observation, message: aiocoap.Message
    ) -> None:
        sequence = message.opt.observe
        if sequence is None:
            observation.ended = True
            return
        last, now = observation.sequence, self.simulation.now_s
        fresh = last < 0 or now > observation.received_s + 128
        fresh = fresh or 0 < (sequence - last) % (1 << 24) < HALF_SEQUENCE
        if fresh:
            observation.sequence, observation.received_s = sequence, now
            observation.value = int(message.payload)


class Simulation:
    """Deterministic simulation in virtual time, driven by one seed."""

    def __init__(
        self,
        seed: int = 1,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay_s: tuple[float, float] = (0.001, 0.005),
        configuration: model.Configuration | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.delay_s = delay_s
        self.configuration = configuration or build_configuration()
        self.now_s = 0.0
        self.event_heap: list[
            tuple[float, int, typing.Any, tuple[object, ...]]
        ] = []
        self.event_numbers = itertools.count()
        self.nodes: dict[str, Node] = {}
        self.by_endpoint: dict[model.Endpoint, Node] = {}
        self.entries: list[Entry] = []
        self.callers: dict[model.Endpoint, Caller] = {}
        self.announcements: dict[str, model.TargetAnnouncement] = {}
        self.gossip_delay_s = (0.0, 0.0)
        self.runs: collections.Counter[bytes] = collections.Counter()
        self.foreign_requests: list[bytes] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()
        self.feed_value = 0
        self.incarnation = 1000
        self.key_numbers = itertools.count()
        self.snapshot_numbers = itertools.count(1)

    def schedule(
        self, delay_s: float, call: typing.Any, *rest: object
    ) -> None:
        due = self.now_s + delay_s
        heapq.heappush(
            self.event_heap, (due, next(self.event_numbers), call, rest)
        )

    def run(self, seconds: float) -> None:
        end = self.now_s + seconds
        while self.event_heap and self.event_heap[0][0] <= end:
            self.now_s, _, call, rest = heapq.heappop(self.event_heap)
            call(*rest)
        self.now_s = end

    def add_entry(self) -> Entry:
        endpoint = model.Endpoint(f"10.0.1.{len(self.entries) + 1}", 7000)
        entry = Entry(endpoint, table.RoutingTable())
        entry.table.set_configuration(self.configuration)
        entry.table.set_announcements(tuple(self.announcements.values()))
        self.entries.append(entry)
        return entry

    def add_agent(self, name: str, weight: float = 1.0) -> Node:
        earlier = self.nodes.get(name)
        number = len(self.by_endpoint) + 1
        endpoint = model.Endpoint(
            f"10.0.{2 + number // 250}.{number % 250}", 7100
        )
        if earlier is not None:
            endpoint = earlier.endpoint
        self.incarnation += 1
        status = status_module.AgentStatus(
            identity=model.AgentIdentity(name, self.incarnation),
            address=endpoint,
            service_name=SERVICE,
            availability_zone="luzon-a",
            weight=weight,
        )
        agent = core.AgentCore(
            status,
            model.Endpoint("10.0.8.1", 5683),
            random.Random(self.rng.random()),
            WALL_CLOCK_ZERO_MS,
        )
        target = SimTarget(self, name)
        node = Node(name, agent, status, target, endpoint)
        self.nodes[name] = node
        self.by_endpoint[endpoint] = node
        self.handle(node, events.ConfigurationChanged(self.configuration))
        known = tuple(self.announcements.values())
        self.handle(node, events.AnnouncementsChanged(known))
        self.tick(node)
        return node

    def add_caller(self) -> Caller:
        caller = Caller(self, len(self.callers))
        self.callers[caller.endpoint] = caller
        return caller

    def stop(self, node: Node) -> None:
        """Stop an agent in an orderly way, as the shell does."""
        self.handle(node, events.StopRequested())
        self.schedule(1.0, self.finish_stop, node)

    def finish_stop(self, node: Node) -> None:
        if not node.alive:
            return
        if not node.core.is_idle:
            self.schedule(0.1, self.finish_stop, node)
            return
        node.alive = False
        self.announce(node, State.LEFT)

    def crash(self, node: Node) -> None:
        """Crash an agent and its target; others detect it later."""
        node.alive = node.target.alive = False
        self.schedule(2.0, self.announce_failure, node, State.SUSPECT)
        self.schedule(7.0, self.announce_failure, node, State.LEFT)

    def announce_failure(self, node: Node, state: State) -> None:
        if self.nodes[node.name] is node:
            self.announce(node, state)

    def find_ready_nodes(self) -> list[Node]:
        """Return the agents that are ready and not leaving."""
        return [
            node
            for node in self.nodes.values()
            if node.alive
            and not node.status.is_leaving
            and node.target.state == "ready"
            and self.announcements[node.name].state is State.READY
        ]

    def announce(self, node: Node, state: State) -> None:
        node.sequence += 1
        identity = node.status.identity
        self.announcements[node.name] = model.TargetAnnouncement(
            SERVICE,
            node.name,
            identity.incarnation,
            node.sequence,
            node.endpoint,
            "luzon-a",
            state,
            node.status.weight,
        )
        self.gossip_announcements()

    def gossip_announcements(self) -> None:
        current = tuple(
            item
            for item in self.announcements.values()
            if item.state is not State.LEFT
        )
        number = next(self.snapshot_numbers)
        for member in (*self.entries, *self.nodes.values()):
            delay = self.rng.uniform(*self.gossip_delay_s)
            self.schedule(
                delay, self.apply_announcements, member, number, current
            )

    def apply_announcements(
        self,
        member: Entry | Node,
        number: int,
        known: tuple[model.TargetAnnouncement, ...],
    ) -> None:
        if number < member.snapshot:
            # Gossip delivers only the newest announcement of each target.
            return
        member.snapshot = number
        if isinstance(member, Entry):
            member.table.set_announcements(known)
        else:
            self.handle(member, events.AnnouncementsChanged(known))

    def form_record_group(self) -> None:
        """Configure a record group of three agents, as control does."""
        ready = [
            model.AgentIdentity(item.agent, item.incarnation)
            for item in self.announcements.values()
            if item.state is State.READY
        ]
        groups = self.configuration.record_groups
        previous = groups[0].members if groups else ()
        epoch = groups[0].epoch + 1 if groups else 1
        members = [item for item in previous if item in ready]
        members += [item for item in ready if item not in members]
        if tuple(members[:3]) == previous:
            return
        group = model.RecordGroup(SERVICE, epoch, tuple(members[:3]), previous)
        self.configure(
            msgspec.structs.replace(
                self.configuration,
                record_groups=(group,),
                record_revision=epoch,
            )
        )

    def configure(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        for entry in self.entries:
            entry.table.set_configuration(configuration)
        for node in self.nodes.values():
            self.handle(node, events.ConfigurationChanged(configuration))

    def send_background_requests(self) -> None:
        """Send requests of two callers so that agents learn of entries."""
        for caller in itertools.islice(self.callers.values(), 2):
            caller.request()
        self.schedule(1.0, self.send_background_requests)

    def tick(self, node: Node) -> None:
        if node.alive and self.by_endpoint[node.endpoint] is node:
            self.handle(node, events.Tick())
            self.schedule(TICK_S, self.tick, node)

    def handle(self, node: Node, event: events.Event) -> None:
        if not node.alive:
            return
        for action in node.core.handle(event, to_timedelta(self.now_s)):
            self.perform(node, action)

    def perform(self, node: Node, action: events.Action) -> None:
        match action:
            case actions.SendMessage(peer, message):
                self.sent[type(message).__name__] += 1
                self.transmit(self.deliver, node, peer, wire.encode(message))
            case actions.SendToTarget(payload, None):
                self.schedule(0.0005, node.target.receive, payload)
            case actions.CountReason(reason):
                self.counts[reason.value] += 1
            case events.Announce(state, _):
                self.announce(node, state)

    def transmit(self, call: typing.Any, *rest: object) -> None:
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self.schedule(self.rng.uniform(*self.delay_s), call, *rest)

    def deliver(self, sender: Node, peer: model.Endpoint, data: bytes) -> None:
        message = wire.decode(data, "peer")
        assert isinstance(message, wire.Message), message
        if isinstance(message, wire.Returned):
            entry = next(e for e in self.entries if e.endpoint == peer)
            caller = self.callers.get(message.flow.caller)
            if entry.alive and caller is not None:
                self.transmit(caller.receive, message.payload)
            return
        node = self.by_endpoint.get(peer)
        if node is not None:
            event = events.MessageReceived(sender.endpoint, message)
            self.handle(node, event)

    def deliver_to_agent(self, name: str, data: bytes) -> None:
        node = self.nodes[name]
        source = model.Endpoint("10.0.8.1", 5683)
        self.handle(node, events.TargetDatagram(source, data))

    def send_from_caller(self, caller: Caller, data: bytes) -> None:
        entries = [entry for entry in self.entries if entry.alive]
        self.transmit(self.forward, self.rng.choice(entries), caller, data)

    def forward(self, entry: Entry, caller: Caller, data: bytes) -> None:
        service = entry.table.find_service(SERVICE_ADDRESS)
        agents = service.find_agents(caller.bucket) if service else ()
        if not agents or not entry.alive:
            return
        message = wire.Forwarded(
            SERVICE,
            self.configuration.version,
            caller.flow,
            caller.bucket,
            agents,
            0,
            0,
            entry.endpoint,
            data,
        )
        self.transmit(
            self.deliver_forwarded, agents[0], wire.encode(message), entry
        )

    def deliver_forwarded(
        self, peer: model.Endpoint, data: bytes, entry: Entry
    ) -> None:
        node = self.by_endpoint[peer]
        message = wire.decode(data, "entry")
        assert isinstance(message, wire.Forwarded)
        self.handle(node, events.MessageReceived(entry.endpoint, message))

    def make_request_key(self) -> bytes:
        made_ms = WALL_CLOCK_ZERO_MS + int(self.now_s * 1000)
        number = next(self.key_numbers)
        value = made_ms << 80 | 7 << 76 | 2 << 62 | number
        return uuid.UUID(int=value).bytes

    def record_run(self, target: str, message: aiocoap.Message) -> None:
        if message.code in coap.NON_IDEMPOTENT_CODES:
            self.runs[message.payload] += 1
        if message.opt.uri_host not in (None, SERVICE):
            self.foreign_requests.append(message.payload)

    def publish(self) -> None:
        self.feed_value += 1
        for node in self.nodes.values():
            node.target.publish()

    def list_agents(self, caller: Caller) -> tuple[model.Endpoint, ...]:
        """Return the agents to which an entry forwards for a caller."""
        service = self.entries[0].table.find_service(SERVICE_ADDRESS)
        assert service is not None
        return service.find_agents(caller.bucket)

    def count_flows(self) -> dict[str, int]:
        return {
            name: node.core.flow_count
            for name, node in self.nodes.items()
            if node.alive
        }
