"""Resident memory of one role in a fresh interpreter.

Run as ``python -m egretfork.bench.capacity_cases CASE COUNT``. Modules of
egretfork are imported within each case, so that the memory of a role does
not include modules of other roles.
"""

import datetime
import gc
import importlib
import json
import os
import random
import sys
import typing

MEGABYTE = 1e6
ZERO_TIME = datetime.timedelta()
HINT_DELAY = datetime.timedelta(milliseconds=100)
IDLE_TIMEOUT = datetime.timedelta(hours=1)
SETTLE_TIME = datetime.timedelta(seconds=5)
# Memory of a shared dependency is attributed to the first module that
# imports it, so the order matters.
LIBRARIES = {
    "entry": (
        "msgspec",
        "yaml",
        "click",
        "prometheus_client",
        "mode.services",
    ),
    "agent": (
        "msgspec",
        "yaml",
        "click",
        "prometheus_client",
        "mode.services",
        "aiocoap",
    ),
    "control": (
        "msgspec",
        "yaml",
        "click",
        "prometheus_client",
        "mode.services",
        "zmq",
    ),
    "client": ("msgspec", "yaml", "click", "zmq"),
}


def read_resident_mb() -> float:
    """Return the resident memory of this process, in MB."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def measure_imports(role: str) -> dict[str, float]:
    """Return the memory that each import of a role adds, in order."""
    before = read_resident_mb()
    steps = {"interpreter": before}
    program = f"egretfork.{role}.program"
    for name in ("asyncio", *LIBRARIES[role], program):
        importlib.import_module(name)
        now = read_resident_mb()
        steps[name] = now - before
        before = now
    return steps


def measure_store(role: str, targets: int) -> float:
    """Return the memory of the gossip state of a node.

    The state is read from standard input and decoded, as in operation. An
    entry also builds its routing table, without the lists of buckets.
    """
    importlib.import_module(f"egretfork.{role}.program")
    from egretfork.bench import capacity_state
    from egretfork.gossip import core

    data = sys.stdin.buffer.read()
    before = read_resident_mb()
    state = capacity_state.decode(data)
    node = core.NodeCore(
        state.batch.nodes[0], (), random.Random(1), 4_500, 2_200
    )
    node.load(state.configuration, state.batch, ZERO_TIME)
    retained = [node, _build_entry(state) if role == "entry" else None]
    del state
    gained_mb = read_resident_mb() - before
    del retained
    return gained_mb


def _build_entry(state: typing.Any) -> object:
    from egretfork.entry import core
    from egretfork import model

    entry = core.EntryCore(model.Endpoint("10.255.0.1", 6000))
    entry.handle(core.ConfigurationChanged(state.configuration), ZERO_TIME)
    entry.handle(core.AnnouncementsChanged(state.batch.targets), ZERO_TIME)
    return entry


def measure_flows(count: int) -> float:
    """Return the memory of flows with one request each."""
    from egretfork.bench import agent_simulation

    simulation = agent_simulation.AgentSimulation(
        1, HINT_DELAY, IDLE_TIMEOUT, 0
    )
    address = simulation.add_agent()
    simulation.run(SETTLE_TIME)
    before = read_resident_mb()
    for number in range(count):
        simulation.send_request(number)
        simulation.run(agent_simulation.TICK_INTERVAL)
    gained_mb = read_resident_mb() - before
    assert simulation.agents[address].flow_count == count
    return gained_mb


def measure_records(count: int) -> float:
    """Return the memory of run records of one executor."""
    from egretfork.agent import recordtable
    from egretfork import model
    from egretfork import wire

    executor = model.AgentIdentity("target-1", 1)
    address = model.Endpoint("10.0.0.1", 7000)
    records = recordtable.RecordTable()
    before = read_resident_mb()
    for number in range(count):
        key = number.to_bytes(16, "big")
        record = wire.RunRecord(
            key, 0, wire.RecordState.GRANTED, executor, address, 0
        )
        records.write(record, number)
    gained_mb = read_resident_mb() - before
    assert len(records) == count
    return gained_mb


def main(case: str, argument: str) -> None:
    """Print the result of one case as JSON."""
    match case:
        case "imports":
            result: object = measure_imports(argument)
        case "entry" | "control":
            result = measure_store(case, int(argument))
        case "flows":
            result = measure_flows(int(argument))
        case "records":
            result = measure_records(int(argument))
        case _:
            raise SystemExit(f"unknown case {case}")
    print(json.dumps(result))


if __name__ == "__main__":
    main(*sys.argv[1:])
