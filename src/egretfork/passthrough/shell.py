"""Sockets and clocks around the cores of passed-through flows."""

import asyncio
import datetime
import typing

import mode

from egretfork import clock
from egretfork import datagrams
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import agent
from egretfork.passthrough import contact
from egretfork.passthrough import entry
from egretfork.passthrough import messages
from egretfork.passthrough import output
from egretfork.passthrough import target
from egretfork import reasons
from egretfork import udp

TICK_S = 0.03
PROBE_LIMIT_S = 0.5

# Messages that control sends to a node; all others come from nodes.
CONTROL_MESSAGES = (
    messages.Directory,
    messages.Piece,
    messages.Roster,
)


class NodeCore(typing.Protocol):
    """Decisions of an entry or of an agent."""

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of another node."""

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Let time pass."""


class NodeService(mode.Service):
    """Sockets of an entry or agent and its contact with control.

    Attributes:
        internal: for messages of other nodes and of control.
        outer: for the packets of callers or of the target.
    """

    output: output.Output

    def __init__(
        self,
        internal_address: model.Endpoint,
        outer_address: model.Endpoint,
        contact_core: contact.ContactCore,
        core: NodeCore,
        time: clock.Clock,
        registry: metrics.Metrics,
        sockets: udp.EarlySockets,
        *,
        paused: bool = False,
    ) -> None:
        super().__init__()
        self.contact = contact_core
        self.time = time
        self.registry = registry
        self.internal = datagrams.DatagramService(
            internal_address,
            self._on_datagram,
            sockets.take(internal_address.host, internal_address.port),
        )
        self.outer = datagrams.DatagramService(
            outer_address,
            self.on_packet,
            sockets.take(outer_address.host, outer_address.port),
            paused=paused,
        )
        self._core = core

    async def on_start(self) -> None:
        """Open both sockets.

        Raises:
            OSError: an address cannot be bound.
        """
        await self.add_runtime_dependency(self.internal)
        await self.add_runtime_dependency(self.outer)

    def set_seeds(self, seeds: tuple[model.Endpoint, ...]) -> None:
        """Take other seeds."""
        self.contact.set_seeds(seeds, self.time.now())

    def _on_datagram(self, data: bytes, peer: model.Endpoint) -> None:
        message = messages.decode(data, str(peer))
        now = self.time.now()
        if isinstance(message, reasons.Failure):
            self.registry.count(reasons.Drop.MALFORMED)
        elif isinstance(message, CONTROL_MESSAGES):
            wanted = self.contact.handle_message(message, peer, now)
            self.output.carry_out(wanted)
            self.follow_contact()
        else:
            wanted = self._core.handle_message(message, peer, now)
            self.output.carry_out(wanted)

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            now = self.time.now()
            self.output.carry_out(self.contact.handle_tick(now))
            self.follow_contact()
            self.output.carry_out(self._core.handle_tick(now))
            self.on_tick()
            await asyncio.sleep(TICK_S)

    def on_packet(self, data: bytes, peer: model.Endpoint) -> None:
        """Process a packet of a caller or of the target."""

    def follow_contact(self) -> None:
        """Take what the contact with control has brought."""

    def on_tick(self) -> None:
        """Do what depends on time besides the core's decisions."""


class EntryService(NodeService):
    """Entry for passed-through flows."""

    def __init__(
        self,
        internal_address: model.Endpoint,
        callers_address: model.Endpoint,
        contact_core: contact.ContactCore,
        core: entry.EntryCore,
        time: clock.Clock,
        registry: metrics.Metrics,
        sockets: udp.EarlySockets,
    ) -> None:
        super().__init__(
            internal_address,
            callers_address,
            contact_core,
            core,
            time,
            registry,
            sockets,
            paused=True,
        )
        self._entry = core
        self.output = output.Output(
            registry, self.internal.send, self.outer.send, callers_address.port
        )
        self._leaving = False

    def is_ready(self) -> bool:
        """Return whether the fabric may send packets here."""
        return not self._leaving and self._entry.is_ready(self.time.now())

    def leave(self) -> None:
        """Report from here on that packets should go elsewhere."""
        self._leaving = True

    def on_packet(self, data: bytes, peer: model.Endpoint) -> None:
        """Process a packet of a caller."""
        self.output.carry_out(self._entry.handle_packet(data, self.time.now()))

    def on_tick(self) -> None:
        """Begin to read callers' packets once they can be forwarded."""
        if self._entry.may_read(self.time.now()):
            self.outer.resume()

    def follow_contact(self) -> None:
        """Put a newer routing in force; learn which agents run."""
        self._entry.note_rosters(self.contact.rosters)
        newest = self.contact.newest
        if newest.version > self._entry.version:
            now = self.time.now()
            self.output.carry_out(self._entry.handle_routing(newest, now))


class AgentService(NodeService):
    """Agent for the passed-through flows of one target."""

    def __init__(
        self,
        internal_address: model.Endpoint,
        outbound_address: model.Endpoint,
        target_address: model.Endpoint,
        caller_port: int,
        contact_core: contact.ContactCore,
        core: agent.AgentCore,
        time: clock.Clock,
        registry: metrics.Metrics,
        sockets: udp.EarlySockets,
    ) -> None:
        super().__init__(
            internal_address,
            outbound_address,
            contact_core,
            core,
            time,
            registry,
            sockets,
        )
        self._agent = core
        self.output = output.Output(
            registry,
            self.internal.send,
            self.internal.send,
            caller_port,
            target_address,
            self.outer.send,
            self._start_probe,
        )
        self._target_address = target_address
        self._probing = False

    async def on_stop(self) -> None:
        """Tell the entries, and control if the target has ended, too."""
        now = self.time.now()
        self.output.carry_out(self._agent.handle_stop(now))
        if self._agent.is_vacant(now):
            self.output.carry_out(self.contact.handle_end(now))

    def _start_probe(self) -> None:
        if not self._probing:
            self._probing = True
            self.add_future(self._probe())

    async def _probe(self) -> None:
        """Connect to the target; only a refusal shows that it is dead."""
        try:
            listening = await _is_listening(self._target_address)
        finally:
            self._probing = False
        now = self.time.now()
        self.output.carry_out(self._agent.handle_probe(listening, now))

    def note_report(self, report: target.Report) -> None:
        """Take a report of the target."""
        now = self.time.now()
        self.output.carry_out(self._agent.handle_report(report, now))

    def note_target_end(self, identifier: str) -> None:
        """Take the end of the target."""
        now = self.time.now()
        self.output.carry_out(self._agent.handle_target_end(identifier, now))

    def on_packet(self, data: bytes, peer: model.Endpoint) -> None:
        """Process a packet of the target."""
        now = self.time.now()
        self.output.carry_out(self._agent.handle_target_packet(data, now))

    def follow_contact(self) -> None:
        """Announce to the entries that control lists."""
        now = self.time.now()
        entries = self.contact.entries
        self.output.carry_out(self._agent.handle_entries(entries, now))


async def _is_listening(address: model.Endpoint) -> bool:
    try:
        async with asyncio.timeout(PROBE_LIMIT_S):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return True
    writer.close()
    return True
