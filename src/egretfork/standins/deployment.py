"""Starts all roles and stand-ins of a small deployment on loopback."""

import dataclasses
import json
import pathlib
import socket
import subprocess
import sys
import time

import yaml

from egretfork.standins import processes

HOST = "127.0.0.1"
CONTROLS = 3
ENTRIES = 3
START_TIMEOUT_S = 20.0
AGENT_STOP_TIMEOUT_S = 12.0
SEND_INTERVAL_MS = 400
READY_LOG = '"detail": "ready"'


@dataclasses.dataclass(frozen=True, slots=True)
class DeployedService:
    """A service and its targets."""

    name: str
    targets: int
    availability_zones: tuple[str, ...]


SERVICES = (
    DeployedService("mdm-sync", 7, ("bcs-a", "bcs-b", "bcs-c", "bcs-d")),
    DeployedService("hatlog", 7, ("luzon-a", "luzon-b", "luzon-c", "luzon-d")),
)


class Deployment:
    """Processes of one run in a folder of its own."""

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

    def run_client(self, *arguments: str) -> str:
        """Run ``egretforkctl`` and return what it prints.

        Raises:
            RuntimeError: the exit code is not 0.
        """
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
            self.run_client("members", "add", address, "--promote")

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
        entries_file = self.list_entries()
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

    def list_entries(self, without: int | None = None) -> pathlib.Path:
        """Write the file from which the fabric learns of entries."""
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

    def _start_target(self, service: DeployedService, index: int) -> None:
        name = f"{service.name}-{index + 1}"
        zones = service.availability_zones
        target_side = next(self._udp)
        listen = f"{HOST}:{next(self._udp)}"
        self._write_yaml(
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
        self.start_agent(name)
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

    def start_agent(self, name: str) -> None:
        """Start the agent of a target with the settings written before."""
        self._group.start(
            "agent",
            f"agent-{name}",
            "egretfork.agent.program",
            "--settings",
            str(self._folder / f"agent-{name}.yaml"),
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
        self.run_client("apply", path)

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
        self.start_callers((service,), 1, 0.5, path).wait()
        report: dict[str, int] = json.loads(path.read_text())
        return report

    def start_callers(
        self,
        services: tuple[str, ...],
        callers: int,
        duration_s: float,
        report: pathlib.Path,
    ) -> subprocess.Popen[bytes]:
        """Start the stand-in of callers."""
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
