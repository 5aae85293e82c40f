"""Queueing models as baselines: one shared queue, one queue per target."""

import dataclasses
import heapq
import random
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Arrival time and run time of one request, in seconds."""

    arrival_s: float
    run_s: float


def build_jobs(
    count: int, rate: float, mean_s: float, generator: random.Random
) -> list[Job]:
    """Return Poisson arrivals with exponentially distributed run times."""
    jobs: list[Job] = []
    arrival_s = 0.0
    for _ in range(count):
        arrival_s += generator.expovariate(rate)
        jobs.append(Job(arrival_s, generator.expovariate(1 / mean_s)))
    return jobs


def _assign_slot(slots: list[float], job: Job) -> float:
    """Assign a job to the slot that is free first; return its wait.

    ``slots`` is a heap of the times at which the slots become free.
    """
    start_s = max(job.arrival_s, slots[0])
    heapq.heapreplace(slots, start_s + job.run_s)
    return start_s - job.arrival_s


def simulate_shared_queue(jobs: list[Job], slots: int) -> list[float]:
    """Return the waits if all slots share one queue without latency."""
    free_at = [0.0] * slots
    return [_assign_slot(free_at, job) for job in jobs]


PlacementPolicy = typing.Callable[[list[int], random.Random], int]


def choose_least_loaded(loads: list[int], generator: random.Random) -> int:
    """Return a random one of the targets with the fewest requests."""
    least = min(loads)
    return generator.choice(
        [index for index, load in enumerate(loads) if load == least]
    )


def choose_less_loaded_of_two(
    loads: list[int], generator: random.Random
) -> int:
    """Return the less loaded of two random targets."""
    first, second = generator.sample(range(len(loads)), 2)
    return first if loads[first] <= loads[second] else second


def choose_random(loads: list[int], generator: random.Random) -> int:
    """Return a random target."""
    return generator.randrange(len(loads))


def simulate_separate_queues(
    jobs: list[Job],
    targets: int,
    slots: int,
    choose: PlacementPolicy,
    generator: random.Random,
) -> list[float]:
    """Return the waits if each target has its own queue."""
    free_at = [[0.0] * slots for _ in range(targets)]
    loads = [0] * targets
    ends: list[tuple[float, int]] = []
    waits: list[float] = []
    for job in jobs:
        while ends and ends[0][0] <= job.arrival_s:
            _, ended = heapq.heappop(ends)
            loads[ended] -= 1
        index = choose(loads, generator)
        wait_s = _assign_slot(free_at[index], job)
        loads[index] += 1
        heapq.heappush(ends, (job.arrival_s + wait_s + job.run_s, index))
        waits.append(wait_s)
    return waits
