"""Control's datagram service for nodes, and its queries of declarations."""

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
from egretfork import prebound
from egretfork import reasons

LOGGER = logging.getLogger(__name__)

TICK_PERIOD_S = 0.1
STORE_PERIOD_S = 0.5
# Number of ticks between two join requests.
TICKS_PER_JOIN_REQUEST = 4


class DirectoryService(mode.Service):
    """Answers nodes and sends join requests while it knows no leader.

    It implements the dissemination interface of the control service:
    committed routings are published to the entries.
    """

    def __init__(
        self,
        address: model.Endpoint,
        name: str,
        member_address: model.Endpoint,
        contact_core: contact.ContactCore,
        time_source: clock.Clock,
        registry: metrics.Metrics,
        sockets: prebound.PreboundSockets,
        file_system: files.FileSystem,
    ) -> None:
        super().__init__()
        self._address = address
        self._name = name
        self._member_address = member_address
        self._contact = contact_core
        self._time_source = time_source
        self._registry = registry
        self._file_system = file_system
        self._roster = roster.Roster(
            rosterfile.load(file_system), time_source.now()
        )
        self._stored_agents = self._roster.list_agents()
        self._core = directory.DirectoryCore(self._roster)
        self._socket = datagrams.DatagramService(
            address,
            self.handle_datagram,
            sockets.pop_socket(address.host, address.port),
        )
        self._output = output.ActionExecutor(
            registry, self._socket.send, self._socket.send, 0
        )
        self._control: control_shell.ControlService | None = None

    def attach(self, control: control_shell.ControlService) -> None:
        """Set the service that runs the replicated log."""
        self._control = control

    async def on_start(self) -> None:
        """Open the socket.

        Raises:
            OSError: the address cannot be bound.
        """
        await self.add_runtime_dependency(self._socket)

    def set_seeds(self, seeds: tuple[model.Endpoint, ...]) -> None:
        """Replace the seeds."""
        self._contact.set_seeds(seeds, self._time_source.now())

    # Dissemination

    def publish(self, configuration: model.Configuration) -> None:
        """Do nothing: only routings are disseminated."""

    def publish_routing(self, newest: routing.Routing) -> None:
        """Publish a committed routing to the entries."""
        self._output.execute(self._core.handle_routing(newest))

    def list_confirmations(self) -> tuple[commands.NodeVersion, ...]:
        """Return an empty tuple: entries do not confirm routings."""
        return ()

    def forget(self, node: str) -> None:
        """Do nothing: silent entries expire on their own."""

    # Messages

    def handle_datagram(self, data: bytes, peer: model.Endpoint) -> None:
        """Process a datagram of a node or of another control process."""
        message = messages.decode(data, str(peer))
        if isinstance(message, reasons.Failure):
            self._registry.count(reasons.Drop.MALFORMED)
            return
        now = self._time_source.now()
        if isinstance(message, messages.JoinRequest):
            self._handle_join_request(message)
        elif isinstance(message, messages.Directory):
            self._contact.handle_message(message, peer, now)
        else:
            self._output.execute(self._core.handle_message(message, peer, now))

    def _handle_join_request(self, message: messages.JoinRequest) -> None:
        if self._control is None:
            return
        try:
            address = model.parse_endpoint(str(message.address))
        except ValueError as error:
            # All members would connect to the address.
            self._registry.count(reasons.Drop.MALFORMED)
            _log_refused_join(message, str(error))
            return
        member = entries.Member(
            message.identity, message.name, address, voter=False
        )
        self._control.handle_join_request(member)

    @mode.Service.task
    async def _tick(self) -> None:
        tick_count = 0
        while not self.should_stop:
            now = self._time_source.now()
            self._output.execute(self._core.handle_tick(now))
            self._output.execute(self._contact.handle_tick(now))
            if self._control is not None:
                self._update_controls(self._control)
                if tick_count % TICKS_PER_JOIN_REQUEST == 0:
                    self.request_join(self._control)
            tick_count += 1
            await asyncio.sleep(TICK_PERIOD_S)

    @mode.Service.task
    async def _store_roster(self) -> None:
        """Store the agent roster whenever it changes."""
        while not self.should_stop:
            agents = self._roster.list_agents()
            if agents != self._stored_agents:
                # Write in a thread so that a slow disk does not block the
                # event loop.
                if await asyncio.to_thread(
                    rosterfile.store, self._file_system, agents
                ):
                    self._stored_agents = agents
            await asyncio.sleep(STORE_PERIOD_S)

    def _update_controls(self, control: control_shell.ControlService) -> None:
        members = control.control_core.consensus.known_members
        self._core.set_controls(
            tuple(
                sorted(
                    model.Endpoint(member.address.host, self._address.port)
                    for member in members
                )
            )
        )

    def request_join(self, control: control_shell.ControlService) -> None:
        """Ask to join, unless a leader is known or joining is of no use.

        A process that has stopped taking part would be added as a learner
        and removed as unresponsive, again and again.
        """
        consensus = control.control_core.consensus
        is_active = control.control_core.status is api.MemberStatus.ACTIVE
        if control.should_stop or consensus.leader or not is_active:
            return
        request = messages.JoinRequest(
            consensus.identity, self._name, self._member_address
        )
        self._output.execute(
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


def _log_refused_join(message: messages.JoinRequest, detail: str) -> None:
    logs.write(
        LOGGER,
        "join_refused",
        step="join",
        peer=message.identity,
        detail=detail,
        level=logging.WARNING,
    )


async def submit_declaration(
    control: control_shell.ControlService,
    declaration: routing.Declaration,
    timeout_s: float,
) -> api.Reply | reasons.Failure:
    """Submit a declaration; on timeout the outcome is unknown."""
    command = commands.Declare(declaration)
    return await _query_control(control, api.Submit(0, command), timeout_s)


async def read_declaration(
    control: control_shell.ControlService, timeout_s: float
) -> api.Reply | reasons.Failure:
    """Read the newest declaration, as confirmed by a majority."""
    return await _query_control(control, api.ReadDeclaration(0), timeout_s)


async def _query_control(
    control: control_shell.ControlService, query: api.Query, timeout_s: float
) -> api.Reply | reasons.Failure:
    try:
        async with asyncio.timeout(timeout_s):
            return await control.submit_query(query)
    except TimeoutError:
        return reasons.Failure(
            "ask control", "", "timeout", f"no result within {timeout_s} s"
        )
