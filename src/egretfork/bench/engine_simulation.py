"""Discrete-event simulation of request engines, for benchmarks and tests."""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random
import typing

from egretfork import actions
from egretfork.agent import engine as engine_module
from egretfork.agent import events
from egretfork import model
from egretfork import wire

TICK_INTERVAL = datetime.timedelta(milliseconds=20)
PORT = 7000

Callback = typing.Callable[[], None]


class Link(typing.Protocol):
    """Delay, loss and duplication of datagrams between two agents."""

    def transmit(
        self, sender: model.Endpoint, receiver: model.Endpoint
    ) -> typing.Sequence[datetime.timedelta]:
        """Return the delay of each delivered copy; none if it is lost."""


class Target(typing.Protocol):
    """Simulates the target of each agent."""

    def start(
        self, agent: model.Endpoint, run: events.StartRun
    ) -> tuple[datetime.timedelta, events.RunEnded] | None:
        """Return the duration and result of a run, ``None`` if it hangs."""

    def cancel(self, agent: model.Endpoint, run_id: int) -> bool:
        """Return whether the cancellation stopped the run."""


@dataclasses.dataclass(slots=True)
class Traffic:
    """Messages and bytes sent by all agents, by message type."""

    messages: collections.Counter[str]
    sizes: collections.Counter[str]


