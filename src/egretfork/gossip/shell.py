"""Gossip service, which owns the UDP socket."""

import collections.abc
import logging
import random

import mode
import msgspec

from egretfork import actions
from egretfork import clock
from egretfork import datagrams
from egretfork import eventlog
from egretfork.gossip import agent
from egretfork.gossip import core
from egretfork.gossip import events
from egretfork.gossip import messages
from egretfork.gossip import settings
from egretfork import metrics
from egretfork import model
from egretfork import reasons

LOGGER = logging.getLogger(__name__)

TICK_PERIOD_S = 0.1

ConfigurationCallback = collections.abc.Callable[[model.Configuration], None]
AnnouncementsCallback = collections.abc.Callable[
    [tuple[model.TargetAnnouncement, ...]], None
]


class NodeConfirmation(msgspec.Struct, frozen=True, array_like=True):
    """Highest version that a node is known to have confirmed.

    For an entry this includes the agents that subscribe to it.
    """

    name: str
    role: messages.Role
    address: model.Endpoint
    version: int


class GossipService(mode.Service):
    """Runs the gossip protocol for one process.

    Args:
        name: unique name of the process.
        availability_zone: availability zone of the process.
        host: IPv4 address at which other processes reach this one.
        incarnation: wall clock time in milliseconds at the start of the
            process.
        role: role of the process.
        gossip_settings: settings of the gossip protocol.
        time_source: clock of the process.
        registry: metrics of the process.
        generator: random number generator.
        on_configuration: called with each newer configuration; on an agent
            with the part of its service.
        on_announcements: called with all visible targets after a change; on
            an agent with those of its service.
        service: service of an agent; empty for other roles.
    """

    def __init__(
        self,
        *,
        name: str,
        availability_zone: str,
        host: str,
        incarnation: int,
        role: messages.Role,
        gossip_settings: settings.GossipSettings,
        time_source: clock.Clock,
        registry: metrics.Metrics,
        generator: random.Random,
        on_configuration: ConfigurationCallback,
        on_announcements: AnnouncementsCallback,
        service: str = "",
    ) -> None:
        super().__init__()
        if (role is messages.Role.AGENT) != bool(service):
            raise ValueError(
                "service must be set for the agent role and only for it"
            )
        self._name = name
        self._availability_zone = availability_zone
        self._incarnation = incarnation
        self._role = role
        self._settings = gossip_settings
        self._clock = time_source
        self._registry = registry
        self._generator = generator
        self._on_configuration = on_configuration
        self._on_announcements = on_announcements
        self._service = service
        self._core: core.NodeCore | agent.AgentCore | None = None
        self._queued_events: list[events.Event] = []
        self._socket = datagrams.DatagramService(
            model.Endpoint(host, gossip_settings.port), self._receive
        )

    @property
    def address(self) -> model.Endpoint:
        """Return the UDP address; its port is known after the start."""
        return self._socket.address

    async def on_first_start(self) -> None:
        """Open the socket, create the core and process queued events.

        Raises:
            OSError: the address cannot be bound.
        """
        await self.add_runtime_dependency(self._socket)
        self._core = self._make_core()
        queued, self._queued_events = self._queued_events, []
        for event in queued:
            self._handle(event)

    async def on_stop(self) -> None:
        """Notify the peers that the process leaves."""
        self._handle(events.Leave())

    @mode.Service.timer(TICK_PERIOD_S)
    async def _tick(self) -> None:
        self._handle(events.Tick())

    def publish(self, configuration: model.Configuration) -> None:
        """Publish a configuration that control accepted (control only).

        A configuration that does not follow the newest one is ignored.
        """
        self._handle(events.Publish(configuration))

    def announce(self, announcement: model.TargetAnnouncement) -> None:
        """Publish the state of the agent's own target (agents only).

        The sequence is raised if needed to supersede earlier announcements
        of this incarnation.
        """
        self._handle(events.Announce(announcement))

    def record_activity(self, agent_name: str) -> None:
        """Record a message from an agent, which counts as a heartbeat."""
        self._handle(events.PeerActive(agent_name))

    def forget(self, node: str) -> None:
        """Mark a permanently removed node or agent as left."""
        self._handle(events.Forget(node))

    def list_confirmed_versions(self) -> tuple[NodeConfirmation, ...]:
        """Return the highest version known to be confirmed by each node.

        An entry confirms a version once it and all agents that subscribe
        to it have it.
        """
        if not isinstance(self._core, core.NodeCore):
            return ()
        return tuple(
            NodeConfirmation(record.name, record.role, record.address, version)
            for record, version in self._core.list_versions()
        )

    def _make_core(self) -> core.NodeCore | agent.AgentCore:
        seeds = tuple(
            model.parse_endpoint(seed) for seed in self._settings.seeds
        )
        if self._role is messages.Role.AGENT:
            return agent.AgentCore(
                model.AgentIdentity(self._name, self._incarnation),
                self._service,
                seeds,
                self._generator,
                self._settings.rate_bytes_per_s,
                self._settings.burst_bytes,
            )
        record = messages.NodeRecord(
            name=self._name,
            incarnation=self._incarnation,
            sequence=0,
            address=self._socket.address,
            role=self._role,
            availability_zone=self._availability_zone,
        )
        return core.NodeCore(
            record,
            seeds,
            self._generator,
            self._settings.rate_bytes_per_s,
            self._settings.burst_bytes,
        )

    def _receive(self, data: bytes, peer: model.Endpoint) -> None:
        message = messages.decode(data, str(peer))
        if isinstance(message, reasons.Failure):
            self._registry.count(reasons.Drop.MALFORMED)
            return
        self._handle(events.Received(peer, message, len(data)))

    def _handle(self, event: events.Event) -> None:
        if self._core is None:
            self._queued_events.append(event)
            return
        for action in self._core.handle(event, self._clock.now()):
            self._execute(action)

    def _execute(self, action: events.Action) -> None:
        match action:
            case actions.SendMessage():
                data = messages.encode(action.message)
                self._socket.send(data, action.peer)
            case events.ApplyConfiguration():
                self._on_configuration(action.configuration)
            case events.ApplyAnnouncements():
                self._on_announcements(action.announcements)
            case actions.CountReason():
                self._registry.count(action.reason)
            case actions.LogEvent():
                eventlog.write(LOGGER, action, logging.WARNING)
