"""Compares the callers' report with the run log of the targets."""

import collections
import collections.abc
import dataclasses
import json
import pathlib
import typing

# Requests that a target starts later than this after its drain was accepted
# count as late work.
MAX_DRAIN_MS = 3000

RunRecord = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a run: responses, violated guarantees and memory use."""

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

    def list_violations(self) -> list[str]:
        """Return the violated guarantees.

        These are the fields that must be zero and are not, and a run
        without any answered request or session.
        """
        counts = dataclasses.asdict(self)
        guarantees = (
            "run_twice",
            "refused_but_run",
            "answered_not_run",
            "wrong_service",
            "wrong_answer",
            "broken_flows",
            "late_work",
            "crashed",
        )
        violations = [name for name in guarantees if counts[name]]
        if not self.answered or not self.sessions:
            violations.append("no request answered or no session opened")
        return violations


@dataclasses.dataclass(frozen=True, slots=True)
class InjectedFailures:
    """Targets that were drained or whose agent was restarted.

    Attributes:
        drain_accepted_ms: wall clock time after the drain was accepted.
    """

    drained_target: str
    drain_accepted_ms: int
    restarted_target: str


def read_run_log(path: pathlib.Path) -> list[RunRecord]:
    """Read the run log written by the targets."""
    text = path.read_text(encoding="utf-8")
    return [json.loads(line) for line in text.splitlines()]


def compare(
    caller_report: dict[str, typing.Any],
    runs: list[RunRecord],
    failures: InjectedFailures,
    rss_kib: dict[str, int],
    crashed: tuple[str, ...],
) -> Outcome:
    """Compute the outcome of one run.

    Args:
        caller_report: the JSON form of ``caller.Report``.
        runs: the run log of all targets.
        failures: the drained target is checked for late work; both targets
            are excluded from the imbalance.
        rss_kib: peak resident memory by role.
        crashed: processes that exited unexpectedly.
    """
    runs_by_key = collections.Counter(run["key"] for run in runs if run["key"])
    entries: dict[str, list[str]] = caller_report["entries"]
    excluded_targets = {failures.drained_target, failures.restarted_target}
    return Outcome(
        requests=caller_report["requests"],
        answered=caller_report["answered"],
        refused=caller_report["refused"],
        unknown=caller_report["unknown"],
        unanswered=caller_report["unanswered"],
        rejected=caller_report["rejected"],
        run_twice=sum(1 for count in runs_by_key.values() if count > 1),
        refused_but_run=sum(
            1
            for key, answers in entries.items()
            if runs_by_key[key] and set(answers) == {"refused"}
        ),
        answered_not_run=sum(
            1
            for key, answers in entries.items()
            if not runs_by_key[key] and "answered" in answers
        ),
        wrong_service=caller_report["wrong_service"],
        wrong_answer=caller_report["wrong_answer"],
        sessions=caller_report["sessions"],
        broken_flows=caller_report["broken_flows"],
        late_work=sum(
            1
            for run in runs
            if run["target"] == failures.drained_target
            and run["time_ms"] > failures.drain_accepted_ms + MAX_DRAIN_MS
        ),
        imbalance=round(compute_imbalance(runs, excluded_targets), 3),
        crashed=crashed,
        rss_kib=rss_kib,
    )


def compute_imbalance(
    runs: collections.abc.Iterable[RunRecord], excluded_targets: set[str]
) -> float:
    """Return the largest peak-to-mean ratio of runs per target.

    The ratio is computed for each service, without the excluded targets.
    """
    runs_by_service: dict[str, collections.Counter[str]] = (
        collections.defaultdict(collections.Counter)
    )
    for run in runs:
        if run["target"] not in excluded_targets:
            runs_by_service[run["service"]][run["target"]] += 1
    return max(
        max(counts.values()) * len(counts) / counts.total()
        for counts in runs_by_service.values()
    )
