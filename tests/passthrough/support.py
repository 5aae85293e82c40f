"""Fakes for the tests of passed-through flows."""

import collections
import dataclasses
import datetime

import msgspec

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import agent
from egretfork.passthrough import entry
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import reports
from egretfork.passthrough import routing
from egretfork import reasons

SERVICE = "mail"
ADDRESS = packets.ServiceAddress(0xC6120001, 443)
INTERVAL = datetime.timedelta(milliseconds=100)
TIMING = reports.ReportTiming(
    lease=datetime.timedelta(milliseconds=1800),
    interval=INTERVAL,
    retry_interval=INTERVAL,
)


def at(milliseconds: float) -> datetime.timedelta:
    """Return the time at a number of milliseconds."""
    return datetime.timedelta(milliseconds=milliseconds)


class WirePacket(msgspec.Struct, frozen=True, array_like=True):
    """Packet of the simulated network, encoded as MessagePack."""

    flow: packets.FlowKey
    kind: str = "data"
    payload_bytes: int = 0
    returned: bool = False
    acknowledged: int = 0
    tag: int = 0
    sequence: int = 0
    copy_number: int = 0


class FakeCodec:
    """Codec of the simulated network."""

    def read_from_caller(
        self, data: bytes
    ) -> packets.Packet | reasons.Failure:
        """Read a packet."""
        try:
            packet = msgspec.msgpack.decode(data, type=WirePacket)
        except msgspec.MsgspecError as error:
            return reasons.Failure("read", "", "malformed", str(error))
        return packets.Packet(
            flow=packet.flow,
            opens=packet.kind == "open",
            accepts=packet.kind == "accept",
            finishes=packet.kind == "finish",
            resets=packet.kind == "reset",
            returned=packet.returned,
            payload_bytes=packet.payload_bytes,
            acknowledged=packet.acknowledged,
            tag=packet.tag,
            data=data,
            sequence=packet.sequence,
            copy_number=packet.copy_number,
        )

    def read_from_target(
        self, data: bytes
    ) -> packets.Packet | reasons.Failure:
        """Read a packet."""
        return self.read_from_caller(data)

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Set the tag of a packet."""
        packet = msgspec.msgpack.decode(data, type=WirePacket)
        return encode(msgspec.structs.replace(packet, tag=tag))

    def restore_original(self, data: bytes) -> bytes:
        """Restore a packet to the form in which the caller sent it."""
        packet = msgspec.msgpack.decode(data, type=WirePacket)
        return encode(msgspec.structs.replace(packet, tag=0, returned=False))

    def build_reset(self, flow: packets.FlowKey, sequence: int) -> bytes:
        """Build a reset."""
        return encode(WirePacket(flow, "reset", acknowledged=sequence))


def encode(packet: WirePacket) -> bytes:
    """Encode a packet of the simulated network."""
    return msgspec.msgpack.encode(packet)


def build_flow(number: int) -> packets.FlowKey:
    """Return the key of one of many flows."""
    return packets.FlowKey(
        0x64400000 + number // 1000, number % 1000 + 1, *ADDRESS_PARTS
    )


ADDRESS_PARTS = (ADDRESS.host, ADDRESS.port)


def build_routing(
    version: int,
    service: str = SERVICE,
    previous_services: tuple[str, ...] = (),
) -> routing.Routing:
    """Return a routing with one route."""
    route = routing.Route(
        ADDRESS, (routing.Share(service, 1),), previous_services
    )
    return routing.Routing(version, (route,))


def build_report(
    sequence: int,
    *,
    identifier: str = "i-1",
    born_ms: int = 1000,
    service: str = SERVICE,
    leaving: bool = False,
    age_ms: int | None = 0,
) -> reports.TargetReport:
    """Return a report of a target, by default of one that just started."""
    return reports.TargetReport(
        identifier, born_ms, sequence, service, 2, leaving, age_ms=age_ms
    )


@dataclasses.dataclass(slots=True)
class FakeTarget:
    """Target that accepts all flows and returns packets of unknown ones."""

    held_flows: set[packets.FlowKey] = dataclasses.field(default_factory=set)
    received: list[WirePacket] = dataclasses.field(default_factory=list)
    full: bool = False
    silent: bool = False

    def receive(self, data: bytes) -> bytes | None:
        """Process a packet and return the target's response, if any."""
        packet = msgspec.msgpack.decode(data, type=WirePacket)
        self.received.append(packet)
        if packet.kind == "open" and not self.full:
            self.held_flows.add(packet.flow)
            return encode(WirePacket(packet.flow, "accept"))
        if packet.flow not in self.held_flows:
            return encode(msgspec.structs.replace(packet, returned=True))
        if packet.payload_bytes and not self.silent:
            return encode(WirePacket(packet.flow, "data", 500))
        return None


