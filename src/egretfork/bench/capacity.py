"""Resource use of each role at several sizes, with linear fits."""

import datetime
import json
import os
import pathlib
import platform
import subprocess
import sys
import typing

import click
import msgspec

from egretfork.bench import capacity_cpu
from egretfork.bench import capacity_gossip
from egretfork.bench import capacity_lines
from egretfork.bench import capacity_processes
from egretfork.bench import capacity_state
from egretfork.bench import control
from egretfork.bench import entry

TARGET_COUNTS = (675, 1_350, 2_700)
SERVICE_COUNTS = (162, 325, 650)
FLOW_COUNTS = (361, 722, 1_444, 2_000)
RECORD_COUNTS = (16_384, 32_768, 65_536)
PACKET_FLOW_COUNTS = (1_000, 100_000, 300_000)
PACKET_ROUNDS = 15
CHANGES = 20
LATENCY_CHANGES = 20
DAEMONS = ("entry", "agent", "control")
ROLES = (*DAEMONS, "client")
CASES_MODULE = "egretfork.bench.capacity_cases"
DATA_PATH = pathlib.Path("docs/data/capacity.json")


class Capacity(msgspec.Struct, frozen=True):
    """Results of a benchmark run.

    Attributes:
        imports: memory in MB that each import of a role adds, in import
            order.
        processes: memory in MB of each idle daemon, without and with the
            metrics endpoint.
    """

    date: str
    python: str
    cores: int
    load_before: float
    load_after: float
    imports: dict[str, dict[str, float]]
    processes: dict[str, dict[str, float]]
    series: tuple[capacity_lines.Series, ...]
    gossip: tuple[capacity_gossip.Results, ...]


