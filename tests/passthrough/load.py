"""Discrete-event simulation of callers, entries, agents and targets.

The cores are the real ones; callers, targets and delays are simulated. Each
flow carries one request.
"""

import collections
import dataclasses
import datetime
import heapq
import itertools
import random
import typing

import msgspec

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import agent
from egretfork.passthrough import entry
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import reports
from egretfork.passthrough import routing
from tests.passthrough import support

ZONES = 4
# One-way delays in seconds.
CALLER_DELAY = 0.003
ZONE_DELAY = 0.003
LOCAL_DELAY = 0.0001
TARGET_DELAY = 0.0003
TICK_S = 0.03
REPORT_S = 0.77
TIMING = reports.ReportTiming(
    lease=datetime.timedelta(seconds=1.8),
    interval=datetime.timedelta(seconds=REPORT_S),
    retry_interval=datetime.timedelta(seconds=REPORT_S),
)
COPY_DELAYS_S = (0.2, 0.6)
GIVE_UP_S = 1.4
WORK_MEAN_S = 0.016
WORK_SIGMA = 0.47
TARGET_QUEUE = 4


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request and its outcome.

    Attributes:
        outcome: answered, rejected (by the target), refused (before it
            opened) or an empty string.
    """

    flow: packets.FlowKey
    entry: int
    zone: int
    made_at: float
    work: float
    accepted_by: int = -1
    outcome: str = ""
    ended_at: float = 0.0

    @property
    def wait(self) -> float:
        """Return the time to the outcome without the work, in seconds."""
        return self.ended_at - self.made_at - self.work


class SlotTarget:
    """Target with one slot and a short queue that rejects what exceeds it."""

    def __init__(self) -> None:
        self.queued: collections.deque[Request] = collections.deque()
        self.running: Request | None = None
        self.arrivals = 0

    def accept(self, request: Request) -> bool:
        """Queue a request; return whether there was room."""
        self.arrivals += 1
        if self.running is not None and len(self.queued) >= TARGET_QUEUE:
            return False
        self.queued.append(request)
        return True


class LoadSimulation:
    """Runs Poisson arrivals of flows with one request each."""

    def __init__(
        self, targets: int, entries: int, utilization: float, seed: int
    ) -> None:
        self._random = random.Random(seed)
        self._now = 0.0
        self._events: list[
            tuple[
                float, int, typing.Callable[..., None], tuple[typing.Any, ...]
            ]
        ] = []
        self._numbers = itertools.count()
        self.requests: dict[packets.FlowKey, Request] = {}
        self.targets = [SlotTarget() for _ in range(targets)]
        self._rate = utilization * targets / WORK_MEAN_S
        self._entries = [self._build_entry(i) for i in range(entries)]
        self._agents = [self._build_agent(i) for i in range(targets)]
        addresses = tuple(support.entry_address(i) for i in range(entries))
        for number, core in enumerate(self._agents):
            self._report(number, 1)
            offset = self._random.random()
            self._schedule(offset * TICK_S, self._tick_agent, number)
            self._execute_agent(
                core.handle_entries(addresses, self._time()), number
            )
        for number in range(entries):
            offset = self._random.random()
            self._schedule(offset * TICK_S, self._tick_entry, number)

    def run(self, seconds: float) -> list[Request]:
        """Return the requests of a run after a warm-up of one second."""
        start = 1.0
        made_at = start
        while made_at < start + seconds:
            self._add_request(made_at)
            made_at += self._random.expovariate(self._rate)
        while self._events and self._now < start + seconds + GIVE_UP_S:
            self._now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return [r for r in self.requests.values() if r.made_at >= start + 0.5]

    def _build_entry(self, number: int) -> entry.EntryCore:
        core = entry.EntryCore(
            f"zone-{number % ZONES}", support.FakeCodec(), self._time()
        )
        core.handle_routing(support.build_routing(1), self._time())
        return core

    def _build_agent(self, number: int) -> agent.AgentCore:
        identity = agent.AgentIdentity(
            f"agent-{number}", f"zone-{number % ZONES}", 1
        )
        return agent.AgentCore(
            identity, support.FakeCodec(), TIMING, self._time()
        )

    def _time(self) -> datetime.timedelta:
        return datetime.timedelta(seconds=self._now)

    def _schedule(
        self,
        delay: float,
        function: typing.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        heapq.heappush(
            self._events,
            (self._now + delay, next(self._numbers), function, arguments),
        )

    # Callers

    def _add_request(self, made_at: float) -> None:
        flow = support.build_flow(len(self.requests))
        number = self._random.randrange(len(self._entries))
        work = self._random.lognormvariate(0, WORK_SIGMA) * WORK_MEAN_S
        work /= 2.718281828 ** (WORK_SIGMA**2 / 2)
        request = Request(flow, number, number % ZONES, made_at, work)
        self.requests[flow] = request
        for delay in (0.0, *COPY_DELAYS_S):
            self._schedule(
                made_at - self._now + delay, self._send_opening, request
            )

    def _send_opening(self, request: Request) -> None:
        if request.accepted_by < 0 and not request.outcome:
            self._send_from_caller(request, "open", 0)

    def _send_from_caller(
        self, request: Request, kind: str, size: int
    ) -> None:
        packet = support.encode(support.WirePacket(request.flow, kind, size))
        self._schedule(
            CALLER_DELAY, self._deliver_to_entry, request.entry, packet
        )

    def _deliver_to_entry(self, number: int, packet: bytes) -> None:
        core = self._entries[number]
        self._execute_entry(core.handle_packet(packet, self._time()), number)

    def _deliver_to_caller(self, data: bytes, source: int) -> None:
        packet = msgspec.msgpack.decode(data, type=support.WirePacket)
        request = self.requests[packet.flow]
        if packet.kind == "accept" and request.accepted_by < 0:
            request.accepted_by = source
            self._send_from_caller(request, "data", 300)
        elif packet.kind == "data" and not request.outcome:
            answered = packet.payload_bytes > 1
            self._end(request, "answered" if answered else "rejected")
            self._send_from_caller(request, "finish", 0)
        elif packet.kind == "reset" and not request.outcome:
            self._end(request, "refused")

    def _end(self, request: Request, outcome: str) -> None:
        request.outcome = outcome
        request.ended_at = self._now

    # Targets

    def _deliver_to_target(self, number: int, data: bytes) -> None:
        packet = msgspec.msgpack.decode(data, type=support.WirePacket)
        request = self.requests[packet.flow]
        if packet.kind == "open":
            self._send_from_target(number, packet.flow, "accept", 0)
        elif packet.kind == "data":
            if self.targets[number].accept(request):
                self._start_next(number)
            else:
                self._send_from_target(number, packet.flow, "data", 1)
        elif packet.kind == "finish":
            self._send_from_target(number, packet.flow, "finish", 0)

    def _start_next(self, number: int) -> None:
        simulated = self.targets[number]
        if simulated.running is None and simulated.queued:
            simulated.running = simulated.queued.popleft()
            work = simulated.running.work
            self._schedule(work, self._finish, number)

    def _finish(self, number: int) -> None:
        simulated = self.targets[number]
        assert simulated.running is not None
        flow = simulated.running.flow
        simulated.running = None
        self._send_from_target(number, flow, "data", 500)
        self._start_next(number)

    def _send_from_target(
        self, number: int, flow: packets.FlowKey, kind: str, size: int
    ) -> None:
        packet = support.encode(support.WirePacket(flow, kind, size))
        core = self._agents[number]
        self._execute_agent(
            core.handle_target_packet(packet, self._time()), number
        )

    # Nodes

    def _report(self, number: int, sequence: int) -> None:
        report = reports.TargetReport(
            f"i-{number}", 1, sequence, support.SERVICE, 1, False
        )
        core = self._agents[number]
        self._execute_agent(core.handle_report(report, self._time()), number)
        self._schedule(REPORT_S, self._report, number, sequence + 1)

    def _tick_agent(self, number: int) -> None:
        core = self._agents[number]
        self._execute_agent(core.handle_tick(self._time()), number)
        self._schedule(TICK_S, self._tick_agent, number)

    def _tick_entry(self, number: int) -> None:
        core = self._entries[number]
        self._execute_entry(core.handle_tick(self._time()), number)
        self._schedule(TICK_S, self._tick_entry, number)

    def _execute_entry(
        self, requested: list[actions.Action], number: int
    ) -> None:
        source = support.entry_address(number)
        for action in requested:
            match action:
                case actions.SendMessage():
                    agent_number = action.peer.port
                    self._schedule(
                        _get_delay(number, agent_number),
                        self._deliver_to_agent,
                        agent_number,
                        action.message,
                        source,
                    )
                case actions.SendToCaller():
                    self._schedule(
                        CALLER_DELAY, self._deliver_to_caller, action.data, -1
                    )

    def _execute_agent(
        self, requested: list[actions.Action], number: int
    ) -> None:
        for action in requested:
            match action:
                case actions.SendMessage():
                    self._send_from_agent(action, number)
                case actions.SendToTarget():
                    self._schedule(
                        TARGET_DELAY,
                        self._deliver_to_target,
                        number,
                        action.data,
                    )
                case actions.SendToCaller():
                    request = self.requests[action.flow]
                    delay = CALLER_DELAY + _get_delay(number, request.zone)
                    self._schedule(
                        delay, self._deliver_to_caller, action.data, number
                    )

    def _send_from_agent(
        self, action: actions.SendMessage, number: int
    ) -> None:
        if action.peer.host == support.AGENT_HOST:
            delay = _get_delay(number, action.peer.port)
            source = support.agent_address(number)
            self._schedule(
                delay,
                self._deliver_to_agent,
                action.peer.port,
                action.message,
                source,
            )
            return
        entry_number = action.peer.port - support.FIRST_ENTRY_PORT
        self._schedule(
            _get_delay(number, entry_number),
            self._deliver_message_to_entry,
            entry_number,
            action.message,
            support.agent_address(number),
        )

    def _deliver_to_agent(
        self, number: int, message: messages.Message, source: model.Endpoint
    ) -> None:
        requested = self._agents[number].handle_message(
            message, source, self._time()
        )
        self._execute_agent(requested, number)

    def _deliver_message_to_entry(
        self, number: int, message: messages.Message, source: model.Endpoint
    ) -> None:
        requested = self._entries[number].handle_message(
            message, source, self._time()
        )
        self._execute_entry(requested, number)


def _get_delay(one: int, other: int) -> float:
    return LOCAL_DELAY if one % ZONES == other % ZONES else ZONE_DELAY


def compute_single_queue_waits(
    requests: typing.Sequence[Request], targets: int
) -> list[float]:
    """Return the waits for a slot if one queue served all slots."""
    free_at = [0.0] * targets
    heapq.heapify(free_at)
    waits: list[float] = []
    for request in requests:
        started_at = max(heapq.heappop(free_at), request.made_at)
        heapq.heappush(free_at, started_at + request.work)
        waits.append(started_at - request.made_at)
    return waits


Choice = typing.Callable[[Request, list[SlotTarget], random.Random], int]


def choose_at_random(
    request: Request, targets: list[SlotTarget], generator: random.Random
) -> int:
    """Choose any target."""
    return generator.randrange(len(targets))


def choose_by_hash(
    request: Request, targets: list[SlotTarget], generator: random.Random
) -> int:
    """Choose a target by the flow's address modulo the number of targets."""
    return routing.hash_flow(request.flow) % len(targets)


