"""Runs every role on loopback, injects failures and reports outcomes.

Starts three control processes, three entries, an agent beside each target
of both deployments' main services, and stand-ins of the fabric, targets and
callers. While callers send, it kills one entry, drains one target and
restarts one agent. The last line of output is one JSON object.
"""

import collections
import dataclasses
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import typing

import click
import yaml

from egretfork import clock
from egretfork.standins import processes

HOST = "127.0.0.1"
CONTROLS = 3
ENTRIES = 3
START_TIMEOUT_S = 20.0
AGENT_STOP_TIMEOUT_S = 12.0
CALLERS = 48
SEND_INTERVAL_MS = 400
SEND_S = 17.0
REPORT_TIMEOUT_S = 20.0
STEP_S = 3.0
FABRIC_DETECTION_S = 1.0
MAX_PROBLEMS = 20
DRAINED = "hatlog-3"
RESTARTED = "mdm-sync-5"
DRAIN_LIMIT_MS = 3000
READY_LOG = '"detail": "ready"'


@dataclasses.dataclass(frozen=True, slots=True)
class DemoService:
    """A service of the demo."""

    name: str
    targets: int
    availability_zones: tuple[str, ...]


SERVICES = (
    DemoService("mdm-sync", 7, ("bcs-a", "bcs-b", "bcs-c", "bcs-d")),
    DemoService("hatlog", 7, ("luzon-a", "luzon-b", "luzon-c", "luzon-d")),
)


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


