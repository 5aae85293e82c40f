"""Stand-ins for the tests of passed-through flows."""

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
from egretfork.passthrough import routing
from egretfork.passthrough import target
from egretfork import reasons

SERVICE = "mail"
ADDRESS = packets.ServiceAddress(0xC6120001, 443)
LEASE = datetime.timedelta(milliseconds=1800)


def at(milliseconds: float) -> datetime.timedelta:
    """Return an instant."""
    return datetime.timedelta(milliseconds=milliseconds)


class WirePacket(msgspec.Struct, frozen=True, array_like=True):
    """Packet of a made-up network, encoded as MessagePack."""

    flow: packets.FlowKey
    kind: str = "data"
    payload_bytes: int = 0
    returned: bool = False
    acknowledged: int = 0
    tag: int = 0


class FakeCodec:
    """Codec of the made-up network."""

    def read_from_caller(
        self, data: bytes
    ) -> packets.Packet | reasons.Failure:
        """Read a packet."""
        try:
            read = msgspec.msgpack.decode(data, type=WirePacket)
        except msgspec.MsgspecError as error:
            return reasons.Failure("read", "", "malformed", str(error))
        return packets.Packet(
            flow=read.flow,
            opens=read.kind == "open",
            accepts=read.kind == "accept",
            finishes=read.kind == "finish",
            resets=read.kind == "reset",
            returned=read.returned,
            payload_bytes=read.payload_bytes,
            acknowledged=read.acknowledged,
            tag=read.tag,
            data=data,
        )

    def read_from_target(
        self, data: bytes
    ) -> packets.Packet | reasons.Failure:
        """Read a packet."""
        return self.read_from_caller(data)

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Return a packet with a tag."""
        read = msgspec.msgpack.decode(data, type=WirePacket)
        return encode(msgspec.structs.replace(read, tag=tag))

    def restore(self, data: bytes) -> bytes:
        """Return a packet as its caller wrote it."""
        read = msgspec.msgpack.decode(data, type=WirePacket)
        return encode(msgspec.structs.replace(read, tag=0, returned=False))

    def build_reset(self, flow: packets.FlowKey, sequence: int) -> bytes:
        """Return a reset."""
        return encode(WirePacket(flow, "reset", acknowledged=sequence))


def encode(packet: WirePacket) -> bytes:
    """Encode a packet of the made-up network."""
    return msgspec.msgpack.encode(packet)


def build_flow(number: int) -> packets.FlowKey:
    """Return the key of one of many flows."""
    return packets.FlowKey(
        0x64400000 + number // 1000, number % 1000 + 1, *ADDRESS_PARTS
    )


ADDRESS_PARTS = (ADDRESS.host, ADDRESS.port)


def build_routing(
    version: int, service: str = SERVICE, earlier: tuple[str, ...] = ()
) -> routing.Routing:
    """Return a routing with one route."""
    route = routing.Route(ADDRESS, (routing.Share(service, 1),), earlier)
    return routing.Routing(version, (route,))


def build_report(
    sequence: int,
    *,
    identifier: str = "i-1",
    born_ms: int = 1000,
    service: str = SERVICE,
    leaving: bool = False,
) -> target.Report:
    """Return a report of a target."""
    return target.Report(identifier, born_ms, sequence, service, 2, leaving)


@dataclasses.dataclass(slots=True)
class FakeTarget:
    """Target that accepts every flow and returns packets of others."""

    held: set[packets.FlowKey] = dataclasses.field(default_factory=set)
    taken: list[WirePacket] = dataclasses.field(default_factory=list)
    full: bool = False
    silent: bool = False

    def receive(self, data: bytes) -> bytes | None:
        """Take a packet; return what the target sends in response."""
        packet = msgspec.msgpack.decode(data, type=WirePacket)
        self.taken.append(packet)
        if packet.kind == "open" and not self.full:
            self.held.add(packet.flow)
            return encode(WirePacket(packet.flow, "accept"))
        if packet.flow not in self.held:
            return encode(msgspec.structs.replace(packet, returned=True))
        if packet.payload_bytes and not self.silent:
            return encode(WirePacket(packet.flow, "data", 500))
        return None


class Network:
    """Entries and agents that exchange messages without delay or loss.

    Attributes:
        to_callers: packets that reached callers, by flow.
        unreachable: addresses whose messages are lost.
        lost: types of messages that are lost.
        sent: messages that were sent, by type.
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
        self.lost: set[type] = set()
        self.sent: collections.Counter[type] = collections.Counter()
        self._sequence = 0
        for number in range(len(services)):
            self.restart_agent(number)

    def _build_entry(self) -> entry.EntryCore:
        return entry.EntryCore("zone-a", FakeCodec(), self.now)

    def restart_agent(self, number: int, clock_ms: int = 0) -> None:
        """Start an agent that knows nothing, beside its old target.

        Args:
            clock_ms: by how much its wall clock is off.
        """
        started_ms = int(self.now / at(1)) + clock_ms
        identity = agent.AgentIdentity(f"agent-{number}", "zone-a", started_ms)
        core = agent.AgentCore(identity, FakeCodec(), LEASE, self.now)
        self.agents[number] = core
        self.list_entries(number)

    def list_entries(self, number: int) -> None:
        """Tell an agent of all entries."""
        addresses = tuple(entry_address(i) for i in range(len(self.entries)))
        wanted = self.agents[number].handle_entries(addresses, self.now)
        self.carry_out(wanted, agent_address(number))

    def stop_agent(self, number: int) -> None:
        """Stop an agent for good."""
        wanted = self.agents[number].handle_stop(self.now)
        self.carry_out(wanted, agent_address(number))
        del self.agents[number]

    def report(self, number: int, *, leaving: bool = False) -> None:
        """Let a target report to its agent."""
        self._sequence += 1
        report = build_report(
            self._sequence,
            identifier=f"i-{number}",
            service=self.services[number],
            leaving=leaving,
        )
        wanted = self.agents[number].handle_report(report, self.now)
        self.carry_out(wanted, agent_address(number))

    def advance(self, milliseconds: float, *, reports: bool = True) -> None:
        """Let time pass with reports and ticks each 100 ms."""
        for _ in range(int(milliseconds // 100)):
            self.now += at(100)
            for number in self.agents:
                if reports:
                    self.report(number)
            self._tick()

    def route(self, newest: routing.Routing) -> None:
        """Put a routing in force on all entries."""
        self._routing = newest
        for core in self.entries:
            core.handle_routing(newest, self.now)

    def add_entry(self) -> None:
        """Start another entry, which no agent has heard of."""
        core = self._build_entry()
        core.handle_routing(self._routing, self.now)
        self.entries.append(core)

    def send(self, number: int, packet: WirePacket) -> None:
        """Let a caller's packet arrive at an entry."""
        wanted = self.entries[number].handle_packet(encode(packet), self.now)
        self.carry_out(wanted, entry_address(number))

    def break_off(self, number: int, flow: packets.FlowKey) -> None:
        """Let a target reset a flow."""
        reset = encode(WirePacket(flow, "reset"))
        core = self.agents[number]
        wanted = core.handle_target_packet(reset, self.now)
        self.carry_out(list(wanted), agent_address(number))

    def list_holders(self, flow: packets.FlowKey) -> list[int]:
        """Return the targets that hold a flow."""
        return [
            number
            for number, held in enumerate(self.targets)
            if flow in held.held
        ]

    def _tick(self) -> None:
        for number, core in self.agents.items():
            wanted = core.handle_tick(self.now)
            self.carry_out(wanted, agent_address(number))
        for number, entry_core in enumerate(self.entries):
            wanted = entry_core.handle_tick(self.now)
            self.carry_out(wanted, entry_address(number))

    def carry_out(
        self, wanted: list[actions.Action], source: model.Endpoint
    ) -> None:
        """Carry out the actions of the core at an address."""
        for action in wanted:
            match action:
                case actions.SendMessage():
                    self._pass_message(action, source)
                case actions.SendToCaller():
                    read = msgspec.msgpack.decode(action.data, type=WirePacket)
                    self.to_callers.append(read)
                case actions.SendToTarget():
                    self._pass_to_target(action, source)

    def _pass_message(
        self, action: actions.SendMessage, source: model.Endpoint
    ) -> None:
        if {action.peer, source} & self.unreachable:
            return
        self.sent[type(action.message)] += 1
        if type(action.message) in self.lost:
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
        self.carry_out(list(result), action.peer)

    def _pass_to_target(
        self, action: actions.SendToTarget, source: model.Endpoint
    ) -> None:
        answer = self.targets[source.port].receive(action.data)
        if answer is not None:
            core = self.agents[source.port]
            wanted = core.handle_target_packet(answer, self.now)
            self.carry_out(list(wanted), source)


ENTRY_HOST = "10.0.0.1"
AGENT_HOST = "10.0.0.2"
# Port 0 stands for no entry.
FIRST_ENTRY_PORT = 1


def entry_address(number: int) -> model.Endpoint:
    """Return the address of an entry."""
    return model.Endpoint(ENTRY_HOST, FIRST_ENTRY_PORT + number)


def agent_address(number: int) -> model.Endpoint:
    """Return the address of an agent."""
    return model.Endpoint(AGENT_HOST, number)