def run_case(case: str, argument: str, data: bytes = b"") -> typing.Any:
    """Run one memory case in a fresh interpreter."""
    completed = subprocess.run(
        (sys.executable, "-m", CASES_MODULE, case, argument),
        input=data,
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(completed.stdout)


def measure_memory() -> list[capacity_lines.Series]:
    """Measure the resident memory of gossip stores, flows and records."""
    states = {count: capacity_state.encode(count) for count in TARGET_COUNTS}
    store_series = [
        capacity_lines.fit(
            f"{role}_store_memory",
            "MB",
            "targets",
            "gossip.store, routing.table" if role == "entry" else "gossip",
            (
                (count, run_case(role, str(count), data))
                for count, data in states.items()
            ),
            TARGET_COUNTS[-1],
        )
        for role in ("entry", "control")
    ]
    cases = (
        ("flows", "agent.flows", FLOW_COUNTS, 1_444),
        ("records", "agent.recordtable", RECORD_COUNTS, RECORD_COUNTS[-1]),
    )
    return store_series + [
        capacity_lines.fit(
            f"agent_{case}_memory",
            "MB",
            case,
            module,
            [(count, run_case(case, str(count))) for count in counts],
            design,
        )
        for case, module, counts, design in cases
    ]


def measure_entry() -> list[capacity_lines.Series]:
    """Measure the packet path and the routing table."""
    packets = entry.measure_packets(PACKET_FLOW_COUNTS, rounds=PACKET_ROUNDS)
    tables = [
        entry.measure_table(services, targets)
        for services, targets in zip(
            SERVICE_COUNTS, TARGET_COUNTS, strict=True
        )
    ]
    columns = {
        "entry_table_memory_lists": (
            "MB",
            [item.full_bytes / 1e6 for item in tables],
        ),
        "entry_table_lists_cpu": ("ms", [item.full_ms for item in tables]),
        "entry_table_change_cpu": (
            "ms",
            [item.change_ms for item in tables],
        ),
    }
    return [
        capacity_lines.fit(
            "entry_packet_cpu",
            "us",
            "flows",
            "entry.core",
            [(item.flows, item.packet_us) for item in packets],
            PACKET_FLOW_COUNTS[-1],
        )
    ] + [
        capacity_lines.fit(
            name,
            unit,
            "targets",
            "routing.table",
            zip(TARGET_COUNTS, values, strict=True),
            TARGET_COUNTS[-1],
        )
        for name, (unit, values) in columns.items()
    ]


def measure_agent() -> list[capacity_lines.Series]:
    """Measure the CPU time of a request and of a duplicate datagram."""
    answer_us = capacity_cpu.measure_answer_us()
    times = {
        count: capacity_cpu.AgentBenchmark(count).measure()
        for count in FLOW_COUNTS
    }
    return [
        capacity_lines.fit(
            name,
            "us",
            "flows",
            module,
            [(count, item[index] - stub_us) for count, item in times.items()],
            1_444,
        )
        for index, (name, module, stub_us) in enumerate(
            (
                ("agent_request_cpu", "agent.core", answer_us),
                ("agent_repeat_cpu", "agent.serving", 0.0),
            )
        )
    ]


def measure_control() -> list[capacity_lines.Series]:
    """Measure start, memory and changes by the number of services."""
    starts = {
        count: control.measure_start(count, CHANGES)
        for count in SERVICE_COUNTS
    }
    latencies = {
        count: control.measure_latency(count, LATENCY_CHANGES)
        for count in SERVICE_COUNTS
    }
    columns = {
        "control_process_memory": (
            "MB",
            "control.state",
            [(n, s.resident_kib * 1.024e-3) for n, s in starts.items()],
        ),
        "control_start": (
            "ms",
            "control.storage",
            [(n, s.start_ms) for n, s in starts.items()],
        ),
        "control_change_bytes": (
            "bytes",
            "control.storage",
            [(n, s.segment_bytes_per_change) for n, s in starts.items()],
        ),
        "control_change_cpu": (
            "ms",
            "control.core",
            [(n, capacity_cpu.measure_change_ms(n)) for n in SERVICE_COUNTS],
        ),
        "control_commit_latency": (
            "ms",
            "control.raft",
            [(n, item.median_ms) for n, item in latencies.items()],
        ),
        "control_member_memory": (
            "MB",
            "control.state",
            [
                (n, max(item.resident_kib) * 1.024e-3)
                for n, item in latencies.items()
            ],
        ),
    }
    return [
        capacity_lines.fit(
            name, unit, "services", module, points, SERVICE_COUNTS[-1]
        )
        for name, (unit, module, points) in columns.items()
    ]


def measure_local() -> Capacity:
    """Run all measurements except that of gossip, sequentially."""
    load_before = os.getloadavg()[0]
    imports = {role: run_case("imports", role) for role in ROLES}
    processes = {
        role: {
            name: capacity_processes.measure_daemon(role, has_metrics)
            for name, has_metrics in (("without", False), ("with", True))
        }
        for role in DAEMONS
    }
    series = (
        *measure_memory(),
        *measure_agent(),
        *measure_control(),
        *measure_entry(),
    )
    now = datetime.datetime.now(datetime.timezone.utc)
    return Capacity(
        date=now.isoformat(timespec="minutes"),
        python=platform.python_version(),
        cores=os.cpu_count() or 0,
        load_before=round(load_before, 1),
        load_after=round(os.getloadavg()[0], 1),
        imports=imports,
        processes=processes,
        series=series,
        gossip=(),
    )


def replace_gossip(
    previous: Capacity, files: tuple[pathlib.Path, ...]
) -> Capacity:
    """Replace the gossip results of an earlier run."""
    runs = capacity_gossip.read(files)
    others = (s for s in previous.series if not s.name.startswith("gossip"))
    return msgspec.structs.replace(
        previous,
        series=(*others, *capacity_gossip.fit_lines(runs)),
        gossip=tuple(runs),
    )


def write(path: pathlib.Path, result: Capacity) -> None:
    """Write the results to a file, which is replaced atomically."""
    content = msgspec.json.format(msgspec.json.encode(result))
    path.parent.mkdir(parents=True, exist_ok=True)
    new = path.with_suffix(".new")
    new.write_bytes(content + b"\n")
    new.replace(path)


@click.command("capacity")
@click.option(
    "--gossip",
    multiple=True,
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Output of the gossip measurement at one size; may be repeated.",
)
@click.option(
    "--part",
    type=click.Choice(("all", "local", "gossip")),
    default="all",
    show_default=True,
    help="What is measured; gossip keeps the other figures of the file.",
)
@click.option(
    "--output",
    default=DATA_PATH,
    show_default=True,
    type=click.Path(path_type=pathlib.Path),
    help="JSON file that is written.",
)
def command(
    gossip: tuple[pathlib.Path, ...], part: str, output: pathlib.Path
) -> None:
    """Measure what each role costs at several sizes."""
    if part == "gossip":
        result = msgspec.json.decode(output.read_bytes(), type=Capacity)
    else:
        result = measure_local()
    if part != "local":
        result = replace_gossip(result, gossip)
    write(output, result)
    click.echo(f"wrote {output}")
