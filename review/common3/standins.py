"""Stand-ins and processes for the scripts of the third review.

Runs the roles with the commands of the deploy file on loopback addresses and
plays the operator, clients, endpoints and their links (PROTOCOL.md). Only the
standard library is used.
"""

import dataclasses
import http.client
import json
import os
import pathlib
import random
import select
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEAD = struct.Struct(">HIIIIHIHIBB")
SYN, ACK, FIN, RST, BOUNCED = 128, 8, 4, 1, 2
RESET_WINDOW = 76_800
KEY = b"sum key of the stand-ins"

# Values of the sites' files.
HEARTBEAT_INTERVAL_S = 1.2
DRAIN_S = 3.0
WINDOW_S = 4.0

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
ipAddress = "{host}"
zone = "zone-a"
region = "region-a"
internalPorts = [{internal}, {last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
countsTowardTolerance = {counts}
heartbeatIntervalMs = 1200
config_mode = "highest"
hashAlgorithm = "mod"
forwardingMode = "agent"
{extra}
[listenAddresses]
{addresses}

[faultTolerance]
machines = {tolerated}
zones = 0
regions = 0

[bounds]
seedLagS = 3
reuseAfterS = 2
connectivityWindowMs = 4000
ackTimeoutMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configPropagationMs = 3000
rollbackSlackMs = 250
skewBoundMs = 12000
recoveryS = 12
flowMs = 2000
flowLifetimeS = 60
"""


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        with self._lock:
            elapsed = time.monotonic() - self._began_at
            self._file.write(f"{elapsed:8.3f} {text}\n")
            self._file.flush()


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on all loopback addresses."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20_000, 30_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("", port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Node:
    """One process of a role of the deploy file."""

    def __init__(
        self, deployment: "Deployment", role: str, host: str
    ) -> None:
        self.host = host
        self.role = role
        self._deployment = deployment
        self._folder = deployment.folder / f"{role}-{host}"
        (self._folder / "data").mkdir(parents=True)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool = False) -> None:
        """Write the settings and start the process."""
        path = self._folder / "boot.toml"
        path.write_text(self._deployment.render(self, bootstrap=bootstrap))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "EGRETFORK_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                shlex.split(self._deployment.commands[self.role]),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=environment,
            )
        self._deployment.record.write(f"start {self.role} at {self.host}")

    @property
    def data_folder(self) -> pathlib.Path:
        """Return the data folder."""
        return self._folder / "data"

    def wipe(self) -> None:
        """Empty the data folder of a process that has ended."""
        for file in self.data_folder.iterdir():
            file.unlink()
        self._deployment.record.write(f"{self.role} {self.host} loses its disk")

    def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal and wait for the end of the process."""
        if self._process is not None:
            self._process.send_signal(number)
            self._process.wait(timeout=10)
            self._process = None
            self._deployment.record.write(
                f"{number.name} ends {self.role} at {self.host}"
            )


class Deployment:
    """Control processes, entries and agents on loopback addresses."""

    def __init__(
        self,
        record: Record,
        entry_count: int = 1,
        agent_count: int = 1,
        tolerated: int = 1,
    ) -> None:
        self.record = record
        self._tolerated = tolerated
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        net = random.randrange(10, 250)
        self._prefix = f"127.{net}.7"
        self.service_host = f"127.{net}.9.1"
        self.client_host = f"127.{net}.8.1"
        (
            self.internal,
            self.datagram,
            self.readiness,
            self.control_port,
            self.outbound,
            self.app,
        ) = find_free_ports(6)
        hosts = [f"{self._prefix}.{number}" for number in range(1, 20)]
        self.controls = [
            Node(self, "control", host)
            for host in hosts[: 2 * tolerated + 1]
        ]
        self.entries = [
            Node(self, "entry", host) for host in hosts[8 : 8 + entry_count]
        ]
        self.agents = [
            Node(self, "agent", host) for host in hosts[12 : 12 + agent_count]
        ]

    def render(self, node: Node, *, bootstrap: bool) -> str:
        """Return the settings of a node."""
        addresses = {
            "control": {"control": self.control_port},
            "entry": {
                "datagramAddress": self.datagram,
                "readinessAddress": self.readiness,
            },
            "agent": {
                "datagramAddress": self.datagram,
                "readinessAddress": self.readiness,
                "outbound": self.outbound,
                "control": self.control_port,
            },
        }[node.role]
        extra = {
            "control": f'dataDirectory = "{node.data_folder}"\n',
            "entry": "",
            "agent": f'app = "{node.host}:{self.app}"\nservice = "mail"\n',
        }[node.role]
        seeds = (f'"{item.host}:{self.control_port}"' for item in self.controls[:3])
        return SETTINGS.format(
            name=f"{node.role}-{node.host}",
            role=node.role,
            host=node.host,
            internal=self.internal,
            last=self.internal + 15,
            seeds=", ".join(seeds),
            bootstrap=str(bootstrap).lower(),
            counts=str(node.role == "control").lower(),
            extra=extra,
            tolerated=self._tolerated,
            addresses="\n".join(
                f'{name} = "{node.host}:{port}"'
                for name, port in addresses.items()
            ),
        )

    def start(self) -> None:
        """Start all processes."""
        for node in (*self.controls, *self.entries, *self.agents):
            node.start(bootstrap=True)

    def end(self) -> None:
        """End all processes."""
        for node in (*self.controls, *self.entries, *self.agents):
            node.end()
        self._temporary.cleanup()

    def call_control(
        self, method: str, body: bytes | None = None, first: int = 0
    ) -> tuple[int, bytes]:
        """Call ``/configuration`` as the operator does: any node, 307 twice."""
        for number in range(first, first + len(self.controls)):
            host = self.controls[number % len(self.controls)].host
            port = self.control_port
            for _ in range(3):
                status, answer, location = call(
                    host, port, method, "/configuration", body
                )
                if status != 307 or not location:
                    break
                authority = location.split("/")[2]
                host, _, text = authority.partition(":")
                port = int(text)
            if status not in (0, 307, 408, 429) and status < 500:
                return status, answer
        return 0, b""

    def put(self, body: bytes, within_s: float = 15.0) -> int:
        """Send a configuration until there is a clear response."""
        end = time.monotonic() + within_s
        first = 0
        while time.monotonic() < end:
            status, _ = self.call_control("PUT", body, first)
            if status:
                return status
            first += 1
            time.sleep(0.2)
        return 0

    def read(self, within_s: float = 10.0) -> bytes | None:
        """Read the configuration; ``None`` if no node answers with it."""
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            status, answer = self.call_control("GET")
            if status == 200:
                return answer
            time.sleep(0.2)
        return None

    def is_entry_ready(self, entry: Node) -> bool:
        """Return whether the platform would use an entry."""
        status, _, _ = call(entry.host, self.readiness, "GET", "/readiness")
        return status == 200


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, bytes, str]:
    """Send one HTTP request; status 0 stands for no response."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return (
            response.status,
            response.read(),
            response.getheader("Location") or "",
        )
    except (OSError, http.client.HTTPException):
        return 0, b"", ""
    finally:
        connection.close()


def build_configuration(
    deployment: Deployment, version: int, port: int = 8443
) -> dict[str, object]:
    """Return a configuration with one route, like the example of the page."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": deployment.service_host,
                "pathPrefix": f"/{port}/",
                "kind": "safe",
                "timeoutMs": 1200,
                "targetLatencyMs": 173,
                "priority": 2,
                "service": "mail",
                "maxAttempts": 2,
            }
        ],
        "services": [
            {
                "name": "mail",
                "healthPath": "/health",
                "maxConnections": 2000,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


# Packets


def to_number(host: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host))


@dataclasses.dataclass(frozen=True)
class Packet:
    """Head and data of a packet."""

    src: int
    sport: int
    dst: int
    dport: int
    flags: int
    seq: int
    ack: int
    total: int
    data: bytes


def pack(
    ends: tuple[int, int, int, int],
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet from ``src, sport`` to ``dst, dport`` with its sum."""
    src, sport, dst, dport = ends
    covered = struct.pack(
        ">IHIHBIIH", src, sport, dst, dport, flags, seq, ack, len(data)
    )
    total = zlib.crc32(KEY + covered + data) or 1
    return (
        HEAD.pack(
            len(data), seq, ack, 0, src, dport, dst, sport, total, flags, 0
        )
        + data
    )


def unpack(raw: bytes) -> Packet:
    """Read a packet."""
    _, seq, ack, _, src, dport, dst, sport, total, flags, _ = (
        HEAD.unpack_from(raw)
    )
    return Packet(
        src, sport, dst, dport, flags, seq, ack, total, raw[HEAD.size :]
    )


def has_sound_sum(raw: bytes) -> bool:
    """Return whether a packet is as its sender wrote it."""
    packet = unpack(raw)
    ends = (packet.src, packet.sport, packet.dst, packet.dport)
    flags = packet.flags & ~BOUNCED
    again = pack(ends, flags, packet.seq, packet.ack, packet.data)
    return unpack(again).total == packet.total


# Endpoints


class Endpoint:
    """One incarnation of an endpoint: flows, health check and heartbeats."""

    def __init__(
        self,
        deployment: Deployment,
        agent: Node,
        identifier: str,
        heartbeat_port: int,
        name: str,
    ) -> None:
        self._record = deployment.record
        self._deployment = deployment
        self._agent = agent
        self.identifier = identifier
        self.name = name
        self.heartbeat_port = heartbeat_port
        self.born_ms = time.time_ns() // 1_000_000
        self.state = "ready"
        self.is_cut = False
        self.acknowledged_beats = 0
        self.resets: set[tuple[int, int, int, int]] = set()
        self._sequence = 0
        self._running = True
        self._flows: dict[tuple[int, int, int, int], dict[str, int]] = {}
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((agent.host, deployment.app))
        self._tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._tcp.bind((agent.host, deployment.app))
        self._tcp.listen(64)
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._serve_packets, self._beat)
        ]
        for thread in self._threads:
            thread.start()
        self._record.write(
            f"endpoint {name} starts: id={identifier} born={self.born_ms}"
        )

    def exit(self) -> None:
        """End the process: nothing is sent any more."""
        self._running = False
        for thread in self._threads:
            thread.join(timeout=3)
        self._udp.close()
        self._tcp.close()
        self._record.write(f"endpoint {self.name} has exited")

    def build_beat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "service": "mail",
                "address": f"{self._agent.host}:{self._deployment.app}",
                "zone": "zone-a",
                "version": "v1",
                "concurrency": 2,
                "state": self.state,
                "warmupRemainingMs": 0,
                "sequence": self._sequence,
                "born": self.born_ms,
            }
        ).encode()

    def beat(self) -> int:
        """Send one heartbeat and return the status."""
        body = self.build_beat()
        if self.is_cut:
            time.sleep(1.0)
            status = 0
        else:
            status, _, _ = call(
                self._agent.host,
                self.heartbeat_port,
                "PUT",
                f"/instances/{self.identifier}",
                body,
            )
        self._record.write(
            f"endpoint {self.name} beats: sequence={self._sequence}"
            f" state={self.state} -> {status or 'no response'}"
        )
        self.acknowledged_beats += status == 200
        return status

    def _beat(self) -> None:
        while self._running:
            status = self.beat()
            pause = HEARTBEAT_INTERVAL_S if status == 200 else 0.1
            end = time.monotonic() + pause
            while self._running and time.monotonic() < end:
                time.sleep(0.02)

    def _serve_packets(self) -> None:
        while self._running:
            ready, _, _ = select.select([self._udp, self._tcp], [], [], 0.05)
            if self._tcp in ready:
                connection, _ = self._tcp.accept()
                connection.close()
            if self._udp in ready:
                raw, _ = self._udp.recvfrom(4096)
                if not self.is_cut:
                    self._handle(raw)

    def _send(self, raw: bytes) -> None:
        if not self.is_cut:
            self._udp.sendto(
                raw, (self._agent.host, self._deployment.outbound)
            )

    def _handle(self, raw: bytes) -> None:
        packet = unpack(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        back = (packet.dst, packet.dport, packet.src, packet.sport)
        flow = self._flows.get(key)
        if packet.flags & SYN and not packet.flags & ACK:
            if flow is None:
                seq = random.randrange(1 << 31)
                flow = {"seq": seq, "next": packet.seq + 1, "open": 0}
                self._flows[key] = flow
            answer = pack(back, SYN | ACK, flow["seq"], flow["next"])
            self._send(answer)
            return
        if flow is None:
            returned = bytearray(raw)
            returned[30] |= BOUNCED
            returned[31] = 0
            self._send(bytes(returned))
            return
        if packet.flags & RST:
            del self._flows[key]
            return
        if not flow["open"] and packet.ack == flow["seq"] + 1:
            flow["open"] = 1
            flow["out"] = flow["seq"] + 1
            self._record.write(
                f"endpoint {self.name} has flow {packet.sport} open"
            )
        if not flow["open"] or not packet.data:
            return
        if packet.seq == flow["next"]:
            flow["next"] += len(packet.data)
            flow["answer_seq"] = flow["out"]
            self._record.write(
                f"endpoint {self.name} runs {packet.data.decode()!r}"
                f" of flow {packet.sport}"
            )
            flow["out"] += len(packet.data)
        if "answer_seq" in flow:
            self._send(
                pack(back, ACK, flow["answer_seq"], flow["next"], packet.data)
            )


# Clients


class Flow:
    """A client's flow: opens, sends requests, notes resets."""

    def __init__(self, client: "Client", sport: int, dport: int) -> None:
        self._client = client
        self.sport = sport
        deployment = client.deployment
        self._ends = (
            to_number(deployment.client_host),
            sport,
            to_number(deployment.service_host),
            dport,
        )
        self._seq = random.randrange(1 << 31)
        self._ack = 0
        self._event = threading.Event()
        self.is_open = False
        self.reset_at: float | None = None
        self._answer: bytes | None = None
        self._expected = b""

    def handle(self, raw: bytes) -> None:
        """Process a packet for this flow."""
        packet = unpack(raw)
        if packet.flags & RST:
            valid = (
                packet.total == 0
                and not packet.data
                and (
                    not self.is_open
                    or abs(packet.seq - self._ack) <= RESET_WINDOW
                )
            )
            self._client.deployment.record.write(
                f"client: reset on flow {self.sport},"
                f" open={self.is_open} by_system={packet.total == 0}"
                f" valid={valid}"
            )
            if valid and self.reset_at is None:
                self.reset_at = time.monotonic()
                self._event.set()
            return
        if packet.flags & SYN and not self.is_open:
            self._seq += 1
            self._ack = packet.seq + 1
            self.is_open = True
            self._client.send(pack(self._ends, ACK, self._seq, self._ack))
            self._event.set()
        elif packet.data and packet.seq == self._ack:
            self._ack += len(packet.data)
            self._answer = packet.data
            self._client.send(pack(self._ends, ACK, self._seq, self._ack))
            self._event.set()

    def open(self) -> bool:
        """Open the flow with up to three copies of the first packet."""
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self._client.send(pack(self._ends, SYN, self._seq, copy))
            if self._event.wait(wait_s):
                break
        self._event.clear()
        return self.is_open and self.reset_at is None

    def request(self, text: str, deadline_s: float = 1.5) -> bool:
        """Send a request; return whether its answer came."""
        data = text.encode()
        seq = self._seq
        self._seq += len(data)
        self._answer = None
        self._event.clear()
        end = time.monotonic() + deadline_s
        wait_s = 0.2
        while time.monotonic() < end and self.reset_at is None:
            self._client.send(pack(self._ends, ACK, seq, self._ack, data))
            self._event.wait(min(wait_s, max(end - time.monotonic(), 0)))
            if self._answer == data:
                return True
            wait_s *= 2
        return False


class Client:
    """All clients of a zone, behind one address and one entry."""

    def __init__(self, deployment: Deployment, entry: Node) -> None:
        self.deployment = deployment
        self.entry = entry
        self.flows: dict[int, Flow] = {}
        self._next_port = 40_001
        self._running = True
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.bind((deployment.client_host, deployment.datagram))
        self._thread = threading.Thread(target=self._receive, daemon=True)
        self._thread.start()

    def send(self, raw: bytes) -> None:
        """Send a packet to the entry that the router selects."""
        self._udp.sendto(raw, (self.entry.host, self.deployment.datagram))

    def open_flow(self, dport: int = 8443) -> Flow | None:
        """Open a flow from a new port; ``None`` if that fails."""
        flow = Flow(self, self._next_port, dport)
        self.flows[self._next_port] = flow
        self._next_port += 1
        return flow if flow.open() else None

    def close(self) -> None:
        """Stop to receive."""
        self._running = False
        self._thread.join(timeout=2)
        self._udp.close()

    def _receive(self) -> None:
        while self._running:
            ready, _, _ = select.select([self._udp], [], [], 0.05)
            if ready:
                raw, _ = self._udp.recvfrom(4096)
                flow = self.flows.get(unpack(raw).dport)
                if flow is not None:
                    flow.handle(raw)


def wait_for(condition, within_s: float) -> bool:
    """Wait until a condition holds; return whether it does."""
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.1)
    return bool(condition())
