"""Measurements of flows: evenness, joins, speed and size."""

import collections
import dataclasses
import datetime
import gc
import itertools
import json
import random
import statistics
import time
import tracemalloc
import typing

import click
import xxhash

from egretfork.agent import core
from egretfork.agent import events
from egretfork.agent import status as statuses
from egretfork.bench import cells
from egretfork import model
from egretfork.routing import ranking
from egretfork import wire

SECOND = datetime.timedelta(seconds=1)
HINT_DELAY = datetime.timedelta(milliseconds=100)
MAX_FLOW_BYTES = 1024 * 1024 * 1024
PARTS = ("evenness", "join", "speed")
BASELINES = ("hash_modulo", "rendezvous", "random")


class Baselines:
    """Open flows a target under simpler rules, for the same arrivals."""

    def __init__(self, cell: cells.Cell, seed: int, lifetime_s: float) -> None:
        self._cell = cell
        self._generator = random.Random(seed)
        self._lifetime = lifetime_s * SECOND
        self._open: collections.deque[
            tuple[datetime.timedelta, tuple[model.Endpoint, ...]]
        ] = collections.deque()
        self.counts = [
            collections.Counter[model.Endpoint]() for _ in BASELINES
        ]

    def add(self, number: int) -> None:
        """Place one new flow by each rule."""
        agents = tuple(self._cell.agents)
        digest = xxhash.xxh3_64_intdigest(
            str(cells.build_caller(number).caller).encode()
        )
        chosen = (
            agents[digest % len(agents)],
            self._cell.find_first(number),
            self._generator.choice(agents),
        )
        self._open.append((self._cell.now + self._lifetime, chosen))
        for counts, agent in zip(self.counts, chosen, strict=True):
            counts[agent] += 1

    def expire(self) -> None:
        """End the flows past their lifetime."""
        while self._open and self._open[0][0] <= self._cell.now:
            _, chosen = self._open.popleft()
            for counts, agent in zip(self.counts, chosen, strict=True):
                counts[agent] -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class Evenness:
    """Peak over mean of open flows a target, the worst of all samples."""

    seed: int
    flows_per_target: float
    peak_over_mean: float
    median_over_mean: float
    baselines: dict[str, float]


def find_imbalance(counts: list[int]) -> float:
    """Return peak over mean."""
    return max(counts) / statistics.fmean(counts)


class Arrivals:
    """New flows at random instants of a constant mean rate."""

    def __init__(
        self, cell: cells.Cell, baselines: Baselines | None, rate_per_s: float
    ) -> None:
        self._cell = cell
        self._baselines = baselines
        self._rate_per_s = rate_per_s
        self._numbers = itertools.count()
        self._base = cell.generator.getrandbits(23)
        self._schedule()

    def _schedule(self) -> None:
        wait_s = self._cell.generator.expovariate(self._rate_per_s)
        self._cell.schedule(wait_s * SECOND, self._arrive)

    def _arrive(self) -> None:
        number = self._base + next(self._numbers)
        self._cell.send_request(number)
        if self._baselines is not None:
            self._baselines.add(number)
        self._schedule()


