"""Runs every role on loopback, injects failures and reports outcomes.

Starts three control processes, three entries, an agent beside each target
of both deployments' main services, and stand-ins of the fabric, targets and
callers. While callers send, it kills one entry, drains one target and
restarts one agent. The last line of output is one JSON object.
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

CALLERS = 48
SEND_S = 17.0
REPORT_TIMEOUT_S = 20.0
STEP_S = 3.0
FABRIC_DETECTION_S = 1.0
MAX_PROBLEMS = 20
DRAINED = "hatlog-3"
RESTARTED = "mdm-sync-5"

STARTED = time.monotonic()


def say(text: str) -> None:
    """Print a line of progress."""
    click.echo(f"{time.monotonic() - STARTED:5.1f} s {text}")


def run_load(
    folder: pathlib.Path,
    group: processes.ProcessGroup,
    deployed: deployment.Deployment,
) -> outcome.Outcome:
    """Send requests, inject the failures and compare the outcomes."""
    report = folder / "report.json"
    names = tuple(item.name for item in deployment.SERVICES)
    callers = deployed.start_callers(names, CALLERS, SEND_S, report)
    group.processes["report"].stopped = True
    group.processes["probe"].stopped = True
    time.sleep(STEP_S)
    say("kill entry-2")
    group.kill("entry-2")
    # The fabric notices a dead entry after a while, as routers do.
    time.sleep(FABRIC_DETECTION_S)
    deployed.list_entries(without=1)
    time.sleep(STEP_S - FABRIC_DETECTION_S)
    say(f"drain target {DRAINED}")
    deployed.run_client("drain", DRAINED)
    drained_ms = clock.read_wall_clock_ms()
    time.sleep(STEP_S)
    say(f"restart agent {RESTARTED}")
    stop_timeout_s = deployment.AGENT_STOP_TIMEOUT_S
    group.terminate(f"agent-{RESTARTED}", stop_timeout_s)
    deployed.start_agent(RESTARTED)
    callers.wait(SEND_S + REPORT_TIMEOUT_S)
    rss_kib = group.measure()
    told = json.loads(report.read_text())
    for problem in told["problems"][:MAX_PROBLEMS]:
        say(problem)
    return outcome.compare(
        told,
        outcome.read_runs(folder / "runs.json"),
        outcome.Disturbances(DRAINED, drained_ms, RESTARTED),
        rss_kib,
        tuple(group.find_crashed()),
    )


def run(folder: pathlib.Path) -> outcome.Outcome:
    """Run the demo in a folder and stop all its processes."""
    with processes.ProcessGroup(folder) as group:
        deployed = deployment.Deployment(folder, group)
        say("start control, entries, agents and stand-ins")
        deployed.start_entries()
        deployed.start_targets()
        deployed.start_controls()
        say("apply the configuration")
        deployed.apply_configuration()
        deployed.wait_until_served()
        say("set-up is complete")
        say("send requests")
        result = run_load(folder, group, deployed)
        say("stop all processes")
    return result


@click.command()
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    help="Folder for settings and logs; a temporary one if not given.",
)
def main(folder: pathlib.Path | None) -> None:
    """Run the demo; exit with 1 when a promise is broken."""
    if folder is None:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="egretfork-demo-"))
    folder.mkdir(parents=True, exist_ok=True)
    say(f"settings and logs are in {folder}")
    result = run(folder)
    say("all processes are stopped")
    broken = result.list_broken_promises()
    if broken:
        say(f"broken: {', '.join(broken)}")
    click.echo(json.dumps(dataclasses.asdict(result)))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
