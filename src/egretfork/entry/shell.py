"""Sockets of an entry: carries events to the core and actions out."""

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

Waiter = collections.abc.Callable[[], collections.abc.Awaitable[None]]


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
    """Builds the side of the entry that faces callers."""

    def __call__(self, handler: ingress.Handler) -> ingress.Ingress:
        """Return an ingress that passes datagrams to the handler."""


class EntryService(mode.Service):
    """Feeds one core from its sockets and its source of configurations."""

    def __init__(
        self,
        address: model.Endpoint,
        build_ingress: IngressFactory,
        build_source: SourceFactory,
        registry: metrics.Metrics,
        time_source: clock.Clock,
        wait_before_stop: Waiter,
    ) -> None:
        """Create the service.

        Args:
            address: UDP address to which agents send answers.
            build_ingress: creates the side that faces callers.
            build_source: creates the source of configurations.
            registry: counts drops.
            time_source: gives the time of events.
            wait_before_stop: ends when a stopping entry may close its
                sockets; until then it carries what is on its way.
        """
        super().__init__()
        self._core = core.EntryCore(address)
        self._registry = registry
        self._clock = time_source
        self._wait_before_stop = wait_before_stop
        self._agents = datagrams.DatagramService(address, self._receive)
        self._ingress = build_ingress(self._handle)
        self._source = build_source(
            self._change_configuration, self._change_announcements
        )

    def on_init_dependencies(self) -> list[mode.Service]:
        """Return the services that own sockets, in order of start.

        The ingress is last, so that a configuration can be present when
        the first datagram arrives.
        """
        return [self._agents, self._source, *self._ingress.get_services()]

    async def on_stop(self) -> None:
        """Leave the other nodes, then carry datagrams for a while."""
        await self._source.stop()
        await self._wait_before_stop()

    def _change_configuration(
        self, configuration: model.Configuration
    ) -> None:
        earlier = self._core.configuration.version
        self._handle(core.ConfigurationChanged(configuration))
        version = self._core.configuration.version
        if version == earlier:
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

    def _change_announcements(
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
            self._perform(action)

    def _perform(self, action: core.Action) -> None:
        match action:
            case actions.SendMessage():
                self._agents.send(wire.encode(action.message), action.peer)
            case actions.SendToCaller():
                if not self._ingress.send(action.flow, action.payload):
                    self._registry.count(reasons.Drop.SEND_FAILED)
            case actions.CountReason():
                self._registry.count(action.reason)