def choose_of_two(
    request: Request, targets: list[SlotTarget], generator: random.Random
) -> int:
    """Choose the target with fewer requests of two, as if it were known."""
    return min(
        generator.sample(range(len(targets)), 2),
        key=lambda i: len(targets[i].queued) + bool(targets[i].running),
    )


def count_rejected(
    requests: typing.Sequence[Request],
    targets: int,
    choose: Choice,
    seed: int,
) -> int:
    """Return how many requests targets reject under another policy."""
    generator = random.Random(seed)
    simulated = [SlotTarget() for _ in range(targets)]
    ends: list[tuple[float, int]] = []
    rejected = 0
    for request in requests:
        while ends and ends[0][0] <= request.made_at:
            now, number = heapq.heappop(ends)
            _run_next(simulated[number], ends, now, number)
        number = choose(request, simulated, generator)
        if not simulated[number].accept(request):
            rejected += 1
        elif simulated[number].running is None:
            _run_next(simulated[number], ends, request.made_at, number)
    return rejected


def _run_next(
    simulated: SlotTarget,
    ends: list[tuple[float, int]],
    now: float,
    number: int,
) -> None:
    simulated.running = (
        simulated.queued.popleft() if simulated.queued else None
    )
    if simulated.running is not None:
        heapq.heappush(ends, (now + simulated.running.work, number))
