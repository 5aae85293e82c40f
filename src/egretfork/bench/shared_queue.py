"""Baselines of placement: ideal shared queue, and queues per target."""

import dataclasses
import heapq
import random
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One request: when it arrives and how long it runs, in seconds."""

    arrival_s: float
    run_s: float


def make_jobs(
    count: int, rate: float, mean_s: float, rng: random.Random
) -> list[Job]:
    """Return Poisson arrivals with exponential run times."""
    jobs: list[Job] = []
    arrival_s = 0.0
    for _ in range(count):
        arrival_s += rng.expovariate(rate)
        jobs.append(Job(arrival_s, rng.expovariate(1 / mean_s)))
    return jobs


def _wait(slots: list[float], job: Job) -> float:
    """Give a job to the first slot that gets free; return its wait."""
    start_s = max(job.arrival_s, slots[0])
    heapq.heapreplace(slots, start_s + job.run_s)
    return start_s - job.arrival_s


def wait_in_shared_queue(jobs: list[Job], slots: int) -> list[float]:
    """Return the waits if all slots share one queue without latency."""
    free_at = [0.0] * slots
    return [_wait(free_at, job) for job in jobs]


Choice = typing.Callable[[list[int], random.Random], int]


def choose_shortest(loads: list[int], rng: random.Random) -> int:
    """Return the target with the fewest requests."""
    least = min(loads)
    return rng.choice(
        [index for index, load in enumerate(loads) if load == least]
    )


def choose_of_two(loads: list[int], rng: random.Random) -> int:
    """Return the target with fewer requests of two random ones."""
    first, second = rng.sample(range(len(loads)), 2)
    return first if loads[first] <= loads[second] else second


def choose_any(loads: list[int], rng: random.Random) -> int:
    """Return a random target."""
    return rng.randrange(len(loads))


def wait_in_own_queues(
    jobs: list[Job],
    targets: int,
    slots: int,
    choose: Choice,
    rng: random.Random,
) -> list[float]:
    """Return the waits if each target has a queue of its own."""
    free_at = [[0.0] * slots for _ in range(targets)]
    loads = [0] * targets
    ends: list[tuple[float, int]] = []
    waits: list[float] = []
    for job in jobs:
        while ends and ends[0][0] <= job.arrival_s:
            _, ended = heapq.heappop(ends)
            loads[ended] -= 1
        index = choose(loads, rng)
        wait_s = _wait(free_at[index], job)
        loads[index] += 1
        heapq.heappush(ends, (job.arrival_s + wait_s + job.run_s, index))
        waits.append(wait_s)
    return waits
