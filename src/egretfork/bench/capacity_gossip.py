"""Resource use of gossip at several numbers of nodes.

``python -m egretfork.bench.capacity_gossip NODES FILE`` measures a part of
the events of ``egretfork-bench gossip`` and writes the file after each, so
that an interrupted run keeps its results.
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
from egretfork.bench import simulated_cluster

NODE_COUNTS = (50, 150, 450)

Results = dict[str, typing.Any]
# Path of each value in the output of ``egretfork-bench gossip``.
RESULT_PATHS = {
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
) -> collections.abc.Iterator[tuple[str, Results]]:
    """Measure events sequentially, routine ones before failures."""
    size = next(
        item for item in simulated_cluster.SIZES if item.nodes == nodes
    )
    yield "size", dataclasses.asdict(size)
    yield "memory", gossip.measure_memory(size)
    benchmark = gossip.GossipBenchmark(size, 1)
    benchmark.start()
    idle = benchmark.measure_traffic(gossip.IDLE_SECONDS)
    yield "rest", idle
    yield "change", benchmark.measure_change()
    restart_results = benchmark.measure_target_restart()
    yield "target_restart", restart_results
    yield "restarts_a_day", gossip.extrapolate_restarts(idle, restart_results)
    yield "rack_loss", benchmark.measure_rack_failure()
    gossip_events.kill(
        [benchmark.cluster.nodes[0], benchmark.cluster.nodes[6]]
    )
    yield "change_control_and_relay_dead", benchmark.measure_change()
    yield "end_of_region_cut", benchmark.measure_region_partition(
        gossip.PARTITION_SECONDS
    )
    benchmark.network.run(gossip.WARM_UP_SECONDS)
    yield "zone_loss", benchmark.measure_zone_failure("north-b")


def write(nodes: int, path: pathlib.Path) -> None:
    """Measure one size and write the results after each event."""
    # Garbage collection would dominate the run time; see ``gossip.command``.
    gc.disable()
    results: Results = {}
    for name, value in measure_events(nodes):
        results[name] = value
        path.write_text(json.dumps(results, indent=2) + "\n")


def measure_in_subprocess(nodes: int) -> Results:
    """Measure one size in a fresh interpreter."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "figures.json"
        module = "egretfork.bench.capacity_gossip"
        command = (sys.executable, "-m", module, str(nodes), str(path))
        subprocess.run(command, check=True)
        results: Results = json.loads(path.read_text())
        return results


def read(paths: tuple[pathlib.Path, ...]) -> list[Results]:
    """Read results from files, and measure the sizes that are missing."""
    results_by_nodes = {
        results["size"]["nodes"]: results
        for results in (json.loads(path.read_text()) for path in paths)
    }
    return [
        (
            results_by_nodes[nodes]
            if nodes in results_by_nodes
            else measure_in_subprocess(nodes)
        )
        for nodes in NODE_COUNTS
    ]


def fit_lines(runs: list[Results]) -> list[capacity_lines.Series]:
    """Fit a line for each value that is known for two sizes or more."""
    return [
        capacity_lines.fit(
            f"gossip_{name}",
            get_unit(name),
            "nodes",
            "gossip.agent" if name.startswith("agent") else "gossip.core",
            points,
            NODE_COUNTS[-1],
        )
        for name, path in RESULT_PATHS.items()
        if len(points := collect_points(runs, path)) > 1
    ]


def collect_points(
    runs: list[Results], path: tuple[str, ...]
) -> list[tuple[float, float]]:
    """Return the number of nodes and the value, for each run that has it."""
    return [
        (run["size"]["nodes"], _read_value(run, path))
        for run in runs
        if path[0] in run
    ]


def _read_value(results: Results, path: tuple[str, ...]) -> float:
    value: typing.Any = results
    for key in path:
        value = value[key]
    return float(value)


def get_unit(name: str) -> str:
    """Return the unit that the name of a value ends with."""
    if name.endswith("_bytes_per_s"):
        return "bytes/s"
    return name.rpartition("_")[2]


if __name__ == "__main__":
    write(int(sys.argv[1]), pathlib.Path(sys.argv[2]))
