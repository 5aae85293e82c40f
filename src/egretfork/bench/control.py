"""Cost of control: start from disk, latency of a change, disk, memory."""

import collections.abc
import contextlib
import dataclasses
import datetime
import pathlib
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import click
import msgspec

from egretfork.client import session
from egretfork import clock
from egretfork.control import api
from egretfork.control import commands
from egretfork.control import core
from egretfork.control import entries
from egretfork.control import events
from egretfork.control import files
from egretfork.control import program
from egretfork.control import storage
from egretfork import model

POLL_S = 0.005
START_LIMIT_S = 30
TICK = datetime.timedelta(milliseconds=200)


class StartFigures(msgspec.Struct, frozen=True):
    """Start of a process from its data folder.

    Attributes:
        load_ms: reading the files into a state machine, in process.
        start_ms: from the start of the process until it answers, including
            the start of the interpreter.
        lead_ms: until it leads its group of one at the newest version,
            which includes an election timeout of 1.5 to 3 s.
    """

    changes: int
    load_ms: float
    start_ms: float
    lead_ms: float
    folder_bytes: int
    segment_bytes_per_change: float
    resident_kib: int


class LatencyFigures(msgspec.Struct, frozen=True):
    """Changes through a group of three processes on loopback."""

    changes: int
    median_ms: float
    p99_ms: float
    resident_kib: tuple[int, ...]


class Figures(msgspec.Struct, frozen=True):
    """All figures of a run."""

    services: int
    document_bytes: int
    starts: tuple[StartFigures, ...]
    latency: LatencyFigures


def build_services(count: int, change: int) -> tuple[model.Service, ...]:
    """Return services with two addresses each; one differs by change."""
    return tuple(
        model.Service(
            name=f"service-{number:04d}",
            addresses=(
                f"127.{number // 250}.{number % 250}.1:5683",
                f"127.{number // 250}.{number % 250}.2:5683",
            ),
            targets=(f"service-{number:04d}-*",),
            slots=change % 8 + 1 if number == change % count else 2,
        )
        for number in range(count)
    )


def build_apply(services: int, change: int) -> commands.Apply:
    """Return the command that makes version ``change + 1``."""
    return commands.Apply(
        request_id=f"00000000-0000-0000-0000-{change:012d}",
        base_version=change,
        author="bench",
        submitted_ms=change,
        services=build_services(services, change),
    )


def load_core(
    folder: pathlib.Path,
) -> tuple[core.ControlCore, storage.Storage]:
    """Read a data folder."""
    stored = storage.Storage(files.LocalFileSystem(folder))
    return program.build_core("bench", stored), stored


@dataclasses.dataclass(frozen=True, slots=True)
class Growth:
    """Size of the segment before the last compaction."""

    changes: int
    bytes: int


def make_changes(
    common: program.ControlSettings, services: int, changes: int
) -> Growth:
    """Fill the data folder of a group of one through the core."""
    program.initialise(common, first=True)
    decisions, stored = load_core(common.folder)
    now = clock.MonotonicClock().now()
    segment = common.folder / storage.SEGMENT_FILE
    growth = Growth(0, 0)
    since_compaction = 0
    while decisions.consensus.leadership is None:
        now += TICK
        _carry_out(stored, decisions.handle(events.Tick(), now))
    for change in range(changes):
        now += TICK
        before = segment.stat().st_size
        _carry_out(stored, decisions.handle(events.Tick(), now))
        query = api.Submit(1, build_apply(services, change))
        event = core.QueryReceived(b"bench", query)
        _carry_out(stored, decisions.handle(event, now))
        size = segment.stat().st_size
        since_compaction = since_compaction + 1 if size > before else 0
        if size > growth.bytes:
            growth = Growth(max(since_compaction, 1), size)
    if decisions.configuration.version != changes:
        raise RuntimeError(f"made {decisions.configuration.version} changes")
    return growth


def _carry_out(
    stored: storage.Storage, actions: list[core.CoreAction]
) -> None:
    for action in actions:
        if isinstance(action, events.Save):
            stored.save(action)


@contextlib.contextmanager
def run_process(
    common: program.ControlSettings, folder: pathlib.Path
) -> collections.abc.Iterator["subprocess.Popen[bytes]"]:
    """Run a control process until the end of the block."""
    path = folder / f"{common.name}.yaml"
    path.write_bytes(msgspec.yaml.encode(common))
    module = "egretfork.control.program"
    arguments = [sys.executable, "-m", module, "--settings", str(path)]
    with (folder / f"{common.name}.log").open("ab") as log:
        process = subprocess.Popen(arguments, stdout=log, stderr=log)
    try:
        yield process
    finally:
        process.terminate()
        process.wait()


