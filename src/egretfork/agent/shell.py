"""Service of the agent: sockets, clock and gossip around the core."""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging
import typing

import mode

from egretfork import actions
from egretfork.agent import core as core_module
from egretfork.agent import events
from egretfork.agent import status as statuses
from egretfork import clock as clock_module
from egretfork import datagrams
from egretfork import eventlog
from egretfork import logs
from egretfork import metrics as metrics_module
from egretfork import model
from egretfork import reasons
from egretfork import wire

LOGGER = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.02
STOP_POLL_INTERVAL_S = 0.02
GAUGE_INTERVAL = datetime.timedelta(seconds=1)
# Announcements spread in this time; until then entries still forward here.
LEAVE_DELAY_S = 1.0


class Announcer(typing.Protocol):
    """Part of the gossip service that the agent needs."""

    def announce(self, announcement: model.TargetAnnouncement) -> None:
        """Spread a statement about the own target."""

    def note_heard(self, agent_name: str) -> None:
        """Count a load hint of another agent as a heartbeat."""


class AgentService(mode.Service):
    """Feeds the core and carries out its actions.

    Args:
        core: decisions.
        status: identity of the agent, shared with the core.
        clock: source of time.
        metrics: registry of the process.
        target_address: address of the socket towards the target.
        stop_timeout: time in which a planned stop may finish its work.
    """

    def __init__(
        self,
        core: core_module.AgentCore,
        status: statuses.AgentStatus,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics,
        target_address: model.Endpoint,
        stop_timeout: datetime.timedelta,
    ) -> None:
        super().__init__()
        self._core = core
        self._status = status
        self._clock = clock
        self._metrics = metrics
        self._stop_timeout = stop_timeout
        self._sequence = 0
        self._announcer: Announcer | None = None
        self._next_gauges = datetime.timedelta()
        self._peers = datagrams.DatagramService(
            status.address, self._receive_peer
        )
        self._target_side = datagrams.DatagramService(
            target_address, self._receive_target
        )
        self._performers: dict[
            type, collections.abc.Callable[[typing.Any], None]
        ] = {
            actions.SendMessage: self._send_message,
            actions.SendToTarget: self._send_to_target,
            actions.CountReason: self._count,
            actions.LogEvent: self._log,
            events.Announce: self._announce,
        }

    def set_announcer(self, announcer: Announcer) -> None:
        """Connect the gossip service."""
        self._announcer = announcer

    async def on_start(self) -> None:
        """Open the sockets.

        Raises:
            OSError: an address cannot be bound.
        """
        await self.add_runtime_dependency(self._peers)
        await self.add_runtime_dependency(self._target_side)
        logs.write(
            LOGGER,
            "agent_started",
            step="start agent",
            peer=str(self._status.address),
            detail=f"registration of the target at {self.target_address}",
        )

    @property
    def target_address(self) -> model.Endpoint:
        """Return the address at which the target registers."""
        return self._target_side.address

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            self._handle(events.Tick())
            await self.sleep(TICK_INTERVAL_S)

    async def on_stop(self) -> None:
        """Drain, move the flows and finish what is in progress."""
        logs.write(LOGGER, "agent_stopping", step="stop agent")
        self._handle(events.StopRequested())
        running = asyncio.get_running_loop()
        started = running.time()
        deadline = started + self._stop_timeout.total_seconds()
        while running.time() < deadline:
            if self._core.is_idle:
                if running.time() - started >= LEAVE_DELAY_S:
                    break
            self._handle(events.Tick())
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self._publish(model.TargetState.LEFT, self._status.weight)
        logs.write(
            LOGGER,
            "agent_left",
            step="stop agent",
            detail=f"{self._core.flow_count} flows could not be moved",
        )

    def on_configuration(self, configuration: model.Configuration) -> None:
        """Take a configuration from the gossip service."""
        self._handle(events.ConfigurationChanged(configuration))

    def on_announcements(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        """Take the known targets from the gossip service."""
        self._handle(events.AnnouncementsChanged(announcements))

    def _receive_peer(self, data: bytes, peer: model.Endpoint) -> None:
        message = wire.decode(data, str(peer))
        if isinstance(message, reasons.Failure):
            self._metrics.count(reasons.Drop.MALFORMED)
            return
        if isinstance(message, wire.LoadHint) and self._announcer is not None:
            self._announcer.note_heard(message.agent.name)
        self._handle(events.MessageReceived(peer, message))

    def _receive_target(self, data: bytes, source: model.Endpoint) -> None:
        self._handle(events.TargetDatagram(source, data))

    def _handle(self, event: events.Event) -> None:
        now = self._clock.now()
        for action in self._core.handle(event, now):
            self._performers[type(action)](action)
        if now >= self._next_gauges:
            self._next_gauges = now + GAUGE_INTERVAL
            self._update_gauges()

    def _send_message(self, action: actions.SendMessage) -> None:
        data = wire.encode(action.message)
        if len(data) > wire.MAX_DATAGRAM_BYTES:
            self._metrics.count(reasons.Drop.SEND_FAILED)
            return
        self._peers.send(data, action.peer)

    def _send_to_target(self, action: actions.SendToTarget) -> None:
        peer = action.peer or self._core.target_endpoint
        if peer is not None:
            self._target_side.send(action.payload, peer)

    def _count(self, action: actions.CountReason) -> None:
        self._metrics.count(action.reason)

    @staticmethod
    def _log(action: actions.LogEvent) -> None:
        eventlog.write(LOGGER, action)

    def _announce(self, action: events.Announce) -> None:
        self._publish(action.state, action.weight)

    def _publish(self, state: model.TargetState, weight: float) -> None:
        self._sequence += 1
        logs.write(
            LOGGER, "state_announced", step="announce target", detail=state
        )
        if self._announcer is None:
            return
        status = self._status
        self._announcer.announce(
            model.TargetAnnouncement(
                service=status.service_name,
                agent=status.identity.name,
                incarnation=status.identity.incarnation,
                sequence=self._sequence,
                address=status.address,
                availability_zone=status.availability_zone,
                state=state,
                weight=weight,
            )
        )

    def _update_gauges(self) -> None:
        sizes = self._core.read_sizes()
        for name, value in dataclasses.asdict(sizes).items():
            text = name.replace("_", " ")
            self._metrics.set_gauge(name, f"Current {text}.", value)
