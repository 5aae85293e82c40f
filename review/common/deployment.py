"""Starts the programs of the deploy file on loopback addresses."""

import asyncio
import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

import record

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
INTERNAL_PORTS = 16
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "connectivityWindowMs": 4000,
    "ackTimeoutMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configPropagationMs": 3000,
    "rollbackSlackMs": 250,
    "skewBoundMs": 12000,
    "recoveryS": 12,
    "flowMs": 2000,
    "flowLifetimeS": 60,
}


class CannotRun(Exception):
    """The case could not be set up on this machine."""


class Ports:
    """Port numbers, the same on all machines as on the platform."""

    def __init__(self, hosts: list[str]) -> None:
        for _ in range(200):
            base = random.randrange(20_000, 30_000)
            last = base + INTERNAL_PORTS + 4
            if all(_are_free(host, base, last) for host in hosts):
                break
        else:
            raise CannotRun("no free ports")
        self.internal = base
        first = base + INTERNAL_PORTS
        self.datagram, self.readiness, self.outbound = (
            first,
            first + 1,
            first + 2,
        )
        self.control, self.app = first + 3, first + 4


def _are_free(host: str, first: int, last: int) -> bool:
    wanted = [
        (kind, port)
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM)
        for port in (*range(first, last + 1), METRICS_PORT)
    ]
    with contextlib.ExitStack() as opened:
        for kind, port in wanted:
            probe = opened.enter_context(socket.socket(socket.AF_INET, kind))
            if kind is socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Machine:
    """One process of the system with its settings file and data folder."""

    def __init__(
        self, owner: "Deployment", role: str, host: str, service: str = ""
    ) -> None:
        self.role = role
        self.host = host
        self.service = service
        self.name = f"{role}-{host}"
        self._owner = owner
        self._folder = owner.folder / self.name
        (self._folder / "data").mkdir(parents=True)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool = False) -> None:
        """Write the settings and start the process as the deploy file says."""
        self.write_settings(bootstrap=bootstrap)
        inherited = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in inherited if name in os.environ
        }
        environment["EGRETFORK_NODE_FILE"] = str(self._folder / "boot.toml")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        command = self._owner.roles[self.role]["run"].split()
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        self._owner.record.write("started", machine=self.name)

    def write_settings(self, *, bootstrap: bool = False) -> None:
        """Write the settings file, as at a start and when settings change."""
        path = self._folder / "boot.toml"
        path.write_text(self._build_settings(bootstrap), encoding="utf-8")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)
            self._owner.record.write(
                "signal", machine=self.name, number=number.name
            )

    async def wait_for_exit(self) -> int:
        """Wait until the process has exited; return its exit code."""
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(0.01)
        return self._process.returncode if self._process else 0

    def kill(self) -> None:
        """End the process and wait for its exit."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    def read_log(self) -> str:
        """Return what the process has written so far."""
        return (self._folder / "log").read_text("utf-8", "replace")

    def _build_settings(self, bootstrap: bool) -> str:
        ports = self._owner.ports
        host = self.host
        kinds = {"entry": "frontend", "agent": "side", "control": "core"}
        machine_class = kinds[self.role]
        seeds = [
            f"{control.host}:{ports.control}"
            for control in self._owner.controls[:3]
        ]
        addresses = {
            "entry": {
                "datagramAddress": f"{host}:{ports.datagram}",
                "readinessAddress": f"{host}:{ports.readiness}",
            },
            "agent": {
                "datagramAddress": f"{host}:{ports.datagram}",
                "readinessAddress": f"{host}:{ports.readiness}",
                "outbound": f"{host}:{ports.outbound}",
                "control": f"{host}:{ports.control}",
            },
            "control": {"control": f"{host}:{ports.control}"},
        }[self.role]
        fields = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": machine_class,
            "serves": [
                machine_class if machine_class != "core" else "control"
            ],
            "ipAddress": host,
            "zone": "zone-a",
            "region": "region-a",
            "internalPorts": [
                ports.internal,
                ports.internal + INTERNAL_PORTS - 1,
            ],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "countsTowardTolerance": self.role == "control",
            "discovery": "local",
            "entry": "announce",
            "heartbeatIntervalMs": self._owner.heartbeat_interval_ms,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
            ],
            "config_mode": "highest",
            "hashAlgorithm": "mod",
            "forwardingMode": "agent",
        }
        if self.role == "control":
            fields["dataDirectory"] = str(self._folder / "data")
        if self.role == "agent":
            fields["service"] = self.service
            fields["app"] = f"{host}:{ports.app}"
        tables = {
            "zones": {"zone-a": "region-a"},
            "listenAddresses": addresses,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        lines = [
            f"{name} = {json.dumps(value)}" for name, value in fields.items()
        ]
        for name, table in tables.items():
            lines.append(f"[{name}]")
            lines += [
                f"{key} = {json.dumps(value)}" for key, value in table.items()
            ]
        return "\n".join(lines) + "\n"


class Deployment:
    """A small deployment: three controls, some entries and some agents."""

    def __init__(
        self,
        play: record.Record,
        entry_count: int,
        services: list[str],
        heartbeat_interval_ms: int = 1200,
    ) -> None:
        network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.record = play
        self.heartbeat_interval_ms = heartbeat_interval_ms
        self.client_hosts = [
            f"{network}.{number}" for number in range(101, 117)
        ]
        control_hosts = [f"{network}.{number}" for number in range(11, 14)]
        entry_hosts = [
            f"{network}.{21 + number}" for number in range(entry_count)
        ]
        side_hosts = [
            f"{network}.{31 + number}" for number in range(len(services))
        ]
        self.service_host = f"{network}.201"
        self.ports = Ports(
            [*control_hosts, *entry_hosts, *side_hosts, *self.client_hosts]
        )
        deploy_file = ROOT / "deploy" / "system.toml"
        self.roles = tomllib.loads(deploy_file.read_text("utf-8"))["roles"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.controls = [
            Machine(self, "control", host) for host in control_hosts
        ]
        self.entries = [Machine(self, "entry", host) for host in entry_hosts]
        self.agents = [
            Machine(self, "agent", host, service)
            for host, service in zip(side_hosts, services, strict=True)
        ]

    def start(self, *, without: tuple[Machine, ...] = ()) -> None:
        """Start all processes but some for the first time."""
        for machine in (*self.controls, *self.entries, *self.agents):
            if machine not in without:
                machine.start(bootstrap=True)

    def close(self, *, keep: bool = False) -> None:
        """End all processes and remove their files."""
        for machine in (*self.controls, *self.entries, *self.agents):
            machine.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator

    async def put_configuration(
        self, configuration: dict[str, object]
    ) -> float:
        """Send a configuration until it is acknowledged; return the time."""
        body = json.dumps(configuration).encode()
        for attempt in range(200):
            host = self.controls[attempt % len(self.controls)].host
            status, _ = await asyncio.to_thread(self._send_order, host, body)
            self.record.write(
                "configuration_sent",
                version=configuration["version"],
                to=host,
                status=status,
            )
            if status == 200:
                return self.record.now()
            await asyncio.sleep(0.1)
        raise CannotRun("the configuration is not acknowledged")

    def _send_order(self, host: str, body: bytes) -> tuple[int, bytes]:
        for _ in range(3):
            status, answer, location = send_http(
                host, self.ports.control, "PUT", "/configuration", body
            )
            if status != 307:
                return status, answer
            host = location.split("//")[1].split(":")[0]
        return status, answer

    async def wait_until_ready(self, hosts: list[str]) -> None:
        """Wait until entries report that they are ready."""
        for _ in range(300):
            statuses = [
                (
                    await asyncio.to_thread(
                        send_http,
                        host,
                        self.ports.readiness,
                        "GET",
                        "/readiness",
                    )
                )[0]
                for host in hosts
            ]
            if all(status == 200 for status in statuses):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entries do not become ready")


def send_http(
    host: str, port: int, method: str, path: str, body: bytes = b""
) -> tuple[int, bytes, str]:
    """Send a request; return status 0 if there is no response in a second."""
    connection = http.client.HTTPConnection(host, port, timeout=1.0)
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        location = response.getheader("Location", "")
        return response.status, response.read(), location
    except (OSError, http.client.HTTPException):
        return 0, b"", ""
    finally:
        connection.close()
