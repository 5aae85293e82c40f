"""Benchmarks of flows: balance, new targets, throughput and memory."""

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
from egretfork.agent import status as status_module
from egretfork.bench import agent_simulation
from egretfork import model
from egretfork.routing import ranking
from egretfork import wire

SECOND = datetime.timedelta(seconds=1)
HINT_DELAY = datetime.timedelta(milliseconds=100)
MAX_FLOW_BYTES = 1024 * 1024 * 1024
MEASUREMENTS = ("evenness", "join", "speed")
BASELINE_NAMES = ("hash_modulo", "rendezvous", "random")


class Baselines:
    """Open flows per target under simpler placement policies.

    The policies receive the same arrivals as the simulated agents.
    """

    def __init__(
        self,
        simulation: agent_simulation.AgentSimulation,
        seed: int,
        lifetime_s: float,
    ) -> None:
        self._simulation = simulation
        self._generator = random.Random(seed)
        self._lifetime = lifetime_s * SECOND
        self._open_flows: collections.deque[
            tuple[datetime.timedelta, tuple[model.Endpoint, ...]]
        ] = collections.deque()
        self.counts = [
            collections.Counter[model.Endpoint]() for _ in BASELINE_NAMES
        ]

    def add(self, number: int) -> None:
        """Place a new flow under each policy."""
        agents = tuple(self._simulation.agents)
        digest = xxhash.xxh3_64_intdigest(
            str(agent_simulation.build_flow_key(number).caller).encode()
        )
        chosen = (
            agents[digest % len(agents)],
            self._simulation.find_preferred_agent(number),
            self._generator.choice(agents),
        )
        self._open_flows.append(
            (self._simulation.now + self._lifetime, chosen)
        )
        for counts, agent in zip(self.counts, chosen, strict=True):
            counts[agent] += 1

    def expire(self) -> None:
        """Remove the flows whose lifetime has ended."""
        while (
            self._open_flows and self._open_flows[0][0] <= self._simulation.now
        ):
            _, chosen = self._open_flows.popleft()
            for counts, agent in zip(self.counts, chosen, strict=True):
                counts[agent] -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class Evenness:
    """Peak-to-mean ratio of open flows per target, worst sample."""

    seed: int
    flows_per_target: float
    peak_over_mean: float
    median_over_mean: float
    baselines: dict[str, float]


def compute_imbalance(counts: list[int]) -> float:
    """Return the peak-to-mean ratio."""
    return max(counts) / statistics.fmean(counts)


class PoissonArrivals:
    """Opens new flows as a Poisson process."""

    def __init__(
        self,
        simulation: agent_simulation.AgentSimulation,
        baselines: Baselines | None,
        rate_per_s: float,
    ) -> None:
        self._simulation = simulation
        self._baselines = baselines
        self._rate_per_s = rate_per_s
        self._numbers = itertools.count()
        self._first_number = simulation.generator.getrandbits(23)
        self._schedule()

    def _schedule(self) -> None:
        wait_s = self._simulation.generator.expovariate(self._rate_per_s)
        self._simulation.schedule(wait_s * SECOND, self._arrive)

    def _arrive(self) -> None:
        number = self._first_number + next(self._numbers)
        self._simulation.send_request(number)
        if self._baselines is not None:
            self._baselines.add(number)
        self._schedule()


