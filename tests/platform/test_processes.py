"""Tests the programs of all roles as processes on loopback addresses."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from egretfork.standins import processes as standins
from tests.control import processes

from tests import platform  # noqa: F401  (adds the adapter to the path)

from egretfork_platform import headers

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN = ROOT / "platform" / "run.py"
CONTROLS = tuple(f"127.0.0.{number}" for number in range(21, 25))
ENTRY = "127.0.0.31"
AGENT = "127.0.0.32"
CLIENT = "127.0.0.41"
SERVICE_HOST = "198.18.0.1"
SERVICE_PORT = 8443
CLIENT_PORT = 40001
HEARTBEAT_INTERVAL_S = 1.0

TEMPLATE = """
nodeName = "{name}"
ipAddress = "{host}"
zone = "zone-a"
internalPorts = [{internal}, {last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
dataDirectory = "{data}"
service = "mail"
app = "{agent}:{app}"

[listenAddresses]
datagramAddress = "{host}:{datagram}"
readinessAddress = "{host}:{readiness}"
outbound = "{host}:{outbound}"
control = "{host}:{control}"

[faultTolerance]
machines = 1
"""


class Ports:
    """Port numbers, the same on all machines as on the platform."""

    def __init__(self) -> None:
        free = standins.find_free_ports(6, socket.SOCK_DGRAM)
        self.internal = standins.find_free_ports(1, socket.SOCK_STREAM)[0]
        self.datagram, self.readiness, self.outbound = free[:3]
        self.control, self.app, self.metrics = free[3:]


class Machine:
    """One process with its settings file and data folder."""

    def __init__(
        self, folder: pathlib.Path, ports: Ports, role: str, host: str
    ) -> None:
        self.host = host
        self._ports = ports
        self._role = role
        self._folder = folder / f"{role}-{host}"
        self._process: subprocess.Popen[bytes] | None = None
        self.wipe()

    def wipe(self) -> None:
        """Empty the data folder."""
        data = self._folder / "data"
        data.mkdir(parents=True, exist_ok=True)
        for file in data.iterdir():
            file.unlink()

    def start(self, *, bootstrap: bool = False) -> None:
        """Write the settings and start the process."""
        ports = self._ports
        path = self._folder / "settings.toml"
        seeds = (f'"{host}:{ports.control}"' for host in CONTROLS[:3])
        path.write_text(
            TEMPLATE.format(
                name=self._folder.name,
                host=self.host,
                internal=ports.internal,
                last=ports.internal + 15,
                seeds=", ".join(seeds),
                bootstrap=str(bootstrap).lower(),
                data=self._folder / "data",
                agent=AGENT,
                app=ports.app,
                datagram=ports.datagram,
                readiness=ports.readiness,
                outbound=ports.outbound,
                control=ports.control,
            )
        )
        environment = os.environ | {"EGRETFORK_NODE_FILE": str(path)}
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(RUN), self._role],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def stop(self, stop_signal: signal.Signals = signal.SIGKILL) -> int:
        """End the process with a signal and return its exit code."""
        if self._process is None:
            return 0
        self._process.send_signal(stop_signal)
        code = self._process.wait()
        self._process = None
        return code


class Endpoint:
    """Simulated endpoint; the test sends its heartbeats and packets."""

    def __init__(self, ports: Ports) -> None:
        self._ports = ports
        self._sequence = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((AGENT, ports.app))
        self.socket.settimeout(5)

    def send_heartbeat(self, state: str = "ready") -> int:
        """Send a heartbeat and return the HTTP status."""
        self._sequence += 1
        body = {
            "service": "mail",
            "address": f"{AGENT}:{self._ports.app}",
            "zone": "zone-a",
            "version": "v1",
            "concurrency": 2,
            "state": state,
            "warmupRemainingMs": 0,
            "sequence": self._sequence,
            "born": 1000,
        }
        return send_request(
            AGENT, self._ports.control, "PUT", "/instances/i", body
        )[0]

    def send_packet(self, data: bytes) -> None:
        """Send a packet to the agent."""
        self.socket.sendto(data, (AGENT, self._ports.outbound))


def send_request(
    host: str, port: int, method: str, path: str, body: object = None
) -> tuple[int, bytes]:
    """Send an HTTP request; return status 0 if there is no response."""
    connection = http.client.HTTPConnection(host, port, timeout=3)
    try:
        connection.request(method, path, json.dumps(body) if body else None)
        response = connection.getresponse()
        return response.status, response.read()
    except OSError:
        return 0, b""
    finally:
        connection.close()


def build_packet(flags: int, *, from_client: bool, data: bytes = b"") -> bytes:
    """Return a packet of the only flow in these tests."""
    client = int.from_bytes(socket.inet_aton(CLIENT))
    service = int.from_bytes(socket.inet_aton(SERVICE_HOST))
    source, source_port, destination, destination_port = (
        (client, CLIENT_PORT, service, SERVICE_PORT)
        if from_client
        else (service, SERVICE_PORT, client, CLIENT_PORT)
    )
    size = len(data)
    fields = (
        size,
        1,
        1,
        0,
        source,
        destination_port,
        destination,
        source_port,
        9,
        flags,
        0,
    )
    return headers.HEADER.pack(*fields) + data


def build_configuration(version: int) -> dict[str, object]:
    """Return a configuration with one route."""
    route = {
        "name": "r",
        "host": SERVICE_HOST,
        "pathPrefix": f"/{SERVICE_PORT}/",
        "timeoutMs": 1000,
        "service": "mail",
    }
    services = [{"name": "mail"}]
    return {"version": version, "routes": [route], "services": services}


class PlatformProcessTest(unittest.TestCase):
    """Guards against programs that do not interoperate."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ports = Ports()
        path = pathlib.Path(folder.name)
        self.controls = [
            Machine(path, self.ports, "control", host) for host in CONTROLS[:3]
        ]
        self.entry = Machine(path, self.ports, "entry", ENTRY)
        self.agent = Machine(path, self.ports, "agent", AGENT)
        for machine in (*self.controls, self.entry, self.agent):
            self.addCleanup(machine.stop)
            machine.start(bootstrap=True)
        self.endpoint = Endpoint(self.ports)
        self.reported_since: float | None = None
        self.addCleanup(self.endpoint.socket.close)
        self.client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.client.bind((CLIENT, self.ports.datagram))
        self.client.settimeout(5)
        self.addCleanup(self.client.close)

    def put_configuration(self, version: int) -> bool:
        """Send a configuration to the processes until one accepts it."""
        body = build_configuration(version)
        return any(
            send_request(
                host, self.ports.control, "PUT", "/configuration", body
            )[0]
            == 200
            for host in CONTROLS[:3]
        )

    def is_control_up(self) -> bool:
        """Return whether all control processes respond."""
        port = self.ports.control
        return all(
            send_request(host, port, "GET", "/configuration")[0]
            for host in CONTROLS[:3]
        )

    def read_version(self) -> int | None:
        """Return the version that a majority confirms, if there is one."""
        for host in CONTROLS[:3]:
            port = self.ports.control
            status, body = send_request(host, port, "GET", "/configuration")
            if status == 200:
                return int(json.loads(body)["version"])
        return None

    def is_ready(self) -> bool:
        """Send a heartbeat; return whether agent and entry accept work.

        An agent relies on an endpoint that has run for long from a second
        heartbeat, half an interval or more after the first one.
        """
        now = time.monotonic()
        if self.endpoint.send_heartbeat() != 200:
            self.reported_since = None
            return False
        self.reported_since = self.reported_since or now
        has_confirmed = now - self.reported_since > HEARTBEAT_INTERVAL_S
        port = self.ports.readiness
        status, _ = send_request(ENTRY, port, "GET", "/readiness")
        return has_confirmed and status == 200

    def send_packet(self, data: bytes) -> None:
        """Send a packet from the client to the entry."""
        self.client.sendto(data, (ENTRY, self.ports.datagram))

    def open_flow(self) -> None:
        """Open the flow between client and endpoint."""
        opening = build_packet(headers.SYN, from_client=True)
        self.send_packet(opening)
        delivered = self.endpoint.socket.recv(2000)
        self.assertEqual(
            headers.HeaderCodec().restore_original(delivered), opening
        )
        flags = headers.SYN | headers.ACK
        response = build_packet(flags, from_client=False)
        self.endpoint.send_packet(response)
        self.assertEqual(self.client.recv(2000), response)

    def test_flow_survives_restart_of_agent_and_entry(self) -> None:
        processes.poll(lambda: self.put_configuration(3))
        processes.poll(self.is_ready)
        self.open_flow()
        for machine in (self.agent, self.entry):
            machine.stop()
            machine.start()
        processes.poll(self.is_ready)
        request = build_packet(headers.ACK, from_client=True, data=b"request")
        self.send_packet(request)
        delivered = self.endpoint.socket.recv(2000)
        self.assertEqual(
            headers.HeaderCodec().restore_original(delivered), request
        )

    def test_declaration_survives_lost_disk_and_kill_of_all(
        self,
    ) -> None:
        # Killing a founder before it has initialised its folder is equal to
        # losing its disk, and the group tolerates only one such loss.
        processes.poll(self.is_control_up)
        processes.poll(lambda: self.put_configuration(3))
        processes.poll(lambda: self.put_configuration(7))
        for machine in self.controls:
            machine.stop()
        self.controls[0].wipe()
        for machine in self.controls:
            machine.start()
        processes.poll(lambda: self.read_version() is not None)
        self.assertEqual(self.read_version(), 7)
        port = self.ports.control
        bad = build_configuration(9) | {"services": []}
        host = CONTROLS[1]
        status, _ = send_request(host, port, "PUT", "/configuration", bad)
        self.assertEqual(status, 400)
        self.assertTrue(self.put_configuration(6))
        self.assertEqual(self.read_version(), 7)

    def test_first_declaration_with_version_zero(self) -> None:
        # Guards against a declaration that is acknowledged but not kept.
        processes.poll(lambda: self.put_configuration(0))
        self.assertEqual(self.read_version(), 0)
        processes.poll(self.is_ready)
        self.open_flow()

    def test_processes_exit_with_zero_on_sigterm(self) -> None:
        processes.poll(lambda: self.put_configuration(3))
        processes.poll(self.is_ready)
        for machine in (self.entry, self.agent, *self.controls):
            self.assertEqual(machine.stop(signal.SIGTERM), 0)


if __name__ == "__main__":
    unittest.main()