def measure_evenness(
    seed: int, targets: int, flows_per_target: int, lifetime_s: float
) -> Evenness:
    """Fill a service, then sample its imbalance for one lifetime."""
    cell = cells.Cell(seed, HINT_DELAY, lifetime_s * SECOND, 1000)
    for _ in range(targets):
        cell.add_agent()
    cell.run(2 * SECOND)
    baselines = Baselines(cell, seed, lifetime_s)
    rate_per_s = targets * flows_per_target / lifetime_s
    Arrivals(cell, baselines, rate_per_s)
    cell.run((lifetime_s + 5) * SECOND)
    samples: list[float] = []
    plain: list[list[float]] = []
    for _ in range(int(lifetime_s)):
        cell.run(SECOND)
        baselines.expire()
        counts = [agent.flow_count for agent in cell.agents.values()]
        samples.append(find_imbalance(counts))
        plain.append(
            [
                find_imbalance([item[agent] for agent in cell.agents])
                for item in baselines.counts
            ]
        )
    worst = [max(column) for column in zip(*plain, strict=True)]
    return Evenness(
        seed,
        round(statistics.fmean(counts), 1),
        round(max(samples), 4),
        round(statistics.median(samples), 4),
        {
            name: round(value, 4)
            for name, value in zip(BASELINES, worst, strict=True)
        },
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """A newcomer's new flows over the mean of the others'."""

    seed: int
    ratios: tuple[float, ...]
    worst: float
    flows_over_mean: float


def measure_join(
    seed: int,
    targets: int,
    flows_per_target: int,
    lifetime_s: float,
    window_s: float,
) -> Join:
    """Add a target to a full service and count its new flows."""
    cell = cells.Cell(seed, HINT_DELAY, lifetime_s * SECOND, 10_000)
    for _ in range(targets):
        cell.add_agent()
    cell.run(2 * SECOND)
    Arrivals(cell, None, targets * flows_per_target / lifetime_s)
    cell.run((lifetime_s + 5) * SECOND)
    newcomer = cell.add_agent()
    ratios = []
    for _ in range(int(2 * lifetime_s / window_s)):
        before = dict(cell.admitted)
        cell.run(window_s * SECOND)
        gained = {
            agent: cell.admitted[agent] - before[agent]
            for agent in cell.agents
        }
        own = gained.pop(newcomer)
        ratios.append(round(own / statistics.fmean(gained.values()), 3))
    counts = {agent: item.flow_count for agent, item in cell.agents.items()}
    own = counts.pop(newcomer)
    return Join(
        seed,
        tuple(ratios),
        max(ratios),
        round(own / statistics.fmean(counts.values()), 3),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """Cost of one agent core at a number of flows."""

    flows: int
    bytes_per_flow: int
    estimated_bytes_per_flow: int
    admissions_per_s: int
    requests_per_s: int
    duplicates_per_s: int


def build_single(count: int) -> core.AgentCore:
    """Build the core of a lone agent that may hold many flows."""
    status = statuses.AgentStatus(
        identity=model.AgentIdentity("target-1", 1),
        address=model.Endpoint("10.254.0.1", 7100),
        service_name=cells.SERVICE,
    )
    agent = core.AgentCore(
        status,
        cells.TARGET,
        random.Random(1),
        0,
        max_flow_bytes=MAX_FLOW_BYTES,
    )
    service = model.Service(
        name=cells.SERVICE,
        addresses=(str(cells.SERVICE_ADDRESS),),
        targets=("*",),
        connections=min(2 * count + 1000, 1_000_000),
        slots=1024,
    )
    configuration = model.Configuration(1, (service,))
    now = datetime.timedelta()
    handle_all(agent, events.ConfigurationChanged(configuration), now)
    handle_all(agent, events.Tick(), now)
    handle_all(agent, events.Tick(), now + SECOND)
    return agent


def handle_all(
    agent: core.AgentCore, event: events.Event, now: datetime.timedelta
) -> None:
    """Handle an event and the target's answers to it."""
    for action in agent.handle(event, now):
        payload = getattr(action, "payload", None)
        answer = cells.answer_at_once(payload) if payload else None
        if answer is not None:
            datagram = events.TargetDatagram(cells.TARGET, answer)
            handle_all(agent, datagram, now)


def build_event(number: int, message_id: int) -> events.MessageReceived:
    """Build the datagram of a caller for a lone agent."""
    flow = cells.build_caller(number)
    bucket = ranking.compute_bucket(cells.SERVICE, flow.caller)
    forwarded = wire.Forwarded(
        cells.SERVICE,
        1,
        flow,
        bucket,
        (model.Endpoint("10.254.0.1", 7100),),
        0,
        0,
        cells.ENTRY,
        cells.build_request(message_id),
    )
    return events.MessageReceived(cells.ENTRY, forwarded)


def time_events(
    agent: core.AgentCore, received: list[events.MessageReceived]
) -> int:
    """Return how many datagrams a core handles in a second."""
    now = 2 * SECOND
    start = time.perf_counter()
    for event in received:
        handle_all(agent, event, now)
    return round(len(received) / (time.perf_counter() - start))


def measure_speed(count: int, sample: int = 1000) -> Speed:
    """Measure a core that holds ``count`` flows."""
    agent = build_single(count)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        handle_all(agent, build_event(number, 1), 2 * SECOND)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    chosen = random.Random(1).sample(range(count), min(sample, count))
    new = range(count, count + sample)
    return Speed(
        flows=agent.flow_count,
        bytes_per_flow=used // count,
        estimated_bytes_per_flow=agent.read_sizes().flow_bytes // count,
        admissions_per_s=time_events(
            agent, [build_event(number, 1) for number in new]
        ),
        requests_per_s=time_events(
            agent, [build_event(number, 2) for number in chosen]
        ),
        duplicates_per_s=time_events(
            agent, [build_event(number, 1) for number in chosen]
        ),
    )


@click.command()
@click.option(
    "--part",
    "parts",
    multiple=True,
    type=click.Choice(PARTS),
    default=PARTS,
    help="Measurement to make; all if none is named.",
)
@click.option("--first-seed", default=1, help="First seed.")
@click.option("--seeds", default=5, help="Number of seeds.")
@click.option("--targets", default=7, help="Targets of the service.")
@click.option("--flows", "per_target", default=1400, help="Flows a target.")
@click.option("--lifetime-s", default=120.0, help="Lifetime of a flow.")
@click.option(
    "--sizes", default="1000,10000,100000", help="Numbers of flows, commas."
)
def command(
    parts: tuple[str, ...],
    first_seed: int,
    seeds: int,
    targets: int,
    per_target: int,
    lifetime_s: float,
    sizes: str,
) -> None:
    """Measure evenness, joins, speed and size of flows."""
    chosen = range(first_seed, first_seed + seeds)
    result: dict[str, list[dict[str, typing.Any]]] = {}
    if "evenness" in parts:
        result["evenness"] = [
            dataclasses.asdict(
                measure_evenness(seed, targets, per_target, lifetime_s)
            )
            for seed in chosen
        ]
    if "join" in parts:
        result["join"] = [
            dataclasses.asdict(
                measure_join(seed, targets, per_target, lifetime_s, 10)
            )
            for seed in chosen
        ]
    if "speed" in parts:
        result["speed"] = [
            dataclasses.asdict(measure_speed(int(size)))
            for size in sizes.split(",")
        ]
    click.echo(json.dumps(result, indent=2))
