"""Benchmarks of request engines: wait for a slot, and goodput."""

import dataclasses
import datetime
import json
import random
import typing

import click

from egretfork.agent import events
from egretfork.bench import engine_simulation
from egretfork.bench import queueing_baselines
from egretfork.bench import request_memory
from egretfork import model
from egretfork import wire

MIN_DELAY_S = 0.002
MAX_DELAY_S = 0.008
WARM_UP_SHARE = 0.05
NO_DEADLINE_MS = 300_000
MEMORY_COUNTS = (1_000, 10_000, 60_000)
SECOND = datetime.timedelta(seconds=1)
WALL_CLOCK_ZERO_MS = 1_700_000_000_000


class UniformLink:
    """Delivers every datagram with a delay of 2 to 8 ms."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def transmit(
        self, sender: model.Endpoint, receiver: model.Endpoint
    ) -> tuple[datetime.timedelta]:
        """Return the delay of the single copy."""
        delay_s = self._generator.uniform(MIN_DELAY_S, MAX_DELAY_S)
        return (datetime.timedelta(seconds=delay_s),)


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """Timeline and outcome of one request, in seconds of virtual time."""

    job: queueing_baselines.Job
    started_s: float | None = None
    finished_s: float | None = None
    kind: wire.WorkResultKind | None = None


class Experiment:
    """Submits jobs to request engines and records their outcomes."""

    def __init__(
        self,
        jobs: list[queueing_baselines.Job],
        targets: int,
        slots: int,
        deadline_ms: int,
        keyed: bool,
        seed: int,
    ) -> None:
        self.traces = [RequestTrace(job) for job in jobs]
        self.max_sent_in_second = 0
        self._deadline_ms = deadline_ms
        self._keyed = keyed
        self._generator = random.Random(f"experiment/{seed}")
        service = model.Service(
            name="hatlog",
            addresses=("192.0.2.1:5683",),
            targets=("agent-*",),
            slots=slots,
        )
        self.simulation = engine_simulation.EngineSimulation(
            service,
            UniformLink(random.Random(f"link/{seed}")),
            self,
            self._finish,
            WALL_CLOCK_ZERO_MS,
        )
        self._addresses = [self.simulation.start(i) for i in range(targets)]
        self.simulation.distribute_announcements()
        self.simulation.create_record_group(self._addresses[:3])
        for address in self._addresses:
            self.simulation.configure(address)

    def run(self) -> None:
        """Submit all jobs and run until 10 s after the last arrival."""
        self._schedule_arrival(0)
        last = self.traces[-1].job.arrival_s + 10
        self.simulation.event_queue.run_until(datetime.timedelta(seconds=last))

    def _schedule_arrival(self, index: int) -> None:
        if index >= len(self.traces):
            return
        due = datetime.timedelta(seconds=self.traces[index].job.arrival_s)
        self.simulation.event_queue.schedule(due, lambda: self._submit(index))

    def _submit(self, index: int) -> None:
        address = self._generator.choice(self._addresses)
        body = wire.RequestBody(
            request_id=index,
            origin=address,
            idempotent=not self._keyed,
            key=self._build_key() if self._keyed else b"",
            attempt=0,
            deadline_ms=self._deadline_ms,
            payload=index.to_bytes(4, "big"),
        )
        self.simulation.feed(address, events.SubmitRequest(body))
        self._schedule_arrival(index + 1)

    def _build_key(self) -> bytes:
        elapsed_ms = self.simulation.event_queue.now // (SECOND / 1000)
        created_ms = WALL_CLOCK_ZERO_MS + elapsed_ms
        random_bytes = self._generator.randbytes(9)
        return created_ms.to_bytes(6, "big") + b"\x70" + random_bytes

    def start(
        self, agent: model.Endpoint, run: events.StartRun
    ) -> tuple[datetime.timedelta, events.RunEnded]:
        """Record the start of a run, which takes the run time of its job."""
        trace = self.traces[int.from_bytes(run.payload, "big")]
        trace.started_s = self.simulation.event_queue.now / SECOND
        return datetime.timedelta(seconds=trace.job.run_s), events.RunEnded(
            run.run_id, wire.WorkResultKind.ANSWERED, run.payload
        )

    def cancel(self, agent: model.Endpoint, run_id: int) -> bool:
        """Return false: runs ignore cancellation, the worse case."""
        return False

    def _finish(
        self, agent: model.Endpoint, finished: events.RequestFinished
    ) -> None:
        trace = self.traces[finished.request_id]
        trace.finished_s = self.simulation.event_queue.now / SECOND
        trace.kind = finished.kind


def compute_percentile(values: typing.Sequence[float], share: float) -> float:
    """Return a percentile; ``share`` is between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


Results = dict[str, typing.Any]


def _skip_warm_up(values: list[float]) -> list[float]:
    return values[int(len(values) * WARM_UP_SHARE) :]


def summarize_waits(waits: list[float], mean_s: float) -> Results:
    """Return percentiles and mean of waits, in units of the mean run time."""
    steady_state = _skip_warm_up(waits)
    return {
        "p50": round(compute_percentile(steady_state, 0.5) / mean_s, 4),
        "p99": round(compute_percentile(steady_state, 0.99) / mean_s, 4),
        "mean": round(sum(steady_state) / len(steady_state) / mean_s, 4),
    }


