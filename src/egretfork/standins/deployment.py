"""Starts every role and the simulated components on loopback."""

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
CONTROL_COUNT = 3
ENTRY_COUNT = 3
START_TIMEOUT_S = 20.0
AGENT_STOP_TIMEOUT_S = 12.0
SEND_INTERVAL_MS = 400
READY_LOG_FIELD = '"detail": "ready"'


@dataclasses.dataclass(frozen=True, slots=True)
class DeployedService:
    """A service, its number of targets and their availability zones."""

    name: str
    target_count: int
    availability_zones: tuple[str, ...]


SERVICES = (
    DeployedService("mdm-sync", 7, ("bcs-a", "bcs-b", "bcs-c", "bcs-d")),
    DeployedService("hatlog", 7, ("luzon-a", "luzon-b", "luzon-c", "luzon-d")),
)


class Deployment:
    """A deployment whose settings and logs are in one folder."""

    def __init__(
        self, folder: pathlib.Path, group: processes.ProcessGroup
    ) -> None:
        self._folder = folder
        self._group = group
        target_count = sum(service.target_count for service in SERVICES)
        udp_ports = processes.find_free_ports(
            CONTROL_COUNT
            + 3 * ENTRY_COUNT
            + 4 * target_count
            + 1
            + len(SERVICES),
            socket.SOCK_DGRAM,
        )
        self._udp_ports = iter(udp_ports)
        tcp_ports = processes.find_free_ports(
            CONTROL_COUNT, socket.SOCK_STREAM
        )
        self._control_addresses = [f"{HOST}:{port}" for port in tcp_ports]
        self._control_gossip_ports = [
            next(self._udp_ports) for _ in range(CONTROL_COUNT)
        ]
        self._entry_gossip_ports = [
            next(self._udp_ports) for _ in range(ENTRY_COUNT)
        ]
        self._entry_ports = [next(self._udp_ports) for _ in range(ENTRY_COUNT)]
        self._ingress_ports = [
            next(self._udp_ports) for _ in range(ENTRY_COUNT)
        ]
        self._fabric_port = next(self._udp_ports)
        self._service_addresses = {
            service.name: f"{HOST}:{next(self._udp_ports)}"
            for service in SERVICES
        }

    @property
    def _seeds(self) -> list[str]:
        ports = [*self._control_gossip_ports, *self._entry_gossip_ports]
        return [f"{HOST}:{port}" for port in ports]

    def _write_yaml(self, name: str, content: object) -> str:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(content), encoding="utf-8")
        return str(path)

    def run_client(self, *arguments: str) -> str:
        """Run ``egretforkctl`` and return its standard output.

        Raises:
            RuntimeError: the exit code is not 0.
        """
        options = [
            item
            for address in self._control_addresses
            for item in ("--control", address)
        ]
        command = (
            sys.executable,
            "-m",
            "egretfork.client.program",
            *options,
            *arguments,
        )
        result = subprocess.run(
            command, capture_output=True, text=True, timeout=START_TIMEOUT_S
        )
        if result.returncode:
            raise RuntimeError(
                f"egretforkctl {' '.join(arguments)} exited with"
                f" {result.returncode}: {result.stdout}{result.stderr}"
            )
        return result.stdout

    def start_controls(self) -> None:
        """Start the control processes and add them to one group."""
        paths = [self._write_control(index) for index in range(CONTROL_COUNT)]
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
        for address in self._control_addresses:
            self._wait_for_control(address)
        for address in self._control_addresses[1:]:
            self.run_client("members", "add", address, "--promote")

    def _write_control(self, index: int) -> str:
        name = f"control-{index + 1}"
        return self._write_yaml(
            name,
            {
                "name": name,
                "availability_zone": SERVICES[0].availability_zones[index],
                "host": HOST,
                "port": int(self._control_addresses[index].rpartition(":")[2]),
                "data_folder": str(self._folder / name),
                "gossip": {
                    "port": self._control_gossip_ports[index],
                    "seeds": self._seeds,
                },
            },
        )

    def _wait_for_control(self, address: str) -> None:
        host, _, port = address.rpartition(":")

        def is_open() -> bool:
            with socket.socket() as probe:
                return probe.connect_ex((host, int(port))) == 0

        if not processes.poll_until(is_open, START_TIMEOUT_S):
            raise RuntimeError(
                f"control process at {address} did not start in time"
            )

    def start_entries(self) -> None:
        """Start the entries and the simulated fabric."""
        for index in range(ENTRY_COUNT):
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
                        "listen": f"{HOST}:{self._ingress_ports[index]}",
                        "fabric": f"{HOST}:{self._fabric_port}",
                    },
                    "gossip": {
                        "port": self._entry_gossip_ports[index],
                        "seeds": self._seeds,
                    },
                },
            )
            self._group.start(
                "entry", name, "egretfork.entry.program", "--settings", path
            )
        entries_file = self.write_entries_file()
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
            f"{HOST}:{self._fabric_port}",
            "--entries",
            str(entries_file),
            *services,
        )

    def write_entries_file(
        self, excluded_index: int | None = None
    ) -> pathlib.Path:
        """Write the list of entries that the simulated fabric polls."""
        path = self._folder / "entries.txt"
        lines = (
            f"{HOST}:{port}\n"
            for index, port in enumerate(self._ingress_ports)
            if index != excluded_index
        )
        path.write_text("".join(lines))
        return path

    def start_targets(self) -> None:
        """Start all targets, each with its agent."""
        for service in SERVICES:
            for index in range(service.target_count):
                self._start_target(service, index)

    def _start_target(self, service: DeployedService, index: int) -> None:
        name = f"{service.name}-{index + 1}"
        zones = service.availability_zones
        agent_target_port = next(self._udp_ports)
        target_address = f"{HOST}:{next(self._udp_ports)}"
        self._write_yaml(
            f"agent-{name}",
            {
                "name": name,
                "availability_zone": zones[index % len(zones)],
                "host": HOST,
                "service": service.name,
                "port": next(self._udp_ports),
                "target_port": agent_target_port,
                "stop_timeout_s": AGENT_STOP_TIMEOUT_S - 4,
                "gossip": {
                    "port": next(self._udp_ports),
                    "seeds": self._seeds,
                },
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
            target_address,
            "--agent",
            f"{HOST}:{agent_target_port}",
            "--run-log",
            str(self._folder / "runs.json"),
            "--seed",
            str(index),
        )

    def start_agent(self, name: str) -> None:
        """Start the agent of a target from its existing settings file."""
        self._group.start(
            "agent",
            f"agent-{name}",
            "egretfork.agent.program",
            "--settings",
            str(self._folder / f"agent-{name}.yaml"),
        )

    def apply_configuration(self) -> None:
        """Apply a configuration with all services."""
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

    def wait_until_ready(self) -> None:
        """Wait until all targets are ready and all services answer.

        Raises:
            RuntimeError: this took too long.
        """
        if not processes.poll_until(self._are_targets_ready, START_TIMEOUT_S):
            raise RuntimeError("not all targets became ready in time")
        deadline = time.monotonic() + START_TIMEOUT_S
        for service in SERVICES:
            while True:
                report = self._send_probe_requests(service.name)
                if report["answered"] and not report["refused"]:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"service {service.name} still refuses requests"
                        " or does not respond"
                    )

    def _are_targets_ready(self) -> bool:
        logs = self._folder.glob("agent-*.log")
        return all(READY_LOG_FIELD in path.read_text() for path in logs)

    def _send_probe_requests(self, service: str) -> dict[str, int]:
        path = self._folder / "probe.json"
        self.start_callers((service,), 1, 0.5, path).wait()
        report: dict[str, int] = json.loads(path.read_text())
        return report

    def start_callers(
        self,
        services: tuple[str, ...],
        callers: int,
        duration_s: float,
        report_path: pathlib.Path,
    ) -> subprocess.Popen[bytes]:
        """Start simulated callers, ``callers`` for each service."""
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
            report_path.stem,
            "egretfork.standins.caller",
            *addresses,
            "--callers",
            str(callers),
            "--interval-ms",
            str(SEND_INTERVAL_MS),
            "--duration-s",
            str(duration_s),
            "--report",
            str(report_path),
        ).popen
