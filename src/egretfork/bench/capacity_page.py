"""Tables of ``docs/CAPACITY.md`` and plots from ``capacity.json``.

Run as ``python -m egretfork.bench.capacity_page``; it needs the packages
of ``requirements-plot.txt``.
"""

import collections.abc
import pathlib
import re
import typing

import click
import msgspec

from egretfork.bench import capacity
from egretfork.bench import capacity_lines

PAGE_PATH = pathlib.Path("docs/CAPACITY.md")
PLOT_DIRECTORY = pathlib.Path("docs/plots")
PLOT_GROUPS = ("entry", "agent", "control", "gossip")
COLUMNS = 3
EVENT_PATHS = {
    "at rest": ("rest", "nodes"),
    "one changed service": ("change", "traffic"),
    "20 changed services": ("change_of_20_services", "traffic"),
    "a change, a control VM and a relay dead": (
        "change_control_and_relay_dead",
        "traffic",
    ),
    "restart of a target": ("target_restart", "traffic"),
    "an entry starts empty": ("empty_start", "traffic"),
    "rack lost": ("rack_loss", "traffic"),
    "availability zone lost": ("zone_loss", "traffic"),
    "end of a cut between regions": ("end_of_region_cut", "traffic"),
}

Row = collections.abc.Sequence[object]


