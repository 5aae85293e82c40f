"""I/O shells that connect the cores to sockets and clocks."""

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
from egretfork.passthrough import reports
from egretfork import prebound
from egretfork import reasons

TICK_PERIOD_S = 0.03
PROBE_TIMEOUT_S = 0.5

# Messages that control sends to nodes; all others are sent between nodes.
CONTROL_MESSAGES = (
    messages.Directory,
    messages.RoutingChunk,
    messages.Roster,
)


class NodeCore(typing.Protocol):
    """Decision logic of an entry or an agent."""

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of another node."""

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Process the passage of time."""


class NodeService(mode.Service):
    """Sockets of an entry or agent and its contact with control.

    Attributes:
        internal_socket: receives messages of other nodes and of control.
        external_socket: receives packets of callers or of the target.
    """

    output: output.ActionExecutor

    def __init__(
        self,
        internal_address: model.Endpoint,
        external_address: model.Endpoint,
        contact_core: contact.ContactCore,
        core: NodeCore,
        time_source: clock.Clock,
        registry: metrics.Metrics,
        sockets: prebound.PreboundSockets,
        *,
        paused: bool = False,
    ) -> None:
        super().__init__()
        self.contact = contact_core
        self.time_source = time_source
        self.registry = registry
        self.internal_socket = datagrams.DatagramService(
            internal_address,
            self._on_datagram,
            sockets.pop_socket(internal_address.host, internal_address.port),
        )
        self.external_socket = datagrams.DatagramService(
            external_address,
            self.on_packet,
            sockets.pop_socket(external_address.host, external_address.port),
            paused=paused,
        )
        self._core = core

    async def on_start(self) -> None:
        """Open both sockets.

        Raises:
            OSError: an address cannot be bound.
        """
        await self.add_runtime_dependency(self.internal_socket)
        await self.add_runtime_dependency(self.external_socket)

    def set_seeds(self, seeds: tuple[model.Endpoint, ...]) -> None:
        """Replace the seeds."""
        self.contact.set_seeds(seeds, self.time_source.now())

    def _on_datagram(self, data: bytes, peer: model.Endpoint) -> None:
        message = messages.decode(data, str(peer))
        now = self.time_source.now()
        if isinstance(message, reasons.Failure):
            self.registry.count(reasons.Drop.MALFORMED)
        elif isinstance(message, CONTROL_MESSAGES):
            requested_actions = self.contact.handle_message(message, peer, now)
            self.output.execute(requested_actions)
            self.apply_contact_updates()
        else:
            requested_actions = self._core.handle_message(message, peer, now)
            self.output.execute(requested_actions)

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            now = self.time_source.now()
            self.output.execute(self.contact.handle_tick(now))
            self.apply_contact_updates()
            self.output.execute(self._core.handle_tick(now))
            self.on_tick()
            await asyncio.sleep(TICK_PERIOD_S)

    def on_packet(self, data: bytes, peer: model.Endpoint) -> None:
        """Process a packet of a caller or of the target."""

    def apply_contact_updates(self) -> None:
        """Pass newly received data from control to the core."""

    def on_tick(self) -> None:
        """Perform periodic work of the subclass after the core's tick."""


class EntryService(NodeService):
    """Service of an entry for passed-through flows."""

    def __init__(
        self,
        internal_address: model.Endpoint,
        callers_address: model.Endpoint,
        contact_core: contact.ContactCore,
        core: entry.EntryCore,
        time_source: clock.Clock,
        registry: metrics.Metrics,
        sockets: prebound.PreboundSockets,
    ) -> None:
        super().__init__(
            internal_address,
            callers_address,
            contact_core,
            core,
            time_source,
            registry,
            sockets,
            paused=True,
        )
        self._entry = core
        self.output = output.ActionExecutor(
            registry,
            self.internal_socket.send,
            self.external_socket.send,
            callers_address.port,
        )
        self._draining = False

    def is_ready(self) -> bool:
        """Return whether the fabric may send packets to this entry."""
        return not self._draining and self._entry.is_ready(
            self.time_source.now()
        )

    def start_draining(self) -> None:
        """Report not ready from now on, so that packets go elsewhere."""
        self._draining = True

    def on_packet(self, data: bytes, peer: model.Endpoint) -> None:
        """Process a packet of a caller."""
        self.output.execute(
            self._entry.handle_packet(data, self.time_source.now())
        )

    def on_tick(self) -> None:
        """Start to read callers' packets once they can be forwarded."""
        if self._entry.can_read_packets(self.time_source.now()):
            self.external_socket.resume()

    def apply_contact_updates(self) -> None:
        """Pass the agent rosters and a newer routing to the core."""
        self._entry.set_rosters(self.contact.rosters)
        newest = self.contact.newest_routing
        if newest.version > self._entry.version:
            now = self.time_source.now()
            self.output.execute(self._entry.handle_routing(newest, now))


class AgentService(NodeService):
    """Service of an agent for the passed-through flows of one target."""

    def __init__(
        self,
        internal_address: model.Endpoint,
        outbound_address: model.Endpoint,
        target_address: model.Endpoint,
        caller_udp_port: int,
        contact_core: contact.ContactCore,
        core: agent.AgentCore,
        time_source: clock.Clock,
        registry: metrics.Metrics,
        sockets: prebound.PreboundSockets,
    ) -> None:
        super().__init__(
            internal_address,
            outbound_address,
            contact_core,
            core,
            time_source,
            registry,
            sockets,
        )
        self._agent = core
        self.output = output.ActionExecutor(
            registry,
            self.internal_socket.send,
            self.internal_socket.send,
            caller_udp_port,
            target_address,
            self.external_socket.send,
            self._start_probe,
        )
        self._target_address = target_address
        self._probing = False

    async def on_stop(self) -> None:
        """Announce the stop; deregister if the target has exited."""
        now = self.time_source.now()
        self.output.execute(self._agent.handle_stop(now))
        if self._agent.has_target_exited(now):
            self.output.execute(self.contact.handle_permanent_stop(now))

    def _start_probe(self) -> None:
        if not self._probing:
            self._probing = True
            self.add_future(self._probe())

    async def _probe(self) -> None:
        """Probe the target by connecting; only a refusal proves it dead."""
        try:
            listening = await _is_listening(self._target_address)
        finally:
            self._probing = False
        now = self.time_source.now()
        self.output.execute(self._agent.handle_probe(listening, now))

    def record_report(self, report: reports.TargetReport) -> None:
        """Process a report of the target."""
        now = self.time_source.now()
        self.output.execute(self._agent.handle_report(report, now))

    def set_target_service(self, service: str) -> None:
        """Set the service of the VM's target."""
        now = self.time_source.now()
        self.output.execute(self._agent.handle_service(service, now))

    def record_target_deregistration(self, identifier: str) -> None:
        """Process the deregistration of the target."""
        now = self.time_source.now()
        self.output.execute(
            self._agent.handle_target_deregistration(identifier, now)
        )

    def on_packet(self, data: bytes, peer: model.Endpoint) -> None:
        """Process a packet of the target."""
        now = self.time_source.now()
        self.output.execute(self._agent.handle_target_packet(data, now))

    def apply_contact_updates(self) -> None:
        """Pass the entries that control lists to the core."""
        now = self.time_source.now()
        entries = self.contact.entries
        self.output.execute(self._agent.handle_entries(entries, now))


async def _is_listening(address: model.Endpoint) -> bool:
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return True
    writer.close()
    return True
