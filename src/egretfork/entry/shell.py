"""Shell of an entry: passes events to the core and executes actions."""

import collections.abc
import logging
import typing

import mode

from egretfork import actions
from egretfork import clock
from egretfork import datagrams
from egretfork.entry import core
from egretfork.entry import ingress
from egretfork import logs
from egretfork import metrics
from egretfork import model
from egretfork import reasons
from egretfork import wire

LOGGER = logging.getLogger(__name__)

StopDelay = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class SourceFactory(typing.Protocol):
    """Builds the service that receives configurations and announcements."""

    def __call__(
        self,
        on_configuration: collections.abc.Callable[
            [model.Configuration], None
        ],
        on_announcements: collections.abc.Callable[
            [tuple[model.TargetAnnouncement, ...]], None
        ],
    ) -> mode.Service:
        """Return a service that calls back on each change."""


class IngressFactory(typing.Protocol):
    """Builds the caller-facing interface of the entry."""

    def __call__(self, handler: ingress.Handler) -> ingress.Ingress:
        """Return an ingress that passes datagrams to the handler."""


class EntryService(mode.Service):
    """Runs one core on its sockets and its configuration source."""

    def __init__(
        self,
        address: model.Endpoint,
        build_ingress: IngressFactory,
        build_source: SourceFactory,
        registry: metrics.Metrics,
        time_source: clock.Clock,
        wait_before_stop: StopDelay,
    ) -> None:
        """Create the service.

        Args:
            address: UDP address to which agents send responses.
            build_ingress: creates the caller-facing interface.
            build_source: creates the source of configurations and
                announcements.
            registry: metrics of the process.
            time_source: clock for the times of events.
            wait_before_stop: returns when a stopping entry may close its
                sockets; until then it forwards datagrams in transit.
        """
        super().__init__()
        self._core = core.EntryCore(address)
        self._registry = registry
        self._clock = time_source
        self._wait_before_stop = wait_before_stop
        self._agents = datagrams.DatagramService(address, self._receive)
        self._ingress = build_ingress(self._handle)
        self._source = build_source(
            self._set_configuration, self._set_announcements
        )

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the services that own sockets, in order of start.

        The ingress starts last, so that a configuration may already be known
        when the first datagram arrives.
        """
        return [self._agents, self._source, *self._ingress.get_services()]

    async def on_stop(self) -> None:
        """Leave the gossip network, then forward datagrams for a delay."""
        await self._source.stop()
        await self._wait_before_stop()

    def _set_configuration(self, configuration: model.Configuration) -> None:
        previous_version = self._core.configuration.version
        self._handle(core.ConfigurationChanged(configuration))
        version = self._core.configuration.version
        if version == previous_version:
            return
        self._registry.set_gauge(
            "configuration_version", "Configuration in force.", version
        )
        logs.write(
            LOGGER,
            "configuration_in_force",
            step="set configuration",
            detail=f"version {version}",
        )

    def _set_announcements(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        self._handle(core.AnnouncementsChanged(announcements))
        self._registry.set_gauge(
            "announced_targets", "Targets announced.", len(announcements)
        )

    def _receive(self, data: bytes, peer: model.Endpoint) -> None:
        message = wire.decode(data, peer.host)
        if isinstance(message, reasons.Failure):
            self._handle(core.DatagramRejected(reasons.Drop.MALFORMED))
            return
        self._handle(core.MessageReceived(peer, message))

    def _handle(self, event: core.Event) -> None:
        for action in self._core.handle(event, self._clock.now()):
            self._execute(action)

    def _execute(self, action: core.Action) -> None:
        match action:
            case actions.SendMessage():
                self._agents.send(wire.encode(action.message), action.peer)
            case actions.SendToCaller():
                if not self._ingress.send(action.flow, action.payload):
                    self._registry.count(reasons.Drop.SEND_FAILED)
            case actions.CountReason():
                self._registry.count(action.reason)
