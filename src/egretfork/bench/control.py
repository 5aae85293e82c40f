"""Benchmarks of control: start, change latency, disk use and memory."""

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

POLL_INTERVAL_S = 0.005
START_TIMEOUT_S = 30
TICK_INTERVAL = datetime.timedelta(milliseconds=200)


class StartResult(msgspec.Struct, frozen=True):
    """Start of a process from its data folder.

    Attributes:
        load_ms: time to load the files into a state machine, in process.
        start_ms: time from process start, which includes the start of the
            interpreter, to the first reply.
        lead_ms: time from process start until it leads its single-member
            group at the newest version; this includes an election timeout
            of 1.5 to 3 s.
    """

    changes: int
    load_ms: float
    start_ms: float
    lead_ms: float
    folder_bytes: int
    segment_bytes_per_change: float
    resident_kib: int


class LatencyResult(msgspec.Struct, frozen=True):
    """Latency of changes in a group of three processes on loopback."""

    changes: int
    median_ms: float
    p99_ms: float
    resident_kib: tuple[int, ...]


class ControlResult(msgspec.Struct, frozen=True):
    """Results of all benchmarks of control."""

    services: int
    document_bytes: int
    starts: tuple[StartResult, ...]
    latency: LatencyResult


def build_services(count: int, change: int) -> tuple[model.Service, ...]:
    """Return services with two addresses each.

    The number of slots of one service depends on the change.
    """
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


def build_apply_command(services: int, change: int) -> commands.Apply:
    """Return the command that creates version ``change + 1``."""
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
    """Load a data folder; return the core and its storage."""
    control_storage = storage.Storage(files.LocalFileSystem(folder))
    return program.build_core("bench", control_storage), control_storage


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentGrowth:
    """Largest size of the segment, and the changes since compaction."""

    changes: int
    bytes: int


def apply_changes(
    control_settings: program.ControlSettings, services: int, changes: int
) -> SegmentGrowth:
    """Apply changes to a new single-member group, through its core.

    Raises:
        RuntimeError: a change was not accepted.
    """
    program.initialise(control_settings, first=True)
    control_core, control_storage = load_core(control_settings.folder)
    now = clock.MonotonicClock().now()
    segment = control_settings.folder / storage.SEGMENT_FILE
    growth = SegmentGrowth(0, 0)
    since_compaction = 0
    while control_core.consensus.leadership is None:
        now += TICK_INTERVAL
        _save_actions(control_storage, control_core.handle(events.Tick(), now))
    for change in range(changes):
        now += TICK_INTERVAL
        before = segment.stat().st_size
        _save_actions(control_storage, control_core.handle(events.Tick(), now))
        query = api.Submit(1, build_apply_command(services, change))
        event = core.QueryReceived(b"bench", query)
        _save_actions(control_storage, control_core.handle(event, now))
        size = segment.stat().st_size
        since_compaction = since_compaction + 1 if size > before else 0
        if size > growth.bytes:
            growth = SegmentGrowth(max(since_compaction, 1), size)
    if control_core.configuration.version != changes:
        raise RuntimeError(
            "not all changes were accepted: configuration version"
            f" {control_core.configuration.version}"
        )
    return growth


def _save_actions(
    control_storage: storage.Storage, actions: list[core.CoreAction]
) -> None:
    for action in actions:
        if isinstance(action, events.Save):
            control_storage.save(action)


@contextlib.contextmanager
def run_process(
    control_settings: program.ControlSettings, folder: pathlib.Path
) -> collections.abc.Iterator["subprocess.Popen[bytes]"]:
    """Run a control process for the duration of the context."""
    path = folder / f"{control_settings.name}.yaml"
    path.write_bytes(msgspec.yaml.encode(control_settings))
    module = "egretfork.control.program"
    arguments = [sys.executable, "-m", module, "--settings", str(path)]
    with (folder / f"{control_settings.name}.log").open("ab") as log:
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
        TimeoutError: the condition does not hold within ``START_TIMEOUT_S``.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            socket.create_connection((address.host, address.port)).close()
            reply = session.read_status(address)
            if isinstance(reply, api.StatusRead) and condition(reply):
                return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{address} did not reach the expected state")


def read_resident_kib(process: "subprocess.Popen[bytes]") -> int:
    """Return the resident memory of a process, in KiB."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", text)
    return int(found.group(1)) if found else 0


def build_settings(folder: pathlib.Path, name: str) -> program.ControlSettings:
    """Return settings with a TCP port that was free when checked."""
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


def measure_start(services: int, changes: int) -> StartResult:
    """Measure the start of a single-member group after some changes."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        control_settings = build_settings(folder, "bench")
        growth = apply_changes(control_settings, services, changes)
        sizes = [
            item.stat().st_size for item in control_settings.folder.iterdir()
        ]
        started = time.monotonic()
        load_core(control_settings.folder)
        loaded = time.monotonic()
        with run_process(control_settings, folder) as process:
            wait_for(control_settings.address, lambda status: True)
            answered = time.monotonic()
            wait_for(
                control_settings.address,
                lambda status: status.version == changes,
            )
            leads = time.monotonic()
            resident_kib = read_resident_kib(process)
    return StartResult(
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


def measure_latency(services: int, changes: int) -> LatencyResult:
    """Measure the latency of sequential changes in a group of three."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        group = [build_settings(folder, f"bench-{i}") for i in range(3)]
        for number, control_settings in enumerate(group):
            program.initialise(control_settings, first=number == 0)
        processes = [
            stack.enter_context(run_process(control_settings, folder))
            for control_settings in group
        ]
        wait_for(group[0].address, lambda status: status.role == "leader")
        client_session = session.Session((group[0].address,))
        for control_settings in group[1:]:
            join_group(client_session, control_settings)
        times = [
            apply_change(client_session, services, change)
            for change in range(changes)
        ]
        resident = tuple(read_resident_kib(process) for process in processes)
    ordered = sorted(times)
    return LatencyResult(
        changes=changes,
        median_ms=_to_ms(statistics.median(ordered)),
        p99_ms=_to_ms(ordered[int(len(ordered) * 0.99)]),
        resident_kib=resident,
    )


def join_group(
    client_session: session.Session, control_settings: program.ControlSettings
) -> None:
    """Add a process to the group as a learner and promote it to voter."""
    wait_for(control_settings.address, lambda status: True)
    found = session.read_status(control_settings.address)
    if not isinstance(found, api.StatusRead):
        raise TimeoutError(str(found))
    new = entries.Member(
        found.identity, found.name, control_settings.address, False
    )
    client_session.send_query(lambda number: api.AddMember(number, new))
    promoted: session.Result | None = None
    while not isinstance(promoted, api.MembersChanged):
        promoted = client_session.send_query(
            lambda number: api.PromoteMember(number, found.identity)
        )


def apply_change(
    client_session: session.Session, services: int, change: int
) -> float:
    """Submit a change and return the seconds until its reply.

    Raises:
        RuntimeError: the change was not accepted.
    """
    command = build_apply_command(services, change)
    started = time.monotonic()
    result = client_session.send_query(
        lambda number: api.Submit(number, command)
    )
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
    control_result = ControlResult(
        services=services,
        document_bytes=len(commands.encode(build_apply_command(services, 0))),
        starts=tuple(measure_start(services, count) for count in changes),
        latency=measure_latency(services, latency_changes),
    )
    click.echo(
        msgspec.json.format(msgspec.json.encode(control_result)).decode()
    )