class EventQueue:
    """Queue of callbacks, ordered by virtual time."""

    def __init__(self) -> None:
        self.now = datetime.timedelta()
        self._queue: list[tuple[datetime.timedelta, int, Callback]] = []
        self._sequence = itertools.count()

    def schedule(self, due: datetime.timedelta, callback: Callback) -> None:
        """Schedule a callback at a virtual time."""
        heapq.heappush(self._queue, (due, next(self._sequence), callback))

    def run_until(self, end: datetime.timedelta) -> None:
        """Run all callbacks that are due, and advance the time to ``end``."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        self.now = max(self.now, end)


class EngineSimulation:
    """Request engines of one service, with simulated network and targets.

    Args:
        service: the declared service.
        link: model of the network between the agents.
        target: model of the targets.
        on_finished: callback that receives the agent and the outcome of a
            request.
        wall_clock_zero_ms: Unix time in milliseconds at virtual time zero.
    """

    def __init__(
        self,
        service: model.Service,
        link: Link,
        target: Target,
        on_finished: typing.Callable[
            [model.Endpoint, events.RequestFinished], None
        ],
        wall_clock_zero_ms: int = 1_700_000_000_000,
    ) -> None:
        self.service = service
        self.event_queue = EventQueue()
        self.engines: dict[model.Endpoint, engine_module.RequestEngine] = {}
        self.announcements: dict[model.Endpoint, model.TargetAnnouncement] = {}
        self.group: model.RecordGroup | None = None
        self.traffic = Traffic(collections.Counter(), collections.Counter())
        self.wall_clock_zero_ms = wall_clock_zero_ms
        self._link = link
        self._target = target
        self._on_finished = on_finished
        self._incarnations: collections.Counter[model.Endpoint] = (
            collections.Counter()
        )

    def start(self, index: int) -> model.Endpoint:
        """Start or restart an agent and create its announcement."""
        address = model.Endpoint(f"10.0.0.{index + 1}", PORT)
        self._incarnations[address] += 1
        incarnation = self._incarnations[address]
        identity = model.AgentIdentity(f"agent-{index}", incarnation)
        self.engines[address] = engine_module.RequestEngine(
            self.service.name,
            identity,
            address,
            random.Random(f"{index}/{incarnation}"),
            self.wall_clock_zero_ms,
        )
        self.announcements[address] = model.TargetAnnouncement(
            service=self.service.name,
            agent=identity.name,
            incarnation=incarnation,
            sequence=1,
            address=address,
            availability_zone="zone",
            state=model.TargetState.READY,
        )
        self.configure(address)
        self.event_queue.schedule(
            self.event_queue.now + TICK_INTERVAL,
            lambda: self._tick(address, incarnation),
        )
        return address

    def stop(self, address: model.Endpoint) -> None:
        """Crash an agent."""
        del self.engines[address]

    def _tick(self, address: model.Endpoint, incarnation: int) -> None:
        if self._incarnations[address] != incarnation:
            return
        if address not in self.engines:
            return
        self.feed(address, events.Tick())
        self.event_queue.schedule(
            self.event_queue.now + TICK_INTERVAL,
            lambda: self._tick(address, incarnation),
        )

    def distribute_announcements(self) -> None:
        """Deliver all announcements to all running agents."""
        known = tuple(self.announcements.values())
        for address in tuple(self.engines):
            self.feed(address, events.AnnouncementsChanged(known))

    def create_record_group(
        self, members: typing.Sequence[model.Endpoint]
    ) -> None:
        """Create the next record group without distributing it."""
        previous_group = self.group
        self.group = model.RecordGroup(
            service=self.service.name,
            epoch=previous_group.epoch + 1 if previous_group else 1,
            members=tuple(
                self.announcements[address].identity for address in members
            ),
            previous=previous_group.members if previous_group else (),
        )

    def configure(self, address: model.Endpoint) -> None:
        """Deliver the current configuration to an agent."""
        groups = () if self.group is None else (self.group,)
        self.feed(
            address,
            events.ConfigurationChanged(
                model.Configuration(
                    version=1,
                    services=(self.service,),
                    record_groups=groups,
                    record_revision=len(groups),
                )
            ),
        )

    def feed(self, address: model.Endpoint, event: events.Event) -> None:
        """Pass an event to an agent and execute the resulting actions."""
        engine = self.engines.get(address)
        if engine is None:
            return
        for action in engine.handle(event, self.event_queue.now):
            self._execute(address, engine, action)

    def _execute(
        self,
        address: model.Endpoint,
        engine: engine_module.RequestEngine,
        action: actions.SendMessage | events.Action,
    ) -> None:
        match action:
            case actions.SendMessage(peer, message):
                self._send(address, peer, message)
            case events.StartRun():
                self._start_run(address, engine, action)
            case events.CancelRun(run_id):
                if self._target.cancel(address, run_id):
                    run_ended = events.RunEnded(
                        run_id, wire.WorkResultKind.UNKNOWN, b""
                    )
                    self._end_run(address, engine, run_ended)
            case events.RequestFinished():
                self._on_finished(address, action)

    def _start_run(
        self,
        address: model.Endpoint,
        engine: engine_module.RequestEngine,
        run: events.StartRun,
    ) -> None:
        result = self._target.start(address, run)
        if result is None:
            return
        duration, run_ended = result
        self.event_queue.schedule(
            self.event_queue.now + duration,
            lambda: self._end_run(address, engine, run_ended),
        )

    def _end_run(
        self,
        address: model.Endpoint,
        engine: engine_module.RequestEngine,
        run_ended: events.RunEnded,
    ) -> None:
        if self.engines.get(address) is engine:
            self.feed(address, run_ended)

    def _send(
        self,
        sender: model.Endpoint,
        receiver: model.Endpoint,
        message: wire.Message,
    ) -> None:
        data = wire.encode(message)
        kind = type(message).__name__
        self.traffic.messages[kind] += 1
        self.traffic.sizes[kind] += len(data)
        for delay in self._link.transmit(sender, receiver):
            self.event_queue.schedule(
                self.event_queue.now + delay,
                lambda: self._receive(sender, receiver, data),
            )

    def _receive(
        self, sender: model.Endpoint, receiver: model.Endpoint, data: bytes
    ) -> None:
        message = wire.decode(data, str(sender))
        if isinstance(message, wire.Message):
            self.feed(
                receiver,
                events.MessageReceived(sender, message),
            )