def measure_evenness(
    seed: int, targets: int, flows_per_target: int, lifetime_s: float
) -> Evenness:
    """Fill a service, then sample its imbalance for one flow lifetime."""
    simulation = agent_simulation.AgentSimulation(
        seed, HINT_DELAY, lifetime_s * SECOND, 1000
    )
    for _ in range(targets):
        simulation.add_agent()
    simulation.run(2 * SECOND)
    baselines = Baselines(simulation, seed, lifetime_s)
    rate_per_s = targets * flows_per_target / lifetime_s
    PoissonArrivals(simulation, baselines, rate_per_s)
    simulation.run((lifetime_s + 5) * SECOND)
    samples: list[float] = []
    baseline_samples: list[list[float]] = []
    for _ in range(int(lifetime_s)):
        simulation.run(SECOND)
        baselines.expire()
        counts = [agent.flow_count for agent in simulation.agents.values()]
        samples.append(compute_imbalance(counts))
        baseline_samples.append(
            [
                compute_imbalance([item[agent] for agent in simulation.agents])
                for item in baselines.counts
            ]
        )
    worst = [max(column) for column in zip(*baseline_samples, strict=True)]
    return Evenness(
        seed,
        round(statistics.fmean(counts), 1),
        round(max(samples), 4),
        round(statistics.median(samples), 4),
        {
            name: round(value, 4)
            for name, value in zip(BASELINE_NAMES, worst, strict=True)
        },
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """New flows of an added target relative to the mean of the others."""

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
    """Add a target to a loaded service and count its new flows."""
    simulation = agent_simulation.AgentSimulation(
        seed, HINT_DELAY, lifetime_s * SECOND, 10_000
    )
    for _ in range(targets):
        simulation.add_agent()
    simulation.run(2 * SECOND)
    PoissonArrivals(simulation, None, targets * flows_per_target / lifetime_s)
    simulation.run((lifetime_s + 5) * SECOND)
    joined_agent = simulation.add_agent()
    ratios = []
    for _ in range(int(2 * lifetime_s / window_s)):
        before = dict(simulation.accepted_counts)
        simulation.run(window_s * SECOND)
        gained = {
            agent: simulation.accepted_counts[agent] - before[agent]
            for agent in simulation.agents
        }
        joined_count = gained.pop(joined_agent)
        ratios.append(
            round(joined_count / statistics.fmean(gained.values()), 3)
        )
    counts = {
        agent: item.flow_count for agent, item in simulation.agents.items()
    }
    joined_count = counts.pop(joined_agent)
    return Join(
        seed,
        tuple(ratios),
        max(ratios),
        round(joined_count / statistics.fmean(counts.values()), 3),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """Throughput and memory of one agent core at a number of flows."""

    flows: int
    bytes_per_flow: int
    estimated_bytes_per_flow: int
    admissions_per_s: int
    requests_per_s: int
    duplicates_per_s: int


def build_agent(count: int) -> core.AgentCore:
    """Build the core of a single agent with a high flow limit."""
    status = status_module.AgentStatus(
        identity=model.AgentIdentity("target-1", 1),
        address=model.Endpoint("10.254.0.1", 7100),
        service_name=agent_simulation.SERVICE,
    )
    agent = core.AgentCore(
        status,
        agent_simulation.TARGET_ADDRESS,
        random.Random(1),
        0,
        max_flow_bytes=MAX_FLOW_BYTES,
    )
    service = model.Service(
        name=agent_simulation.SERVICE,
        addresses=(str(agent_simulation.SERVICE_ADDRESS),),
        targets=("*",),
        connections=min(2 * count + 1000, 1_000_000),
        slots=1024,
    )
    configuration = model.Configuration(1, (service,))
    now = datetime.timedelta()
    handle_with_target(agent, events.ConfigurationChanged(configuration), now)
    handle_with_target(agent, events.Tick(), now)
    handle_with_target(agent, events.Tick(), now + SECOND)
    return agent


def handle_with_target(
    agent: core.AgentCore, event: events.Event, now: datetime.timedelta
) -> None:
    """Handle an event and feed back the answers of the target."""
    for action in agent.handle(event, now):
        payload = getattr(action, "payload", None)
        answer = (
            agent_simulation.build_target_answer(payload) if payload else None
        )
        if answer is not None:
            datagram = events.TargetDatagram(
                agent_simulation.TARGET_ADDRESS, answer
            )
            handle_with_target(agent, datagram, now)


def build_request_event(
    number: int, message_id: int
) -> events.MessageReceived:
    """Build the event of a forwarded request for a single agent."""
    flow = agent_simulation.build_flow_key(number)
    bucket = ranking.compute_bucket(agent_simulation.SERVICE, flow.caller)
    forwarded = wire.Forwarded(
        agent_simulation.SERVICE,
        1,
        flow,
        bucket,
        (model.Endpoint("10.254.0.1", 7100),),
        0,
        0,
        agent_simulation.ENTRY_ADDRESS,
        agent_simulation.build_request(message_id),
    )
    return events.MessageReceived(agent_simulation.ENTRY_ADDRESS, forwarded)


def measure_event_rate(
    agent: core.AgentCore, received: list[events.MessageReceived]
) -> int:
    """Return the number of datagrams that a core handles per second."""
    now = 2 * SECOND
    start = time.perf_counter()
    for event in received:
        handle_with_target(agent, event, now)
    return round(len(received) / (time.perf_counter() - start))


def measure_speed(count: int, sample: int = 1000) -> Speed:
    """Measure a core that holds ``count`` flows."""
    agent = build_agent(count)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        handle_with_target(agent, build_request_event(number, 1), 2 * SECOND)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    chosen = random.Random(1).sample(range(count), min(sample, count))
    new = range(count, count + sample)
    return Speed(
        flows=agent.flow_count,
        bytes_per_flow=used // count,
        estimated_bytes_per_flow=agent.read_sizes().flow_bytes // count,
        admissions_per_s=measure_event_rate(
            agent, [build_request_event(number, 1) for number in new]
        ),
        requests_per_s=measure_event_rate(
            agent, [build_request_event(number, 2) for number in chosen]
        ),
        duplicates_per_s=measure_event_rate(
            agent, [build_request_event(number, 1) for number in chosen]
        ),
    )


@click.command()
@click.option(
    "--part",
    "parts",
    multiple=True,
    type=click.Choice(MEASUREMENTS),
    default=MEASUREMENTS,
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
