"""I/O shell of the agent core: sockets, timers, metrics and gossip."""

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
from egretfork.agent import status as status_module
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
# Time for announcements to reach the entries, which forward datagrams to this
# agent until then.
LEAVE_DELAY_S = 1.0


class Announcer(typing.Protocol):
    """Interface of the gossip service used by the agent."""

    def announce(self, announcement: model.TargetAnnouncement) -> None:
        """Distribute the state of the agent's target."""

    def record_activity(self, agent_name: str) -> None:
        """Record a load hint of an agent, which counts as a heartbeat."""


class AgentService(mode.Service):
    """Passes events to the core and performs its actions.

    Args:
        core: state machine of the agent.
        status: state of the agent, shared with the core.
        clock: source of time.
        metrics: registry of the process.
        target_address: address of the socket for the target.
        stop_timeout: time limit for finishing work at a planned stop.
    """

    def __init__(
        self,
        core: core_module.AgentCore,
        status: status_module.AgentStatus,
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
        self._peer_socket = datagrams.DatagramService(
            status.address, self._receive_peer
        )
        self._target_socket = datagrams.DatagramService(
            target_address, self._receive_target
        )
        self._action_handlers: dict[
            type, collections.abc.Callable[[typing.Any], None]
        ] = {
            actions.SendMessage: self._send_message,
            actions.SendToTarget: self._send_to_target,
            actions.CountReason: self._count,
            actions.LogEvent: self._log,
            events.Announce: self._announce,
        }

    def set_announcer(self, announcer: Announcer) -> None:
        """Set the gossip service that receives the announcements."""
        self._announcer = announcer

    async def on_start(self) -> None:
        """Open the sockets.

        Raises:
            OSError: an address cannot be bound.
        """
        await self.add_runtime_dependency(self._peer_socket)
        await self.add_runtime_dependency(self._target_socket)
        logs.write(
            LOGGER,
            "agent_started",
            step="start agent",
            peer=str(self._status.address),
            detail=f"target registers at {self.target_address}",
        )

    @property
    def target_address(self) -> model.Endpoint:
        """Return the address at which the target registers."""
        return self._target_socket.address

    @mode.Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            self._handle(events.Tick())
            await self.sleep(TICK_INTERVAL_S)

    async def on_stop(self) -> None:
        """Drain: transfer the flows and finish the work in progress."""
        logs.write(LOGGER, "agent_stopping", step="stop agent")
        self._handle(events.StopRequested())
        loop = asyncio.get_running_loop()
        started = loop.time()
        deadline = started + self._stop_timeout.total_seconds()
        while loop.time() < deadline:
            if self._core.is_idle:
                if loop.time() - started >= LEAVE_DELAY_S:
                    break
            self._handle(events.Tick())
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self._publish(model.TargetState.LEFT, self._status.weight)
        logs.write(
            LOGGER,
            "agent_left",
            step="stop agent",
            detail=f"{self._core.flow_count} flows were not transferred",
        )

    def on_configuration(self, configuration: model.Configuration) -> None:
        """Apply a configuration received by the gossip service."""
        self._handle(events.ConfigurationChanged(configuration))

    def on_announcements(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        """Apply the set of targets known to the gossip service."""
        self._handle(events.AnnouncementsChanged(announcements))

    def _receive_peer(self, data: bytes, peer: model.Endpoint) -> None:
        message = wire.decode(data, str(peer))
        if isinstance(message, reasons.Failure):
            self._metrics.count(reasons.Drop.MALFORMED)
            return
        if isinstance(message, wire.LoadHint) and self._announcer is not None:
            self._announcer.record_activity(message.agent.name)
        self._handle(events.MessageReceived(peer, message))

    def _receive_target(self, data: bytes, source: model.Endpoint) -> None:
        self._handle(events.TargetDatagram(source, data))

    def _handle(self, event: events.Event) -> None:
        now = self._clock.now()
        for action in self._core.handle(event, now):
            self._action_handlers[type(action)](action)
        if now >= self._next_gauges:
            self._next_gauges = now + GAUGE_INTERVAL
            self._update_gauges()

    def _send_message(self, action: actions.SendMessage) -> None:
        data = wire.encode(action.message)
        if len(data) > wire.MAX_DATAGRAM_BYTES:
            self._metrics.count(reasons.Drop.SEND_FAILED)
            return
        self._peer_socket.send(data, action.peer)

    def _send_to_target(self, action: actions.SendToTarget) -> None:
        peer = action.peer or self._core.target_endpoint
        if peer is not None:
            self._target_socket.send(action.payload, peer)

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
