"""Waits for a slot and goodput of request engines, against baselines."""

import dataclasses
import datetime
import json
import random
import typing

import click

from egretfork.agent import events
from egretfork.bench import agents
from egretfork.bench import request_memory
from egretfork.bench import shared_queue
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
    """Carries every datagram with a delay of 2 to 8 ms."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def carry(
        self, sender: model.Endpoint, receiver: model.Endpoint
    ) -> tuple[datetime.timedelta]:
        """Return the delay of the only copy."""
        delay_s = self._rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        return (datetime.timedelta(seconds=delay_s),)


@dataclasses.dataclass(slots=True)
class Trace:
    """What happened to one request, instants in seconds."""

    job: shared_queue.Job
    started_s: float | None = None
    finished_s: float | None = None
    kind: wire.WorkResultKind | None = None


class Experiment:
    """Feeds jobs to request engines and notes what happens to them."""

    def __init__(
        self,
        jobs: list[shared_queue.Job],
        targets: int,
        slots: int,
        deadline_ms: int,
        keyed: bool,
        seed: int,
    ) -> None:
        self.traces = [Trace(job) for job in jobs]
        self.max_sent_in_second = 0
        self._deadline_ms = deadline_ms
        self._keyed = keyed
        self._rng = random.Random(f"experiment/{seed}")
        service = model.Service(
            name="hatlog",
            addresses=("192.0.2.1:5683",),
            targets=("agent-*",),
            slots=slots,
        )
        self.agents = agents.Agents(
            service,
            UniformLink(random.Random(f"link/{seed}")),
            self,
            self._finish,
            WALL_CLOCK_ZERO_MS,
        )
        self._addresses = [self.agents.start(i) for i in range(targets)]
        self.agents.announce()
        self.agents.form_group(self._addresses[:3])
        for address in self._addresses:
            self.agents.configure(address)

    def run(self) -> None:
        """Feed all jobs and let them end."""
        self._feed(0)
        last = self.traces[-1].job.arrival_s + 10
        self.agents.calendar.run_until(datetime.timedelta(seconds=last))

    def _feed(self, index: int) -> None:
        if index >= len(self.traces):
            return
        due = datetime.timedelta(seconds=self.traces[index].job.arrival_s)
        self.agents.calendar.schedule(due, lambda: self._submit(index))

    def _submit(self, index: int) -> None:
        address = self._rng.choice(self._addresses)
        body = wire.RequestBody(
            request_id=index,
            origin=address,
            idempotent=not self._keyed,
            key=self._make_key() if self._keyed else b"",
            attempt=0,
            deadline_ms=self._deadline_ms,
            payload=index.to_bytes(4, "big"),
        )
        self.agents.feed(address, events.SubmitRequest(body))
        self._feed(index + 1)

    def _make_key(self) -> bytes:
        passed_ms = self.agents.calendar.now // (SECOND / 1000)
        made_ms = WALL_CLOCK_ZERO_MS + passed_ms
        tail = self._rng.randbytes(9)
        return made_ms.to_bytes(6, "big") + b"\x70" + tail

    def start(
        self, agent: model.Endpoint, run: events.StartRun
    ) -> tuple[datetime.timedelta, events.RunEnded]:
        """Note the start of a run; it takes the time of its job."""
        trace = self.traces[int.from_bytes(run.payload, "big")]
        trace.started_s = self.agents.calendar.now / SECOND
        return datetime.timedelta(seconds=trace.job.run_s), events.RunEnded(
            run.run_id, wire.WorkResultKind.ANSWERED, run.payload
        )

    def cancel(self, agent: model.Endpoint, run_id: int) -> bool:
        """Runs go on after a cancellation, which is the worse case."""
        return False

    def _finish(
        self, agent: model.Endpoint, finished: events.RequestFinished
    ) -> None:
        trace = self.traces[finished.request_id]
        trace.finished_s = self.agents.calendar.now / SECOND
        trace.kind = finished.kind


def read_percentile(values: typing.Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


Figures = dict[str, typing.Any]


def _drop_warm_up(values: list[float]) -> list[float]:
    return values[int(len(values) * WARM_UP_SHARE) :]


def summarise_waits(waits: list[float], mean_s: float) -> Figures:
    """Return figures of waits in mean run times."""
    settled = _drop_warm_up(waits)
    return {
        "p50": round(read_percentile(settled, 0.5) / mean_s, 4),
        "p99": round(read_percentile(settled, 0.99) / mean_s, 4),
        "mean": round(sum(settled) / len(settled) / mean_s, 4),
    }


def summarise_traffic(experiment: Experiment) -> Figures:
    """Return messages and bytes a second that one agent sends."""
    traffic = experiment.agents.traffic
    span_s = experiment.traces[-1].job.arrival_s
    agent_seconds = span_s * len(experiment.agents.engines)
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
) -> Figures:
    """Compare the engines' waits with those of the baselines."""
    rate = load * targets * slots / mean_s
    rng = random.Random(f"jobs/{seed}")
    jobs = shared_queue.make_jobs(requests, rate, mean_s, rng)
    experiment = Experiment(jobs, targets, slots, NO_DEADLINE_MS, keyed, seed)
    experiment.run()
    waits = [
        trace.started_s - trace.job.arrival_s
        for trace in experiment.traces
        if trace.started_s is not None
    ]
    ideal = shared_queue.wait_in_shared_queue(jobs, targets * slots)
    figures = {
        "engine": summarise_waits(waits, mean_s),
        "ideal": summarise_waits(ideal, mean_s),
    }
    choices = {
        "shortest": shared_queue.choose_shortest,
        "two_choices": shared_queue.choose_of_two,
        "random": shared_queue.choose_any,
    }
    for name, choose in choices.items():
        figures[name] = summarise_waits(
            shared_queue.wait_in_own_queues(jobs, targets, slots, choose, rng),
            mean_s,
        )
    return {
        "seed": seed,
        "keyed": keyed,
        "requests": requests,
        "not_started": requests - len(waits),
        "p99_over_ideal": round(
            figures["engine"]["p99"] / figures["ideal"]["p99"], 3
        ),
        "waits_in_mean_run_times": figures,
        "traffic_per_agent": summarise_traffic(experiment),
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
) -> Figures:
    """Measure goodput and refusals when callers ask for too much."""
    capacity = targets * slots / mean_s
    rng = random.Random(f"jobs/{seed}")
    jobs = shared_queue.make_jobs(requests, load * capacity, mean_s, rng)
    experiment = Experiment(jobs, targets, slots, deadline_ms, keyed, seed)
    experiment.run()
    settled = experiment.traces[int(requests * WARM_UP_SHARE) :]
    span_s = settled[-1].job.arrival_s - settled[0].job.arrival_s
    times = {
        kind: [
            trace.finished_s - trace.job.arrival_s
            for trace in settled
            if trace.kind is kind and trace.finished_s is not None
        ]
        for kind in wire.WorkResultKind
    }
    deadline_s = deadline_ms / 1000
    good = sum(
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
        "goodput_over_capacity": round(good / span_s / capacity, 4),
        "outcomes": {kind.value: len(times[kind]) for kind in times},
        "no_outcome": sum(1 for item in settled if item.kind is None),
        "latest_refusal_over_deadline": round(
            max(refused, default=0.0) / deadline_s, 4
        ),
        "median_refusal_ms": (
            round(read_percentile(refused, 0.5) * 1000, 2) if refused else None
        ),
        "traffic_per_agent": summarise_traffic(experiment),
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
    figures: Figures = {
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
    click.echo(json.dumps(figures, indent=2))
