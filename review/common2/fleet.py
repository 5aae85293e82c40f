"""A small deployment of the project's own programs on loopback addresses.

The programs are started with the commands of ``deploy/system.toml``. The
platform, endpoints, clients and operators are stand-ins (``standins.py``).
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
CORE_COUNT = 5
HEARTBEAT_INTERVAL_S = 1.2

SETTINGS = """nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = ["{serves}"]
ipAddress = "{host}"
zone = "zone-a"
region = "region-a"
internalPorts = [{internal}, {last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
countsTowardTolerance = {counts}
discovery = "local"
entry = "announce"
heartbeatIntervalMs = 1200
contracts = ["base", "drain", "config", "cost", "recover", "flows"]
config_mode = "highest"
hashAlgorithm = "mod"
forwardingMode = "agent"
service = "{service}"
app = "{host}:{app}"
{data}
[zones]
zone-a = "region-a"
[listenAddresses]
{listen}
[limits]
cpuShare = 0.645
cores = 1
memoryMb = 168
fdLimit = 4096
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 2
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


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")
        self._file.flush()


class Fleet:
    """Addresses, ports and machines of one run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = pathlib.Path(
            tempfile.mkdtemp(prefix="egretfork-review-")
        )
        self._prefix = (
            f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        )
        first = random.randrange(20_000, 30_000)
        self.internal = first
        self.datagram = first + 20
        self.readiness = first + 21
        self.outbound = first + 22
        self.control = first + 23
        self.app = first + 24
        self.machines: list[Machine] = []
        # Keeps the stand-ins, and so their tasks, until the end.
        self.standins: list[object] = []
        self.commands = {
            name: role["run"].split()
            for name, role in tomllib.loads(
                (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
            )["roles"].items()
        }
        self.cores = [
            self.add("control", number, bootstrap=True)
            for number in range(1, CORE_COUNT + 1)
        ]

    def host(self, number: int) -> str:
        """Return a loopback address of this run."""
        return f"{self._prefix}.{number}"

    def add(
        self,
        role: str,
        number: int,
        service: str = "",
        *,
        bootstrap: bool = False,
    ) -> "Machine":
        """Add a machine that runs a role."""
        machine = Machine(self, role, self.host(number), service, bootstrap)
        self.machines.append(machine)
        return machine

    def close(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            machine.end(signal.SIGKILL)
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class Machine:
    """A machine with one process of the system."""

    CLASSES = {
        "entry": ("frontend", "frontend"),
        "agent": ("side", "side"),
        "control": ("core", "control"),
    }

    def __init__(
        self,
        fleet: Fleet,
        role: str,
        host: str,
        service: str,
        bootstrap: bool,
    ) -> None:
        self.fleet = fleet
        self.role = role
        self.host = host
        self.name = f"{role}-{host}"
        self.service = service
        self._bootstrap = bootstrap
        self._process: subprocess.Popen[bytes] | None = None
        self._folder = fleet.folder / self.name
        (self._folder / "data").mkdir(parents=True)
        self.settings = self._folder / "boot.toml"

    def write_settings(self) -> None:
        """Write the settings file."""
        fleet = self.fleet
        machine_class, serves = self.CLASSES[self.role]
        listen = {"datagramAddress": fleet.datagram}
        if self.role == "entry":
            listen["readinessAddress"] = fleet.readiness
        if self.role == "agent":
            listen["outbound"] = fleet.outbound
            listen["readinessAddress"] = fleet.readiness
        if self.role in ("agent", "control"):
            listen["control"] = fleet.control
        is_core = self.role == "control"
        text = SETTINGS.format(
            name=self.name,
            role=self.role,
            machine_class=machine_class,
            serves=serves,
            host=self.host,
            internal=fleet.internal,
            last=fleet.internal + 15,
            seeds=", ".join(
                f'"{fleet.host(number)}:{fleet.control}"'
                for number in (1, 2, 3)
            ),
            bootstrap=str(self._bootstrap).lower(),
            counts=str(is_core).lower(),
            service=self.service,
            app=fleet.app,
            data=(
                f'dataDirectory = "{self._folder / "data"}"' if is_core else ""
            ),
            listen="\n".join(
                f'{field} = "{self.host}:{port}"'
                for field, port in listen.items()
            ),
        )
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(text, encoding="utf-8")
        temporary.rename(self.settings)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        # Only the first start of the whole system has ``bootstrap``.
        self._bootstrap = False
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {
            "EGRETFORK_NODE_FILE": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                self.fleet.commands[self.role],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )
        self.fleet.record.write(f"platform starts {self.name}")

    def wipe(self) -> None:
        """Empty the disk; the process must not run."""
        for file in (self._folder / "data").iterdir():
            file.unlink()
        self.fleet.record.write(f"{self.name} has lost its disk")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self.fleet.record.write(
                f"platform sends {number.name} {self.name}"
            )
            self._process.send_signal(number)

    def end(self, number: signal.Signals) -> None:
        """End the process and wait for its end."""
        if self._process is None:
            return
        if self._process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)
                self._process.send_signal(signal.SIGCONT)
            self.fleet.record.write(
                f"platform ends {self.name} ({number.name})"
            )
        try:
            self._process.wait(timeout=6)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        self._process = None

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def read_log(self) -> list[dict[str, object]]:
        """Return the lines that the process has logged."""
        lines = []
        text = (self._folder / "log").read_text(encoding="utf-8")
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Send an HTTP request; return status 0 if there is no response.

    The content of a redirect is the host and port that it names.
    """
    content = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(head.encode() + content)
            await writer.drain()
            answer = await reader.read()
        head_bytes, _, rest = answer.partition(b"\r\n\r\n")
        status = int(head_bytes.split()[1])
        if status == 307:
            rest = find_location(head_bytes)
        return status, rest
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def find_location(head: bytes) -> bytes:
    """Return host and port of the ``Location`` field."""
    for line in head.split(b"\r\n"):
        field, _, value = line.partition(b":")
        if field.lower() == b"location":
            return value.strip().removeprefix(b"http://").split(b"/")[0]
    return b""


async def wait_until(check, limit_s: float, what: str) -> None:
    """Wait until a check holds.

    Raises:
        CannotRun: it did not within the limit.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await check():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(what)


def is_free(host: str, port: int, kind: socket.SocketKind) -> bool:
    """Return whether a port can be bound."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
