"""Sockets and clocks around the cores of passed-through flows."""

import asyncio
import collections.abc
import ipaddress
import logging

import mode

from egretfork import actions as common
from egretfork import clock
from egretfork import datagrams
from egretfork import eventlog
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import agent
from egretfork.passthrough import contact
from egretfork.passthrough import entry
from egretfork.passthrough import messages
from egretfork.passthrough import target
from egretfork import reasons

LOGGER = logging.getLogger(__name__)

TICK_S = 0.03
PROBE_LIMIT_S = 0.5

# Messages that control sends to a node; all others come from nodes.
CONTROL_MESSAGES = (messages.Directory, messages.Piece)

Send = collections.abc.Callable[[bytes, model.Endpoint], None]


class Output:
    """Carries out the actions of a core.

    Attributes:
        caller_port: UDP port at which every caller receives.
    """

    def __init__(
        self,
        registry: metrics.Metrics,
        send_message: Send,
        send_to_caller: Send,
        caller_port: int,
        target_address: model.Endpoint | None = None,
        send_to_target: Send | None = None,
        probe_target: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._registry = registry
        self._send_message = send_message
        self._send_to_caller = send_to_caller
        self._caller_port = caller_port
        self._target_address = target_address
        self._send_to_target = send_to_target
        self._probe_target = probe_target

    def carry_out(
        self, wanted: collections.abc.Iterable[actions.Action]
    ) -> None:
        """Carry out actions in order."""
        for action in wanted:
            self._carry_out_one(action)

    def _carry_out_one(self, action: actions.Action) -> None:
        match action:
            case actions.SendMessage():
                data = messages.encode(action.message)
                self._send_message(data, action.peer)
            case actions.SendToCaller():
                host = str(ipaddress.IPv4Address(action.flow.client_host))
                self._send_to_caller(
                    action.data, model.Endpoint(host, self._caller_port)
                )
            case actions.SendToTarget():
                if self._send_to_target and self._target_address:
                    self._send_to_target(action.data, self._target_address)
            case actions.ProbeTarget():
                self._probe_target()
            case actions.ObserveLatency():
                self._registry.observe(action.kind, action.duration)
            case common.CountReason():
                self._registry.count(action.reason)
            case common.LogEvent():
                eventlog.write(LOGGER, action)


class NodeService(mode.Service):
    """Internal socket of an entry or agent and its contact with control."""

    def __init__(
        self,
        address: model.Endpoint,
        contact_core: contact.ContactCore,
        time: clock.Clock,
        registry: metrics.Metrics,
    ) -> None:
        super().__init__()
        self.contact = contact_core
        self.time = time
        self.registry = registry
        self.internal = datagrams.DatagramService(address, self._on_datagram)
        self._plain = Output(registry, self.internal.send, _refuse_send, 0)

    async def on_start(self) -> None:
        """Open the internal socket.

        Raises:
            OSError: the address cannot be bound.
        """
        await self.add_runtime_dependency(self.internal)

    def set_seeds(self, seeds: tuple[model.Endpoint, ...]) -> None:
        """Take other seeds."""
        self.contact.set_seeds(seeds, self.time.now())

    def _on_datagram(self, data: bytes, peer: model.Endpoint) -> None:
        message = messages.decode(data, str(peer))
        if isinstance(message, reasons.Failure):
            self.registry.count(reasons.Drop.MALFORMED)
        elif isinstance(message, CONTROL_MESSAGES):
            now = self.time.now()
            wanted = self.contact.handle_message(message, peer, now)
            self._plain.carry_out(wanted)
            self.follow_contact()
        else:
            self.on_node_message(message, peer)

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            wanted = self.contact.handle_tick(self.time.now())
            self._plain.carry_out(wanted)
            self.follow_contact()
            self.on_tick()
            await asyncio.sleep(TICK_S)

    def on_node_message(
        self, message: messages.Message, peer: model.Endpoint
    ) -> None:
        """Process a message that is not from control."""

    def follow_contact(self) -> None:
        """Take what the contact with control has brought."""

    def on_tick(self) -> None:
        """Let time pass in the core."""


class EntryService(NodeService):
    """Entry for passed-through flows."""

    def __init__(
        self,
        callers_address: model.Endpoint,
        internal_address: model.Endpoint,
        contact_core: contact.ContactCore,
        core: entry.EntryCore,
        time: clock.Clock,
        registry: metrics.Metrics,
    ) -> None:
        super().__init__(internal_address, contact_core, time, registry)
        self._core = core
        self._callers = datagrams.DatagramService(
            callers_address, self._on_packet
        )
        self._output = Output(
            registry,
            self.internal.send,
            self._callers.send,
            callers_address.port,
        )
        self._leaving = False

    async def on_start(self) -> None:
        """Open both sockets.

        Raises:
            OSError: an address cannot be bound.
        """
        await super().on_start()
        await self.add_runtime_dependency(self._callers)

    def is_ready(self) -> bool:
        """Return whether the fabric may send packets here."""
        return not self._leaving and self._core.is_ready(self.time.now())

    def leave(self) -> None:
        """Report from here on that packets should go elsewhere."""
        self._leaving = True

    def _on_packet(self, data: bytes, peer: model.Endpoint) -> None:
        self._output.carry_out(self._core.handle_packet(data, self.time.now()))

    def on_node_message(
        self, message: messages.Message, peer: model.Endpoint
    ) -> None:
        """Process a message of an agent."""
        self._output.carry_out(
            self._core.handle_message(message, peer, self.time.now())
        )

    def follow_contact(self) -> None:
        """Put a newer routing in force."""
        newest = self.contact.newest
        if newest.version > self._core.version:
            now = self.time.now()
            self._output.carry_out(self._core.handle_routing(newest, now))

    def on_tick(self) -> None:
        """Let time pass in the core."""
        self._output.carry_out(self._core.handle_tick(self.time.now()))


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
    ) -> None:
        super().__init__(internal_address, contact_core, time, registry)
        self._core = core
        self._outbound = datagrams.DatagramService(
            outbound_address, self._on_target_packet
        )
        self._output = Output(
            registry,
            self.internal.send,
            self.internal.send,
            caller_port,
            target_address,
            self._outbound.send,
            self._start_probe,
        )
        self._target_address = target_address
        self._probing = False

    async def on_start(self) -> None:
        """Open both sockets.

        Raises:
            OSError: an address cannot be bound.
        """
        await super().on_start()
        await self.add_runtime_dependency(self._outbound)

    async def on_stop(self) -> None:
        """Tell the entries that the process ends."""
        self._output.carry_out(self._core.handle_stop(self.time.now()))

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
        self._output.carry_out(self._core.handle_probe(listening, now))

    def note_report(self, report: target.Report) -> None:
        """Take a report of the target."""
        self._output.carry_out(
            self._core.handle_report(report, self.time.now())
        )

    def note_target_end(self, identifier: str) -> None:
        """Take the end of the target."""
        self._output.carry_out(
            self._core.handle_target_end(identifier, self.time.now())
        )

    def _on_target_packet(self, data: bytes, peer: model.Endpoint) -> None:
        self._output.carry_out(
            self._core.handle_target_packet(data, self.time.now())
        )

    def on_node_message(
        self, message: messages.Message, peer: model.Endpoint
    ) -> None:
        """Process a message of an entry."""
        self._output.carry_out(
            self._core.handle_message(message, peer, self.time.now())
        )

    def follow_contact(self) -> None:
        """Announce to the entries that control lists."""
        now = self.time.now()
        self._output.carry_out(
            self._core.handle_entries(self.contact.entries, now)
        )

    def on_tick(self) -> None:
        """Let time pass in the core."""
        self._output.carry_out(self._core.handle_tick(self.time.now()))


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


def _refuse_send(data: bytes, peer: model.Endpoint) -> None:
    raise RuntimeError("contact with control sends messages only")
