"""Generates the traces of both deployments from their seeds."""

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
PUBLISH_INTERVAL_MS = 500
# Number of trial requests after an ejection. The interval is 1 s at first and
# doubles each time; each trial request blocks until its deadline of 3 s.
MAX_TRIAL_REQUESTS = 2
ZERO_BOUNDS = {
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
    """Parameters of a deployment's main service.

    Args:
        post_share: share of the requests that are non-idempotent.
    """

    name: str
    service: str
    delay_ms: tuple[int, int]
    post_share: float


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load, injected changes and expected bounds of a trace.

    Args:
        load: offered load over the capacity of all slots.
        loss: share of datagrams lost.
    """

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
        {"stalled_work_max": MAX_TRIAL_REQUESTS, "answered_share_min": 0.9},
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


def generate_requests(
    rng: random.Random, scenario: Scenario, deployment: Deployment
) -> collections.abc.Iterator[Event]:
    """Yield requests and resends for the load of a scenario."""
    mean_gap_ms = MEAN_RUN_MS / (TARGETS * SLOTS * scenario.load)
    time_ms = 1000.0
    number = 0
    while time_ms < LENGTH_MS - 1000:
        time_ms += rng.expovariate(1 / mean_gap_ms)
        number += 1
        is_post = rng.random() < deployment.post_share
        yield {
            "t": int(time_ms),
            "do": "request",
            "caller": rng.randrange(CALLERS),
            "method": "POST" if is_post else "GET",
            "run_ms": round(rng.expovariate(1 / MEAN_RUN_MS), 1),
            "deadline_ms": DEADLINE_MS,
            "id": number,
        }
        if is_post and rng.random() < RESEND_SHARE:
            yield {
                "t": int(time_ms) + rng.randrange(1, 600),
                "do": "resend",
                "caller": rng.randrange(CALLERS),
                "id": number,
            }


def generate_trace(
    seed: int, scenario: Scenario, deployment: Deployment
) -> list[Event]:
    """Return the lines of a trace: the header, then events by time."""
    rng = random.Random(seed)
    sessions = [
        {"t": rng.randrange(900), "do": "session", "caller": number}
        for number in range(SESSIONS)
    ]
    publications = [
        {"t": time_ms, "do": "publish"}
        for time_ms in range(1000, LENGTH_MS, PUBLISH_INTERVAL_MS)
    ]
    requests = generate_requests(rng, scenario, deployment)
    events = [*sessions, *publications, *requests, *scenario.changes]
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
        "expect": ZERO_BOUNDS | scenario.expect,
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
        lines = generate_trace(seed, scenario, deployment)
        path = FOLDER / f"{lines[0]['trace']}.jsonl"
        text = "".join(f"{json.dumps(line)}\n" for line in lines)
        path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
