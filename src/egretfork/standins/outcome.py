"""Compares what callers were told with what targets ran."""

import collections
import collections.abc
import dataclasses
import json
import pathlib
import typing

DRAIN_LIMIT_MS = 3000

Run = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What callers were told, compared with what targets ran."""

    requests: int
    answered: int
    refused: int
    unknown: int
    unanswered: int
    rejected: int
    run_twice: int
    refused_but_run: int
    answered_not_run: int
    wrong_service: int
    wrong_answer: int
    sessions: int
    broken_flows: int
    late_work: int
    imbalance: float
    crashed: tuple[str, ...]
    rss_kib: dict[str, int]

    def list_broken_promises(self) -> list[str]:
        """Return the names of the counts that must be zero and are not."""
        counts = dataclasses.asdict(self)
        promises = (
            "run_twice",
            "refused_but_run",
            "answered_not_run",
            "wrong_service",
            "wrong_answer",
            "broken_flows",
            "late_work",
            "crashed",
        )
        broken = [name for name in promises if counts[name]]
        if not self.answered or not self.sessions:
            broken.append("nothing was served")
        return broken


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbances:
    """Targets that were disturbed, and when the drain was accepted."""

    drained: str
    drained_ms: int
    restarted: str


def read_runs(path: pathlib.Path) -> list[Run]:
    """Read the run log that the targets have written."""
    text = path.read_text(encoding="utf-8")
    return [json.loads(line) for line in text.splitlines()]


def compare(
    told: dict[str, typing.Any],
    runs: list[Run],
    disturbances: Disturbances,
    rss_kib: dict[str, int],
    crashed: tuple[str, ...],
) -> Outcome:
    """Count kept and broken promises of one run."""
    by_key = collections.Counter(run["key"] for run in runs if run["key"])
    entries: dict[str, list[str]] = told["entries"]
    disturbed = {disturbances.drained, disturbances.restarted}
    return Outcome(
        requests=told["requests"],
        answered=told["answered"],
        refused=told["refused"],
        unknown=told["unknown"],
        unanswered=told["unanswered"],
        rejected=told["rejected"],
        run_twice=sum(1 for count in by_key.values() if count > 1),
        refused_but_run=sum(
            1
            for key, answers in entries.items()
            if by_key[key] and set(answers) == {"refused"}
        ),
        answered_not_run=sum(
            1
            for key, answers in entries.items()
            if not by_key[key] and "answered" in answers
        ),
        wrong_service=told["wrong_service"],
        wrong_answer=told["wrong_answer"],
        sessions=told["sessions"],
        broken_flows=told["broken_flows"],
        late_work=sum(
            1
            for run in runs
            if run["target"] == disturbances.drained
            and run["time_ms"] > disturbances.drained_ms + DRAIN_LIMIT_MS
        ),
        imbalance=round(measure_imbalance(runs, disturbed), 3),
        crashed=crashed,
        rss_kib=rss_kib,
    )


def measure_imbalance(
    runs: collections.abc.Iterable[Run], disturbed: set[str]
) -> float:
    """Return the largest peak over mean of runs per target of a service."""
    work: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for run in runs:
        if run["target"] not in disturbed:
            work[run["service"]][run["target"]] += 1
    return max(
        max(counts.values()) * len(counts) / counts.total()
        for counts in work.values()
    )