class Network:
    """Simulated network of entries and agents without delay.

    Attributes:
        to_callers: packets that reached callers, in order.
        unreachable: addresses whose messages are lost in both directions.
        lost_types: types of messages that are lost.
        sent: number of messages that were sent, by type.
        sequences: number of reports of each target since its start.
    """

    def __init__(
        self,
        services: tuple[str, ...],
        entry_count: int,
    ) -> None:
        self.now = at(0)
        self.entries = [self._build_entry() for _ in range(entry_count)]
        self.agents: dict[int, agent.AgentCore] = {}
        self.services = services
        self.targets = [FakeTarget() for _ in services]
        self._routing = routing.Routing()
        self.to_callers: list[WirePacket] = []
        self.unreachable: set[model.Endpoint] = set()
        self.lost_types: set[type] = set()
        self.sent: collections.Counter[type] = collections.Counter()
        self.sequences: collections.Counter[int] = collections.Counter()
        for number in range(len(services)):
            self.restart_agent(number)

    def _build_entry(self) -> entry.EntryCore:
        return entry.EntryCore("zone-a", FakeCodec(), self.now)

    def restart_agent(self, number: int, clock_ms: int = 0) -> None:
        """Start an agent process without state; the target keeps running.

        Args:
            clock_ms: offset of the agent's wall clock.
        """
        started_ms = int(self.now / at(1)) + clock_ms
        identity = agent.AgentIdentity(f"agent-{number}", "zone-a", started_ms)
        core = agent.AgentCore(identity, FakeCodec(), TIMING, self.now)
        self.agents[number] = core
        self.publish_entries(number)

    def publish_entries(self, number: int) -> None:
        """Pass the addresses of all entries to an agent."""
        addresses = tuple(entry_address(i) for i in range(len(self.entries)))
        requested_actions = self.agents[number].handle_entries(
            addresses, self.now
        )
        self.execute(requested_actions, agent_address(number))

    def stop_agent(self, number: int) -> None:
        """Stop an agent permanently."""
        requested_actions = self.agents[number].handle_stop(self.now)
        self.execute(requested_actions, agent_address(number))
        del self.agents[number]

    def report(
        self,
        number: int,
        *,
        leaving: bool = False,
        age_ms: int | None = None,
    ) -> None:
        """Send a report of a target to its agent."""
        self.sequences[number] += 1
        report = build_report(
            self.sequences[number],
            identifier=f"i-{number}",
            service=self.services[number],
            leaving=leaving,
            age_ms=age_ms,
        )
        requested_actions = self.agents[number].handle_report(report, self.now)
        self.execute(requested_actions, agent_address(number))

    def advance(self, milliseconds: float, *, reports: bool = True) -> None:
        """Advance the time, with reports and ticks every 100 ms."""
        for _ in range(int(milliseconds // 100)):
            self.now += at(100)
            for number in self.agents:
                if reports:
                    self.report(number)
            self._tick()

    def route(self, newest: routing.Routing) -> None:
        """Apply a routing on all entries."""
        self._routing = newest
        for core in self.entries:
            core.handle_routing(newest, self.now)

    def add_entry(self) -> None:
        """Start another entry that no agent knows."""
        core = self._build_entry()
        core.handle_routing(self._routing, self.now)
        self.entries.append(core)

    def send(self, number: int, packet: WirePacket) -> None:
        """Deliver a caller's packet to an entry."""
        requested_actions = self.entries[number].handle_packet(
            encode(packet), self.now
        )
        self.execute(requested_actions, entry_address(number))

    def reset_from_target(self, number: int, flow: packets.FlowKey) -> None:
        """Send a reset of a flow from a target."""
        reset = encode(WirePacket(flow, "reset"))
        core = self.agents[number]
        requested_actions = core.handle_target_packet(reset, self.now)
        self.execute(list(requested_actions), agent_address(number))

    def list_holders(self, flow: packets.FlowKey) -> list[int]:
        """Return the targets that hold a flow."""
        return [
            number
            for number, fake_target in enumerate(self.targets)
            if flow in fake_target.held_flows
        ]

    def _tick(self) -> None:
        for number, core in self.agents.items():
            requested_actions = core.handle_tick(self.now)
            self.execute(requested_actions, agent_address(number))
        for number, entry_core in enumerate(self.entries):
            requested_actions = entry_core.handle_tick(self.now)
            self.execute(requested_actions, entry_address(number))

    def execute(
        self, requested_actions: list[actions.Action], source: model.Endpoint
    ) -> None:
        """Execute the actions of the core at an address."""
        for action in requested_actions:
            match action:
                case actions.SendMessage():
                    self._deliver_message(action, source)
                case actions.SendToCaller():
                    packet = msgspec.msgpack.decode(
                        action.data, type=WirePacket
                    )
                    self.to_callers.append(packet)
                case actions.SendToTarget():
                    self._deliver_to_target(action, source)

    def _deliver_message(
        self, action: actions.SendMessage, source: model.Endpoint
    ) -> None:
        if {action.peer, source} & self.unreachable:
            return
        self.sent[type(action.message)] += 1
        if type(action.message) in self.lost_types:
            return
        decoded = messages.decode(messages.encode(action.message), "")
        assert not isinstance(decoded, reasons.Failure)
        number = action.peer.port
        if action.peer.host == AGENT_HOST and number not in self.agents:
            return
        core: agent.AgentCore | entry.EntryCore = (
            self.entries[number - FIRST_ENTRY_PORT]
            if action.peer.host == ENTRY_HOST
            else self.agents[number]
        )
        result = core.handle_message(decoded, source, self.now)
        self.execute(list(result), action.peer)

    def _deliver_to_target(
        self, action: actions.SendToTarget, source: model.Endpoint
    ) -> None:
        response = self.targets[source.port].receive(action.data)
        if response is not None:
            core = self.agents[source.port]
            requested_actions = core.handle_target_packet(response, self.now)
            self.execute(list(requested_actions), source)


ENTRY_HOST = "10.0.0.1"
AGENT_HOST = "10.0.0.2"
# Port 0 means that no entry is known.
FIRST_ENTRY_PORT = 1


def entry_address(number: int) -> model.Endpoint:
    """Return the address of an entry."""
    return model.Endpoint(ENTRY_HOST, FIRST_ENTRY_PORT + number)


def agent_address(number: int) -> model.Endpoint:
    """Return the address of an agent."""
    return model.Endpoint(AGENT_HOST, number)