def wait_for(
    address: model.Endpoint,
    condition: collections.abc.Callable[[api.StatusRead], bool],
) -> None:
    """Poll the status of a process until a condition holds.

    Raises:
        TimeoutError: the condition did not come to hold.
    """
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            socket.create_connection((address.host, address.port)).close()
            reply = session.read_status(address)
            if isinstance(reply, api.StatusRead) and condition(reply):
                return
        time.sleep(POLL_S)
    raise TimeoutError(f"{address} did not reach the state waited for")


def read_resident_kib(process: "subprocess.Popen[bytes]") -> int:
    """Return the resident memory of a process."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", text)
    return int(found.group(1)) if found else 0


def pick_settings(folder: pathlib.Path, name: str) -> program.ControlSettings:
    """Return settings with a TCP port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = int(probe.getsockname()[1])
    return program.ControlSettings(
        name=name,
        availability_zone="zone-a",
        host="127.0.0.1",
        port=port,
        data_folder=str(folder / name),
    )


def measure_start(services: int, changes: int) -> StartFigures:
    """Measure the start of a group of one after a number of changes."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        common = pick_settings(folder, "bench")
        growth = make_changes(common, services, changes)
        sizes = [item.stat().st_size for item in common.folder.iterdir()]
        started = time.monotonic()
        load_core(common.folder)
        loaded = time.monotonic()
        with run_process(common, folder) as process:
            wait_for(common.address, lambda status: True)
            answered = time.monotonic()
            wait_for(common.address, lambda status: status.version == changes)
            leads = time.monotonic()
            resident_kib = read_resident_kib(process)
    return StartFigures(
        changes=changes,
        load_ms=_to_ms(loaded - started),
        start_ms=_to_ms(answered - loaded),
        lead_ms=_to_ms(leads - loaded),
        folder_bytes=sum(sizes),
        segment_bytes_per_change=round(growth.bytes / growth.changes, 1),
        resident_kib=resident_kib,
    )


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


def measure_latency(services: int, changes: int) -> LatencyFigures:
    """Measure sequential changes through three processes."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        group = [pick_settings(folder, f"bench-{i}") for i in range(3)]
        for number, common in enumerate(group):
            program.initialise(common, first=number == 0)
        running = [
            stack.enter_context(run_process(common, folder))
            for common in group
        ]
        wait_for(group[0].address, lambda status: status.role == "leader")
        asked = session.Session((group[0].address,))
        for common in group[1:]:
            join(asked, common)
        times = [apply(asked, services, change) for change in range(changes)]
        resident = tuple(read_resident_kib(process) for process in running)
    ordered = sorted(times)
    return LatencyFigures(
        changes=changes,
        median_ms=_to_ms(statistics.median(ordered)),
        p99_ms=_to_ms(ordered[int(len(ordered) * 0.99)]),
        resident_kib=resident,
    )


def join(asked: session.Session, common: program.ControlSettings) -> None:
    """Add a process to the group with a vote."""
    wait_for(common.address, lambda status: True)
    found = session.read_status(common.address)
    if not isinstance(found, api.StatusRead):
        raise TimeoutError(str(found))
    new = entries.Member(found.identity, found.name, common.address, False)
    asked.send_query(lambda number: api.AddMember(number, new))
    promoted: session.Result | None = None
    while not isinstance(promoted, api.MembersChanged):
        promoted = asked.send_query(
            lambda number: api.PromoteMember(number, found.identity)
        )


def apply(asked: session.Session, services: int, change: int) -> float:
    """Make one change and return the seconds until its answer."""
    command = build_apply(services, change)
    started = time.monotonic()
    result = asked.send_query(lambda number: api.Submit(number, command))
    elapsed = time.monotonic() - started
    if not isinstance(result, api.Concluded) or result.outcome.reason:
        raise RuntimeError(f"change {change} was not accepted: {result}")
    return elapsed


@click.command("control")
@click.option(
    "--services",
    default=2,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Services in each file, with two addresses each.",
)
@click.option(
    "--changes",
    multiple=True,
    default=(1000, 3000, 10_000),
    show_default=True,
    type=click.IntRange(1),
    help="Accepted changes before a start; may be repeated.",
)
@click.option(
    "--latency-changes",
    default=300,
    show_default=True,
    type=click.IntRange(1),
    help="Changes whose latency is measured.",
)
def command(
    services: int, changes: tuple[int, ...], latency_changes: int
) -> None:
    """Measure control with real files and processes on loopback."""
    figures = Figures(
        services=services,
        document_bytes=len(commands.encode(build_apply(services, 0))),
        starts=tuple(measure_start(services, count) for count in changes),
        latency=measure_latency(services, latency_changes),
    )
    click.echo(msgspec.json.format(msgspec.json.encode(figures)).decode())