class Demo:
    """One run in a folder of its own."""

    def __init__(
        self, folder: pathlib.Path, group: processes.ProcessGroup
    ) -> None:
        self._folder = folder
        self._group = group
        targets = sum(service.targets for service in SERVICES)
        udp = processes.find_free_ports(
            CONTROLS + 3 * ENTRIES + 4 * targets + 1 + len(SERVICES),
            socket.SOCK_DGRAM,
        )
        self._udp = iter(udp)
        tcp = processes.find_free_ports(CONTROLS, socket.SOCK_STREAM)
        self._controls = [f"{HOST}:{port}" for port in tcp]
        self._control_gossip = [next(self._udp) for _ in range(CONTROLS)]
        self._entry_gossip = [next(self._udp) for _ in range(ENTRIES)]
        self._entry_ports = [next(self._udp) for _ in range(ENTRIES)]
        self._ingress = [next(self._udp) for _ in range(ENTRIES)]
        self._fabric = next(self._udp)
        self._service_addresses = {
            service.name: f"{HOST}:{next(self._udp)}" for service in SERVICES
        }

    @property
    def _seeds(self) -> list[str]:
        ports = [*self._control_gossip, *self._entry_gossip]
        return [f"{HOST}:{port}" for port in ports]

    def _write_yaml(self, name: str, content: object) -> str:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(content), encoding="utf-8")
        return str(path)

    def _control_client(self, *arguments: str) -> str:
        options = [
            item
            for address in self._controls
            for item in ("--control", address)
        ]
        command = (
            sys.executable,
            "-m",
            "egretfork.client.program",
            *options,
            *arguments,
        )
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=START_TIMEOUT_S
        )
        if done.returncode:
            raise RuntimeError(
                f"egretforkctl {' '.join(arguments)} ended with"
                f" {done.returncode}: {done.stdout}{done.stderr}"
            )
        return done.stdout

    def start_controls(self) -> None:
        """Start the first control process and let the others join it."""
        paths = [self._write_control(index) for index in range(CONTROLS)]
        for index, path in enumerate(paths):
            role = "--first" if index == 0 else "--learner"
            subprocess.run(
                (
                    sys.executable,
                    "-m",
                    "egretfork.control.program",
                    "--settings",
                    path,
                    "init",
                    role,
                ),
                check=True,
                stdout=subprocess.DEVNULL,
            )
            self._group.start(
                "control",
                f"control-{index + 1}",
                "egretfork.control.program",
                "--settings",
                path,
            )
        for address in self._controls:
            self._wait_for_control(address)
        for address in self._controls[1:]:
            self._control_client("members", "add", address, "--promote")

    def _write_control(self, index: int) -> str:
        name = f"control-{index + 1}"
        return self._write_yaml(
            name,
            {
                "name": name,
                "availability_zone": SERVICES[0].availability_zones[index],
                "host": HOST,
                "port": int(self._controls[index].rpartition(":")[2]),
                "data_folder": str(self._folder / name),
                "gossip": {
                    "port": self._control_gossip[index],
                    "seeds": self._seeds,
                },
            },
        )

    def _wait_for_control(self, address: str) -> None:
        host, _, port = address.rpartition(":")

        def is_open() -> bool:
            with socket.socket() as probe:
                return probe.connect_ex((host, int(port))) == 0

        if not processes.wait_for(is_open, START_TIMEOUT_S):
            raise RuntimeError(f"control at {address} did not start")

    def start_entries(self) -> None:
        """Start the entries and the fabric in front of them."""
        for index in range(ENTRIES):
            name = f"entry-{index + 1}"
            path = self._write_yaml(
                name,
                {
                    "name": name,
                    "availability_zone": SERVICES[0].availability_zones[index],
                    "host": HOST,
                    "port": self._entry_ports[index],
                    "ingress": {
                        "mode": "proxy",
                        "listen": f"{HOST}:{self._ingress[index]}",
                        "fabric": f"{HOST}:{self._fabric}",
                    },
                    "gossip": {
                        "port": self._entry_gossip[index],
                        "seeds": self._seeds,
                    },
                },
            )
            self._group.start(
                "entry", name, "egretfork.entry.program", "--settings", path
            )
        entries_file = self._list_entries()
        services = [
            item
            for address in self._service_addresses.values()
            for item in ("--service", address)
        ]
        self._group.start(
            "fabric stand-in",
            "fabric",
            "egretfork.standins.fabric",
            "--listen",
            f"{HOST}:{self._fabric}",
            "--entries",
            str(entries_file),
            *services,
        )

    def _list_entries(self, without: int | None = None) -> pathlib.Path:
        path = self._folder / "entries.txt"
        lines = (
            f"{HOST}:{port}\n"
            for index, port in enumerate(self._ingress)
            if index != without
        )
        path.write_text("".join(lines))
        return path

    def start_targets(self) -> None:
        """Start each target and the agent beside it."""
        for service in SERVICES:
            for index in range(service.targets):
                self._start_target(service, index)

    def _start_target(self, service: DemoService, index: int) -> None:
        name = f"{service.name}-{index + 1}"
        zones = service.availability_zones
        target_side = next(self._udp)
        listen = f"{HOST}:{next(self._udp)}"
        path = self._write_yaml(
            f"agent-{name}",
            {
                "name": name,
                "availability_zone": zones[index % len(zones)],
                "host": HOST,
                "service": service.name,
                "port": next(self._udp),
                "target_port": target_side,
                "stop_timeout_s": AGENT_STOP_TIMEOUT_S - 4,
                "gossip": {"port": next(self._udp), "seeds": self._seeds},
            },
        )
        self._start_agent(name, path)
        self._group.start(
            "target stand-in",
            f"target-{name}",
            "egretfork.standins.target",
            "--name",
            name,
            "--service",
            service.name,
            "--listen",
            listen,
            "--agent",
            f"{HOST}:{target_side}",
            "--run-log",
            str(self._folder / "runs.json"),
            "--seed",
            str(index),
        )

    def _start_agent(self, name: str, path: str) -> None:
        self._group.start(
            "agent",
            f"agent-{name}",
            "egretfork.agent.program",
            "--settings",
            path,
        )

    def apply_configuration(self) -> None:
        """Apply a configuration file of both services."""
        services = [
            {
                "name": service.name,
                "addresses": [self._service_addresses[service.name]],
                "targets": [f"{service.name}-?"],
                "availability_zones": list(service.availability_zones),
                "cold_start_ms": 1000,
            }
            for service in SERVICES
        ]
        path = self._write_yaml("services", {"services": services})
        self._control_client("apply", path)

    def wait_until_served(self) -> None:
        """Wait until all targets are ready and callers get answers."""
        if not processes.wait_for(self._are_targets_ready, START_TIMEOUT_S):
            raise RuntimeError("not all targets became ready")
        deadline = time.monotonic() + START_TIMEOUT_S
        for service in SERVICES:
            while True:
                report = self._probe(service.name)
                if report["answered"] and not report["refused"]:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{service.name} is not served")

    def _are_targets_ready(self) -> bool:
        logs = self._folder.glob("agent-*.log")
        return all(READY_LOG in path.read_text() for path in logs)

    def _probe(self, service: str) -> dict[str, int]:
        path = self._folder / "probe.json"
        self._run_callers((service,), 1, 0.5, path).wait()
        report: dict[str, int] = json.loads(path.read_text())
        return report

    def _run_callers(
        self,
        services: tuple[str, ...],
        callers: int,
        duration_s: float,
        report: pathlib.Path,
    ) -> subprocess.Popen[bytes]:
        addresses = [
            item
            for name in services
            for item in (
                "--service",
                f"{name}={self._service_addresses[name]}",
            )
        ]
        return self._group.start(
            "caller stand-in",
            report.stem,
            "egretfork.standins.caller",
            *addresses,
            "--callers",
            str(callers),
            "--interval-ms",
            str(SEND_INTERVAL_MS),
            "--duration-s",
            str(duration_s),
            "--report",
            str(report),
        ).popen

    def run_load(self) -> Outcome:
        """Send requests, inject the failures and compare the outcomes."""
        report = self._folder / "report.json"
        names = tuple(service.name for service in SERVICES)
        callers = self._run_callers(names, CALLERS, SEND_S, report)
        self._group.processes["report"].stopped = True
        self._group.processes["probe"].stopped = True
        time.sleep(STEP_S)
        say("kill entry-2")
        self._group.kill("entry-2")
        # The fabric notices a dead entry after a while, as routers do.
        time.sleep(FABRIC_DETECTION_S)
        self._list_entries(without=1)
        time.sleep(STEP_S - FABRIC_DETECTION_S)
        say(f"drain target {DRAINED}")
        self._control_client("drain", DRAINED)
        drained_ms = clock.read_wall_clock_ms()
        time.sleep(STEP_S)
        say(f"restart agent {RESTARTED}")
        name = f"agent-{RESTARTED}"
        self._group.terminate(name, AGENT_STOP_TIMEOUT_S)
        self._start_agent(RESTARTED, str(self._folder / f"{name}.yaml"))
        callers.wait(SEND_S + REPORT_TIMEOUT_S)
        rss_kib = self._group.measure()
        told = json.loads(report.read_text())
        return self._compare(told, rss_kib, drained_ms)

    def _compare(
        self,
        told: dict[str, typing.Any],
        rss_kib: dict[str, int],
        drained_ms: int,
    ) -> Outcome:
        text = (self._folder / "runs.json").read_text(encoding="utf-8")
        runs = [json.loads(line) for line in text.splitlines()]
        by_key = collections.Counter(run["key"] for run in runs if run["key"])
        for problem in told["problems"][:MAX_PROBLEMS]:
            say(problem)
        entries: dict[str, list[str]] = told["entries"]
        disturbed = {DRAINED, RESTARTED}
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
                if run["target"] == DRAINED
                and run["time_ms"] > drained_ms + DRAIN_LIMIT_MS
            ),
            imbalance=round(measure_imbalance(runs, disturbed), 3),
            crashed=tuple(self._group.find_crashed()),
            rss_kib=rss_kib,
        )


