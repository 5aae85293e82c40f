"""Several request engines in virtual time, for experiments and tests."""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random
import typing

from egretfork import actions
from egretfork.agent import engine as engines
from egretfork.agent import events
from egretfork import model
from egretfork import wire

TICK = datetime.timedelta(milliseconds=20)
PORT = 7000

Callback = typing.Callable[[], None]


class Link(typing.Protocol):
    """Decides what becomes of a datagram between two agents."""

    def carry(
        self, sender: model.Endpoint, receiver: model.Endpoint
    ) -> typing.Sequence[datetime.timedelta]:
        """Return the delay of each copy that arrives."""


class Target(typing.Protocol):
    """Stands for the targets beside the agents."""

    def start(
        self, agent: model.Endpoint, run: events.StartRun
    ) -> tuple[datetime.timedelta, events.RunEnded] | None:
        """Return when and how a run ends, ``None`` if it never does."""

    def cancel(self, agent: model.Endpoint, run_id: int) -> bool:
        """Return whether a run was stopped by its cancellation."""


@dataclasses.dataclass(slots=True)
class Traffic:
    """Messages and bytes sent by all agents, by type of message."""

    messages: collections.Counter[str]
    sizes: collections.Counter[str]


class Calendar:
    """Callbacks in virtual time."""

    def __init__(self) -> None:
        self.now = datetime.timedelta()
        self._heap: list[tuple[datetime.timedelta, int, Callback]] = []
        self._order = itertools.count()

    def schedule(self, due: datetime.timedelta, callback: Callback) -> None:
        """Call back at an instant."""
        heapq.heappush(self._heap, (due, next(self._order), callback))

    def run_until(self, end: datetime.timedelta) -> None:
        """Run all callbacks that are due by an instant."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = max(self.now, end)


class Agents:
    """Request engines of one service, with their links and targets.

    Args:
        service: the declared service.
        link: network between the agents.
        target: stands for the targets.
        on_finished: called with the agent and the outcome of a request.
        wall_clock_zero_ms: Unix milliseconds at instant zero.
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
        self.calendar = Calendar()
        self.engines: dict[model.Endpoint, engines.RequestEngine] = {}
        self.announcements: dict[model.Endpoint, model.TargetAnnouncement] = {}
        self.group: model.RecordGroup | None = None
        self.traffic = Traffic(collections.Counter(), collections.Counter())
        self.wall_clock_zero_ms = wall_clock_zero_ms
        self._link = link
        self._target = target
        self._on_finished = on_finished
        self._lives: collections.Counter[model.Endpoint] = (
            collections.Counter()
        )

    def start(self, index: int) -> model.Endpoint:
        """Start an agent, or a new life of it, and announce it."""
        address = model.Endpoint(f"10.0.0.{index + 1}", PORT)
        self._lives[address] += 1
        incarnation = self._lives[address]
        identity = model.AgentIdentity(f"agent-{index}", incarnation)
        self.engines[address] = engines.RequestEngine(
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
        self.calendar.schedule(
            self.calendar.now + TICK, lambda: self._tick(address, incarnation)
        )
        return address

    def stop(self, address: model.Endpoint) -> None:
        """End an agent without notice."""
        del self.engines[address]

    def _tick(self, address: model.Endpoint, incarnation: int) -> None:
        if self._lives[address] != incarnation:
            return
        if address not in self.engines:
            return
        self.feed(address, events.Tick())
        self.calendar.schedule(
            self.calendar.now + TICK, lambda: self._tick(address, incarnation)
        )

    def announce(self) -> None:
        """Tell all agents of all announcements."""
        known = tuple(self.announcements.values())
        for address in tuple(self.engines):
            self.feed(address, events.AnnouncementsChanged(known))

    def form_group(self, members: typing.Sequence[model.Endpoint]) -> None:
        """Form the next record group and tell no one yet."""
        before = self.group
        self.group = model.RecordGroup(
            service=self.service.name,
            epoch=before.epoch + 1 if before else 1,
            members=tuple(
                self.announcements[address].identity for address in members
            ),
            previous=before.members if before else (),
        )

    def configure(self, address: model.Endpoint) -> None:
        """Tell an agent of the present configuration."""
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
        """Give an event to an agent and carry out its actions."""
        engine = self.engines.get(address)
        if engine is None:
            return
        for action in engine.handle(event, self.calendar.now):
            self._carry_out(address, engine, action)

    def _carry_out(
        self,
        address: model.Endpoint,
        engine: engines.RequestEngine,
        action: actions.SendMessage | events.Action,
    ) -> None:
        match action:
            case actions.SendMessage(peer, message):
                self._send(address, peer, message)
            case events.StartRun():
                self._start_run(address, engine, action)
            case events.CancelRun(run_id):
                if self._target.cancel(address, run_id):
                    ended = events.RunEnded(
                        run_id, wire.WorkResultKind.UNKNOWN, b""
                    )
                    self._end_run(address, engine, ended)
            case events.RequestFinished():
                self._on_finished(address, action)

    def _start_run(
        self,
        address: model.Endpoint,
        engine: engines.RequestEngine,
        run: events.StartRun,
    ) -> None:
        result = self._target.start(address, run)
        if result is None:
            return
        spent, ended = result
        self.calendar.schedule(
            self.calendar.now + spent,
            lambda: self._end_run(address, engine, ended),
        )

    def _end_run(
        self,
        address: model.Endpoint,
        engine: engines.RequestEngine,
        ended: events.RunEnded,
    ) -> None:
        if self.engines.get(address) is engine:
            self.feed(address, ended)

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
        for delay in self._link.carry(sender, receiver):
            self.calendar.schedule(
                self.calendar.now + delay,
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
