"""Control's socket for nodes, and its own requests to join."""

import asyncio
import logging

import mode

from egretfork import clock
from egretfork.control import api
from egretfork.control import commands
from egretfork.control import entries
from egretfork.control import files
from egretfork.control import shell as control_shell
from egretfork import datagrams
from egretfork import logs
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import contact
from egretfork.passthrough import directory
from egretfork.passthrough import messages
from egretfork.passthrough import output
from egretfork.passthrough import roster
from egretfork.passthrough import rosterfile
from egretfork.passthrough import routing
from egretfork import reasons
from egretfork import udp

LOGGER = logging.getLogger(__name__)

TICK_S = 0.1
STORE_PERIOD_S = 0.5
# Ticks between two requests to join.
JOIN_EVERY_TICKS = 4


class DirectoryService(mode.Service):
    """Answers nodes, and asks the leader to be a member when needed.

    It stands in for the dissemination of the own interface: it takes the
    committed routings and hands them to entries.
    """

    def __init__(
        self,
        address: model.Endpoint,
        name: str,
        member_address: model.Endpoint,
        contact_core: contact.ContactCore,
        time: clock.Clock,
        registry: metrics.Metrics,
        sockets: udp.EarlySockets,
        system: files.FileSystem,
    ) -> None:
        super().__init__()
        self._address = address
        self._name = name
        self._member_address = member_address
        self._contact = contact_core
        self._time = time
        self._registry = registry
        self._system = system
        self._roster = roster.Roster(rosterfile.load(system), time.now())
        self._stored = self._roster.list_agents()
        self._core = directory.DirectoryCore(self._roster)
        self._socket = datagrams.DatagramService(
            address,
            self._on_datagram,
            sockets.take(address.host, address.port),
        )
        self._output = output.Output(
            registry, self._socket.send, self._socket.send, 0
        )
        self._control: control_shell.ControlService | None = None

    def attach(self, control: control_shell.ControlService) -> None:
        """Connect the service of the replicated log."""
        self._control = control

    async def on_start(self) -> None:
        """Open the socket.

        Raises:
            OSError: the address cannot be bound.
        """
        await self.add_runtime_dependency(self._socket)

    def set_seeds(self, seeds: tuple[model.Endpoint, ...]) -> None:
        """Take other seeds."""
        self._contact.set_seeds(seeds, self._time.now())

    # Dissemination

    def publish(self, configuration: model.Configuration) -> None:
        """Do nothing: there are no services of the own interface."""

    def publish_routing(self, newest: routing.Routing) -> None:
        """Tell the entries of a routing that is committed."""
        self._output.carry_out(self._core.handle_routing(newest))

    def list_confirmations(self) -> tuple[commands.NodeVersion, ...]:
        """Return nothing: routings are not confirmed."""
        return ()

    def drop(self, node: str) -> None:
        """Do nothing: silent entries are forgotten."""

    # Messages

    def _on_datagram(self, data: bytes, peer: model.Endpoint) -> None:
        message = messages.decode(data, str(peer))
        if isinstance(message, reasons.Failure):
            self._registry.count(reasons.Drop.MALFORMED)
            return
        now = self._time.now()
        if isinstance(message, messages.JoinRequest):
            self._note_join_request(message)
        elif isinstance(message, messages.Directory):
            self._contact.handle_message(message, peer, now)
        else:
            self._output.carry_out(
                self._core.handle_message(message, peer, now)
            )

    def _note_join_request(self, message: messages.JoinRequest) -> None:
        if self._control is not None:
            member = entries.Member(
                message.identity, message.name, message.address, voter=False
            )
            self._control.note_join_request(member)

    @mode.Service.task
    async def _tick(self) -> None:
        count = 0
        while not self.should_stop:
            now = self._time.now()
            self._output.carry_out(self._core.handle_tick(now))
            self._output.carry_out(self._contact.handle_tick(now))
            if self._control is not None:
                self._follow_members(self._control)
                if count % JOIN_EVERY_TICKS == 0:
                    self._ask_to_join(self._control)
            count += 1
            await asyncio.sleep(TICK_S)

    @mode.Service.task
    async def _store_roster(self) -> None:
        """Keep the stored list of agents up to date."""
        while not self.should_stop:
            agents = self._roster.list_agents()
            if agents != self._stored:
                # A slow disk must not hold up what else the process does.
                if await asyncio.to_thread(
                    rosterfile.store, self._system, agents
                ):
                    self._stored = agents
            await asyncio.sleep(STORE_PERIOD_S)

    def _follow_members(self, control: control_shell.ControlService) -> None:
        members = control.decisions.consensus.log.members
        self._core.set_controls(
            tuple(
                sorted(
                    model.Endpoint(member.address.host, self._address.port)
                    for member in members
                )
            )
        )

    def _ask_to_join(self, control: control_shell.ControlService) -> None:
        consensus = control.decisions.consensus
        if consensus.leader or consensus.leading is not None:
            return
        request = messages.JoinRequest(
            consensus.identity, self._name, self._member_address
        )
        self._output.carry_out(
            actions.SendMessage(control_address, request)
            for control_address in self._contact.controls
            if control_address != self._address
        )
        logs.write(
            LOGGER,
            "join_requested",
            step="join",
            detail=f"identity={consensus.identity}",
            level=logging.DEBUG,
        )


async def declare(
    control: control_shell.ControlService,
    declaration: routing.Declaration,
    limit_s: float,
) -> api.Reply | reasons.Failure:
    """Submit a declaration; the outcome is unknown after a time limit."""
    command = commands.Declare(declaration)
    return await _ask(control, api.Submit(0, command), limit_s)


async def read_declaration(
    control: control_shell.ControlService, limit_s: float
) -> api.Reply | reasons.Failure:
    """Read the newest declaration, confirmed by a majority."""
    return await _ask(control, api.ReadDeclaration(0), limit_s)


async def _ask(
    control: control_shell.ControlService, query: api.Query, limit_s: float
) -> api.Reply | reasons.Failure:
    try:
        async with asyncio.timeout(limit_s):
            return await control.ask(query)
    except TimeoutError:
        return reasons.Failure(
            "ask control", "", "timeout", f"no result within {limit_s} s"
        )