def measure_imbalance(
    runs: list[dict[str, typing.Any]], disturbed: set[str]
) -> float:
    """Return the largest peak over mean of runs per target of a service."""
    work: dict[str, collections.Counter[str]] = {
        service.name: collections.Counter() for service in SERVICES
    }
    for run in runs:
        if run["target"] not in disturbed:
            work[run["service"]][run["target"]] += 1
    return max(
        max(counts.values()) * len(counts) / counts.total()
        for counts in work.values()
    )


STARTED = time.monotonic()


def say(text: str) -> None:
    """Print a line of progress."""
    click.echo(f"{time.monotonic() - STARTED:5.1f} s {text}")


def run(folder: pathlib.Path) -> Outcome:
    """Run the demo in a folder and stop all its processes."""
    with processes.ProcessGroup(folder) as group:
        demo = Demo(folder, group)
        say("start control, entries, agents and stand-ins")
        demo.start_entries()
        demo.start_targets()
        demo.start_controls()
        say("apply the configuration")
        demo.apply_configuration()
        demo.wait_until_served()
        say("set-up is complete")
        say("send requests")
        outcome = demo.run_load()
        say("stop all processes")
    return outcome


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
    outcome = run(folder)
    say("all processes are stopped")
    broken = outcome.list_broken_promises()
    if broken:
        say(f"broken: {', '.join(broken)}")
    click.echo(json.dumps(dataclasses.asdict(outcome)))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
