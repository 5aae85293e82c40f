"""Cost of dissemination at several numbers of nodes.

``python -m egretfork.bench.capacity_gossip NODES FILE`` measures a part of
the events of ``egretfork-bench gossip`` and writes the file after each, so
that a run that is ended early leaves figures.
"""

import collections.abc
import dataclasses
import gc
import json
import pathlib
import subprocess
import sys
import tempfile
import typing

from egretfork.bench import capacity_lines
from egretfork.bench import gossip
from egretfork.bench import gossip_events
from egretfork.bench import population

NODE_COUNTS = (50, 150, 450)

Figures = dict[str, typing.Any]
# Path of each figure in the output of the gossip measurement.
GOSSIP_PATHS = {
    "rest_sent_bytes_per_s": ("rest", "nodes", "mean_sent"),
    "rest_received_bytes_per_s": ("rest", "nodes", "mean_received"),
    "rest_cpu_percent": ("rest", "nodes", "cpu_percent_of_core"),
    "change_peak_bytes": ("change", "traffic", "peak_second_both"),
    "change_seconds": ("change", "seconds_agents"),
    "change_cpu_percent": ("change", "traffic", "cpu_percent_of_core"),
    "change_dead_seconds": ("change_control_and_relay_dead", "seconds_agents"),
    "change_dead_peak_bytes": (
        "change_control_and_relay_dead",
        "traffic",
        "peak_second_both",
    ),
    "restart_sent_bytes": ("restarts_a_day", "bytes_a_restart", "mean_sent"),
    "rack_peak_bytes": ("rack_loss", "traffic", "peak_second_both"),
    "rack_seconds": ("rack_loss", "seconds"),
    "rack_cpu_percent": ("rack_loss", "traffic", "cpu_percent_of_core"),
    "zone_peak_bytes": ("zone_loss", "traffic", "peak_second_both"),
    "zone_seconds": ("zone_loss", "seconds"),
    "zone_cpu_percent": ("zone_loss", "traffic", "cpu_percent_of_core"),
    "cut_peak_bytes": ("end_of_region_cut", "traffic", "peak_second_both"),
    "cut_seconds": ("end_of_region_cut", "seconds"),
    "cut_cpu_percent": ("end_of_region_cut", "traffic", "cpu_percent_of_core"),
    "agent_rest_sent_bytes_per_s": ("rest", "agents", "mean_sent"),
    "agent_rest_received_bytes_per_s": ("rest", "agents", "mean_received"),
    "agent_rest_cpu_percent": ("rest", "agents", "cpu_percent_of_core"),
}


def measure_events(
    nodes: int,
) -> collections.abc.Iterator[tuple[str, Figures]]:
    """Measure events one after another, those of every day first."""
    size = next(item for item in population.SIZES if item.nodes == nodes)
    yield "size", dataclasses.asdict(size)
    yield "memory", gossip.measure_memory(size)
    bench = gossip.Bench(size, 1)
    bench.start()
    rest = bench.measure(gossip.REST_SECONDS)
    yield "rest", rest
    yield "change", bench.measure_change()
    restart = bench.measure_target_restart()
    yield "target_restart", restart
    yield "restarts_a_day", gossip.extrapolate(rest, restart)
    yield "rack_loss", bench.measure_rack_loss()
    gossip_events.kill([bench.people.nodes[0], bench.people.nodes[6]])
    yield "change_control_and_relay_dead", bench.measure_change()
    yield "end_of_region_cut", bench.measure_region_cut(gossip.CUT_SECONDS)
    bench.network.run(gossip.WARM_UP_SECONDS)
    yield "zone_loss", bench.measure_zone_loss("north-b")


def write(nodes: int, path: pathlib.Path) -> None:
    """Measure one size and write its figures after each event."""
    # As in the gossip measurement: collections would dominate the time.
    gc.disable()
    figures: Figures = {}
    for name, value in measure_events(nodes):
        figures[name] = value
        path.write_text(json.dumps(figures, indent=2) + "\n")


def run(nodes: int) -> Figures:
    """Measure one size in a fresh interpreter."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "figures.json"
        module = "egretfork.bench.capacity_gossip"
        command = (sys.executable, "-m", module, str(nodes), str(path))
        subprocess.run(command, check=True)
        figures: Figures = json.loads(path.read_text())
        return figures


def read(paths: tuple[pathlib.Path, ...]) -> list[Figures]:
    """Take figures from files, and run the sizes that no file holds."""
    found = {
        figures["size"]["nodes"]: figures
        for figures in (json.loads(path.read_text()) for path in paths)
    }
    return [
        found[nodes] if nodes in found else run(nodes) for nodes in NODE_COUNTS
    ]


def fit_lines(runs: list[Figures]) -> list[capacity_lines.Series]:
    """Fit a line for each figure that two sizes or more have."""
    return [
        capacity_lines.fit(
            f"gossip_{name}",
            find_unit(name),
            "nodes",
            "gossip.agent" if name.startswith("agent") else "gossip.core",
            points,
            NODE_COUNTS[-1],
        )
        for name, path in GOSSIP_PATHS.items()
        if len(points := find_points(runs, path)) > 1
    ]


def find_points(
    runs: list[Figures], path: tuple[str, ...]
) -> list[tuple[float, float]]:
    """Return the figure of each run that has it, by number of nodes."""
    return [
        (run["size"]["nodes"], _find(run, path))
        for run in runs
        if path[0] in run
    ]


def _find(figures: Figures, path: tuple[str, ...]) -> float:
    value: typing.Any = figures
    for key in path:
        value = value[key]
    return float(value)


def find_unit(name: str) -> str:
    """Return the unit at the end of a figure's name."""
    if name.endswith("_bytes_per_s"):
        return "bytes/s"
    return name.rpartition("_")[2]


if __name__ == "__main__":
    write(int(sys.argv[1]), pathlib.Path(sys.argv[2]))
