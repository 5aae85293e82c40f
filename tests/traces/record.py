"""Writes the traces from their seeds: the two deployments' scenarios."""

import collections.abc
import dataclasses
import json
import pathlib
import random
import typing

FOLDER = pathlib.Path(__file__).resolve().parent
LENGTH_MS = 15_000
DEADLINE_MS = 3_000
MEAN_RUN_MS = 150
TARGETS = 7
SLOTS = 2
ENTRIES = 3
CALLERS = 60
SESSIONS = 40
RESEND_SHARE = 0.1
PUBLISH_MS = 500
# Trial runs after an ejection, 1 s apart at first and then twice as far
# each time, of which each blocks until its deadline of 3 s.
MAX_TRIALS = 2
ZERO_LOSSES = {
    "run_twice_max": 0,
    "refused_but_run_max": 0,
    "broken_flows_max": 0,
    "unanswered_max": 0,
    "late_work_max": 0,
    "late_refusals_max": 0,
}

Event = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Names and delays of a deployment's main service."""

    name: str
    service: str
    delay_ms: tuple[int, int]
    entry_share: float


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load, changes and stated outcomes of a trace."""

    name: str
    load: float
    loss: float
    changes: tuple[Event, ...]
    expect: dict[str, float]


DEPLOYMENTS = (
    Deployment("coastal", "mdm-sync", (1, 5), 0.7),
    Deployment("tibay", "hatlog", (2, 6), 0.4),
)

SCENARIOS = (
    Scenario("ordinary_day", 0.5, 0.01, (), {"answered_share_min": 0.99}),
    Scenario(
        "drain_of_half",
        0.3,
        0.0,
        tuple(
            {"t": 4000 + 300 * number, "do": "drain", "target": f"t{number}"}
            for number in range(3)
        ),
        {"answered_share_min": 0.99},
    ),
    Scenario(
        "entry_replaced",
        0.5,
        0.0,
        (
            {"t": 4000, "do": "entry_down", "entry": 0},
            {"t": 6000, "do": "entry_up"},
        ),
        {"answered_share_min": 0.99},
    ),
    Scenario(
        "false_health",
        0.3,
        0.0,
        ({"t": 4000, "do": "stall", "target": "t2"},),
        {"stalled_work_max": MAX_TRIALS, "answered_share_min": 0.9},
    ),
    Scenario("overload", 1.5, 0.0, (), {"goodput_min": 0.9}),
    Scenario(
        "cold_start",
        0.5,
        0.0,
        ({"t": 4000, "do": "join", "target": "t7"},),
        {"answered_share_min": 0.99},
    ),
    Scenario(
        "overlapping_failures",
        0.4,
        0.01,
        (
            {"t": 4000, "do": "entry_down", "entry": 1},
            {"t": 4200, "do": "restart", "target": "t3"},
            {"t": 4400, "do": "drain", "target": "t5"},
        ),
        {"answered_share_min": 0.97},
    ),
)


def record_requests(
    rng: random.Random, scenario: Scenario, deployment: Deployment
) -> collections.abc.Iterator[Event]:
    """Return the callers' sends at a share of the slots' capacity."""
    mean_gap_ms = MEAN_RUN_MS / (TARGETS * SLOTS * scenario.load)
    moment = 1000.0
    number = 0
    while moment < LENGTH_MS - 1000:
        moment += rng.expovariate(1 / mean_gap_ms)
        number += 1
        posts = rng.random() < deployment.entry_share
        yield {
            "t": int(moment),
            "do": "request",
            "caller": rng.randrange(CALLERS),
            "method": "POST" if posts else "GET",
            "run_ms": round(rng.expovariate(1 / MEAN_RUN_MS), 1),
            "deadline_ms": DEADLINE_MS,
            "id": number,
        }
        if posts and rng.random() < RESEND_SHARE:
            yield {
                "t": int(moment) + rng.randrange(1, 600),
                "do": "resend",
                "caller": rng.randrange(CALLERS),
                "id": number,
            }


def record(
    seed: int, scenario: Scenario, deployment: Deployment
) -> list[Event]:
    """Return the lines of one trace."""
    rng = random.Random(seed)
    sessions = [
        {"t": rng.randrange(900), "do": "session", "caller": number}
        for number in range(SESSIONS)
    ]
    feed = [
        {"t": moment, "do": "publish"}
        for moment in range(1000, LENGTH_MS, PUBLISH_MS)
    ]
    requests = record_requests(rng, scenario, deployment)
    events = [*sessions, *feed, *requests, *scenario.changes]
    header = {
        "trace": f"{deployment.name}_{scenario.name}",
        "format": 1,
        "deployment": deployment.name,
        "service": deployment.service,
        "targets": TARGETS,
        "slots": SLOTS,
        "entries": ENTRIES,
        "callers": CALLERS,
        "delay_ms": list(deployment.delay_ms),
        "loss": scenario.loss,
        "seed": seed,
        "length_ms": LENGTH_MS,
        "expect": ZERO_LOSSES | scenario.expect,
    }
    return [header, *sorted(events, key=lambda event: event["t"])]


def main() -> None:
    """Write all traces."""
    pairs = [
        (deployment, scenario)
        for deployment in DEPLOYMENTS
        for scenario in SCENARIOS
    ]
    for seed, (deployment, scenario) in enumerate(pairs, start=1):
        lines = record(seed, scenario, deployment)
        path = FOLDER / f"{lines[0]['trace']}.jsonl"
        text = "".join(f"{json.dumps(line)}\n" for line in lines)
        path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