def format_table(header: Row, rows: collections.abc.Iterable[Row]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(
        "| " + " | ".join(str(cell) for cell in line) + " |" for line in lines
    )


def format_number(value: float) -> str:
    """Format a number with three significant digits."""
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def format_series(
    series_list: collections.abc.Iterable[capacity_lines.Series],
) -> str:
    """Return the table of measured series."""
    header = (
        "figure",
        "module",
        "points (size: value)",
        "slope",
        "intercept",
        "worst residual",
        "at the design size",
    )
    return format_table(header, map(_build_series_row, series_list))


def _build_series_row(item: capacity_lines.Series) -> Row:
    points = "; ".join(f"{x:,.0f}: {format_number(y)}" for x, y in item.points)
    kind = "measured" if item.is_measured_at_design else "from the line"
    return (
        f"`{item.name}` ({item.unit})",
        f"`{item.module}`",
        points,
        f"{item.slope:.3g} a unit of {item.by}",
        format_number(item.intercept),
        format_number(item.worst_residual),
        f"{format_number(item.at_design)} at {item.design:,.0f} ({kind})",
    )


def format_imports(imports: dict[str, dict[str, float]]) -> str:
    """Return the table of memory per import, with sums."""
    modules = list(
        dict.fromkeys(name for steps in imports.values() for name in steps)
    )
    rows = [
        (
            f"`{name}`",
            *(
                f"{steps[name]:.2f}" if name in steps else ""
                for steps in imports.values()
            ),
        )
        for name in modules
        if not name.endswith(".program")
    ]
    summaries = {
        "rest of the program": _sum_program_modules,
        "sum": lambda steps: sum(steps.values()),
        "sum over `asyncio` alone": _sum_over_asyncio,
    }
    rows += [
        (name, *(f"{read(steps):.2f}" for steps in imports.values()))
        for name, read in summaries.items()
    ]
    return format_table(("MB", *imports), rows)


def _sum_program_modules(steps: dict[str, float]) -> float:
    return sum(
        value for name, value in steps.items() if name.endswith(".program")
    )


def _sum_over_asyncio(steps: dict[str, float]) -> float:
    return sum(steps.values()) - steps["interpreter"] - steps["asyncio"]


def format_processes(data: capacity.Capacity) -> str:
    """Return the table of memory of idle daemons."""
    base = sum(
        data.imports["entry"][name] for name in ("interpreter", "asyncio")
    )
    header = (
        "daemon with nothing loaded",
        "MB",
        "MB with a metrics page",
        "MB over `asyncio` alone, with it",
    )
    rows = [
        (
            f"`egretfork-{role}`",
            f"{found['without']:.1f}",
            f"{found['with']:.1f}",
            f"{found['with'] - base:.1f}",
        )
        for role, found in data.processes.items()
    ]
    return format_table(header, rows)


BUDGET_ROWS = {
    "entry: table and gossip store": ("entry", ("entry_store_memory",)),
    "agent: flows and run records": (
        "agent",
        ("agent_flows_memory", "agent_records_memory"),
    ),
    "control: log, state and gossip store": (
        "control",
        ("control_process_memory", "control_store_memory"),
    ),
}
DESIGN_SHARES = (0.25, 0.5, 1.0)


def format_budget(data: capacity.Capacity) -> str:
    """Return the table of memory per role at parts of the design size."""
    header = ("MB over `asyncio` alone", "empty", "25%", "50%", "100%")
    lines = {item.name: item for item in data.series}
    return format_table(
        header,
        [
            (name, *_build_budget_row(data, lines, role, series_names))
            for name, (role, series_names) in BUDGET_ROWS.items()
        ],
    )


def _build_budget_row(
    data: capacity.Capacity,
    lines: dict[str, capacity_lines.Series],
    role: str,
    series_names: tuple[str, ...],
) -> list[str]:
    steps = data.imports[role]
    base = steps["interpreter"] + steps["asyncio"]
    empty = data.processes[role]["with"] - base
    totals = [
        empty
        + sum(
            _estimate_memory(lines[series_name], share)
            for series_name in series_names
        )
        for share in DESIGN_SHARES
    ]
    return [f"{value:.1f}" for value in (empty, *totals)]


def _estimate_memory(item: capacity_lines.Series, share: float) -> float:
    """Return the memory at a share of the design size, above the idle process.

    A measured point takes precedence over the line.
    """
    size = item.design * share
    if item.name == "control_process_memory":
        return item.slope * size
    nearest, value = min(item.points, key=lambda point: abs(point[0] - size))
    is_near = abs(nearest - size) <= 1
    return value if is_near else item.intercept + item.slope * size


def format_events(runs: collections.abc.Sequence[typing.Any]) -> str:
    """Return the table of traffic of a node during each event."""
    header = (
        "event",
        "nodes",
        "seconds",
        "mean sent B/s",
        "mean received B/s",
        "highest second, both ways, B",
        "CPU % of a core",
    )
    rows = [
        _build_event_row(name, run, path)
        for name, path in EVENT_PATHS.items()
        for run in runs
        if path[0] in run
    ]
    return format_table(header, rows)


def _build_event_row(name: str, run: typing.Any, path: tuple[str, str]) -> Row:
    event = run[path[0]]
    traffic = event[path[1]]
    seconds = event.get("seconds_agents", event.get("seconds", ""))
    return (
        name,
        run["size"]["nodes"],
        f"{seconds:.2f}" if seconds else "",
        traffic["mean_sent"],
        traffic["mean_received"],
        traffic["peak_second_both"],
        traffic["cpu_percent_of_core"],
    )


def replace_block(text: str, name: str, content: str) -> str:
    """Replace the text between the markers of a block.

    Raises:
        ValueError: the markers are missing.
    """
    start, end = f"<!-- {name} -->", f"<!-- end {name} -->"
    pattern = re.escape(start) + ".*?" + re.escape(end)
    if not re.search(pattern, text, re.DOTALL):
        raise ValueError(f"the page has no markers for {name}")
    block = f"{start}\n{content}\n{end}"
    return re.sub(pattern, lambda _: block, text, flags=re.DOTALL)


def format_run(data: capacity.Capacity) -> str:
    """Describe the date and the environment of a run."""
    return (
        f"Run of {data.date} (UTC), Python {data.python}, {data.cores} cores,"
        f" load average {data.load_before} at the start and"
        f" {data.load_after} at the end."
    )


def draw(data: capacity.Capacity) -> None:
    """Plot the points and lines, one file per group."""
    import matplotlib

    matplotlib.use("svg")
    # The fixed salt, and the missing date below, make the files reproducible.
    matplotlib.rcParams["svg.hashsalt"] = "egretfork"
    PLOT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    for group in PLOT_GROUPS:
        series_list = [s for s in data.series if s.name.startswith(group)]
        _draw_group(PLOT_DIRECTORY / f"capacity-{group}.svg", series_list)


def _draw_group(
    path: pathlib.Path, series_list: list[capacity_lines.Series]
) -> None:
    from matplotlib import figure

    rows = -(-len(series_list) // COLUMNS)
    svg_figure = figure.Figure(
        figsize=(4 * COLUMNS, 3 * rows), layout="constrained"
    )
    axes = svg_figure.subplots(rows, COLUMNS, squeeze=False).flat
    for item, axis in zip(series_list, axes, strict=False):
        sizes, values = zip(*item.points, strict=True)
        ends = (0.0, max(sizes))
        line = [item.intercept + item.slope * end for end in ends]
        axis.plot(sizes, values, "o")
        axis.plot(ends, line, "-")
        axis.set_title(item.name, fontsize=8)
        axis.set_xlabel(item.by, fontsize=8)
        axis.set_ylabel(item.unit, fontsize=8)
        axis.set_ylim(bottom=0)
    for axis in list(svg_figure.axes)[len(series_list) :]:
        axis.set_visible(False)
    svg_figure.savefig(path, metadata={"Date": None})


@click.command()
def main() -> None:
    """Fill the tables of the page and draw the plots."""
    content = capacity.DATA_PATH.read_bytes()
    data = msgspec.json.decode(content, type=capacity.Capacity)
    local_series = [s for s in data.series if not s.name.startswith("gossip")]
    gossip_series = [s for s in data.series if s.name.startswith("gossip")]
    blocks = {
        "run": format_run(data),
        "imports": format_imports(data.imports),
        "processes": format_processes(data),
        "budget": format_budget(data),
        "local": format_series(local_series),
        "gossip": format_series(gossip_series),
        "events": format_events(data.gossip),
    }
    text = PAGE_PATH.read_text(encoding="utf-8")
    for name, block in blocks.items():
        text = replace_block(text, name, block)
    PAGE_PATH.write_text(text, encoding="utf-8")
    draw(data)


if __name__ == "__main__":
    main()
