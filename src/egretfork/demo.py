"""Runs every role on loopback, injects failures and reports the outcome.

Starts three control processes, three entries, an agent for each target of
the main services of both deployments, and simulated targets, callers and
fabric. While the callers send requests, the demo kills one entry, drains one
target and restarts one agent. The last line of output is one JSON object.
"""

import dataclasses
import json
import pathlib
import sys
import tempfile
import time

import click

from egretfork import clock
from egretfork.standins import deployment
from egretfork.standins import outcome
from egretfork.standins import processes

CALLERS_PER_SERVICE = 48
LOAD_DURATION_S = 17.0
REPORT_TIMEOUT_S = 20.0
FAILURE_INTERVAL_S = 3.0
FABRIC_FAILURE_DETECTION_S = 1.0
MAX_PRINTED_PROBLEMS = 20
DRAINED_TARGET = "hatlog-3"
RESTARTED_TARGET = "mdm-sync-5"

START_TIME = time.monotonic()


def print_progress(text: str) -> None:
    """Print a line with the time since the start."""
    click.echo(f"{time.monotonic() - START_TIME:5.1f} s {text}")


def run_load(
    folder: pathlib.Path,
    group: processes.ProcessGroup,
    deployed: deployment.Deployment,
) -> outcome.Outcome:
    """Send requests, inject the failures and return the outcome."""
    report_path = folder / "report.json"
    names = tuple(item.name for item in deployment.SERVICES)
    callers = deployed.start_callers(
        names, CALLERS_PER_SERVICE, LOAD_DURATION_S, report_path
    )
    group.processes["report"].exit_expected = True
    group.processes["probe"].exit_expected = True
    time.sleep(FAILURE_INTERVAL_S)
    print_progress("kill entry-2")
    group.kill("entry-2")
    # The fabric continues to use a failed entry until it detects the failure,
    # as routers do.
    time.sleep(FABRIC_FAILURE_DETECTION_S)
    deployed.write_entries_file(excluded_index=1)
    time.sleep(FAILURE_INTERVAL_S - FABRIC_FAILURE_DETECTION_S)
    print_progress(f"drain target {DRAINED_TARGET}")
    deployed.run_client("drain", DRAINED_TARGET)
    drain_accepted_ms = clock.read_wall_clock_ms()
    time.sleep(FAILURE_INTERVAL_S)
    print_progress(f"restart agent {RESTARTED_TARGET}")
    stop_timeout_s = deployment.AGENT_STOP_TIMEOUT_S
    group.terminate(f"agent-{RESTARTED_TARGET}", stop_timeout_s)
    deployed.start_agent(RESTARTED_TARGET)
    callers.wait(LOAD_DURATION_S + REPORT_TIMEOUT_S)
    rss_kib = group.measure_rss()
    caller_report = json.loads(report_path.read_text())
    for problem in caller_report["problems"][:MAX_PRINTED_PROBLEMS]:
        print_progress(problem)
    return outcome.compare(
        caller_report,
        outcome.read_run_log(folder / "runs.json"),
        outcome.InjectedFailures(
            DRAINED_TARGET, drain_accepted_ms, RESTARTED_TARGET
        ),
        rss_kib,
        tuple(group.find_crashed()),
    )


def run(folder: pathlib.Path) -> outcome.Outcome:
    """Run the demo in a folder, stop all processes, return the outcome."""
    with processes.ProcessGroup(folder) as group:
        deployed = deployment.Deployment(folder, group)
        print_progress(
            "start control processes, entries, agents and simulated components"
        )
        deployed.start_entries()
        deployed.start_targets()
        deployed.start_controls()
        print_progress("apply the configuration")
        deployed.apply_configuration()
        deployed.wait_until_ready()
        print_progress("set-up is complete")
        print_progress("send requests")
        result = run_load(folder, group, deployed)
        print_progress("stop all processes")
    return result


@click.command()
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    help="Folder for settings and logs; default: a temporary folder.",
)
def main(folder: pathlib.Path | None) -> None:
    """Run the demo; exit with 1 if a guarantee is violated."""
    if folder is None:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="egretfork-demo-"))
    folder.mkdir(parents=True, exist_ok=True)
    print_progress(f"settings and logs are in {folder}")
    result = run(folder)
    print_progress("all processes are stopped")
    violations = result.list_violations()
    if violations:
        print_progress(f"violated guarantees: {', '.join(violations)}")
    click.echo(json.dumps(dataclasses.asdict(result)))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