def summarize_traffic(experiment: Experiment) -> Results:
    """Return the messages and bytes sent per second and agent."""
    traffic = experiment.simulation.traffic
    span_s = experiment.traces[-1].job.arrival_s
    agent_seconds = span_s * len(experiment.simulation.engines)
    return {
        kind: {
            "messages_per_s": round(count / agent_seconds, 3),
            "bytes_per_s": round(traffic.sizes[kind] / agent_seconds, 1),
        }
        for kind, count in sorted(traffic.messages.items())
    }


def measure_waits(
    requests: int,
    targets: int,
    slots: int,
    load: float,
    mean_s: float,
    keyed: bool,
    seed: int,
) -> Results:
    """Compare the waits of the engines with those of the baselines."""
    rate = load * targets * slots / mean_s
    generator = random.Random(f"jobs/{seed}")
    jobs = queueing_baselines.build_jobs(requests, rate, mean_s, generator)
    experiment = Experiment(jobs, targets, slots, NO_DEADLINE_MS, keyed, seed)
    experiment.run()
    waits = [
        trace.started_s - trace.job.arrival_s
        for trace in experiment.traces
        if trace.started_s is not None
    ]
    ideal = queueing_baselines.simulate_shared_queue(jobs, targets * slots)
    results = {
        "engine": summarize_waits(waits, mean_s),
        "ideal": summarize_waits(ideal, mean_s),
    }
    choices = {
        "shortest": queueing_baselines.choose_least_loaded,
        "two_choices": queueing_baselines.choose_less_loaded_of_two,
        "random": queueing_baselines.choose_random,
    }
    for name, choose in choices.items():
        results[name] = summarize_waits(
            queueing_baselines.simulate_separate_queues(
                jobs, targets, slots, choose, generator
            ),
            mean_s,
        )
    return {
        "seed": seed,
        "keyed": keyed,
        "requests": requests,
        "not_started": requests - len(waits),
        "p99_over_ideal": round(
            results["engine"]["p99"] / results["ideal"]["p99"], 3
        ),
        "waits_in_mean_run_times": results,
        "traffic_per_agent": summarize_traffic(experiment),
    }


def measure_overload(
    requests: int,
    targets: int,
    slots: int,
    load: float,
    mean_s: float,
    deadline_ms: int,
    keyed: bool,
    seed: int,
) -> Results:
    """Measure goodput and refusals when the load exceeds the capacity."""
    capacity = targets * slots / mean_s
    generator = random.Random(f"jobs/{seed}")
    jobs = queueing_baselines.build_jobs(
        requests, load * capacity, mean_s, generator
    )
    experiment = Experiment(jobs, targets, slots, deadline_ms, keyed, seed)
    experiment.run()
    steady_state = experiment.traces[int(requests * WARM_UP_SHARE) :]
    span_s = steady_state[-1].job.arrival_s - steady_state[0].job.arrival_s
    times = {
        kind: [
            trace.finished_s - trace.job.arrival_s
            for trace in steady_state
            if trace.kind is kind and trace.finished_s is not None
        ]
        for kind in wire.WorkResultKind
    }
    deadline_s = deadline_ms / 1000
    answered_in_time = sum(
        1
        for spent in times[wire.WorkResultKind.ANSWERED]
        if spent <= deadline_s
    )
    refused = times[wire.WorkResultKind.REFUSED]
    return {
        "seed": seed,
        "keyed": keyed,
        "requests": requests,
        "deadline_ms": deadline_ms,
        "goodput_over_capacity": round(
            answered_in_time / span_s / capacity, 4
        ),
        "outcomes": {kind.value: len(times[kind]) for kind in times},
        "no_outcome": sum(1 for item in steady_state if item.kind is None),
        "latest_refusal_over_deadline": round(
            max(refused, default=0.0) / deadline_s, 4
        ),
        "median_refusal_ms": (
            round(compute_percentile(refused, 0.5) * 1000, 2)
            if refused
            else None
        ),
        "traffic_per_agent": summarize_traffic(experiment),
    }


@click.command("requests")
@click.option("--requests", default=100_000, show_default=True)
@click.option("--overload-requests", default=20_000, show_default=True)
@click.option("--first-seed", default=0, show_default=True)
@click.option("--seeds", default=1, show_default=True)
@click.option("--targets", default=7, show_default=True)
@click.option("--slots", default=2, show_default=True)
@click.option("--load", default=0.7, show_default=True)
@click.option("--overload", default=1.5, show_default=True)
@click.option("--mean-ms", default=200.0, show_default=True)
@click.option("--deadline-ms", default=2_000, show_default=True)
@click.option("--keyed/--idempotent", default=False, show_default=True)
@click.option("--memory/--no-memory", default=False, show_default=True)
def command(
    requests: int,
    overload_requests: int,
    first_seed: int,
    seeds: int,
    targets: int,
    slots: int,
    load: float,
    overload: float,
    mean_ms: float,
    deadline_ms: int,
    keyed: bool,
    memory: bool,
) -> None:
    """Measure waits for a slot and goodput in virtual time."""
    mean_s = mean_ms / 1000
    counts = MEMORY_COUNTS if memory else ()
    results: Results = {
        "memory": request_memory.measure_memory(counts),
        "waits": [
            measure_waits(requests, targets, slots, load, mean_s, keyed, seed)
            for seed in range(first_seed, first_seed + seeds)
            if requests
        ],
        "overload": [
            measure_overload(
                overload_requests,
                targets,
                slots,
                overload,
                mean_s,
                deadline_ms,
                keyed,
                seed,
            )
            for seed in range(first_seed, first_seed + seeds)
            if overload_requests
        ],
    }
    click.echo(json.dumps(results, indent=2))
